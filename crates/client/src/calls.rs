//! Single requests to an entry, and the calls other than submissions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hinge_wire::{
    ErrorReply, KeysReply, KeysRequest, Outcome, ResultCode, SubmissionKey, from_json, to_json,
};
use http::{Method, Request, Response};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::backoff::Backoff;
use crate::client::Client;
use crate::error::ClientError;
use crate::keys::IssuedKey;
use crate::rules::is_transient;
use crate::transport::{SendError, Transport};

/// Why one call failed.
enum CallError {
    /// Another attempt may succeed.
    Retry(String),
    Rejected(ErrorReply),
}

impl<T: Transport> Client<T> {
    /// Sends one request; the entry may hold the response open for `wait`.
    pub(crate) async fn send(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        let limit = wait.saturating_add(self.inner.settings.response_timeout);
        let response = timeout(limit, self.inner.transport.send(entry, request)).await;
        response.unwrap_or_else(|_| Err(SendError::NoResponse("the response timed out".to_owned())))
    }

    /// Calls one entry after another until one returns a reply for which `accept` is true, or rejects the call. Without
    /// such a reply it is unknown whether the tasks that the call is about have run.
    pub(crate) async fn request<R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        accept: impl Fn(&R) -> bool,
    ) -> Result<R, ClientError> {
        let deadline = self.deadline(self.inner.settings.options.deadline);
        let mut backoff = self.backoff();
        let mut entry = self.first_entry();
        loop {
            let call = self.call(entry, method.clone(), path, body.clone());
            let last_error = match timeout_at(deadline, call).await {
                Ok(Ok(reply)) if accept(&reply) => return Ok(reply),
                Ok(Ok(_)) => "the reply belongs to another submission".to_owned(),
                Ok(Err(CallError::Rejected(reply))) => return Err(ClientError::Rejected(reply)),
                Ok(Err(CallError::Retry(error))) => error,
                Err(_) => {
                    let last_error = "the deadline has passed".to_owned();
                    return Err(unreachable(Outcome::FailedMayHaveRun, last_error));
                }
            };
            entry = self.entry_after(entry);
            if !pause(&mut backoff, deadline).await {
                return Err(unreachable(Outcome::FailedMayHaveRun, last_error));
            }
        }
    }

    /// Takes a key from the pool and fetches more keys if the pool is empty or, in the background, if few are left.
    pub(crate) async fn next_key(
        &self,
        deadline: Instant,
        backoff: &mut Backoff,
    ) -> Result<IssuedKey, ClientError> {
        loop {
            if let Some(key) = self.inner.pool.take(Instant::now()) {
                self.refill_ahead();
                return Ok(key);
            }
            self.refill_pool(deadline, backoff).await?;
        }
    }

    /// Fetches keys until the pool holds some, unless another submission has filled it meanwhile.
    pub(crate) async fn refill_pool(
        &self,
        deadline: Instant,
        backoff: &mut Backoff,
    ) -> Result<(), ClientError> {
        loop {
            let fetch = async {
                let _guard = self.inner.refill_lock.lock().await;
                if self.inner.pool.len() > 0 { Ok(()) } else { self.fetch_keys(self.next_key_entry()).await }
            };
            let last_error = match timeout_at(deadline, fetch).await {
                Ok(Ok(())) => return Ok(()),
                Ok(Err(CallError::Rejected(reply))) => format!("{}: {}", reply.name, reply.message),
                Ok(Err(CallError::Retry(error))) => error,
                Err(_) => {
                    let last_error = "no keys were issued before the deadline".to_owned();
                    return Err(unreachable(Outcome::FailedNotRun, last_error));
                }
            };
            if !pause(backoff, deadline).await {
                return Err(unreachable(Outcome::FailedNotRun, last_error));
            }
        }
    }

    /// Fetches keys in the background if less than a quarter of a batch is left.
    fn refill_ahead(&self) {
        let low_mark = self.inner.settings.key_batch as usize / 4;
        if self.inner.pool.len() >= low_mark {
            return;
        }
        let client = self.clone();
        tokio::spawn(async move {
            if let Ok(_guard) = client.inner.refill_lock.try_lock()
                && client.inner.pool.len() < low_mark
            {
                // An error is ignored: a submission that finds the pool empty fetches keys itself and reports it.
                let _ = client.fetch_keys(client.next_key_entry()).await;
            }
        });
    }

    async fn fetch_keys(&self, entry: SocketAddr) -> Result<(), CallError> {
        let count = self.inner.settings.key_batch;
        let body = to_json(&KeysRequest { count }).map_err(|error| CallError::Retry(error.to_string()))?;
        let requested_at = Instant::now();
        let reply: KeysReply = self.call(entry, Method::POST, "/v1/keys", body.into()).await?;
        let keys: Vec<_> = reply.keys.into_iter().take(count as usize).collect();
        if keys.is_empty() || keys.iter().any(|key| key.parse::<SubmissionKey>().is_err()) {
            return Err(CallError::Retry("the entry issued no usable keys".to_owned()));
        }
        let valid_for = Duration::from_millis(reply.valid_for_ms);
        self.inner.pool.add(entry, keys, requested_at, valid_for);
        Ok(())
    }

    async fn call<R: DeserializeOwned>(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<R, CallError> {
        let response = self.send(entry, method, path, body, Duration::ZERO).await;
        let response = response.map_err(|error| CallError::Retry(error.to_string()))?;
        if response.status().is_success() {
            return from_json(response.body()).map_err(|error| CallError::Retry(error.to_string()));
        }
        let reply = from_json::<ErrorReply>(response.body())
            .map_err(|_| CallError::Retry(format!("status {} without a result code", response.status())))?;
        Err(match ResultCode::from_number(reply.code) {
            Some(code) if !is_transient(code) => CallError::Rejected(reply),
            None if response.status().is_client_error() => CallError::Rejected(reply),
            _ => CallError::Retry(format!("{}: {}", reply.name, reply.message)),
        })
    }
}

/// Waits before the next attempt; false if no attempt is left before the deadline.
async fn pause(backoff: &mut Backoff, deadline: Instant) -> bool {
    match backoff.next() {
        Some(pause) if Instant::now() + pause < deadline => {
            sleep(pause).await;
            true
        }
        _ => false,
    }
}

fn unreachable(outcome: Outcome, last_error: String) -> ClientError {
    ClientError::Unreachable { key: None, last_error, outcome }
}
