//! A listener, and the connections that it admits.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::budget::{Budget, ListenerId};
use crate::connection::{Connection, ConnectionState};
use crate::shed_log::Cause;
use crate::socket::CLIENT_RECEIVE_BYTES;

/// Bytes that a connection occupies besides its read buffer: the receive buffer of its socket, and its state.
const CONNECTION_BYTES: usize = CLIENT_RECEIVE_BYTES + 8 * 1_024;

/// A listener whose connections count towards the budget.
#[derive(Clone, Debug)]
pub struct Listener {
    pub(crate) budget: Budget,
    pub(crate) id: ListenerId,
    pub(crate) max_connections: usize,
    pub(crate) min_idle: Duration,
}

impl Listener {
    /// Admits a new connection, of a socket from [`listen`](crate::listen) with [`CLIENT_RECEIVE_BYTES`], whose read buffer has
    /// at most `buffer_bytes`. If there are too many, another one is closed: one that has never sent a complete request,
    /// opened first, or else the one without a complete request for longest. None if no connection can be closed; the new one
    /// is to be refused.
    #[must_use]
    pub fn admit(&self, buffer_bytes: usize) -> Option<Connection> {
        let bytes = buffer_bytes + CONNECTION_BYTES;
        let mut replaces_another = false;
        while self.is_full() || !self.budget.take(bytes, None) {
            if !self.close_one() {
                self.budget.record(Cause::Refused);
                return None;
            }
            replaces_another = true;
        }
        let state = Arc::new(ConnectionState::new(self.id, bytes));
        let number = self.budget.registry().add(state.clone());
        Some(Connection::new(self.budget.clone(), number, replaces_another, state))
    }

    fn is_full(&self) -> bool {
        self.budget.registry().open[self.id] >= self.max_connections
    }

    fn close_one(&self) -> bool {
        let now = Instant::now();
        let mut registry = self.budget.registry();
        let own = registry.connections.iter().filter(|(_, state)| state.listener == self.id);
        let ranked = own.filter_map(|(number, state)| Some((state.close_rank(now, self.min_idle)?, *number)));
        let Some((_, number)) = ranked.max() else { return false };
        let closed = registry.remove(number);
        drop(registry);
        if let Some(state) = closed {
            self.budget.give_back(state.bytes);
            self.budget.shed_body(&state);
            state.close();
        }
        self.budget.record(Cause::Closed);
        true
    }
}
