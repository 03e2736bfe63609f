//! Admission, class shares, team fairness, shedding, run time estimates and team quotas.
//!
//! The crate performs no I/O, reads no clock and spawns nothing. Methods that need the time take `now`, which
//! must not go backwards.
//!
//! - [`Scheduler`] queues the tasks of one service. [`Scheduler::admit`] checks a submission,
//!   [`Scheduler::push`] queues its tasks and [`Scheduler::next`] chooses the task for a free slot;
//!   [`Scheduler::finish_task`] or [`Scheduler::requeue`] must follow for each chosen task.
//!   [`Scheduler::expire`] returns the tasks that missed their deadline, and [`Scheduler::take_notices`]
//!   reports when shedding starts and ends.
//! - [`Estimates`] learns run times, which serve as the cost of tasks.
//! - [`Quotas`] enforces this entry's part of each team's quota.
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
//! start, a cancellation and an expiry unlink it in constant time. The class of the next task is chosen by
//! comparing the slots that each class uses with its guaranteed share. Within a class, teams take turns by
//! deficit round robin. A calendar queue of rounds skips the rounds in which no team may start a task.

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
