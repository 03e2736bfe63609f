//! Client of the store's HTTP interface with JSON bodies.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use hinge_budget::{STORE_RECEIVE_BYTES, receive_buffer_option};
use hinge_wire::{LeaseGrant, LeaseReply, StorePut, StoreValue, from_json, to_json};

use crate::store::{MAX_VALUE_BYTES, Store, StoreError};

/// Largest response body. A 1 MB value that is itself JSON takes up to 2 MB once its quotes are escaped.
const MAX_RESPONSE_BYTES: usize = 4 * MAX_VALUE_BYTES;
/// Largest response header section.
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// Idle connections kept in the pool: one for the watch and a few for concurrent claims.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Idle connections are closed after this time, before the server closes them: a write on a connection that the server
/// is closing is ambiguous.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Client of the store's HTTP interface. Clones share a connection pool.
///
/// Calls are never retried here: a retried write could be reported as a conflict with its own first attempt.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: SocketAddr,
    call_timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
    connect_timeout: Duration,
}

/// Whether a call changes the store, which decides how a lost response is reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Effect {
    Read,
    Write,
}

impl Effect {
    /// Error for a call without a response whose request may have reached the store.
    const fn lost_response(self) -> StoreError {
        match self {
            Self::Read => StoreError::Unavailable,
            Self::Write => StoreError::Ambiguous,
        }
    }

    /// Error for a call with an invalid response.
    fn invalid_response(self, reason: &str) -> StoreError {
        match self {
            Self::Read => StoreError::Invalid(reason.to_owned()),
            Self::Write => StoreError::Ambiguous,
        }
    }
}

impl HttpStore {
    /// Creates a client; connections are opened on demand.
    ///
    /// A call may take `connect_timeout` plus `call_timeout`, and a watch its wait in addition.
    #[must_use]
    pub fn new(address: SocketAddr, connect_timeout: Duration, call_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        connector.set_recv_buffer_size(Some(receive_buffer_option(STORE_RECEIVE_BYTES)));
        let client = Client::builder(TokioExecutor::new())
            .http1_max_buf_size(MAX_HEADER_BYTES)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { address, call_timeout, client, connect_timeout }
    }

    async fn call(
        &self,
        effect: Effect,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        // Longer than the connect timeout, so that a failed connect is always reported as such.
        let time_limit = self.connect_timeout + self.call_timeout + wait;
        let exchange = async {
            let response = self.client.request(request).await;
            let response = response.map_err(|error| match error.is_connect() {
                true => StoreError::Unavailable,
                false => effect.lost_response(),
            })?;
            read_body(effect, response).await
        };
        timeout(time_limit, exchange).await.unwrap_or_else(|_| Err(effect.lost_response()))
    }

    fn request(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Request<Full<Bytes>>, StoreError> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| StoreError::Invalid(error.to_string()))
    }

    async fn read(&self, path: &str) -> Result<StoreValue, StoreError> {
        let request = self.request(Method::GET, path, Vec::new())?;
        let (status, body) = self.call(Effect::Read, request, Duration::ZERO).await?;
        match status {
            StatusCode::OK => decode_value(Effect::Read, &body),
            _ => Err(error_for_status(Effect::Read, status)),
        }
    }
}

impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<StoreValue, StoreError> {
        check_key(key)?;
        self.read(&format!("/kv/{key}")).await
    }

    async fn put(&self, key: &str, put: &StorePut) -> Result<StoreValue, StoreError> {
        check_key(key)?;
        if put.value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::Invalid(format!("the value has {} bytes", put.value.len())));
        }
        let body = to_json(put).map_err(|error| StoreError::Invalid(error.to_string()))?;
        let request = self.request(Method::PUT, &format!("/kv/{key}"), body)?;
        let (status, body) = self.call(Effect::Write, request, Duration::ZERO).await?;
        match status {
            // A successful write raises the revision, so any other response is invalid.
            StatusCode::OK => decode_value(Effect::Write, &body).and_then(|value| {
                if value.revision > put.expect_revision { Ok(value) } else { Err(StoreError::Ambiguous) }
            }),
            StatusCode::CONFLICT => Err(StoreError::Conflict(decode_value(Effect::Write, &body)?)),
            _ => Err(error_for_status(Effect::Write, status)),
        }
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<StoreValue, StoreError> {
        check_key(key)?;
        let path = format!("/watch/{key}?after={after}&wait_ms={}", wait.as_millis());
        let (status, body) =
            self.call(Effect::Read, self.request(Method::GET, &path, Vec::new())?, wait).await?;
        match status {
            StatusCode::OK => decode_value(Effect::Read, &body),
            // The key is unchanged, and the response has no body.
            StatusCode::NO_CONTENT => Ok(StoreValue { revision: after, value: String::new() }),
            _ => Err(error_for_status(Effect::Read, status)),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseReply, StoreError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = to_json(&LeaseGrant { ttl_ms }).map_err(|error| StoreError::Invalid(error.to_string()))?;
        let request = self.request(Method::POST, "/leases", body)?;
        let (status, body) = self.call(Effect::Write, request, Duration::ZERO).await?;
        if status != StatusCode::OK {
            return Err(error_for_status(Effect::Write, status));
        }
        decode(Effect::Write, &body)
    }
}

async fn read_body(
    effect: Effect,
    response: http::Response<Incoming>,
) -> Result<(StatusCode, Bytes), StoreError> {
    let status = response.status();
    match Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await {
        Ok(body) => Ok((status, body.to_bytes())),
        // 503 means that nothing was written, even if its body cannot be read.
        Err(_) if status == StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(effect.invalid_response("the response is too large"))
        }
        Err(_) => Err(effect.lost_response()),
    }
}

/// Checks that a key can be put into a URL path without encoding.
fn check_key(key: &str) -> Result<(), StoreError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    if !key.is_empty() && key.len() <= 512 && key.bytes().all(allowed) {
        return Ok(());
    }
    Err(StoreError::Invalid("the key has characters that are not allowed".to_owned()))
}

fn decode<T: DeserializeOwned>(effect: Effect, body: &[u8]) -> Result<T, StoreError> {
    from_json(body).map_err(|error| effect.invalid_response(&error.to_string()))
}

fn decode_value(effect: Effect, body: &[u8]) -> Result<StoreValue, StoreError> {
    let value: StoreValue = decode(effect, body)?;
    if value.value.len() > MAX_VALUE_BYTES {
        return Err(effect.invalid_response("the value is too large"));
    }
    Ok(value)
}

fn error_for_status(effect: Effect, status: StatusCode) -> StoreError {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => StoreError::Unavailable,
        status if status.is_client_error() => StoreError::Invalid(format!("the store answered {status}")),
        _ => effect.lost_response(),
    }
}
