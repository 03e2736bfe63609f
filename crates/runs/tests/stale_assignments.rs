//! Assignments whose home may have died since it sent them.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::time::Duration;

use hinge_runs::{Action, Event, LIVENESS_TIMEOUT, Outcome};
use support::{HOME, Owner, assignment};

/// Guards against a task that runs beside its resubmission: its owner reads or handles the assignment so late that its home
/// may have died long before.
#[test]
fn an_assignment_is_started_only_while_its_home_may_be_alive() {
    for (late, starts) in [(Duration::ZERO, true), (Duration::from_millis(1), false)] {
        let mut owner = Owner::new();
        let sent_after = owner.now.checked_sub(LIVENESS_TIMEOUT + late).unwrap();
        owner.handle(Event::Assigned { assignment: assignment(1, "job.1", 1), home: HOME, sent_after });
        let actions = owner.actions();
        assert_eq!(actions.iter().any(|action| matches!(action, Action::Start(_))), starts, "{actions:?}");
        let expected = if starts { Outcome::Started } else { Outcome::NotStarted };
        assert_eq!(owner.reports.last().unwrap().1.outcome, expected);
    }
}
