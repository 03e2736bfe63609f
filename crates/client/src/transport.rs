//! Transports that carry requests to an entry.

use std::error::Error as _;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use thiserror::Error;

/// Time after which an idle connection in the pool is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a request has no usable response.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SendError {
    /// The connection was lost, the response timed out or is unusable; the entry may have received the request.
    #[error("no usable response: {0}")]
    NoResponse(String),
    /// The request was not sent, for example because no connection could be set up.
    #[error("no connection: {0}")]
    NotSent(String),
}

/// Sends requests to entries.
///
/// Each call sends the request exactly once: a retry inside the transport would hide a lost connection from the rules
/// of resubmission.
pub trait Transport: Clone + Send + Sync + 'static {
    /// Sends the request to `entry` and reads the whole response. The URI holds only the path and query.
    fn send(
        &self,
        entry: SocketAddr,
        request: Request<Bytes>,
    ) -> impl Future<Output = Result<Response<Bytes>, SendError>> + Send;
}

/// HTTP/1.1 transport with pooled connections.
#[derive(Clone, Debug)]
pub struct HttpTransport {
    client: Client<HttpConnector, Full<Bytes>>,
    max_response_bytes: usize,
}

impl HttpTransport {
    /// Creates a transport; it connects on the first request to each entry.
    ///
    /// A response body larger than `max_response_bytes` fails with [`SendError::NoResponse`].
    #[must_use]
    pub fn new(connect_timeout: Duration, max_response_bytes: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            // hyper must not resend a request: only this crate decides whether a submission is sent again.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, max_response_bytes }
    }
}

impl Transport for HttpTransport {
    async fn send(&self, entry: SocketAddr, request: Request<Bytes>) -> Result<Response<Bytes>, SendError> {
        let (mut parts, body) = request.into_parts();
        parts.uri = format!("http://{entry}{}", parts.uri)
            .parse()
            .map_err(|error: http::uri::InvalidUri| SendError::NotSent(error.to_string()))?;
        let request = Request::from_parts(parts, Full::new(body));
        let response = self.client.request(request).await.map_err(|error| send_error(&error))?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, self.max_response_bytes).collect().await;
        let body = body.map_err(|error| SendError::NoResponse(error.to_string()))?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}

fn send_error(error: &hyper_util::client::legacy::Error) -> SendError {
    // The outer error only says "client error"; its source holds the cause.
    let text = error.source().map_or_else(|| error.to_string(), ToString::to_string);
    if error.is_connect() { SendError::NotSent(text) } else { SendError::NoResponse(text) }
}
