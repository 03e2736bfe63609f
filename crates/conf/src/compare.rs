//! Differences between two configuration documents.

use std::collections::{BTreeMap, BTreeSet};

use hinge_wire::{ConfigDocument, ConfigException};
use serde::Serialize;

/// An entry that differs between two documents.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Value in the new document; absent if it has no such entry.
    pub after: Option<String>,
    /// Value in the old document; absent if it has no such entry.
    pub before: Option<String>,
    /// Path of the entry. Exceptions are named by scope and setting, since their position says nothing.
    pub path: String,
}

/// Returns what differs in the new document, sorted by path.
#[must_use]
pub fn compare(old: &ConfigDocument, new: &ConfigDocument) -> Vec<Difference> {
    let (old, new) = (entries(old), entries(new));
    let paths: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let changed = paths.into_iter().filter(|path| old.get(*path) != new.get(*path));
    changed
        .map(|path| Difference {
            after: new.get(path).cloned(),
            before: old.get(path).cloned(),
            path: path.clone(),
        })
        .collect()
}

fn entries(document: &ConfigDocument) -> BTreeMap<String, String> {
    let defaults =
        document.defaults.iter().map(|(setting, value)| (format!("defaults.{setting}"), value.to_string()));
    let quotas = document
        .team_quotas_per_s
        .iter()
        .map(|(team, quota)| (format!("team_quotas_per_s.{team}"), quota.to_string()));
    let operations = document
        .operations
        .iter()
        .map(|record| (format!("operations.{}", record.operation_id), record.summary.clone()));
    let version = ("format_version".to_owned(), document.format_version.to_string());
    let exceptions = document.exceptions.iter().map(exception);
    defaults.chain(exceptions).chain(operations).chain(quotas).chain([version]).collect()
}

fn exception(exception: &ConfigException) -> (String, String) {
    let ConfigException { author, reason, scope, setting, value } = exception;
    (format!("exceptions[{}:{}].{setting}", scope.kind, scope.name), format!("{value} ({author}: {reason})"))
}
