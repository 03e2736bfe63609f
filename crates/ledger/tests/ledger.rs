//! Result codes, outcomes and limits in specific situations.

mod support;

use std::time::Duration;

use hinge_conf::Policy;
use hinge_ledger::{Admission, Ledger, TaskEnd};
use hinge_wire::{Outcome, ResultCode, SubmissionState, TaskId};
use support::{body, key, origin, small_policy};
use tokio::time::Instant;

fn ledger(policy: &Policy, keys: u32) -> (Ledger, Instant) {
    let (mut ledger, now) = (Ledger::new(origin(), policy), Instant::now());
    assert_eq!(ledger.issue(now, keys).map(|keys| keys.len()), Ok(keys as usize));
    (ledger, now)
}

fn task(sequence: u64, index: u32) -> TaskId {
    TaskId { sequence, index }
}

/// Guards against result codes that are wrong about execution, for keys with and without a record.
#[test]
fn admission_by_key_state() {
    let (mut ledger, now) = ledger(&small_policy(), 3);
    assert_eq!(ledger.status(now, &key(1)), Err(ResultCode::KeyUnused));
    let mut admit =
        |at, key: &_, code| assert_eq!(ledger.admit(at, key, body(0, false)), Admission::Rejected(code));
    admit(now, &key(9), ResultCode::KeyUnknown);
    let earlier = hinge_wire::SubmissionKey { incarnation: 6, ..key(1) };
    admit(now, &earlier, ResultCode::OwnerGone);
    let elsewhere = hinge_wire::SubmissionKey { data_centre: "dc2".into(), ..key(1) };
    admit(now, &elsewhere, ResultCode::OwnerUnreachable);
    let last = now + Duration::from_millis(999);
    assert_eq!(ledger.admit(last, &key(2), body(0, false)), Admission::New(2));
    let expiry = now + Duration::from_millis(1000);
    assert_eq!(ledger.admit(expiry, &key(1), body(0, false)), Admission::Rejected(ResultCode::KeyExpired));
    assert_eq!(ledger.admit(expiry, &key(2), body(0, true)), Admission::Rejected(ResultCode::KeyReused));
    assert_eq!(ledger.admit(expiry, &key(2), body(0, false)), Admission::Known(2));
}

/// Guards against a start after "not run" was reported, whether or not the rejection kept a record.
#[test]
fn rejection_is_final_for_the_key() {
    let (mut ledger, now) = ledger(&small_policy(), 8);
    for sequence in 1..=6 {
        assert_eq!(ledger.admit(now, &key(sequence), body(1, false)), Admission::New(sequence));
    }
    let full = Admission::Rejected(ResultCode::RecordsFull);
    assert_eq!(ledger.admit(now, &key(7), body(1, false)), full);
    let completion = ledger.reject(now, 1, ResultCode::Overloaded).unwrap();
    assert_eq!((completion.answer.outcome, completion.unfinished.len()), (Outcome::FailedNotRun, 3));
    assert_eq!((ledger.records(), ledger.in_progress()), (5, 5));
    assert_eq!(ledger.admit(now, &key(7), body(1, false)), full);
    assert_eq!(ledger.admit(now, &key(1), body(1, false)), Admission::Rejected(ResultCode::Overloaded));
    assert!(!ledger.start(now, task(1, 0), false));
    assert_eq!(ledger.status(now, &key(1)).unwrap().answer.unwrap().code, ResultCode::Overloaded.number());
    assert!(ledger.start(now, task(2, 0), false));
    assert_eq!(ledger.reject(now, 2, ResultCode::Overloaded), None);

    // Shortly before the key expires, the record is kept for the retention time.
    let late = now + Duration::from_millis(900);
    assert!(ledger.reject(late, 3, ResultCode::DeadlineInQueue).is_some());
    ledger.expire(late + Duration::from_millis(499));
    assert_eq!(ledger.admit(late, &key(3), body(1, false)), Admission::Known(3));
    ledger.expire(late + Duration::from_millis(500));
    assert_eq!(ledger.status(late, &key(3)), Err(ResultCode::KeyExpired));
}

/// Guards against a wrong outcome of a failed job. In each case task 0 ends as listed while task 1 is pending (0),
/// running (1) or done (2).
#[test]
fn outcome_of_a_failed_job() {
    let not_started = || TaskEnd::NotStarted(ResultCode::NoUpstream);
    let cases = [
        (0, TaskEnd::Failed("exit 1".into()), ResultCode::TaskFailed),
        (0, TaskEnd::Lost, ResultCode::TaskLost),
        (2, TaskEnd::TimedOut, ResultCode::TaskTimeout),
        (0, not_started(), ResultCode::NoUpstream),
        (1, not_started(), ResultCode::TaskLost),
        (2, not_started(), ResultCode::JobIncomplete),
    ];
    for (other, end, code) in cases {
        let (mut ledger, now) = ledger(&small_policy(), 1);
        ledger.admit(now, &key(1), body(1, false));
        assert!(ledger.start(now, task(1, 0), false));
        if matches!(end, TaskEnd::NotStarted(_)) {
            ledger.withdraw_start(task(1, 0));
            assert_eq!(ledger.status(now, &key(1)).unwrap().state, SubmissionState::Queued);
        }
        assert!(ledger.start(now, task(1, 1), false));
        match other {
            0 => ledger.withdraw_start(task(1, 1)),
            1 => {}
            _ => assert_eq!(ledger.end(now, task(1, 1), TaskEnd::Done("r".into())), None),
        }
        let completion = ledger.end(now, task(1, 0), end).unwrap();
        assert_eq!(completion.answer.code, code.number(), "{other}");
        assert_eq!(completion.unfinished.len(), if other == 2 { 2 } else { 3 });
    }
}

/// Guards against late, duplicate and mismatched task ends that change a submission or are not counted.
#[test]
fn unmatched_task_ends_are_counted() {
    let (mut ledger, now) = ledger(&small_policy(), 2);
    ledger.admit(now, &key(1), body(1, false));
    ledger.start(now, task(1, 0), false);
    let mut end =
        |sequence, index| ledger.end(now, task(sequence, index), TaskEnd::Done("r".into())).is_some();
    assert!(!end(1, 0) && !end(1, 0) && !end(1, 1) && !end(1, 3) && !end(2, 0));
    assert!(ledger.cancel(now, 1).is_some_and(|ended| ended.answer.outcome == Outcome::FailedMayHaveRun));
    assert_eq!(ledger.end(now, task(1, 1), TaskEnd::Lost), None);
    let ignored = ledger.ignored_ends();
    let counts = (ignored.duplicate, ignored.not_started, ignored.unknown, ignored.submission_ended);
    assert_eq!(counts, (1, 1, 2, 1));
}

/// Guards against results that could not be kept and an answer that says complete without them, or that the tasks have not run.
#[test]
fn an_answer_without_all_results_says_that_its_tasks_ran() {
    let (mut ledger, now) = ledger(&small_policy(), 1);
    ledger.admit(now, &key(1), body(1, false));
    for index in 0..3 {
        assert!(ledger.start(now, task(1, index), false));
    }
    assert_eq!(ledger.end(now, task(1, 0), TaskEnd::Discarded), None);
    assert_eq!(ledger.end(now, task(1, 1), TaskEnd::Done("kept".into())), None);
    let answer = ledger.end(now, task(1, 2), TaskEnd::Done("kept".into())).unwrap().answer;
    assert_eq!(answer.code, ResultCode::AnswerEvicted.number());
    assert_eq!((answer.outcome, answer.results.len()), (Outcome::FailedRan, 0));
}

/// Guards against answers beyond the memory limit, and against an evicted answer whose outcome is not "ran".
#[test]
fn oldest_answers_are_evicted() {
    let (mut ledger, now) = ledger(&Policy { max_answer_bytes: 60, ..small_policy() }, 4);
    for sequence in 1..=4 {
        ledger.admit(now, &key(sequence), body(2, false));
        assert!(ledger.start(now, task(sequence, 0), false));
        let size = if sequence == 4 { 61 } else { 30 };
        let completion = ledger.end(now, task(sequence, 0), TaskEnd::Done("x".repeat(size))).unwrap();
        assert_eq!(completion.answer.code == ResultCode::AnswerTooLarge.number(), sequence == 4);
    }
    let code = |sequence| ledger.status(now, &key(sequence)).unwrap().answer.unwrap().code;
    assert_eq!(
        [1, 2, 3].map(code),
        [ResultCode::AnswerEvicted, ResultCode::Complete, ResultCode::Complete].map(ResultCode::number)
    );
    ledger.expire(now + Duration::from_millis(1000));
    assert_eq!((ledger.records(), ledger.answer_bytes()), (0, 0));
}

/// Guards against unbounded memory use when callers request keys that they never use.
#[test]
fn issued_keys_are_bounded() {
    let (mut ledger, now) = ledger(&small_policy(), 96);
    assert_eq!(ledger.issue(now, 1), Err(ResultCode::RecordsFull));
    assert_eq!(ledger.issue(now, 0), Err(ResultCode::InvalidField));
    assert!(ledger.issue(now + Duration::from_secs(1), 96).is_ok());
}
