//! Event queue of a simulation in virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

/// A queue of events ordered by time; events of the same time keep their order of insertion.
#[derive(Debug)]
pub struct EventQueue<T> {
    heap: BinaryHeap<Scheduled<T>>,
    last_sequence: u64,
    now: Duration,
}

#[derive(Debug)]
struct Scheduled<T> {
    at: Duration,
    event: T,
    sequence: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), last_sequence: 0, now: Duration::ZERO }
    }
}

impl<T> EventQueue<T> {
    /// Current virtual time: the time of the event returned last, or zero before the first.
    #[must_use]
    pub const fn now(&self) -> Duration {
        self.now
    }

    /// Schedules an event at a point in virtual time.
    pub fn push_at(&mut self, at: Duration, event: T) {
        self.last_sequence += 1;
        self.heap.push(Scheduled { at, event, sequence: self.last_sequence });
    }

    /// Schedules an event `delay` after the current virtual time.
    pub fn push_in(&mut self, delay: Duration, event: T) {
        self.push_at(self.now + delay, event);
    }

    /// Removes the next event and advances the time to it. Returns `None` when the queue is empty or the event is after
    /// `end`; such an event is dropped.
    pub fn next_event_until(&mut self, end: Duration) -> Option<T> {
        let scheduled = self.heap.pop().filter(|scheduled| scheduled.at <= end)?;
        self.now = scheduled.at;
        Some(scheduled.event)
    }
}

impl<T> PartialEq for Scheduled<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Scheduled<T> {}

impl<T> PartialOrd for Scheduled<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Scheduled<T> {
    /// Reversed, because the heap returns its largest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
