//! A store of keys with ranges, watches over prefixes and leases.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

/// Number of a change in the store.
pub type Revision = u64;
/// Number of a lease.
pub type LeaseId = u64;

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key.
    pub key: Arc<str>,
    /// Revision of its last change.
    pub revision: Revision,
    /// The value.
    pub value: Bytes,
}

/// A change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The key was removed.
    Removed {
        /// The key.
        key: Arc<str>,
        /// Revision of the removal.
        revision: Revision,
    },
    /// The key was written.
    Written(Item),
}

/// One page of a range. Pages of one range may show different states of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Revision of the store when the page was read.
    pub as_of: Revision,
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Whether more items follow.
    pub more: bool,
}

/// What a watch has seen.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchResponse {
    /// Revision from which the next watch continues.
    pub as_of: Revision,
    /// Changes in the order of their revisions.
    pub changes: Vec<Change>,
}

/// Why a call to the store did not succeed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KeyspaceError {
    /// The history that a watch asked for has been discarded.
    #[error("the history has been discarded")]
    Compacted,
    /// The lease has expired.
    #[error("the lease has expired")]
    LeaseExpired,
    /// No usable answer; a write may have been applied.
    #[error("no usable answer: {0}")]
    Lost(String),
    /// The store rejected the call and did nothing.
    #[error("rejected with status {0}")]
    Rejected(u16),
    /// The store cannot be reached; nothing was done.
    #[error("not reachable: {0}")]
    Unreachable(String),
}

/// Client of a store of keys.
pub trait Keyspace: Clone + Send + Sync + 'static {
    /// Reads a page of the keys with a prefix, after the key `after`.
    fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = Result<Page, KeyspaceError>> + Send;

    /// Waits until a key with the prefix has changed after the revision, at most for `wait`.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse, KeyspaceError>> + Send;

    /// Creates a lease; keys bound to it are removed when it expires.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, KeyspaceError>> + Send;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), KeyspaceError>> + Send;

    /// Ends a lease at once.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), KeyspaceError>> + Send;

    /// Writes a key under a lease, whatever it held before.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        lease: LeaseId,
    ) -> impl Future<Output = Result<(), KeyspaceError>> + Send;
}
