//! The platform's key-value store as the rest of the crate sees it.

use std::future::Future;
use std::time::Duration;

use hinge_wire::{LeaseReply, ResultCode, StorePut, StoreValue};
use thiserror::Error;

/// Largest value in bytes that is read or written.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Why a call to the store did not succeed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum StoreError {
    /// A write may or may not have been applied.
    #[error("the store's answer to a write was lost")]
    Ambiguous,
    /// The key has another revision; nothing was written.
    #[error("the key has revision {}", .0.revision)]
    Conflict(StoreValue),
    /// The store rejected the call and wrote nothing, or its answer to a read is not usable.
    #[error("not usable: {0}")]
    Invalid(String),
    /// The store cannot be reached or is down; nothing was written.
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

/// Client of the platform's key-value store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key; revision 0 and an empty value when the key does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<StoreValue, StoreError>> + Send;

    /// Writes a key when it has the expected revision.
    fn put(&self, key: &str, put: &StorePut) -> impl Future<Output = Result<StoreValue, StoreError>> + Send;

    /// Waits until the key's revision differs from `after`, at most for `wait`, and reads the key. The value may be left
    /// out when the revision is still `after`.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreValue, StoreError>> + Send;

    /// Creates a lease; keys bound to it are deleted when it expires.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseReply, StoreError>> + Send;
}

/// `None` behaves like a store that is down, for instances that run without one.
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
