//! Invariants under random interleavings and faults, with fixed seeds.

#![allow(clippy::panic, reason = "tests")]

mod support;

use std::collections::{BTreeMap, BTreeSet};

use hinge_dispatch::Dispatcher;
use support::{Naive, Plan, Simulation, Violation, violation_kinds};

/// Runs the plans, fails on the first violation, and returns the number of events by kind.
fn check(plans: impl Iterator<Item = Plan>) -> BTreeMap<&'static str, u32> {
    let mut counts = BTreeMap::new();
    for plan in plans {
        let observed = Simulation::<Dispatcher>::run(plan);
        assert!(observed.violations.is_empty(), "{plan:?}: {:#?}", observed.violations);
        for (what, count) in observed.counts {
            *counts.entry(what).or_default() += count;
        }
    }
    counts
}

fn plan(seed: u64) -> Plan {
    let entries = 2 + seed as usize % 3;
    Plan { entries, faults: 6, seed, submissions: 60, upstreams: 3 + seed as usize % 4 }
}

/// Guards against duplicate starts, partial, missing or duplicate answers, a wrong "not run", starts after the answer
/// or on a leaving upstream, and a drain that ends early, under mixed faults.
#[test]
fn invariants_hold_under_mixed_faults() {
    let counts = check((0..400).map(plan));
    // Every kind of event must have occurred; otherwise the checks above would be vacuous.
    for what in [
        "cancellations",
        "complete",
        "drained",
        "drains",
        "entry kills",
        "entry pauses",
        "loans",
        "may have run",
        "not run",
        "ran and failed",
        "refused leaving",
        "rejected",
        "stored answers",
        "the same fault twice",
        "two faults at once",
        "upstream deaths",
        "upstreams leaving",
    ] {
        assert!(counts.get(what).copied().unwrap_or(0) >= 50, "{what}: {counts:?}");
    }
}

/// Guards against violations that occur only with long queues and few slots.
#[test]
fn invariants_hold_in_overload() {
    check((1000..1100).map(|seed| Plan { submissions: 400, upstreams: 2, ..plan(seed) }));
}

/// Guards against violations that need many faults in a short time.
#[test]
fn invariants_hold_under_frequent_faults() {
    check((2000..2150).map(|seed| Plan { faults: 40, ..plan(seed) }));
}

/// Guards against checks that never fail: the naive dispatcher must violate them.
#[test]
fn naive_version_violates_the_checks() {
    let mut found = BTreeSet::new();
    for seed in 0..40 {
        found.extend(violation_kinds(&Simulation::<Naive>::run(plan(seed))));
    }
    let expected = [
        Violation::AnsweredTwice,
        Violation::DrainedTooEarly,
        Violation::NotRunButRan,
        Violation::StartedAfterAnswer,
        Violation::StartedOnLeaving,
        Violation::StartedTwice,
    ];
    for violation in expected {
        assert!(found.contains(&violation), "{violation:?} not in {found:?}");
    }
}
