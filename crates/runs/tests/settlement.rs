//! How an owner settles orders that were not answered, rejected, or overtaken by another owner.

#![allow(clippy::expect_used, reason = "tests")]

mod support;

use hinge_runs::{Event, HoldReply, Outcome, Rejection, StartReply};
use support::{HOME, Owner, first_hold, first_probe, first_start, ms, record};

/// Guards against a task that starts twice when the answer to its first start is lost but the run exists.
#[test]
fn an_unanswered_start_that_runs_is_not_repeated() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    let actions = owner.actions();
    let start = first_start(&actions);
    assert!(matches!(owner.upstream.start(&start), StartReply::Started { .. }));
    owner.handle(Event::StartEnded { reply: StartReply::Lost, start });
    owner.answer_all();
    assert_eq!(owner.upstream.running.len(), 1);
    owner.advance(150);
    let listing = owner.listing();
    owner.handle(listing);
    owner.answer_all();
    assert_eq!(owner.outcomes(1), [Outcome::Done]);
    assert_eq!(owner.upstream.next_end, 2, "one run in all");
}

/// Guards against a start order that is carried out seconds late, after the task was started again.
#[test]
fn an_unanswered_start_can_never_run_once_the_task_starts_again() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    let late = first_start(&owner.actions());
    owner.handle(Event::StartEnded { reply: StartReply::Lost, start: late.clone() });
    owner.answer_all();
    assert_eq!(owner.upstream.running.len(), 1, "the task was started again");
    assert_eq!(
        owner.upstream.start(&late),
        StartReply::Rejected { clock_ms: Some(5_000), reason: Rejection::Fenced }
    );
    assert_eq!(owner.upstream.running.len(), 1);
}

/// Guards against a lost answer that leaves the owner's own later orders fenced off.
#[test]
fn the_token_is_raised_by_a_probe_that_does_not_extend_a_foreign_lease() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    let start = first_start(&owner.actions());
    let fence = start.fence;
    owner.handle(Event::StartEnded { reply: StartReply::Lost, start });
    let probe = first_probe(&owner.actions()).expect("a probe");
    assert!(probe.fence > fence);
}

/// Guards against runs of a dead owner that its successor keeps alive by renewing the upstream's lease.
#[test]
fn a_new_owner_stops_what_it_did_not_start() {
    let mut first = Owner::new();
    first.assign(1, "job.0");
    first.answer_all();
    assert_eq!(first.upstream.running.len(), 1);
    let mut second = Owner::new();
    second.upstream = std::mem::replace(&mut first.upstream, support::FakeUpstream::new());
    second.handle(Event::Release("up-1".into()));
    second.handle(Event::Own { fence: 100, upstream: "up-1".into() });
    second.answer_all();
    assert_eq!(second.stops.len(), 1);
    assert!(second.upstream.running.is_empty());
}

/// Guards against an owner that goes on after another one has taken the upstream over.
#[test]
fn a_fenced_owner_gives_the_upstream_up() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    owner.answer_all();
    owner.upstream.fence = 1_000;
    owner.assign(2, "job.1");
    owner.answer_all();
    assert!(!owner.runner.owns(&"up-1".into()));
    assert_eq!(owner.outcomes(1), [Outcome::Uncertain]);
    assert!(owner.outcomes(2).is_empty(), "it waits for another upstream");
}

/// Guards against reports that a run has ended while its lease may still be alive.
#[test]
fn runs_of_a_silent_upstream_end_with_their_lease_and_not_before() {
    let (mut owner, actions) = Owner::with_run();
    let hold = first_hold(&actions);
    owner.now += ms(900);
    owner.handle(Event::HoldEnded { hold, reply: HoldReply::Lost });
    owner.now += ms(60);
    owner.handle(Event::Tick);
    let repeated = first_hold(&owner.actions());
    assert_eq!(repeated.lease_until_ms, None, "a lease that is not renewed ends for certain");
    assert!(owner.outcomes(1).is_empty());
    owner.now += ms(1_100);
    owner.handle(Event::HoldEnded { hold: repeated, reply: HoldReply::Lost });
    owner.actions();
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted]);
}

/// Guards against a task that stays lost when its upstream starts again under the same id.
#[test]
fn a_restarted_upstream_ends_what_ran_before() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    owner.answer_all();
    owner.upstream.restart();
    owner.handle(Event::Upstreams(vec![record("up-1", 2)]));
    owner.answer_all();
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted]);
    owner.assign(2, "job.1");
    owner.answer_all();
    assert_eq!(owner.upstream.running.len(), 1, "the new process is used");
}

/// Guards against a run that goes on although its caller has left.
#[test]
fn a_cancelled_run_is_stopped_and_its_home_learns_that_it_had_started() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    owner.answer_all();
    owner.handle(Event::Cancelled { assignment: 1, home: HOME });
    owner.answer_all();
    assert!(owner.upstream.running.is_empty());
    assert_eq!(owner.outcomes(1), [Outcome::Uncertain]);
}

/// Guards against a rejection "has not run" for a task whose start order is out.
#[test]
fn a_cancelled_queued_task_is_reported_as_not_started() {
    let mut owner = Owner::new();
    for id in 1..=3 {
        owner.assign(id, &format!("job.{id}"));
    }
    owner.answer_all();
    owner.handle(Event::Cancelled { assignment: 3, home: HOME });
    owner.actions();
    assert_eq!(owner.outcomes(3), [Outcome::NotStarted]);
}

/// Guards against runs that stay behind when the entry that answers their callers is gone.
#[test]
fn runs_of_a_lost_home_are_stopped() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    owner.answer_all();
    owner.handle(Event::HomeLost(HOME));
    owner.answer_all();
    assert!(owner.upstream.running.is_empty());
}

/// Guards against new work on an upstream that is leaving.
#[test]
fn a_draining_upstream_gets_no_new_task() {
    let mut owner = Owner::new();
    let mut leaving = record("up-1", 1);
    leaving.draining = true;
    owner.handle(Event::Upstreams(vec![leaving]));
    owner.assign(1, "job.0");
    owner.answer_all();
    assert!(owner.upstream.running.is_empty());
}

/// Guards against a run number that the upstream has seen before, as when a job is sent again to another entry.
#[test]
fn an_old_run_number_is_raised() {
    let mut owner = Owner::new();
    owner.upstream.highest_run.insert("job.0".into(), 5);
    owner.assign(1, "job.0");
    owner.answer_all();
    assert_eq!(owner.upstream.running.len(), 1);
    assert!(owner.upstream.running[0].id.run > 5);
}

/// Guards against a start order under way that is given up because the lease of earlier runs has expired long ago.
#[test]
fn a_lost_hold_says_nothing_about_a_start_under_way() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    owner.answer_all();
    owner.advance(150);
    let listing = owner.listing();
    owner.handle(listing);
    owner.actions();
    owner.advance(5_000);
    let acknowledgement = first_hold(&owner.actions());
    owner.assign(2, "job.1");
    owner.actions();
    owner.handle(Event::HoldEnded { hold: acknowledgement, reply: HoldReply::Lost });
    owner.actions();
    assert!(owner.outcomes(2).is_empty(), "the order may still be carried out");
}

/// Guards against taking a refused connection for the end of a process: a partition refuses connections too.
#[test]
fn a_refused_connection_does_not_end_runs() {
    let (mut owner, actions) = Owner::with_run();
    owner.handle(Event::HoldEnded { hold: first_hold(&actions), reply: HoldReply::Refused });
    owner.actions();
    assert!(owner.outcomes(1).is_empty());
}

/// Guards against an upstream without new work because one answer was lost: the pattern of a site where one order in
/// twenty is not answered.
#[test]
fn one_lost_answer_does_not_pause_an_upstream() {
    let (mut owner, actions) = Owner::with_run();
    owner.handle(Event::HoldEnded { hold: first_hold(&actions), reply: HoldReply::Lost });
    let repeated = first_hold(&owner.actions());
    owner.assign(2, "job.1");
    first_start(&owner.actions());
    owner.handle(Event::HoldEnded { hold: repeated, reply: HoldReply::Lost });
    owner.advance(60);
    let third = first_hold(&owner.actions());
    owner.handle(Event::HoldEnded { hold: third, reply: HoldReply::Lost });
    owner.assign(3, "job.2");
    assert!(!owner.actions().iter().any(|action| matches!(action, hinge_runs::Action::Start(_))));
}

/// Guards against a short run whose end is seen only after the timeout of a lost hold.
#[test]
fn an_overdue_run_is_asked_about() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    let start = first_start(&owner.actions());
    let reply = owner.upstream.start(&start);
    owner.handle(Event::StartEnded { reply, start });
    owner.advance(150);
    assert!(first_probe(&owner.actions()).is_none());
    owner.advance(30);
    let probe = first_probe(&owner.actions()).expect("a probe");
    let reply = owner.upstream.hold(&probe);
    owner.handle(Event::HoldEnded { hold: probe, reply });
    owner.actions();
    assert_eq!(owner.outcomes(1), [Outcome::Done]);
}
