//! Targets of the policy, checked in short simulations of the dispatcher and the naive version.

#![allow(clippy::expect_used, reason = "tests")]

use hinge_bench::policy_report::{ReportOptions, ScenarioFigures, VersionFigures, markdown_tables, run_all};
use hinge_conf::Policy;
use hinge_wire::Class;

fn figures(name: &str) -> ScenarioFigures {
    let options =
        ReportOptions { duration_s: 40.0, only: name.to_owned(), policy: Policy::default(), seed: 1 };
    run_all(&options).into_iter().find(|result| result.name == name).expect("a scenario of this name")
}

/// 99th percentile of the response time divided by the ideal.
fn p99_ratio(version: &VersionFigures, class: Class) -> f64 {
    version.classes[class.index()].ratio[1]
}

fn meets_steady_targets(version: &VersionFigures) -> bool {
    let urgent = &version.classes[Class::Urgent.index()];
    urgent.ratio[0] <= 1.10 && urgent.ratio[1] <= 1.5 && version.wasted_per_start <= 0.1
}

/// Guards against a policy that misses the targets at 80% load with failing upstreams, and against figures that differ
/// between equal runs. The naive version must miss the targets, so that they tell the versions apart.
#[test]
fn steady_targets_hold_with_failing_upstreams() {
    let scenario = "Co-operative, 80% load, 5% of upstreams fail everything";
    let result = figures(scenario);
    let [dispatcher, naive] = &result.versions;
    assert!(meets_steady_targets(dispatcher), "{}", markdown_tables(std::slice::from_ref(&result)));
    assert!(!meets_steady_targets(naive));
    assert_eq!(markdown_tables(&[figures(scenario)]), markdown_tables(&[result]));
}

/// Guards against a flood of batch jobs that delays urgent requests or keeps the other classes from completing.
#[test]
fn batch_flood_spares_the_other_classes() {
    let baseline = figures("Barfani, 80% load");
    let flood = figures("Barfani, tenfold batch flood");
    let complete = |version: &VersionFigures, class: Class| {
        let row = &version.classes[class.index()];
        row.complete as f64 / (row.complete + row.rejected + row.failed + row.unanswered) as f64
    };
    let [dispatcher, naive] = &flood.versions;
    assert!(p99_ratio(dispatcher, Class::Urgent) <= 1.25 * p99_ratio(&baseline.versions[0], Class::Urgent));
    for class in [Class::Urgent, Class::Booking, Class::Query] {
        assert!(complete(dispatcher, class) >= 0.9, "{class}");
    }
    assert!(complete(naive, Class::Urgent) < 0.9);
}

/// Guards against a flood of urgent requests that takes slots from the guaranteed shares of the other classes.
#[test]
fn guaranteed_shares_hold_in_an_urgent_flood() {
    let flood = figures("Barfani, tenfold urgent flood");
    // The window of the figures is 40% of the run.
    let slot_seconds = 400.0 * 40.0 * 0.4;
    for (class, share) in [(Class::Booking, 0.25), (Class::Query, 0.10), (Class::Batch, 0.15)] {
        let row = &flood.versions[0].classes[class.index()];
        // A class that offers less than its share completes what it offers.
        let all_complete = row.rejected + row.failed + row.unanswered == 0;
        assert!(all_complete || row.complete_work_s >= share * slot_seconds, "{class}: {row:?}");
    }
}
