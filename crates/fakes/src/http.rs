//! HTTP/1.1 server that all stand-ins share.

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

/// Largest request body; a value of 1 MB can take up to six times its size as JSON.
const MAX_BODY_BYTES: usize = 7 << 20;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Connections beyond this number are closed at once, so that a test with a fault cannot exhaust the process.
const MAX_CONNECTIONS: usize = 4096;
/// Time that a shutdown gives requests in progress; requests that never end (frozen, long polls) are cut after it.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);
/// Pause before a truncated response ends, in which hyper sends the part written so far.
const TRUNCATE_PAUSE: Duration = Duration::from_millis(20);

/// The connection is to be closed without a response.
#[derive(Clone, Copy, Debug, Error)]
#[error("connection closed without a response")]
pub struct ConnectionClosed;

/// A stand-in that answers HTTP requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request; an error closes the connection without a response.
    fn handle(
        &self,
        request: Request<Bytes>,
    ) -> impl Future<Output = Result<Response<ResponseBody>, ConnectionClosed>> + Send;
}

/// Body of a response, whole or cut short.
#[derive(Debug)]
pub struct ResponseBody {
    cut: Option<Pin<Box<Sleep>>>,
    data: Option<Bytes>,
    declared: u64,
}

impl ResponseBody {
    /// A whole body.
    #[must_use]
    pub fn complete(data: impl Into<Bytes>) -> Self {
        let data = data.into();
        Self { cut: None, declared: data.len() as u64, data: Some(data) }
    }

    /// A body that declares more than the length of `data` and ends with an error after its first half.
    #[must_use]
    pub fn truncated(data: impl Into<Bytes>) -> Self {
        let data = data.into();
        // One byte more than sent is declared, so that an empty body is cut as well.
        let declared = data.len() as u64 + 1;
        let cut = Some(Box::pin(sleep(TRUNCATE_PAUSE)));
        Self { cut, data: Some(data.slice(..data.len() / 2)), declared }
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
        match self.cut.as_mut() {
            Some(pause) => pause.as_mut().poll(context).map(|()| Some(Err(ConnectionClosed))),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.cut.is_none() && self.data.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.declared)
    }
}

/// A running server; dropping it aborts the server.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    stop: oneshot::Sender<Stop>,
    task: JoinHandle<()>,
}

/// How a server ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stop {
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
        self.end(Stop::Abort).await;
    }

    /// Closes the listener, lets requests in progress end for at most one second, then closes the connections.
    pub async fn shutdown(self) {
        self.end(Stop::Graceful).await;
    }

    async fn end(self, how: Stop) {
        // Both fail only when the server task has ended already.
        let _ = self.stop.send(how);
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
    let task = tokio::spawn(accept(listener, state, stopped));
    Ok(ServerHandle { address, stop, task })
}

async fn accept<H: Handler>(listener: TcpListener, state: H, mut stopped: oneshot::Receiver<Stop>) {
    let graceful = GracefulShutdown::new();
    let mut connections = JoinSet::new();
    let how = loop {
        tokio::select! {
            how = &mut stopped => break how.unwrap_or(Stop::Abort),
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if connections.len() < MAX_CONNECTIONS => {
                    connections.spawn(connection(stream, state.clone(), graceful.watcher()));
                }
                Ok(_) => {}
                // Errors such as the limit of open files last; without the pause the loop would spin.
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    };
    drop(listener);
    if how == Stop::Graceful {
        let _ = timeout(SHUTDOWN_GRACE, graceful.shutdown()).await;
    }
    connections.shutdown().await;
}

async fn connection<H: Handler>(stream: TcpStream, state: H, watcher: hyper_util::server::graceful::Watcher) {
    // Without it, small responses can wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { answer(&state, request).await }
    });
    let connection =
        http1::Builder::new().timer(TokioTimer::new()).serve_connection(TokioIo::new(stream), service);
    // An error here means that the peer or the stand-in closed the connection early.
    let _ = watcher.watch(connection).await;
}

async fn answer<H: Handler>(
    state: &H,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionClosed> {
    let (parts, body) = request.into_parts();
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => state.handle(Request::from_parts(parts, body.to_bytes())).await,
        Err(error) if error.is::<LengthLimitError>() => {
            Ok(error_reply(StatusCode::PAYLOAD_TOO_LARGE, "request body too large"))
        }
        Err(_) => Err(ConnectionClosed),
    }
}

/// Body of an error response of a stand-in.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// A response with a JSON body.
pub(crate) fn json_reply<T: Serialize>(status: StatusCode, message: &T) -> Response<ResponseBody> {
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

/// The response to a wait that ended without a change.
pub(crate) fn unchanged_reply() -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(Bytes::new()));
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}

/// A response with an explanation as JSON.
pub(crate) fn error_reply(status: StatusCode, error: &str) -> Response<ResponseBody> {
    json_reply(status, &ErrorBody { error })
}

/// Value of `name` in the query of `request`; `None` when it is absent or not a number.
pub(crate) fn query_number<B>(request: &Request<B>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let (_, value) = query.split('&').filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == name)?;
    value.parse().ok()
}

/// Decodes `%xx` sequences of a path segment; `None` when the result is not UTF-8.
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
