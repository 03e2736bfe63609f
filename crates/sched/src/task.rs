//! Arguments and results of the scheduler.

use std::time::Duration;

use hinge_wire::{Class, TaskId, TeamId};
use tokio::time::Instant;

/// A task that waits for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedTask {
    /// Priority class, which selects the queue and the guaranteed share.
    pub class: Class,
    /// Expected run time; clamped to 1 ms to 60 s.
    pub cost: Duration,
    /// Time at which the task was first queued, from which its wait is measured. Unchanged by a requeue.
    pub enqueued_at: Instant,
    /// Id of the task; unique among the queued tasks.
    pub id: TaskId,
    /// Last time at which the task may start; it expires afterwards.
    pub start_by: Instant,
    /// Team whose share the task uses.
    pub team: TeamId,
}

/// Summary of a submission for the admission check, [`Scheduler::admit`](crate::Scheduler::admit).
#[derive(Clone, Copy, Debug)]
pub struct AdmitRequest<'a> {
    /// Priority class of all tasks.
    pub class: Class,
    /// Expected run time of each task; clamped to 1 ms to 60 s.
    pub cost: Duration,
    /// Last time at which the tasks may start.
    pub start_by: Instant,
    /// Number of tasks; either all are admitted or none.
    pub tasks: u32,
    /// Team whose share the tasks use.
    pub team: &'a TeamId,
}

/// A change of shedding, to be logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Notice {
    /// Shedding has started: submissions are rejected because tasks wait too long.
    ShedStarted {
        /// Class that sheds load.
        class: Class,
    },
    /// Shedding has ended.
    ShedEnded {
        /// Class that no longer sheds load.
        class: Class,
    },
}
