//! Checks of the task starts that the upstreams recorded.

use hinge_fakes::TaskPayload;
use hinge_wire::{FastMap, from_json};

use crate::cluster::Cluster;
use crate::report::Report;

/// Checks that each booking and each task of a job was started at most once, and the oversized task never.
pub(crate) fn check_starts(cluster: &Cluster, report: &mut Report) {
    let results = cluster.task_starts().into_iter().filter_map(|start| {
        from_json::<TaskPayload>(start.payload.as_bytes()).ok().and_then(|payload| payload.result)
    });
    let mut starts: FastMap<String, usize> = FastMap::default();
    for result in results {
        *starts.entry(result).or_default() += 1;
    }
    report.task_starts = starts.values().sum();
    for (result, count) in starts {
        let max_starts = match result.split('-').next() {
            Some("oversized") => 0,
            Some("booking" | "job" | "long") => 1,
            // Idempotent requests may be started more than once.
            _ => usize::MAX,
        };
        if count > max_starts {
            report.add_failure(format!("task {result} was started {count} times"));
        }
    }
}
