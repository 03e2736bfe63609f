//! One connection between two entries.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hinge_runs::whole_ms;
use hinge_wire::{CodecError, from_msgpack, to_msgpack};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, error::Elapsed, sleep_until, timeout, timeout_at};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::session::{Outgoing, Queued, Session};
use crate::stats::Counters;
use crate::{Hello, Message, Rest, TimestampAhead, Timestamps};

/// Longest time between two messages on a link that does not rest.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that opening a connection and each write may take, and time without a message after which the link to a
/// process that sends no time stamps is down.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(500);
/// Time without a message after which the side that dials replaces the connection. A connection can go silent for good
/// while new ones work; the link then continues on a new one.
const STALLED_AFTER: Duration = Duration::from_millis(350);
/// Smallest age of the time stamps that were sent last at which newer ones precede the next message.
const TIMESTAMP_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a message. The largest messages contain a configuration of at most 1 MB.
const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;
/// Maximum size of the first message, by which a peer identifies itself.
const MAX_HELLO_BYTES: usize = 16 * 1024;
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
    #[error("the peer was not alive lately")]
    NotAlive,
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
    /// Whether this side has dialled, and replaces a connection that has stalled.
    dialled: bool,
}

pub(crate) struct Writer {
    counters: Arc<Counters>,
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    /// Time stamp of the peer that was returned last, and when.
    echoed: Option<(u64, Instant)>,
}

fn codec(max_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(max_frame_bytes).new_codec()
}

/// Splits a connection and exchanges [`Message::Hello`] with the peer.
pub(crate) async fn open(
    stream: TcpStream,
    local: &Hello,
    counters: Arc<Counters>,
    dialled: bool,
) -> Result<(Hello, Reader, Writer), LinkError> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let mut reader = Reader { frames: FramedRead::new(read, codec(MAX_HELLO_BYTES)), dialled };
    let mut writer =
        Writer { counters, frames: FramedWrite::new(write, codec(MAX_FRAME_BYTES)), echoed: None };
    writer.write(&Message::Hello(local.clone())).await?;
    match reader.next().await? {
        Message::Hello(hello) => {
            reader.frames.decoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
            Ok((hello, reader, writer))
        }
        _ => Err(LinkError::NoHello),
    }
}

impl Reader {
    /// Returns the next message, whatever it is.
    pub(crate) async fn next(&mut self) -> Result<Message, LinkError> {
        let frame = self.frames.next().await.ok_or(LinkError::Closed)??;
        Ok(from_msgpack(&frame)?)
    }

    /// Returns the next message of a link; fails when the peer does not count as alive any more.
    pub(crate) async fn next_message(&mut self, session: &Session) -> Result<Message, LinkError> {
        let message = loop {
            let (stalled_at, alive_until) = {
                let liveness = session.liveness();
                let last_arrival = liveness.last_arrival().filter(|_| self.dialled);
                (last_arrival.map(|at| at + STALLED_AFTER), liveness.alive_until())
            };
            let until = stalled_at.map_or(alive_until, |stalled_at| stalled_at.min(alive_until));
            tokio::select! {
                biased;
                message = self.next() => break message,
                () = session.deadline_changed.notified() => {}
                () = sleep_until(until) => {
                    return Err(if until == alive_until { LinkError::NotAlive } else { LinkError::Stalled });
                }
            }
        };
        let (message, now) = (message?, Instant::now());
        let mut liveness = session.liveness();
        if liveness.record_arrival(now, &message)? {
            session.timestamps_due.notify_one();
        }
        if now >= liveness.alive_until() {
            return Err(LinkError::NotAlive);
        }
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
            self.counters.count_frame();
        }
        timeout(SILENCE_LIMIT, SinkExt::<Bytes>::flush(&mut self.frames)).await??;
        Ok(())
    }

    /// Returns the time stamps that are sent before messages the oldest of which was queued with `echo_ms`; none if those
    /// sent last are new enough.
    fn due_timestamps(&mut self, session: &Session, echo_ms: u64) -> Result<Option<Bytes>, LinkError> {
        let now = Instant::now();
        let interval_ms = whole_ms(TIMESTAMP_INTERVAL);
        let is_recent = self.echoed.is_some_and(|(echoed_ms, at)| {
            now.duration_since(at) < TIMESTAMP_INTERVAL && echo_ms < echoed_ms.saturating_add(interval_ms)
        });
        if is_recent || !session.peer.timestamps {
            return Ok(None);
        }
        let timestamps = session.liveness().timestamps(now, echo_ms);
        self.encode_timestamps(now, timestamps).map(Some)
    }

    fn encode_timestamps(&mut self, now: Instant, timestamps: Timestamps) -> Result<Bytes, LinkError> {
        self.echoed = Some((timestamps.echo_ms, now));
        Ok(to_msgpack(&Message::Timestamps(timestamps))?.into())
    }

    /// Encodes the heartbeat that is sent when there is no other message.
    fn encode_heartbeat(&mut self, session: &Session, timestamps: Timestamps) -> Result<Bytes, LinkError> {
        if session.peer.timestamps {
            return self.encode_timestamps(Instant::now(), timestamps);
        }
        let heartbeat = if timestamps.idle { Message::Idle } else { Message::Heartbeat };
        Ok(to_msgpack(&heartbeat)?.into())
    }

    /// Asks the peer for time stamps, and waits for them.
    async fn wake(&mut self, session: &Session) -> Result<(), LinkError> {
        let now = Instant::now();
        let request = {
            let liveness = session.liveness();
            Timestamps { reply: true, ..liveness.timestamps(now, liveness.peer_ms()) }
        };
        let request = self.encode_timestamps(now, request)?;
        self.write_frames([request]).await?;
        while session.liveness().is_waking() {
            let until = session.liveness().alive_until();
            let answered = timeout_at(until, session.timestamps_due.notified()).await;
            answered.map_err(|_| LinkError::NotAlive)?;
        }
        Ok(())
    }

    /// Writes queued messages, and heartbeats when there are none, until the queue is closed or a write fails. Heartbeats
    /// become less frequent on a link that begins to rest.
    pub(crate) async fn run(mut self, session: &Session, outgoing: &mut Outgoing) -> Result<(), LinkError> {
        let mut batch = Vec::with_capacity(WRITE_BATCH);
        // The first time stamps are sent at once.
        let mut heartbeat_at = Instant::now();
        loop {
            batch.clear();
            let received = tokio::select! {
                received = timeout_at(heartbeat_at, outgoing.queue.recv_many(&mut batch, WRITE_BATCH)) => received.ok(),
                () = session.timestamps_due.notified() => None,
            };
            if received == Some(0) {
                return Err(LinkError::Closed);
            }
            if Instant::now() >= session.liveness().alive_until() {
                return Err(LinkError::NotAlive);
            }
            heartbeat_at = if batch.is_empty() {
                let rest = self.write_heartbeat(session, outgoing).await?;
                session.align_heartbeat(Instant::now() + rest.heartbeat_interval())
            } else {
                let frames = self.message_frames(session, outgoing, &batch).await?;
                self.write_frames(frames).await?;
                Instant::now() + HEARTBEAT_INTERVAL
            };
        }
    }

    /// Writes a heartbeat with the pending suspicions, and returns how the link rests from now on.
    async fn write_heartbeat(
        &mut self,
        session: &Session,
        outgoing: &mut Outgoing,
    ) -> Result<Rest, LinkError> {
        let pending = session.take_pending();
        let timestamps = self.next_timestamps(session, pending.check);
        let mut frames = self.heartbeat_frames(session, outgoing, timestamps)?;
        if !pending.suspects.is_empty() {
            frames.push(to_msgpack(&Message::Suspect(pending.suspects))?.into());
        }
        self.write_frames(frames).await?;
        Ok(timestamps.rest())
    }

    /// The time stamps of a heartbeat. With `check` they ask for an answer if the link rests, and limit the time for it.
    fn next_timestamps(&self, session: &Session, check: bool) -> Timestamps {
        let now = Instant::now();
        let mut liveness = session.liveness();
        let heartbeat = liveness.heartbeat(now);
        let request = if check { liveness.check(now) } else { None };
        if request.is_some() {
            self.counters.count_check();
            session.deadline_changed.notify_one();
        }
        request.unwrap_or(heartbeat)
    }

    fn heartbeat_frames(
        &mut self,
        session: &Session,
        outgoing: &mut Outgoing,
        timestamps: Timestamps,
    ) -> Result<Vec<Bytes>, LinkError> {
        let mut frames = Vec::with_capacity(2);
        if let Some(acknowledgement) = outgoing.acknowledgement(session, true) {
            frames.push(to_msgpack(&acknowledgement)?.into());
        }
        frames.push(self.encode_heartbeat(session, timestamps)?);
        Ok(frames)
    }

    /// Encodes queued messages behind the time stamps that hold for them. On a resting link time stamps are exchanged first.
    async fn message_frames(
        &mut self,
        session: &Session,
        outgoing: &mut Outgoing,
        batch: &[Queued],
    ) -> Result<Vec<Bytes>, LinkError> {
        let mut frames = Vec::with_capacity(batch.len() + 2);
        // Before anything else, so that no message is lost if the connection ends meanwhile.
        for queued in batch {
            frames.push(outgoing.encode(session, &queued.message)?);
        }
        let mut echo_ms = batch.first().map_or(0, |queued| queued.echo_ms);
        let only_notices = batch.iter().all(|queued| queued.message.is_notice());
        if session.liveness().record_sending(Instant::now(), only_notices) {
            self.wake(session).await?;
            echo_ms = session.liveness().peer_ms();
        }
        if let Some(timestamps) = self.due_timestamps(session, echo_ms)? {
            frames.insert(0, timestamps);
        }
        if let Some(acknowledgement) = outgoing.acknowledgement(session, false) {
            frames.push(to_msgpack(&acknowledgement)?.into());
        }
        Ok(frames)
    }
}
