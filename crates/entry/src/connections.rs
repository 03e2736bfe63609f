//! HTTP/1.1 client with a connection pool. Its errors distinguish requests that were written from those that were not.
//!
//! The client never retries: a retry that its caller does not know of would break at-most-once execution.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hinge_budget::{Budget, Held, UPSTREAM_RECEIVE_BYTES, connect};
use hinge_wire::FastMap;
use http::response::Parts;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::time::{Instant, timeout, timeout_at};

/// Maximum number of addresses with idle connections; connections to further addresses are closed after use.
const MAX_ADDRESSES: usize = 4096;
/// Maximum idle time of a pooled connection. It is much shorter than the idle timeouts of servers, because a request
/// that is written while the server closes the connection is lost, and a lost task cannot be repeated.
const MAX_IDLE: Duration = Duration::from_secs(10);

type Sender = SendRequest<Full<Bytes>>;

/// Reason why a request got no usable response.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(crate) enum SendError {
    /// The request was written, but the connection failed or the response was invalid.
    #[error("the request was written, but no usable response was received")]
    Lost,
    /// No byte of the request was written.
    #[error("the request could not be sent")]
    NotSent,
    /// The response was not complete within the timeout.
    #[error("no response was received within the timeout")]
    TimedOut,
}

/// The body of a response, and what counts it.
pub(crate) struct CountedBody {
    pub(crate) bytes: Vec<u8>,
    pub(crate) held: Held,
}

/// Limits of a connection pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) connect_timeout: Duration,
    pub(crate) idle_per_address: usize,
}

struct IdleConnection {
    sender: Sender,
    idle_since: Instant,
}

/// Pool of idle connections by address.
pub(crate) struct Connections {
    budget: Budget,
    idle: Mutex<FastMap<SocketAddr, Vec<IdleConnection>>>,
    limits: Limits,
}

impl Connections {
    pub(crate) fn new(limits: Limits, budget: Budget) -> Self {
        Self { budget, idle: Mutex::default(), limits }
    }

    /// Sends a request once and reads the whole response, whose body has at most `max_bytes`, within `timeout`. The body is
    /// not counted.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, SendError> {
        let deadline = Instant::now() + timeout;
        let (sender, response) = self.request(address, request, deadline).await?;
        let (parts, body) = response.into_parts();
        let body = match timeout_at(deadline, Limited::new(body, max_bytes).collect()).await {
            Err(_) => return Err(SendError::TimedOut),
            Ok(Err(_)) => return Err(SendError::Lost),
            Ok(Ok(body)) => body.to_bytes(),
        };
        self.return_idle(address, sender);
        Ok(Response::from_parts(parts, body))
    }

    /// Like [`Self::send`], but counts the body; it is none if there is no memory for it. Closes the connection when
    /// `is_match` rejects the head of the response: the response belongs to another request, and so would those that follow on
    /// the same connection.
    pub(crate) async fn send_counted(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: usize,
        is_match: impl FnOnce(&Parts) -> bool,
    ) -> Result<Response<Option<CountedBody>>, SendError> {
        let deadline = Instant::now() + timeout;
        let (sender, response) = self.request(address, request, deadline).await?;
        let (parts, body) = response.into_parts();
        let body = match timeout_at(deadline, self.read_counted(body, max_bytes)).await {
            Err(_) => return Err(SendError::TimedOut),
            Ok(body) => body?,
        };
        // The rest of a body that was given up follows on the connection.
        if body.is_some() && is_match(&parts) {
            self.return_idle(address, sender);
        }
        Ok(Response::from_parts(parts, body))
    }

    /// None if there is no memory for the body.
    async fn read_counted(
        &self,
        mut body: Incoming,
        max_bytes: usize,
    ) -> Result<Option<CountedBody>, SendError> {
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if announced > max_bytes {
            return Err(SendError::Lost);
        }
        let Some(mut held) = self.budget.hold_message(announced) else { return Ok(None) };
        let mut bytes = Vec::with_capacity(announced);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| SendError::Lost)?.into_data() else { continue };
            let size = bytes.len() + data.len();
            if size > max_bytes {
                return Err(SendError::Lost);
            }
            if size > bytes.capacity() {
                let capacity = size.max(bytes.capacity() * 2);
                if !held.grow_to(capacity) {
                    return Ok(None);
                }
                bytes.reserve_exact(capacity - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
        Ok(Some(CountedBody { bytes, held }))
    }

    /// Sends a request once. Returns the head of the response, with the connection on which its body follows.
    async fn request(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<(Sender, Response<Incoming>), SendError> {
        let mut sender = self.acquire(address).await?;
        match timeout_at(deadline, sender.try_send_request(request)).await {
            Err(_) => Err(SendError::TimedOut),
            Ok(Ok(response)) => Ok((sender, response)),
            // hyper returns the request exactly when no byte of it was written.
            Ok(Err(mut error)) => {
                let is_unsent = error.take_message().is_some();
                Err(if is_unsent { SendError::NotSent } else { SendError::Lost })
            }
        }
    }

    /// Drops connections that the server has closed or that have been idle for [`MAX_IDLE`].
    pub(crate) fn prune(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for senders in idle.values_mut() {
            senders.retain(|idle| !idle.sender.is_closed() && idle.idle_since.elapsed() < MAX_IDLE);
        }
        idle.retain(|_, senders| !senders.is_empty());
    }

    async fn acquire(&self, address: SocketAddr) -> Result<Sender, SendError> {
        while let Some(sender) = self.take_idle(address) {
            if sender.is_ready() {
                return Ok(sender);
            }
        }
        let stream = timeout(self.limits.connect_timeout, connect(address, UPSTREAM_RECEIVE_BYTES))
            .await
            .map_err(|_| SendError::NotSent)?
            .map_err(|_| SendError::NotSent)?;
        // Nagle's algorithm would delay small requests until earlier ones are acknowledged.
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
        // The last connection was used most recently: if it has been idle for too long, so have all others.
        let taken = senders.pop().filter(|idle| idle.idle_since.elapsed() < MAX_IDLE);
        if taken.is_none() {
            idle.remove(&address);
        }
        taken.map(|idle| idle.sender)
    }

    fn return_idle(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() >= MAX_ADDRESSES && !idle.contains_key(&address) {
            return;
        }
        let senders = idle.entry(address).or_default();
        if senders.len() < self.limits.idle_per_address && !sender.is_closed() {
            senders.push(IdleConnection { sender, idle_since: Instant::now() });
        }
    }
}
