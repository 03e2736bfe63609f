//! Where tasks go: the load of a wide job in a moderately busy cluster.

mod support;

use std::collections::BTreeMap;

use hinge_runs::Outcome;
use support::{Home, OWN, load, request};

fn counts(home: &Home) -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    for (owner, _) in &home.assigned {
        *counts.entry(*owner).or_default() += 1;
    }
    counts
}

/// Guards against a wide job that waits at its home while other owners have free slots.
#[test]
fn a_wide_job_spreads_over_the_owners_with_room() {
    let mut home = Home::new(&[(OWN, load(2, 0, 60)), (2, load(4, 0, 60)), (3, load(3, 0, 60))]);
    home.submit(request("a", 9, 60));
    assert_eq!(counts(&home), BTreeMap::from([(OWN, 2), (2, 4), (3, 3)]));
}

/// Guards against two jobs in a row that are both sent to the slots that a report showed as free.
#[test]
fn tasks_on_their_way_count_until_a_report_includes_them() {
    let mut home = Home::new(&[(2, load(4, 0, 60)), (3, load(4, 0, 60))]);
    home.submit(request("a", 4, 60));
    home.submit(request("b", 4, 60));
    assert_eq!(counts(&home), BTreeMap::from([(2, 4), (3, 4)]));
    home.set_load(2, load(4, 0, 60), 8);
    home.submit(request("c", 2, 60));
    assert_eq!(counts(&home)[&2], 6);
}

/// Guards against urgent tasks that are thought to wait behind less urgent ones.
#[test]
fn a_queue_of_less_urgent_tasks_does_not_count() {
    let mut busy = load(0, 0, 60);
    busy.queued = [0, 0, 40, 0];
    let mut home = Home::new(&[(2, busy), (3, load(0, 3, 60))]);
    home.submit(request("a", 1, 60));
    assert_eq!(counts(&home), BTreeMap::from([(2, 1)]));
}

/// Guards against tasks that stay in one owner's queue while another owner has become free: the pattern of a burst of
/// long tasks, where owners empty at different times.
#[test]
fn a_waiting_task_moves_to_an_owner_that_became_free() {
    let mut home = Home::new(&[(2, load(0, 2, 60)), (3, load(0, 8, 60))]);
    home.submit(request("a", 1, 200));
    assert_eq!(home.assigned[0].0, 2);
    home.set_load(2, load(0, 6, 60), 1);
    home.set_load(3, load(2, 0, 60), 0);
    home.rebalance_after(10);
    assert!(home.recalled.is_empty(), "its owner may start it any moment");
    home.rebalance_after(10);
    assert_eq!(home.recalled, [(2, home.assigned[0].1.id)]);
    home.report(0, Outcome::NotStarted);
    assert_eq!(home.assigned[1].0, 3);
    assert!(home.answers.is_empty());
}

/// Guards against a move that stops a run: a task that started in the meantime stays where it is.
#[test]
fn a_task_that_started_is_not_moved() {
    let mut home = Home::new(&[(2, load(0, 6, 60)), (3, load(0, 8, 60))]);
    home.submit(request("a", 1, 200));
    home.report(0, Outcome::Started);
    home.set_load(3, load(2, 0, 60), 0);
    home.rebalance_after(20);
    assert!(home.recalled.is_empty());
}

/// Guards against all homes taking their tasks back for one free slot.
#[test]
fn no_more_tasks_are_recalled_than_slots_are_free() {
    let mut home = Home::new(&[(2, load(0, 6, 60))]);
    home.submit(request("a", 6, 200));
    home.set_load(3, load(2, 0, 60), 0);
    home.rebalance_after(20);
    assert_eq!(home.recalled.len(), 2);
}

/// Guards against a herd: homes with the same reports that all send their next task to the owner with the most room.
#[test]
fn homes_with_the_same_reports_spread_over_the_owners_with_room() {
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

/// Guards against a large task that is sent to many small rooms, none of which holds it.
#[test]
fn a_large_task_goes_where_one_room_holds_it() {
    let mut wide = load(1, 0, 60);
    wide.rooms_cpu_millis = vec![10_000];
    let mut home = Home::new(&[(2, load(6, 0, 60)), (3, wide)]);
    let mut large = request("a", 1, 60);
    large.need.cpu_millis = 9_500;
    home.submit(large);
    assert_eq!(counts(&home), BTreeMap::from([(3, 1)]));
}

/// Guards against a task that waits at an owner whose room was taken by another home in the meantime, and against one
/// that is passed on for ever.
#[test]
fn a_task_returned_for_want_of_room_goes_elsewhere_at_once_and_waits_in_the_end() {
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

/// Guards against new tasks for an owner that has just been cut off, which fail with it half a second later.
#[test]
fn an_owner_that_has_fallen_silent_gets_no_new_tasks() {
    let mut home = Home::new(&[(2, load(8, 0, 60)), (3, load(0, 3, 60))]);
    home.table.set_unresponsive_owners([2].into_iter().collect());
    home.submit(request("a", 3, 60));
    assert_eq!(counts(&home), BTreeMap::from([(3, 3)]));
    home.table.set_unresponsive_owners([2, 3].into_iter().collect());
    home.submit(request("b", 1, 60));
    assert_eq!(home.assigned.len(), 4, "without any other it is still tried");
}
