//! Scenarios: a deployment, a workload and the faults of the upstreams.

use std::time::Duration;

use hinge_conf::Policy;

use crate::fleet::{Behaviour, Deployment};
use crate::workload::WorkloadSpec;

/// Time after the end of the workload in which submissions may still be answered.
const COOL_DOWN: Duration = Duration::from_secs(30);

/// A change of one upstream's behaviour during a run.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Virtual time of the change.
    pub at: Duration,
    /// Behaviour from then on.
    pub behaviour: Behaviour,
    /// Index of the upstream in [`Fleet::upstreams`](crate::fleet::Fleet::upstreams).
    pub upstream: usize,
}

/// Input of a run of the dispatcher or the naive version.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Share of the upstreams, from 0 to 1, that fail every task from the start.
    pub failing_share: f64,
    /// Changes of upstreams' behaviour during the run.
    pub faults: Vec<Fault>,
    /// Name without that of the deployment.
    pub name: String,
    /// Policy of the dispatcher. The naive version uses only its deadlines.
    pub policy: Policy,
    /// Entries, upstreams and network delays.
    pub deployment: Deployment,
    /// Parameters of the submissions to generate.
    pub workload: WorkloadSpec,
}

impl Scenario {
    /// Virtual time at which a run ends: the length of the workload and a cool-down.
    #[must_use]
    pub fn end(&self) -> Duration {
        Duration::from_secs_f64(self.workload.duration_s) + COOL_DOWN
    }
}
