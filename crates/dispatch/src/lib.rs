//! Scheduling state machine of an entry instance: events in, actions out.
//!
//! A [`Dispatcher`] combines the ledger (which tasks may start and what the answers are), one scheduler per service
//! (which task starts next) and the router (on which upstream it starts). It performs no I/O: the entry daemon, the
//! tests and the bench execute its [`Action`]s and report the results as [`Event`]s.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//! use hinge_conf::Policy;
//! use hinge_dispatch::{Action, Dispatcher, Event, Origin, TaskResult};
//! use hinge_wire::{Class, InstanceKind, ListEntry, ListState, Outcome, Submission, TaskSpec};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let origin = Origin { data_centre: "dc1".into(), incarnation: 7, instance: "entry-1".into() };
//! let mut dispatcher = Dispatcher::new(origin, &Policy::default(), 1);
//! dispatcher.handle(now, Event::Peers { leaders: vec!["entry-1".into()], listed_entries: 1, lenders: vec![] });
//! dispatcher.handle(now, Event::Upstreams(vec![ListEntry {
//!     address: "127.0.0.1:9000".into(),
//!     data_centre: "dc1".into(),
//!     id: "up-1".into(),
//!     kind: InstanceKind::Upstream,
//!     memory_mb: 32_000,
//!     peer_address: String::new(),
//!     rack: "r1".into(),
//!     service: "deicing".into(),
//!     slots: 8,
//!     state: ListState::Live,
//! }]));
//! let keys = dispatcher.issue_keys(now, 1).map_err(|code| code.name())?;
//! let submission = Submission {
//!     class: Class::Urgent,
//!     deadline_ms: None,
//!     definite: false,
//!     idempotent: false,
//!     key: None,
//!     service: "deicing".into(),
//!     tasks: vec![TaskSpec { memory_mb: None, payload: "truck 4".into(), run_time_ms: None }],
//!     team: "apron-a".into(),
//!     wait_ms: None,
//! };
//! dispatcher.submit(now, &keys[0], Arc::new(submission)).map_err(|code| code.name())?;
//! let starts: Vec<Action> = dispatcher.drain_actions().collect();
//! let Action::Start(start) = &starts[0] else { return Err("no start") };
//!
//! let later = now + Duration::from_millis(50);
//! let result = TaskResult::Done("assigned".into());
//! dispatcher.handle(later, Event::TaskEnded { result, run_time: later - now, start: start.start });
//! let answers: Vec<Action> = dispatcher.drain_actions().collect();
//! let Action::Answer { answer, .. } = &answers[0] else { return Err("no answer") };
//! assert_eq!(answer.outcome, Outcome::Complete);
//! assert_eq!(answer.results, ["assigned"]);
//! # Ok::<(), &'static str>(())
//! ```

mod dispatcher;
mod event;
mod loans;
mod placement;
mod submit;
mod tasks;

pub use dispatcher::Dispatcher;
pub use event::{Action, Event, Lender, Refusal, Start, TaskResult, Totals};
pub use hinge_ledger::Origin;
pub use hinge_route::Notice;
pub use hinge_sched::Notice as SheddingNotice;
