//! Random courses of whole entries whose callers send failed jobs again at once: no task may have two runs at the same time.
//!
//! `PROPTEST_CASES` sets the number of seeds for long runs by hand.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod simulation;
mod support;

use proptest::prelude::*;
use simulation::{Counts, Faults, NO_FAULTS, simulate};

const ORDERS: Faults = Faults { lost_orders: 0.03, lost_stops: 0.2, ..NO_FAULTS };
const LINKS: Faults = Faults { link_losses: true, ..NO_FAULTS };
const PROCESSES: Faults = Faults { kills: true, longest_freeze_ms: 600, ..NO_FAULTS };
const SUSPENSIONS: Faults = Faults { longest_freeze_ms: 3_000, ..PROCESSES };
const TIMEOUTS: Faults = Faults { impatient_callers: 1.0, lost_orders: 0.05, ..SUSPENSIONS };
const ALL: Faults = Faults {
    impatient_callers: 0.5,
    kills: true,
    leaving_callers: 0.15,
    link_losses: true,
    longest_freeze_ms: 3_000,
    lost_orders: 0.02,
    lost_stops: 0.1,
};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20))]

    /// Guards against an answer that precedes the end of the job's runs, without any fault but failing and late tasks.
    #[test]
    fn no_run_outlives_the_answer_of_its_job(seed in any::<u64>()) {
        simulate(seed, NO_FAULTS);
    }

    /// Guards against the same when stop orders are lost and other orders are executed late.
    #[test]
    fn no_run_outlives_the_answer_when_orders_are_lost(seed in any::<u64>()) {
        simulate(seed, ORDERS);
    }

    /// Guards against a run whose owner or home has lost the link to the other and that outlives the answer.
    #[test]
    fn no_run_outlives_the_answer_when_links_are_lost(seed in any::<u64>()) {
        simulate(seed, LINKS);
    }

    /// Guards against a run that outlives the answer because its owner was killed, frozen or fenced off.
    #[test]
    fn no_run_outlives_the_answer_when_entries_fail(seed in any::<u64>()) {
        simulate(seed, PROCESSES);
    }

    /// Guards against a run that a suspended owner starts when it resumes, for a home that has voided the link long before.
    #[test]
    fn no_run_outlives_the_answer_when_entries_are_suspended(seed in any::<u64>()) {
        simulate(seed, SUSPENSIONS);
    }

    /// Guards against a run that a resumed owner or home starts for a caller who has left during the suspension and sent the job to
    /// another entry.
    #[test]
    fn no_run_outlives_the_time_budget_when_entries_are_suspended(seed in any::<u64>()) {
        simulate(seed, TIMEOUTS);
    }

    /// Guards against combinations of the faults above, with callers that leave and come back.
    #[test]
    fn no_run_outlives_the_answer_with_all_faults(seed in any::<u64>()) {
        simulate(seed, ALL);
    }
}

/// Guards against a simulation without starts, failures and resubmissions, in which the properties above would hold
/// trivially.
#[test]
fn the_simulation_starts_fails_and_resubmits_jobs() {
    let mut total = Counts::default();
    for seed in 0..10 {
        total.add(&simulate(seed, ALL).counts);
    }
    assert!(total.starts > 1_000, "{total:?}");
    assert!(total.resubmitted > 100 && total.waited > 80, "{total:?}");
    assert!(total.completed > 80 && total.rejected > 20, "{total:?}");
    assert!(total.abandoned > 10 && total.late_orders > 50, "{total:?}");
    assert!(total.kills > 10 && total.freezes > 10, "{total:?}");
    assert!(total.lost_links > 50 && total.fenced > 10, "{total:?}");
}

/// Guards against freezes that the simulated entries do not notice, in which the property about suspensions would hold
/// trivially.
#[test]
fn the_simulation_suspends_entries() {
    let suspensions: usize = (0..3).map(|seed| simulate(seed, SUSPENSIONS).counts.suspensions).sum();
    assert!(suspensions > 3, "{suspensions} suspensions");
}
