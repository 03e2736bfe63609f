//! Runs and stops tasks on upstreams over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hinge_dispatch::{Event, Refusal, TaskResult};
use hinge_wire::{LogEvent, StartId, UpstreamId};
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::http::request::Builder;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::connections::SendError;
use crate::shared::{PreparedStart, Shared};

/// Header with the id of a task, echoed in its answer.
const TASK_ID: &str = "x-task-id";
/// Time after the lease's end in which the upstream's own report may still arrive.
const LEASE_GRACE: Duration = Duration::from_millis(500);
/// Time for an upstream to confirm that it stops a task.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Requests to stop one task, and the delay after the first, which doubles; together they wait for about a second.
const STOP_ATTEMPTS: u32 = 7;
const STOP_DELAY: Duration = Duration::from_millis(10);

/// Largest response to a stop, which is not used.
const MAX_STOP_BYTES: usize = 64 << 10;

#[derive(Serialize)]
struct DroppedAnswer<'a> {
    reason: &'static str,
    upstream: &'a str,
}

/// Sends a task to its upstream and reports how it ended.
pub(crate) async fn run(shared: Arc<Shared>, prepared: PreparedStart) {
    let begun = Instant::now();
    let result = send(&shared, &prepared).await;
    let event = Event::TaskEnded { result, run_time: begun.elapsed(), start: prepared.start.start };
    shared.report(event);
}

async fn send(shared: &Shared, prepared: &PreparedStart) -> TaskResult {
    let start = &prepared.start;
    let payload = prepared.submission.tasks.get(start.task.index as usize).map(|task| task.payload.clone());
    let (Some(address), Some(payload)) = (shared.upstream_address(&start.upstream), payload) else {
        return TaskResult::NotSent;
    };
    let task_id = task_id(shared, start.start);
    let request = Request::builder()
        .method(Method::POST)
        .uri("/tasks")
        .header(HOST, address.to_string())
        .header(TASK_ID, &task_id)
        .header("x-service", &*start.service)
        .header("x-lease-ms", start.timeout.as_millis().to_string());
    let Some(request) = with_body(request, Bytes::from(payload)) else { return TaskResult::NotSent };
    let time = start.timeout + LEASE_GRACE;
    let max_bytes = shared.settings.max_result_bytes;
    // Rejections and failures need not name the task; a name that differs is always a sign of crossed answers.
    let is_match = |response: &Response<Bytes>| {
        response.headers().get(TASK_ID).is_none_or(|echoed| echoed.as_bytes() == task_id.as_bytes())
    };
    match shared.connections.send_matched(address, request, time, max_bytes, is_match).await {
        Ok(response) => read_response(shared, &response, &task_id, &start.upstream),
        Err(SendError::NotSent) => TaskResult::NotSent,
        Err(SendError::Lost) => TaskResult::Lost,
        Err(SendError::TimedOut) => TaskResult::TimedOut,
    }
}

fn read_response(
    shared: &Shared,
    response: &Response<Bytes>,
    task_id: &str,
    upstream: &UpstreamId,
) -> TaskResult {
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        match header("x-not-started") {
            Some("busy") => return TaskResult::Refused(Refusal::Busy),
            Some("leaving") => return TaskResult::Refused(Refusal::Leaving),
            _ => {}
        }
    }
    let text = std::str::from_utf8(response.body());
    if response.status() != StatusCode::OK {
        let detail: String = text.unwrap_or_default().chars().take(200).collect();
        return TaskResult::Failed(format!("status {}: {detail}", response.status().as_u16()));
    }
    if header(TASK_ID) != Some(task_id) {
        return drop_answer(shared, "the answer is for another task", upstream);
    }
    match text {
        Ok(text) => TaskResult::Done(text.to_owned()),
        Err(_) => drop_answer(shared, "the result is not UTF-8", upstream),
    }
}

fn drop_answer(shared: &Shared, reason: &'static str, upstream: &UpstreamId) -> TaskResult {
    shared.metrics.count("answers_dropped", 1);
    hinge_obs::emit(LogEvent::AnswerDropped, &DroppedAnswer { reason, upstream });
    TaskResult::Lost
}

/// Asks an upstream to stop a task; the end of the task's own request reports the result.
///
/// The request to stop can overtake the one to start, because they use different connections. It is repeated while the
/// upstream does not know the task and the task's own request has not ended.
pub(crate) async fn stop(shared: Arc<Shared>, start: StartId, upstream: UpstreamId) {
    let mut delay = STOP_DELAY;
    for _ in 0..STOP_ATTEMPTS {
        let Some(address) = shared.upstream_address(&upstream) else { return };
        if send_stop(&shared, address, start).await {
            return;
        }
        sleep(delay).await;
        delay *= 2;
        if !shared.decide(|dispatcher, _| dispatcher.is_running(start)) {
            return;
        }
    }
}

/// True when the upstream has confirmed the stop.
async fn send_stop(shared: &Shared, address: SocketAddr, start: StartId) -> bool {
    let request = Request::builder()
        .method(Method::DELETE)
        .uri(format!("/tasks/{}", task_id(shared, start)))
        .header(HOST, address.to_string());
    let Some(request) = with_body(request, Bytes::new()) else { return false };
    let response = shared.connections.send(address, request, STOP_TIMEOUT, MAX_STOP_BYTES).await;
    response.is_ok_and(|response| response.status().is_success())
}

/// Id of a start, unique over all entries and their restarts.
fn task_id(shared: &Shared, start: StartId) -> String {
    format!("{}-{:016x}-{start}", shared.settings.instance, shared.incarnation)
}

pub(crate) fn with_body(request: Builder, body: Bytes) -> Option<Request<Full<Bytes>>> {
    request.header(CONTENT_LENGTH, body.len()).body(Full::new(body)).ok()
}
