//! Interface of a key-value store with range reads, prefix watches and leases.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

/// Revision of the store, raised by each change.
pub type Revision = u64;
/// Id of a lease, given by the store.
pub type LeaseId = u64;

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Full name of the key, with the prefix.
    pub key: Arc<str>,
    /// Revision at which the key was last written.
    pub revision: Revision,
    /// Bytes stored under the key.
    pub value: Bytes,
}

/// A write or removal of a key, reported by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The key was removed, explicitly or because its lease ended.
    Removed {
        /// Full name of the key, with the prefix.
        key: Arc<str>,
        /// Revision at which it was removed.
        revision: Revision,
    },
    /// The key was created or its value was replaced.
    Written(Item),
}

/// One page of a range read. Pages of one range may show the store at different revisions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Revision of the store when the page was read.
    pub as_of: Revision,
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Key after which the next page begins; none if this is the last one. It may lie beyond the last item if the store
    /// holds items that cannot be used.
    pub next_after: Option<Arc<str>>,
}

/// Response to a watch; without changes when the wait ended first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchResponse {
    /// Revision after which the next watch must start.
    pub as_of: Revision,
    /// Changes in the order of their revisions.
    pub changes: Vec<Change>,
}

/// Reason why a call to the store failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KeyspaceError {
    /// The store no longer has the changes after the watch's revision; the prefix must be read again.
    #[error("the history has been discarded")]
    Compacted,
    /// The lease has expired or was revoked; its keys are removed.
    #[error("the lease has expired")]
    LeaseExpired,
    /// The response was lost or invalid; a write may have been applied.
    #[error("no usable answer: {0}")]
    Lost(String),
    /// The store rejected the call with this HTTP status and changed nothing.
    #[error("rejected with status {0}")]
    Rejected(u16),
    /// The store could not be reached; nothing was changed.
    #[error("not reachable: {0}")]
    Unreachable(String),
}

/// Client of a key-value store with range reads, prefix watches and leases.
pub trait Keyspace: Clone + Send + Sync + 'static {
    /// Reads a page of the keys with `prefix`, in order, that follow the key `after`; from the first key without it.
    fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = Result<Page, KeyspaceError>> + Send;

    /// Waits at most `wait` for changes of keys with `prefix` after the revision `after`.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse, KeyspaceError>> + Send;

    /// Creates a lease; keys bound to it are removed when it expires. `ttl` is its time to live without renewal.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, KeyspaceError>> + Send;

    /// Extends a lease to its full time to live; fails with [`KeyspaceError::LeaseExpired`] if it has ended.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), KeyspaceError>> + Send;

    /// Ends a lease and removes the keys bound to it.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), KeyspaceError>> + Send;

    /// Writes a key and binds it to a lease, overwriting any previous value.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        lease: LeaseId,
    ) -> impl Future<Output = Result<(), KeyspaceError>> + Send;
}
