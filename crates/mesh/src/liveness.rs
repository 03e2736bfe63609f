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

use crate::link::SILENCE_LIMIT;
use crate::{Message, Rest};

/// Time without messages other than heartbeats in either direction after which a link may rest. Longer than the time between
/// the messages that peers with tasks in progress send.
const REST_AFTER: Duration = Duration::from_secs(2);
/// The same after a message that says nothing about tasks of its receiver, on a link that may become dormant. Lasts longer
/// than the exchange of time stamps before the message.
const REST_AFTER_NOTICE: Duration = Duration::from_millis(300);

/// Time stamps of one side of a link. They count from the start of the link, which differs between the two sides.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Timestamps {
    /// Newest time stamp that the sender has received, in milliseconds of the receiver's clock; 0 if it has received none.
    pub echo_ms: u64,
    /// Whether the link rests for the sender: its next time stamps may take longer than usual.
    pub idle: bool,
    /// Whether the receiver should return these time stamps at once.
    pub reply: bool,
    /// The sender's clock in milliseconds.
    pub value_ms: u64,
    /// Whether the link is dormant for the sender; only with `idle`, to a peer that announces dormancy.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub dormant: bool,
}

impl Timestamps {
    /// How the link rests for the sender.
    #[must_use]
    pub const fn rest(&self) -> Rest {
        match (self.idle, self.dormant) {
            (_, true) => Rest::Dormant,
            (true, false) => Rest::Idle,
            (false, false) => Rest::Awake,
        }
    }

    const fn resting(self, rest: Rest) -> Self {
        Self { dormant: matches!(rest, Rest::Dormant), idle: !matches!(rest, Rest::Awake), ..self }
    }
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
    /// As the peer has announced.
    Announced(Rest),
    /// This side has asked for time stamps, since it has a message for a resting link.
    Waking,
}

impl Pace {
    const fn rest(self) -> Rest {
        match self {
            Self::Announced(rest) => rest,
            Self::Waking => Rest::Awake,
        }
    }
}

/// When the peer of a link was alive, and until when it counts as alive.
#[derive(Clone, Debug)]
pub struct Liveness {
    /// The peer was alive then.
    alive_at: Instant,
    /// When the last message arrived.
    arrived_at: Instant,
    /// When this side last checked whether the peer of a resting link is alive.
    checked_at: Option<Instant>,
    /// How rarely this side may send time stamps.
    deepest_rest: Rest,
    /// Start of the link, from which this side's time stamps count.
    epoch: Instant,
    /// Whether the peer sends time stamps. Otherwise its messages count as sent when they arrive.
    has_timestamps: bool,
    pace: Pace,
    /// Newest time stamp of the peer, in milliseconds of its clock.
    peer_ms: u64,
    /// How rarely this side sends time stamps.
    rest: Rest,
    /// When the link may rest if it is not used until then.
    rest_at: Instant,
    /// Newest time stamp that the peer has returned.
    sent_after: Instant,
    /// When the link was created, or last rested for either side.
    woken_at: Instant,
}

impl Liveness {
    /// Creates the state of a link that is agreed at `now`, and whose first message this side sent after `epoch`.
    #[must_use]
    pub fn new(now: Instant, epoch: Instant, has_timestamps: bool) -> Self {
        Self {
            alive_at: epoch,
            arrived_at: now,
            checked_at: None,
            deepest_rest: Rest::Awake,
            epoch,
            has_timestamps,
            pace: Pace::Announced(Rest::Awake),
            peer_ms: 0,
            rest: Rest::Awake,
            rest_at: now + REST_AFTER,
            sent_after: epoch,
            woken_at: now,
        }
    }

    /// Until when the link is up without further time stamps. Work is handed over, and has its answers, only on links whose
    /// peer was alive less than [`LIVENESS_TIMEOUT`] ago. A link that ends its rest has as long for the first exchange, and the
    /// peer of a resting link as long to answer a check.
    #[must_use]
    pub fn alive_until(&self) -> Instant {
        let timeout = if self.has_timestamps { LIVENESS_TIMEOUT } else { SILENCE_LIMIT };
        // A side that rests sends time stamps rarely, so that the peer can return only old ones.
        let own_rest = if self.has_timestamps { self.rest } else { Rest::Awake };
        let until = match self.pace.rest().max(own_rest) {
            Rest::Awake => self.alive_at.max(self.woken_at) + timeout,
            rest => self.alive_at + rest.liveness_timeout(),
        };
        self.unanswered_check().map_or(until, |checked_at| until.min(checked_at + LIVENESS_TIMEOUT))
    }

    /// When the last message arrived; none while the peer may be silent, because the link rests or did until now.
    #[must_use]
    pub fn last_arrival(&self) -> Option<Instant> {
        (self.pace == Pace::Announced(Rest::Awake)).then_some(self.arrived_at)
    }

    /// When this side asked for the time stamps that it waits for; only on a link that may become dormant.
    #[must_use]
    pub fn unanswered_since(&self) -> Option<Instant> {
        let woken_at = (self.is_waking() && self.may_become_dormant()).then_some(self.woken_at);
        woken_at.or_else(|| self.unanswered_check())
    }

    /// Whether the link may become dormant for this side.
    #[must_use]
    pub fn may_become_dormant(&self) -> bool {
        self.deepest_rest == Rest::Dormant
    }

    /// Whether the link rests for either side.
    #[must_use]
    pub fn is_resting(&self) -> bool {
        self.pace.rest().max(self.rest) != Rest::Awake
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

    /// Sets how rarely this side may send time stamps. Returns true if its next ones are due now, because it rests deeper.
    pub fn set_deepest_rest(&mut self, deepest: Rest) -> bool {
        self.deepest_rest = deepest;
        self.rest > deepest
    }

    /// Time stamps to send when there is no other message. A link that is not used for a while begins to rest, as far as
    /// [`set_deepest_rest`](Self::set_deepest_rest) allows.
    pub fn heartbeat(&mut self, now: Instant) -> Timestamps {
        let rest = if now >= self.rest_at { self.deepest_rest } else { Rest::Awake };
        if rest == Rest::Awake && self.rest != Rest::Awake {
            self.woken_at = now;
        }
        self.rest = rest;
        self.timestamps(now, self.peer_ms).resting(rest)
    }

    /// Time stamps that check whether the peer of a resting link is alive, without an end of its rest. None if the link does
    /// not rest, or the last check is not answered yet.
    pub fn check(&mut self, now: Instant) -> Option<Timestamps> {
        if !self.is_resting() || self.unanswered_check().is_some() {
            return None;
        }
        let request = Timestamps { reply: true, ..self.timestamps(now, self.peer_ms).resting(self.rest) };
        self.checked_at = Some(self.epoch + Duration::from_millis(request.value_ms));
        Some(request)
    }

    /// When the peer was asked for the answer that this side still waits for. Returned time stamps are whole milliseconds,
    /// like the time of the check.
    fn unanswered_check(&self) -> Option<Instant> {
        self.checked_at.filter(|checked_at| *checked_at > self.alive_at)
    }

    /// Time stamps to send, with the time stamp of the peer that was the newest when the messages behind them were queued.
    #[must_use]
    pub fn timestamps(&self, now: Instant, echo_ms: u64) -> Timestamps {
        let value_ms = whole_ms(now.duration_since(self.epoch));
        Timestamps { echo_ms, idle: false, reply: false, value_ms, dormant: false }
    }

    /// Records that messages other than heartbeats are to be sent, all of them notices or not. Returns true if time stamps must
    /// be exchanged first: on a resting link those that the peer has seen are so old that the messages would count as late.
    pub fn record_sending(&mut self, now: Instant, only_notices: bool) -> bool {
        self.set_used(now, only_notices);
        if self.pace.rest() != Rest::Awake && self.has_timestamps {
            self.pace = Pace::Waking;
            self.woken_at = now;
        }
        self.is_waking()
    }

    /// Records the arrival of a message. Returns true if the sending side must know: the peer has asked for time stamps, has
    /// sent those that this side has asked for, or uses a link that rested for this side.
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
            Message::Acknowledge(_) | Message::Suspect(_) => Ok(false),
            Message::Heartbeat => Ok(self.set_pace(now, Rest::Awake)),
            Message::Idle => Ok(self.set_pace(now, Rest::Idle)),
            Message::Timestamps(timestamps) => self.record_timestamps(now, *timestamps),
            _ => {
                let has_rested = self.set_used(now, message.is_notice());
                Ok(self.set_pace(now, Rest::Awake) || has_rested)
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
        // A message follows, unless the peer only checks whether this side is alive.
        if received.reply && received.rest() == Rest::Awake {
            self.set_used(now, true);
        }
        Ok(self.set_pace(now, received.rest()) || received.reply)
    }

    /// Ends the rest of this side; returns true if the link rested for it, so that its next time stamps are due now.
    fn set_used(&mut self, now: Instant, by_notice: bool) -> bool {
        let is_short = by_notice && self.may_become_dormant();
        let rest_after = if is_short { REST_AFTER_NOTICE } else { REST_AFTER };
        self.rest_at = self.rest_at.max(now + rest_after);
        let has_rested = std::mem::take(&mut self.rest) != Rest::Awake;
        if has_rested {
            self.woken_at = now;
        }
        has_rested
    }

    /// Sets how the link rests for the peer; returns true if this side has waited for the end of that.
    fn set_pace(&mut self, now: Instant, rest: Rest) -> bool {
        match (self.pace, rest) {
            (pace, Rest::Awake) => {
                if pace.rest() != Rest::Awake {
                    self.woken_at = now;
                }
                self.pace = Pace::Announced(Rest::Awake);
                pace == Pace::Waking
            }
            // The peer had not seen yet that this side asks for time stamps.
            (Pace::Waking, _) => false,
            (_, rest) => {
                self.pace = Pace::Announced(rest);
                false
            }
        }
    }
}
