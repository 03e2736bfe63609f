//! The command that checks a configuration document before it is sent.

use std::path::Path;

use hinge_conf::{Difference, Finding, Fleet, Severity, check, compare, decode, empty_document};
use hinge_wire::ConfigDocument;
use serde::Serialize;

use crate::args::CheckConfigArgs;
use crate::call::EntryClient;
use crate::commands::{Output, read_config};
use crate::exit::{Exit, Failure};
use crate::table;

const MEGABYTE: u64 = 1 << 20;

/// Result of a check.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) differences: Vec<Difference>,
    pub(crate) exit: Exit,
    pub(crate) findings: Vec<Finding>,
}

impl Report {
    fn new(findings: Vec<Finding>, differences: Vec<Difference>) -> Self {
        let exit = match findings.iter().map(|finding| finding.severity).max() {
            None => Exit::Ok,
            Some(Severity::Warning) => Exit::Warnings,
            Some(Severity::Error) => Exit::Errors,
        };
        Self { differences, exit, findings }
    }
}

/// Checks the document and compares it with that of `--against` or of the entry. A document that cannot be decoded is
/// not compared.
pub(crate) async fn execute(client: &EntryClient, args: &CheckConfigArgs) -> Result<Output, Failure> {
    let fleet = Fleet {
        data_centres: args.data_centre.clone(),
        memory_bytes: args.memory_mb.map(|megabytes| megabytes.saturating_mul(MEGABYTE)),
    };
    let report = match decode(&read_file(&args.file)?) {
        Ok(document) => {
            let in_force = in_force(client, args).await?;
            Report::new(check(&document, &fleet), compare(&in_force, &document))
        }
        Err(finding) => Report::new(vec![finding], Vec::new()),
    };
    let output = Output::new(&report, table::report(&report))?;
    Ok(Output { exit: report.exit, ..output })
}

async fn in_force(client: &EntryClient, args: &CheckConfigArgs) -> Result<ConfigDocument, Failure> {
    let Some(file) = &args.against else {
        return Ok(read_config(client).await?.document.unwrap_or_else(empty_document));
    };
    let unusable = |finding: Finding| Failure::usage(format!("{}: {}", file.display(), finding.message));
    decode(&read_file(file)?).map_err(unusable)
}

fn read_file(file: &Path) -> Result<Vec<u8>, Failure> {
    std::fs::read(file).map_err(|error| Failure::usage(format!("cannot read {}: {error}", file.display())))
}
