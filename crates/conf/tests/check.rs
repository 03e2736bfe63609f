//! Findings about configuration documents, one test for each kind.

#![allow(clippy::expect_used, reason = "test helpers")]

use hinge_conf::{Difference, Finding, Fleet, Severity, check, compare, decode, empty_document, validate};
use hinge_wire::ConfigDocument;

fn document(defaults: &str, exceptions: &str, quotas: &str) -> ConfigDocument {
    let text = format!(
        r#"{{"defaults":{{{defaults}}},"exceptions":[{exceptions}],"format_version":1,"operations":[],
            "team_quotas_per_s":{{{quotas}}}}}"#
    );
    decode(text.as_bytes()).expect("document")
}

fn exception(scope: &str, setting: &str, value: u64) -> String {
    let (kind, name) = scope.split_once(':').expect("scope");
    format!(
        r#"{{"author":"a","reason":"r","scope":{{"kind":"{kind}","name":"{name}"}},"setting":"{setting}",
            "value":{value}}}"#
    )
}

/// Severity, path and message of each finding.
fn findings(document: &ConfigDocument, fleet: &Fleet) -> Vec<(Severity, String, String)> {
    let parts = |Finding { message, path, severity }| (severity, path, message);
    check(document, fleet).into_iter().map(parts).collect()
}

fn paths(document: &ConfigDocument, fleet: &Fleet, severity: Severity) -> Vec<String> {
    let matching = findings(document, fleet).into_iter().filter(|(found, ..)| *found == severity);
    matching.map(|(_, path, _)| path).collect()
}

fn no_fleet() -> Fleet {
    Fleet::default()
}

/// Guards against a check that shows only the first error, or names the wrong field.
#[test]
fn all_rejected_fields_are_errors_with_their_paths() {
    let exceptions = [
        exception("team:t", "max_attempts", 2),
        exception("data_centre:dc1", "max_attempts", 99),
        exception("data_centre:dc1", "no_such", 1),
        exception("data_centre:a b", "max_attempts", 2),
        exception("data_centre:dc1", "max_attempts", 2),
        exception("data_centre:dc1", "max_attempts", 2).replace("\"r\"", "\" \""),
        exception("data_centre:dc1", "max_attempts", 1),
    ];
    let document = document("\"max_records\":true", &exceptions.join(","), "\"x y\":1,\"z\":1000001");
    let expected = [
        "defaults.max_records",
        "exceptions[0].scope",
        "exceptions[1].value",
        "exceptions[2].setting",
        "exceptions[3].scope",
        "exceptions[5].reason",
        "exceptions[6].scope",
        "team_quotas_per_s.x y",
        "team_quotas_per_s.z",
    ];
    assert_eq!(paths(&document, &no_fleet(), Severity::Error), expected);
    let first = findings(&document, &no_fleet()).swap_remove(0).2;
    assert_eq!(validate(&document).unwrap_err().to_string(), first, "an entry must give the same reason");
}

/// Guards against a contradiction of the fleet defaults that is repeated for each data centre, and against one of a
/// data centre that is missed or shown at the defaults.
#[test]
fn rejected_contradictions_are_errors_at_the_entry_that_causes_them() {
    let exceptions = [
        exception("data_centre:dc1", "max_records", 5000),
        exception("data_centre:dc2", "dead_after_ms", 1500),
    ];
    let document = document("\"eject_limit_ms\":4000", &exceptions.join(","), "");
    let expected = ["defaults.eject_limit_ms", "exceptions[1].value"];
    assert_eq!(paths(&document, &no_fleet(), Severity::Error), expected);
}

/// Guards against text that is not a document but passes, and against an entry's reply that is not understood.
#[test]
fn undecodable_text_is_an_error() {
    let finding = decode(br#"{"defaults":{},"extra":1}"#).unwrap_err();
    assert_eq!(finding.severity, Severity::Error);
    assert!(finding.message.contains("extra"), "{}", finding.message);
    assert_eq!(decode(br#"{"revision":0}"#), Ok(empty_document()));
}

/// Guards against a quota that operators believe in while an exception for the same team precedes it.
#[test]
fn quotas_that_an_exception_precedes_are_found() {
    let document = document("", &exception("team:t", "team_quota_per_s", 1000), "\"t\":5,\"u\":6");
    assert_eq!(paths(&document, &no_fleet(), Severity::Warning), ["team_quotas_per_s.t"]);
}

/// Guards against a data centre that was renamed or misspelt.
#[test]
fn exceptions_for_unknown_data_centres_are_found() {
    let exceptions =
        [exception("data_centre:dc1", "max_attempts", 2), exception("data_centre:dc9", "max_attempts", 2)];
    let document = document("", &exceptions.join(","), "");
    let fleet = Fleet { data_centres: vec!["dc1".into(), "dc2".into()], ..Fleet::default() };
    assert_eq!(paths(&document, &fleet, Severity::Warning), ["exceptions[1].scope"]);
    assert!(findings(&document, &no_fleet()).is_empty(), "the data centres are not known");
}

/// Guards against a missed exception without effect, and against a finding about one that has an effect because a data
/// centre has another value.
#[test]
fn exceptions_and_quotas_equal_to_the_default_are_found() {
    let exceptions = [
        exception("data_centre:dc1", "max_attempts", 2),
        exception("data_centre:dc1", "team_weight", 7),
        exception("team:t", "team_weight", 100),
        exception("team:t", "team_quota_per_s", 1000),
    ];
    let document = document("\"max_attempts\":2", &exceptions.join(","), "\"u\":1000");
    let expected = ["team_quotas_per_s.u", "exceptions[0].value", "exceptions[3].value"];
    assert_eq!(paths(&document, &no_fleet(), Severity::Warning), expected);
}

/// Guards against accepted limits of which one defeats the other.
#[test]
fn doubtful_limits_are_found() {
    let cases = [
        ("\"urgent_max_wait_ms\":6000", "above urgent_deadline_ms"),
        ("\"batch_target_wait_ms\":130000", "above batch_max_wait_ms"),
        ("\"query_deadline_ms\":900001", "above max_deadline_ms"),
        ("\"max_answer_bytes\":67108864,\"answer_memory_bytes\":1048576", "above answer_memory_bytes"),
        ("\"max_queued_tasks\":100", "above max_queued_tasks"),
        ("\"heartbeat_interval_ms\":2500", "above suspect_after_ms"),
        ("\"busy_backoff_ms\":6000", "above urgent_deadline_ms"),
        ("\"task_timeout_ms\":900001", "above max_deadline_ms"),
    ];
    for (defaults, expected) in cases {
        let found = findings(&document(defaults, "", ""), &no_fleet());
        let matches = |(severity, path, message): &(Severity, String, String)| {
            *severity == Severity::Warning && path.starts_with("defaults.") && message.contains(expected)
        };
        assert!(matches!(found.as_slice(), [finding] if matches(finding)), "{expected}: {found:?}");
    }
    let data_centre = document("", &exception("data_centre:dc1", "urgent_max_wait_ms", 6000), "");
    assert_eq!(paths(&data_centre, &no_fleet(), Severity::Warning), ["exceptions[0].value"]);
}

/// Guards against results that an entry's memory cannot hold.
#[test]
fn limits_beyond_the_memory_are_found() {
    let document = document("\"answer_memory_bytes\":134217729", "", "");
    let fleet = Fleet { memory_bytes: Some(128 << 20), ..Fleet::default() };
    assert_eq!(paths(&document, &fleet, Severity::Warning), ["defaults.answer_memory_bytes"]);
    assert!(findings(&document, &no_fleet()).is_empty(), "the memory is not known");
}

/// Guards against differences that are missed, and against an exception that only moved.
#[test]
fn differences_are_listed_by_path() {
    let (first, second) =
        (exception("data_centre:dc1", "max_attempts", 2), exception("team:t", "team_weight", 7));
    let old = document("\"max_records\":5000", &[first.clone(), second.clone()].join(","), "\"t\":5");
    let moved = document("\"max_records\":5000", &[second.clone(), first].join(","), "\"t\":5");
    assert_eq!(compare(&old, &moved), []);
    let new = document("\"max_records\":6000", &second, "\"u\":5");
    let difference = |path: &str, before: Option<&str>, after: Option<&str>| Difference {
        after: after.map(str::to_owned),
        before: before.map(str::to_owned),
        path: path.to_owned(),
    };
    let expected = [
        difference("defaults.max_records", Some("5000"), Some("6000")),
        difference("exceptions[data_centre:dc1].max_attempts", Some("2 (a: r)"), None),
        difference("team_quotas_per_s.t", Some("5"), None),
        difference("team_quotas_per_s.u", None, Some("5")),
    ];
    assert_eq!(compare(&old, &new), expected);
}

/// Guards against findings about the built-in defaults.
#[test]
fn the_empty_document_has_no_findings() {
    let fleet = Fleet { data_centres: vec!["dc1".into()], memory_bytes: Some(120 << 20) };
    assert_eq!(check(&empty_document(), &fleet), []);
}

/// Guards against an example for operators that the check objects to.
#[test]
fn the_document_of_the_operators_page_has_no_findings() {
    let page = include_str!("../../../docs/operators-cli.md");
    let example = page.split("```json\n").nth(1).and_then(|rest| rest.split("```").next()).unwrap();
    let document = decode(example.as_bytes()).unwrap();
    let fleet = Fleet { data_centres: vec!["dc1".into(), "dc2".into()], memory_bytes: Some(120 << 20) };
    assert_eq!(check(&document, &fleet), []);
    assert!(!document.exceptions.is_empty() && !document.team_quotas_per_s.is_empty());
}
