//! HTTP interface for peers, in MessagePack, and on the same listener for operators, in JSON.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hinge_budget::Held;
use hinge_dispatch::Event;
use hinge_obs::Metrics;
use hinge_wire::{
    CancelReply, ConfigFetch, ForwardRequest, Heartbeat, Incarnation, LoanRequest, LoanReturn, LookupRequest,
    PeerCancelRequest, ResultCode, WIRE_VERSION, from_msgpack,
};
use hyper::{Method, StatusCode};
use serde::Serialize;
use tokio::time::Instant;

use crate::lock::lock;
use crate::operators;
use crate::payloads::submission_bytes;
use crate::peers::VERSION_HEADER;
use crate::reply::{Encoding, HttpResponse, Rejection, Reply};
use crate::server::{BufferedRequest, Handler, rejection_response};
use crate::shared::Shared;
use crate::submissions::{check_fields, check_id, parse_key, parse_keys};

/// Maximum size of a received heartbeat. Instances send at most 1,400 bytes, but later versions may add fields.
const MAX_HEARTBEAT_BYTES: usize = 16 << 10;

/// Handles the requests of peers and operators.
#[derive(Clone)]
pub(crate) struct PeerHandler(pub(crate) Arc<Shared>);

impl Handler for PeerHandler {
    async fn handle(&self, request: BufferedRequest) -> Reply {
        let shared = &self.0;
        if request.parts.uri.path().starts_with("/admin/") {
            return operators::handle(shared, &request).await.into();
        }
        let result = match check_version(&request) {
            Ok(()) => route(shared, request).await,
            Err(rejection) => Err(rejection),
        };
        result.unwrap_or_else(|rejection| {
            shared.count_rejection(&rejection);
            Encoding::Msgpack.rejection(&rejection).into()
        })
    }

    fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }

    fn reject(&self, path: &str, rejection: &Rejection) -> HttpResponse {
        self.0.count_rejection(rejection);
        rejection_response(path, rejection)
    }
}

async fn route(shared: &Arc<Shared>, request: BufferedRequest) -> Result<Reply, Rejection> {
    if request.parts.method != Method::POST {
        return Err(ResultCode::MethodNotAllowed.into());
    }
    let body = &request.body;
    match request.parts.uri.path() {
        "/peer/v1/heartbeat" => heartbeat(shared, body),
        "/peer/v1/forward" => forward(shared, request.body, request.held).await,
        "/peer/v1/lookup" => lookup(shared, body).await,
        "/peer/v1/cancel" => cancel(shared, body),
        "/peer/v1/loan" => loan(shared, body),
        "/peer/v1/loan-return" => loan_return(shared, body),
        "/peer/v1/config" => config(shared, body),
        _ => Err(ResultCode::NotFound.into()),
    }
}

fn check_version(request: &BufferedRequest) -> Result<(), Rejection> {
    let version = request.parts.headers.get(VERSION_HEADER).and_then(|value| value.to_str().ok());
    if version.and_then(|text| text.parse().ok()) == Some(WIRE_VERSION) {
        return Ok(());
    }
    let message = format!("{VERSION_HEADER} must be {WIRE_VERSION}");
    Err(Rejection::new(ResultCode::UnsupportedVersion, message))
}

/// Rejects a message addressed to another incarnation, such as an earlier process at this address.
fn check_incarnation(shared: &Shared, target: Incarnation) -> Result<(), Rejection> {
    if target == shared.incarnation {
        return Ok(());
    }
    Err(Rejection::new(ResultCode::WrongIncarnation, "the message is for an earlier process"))
}

fn ok<T: Serialize>(message: &T) -> Result<Reply, Rejection> {
    Ok(encoded(message).into())
}

fn encoded<T: Serialize>(message: &T) -> HttpResponse {
    Encoding::Msgpack.response(StatusCode::OK, message)
}

fn heartbeat(shared: &Arc<Shared>, body: &[u8]) -> Result<Reply, Rejection> {
    if body.len() > MAX_HEARTBEAT_BYTES {
        let message = format!("the heartbeat is larger than {MAX_HEARTBEAT_BYTES} bytes");
        return Err(Rejection::new(ResultCode::TooLarge, message));
    }
    let heartbeat: Heartbeat = from_msgpack(body)?;
    let reply = lock(&shared.members).on_heartbeat(Instant::now(), &heartbeat)?;
    let peer = heartbeat.from.instance.as_str().into();
    shared.handle_event(Event::PeerDemand { demand: heartbeat.demand, peer });
    ok(&reply)
}

async fn forward(shared: &Arc<Shared>, body: Bytes, mut held: Held) -> Result<Reply, Rejection> {
    let request: ForwardRequest = from_msgpack(&body)?;
    // The submission has what it needs of the body.
    drop(body);
    held.set_bytes(submission_bytes(&request.submission));
    check_incarnation(shared, request.target_incarnation)?;
    let key = parse_key(request.submission.key.as_deref().unwrap_or_default())?;
    check_incarnation(shared, key.incarnation)?;
    check_fields(&request.submission)?;
    let wait = shared.bounded_wait(Some(request.wait_ms));
    Ok(shared.submit_local(&key, request.submission, held, wait).await?.reply(encoded))
}

async fn lookup(shared: &Arc<Shared>, body: &[u8]) -> Result<Reply, Rejection> {
    let request: LookupRequest = from_msgpack(body)?;
    check_incarnation(shared, request.target_incarnation)?;
    let wait = Duration::from_millis(request.wait_ms).min(shared.settings.max_wait);
    Ok(shared.wait_local(&parse_key(&request.key)?, wait).await?.reply(encoded))
}

fn cancel(shared: &Arc<Shared>, body: &[u8]) -> Result<Reply, Rejection> {
    let request: PeerCancelRequest = from_msgpack(body)?;
    check_incarnation(shared, request.target_incarnation)?;
    let keys = parse_keys(&request.keys)?;
    let local: Vec<_> = keys.iter().filter(|key| key.incarnation == shared.incarnation).collect();
    let cancelled = shared.cancel_local(&local);
    let ignored = u32::try_from(keys.len()).unwrap_or(u32::MAX) - cancelled;
    ok(&CancelReply { cancelled, ignored })
}

fn loan(shared: &Arc<Shared>, body: &[u8]) -> Result<Reply, Rejection> {
    let request: LoanRequest = from_msgpack(body)?;
    check_id("borrower", &request.borrower)?;
    check_incarnation(shared, request.target_incarnation)?;
    ok(&shared.with_dispatcher(|dispatcher, now| dispatcher.lend(now, &request)))
}

fn loan_return(shared: &Arc<Shared>, body: &[u8]) -> Result<Reply, Rejection> {
    let request: LoanReturn = from_msgpack(body)?;
    check_incarnation(shared, request.target_incarnation)?;
    shared.handle_event(Event::LoanReturned(request));
    ok(&())
}

fn config(shared: &Arc<Shared>, body: &[u8]) -> Result<Reply, Rejection> {
    let request: ConfigFetch = from_msgpack(body)?;
    if !shared.config.status().is_loaded {
        return Err(Rejection::new(ResultCode::NotReady, "no configuration yet"));
    }
    ok(&shared.config.config_reply(Some(request.above_revision)))
}
