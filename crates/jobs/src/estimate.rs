//! Run times of the tasks of each queue, learned from their ends.

use std::sync::Arc;
use std::time::Duration;

use hinge_wire::FastMap;

/// Weight of a new run in a queue's averages.
const WEIGHT: f64 = 0.03;
/// Weight of the callers' estimate against the queue's mean run time.
const ESTIMATE_WEIGHT: f64 = 0.5;
/// Most queues with averages of their own.
const MAX_QUEUES: usize = 4_096;

/// Averages of one queue.
#[derive(Clone, Copy, Debug)]
struct QueueTimes {
    mean_ms: f64,
    /// Actual run time over the callers' estimate.
    ratio: f64,
}

/// Expected run times by queue.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    queues: FastMap<Arc<str>, QueueTimes>,
}

impl Estimates {
    /// Expected run time of a task whose caller estimated `estimate`.
    pub(crate) fn expected(&self, queue: &Arc<str>, estimate: Duration) -> Duration {
        let Some(times) = self.queues.get(queue) else { return estimate };
        let scaled_ms = estimate.as_secs_f64() * 1_000.0 * times.ratio;
        let expected_ms = ESTIMATE_WEIGHT * scaled_ms + (1.0 - ESTIMATE_WEIGHT) * times.mean_ms;
        Duration::from_secs_f64((expected_ms / 1_000.0).max(0.001))
    }

    /// Learns from a task that is done.
    pub(crate) fn observe(&mut self, queue: &Arc<str>, estimate: Duration, run_time: Duration) {
        let run_ms = run_time.as_secs_f64() * 1_000.0;
        let ratio = run_time.as_secs_f64() / estimate.as_secs_f64().max(0.001);
        if let Some(times) = self.queues.get_mut(queue) {
            times.mean_ms += WEIGHT * (run_ms - times.mean_ms);
            times.ratio += WEIGHT * (ratio.min(10.0) - times.ratio);
        } else if self.queues.len() < MAX_QUEUES {
            let mean_ms = estimate.as_secs_f64() * 1_000.0;
            self.queues.insert(queue.clone(), QueueTimes { mean_ms, ratio: 1.0 });
        }
    }
}
