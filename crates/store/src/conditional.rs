//! Interface of writes that depend on the revision of their key.

use std::future::Future;

use bytes::Bytes;

use crate::keyspace::{Item, KeyspaceError, Revision};

/// Result of a conditional write that the store has answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConditionalPut {
    /// The key has another revision; nothing was written. Holds the present item, or none if the key does not exist.
    Conflict(Option<Item>),
    /// The key was written, and has this revision now.
    Written(Revision),
}

/// Client of a key-value store with conditional writes.
pub trait ConditionalWrites: Clone + Send + Sync + 'static {
    /// Writes a key without a lease if it has the revision `expected`; 0 means that it does not exist. After
    /// [`KeyspaceError::Lost`] the write may have been executed, or may still be if its condition holds then.
    fn put_if(
        &self,
        key: &str,
        expected: Revision,
        value: Bytes,
    ) -> impl Future<Output = Result<ConditionalPut, KeyspaceError>> + Send;
}
