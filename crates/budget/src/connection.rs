//! An open connection, as far as the budget is concerned.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::Held;
use crate::blocks::Blocks;
use crate::budget::{Budget, ListenerId};

/// Value of `completed_ms` before the first complete request.
const NEVER: u64 = u64::MAX;

/// State of a connection that other connections look at when the budget is used up.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    /// Whether a complete request is being answered.
    answering: AtomicBool,
    pub(crate) bytes: usize,
    close: Notify,
    /// When the last complete request was read or answered, in milliseconds after `opened_at`.
    completed_ms: AtomicU64,
    pub(crate) listener: ListenerId,
    opened_at: Instant,
    shed: Notify,
    /// The responses that have not been written to the socket.
    unwritten: Mutex<Unwritten>,
    /// The unfinished body; none if there is none or it was shed.
    unfinished: Mutex<Option<Blocks>>,
}

/// Responses of a connection that have not been written to the socket.
#[derive(Debug, Default)]
struct Unwritten {
    bytes: usize,
    /// When the first of them was begun; none if there are none.
    since: Option<Instant>,
}

/// Rank of a connection among those that may be closed for a new one; the highest is closed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct CloseRank {
    /// It has never sent a complete request.
    is_new: bool,
    /// Time since the last complete request, or since it was opened.
    unused: Duration,
}

impl ConnectionState {
    pub(crate) fn new(listener: ListenerId, bytes: usize) -> Self {
        Self {
            answering: AtomicBool::new(false),
            bytes,
            close: Notify::new(),
            completed_ms: AtomicU64::new(NEVER),
            listener,
            opened_at: Instant::now(),
            shed: Notify::new(),
            unwritten: Mutex::default(),
            unfinished: Mutex::new(None),
        }
    }

    /// Has the connection closed by its own task.
    pub(crate) fn close(&self) {
        self.close.notify_one();
    }

    /// None if the connection must stay open: its request is being answered, or was `min_idle` ago or less.
    pub(crate) fn close_rank(&self, now: Instant, min_idle: Duration) -> Option<CloseRank> {
        if self.answering.load(Ordering::Acquire) {
            return None;
        }
        let open = now.duration_since(self.opened_at);
        match self.completed_ms.load(Ordering::Acquire) {
            NEVER => Some(CloseRank { is_new: true, unused: open }),
            completed_ms => {
                let unused = open.saturating_sub(Duration::from_millis(completed_ms));
                (unused > min_idle).then_some(CloseRank { is_new: false, unused })
            }
        }
    }

    /// Weight of the unfinished body; none if it holds nothing.
    pub(crate) fn body_weight(&self, now: Instant) -> Option<u128> {
        let unfinished = self.unfinished();
        unfinished.as_ref().filter(|blocks| blocks.capacity_bytes() > 0).map(|blocks| blocks.weight(now))
    }

    /// Size times age of the responses that have not been written; none if there are none, or the first of them was begun less
    /// than `min_age` ago.
    pub(crate) fn unread_weight(&self, now: Instant, min_age: Duration) -> Option<u128> {
        let unwritten = self.unwritten();
        let age = now.duration_since(unwritten.since?);
        (age >= min_age).then(|| unwritten.bytes as u128 * age.as_micros())
    }

    pub(crate) fn unwritten_bytes(&self) -> usize {
        self.unwritten().bytes
    }

    fn begin_response(&self, bytes: usize) {
        let mut unwritten = self.unwritten();
        unwritten.bytes += bytes;
        unwritten.since.get_or_insert_with(Instant::now);
    }

    fn end_response(&self, bytes: usize) {
        let mut unwritten = self.unwritten();
        unwritten.bytes -= bytes;
        if unwritten.bytes == 0 {
            unwritten.since = None;
        }
    }

    fn unwritten(&self) -> MutexGuard<'_, Unwritten> {
        self.unwritten.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the unfinished body away and tells its reader.
    pub(crate) fn shed_body(&self) -> Option<Blocks> {
        let blocks = self.unfinished().take()?;
        self.shed.notify_one();
        Some(blocks)
    }

    /// Never locked while the lock of the budget is being waited for, which is held when this is locked by others.
    fn unfinished(&self) -> MutexGuard<'_, Option<Blocks>> {
        self.unfinished.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_complete_request(&self) {
        let completed_ms = u64::try_from(self.opened_at.elapsed().as_millis()).unwrap_or(NEVER - 1);
        self.completed_ms.store(completed_ms, Ordering::Release);
    }
}

/// An open connection; dropping it makes room for another one.
#[derive(Debug)]
pub struct Connection {
    budget: Budget,
    number: u64,
    replaces_another: bool,
    state: Arc<ConnectionState>,
}

impl Connection {
    pub(crate) fn new(
        budget: Budget,
        number: u64,
        replaces_another: bool,
        state: Arc<ConnectionState>,
    ) -> Self {
        Self { budget, number, replaces_another, state }
    }

    /// Whether another connection is being closed for this one. It has its descriptor until its task has run, for which the
    /// task that accepts connections should yield.
    #[must_use]
    pub fn replaces_another(&self) -> bool {
        self.replaces_another
    }

    /// Waits until the connection is to be closed, to make room for another one.
    pub async fn close_requested(&self) {
        self.state.close.notified().await;
    }

    /// Notes that a complete request was read. The connection is not closed until the guard is dropped.
    #[must_use]
    pub fn answering(&self) -> Answering<'_> {
        self.state.record_complete_request();
        self.state.answering.store(true, Ordering::Release);
        Answering { state: &self.state }
    }

    /// The body of a response, which `held` counts from now on until it has been written to the socket or the connection is
    /// closed.
    #[must_use]
    pub fn response(&self, body: Vec<u8>, mut held: Held) -> Bytes {
        held.set_bytes(body.len());
        self.state.begin_response(body.len());
        Bytes::from_owner(ResponseBody { body, _held: held, state: self.state.clone() })
    }

    /// Waits until the unfinished body was shed.
    pub(crate) async fn body_shed(&self) {
        self.state.shed.notified().await;
    }

    pub(crate) fn begin_body(&self) {
        *self.state.unfinished() = Some(Blocks::new(Instant::now()));
    }

    /// Appends to the unfinished body. Returns false if it was shed, by another connection or for this piece.
    pub(crate) fn extend_body(&self, mut piece: &[u8]) -> bool {
        loop {
            let block_bytes = {
                let mut unfinished = self.state.unfinished();
                let Some(blocks) = unfinished.as_mut() else { return false };
                piece = blocks.fill(piece);
                if piece.is_empty() {
                    return true;
                }
                blocks.next_block_bytes(piece)
            };
            let Some(block) = self.budget.take_block(block_bytes, &self.state) else { return false };
            match self.state.unfinished().as_mut() {
                Some(blocks) => blocks.add_block(block),
                // Shed meanwhile.
                None => {
                    self.budget.give_back_blocks([block]);
                    return false;
                }
            }
        }
    }

    /// Ends the unfinished body, and returns it unless it was shed.
    pub(crate) fn finish_body(&self) -> Option<Vec<u8>> {
        let blocks = self.state.unfinished().take()?;
        let body = blocks.concat();
        self.budget.give_back_blocks(blocks.into_blocks());
        Some(body)
    }

    /// Ends the unfinished body, if there is one.
    pub(crate) fn give_up_body(&self) {
        // Taken in a statement of its own, so that its lock is free.
        let blocks = self.state.unfinished().take();
        self.budget.give_back_blocks(blocks.into_iter().flat_map(Blocks::into_blocks));
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.budget.remove(self.number);
    }
}

/// A body that counts until `hyper` has written it.
struct ResponseBody {
    body: Vec<u8>,
    _held: Held,
    state: Arc<ConnectionState>,
}

impl AsRef<[u8]> for ResponseBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.state.end_response(self.body.len());
    }
}

/// Keeps a connection open while its request is being answered.
#[derive(Debug)]
pub struct Answering<'a> {
    state: &'a ConnectionState,
}

impl Drop for Answering<'_> {
    fn drop(&mut self) {
        self.state.record_complete_request();
        self.state.answering.store(false, Ordering::Release);
    }
}
