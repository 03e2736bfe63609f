//! Types shared by the owner of an upstream and the home of a job.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::sync::Arc;
use std::time::Duration;

use hinge_wire::{DataCentreId, RackId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Number of an assignment, unique at its home.
pub type AssignmentId = u64;
/// Fencing token of an upstream's owner; an upstream ignores orders with a lower one than it has seen.
pub type Fence = u64;
/// Incarnation of the entry that answers the caller of a job.
pub type HomeId = u64;
/// Number of a start of a task; rises with each start of the same task.
pub type RunNumber = u64;
/// Start of an upstream's process in Unix milliseconds; another value means that it has restarted.
pub type Incarnation = u64;
/// Name of a task, unique among all tasks.
pub type TaskName = Arc<str>;

/// One start of a task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RunId {
    /// The task.
    pub task: TaskName,
    /// Which of its starts.
    pub run: RunNumber,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// What a task needs or an upstream has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_millis: u64,
    /// Accelerators.
    pub gpus: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
}

impl Resources {
    /// Whether `need` fits into what is there.
    #[must_use]
    pub const fn fits(&self, need: &Self) -> bool {
        need.cpu_millis <= self.cpu_millis && need.gpus <= self.gpus && need.memory_mb <= self.memory_mb
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis + other.cpu_millis,
            gpus: self.gpus + other.gpus,
            memory_mb: self.memory_mb + other.memory_mb,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            gpus: self.gpus.saturating_sub(other.gpus),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

/// An upstream as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamRecord {
    /// Address of its order interface.
    pub address: Arc<str>,
    /// All that it has.
    pub capacity: Resources,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it is leaving and takes no new work.
    pub draining: bool,
    /// Its id.
    pub id: UpstreamId,
    /// Process that registered, when the record says so.
    pub incarnation: Option<Incarnation>,
    /// Its rack.
    pub rack: RackId,
    /// Number of its last report about itself; a new number means that it is alive.
    pub sequence: u64,
    /// Service whose tasks it runs.
    pub service: ServiceId,
}

/// A task that a home hands to the owner of upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// Upstream where the task failed before.
    pub avoid: Option<UpstreamId>,
    /// Its number at the home.
    pub id: AssignmentId,
    /// What the task needs.
    pub need: Resources,
    /// Expected run time at normal speed in milliseconds.
    pub expected_ms: u64,
    /// Whether the job can end only after its objective; such tasks wait behind those of the same priority.
    pub late: bool,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Run number to start with.
    pub run: RunNumber,
    /// Service whose upstreams may run it.
    pub service: ServiceId,
    /// What to run.
    pub spec: Arc<str>,
    /// Time from now after which a start is of no use, in milliseconds.
    pub start_within_ms: u64,
    /// The task.
    pub task: TaskName,
    /// Whether the task waits at the owner when there is no room for it; otherwise it comes back at once.
    pub waits: bool,
}

/// Progress or end of an assignment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// A start order is on its way; the end follows.
    Started,
    /// The task ran and is done.
    Done,
    /// The task ran and failed.
    Failed,
    /// The task was not started in time, or the owner cannot start it; it did not run.
    NotStarted,
    /// The run was interrupted and no longer exists.
    Interrupted,
    /// Whether the run still exists is unknown.
    Uncertain,
}

/// Report of an owner to the home of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskReport {
    /// The assignment.
    pub assignment: AssignmentId,
    /// What has become of it.
    pub outcome: Outcome,
    /// Highest run number used.
    pub run: RunNumber,
    /// Run time in milliseconds; 0 when it did not run.
    pub run_time_ms: u64,
    /// Where it ran.
    pub upstream: Option<UpstreamId>,
}

impl TaskReport {
    /// A report without a run time.
    #[must_use]
    pub const fn new(assignment: AssignmentId, outcome: Outcome, run: RunNumber) -> Self {
        Self { assignment, outcome, run, run_time_ms: 0, upstream: None }
    }
}

/// Load of an owner's upstreams of one service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Mean run time in milliseconds.
    pub mean_run_ms: u64,
    /// Queued tasks by priority; the last one counts all lower priorities.
    pub queued: [u32; PRIORITY_LEVELS],
    /// Free thousandths of a core of each upstream that accepts tasks; those without room for any task are left out.
    pub rooms_cpu_millis: Vec<u64>,
    /// Tasks of usual size that could run at a time.
    pub slots: u32,
}

/// Priorities that loads tell apart.
pub const PRIORITY_LEVELS: usize = 4;

/// Index of a priority in [`Load::queued`].
#[must_use]
pub fn priority_index(priority: u32) -> usize {
    usize::try_from(priority).unwrap_or(PRIORITY_LEVELS).min(PRIORITY_LEVELS - 1)
}

/// Whole milliseconds of a duration.
#[must_use]
pub fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
