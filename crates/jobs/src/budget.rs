//! How long callers have waited before they sent a job to this entry.
//!
//! A caller whose connection broke sends its job again, perhaps to another entry, and with the time that it still has.
//! Less time than the timeout of the queue shows that the rest went by in earlier attempts. After the loss of many
//! entries such callers come back all at once, and most of them can no longer be answered in time.

use std::sync::Arc;
use std::time::Duration;

use hinge_wire::FastMap;

use crate::QueuePolicy;
use crate::estimate::MAX_QUEUES;

/// Part of the distance to the last budget by which a queue's longest budget shrinks with each job.
const DECAY_DIVISOR: u32 = 64;

/// Longest recent time budget by queue.
#[derive(Debug, Default)]
pub(crate) struct Budgets {
    longest: FastMap<Arc<str>, Duration>,
}

impl Budgets {
    /// Time that the caller of a job with this budget has waited in earlier attempts. Zero if all callers of the queue
    /// come with less than its timeout: then a short budget shows nothing.
    pub(crate) fn waited(&mut self, queue: &QueuePolicy, budget: Duration) -> Duration {
        if !self.longest.contains_key(&queue.name) && self.longest.len() >= MAX_QUEUES {
            return Duration::ZERO;
        }
        let longest = self.longest.entry(queue.name.clone()).or_insert(budget);
        let shrunk = *longest - longest.saturating_sub(budget) / DECAY_DIVISOR;
        *longest = shrunk.max(budget);
        if *longest < queue.timeout { Duration::ZERO } else { queue.timeout.saturating_sub(budget) }
    }
}
