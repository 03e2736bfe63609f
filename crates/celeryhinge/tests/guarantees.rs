//! Checks that the tests listed in `docs/GUARANTEES.md` exist.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> String {
    std::fs::read_to_string(root().join("docs/GUARANTEES.md")).unwrap()
}

/// Returns the names of the form `crate/file::test` in a text.
fn named_tests(text: &str) -> Vec<&str> {
    text.split('`').skip(1).step_by(2).filter(|code| code.contains("::")).collect()
}

/// Whether `crate/file::test` names a test that is not ignored.
fn is_test(name: &str) -> bool {
    let Some((path, test)) = name.split_once("::") else { return false };
    let Some((package, file)) = path.split_once('/') else { return false };
    let directory =
        if package == "platform" { root().join(package) } else { root().join("crates").join(package) };
    let path = directory.join(format!("tests/{file}.rs"));
    let Ok(source) = std::fs::read_to_string(path) else { return false };
    let Some(position) = source.find(&format!("fn {test}(")) else { return false };
    // The attributes are between the empty line after the previous item and the function.
    let attributes = source[..position].rsplit("\n\n").next().unwrap_or_default();
    let is_marked = attributes.contains("#[test]") || attributes.contains("#[tokio::test");
    is_marked && !attributes.contains("#[ignore")
}

/// Guards against listed tests that were renamed or removed.
#[test]
fn named_tests_exist() {
    let page = page();
    let missing: Vec<_> = named_tests(&page).into_iter().filter(|name| !is_test(name)).collect();
    assert!(missing.is_empty(), "no such tests: {missing:#?}");
}

/// Guards against an invariant that has no row or lists no test.
#[test]
fn each_invariant_names_tests() {
    let page = page();
    for number in 1..=8 {
        let row = page.lines().find(|line| line.starts_with(&format!("| {number} |")));
        assert!(row.is_some_and(|row| !named_tests(row).is_empty()), "invariant {number}");
    }
}

/// Guards against a check that accepts any name.
#[test]
fn unknown_tests_are_detected() {
    assert!(is_test("celeryhinge/guarantees::named_tests_exist"));
    assert!(is_test("platform/decoding::settings_are_validated"));
    let absent = ["celeryhinge/guarantees::absent", "platform/decoding::absent", "none/none::none"];
    for name in absent.into_iter().chain(["celeryhinge/guarantees::is_test"]) {
        assert!(!is_test(name), "{name}");
    }
}
