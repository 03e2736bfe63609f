//! Expected run times by queue, learned from the run times of completed tasks.

use std::sync::Arc;
use std::time::Duration;

use hinge_wire::FastMap;

/// Weight of a new run in the exponential moving averages of a queue.
const AVERAGE_WEIGHT: f64 = 0.03;
/// Weight of the caller's estimate in the expected run time; the rest is the weight of the queue's mean run time.
const ESTIMATE_WEIGHT: f64 = 0.5;
/// Maximum number of queues about which something is learned; other queues use what the callers say.
pub(crate) const MAX_QUEUES: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct QueueAverages {
    mean_ms: f64,
    /// Ratio of actual run time to the caller's estimate.
    ratio: f64,
}

/// Run time averages by queue.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    queues: FastMap<Arc<str>, QueueAverages>,
}

impl Estimates {
    /// Expected run time of a task whose caller estimated `estimate`.
    pub(crate) fn expected(&self, queue: &Arc<str>, estimate: Duration) -> Duration {
        let Some(averages) = self.queues.get(queue) else { return estimate };
        let scaled_ms = estimate.as_secs_f64() * 1_000.0 * averages.ratio;
        let expected_ms = ESTIMATE_WEIGHT * scaled_ms + (1.0 - ESTIMATE_WEIGHT) * averages.mean_ms;
        Duration::from_secs_f64((expected_ms / 1_000.0).max(0.001))
    }

    /// Updates the averages of a queue with a completed task; the first one only creates them from its estimate.
    pub(crate) fn observe(&mut self, queue: &Arc<str>, estimate: Duration, run_time: Duration) {
        let run_ms = run_time.as_secs_f64() * 1_000.0;
        let ratio = run_time.as_secs_f64() / estimate.as_secs_f64().max(0.001);
        if let Some(averages) = self.queues.get_mut(queue) {
            averages.mean_ms += AVERAGE_WEIGHT * (run_ms - averages.mean_ms);
            averages.ratio += AVERAGE_WEIGHT * (ratio.min(10.0) - averages.ratio);
        } else if self.queues.len() < MAX_QUEUES {
            let mean_ms = estimate.as_secs_f64() * 1_000.0;
            self.queues.insert(queue.clone(), QueueAverages { mean_ms, ratio: 1.0 });
        }
    }
}
