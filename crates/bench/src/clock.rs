//! Event queue in virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Events in the order of their time, and of their insertion within one time.
#[derive(Debug)]
pub struct EventQueue<T> {
    heap: BinaryHeap<Scheduled<T>>,
    inserted: u64,
    now: Duration,
}

#[derive(Debug)]
struct Scheduled<T> {
    at: Duration,
    event: T,
    order: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), inserted: 0, now: Duration::ZERO }
    }
}

impl<T> EventQueue<T> {
    /// Time of the event returned last.
    #[must_use]
    pub const fn now(&self) -> Duration {
        self.now
    }

    /// Schedules an event at a time.
    pub fn at(&mut self, at: Duration, event: T) {
        self.inserted += 1;
        self.heap.push(Scheduled { at, event, order: self.inserted });
    }

    /// Schedules an event after a delay.
    pub fn after(&mut self, delay: Duration, event: T) {
        self.at(self.now + delay, event);
    }

    /// The next event that is not after `end`; moves the time to it.
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
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
