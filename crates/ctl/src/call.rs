//! HTTP client for the operator endpoints of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest accepted reply. A configuration document of 1 MB or a list of 1,800 upstreams is well below it.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Why a call has no usable reply.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// The request was sent and the entry may have received it.
    #[error("no usable answer from {address}: {reason}")]
    NoReply { address: SocketAddr, reason: String },
    /// The request was not sent.
    #[error("cannot connect to {address}: {reason}")]
    Unreachable { address: SocketAddr, reason: String },
}

/// Reply of any status.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) body: Bytes,
    pub(crate) status: StatusCode,
}

/// Calls the entry at one address; each call uses a new connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryClient {
    pub(crate) address: SocketAddr,
    /// Limit for setting up the connection, and again for the exchange.
    pub(crate) timeout: Duration,
}

impl EntryClient {
    pub(crate) fn no_reply(&self, reason: impl ToString) -> CallError {
        CallError::NoReply { address: self.address, reason: reason.to_string() }
    }

    fn unreachable(&self, reason: impl ToString) -> CallError {
        CallError::Unreachable { address: self.address, reason: reason.to_string() }
    }

    pub(crate) async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Reply, CallError> {
        let connect = timeout(self.timeout, TcpStream::connect(self.address)).await;
        let stream =
            connect.map_err(|_| self.unreachable("timed out"))?.map_err(|error| self.unreachable(error))?;
        let exchange = self.exchange(stream, method, path, body);
        timeout(self.timeout, exchange).await.unwrap_or_else(|_| Err(self.no_reply("timed out")))
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Reply, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| self.unreachable(error))?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|error| self.unreachable(error))?;
        // The task drives the connection and ends with it; the request receives the errors of the connection.
        tokio::spawn(connection);
        let response = sender.send_request(request).await.map_err(|error| self.no_reply(error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES).collect().await;
        Ok(Reply { body: body.map_err(|error| self.no_reply(error))?.to_bytes(), status })
    }
}
