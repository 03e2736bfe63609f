//! HTTP/1.1 server with limits on connections, header size, body size and idle time.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hinge_budget::{BodyError, Budget, Connection, Held, Listener, read_body};
use hinge_obs::Metrics;
use hinge_wire::{LogEvent, ResultCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::{JoinSet, yield_now};
use tokio::time::{sleep, timeout};

use crate::reply::{Encoding, HttpResponse, Rejection, Reply};
use crate::write_limit::WriteLimit;

/// Delay after a failed accept, so that a shortage of file descriptors does not cause a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Size of responses that are not counted: they fit in what is counted for their connection.
const UNCOUNTED_BYTES: usize = 8 * 1_024;

/// Time since the last response on a connection before it may be closed for a new one.
const MIN_IDLE: Duration = Duration::from_secs(3);
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
    /// Counts the body, or what was decoded from it.
    pub(crate) held: Held,
    pub(crate) parts: http::request::Parts,
}

/// Request handler of a listener.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Returns the response to a request.
    fn handle(&self, request: BufferedRequest) -> impl Future<Output = Reply> + Send;

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
    budget: Budget,
    graceful: GracefulShutdown,
    handler: H,
    limits: ServerLimits,
    listener: Listener,
    rejections: Arc<Semaphore>,
    tasks: JoinSet<()>,
}

/// Serves connections until `stop` is true, then completes the requests in flight.
pub(crate) async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    limits: ServerLimits,
    budget: Budget,
    mut stop: watch::Receiver<bool>,
) {
    let mut connections = Connections {
        listener: budget.listener(limits.max_connections, MIN_IDLE),
        budget,
        graceful: GracefulShutdown::new(),
        handler,
        limits,
        rejections: Arc::new(Semaphore::new(MAX_CONCURRENT_REJECTIONS)),
        tasks: JoinSet::new(),
    };
    let mut stopped = pin!(async move { drop(stop.wait_for(|stop| *stop).await) });
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => if connections.accept(stream, peer) {
                    // The one that is being closed has its descriptor until its task has run.
                    yield_now().await;
                },
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
    /// Returns true if another connection is being closed for the new one.
    fn accept(&mut self, stream: TcpStream, peer: SocketAddr) -> bool {
        let _ = stream.set_nodelay(true);
        if let Some(connection) = self.listener.admit(self.limits.max_header_bytes) {
            let replaces_another = connection.replaces_another();
            self.serve(stream, peer, connection);
            return replaces_another;
        }
        // Without a permit for a rejection, the connection is closed without a response.
        match self.rejections.clone().try_acquire_owned() {
            Ok(permit) => {
                self.tasks.spawn(reject_connection(stream, self.handler.clone(), self.limits, permit));
            }
            Err(_) => self.handler.metrics().count(ResultCode::TooManyConnections.name(), 1),
        }
        false
    }

    fn serve(&mut self, stream: TcpStream, peer: SocketAddr, admitted: Connection) {
        let (budget, handler, limits) = (self.budget.clone(), self.handler.clone(), self.limits);
        let admitted = Arc::new(admitted);
        let connection = admitted.clone();
        let service = service_fn(move |request| {
            let (budget, connection, handler) = (budget.clone(), connection.clone(), handler.clone());
            async move { Ok::<_, Infallible>(respond(request, &handler, limits, &budget, &connection).await) }
        });
        let stream = WriteLimit::new(stream, limits.idle_timeout);
        let connection = builder(limits).serve_connection(TokioIo::new(stream), service);
        let connection = self.graceful.watch(connection);
        let handler = self.handler.clone();
        self.tasks.spawn(async move {
            let served = tokio::select! {
                served = connection => served,
                () = admitted.close_requested() => return,
            };
            if let Err(error) = served {
                handler.metrics().count("connections_failed", 1);
                let details = ConnectionFailed { error: error.to_string(), peer };
                hinge_obs::emit(LogEvent::ConnectionFailed, &details);
            }
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

async fn respond<H: Handler>(
    request: Request<Incoming>,
    handler: &H,
    limits: ServerLimits,
    budget: &Budget,
    connection: &Connection,
) -> Response<Full<Bytes>> {
    let uri = request.uri().clone();
    let Reply { held, response } = answer(request, handler, limits, budget, connection).await;
    let size = response.body().len();
    if size <= UNCOUNTED_BYTES {
        return response.map(Full::from);
    }
    match held.or_else(|| budget.hold(size)) {
        Some(held) => response.map(|body| Full::new(connection.response(body, held))),
        // A large response that is not counted is to a question, or names issued keys, which expire: nothing has run.
        None => shed(handler, uri.path()).map(Full::from),
    }
}

async fn answer<H: Handler>(
    request: Request<Incoming>,
    handler: &H,
    limits: ServerLimits,
    budget: &Budget,
    connection: &Connection,
) -> Reply {
    let (parts, body) = request.into_parts();
    let body = match read_limited(body, limits, connection).await {
        Ok(body) => body,
        Err(Refusal::Rejected(rejection)) => return handler.reject(parts.uri.path(), &rejection).into(),
        Err(Refusal::Shed) => return shed(handler, parts.uri.path()).into(),
    };
    let _answering = connection.answering();
    let Some(held) = budget.hold_message(body.len()) else {
        return shed(handler, parts.uri.path()).into();
    };
    handler.handle(BufferedRequest { body, held, parts }).await
}

/// The response to a request for which there is no memory. It closes the connection, on which the rest of a body may follow.
fn shed<H: Handler>(handler: &H, path: &str) -> HttpResponse {
    let rejection = Rejection::new(ResultCode::Overloaded, BodyError::Shed.to_string());
    let mut response = handler.reject(path, &rejection);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Reason why a body was not read.
enum Refusal {
    Rejected(Rejection),
    Shed,
}

async fn read_limited(
    body: Incoming,
    limits: ServerLimits,
    connection: &Connection,
) -> Result<Bytes, Refusal> {
    let max_bytes = limits.max_body_bytes;
    let rejected = |code, message: String| Err(Refusal::Rejected(Rejection::new(code, message)));
    if body.size_hint().lower() > max_bytes as u64 {
        return rejected(ResultCode::TooLarge, BodyError::TooLarge { max_bytes }.to_string());
    }
    match timeout(limits.idle_timeout, read_body(body, connection, max_bytes)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::Shed)) => Err(Refusal::Shed),
        Ok(Err(error @ BodyError::TooLarge { .. })) => rejected(ResultCode::TooLarge, error.to_string()),
        Ok(Err(error @ BodyError::Incomplete(_))) => rejected(ResultCode::Malformed, error.to_string()),
        Err(_) => rejected(ResultCode::Malformed, "the body did not arrive in time".to_owned()),
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
        let response = rejection_response(request.uri().path(), &rejection).map(Full::<Bytes>::from);
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
