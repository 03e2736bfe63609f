//! The invariants under random interleavings and faults, with fixed seeds.

#![allow(clippy::panic, reason = "tests")]

mod support;

use std::collections::{BTreeMap, BTreeSet};

use hinge_dispatch::Dispatcher;
use support::{Naive, Plan, Violation, World, kinds};

/// Runs plans with the seeds and fails on the first violation.
fn check(plans: impl Iterator<Item = Plan>) -> BTreeMap<&'static str, u32> {
    let mut counts = BTreeMap::new();
    for plan in plans {
        let observed = World::<Dispatcher>::run(plan);
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

/// Guards against a second start, a partial answer, a false "not run", a missing or second answer, a start after the
/// answer, a start on a leaving upstream and a drain that ends early, under any mixture of faults.
#[test]
fn invariants_hold_under_mixed_faults() {
    let counts = check((0..400).map(plan));
    // Every kind of event takes part, so that the checks above are not vacuous.
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

/// Guards against faults that show only when queues are long and slots few.
#[test]
fn invariants_hold_in_overload() {
    check((1000..1100).map(|seed| Plan { submissions: 400, upstreams: 2, ..plan(seed) }));
}

/// Guards against faults that need many failures close together.
#[test]
fn invariants_hold_in_a_storm_of_faults() {
    check((2000..2150).map(|seed| Plan { faults: 40, ..plan(seed) }));
}

/// Guards against checks that cannot fail: the naive version violates them.
#[test]
fn naive_version_violates_the_checks() {
    let mut found = BTreeSet::new();
    for seed in 0..40 {
        found.extend(kinds(&World::<Naive>::run(plan(seed))));
    }
    let expected = [
        Violation::AnsweredTwice,
        Violation::DrainedWhileHolding,
        Violation::NotRunButRan,
        Violation::StartedAfterAnswer,
        Violation::StartedOnLeaving,
        Violation::StartedTwice,
    ];
    for violation in expected {
        assert!(found.contains(&violation), "{violation:?} not in {found:?}");
    }
}
