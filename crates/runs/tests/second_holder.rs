//! Runs that another process has ordered on an upstream under a token of this owner.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use hinge_runs::{Action, Event, HoldReply, Notice, Rejection, StartReply};
use support::{Owner, assignment, first_start, own, token};

/// Runs of a second holder in the log, since the last call; other actions are executed.
fn second_holders(owner: &mut Owner) -> Vec<String> {
    let mut runs = Vec::new();
    loop {
        let actions: Vec<_> = owner.runner.drain_actions().collect();
        if actions.is_empty() {
            return runs;
        }
        for action in actions {
            match action {
                Action::Notice(Notice::SecondHolder { run, .. }) => runs.push(run.to_string()),
                action => owner.answer(action),
            }
        }
    }
}

/// Starts a run of another process under the upstream's present token.
fn start_elsewhere(owner: &mut Owner, task: &str) {
    let (mut other, _) = Owner::with_run();
    other.handle(Event::Assigned {
        assignment: assignment(9, task, 1),
        home: support::HOME,
        sent_after: other.now,
    });
    let mut start = first_start(&other.actions());
    start.fence = owner.upstream.fence;
    assert!(matches!(owner.upstream.start(&start), StartReply::Started { .. }));
}

/// Guards against two holders of one token that go on beside each other: the one that sees a run of the other raises its token,
/// so that the upstream rejects the other's orders, and stops the run. The run is logged once.
#[test]
fn a_run_of_a_second_holder_is_logged_and_fenced_off() {
    let mut owner = Owner::new();
    let shared = owner.upstream.fence;
    start_elsewhere(&mut owner, "other.0");
    let listing = owner.listing();
    owner.handle(listing);
    assert_eq!(second_holders(&mut owner), ["other.0#1"]);
    assert!(owner.upstream.fence > shared && owner.upstream.running.is_empty());
    let listing = owner.listing();
    owner.handle(listing);
    assert_eq!(second_holders(&mut owner), [""; 0]);
    assert_eq!(owner.runner.owned().count(), 1);
}

/// Guards against false alarms: runs of an earlier owner, also when an answer that still lists them arrives late; own runs that
/// were given up while they went on, or that have ended.
#[test]
fn runs_of_earlier_owners_and_own_runs_are_no_sign_of_a_second_holder() {
    let (mut first, _) = Owner::with_run();
    let mut second = Owner::new();
    second.upstream = first.upstream.clone();
    second.handle(Event::Release("up-1".into()));
    second.handle(own(token(100), "up-1"));
    let late = {
        let listing = second.listing();
        assert_eq!(second_holders(&mut second), [""; 0]);
        listing
    };
    second.handle(late);
    assert_eq!(second_holders(&mut second), [""; 0]);

    first.handle(Event::Suspended);
    assert_eq!(second_holders(&mut first), [""; 0]);
    first.restart_upstream();
    assert_eq!(second_holders(&mut first), [""; 0]);
}

/// Guards against two owners that raise their tokens in turn: the one with the lower token gives the upstream up.
#[test]
fn a_second_holder_that_is_fenced_off_gives_the_upstream_up() {
    let mut owner = Owner::new();
    start_elsewhere(&mut owner, "other.0");
    let listing = owner.listing();
    owner.handle(listing);
    owner.upstream.fence = token(1_000);
    let Some(Action::Hold(hold)) =
        owner.actions().into_iter().find(|action| matches!(action, Action::Hold(_)))
    else {
        unreachable!("the upstream is told of the raised token")
    };
    let reply = owner.upstream.hold(&hold);
    assert_eq!(reply, HoldReply::Rejected(Rejection::Fenced));
    owner.handle(Event::HoldEnded { hold, reply });
    assert_eq!(owner.runner.owned().count(), 0);
}
