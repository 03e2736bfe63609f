//! Keys and values of claims and window markers in the store.

use std::time::Duration;

use hinge_wire::{StorePut, StoreValue, SubmissionKey, from_json, to_json};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Number of consecutive submission sequences that share a window marker.
pub const KEYS_PER_WINDOW: u64 = 4096;

/// JSON value of a claim key or window marker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub(crate) enum Record {
    /// The owner may start tasks of the submission.
    Claimed { operation_id: String },
    /// The submission has ended with the result code.
    Outcome { code: u16, operation_id: String },
    /// Another entry has forbidden the start.
    Tombstone { operation_id: String },
    /// Value of a window marker.
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

/// Result of a create-only write.
pub(crate) enum Created {
    /// The key holds the record that this call wrote.
    Own { revision: u64 },
    /// The key holds another record; `None` when its value cannot be parsed.
    Other(Option<Record>),
    /// The write failed or its result is unknown.
    Unavailable,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    /// Time before the grant was requested, so never later than the lease's start at the store.
    pub(crate) granted_at: Instant,
    pub(crate) id: u64,
    pub(crate) ttl: Duration,
}

impl Lease {
    /// Whether a record written now lives for at least half of the time to live.
    pub(crate) fn is_fresh(self) -> bool {
        self.granted_at.elapsed() < self.ttl / 2
    }

    /// Whether a record that was just written is far enough from expiry. After a long pause of this process it is not.
    pub(crate) fn is_reliable(self) -> bool {
        self.granted_at.elapsed() < self.ttl * 3 / 4
    }
}

/// Decides by the operation id whether the value found under a key is the record that this call wrote.
pub(crate) fn classify_existing(written: &Record, value: &StoreValue) -> Created {
    match Record::parse(value) {
        Some(record) if record.operation_id() == written.operation_id() => {
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
