//! Accepted connections that have not said who they are.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

/// Largest number of connections that have not identified themselves. Peers do so within a round trip.
const MAX_UNIDENTIFIED: usize = 128;

/// The connections that have not identified themselves, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Unidentified {
    connections: Mutex<VecDeque<Arc<Notify>>>,
}

impl Unidentified {
    /// Adds a connection. If there are too many, the oldest one is closed, and true is returned with the guard.
    pub(crate) fn add(self: &Arc<Self>) -> (Identifying, bool) {
        let close = Arc::new(Notify::new());
        let mut connections = self.connections();
        let oldest = if connections.len() < MAX_UNIDENTIFIED { None } else { connections.pop_front() };
        connections.push_back(close.clone());
        drop(connections);
        if let Some(oldest) = &oldest {
            oldest.notify_one();
        }
        (Identifying { close, unidentified: self.clone() }, oldest.is_some())
    }

    fn connections(&self) -> MutexGuard<'_, VecDeque<Arc<Notify>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that has not identified itself; dropped when it has done so.
#[derive(Debug)]
pub(crate) struct Identifying {
    close: Arc<Notify>,
    unidentified: Arc<Unidentified>,
}

impl Identifying {
    /// Waits until the connection is to be closed, to make room for another one.
    pub(crate) async fn close_requested(&self) {
        self.close.notified().await;
    }
}

impl Drop for Identifying {
    fn drop(&mut self) {
        self.unidentified.connections().retain(|close| !Arc::ptr_eq(close, &self.close));
    }
}
