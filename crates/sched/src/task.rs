//! Tasks and requests as callers of the scheduler see them.

use std::time::Duration;

use hinge_wire::{Class, TaskId, TeamId};
use tokio::time::Instant;

/// A task that waits for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedTask {
    /// Urgency class.
    pub class: Class,
    /// Expected run time.
    pub cost: Duration,
    /// Time at which the task was first queued; kept when it is put back.
    pub enqueued_at: Instant,
    /// The task.
    pub id: TaskId,
    /// Last moment at which the task may start.
    pub start_by: Instant,
    /// Team that the task counts for.
    pub team: TeamId,
}

/// A submission that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmitRequest<'a> {
    /// Urgency class.
    pub class: Class,
    /// Expected run time of each task.
    pub cost: Duration,
    /// Last moment at which the tasks may start.
    pub start_by: Instant,
    /// Number of tasks.
    pub tasks: u32,
    /// Team that the tasks count for.
    pub team: &'a TeamId,
}

/// A change that operators should see.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Notice {
    /// Early refusal of the class has started.
    ShedStarted {
        /// The class.
        class: Class,
    },
    /// Early refusal of the class has ended.
    ShedEnded {
        /// The class.
        class: Class,
    },
}
