//! What one side of a link knows about when its peer was alive.
//!
//! That messages arrive proves little: they may have waited on the way while their sender died. So both sides exchange time
//! stamps, as TCP does with its timestamps option. Each sends readings of its own clock and returns the newest reading that
//! it has received. A returned time stamp shows that the peer was alive at that time, and that the messages behind it were
//! sent later. The receiver needs its own clock only.

use std::time::Duration;

use hinge_runs::{LIVENESS_TIMEOUT, whole_ms};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::Instant;

use crate::Message;
use crate::link::SILENCE_LIMIT;

/// Time without messages other than heartbeats in either direction after which a link may become idle.
const IDLE_AFTER: Duration = Duration::from_secs(2);
/// Replaces [`LIVENESS_TIMEOUT`] on an idle link, whose time stamps may be 2 s old.
const IDLE_LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);

/// Time stamps of one side of a link. They count from the start of the link, which differs between the two sides.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Timestamps {
    /// Newest time stamp that the sender has received, in milliseconds of the receiver's clock; 0 if it has received none.
    pub echo_ms: u64,
    /// Whether the link is idle for the sender: its next time stamps may take longer than usual.
    pub idle: bool,
    /// Whether the receiver should return these time stamps at once.
    pub reply: bool,
    /// The sender's clock in milliseconds.
    pub value_ms: u64,
}

/// The peer has returned a time stamp that this side has not sent yet.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("time stamp {echo_ms} ms is ahead of the clock at {now_ms} ms")]
pub struct TimestampAhead {
    echo_ms: u64,
    now_ms: u64,
}

/// How often the peer sends time stamps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pace {
    /// Rarely: the link is idle for the peer.
    Idle,
    /// At least at each heartbeat.
    Regular,
    /// This side has asked for time stamps, since it has a message for an idle link.
    Waking,
}

/// When the peer of a link was alive, and until when it counts as alive.
#[derive(Clone, Debug)]
pub struct Liveness {
    /// The peer was alive then.
    alive_at: Instant,
    /// When the last message arrived.
    arrived_at: Instant,
    /// Start of the link, from which this side's time stamps count.
    epoch: Instant,
    /// Whether the peer sends time stamps. Otherwise its messages count as sent when they arrive.
    has_timestamps: bool,
    /// Whether the link is idle for this side.
    idle: bool,
    pace: Pace,
    /// Newest time stamp of the peer, in milliseconds of its clock.
    peer_ms: u64,
    /// Newest time stamp that the peer has returned.
    sent_after: Instant,
    /// When the link was last used for other messages than heartbeats.
    used_at: Instant,
    /// When the link was created, or was last idle for either side.
    woken_at: Instant,
}

impl Liveness {
    /// Creates the state of a link that is agreed at `now`, and whose first message this side sent after `epoch`.
    #[must_use]
    pub const fn new(now: Instant, epoch: Instant, has_timestamps: bool) -> Self {
        Self {
            alive_at: epoch,
            arrived_at: now,
            epoch,
            has_timestamps,
            idle: false,
            pace: Pace::Regular,
            peer_ms: 0,
            sent_after: epoch,
            used_at: now,
            woken_at: now,
        }
    }

    /// Until when the link is up without further time stamps. Work is handed over, and has its answers, only on links whose
    /// peer was alive less than [`LIVENESS_TIMEOUT`] ago. A link that leaves idle has as long for the first exchange.
    #[must_use]
    pub fn alive_until(&self) -> Instant {
        let timeout = if self.has_timestamps { LIVENESS_TIMEOUT } else { SILENCE_LIMIT };
        // An idle side sends time stamps rarely, so that the peer can return only old ones.
        let idle = self.pace == Pace::Idle || self.idle && self.has_timestamps;
        if idle { self.alive_at + IDLE_LIVENESS_TIMEOUT } else { self.alive_at.max(self.woken_at) + timeout }
    }

    /// When the last message arrived; none while the peer may be silent, because the link is idle or was until now.
    #[must_use]
    pub fn last_arrival(&self) -> Option<Instant> {
        (self.pace == Pace::Regular).then_some(self.arrived_at)
    }

    /// Newest time stamp of the peer, in milliseconds of its clock; 0 before the first.
    #[must_use]
    pub const fn peer_ms(&self) -> u64 {
        self.peer_ms
    }

    /// A time before which no message was sent that arrives from now on.
    #[must_use]
    pub const fn sent_after(&self) -> Instant {
        self.sent_after
    }

    /// Whether this side waits for the time stamps that it has asked for.
    #[must_use]
    pub fn is_waking(&self) -> bool {
        self.pace == Pace::Waking
    }

    /// Time stamps to send when there is no other message. If `may_idle` is set, they let a link that is not used become
    /// idle.
    pub fn heartbeat(&mut self, now: Instant, may_idle: bool) -> Timestamps {
        self.idle = may_idle && now.duration_since(self.used_at) >= IDLE_AFTER;
        Timestamps { idle: self.idle, ..self.timestamps(now, self.peer_ms) }
    }

    /// Time stamps to send, with the time stamp of the peer that was the newest when the messages behind them were queued.
    #[must_use]
    pub fn timestamps(&self, now: Instant, echo_ms: u64) -> Timestamps {
        Timestamps { echo_ms, idle: false, reply: false, value_ms: whole_ms(now.duration_since(self.epoch)) }
    }

    /// Records that a message other than a heartbeat is to be sent. Returns true if time stamps must be exchanged first: on
    /// an idle link those that the peer has seen are so old that the message would count as late.
    pub fn record_sending(&mut self, now: Instant) -> bool {
        self.set_used(now);
        if self.pace == Pace::Idle && self.has_timestamps {
            self.pace = Pace::Waking;
            self.woken_at = now;
        }
        self.is_waking()
    }

    /// Records the arrival of a message. Returns true if the sending side must know: the peer has asked for time stamps, has
    /// sent those that this side has asked for, or uses a link that was idle for this side.
    ///
    /// # Errors
    ///
    /// Fails if the peer returns a time stamp that this side has not sent yet.
    pub fn record_arrival(&mut self, now: Instant, message: &Message) -> Result<bool, TimestampAhead> {
        self.arrived_at = now;
        if !self.has_timestamps {
            self.alive_at = now;
            self.sent_after = now;
        }
        match message {
            Message::Acknowledge(_) => Ok(false),
            Message::Heartbeat => Ok(self.set_idle(now, false)),
            Message::Idle => Ok(self.set_idle(now, true)),
            Message::Timestamps(timestamps) => self.record_timestamps(now, *timestamps),
            _ => {
                let was_idle = self.set_used(now);
                Ok(self.set_idle(now, false) || was_idle)
            }
        }
    }

    /// Records that the link continues on a connection that was opened after `opened_at`: its first messages show that the
    /// peer was alive then. Messages that are sent again over it may be older.
    pub fn record_resumption(&mut self, now: Instant, opened_at: Instant) {
        self.alive_at = self.alive_at.max(opened_at);
        self.arrived_at = now;
    }

    fn record_timestamps(&mut self, now: Instant, received: Timestamps) -> Result<bool, TimestampAhead> {
        let now_ms = whole_ms(now.duration_since(self.epoch));
        if received.echo_ms > now_ms {
            return Err(TimestampAhead { echo_ms: received.echo_ms, now_ms });
        }
        self.peer_ms = self.peer_ms.max(received.value_ms);
        self.sent_after = self.sent_after.max(self.epoch + Duration::from_millis(received.echo_ms));
        self.alive_at = self.alive_at.max(self.sent_after);
        if received.reply {
            self.set_used(now);
        }
        Ok(self.set_idle(now, received.idle) || received.reply)
    }

    /// Ends the idleness of this side; returns true if the link was idle for it, so that its next time stamps are due now.
    fn set_used(&mut self, now: Instant) -> bool {
        self.used_at = now;
        let was_idle = std::mem::take(&mut self.idle);
        if was_idle {
            self.woken_at = now;
        }
        was_idle
    }

    /// Sets whether the link is idle for the peer; returns true if this side has waited for the end of that.
    fn set_idle(&mut self, now: Instant, idle: bool) -> bool {
        match (self.pace, idle) {
            // The peer had not seen yet that this side asks for time stamps.
            (Pace::Waking, true) => false,
            (_, true) => {
                self.pace = Pace::Idle;
                false
            }
            (pace, false) => {
                if pace == Pace::Idle {
                    self.woken_at = now;
                }
                self.pace = Pace::Regular;
                pace == Pace::Waking
            }
        }
    }
}
