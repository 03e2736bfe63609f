//! One HTTP call to an entry's operator endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest reply: a document of 1 MB, or 1,800 upstreams, with room to spare.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Why there is no reply.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// The request may have been received.
    #[error("no usable answer from {address}: {reason}")]
    Lost { address: SocketAddr, reason: String },
    /// Nothing was sent.
    #[error("cannot connect to {address}: {reason}")]
    Unreachable { address: SocketAddr, reason: String },
}

#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) body: Bytes,
    pub(crate) status: StatusCode,
}

/// Calls the entry at one address; each call takes a new connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    pub(crate) address: SocketAddr,
    pub(crate) limit: Duration,
}

impl Caller {
    pub(crate) fn lost(&self, reason: impl ToString) -> CallError {
        CallError::Lost { address: self.address, reason: reason.to_string() }
    }

    fn unreachable(&self, reason: impl ToString) -> CallError {
        CallError::Unreachable { address: self.address, reason: reason.to_string() }
    }

    pub(crate) async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Reply, CallError> {
        let connect = timeout(self.limit, TcpStream::connect(self.address)).await;
        let stream =
            connect.map_err(|_| self.unreachable("timed out"))?.map_err(|error| self.unreachable(error))?;
        let exchange = self.exchange(stream, method, path, body);
        timeout(self.limit, exchange).await.unwrap_or_else(|_| Err(self.lost("timed out")))
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
        // The task ends with the connection; its errors also reach the request.
        tokio::spawn(connection);
        let response = sender.send_request(request).await.map_err(|error| self.lost(error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES).collect().await;
        Ok(Reply { body: body.map_err(|error| self.lost(error))?.to_bytes(), status })
    }
}
