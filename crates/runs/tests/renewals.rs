//! Renewal of the leases of runs while answers are lost.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use hinge_runs::{Action, Event, Hold, HoldReply, StartReply};
use support::{Owner, first_hold, first_probe, first_start};

/// Time after which a hold without an answer counts as lost, in addition to its wait.
const HOLD_TIMEOUT_MS: u64 = 120;

fn wait_ms(hold: &Hold) -> u64 {
    hinge_runs::whole_ms(hold.wait)
}

/// Executes a hold, answers it after its wait, and returns the next one.
fn renew(owner: &mut Owner, hold: Hold) -> Hold {
    owner.upstream.hold(&hold);
    owner.advance(wait_ms(&hold));
    assert_eq!(owner.upstream.running.len(), 1, "the run has expired");
    let reply = owner.upstream.hold(&hold);
    owner.handle(Event::HoldEnded { hold, reply });
    first_hold(&owner.actions())
}

/// Loses a hold, or only its answer if it `arrives`, and returns the next one.
fn lose(owner: &mut Owner, hold: Hold, arrives: bool) -> Hold {
    if arrives {
        owner.upstream.hold(&hold);
    }
    owner.advance(wait_ms(&hold) + HOLD_TIMEOUT_MS);
    owner.handle(Event::HoldEnded { hold, reply: HoldReply::Lost });
    first_hold(&owner.actions())
}

/// Guards against work that is thrown away because a single hold, or its answer, is lost: the lease of the runs on a healthy
/// upstream expires before it is renewed again.
#[test]
fn a_lost_hold_expires_no_run() {
    for arrives in [false, true] {
        let mut owner = Owner::new();
        owner.upstream.run_time_ms = 5_000;
        owner.assign(1, "job.0");
        let actions = owner.actions();
        for action in actions.iter().filter(|action| !matches!(action, Action::Hold(_))) {
            owner.answer(action.clone());
        }
        let mut hold = first_hold(&actions);
        for _ in 0..3 {
            hold = renew(&mut owner, hold);
        }
        hold = lose(&mut owner, hold, arrives);
        for _ in 0..10 {
            hold = renew(&mut owner, hold);
        }
    }
}

/// Guards against two renewals of an owner that is lost with both on their way: one after the other they are executed late,
/// count from their arrival, and keep a run for longer than its resubmission takes.
#[test]
fn a_probe_renews_no_lease() {
    let (mut owner, _) = Owner::with_run();
    owner.assign(2, "job.1");
    let start = first_start(&owner.actions());
    owner.handle(Event::StartEnded { reply: StartReply::Lost, start });
    let probe = first_probe(&owner.actions()).unwrap();
    assert_eq!(probe.lease_until_ms, None);
}
