//! Evidence that another process with the own instance id is running.

use std::time::Duration;

use tokio::time::Instant;

/// Higher counters that a digest must report after the first one. A dead process can be reported late by several peers
/// that heard different last counters, but not repeatedly over the suspect time.
const MIN_ADVANCES: u32 = 2;

/// What was heard of another incarnation of the own instance id.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evidence {
    advances: u32,
    counter: u64,
    direct: bool,
    first_at: Instant,
    last_at: Instant,
}

impl Evidence {
    pub(crate) fn new(now: Instant, counter: u64, direct: bool) -> Self {
        Self { advances: 0, counter, direct, first_at: now, last_at: now }
    }

    /// Adds a report; one without a higher counter is no evidence.
    pub(crate) fn add(&mut self, now: Instant, counter: u64, direct: bool) {
        if counter > self.counter {
            self.advances = self.advances.saturating_add(1);
            self.counter = counter;
            self.direct |= direct;
            self.last_at = now;
        }
    }

    /// Whether the incarnation was heard directly, or advanced repeatedly for longer than reports are delayed.
    pub(crate) fn is_convincing(&self, suspect_after: Duration) -> bool {
        let span = self.last_at.saturating_duration_since(self.first_at);
        self.direct || (self.advances >= MIN_ADVANCES && span >= suspect_after)
    }
}
