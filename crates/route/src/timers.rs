//! Timers of the router.

use std::collections::BTreeMap;

use tokio::time::Instant;

/// Action that a timer triggers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// The backoff after a busy refusal ends.
    BusyEnds { upstream: usize },
    /// A borrowed loan accepts no more starts.
    BorrowCloses { loan: u64 },
    /// A borrowed loan expires.
    BorrowExpires { loan: u64 },
    /// An ejection ends. Ignored when the upstream has another epoch by then.
    EjectionEnds { epoch: u64, upstream: usize },
    /// A lent loan expires.
    LentExpires { loan: u64 },
    /// The slot of a failed task becomes free.
    Release { loan: Option<u64>, upstream: usize },
}

/// Pending timers, ordered by time and then by insertion.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    due: BTreeMap<(Instant, u64), Timer>,
    next: u64,
}

impl Timers {
    pub(crate) fn add(&mut self, at: Instant, timer: Timer) {
        self.next += 1;
        self.due.insert((at, self.next), timer);
    }

    /// Removes and returns the earliest timer that is due.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<Timer> {
        let first = self.due.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    /// Timers that are due and still pending.
    pub(crate) fn due(&self, now: Instant) -> impl Iterator<Item = &Timer> {
        self.due.range(..=(now, u64::MAX)).map(|(_, timer)| timer)
    }
}
