//! Notification of requests that wait for the end of a submission.

use std::sync::{Arc, Mutex};

use hinge_wire::{FastMap, Sequence};
use tokio::sync::Notify;

use crate::lock::lock;

/// Notifications by submission; one exists only while a request waits for the submission.
#[derive(Default)]
pub(crate) struct Waiters(Mutex<FastMap<Sequence, Arc<Notify>>>);

impl Waiters {
    /// Registers a waiting request. Register before reading the status; otherwise an end in between is missed.
    pub(crate) fn register(&self, sequence: Sequence) -> Waiter<'_> {
        let notify = lock(&self.0).entry(sequence).or_default().clone();
        Waiter { notify, sequence, waiters: self }
    }

    /// Wakes all requests that wait for a submission.
    pub(crate) fn wake(&self, sequence: Sequence) {
        if let Some(notify) = lock(&self.0).remove(&sequence) {
            notify.notify_waiters();
        }
    }

    /// Number of submissions that requests wait for.
    pub(crate) fn len(&self) -> usize {
        lock(&self.0).len()
    }
}

/// Registration of a request, removed on drop: hyper drops the future of a request when its caller disconnects.
pub(crate) struct Waiter<'a> {
    pub(crate) notify: Arc<Notify>,
    sequence: Sequence,
    waiters: &'a Waiters,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut waiters = lock(&self.waiters.0);
        // Two references remain: that of the map and that of this waiter.
        let is_last = waiters
            .get(&self.sequence)
            .is_some_and(|notify| Arc::ptr_eq(notify, &self.notify) && Arc::strong_count(notify) <= 2);
        if is_last {
            waiters.remove(&self.sequence);
        }
    }
}
