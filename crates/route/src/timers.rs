//! Times at which the router's state changes by itself.

use std::collections::BTreeMap;

use tokio::time::Instant;

/// What happens at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// A busy upstream is tried again.
    BusyEnds { upstream: usize },
    /// Nothing more may start on a loan from a peer.
    BorrowCloses { loan: u64 },
    /// A loan from a peer lapses.
    BorrowLapses { loan: u64 },
    /// An ejection ends, unless the upstream has changed state since.
    EjectionEnds { epoch: u64, upstream: usize },
    /// A loan to a peer lapses.
    LentLapses { loan: u64 },
    /// A slot held after a failure becomes free.
    Release { loan: Option<u64>, upstream: usize },
}

/// Timers in order of time.
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

    /// Takes the earliest timer that is due.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<Timer> {
        let first = self.due.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    /// Timers that are due but were not taken yet.
    pub(crate) fn due(&self, now: Instant) -> impl Iterator<Item = &Timer> {
        self.due.range(..=(now, u64::MAX)).map(|(_, timer)| timer)
    }
}
