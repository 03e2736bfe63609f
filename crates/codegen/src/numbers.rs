//! Generates the enums and tables of result codes and log events.

use std::fmt::Write as _;

use serde::Deserialize;

use crate::{GenerateError, Output, camel_case, format_code};

#[derive(Debug, Deserialize)]
pub(crate) struct CodeRow {
    code: u16,
    doc: String,
    http_status: u16,
    name: String,
    outcome: String,
}

#[derive(Debug, Deserialize)]
pub(crate) struct EventRow {
    doc: String,
    level: String,
    name: String,
    number: u16,
}

struct Variant<'a> {
    doc: &'a str,
    name: &'a str,
    number: u16,
}

/// Generates the `ResultCode` enum and its documentation table.
pub(crate) fn generate_codes(rows: &[CodeRow]) -> Result<[Output; 2], GenerateError> {
    let variants: Vec<_> =
        rows.iter().map(|row| Variant { doc: &row.doc, name: &row.name, number: row.code }).collect();
    let mut code = enum_code("ResultCode", "Numbered result codes, listed in `docs/codes.md`.", &variants);
    let outcomes: Vec<_> = rows
        .iter()
        .map(|row| (row.name.as_str(), format!("crate::Outcome::{}", camel_case(&row.outcome))))
        .collect();
    let statuses: Vec<_> = rows.iter().map(|row| (row.name.as_str(), row.http_status.to_string())).collect();
    code.push_str("impl ResultCode {");
    code.push_str(&match_fn(
        "outcome",
        "Execution outcome that the code stands for.",
        "crate::Outcome",
        &outcomes,
    ));
    code.push_str(&match_fn("http_status", "HTTP status of a response with this code.", "u16", &statuses));
    code.push('}');
    let mut table = String::from(
        "# Result codes\n\nGenerated from `schema/codes.json`. The HTTP status applies when the code is the whole \
         response.\n\n| code | name | outcome | HTTP status | meaning |\n|---|---|---|---|---|\n",
    );
    for row in rows {
        let CodeRow { code, doc, http_status, name, outcome } = row;
        let _ = writeln!(table, "| {code} | `{name}` | `{outcome}` | {http_status} | {doc} |");
    }
    Ok([
        Output { path: "crates/wire/src/code.rs".into(), content: format_code("schema/codes.json", &code)? },
        Output { path: "docs/codes.md".into(), content: table },
    ])
}

/// Generates the `LogEvent` enum and its documentation table.
pub(crate) fn generate_events(rows: &[EventRow]) -> Result<[Output; 2], GenerateError> {
    let variants: Vec<_> =
        rows.iter().map(|row| Variant { doc: &row.doc, name: &row.name, number: row.number }).collect();
    let mut code = enum_code("LogEvent", "Numbered log events, listed in `docs/events.md`.", &variants);
    let levels: Vec<_> = rows.iter().map(|row| (row.name.as_str(), format!("{:?}", row.level))).collect();
    code.push_str("impl LogEvent {");
    code.push_str(&match_fn(
        "level",
        "Level at which the event is logged, as text such as `warn`.",
        "&'static str",
        &levels,
    ));
    code.push('}');
    let mut table = String::from(
        "# Log events\n\nGenerated from `schema/events.json`.\n\n| event | name | level | meaning |\n|---|---|---|---|\n",
    );
    for EventRow { doc, level, name, number } in rows {
        let _ = writeln!(table, "| {number} | `{name}` | {level} | {doc} |");
    }
    Ok([
        Output {
            path: "crates/wire/src/event.rs".into(),
            content: format_code("schema/events.json", &code)?,
        },
        Output { path: "docs/events.md".into(), content: table },
    ])
}

/// Returns the code of an enum with explicit numbers, the constant `ALL` and the functions `number`, `from_number` and
/// `name`.
fn enum_code(name: &str, doc: &str, variants: &[Variant<'_>]) -> String {
    let mut code = format!(
        "#[doc = {doc:?}] #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)] #[repr(u16)] pub enum {name} {{"
    );
    for Variant { doc, name, number } in variants {
        let _ = write!(code, "#[doc = {doc:?}] {} = {number},", camel_case(name));
    }
    let names: Vec<_> = variants.iter().map(|v| (v.name, format!("{:?}", v.name))).collect();
    let all: Vec<_> = variants.iter().map(|v| format!("Self::{}", camel_case(v.name))).collect();
    let _ = write!(
        code,
        "}} impl {name} {{ /// All values, in the order of their numbers.\n pub const ALL: &'static [Self] = &[{}]; \
         /// Number used in messages, logs and tables.\n #[must_use] pub const fn number(self) -> u16 {{ self as u16 }} \
         /// Value with this number; `None` if there is none.\n #[must_use] \
         pub fn from_number(number: u16) -> Option<Self> {{ \
         Self::ALL.iter().copied().find(|value| value.number() == number) }} {} }}",
        all.join(","),
        match_fn("name", "Name used in responses, logs and tables.", "&'static str", &names),
    );
    code
}

/// Returns the code of a `const fn` that maps each variant to a value; `arms` holds schema names and value expressions.
fn match_fn(name: &str, doc: &str, output: &str, arms: &[(&str, String)]) -> String {
    let mut code = format!(
        "#[doc = {doc:?}] #[allow(clippy::too_many_lines, reason = \"one line for each value\")] #[must_use] \
         pub const fn {name}(self) -> {output} {{ match self {{"
    );
    for (variant, value) in arms {
        let _ = write!(code, "Self::{} => {value},", camel_case(variant));
    }
    code.push_str("} }");
    code
}
