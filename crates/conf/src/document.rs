//! Validation of the configuration document and its resolution for one data centre.

use std::collections::BTreeMap;

use hinge_wire::{
    ConfigDocument, ConfigException, DataCentreId, FastMap, FastSet, OperationRecord, ResultCode, Scope,
    ScopeKind, SettingValue, TeamId, is_valid_id, to_json,
};
use thiserror::Error;

use crate::limits::{self, Contradiction, Place, places};
use crate::{POLICY, Policy, PolicyKind, PolicySpec};

/// Version of the document format that this build reads and writes.
pub const FORMAT_VERSION: u32 = 1;
/// Largest size of the encoded document. The store accepts values of up to 1 MB, understood as 10^6 bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;
/// Largest number of applied changes listed in a document; older ones are removed from the list.
pub const MAX_OPERATIONS: usize = 64;
/// Longest reason of an exception, in bytes.
pub const MAX_REASON_BYTES: usize = 500;
/// Longest author name, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 64;

pub(crate) const QUOTA: &str = "team_quota_per_s";
const WEIGHT: &str = "team_weight";

/// Reason why a configuration document is not valid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DocumentError {
    /// An author, reason, id, format version or operation list is not valid, or a stored document cannot be parsed.
    #[error("{field} {value:?} is not allowed; allowed: {allowed}")]
    InvalidField {
        /// Description of the allowed values.
        allowed: String,
        /// Name of the field.
        field: &'static str,
        /// Rejected text, at most 80 characters of it.
        value: String,
    },
    /// Two settings contradict each other after resolution.
    #[error("{place}: {message}")]
    Inconsistent {
        /// Description of the contradiction.
        message: String,
        /// Where it arises: `fleet defaults`, or `data centre` and its id.
        place: String,
    },
    /// The setting cannot have an exception for this kind of scope.
    #[error("{setting} allows no exception for a {kind}")]
    ScopeNotAllowed {
        /// Kind of scope that the exception names.
        kind: ScopeKind,
        /// Name of the policy setting.
        setting: String,
    },
    /// The encoded document is larger than the store accepts.
    #[error("the document has {bytes} bytes; allowed: at most {MAX_DOCUMENT_BYTES}")]
    TooLarge {
        /// Size of the encoded document, or `usize::MAX` if it cannot be encoded.
        bytes: usize,
    },
    /// No setting has this name.
    #[error("unknown setting {0:?}")]
    UnknownSetting(String),
    /// The value has the wrong type or is out of range.
    #[error("{setting} is {value}; allowed: {allowed}")]
    InvalidValue {
        /// Description of the allowed values.
        allowed: String,
        /// Name of the policy setting.
        setting: String,
        /// Rejected value.
        value: String,
    },
}

impl DocumentError {
    /// Result code that reports the error.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::TooLarge { .. } => ResultCode::TooLarge,
            _ => ResultCode::ConfigInvalid,
        }
    }

    fn field(field: &'static str, value: &str, allowed: impl Into<String>) -> Self {
        Self::InvalidField { allowed: allowed.into(), field, value: value.chars().take(80).collect() }
    }
}

/// Configuration of one data centre, with fleet defaults and exceptions resolved.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResolvedConfig {
    /// Policy settings of the data centre.
    pub policy: Policy,
    /// Quotas, in task starts per second, of the teams that do not have the default quota.
    pub quotas: FastMap<TeamId, u64>,
    /// Store revision of the document; 0 for the built-in defaults.
    pub revision: u64,
    /// Weights of the teams that do not have the default weight.
    pub weights: FastMap<TeamId, u32>,
}

impl ResolvedConfig {
    /// Returns the configuration with the store revision of its document set.
    #[must_use]
    pub fn with_revision(self, revision: u64) -> Self {
        Self { revision, ..self }
    }
}

/// Returns a document in which every setting has its built-in default.
#[must_use]
pub fn empty_document() -> ConfigDocument {
    ConfigDocument {
        defaults: BTreeMap::new(),
        exceptions: Vec::new(),
        format_version: FORMAT_VERSION,
        operations: Vec::new(),
        team_quotas_per_s: BTreeMap::new(),
    }
}

/// Checks the values, exceptions, operations, size and consistency of a document.
///
/// # Errors
///
/// Fails on the first part of the document that is not valid.
pub fn validate(document: &ConfigDocument) -> Result<(), DocumentError> {
    rejections(document).into_iter().next().map_or(Ok(()), |rejection| Err(rejection.error))
}

/// Reason why a document is rejected, and the path of the field.
pub(crate) struct Rejection {
    pub(crate) error: DocumentError,
    pub(crate) path: String,
}

/// Returns all reasons why a document is rejected. The contradictions are left out if there are others, because they
/// are computed from values in their ranges.
pub(crate) fn rejections(document: &ConfigDocument) -> Vec<Rejection> {
    let format =
        check_version(document).map_err(|error| Rejection { error, path: "format_version".to_owned() });
    let size = check_size(document).map_err(|error| Rejection { error, path: "document".to_owned() });
    if let Err(rejection) = format.and(size) {
        return vec![rejection];
    }
    let mut rejections = rejected_defaults(document);
    rejections.extend(rejected_exceptions(document));
    rejections.extend(rejected_quotas(document));
    rejections.extend(rejected_operations(document));
    if rejections.is_empty() { contradictions(document) } else { rejections }
}

/// Resolves the fleet defaults and exceptions for one data centre.
///
/// An exception for a team takes precedence over the team's quota in `team_quotas_per_s`. Ranges are not checked here:
/// the document must have passed [`validate`].
#[must_use]
pub fn resolve(document: &ConfigDocument, data_centre: &DataCentreId) -> ResolvedConfig {
    let mut resolved = ResolvedConfig { policy: fleet_policy(document), ..ResolvedConfig::default() };
    for (team, quota) in &document.team_quotas_per_s {
        resolved.quotas.insert(team.as_str().into(), *quota);
    }
    for ConfigException { scope, setting, value, .. } in &document.exceptions {
        match (scope.kind, setting.as_str(), value) {
            (ScopeKind::DataCentre, _, _) if *scope.name == **data_centre => {
                resolved.policy.set(setting, value);
            }
            (ScopeKind::Team, QUOTA, SettingValue::Number(quota)) => {
                resolved.quotas.insert(scope.name.as_str().into(), *quota);
            }
            (ScopeKind::Team, WEIGHT, SettingValue::Number(weight)) => {
                let weight = u32::try_from(*weight).unwrap_or(u32::MAX);
                resolved.weights.insert(scope.name.as_str().into(), weight);
            }
            _ => {}
        }
    }
    resolved
}

pub(crate) fn fleet_policy(document: &ConfigDocument) -> Policy {
    let mut policy = Policy::default();
    for (setting, value) in &document.defaults {
        policy.set(setting, value);
    }
    policy
}

/// Returns the fleet default of a setting; `None` if no setting has this name.
pub(crate) fn setting_default(document: &ConfigDocument, setting: &str) -> Option<SettingValue> {
    let built_in = || match find_spec(setting).ok()?.kind {
        PolicyKind::Flag { default } => Some(SettingValue::Flag(default)),
        PolicyKind::Number { default, .. } => Some(SettingValue::Number(default)),
    };
    document.defaults.get(setting).cloned().or_else(built_in)
}

fn find_spec(setting: &str) -> Result<&'static PolicySpec, DocumentError> {
    let unknown = || DocumentError::UnknownSetting(setting.chars().take(80).collect());
    POLICY.iter().find(|spec| spec.name == setting).ok_or_else(unknown)
}

pub(crate) fn check_value(setting: &str, value: &SettingValue) -> Result<(), DocumentError> {
    let allowed = match (find_spec(setting)?.kind, value) {
        (PolicyKind::Flag { .. }, SettingValue::Flag(_)) => return Ok(()),
        (PolicyKind::Number { max, min, .. }, SettingValue::Number(number))
            if (min..=max).contains(number) =>
        {
            return Ok(());
        }
        (PolicyKind::Flag { .. }, _) => "true or false".to_owned(),
        (PolicyKind::Number { max, min, .. }, _) => format!("a whole number from {min} to {max}"),
    };
    Err(DocumentError::InvalidValue { allowed, setting: setting.to_owned(), value: value.to_string() })
}

pub(crate) fn check_setting(setting: &str) -> Result<(), DocumentError> {
    find_spec(setting).map(|_| ())
}

pub(crate) fn check_id(field: &'static str, id: &str) -> Result<(), DocumentError> {
    if is_valid_id(id) {
        return Ok(());
    }
    Err(DocumentError::field(field, id, "letters, digits, `-` and `_`, 1 to 64 characters"))
}

pub(crate) fn check_text(field: &'static str, text: &str, max_bytes: usize) -> Result<(), DocumentError> {
    let usable = !text.trim().is_empty() && text.len() <= max_bytes && !text.chars().any(char::is_control);
    if usable {
        return Ok(());
    }
    Err(DocumentError::field(field, text, format!("1 to {max_bytes} bytes without control characters")))
}

pub(crate) fn check_exception(exception: &ConfigException) -> Result<(), DocumentError> {
    let ConfigException { author, reason, scope, setting, value } = exception;
    check_value(setting, value)?;
    if !find_spec(setting)?.scopes.contains(&scope.kind) {
        return Err(DocumentError::ScopeNotAllowed { kind: scope.kind, setting: setting.clone() });
    }
    check_id("scope", &scope.name)?;
    check_text("author", author, MAX_AUTHOR_BYTES)?;
    check_text("reason", reason, MAX_REASON_BYTES)
}

fn rejected_defaults(document: &ConfigDocument) -> Vec<Rejection> {
    let reject = |(setting, value): (&String, &SettingValue)| {
        let error = check_value(setting, value).err()?;
        Some(Rejection { error, path: format!("defaults.{setting}") })
    };
    document.defaults.iter().filter_map(reject).collect()
}

fn rejected_exceptions(document: &ConfigDocument) -> Vec<Rejection> {
    let mut scopes = FastSet::default();
    let mut check = |exception| {
        check_exception(exception)?;
        let ConfigException { scope: Scope { kind, name }, setting, .. } = exception;
        if scopes.insert((*kind, name, setting)) {
            return Ok(());
        }
        Err(DocumentError::field("scope", name, "one exception per scope and setting"))
    };
    let reject = |(index, exception)| {
        let error = check(exception).err()?;
        let path = format!("exceptions[{index}].{}", exception_field(&error));
        Some(Rejection { error, path })
    };
    document.exceptions.iter().enumerate().filter_map(reject).collect()
}

/// Name of the field of an exception that an error is about.
const fn exception_field(error: &DocumentError) -> &'static str {
    match error {
        DocumentError::InvalidField { field, .. } => field,
        DocumentError::InvalidValue { .. } => "value",
        DocumentError::ScopeNotAllowed { .. } => "scope",
        _ => "setting",
    }
}

fn rejected_quotas(document: &ConfigDocument) -> Vec<Rejection> {
    let reject = |(team, quota): (&String, &u64)| {
        let value = check_value(QUOTA, &SettingValue::Number(*quota));
        let error = check_id("team", team).and(value).err()?;
        Some(Rejection { error, path: format!("team_quotas_per_s.{team}") })
    };
    document.team_quotas_per_s.iter().filter_map(reject).collect()
}

fn rejected_operations<'a>(document: &'a ConfigDocument) -> Vec<Rejection> {
    let count = document.operations.len();
    if count > MAX_OPERATIONS {
        let allowed = format!("at most {MAX_OPERATIONS}");
        let error = DocumentError::field("operations", &count.to_string(), allowed);
        return vec![Rejection { error, path: "operations".to_owned() }];
    }
    let mut ids = FastSet::default();
    let mut check = |operation: &'a OperationRecord| {
        check_id("operation_id", &operation.operation_id)?;
        check_text("author", &operation.author, MAX_AUTHOR_BYTES)?;
        if ids.insert(&operation.operation_id) {
            return Ok(());
        }
        Err(DocumentError::field("operation_id", &operation.operation_id, "each id once"))
    };
    let reject = |(index, operation)| {
        let error = check(operation).err()?;
        Some(Rejection { error, path: format!("operations[{index}]") })
    };
    document.operations.iter().enumerate().filter_map(reject).collect()
}

fn check_version(document: &ConfigDocument) -> Result<(), DocumentError> {
    if document.format_version == FORMAT_VERSION {
        return Ok(());
    }
    let version = document.format_version.to_string();
    Err(DocumentError::field("format_version", &version, FORMAT_VERSION.to_string()))
}

fn check_size(document: &ConfigDocument) -> Result<(), DocumentError> {
    let bytes = to_json(document).map_or(usize::MAX, |text| text.len());
    if bytes > MAX_DOCUMENT_BYTES { Err(DocumentError::TooLarge { bytes }) } else { Ok(()) }
}

/// Checks the fleet defaults and the settings of every data centre that has an exception for contradictions.
fn contradictions(document: &ConfigDocument) -> Vec<Rejection> {
    let reject = |place: Place<'_>| {
        let reject = |Contradiction { message, settings }| {
            let path = place.path(document, &settings)?;
            let error = DocumentError::Inconsistent { message, place: place.to_string() };
            Some(Rejection { error, path })
        };
        limits::rejected(&place.policy).into_iter().filter_map(reject).collect::<Vec<_>>()
    };
    places(document).into_iter().flat_map(reject).collect()
}
