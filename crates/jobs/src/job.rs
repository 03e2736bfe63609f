//! What a caller asks for, and what becomes of it.

use std::sync::Arc;
use std::time::Duration;

use hinge_runs::{Assignment, AssignmentId, HomeId, Outcome, Resources, RunNumber};
use hinge_wire::{ServiceId, UpstreamId};
use tokio::time::Instant;

/// Number of a job at its home.
pub type JobNumber = u64;

/// Policy of the queue that a job was sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// Name, for logs.
    pub name: Arc<str>,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Service whose upstreams run the tasks.
    pub service: ServiceId,
    /// Factor on the run time that callers accept.
    pub stretch: f64,
    /// Time on top of the stretched run time that callers accept.
    pub target: Duration,
}

/// A job of equal tasks that run independently of each other.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// Time until the caller stops waiting.
    pub budget: Duration,
    /// Estimated run time of a task, as the caller gave it.
    pub estimate: Duration,
    /// Id that the caller chose.
    pub id: Arc<str>,
    /// What each task needs.
    pub need: Resources,
    /// The queue's policy.
    pub queue: QueuePolicy,
    /// Run number of the first starts.
    pub run: RunNumber,
    /// What each task runs.
    pub spec: Arc<str>,
    /// Name of a task without its position in the job.
    pub task_prefix: Arc<str>,
    /// Number of tasks.
    pub tasks: u32,
}

/// The final result of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// All tasks are done.
    Completed,
    /// The job has failed; some of its tasks may have run.
    Failed(FailCause),
    /// The job was not accepted, and none of its tasks has run or will run.
    Rejected {
        /// Why.
        cause: RejectCause,
        /// Time after which a new attempt makes sense.
        retry_after: Duration,
    },
}

/// Why a job failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailCause {
    /// A task failed as often as the queue allows.
    Attempts,
    /// A task's run may still exist, so that it cannot be started again.
    Interrupted,
    /// The time budget is used up.
    Late,
}

/// Why a job was not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectCause {
    /// No owner of upstreams of the service is known.
    NoOwner,
    /// The job would not end in time.
    Overload,
}

/// An output of [`JobTable`](crate::JobTable).
#[derive(Clone, Debug)]
pub enum Action {
    /// A job has ended.
    Answer {
        /// The answer.
        answer: Answer,
        /// The job.
        job: JobNumber,
    },
    /// Hand a task to an owner.
    Assign {
        /// The task.
        assignment: Assignment,
        /// The owner.
        owner: HomeId,
    },
    /// Tell an owner that a task is no longer needed.
    Cancel {
        /// The task's assignment.
        assignment: AssignmentId,
        /// The owner.
        owner: HomeId,
    },
    /// For the log.
    Notice(Notice),
    /// Ask an owner to give a task back unless it has started.
    Recall {
        /// The task's assignment.
        assignment: AssignmentId,
        /// The owner.
        owner: HomeId,
    },
}

/// A decision about a job, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A job was admitted.
    Admitted {
        /// Its id.
        id: Arc<str>,
        /// Age of the load report that the wait was estimated from.
        load_age: Duration,
        /// Owners that got tasks.
        owners: usize,
        /// Queue.
        queue: Arc<str>,
        /// Longest allowed wait for a start.
        slack: Duration,
        /// Number of tasks.
        tasks: u32,
        /// Estimated wait of the last task.
        wait: Duration,
    },
    /// A job has ended.
    Answered {
        /// The answer.
        answer: Answer,
        /// Its id.
        id: Arc<str>,
        /// Queue.
        queue: Arc<str>,
        /// Time since it was received.
        total: Duration,
    },
    /// A caller left before the answer.
    Abandoned {
        /// Id of the job.
        id: Arc<str>,
        /// Time since it was received.
        total: Duration,
    },
    /// A task that waits at one owner is moved to another one.
    Moved {
        /// Id of the job.
        id: Arc<str>,
        /// Position of the task in the job.
        task: u32,
        /// Estimated wait at the owner that gives it back.
        wait: Duration,
    },
    /// A task is placed again.
    Repeated {
        /// Id of the job.
        id: Arc<str>,
        /// How the run before ended.
        outcome: Outcome,
        /// Position of the task in the job.
        task: u32,
        /// Where it ran.
        upstream: Option<UpstreamId>,
    },
}

/// A task of a job in progress.
#[derive(Clone, Debug)]
pub(crate) enum TaskState {
    /// Handed to an owner.
    Assigned { assignment: AssignmentId, owner: HomeId },
    /// Done.
    Done,
    /// Came back from its owner without a start.
    NotStarted,
}

/// A job in progress.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Failed runs by task.
    pub(crate) failed_runs: Vec<u32>,
    /// When an answer no longer reaches the caller.
    pub(crate) expires_at: Instant,
    /// End of the time in which the job is of full use.
    pub(crate) objective: Duration,
    pub(crate) received_at: Instant,
    pub(crate) request: JobRequest,
    /// Whether a task has run or may have run.
    pub(crate) ran: bool,
    /// Tasks that are not done.
    pub(crate) remaining: u32,
    pub(crate) tasks: Vec<TaskState>,
    /// Set when the job is taken back from its owners; it ends once each has said whether its task has started.
    pub(crate) withdrawn: bool,
}
