//! Simulations in virtual time that compare the dispatcher's decision code with a naive dispatcher.
//!
//! - [`scenario`] describes a run; [`workload`] generates its submissions from a seed.
//! - [`driver`] simulates the entries with the real decision code, [`naive`] with a naive one, on the same [`fleet`] of
//!   upstreams. Both take their events from the queue in [`clock`].
//! - [`recorder`] calculates the figures, [`policy_report`] prints them as tables and [`plots`] draws them.

pub mod clock;
pub mod driver;
pub mod fleet;
pub mod naive;
pub mod plots;
pub mod policy_report;
pub mod recorder;
pub mod scenario;
pub mod workload;
