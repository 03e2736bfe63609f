//! Ejection, probation, and upstreams that leave or are no longer listed.

#![allow(clippy::expect_used, reason = "a failed expectation fails the test")]

mod common;

use common::{
    EXPECTED, SLOTS, count_state, eject, end, id, ms, notices, pick, pick_with, router, service, sole_leader,
    upstream,
};
use hinge_conf::Policy;
use hinge_route::{EjectionCause, EndKind, HealthState, Notice, Router, Slot};
use hinge_wire::{ListEntry, ListState};
use tokio::time::Instant;

/// Keeps `fleet` upstreams 80 % busy in steps of 10 ms. `result` maps the number of an upstream and its count
/// of starts to the kind and run time in ms of a task. Returns the starts per upstream and all notices.
fn run_load(
    router: &mut Router,
    start: Instant,
    steps: u64,
    fleet: usize,
    result: impl Fn(usize, u64) -> (EndKind, u64),
) -> (Vec<u64>, Vec<Notice>) {
    let (mut starts, mut seen) = (vec![0; fleet], Vec::new());
    let mut running: Vec<(Instant, Slot, EndKind, u64)> = Vec::new();
    for step in 0..steps {
        let now = start + ms(step * 10);
        let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, ..)| *at <= now);
        running = rest;
        for (_, slot, kind, run) in ended {
            router.finish_task(now, &slot, kind, ms(run), EXPECTED);
        }
        while router.free_slots(now, &service()) > fleet as u32 * SLOTS / 5 {
            let slot = pick_with(router, now, step % 2 == 0, &[], &[]).expect("a free slot was counted");
            let number: usize = slot.upstream["worker-".len()..].parse().expect("a number");
            starts[number] += 1;
            let (kind, run) = result(number, starts[number]);
            running.push((now + ms(run), slot, kind, run));
        }
        router.tick(now, &mut seen);
    }
    for (_, slot, kind, run) in running {
        router.finish_task(start + ms(steps * 10), &slot, kind, ms(run), EXPECTED);
    }
    (starts, seen)
}

/// Guards against an upstream that fails every task at once, therefore looks idle and attracts most tasks.
#[test]
fn failing_upstream_gets_few_tasks() {
    let start = Instant::now();
    let mut router = sole_leader(start, 20);
    let broken = |number, _| if number == 7 { (EndKind::Failed, 1) } else { (EndKind::Done, 100) };
    let (starts, _) = run_load(&mut router, start, 6_000, 20, broken);
    let average = starts.iter().sum::<u64>() / 20;
    assert!(starts[7] < average / 50, "{} of {average}", starts[7]);
}

/// Guards against the ejection of most upstreams for a fault that they all share, such as broken tasks.
#[test]
fn shared_fault_does_not_eject_the_fleet() {
    for period in [1, 2, 3] {
        let start = Instant::now();
        let mut router = sole_leader(start, 20);
        let faulty = |_, nth| if nth % period == 0 { (EndKind::Failed, 50) } else { (EndKind::Done, 100) };
        for round in 0..10 {
            let (starts, seen) = run_load(&mut router, start + ms(round * 3_000), 300, 20, faulty);
            assert!(starts.iter().sum::<u64>() > 1_000, "tasks go on");
            let healthy = count_state(&router, 20, HealthState::Healthy);
            assert!(healthy >= 14, "period {period}: {healthy} of 20 healthy");
            let capped = seen.iter().any(|notice| matches!(notice, Notice::Capped { .. }));
            assert!(capped || period > 1 || round > 0, "the limit is reported");
        }
    }
}

/// Guards against slow upstreams, and upstreams with frequent but not consecutive failures, remaining in use.
#[test]
fn outliers_in_latency_and_error_rate_are_ejected() {
    let start = Instant::now();
    let mut router = sole_leader(start, 20);
    let (_, seen) = run_load(&mut router, start, 400, 20, |number, nth| match number {
        3 => (EndKind::Done, 500),
        4 if nth % 2 == 0 => (EndKind::Failed, 100),
        // Occasional tasks with a wrong declared run time must not lead to an ejection.
        _ if nth % 6 == 0 => (EndKind::Done, 1_000),
        _ => (EndKind::Done, 100),
    });
    let ejected: Vec<_> = seen
        .iter()
        .filter_map(|notice| match notice {
            Notice::Ejected { cause, upstream, .. } => Some((upstream.clone(), *cause)),
            _ => None,
        })
        .collect();
    assert!(ejected.contains(&(id(3), EjectionCause::Latency)), "{ejected:?}");
    assert!(ejected.contains(&(id(4), EjectionCause::ErrorRate)), "{ejected:?}");
    assert_eq!(ejected.len(), 2, "{ejected:?}");
}

/// Guards against an ejection that never ends or does not grow for a permanent fault, and against many tasks
/// at once on a recovering upstream.
#[test]
fn ejection_time_doubles_and_probation_gets_one_task() {
    let mut now = Instant::now();
    let mut router = sole_leader(now, 8);
    eject(&mut router, now, 2);
    for expected in [5_000, 10_000, 20_000, 40_000, 60_000, 60_000] {
        let seen = notices(&mut router, now);
        let duration = seen.iter().find_map(|notice| match notice {
            Notice::Ejected { duration, .. } => Some(*duration),
            _ => None,
        });
        let duration = duration.expect("an ejection");
        assert!(duration <= ms(expected) && duration >= ms(expected * 9 / 10), "{duration:?}");
        now += duration;
        assert_eq!(notices(&mut router, now), [Notice::Probation { upstream: id(2) }]);
        assert_ne!(pick(&mut router, now).unwrap().upstream, id(2), "other tasks go elsewhere");
        let slot = pick_with(&mut router, now, true, &[], &[]).unwrap();
        assert_eq!(slot.upstream, id(2));
        assert_ne!(
            pick_with(&mut router, now, true, &[], &[]).unwrap().upstream,
            id(2),
            "one task at a time"
        );
        end(&mut router, now, &slot, EndKind::TimedOut);
        assert_eq!(router.health(&id(2)), Some(HealthState::Ejected));
    }
    now += ms(60_000);
    for _ in 0..5 {
        let slot = pick_with(&mut router, now, true, &[], &[]).unwrap();
        assert_eq!(slot.upstream, id(2));
        end(&mut router, now, &slot, EndKind::Done);
    }
    assert_eq!(router.health(&id(2)), Some(HealthState::Healthy));
}

/// Guards against a probation that is ended or failed by the result of a task from before the ejection.
#[test]
fn results_from_before_ejection_are_ignored() {
    let now = Instant::now();
    let mut router = sole_leader(now, 2);
    let slot = pick_with(&mut router, now, false, &[], &[id(0)]).unwrap();
    eject(&mut router, now, 1);
    let later = now + ms(5_000);
    notices(&mut router, later);
    assert_eq!(router.health(&id(1)), Some(HealthState::Probation));
    end(&mut router, later, &slot, EndKind::Failed);
    assert_eq!(router.health(&id(1)), Some(HealthState::Probation));
}

/// Guards against ejection that stays in effect after an operator has disabled it.
#[test]
fn disabling_ejection_restores_ejected_upstreams() {
    let now = Instant::now();
    let mut router = sole_leader(now, 8);
    eject(&mut router, now, 2);
    router.set_policy(&Policy { ejection_enabled: false, ..Policy::default() });
    assert_eq!(count_state(&router, 8, HealthState::Healthy), 8);
    for _ in 0..50 {
        let slot = pick(&mut router, now).unwrap();
        end(&mut router, now, &slot, EndKind::Failed);
    }
    assert_eq!(count_state(&router, 8, HealthState::Healthy), 8);
}

fn list_with(state: ListState) -> [ListEntry; 1] {
    [ListEntry { state, ..upstream(0) }]
}

/// Guards against new tasks on an upstream that refuses them as leaving while the list lags behind, and
/// against an upstream that stays leaving for ever.
#[test]
fn leaving_refusal_overrides_unchanged_list() {
    let returns: [(&str, &[&[ListEntry]]); 3] = [
        ("shown as leaving in between", &[&list_with(ListState::Leaving), &list_with(ListState::Live)]),
        ("not listed in between", &[&[], &list_with(ListState::Live)]),
        ("at a new address", &[&[ListEntry { address: "127.0.0.1:1".into(), ..upstream(0) }]]),
    ];
    for (case, lists) in returns {
        let now = Instant::now();
        let mut router = sole_leader(now, 1);
        let slot = pick(&mut router, now).unwrap();
        end(&mut router, now, &slot, EndKind::Leaving);
        assert!(pick(&mut router, now).is_none(), "{case}");
        router.set_upstreams(now + ms(299_999), &list_with(ListState::Live));
        assert!(pick(&mut router, now + ms(299_999)).is_none(), "{case}: a stale list");
        for list in lists {
            router.set_upstreams(now + ms(299_999), list);
        }
        assert!(pick(&mut router, now + ms(299_999)).is_some(), "{case}");
    }
    let now = Instant::now();
    let mut router = sole_leader(now, 1);
    let slot = pick(&mut router, now).unwrap();
    end(&mut router, now, &slot, EndKind::Leaving);
    router.set_upstreams(now + ms(300_000), &list_with(ListState::Live));
    assert_eq!(router.health(&id(0)), Some(HealthState::Probation), "a list that is live long after");
}

/// Guards against new tasks on upstreams that the list shows as leaving or no longer shows, and against
/// losing count of the tasks that still run there.
#[test]
fn leaving_and_unlisted_upstreams_get_no_new_tasks() {
    let now = Instant::now();
    let mut router = router(now, "a", &["a"], 1, &Policy::default());
    let first = pick(&mut router, now).unwrap();
    let second = pick(&mut router, now).unwrap();
    router.set_upstreams(now, &list_with(ListState::Leaving));
    assert_eq!(notices(&mut router, now), [Notice::Leaving { upstream: id(0) }]);
    assert!(pick(&mut router, now).is_none());
    end(&mut router, now, &first, EndKind::Leaving);
    router.set_upstreams(now, &[]);
    assert!(pick(&mut router, now).is_none());
    assert_eq!(router.describe()[0].in_use, 1);
    assert_eq!(router.capacity(now, &service()), 0);
    router.set_upstreams(now, &list_with(ListState::Live));
    assert_eq!(router.free_slots(now, &service()), SLOTS - 1);
    router.set_upstreams(now, &[]);
    end(&mut router, now, &second, EndKind::Leaving);
    end(&mut router, now, &second, EndKind::Done);
    assert!(router.describe().is_empty(), "forgotten after its last task");
}
