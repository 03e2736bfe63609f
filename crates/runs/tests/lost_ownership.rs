//! Runs, tokens and end numbers of an upstream whose owner changes, or whose process restarts, at an inconvenient moment.

#![allow(clippy::expect_used, clippy::panic, reason = "tests")]

mod support;

use hinge_runs::{
    Action, EndKind, Ended, Event, Fence, HoldReply, Listing, Notice, Outcome, Rejection, StartOrder,
    StartReply, UpstreamRecord,
};
use support::{Owner, SERVICE, first_hold, first_start, ms, own, record, token};

fn as_start(action: &Action) -> Option<&StartOrder> {
    match action {
        Action::Start(start) => Some(start),
        _ => None,
    }
}

/// Guards against a run that its owner keeps for ever, without a report to its home: the upstream is released while it is
/// taken over again after a restart, and a released upstream is no longer asked for its runs.
#[test]
fn an_upstream_released_after_a_restart_still_reports_its_runs() {
    let (mut owner, _) = Owner::with_run();
    owner.restart_upstream();
    let takeover = owner.actions();
    owner.handle(Event::Release("up-1".into()));
    for action in takeover {
        owner.answer(action);
    }
    owner.answer_all();
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted]);
    owner.handle(Event::Release("up-1".into()));
    assert_eq!(owner.runner.owned().count(), 0, "the idle upstream is released");
}

/// Guards against a restart under the same id that the log does not show.
#[test]
fn a_restart_of_an_upstream_is_logged() {
    let (mut owner, _) = Owner::with_run();
    owner.handle(Event::Upstreams(vec![record("up-1", 2)]));
    let states = owner.runner.drain_actions().filter_map(|action| match action {
        Action::Notice(Notice::Owner { state, .. }) => Some(state),
        _ => None,
    });
    assert_eq!(states.collect::<Vec<_>>(), ["restarted", "taking"]);
}

/// Guards against a former owner that fences its successor: the answer to a start order arrives after the loss of ownership,
/// and the stop order for the run carries a raised token.
#[test]
fn a_former_owner_gives_no_orders() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    owner.assign(2, "job.1");
    let actions = owner.actions();
    let starts: Vec<_> = actions.iter().filter_map(|action| as_start(action)).collect();
    let confirmed = owner.upstream.start(starts[0]);
    assert!(matches!(confirmed, StartReply::Started { .. }));
    let fenced = StartReply::Rejected { clock_ms: None, reason: Rejection::Fenced };
    owner.handle(Event::StartEnded { reply: fenced, start: starts[1].clone() });
    owner.actions();
    assert_eq!(owner.outcomes(1), [Outcome::Uncertain]);
    owner.handle(Event::StartEnded { reply: confirmed, start: starts[0].clone() });
    let orders = owner.actions();
    assert!(orders.is_empty(), "{orders:?}");
}

/// Guards against an answer of the previous process that arrives after the takeover of its successor, and whose end numbers
/// then count as those of the successor: its own ends would be ignored, and done tasks repeated.
#[test]
fn a_late_answer_of_the_previous_process_is_ignored() {
    let (mut owner, actions) = Owner::with_run();
    let hold = first_hold(&actions);
    let HoldReply::Listed(listing) = owner.upstream.hold(&hold) else { panic!("no listing") };
    let run = listing.running[0].run.clone();
    let ended = vec![Ended { how: EndKind::Failed, number: 57, run }];
    let late = HoldReply::Listed(Listing { ended, ..listing });
    owner.restart_upstream();
    owner.answer_all();
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted]);
    owner.assign(2, "job.1");
    owner.answer_all();
    owner.handle(Event::HoldEnded { hold, reply: late });
    owner.answer_all();
    owner.advance(150);
    let listing = owner.listing();
    owner.handle(listing);
    owner.answer_all();
    assert_eq!(owner.outcomes(2), [Outcome::Done]);
}

/// Guards against a new process whose start time is before that of its predecessor, because the clock of its machine was set
/// back: it must be recognised as new all the same.
#[test]
fn a_new_process_with_an_earlier_start_time_is_taken_over() {
    let (mut owner, actions) = Owner::with_run();
    let token = owner.upstream.fence;
    owner.upstream.restart();
    owner.upstream.incarnation = 0;
    let hold = first_hold(&actions);
    let reply = owner.upstream.hold(&hold);
    owner.handle(Event::HoldEnded { hold, reply });
    owner.answer_all();
    assert!(owner.upstream.fence > token, "the new process has seen no token");
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted]);
}

/// Guards against a record of the former process that arrives after the new process has answered, such as one that the store
/// carries out late: it must not count as another restart, nor replace the address and capacity of the present process.
#[test]
fn a_late_record_of_a_former_process_is_ignored() {
    let (mut owner, actions) = Owner::with_run();
    // Otherwise nothing starts before the record of the new process is read.
    owner.handle(Event::GuardingServices([SERVICE.into()].into_iter().collect()));
    owner.upstream.restart();
    owner.upstream.incarnation = 0;
    let hold = first_hold(&actions);
    let reply = owner.upstream.hold(&hold);
    owner.handle(Event::HoldEnded { hold, reply });
    owner.answer_all();
    let token = owner.upstream.fence;
    let late = UpstreamRecord { address: "former:80".into(), ..record("up-1", 1) };
    owner.handle(Event::Upstreams(vec![late]));
    owner.assign(2, "job.1");
    let start = first_start(&owner.actions());
    assert_eq!((&*start.address, start.fence), ("up-1:80", token));
}

/// Guards against runs that are given up, or an upstream that is lost, because a record of an earlier process arrives that
/// this owner has never seen: the listing under the raised token decides which process is the present one.
#[test]
fn a_late_record_of_an_unknown_former_process_ends_no_run() {
    let (mut owner, _) = Owner::with_run();
    for records in [vec![record("up-1", 0)], vec![record("up-1", 1)], vec![record("up-1", 0)]] {
        owner.handle(Event::Upstreams(records));
        owner.answer_all();
        assert_eq!(owner.runner.owned().count(), 1);
        assert!(owner.outcomes(1).is_empty(), "the run goes on");
    }
    owner.advance(150);
    let listing = owner.listing();
    owner.handle(listing);
    owner.answer_all();
    assert_eq!(owner.outcomes(1), [Outcome::Done]);
    assert_eq!(owner.upstream.next_end, 2, "one run in all");
}

/// Guards against an upstream that is asked at the address of a former process for ever: while the present process has not
/// answered, the newest record counts, whichever process was known before.
#[test]
fn the_newest_record_counts_until_the_process_has_answered() {
    let mut owner = Owner::new();
    owner.handle(Event::Release("up-1".into()));
    owner.upstream.restart();
    let late = UpstreamRecord { address: "former:80".into(), ..record("up-1", 0) };
    for records in [vec![record("up-1", 2)], vec![late], vec![record("up-1", 2)]] {
        owner.handle(Event::Upstreams(records));
    }
    owner.actions();
    owner.handle(own(token(10).raised(10), "up-1"));
    let takeover = first_hold(&owner.actions());
    assert_eq!(&*takeover.address, "up-1:80");
}

/// Guards against an upstream without an owner for as long as the clock of its last owner was ahead: tokens contain the time
/// of day, which may jump.
#[test]
fn an_upstream_whose_last_owner_had_a_clock_that_was_ahead_is_taken_over() {
    const AHEAD_MS: u64 = 60_000;
    const RECOVERY_MS: u64 = 12_000;
    const TAKEOVER_PAUSE_MS: u64 = 3_000;
    let token = |time_ms| token(10).raised(Fence::steps(ms(time_ms)));
    let mut owner = Owner::new();
    owner.upstream.fence = token(AHEAD_MS);
    owner.assign(1, "job.0");
    owner.answer_all();
    assert_eq!(owner.runner.owned().count(), 0, "the token of the last owner is higher");
    for time_ms in (TAKEOVER_PAUSE_MS..=RECOVERY_MS).step_by(3_000) {
        owner.advance(TAKEOVER_PAUSE_MS);
        owner.handle(own(token(time_ms), "up-1"));
        owner.answer_all();
    }
    assert_eq!(owner.runner.owned().count(), 1);
}
