//! One connection between two entries.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hinge_runs::whole_ms;
use hinge_wire::{CodecError, from_msgpack, to_msgpack};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, error::Elapsed, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::session::{Outgoing, Queued, Session};
use crate::{Hello, Message, TimestampAhead};

/// Longest time between two messages on a link that is not idle.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a message after which a link is down. Together with the lease of runs (0.6 s) it is shorter than the
/// 1.3 s after which callers resubmit a job.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(500);
/// Time without a message after which the side that dials replaces the connection. A connection can go silent for good
/// while new ones work; the link then continues on a new one.
const STALLED_AFTER: Duration = Duration::from_millis(350);
/// Time without messages other than heartbeats after which a side lets a link to another data centre become idle.
const IDLE_AFTER: Duration = Duration::from_secs(2);
/// Replaces [`HEARTBEAT_INTERVAL`] on an idle link.
const IDLE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Replaces [`SILENCE_LIMIT`] on an idle link.
const IDLE_SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
/// Smallest age of the time stamps that were sent last at which newer ones precede the next message.
const TIMESTAMP_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a message. The largest messages contain a configuration of at most 1 MB.
const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;
/// Maximum number of messages between two flushes.
const WRITE_BATCH: usize = 32;

/// Why a link ended.
#[derive(Debug, Error)]
pub(crate) enum LinkError {
    #[error("closed by the peer")]
    Closed,
    #[error("message not readable: {0}")]
    Codec(#[from] CodecError),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error("no message in time")]
    Timeout(#[from] Elapsed),
    #[error("the first message is not Hello")]
    NoHello,
    #[error("a task of the connection has panicked")]
    Panicked,
    #[error("replaced by another connection")]
    Replaced,
    #[error("the link cannot be continued")]
    ResumeFailed,
    #[error("no message for a while")]
    Stalled,
    #[error(transparent)]
    TimestampAhead(#[from] TimestampAhead),
}

pub(crate) struct Reader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    /// Time without a message after which the link is down.
    silence_limit: Duration,
    /// Whether this side has dialled, and replaces a connection that has stalled.
    dialled: bool,
}

pub(crate) struct Writer {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    /// Time stamp of the peer that was returned last, and when.
    echoed: Option<(u64, Instant)>,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Splits a connection and exchanges [`Message::Hello`] with the peer.
pub(crate) async fn open(
    stream: TcpStream,
    local: &Hello,
    dialled: bool,
) -> Result<(Hello, Reader, Writer), LinkError> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let mut reader = Reader { frames: FramedRead::new(read, codec()), silence_limit: SILENCE_LIMIT, dialled };
    let mut writer = Writer { frames: FramedWrite::new(write, codec()), echoed: None };
    writer.write(&Message::Hello(local.clone())).await?;
    match reader.next().await? {
        Message::Hello(hello) => Ok((hello, reader, writer)),
        _ => Err(LinkError::NoHello),
    }
}

impl Reader {
    /// Returns the next message; fails if there is none in time. [`Message::Idle`] extends the time until the next one.
    pub(crate) async fn next(&mut self) -> Result<Message, LinkError> {
        let may_stall = self.dialled && self.silence_limit == SILENCE_LIMIT;
        let limit = if may_stall { STALLED_AFTER } else { self.silence_limit };
        let frame = match timeout(limit, self.frames.next()).await {
            Err(_) if may_stall => return Err(LinkError::Stalled),
            frame => frame?.ok_or(LinkError::Closed)??,
        };
        let message = from_msgpack(&frame)?;
        self.silence_limit = if message == Message::Idle { IDLE_SILENCE_LIMIT } else { SILENCE_LIMIT };
        Ok(message)
    }
}

impl Writer {
    pub(crate) async fn write(&mut self, message: &Message) -> Result<(), LinkError> {
        self.write_frames([Bytes::from(to_msgpack(message)?)]).await
    }

    pub(crate) async fn write_frames(
        &mut self,
        frames: impl IntoIterator<Item = Bytes>,
    ) -> Result<(), LinkError> {
        for frame in frames {
            self.frames.feed(frame).await?;
        }
        timeout(SILENCE_LIMIT, SinkExt::<Bytes>::flush(&mut self.frames)).await??;
        Ok(())
    }

    /// The time stamps to send before messages the oldest of which was queued with `echo_ms`, or as a heartbeat. None if
    /// those sent last are new enough, or the peer does not use them.
    fn due_timestamps(
        &mut self,
        session: &Session,
        echo_ms: Option<u64>,
    ) -> Result<Option<Bytes>, LinkError> {
        if !session.peer.timestamps {
            return Ok(None);
        }
        let now = Instant::now();
        let interval_ms = whole_ms(TIMESTAMP_INTERVAL);
        let (timestamps, is_heartbeat) = {
            let liveness = session.liveness();
            (liveness.timestamps(now, echo_ms.unwrap_or(liveness.peer_ms())), echo_ms.is_none())
        };
        let is_recent = self.echoed.is_some_and(|(echoed_ms, at)| {
            now.duration_since(at) < TIMESTAMP_INTERVAL && timestamps.echo_ms < echoed_ms + interval_ms
        });
        if is_recent && !is_heartbeat {
            return Ok(None);
        }
        self.echoed = Some((timestamps.echo_ms, now));
        Ok(Some(to_msgpack(&Message::Timestamps(timestamps))?.into()))
    }

    /// Writes queued messages, and heartbeats when there are none, until the queue is closed or a write fails. If
    /// `may_idle` is set, heartbeats become less frequent after a while without other messages.
    pub(crate) async fn run(
        mut self,
        session: &Session,
        outgoing: &mut Outgoing,
        may_idle: bool,
    ) -> Result<(), LinkError> {
        let mut batch = Vec::with_capacity(WRITE_BATCH);
        let mut last_write_at = Instant::now();
        let mut interval = HEARTBEAT_INTERVAL;
        loop {
            batch.clear();
            let idle = match timeout(interval, outgoing.queue.recv_many(&mut batch, WRITE_BATCH)).await {
                Ok(0) => return Err(LinkError::Closed),
                Ok(_) => {
                    last_write_at = Instant::now();
                    interval = HEARTBEAT_INTERVAL;
                    false
                }
                Err(_) => true,
            };
            let mut frames: Vec<Bytes> = Vec::with_capacity(batch.len() + 1);
            let oldest_echo_ms = batch.first().map(|queued: &Queued| queued.echo_ms);
            frames.extend(self.due_timestamps(session, oldest_echo_ms)?);
            for queued in &batch {
                frames.push(outgoing.encode(session, &queued.message)?);
            }
            if let Some(acknowledgement) = outgoing.acknowledgement(session, idle) {
                frames.push(to_msgpack(&acknowledgement)?.into());
            }
            if idle && may_idle && last_write_at.elapsed() >= IDLE_AFTER {
                interval = IDLE_HEARTBEAT_INTERVAL;
                frames.push(to_msgpack(&Message::Idle)?.into());
            } else if frames.is_empty() {
                frames.push(to_msgpack(&Message::Heartbeat)?.into());
            }
            self.write_frames(frames).await?;
        }
    }
}
