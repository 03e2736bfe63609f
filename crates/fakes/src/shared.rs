//! State that several tasks use and wait for.

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

    /// Runs `action` on the state and wakes everyone who waits for a change.
    pub fn update<R>(&self, action: impl FnOnce(&mut S) -> R) -> R {
        let result = self.with(action);
        self.changed.send_replace(());
        result
    }

    /// Runs `action` on the state without waking anyone.
    pub(crate) fn with<R>(&self, action: impl FnOnce(&mut S) -> R) -> R {
        action(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls `poll` until it yields a value: at once, after each change, and when the time that it names is reached.
    pub(crate) async fn wait_until<R>(&self, mut poll: impl FnMut(&mut S, Instant) -> Wait<R>) -> R {
        let mut changes = self.changed.subscribe();
        loop {
            match self.with(|state| poll(state, Instant::now())) {
                Wait::Ready(value) => return value,
                // The sender lives in `self`, so a change or the time ends the wait.
                Wait::Until(at) => drop(timeout_at(at, changes.changed()).await),
            }
        }
    }
}

/// Outcome of one look at the state.
pub(crate) enum Wait<R> {
    /// The value waited for.
    Ready(R),
    /// Look again after a change or at this time.
    Until(Instant),
}
