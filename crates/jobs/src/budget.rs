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

/// Number of consecutive jobs with less time than the timeout after which this is taken for the habit of the callers.
const HABIT_JOBS: u32 = 32;

/// Time budgets by queue.
#[derive(Debug, Default)]
pub(crate) struct Budgets {
    /// Number of consecutive jobs whose budgets were below the timeout.
    short: FastMap<Arc<str>, u32>,
}

impl Budgets {
    /// Time that the caller of a job with this budget has waited in earlier attempts. Zero if all recent callers of the
    /// queue came with less than its timeout: then a short budget shows nothing.
    pub(crate) fn waited(&mut self, queue: &QueuePolicy, budget: Duration) -> Duration {
        if budget >= queue.timeout {
            self.short.remove(&queue.name);
            return Duration::ZERO;
        }
        if !self.short.contains_key(&queue.name) && self.short.len() >= MAX_QUEUES {
            return Duration::ZERO;
        }
        let short = self.short.entry(queue.name.clone()).or_default();
        *short = short.saturating_add(1);
        if *short > HABIT_JOBS { Duration::ZERO } else { queue.timeout - budget }
    }
}
