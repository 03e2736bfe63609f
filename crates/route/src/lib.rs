//! Upstream placement, health, slot loans and retry budgets.
//!
//! [`Router`] tracks the upstreams of one data centre and chooses the upstream that runs each task:
//!
//! - Each upstream is led by one live entry; a bounded rendezvous hash gives all entries about the same
//!   number of slots ([`Router::set_entries`]).
//! - [`Router::pick`] takes a slot on the least loaded suitable upstream. [`Router::finish_task`] frees the
//!   slot and updates the health of the upstream.
//! - [`Router::lend`], [`Router::add_loan`], [`Router::accept_return`] and [`Router::return_idle_slots`] lend
//!   unused slots to other entries for a limited time.
//! - Each upstream has a health state ([`HealthState`]); changes are reported as [`Notice`] values.
//! - [`RetryBudget`] limits retries and hedges to a percentage of the task starts.
//!
//! The crate performs no I/O and reads no clock. Its randomness comes from a seed, so runs are reproducible.
//!
//! ```
//! use std::time::Duration;
//!
//! use hinge_conf::Policy;
//! use hinge_route::{EndKind, PickRequest, Router};
//! use hinge_wire::{Class, InstanceKind, ListEntry, ListState};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut router = Router::new("entry-1".into(), &Policy::default(), 7);
//! router.set_entries(&["entry-1".into()]);
//! router.set_upstreams(now, &[ListEntry {
//!     address: "127.0.0.1:9000".into(),
//!     data_centre: "dc1".into(),
//!     id: "worker-1".into(),
//!     kind: InstanceKind::Upstream,
//!     memory_mb: 32_000,
//!     peer_address: String::new(),
//!     rack: "rack-1".into(),
//!     service: "solve".into(),
//!     slots: 8,
//!     state: ListState::Live,
//! }]);
//! let service = "solve".into();
//! let request = PickRequest {
//!     avoid_racks: &[],
//!     avoid_upstreams: &[],
//!     class: Class::Urgent,
//!     idempotent: true,
//!     service: &service,
//! };
//! let slot = router.pick(now, &request).ok_or("no free slot")?;
//! assert_eq!(&*slot.upstream, "worker-1");
//! assert_eq!(router.free_slots(now, &service), 7);
//! let run_time = Duration::from_millis(50);
//! router.finish_task(now + run_time, &slot, EndKind::Done, run_time, run_time);
//! assert_eq!(router.free_slots(now + run_time, &service), 8);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod budget;
mod health;
mod index;
mod intern;
mod lending;
mod listing;
mod notice;
mod observe;
mod rendezvous;
mod router;
mod samples;
mod table;
mod timers;
mod upstream;

pub use budget::RetryBudget;
pub use health::HealthState;
pub use notice::{EjectionCause, Notice};
pub use rendezvous::assign_upstreams;
pub use router::{EndKind, PickRequest, Router, Slot};
