//! Requesting and returning loans.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

use std::sync::Arc;
use std::time::Duration;

use hinge_conf::Policy;
use hinge_dispatch::{Action, Dispatcher, Event, Lender, Origin, TaskResult};
use hinge_wire::{Class, InstanceKind, ListEntry, ListState, LoanReply, LoanSlots, Submission, TaskSpec};
use tokio::time::Instant;

const LOAN_DURATION: Duration = Duration::from_millis(1000);

fn upstream() -> ListEntry {
    ListEntry {
        address: "127.0.0.1:9".into(),
        data_centre: "dc1".into(),
        id: "upstream-1".into(),
        kind: InstanceKind::Upstream,
        memory_mb: 1024,
        peer_address: String::new(),
        rack: "rack-1".into(),
        service: "search".into(),
        slots: 8,
        state: ListState::Live,
    }
}

/// A dispatcher that leads no upstream, with `tasks` queued tasks and one peer with free slots.
fn borrower(now: Instant, tasks: usize) -> Dispatcher {
    let origin = Origin { data_centre: "dc1".into(), incarnation: 7, instance: "entry-1".into() };
    let mut dispatcher = Dispatcher::new(origin, &Policy::default(), 1);
    dispatcher.handle(now, Event::Upstreams(vec![upstream()]));
    let lender = Lender { counter: 1, free_slots: 8, incarnation: 9, instance: "entry-2".into() };
    let leaders = vec!["entry-2".into()];
    dispatcher.handle(now, Event::Peers { leaders, listed_entries: 2, lenders: vec![lender] });
    let keys = dispatcher.issue_keys(now, 1).unwrap();
    let task = TaskSpec { memory_mb: None, payload: "work".into(), run_time_ms: None };
    let submission = Submission {
        class: Class::Batch,
        deadline_ms: None,
        definite: false,
        idempotent: false,
        key: None,
        service: "search".into(),
        tasks: vec![task; tasks],
        team: "team-1".into(),
        wait_ms: None,
    };
    dispatcher.submit(now, &keys[0], Arc::new(submission)).unwrap();
    dispatcher
}

fn granted(slots: &[u32]) -> Event {
    let slots =
        slots.iter().map(|slots| LoanSlots { slots: *slots, upstream: "upstream-1".into() }).collect();
    Event::LoanReplied {
        lender: "entry-2".into(),
        lender_incarnation: 9,
        reply: LoanReply { duration_ms: 1000, loan: 1, slots },
        service: "search".into(),
    }
}

fn starts(actions: &[Action]) -> Vec<u64> {
    let start = |action: &Action| match action {
        Action::Start(start) => Some(start.start),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

/// Guards against use of slots that the lender has already taken back: a borrower that measures the loan from a slow
/// reply uses them for too long.
#[test]
fn loan_duration_counts_from_request() {
    let now = Instant::now();
    let mut dispatcher = borrower(now, 2);
    assert!(dispatcher.drain_actions().any(|action| matches!(action, Action::RequestLoan { .. })));
    dispatcher.handle(now + LOAN_DURATION, granted(&[2]));
    assert_eq!(starts(&dispatcher.drain_actions().collect::<Vec<_>>()), [0; 0]);
}

/// Guards against an overflow of the sum of lent slots when a reply contains huge numbers.
#[test]
fn huge_slot_numbers_do_not_overflow() {
    let now = Instant::now();
    let mut dispatcher = borrower(now, 2);
    dispatcher.handle(now, granted(&[u32::MAX, u32::MAX]));
    assert_eq!(starts(&dispatcher.drain_actions().collect::<Vec<_>>()).len(), 2);
}

/// Guards against a draining entry that keeps borrowed slots without queued tasks, and against one whose queued tasks
/// never start because it leads no upstream and requests no loans.
#[test]
fn draining_entry_borrows_only_for_queued_tasks() {
    let now = Instant::now();
    let mut dispatcher = borrower(now, 2);
    dispatcher.handle(now, Event::Drain);
    let actions: Vec<Action> = dispatcher.drain_actions().collect();
    assert!(actions.iter().any(|action| matches!(action, Action::RequestLoan { .. })));
    dispatcher.handle(now, granted(&[5]));
    let actions: Vec<Action> = dispatcher.drain_actions().collect();
    assert_eq!(starts(&actions).len(), 2);
    let returned = |action: &Action| match action {
        Action::ReturnLoan { request, .. } => request.slots.iter().map(|slots| slots.slots).sum(),
        _ => 0_u32,
    };
    assert_eq!(actions.iter().map(returned).sum::<u32>(), 3);
    for start in starts(&actions) {
        let result = TaskResult::Done("done".into());
        dispatcher.handle(now, Event::TaskEnded { result, run_time: Duration::ZERO, start });
    }
    let actions: Vec<Action> = dispatcher.drain_actions().collect();
    assert_eq!(actions.iter().map(returned).sum::<u32>(), 2);
    assert!(actions.contains(&Action::Drained));
}
