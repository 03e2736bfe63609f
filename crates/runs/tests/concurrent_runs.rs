//! Runs that go on after their owner has reported their end or their caller has given them up, so that a second run of the
//! same task would be concurrent with them (incident `docs/incidents/two-runs-at-a-time.md`).

#![allow(clippy::expect_used, reason = "tests")]

mod support;

use hinge_runs::{Event, HoldReply, Outcome, Rejection, StartReply};
use support::{Owner, first_hold, first_start, ms, record};

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
    owner.upstream.restart();
    owner.handle(Event::Upstreams(vec![record("up-1", 2)]));
    let takeover = owner.actions();
    assert!(owner.outcomes(1).is_empty(), "the order may still be executed");
    assert!(matches!(owner.upstream.start(&late), StartReply::Started { .. }));
    for action in takeover {
        owner.answer(action);
    }
    owner.answer_all();
    assert!(owner.outcomes(1).is_empty(), "the new process runs the task");
    owner.advance(150);
    let listing = owner.listing();
    owner.handle(listing);
    owner.actions();
    assert_eq!(owner.outcomes(1), [Outcome::Done]);
    assert_eq!(owner.upstream.next_end, 2, "one run in all");
}

/// Guards against a start order for an earlier process that is executed after the next process has listed its runs.
#[test]
fn a_late_start_is_fenced_by_a_restarted_upstream() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    let late = first_start(&owner.actions());
    owner.upstream.restart();
    owner.handle(Event::Upstreams(vec![record("up-1", 2)]));
    owner.answer_all();
    let reply = owner.upstream.start(&late);
    assert!(matches!(reply, StartReply::Rejected { reason: Rejection::Fenced, .. }), "{reply:?}");
    assert_eq!(owner.upstream.running.len(), 1, "the task was started again");
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
