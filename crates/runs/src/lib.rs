//! Runs of tasks under leases on the upstreams that an entry owns.
//!
//! Exactly one entry gives orders to an upstream at a time: its owner. A [`Runner`] is the decision code of an
//! owner. Homes (the entries that answer callers) hand tasks to it; it queues them, starts them where there is
//! room, keeps their leases alive and reports how they ended. It performs no I/O and reads no clock: inputs are
//! [`Event`]s, outputs are [`Action`]s.
//!
//! Three rules keep a task from running twice at a time:
//!
//! - An upstream obeys only the highest fencing token that it has seen. A new owner raises the token before anything
//!   else, then stops every run that it did not start itself.
//! - A start order that is not answered is settled by raising the token and reading the list of runs: a run that is
//!   not listed then can never start.
//! - A run whose home has gone away is stopped; a run whose owner has gone away loses its lease.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//! use hinge_runs::{Action, Assignment, Event, HoldReply, Listing, Resources, Runner, UpstreamRecord};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut runner = Runner::default();
//! let capacity = Resources { cpu_millis: 16_000, gpus: 0, memory_mb: 32_768 };
//! runner.handle(now, Event::Upstreams(vec![UpstreamRecord {
//!     address: "10.0.0.9:80".into(),
//!     capacity,
//!     data_centre: "dc1".into(),
//!     draining: false,
//!     id: "up-1".into(),
//!     incarnation: None,
//!     rack: "r1".into(),
//!     sequence: 1,
//!     service: "deicing".into(),
//! }]));
//! runner.handle(now, Event::Own { fence: 1, upstream: "up-1".into() });
//! let Some(Action::Hold(hold)) = runner.drain_actions().find(|action| matches!(action, Action::Hold(_))) else {
//!     return Err("the new owner reads what runs");
//! };
//! runner.handle(now, Event::HoldEnded { hold, reply: HoldReply::Listed(Listing::default()) });
//!
//! let assignment = Assignment {
//!     avoid: None,
//!     id: 1,
//!     need: Resources { cpu_millis: 7_000, gpus: 0, memory_mb: 64 },
//!     expected_ms: 60,
//!     late: false,
//!     priority: 0,
//!     run: 1,
//!     service: "deicing".into(),
//!     spec: Arc::from("truck 4"),
//!     start_within_ms: 100,
//!     task: "job.0.0.0".into(),
//!     waits: true,
//! };
//! runner.handle(now, Event::Assigned { assignment, home: 7 });
//! assert!(runner.drain_actions().any(|action| matches!(action, Action::Start(_))));
//! # Ok::<(), &'static str>(())
//! ```

mod event;
mod health;
mod listing;
mod orders;
mod placement;
mod queue;
mod runner;
mod stalled;
mod types;
mod upstream;

pub use event::{
    Action, EndKind, Ended, Event, Hold, HoldReply, Listing, Notice, Rejection, RunProgress, StartOrder,
    StartReply, StopOrder,
};
pub use runner::Runner;
pub use types::{
    Assignment, AssignmentId, Fence, HomeId, Incarnation, Load, Outcome, PRIORITY_LEVELS, Resources, RunId,
    RunNumber, TaskName, TaskReport, UpstreamRecord, priority_index, whole_ms,
};
