//! Runs the examples of `docs/callers.md` in order against an entry and compares the responses.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hinge_demo::{Cluster, Options};
use serde_json::Value;
use support::http;

const PAGE: &str = include_str!("../../../docs/callers.md");
/// Fields whose values are times, which differ between runs.
const TIMES: [&str; 2] = ["queued_ms", "total_ms"];

/// Values of the placeholders, such as `$KEY`, in the examples.
type Names = BTreeMap<String, String>;

/// Returns the text of each fenced block marked `http`. Requests and their responses alternate.
fn blocks() -> Vec<&'static str> {
    PAGE.split("```http\n").skip(1).map(|rest| rest.split("```").next().unwrap().trim_end()).collect()
}

/// Replaces the placeholders in a request by their values.
fn substitute(text: &str, names: &Names) -> String {
    names.iter().fold(text.to_owned(), |text, (name, value)| text.replace(name, value))
}

/// Compares a response with the page. A placeholder without a value takes the actual one.
fn compare(expected: &Value, actual: &Value, names: &mut Names) -> Result<(), String> {
    match (expected, actual) {
        (Value::String(name), Value::String(value)) if name.starts_with('$') => {
            let known = names.entry(name.clone()).or_insert_with(|| value.clone());
            if known == value { Ok(()) } else { Err(format!("{name} is {known} and not {value}")) }
        }
        (Value::Array(expected), Value::Array(actual)) if expected.len() == actual.len() => {
            expected.iter().zip(actual).try_for_each(|(expected, actual)| compare(expected, actual, names))
        }
        (Value::Object(expected), Value::Object(actual)) if expected.keys().eq(actual.keys()) => {
            expected.iter().try_for_each(|(field, expected)| match &actual[field] {
                Value::Number(_) if TIMES.contains(&field.as_str()) => Ok(()),
                actual => compare(expected, actual, names).map_err(|error| format!("{field}: {error}")),
            })
        }
        _ if expected == actual => Ok(()),
        _ => Err(format!("expected {expected}, got {actual}")),
    }
}

fn run_example(address: SocketAddr, request: &str, response: &str, names: &mut Names) {
    let (head, body) = request.split_once("\n\n").unwrap_or((request, ""));
    let (method, path) = head.split_once(' ').unwrap();
    let (status, expected) = response.split_once("\n\n").unwrap();
    let body = substitute(body, names);
    let (actual_status, actual) = http(address, method, &substitute(path, names), body.as_bytes());
    let actual: Value = serde_json::from_slice(&actual).unwrap();
    assert_eq!(actual_status.to_string(), status, "{request}: {actual}");
    let expected: Value = serde_json::from_str(expected).unwrap();
    assert_eq!(compare(&expected, &actual, names), Ok(()), "{request}");
}

/// Guards against examples that differ from the responses of an entry.
#[test]
fn examples_match_the_responses_of_an_entry() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let options = Options { entries: 1, upstreams: 2, ..Options::default() };
    let cluster = runtime.block_on(Cluster::start(&options)).unwrap();
    let blocks = blocks();
    assert!(blocks.len() >= 28 && blocks.len().is_multiple_of(2), "{} blocks", blocks.len());
    let mut names = Names::new();
    for example in blocks.chunks(2) {
        run_example(cluster.addresses()[0], example[0], example[1], &mut names);
    }
    assert_eq!(runtime.block_on(cluster.stop()), 0);
}

/// Guards against a comparison that accepts wrong responses.
#[test]
fn wrong_responses_are_detected() {
    let parse = |text: &str| serde_json::from_str::<Value>(text).unwrap();
    let expected = parse(r#"{"key": "$KEY", "results": ["a"], "total_ms": 5}"#);
    let mut names = Names::new();
    assert!(
        compare(&expected, &parse(r#"{"key": "k1", "results": ["a"], "total_ms": 9}"#), &mut names).is_ok()
    );
    for wrong in [
        r#"{"key": "k2", "results": ["a"], "total_ms": 5}"#,
        r#"{"key": "k1", "results": ["b"], "total_ms": 5}"#,
        r#"{"key": "k1", "results": [], "total_ms": 5}"#,
        r#"{"key": "k1", "results": ["a"]}"#,
    ] {
        assert!(compare(&expected, &parse(wrong), &mut names).is_err(), "{wrong}");
    }
}
