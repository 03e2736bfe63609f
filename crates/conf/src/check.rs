//! Findings about a configuration document, for operators before they send it.

use hinge_wire::{ConfigDocument, ConfigReply, from_json};
use serde::Serialize;

use crate::document::{empty_document, rejections};
use crate::limits::{Contradiction, accepted, beyond_memory, places};
use crate::unused;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The document is accepted, but a part of it has no effect or does harm.
    Warning,
    /// The document would be rejected.
    Error,
}

/// One thing in a document that an operator should know before sending it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// What is wrong.
    pub message: String,
    /// Path of the field in the document, such as `exceptions[2].value`.
    pub path: String,
    /// How serious it is.
    pub severity: Severity,
}

impl Finding {
    pub(crate) fn warning(path: String, message: String) -> Self {
        Self { message, path, severity: Severity::Warning }
    }

    fn error(path: String, message: String) -> Self {
        Self { message, path, severity: Severity::Error }
    }
}

/// What a document is judged by that it does not contain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fleet {
    /// Ids of all data centres; exceptions are not compared with them when it is empty.
    pub data_centres: Vec<String>,
    /// Memory of the smallest entry, in bytes; limits are not compared with it when absent.
    pub memory_bytes: Option<u64>,
}

/// Decodes a document, or the one in an entry's reply, as `hingectl --json config show` prints it.
///
/// # Errors
///
/// Fails with a finding when the text is neither.
pub fn decode(text: &[u8]) -> Result<ConfigDocument, Finding> {
    if let Ok(reply) = from_json::<ConfigReply>(text) {
        return Ok(reply.document.unwrap_or_else(empty_document));
    }
    from_json(text).map_err(|error| Finding::error("document".to_owned(), error.to_string()))
}

/// Returns all findings about a document, errors first.
#[must_use]
pub fn check(document: &ConfigDocument, fleet: &Fleet) -> Vec<Finding> {
    let rejections = rejections(document).into_iter();
    let mut findings: Vec<Finding> =
        rejections.map(|rejection| Finding::error(rejection.path, rejection.error.to_string())).collect();
    findings.extend(unused::quotas(document));
    findings.extend(unused::exceptions(document, fleet));
    findings.extend(limit_warnings(document, fleet));
    findings
}

fn limit_warnings(document: &ConfigDocument, fleet: &Fleet) -> Vec<Finding> {
    let mut findings = Vec::new();
    for place in places(document) {
        let memory = fleet.memory_bytes.and_then(|bytes| beyond_memory(&place.policy, bytes));
        for Contradiction { message, settings } in accepted(&place.policy).into_iter().chain(memory) {
            let path = place.path(document, &settings);
            findings.extend(path.map(|path| Finding::warning(path, format!("{place}: {message}"))));
        }
    }
    findings
}
