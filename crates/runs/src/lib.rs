//! Execution of tasks under leases on the upstreams that an entry owns.
//!
//! Each upstream takes orders from one entry at a time, its *owner*. The entry that answers the caller of a job is the
//! *home* of its tasks. Homes assign tasks to owners; a start of a task on an upstream is a *run*.
//!
//! [`Runner`] is the state machine of an owner: it queues assigned tasks, starts them on upstreams with free capacity,
//! renews the leases of their runs and reports results to their homes. It performs no I/O and reads no clock: inputs
//! are [`Event`]s, outputs are [`Action`]s. A [`Hold`] is a long poll to an upstream that renews its lease and returns
//! its running and ended runs.
//!
//! Three rules prevent two concurrent runs of a task:
//!
//! - An upstream rejects orders with a lower fencing token than the highest it has seen, and each process has tokens of
//!   its own. A new owner first raises the
//!   token and then stops every run that it did not start itself.
//! - After a start order without an answer, the owner raises the token and lists the runs. A run that is not in that
//!   list can no longer start, because its order carries the old token.
//! - A run is stopped when its home is lost, and expires with its lease when its owner is lost.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//! use hinge_runs::{Action, Assignment, Event, Fence, HoldReply, Holder, Listing, Resources, Runner, UpstreamRecord};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut runner = Runner::default();
//! let capacity = Resources { cpu_millis: 16_000, gpus: 0, memory_mb: 32_768 };
//! runner.handle(now, Event::Upstreams(vec![UpstreamRecord {
//!     address: "10.0.0.9:80".into(),
//!     capacity,
//!     cold_left_ms: 0,
//!     data_centre: "dc1".into(),
//!     draining: false,
//!     id: "up-1".into(),
//!     incarnation: None,
//!     rack: "r1".into(),
//!     sequence: 1,
//!     service: "deicing".into(),
//! }]));
//! let fence = Fence::at(1_790_000_000_000, Holder::new(7).ok_or("not a holder number")?);
//! runner.handle(now, Event::Own { fence, limit: fence.raised(1_000), upstream: "up-1".into() });
//! let Some(Action::Hold(hold)) = runner.drain_actions().find(|action| matches!(action, Action::Hold(_))) else {
//!     return Err("a new owner lists the runs");
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
//!     kind: None,
//! };
//! runner.handle(now, Event::Assigned { assignment, home: 7, sent_after: now });
//! assert!(runner.drain_actions().any(|action| matches!(action, Action::Start(_))));
//! # Ok::<(), &'static str>(())
//! ```

mod ends;
mod evacuation;
mod event;
mod fence;
mod health;
mod interference;
mod listing;
mod load;
mod orders;
mod placement;
mod queue;
mod runner;
mod stalled;
mod types;
mod upstream;
mod warmup;

pub use evacuation::ClosedDataCentres;
pub use event::{
    Action, EndKind, Ended, Event, Hold, HoldReply, Listing, Notice, Rejection, RunProgress, StartOrder,
    StartReply, StopOrder,
};
pub use fence::{Fence, Holder};
pub use interference::InterferenceStats;
pub use runner::Runner;
pub use types::{
    Assignment, AssignmentId, HomeId, Incarnation, LIVENESS_TIMEOUT, Load, LostRun, MAX_TIME, Outcome,
    PRIORITY_LEVELS, Resources, RunId, RunNumber, TaskName, TaskReport, UpstreamRecord, bounded_ms,
    priority_index, whole_ms,
};
