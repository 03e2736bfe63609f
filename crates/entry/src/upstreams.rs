//! HTTP client of the upstreams: starts and stops tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hinge_budget::Held;
use hinge_dispatch::{Event, Refusal, TaskResult};
use hinge_wire::{LogEvent, StartId, UpstreamId};
use http::response::Parts;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::http::request::Builder;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::connections::{CountedBody, SendError};
use crate::payloads::TaskPayload;
use crate::shared::{PreparedStart, Shared};

/// Header with the id of a task; an upstream repeats it in its response.
const TASK_ID_HEADER: &str = "x-task-id";
/// Additional wait for the response after the lease has expired, in which the upstream's own report can arrive.
const LEASE_GRACE: Duration = Duration::from_millis(500);
/// Time for an upstream to respond to a request to stop a task.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of requests to stop a task. With delays that double from [`STOP_RETRY_DELAY`], they span about one
/// second.
const STOP_ATTEMPTS: u32 = 7;
/// Delay after the first request to stop a task; it doubles with each further request.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Maximum size of the response to a request to stop a task; only its status is used.
const MAX_STOP_BYTES: usize = 64 << 10;

#[derive(Serialize)]
struct DroppedAnswer<'a> {
    reason: &'static str,
    upstream: &'a str,
}

/// Sends a task to its upstream, waits for its end and passes the result to the dispatcher.
pub(crate) async fn run_task(shared: Arc<Shared>, prepared: PreparedStart) {
    let started_at = Instant::now();
    let mut held = None;
    let result = send_task(&shared, &prepared, &mut held).await;
    if let Some(held) = held {
        shared.payloads.add_result(prepared.start.task.sequence, held);
    }
    let event = Event::TaskEnded { result, run_time: started_at.elapsed(), start: prepared.start.start };
    shared.handle_event(event);
}

/// `held` is set to what counts the result.
async fn send_task(shared: &Shared, prepared: &PreparedStart, held: &mut Option<Held>) -> TaskResult {
    let PreparedStart { held: payload_held, start, submission } = prepared;
    let payload = TaskPayload::body(submission.clone(), start.task.index as usize, payload_held.clone());
    let (Some(address), Some(payload)) = (shared.upstream_address(&start.upstream), payload) else {
        return TaskResult::NotSent;
    };
    let task_id = task_id(shared, start.start);
    let request = Request::builder()
        .method(Method::POST)
        .uri("/tasks")
        .header(HOST, address.to_string())
        .header(TASK_ID_HEADER, &task_id)
        .header("x-service", &*start.service)
        .header("x-lease-ms", start.timeout.as_millis().to_string());
    let Some(request) = with_body(request, payload) else { return TaskResult::NotSent };
    let timeout = start.timeout + LEASE_GRACE;
    let max_bytes = shared.settings.max_result_bytes;
    // Refusals and failures may lack the header, but a different id always means that the response belongs to another
    // task.
    let is_match = |parts: &Parts| {
        parts.headers.get(TASK_ID_HEADER).is_none_or(|echoed| echoed.as_bytes() == task_id.as_bytes())
    };
    match shared.connections.send_counted(address, request, timeout, max_bytes, is_match).await {
        Ok(response) => read_response(shared, response, &task_id, &start.upstream, held),
        Err(SendError::NotSent) => TaskResult::NotSent,
        Err(SendError::Lost) => TaskResult::Lost,
        Err(SendError::TimedOut) => TaskResult::TimedOut,
    }
}

fn read_response(
    shared: &Shared,
    response: Response<Option<CountedBody>>,
    task_id: &str,
    upstream: &UpstreamId,
    held: &mut Option<Held>,
) -> TaskResult {
    let (parts, body) = response.into_parts();
    let header = |name| parts.headers.get(name).and_then(|value| value.to_str().ok());
    if parts.status == StatusCode::SERVICE_UNAVAILABLE {
        match header("x-not-started") {
            Some("busy") => return TaskResult::Refused(Refusal::Busy),
            Some("leaving") => return TaskResult::Refused(Refusal::Leaving),
            _ => {}
        }
    }
    if parts.status != StatusCode::OK {
        let text = body.as_ref().and_then(|body| std::str::from_utf8(&body.bytes).ok());
        let detail: String = text.unwrap_or_default().chars().take(200).collect();
        return TaskResult::Failed(format!("status {}: {detail}", parts.status.as_u16()));
    }
    if header(TASK_ID_HEADER) != Some(task_id) {
        return drop_answer(shared, "the answer is for another task", upstream);
    }
    let Some(body) = body else {
        shared.metrics.count("results_discarded", 1);
        return TaskResult::Discarded;
    };
    *held = Some(body.held);
    match String::from_utf8(body.bytes) {
        Ok(text) => TaskResult::Done(text),
        Err(_) => drop_answer(shared, "the result is not UTF-8", upstream),
    }
}

fn drop_answer(shared: &Shared, reason: &'static str, upstream: &UpstreamId) -> TaskResult {
    shared.metrics.count("answers_dropped", 1);
    hinge_obs::emit(LogEvent::AnswerDropped, &DroppedAnswer { reason, upstream });
    TaskResult::Lost
}

/// Requests that an upstream stop a task. The task's result comes from the response to its start request.
///
/// A stop request can arrive before the start request because they use different connections. It is therefore repeated
/// until the upstream confirms it, the start request has ended or [`STOP_ATTEMPTS`] is reached.
pub(crate) async fn stop_task(shared: Arc<Shared>, start: StartId, upstream: UpstreamId) {
    let mut delay = STOP_RETRY_DELAY;
    for _ in 0..STOP_ATTEMPTS {
        let Some(address) = shared.upstream_address(&upstream) else { return };
        if send_stop(&shared, address, start).await {
            return;
        }
        sleep(delay).await;
        delay *= 2;
        if !shared.with_dispatcher(|dispatcher, _| dispatcher.is_running(start)) {
            return;
        }
    }
}

/// Returns whether the upstream confirmed the stop.
async fn send_stop(shared: &Shared, address: SocketAddr, start: StartId) -> bool {
    let request = Request::builder()
        .method(Method::DELETE)
        .uri(format!("/tasks/{}", task_id(shared, start)))
        .header(HOST, address.to_string());
    let Some(request) = with_body(request, Bytes::new()) else { return false };
    let response = shared.connections.send(address, request, STOP_TIMEOUT, MAX_STOP_BYTES).await;
    response.is_ok_and(|response| response.status().is_success())
}

/// Task id sent to the upstream, unique among all starts of all entries, including across their restarts.
fn task_id(shared: &Shared, start: StartId) -> String {
    format!("{}-{:016x}-{start}", shared.settings.instance, shared.incarnation)
}

pub(crate) fn with_body(request: Builder, body: Bytes) -> Option<Request<Full<Bytes>>> {
    request.header(CONTENT_LENGTH, body.len()).body(Full::new(body)).ok()
}
