//! State machine of a submission's life cycle.

use statig::prelude::*;

/// An event that concerns a submission as a whole.
#[derive(Clone, Copy, Debug)]
pub(crate) enum JobEvent {
    /// All tasks have returned results.
    Completed,
    /// The submission ended without a complete answer.
    Failed,
    /// A task started.
    Started,
    /// The only running task's start was withdrawn, and no task has ended.
    Withdrawn,
}

/// Marker type of the state machine; the data of a submission is in its `Record`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Job;

#[state_machine(
    initial = "State::queued()",
    state(derive(Clone, Copy, Debug, Eq, PartialEq)),
    visibility = "pub(crate)"
)]
impl Job {
    #[state]
    fn queued(event: &JobEvent) -> Outcome<State> {
        match event {
            JobEvent::Started => Transition(State::running()),
            JobEvent::Failed => Transition(State::failed()),
            JobEvent::Completed | JobEvent::Withdrawn => Handled,
        }
    }

    #[state]
    fn running(event: &JobEvent) -> Outcome<State> {
        match event {
            JobEvent::Completed => Transition(State::complete()),
            JobEvent::Failed => Transition(State::failed()),
            JobEvent::Withdrawn => Transition(State::queued()),
            JobEvent::Started => Handled,
        }
    }

    /// Final: no event leaves this state.
    #[state]
    fn complete() -> Outcome<State> {
        Handled
    }

    /// Final: no event leaves this state.
    #[state]
    fn failed() -> Outcome<State> {
        Handled
    }
}
