//! Replies as tables with aligned columns.

use hinge_conf::{Difference, Finding, Severity};
use hinge_wire::{ConfigDocument, ConfigReply, MemberInfo, RevisionsReply, UpstreamsReply};

use crate::check::Report;

/// Number of applied changes that `config show` lists.
const LISTED_OPERATIONS: usize = 10;

/// Renders a table with aligned columns. Control characters are replaced, because in text from others they could move
/// the terminal's cursor.
fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let sanitize = |text: &str| text.replace(|c: char| c.is_control(), "?");
    let header = header.iter().map(|&title| title.to_owned()).collect();
    let all: Vec<Vec<String>> = std::iter::once(&header)
        .chain(rows)
        .map(|row: &Vec<String>| row.iter().map(|text| sanitize(text)).collect())
        .collect();
    let width = |column: usize| {
        all.iter().filter_map(|row| row.get(column)).map(|text| text.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let mut text = String::new();
    for row in &all {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

pub(crate) fn config(reply: &ConfigReply) -> String {
    let mut text = format!("revision {}\n", reply.revision);
    match &reply.document {
        None => text.push_str("the entry has no configuration yet\n"),
        Some(document) => text.push_str(&sections(document)),
    }
    text
}

fn sections(document: &ConfigDocument) -> String {
    let defaults = document.defaults.iter().map(|(setting, value)| vec![setting.clone(), value.to_string()]);
    let exceptions = document.exceptions.iter().map(|exception| {
        let scope = format!("{}:{}", exception.scope.kind, exception.scope.name);
        let value = exception.value.to_string();
        vec![scope, exception.setting.clone(), value, exception.author.clone(), exception.reason.clone()]
    });
    let quotas = document.team_quotas_per_s.iter().map(|(team, quota)| vec![team.clone(), quota.to_string()]);
    let operations = document.operations.iter().rev().take(LISTED_OPERATIONS);
    let operations = operations.map(|operation| {
        vec![operation.operation_id.clone(), operation.author.clone(), operation.summary.clone()]
    });
    [
        section("DEFAULT", &["VALUE"], defaults.collect()),
        section("EXCEPTION", &["SETTING", "VALUE", "AUTHOR", "REASON"], exceptions.collect()),
        section("QUOTA OF TEAM", &["STARTS/S"], quotas.collect()),
        section("LAST OPERATION", &["AUTHOR", "CHANGE"], operations.collect()),
    ]
    .concat()
}

/// Renders a table after an empty line, or nothing if it has no rows.
fn section(first: &str, others: &[&str], rows: Vec<Vec<String>>) -> String {
    if rows.is_empty() {
        return String::new();
    }
    let header: Vec<&str> = std::iter::once(first).chain(others.iter().copied()).collect();
    format!("\n{}", table(&header, &rows))
}

pub(crate) fn report(report: &Report) -> String {
    let findings = report.findings.iter().map(|Finding { message, path, severity }| {
        let severity = match severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        vec![severity.to_owned(), path.clone(), message.clone()]
    });
    let value = |value: &Option<String>| value.clone().unwrap_or_else(|| "-".to_owned());
    let differences = report
        .differences
        .iter()
        .map(|Difference { after, before, path }| vec![path.clone(), value(before), value(after)]);
    let count = |count: usize, noun: &str| format!("{count} {noun}{}", if count == 1 { "" } else { "s" });
    [
        count(report.findings.len(), "finding"),
        format!(", {}\n", count(report.differences.len(), "difference")),
        section("SEVERITY", &["FIELD", "MESSAGE"], findings.collect()),
        section("DIFFERENCE", &["IN FORCE", "NEW"], differences.collect()),
    ]
    .concat()
}

pub(crate) fn revisions(reply: &RevisionsReply) -> String {
    let row = |member: &MemberInfo| {
        let behind = reply.latest_revision.saturating_sub(member.config_revision);
        let identity = [member.instance.clone(), member.data_centre.clone()];
        identity.into_iter().chain([member.config_revision.to_string(), behind.to_string()]).collect()
    };
    let rows: Vec<Vec<String>> = reply.members.iter().map(row).collect();
    let header = ["INSTANCE", "DATA CENTRE", "REVISION", "BEHIND"];
    format!("latest revision {}\n\n{}", reply.latest_revision, table(&header, &rows))
}

pub(crate) fn instances(reply: &RevisionsReply) -> String {
    let row = |member: &MemberInfo| {
        vec![
            member.instance.clone(),
            member.data_centre.clone(),
            member.state.to_string(),
            member.peer_address.clone(),
            member.free_slots.to_string(),
            member.queued_tasks.to_string(),
            member.config_revision.to_string(),
            format!("{:016x}", member.incarnation),
        ]
    };
    let rows: Vec<Vec<String>> = reply.members.iter().map(row).collect();
    let header = [
        "INSTANCE",
        "DATA CENTRE",
        "STATE",
        "PEER ADDRESS",
        "FREE SLOTS",
        "QUEUED",
        "REVISION",
        "INCARNATION",
    ];
    table(&header, &rows)
}

pub(crate) fn upstreams(reply: &UpstreamsReply) -> String {
    let rows: Vec<Vec<String>> = reply
        .upstreams
        .iter()
        .map(|upstream| {
            vec![
                upstream.id.clone(),
                upstream.service.clone(),
                upstream.rack.clone(),
                upstream.address.clone(),
                upstream.health.clone(),
                upstream.leader.clone(),
                format!("{}/{}", upstream.in_use, upstream.slots),
            ]
        })
        .collect();
    table(&["UPSTREAM", "SERVICE", "RACK", "ADDRESS", "HEALTH", "LEADER", "IN USE"], &rows)
}
