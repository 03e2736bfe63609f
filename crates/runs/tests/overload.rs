//! Order and placement of starts when there are more tasks than free resources.

#![allow(clippy::expect_used, reason = "tests")]

mod support;

use std::collections::{BTreeMap, BTreeSet};

use hinge_runs::{
    Action, Assignment, EndKind, Event, HoldReply, Listing, Outcome, Resources, Runner, StartReply,
};
use support::{HOME, assignment, ms, own, record, token};
use tokio::time::Instant;

const CORE: u64 = 1_000;

/// An owner of upstreams that accept every start; the test ends the runs.
struct Owner {
    now: Instant,
    reports: BTreeMap<u64, Vec<Outcome>>,
    runner: Runner,
    /// Started tasks with their upstreams, in order.
    started: Vec<(String, String)>,
    /// Upstreams that answer no hold.
    unanswered: BTreeSet<String>,
}

impl Owner {
    fn new(upstreams: &[&str]) -> Self {
        let mut owner = Self {
            now: Instant::now(),
            reports: BTreeMap::new(),
            runner: Runner::default(),
            started: Vec::new(),
            unanswered: BTreeSet::new(),
        };
        owner.handle(Event::Upstreams(upstreams.iter().map(|id| record(id, 1)).collect()));
        for id in upstreams {
            owner.handle(own(token(1), id));
        }
        owner
    }

    fn handle(&mut self, event: Event) {
        self.runner.handle(self.now, event);
        loop {
            let actions: Vec<_> = self.runner.drain_actions().collect();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute(action);
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Hold(hold) if hold.wait.is_zero() && !self.unanswered.contains(&*hold.upstream) => {
                let reply = HoldReply::Listed(Listing { clock_ms: 1, ..Listing::default() });
                self.runner.handle(self.now, Event::HoldEnded { hold, reply });
            }
            Action::Start(start) => {
                self.started.push((start.run.task.to_string(), start.upstream.to_string()));
                let reply = StartReply::Started { clock_ms: 1 };
                self.runner.handle(self.now, Event::StartEnded { reply, start });
            }
            Action::Report { report, .. } => {
                self.reports.entry(report.assignment).or_default().push(report.outcome);
            }
            Action::Hold(_) | Action::Notice(_) | Action::Stop(_) => {}
        }
    }

    fn assign(&mut self, assignment: Assignment) {
        self.handle(Event::Assigned { assignment, home: HOME, sent_after: self.now });
    }

    /// Ends the run of a task on its upstream after `after_ms`.
    fn end(&mut self, task: &str, after_ms: u64, number: u64) {
        self.end_with(EndKind::Done, task, after_ms, number);
    }

    fn end_with(&mut self, how: EndKind, task: &str, after_ms: u64, number: u64) {
        self.now += ms(after_ms);
        let (_, upstream) =
            self.started.iter().rfind(|(started, _)| started == task).expect("started").clone();
        self.handle(support::end_of(&upstream, task, how, number, self.now));
    }

    fn started(&self) -> Vec<&str> {
        self.started.iter().map(|(task, _)| task.as_str()).collect()
    }
}

fn sized(id: u64, task: &str, cores: u64) -> Assignment {
    let need = Resources { cpu_millis: cores * CORE, gpus: 0, memory_mb: 64 };
    Assignment { need, ..assignment(id, task, 1) }
}

/// Guards against starvation of large tasks: on busy upstreams a stream of small tasks takes all free resources before
/// a large task fits.
#[test]
fn large_tasks_start_first_within_a_priority() {
    let mut owner = Owner::new(&["up-1"]);
    owner.assign(sized(1, "first", 16));
    for (id, task, cores) in [(2, "small-a", 5), (3, "large", 10), (4, "small-b", 5)] {
        owner.assign(sized(id, task, cores));
    }
    owner.end("first", 100, 1);
    assert_eq!(owner.started(), ["first", "large", "small-a"]);
}

/// Guards against an owner that gets no tasks any more because one job asked for more than any upstream has: its report
/// counts slots in tasks of average size.
#[test]
fn a_task_larger_than_every_upstream_does_not_hide_the_free_slots() {
    let mut owner = Owner::new(&["up-1"]);
    let slots = |owner: &Owner| owner.runner.load(owner.now, &"deicing".into()).slots;
    assert!(slots(&owner) > 0);
    for id in 1..200 {
        owner.assign(sized(id, &format!("huge-{id}"), u64::MAX / CORE));
    }
    assert!(slots(&owner) > 0);
}

/// Guards against resources that stay reserved for ever after a run was assigned twice under the same id.
#[test]
fn a_run_that_is_assigned_twice_starts_once() {
    let mut owner = Owner::new(&["up-1"]);
    owner.assign(sized(1, "task", 4));
    owner.assign(sized(2, "task", 4));
    assert_eq!(owner.started(), ["task"]);
    assert_eq!(owner.reports[&2], [Outcome::NotStarted]);
    owner.end("task", 100, 1);
    let rooms = owner.runner.load(owner.now, &"deicing".into()).rooms_cpu_millis;
    assert_eq!(rooms, [16 * CORE]);
}

/// Guards against a large, less urgent task that starts before a small urgent one.
#[test]
fn priority_precedes_task_size() {
    let mut owner = Owner::new(&["up-1"]);
    owner.assign(sized(1, "first", 16));
    owner.assign(Assignment { priority: 2, ..sized(2, "large", 12) });
    owner.assign(sized(3, "urgent", 5));
    owner.end("first", 100, 1);
    assert_eq!(owner.started(), ["first", "urgent"]);
}

/// Guards against late tasks that take resources from tasks that can be in time: in a burst, the remaining tasks of
/// late jobs would make each later job late as well.
#[test]
fn late_tasks_queue_behind_tasks_that_can_be_in_time() {
    let mut owner = Owner::new(&["up-1"]);
    owner.assign(sized(1, "first", 16));
    owner.assign(Assignment { late: true, ..sized(2, "late", 10) });
    owner.assign(sized(3, "in-time", 10));
    owner.end("first", 100, 1);
    assert_eq!(owner.started(), ["first", "in-time"]);
}

/// Guards against tasks that queue at an owner whose load report was out of date, as when many homes see the same free
/// slot.
#[test]
fn a_task_that_must_not_wait_is_returned_at_once() {
    let mut owner = Owner::new(&["up-1"]);
    owner.assign(sized(1, "first", 16));
    owner.assign(Assignment { waits: false, ..sized(2, "offered", 5) });
    assert_eq!(owner.reports[&2], [Outcome::NotStarted]);
    assert_eq!(owner.started(), ["first"]);
}

/// Guards against jobs that are late because a slow upstream counts as free, as when some upstreams take several times
/// as long while all others are busy. A slow upstream is tried again after a while, with one task at a time.
#[test]
fn a_slow_upstream_gets_no_task_that_would_end_late() {
    let mut owner = Owner::new(&["up-1"]);
    let task = |id, name| Assignment { start_within_ms: 80, ..sized(id, name, 7) };
    owner.assign(task(1, "slow-a"));
    owner.assign(task(2, "slow-b"));
    owner.end("slow-a", 600, 1);
    owner.end("slow-b", 50, 2);
    owner.assign(Assignment { waits: false, ..task(3, "next") });
    assert_eq!(owner.reports[&3], [Outcome::NotStarted]);
    owner.now += ms(6_000);
    owner.assign(Assignment { waits: false, ..task(4, "trial") });
    owner.assign(Assignment { waits: false, ..task(5, "beside") });
    assert_eq!(owner.started(), ["slow-a", "slow-b", "trial"]);
    assert_eq!(owner.reports[&5], [Outcome::NotStarted]);
}

/// Guards against a failing upstream that fails all queued tasks as soon as its pause ends.
#[test]
fn an_upstream_on_probation_gets_one_task_at_a_time() {
    let mut owner = Owner::new(&["up-1"]);
    for number in 1..=3 {
        let task = format!("failed-{number}");
        owner.assign(sized(number, &task, 5));
        owner.end_with(EndKind::Failed, &task, 10, number);
    }
    owner.assign(sized(4, "trial", 5));
    owner.assign(sized(5, "beside", 5));
    assert_eq!(owner.started.len(), 3, "paused");
    owner.now += ms(300);
    owner.handle(Event::Tick);
    assert_eq!(owner.started()[3..], ["trial"]);
    owner.end("trial", 10, 4);
    assert_eq!(owner.started()[3..], ["trial", "beside"]);
}

/// Guards against a record of another program whose capacity lets a huge task count as a usual one, so that the free slots
/// of the real upstreams are hidden: an upstream that has never answered tells nothing about the size of tasks.
#[test]
fn the_capacity_of_an_upstream_without_an_answer_does_not_hide_the_free_slots() {
    let mut owner = Owner::new(&["up-1"]);
    let mut odd = record("up-2", 1);
    odd.capacity.cpu_millis = 10_000_000;
    owner.unanswered.insert("up-2".to_owned());
    owner.handle(Event::Upstreams(vec![record("up-1", 1), odd]));
    owner.handle(own(token(1), "up-2"));
    let slots = |owner: &Owner| owner.runner.load(owner.now, &"deicing".into()).slots;
    assert!(slots(&owner) > 0);
    for id in 1..200 {
        owner.assign(sized(id, &format!("huge-{id}"), 9_000));
    }
    assert!(slots(&owner) > 0);
}

/// Guards against tasks that are lost with an upstream because a task that has just lost one runs beside them: it is tried
/// again alone, and stays alone, while there is room elsewhere.
#[test]
fn a_task_that_is_tried_again_runs_apart_from_others() {
    let mut owner = Owner::new(&["up-1", "up-2", "up-3"]);
    owner.assign(sized(1, "first", 5));
    owner.assign(Assignment { avoid: Some("up-0".into()), ..sized(2, "retry", 5) });
    for (id, task) in [(3, "second"), (4, "third"), (5, "fourth")] {
        owner.assign(sized(id, task, 5));
    }
    let upstream_of = |task: &str| {
        let started = owner.started.iter().find(|(started, _)| started == task);
        started.expect("started").1.clone()
    };
    let sound = ["first", "second", "third"].map(upstream_of);
    assert!(sound.iter().all(|upstream| *upstream == sound[0]), "{:?}", owner.started);
    let apart = upstream_of("retry");
    assert_eq!(owner.started.iter().filter(|(_, upstream)| *upstream == apart).count(), 1);
}

/// Guards against a task that waits for an empty upstream although it fits beside others.
#[test]
fn a_task_that_is_tried_again_does_not_wait_for_an_empty_upstream() {
    let mut owner = Owner::new(&["up-1"]);
    owner.assign(sized(1, "first", 5));
    owner.assign(Assignment { avoid: Some("up-0".into()), ..sized(2, "retry", 5) });
    owner.assign(sized(3, "second", 5));
    assert_eq!(owner.started(), ["first", "retry", "second"]);
}
