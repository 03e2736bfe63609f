//! HTTP interface for callers, in JSON.

use std::sync::Arc;

use bytes::Bytes;
use hinge_budget::Held;
use hinge_obs::Metrics;
use hinge_wire::{CancelRequest, KeysReply, KeysRequest, LogEvent, ResultCode, Submission, from_json};
use hyper::{Method, StatusCode};
use serde::Serialize;

use crate::payloads::submission_bytes;
use crate::reply::{Encoding, HttpResponse, Rejection, Reply, submission_response};
use crate::server::{BufferedRequest, Handler, rejection_response};
use crate::shared::Shared;
use crate::state_page;
use crate::submissions::{MAX_KEYS, parse_key, parse_keys};

const SUBMISSION_PREFIX: &str = "/v1/submissions/";

/// Handles the requests of callers.
#[derive(Clone)]
pub(crate) struct CallerHandler(pub(crate) Arc<Shared>);

#[derive(Serialize)]
struct Readiness {
    reason: Option<&'static str>,
    ready: bool,
}

impl Handler for CallerHandler {
    async fn handle(&self, request: BufferedRequest) -> Reply {
        let shared = &self.0;
        let result = match (request.parts.method.clone(), request.parts.uri.path()) {
            (Method::POST, "/v1/keys") => issue_keys(shared, &request.body).map(Reply::from),
            (Method::POST, "/v1/submissions") => submit(shared, request.body, request.held).await,
            (Method::POST, "/v1/cancellations") => cancel(shared, &request.body).await.map(Reply::from),
            (Method::GET, "/healthz") => Ok(Encoding::Json.response(StatusCode::OK, &"ok").into()),
            (Method::GET, "/readyz") => Ok(readiness(shared).into()),
            (Method::GET, "/state") => {
                Ok(Encoding::Json.response(StatusCode::OK, &state_page::build(shared)).into())
            }
            (method, path) if path.starts_with(SUBMISSION_PREFIX) => {
                let key = &path[SUBMISSION_PREFIX.len()..];
                handle_submission(shared, &method, key, request.parts.uri.query()).await
            }
            (_, path) => Err(unknown_endpoint(path)),
        };
        result.unwrap_or_else(|rejection| reject(shared, &rejection).into())
    }

    fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }

    fn reject(&self, path: &str, rejection: &Rejection) -> HttpResponse {
        self.0.count_rejection(rejection);
        rejection_response(path, rejection)
    }
}

fn reject(shared: &Shared, rejection: &Rejection) -> HttpResponse {
    shared.count_rejection(rejection);
    Encoding::Json.rejection(rejection)
}

fn unknown_endpoint(path: &str) -> Rejection {
    let known = ["/v1/keys", "/v1/submissions", "/v1/cancellations", "/healthz", "/readyz", "/state"];
    if known.contains(&path) {
        return ResultCode::MethodNotAllowed.into();
    }
    ResultCode::NotFound.into()
}

fn readiness(shared: &Shared) -> HttpResponse {
    let reason = shared.unready_reason();
    let status = if reason.is_none() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    Encoding::Json.response(status, &Readiness { reason, ready: reason.is_none() })
}

fn issue_keys(shared: &Arc<Shared>, body: &[u8]) -> Result<HttpResponse, Rejection> {
    let request: KeysRequest = from_json(body)?;
    if request.count == 0 || request.count as usize > MAX_KEYS {
        return Err(Rejection::new(ResultCode::InvalidField, format!("count must be 1 to {MAX_KEYS}")));
    }
    shared.check_ready()?;
    let keys = shared.with_dispatcher(|dispatcher, now| dispatcher.issue_keys(now, request.count))?;
    let reply = KeysReply {
        keys: keys.iter().map(ToString::to_string).collect(),
        valid_for_ms: shared.config.resolved().policy.key_validity_ms,
    };
    Ok(Encoding::Json.response(StatusCode::OK, &reply))
}

async fn submit(shared: &Arc<Shared>, body: Bytes, mut held: Held) -> Result<Reply, Rejection> {
    let submission: Submission = from_json(&body)?;
    // The submission has what it needs of the body.
    drop(body);
    held.set_bytes(submission_bytes(&submission));
    let status = shared.submit(submission, held).await?;
    Ok(status.reply(submission_response))
}

async fn cancel(shared: &Arc<Shared>, body: &[u8]) -> Result<HttpResponse, Rejection> {
    let request: CancelRequest = from_json(body)?;
    let reply = shared.cancel(&parse_keys(&request.keys)?).await;
    Ok(Encoding::Json.response(StatusCode::OK, &reply))
}

async fn handle_submission(
    shared: &Arc<Shared>,
    method: &Method,
    key: &str,
    query: Option<&str>,
) -> Result<Reply, Rejection> {
    let key = parse_key(key)?;
    match *method {
        Method::GET => {
            let wait = shared.bounded_wait(Some(query_wait_ms(query)?));
            let status = shared.look_up(&key, wait).await?;
            Ok(status.reply(|status| Encoding::Json.response(StatusCode::OK, status)))
        }
        Method::DELETE => {
            let reply = shared.cancel(&[key]).await;
            Ok(Encoding::Json.response(StatusCode::OK, &reply).into())
        }
        _ => Err(ResultCode::MethodNotAllowed.into()),
    }
}

/// Value of the query parameter `wait_ms`; 0 when it is absent.
fn query_wait_ms(query: Option<&str>) -> Result<u64, Rejection> {
    let Some(text) =
        query.unwrap_or_default().split('&').find_map(|parameter| parameter.strip_prefix("wait_ms="))
    else {
        return Ok(0);
    };
    text.parse().map_err(|_| {
        Rejection::new(ResultCode::InvalidField, "wait_ms must be a whole number of milliseconds")
    })
}

#[derive(Serialize)]
struct RejectedInput<'a> {
    code: u16,
    message: &'a str,
}

impl Shared {
    /// Counts and logs a rejected request.
    pub(crate) fn count_rejection(&self, rejection: &Rejection) {
        self.metrics.count(rejection.code.name(), 1);
        let details = RejectedInput { code: rejection.code.number(), message: &rejection.message };
        hinge_obs::emit(LogEvent::InputRejected, &details);
    }
}
