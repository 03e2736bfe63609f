//! Admission, class shares, team fairness, shedding, run time estimates and team quotas.
//!
//! Everything here is plain decision code: it performs no I/O, reads no clock and spawns nothing. Each method
//! that needs the time takes `now`, which must not go backwards.
//!
//! - [`Scheduler`] holds the queued tasks of one service. [`Scheduler::admit`] checks a submission,
//!   [`Scheduler::push`] queues its tasks, [`Scheduler::next`] chooses the task for a free slot, and
//!   [`Scheduler::finish_task`] or [`Scheduler::requeue`] must follow for each chosen task. Late tasks come out of
//!   [`Scheduler::expire`], and [`Scheduler::take_notices`] tells when early refusal starts and ends.
//! - [`Estimates`] learns run times, which serve as the cost of tasks.
//! - [`Quotas`] enforces this entry's part of the teams' quotas.
//!
//! ```
//! use std::time::Duration;
//!
//! use hinge_conf::Policy;
//! use hinge_sched::{AdmitRequest, Estimates, QueuedTask, Quotas, Scheduler};
//! use hinge_wire::{Class, ServiceId, TaskId, TeamId};
//! use tokio::time::Instant;
//!
//! let (now, policy) = (Instant::now(), Policy::default());
//! let (class, service, team) = (Class::Query, ServiceId::from("maps"), TeamId::from("logistics"));
//! let mut estimates = Estimates::new(&policy);
//! let mut quotas = Quotas::new(&policy);
//! let mut scheduler = Scheduler::new(&policy);
//! scheduler.set_capacity(8);
//!
//! let cost = estimates.expected(&service, class, Some(Duration::from_millis(80)));
//! let start_by = now + Duration::from_secs(5);
//! assert!(quotas.take(now, &team, 1));
//! scheduler.admit(now, &AdmitRequest { class, cost, start_by, tasks: 1, team: &team })?;
//!
//! let id = TaskId { sequence: 1, index: 0 };
//! scheduler.push(now, QueuedTask { class, cost, enqueued_at: now, id, start_by, team: team.clone() });
//! let started = scheduler.next(now).map(|task| task.id);
//! assert_eq!(started, Some(id));
//!
//! let run_time = Duration::from_millis(95);
//! scheduler.finish_task(class, &team, run_time);
//! estimates.observe(&service, class, run_time);
//! assert_eq!(estimates.expected(&service, class, None), run_time);
//! # Ok::<(), hinge_wire::ResultCode>(())
//! ```
//!
//! # Structure
//!
//! Queued tasks live in one slab. Each is linked into the queue of its team and into a timer wheel, so that a
//! start, a cancellation and an expiry all unlink it in constant time. The teams of a class take turns by
//! deficit round robin on a calendar of rounds, which skips the rounds in which no team may start. The class
//! is chosen by the slots in use against the guaranteed shares.

mod demand;
mod estimates;
mod fair;
mod limits;
mod list;
mod quotas;
mod scheduler;
mod share;
mod shed;
mod task;
mod timer;

pub use estimates::Estimates;
pub use quotas::Quotas;
pub use scheduler::Scheduler;
pub use task::{AdmitRequest, Notice, QueuedTask};
