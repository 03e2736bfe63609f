//! Pool of submission keys that were fetched in bulk ahead of use.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// A submission key and the entry to submit to first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct IssuedKey {
    /// The entry that issued the key and owns it, so that the submission need not be forwarded. For a key supplied by
    /// the caller, any entry.
    pub(crate) entry: SocketAddr,
    pub(crate) key: String,
    is_from_caller: bool,
    use_before: Instant,
}

impl IssuedKey {
    /// Wraps a key supplied by the caller; the address of its owner is not known.
    pub(crate) fn from_caller(key: String, entry: SocketAddr) -> Self {
        Self { entry, is_from_caller: true, key, use_before: Instant::now() }
    }

    /// Whether the caller supplied the key, which it may have used before.
    pub(crate) const fn is_from_caller(&self) -> bool {
        self.is_from_caller
    }
}

/// Unused keys in order of issue.
#[derive(Debug, Default)]
pub(crate) struct KeyPool {
    keys: Mutex<VecDeque<IssuedKey>>,
}

impl KeyPool {
    /// Adds the keys that an entry issued in reply to a request sent at `requested_at`.
    pub(crate) fn add(
        &self,
        entry: SocketAddr,
        keys: Vec<String>,
        requested_at: Instant,
        valid_for: Duration,
    ) {
        // A key is used only in the first half of its validity, so that it is still valid for resubmissions.
        let use_before = requested_at + (valid_for / 2).min(Duration::from_secs(86_400));
        self.lock().extend(keys.into_iter().map(|key| IssuedKey {
            entry,
            is_from_caller: false,
            key,
            use_before,
        }));
    }

    /// Drops the keys issued by an unreachable entry: submissions with them would have no reachable owner.
    pub(crate) fn remove_issued_by(&self, entry: SocketAddr) {
        self.lock().retain(|key| key.entry != entry);
    }

    /// Drops the keys that have the same owner as `key`.
    pub(crate) fn remove_with_owner_of(&self, key: &str) {
        self.lock().retain(|issued| owner(&issued.key) != owner(key));
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Takes the oldest key that may still be used and drops those that are too old.
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

/// Returns a key without its sequence number, which leaves the data centre, instance and incarnation of its owner.
fn owner(key: &str) -> &str {
    key.rsplit_once('.').map_or(key, |(owner, _)| owner)
}
