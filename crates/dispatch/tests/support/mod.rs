//! Simulation of several entries of one data centre with upstreams, messages, faults and invariant checks.

#![allow(
    dead_code,
    clippy::expect_used,
    clippy::panic,
    clippy::unwrap_used,
    reason = "test support, used in part by each test"
)]

mod checks;
mod faults;
mod node;
mod world;

pub(crate) use checks::Violation;
pub(crate) use node::Naive;
pub(crate) use world::{Plan, Simulation, violation_kinds};
