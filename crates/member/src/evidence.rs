//! Evidence that another process with this instance's id is running.

use std::time::Duration;

use tokio::time::Instant;

/// Number of counter increases that digests must report after the first report. Peers that received different last
/// counters of a dead process can relay it late, but not repeatedly over the suspect timeout.
const MIN_ADVANCES: u32 = 2;

/// Reports about another incarnation of this instance's id.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evidence {
    advances: u32,
    counter: u64,
    /// Whether one of the reports came from the process itself.
    direct: bool,
    first_at: Instant,
    last_at: Instant,
}

impl Evidence {
    pub(crate) fn new(now: Instant, counter: u64, direct: bool) -> Self {
        Self { advances: 0, counter, direct, first_at: now, last_at: now }
    }

    /// Adds a report; one without a higher counter is ignored.
    pub(crate) fn add(&mut self, now: Instant, counter: u64, direct: bool) {
        if counter > self.counter {
            self.advances = self.advances.saturating_add(1);
            self.counter = counter;
            self.direct |= direct;
            self.last_at = now;
        }
    }

    /// Whether the process itself sent a message, or its counter increased repeatedly for longer than a report can be
    /// delayed.
    pub(crate) fn is_conclusive(&self, suspect_after: Duration) -> bool {
        let span = self.last_at.saturating_duration_since(self.first_at);
        self.direct || (self.advances >= MIN_ADVANCES && span >= suspect_after)
    }
}
