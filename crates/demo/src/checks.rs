//! Checks of what the upstreams have seen.

use hinge_fakes::TaskPayload;
use hinge_wire::{FastMap, from_json};

use crate::cluster::Cluster;
use crate::report::Report;

/// Checks that bookings and tasks of jobs have started at most once, and that the oversized task has not started.
pub(crate) fn check_starts(cluster: &Cluster, report: &mut Report) {
    let results = cluster.starts().into_iter().filter_map(|start| {
        from_json::<TaskPayload>(start.payload.as_bytes()).ok().and_then(|payload| payload.result)
    });
    let mut starts: FastMap<String, usize> = FastMap::default();
    for result in results {
        *starts.entry(result).or_default() += 1;
    }
    report.task_starts = starts.values().sum();
    for (result, count) in starts {
        let limit = match result.split('-').next() {
            Some("oversized") => 0,
            Some("booking" | "job" | "long") => 1,
            // Idempotent requests may be started again.
            _ => usize::MAX,
        };
        if count > limit {
            report.add_failure(format!("task {result} was started {count} times"));
        }
    }
}
