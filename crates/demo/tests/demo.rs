//! The demonstration from start to stop.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::time::Duration;

use hinge_demo::{Options, Report, Row, run};
use hinge_wire::Outcome;

/// Guards against changes of other crates that break the demonstration.
#[tokio::test(flavor = "multi_thread")]
async fn every_answer_is_as_expected() {
    let options = Options { duration_ms: 500, ..Options::default() };
    let report = run(&options, |_| async {}).await.unwrap();
    assert!(report.is_as_expected(), "{report}");
    assert_eq!(report.rows.len(), 7);
}

/// Guards against a verdict that ignores a wrong answer, a failed check or a part of the workload without answers.
#[test]
fn any_failure_or_missing_answer_fails_the_report() {
    let mut good = Row::new("good");
    good.add_answer(Duration::from_millis(5), Ok(Outcome::Complete));
    let mut bad = good.clone();
    bad.add_answer(Duration::from_millis(7), Err("another result".to_owned()));
    assert!(Report::new(vec![good.clone()]).is_as_expected());
    assert!(!Report::new(vec![good.clone(), bad]).is_as_expected());
    assert!(!Report::new(vec![good.clone(), Row::new("empty")]).is_as_expected());
    assert!(!Report::new(Vec::new()).is_as_expected());
    let mut failed = Report::new(vec![good]);
    failed.add_failure("a task was started twice".to_owned());
    assert!(!failed.is_as_expected());
}

/// Guards against options that start a cluster or a load of unbounded size.
#[tokio::test]
async fn options_out_of_range_are_rejected() {
    for options in [
        Options { duration_ms: 60_001, ..Options::default() },
        Options { entries: 0, ..Options::default() },
        Options { entries: 9, ..Options::default() },
        Options { upstreams: 51, ..Options::default() },
    ] {
        assert!(run(&options, |_| async {}).await.is_err());
    }
}
