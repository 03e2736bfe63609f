//! Runs that go on after their owner has reported their end or their caller has given them up, so that a second run of the
//! same task would be concurrent with them (incident `docs/incidents/two-runs-at-a-time.md`).

#![allow(clippy::expect_used, reason = "tests")]

mod support;

use hinge_runs::{Event, HoldReply, Outcome, Rejection};
use support::{Owner, first_hold, ms};

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
