//! What a run consists of: the shape, the workload and the faults.

use std::time::Duration;

use hinge_conf::Policy;

use crate::fleet::{Behaviour, Shape};
use crate::workload::WorkloadSpec;

/// Time after the last arrival in which submissions may still end.
const COOL_DOWN: Duration = Duration::from_secs(30);

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

impl Scenario {
    /// Virtual time at which a run ends.
    #[must_use]
    pub fn end(&self) -> Duration {
        Duration::from_secs_f64(self.workload.duration_s) + COOL_DOWN
    }
}
