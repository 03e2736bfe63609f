//! Submission keys fetched in bulk ahead of use.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// An issued key that no submission has used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct IssuedKey {
    /// Entry to submit to first: the one that issued the key, which owns it, so that no forward is needed.
    pub(crate) entry: SocketAddr,
    pub(crate) key: String,
    given: bool,
    use_before: Instant,
}

impl IssuedKey {
    /// A key that the caller brings along; its owner's address is not known.
    pub(crate) fn given(key: String, entry: SocketAddr) -> Self {
        Self { entry, given: true, key, use_before: Instant::now() }
    }

    /// Whether the caller brought the key along.
    pub(crate) const fn is_given(&self) -> bool {
        self.given
    }
}

/// Keys in order of issue.
#[derive(Debug, Default)]
pub(crate) struct KeyPool {
    keys: Mutex<VecDeque<IssuedKey>>,
}

impl KeyPool {
    /// Adds keys from a reply to a request that was sent at `requested_at`.
    pub(crate) fn add(
        &self,
        entry: SocketAddr,
        keys: Vec<String>,
        requested_at: Instant,
        valid_for: Duration,
    ) {
        // Only the first half of the validity is used, so that resubmissions still find the key valid.
        let use_before = requested_at + (valid_for / 2).min(Duration::from_secs(86_400));
        self.lock().extend(keys.into_iter().map(|key| IssuedKey { entry, given: false, key, use_before }));
    }

    /// Drops the keys of an entry that could not be reached; its submissions would have no owner.
    pub(crate) fn forget(&self, entry: SocketAddr) {
        self.lock().retain(|key| key.entry != entry);
    }

    /// Drops the keys with the same owner as `key`.
    pub(crate) fn forget_owner(&self, key: &str) {
        self.lock().retain(|issued| owner(&issued.key) != owner(key));
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// The oldest key that is still to be used.
    pub(crate) fn take(&self, now: Instant) -> Option<IssuedKey> {
        let mut keys = self.lock();
        while let Some(key) = keys.pop_front() {
            if now < key.use_before {
                return Some(key);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<IssuedKey>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A key without its sequence: data centre, instance and incarnation.
fn owner(key: &str) -> &str {
    key.rsplit_once('.').map_or(key, |(owner, _)| owner)
}
