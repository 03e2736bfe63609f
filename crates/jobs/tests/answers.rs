//! What a job's answer says, and when its tasks are repeated.

mod support;

use hinge_jobs::{Answer, FailCause, RejectCause};
use hinge_runs::Outcome;
use support::{Home, OWN, load, ms, request};

fn rejected(answer: Answer) -> bool {
    matches!(answer, Answer::Rejected { cause: RejectCause::Overload, .. })
}

/// Guards against an answer that is not whole.
#[test]
fn a_job_is_complete_when_all_tasks_are_done() {
    let mut home = Home::new(&[(OWN, load(8, 0, 60))]);
    let job = home.submit(request("a", 2, 60));
    home.report(0, Outcome::Done);
    assert!(home.answers.is_empty());
    home.report(1, Outcome::Done);
    assert_eq!(home.answers, [(job, Answer::Completed)]);
}

/// Guards against a job shown as failed while attempts are left, and against attempts without end.
#[test]
fn a_task_is_repeated_until_its_attempts_are_used_up() {
    let mut home = Home::new(&[(OWN, load(8, 0, 60))]);
    let job = home.submit(request("a", 1, 60));
    home.report(0, Outcome::Failed);
    assert!(home.answers.is_empty());
    assert_eq!(home.assigned.len(), 2);
    let again = &home.assigned[1].1;
    assert!(again.run > home.assigned[0].1.run);
    assert_eq!(again.avoid.as_deref(), Some("up-1"));
    home.report(1, Outcome::Failed);
    assert_eq!(home.answers, [(job, Answer::Failed(FailCause::Attempts))]);
}

/// Guards against counting a lost run as an attempt.
#[test]
fn an_interrupted_run_uses_up_no_attempt() {
    let mut home = Home::new(&[(OWN, load(8, 0, 60))]);
    home.submit(request("a", 1, 60));
    for position in 0..4 {
        home.report(position, Outcome::Interrupted);
    }
    assert!(home.answers.is_empty());
    assert_eq!(home.assigned.len(), 5);
}

/// Guards against a second run beside one that may still exist.
#[test]
fn nothing_is_repeated_while_a_run_may_exist() {
    let mut home = Home::new(&[(OWN, load(8, 0, 60)), (2, load(8, 0, 60))]);
    let job = home.submit(request("a", 16, 60));
    let before = home.assigned.len();
    home.table.owner_lost(home.now, 2);
    home.collect();
    assert_eq!(home.answers, [(job, Answer::Failed(FailCause::Interrupted))]);
    assert_eq!(home.assigned.len(), before);
    assert!(home.cancelled.iter().all(|(owner, _)| *owner == OWN));
    assert!(!home.cancelled.is_empty());
}

/// Guards against "has not run" for a job one of whose tasks has started.
#[test]
fn a_job_is_rejected_late_only_when_every_owner_confirms_that_nothing_started() {
    let mut home = Home::new(&[(OWN, load(0, 0, 60))]);
    let job = home.submit(request("a", 3, 60));
    home.report(0, Outcome::NotStarted);
    assert_eq!(home.cancelled.len(), 2, "the others are taken back");
    assert!(home.answers.is_empty());
    home.report(1, Outcome::NotStarted);
    home.report(2, Outcome::NotStarted);
    assert!(home.answers.iter().all(|(number, answer)| *number == job && rejected(*answer)));
    assert_eq!(home.answers.len(), 1);

    let mut home = Home::new(&[(OWN, load(0, 0, 60))]);
    home.submit(request("b", 2, 60));
    home.report(0, Outcome::NotStarted);
    home.report(1, Outcome::Uncertain);
    assert_eq!(home.answers[0].1, Answer::Failed(FailCause::Late));
}

/// Guards against throwing away what a job has done because its last task found no room in time.
#[test]
fn a_job_that_has_begun_is_finished_late() {
    let mut home = Home::new(&[(OWN, load(8, 0, 60))]);
    let job = home.submit(request("a", 2, 60));
    home.report(0, Outcome::Started);
    home.report(1, Outcome::NotStarted);
    assert_eq!(home.assigned.len(), 3);
    home.report(0, Outcome::Done);
    home.report(2, Outcome::Done);
    assert_eq!(home.answers, [(job, Answer::Completed)]);
}

/// Guards against a caller that waits for an answer that can no longer come in time.
#[test]
fn a_job_that_cannot_start_in_time_is_rejected_at_once() {
    let mut home = Home::new(&[(OWN, load(0, 40, 200))]);
    home.submit(request("a", 2, 60));
    assert!(rejected(home.answers[0].1));
    assert!(home.assigned.is_empty());
}

/// Guards against jobs that wait for owners that do not exist.
#[test]
fn without_owners_a_job_is_rejected_at_once() {
    let mut home = Home::new(&[]);
    home.submit(request("a", 1, 60));
    assert!(matches!(home.answers[0].1, Answer::Rejected { cause: RejectCause::NoOwner, .. }));
}

/// Guards against work that goes on for a caller that has left.
#[test]
fn an_abandoned_job_is_cancelled_everywhere() {
    let mut home = Home::new(&[(OWN, load(1, 0, 60)), (2, load(1, 0, 60))]);
    let job = home.submit(request("a", 2, 60));
    home.table.abandon(home.now, job);
    home.collect();
    assert_eq!(home.cancelled.len(), 2);
    home.report(0, Outcome::Done);
    assert!(home.answers.is_empty());
}

/// Guards against callers that wait longer than they said.
#[test]
fn a_job_ends_with_its_callers_time() {
    let mut home = Home::new(&[(OWN, load(8, 0, 60))]);
    let job = home.submit(request("a", 1, 60));
    home.now += ms(2_000);
    home.table.tick(home.now);
    home.collect();
    assert_eq!(home.answers, [(job, Answer::Failed(FailCause::Late))]);
    assert_eq!(home.cancelled.len(), 1);
}

/// Guards against a late report of an earlier run that ends the job's current one.
#[test]
fn a_report_counts_only_for_its_own_assignment_and_owner() {
    let mut home = Home::new(&[(OWN, load(8, 0, 60))]);
    home.submit(request("a", 1, 60));
    let report = hinge_runs::TaskReport::new(home.assigned[0].1.id, Outcome::Done, 100);
    home.table.report(home.now, 9, &report);
    home.collect();
    assert!(home.answers.is_empty());
    home.report(0, Outcome::Done);
    home.report(0, Outcome::Done);
    assert_eq!(home.answers.len(), 1);
}

/// Guards against refusing callers in the moment after a start: the pattern of a whole system that comes back, where jobs
/// arrive before the first upstream has been taken over.
#[test]
fn a_job_waits_for_the_first_owner_of_an_entry_that_starts() {
    let mut home = Home::new(&[]);
    home.table.expect_owners(home.now + ms(1_000));
    let job = home.submit(request("a", 2, 60));
    assert!(home.answers.is_empty());
    home.now += ms(50);
    home.set_load(OWN, load(2, 0, 60), 0);
    home.collect();
    assert_eq!(home.assigned.len(), 2);
    home.report(0, Outcome::Done);
    home.report(1, Outcome::Done);
    assert_eq!(home.answers, [(job, Answer::Completed)]);
}

/// Guards against a job that waits for owners which do not come for longer than it can be of use.
#[test]
fn a_job_is_rejected_when_no_owner_comes_within_its_slack() {
    let mut home = Home::new(&[]);
    home.table.expect_owners(home.now + ms(1_000));
    // 60 ms at a stretch of 1.6 and a target of 60 ms leave 96 ms.
    home.submit(request("a", 2, 60));
    home.now += ms(90);
    home.table.tick(home.now);
    home.collect();
    assert!(home.answers.is_empty());
    home.now += ms(10);
    home.table.tick(home.now);
    home.collect();
    let (_, answer) = home.answers[0];
    assert!(matches!(answer, Answer::Rejected { cause: RejectCause::NoOwner, .. }));
}

/// Guards against work for a caller that will have left before it ends.
#[test]
fn a_job_that_must_wait_is_rejected_when_its_caller_leaves_too_soon() {
    let mut home = Home::new(&[(OWN, load(0, 6, 60))]);
    let mut impatient = request("a", 1, 60);
    impatient.budget = ms(70);
    home.submit(impatient);
    assert!(rejected(home.answers[0].1));
    home.submit(request("b", 1, 60));
    assert_eq!(home.assigned.len(), 1);
}

/// Guards against admitting jobs whose queue has fallen behind: the pattern of a burst, where more urgent work overtakes
/// them and the owners' reports foresee a short wait, so that all of them end late.
#[test]
fn a_queue_that_has_waited_for_most_of_its_slack_admits_no_job_that_has_to_wait() {
    let mut home = Home::new(&[(OWN, load(0, 0, 60))]);
    home.submit(request("a", 1, 60));
    home.now += ms(40);
    home.submit(request("b", 1, 60));
    assert!(home.answers.is_empty(), "1.5 times 40 ms is within the slack of 96 ms");
    home.now += ms(30);
    home.submit(request("c", 1, 60));
    assert!(rejected(home.answers[0].1));
    home.set_load(2, load(1, 0, 60), 0);
    home.submit(request("d", 1, 60));
    assert_eq!(home.answers.len(), 1, "room at once is used");
}
