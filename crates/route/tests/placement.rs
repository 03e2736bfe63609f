//! Choice of upstreams, busy refusals, slots of failed tasks and the retry budget.

mod common;

use std::collections::BTreeSet;

use common::{
    EXPECTED, RACK_SIZE, SLOTS, end, id, ms, pick, pick_with, rack, service, sole_leader, upstream,
};
use hinge_conf::Policy;
use hinge_route::{EndKind, RetryBudget, Router};
use hinge_wire::{ListEntry, RackId};
use tokio::time::Instant;

/// Guards against load on some upstreams while others are idle.
#[test]
fn least_loaded_upstream_is_picked() {
    let now = Instant::now();
    let mut router = sole_leader(now, 12);
    for round in 1..=SLOTS {
        let picked: BTreeSet<_> =
            (0..12).filter_map(|_| pick(&mut router, now)).map(|slot| slot.upstream).collect();
        assert_eq!(picked.len(), 12, "round {round}");
    }
    assert!(pick(&mut router, now).is_none());
}

/// Guards against two tasks of a job in one rack while other racks have free slots, and against a job that
/// waits although slots are free, because it uses all racks already.
#[test]
fn racks_and_upstreams_are_avoided_when_possible() {
    let now = Instant::now();
    let mut router = sole_leader(now, 12);
    let mut racks: Vec<RackId> = Vec::new();
    for _ in 0..3 {
        let slot = pick_with(&mut router, now, false, &racks, &[]).unwrap();
        assert!(!racks.contains(&slot.rack));
        racks.push(slot.rack);
    }
    assert!(pick_with(&mut router, now, false, &racks, &[]).is_some());
    let avoided: Vec<_> = (1..12).map(id).collect();
    let slot = pick_with(&mut router, now, true, &[rack(0)], &avoided).unwrap();
    assert_eq!(slot.upstream, id(0), "a retry goes to another upstream even in an avoided rack");
    let all: Vec<_> = (0..12).map(id).collect();
    assert!(pick_with(&mut router, now, true, &racks, &all).is_some());
}

/// Guards against tasks placed on upstreams of another service or data centre, or on entry instances.
#[test]
fn other_services_and_data_centres_are_ignored() {
    let now = Instant::now();
    let mut router = Router::new("a".into(), &Policy::default(), 1).with_data_centre("dc1".into());
    router.set_entries(&["a".into()]);
    let far = ListEntry { data_centre: "dc2".into(), memory_mb: 64_000, ..upstream(0) };
    let other = ListEntry { service: "render".into(), ..upstream(1) };
    let entry = ListEntry { kind: hinge_wire::InstanceKind::Entry, ..upstream(2) };
    router.set_upstreams(now, &[far, other, entry, upstream(3)]);
    assert_eq!(pick(&mut router, now).unwrap().upstream, id(3));
    assert_eq!(router.capacity(now, &service()), SLOTS);
    assert_eq!(router.largest_memory_mb(&service()), 32_000);
    assert!(router.serves(&"render".into()) && !router.serves(&"unknown".into()));
    assert!(router.upstream(&id(0)).is_none());
}

/// Guards against repeated busy refusals by an upstream whose slots other entries use, and against an
/// upstream that stays unused after their tasks have ended.
#[test]
fn busy_upstream_is_skipped_until_task_end_or_backoff() {
    let start = Instant::now();
    let mut router = sole_leader(start, 1);
    let running = pick(&mut router, start).unwrap();
    let refused = pick(&mut router, start).unwrap();
    router.finish_task(start, &refused, EndKind::Busy, ms(1), EXPECTED);
    assert!(pick(&mut router, start).is_none());
    end(&mut router, start + ms(5), &running, EndKind::Done);
    let refused = pick(&mut router, start + ms(5)).unwrap();
    assert!(pick(&mut router, start + ms(5)).is_none(), "one end shows one free slot");
    router.finish_task(start + ms(6), &refused, EndKind::Busy, ms(1), EXPECTED);
    // The second refusal in a row doubles the backoff of 20 ms.
    assert!(pick(&mut router, start + ms(45)).is_none());
    let slots = (0..SLOTS).filter_map(|_| pick(&mut router, start + ms(46))).count();
    assert_eq!(slots, SLOTS as usize);
}

/// Guards against an upstream that fails tasks at once, therefore looks idle and attracts more.
#[test]
fn failed_task_holds_slot_for_expected_run_time() {
    let start = Instant::now();
    let mut router = sole_leader(start, 1);
    for kind in [EndKind::Failed, EndKind::NotSent, EndKind::Lost, EndKind::Failed] {
        let slot = pick(&mut router, start).unwrap();
        router.finish_task(start, &slot, kind, ms(1), EXPECTED);
    }
    assert!(pick(&mut router, start + EXPECTED - ms(2)).is_none());
    assert!(pick(&mut router, start + EXPECTED).is_some());
}

/// Guards against overflows of slot counts, caused by extreme values on the list.
#[test]
fn extreme_slot_counts_are_bounded() {
    let now = Instant::now();
    let mut router = sole_leader(now, 0);
    let list: Vec<_> =
        (0..RACK_SIZE).map(|number| ListEntry { slots: u32::MAX, ..upstream(number) }).collect();
    router.set_upstreams(now, &list);
    assert!(pick(&mut router, now).is_some());
    router.set_upstreams(now, &[ListEntry { slots: 0, ..upstream(0) }]);
    assert!(pick(&mut router, now).is_none());
}

/// Guards against retries that multiply the load in a brownout. In any period they stay within the percentage
/// of starts plus the saved balance, and failing retries earn nothing.
#[test]
fn retries_stay_within_the_budget() {
    let mut budget = RetryBudget::new(&Policy::default());
    assert!(!budget.take());
    (0..100_000).for_each(|_| budget.record_start());
    let saved = (0..100_000).filter(|_| budget.take()).count();
    assert_eq!(saved, 100, "10 % of the last 1000 starts");
    let mut retries = 0;
    for _ in 0..5_000 {
        budget.record_start();
        retries += (0..3).filter(|_| budget.take()).count();
    }
    assert_eq!(retries, 500);
    budget.set_policy(&Policy { retry_budget_percent: 0, ..Policy::default() });
    budget.record_start();
    assert!(!budget.take());
}
