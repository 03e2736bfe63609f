//! Writes operators' changes of the configuration to the store.

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

/// Time to find out whether an ambiguous write was applied before [`ChangeFailure::Unsettled`] is reported.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Reason why a change is not, or not known to be, in force.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ChangeFailure {
    /// Another operator's change came first; nothing was written.
    #[error("revision {revision} is current, because another change came first")]
    Conflict {
        /// Last change that the current document lists; `None` if it lists none.
        last_operation: Option<OperationRecord>,
        /// Revision of the document in the store.
        revision: u64,
    },
    /// The change or the changed document is not valid; nothing was written.
    #[error(transparent)]
    Rejected(ChangeError),
    /// The store holds a document that is not valid for this instance; it is not overwritten.
    #[error("the stored document is not valid: {0}")]
    StoredInvalid(DocumentError),
    /// The store holds an older revision than the one in force, or another document of the same revision. A change
    /// based on it would revert accepted changes.
    #[error("the store has lost changes: it shows revision {stored}, in force is {in_force}")]
    StoreBehind {
        /// Revision in force at this instance.
        in_force: u64,
        /// Revision of the document in the store.
        stored: u64,
    },
    /// A call to the store failed; nothing was written by this attempt.
    #[error("the store is not available: {0}")]
    Unavailable(String),
    /// The change may or may not be in force; it can be retried safely with the same operation id.
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

    /// Response body that reports a conflict; `None` for other failures.
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

/// A write of one change based on one revision. All attempts expect the same revision, so at most one of them is
/// applied.
struct Proposal<'a> {
    base: ConfigDocument,
    put: StorePut,
    request: &'a ChangeRequest,
}

/// What a document read from the store says about a proposal.
enum ProposalStatus {
    Applied,
    Conflict(ChangeFailure),
    Unknown,
}

impl<S: Store> ConfigSync<S> {
    /// Writes an operator's change.
    ///
    /// A request that is repeated with the same operation id is applied once; the reply to a repetition has
    /// `already_applied` set.
    ///
    /// # Errors
    ///
    /// Fails when the change is not in force, or when it is not known whether it is.
    pub async fn change(&self, request: &ChangeRequest) -> Result<ChangeReply, ChangeFailure> {
        // Taken before the read: a change that is put in force during the read must not look like one that the store
        // has lost.
        let in_force = self.document();
        let current = self.store.get(CONFIG_KEY).await;
        let current = current.map_err(|error| ChangeFailure::Unavailable(error.to_string()))?;
        let base = parse_document(&current).map_err(ChangeFailure::StoredInvalid)?;
        if let Some((in_force, document)) = in_force {
            check_store_not_behind(in_force, &document, &current, &base)?;
        }
        self.offer_value(&current, Source::Store);
        if let Some(known) = find_operation(&base, &request.operation_id) {
            return reply_to_known_operation(known, request, current.revision);
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
            Ok(value) => Ok(self.put_in_force(&proposal, value.revision)),
            Err(StoreError::Ambiguous) => self.resolve_ambiguous_write(proposal).await,
            Err(StoreError::Conflict(value)) => self.resolve_conflict(&proposal, &value).await,
            Err(error) => Err(ChangeFailure::Unavailable(error.to_string())),
        }
    }

    /// Finds out whether an ambiguous write was applied by reading the document back. Retries the write while the
    /// revision is unchanged, because the first attempt may have been lost or may still arrive.
    async fn resolve_ambiguous_write(&self, proposal: Proposal<'_>) -> Result<ChangeReply, ChangeFailure> {
        let deadline = Instant::now() + RESOLVE_TIMEOUT;
        let mut backoff = Backoff::new(self.random());
        loop {
            let repeat = match self.store.get(CONFIG_KEY).await {
                Ok(value) => match proposal.status_in(&value) {
                    ProposalStatus::Applied => {
                        self.offer_value(&value, Source::Change);
                        return Ok(ChangeReply { already_applied: false, revision: value.revision });
                    }
                    ProposalStatus::Conflict(failure) => return Err(failure),
                    ProposalStatus::Unknown => value.revision == proposal.put.expect_revision,
                },
                Err(_) => false,
            };
            if repeat && let Ok(value) = self.store.put(CONFIG_KEY, &proposal.put).await {
                return Ok(self.put_in_force(&proposal, value.revision));
            }
            let delay = backoff.next_delay();
            if Instant::now() + delay >= deadline {
                return Err(ChangeFailure::Unsettled);
            }
            sleep(delay).await;
        }
    }

    /// Handles a conflict on the first write; the conflicting write may be an earlier attempt of the same operation.
    async fn resolve_conflict(
        &self,
        proposal: &Proposal<'_>,
        value: &StoreValue,
    ) -> Result<ChangeReply, ChangeFailure> {
        let Ok(document) = parse_document(value) else { return Err(ChangeFailure::Unsettled) };
        if let Some(known) = find_operation(&document, &proposal.request.operation_id) {
            self.offer_value(value, Source::Store);
            return reply_to_known_operation(known, proposal.request, value.revision);
        }
        match proposal.status_in(value) {
            ProposalStatus::Conflict(failure) => Err(failure),
            _ => Err(ChangeFailure::Unsettled),
        }
    }

    /// Puts the written document in force without waiting for the watch to report it.
    fn put_in_force(&self, proposal: &Proposal<'_>, revision: u64) -> ChangeReply {
        let value = StoreValue { revision, value: proposal.put.value.clone() };
        self.offer_value(&value, Source::Change);
        ChangeReply { already_applied: false, revision }
    }
}

impl Proposal<'_> {
    fn status_in(&self, value: &StoreValue) -> ProposalStatus {
        let Ok(document) = parse_document(value) else { return ProposalStatus::Unknown };
        if find_operation(&document, &self.request.operation_id).is_some() {
            return ProposalStatus::Applied;
        }
        let is_newer = value.revision > self.put.expect_revision;
        if is_newer && self.lists_all_since_base(&document) {
            return ProposalStatus::Conflict(conflict(&document, value.revision));
        }
        ProposalStatus::Unknown
    }

    /// Whether a document still lists every operation since the base; only then does the absence of this one show that
    /// it was not applied.
    fn lists_all_since_base(&self, document: &ConfigDocument) -> bool {
        let is_listed = |record: &OperationRecord| find_operation(document, &record.operation_id).is_some();
        document.operations.len() < hinge_conf::MAX_OPERATIONS
            || self.base.operations.last().is_some_and(is_listed)
    }
}

fn check_store_not_behind(
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

/// Reply to a request whose operation id is already in the document.
fn reply_to_known_operation(
    known: &OperationRecord,
    request: &ChangeRequest,
    revision: u64,
) -> Result<ChangeReply, ChangeFailure> {
    if *known == operation_record(request) {
        return Ok(ChangeReply { already_applied: true, revision });
    }
    Err(ChangeFailure::Rejected(ChangeError::OperationReused(request.operation_id.clone())))
}
