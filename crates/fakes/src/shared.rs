//! State that several tasks share and whose changes they wait for.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

/// A stand-in's state, shared by the connections of a server and by tests.
#[derive(Debug)]
pub struct Shared<S> {
    changed: Arc<watch::Sender<()>>,
    state: Arc<Mutex<S>>,
}

impl<S> Clone for Shared<S> {
    fn clone(&self) -> Self {
        Self { changed: Arc::clone(&self.changed), state: Arc::clone(&self.state) }
    }
}

impl<S> Shared<S> {
    /// Shares `state`.
    #[must_use]
    pub fn new(state: S) -> Self {
        Self { changed: Arc::new(watch::Sender::new(())), state: Arc::new(Mutex::new(state)) }
    }

    /// Runs `action` on the state and wakes all tasks that wait for a change.
    pub fn update<R>(&self, action: impl FnOnce(&mut S) -> R) -> R {
        let result = self.with(action);
        self.changed.send_replace(());
        result
    }

    /// Runs `action` on the state without waking waiting tasks.
    pub(crate) fn with<R>(&self, action: impl FnOnce(&mut S) -> R) -> R {
        action(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls `poll` until it is ready: at once, after each change, and at the time that it returned last.
    pub(crate) async fn wait_until<R>(&self, mut poll: impl FnMut(&mut S, Instant) -> PollOutcome<R>) -> R {
        let mut changes = self.changed.subscribe();
        loop {
            match self.with(|state| poll(state, Instant::now())) {
                PollOutcome::Ready(value) => return value,
                // `self` holds the sender, so the channel stays open: only a change or the time ends the wait.
                PollOutcome::RetryAt(at) => drop(timeout_at(at, changes.changed()).await),
            }
        }
    }
}

/// Outcome of polling the state once.
pub(crate) enum PollOutcome<R> {
    /// The wait ends with this value.
    Ready(R),
    /// Poll again after a change, at the latest at this time.
    RetryAt(Instant),
}
