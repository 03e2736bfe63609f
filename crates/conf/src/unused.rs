//! Quotas and exceptions of a document that have no effect.

use hinge_wire::{ConfigDocument, ConfigException, ScopeKind, SettingValue};

use crate::check::{Finding, Fleet};
use crate::document::{QUOTA, setting_default};

/// Quotas that an exception precedes, or that equal the default.
pub(crate) fn quotas(document: &ConfigDocument) -> Vec<Finding> {
    let warn = |(team, quota): (&String, &u64)| {
        let message = if let Some(index) = quota_exception(document, team) {
            format!("never applies: exceptions[{index}] for the same team precedes it")
        } else if is_default(document, QUOTA, &SettingValue::Number(*quota)) {
            "has no effect: equal to the default quota".to_owned()
        } else {
            return None;
        };
        Some(Finding::warning(format!("team_quotas_per_s.{team}"), message))
    };
    document.team_quotas_per_s.iter().filter_map(warn).collect()
}

/// Exceptions that are for a data centre that does not exist, or that have the default value.
pub(crate) fn exceptions(document: &ConfigDocument, fleet: &Fleet) -> Vec<Finding> {
    let warn = |(index, exception): (usize, &ConfigException)| {
        let name = &exception.scope.name;
        let is_data_centre = exception.scope.kind == ScopeKind::DataCentre;
        if is_data_centre && !fleet.data_centres.is_empty() && !fleet.data_centres.contains(name) {
            let message = format!("never applies: there is no data centre {name}");
            return Some(Finding::warning(format!("exceptions[{index}].scope"), message));
        }
        let message = format!("has no effect: equal to the default of {}", exception.setting);
        has_default_value(document, exception)
            .then(|| Finding::warning(format!("exceptions[{index}].value"), message))
    };
    document.exceptions.iter().enumerate().filter_map(warn).collect()
}

fn quota_exception(document: &ConfigDocument, team: &str) -> Option<usize> {
    document.exceptions.iter().position(|exception| {
        let scope = &exception.scope;
        scope.kind == ScopeKind::Team && scope.name == team && exception.setting == QUOTA
    })
}

fn has_default_value(document: &ConfigDocument, exception: &ConfigException) -> bool {
    let ConfigException { scope, setting, value, .. } = exception;
    match scope.kind {
        ScopeKind::DataCentre => setting_default(document, setting).as_ref() == Some(value),
        // The exception precedes the team's quota, which would apply without it.
        ScopeKind::Team if setting == QUOTA && document.team_quotas_per_s.contains_key(&scope.name) => false,
        ScopeKind::Team => is_default(document, setting, value),
    }
}

/// Whether a team without the value has it anyway in all data centres.
fn is_default(document: &ConfigDocument, setting: &str, value: &SettingValue) -> bool {
    let has_value = |exception: &ConfigException| {
        exception.scope.kind != ScopeKind::DataCentre
            || exception.setting != setting
            || exception.value == *value
    };
    setting_default(document, setting).as_ref() == Some(value) && document.exceptions.iter().all(has_value)
}
