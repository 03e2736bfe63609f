//! Jobs of one entry's callers: admission control, choice of owners, retries and answers.
//!
//! The entry that receives a job from its caller is the job's home. Its [`JobTable`] distributes the tasks over the
//! owners of upstreams by their reported [`Load`](hinge_runs::Load), retries failed tasks while attempts are left, and
//! ends each job with exactly one [`Answer`], unless its caller disconnects. It performs no I/O and reads no clock.
//!
//! - A job that would end too late is rejected before any of its tasks starts, with a delay for the caller's retry.
//!   [`Answer::Rejected`] means that no task has run.
//! - The objective of a job counts from its caller's first attempt. Callers that come back after they have waited for too
//!   long are served only where there is room, so that they do not delay callers that can still be in time.
//! - A task under which several upstreams were lost is not started again, also when its job is sent again.
//! - A task is started again only if its previous run is known to have ended. If that is unknown, the job fails.
//!
//! ```
//! use std::time::Duration;
//! use hinge_jobs::{Action, JobRequest, JobTable, OwnerLoad, QueuePolicy};
//! use hinge_runs::{Load, Resources};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut table = JobTable::new(7, 1);
//! let load = Load { mean_run_ms: 60, queued: [0; 4], rooms_cpu_millis: vec![14_000; 4], slots: 16 };
//! table.set_load(now, OwnerLoad { last_assignment: 0, load, owner: 7, service: "deicing".into() });
//! table.submit(now, JobRequest {
//!     budget: Duration::from_millis(1_500),
//!     estimate: Duration::from_millis(60),
//!     id: "5c0e".into(),
//!     need: Resources { cpu_millis: 7_000, gpus: 0, memory_mb: 64 },
//!     queue: QueuePolicy {
//!         max_attempts: 3,
//!         name: "slot-check".into(),
//!         priority: 0,
//!         service: "deicing".into(),
//!         stretch: 1.6,
//!         target: Duration::from_millis(60),
//!         timeout: Duration::from_millis(1_500),
//!     },
//!     run: 1,
//!     spec: "truck 4".into(),
//!     task_prefix: "5c0e.0.0".into(),
//!     tasks: 8,
//! });
//! let assigned = table.drain_actions().filter(|action| matches!(action, Action::Assign { .. })).count();
//! assert_eq!(assigned, 8);
//! ```

mod budget;
mod ending;
mod estimate;
mod job;
mod lost_runs;
mod owners;
mod placing;
mod table;

pub use job::{Action, Answer, FailCause, JobNumber, JobRequest, Notice, QueuePolicy, RejectCause};
pub use owners::OwnerLoad;
pub use table::JobTable;
