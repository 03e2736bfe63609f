//! Jobs, their answers, and the outputs of the job table.

use std::sync::Arc;
use std::time::Duration;

use hinge_runs::{Assignment, AssignmentId, HomeId, MAX_TIME, Outcome, Resources, RunNumber, TaskName};
use hinge_wire::{ServiceId, UpstreamId};
use tokio::time::Instant;

/// Upper bound of [`QueuePolicy::stretch`].
const MAX_STRETCH: f64 = 1_000.0;

/// Number of a job at its home.
pub type JobNumber = u64;

/// Policy of the queue that a job belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Number of failed runs of one task after which its job fails; interrupted runs do not count.
    pub max_attempts: u32,
    /// Identifies the queue in logs and in run time estimates.
    pub name: Arc<str>,
    /// Order of the tasks at owners; 0 is the most urgent.
    pub priority: u32,
    /// Service whose upstreams run the tasks.
    pub service: ServiceId,
    /// Factor on the expected run time in a job's objective; values below 1 count as 1, values above 1,000 as 1,000.
    pub stretch: f64,
    /// Time added to the stretched run time in a job's objective.
    pub target: Duration,
    /// Time that callers give a job at least when they send it for the first time.
    pub timeout: Duration,
}

/// A job of identical tasks that run independently of each other.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// Time until the caller stops waiting.
    pub budget: Duration,
    /// The caller's estimate of the run time of a task.
    pub estimate: Duration,
    /// Id chosen by the caller, for logs.
    pub id: Arc<str>,
    /// Resources to reserve for each task.
    pub need: Resources,
    /// Policy of the queue that the job was sent to.
    pub queue: QueuePolicy,
    /// Number of each task's first run. Should be higher than the numbers of an earlier submission of the same job; an
    /// owner raises it when the upstream rejects it as old.
    pub run: RunNumber,
    /// Description of the work, passed to the upstreams unchanged.
    pub spec: Arc<str>,
    /// Prefix of the task names; a dot and the position of the task in the job are appended.
    pub task_prefix: Arc<str>,
    /// Number of tasks.
    pub tasks: u32,
}

impl JobRequest {
    /// Name of the task at a position of the job.
    pub(crate) fn task_name(&self, task: u32) -> TaskName {
        Arc::from(format!("{}.{task}", self.task_prefix))
    }

    /// Limits the times that come from the caller and the operator, so that arithmetic with them cannot overflow.
    pub(crate) fn bounded(mut self) -> Self {
        let times = [&mut self.budget, &mut self.estimate, &mut self.queue.target, &mut self.queue.timeout];
        for time in times {
            *time = (*time).min(MAX_TIME);
        }
        let stretch = self.queue.stretch;
        self.queue.stretch = if stretch.is_nan() { 1.0 } else { stretch.clamp(1.0, MAX_STRETCH) };
        self
    }
}

/// The final result of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// All tasks have succeeded.
    Completed,
    /// The job has failed; some of its tasks may have run.
    Failed(FailCause),
    /// The job was not accepted, and none of its tasks has run or will run.
    Rejected {
        /// Written to the log under its variant name.
        cause: RejectCause,
        /// Time that the caller should wait before it tries again; random, to spread retries.
        retry_after: Duration,
    },
}

/// Why a job failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailCause {
    /// A task has failed [`QueuePolicy::max_attempts`] times.
    Attempts,
    /// Too many upstreams were lost while a task ran on them, in this submission of the job or in earlier ones.
    Crashes,
    /// It is unknown whether a run of a task still exists, so that the task cannot be started again.
    Interrupted,
    /// The time budget is used up, or a task can no longer start in time.
    Late,
}

/// Why a job was not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectCause {
    /// The entry drains, and the job would not end before it stops.
    Draining,
    /// No owner of upstreams of the service is known.
    NoOwner,
    /// The job would miss its objective or its time budget.
    Overload,
    /// A task needs more than any registered upstream of the service has.
    TooLarge,
}

/// An output of [`JobTable`](crate::JobTable).
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the caller of a job its final result; the table has dropped the job.
    Answer {
        /// Final result of the job.
        answer: Answer,
        /// Number returned by [`JobTable::submit`](crate::JobTable::submit).
        job: JobNumber,
    },
    /// Send a task to an owner.
    Assign {
        /// Task with its requirements and limits.
        assignment: Assignment,
        /// Receiver, which may be this entry itself.
        owner: HomeId,
    },
    /// Ask an owner to drop or stop a task that is no longer needed.
    Cancel {
        /// Assignment of the task.
        assignment: AssignmentId,
        /// Receiver, which may be this entry itself.
        owner: HomeId,
    },
    /// Write a log event.
    Notice(Notice),
    /// Ask an owner to return a task unless it has started.
    Recall {
        /// Assignment of the task.
        assignment: AssignmentId,
        /// Receiver, which may be this entry itself.
        owner: HomeId,
    },
}

/// A decision about a job, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A job was admitted.
    Admitted {
        /// Id chosen by the caller.
        id: Arc<str>,
        /// Age of the oldest load report that the placement is based on.
        load_age: Duration,
        /// Number of owners that got tasks.
        owners: usize,
        /// Name of the job's queue.
        queue: Arc<str>,
        /// Time in which the last task must start.
        slack: Duration,
        /// Number of tasks.
        tasks: u32,
        /// Estimated wait of the last task to start; zero if all owners reported room.
        wait: Duration,
    },
    /// A job has ended.
    Answered {
        /// Final result of the job.
        answer: Answer,
        /// Time for which the answer waited for the end of the job's runs.
        ending: Duration,
        /// Id chosen by the caller.
        id: Arc<str>,
        /// Name of the job's queue.
        queue: Arc<str>,
        /// Time since the job was submitted.
        total: Duration,
        /// Number of tasks whose owner did not report the end of their runs before their leases had expired.
        unreported_tasks: usize,
    },
    /// A caller disconnected before its job was answered.
    Abandoned {
        /// Id of the job, as chosen by the caller.
        id: Arc<str>,
        /// Time since the job was submitted.
        total: Duration,
    },
    /// A task is not started again, because too many upstreams were lost while it ran on them.
    GivenUp {
        /// Id of the job, as chosen by the caller.
        id: Arc<str>,
        /// Position of the task in the job.
        task: u32,
        /// The lost upstreams.
        upstreams: Vec<UpstreamId>,
    },
    /// A waiting task is recalled because another owner has room for it.
    Moved {
        /// Id of the job, as chosen by the caller.
        id: Arc<str>,
        /// Position of the task in the job.
        task: u32,
        /// Estimated wait at the owner that returns it.
        wait: Duration,
    },
    /// A task is assigned again after its previous assignment ended without success.
    Repeated {
        /// Id of the job, as chosen by the caller.
        id: Arc<str>,
        /// How the previous assignment ended.
        outcome: Outcome,
        /// Position of the task in the job.
        task: u32,
        /// Upstream of the previous run; none if the task did not run.
        upstream: Option<UpstreamId>,
    },
}

/// State of a task of a job in progress.
#[derive(Clone, Debug)]
pub(crate) enum TaskState {
    Assigned {
        assignment: AssignmentId,
        owner: HomeId,
    },
    Done,
    /// Returned by its owner without a start, in a job that is being withdrawn.
    NotStarted,
}

#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Number of failed runs by position of the task.
    pub(crate) failed_runs: Vec<u32>,
    /// When the caller stops waiting.
    pub(crate) expires_at: Instant,
    /// When the job should have ended: the stretched run time plus the queue's target, counted from the caller's first
    /// attempt.
    pub(crate) objective_at: Instant,
    pub(crate) received_at: Instant,
    pub(crate) request: JobRequest,
    /// Whether a task has run or may have run.
    pub(crate) may_have_run: bool,
    /// Number of tasks that are not done.
    pub(crate) remaining: u32,
    pub(crate) tasks: Vec<TaskState>,
    /// When an answer stops being of use to the caller.
    pub(crate) use_until: Instant,
    /// Set when all tasks are cancelled because the job cannot start in time. It ends once each owner has reported
    /// whether its task has started.
    pub(crate) withdrawn: bool,
}
