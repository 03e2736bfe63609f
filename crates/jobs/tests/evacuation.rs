//! Tasks that owners return because their upstreams are in evacuated data centres.

mod support;

use hinge_jobs::{Answer, FailCause, RejectCause};
use hinge_runs::{HomeId, Load, Outcome, TaskReport};
use support::{HOME, Home, load, ms, request};

/// Owner in the data centre that is evacuated.
const EVACUATED: HomeId = 2;
/// Owner elsewhere.
const OTHER: HomeId = 3;

impl Home {
    /// The owner of the assignment at `position` returns it. Its load report comes first.
    fn return_evacuated(&mut self, position: usize) {
        let (owner, assignment) = self.assigned[position].clone();
        let report = TaskReport::new(assignment.id, Outcome::NotStarted, assignment.run);
        self.table.report(self.now, owner, &TaskReport { place_again: true, ..report });
        self.collect();
    }

    fn owner_at(&self, position: usize) -> HomeId {
        self.assigned[position].0
    }
}

/// Guards against a job that is rejected because the data centre of its first owner is evacuated, while there is room in
/// another one; under load, each of its tasks comes back.
#[test]
fn returned_tasks_are_placed_at_other_owners() {
    for waiting in [false, true] {
        let free = if waiting { 0 } else { 50 };
        let mut home = Home::new(&[(EVACUATED, load(free, 0, 5))]);
        home.submit(request("a", 50, 200));
        home.set_load(EVACUATED, Load::default(), 50);
        home.set_load(OTHER, load(50, 0, 5), 0);
        for position in 0..50 {
            assert_eq!(home.owner_at(position), EVACUATED);
            home.return_evacuated(position);
            assert_eq!(home.owner_at(50 + position), OTHER, "waiting: {waiting}");
        }
        assert!(home.answers.is_empty());
    }
}

/// Guards against jobs that wait until their time is over when there is no room on the whole site, and against a rejection
/// of a job that may have run.
#[test]
fn without_another_owner_the_job_is_rejected_at_once() {
    let mut home = Home::new(&[(EVACUATED, load(4, 0, 60))]);
    home.submit(request("a", 1, 60));
    home.submit(request("b", 1, 60));
    home.report(1, Outcome::Started);
    home.set_load(EVACUATED, Load::default(), 2);
    home.return_evacuated(0);
    home.return_evacuated(1);
    home.submit(request("c", 1, 60));
    let answers: Vec<_> = home.answers.iter().map(|(_, answer)| *answer).collect();
    assert!(matches!(answers[0], Answer::Rejected { cause: RejectCause::Overload, .. }), "{answers:?}");
    assert!(matches!(answers[1], Answer::Failed(FailCause::Late)), "{answers:?}");
    assert!(matches!(answers[2], Answer::Rejected { cause: RejectCause::NoOwner, .. }), "{answers:?}");
}

/// Guards against a task that is queued at an owner which cannot start it in time.
#[test]
fn a_returned_task_is_not_queued_behind_too_long_a_queue() {
    let mut home = Home::new(&[(EVACUATED, load(4, 0, 60))]);
    home.submit(request("a", 1, 60));
    home.set_load(EVACUATED, Load::default(), 1);
    home.set_load(OTHER, load(0, 500, 60), 0);
    home.return_evacuated(0);
    assert!(matches!(home.answers[0].1, Answer::Rejected { cause: RejectCause::Overload, .. }));
}

/// Guards against a task that its home and its owner, which may be the same process, hand to each other without end.
#[test]
fn a_task_that_always_comes_back_is_given_up() {
    let mut home = Home::new(&[(HOME, load(14, 0, 60))]);
    home.submit(request("a", 1, 60));
    let mut position = 0;
    while home.answers.is_empty() {
        home.return_evacuated(position);
        position += 1;
        assert!(position < 20);
    }
    assert!(matches!(home.answers[0].1, Answer::Rejected { .. }));
}

/// Guards against a home that prefers owners without room, which its own and nearby ones are during the evacuation.
#[test]
fn owners_without_slots_are_not_chosen() {
    let full = Load { rooms_cpu_millis: Vec::new(), slots: 0, ..load(0, 0, 0) };
    let mut home = Home::new(&[(HOME, full.clone()), (EVACUATED, full), (OTHER, load(0, 1, 60))]);
    home.table.set_latency(OTHER, ms(5));
    home.submit(request("a", 3, 200));
    assert!(home.assigned.iter().all(|(owner, _)| *owner == OTHER));
    assert_eq!(home.assigned.len(), 3);
}
