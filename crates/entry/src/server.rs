//! HTTP/1.1 server with limits on connections, header size, body size and idle time.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hinge_obs::Metrics;
use hinge_wire::{LogEvent, ResultCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::reply::{Encoding, HttpResponse, Rejection};
use crate::write_limit::WriteLimit;

/// Delay after a failed accept, so that a shortage of file descriptors does not cause a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum number of connections over the limit that are being rejected with a response at the same time.
const MAX_CONCURRENT_REJECTIONS: usize = 64;
/// Time in which such a connection must send its request and receive the response.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits of a listener. The idle timeout bounds reading a header, reading a body, and a write without progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    pub(crate) idle_timeout: Duration,
    pub(crate) max_body_bytes: usize,
    pub(crate) max_connections: usize,
    pub(crate) max_header_bytes: usize,
}

/// A request whose body has been read completely.
pub(crate) struct BufferedRequest {
    pub(crate) body: Bytes,
    pub(crate) parts: http::request::Parts,
}

/// Request handler of a listener.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Returns the response to a request.
    fn handle(&self, request: BufferedRequest) -> impl Future<Output = HttpResponse> + Send;

    /// Metrics of the instance.
    fn metrics(&self) -> &Metrics;

    /// Counts a request that is rejected before [`handle`](Self::handle) and returns the response, in the encoding of
    /// its path.
    fn reject(&self, path: &str, rejection: &Rejection) -> HttpResponse;
}

#[derive(Serialize)]
struct ConnectionFailed {
    error: String,
    peer: SocketAddr,
}

/// The open connections of a listener; dropping it closes them.
struct Connections<H> {
    graceful: GracefulShutdown,
    handler: H,
    limits: ServerLimits,
    permits: Arc<Semaphore>,
    rejections: Arc<Semaphore>,
    tasks: JoinSet<()>,
}

/// Serves connections until `stop` is true, then completes the requests in flight.
pub(crate) async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
) {
    let mut connections = Connections {
        graceful: GracefulShutdown::new(),
        handler,
        limits,
        permits: Arc::new(Semaphore::new(limits.max_connections)),
        rejections: Arc::new(Semaphore::new(MAX_CONCURRENT_REJECTIONS)),
        tasks: JoinSet::new(),
    };
    let mut stopped = pin!(async move { drop(stop.wait_for(|stop| *stop).await) });
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => connections.accept(stream, peer),
                Err(_) => sleep(ACCEPT_BACKOFF).await,
            },
            Some(_) = connections.tasks.join_next() => {}
            () = &mut stopped => break,
        }
    }
    drop(listener);
    connections.graceful.shutdown().await;
}

impl<H: Handler> Connections<H> {
    fn accept(&mut self, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            self.serve(stream, peer, permit);
            return;
        }
        // Without a permit for a rejection, the connection is closed without a response.
        match self.rejections.clone().try_acquire_owned() {
            Ok(permit) => {
                self.tasks.spawn(reject_connection(stream, self.handler.clone(), self.limits, permit));
            }
            Err(_) => self.handler.metrics().count(ResultCode::TooManyConnections.name(), 1),
        }
    }

    fn serve(&mut self, stream: TcpStream, peer: SocketAddr, permit: OwnedSemaphorePermit) {
        let (handler, limits) = (self.handler.clone(), self.limits);
        let service = service_fn(move |request| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(respond(request, &handler, limits).await) }
        });
        let stream = WriteLimit::new(stream, limits.idle_timeout);
        let connection = builder(limits).serve_connection(TokioIo::new(stream), service);
        let connection = self.graceful.watch(connection);
        let handler = self.handler.clone();
        self.tasks.spawn(async move {
            if let Err(error) = connection.await {
                handler.metrics().count("connections_failed", 1);
                let details = ConnectionFailed { error: error.to_string(), peer };
                hinge_obs::emit(LogEvent::ConnectionFailed, &details);
            }
            drop(permit);
        });
    }
}

fn builder(limits: ServerLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes);
    builder
}

async fn respond<H: Handler>(request: Request<Incoming>, handler: &H, limits: ServerLimits) -> HttpResponse {
    let (parts, body) = request.into_parts();
    match read_body(body, limits).await {
        Ok(body) => handler.handle(BufferedRequest { body, parts }).await,
        Err(rejection) => handler.reject(parts.uri.path(), &rejection),
    }
}

async fn read_body(body: Incoming, limits: ServerLimits) -> Result<Bytes, Rejection> {
    let max_bytes = limits.max_body_bytes;
    let too_large =
        || Rejection::new(ResultCode::TooLarge, format!("the body is larger than {max_bytes} bytes"));
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large());
    }
    match timeout(limits.idle_timeout, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(error)) => {
            Err(Rejection::new(ResultCode::Malformed, format!("cannot read the body: {error}")))
        }
        Err(_) => Err(Rejection::new(ResultCode::Malformed, "the body did not arrive in time")),
    }
}

/// Rejects the first request on a connection over the limit, then closes the connection.
async fn reject_connection<H: Handler>(
    stream: TcpStream,
    handler: H,
    limits: ServerLimits,
    permit: OwnedSemaphorePermit,
) {
    let rejection = Rejection::new(ResultCode::TooManyConnections, "");
    handler.metrics().count(rejection.code.name(), 1);
    let service = service_fn(move |request: Request<Incoming>| {
        let response = rejection_response(request.uri().path(), &rejection);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = builder(limits).keep_alive(false).serve_connection(TokioIo::new(stream), service);
    let _ = timeout(REJECTION_TIMEOUT, connection).await;
    drop(permit);
}

/// Encodes a rejection in the format of the path: MessagePack for peers, JSON for callers and operators.
pub(crate) fn rejection_response(path: &str, rejection: &Rejection) -> HttpResponse {
    let encoding = if path.starts_with("/peer/") { Encoding::Msgpack } else { Encoding::Json };
    encoding.rejection(rejection)
}
