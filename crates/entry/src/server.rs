//! HTTP/1.1 listener with limits on connections, headers, bodies and idle time.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
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
use tokio::time::timeout;

use crate::reply::{Encoding, HttpResponse, Rejection};

/// Wait after a failed accept, so that running out of file descriptors does not busy the process.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    pub(crate) idle_timeout: Duration,
    pub(crate) max_body_bytes: usize,
    pub(crate) max_connections: usize,
    pub(crate) max_header_bytes: usize,
}

/// A request with its whole body.
pub(crate) struct WholeRequest {
    pub(crate) body: Bytes,
    pub(crate) parts: http::request::Parts,
}

/// What a listener serves.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Encoding of errors that come before the handler.
    const ENCODING: Encoding;

    /// Answers a request.
    fn handle(&self, request: WholeRequest) -> impl Future<Output = HttpResponse> + Send;
}

#[derive(Serialize)]
struct ConnectionFailed {
    error: String,
    peer: SocketAddr,
}

/// Serves connections until `stop` is true, then finishes the requests under way.
pub(crate) async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        match permits.clone().try_acquire_owned() {
            Ok(permit) => serve_connection(stream, peer, handler.clone(), limits, &graceful, permit),
            Err(_) => {
                tokio::spawn(reject_connection(stream, H::ENCODING));
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: H,
    limits: ServerLimits,
    graceful: &GracefulShutdown,
    permit: OwnedSemaphorePermit,
) {
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(respond(request, &handler, limits).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            let details = ConnectionFailed { error: error.to_string(), peer };
            hinge_obs::emit(LogEvent::ConnectionFailed, &details);
        }
        drop(permit);
    });
}

async fn respond<H: Handler>(request: Request<Incoming>, handler: &H, limits: ServerLimits) -> HttpResponse {
    let (parts, body) = request.into_parts();
    match read_body(body, limits).await {
        Ok(body) => handler.handle(WholeRequest { body, parts }).await,
        Err(rejection) => H::ENCODING.rejection(&rejection),
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

/// Answers the first request of a connection over the limit and closes it.
async fn reject_connection(stream: TcpStream, encoding: Encoding) {
    let service = service_fn(move |_request: Request<Incoming>| async move {
        let rejection = Rejection::new(ResultCode::TooManyConnections, "");
        Ok::<_, Infallible>(encoding.rejection(&rejection))
    });
    let connection = http1::Builder::new().keep_alive(false).serve_connection(TokioIo::new(stream), service);
    let _ = timeout(Duration::from_secs(1), connection).await;
}
