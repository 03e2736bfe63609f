//! Changes of the configuration by operators.

use std::time::Duration;

use thiserror::Error;
use tokio::time::{Instant, sleep};

use hinge_conf::{ChangeError, DocumentError, apply, find_operation, operation_record};
use hinge_wire::{
    ChangeReply, ChangeRequest, ConfigDocument, ConflictReply, OperationRecord, ResultCode, StorePut,
    StoreValue, to_json,
};

use crate::budget::Backoff;
use crate::store::{Store, StoreError};
use crate::sync::{CONFIG_KEY, ConfigSync, Source, parse_document};

/// Time to settle an ambiguous write before the operator is told that it is unsettled.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Why a change is not in force.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ChangeFailure {
    /// Another operator's change came first.
    #[error("revision {revision} is current; another change came first")]
    Conflict {
        /// The change that came first, if the document still lists it.
        last_operation: Option<OperationRecord>,
        /// The current revision.
        revision: u64,
    },
    /// The change or the changed document is not valid.
    #[error(transparent)]
    Rejected(ChangeError),
    /// The store holds a document that this instance cannot read; it is not overwritten.
    #[error("the stored document is not valid: {0}")]
    StoredInvalid(DocumentError),
    /// The store shows a revision below, or a document other than, the one in force; a change on top of it would
    /// revert accepted changes.
    #[error("the store has lost changes: it shows revision {stored}, in force is {in_force}")]
    StoreBehind {
        /// The revision in force.
        in_force: u64,
        /// The revision in the store.
        stored: u64,
    },
    /// Nothing was written by this attempt.
    #[error("the store is not available: {0}")]
    Unavailable(String),
    /// The change may or may not be in force; it can be repeated with the same operation id.
    #[error("the store's answer was lost and could not be read back; repeat with the same operation id")]
    Unsettled,
}

impl ChangeFailure {
    /// Result code that reports the failure.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Conflict { .. } => ResultCode::ConfigConflict,
            Self::Rejected(error) => error.code(),
            Self::StoredInvalid(_) => ResultCode::ConfigInvalid,
            Self::StoreBehind { .. } | Self::Unavailable(_) => ResultCode::StoreUnavailable,
            Self::Unsettled => ResultCode::WriteUnsettled,
        }
    }

    /// The reply for a conflict.
    #[must_use]
    pub fn conflict_reply(&self) -> Option<ConflictReply> {
        let Self::Conflict { last_operation, revision } = self else { return None };
        let code = ResultCode::ConfigConflict;
        Some(ConflictReply {
            code: code.number(),
            last_operation: last_operation.clone(),
            name: code.name().to_owned(),
            revision: *revision,
        })
    }
}

/// A write of one change on top of one revision. All copies of it that reach the store carry the same expected
/// revision, so that at most one of them is applied.
struct Proposal<'a> {
    base: ConfigDocument,
    put: StorePut,
    request: &'a ChangeRequest,
}

/// What a read of the document says about a proposal.
enum Evidence {
    Applied,
    Conflict(ChangeFailure),
    Open,
}

impl<S: Store> ConfigSync<S> {
    /// Writes an operator's change.
    ///
    /// A repeated request with the same operation id is applied once; later attempts get the reply
    /// `already_applied`.
    ///
    /// # Errors
    ///
    /// Fails when the change is not in force, or when that cannot be found out.
    pub async fn change(&self, request: &ChangeRequest) -> Result<ChangeReply, ChangeFailure> {
        // Taken before the read, so that a change which is written meanwhile does not look like a store that lost it.
        let in_force = self.document();
        let current = self.store.get(CONFIG_KEY).await;
        let current = current.map_err(|error| ChangeFailure::Unavailable(error.to_string()))?;
        let base = parse_document(&current).map_err(ChangeFailure::StoredInvalid)?;
        if let Some((in_force, document)) = in_force {
            check_not_behind(in_force, &document, &current, &base)?;
        }
        self.offer_value(&current, Source::Store);
        if let Some(known) = find_operation(&base, &request.operation_id) {
            return known_operation(known, request, current.revision);
        }
        if request.expect_revision != current.revision {
            return Err(conflict(&base, current.revision));
        }
        let changed = apply(&base, request).map_err(ChangeFailure::Rejected)?;
        let value = to_json(&changed).ok().and_then(|text| String::from_utf8(text).ok());
        let value =
            value.ok_or_else(|| ChangeFailure::Unavailable("cannot encode the document".to_owned()))?;
        let put = StorePut { expect_revision: current.revision, lease: 0, value };
        self.write(Proposal { base, put, request }).await
    }

    async fn write(&self, proposal: Proposal<'_>) -> Result<ChangeReply, ChangeFailure> {
        match self.store.put(CONFIG_KEY, &proposal.put).await {
            Ok(value) => Ok(self.written(&proposal, value.revision)),
            Err(StoreError::Ambiguous) => self.settle(proposal).await,
            Err(StoreError::Conflict(value)) => self.lost_race(&proposal, &value).await,
            Err(error) => Err(ChangeFailure::Unavailable(error.to_string())),
        }
    }

    /// Finds out whether an ambiguous write was applied: reads the document back, and repeats the write while the
    /// revision is unchanged, because the first copy may still be on its way.
    async fn settle(&self, proposal: Proposal<'_>) -> Result<ChangeReply, ChangeFailure> {
        let deadline = Instant::now() + SETTLE_TIME;
        let mut backoff = Backoff::new(self.random());
        loop {
            let repeat = match self.store.get(CONFIG_KEY).await {
                Ok(value) => match proposal.evidence(&value) {
                    Evidence::Applied => {
                        self.offer_value(&value, Source::Change);
                        return Ok(ChangeReply { already_applied: false, revision: value.revision });
                    }
                    Evidence::Conflict(failure) => return Err(failure),
                    Evidence::Open => value.revision == proposal.put.expect_revision,
                },
                Err(_) => false,
            };
            if repeat && let Ok(value) = self.store.put(CONFIG_KEY, &proposal.put).await {
                return Ok(self.written(&proposal, value.revision));
            }
            let delay = backoff.next_delay();
            if Instant::now() + delay >= deadline {
                return Err(ChangeFailure::Unsettled);
            }
            sleep(delay).await;
        }
    }

    /// A conflict on the first write; the other writer may have been an earlier copy of the same operation.
    async fn lost_race(
        &self,
        proposal: &Proposal<'_>,
        value: &StoreValue,
    ) -> Result<ChangeReply, ChangeFailure> {
        let Ok(document) = parse_document(value) else { return Err(ChangeFailure::Unsettled) };
        if let Some(known) = find_operation(&document, &proposal.request.operation_id) {
            self.offer_value(value, Source::Store);
            return known_operation(known, proposal.request, value.revision);
        }
        match proposal.evidence(value) {
            Evidence::Conflict(failure) => Err(failure),
            _ => Err(ChangeFailure::Unsettled),
        }
    }

    /// Puts the written document in force without waiting for the watch.
    fn written(&self, proposal: &Proposal<'_>, revision: u64) -> ChangeReply {
        let value = StoreValue { revision, value: proposal.put.value.clone() };
        self.offer_value(&value, Source::Change);
        ChangeReply { already_applied: false, revision }
    }
}

impl Proposal<'_> {
    fn evidence(&self, value: &StoreValue) -> Evidence {
        let Ok(document) = parse_document(value) else { return Evidence::Open };
        if find_operation(&document, &self.request.operation_id).is_some() {
            return Evidence::Applied;
        }
        let higher = value.revision > self.put.expect_revision;
        if higher && self.lists_all_since(&document) {
            return Evidence::Conflict(conflict(&document, value.revision));
        }
        Evidence::Open
    }

    /// Whether a document still lists every operation since the base, so that the absence of one is meaningful.
    fn lists_all_since(&self, document: &ConfigDocument) -> bool {
        let kept = |record: &OperationRecord| find_operation(document, &record.operation_id).is_some();
        document.operations.len() < hinge_conf::MAX_OPERATIONS
            || self.base.operations.last().is_some_and(kept)
    }
}

fn check_not_behind(
    in_force: u64,
    document: &ConfigDocument,
    current: &StoreValue,
    stored: &ConfigDocument,
) -> Result<(), ChangeFailure> {
    if current.revision < in_force || (current.revision == in_force && document != stored) {
        return Err(ChangeFailure::StoreBehind { in_force, stored: current.revision });
    }
    Ok(())
}

fn conflict(document: &ConfigDocument, revision: u64) -> ChangeFailure {
    ChangeFailure::Conflict { last_operation: document.operations.last().cloned(), revision }
}

fn known_operation(
    known: &OperationRecord,
    request: &ChangeRequest,
    revision: u64,
) -> Result<ChangeReply, ChangeFailure> {
    if *known == operation_record(request) {
        return Ok(ChangeReply { already_applied: true, revision });
    }
    Err(ChangeFailure::Rejected(ChangeError::OperationReused(request.operation_id.clone())))
}
