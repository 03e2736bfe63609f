//! HTTP/1.1 client with a connection pool that tells whether a request was written.
//!
//! A request is never repeated here: a retry that the caller cannot see would break at-most-once.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hinge_wire::FastMap;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// Addresses with idle connections; a connection to a further address is closed after its use.
const MAX_ADDRESSES: usize = 4096;
/// Time for which an idle connection is kept. Short against the idle limits of servers: a request that is written while
/// the other side closes is lost, and a lost task cannot be repeated.
const MAX_IDLE: Duration = Duration::from_secs(10);

type Sender = SendRequest<Full<Bytes>>;

/// Why a request has no usable response.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(crate) enum SendError {
    /// The request was written and the connection failed or the response was not usable.
    #[error("the request was written and no usable response came")]
    Lost,
    /// Nothing of the request was written.
    #[error("the request could not be sent")]
    NotSent,
    /// The response did not arrive in time.
    #[error("no response came in time")]
    TimedOut,
}

/// Limits of a pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) connect_timeout: Duration,
    pub(crate) idle_per_address: usize,
}

/// An idle connection.
struct Idle {
    sender: Sender,
    since: Instant,
}

/// Pool of idle connections by address.
pub(crate) struct Connections {
    idle: Mutex<FastMap<SocketAddr, Vec<Idle>>>,
    limits: Limits,
}

impl Connections {
    pub(crate) fn new(limits: Limits) -> Self {
        Self { idle: Mutex::default(), limits }
    }

    /// Sends a request once and reads the whole response, of at most `max_bytes`, within `time`.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        time: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, SendError> {
        self.send_matched(address, request, time, max_bytes, |_| true).await
    }

    /// Like [`Self::send`]; a connection whose response does not match its request is closed, because the responses
    /// that follow would be crossed as well.
    pub(crate) async fn send_matched(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        time: Duration,
        max_bytes: usize,
        is_match: impl FnOnce(&Response<Bytes>) -> bool,
    ) -> Result<Response<Bytes>, SendError> {
        let deadline = Instant::now() + time;
        let mut sender = self.connection(address).await?;
        let response = match timeout_at(deadline, sender.try_send_request(request)).await {
            Err(_) => return Err(SendError::TimedOut),
            Ok(Ok(response)) => response,
            // hyper hands the request back exactly when no byte of it was written.
            Ok(Err(mut error)) => {
                let unsent = error.take_message().is_some();
                return Err(if unsent { SendError::NotSent } else { SendError::Lost });
            }
        };
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, max_bytes);
        let body = match timeout_at(deadline, body.collect()).await {
            Err(_) => return Err(SendError::TimedOut),
            Ok(Err(_)) => return Err(SendError::Lost),
            Ok(Ok(body)) => body.to_bytes(),
        };
        let response = Response::from_parts(parts, body);
        if is_match(&response) {
            self.put_back(address, sender);
        }
        Ok(response)
    }

    /// Drops connections that the other side has closed or that have been idle for long.
    pub(crate) fn prune(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for senders in idle.values_mut() {
            senders.retain(|idle| !idle.sender.is_closed() && idle.since.elapsed() < MAX_IDLE);
        }
        idle.retain(|_, senders| !senders.is_empty());
    }

    async fn connection(&self, address: SocketAddr) -> Result<Sender, SendError> {
        while let Some(sender) = self.take_idle(address) {
            if sender.is_ready() {
                return Ok(sender);
            }
        }
        let stream = timeout(self.limits.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| SendError::NotSent)?
            .map_err(|_| SendError::NotSent)?;
        // Small requests must not wait for the acknowledgement of earlier ones.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| SendError::NotSent)?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&address)?;
        // The last one was used most recently: when it is too old, all are.
        let taken = senders.pop().filter(|idle| idle.since.elapsed() < MAX_IDLE);
        if taken.is_none() {
            idle.remove(&address);
        }
        taken.map(|idle| idle.sender)
    }

    fn put_back(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() >= MAX_ADDRESSES && !idle.contains_key(&address) {
            return;
        }
        let senders = idle.entry(address).or_default();
        if senders.len() < self.limits.idle_per_address && !sender.is_closed() {
            senders.push(Idle { sender, since: Instant::now() });
        }
    }
}
