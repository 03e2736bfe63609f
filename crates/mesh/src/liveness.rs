//! What one side of a link knows about when its peer was alive.
//!
//! That messages arrive proves little: they may have waited on the way while their sender died. So both sides exchange time
//! stamps, as TCP does with its timestamps option. Each sends readings of its own clock and returns the newest reading that
//! it has received. A returned time stamp shows that the peer was alive at that time, and that the messages behind it were
//! sent later. The receiver needs its own clock only.

use hinge_runs::whole_ms;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::Instant;

/// Time stamps of one side of a link. They count from the start of the link, which differs between the two sides.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Timestamps {
    /// Newest time stamp that the sender has received, in milliseconds of the receiver's clock; 0 if it has received none.
    pub echo_ms: u64,
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

/// When the peer of a link was alive.
#[derive(Clone, Debug)]
pub struct Liveness {
    /// Start of the link, from which this side's time stamps count.
    epoch: Instant,
    /// Whether the peer sends time stamps. Otherwise its messages count as sent when they arrive.
    has_timestamps: bool,
    /// Newest time stamp of the peer, in milliseconds of its clock.
    peer_ms: u64,
    /// Newest time stamp that the peer has returned.
    sent_after: Instant,
}

impl Liveness {
    /// Creates the state of a link whose first message this side sent at `epoch`.
    #[must_use]
    pub const fn new(epoch: Instant, has_timestamps: bool) -> Self {
        Self { epoch, has_timestamps, peer_ms: 0, sent_after: epoch }
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

    /// Time stamps to send, with the time stamp of the peer that was the newest when the messages behind them were queued.
    #[must_use]
    pub fn timestamps(&self, now: Instant, echo_ms: u64) -> Timestamps {
        Timestamps { echo_ms, value_ms: whole_ms(now.duration_since(self.epoch)) }
    }

    /// Records the arrival of a message.
    pub fn record_arrival(&mut self, now: Instant) {
        if !self.has_timestamps {
            self.sent_after = now;
        }
    }

    /// Records the time stamps of the peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer returns a time stamp that this side has not sent yet.
    pub fn record_timestamps(&mut self, now: Instant, received: Timestamps) -> Result<(), TimestampAhead> {
        let now_ms = whole_ms(now.duration_since(self.epoch));
        if received.echo_ms > now_ms {
            return Err(TimestampAhead { echo_ms: received.echo_ms, now_ms });
        }
        self.peer_ms = self.peer_ms.max(received.value_ms);
        let echo = self.epoch + std::time::Duration::from_millis(received.echo_ms);
        self.sent_after = self.sent_after.max(echo);
        Ok(())
    }
}
