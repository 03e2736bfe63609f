//! Tasks that wait in the queue while their owner stands still for less time than counts as a suspension.

mod support;

use hinge_runs::{Action, Outcome};
use support::{Owner, ms};

impl Owner {
    /// Occupies the upstream with two runs, which last until their lease expires, and queues a third task.
    fn with_waiting_task() -> Self {
        let mut owner = Self::new();
        owner.upstream.run_time_ms = 10_000;
        for id in 1..=3 {
            owner.assign(id, &format!("job.{id}"));
        }
        owner.answer_all();
        assert_eq!(owner.upstream.running.len(), 2);
        owner
    }

    /// Lets time pass without a tick, then delivers the ends of the runs.
    fn stand_still(&mut self, for_ms: u64) -> Vec<Action> {
        self.now += ms(for_ms);
        self.upstream.advance(for_ms);
        let listing = self.listing();
        self.handle(listing);
        self.actions()
    }
}

fn has_start(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Start(_)))
}

/// Guards against a task that starts after its time limit, when its caller may have left: the process stands still, and the
/// answer that shows room is read before the next tick.
#[test]
fn a_task_whose_time_limit_has_passed_is_not_started_before_the_next_tick() {
    let mut owner = Owner::with_waiting_task();
    let actions = owner.stand_still(2_000);
    assert!(!has_start(&actions), "{actions:?}");
    assert_eq!(owner.outcomes(3), [Outcome::NotStarted]);
}

/// Guards against a check of the limit that keeps tasks from starting in time.
#[test]
fn a_task_starts_up_to_its_time_limit() {
    let mut owner = Owner::with_waiting_task();
    let actions = owner.stand_still(1_999);
    assert!(has_start(&actions), "{actions:?}");
}
