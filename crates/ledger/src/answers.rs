//! Retention of finished submissions.

use std::collections::VecDeque;
use std::time::Duration;

use hinge_wire::Sequence;
use tokio::time::Instant;

/// Finished submissions in order of completion: until when their records stay, and how much memory their answers take.
pub(crate) struct Answers {
    bytes: u64,
    memory: u64,
    /// Answers that hold memory; entries of expired records stay until they are the oldest.
    held: VecDeque<Sequence>,
    /// Records and the end of their retention, in ascending order.
    retained: VecDeque<(Sequence, Instant)>,
    retention: Duration,
}

impl Answers {
    pub(crate) fn new(memory: u64, retention: Duration) -> Self {
        Self { bytes: 0, held: VecDeque::new(), memory, retained: VecDeque::new(), retention }
    }

    pub(crate) fn set_limits(&mut self, memory: u64, retention: Duration) {
        self.memory = memory;
        self.retention = retention;
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(crate) fn retention(&self) -> Duration {
        self.retention
    }

    /// Adds a finished submission and returns the end of its retention.
    pub(crate) fn add(&mut self, now: Instant, sequence: Sequence, bytes: u64) -> Instant {
        // The order is kept when the retention was shortened in between.
        let earliest = self.retained.back().map_or(now, |&(_, until)| until);
        let until = earliest.max(now + self.retention);
        self.retained.push_back((sequence, until));
        if bytes > 0 {
            self.held.push_back(sequence);
            self.bytes += bytes;
        }
        until
    }

    /// The oldest answer, while the memory is exceeded. The caller drops it and releases its bytes.
    pub(crate) fn next_evicted(&mut self) -> Option<Sequence> {
        if self.bytes <= self.memory {
            return None;
        }
        self.held.pop_front()
    }

    /// The next record whose retention is over.
    pub(crate) fn next_expired(&mut self, now: Instant) -> Option<Sequence> {
        self.retained.pop_front_if(|(_, until)| *until <= now).map(|(sequence, _)| sequence)
    }

    /// Takes the bytes of an answer that was dropped out of the count.
    pub(crate) fn release(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Forgets the oldest answers whose records are gone.
    pub(crate) fn trim(&mut self, exists: impl Fn(Sequence) -> bool) {
        while self.held.pop_front_if(|sequence| !exists(*sequence)).is_some() {}
    }
}
