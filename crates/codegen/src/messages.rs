//! Generates the message types from JSON Schema.

use schemars::schema::RootSchema;
use typify::{TypeSpace, TypeSpaceSettings};

use crate::{GenerateError, Output, format_code};

pub(crate) fn generate(schema: &RootSchema) -> Result<Output, GenerateError> {
    let mut settings = TypeSpaceSettings::default();
    settings
        .with_struct_builder(false)
        .with_derive("PartialEq".to_owned())
        .with_map_type("::std::collections::BTreeMap");
    let mut types = TypeSpace::new(&settings);
    types.add_ref_types(schema.definitions.clone())?;
    let content = format_code("schema/messages.json", &types.to_stream().to_string())?;
    Ok(Output { path: "crates/wire/src/messages.rs".into(), content: remove_schema_listings(&content) })
}

/// Removes the JSON Schema listing that `typify` adds to each doc comment.
fn remove_schema_listings(code: &str) -> String {
    let mut kept = String::with_capacity(code.len());
    let mut in_listing = false;
    for line in code.lines() {
        let text = line.trim_start();
        in_listing |= text.starts_with("/// <details>");
        if !in_listing {
            kept.push_str(line);
            kept.push('\n');
        }
        in_listing &= !text.starts_with("/// </details>");
    }
    kept
}
