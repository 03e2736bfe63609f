//! Gauges of the data centres that are or were evacuated.

use prometheus::{IntGaugeVec, Opts, Registry};

use crate::EvacuationReport;

/// Gauges by data centre; data centres that were never evacuated have none.
#[derive(Clone, Debug)]
pub(crate) struct EvacuationMetrics {
    agreeing_peers: IntGaugeVec,
    cold_upstreams: IntGaugeVec,
    evacuated_seconds: IntGaugeVec,
    other_peers: IntGaugeVec,
    revision: IntGaugeVec,
    running: IntGaugeVec,
}

impl EvacuationMetrics {
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), &["data_centre"])?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        Ok(Self {
            agreeing_peers: gauge("evacuation_agreeing_peers", "Linked peers that have adopted the state.")?,
            cold_upstreams: gauge("evacuation_cold_upstreams", "Owned upstreams that are cold.")?,
            evacuated_seconds: gauge("evacuated_seconds", "Time since the evacuation; 0 if taken back.")?,
            other_peers: gauge("evacuation_other_peers", "Linked peers that have not adopted the state.")?,
            revision: gauge("evacuation_revision", "Revision of the store at which the state was seen.")?,
            running: gauge("evacuation_running", "Runs on owned upstreams of the data centre.")?,
        })
    }

    /// Replaces all gauges.
    pub(crate) fn set(&self, reports: &[EvacuationReport]) {
        for gauge in [
            &self.agreeing_peers,
            &self.cold_upstreams,
            &self.evacuated_seconds,
            &self.other_peers,
            &self.revision,
            &self.running,
        ] {
            gauge.reset();
        }
        for report in reports {
            // An evacuation that has just begun differs from one that has ended.
            let evacuated_seconds = report.evacuated_for.map_or(0, |time| time.as_secs().max(1));
            for (gauge, value) in [
                (&self.agreeing_peers, to_u64(report.agreeing_peers)),
                (&self.cold_upstreams, to_u64(report.cold_upstreams)),
                (&self.evacuated_seconds, evacuated_seconds),
                (&self.other_peers, to_u64(report.other_peers)),
                (&self.revision, report.revision),
                (&self.running, to_u64(report.running)),
            ] {
                let gauge = gauge.with_label_values(&[&*report.data_centre]);
                gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
            }
        }
    }
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
