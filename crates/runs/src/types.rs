//! Types shared by the owner of an upstream and the home of a job.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::sync::Arc;
use std::time::Duration;

use hinge_wire::{DataCentreId, RackId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Number of an assignment, unique within its home.
pub type AssignmentId = u64;
/// Incarnation of an entry in its role as home, which answers the callers of jobs. It also identifies owners and peers.
pub type HomeId = u64;
/// Number of a run of a task; increases with each start of the same task.
pub type RunNumber = u64;
/// Start time of an upstream's process in Unix milliseconds; it tells the processes of an upstream apart, but not their
/// order, since the clock may have been set back.
pub type Incarnation = u64;
/// Globally unique name of a task.
pub type TaskName = Arc<str>;

/// Identifies a run: one start of a task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RunId {
    /// Task that is started.
    pub task: TaskName,
    /// Distinguishes the starts of the same task.
    pub run: RunNumber,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// Resources that a task needs, or that an upstream has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu_millis: u64,
    /// Number of GPUs.
    pub gpus: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
}

impl Resources {
    /// Whether `need` fits into these resources in every dimension.
    #[must_use]
    pub const fn fits(&self, need: &Self) -> bool {
        need.cpu_millis <= self.cpu_millis && need.gpus <= self.gpus && need.memory_mb <= self.memory_mb
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            gpus: self.gpus.saturating_add(other.gpus),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
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

/// Registration record of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamRecord {
    /// Address to which orders and holds are sent.
    pub address: Arc<str>,
    /// Total resources, whether in use or free.
    pub capacity: Resources,
    /// Time for which the upstream will still be slow because it is cold, in milliseconds; 0 if it is warm.
    pub cold_left_ms: u64,
    /// Data centre in which the upstream runs.
    pub data_centre: DataCentreId,
    /// Whether the upstream is shutting down and must get no new tasks.
    pub draining: bool,
    /// Stays the same when the upstream restarts.
    pub id: UpstreamId,
    /// Process that registered; none if the record does not contain it.
    pub incarnation: Option<Incarnation>,
    /// Rack in which the upstream runs.
    pub rack: RackId,
    /// Number of the upstream's last registration update; a change shows that it is alive.
    pub sequence: u64,
    /// Service whose tasks the upstream runs.
    pub service: ServiceId,
}

/// A task that a home assigns to an owner of upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// Upstream of the previous run, which is not used again while another one of the service accepts tasks.
    pub avoid: Option<UpstreamId>,
    /// Number of the assignment within its home; reports refer to it.
    pub id: AssignmentId,
    /// Resources to reserve for the task.
    pub need: Resources,
    /// Expected run time on an upstream of normal speed, in milliseconds.
    pub expected_ms: u64,
    /// Whether the job can no longer meet its objective. Such tasks queue behind all others of the same priority.
    pub late: bool,
    /// Priority of the job's queue; 0 is the most urgent.
    pub priority: u32,
    /// Number of the first run of this assignment.
    pub run: RunNumber,
    /// Service whose upstreams may run it.
    pub service: ServiceId,
    /// Description of the work, passed to the upstream unchanged.
    pub spec: Arc<str>,
    /// Time in which the task must start, in milliseconds from its arrival at the owner.
    pub start_within_ms: u64,
    /// Name that all runs of the task share.
    pub task: TaskName,
    /// Whether the owner queues the task when no upstream has room for it; otherwise it returns the task at once.
    pub waits: bool,
    /// Kind of the task, the queue of its job, by which owners learn which tasks slow each other down. None from older entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<Arc<str>>,
}

/// State of an assignment in a [`TaskReport`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// A start order was sent; another report follows.
    Started,
    /// The task ran and succeeded.
    Done,
    /// The task ran and failed, or the upstream rejected it as invalid.
    Failed,
    /// The task did not run: it was returned, cancelled, or not started in time.
    NotStarted,
    /// The run ended without a result and no longer exists.
    Interrupted,
    /// It is unknown whether the run still exists; no further report follows.
    Uncertain,
}

/// Report from an owner to the home of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskReport {
    /// Number that the home gave the assignment.
    pub assignment: AssignmentId,
    /// New state; every state except [`Outcome::Started`] is final.
    pub outcome: Outcome,
    /// Highest run number used so far; the next run of the task needs a higher one.
    pub run: RunNumber,
    /// Time since the start order in milliseconds; 0 in reports that do not end a run.
    pub run_time_ms: u64,
    /// Upstream of the run; none if the task did not run or its run has not ended.
    pub upstream: Option<UpstreamId>,
    /// Time in milliseconds after which the run no longer exists, with the outcome [`Outcome::Uncertain`]. None for other
    /// outcomes, and from older entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ends_within_ms: Option<u64>,
    /// Whether the task was returned because it fits only in evacuated data centres, so that its home places it elsewhere.
    /// Absent otherwise, and from older entries.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub place_again: bool,
}

impl TaskReport {
    /// Creates a report without a run time and upstream.
    #[must_use]
    pub const fn new(assignment: AssignmentId, outcome: Outcome, run: RunNumber) -> Self {
        Self {
            assignment,
            outcome,
            run,
            run_time_ms: 0,
            upstream: None,
            ends_within_ms: None,
            place_again: false,
        }
    }
}

/// A run that ended because its upstream restarted or stopped answering. The task may have crashed the upstream, or it
/// ran beside the one that did.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LostRun {
    /// Whether no other run was on the upstream, so that no other task can have crashed it.
    pub alone: bool,
    /// Run that no longer exists.
    pub run: RunId,
    /// Upstream that was lost.
    pub upstream: UpstreamId,
}

/// Load of one owner's upstreams of one service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Moving average of run times in milliseconds.
    pub mean_run_ms: u64,
    /// Number of queued tasks by priority; the last element includes all less urgent ones.
    pub queued: [u32; PRIORITY_LEVELS],
    /// Free CPU of each upstream that accepts tasks, in thousandths of a core; upstreams with less than one free core
    /// are left out.
    pub rooms_cpu_millis: Vec<u64>,
    /// Number of tasks of average size that the accepting upstreams can run concurrently; 0 if none accepts tasks.
    pub slots: u32,
}

/// Time since a home was last known to be alive after which its assignments are returned and its runs stopped. Together with
/// the lease of runs (0.6 s) it is shorter than the 1.3 s after which callers resubmit a job.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest time that is taken from a message; longer ones count as this long. Keeps sums and products of times from other
/// processes within what the clock can represent.
pub const MAX_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// Converts milliseconds from a message to a time of at most [`MAX_TIME`].
#[must_use]
pub fn bounded_ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms).min(MAX_TIME)
}

/// Number of priorities that are counted separately in [`Load::queued`].
pub const PRIORITY_LEVELS: usize = 4;

/// Index of a priority in [`Load::queued`].
#[must_use]
pub fn priority_index(priority: u32) -> usize {
    usize::try_from(priority).unwrap_or(PRIORITY_LEVELS).min(PRIORITY_LEVELS - 1)
}

/// Converts a duration to whole milliseconds, rounded down.
#[must_use]
pub fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
