//! HTTP endpoints of the stand-in store.

use std::time::Duration;

use bytes::Bytes;
use hinge_wire::{CodecError, LeaseGrant, StorePut, from_json};
use http::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::{
    ConnectionClosed, Handler, ResponseBody, error_response, json_response, percent_decode, query_number,
    unchanged_response,
};
use crate::shared::Shared;
use crate::store::{FakeStore, FakeStoreError, StoreControl};

type HandlerResult = Result<Response<ResponseBody>, ConnectionClosed>;

impl Handler for Shared<FakeStore> {
    async fn handle(&self, request: Request<Bytes>) -> HandlerResult {
        let Some(path) = percent_decode(request.uri().path()) else {
            return Ok(error_response(StatusCode::BAD_REQUEST, "the path is not UTF-8"));
        };
        let path = path.strip_prefix('/').unwrap_or_default();
        let (endpoint, rest) = path.split_once('/').unwrap_or((path, ""));
        match (request.method(), endpoint, rest) {
            (&Method::GET, "kv", key) if !key.is_empty() => call_response(self.get(key).await),
            (&Method::PUT, "kv", key) if !key.is_empty() => match parse_body::<StorePut>(&request) {
                Ok(put) => call_response(self.put(key, &put).await),
                Err(error) => Ok(invalid_body(&error)),
            },
            (&Method::GET, "watch", key) if !key.is_empty() => {
                let after = query_number(&request, "after").unwrap_or(0);
                let wait = Duration::from_millis(query_number(&request, "wait_ms").unwrap_or(0));
                match self.watch(key, after, wait).await {
                    Ok(value) if value.revision == after => Ok(unchanged_response()),
                    result => call_response(result),
                }
            }
            (&Method::POST, "leases", "") => match parse_body::<LeaseGrant>(&request) {
                Ok(grant) => call_response(self.grant_lease(&grant).await),
                Err(error) => Ok(invalid_body(&error)),
            },
            (&Method::POST, "leases", rest) => match rest.strip_suffix("/renew").map(str::parse) {
                Some(Ok(id)) => call_response(self.renew_lease(id).await),
                _ => Ok(error_response(StatusCode::NOT_FOUND, "no such lease")),
            },
            (&Method::GET, "counts", "") => {
                Ok(json_response(StatusCode::OK, &self.with(|store| store.counts())))
            }
            (&Method::POST, "control", "" | "store") => match parse_body::<StoreControl>(&request) {
                Ok(control) => {
                    self.update(|store| store.control(&control));
                    Ok(json_response(StatusCode::OK, &control))
                }
                Err(error) => Ok(invalid_body(&error)),
            },
            _ => Ok(error_response(StatusCode::NOT_FOUND, "no such endpoint")),
        }
    }
}

/// Decodes the JSON body of a request.
pub(crate) fn parse_body<T: DeserializeOwned>(request: &Request<Bytes>) -> Result<T, CodecError> {
    from_json(request.body())
}

/// Creates the response to a body that cannot be decoded.
pub(crate) fn invalid_body(error: &CodecError) -> Response<ResponseBody> {
    error_response(StatusCode::BAD_REQUEST, &error.to_string())
}

/// Creates the response to a call of the store.
fn call_response<T: Serialize>(result: Result<T, FakeStoreError>) -> HandlerResult {
    let error = match result {
        Ok(value) => return Ok(json_response(StatusCode::OK, &value)),
        Err(error) => error,
    };
    let status = match &error {
        FakeStoreError::Conflict(current) => return Ok(json_response(StatusCode::CONFLICT, current)),
        FakeStoreError::AnswerLost => return Err(ConnectionClosed),
        FakeStoreError::Down => StatusCode::SERVICE_UNAVAILABLE,
        FakeStoreError::LeaseNotFound => StatusCode::NOT_FOUND,
        FakeStoreError::ValueTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        FakeStoreError::RateLimited => StatusCode::TOO_MANY_REQUESTS,
    };
    Ok(error_response(status, &error.to_string()))
}
