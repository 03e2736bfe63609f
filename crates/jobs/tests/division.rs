//! Distribution of tasks over owners.

mod support;

use std::collections::BTreeMap;

use hinge_jobs::{Answer, RejectCause};
use hinge_runs::Outcome;
use support::{HOME, Home, load, ms, request};

fn counts(home: &Home) -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    for (owner, _) in &home.assigned {
        *counts.entry(*owner).or_default() += 1;
    }
    counts
}

/// Guards against a job with many tasks that waits at its home while other owners have free slots.
#[test]
fn a_wide_job_spreads_over_the_owners_with_room() {
    let mut home = Home::new(&[(HOME, load(2, 0, 60)), (2, load(4, 0, 60)), (3, load(3, 0, 60))]);
    home.submit(request("a", 9, 60));
    assert_eq!(counts(&home), BTreeMap::from([(HOME, 2), (2, 4), (3, 3)]));
}

/// Guards against two jobs that are both sent to the same free slots before the owner's next report.
#[test]
fn tasks_in_flight_count_until_a_report_includes_them() {
    let mut home = Home::new(&[(2, load(4, 0, 60)), (3, load(4, 0, 60))]);
    home.submit(request("a", 4, 60));
    home.submit(request("b", 4, 60));
    assert_eq!(counts(&home), BTreeMap::from([(2, 4), (3, 4)]));
    home.set_load(2, load(4, 0, 60), 8);
    home.submit(request("c", 2, 60));
    assert_eq!(counts(&home)[&2], 6);
}

/// Guards against a wait estimate for urgent tasks that includes less urgent ones.
#[test]
fn less_urgent_queued_tasks_do_not_count() {
    let mut busy = load(0, 0, 60);
    busy.queued = [0, 0, 40, 0];
    let mut home = Home::new(&[(2, busy), (3, load(0, 3, 60))]);
    home.submit(request("a", 1, 60));
    assert_eq!(counts(&home), BTreeMap::from([(2, 1)]));
}

/// Guards against tasks that stay in one owner's queue while another owner has become free, as after a burst of long
/// tasks, when the queues of the owners empty at different times.
#[test]
fn a_waiting_task_moves_to_an_owner_with_room() {
    let mut home = Home::new(&[(2, load(0, 2, 60)), (3, load(0, 8, 60))]);
    home.submit(request("a", 1, 200));
    assert_eq!(home.assigned[0].0, 2);
    home.set_load(2, load(0, 6, 60), 1);
    home.set_load(3, load(2, 0, 60), 0);
    home.rebalance_after(10);
    assert!(home.recalled.is_empty(), "a task is not recalled before it has waited for 15 ms");
    home.rebalance_after(10);
    assert_eq!(home.recalled, [(2, home.assigned[0].1.id)]);
    home.report(0, Outcome::NotStarted);
    assert_eq!(home.assigned[1].0, 3);
    assert!(home.answers.is_empty());
}

/// Guards against recalling a task that has already started.
#[test]
fn a_started_task_is_not_moved() {
    let mut home = Home::new(&[(2, load(0, 6, 60)), (3, load(0, 8, 60))]);
    home.submit(request("a", 1, 200));
    home.report(0, Outcome::Started);
    home.set_load(3, load(2, 0, 60), 0);
    home.rebalance_after(20);
    assert!(home.recalled.is_empty());
}

/// Guards against recalling many tasks for few free slots.
#[test]
fn at_most_as_many_tasks_are_recalled_as_slots_are_free() {
    let mut home = Home::new(&[(2, load(0, 6, 60))]);
    home.submit(request("a", 6, 200));
    home.set_load(3, load(2, 0, 60), 0);
    home.rebalance_after(20);
    assert_eq!(home.recalled.len(), 2);
}

/// Guards against a thundering herd: homes with the same reports that all choose the owner with the most room.
#[test]
fn homes_with_equal_reports_choose_different_owners() {
    let owners = [(2, load(5, 0, 60)), (3, load(4, 0, 60)), (4, load(4, 0, 60)), (5, load(3, 0, 60))];
    let mut counts = BTreeMap::new();
    for seed in 1..=16 {
        let mut home = Home::with_seed(seed, &owners);
        home.submit(request("a", 1, 60));
        *counts.entry(home.assigned[0].0).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 4, "{counts:?}");
    assert!(counts.values().all(|count| *count <= 8), "{counts:?}");
}

/// Guards against a large task that is sent to an owner with much free CPU in total, but not enough on any upstream.
#[test]
fn a_large_task_goes_to_an_upstream_with_enough_room() {
    let mut wide = load(1, 0, 60);
    wide.rooms_cpu_millis = vec![10_000];
    let mut home = Home::new(&[(2, load(6, 0, 60)), (3, wide)]);
    let mut large = request("a", 1, 60);
    large.need.cpu_millis = 9_500;
    home.submit(large);
    assert_eq!(counts(&home), BTreeMap::from([(3, 1)]));
}

/// Guards against a task that queues at an owner whose room another home has taken in the meantime, and against a task
/// that is passed from owner to owner without end.
#[test]
fn a_returned_task_is_offered_elsewhere_and_finally_queued() {
    let mut home = Home::new(&[(2, load(1, 0, 60)), (3, load(1, 0, 60)), (4, load(1, 0, 60))]);
    home.submit(request("a", 1, 200));
    for position in 0..3 {
        assert!(!home.assigned[position].1.waits);
        home.report(position, Outcome::NotStarted);
    }
    assert_eq!(home.assigned.len(), 4);
    assert!(home.assigned[3].1.waits);
    assert!(home.answers.is_empty());
}

/// Guards against offers of further tasks to an owner that has just returned one, by the report that was out of date.
#[test]
fn an_owner_that_returned_a_task_counts_as_full_until_its_next_report() {
    let mut home = Home::new(&[(2, load(8, 0, 60))]);
    home.submit(request("a", 1, 200));
    home.set_load(3, load(1, 0, 60), 0);
    home.report(0, Outcome::NotStarted);
    assert_eq!(home.assigned[1].0, 3);
    home.submit(request("b", 1, 200));
    assert!(home.assigned[2].1.waits, "no owner counts as having room");
    home.set_load(2, load(8, 0, 60), 9);
    home.submit(request("c", 1, 200));
    assert_eq!(home.assigned[3].0, 2);
    assert!(!home.assigned[3].1.waits);
}

/// Guards against a returned task that is placed again although its caller leaves before it can end: the limit was checked by
/// ticks only, which come after the reports that a process reads when it has stood still.
#[test]
fn a_returned_task_that_cannot_end_before_its_caller_leaves_is_rejected() {
    let mut home = Home::new(&[(2, load(1, 0, 60)), (3, load(1, 0, 60))]);
    // The objective is later than the end of the caller's budget of 2 s.
    home.submit(request("a", 1, 1_500));
    home.now += ms(600);
    home.report(0, Outcome::NotStarted);
    assert_eq!(home.assigned.len(), 1);
    assert!(matches!(home.answers[..], [(_, Answer::Rejected { cause: RejectCause::Overload, .. })]));
}

/// Guards against new tasks for an owner that has just become unreachable: they would fail when its link goes down half
/// a second later.
#[test]
fn an_unresponsive_owner_gets_no_new_tasks() {
    let mut home = Home::new(&[(2, load(8, 0, 60)), (3, load(0, 3, 60))]);
    home.table.set_unresponsive_owners([2].into_iter().collect());
    home.submit(request("a", 3, 60));
    assert_eq!(counts(&home), BTreeMap::from([(3, 3)]));
    home.table.set_unresponsive_owners([2, 3].into_iter().collect());
    home.submit(request("b", 1, 60));
    assert_eq!(home.assigned.len(), 4, "unresponsive owners are used if there is no other");
}
