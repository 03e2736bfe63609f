//! Counts of what the links of an entry cost.

use std::sync::atomic::{AtomicU64, Ordering};

/// Links of an entry, and what was sent over them since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MeshStats {
    /// Checks of resting links that were sent.
    pub checks: u64,
    /// Messages that were sent, heartbeats included.
    pub frames: u64,
    /// Links that are up.
    pub links: usize,
    /// Links that are up and rest for this entry or its peer.
    pub resting_links: usize,
    /// Peers that were suspected because a link to them fell silent.
    pub suspicions: u64,
}

/// Counters that the tasks of all links share.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    checks: AtomicU64,
    frames: AtomicU64,
    suspicions: AtomicU64,
}

impl Counters {
    pub(crate) fn count_check(&self) {
        self.checks.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_frame(&self) {
        self.frames.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_suspicion(&self) {
        self.suspicions.fetch_add(1, Ordering::Relaxed);
    }

    /// The counts, without those of links.
    pub(crate) fn stats(&self) -> MeshStats {
        MeshStats {
            checks: self.checks.load(Ordering::Relaxed),
            frames: self.frames.load(Ordering::Relaxed),
            suspicions: self.suspicions.load(Ordering::Relaxed),
            ..MeshStats::default()
        }
    }
}
