//! HTTP endpoints of the stand-in upstream.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use tokio::time::Instant;

use crate::http::{
    ConnectionClosed, Handler, ResponseBody, error_response, json_response, percent_decode, query_number,
};
use crate::shared::Shared;
use crate::store_server::{invalid_body, parse_body};
use crate::upstream::{FakeUpstream, TaskCall, TaskEnd, UpstreamFaults};

/// Lease of a task whose request has no `x-lease-ms` header.
const DEFAULT_LEASE: Duration = Duration::from_secs(60);
const NOT_STARTED: &str = "x-not-started";
const TASK_ID: &str = "x-task-id";

impl Handler for Shared<FakeUpstream> {
    async fn handle(&self, request: Request<Bytes>) -> Result<Response<ResponseBody>, ConnectionClosed> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::POST, "/tasks") => match parse_task_call(&request) {
                Ok(call) => task_response(&call, self.run(&call).await),
                Err(error) => Ok(error_response(StatusCode::BAD_REQUEST, error)),
            },
            (&Method::GET, "/starts") => {
                let after = query_number(&request, "after").unwrap_or(0);
                Ok(json_response(StatusCode::OK, &self.with(|upstream| upstream.starts(after))))
            }
            (&Method::POST, "/control") => match parse_body::<UpstreamFaults>(&request) {
                Ok(faults) => {
                    self.update(|upstream| upstream.set_faults(faults));
                    Ok(json_response(StatusCode::OK, &faults))
                }
                Err(error) => Ok(invalid_body(&error)),
            },
            (&Method::DELETE, path) => {
                let id = path.strip_prefix("/tasks/").and_then(percent_decode).unwrap_or_default();
                match self.update(|upstream| upstream.stop(Instant::now(), &id)) {
                    true => Ok(json_response(StatusCode::OK, &())),
                    false => Ok(error_response(StatusCode::NOT_FOUND, "no such task")),
                }
            }
            _ => Ok(error_response(StatusCode::NOT_FOUND, "no such endpoint")),
        }
    }
}

/// Parses a task request; the error message names the header or the payload.
fn parse_task_call(request: &Request<Bytes>) -> Result<TaskCall, &'static str> {
    let header = |name| request.headers().get(name).map(HeaderValue::to_str).transpose();
    let task_id = header(TASK_ID).ok().flatten().ok_or("x-task-id is missing or not text")?;
    let service = header("x-service").map_err(|_| "x-service is not text")?;
    let lease_ms = header("x-lease-ms").map_err(|_| "x-lease-ms is not text")?;
    let lease = match lease_ms.map(str::parse) {
        Some(Ok(lease_ms)) => Duration::from_millis(lease_ms),
        Some(Err(_)) => return Err("x-lease-ms is not a number"),
        None => DEFAULT_LEASE,
    };
    let payload = std::str::from_utf8(request.body()).map_err(|_| "the payload is not UTF-8")?;
    Ok(TaskCall {
        lease,
        payload: payload.to_owned(),
        service: service.unwrap_or_default().to_owned(),
        task_id: task_id.to_owned(),
    })
}

fn task_response(call: &TaskCall, end: TaskEnd) -> Result<Response<ResponseBody>, ConnectionClosed> {
    let (status, name, value, body) = match end {
        TaskEnd::Busy => {
            (StatusCode::SERVICE_UNAVAILABLE, NOT_STARTED, "busy".to_owned(), ResponseBody::complete(""))
        }
        TaskEnd::Leaving => {
            (StatusCode::SERVICE_UNAVAILABLE, NOT_STARTED, "leaving".to_owned(), ResponseBody::complete(""))
        }
        TaskEnd::Disconnected => return Err(ConnectionClosed),
        TaskEnd::Done { task_id, result, truncated } => {
            let body =
                if truncated { ResponseBody::truncated(result) } else { ResponseBody::complete(result) };
            (StatusCode::OK, TASK_ID, task_id, body)
        }
        TaskEnd::Failed => failure_parts(call, "the task failed"),
        TaskEnd::LeaseExpired => failure_parts(call, "the lease ended"),
        TaskEnd::Stopped => failure_parts(call, "the task was stopped"),
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    // The value is a constant or comes from a request header, so the conversion cannot fail.
    if let Ok(value) = HeaderValue::from_str(&value) {
        response.headers_mut().insert(name, value);
    }
    Ok(response)
}

/// Status, header and body of the response to a task that did not succeed.
fn failure_parts(call: &TaskCall, detail: &'static str) -> (StatusCode, &'static str, String, ResponseBody) {
    (StatusCode::INTERNAL_SERVER_ERROR, TASK_ID, call.task_id.clone(), ResponseBody::complete(detail))
}
