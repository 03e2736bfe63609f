//! Measurements of the dispatcher's decision code against a naive version, in virtual time.
//!
//! - [`workload`] generates the submissions of a run from a seed.
//! - [`driver`] runs the real decision code of all entries, [`naive`] a naive version, over the same [`fleet`].
//! - [`recorder`] draws the figures, [`policy_report`] the tables and [`plots`] the plots.

pub mod clock;
pub mod driver;
pub mod fleet;
pub mod naive;
pub mod plots;
pub mod policy_report;
pub mod recorder;
pub mod scenario;
pub mod workload;
