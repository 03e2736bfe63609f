//! HTTP endpoints of the stand-in store.

use std::time::Duration;

use bytes::Bytes;
use hinge_wire::{CodecError, LeaseGrant, StorePut, from_json};
use http::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::{
    ConnectionClosed, Handler, ResponseBody, error_reply, json_reply, percent_decode, query_number,
    unchanged_reply,
};
use crate::shared::Shared;
use crate::store::{FakeStore, FakeStoreError, StoreControl};

type Answer = Result<Response<ResponseBody>, ConnectionClosed>;

impl Handler for Shared<FakeStore> {
    async fn handle(&self, request: Request<Bytes>) -> Answer {
        let Some(path) = percent_decode(request.uri().path()) else {
            return Ok(error_reply(StatusCode::BAD_REQUEST, "the path is not UTF-8"));
        };
        let path = path.strip_prefix('/').unwrap_or_default();
        let (area, rest) = path.split_once('/').unwrap_or((path, ""));
        match (request.method(), area, rest) {
            (&Method::GET, "kv", key) if !key.is_empty() => reply(self.get(key).await),
            (&Method::PUT, "kv", key) if !key.is_empty() => match body::<StorePut>(&request) {
                Ok(put) => reply(self.put(key, &put).await),
                Err(error) => Ok(invalid(&error)),
            },
            (&Method::GET, "watch", key) if !key.is_empty() => {
                let after = query_number(&request, "after").unwrap_or(0);
                let wait = Duration::from_millis(query_number(&request, "wait_ms").unwrap_or(0));
                match self.watch(key, after, wait).await {
                    Ok(value) if value.revision == after => Ok(unchanged_reply()),
                    result => reply(result),
                }
            }
            (&Method::POST, "leases", "") => match body::<LeaseGrant>(&request) {
                Ok(grant) => reply(self.grant_lease(&grant).await),
                Err(error) => Ok(invalid(&error)),
            },
            (&Method::POST, "leases", rest) => match rest.strip_suffix("/renew").map(str::parse) {
                Some(Ok(id)) => reply(self.renew_lease(id).await),
                _ => Ok(error_reply(StatusCode::NOT_FOUND, "no such lease")),
            },
            (&Method::GET, "counts", "") => {
                Ok(json_reply(StatusCode::OK, &self.with(|store| store.counts())))
            }
            (&Method::POST, "control", "" | "store") => match body::<StoreControl>(&request) {
                Ok(control) => {
                    self.update(|store| store.control(&control));
                    Ok(json_reply(StatusCode::OK, &control))
                }
                Err(error) => Ok(invalid(&error)),
            },
            _ => Ok(error_reply(StatusCode::NOT_FOUND, "no such endpoint")),
        }
    }
}

/// The request's body as JSON.
pub(crate) fn body<T: DeserializeOwned>(request: &Request<Bytes>) -> Result<T, CodecError> {
    from_json(request.body())
}

/// The response to a body that cannot be decoded.
pub(crate) fn invalid(error: &CodecError) -> Response<ResponseBody> {
    error_reply(StatusCode::BAD_REQUEST, &error.to_string())
}

fn reply<T: Serialize>(result: Result<T, FakeStoreError>) -> Answer {
    let refusal = match result {
        Ok(value) => return Ok(json_reply(StatusCode::OK, &value)),
        Err(refusal) => refusal,
    };
    let status = match &refusal {
        FakeStoreError::Conflict(current) => return Ok(json_reply(StatusCode::CONFLICT, current)),
        FakeStoreError::AnswerLost => return Err(ConnectionClosed),
        FakeStoreError::Down => StatusCode::SERVICE_UNAVAILABLE,
        FakeStoreError::LeaseNotFound => StatusCode::NOT_FOUND,
        FakeStoreError::ValueTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        FakeStoreError::RateLimited => StatusCode::TOO_MANY_REQUESTS,
    };
    Ok(error_reply(status, &refusal.to_string()))
}
