//! Handling of orders that were not answered, were rejected, or were fenced by another owner.

#![allow(clippy::expect_used, reason = "tests")]

mod support;

use hinge_runs::{Action, Event, HoldReply, Outcome, Rejection, StartReply};
use support::{HOME, Owner, first_hold, first_probe, first_start, ms, own, record, token};

/// Guards against a second start of a task when the answer to the first one is lost but the run exists.
#[test]
fn a_running_unanswered_start_is_not_repeated() {
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

/// Guards against a start order that is executed seconds late, after the task was started again.
#[test]
fn a_late_start_order_is_fenced_after_a_restart_of_its_task() {
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

/// Guards against a lost answer after which the owner's own later orders are rejected as fenced: the owner raises its
/// token with a probe.
#[test]
fn an_unanswered_start_raises_the_fencing_token() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    let start = first_start(&owner.actions());
    let fence = start.fence;
    owner.handle(Event::StartEnded { reply: StartReply::Lost, start });
    let probe = first_probe(&owner.actions()).expect("a probe");
    assert!(probe.fence > fence);
}

/// Guards against a task that starts because the process was paused between the decision and the order: meanwhile its
/// lease has run out, and its caller may have sent the job again.
#[test]
fn an_order_that_a_pause_delays_beyond_its_lease_starts_nothing() {
    for pause_ms in [200, 500, 590, 610, 740, 760, 1_000, 3_000, 10_000] {
        let mut owner = Owner::new();
        owner.assign(1, "job.0");
        let start = first_start(&owner.actions());
        owner.upstream.advance(pause_ms);
        let reply = owner.upstream.start(&start);
        let expired = pause_ms > 600;
        assert_eq!(
            matches!(reply, StartReply::Rejected { reason: Rejection::Late, .. }),
            expired,
            "{pause_ms} ms"
        );
        assert_eq!(owner.upstream.running.is_empty(), expired, "{pause_ms} ms");
    }
}

/// Guards against a process that goes on with what it knew before it was suspended: the runs may have expired, and
/// another owner may have taken over.
#[test]
fn a_suspended_owner_takes_its_upstreams_over_again() {
    let (mut owner, _) = Owner::with_run();
    owner.now += ms(5_000);
    owner.handle(Event::Suspended);
    let actions = owner.actions();
    let probe = first_probe(&actions).expect("a probe");
    assert_eq!(probe.lease_until_ms, None, "nothing is renewed before the runs are listed");
    assert_eq!(owner.outcomes(1), [Outcome::Uncertain]);
    owner.assign(2, "job.1");
    assert!(!owner.actions().iter().any(|action| matches!(action, Action::Start(_))));
}

/// Guards against runs of a failed owner that survive because its successor renews the upstream's lease.
#[test]
fn a_new_owner_stops_runs_of_its_predecessor() {
    let mut first = Owner::new();
    first.assign(1, "job.0");
    first.answer_all();
    assert_eq!(first.upstream.running.len(), 1);
    let mut second = Owner::new();
    second.upstream = std::mem::replace(&mut first.upstream, support::FakeUpstream::new());
    second.handle(Event::Release("up-1".into()));
    second.handle(own(token(100), "up-1"));
    second.answer_all();
    assert_eq!(second.stops.len(), 1);
    assert!(second.upstream.running.is_empty());
}

/// Guards against an owner that keeps using an upstream after another owner has taken it over.
#[test]
fn a_fenced_owner_releases_the_upstream() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    owner.answer_all();
    owner.upstream.fence = token(1_000);
    owner.assign(2, "job.1");
    owner.answer_all();
    assert!(!owner.runner.owns(&"up-1".into()));
    assert_eq!(owner.outcomes(1), [Outcome::Uncertain]);
    assert!(owner.outcomes(2).is_empty(), "it waits for another upstream");
}

/// Guards against a report that a run has ended while its lease may still be valid.
#[test]
fn runs_of_a_silent_upstream_end_when_their_lease_expires() {
    let (mut owner, actions) = Owner::with_run();
    let hold = first_hold(&actions);
    owner.now += ms(900);
    owner.handle(Event::HoldEnded { hold, reply: HoldReply::Lost });
    owner.now += ms(60);
    owner.handle(Event::Tick);
    let repeated = first_hold(&owner.actions());
    assert_eq!(repeated.lease_until_ms, None, "the lease must not be renewed, so that it expires");
    assert!(owner.outcomes(1).is_empty());
    owner.now += ms(1_100);
    owner.handle(Event::HoldEnded { hold: repeated, reply: HoldReply::Lost });
    owner.actions();
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted]);
}

/// Guards against a task whose loss is not noticed when its upstream restarts with the same id.
#[test]
fn a_restart_of_an_upstream_interrupts_its_runs() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    owner.answer_all();
    owner.restart_upstream();
    owner.answer_all();
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted]);
    owner.assign(2, "job.1");
    owner.answer_all();
    assert_eq!(owner.upstream.running.len(), 1, "the new process is used");
}

/// Guards against a run that continues although it was cancelled, and against a home that is told of its end too early: it
/// then answers the caller, who starts the task again beside the run.
#[test]
fn a_cancelled_run_is_stopped_and_reported_once_its_end_is_listed() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    owner.answer_all();
    owner.handle(Event::Cancelled { assignment: 1, home: HOME });
    owner.answer_all();
    assert!(owner.upstream.running.is_empty());
    assert!(owner.outcomes(1).is_empty(), "no listing has shown the end");
    let listing = owner.listing();
    owner.handle(listing);
    owner.actions();
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted]);
}

/// Guards against a home that waits for ever for the end of a cancelled run whose start order was rejected.
#[test]
fn a_cancelled_task_whose_start_is_rejected_is_reported_as_not_started() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    let start = first_start(&owner.actions());
    owner.handle(Event::Cancelled { assignment: 1, home: HOME });
    let reply = StartReply::Rejected { clock_ms: None, reason: Rejection::NoRoom };
    owner.handle(Event::StartEnded { reply, start });
    owner.actions();
    assert_eq!(owner.outcomes(1), [Outcome::NotStarted]);
}

/// Guards against a home that takes a run on a fenced upstream for ended before its lease has expired.
#[test]
fn a_fenced_run_is_reported_with_the_rest_of_its_lease() {
    let (mut owner, actions) = Owner::with_run();
    owner.advance(40);
    let reply = HoldReply::Rejected(Rejection::Fenced);
    owner.handle(Event::HoldEnded { hold: first_hold(&actions), reply });
    owner.actions();
    let report =
        owner.reports.iter().map(|(_, report)| report).find(|report| report.outcome == Outcome::Uncertain);
    let lease_ms = owner.upstream.lease_until_ms - owner.upstream.now_ms;
    assert!(report.unwrap().ends_within_ms.unwrap() >= lease_ms);
}

/// Guards against "has not run" as the answer for a task whose start order was sent: of three tasks two start, and the
/// cancelled one is still queued.
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

/// Guards against runs that continue when the entry that answers their callers is lost.
#[test]
fn runs_of_a_lost_home_are_stopped() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    owner.answer_all();
    owner.handle(Event::HomeLost(HOME));
    owner.answer_all();
    assert!(owner.upstream.running.is_empty());
}

/// Guards against new tasks on an upstream that is shutting down.
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

/// Guards against a task that cannot start because the upstream has seen its run number before, as when a job is
/// resubmitted to another entry.
#[test]
fn an_old_run_number_is_raised() {
    let mut owner = Owner::new();
    owner.upstream.highest_run.insert("job.0".into(), 5);
    owner.assign(1, "job.0");
    owner.answer_all();
    assert_eq!(owner.upstream.running.len(), 1);
    assert!(owner.upstream.running[0].id.run > 5);
}

/// Guards against a start in flight that counts as interrupted because the lease of earlier runs has expired.
#[test]
fn a_lost_hold_does_not_end_a_start_in_flight() {
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
    assert!(owner.outcomes(2).is_empty(), "the order may still be executed");
}

/// Guards against treating a refused connection as the end of a process: a partition can refuse connections too.
#[test]
fn a_refused_connection_does_not_end_runs() {
    let (mut owner, actions) = Owner::with_run();
    owner.handle(Event::HoldEnded { hold: first_hold(&actions), reply: HoldReply::Refused });
    owner.actions();
    assert!(owner.outcomes(1).is_empty());
}

/// Guards against pausing an upstream because of a single lost answer, as on a site where one order in twenty is not
/// answered.
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

/// Guards against a short run whose end is noticed only after the timeout of a lost hold.
#[test]
fn an_overdue_run_triggers_a_probe() {
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

/// Guards against a start order that can be executed after its run was reported as ended: the end of its lease was computed from
/// a clock reading of a minute ago, by a clock that is 2% slow, and lies further ahead than the owner assumes.
#[test]
fn the_lease_of_a_start_after_a_pause_is_not_longer_than_assumed() {
    let mut owner = Owner::new();
    owner.now += ms(60_000);
    owner.upstream.advance(58_800);
    owner.assign(1, "job.0");
    owner.handle(Event::Tick);
    let probe = first_probe(&owner.actions()).expect("a probe for a new reading of the clock");
    let reply = owner.upstream.hold(&probe);
    owner.handle(Event::HoldEnded { hold: probe, reply });
    let late = first_start(&owner.actions());
    owner.handle(Event::StartEnded { reply: StartReply::Lost, start: late.clone() });
    for _ in 0..40 {
        for action in owner.actions() {
            if let Action::Hold(hold) = action {
                owner.handle(Event::HoldEnded { hold, reply: HoldReply::Lost });
            }
        }
        if !owner.outcomes(1).is_empty() {
            break;
        }
        owner.advance(50);
    }
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted]);
    let clock_ms = Some(owner.upstream.now_ms);
    assert_eq!(owner.upstream.start(&late), StartReply::Rejected { clock_ms, reason: Rejection::Late });
}

/// Guards against a run of a lost home that is renewed although its stop orders are lost: the home answers 1.4 s after it has
/// noticed the loss, and this owner may notice it 0.6 s later.
#[test]
fn a_run_of_a_lost_home_ends_with_its_lease_when_its_stop_orders_are_lost() {
    let (mut owner, actions) = Owner::with_run();
    owner.upstream.running[0].ends_at_ms += 60_000;
    let mut holds: Vec<_> = actions;
    let mut lost_at = None;
    for step in 0..200 {
        if step == 10 {
            owner.handle(Event::HomeLost(HOME));
            lost_at = Some(owner.now);
        }
        holds.extend(owner.actions());
        for action in std::mem::take(&mut holds) {
            if let Action::Hold(hold) = action {
                let reply = owner.upstream.hold(&hold);
                owner.handle(Event::HoldEnded { hold, reply });
            }
        }
        owner.advance(10);
        if owner.upstream.running.is_empty() {
            break;
        }
    }
    assert!(owner.upstream.running.is_empty());
    assert!(owner.now.duration_since(lost_at.expect("a lost home")) <= ms(800));
}

/// Guards against a cancellation that arrives twice and lets a run go on for longer: its stop orders are lost, and it is renewed
/// together with its neighbour until the time that a cancelled run has to end is over.
#[test]
fn a_second_cancellation_does_not_prolong_a_run() {
    let mut owner = Owner::new();
    owner.upstream.run_time_ms = 60_000;
    owner.assign(1, "job.0");
    owner.assign(2, "neighbour.0");
    owner.answer_all();
    owner.handle(Event::Cancelled { assignment: 1, home: HOME });
    owner.advance(150);
    owner.handle(Event::Cancelled { assignment: 1, home: HOME });
    owner.advance(60);
    owner.actions();
    let listing = owner.listing();
    owner.handle(listing);
    assert_eq!(owner.upstream.running.len(), 2, "the stop orders were lost");
    assert_eq!(first_hold(&owner.actions()).lease_until_ms, None);
}
