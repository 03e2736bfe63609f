//! Upstreams whose process has restarted with another capacity, while the record of the former process is the last one read.

mod support;

use hinge_runs::{Action, Event, Incarnation, Resources, UpstreamRecord};
use support::{HOME, Owner, SERVICE, own, record, token};

/// Capacity of the former process; three tasks of 7,000 thousandths of a core fit.
const LARGE_CPU_MILLIS: u64 = 24_000;
/// Capacity of the next process.
const SMALL_CPU_MILLIS: u64 = 16_000;

fn sized(incarnation: Incarnation, cpu_millis: u64) -> UpstreamRecord {
    let capacity = Resources { cpu_millis, gpus: 0, memory_mb: 32_768 };
    UpstreamRecord { capacity, ..record("up-1", incarnation) }
}

impl Owner {
    /// An owner of an upstream that starts again under its id, which the owner knows from an answer only.
    fn with_restarted_upstream(guards: bool) -> Self {
        let mut owner = Self::new();
        if guards {
            owner.handle(Event::GuardingServices([SERVICE.into()].into_iter().collect()));
        }
        owner.show(1, LARGE_CPU_MILLIS);
        owner.upstream.restart();
        owner.list_runs();
        owner
    }

    /// Shows the owner a record.
    fn show(&mut self, incarnation: Incarnation, cpu_millis: u64) {
        self.handle(Event::Upstreams(vec![sized(incarnation, cpu_millis)]));
        self.answer_all();
    }

    fn list_runs(&mut self) {
        let listing = self.listing();
        self.handle(listing);
        self.answer_all();
    }

    /// Assigns three tasks; returns the CPU that the runs on the upstream use.
    fn used_after_three_tasks(&mut self) -> u64 {
        for id in 1..=3 {
            self.assign(id, &format!("job.{id}"));
        }
        self.answer_all();
        7_000 * self.upstream.running.len() as u64
    }
}

/// Guards against starts beyond the capacity of an upstream that starts whatever it is told to: it is smaller than its former
/// process, whose record is the last one that its owner has read.
#[test]
fn the_capacity_of_a_former_process_is_not_used() {
    let mut owner = Owner::with_restarted_upstream(false);
    assert_eq!(owner.used_after_three_tasks(), 0);
    owner.show(2, SMALL_CPU_MILLIS);
    assert_eq!(owner.upstream.running.len(), 2, "the tasks start by the record of the new process");
}

/// Guards against an upstream without work for as long as the store is away: it rejects what does not fit, so that the record
/// of its former process does no harm.
#[test]
fn an_upstream_that_guards_its_capacity_is_used_by_the_record_of_its_former_process() {
    let mut owner = Owner::with_restarted_upstream(true);
    assert_eq!(owner.used_after_three_tasks(), 21_000);
}

/// Guards against a load report that draws tasks to an upstream which gets none.
#[test]
fn an_upstream_without_a_current_record_reports_no_room() {
    for (guards, slots) in [(false, false), (true, true)] {
        let owner = Owner::with_restarted_upstream(guards);
        let load = owner.runner.load(owner.now, &SERVICE.into());
        assert_eq!((load.slots > 0, !load.rooms_cpu_millis.is_empty()), (slots, slots));
    }
}

/// Guards against a record of the former process that the store shows again, after an outage, to an owner that knows the new one.
#[test]
fn an_older_record_does_not_replace_that_of_the_present_process() {
    let mut owner = Owner::with_restarted_upstream(false);
    owner.show(2, SMALL_CPU_MILLIS);
    owner.list_runs();
    owner.show(1, LARGE_CPU_MILLIS);
    assert_eq!(owner.used_after_three_tasks(), 14_000);
}

/// Guards against an answer of the former process that arrives after the record of the next one, and makes its capacity hold for
/// the former one or the other way round.
#[test]
fn a_late_answer_of_the_former_process_starts_nothing() {
    let mut owner = Owner::new();
    owner.show(1, LARGE_CPU_MILLIS);
    let late = owner.listing();
    owner.upstream.restart();
    owner.show(2, SMALL_CPU_MILLIS);
    owner.handle(late);
    owner.answer_all();
    assert_eq!(owner.used_after_three_tasks(), 14_000);
}

/// Guards against the record of the second of two restarts that counts for the third process.
#[test]
fn the_record_of_an_intermediate_process_is_not_used() {
    let mut owner = Owner::with_restarted_upstream(false);
    owner.upstream.restart();
    owner.list_runs();
    owner.show(2, LARGE_CPU_MILLIS);
    owner.list_runs();
    assert_eq!(owner.used_after_three_tasks(), 0);
    owner.show(3, SMALL_CPU_MILLIS);
    owner.list_runs();
    assert_eq!(owner.upstream.running.len(), 2);
}

/// Guards against an entry that takes an upstream over with the record of a process that has ended since.
#[test]
fn a_takeover_with_the_record_of_a_former_process_starts_nothing() {
    let mut owner = Owner::new();
    owner.handle(Event::Release("up-1".into()));
    owner.answer_all();
    owner.upstream.restart();
    owner.handle(own(token(1_000), "up-1"));
    owner.answer_all();
    owner.list_runs();
    assert_eq!(owner.used_after_three_tasks(), 0);
}

/// Guards against a service that stops guarding its capacity while an upstream has the record of its former process.
#[test]
fn a_service_that_guards_no_longer_gets_no_start_by_an_outdated_record() {
    let mut owner = Owner::with_restarted_upstream(true);
    owner.handle(Event::GuardingServices([].into_iter().collect()));
    owner.assign(1, "job.1");
    assert!(!owner.actions().iter().any(|action| matches!(action, Action::Start(_))));
    owner.handle(Event::Cancelled { assignment: 1, home: HOME });
}
