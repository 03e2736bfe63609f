//! Requests to other entry instances, in MessagePack over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hinge_budget::Held;
use hinge_dispatch::Event;
use hinge_member::OutgoingHeartbeat;
use hinge_wire::{
    ErrorReply, HeartbeatReply, InstanceId, LoanReply, LoanRequest, LoanReturn, ResultCode, WIRE_VERSION,
    from_msgpack, to_msgpack,
};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::connections::SendError;
use crate::lock::lock;
use crate::reply::Rejection;
use crate::shared::Shared;
use crate::upstreams::with_body;

/// Header with the version of the peer messages.
pub(crate) const VERSION_HEADER: &str = "x-hinge-version";

/// Added to the maximum size of an answer to get the maximum size of a reply; also large enough for the configuration
/// document, which has at most 1 MB.
const REPLY_MARGIN_BYTES: usize = 2 << 20;

/// Reason why a request to a peer got no reply.
#[derive(Debug, Error)]
pub(crate) enum PeerError {
    /// The peer rejected the request.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The peer did not respond, or its reply could not be decoded.
    #[error("the peer cannot be reached: {0}")]
    Unreachable(#[from] SendError),
}

/// Sends a message to a peer and decodes its reply.
pub(crate) async fn call<Q: Serialize, R: DeserializeOwned>(
    shared: &Shared,
    address: SocketAddr,
    path: &str,
    message: &Q,
    timeout: Duration,
) -> Result<R, PeerError> {
    let body = to_msgpack(message).map_err(Rejection::from)?;
    let (reply, _held) = call_counted(shared, address, path, body, timeout).await?;
    Ok(reply)
}

/// Like [`call`], with an encoded message. Also returns what counts the size of the reply.
pub(crate) async fn call_counted<R: DeserializeOwned>(
    shared: &Shared,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<(R, Held), PeerError> {
    shared.metrics.count("peer_messages_sent", 1);
    shared.metrics.count("peer_bytes_sent", body.len() as u64);
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/msgpack")
        .header(VERSION_HEADER, WIRE_VERSION);
    let request = with_body(request, Bytes::from(body)).ok_or(SendError::NotSent)?;
    let max_bytes = max_reply_bytes(shared);
    let response = shared.connections.send_counted(address, request, timeout, max_bytes, |_| true).await?;
    let status = response.status();
    let body = response.into_body().ok_or(SendError::Lost)?;
    if status.is_success() {
        let reply = from_msgpack(&body.bytes).map_err(|_| SendError::Lost)?;
        return Ok((reply, body.held));
    }
    let reply: ErrorReply = from_msgpack(&body.bytes).map_err(|_| SendError::Lost)?;
    let code = ResultCode::from_number(reply.code).unwrap_or(ResultCode::Internal);
    Err(Rejection::new(code, reply.message).into())
}

/// Maximum size of a peer's reply: an answer of maximum size, or the configuration document.
fn max_reply_bytes(shared: &Shared) -> usize {
    let answer = shared.config.resolved().policy.max_answer_bytes;
    usize::try_from(answer).unwrap_or(usize::MAX).saturating_add(REPLY_MARGIN_BYTES)
}

/// Sends a heartbeat and processes the reply.
pub(crate) async fn send_heartbeat(shared: Arc<Shared>, outgoing: OutgoingHeartbeat) {
    let timeout = shared.settings.peer_timeout;
    let OutgoingHeartbeat { address, heartbeat } = outgoing;
    let reply: Result<HeartbeatReply, _> =
        call(&shared, address, "/peer/v1/heartbeat", &heartbeat, timeout).await;
    match reply {
        Ok(reply) => lock(&shared.members).on_reply(tokio::time::Instant::now(), &reply),
        Err(_) => shared.metrics.count("heartbeats_failed", 1),
    }
}

/// Requests a loan of slots from a peer and passes the result to the dispatcher.
pub(crate) async fn request_loan(shared: Arc<Shared>, lender: InstanceId, request: LoanRequest) {
    let event = match shared.peer_address(&lender) {
        Some(address) => {
            let timeout = shared.settings.peer_timeout;
            let reply: Result<LoanReply, _> =
                call(&shared, address, "/peer/v1/loan", &request, timeout).await;
            match reply {
                Ok(reply) => Event::LoanReplied {
                    lender,
                    lender_incarnation: request.target_incarnation,
                    reply,
                    service: request.service.as_str().into(),
                },
                Err(_) => Event::LoanFailed { lender },
            }
        }
        None => Event::LoanFailed { lender },
    };
    shared.handle_event(event);
}

/// Returns borrowed slots to a peer. Errors are ignored: if the message is lost, the loan ends when it expires.
pub(crate) async fn return_loan(shared: Arc<Shared>, lender: InstanceId, request: LoanReturn) {
    if let Some(address) = shared.peer_address(&lender) {
        let timeout = shared.settings.peer_timeout;
        let _: Result<(), _> = call(&shared, address, "/peer/v1/loan-return", &request, timeout).await;
    }
}

impl Shared {
    fn peer_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        lock(&self.members)
            .peers()
            .find(|peer| *peer.instance == **instance)
            .and_then(|peer| peer.peer_address.parse().ok())
    }
}
