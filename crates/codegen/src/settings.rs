//! Generates the process flags, the policy settings and the table of both.

use std::fmt::Write as _;

use serde::Deserialize;
use serde_json::Value;

use crate::{GenerateError, Output, camel_case, format_code};

#[derive(Debug, Deserialize)]
pub(crate) struct SettingsSchema {
    policy: Vec<PolicyRow>,
    process: Vec<FlagRow>,
}

#[derive(Debug, Deserialize)]
struct FlagRow {
    default: Value,
    doc: String,
    max: Option<u64>,
    min: Option<u64>,
    name: String,
    r#type: String,
    unit: String,
}

#[derive(Debug, Deserialize)]
struct PolicyRow {
    default: Value,
    doc: String,
    max: Option<u64>,
    min: Option<u64>,
    name: String,
    scopes: Vec<String>,
    unit: String,
}

impl PolicyRow {
    fn is_flag(&self) -> bool {
        self.unit == "flag"
    }

    fn rust_type(&self) -> &'static str {
        if self.is_flag() { "bool" } else { "u64" }
    }
}

/// Generates the flags, the policy and the documentation table of all settings.
pub(crate) fn generate(schema: &SettingsSchema) -> Result<[Output; 3], GenerateError> {
    let source = "schema/settings.json";
    Ok([
        Output {
            path: "crates/conf/src/flags.rs".into(),
            content: format_code(source, &flags_code(&schema.process))?,
        },
        Output {
            path: "crates/conf/src/policy.rs".into(),
            content: format_code(source, &policy_code(&schema.policy))?,
        },
        Output { path: "docs/settings.md".into(), content: table(schema) },
    ])
}

fn flags_code(rows: &[FlagRow]) -> String {
    let mut code = String::from(
        "use argh::FromArgs; use crate::setting::{FlagKind, FlagSpec}; \
         /// Entry instance of the celeryhinge dispatcher. Each flag can also be set by the environment variable \
         CELERYHINGE_ followed by the flag's name in capitals with underscores; a flag takes \
         precedence over its variable.\n \
         #[derive(Clone, Debug, Default, FromArgs)] pub struct Flags {",
    );
    for FlagRow { doc, name, .. } in rows {
        let doc = lower_first(doc);
        let _ = write!(code, "#[doc = {doc:?}] #[argh(option)] pub {name}: Option<String>,");
    }
    code.push_str(
        "} impl Flags { /// Text of a flag as given on the command line; `None` if it is absent or the setting is unknown.\n \
        #[must_use] pub fn text(&self, name: &str) -> Option<&str> { match name {",
    );
    for FlagRow { name, .. } in rows {
        let _ = write!(code, "{name:?} => self.{name}.as_deref(),");
    }
    code.push_str("_ => None, } } } /// All process settings with their kinds, defaults and ranges.\n pub const FLAGS: &[FlagSpec] = &[");
    for row in rows {
        let default = default_text(&row.default).map_or("None".to_owned(), |text| format!("Some({text:?})"));
        let kind = match (row.r#type.as_str(), row.min, row.max) {
            ("integer", Some(min), Some(max)) => {
                format!("FlagKind::Integer {{ min: {min}, max: {max} }}")
            }
            (name, ..) => format!("FlagKind::{}", camel_case(name)),
        };
        let _ = write!(
            code,
            "FlagSpec {{ name: {:?}, kind: {kind}, default: {default}, unit: {:?} }},",
            row.name, row.unit
        );
    }
    code.push_str("];");
    code
}

fn policy_code(rows: &[PolicyRow]) -> String {
    let mut code = String::from(
        "use hinge_wire::{ScopeKind, SettingValue}; use crate::setting::{PolicyKind, PolicySpec}; \
         /// Policy settings of one data centre, after fleet defaults and exceptions are applied to the \
         built-in defaults.\n \
         #[derive(Clone, Debug, Eq, PartialEq)] pub struct Policy {",
    );
    for row in rows {
        let _ = write!(code, "#[doc = {:?}] pub {}: {},", row.doc, row.name, row.rust_type());
    }
    code.push_str("} impl Default for Policy { fn default() -> Self { Self {");
    for row in rows {
        let _ = write!(code, "{}: {},", row.name, row.default);
    }
    code.push_str("} } } impl Policy { /// Sets a setting by name; returns false when the name is unknown or the \
        value's type is wrong. The range is not checked here.\n pub fn set(&mut self, name: &str, value: &SettingValue) -> bool {\
        match (name, value) {");
    for row in rows {
        let variant = if row.is_flag() { "Flag" } else { "Number" };
        let _ = write!(code, "({0:?}, SettingValue::{variant}(value)) => self.{0} = *value,", row.name);
    }
    code.push_str(
        "_ => return false, } true } } /// All policy settings with their defaults, ranges and scopes.\n \
        pub const POLICY: &[PolicySpec] = &[",
    );
    for row in rows {
        let kind = match (row.min, row.max) {
            (Some(min), Some(max)) => {
                format!("PolicyKind::Number {{ min: {min}, max: {max}, default: {} }}", row.default)
            }
            _ => format!("PolicyKind::Flag {{ default: {} }}", row.default),
        };
        let scopes: Vec<_> =
            row.scopes.iter().map(|scope| format!("ScopeKind::{}", camel_case(scope))).collect();
        let _ = write!(
            code,
            "PolicySpec {{ name: {:?}, kind: {kind}, scopes: &[{}], unit: {:?} }},",
            row.name,
            scopes.join(","),
            row.unit
        );
    }
    code.push_str("];");
    code
}

fn table(schema: &SettingsSchema) -> String {
    let mut text = String::from(
        "# Settings\n\nGenerated from `schema/settings.json`.\n\n## Process settings\n\nEach is a flag `--name` of \
         `hinge-entry` (with `-` for `_`) and an environment variable `CELERYHINGE_NAME`. The flag takes precedence.\n\n\
         | setting | unit | default | allowed | meaning |\n|---|---|---|---|---|\n",
    );
    for FlagRow { default, doc, max, min, name, r#type, unit } in &schema.process {
        let default = default_text(default).unwrap_or_else(|| "required or none".to_owned());
        let allowed = range(*min, *max).unwrap_or_else(|| r#type.replace('_', " "));
        let _ = writeln!(text, "| `{name}` | {unit} | {default} | {allowed} | {doc} |");
    }
    text.push_str(
        "\n## Policy settings\n\nThe configuration document holds them: a fleet default, and exceptions with a \
         reason for the listed scopes.\n\n| setting | unit | default | allowed | exceptions for | meaning |\n\
         |---|---|---|---|---|---|\n",
    );
    for PolicyRow { default, doc, max, min, name, scopes, unit } in &schema.policy {
        let allowed = range(*min, *max).unwrap_or_else(|| "true, false".to_owned());
        let _ =
            writeln!(text, "| `{name}` | {unit} | {default} | {allowed} | {} | {doc} |", scopes.join(", "));
    }
    text
}

fn range(min: Option<u64>, max: Option<u64>) -> Option<String> {
    Some(format!("{} to {}", min?, max?))
}

fn default_text(value: &Value) -> Option<String> {
    match value {
        Value::Null => None,
        Value::String(text) => Some(text.clone()),
        other => Some(other.to_string()),
    }
}

/// Converts the first letter to lower case, as `argh` requires of descriptions.
fn lower_first(text: &str) -> String {
    let (first, rest) = text.split_at(text.len().min(1));
    first.to_lowercase() + rest
}
