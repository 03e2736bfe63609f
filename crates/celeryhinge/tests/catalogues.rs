//! Compares the catalogues in `docs/` with the code.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use celeryhinge::conf::{FLAGS, POLICY};
use celeryhinge::wire::{LogEvent, ResultCode};

type Names = BTreeSet<String>;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join(name)).unwrap()
}

/// Returns the cells of the table rows in the section below a heading, header row included.
fn rows(page: &str, heading: &str) -> Vec<Vec<String>> {
    let start = page.find(heading).unwrap() + heading.len();
    let section = page[start..].split("\n## ").next().unwrap();
    let lines = section.lines().filter(|line| line.starts_with("| ") && !line.contains("---"));
    lines.map(|line| line.split('|').map(|cell| cell.trim().trim_matches('`').to_owned()).collect()).collect()
}

/// Returns one column of the table below a heading, without its header.
fn column(page: &str, heading: &str, index: usize) -> Names {
    rows(page, heading).into_iter().skip(1).map(|mut cells| cells.swap_remove(index)).collect()
}

/// Returns the text of all sources without white space, so that calls over several lines are found too.
fn sources() -> String {
    let mut text = String::new();
    for package in fs::read_dir(root().join("crates")).unwrap() {
        let Ok(files) = fs::read_dir(package.unwrap().path().join("src")) else { continue };
        for file in files.map(|file| file.unwrap().path()).filter(|path| path.extension().is_some()) {
            text.extend(fs::read_to_string(file).unwrap().split_whitespace());
        }
    }
    text
}

/// Returns the text between each of `marks`, which end with an opening quote, and the closing quote.
fn literals(text: &str, marks: &[&str]) -> Names {
    let after = marks.iter().flat_map(|mark| text.split(*mark).skip(1));
    after.map(|rest| rest.split('"').next().unwrap().to_owned()).collect()
}

/// Guards against metrics without documentation, and against documentation of metrics that do not exist.
#[test]
fn documented_metrics_match_the_code() {
    let marks =
        ["metrics.count(\"", "metrics.gauge(\"", "gauge_with_tags(\"", "count_new(shared,\"", "=>\"answers_"];
    let mut code: Names = literals(&sources(), &marks[..4]);
    // The names of the counters of outcomes are the arms of a `match`.
    code.extend(literals(&sources(), &marks[4..]).into_iter().map(|name| format!("answers_{name}")));
    assert!(code.len() > 10, "{code:?}");
    assert_eq!(column(&page("docs/operators.md"), "## Metrics", 1), code);
}

/// Guards against result codes without documentation, and against documentation of codes that do not exist.
#[test]
fn documented_result_codes_match_the_code() {
    let code = |code: &ResultCode| format!("{} {} {}", code.number(), code.name(), code.outcome());
    let expected: Names = ResultCode::ALL.iter().map(code).collect();
    let text = page("docs/codes.md");
    let rows = rows(&text, "# Result codes");
    let listed: Names = rows.iter().skip(1).map(|cells| cells[1..4].join(" ")).collect();
    assert_eq!(listed, expected);
}

/// Guards against log events without documentation, and against documentation of events that do not exist.
#[test]
fn documented_log_events_match_the_code() {
    let event = |event: &LogEvent| format!("{} {} {}", event.number(), event.name(), event.level());
    let expected: Names = LogEvent::ALL.iter().map(event).collect();
    let text = page("docs/events.md");
    let rows = rows(&text, "# Log events");
    let listed: Names = rows.iter().skip(1).map(|cells| cells[1..4].join(" ")).collect();
    assert_eq!(listed, expected);
}

/// Guards against settings without documentation, and against documentation of settings that do not exist.
#[test]
fn documented_settings_match_the_code() {
    let text = page("docs/settings.md");
    let flags: Names = FLAGS.iter().map(|flag| flag.name.to_owned()).collect();
    let policy: Names = POLICY.iter().map(|setting| setting.name.to_owned()).collect();
    assert_eq!(column(&text, "## Process settings", 1), flags);
    assert_eq!(column(&text, "## Policy settings", 1), policy);
}

/// Guards against links to pages that were renamed or removed.
#[test]
fn linked_pages_exist() {
    let readme = page("README.md");
    let links: Names = readme
        .split("](")
        .skip(1)
        .map(|rest| rest.split([')', '#']).next().unwrap().to_owned())
        .filter(|link| link.ends_with(".md"))
        .collect();
    assert!(links.iter().filter(|link| link.starts_with("docs/")).count() >= 8, "{links:?}");
    for link in links {
        assert!(root().join(&link).is_file(), "{link}");
    }
}
