//! State of a link that outlives its connection.
//!
//! A connection that breaks while both processes run loses the messages on their way. Both sides therefore count the
//! messages that they have received and keep those that the other side has not acknowledged. A new connection between
//! the same two processes continues where the last one ended, so that nothing handed over on the link becomes void.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hinge_runs::{HomeId, whole_ms};
use hinge_wire::{CodecError, to_msgpack};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

use crate::link::HEARTBEAT_INTERVAL;
use crate::{Hello, LinkId, Liveness, Message};

/// Number of received messages after which they are acknowledged even if no heartbeat is due.
const ACKNOWLEDGE_EVERY: u64 = 64;
/// Maximum number of messages that are kept for a new connection. A link whose peer acknowledges less does not outlive
/// its connection.
const MAX_UNACKNOWLEDGED: usize = 4_096;
/// Maximum size of all messages that are kept. The largest message has 2 MB.
const MAX_UNACKNOWLEDGED_BYTES: usize = 4 * 1_024 * 1_024;

/// A link between two processes, with or without a connection.
pub(crate) struct Session {
    /// Whether heartbeats are sent together with those of other links.
    aligned: AtomicBool,
    /// Number of the connection that carries the link. A connection ends when another one has taken its place.
    pub(crate) connection: watch::Sender<u64>,
    /// Agreed by both sides.
    pub(crate) id: LinkId,
    liveness: Mutex<Liveness>,
    /// Signals the receiving side that the peer has less time than before.
    pub(crate) deadline_changed: Notify,
    /// What the sending side does with its next time stamps.
    pending: Mutex<Pending>,
    /// Signals the sending side that time stamps are due, or have arrived that it must know.
    pub(crate) timestamps_due: Notify,
    /// Start of the process's links, from which aligned heartbeats count.
    started_at: Instant,
    /// Locked by the connection that carries the link.
    pub(crate) outgoing: tokio::sync::Mutex<Outgoing>,
    /// Identity of the peer; resumable only if both sides are.
    pub(crate) peer: Hello,
    /// Number of messages that the peer has acknowledged.
    acknowledged: AtomicU64,
    /// Number of messages received from the peer and passed on.
    received: AtomicU64,
}

impl Session {
    pub(crate) fn new(
        id: LinkId,
        peer: Hello,
        epoch: Instant,
        started_at: Instant,
        queue: mpsc::Receiver<Queued>,
    ) -> Self {
        let outgoing = Outgoing {
            dropped: 0,
            first: 0,
            kept_bytes: 0,
            queue,
            reported: 0,
            unacknowledged: VecDeque::new(),
        };
        Self {
            aligned: AtomicBool::new(false),
            connection: watch::Sender::new(1),
            id,
            liveness: Mutex::new(Liveness::new(Instant::now(), epoch, peer.timestamps)),
            deadline_changed: Notify::new(),
            pending: Mutex::default(),
            timestamps_due: Notify::new(),
            started_at,
            outgoing: tokio::sync::Mutex::new(outgoing),
            peer,
            acknowledged: AtomicU64::new(0),
            received: AtomicU64::new(0),
        }
    }

    pub(crate) fn liveness(&self) -> MutexGuard<'_, Liveness> {
        self.liveness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets whether heartbeats are sent together with those of other links, so that one wake-up serves all.
    pub(crate) fn set_aligned(&self, aligned: bool) {
        self.aligned.store(aligned, Ordering::Relaxed);
    }

    /// When a heartbeat is sent that is due at `due_at`: never later.
    pub(crate) fn align_heartbeat(&self, due_at: Instant) -> Instant {
        if !self.aligned.load(Ordering::Relaxed) {
            return due_at;
        }
        let interval_ms = whole_ms(HEARTBEAT_INTERVAL);
        let due_ms = whole_ms(due_at.duration_since(self.started_at));
        self.started_at + Duration::from_millis(due_ms - due_ms % interval_ms)
    }

    /// Checks whether the peer is alive, if the link rests.
    pub(crate) fn request_check(&self) {
        self.pending().check = true;
        self.timestamps_due.notify_one();
    }

    /// Tells the peer that a process has fallen silent.
    pub(crate) fn send_suspicion(&self, peer: HomeId) {
        self.pending().suspects.push(peer);
        self.timestamps_due.notify_one();
    }

    /// Removes and returns what is to be done with the next time stamps.
    pub(crate) fn take_pending(&self) -> Pending {
        std::mem::take(&mut *self.pending())
    }

    fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a message that was passed on.
    pub(crate) fn count_received(&self) {
        self.received.fetch_add(1, Ordering::AcqRel);
    }

    /// Number of messages received from the peer.
    pub(crate) fn received(&self) -> u64 {
        self.received.load(Ordering::Acquire)
    }

    /// Stores how many messages the peer has received.
    pub(crate) fn acknowledge(&self, received: u64) {
        self.acknowledged.fetch_max(received, Ordering::AcqRel);
    }
}

/// What is to be done with the next time stamps of a link.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    /// Whether the peer is checked.
    pub(crate) check: bool,
    /// Processes of which the peer is told that they have fallen silent.
    pub(crate) suspects: Vec<HomeId>,
}

/// A message that waits to be sent.
pub(crate) struct Queued {
    /// Newest time stamp of the peer when the message was queued.
    pub(crate) echo_ms: u64,
    pub(crate) message: Message,
}

/// Messages on their way to the peer.
pub(crate) struct Outgoing {
    /// Number of messages sent up to the last one that was dropped although the peer had not acknowledged it.
    dropped: u64,
    pub(crate) queue: mpsc::Receiver<Queued>,
    /// Number of messages sent before the first one in `unacknowledged`.
    first: u64,
    /// Size of all messages in `unacknowledged`.
    kept_bytes: usize,
    /// Number of received messages that the peer was last told about.
    reported: u64,
    /// Encoded messages that the peer has not acknowledged, oldest first; only the newest ones if they are too many.
    unacknowledged: VecDeque<Bytes>,
}

impl Outgoing {
    /// Encodes a message, and keeps it until the peer has acknowledged it or too much is kept.
    pub(crate) fn encode(&mut self, session: &Session, message: &Message) -> Result<Bytes, CodecError> {
        let frame = Bytes::from(to_msgpack(message)?);
        if session.peer.resumable {
            self.kept_bytes += frame.len();
            self.unacknowledged.push_back(frame.clone());
            self.discard(session.acknowledged.load(Ordering::Acquire));
            self.discard_excess();
        }
        Ok(frame)
    }

    /// The acknowledgement to send now, if one is due. `idle` is set when there is nothing else to send.
    pub(crate) fn acknowledgement(&mut self, session: &Session, idle: bool) -> Option<Message> {
        let received = session.received();
        let due = if idle { received > self.reported } else { received >= self.reported + ACKNOWLEDGE_EVERY };
        if !due || !session.peer.resumable {
            return None;
        }
        self.reported = received;
        Some(Message::Acknowledge(received))
    }

    /// Whether a new connection can still continue the link.
    pub(crate) fn is_resumable(&self, session: &Session) -> bool {
        session.peer.resumable && self.dropped <= session.acknowledged.load(Ordering::Acquire)
    }

    /// Messages to send again to a peer that has received `received` messages; none if the count cannot be right.
    pub(crate) fn resend(&mut self, received: u64) -> Option<Vec<Bytes>> {
        let sent = self.first + self.unacknowledged.len() as u64;
        if !(self.first..=sent).contains(&received) {
            return None;
        }
        self.discard(received);
        Some(self.unacknowledged.iter().cloned().collect())
    }

    fn discard(&mut self, received: u64) {
        while self.first < received && self.drop_first() {}
    }

    /// Drops the oldest messages while too much is kept. The link then does not outlive its connection until the peer has
    /// acknowledged them.
    fn discard_excess(&mut self) {
        while self.unacknowledged.len() > MAX_UNACKNOWLEDGED || self.kept_bytes > MAX_UNACKNOWLEDGED_BYTES {
            self.drop_first();
            self.dropped = self.first;
        }
    }

    /// Returns false if there is none.
    fn drop_first(&mut self) -> bool {
        let Some(frame) = self.unacknowledged.pop_front() else { return false };
        self.kept_bytes -= frame.len();
        self.first += 1;
        true
    }
}
