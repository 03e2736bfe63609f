//! Tasks under which upstreams are lost.

mod support;

use hinge_jobs::{Answer, FailCause};
use hinge_runs::{LostRun, Outcome, RunId};
use support::{HOME, Home, load, ms, request};

const OWNER_2: u64 = 2;

fn home() -> Home {
    Home::new(&[(HOME, load(8, 0, 60)), (OWNER_2, load(8, 0, 60))])
}

fn loss(task: &str, run: u64, upstream: &str) -> LostRun {
    LostRun { alone: true, run: RunId { task: task.into(), run }, upstream: upstream.into() }
}

/// Records, as after a message from another entry, that two upstreams were lost under the first task of job `a`.
fn record_two_losses(home: &mut Home) {
    for (run, upstream) in [(10, "up-1"), (11, "up-2")] {
        home.table.record_lost_run(home.now, loss("a.0.0.0", run, upstream));
    }
}

/// Guards against a task that crashes upstream after upstream for as long as its caller waits.
#[test]
fn a_task_that_crashes_its_upstreams_alone_is_not_started_a_third_time() {
    let mut home = home();
    let job = home.submit(request("a", 1, 60));
    home.report_lost(0, "up-1", false);
    assert_eq!(home.assigned.len(), 2);
    assert!(home.answers.is_empty());
    home.report_lost(1, "up-2", true);
    assert_eq!(home.assigned.len(), 2);
    assert_eq!(home.answers, [(job, Answer::Failed(FailCause::Crashes))]);
}

/// Guards against the same where other tasks run beside it on all of its upstreams.
#[test]
fn a_task_whose_upstreams_crash_is_not_started_a_fourth_time() {
    let mut home = home();
    let job = home.submit(request("a", 1, 60));
    for position in 0..3 {
        assert!(home.answers.is_empty());
        home.report_lost(position, &format!("up-{position}"), false);
    }
    assert_eq!(home.assigned.len(), 3);
    assert_eq!(home.answers, [(job, Answer::Failed(FailCause::Crashes))]);
}

/// Guards against the same where an upstream comes back under its id and is chosen again.
#[test]
fn two_losses_of_one_upstream_count_as_two() {
    let mut home = home();
    let job = home.submit(request("a", 1, 60));
    home.report_lost(0, "up-1", true);
    home.report_lost(1, "up-1", true);
    assert_eq!(home.answers, [(job, Answer::Failed(FailCause::Crashes))]);
}

/// Guards against a job that fails because its tasks ran beside tasks that crashed their upstreams, in a series of crashes
/// even twice, and against a loss that counts twice because several entries report it.
#[test]
fn tasks_that_ran_beside_crashing_ones_are_retried_and_complete() {
    let mut home = home();
    let job = home.submit(request("a", 2, 60));
    let repeated = LostRun { alone: false, ..loss("a.0.0.0", home.assigned[0].1.run, "up-1") };
    home.report_lost(0, "up-1", false);
    home.table.record_lost_run(home.now, repeated);
    home.report_lost(1, "up-1", false);
    assert_eq!(home.assigned.len(), 4);
    home.report_lost(2, "up-2", false);
    home.report(3, Outcome::Done);
    home.report(4, Outcome::Done);
    assert_eq!(home.answers, [(job, Answer::Completed)]);
}

/// Guards against a job that crashes two more upstreams each time its caller sends it again, perhaps to another entry, and
/// against "not run" in answer to it: its task has run.
#[test]
fn a_job_that_is_sent_again_starts_no_crashing_task() {
    let mut home = home();
    record_two_losses(&mut home);
    let job = home.submit(request("a", 4, 60));
    assert!(home.assigned.is_empty());
    assert_eq!(home.answers, [(job, Answer::Failed(FailCause::Crashes))]);
    home.submit(request("b", 4, 60));
    assert_eq!(home.assigned.len(), 4, "other jobs are not affected");
}

/// Guards against a start after a loss that became known while the task waited at its owner.
#[test]
fn a_returned_task_is_not_placed_again_once_its_losses_are_known() {
    for outcome in [Outcome::NotStarted, Outcome::Interrupted, Outcome::Failed] {
        let mut home = home();
        let job = home.submit(request("a", 1, 60));
        record_two_losses(&mut home);
        home.report(0, outcome);
        assert_eq!(home.assigned.len(), 1, "{outcome:?}");
        assert_eq!(home.answers, [(job, Answer::Failed(FailCause::Crashes))], "{outcome:?}");
    }
}

/// Guards against a job that never runs again because of losses long ago.
#[test]
fn losses_are_forgotten_after_a_minute() {
    let mut home = home();
    record_two_losses(&mut home);
    home.now += ms(60_000);
    home.submit(request("a", 1, 60));
    assert_eq!(home.assigned.len(), 1);
    assert_eq!(home.table.lost_runs().count(), 0);
}

/// Guards against a memory that grows without bound when a peer reports more losses, or longer names, than there can be.
#[test]
fn the_memory_of_losses_is_bounded() {
    let mut home = home();
    home.table.record_lost_run(home.now, loss(&"a".repeat(10_000), 1, "up-1"));
    home.table.record_lost_run(home.now, loss("a", 1, &"u".repeat(10_000)));
    assert_eq!(home.table.lost_runs().count(), 0);
    for run in 0..10_000 {
        home.table.record_lost_run(home.now, loss("a.0.0.0", run, "up-1"));
        home.table.record_lost_run(home.now, loss(&format!("job-{run}.0.0.0"), run, "up-1"));
    }
    assert_eq!(home.table.lost_runs().count(), 4_096);
}
