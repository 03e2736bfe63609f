//! Submission keys, at-most-once execution records and answer retention.
//!
//! Each entry instance has one [`Ledger`]. It decides whether a task may start and what the answer to a submission is.
//! It holds no queue and performs no I/O; the caller passes `now` and acts on the returned values.
//!
//! - [`Ledger::issue`] issues keys in advance, and [`Ledger::admit`] admits a submission under one of them.
//! - [`Ledger::start`] permits each task to start at most once; [`Ledger::withdraw_start`] undoes a start that
//!   certainly did not happen, for example because the upstream refused the task.
//! - [`Ledger::end`] ends a task; [`Ledger::reject`] and [`Ledger::cancel`] end a submission. A [`Completion`] is
//!   returned exactly once per submission.
//! - [`Ledger::status`] reports progress and the stored answer; [`Ledger::expire`] drops expired keys
//!   and records.
//!
//! ```
//! use std::sync::Arc;
//! use hinge_conf::Policy;
//! use hinge_ledger::{Admission, Ledger, Origin, TaskEnd};
//! use hinge_wire::{Class, Outcome, Submission, TaskId, TaskSpec};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let origin = Origin { data_centre: "dc1".into(), incarnation: 7, instance: "entry-1".into() };
//! let mut ledger = Ledger::new(origin, &Policy::default());
//! let keys = ledger.issue(now, 1).map_err(|code| code.name())?;
//! let submission = Arc::new(Submission {
//!     class: Class::Urgent, deadline_ms: None, definite: false, idempotent: false, key: None,
//!     service: "route".into(), team: "ops".into(), wait_ms: None,
//!     tasks: vec![TaskSpec { memory_mb: None, payload: "a to b".into(), run_time_ms: None }],
//! });
//!
//! let Admission::New(sequence) = ledger.admit(now, &keys[0], submission.clone()) else { return Err("not new") };
//! assert_eq!(ledger.admit(now, &keys[0], submission), Admission::Known(sequence));
//!
//! let task = TaskId { sequence, index: 0 };
//! assert!(ledger.start(now, task, false));
//! assert!(!ledger.start(now, task, false));
//! let completion = ledger.end(now, task, TaskEnd::Done("12 km".into())).ok_or("not complete")?;
//! assert_eq!(completion.answer.outcome, Outcome::Complete);
//! assert_eq!(completion.answer.results, ["12 km"]);
//! # Ok::<(), &'static str>(())
//! ```

mod answers;
mod digest;
mod job;
mod keys;
mod ledger;
mod record;

pub use keys::MAX_KEYS_PER_ISSUE;
pub use ledger::{Admission, Completion, Ledger, Origin};
pub use record::{IgnoredEnds, TaskEnd};
