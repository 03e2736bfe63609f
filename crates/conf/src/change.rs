//! Applies operators' changes to the configuration document.

use hinge_wire::{
    Change, ChangeRequest, ConfigDocument, ConfigException, OperationRecord, ResultCode, Scope, SettingValue,
};
use thiserror::Error;

use crate::document::{
    DocumentError, MAX_AUTHOR_BYTES, MAX_OPERATIONS, check_exception, check_id, check_setting, check_text,
    check_value, validate,
};

/// Reason why a change did not produce a new document.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ChangeError {
    /// The same change with this operation id is already in the document.
    #[error("operation {0} has been applied already")]
    AlreadyApplied(String),
    /// The changed document would not be valid.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The setting, exception or quota to clear is not set; holds the summary of the change.
    #[error("{0} is not set")]
    NotSet(String),
    /// The document lists another change with this operation id.
    #[error("operation id {0} was used for another change")]
    OperationReused(String),
}

impl ChangeError {
    /// Result code that reports the error; [`ResultCode::Complete`] when the change has already been applied.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::AlreadyApplied(_) => ResultCode::Complete,
            Self::Document(error) => error.code(),
            Self::NotSet(_) => ResultCode::ConfigInvalid,
            Self::OperationReused(_) => ResultCode::InvalidField,
        }
    }
}

/// Applies a change to a document and records its operation id.
///
/// The expected revision of the request is not checked here; the store compares it when the document is written.
///
/// # Errors
///
/// Fails when the document already lists the operation id, or when the change or the changed document is not valid.
pub fn apply(document: &ConfigDocument, request: &ChangeRequest) -> Result<ConfigDocument, ChangeError> {
    check_id("operation_id", &request.operation_id)?;
    check_text("author", &request.author, MAX_AUTHOR_BYTES)?;
    let record = operation_record(request);
    if let Some(known) = find_operation(document, &record.operation_id) {
        let id = record.operation_id.clone();
        return Err(if *known == record {
            ChangeError::AlreadyApplied(id)
        } else {
            ChangeError::OperationReused(id)
        });
    }
    let mut changed = document.clone();
    apply_change(&mut changed, request)?;
    changed.operations.push(record);
    let excess = changed.operations.len().saturating_sub(MAX_OPERATIONS);
    changed.operations.drain(..excess);
    validate(&changed)?;
    Ok(changed)
}

/// Finds the record of an applied operation; `None` if it was never applied or is no longer listed.
#[must_use]
pub fn find_operation<'a>(document: &'a ConfigDocument, operation_id: &str) -> Option<&'a OperationRecord> {
    document.operations.iter().find(|record| record.operation_id == operation_id)
}

/// Returns the record that a change adds to the document.
#[must_use]
pub fn operation_record(request: &ChangeRequest) -> OperationRecord {
    OperationRecord {
        author: request.author.clone(),
        operation_id: request.operation_id.clone(),
        summary: summary(&request.change),
    }
}

/// Text that identifies a change; different changes have different texts.
fn summary(change: &Change) -> String {
    match change {
        Change::SetDefault { setting, value } => format!("set default {setting}={value}"),
        Change::ClearDefault { setting } => format!("clear default {setting}"),
        Change::SetException { reason, scope, setting, value } => {
            format!("set exception {setting}={value} for {}: {reason}", scope_text(scope))
        }
        Change::ClearException { scope, setting } => {
            format!("clear exception {setting} for {}", scope_text(scope))
        }
        Change::SetQuota { starts_per_s, team } => format!("set quota of {team} to {starts_per_s}/s"),
        Change::ClearQuota { team } => format!("clear quota of {team}"),
    }
}

fn scope_text(scope: &Scope) -> String {
    format!("{} {}", scope.kind, scope.name)
}

fn apply_change(document: &mut ConfigDocument, request: &ChangeRequest) -> Result<(), ChangeError> {
    match &request.change {
        Change::SetDefault { setting, value } => set_default(document, setting, value),
        Change::ClearDefault { setting } => {
            check_setting(setting)?;
            check_cleared(document.defaults.remove(setting).is_some(), &request.change)
        }
        Change::SetException { reason, scope, setting, value } => {
            let exception = ConfigException {
                author: request.author.clone(),
                reason: reason.clone(),
                scope: scope.clone(),
                setting: setting.clone(),
                value: value.clone(),
            };
            check_exception(&exception)?;
            remove_exception(document, scope, setting);
            document.exceptions.push(exception);
            Ok(())
        }
        Change::ClearException { scope, setting } => {
            check_setting(setting)?;
            check_cleared(remove_exception(document, scope, setting), &request.change)
        }
        Change::SetQuota { starts_per_s, team } => {
            check_id("team", team)?;
            document.team_quotas_per_s.insert(team.clone(), *starts_per_s);
            Ok(())
        }
        Change::ClearQuota { team } => {
            check_id("team", team)?;
            check_cleared(document.team_quotas_per_s.remove(team).is_some(), &request.change)
        }
    }
}

fn set_default(
    document: &mut ConfigDocument,
    setting: &str,
    value: &SettingValue,
) -> Result<(), ChangeError> {
    check_value(setting, value)?;
    document.defaults.insert(setting.to_owned(), value.clone());
    Ok(())
}

fn remove_exception(document: &mut ConfigDocument, scope: &Scope, setting: &str) -> bool {
    let before = document.exceptions.len();
    document.exceptions.retain(|exception| exception.scope != *scope || exception.setting != setting);
    document.exceptions.len() < before
}

/// Fails with [`ChangeError::NotSet`] if there was nothing to clear.
fn check_cleared(found: bool, change: &Change) -> Result<(), ChangeError> {
    if found { Ok(()) } else { Err(ChangeError::NotSet(summary(change))) }
}
