//! How claims and the markers of their windows are stored.

use std::time::Duration;

use hinge_wire::{StorePut, StoreValue, SubmissionKey, from_json, to_json};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Consecutive sequences that share a window marker.
pub const KEYS_PER_WINDOW: u64 = 4096;
/// Value of a claim in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub(crate) enum Record {
    Claimed { operation_id: String },
    Outcome { code: u16, operation_id: String },
    Tombstone { operation_id: String },
    Window { operation_id: String },
}

impl Record {
    pub(crate) fn operation_id(&self) -> &str {
        match self {
            Self::Claimed { operation_id }
            | Self::Outcome { operation_id, .. }
            | Self::Tombstone { operation_id }
            | Self::Window { operation_id } => operation_id,
        }
    }

    pub(crate) fn parse(value: &StoreValue) -> Option<Self> {
        from_json(value.value.as_bytes()).ok()
    }
}

/// What became of a create-only write.
pub(crate) enum Created {
    /// The key holds this record of the caller.
    Own { revision: u64 },
    /// The key holds something else; `None` when it cannot be read.
    Other(Option<Record>),
    /// Nothing is known, or nothing was written.
    Unavailable,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    /// No later than the store's own start of the lease.
    pub(crate) granted_at: Instant,
    pub(crate) id: u64,
    pub(crate) ttl: Duration,
}

impl Lease {
    /// Whether records written now live for at least half of the time to live.
    pub(crate) fn is_fresh(self) -> bool {
        self.granted_at.elapsed() < self.ttl / 2
    }

    /// Whether a record just written can be relied on. It cannot when this process was paused for long.
    pub(crate) fn is_reliable(self) -> bool {
        self.granted_at.elapsed() < self.ttl * 3 / 4
    }
}

pub(crate) fn own_or_other(own: &Record, value: &StoreValue) -> Created {
    match Record::parse(value) {
        Some(record) if record.operation_id() == own.operation_id() => {
            Created::Own { revision: value.revision }
        }
        record => Created::Other(record),
    }
}

pub(crate) fn encode(record: &Record, expect_revision: u64, lease: u64) -> Option<StorePut> {
    let value = String::from_utf8(to_json(record).ok()?).ok()?;
    Some(StorePut { expect_revision, lease, value })
}

pub(crate) fn claim_key(key: &SubmissionKey) -> String {
    format!("claims/{key}")
}

pub(crate) fn window_key(key: &SubmissionKey) -> String {
    let SubmissionKey { data_centre, incarnation, instance, sequence } = key;
    format!("claim-windows/{data_centre}.{instance}.{incarnation:016x}.{}", sequence / KEYS_PER_WINDOW)
}
