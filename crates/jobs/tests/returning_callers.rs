//! Load after the loss of many entries: callers that have waited already come back beside new ones.

mod support;

use hinge_jobs::{Answer, JobRequest, RejectCause};
use support::{HOME, Home, load, ms, request};

/// A job of one task of 200 ms whose caller has `budget_ms` left. Its objective is 380 ms, the timeout of its queue
/// 1,500 ms.
fn with_budget(id: &str, budget_ms: u64) -> JobRequest {
    JobRequest { budget: ms(budget_ms), ..request(id, 1, 200) }
}

fn is_rejected(answer: &Answer) -> bool {
    matches!(answer, Answer::Rejected { cause: RejectCause::Overload, .. })
}

/// Guards against a queue of answers that come too late for everyone: after a restart of all entries, jobs of callers
/// that had waited for over a second delayed those of new callers.
#[test]
fn a_returning_caller_does_not_wait_for_room_that_new_callers_can_use() {
    let mut home = Home::new(&[(HOME, load(1, 0, 200))]);
    home.submit(with_budget("first", 2_400));
    let returning = home.submit(with_budget("returning", 1_000));
    assert_eq!(home.assigned.len(), 1, "the caller has waited for 500 ms and can only be late");
    assert!(
        matches!(home.answers.as_slice(), [(number, answer)] if *number == returning && is_rejected(answer))
    );
    home.submit(with_budget("new", 2_400));
    assert_eq!(home.assigned.len(), 2, "a new caller can be in time after a wait");
    assert_eq!(home.answers.len(), 1);
}

/// Guards against a refusal of a returning caller while there is room: its earlier answer may only have been lost.
#[test]
fn a_returning_caller_is_served_where_there_is_room() {
    let mut home = Home::new(&[(HOME, load(4, 0, 200))]);
    home.submit(with_budget("first", 2_400));
    home.submit(with_budget("returning", 1_000));
    assert_eq!(home.assigned.len(), 2);
    assert!(home.answers.is_empty());
}

/// Guards against a caller that has waited only briefly and is treated like one that can only be late.
#[test]
fn a_caller_that_has_waited_briefly_still_waits_for_room() {
    let mut home = Home::new(&[(HOME, load(1, 0, 200))]);
    home.submit(with_budget("first", 2_400));
    home.submit(with_budget("returning", 1_450));
    assert_eq!(home.assigned.len(), 2);
}

/// Guards against callers that are all taken for returning ones, as after an operator has raised the timeout of a queue
/// above the time that its callers give.
#[test]
fn short_budgets_show_nothing_on_a_queue_whose_callers_all_have_them() {
    let mut home = Home::new(&[(HOME, load(300, 0, 200))]);
    for number in 0..100 {
        home.submit(with_budget(&format!("short-{number}"), 1_000));
    }
    home.set_load(HOME, load(0, 0, 200), u64::MAX);
    let before = home.assigned.len();
    home.submit(with_budget("last", 1_000));
    assert_eq!(home.assigned.len(), before + 1, "it waits for room");
}

/// Guards against returning callers that go unnoticed right after the start of the process, when the entry has seen no
/// other caller yet.
#[test]
fn the_first_callers_after_a_start_can_be_returning_ones() {
    let mut home = Home::new(&[(HOME, load(0, 0, 200))]);
    home.submit(with_budget("returning", 1_000));
    assert!(home.assigned.is_empty());
    assert!(is_rejected(&home.answers[0].1));
}
