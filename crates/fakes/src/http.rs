//! HTTP/1.1 server shared by all stand-ins.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Sleep, sleep, timeout};

/// Largest request body; JSON escapes can make a value of 1 MB up to six times as long.
const MAX_BODY_BYTES: usize = 7 << 20;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Connections beyond this limit are closed at once, so that a faulty test cannot exhaust the process's resources.
const MAX_CONNECTIONS: usize = 4096;
/// Time that a graceful shutdown waits for requests in progress; those that last longer (frozen tasks, long polls) are
/// then cut off.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);
/// Delay before a truncated response ends with an error, in which hyper sends the part written so far.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

/// Error on which the server closes the connection without a response or in the middle of one.
#[derive(Clone, Copy, Debug, Error)]
#[error("connection closed without a response")]
pub struct ConnectionClosed;

/// A stand-in that handles HTTP requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request; an error closes the connection without a response.
    fn handle(
        &self,
        request: Request<Bytes>,
    ) -> impl Future<Output = Result<Response<ResponseBody>, ConnectionClosed>> + Send;
}

/// Body of a response, complete or truncated.
#[derive(Debug)]
pub struct ResponseBody {
    /// Delay after which a truncated body ends with an error; `None` for a complete body.
    truncation: Option<Pin<Box<Sleep>>>,
    /// Data that is not sent yet.
    data: Option<Bytes>,
    /// Value of the `Content-Length` header.
    declared_length: u64,
}

impl ResponseBody {
    /// Creates a body that is sent in full.
    #[must_use]
    pub fn complete(data: impl Into<Bytes>) -> Self {
        let data = data.into();
        Self { truncation: None, declared_length: data.len() as u64, data: Some(data) }
    }

    /// Creates a body that declares more than the length of `data` and ends with an error after the first half of it.
    #[must_use]
    pub fn truncated(data: impl Into<Bytes>) -> Self {
        let data = data.into();
        // The additional byte makes an empty body incomplete as well.
        let declared_length = data.len() as u64 + 1;
        let truncation = Some(Box::pin(sleep(TRUNCATION_DELAY)));
        Self { truncation, data: Some(data.slice(..data.len() / 2)), declared_length }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ConnectionClosed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionClosed>>> {
        if let Some(data) = self.data.take().filter(|data| !data.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        match self.truncation.as_mut() {
            Some(delay) => delay.as_mut().poll(context).map(|()| Some(Err(ConnectionClosed))),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.truncation.is_none() && self.data.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.declared_length)
    }
}

/// A running server; dropping it aborts the server.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    stop: oneshot::Sender<StopMode>,
    task: JoinHandle<()>,
}

/// How a server stops.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StopMode {
    Abort,
    Graceful,
}

impl ServerHandle {
    /// Address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections at once.
    pub async fn abort(self) {
        self.stop_server(StopMode::Abort).await;
    }

    /// Closes the listener, waits at most one second for requests in progress, then closes the connections.
    pub async fn shutdown(self) {
        self.stop_server(StopMode::Graceful).await;
    }

    async fn stop_server(self, mode: StopMode) {
        // Both fail only if the server task has ended already.
        let _ = self.stop.send(mode);
        let _ = self.task.await;
    }
}

/// Serves `state` on `listener` until the handle is shut down, aborted or dropped.
///
/// # Errors
///
/// Fails when the listener's address cannot be read.
pub fn serve<H: Handler>(listener: TcpListener, state: H) -> io::Result<ServerHandle> {
    let address = listener.local_addr()?;
    let (stop, stopped) = oneshot::channel();
    let task = tokio::spawn(accept_connections(listener, state, stopped));
    Ok(ServerHandle { address, stop, task })
}

async fn accept_connections<H: Handler>(
    listener: TcpListener,
    state: H,
    mut stopped: oneshot::Receiver<StopMode>,
) {
    let graceful = GracefulShutdown::new();
    let mut connections = JoinSet::new();
    let mode = loop {
        tokio::select! {
            mode = &mut stopped => break mode.unwrap_or(StopMode::Abort),
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if connections.len() < MAX_CONNECTIONS => {
                    connections.spawn(serve_connection(stream, state.clone(), graceful.watcher()));
                }
                Ok(_) => {}
                // Errors such as too many open files persist; without the delay the loop would spin.
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    };
    drop(listener);
    if mode == StopMode::Graceful {
        let _ = timeout(SHUTDOWN_GRACE, graceful.shutdown()).await;
    }
    connections.shutdown().await;
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    state: H,
    watcher: hyper_util::server::graceful::Watcher,
) {
    // Without TCP_NODELAY, small responses can wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { handle_request(&state, request).await }
    });
    let connection =
        http1::Builder::new().timer(TokioTimer::new()).serve_connection(TokioIo::new(stream), service);
    // An error here means that the peer or the stand-in closed the connection early.
    let _ = watcher.watch(connection).await;
}

async fn handle_request<H: Handler>(
    state: &H,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionClosed> {
    let (parts, body) = request.into_parts();
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => state.handle(Request::from_parts(parts, body.to_bytes())).await,
        Err(error) if error.is::<LengthLimitError>() => {
            Ok(error_response(StatusCode::PAYLOAD_TOO_LARGE, "request body too large"))
        }
        Err(_) => Err(ConnectionClosed),
    }
}

/// JSON body of an error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Creates a response with a JSON body.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, message: &T) -> Response<ResponseBody> {
    let (status, body) = match hinge_wire::to_json(message) {
        Ok(body) => (status, body),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into_bytes()),
    };
    let mut response = Response::new(ResponseBody::complete(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    response
}

/// Creates the response to a watch or long poll that ended without a change: status 204.
pub(crate) fn unchanged_response() -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(Bytes::new()));
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}

/// Creates an error response with a message in a JSON body.
pub(crate) fn error_response(status: StatusCode, error: &str) -> Response<ResponseBody> {
    json_response(status, &ErrorBody { error })
}

/// Value of the query parameter `name`; `None` if it is absent or not a number.
pub(crate) fn query_number<B>(request: &Request<B>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let (_, value) = query.split('&').filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == name)?;
    value.parse().ok()
}

/// Decodes the `%xx` sequences of a path; `None` if one is not hexadecimal or the result is not UTF-8.
pub(crate) fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let hex = tail.get(..2).filter(|_| first == b'%');
        if let Some(hex) = hex {
            bytes.push(u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?);
            rest = &tail[2..];
        } else {
            bytes.push(first);
            rest = tail;
        }
    }
    String::from_utf8(bytes).ok()
}
