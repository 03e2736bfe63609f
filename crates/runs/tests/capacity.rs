//! Upstreams whose capacity changes while tasks run on them. Such an upstream starts whatever it is told to start.

mod support;

use hinge_runs::{Action, Event, Resources, UpstreamRecord};
use support::{HOME, Owner, record};

fn sized(cpu_millis: u64) -> UpstreamRecord {
    let capacity = Resources { cpu_millis, gpus: 0, memory_mb: 32_768 };
    UpstreamRecord { capacity, sequence: 2, ..record("up-1", 1) }
}

impl Owner {
    /// Registers the upstream with a new capacity.
    fn resize(&mut self, cpu_millis: u64) {
        self.handle(Event::Upstreams(vec![sized(cpu_millis)]));
        self.answer_all();
    }

    /// Assigns a task of 7,000 thousandths of a core and returns the number of runs on the upstream.
    fn runs_after(&mut self, id: u64) -> usize {
        self.assign(id, &format!("job.{id}"));
        self.answer_all();
        self.upstream.running.len()
    }

    /// Lets all runs end and reads the listing.
    fn finish_runs(&mut self) {
        self.advance(100);
        let listing = self.listing();
        self.handle(listing);
        self.answer_all();
    }
}

/// Guards against a start that brings an upstream over a capacity that has shrunk, and against one that is withheld after
/// it has grown again.
#[test]
fn a_changed_capacity_is_used_at_once() {
    let mut owner = Owner::new();
    owner.resize(14_000);
    assert_eq!(owner.runs_after(1), 1);
    owner.resize(13_000);
    assert_eq!(owner.runs_after(2), 1, "13 cores do not hold a second task of 7 cores");
    owner.resize(21_000);
    assert_eq!(owner.runs_after(3), 3, "the waiting task starts too");
}

/// Guards against forgetting the runs in progress when the capacity falls below what they use.
#[test]
fn runs_beyond_a_shrunk_capacity_still_count() {
    let mut owner = Owner::new();
    owner.runs_after(1);
    owner.runs_after(2);
    owner.resize(7_000);
    assert_eq!(owner.runs_after(3), 2);
    owner.resize(20_000);
    assert_eq!(owner.runs_after(4), 2, "both runs use 14 of 20 cores");
    owner.resize(7_000);
    owner.finish_runs();
    assert_eq!(owner.upstream.running.len(), 1, "one of the waiting tasks has started");
}

/// Guards against using the capacity of a run that is being stopped before the upstream has listed its end.
#[test]
fn a_run_that_is_being_stopped_still_counts() {
    let mut owner = Owner::new();
    owner.resize(14_000);
    owner.runs_after(1);
    owner.runs_after(2);
    owner.resize(7_000);
    owner.handle(Event::Cancelled { assignment: 1, home: HOME });
    owner.handle(Event::Cancelled { assignment: 2, home: HOME });
    // The stop orders are on their way: the upstream still has both runs.
    owner.actions();
    owner.assign(3, "job.3");
    assert!(!owner.actions().iter().any(|action| matches!(action, Action::Start(_))));
    let listing = owner.listing();
    owner.handle(listing);
    assert!(!owner.actions().iter().any(|action| matches!(action, Action::Start(_))));
    owner.finish_runs();
    assert_eq!(owner.upstream.running.len(), 1);
}
