//! The budget of a process: bytes and connections, and what is given up when the bytes are used up.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_wire::FastMap;
use tokio::time::{Instant, sleep};

use crate::blocks::Blocks;
use crate::connection::ConnectionState;
use crate::pool::Pool;
use crate::shed_log::{Cause, ShedCounts, ShedLog};
use crate::{Grant, Held, Listener};

/// Largest size of a small message. Submissions of this size may use all bytes; larger ones leave a quarter.
pub(crate) const SMALL_BYTES: usize = 16 * 1_024;

/// Time after which a response that has not been written counts as not read. A client that reads slowly is closed only if the
/// bytes are used up.
const UNREAD_AGE: Duration = Duration::from_secs(3);
/// Interval at which a response without room tries again.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Kept results have at most this part of all bytes.
const KEPT_RESULTS_DIVISOR: usize = 4;

/// Identifies a listener within its budget.
pub(crate) type ListenerId = usize;

#[derive(Debug, Default)]
pub(crate) struct Registry {
    /// Connections that are being closed since their clients do not read.
    closing: Vec<Arc<ConnectionState>>,
    pub(crate) connections: FastMap<u64, Arc<ConnectionState>>,
    next_number: u64,
    /// Number of open connections by listener.
    pub(crate) open: Vec<usize>,
}

impl Registry {
    /// Returns the number of the connection.
    pub(crate) fn add(&mut self, state: Arc<ConnectionState>) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.open[state.listener] += 1;
        self.connections.insert(number, state);
        number
    }

    pub(crate) fn remove(&mut self, number: u64) -> Option<Arc<ConnectionState>> {
        let state = self.connections.remove(&number)?;
        self.open[state.listener] -= 1;
        Some(state)
    }
}

#[derive(Debug)]
struct Inner {
    held_bytes: AtomicUsize,
    max_bytes: usize,
    /// Unused blocks; present if several threads use the budget.
    pool: Option<Pool>,
    /// Locked when a connection is opened or closed, and when the budget is used up.
    registry: Mutex<Registry>,
    shed: ShedLog,
}

/// What the process may hold for clients; clones share it.
#[derive(Clone, Debug)]
pub struct Budget {
    inner: Arc<Inner>,
}

/// What is held for clients at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Number of open connections.
    pub connections: usize,
    /// Bytes of connections, unfinished bodies and requests in progress.
    pub held_bytes: usize,
    /// Largest value of `held_bytes`.
    pub max_bytes: usize,
    /// What was given up since the start of the process.
    pub shed: ShedCounts,
}

impl Budget {
    /// Creates the budget of a process that serves its clients on one thread.
    #[must_use]
    pub fn new(grant: Grant) -> Self {
        Self::with_pool(grant.client_bytes(), None)
    }

    /// Creates the budget of a process that serves its clients on several threads, and whose submissions outlive their
    /// requests. Blocks of bodies stay with the process, and counted, until their bytes are needed.
    #[must_use]
    pub fn for_threads(grant: Grant) -> Self {
        Self::with_pool(grant.long_lived_client_bytes(), Some(Pool::default()))
    }

    fn with_pool(max_bytes: usize, pool: Option<Pool>) -> Self {
        let inner = Inner {
            held_bytes: AtomicUsize::new(0),
            max_bytes,
            pool,
            registry: Mutex::default(),
            shed: ShedLog::default(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Adds a listener with at most `max_connections` connections. For a new one, a connection may be closed whose last
    /// complete request was answered more than `min_idle` ago.
    #[must_use]
    pub fn listener(&self, max_connections: usize, min_idle: Duration) -> Listener {
        let mut registry = self.registry();
        registry.open.push(0);
        Listener { budget: self.clone(), id: registry.open.len() - 1, max_connections, min_idle }
    }

    /// Counts `bytes` until the result is dropped. None if that is too much although all unfinished bodies were shed.
    #[must_use]
    pub fn hold(&self, bytes: usize) -> Option<Held> {
        if self.take(bytes, None) {
            return Some(Held { budget: self.clone(), bytes });
        }
        self.record(Cause::Request);
        None
    }

    /// Like [`hold`](Self::hold), for a response. Waits for at most `limit` until there is room; meanwhile connections are
    /// closed whose clients do not read their responses.
    pub async fn hold_response(&self, bytes: usize, limit: Duration) -> Option<Held> {
        // A single response is served, however large it is.
        let bytes = bytes.min(self.inner.max_bytes / 2);
        let deadline = Instant::now() + limit;
        while !self.take(bytes, None) {
            if Instant::now() >= deadline {
                self.record(Cause::Response);
                return None;
            }
            sleep(ROOM_POLL_INTERVAL).await;
        }
        Some(Held { budget: self.clone(), bytes })
    }

    /// Counts `bytes` until the result is dropped, also if that is more than is left: what is counted exists already, or is
    /// small.
    #[must_use]
    pub fn count(&self, bytes: usize) -> Held {
        let mut held = Held { budget: self.clone(), bytes: 0 };
        held.set_bytes(bytes);
        held
    }

    /// Counts a message. One of at most 16 KB is always counted, so that small requests and their answers do not
    /// depend on what a crowd holds; a larger one is as with [`hold`](Self::hold).
    #[must_use]
    pub fn hold_message(&self, bytes: usize) -> Option<Held> {
        if bytes <= SMALL_BYTES { Some(self.count(bytes)) } else { self.hold(bytes) }
    }

    /// Largest number of bytes of results that are kept after their submissions have ended.
    #[must_use]
    pub fn max_kept_result_bytes(&self) -> usize {
        self.inner.max_bytes / KEPT_RESULTS_DIVISOR
    }

    /// Whether a submission may be kept that may wait for long. Large ones leave a part of the bytes to small ones, and to
    /// bodies and responses.
    #[must_use]
    pub fn admits(&self, held: &Held) -> bool {
        let unused_bytes = self.inner.pool.as_ref().map_or(0, Pool::bytes);
        let used_bytes = self.held_bytes().saturating_sub(unused_bytes);
        let max_bytes = self.inner.max_bytes;
        let limit_bytes = if held.bytes <= SMALL_BYTES { max_bytes } else { max_bytes / 4 * 3 };
        let is_admitted = used_bytes <= limit_bytes;
        if !is_admitted {
            self.record(Cause::Request);
        }
        is_admitted
    }

    /// What is held at present.
    #[must_use]
    pub fn usage(&self) -> Usage {
        Usage {
            connections: self.registry().connections.len(),
            held_bytes: self.held_bytes(),
            max_bytes: self.inner.max_bytes,
            shed: self.inner.shed.counts(),
        }
    }

    fn held_bytes(&self) -> usize {
        self.inner.held_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn registry(&self) -> MutexGuard<'_, Registry> {
        self.inner.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record(&self, cause: Cause) {
        self.inner.shed.record(cause, self.held_bytes());
    }

    /// Takes bytes, for the unfinished body of `own` if there is one. Sheds unfinished bodies if too much is held. Returns
    /// false if none is left, or if the one of `own` is to be shed.
    pub(crate) fn take(&self, bytes: usize, own: Option<&Arc<ConnectionState>>) -> bool {
        self.try_take(bytes) || self.take_with_room(bytes, own)
    }

    /// Takes a block for the unfinished body of `own`.
    pub(crate) fn take_block(&self, size_bytes: usize, own: &Arc<ConnectionState>) -> Option<Vec<u8>> {
        let unused = self.inner.pool.as_ref().and_then(|pool| pool.take(size_bytes));
        if unused.is_some() {
            return unused;
        }
        self.take(size_bytes, Some(own)).then(|| Vec::with_capacity(size_bytes))
    }

    pub(crate) fn give_back_blocks(&self, blocks: impl IntoIterator<Item = Vec<u8>>) {
        for block in blocks {
            let freed = match &self.inner.pool {
                Some(pool) => pool.put(block),
                None => Some(block),
            };
            self.give_back(freed.map_or(0, |block| block.capacity()));
        }
    }

    pub(crate) fn shed_body(&self, state: &ConnectionState) {
        self.give_back_blocks(state.shed_body().into_iter().flat_map(Blocks::into_blocks));
    }

    /// Counts bytes without a check, and returns what is counted then.
    pub(crate) fn add(&self, bytes: usize) -> usize {
        self.inner.held_bytes.fetch_add(bytes, Ordering::Relaxed).saturating_add(bytes)
    }

    pub(crate) fn give_back(&self, bytes: usize) {
        self.inner.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Takes bytes, if necessary those of unused blocks.
    fn try_take(&self, bytes: usize) -> bool {
        if self.try_take_unused(bytes) {
            return true;
        }
        let released = self.inner.pool.as_ref().map_or(0, |pool| pool.release(bytes));
        self.give_back(released);
        released > 0 && self.try_take_unused(bytes)
    }

    fn try_take_unused(&self, bytes: usize) -> bool {
        if self.add(bytes) > self.inner.max_bytes {
            self.give_back(bytes);
            return false;
        }
        true
    }

    /// Closes connections whose clients do not read, the largest and slowest first, until their responses have what is missing
    /// for `bytes`. These bytes are given back once the tasks of the connections have run.
    fn close_unread(&self, mut registry: MutexGuard<'_, Registry>, now: Instant, bytes: usize) {
        registry.closing.retain(|state| state.unwritten_bytes() > 0);
        let closing_bytes: usize = registry.closing.iter().map(|state| state.unwritten_bytes()).sum();
        let wanted_bytes = self.held_bytes().saturating_add(bytes);
        let mut missing_bytes =
            wanted_bytes.saturating_sub(self.inner.max_bytes).saturating_sub(closing_bytes);
        while missing_bytes > 0 {
            let weighed = registry.connections.iter();
            let weighed =
                weighed.filter_map(|(number, state)| Some((state.unread_weight(now, UNREAD_AGE)?, *number)));
            let Some((_, number)) = weighed.max() else { return };
            let Some(state) = registry.remove(number) else { return };
            missing_bytes = missing_bytes.saturating_sub(state.unwritten_bytes());
            self.give_back(state.bytes);
            state.close();
            registry.closing.push(state);
            self.record(Cause::Unread);
        }
    }

    fn take_with_room(&self, bytes: usize, own: Option<&Arc<ConnectionState>>) -> bool {
        let registry = self.registry();
        while !self.try_take(bytes) {
            let now = Instant::now();
            let weighed =
                registry.connections.values().filter_map(|state| Some((state.body_weight(now)?, state)));
            let victim = weighed.max_by_key(|(weight, _)| *weight).map(|(_, state)| state);
            let Some(victim) = victim.or(own) else {
                self.close_unread(registry, now, bytes);
                return false;
            };
            self.record(Cause::Body);
            // The bytes of the own body are given back with the others.
            self.shed_body(victim);
            if own.is_some_and(|own| Arc::ptr_eq(own, victim)) {
                self.close_unread(registry, now, bytes);
                return false;
            }
        }
        true
    }

    /// Ends the count of a connection, unless it was counted as closed before.
    pub(crate) fn remove(&self, number: u64) {
        if let Some(state) = self.registry().remove(number) {
            self.give_back(state.bytes);
        }
    }
}
