//! Interface of the platform's key-value store for configuration and claims.

use std::future::Future;
use std::time::Duration;

use hinge_wire::{LeaseReply, ResultCode, StorePut, StoreValue};
use thiserror::Error;

/// Largest value that is read or written, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Reason why a call to the store failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum StoreError {
    /// The response to a write was lost or invalid; the write may have been applied.
    #[error("the store's answer to a write was lost")]
    Ambiguous,
    /// The key has this value instead of the expected revision; nothing was written.
    #[error("the key has revision {}", .0.revision)]
    Conflict(StoreValue),
    /// The call was rejected and nothing was written, or the response to a read is invalid.
    #[error("not usable: {0}")]
    Invalid(String),
    /// The store is unreachable or down, or the rate limit was reached; nothing was written.
    #[error("the store is not available")]
    Unavailable,
}

impl StoreError {
    /// Result code that reports the error.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Ambiguous => ResultCode::WriteUnsettled,
            Self::Conflict(_) => ResultCode::ConfigConflict,
            Self::Invalid(_) | Self::Unavailable => ResultCode::StoreUnavailable,
        }
    }
}

/// Client of the platform's key-value store with compare-and-swap writes.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key; a key that does not exist has revision 0 and an empty value.
    fn get(&self, key: &str) -> impl Future<Output = Result<StoreValue, StoreError>> + Send;

    /// Writes a key if it has the expected revision and returns the new value; fails with [`StoreError::Conflict`] if
    /// not.
    fn put(&self, key: &str, put: &StorePut) -> impl Future<Output = Result<StoreValue, StoreError>> + Send;

    /// Waits at most `wait` until the key's revision differs from `after`, and reads the key. The value may be empty
    /// when the revision is still `after`.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreValue, StoreError>> + Send;

    /// Creates a lease with a time to live of `ttl`; keys bound to it are deleted when it expires.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseReply, StoreError>> + Send;
}

/// `None` fails every call with [`StoreError::Unavailable`], for instances that run without a store.
impl<S: Store> Store for Option<S> {
    async fn get(&self, key: &str) -> Result<StoreValue, StoreError> {
        match self {
            Some(store) => store.get(key).await,
            None => Err(StoreError::Unavailable),
        }
    }

    async fn put(&self, key: &str, put: &StorePut) -> Result<StoreValue, StoreError> {
        match self {
            Some(store) => store.put(key, put).await,
            None => Err(StoreError::Unavailable),
        }
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<StoreValue, StoreError> {
        match self {
            Some(store) => store.watch(key, after, wait).await,
            None => Err(StoreError::Unavailable),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseReply, StoreError> {
        match self {
            Some(store) => store.grant_lease(ttl).await,
            None => Err(StoreError::Unavailable),
        }
    }
}
