//! One connection between two entries.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hinge_wire::{CodecError, from_msgpack, to_msgpack};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, error::Elapsed, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::{Hello, Message};

/// Longest time between two messages on a link that is not idle.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a message after which a link is down. Together with the lease of runs (0.75 s) it is shorter than the
/// 1.3 s after which callers resubmit a job.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(500);
/// Time without messages other than heartbeats after which a side lets a link to another data centre become idle.
const IDLE_AFTER: Duration = Duration::from_secs(2);
/// Replaces [`HEARTBEAT_INTERVAL`] on an idle link.
const IDLE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Replaces [`SILENCE_LIMIT`] on an idle link.
const IDLE_SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
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
}

pub(crate) struct Reader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    /// Time without a message after which the link is down.
    silence_limit: Duration,
}

pub(crate) struct Writer(FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Splits a connection and exchanges [`Message::Hello`] with the peer.
pub(crate) async fn open(stream: TcpStream, local: &Hello) -> Result<(Hello, Reader, Writer), LinkError> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let mut reader = Reader { frames: FramedRead::new(read, codec()), silence_limit: SILENCE_LIMIT };
    let mut writer = Writer(FramedWrite::new(write, codec()));
    writer.write(&[Message::Hello(local.clone())]).await?;
    match reader.next().await? {
        Message::Hello(hello) => Ok((hello, reader, writer)),
        _ => Err(LinkError::NoHello),
    }
}

impl Reader {
    /// Returns the next message; fails if there is none in time. [`Message::Idle`] extends the time until the next one.
    pub(crate) async fn next(&mut self) -> Result<Message, LinkError> {
        let frame = timeout(self.silence_limit, self.frames.next()).await?.ok_or(LinkError::Closed)??;
        let message = from_msgpack(&frame)?;
        self.silence_limit = if message == Message::Idle { IDLE_SILENCE_LIMIT } else { SILENCE_LIMIT };
        Ok(message)
    }
}

impl Writer {
    async fn write(&mut self, messages: &[Message]) -> Result<(), LinkError> {
        for message in messages {
            self.0.feed(Bytes::from(to_msgpack(message)?)).await?;
        }
        timeout(SILENCE_LIMIT, SinkExt::<Bytes>::flush(&mut self.0)).await??;
        Ok(())
    }

    /// Writes queued messages, and heartbeats when there are none, until the queue is closed or a write fails. If
    /// `may_idle` is set, heartbeats become less frequent after a while without other messages.
    pub(crate) async fn run(mut self, mut queue: mpsc::Receiver<Message>, may_idle: bool) -> LinkError {
        let mut batch = Vec::with_capacity(WRITE_BATCH);
        let mut last_write_at = Instant::now();
        let mut interval = HEARTBEAT_INTERVAL;
        loop {
            batch.clear();
            match timeout(interval, queue.recv_many(&mut batch, WRITE_BATCH)).await {
                Ok(0) => return LinkError::Closed,
                Ok(_) => {
                    last_write_at = Instant::now();
                    interval = HEARTBEAT_INTERVAL;
                }
                Err(_) if may_idle && last_write_at.elapsed() >= IDLE_AFTER => {
                    interval = IDLE_HEARTBEAT_INTERVAL;
                    batch.push(Message::Idle);
                }
                Err(_) => batch.push(Message::Heartbeat),
            }
            if let Err(error) = self.write(&batch).await {
                return error;
            }
        }
    }
}
