//! What a run consists of: the shape, the workload and the faults.

use std::time::Duration;

use hinge_conf::Policy;

use crate::fleet::{Behaviour, Shape};
use crate::workload::WorkloadSpec;

/// A change of one upstream's behaviour during a run.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Time of the change.
    pub at: Duration,
    /// New behaviour.
    pub behaviour: Behaviour,
    /// Upstream.
    pub upstream: usize,
}

/// One run of a dispatcher version.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Share of the upstreams that fail everything from the start.
    pub failing_share: f64,
    /// Later changes of behaviour.
    pub faults: Vec<Fault>,
    /// Name.
    pub name: String,
    /// Policy of the dispatcher.
    pub policy: Policy,
    /// Shape of the deployment.
    pub shape: Shape,
    /// Workload.
    pub workload: WorkloadSpec,
}
