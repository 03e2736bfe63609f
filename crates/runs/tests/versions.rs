//! Messages between entries of different versions, as during a rolling restart.

#![allow(clippy::unwrap_used, reason = "tests")]

use hinge_runs::{Outcome, TaskReport};
use hinge_wire::{UpstreamId, from_msgpack, to_msgpack};
use serde::{Deserialize, Serialize};

/// The report before `ends_within_ms` was added.
#[derive(Debug, Deserialize, Eq, PartialEq, Serialize)]
struct EarlierReport {
    assignment: u64,
    outcome: Outcome,
    run: u64,
    run_time_ms: u64,
    upstream: Option<UpstreamId>,
}

fn earlier_report() -> EarlierReport {
    EarlierReport {
        assignment: 3,
        outcome: Outcome::Uncertain,
        run: 7,
        run_time_ms: 60,
        upstream: Some("up-1".into()),
    }
}

/// Guards against a link that breaks because an entry before the change cannot decode a report, or the other way round.
#[test]
fn reports_are_decoded_by_entries_before_and_after_the_new_field() {
    let received: TaskReport = from_msgpack(&to_msgpack(&earlier_report()).unwrap()).unwrap();
    assert_eq!((received.assignment, received.ends_within_ms), (3, None));
    let sent = TaskReport { ends_within_ms: Some(700), ..received };
    let decoded: EarlierReport = from_msgpack(&to_msgpack(&sent).unwrap()).unwrap();
    assert_eq!(decoded, earlier_report());
}

/// Guards against a link that breaks when a task is returned because of an evacuation.
#[test]
fn returns_for_an_evacuation_are_decoded_by_entries_before_the_change() {
    let sent = TaskReport { place_again: true, ..TaskReport::new(3, Outcome::NotStarted, 7) };
    let decoded: EarlierReport = from_msgpack(&to_msgpack(&sent).unwrap()).unwrap();
    assert_eq!((decoded.assignment, decoded.outcome), (3, Outcome::NotStarted));
    let received: TaskReport = from_msgpack(&to_msgpack(&earlier_report()).unwrap()).unwrap();
    assert!(!received.place_again);
}
