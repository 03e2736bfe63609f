//! Retention and eviction of the answers of finished submissions.

use std::collections::VecDeque;
use std::time::Duration;

use hinge_wire::Sequence;
use tokio::time::Instant;

/// Finished submissions in order of completion, with the end of their retention and the memory of their answers.
pub(crate) struct Answers {
    bytes: u64,
    max_bytes: u64,
    /// Submissions whose answers use memory, oldest first; expired ones are removed only from the front.
    evictable: VecDeque<Sequence>,
    /// Submissions and the ends of their retention, in ascending order of time.
    retained: VecDeque<(Sequence, Instant)>,
    retention: Duration,
}

impl Answers {
    pub(crate) fn new(max_bytes: u64, retention: Duration) -> Self {
        Self { bytes: 0, evictable: VecDeque::new(), max_bytes, retained: VecDeque::new(), retention }
    }

    pub(crate) fn set_limits(&mut self, max_bytes: u64, retention: Duration) {
        self.max_bytes = max_bytes;
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
        // Keeps the ascending order when the retention has been shortened.
        let earliest = self.retained.back().map_or(now, |&(_, until)| until);
        let until = earliest.max(now + self.retention);
        self.retained.push_back((sequence, until));
        if bytes > 0 {
            self.evictable.push_back(sequence);
            self.bytes += bytes;
        }
        until
    }

    /// Removes and returns the oldest answer while the memory limit is exceeded. The caller drops the answer and calls
    /// [`Self::release`].
    pub(crate) fn pop_evicted(&mut self) -> Option<Sequence> {
        if self.bytes <= self.max_bytes {
            return None;
        }
        self.evictable.pop_front()
    }

    /// Removes and returns the next submission whose retention has ended.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<Sequence> {
        self.retained.pop_front_if(|(_, until)| *until <= now).map(|(sequence, _)| sequence)
    }

    /// Subtracts the bytes of a dropped answer from the memory in use.
    pub(crate) fn release(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Removes the oldest submissions while their records no longer exist.
    pub(crate) fn trim(&mut self, exists: impl Fn(Sequence) -> bool) {
        while self.evictable.pop_front_if(|sequence| !exists(*sequence)).is_some() {}
    }
}
