//! Runs that go on after their owner has reported their end or their caller has given them up, so that a second run of the
//! same task would be concurrent with them (incident `docs/incidents/two-runs-at-a-time.md`).

#![allow(clippy::expect_used, reason = "tests")]

mod support;

use hinge_runs::{Action, Event, HoldReply, Outcome, Rejection, StartReply};
use support::{FakeUpstream, HOME, Owner, first_hold, first_start, ms, own, record, token};

/// Lets the first assignment's run end and checks that its task was done in a single run.
fn assert_done_in_one_run(owner: &mut Owner) {
    owner.advance(150);
    let listing = owner.listing();
    owner.handle(listing);
    owner.actions();
    assert_eq!(owner.outcomes(1), [Outcome::Done]);
    assert_eq!(owner.upstream.next_end, 2, "one run in all");
}

/// Guards against a run that was given up during a suspension of the process and goes on unnoticed: its lease is still
/// valid, and later runs beside it renew it.
#[test]
fn a_run_given_up_in_a_suspension_is_stopped() {
    let (mut owner, _) = Owner::with_run();
    owner.now += ms(650);
    owner.handle(Event::Suspended);
    assert_eq!(owner.upstream.running.len(), 1, "the lease is still valid");
    owner.answer_all();
    assert_eq!(owner.outcomes(1), [Outcome::Uncertain]);
    assert!(owner.upstream.running.is_empty());
}

/// Guards against a renewal without an answer that is executed seconds later and extends the lease of runs whose owner has
/// been lost or has given them up meanwhile.
#[test]
fn an_unanswered_renewal_is_fenced_by_the_next_hold() {
    let (mut owner, actions) = Owner::with_run();
    let renewal = first_hold(&actions);
    assert!(renewal.lease_until_ms.is_some());
    owner.handle(Event::HoldEnded { hold: renewal.clone(), reply: HoldReply::Lost });
    let next = first_hold(&owner.actions());
    let reply = owner.upstream.hold(&next);
    owner.handle(Event::HoldEnded { hold: next, reply });
    owner.answer_all();
    assert_eq!(owner.upstream.hold(&renewal), HoldReply::Rejected(Rejection::Fenced));
    assert_eq!(owner.upstream.running.len(), 1, "the run goes on");
    assert!(owner.outcomes(1).is_empty());
}

/// Guards against a start order for an earlier process of an upstream that its next process executes after the task was
/// started elsewhere: a new process has seen no fencing token yet.
#[test]
fn a_run_that_a_restarted_upstream_has_started_late_is_not_repeated() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    let late = first_start(&owner.actions());
    owner.restart_upstream();
    let takeover = owner.actions();
    assert!(owner.outcomes(1).is_empty(), "the order may still be executed");
    assert!(matches!(owner.upstream.start(&late), StartReply::Started { .. }));
    for action in takeover {
        owner.answer(action);
    }
    owner.answer_all();
    assert!(owner.outcomes(1).is_empty(), "the new process runs the task");
    assert_done_in_one_run(&mut owner);
}

/// Guards against a run that is repeated elsewhere because the restart before it is noticed late: its order was sent to the
/// earlier process and answered by the next one, which has the same id.
#[test]
fn a_run_of_a_new_process_goes_on_when_the_restart_is_noticed() {
    let mut owner = Owner::new();
    owner.upstream.restart();
    owner.assign(1, "job.0");
    let start = first_start(&owner.actions());
    let reply = owner.upstream.start(&start);
    assert!(matches!(reply, StartReply::Started { .. }), "{reply:?}");
    owner.handle(Event::StartEnded { reply, start });
    owner.handle(Event::Upstreams(vec![record("up-1", 2)]));
    owner.answer_all();
    assert!(owner.outcomes(1).is_empty(), "the run goes on");
    assert_done_in_one_run(&mut owner);
}

/// Guards against a start order for an earlier process that is executed after the next process has listed its runs.
#[test]
fn a_late_start_is_fenced_by_a_restarted_upstream() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    let late = first_start(&owner.actions());
    owner.restart_upstream();
    owner.answer_all();
    let reply = owner.upstream.start(&late);
    assert!(matches!(reply, StartReply::Rejected { reason: Rejection::Fenced, .. }), "{reply:?}");
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted], "the earlier process may have started it");
}

/// Guards against the same order when the restart shows in a listing: the new process has seen only the token of the
/// order.
#[test]
fn a_listing_of_a_new_process_ends_no_run_under_the_old_token() {
    let (mut owner, actions) = Owner::with_run();
    owner.upstream.restart();
    let hold = first_hold(&actions);
    let reply = owner.upstream.hold(&hold);
    owner.handle(Event::HoldEnded { hold, reply });
    let takeover = owner.actions();
    assert!(owner.outcomes(1).is_empty());
    for action in takeover {
        owner.answer(action);
    }
    owner.answer_all();
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted]);
}

/// Executes and answers the orders so far; stop orders are lost, and holds do not wait.
fn answer_all_but_stops(owner: &mut Owner) {
    for action in owner.actions() {
        match action {
            Action::Hold(hold) => {
                let reply = owner.upstream.hold(&hold);
                owner.handle(Event::HoldEnded { hold, reply });
            }
            Action::Stop(_) => {}
            other => owner.answer(other),
        }
    }
}

/// Guards against a cancelled run whose stop orders are lost and which renewals of the runs beside it keep alive until its
/// caller has resubmitted the job.
#[test]
fn a_cancelled_run_that_does_not_stop_expires_before_its_job_is_resubmitted() {
    const RESUBMIT_MS: u64 = 1_300;
    let mut owner = Owner::new();
    owner.upstream.run_time_ms = 10_000;
    owner.assign(1, "job.0");
    owner.assign(2, "job.1");
    answer_all_but_stops(&mut owner);
    assert_eq!(owner.upstream.running.len(), 2);
    owner.handle(Event::Cancelled { assignment: 1, home: HOME });
    for assignment in 3..3 + RESUBMIT_MS / 10 {
        answer_all_but_stops(&mut owner);
        owner.advance(10);
        owner.assign(assignment, &format!("job.{assignment}"));
    }
    assert!(!owner.upstream.running.iter().any(|run| &*run.id.task == "job.0"));
}

/// Guards against a new owner that renews the lease of its predecessor's runs with the start of its own, while its stop
/// orders are lost.
#[test]
fn a_new_owner_starts_nothing_beside_runs_of_its_predecessor() {
    let (mut first, _) = Owner::with_run();
    let mut second = Owner::new();
    second.upstream = std::mem::replace(&mut first.upstream, FakeUpstream::new());
    second.handle(Event::Release("up-1".into()));
    second.handle(own(token(100), "up-1"));
    let takeover = first_hold(&second.actions());
    let reply = second.upstream.hold(&takeover);
    second.handle(Event::HoldEnded { hold: takeover, reply });
    second.assign(2, "job.1");
    let actions = second.actions();
    assert!(!actions.iter().any(|action| matches!(action, Action::Start(_))));
    assert_eq!(first_hold(&actions).lease_until_ms, None);
    for action in actions {
        second.answer(action);
    }
    let listing = second.listing();
    second.handle(listing);
    second.answer_all();
    assert_eq!(second.upstream.running.len(), 1, "it starts once the old run has ended");
    assert_eq!(&*second.upstream.running[0].id.task, "job.1");
}

/// Guards against a rejection of a start order that a hold with a raised token has overtaken and settled: the task has been
/// started again under the same run number, and the rejection is taken for one of that start, so that a third one follows.
#[test]
fn a_rejection_of_a_settled_start_does_not_repeat_the_next_one() {
    let (mut owner, actions) = Owner::with_run();
    let renewal = first_hold(&actions);
    owner.assign(2, "job.1");
    let settled = first_start(&owner.actions());
    owner.handle(Event::HoldEnded { hold: renewal, reply: HoldReply::Lost });
    let hold = first_hold(&owner.actions());
    let reply = owner.upstream.hold(&hold);
    owner.handle(Event::HoldEnded { hold, reply });
    let next = first_start(&owner.actions());
    assert_eq!(next.run, settled.run);
    let reply = owner.upstream.start(&settled);
    assert!(matches!(reply, StartReply::Rejected { reason: Rejection::Fenced, .. }), "{reply:?}");
    owner.handle(Event::StartEnded { reply, start: settled });
    let starts = owner.actions().into_iter().filter(|action| matches!(action, Action::Start(_))).count();
    assert_eq!(starts, 0, "the task has a start order in flight");
}
