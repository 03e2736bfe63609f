//! State machine of a peer's liveness as seen from this instance.

use statig::prelude::*;

/// An event that concerns the liveness of a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LivenessEvent {
    /// A report with a higher counter or of a new incarnation was accepted.
    Refreshed,
    /// No report for the suspect timeout.
    SuspectTimeout,
    /// No report for the dead timeout.
    DeadTimeout,
}

/// Marker type of the state machine; the data of a peer is in its member entry.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Liveness;

#[state_machine(
    initial = "State::unheard()",
    state(derive(Clone, Copy, Debug, Eq, PartialEq)),
    visibility = "pub(crate)"
)]
impl Liveness {
    /// The initial state: no report about the peer has been accepted yet, for example because it is known only from the
    /// platform's list.
    #[state]
    fn unheard(event: &LivenessEvent) -> Outcome<State> {
        match event {
            LivenessEvent::Refreshed => Transition(State::alive()),
            LivenessEvent::SuspectTimeout | LivenessEvent::DeadTimeout => Handled,
        }
    }

    #[state]
    fn alive(event: &LivenessEvent) -> Outcome<State> {
        match event {
            LivenessEvent::Refreshed => Handled,
            LivenessEvent::SuspectTimeout => Transition(State::suspect()),
            LivenessEvent::DeadTimeout => Transition(State::dead()),
        }
    }

    #[state]
    fn suspect(event: &LivenessEvent) -> Outcome<State> {
        match event {
            LivenessEvent::Refreshed => Transition(State::alive()),
            LivenessEvent::SuspectTimeout => Handled,
            LivenessEvent::DeadTimeout => Transition(State::dead()),
        }
    }

    /// A paused or partitioned peer may return from this state.
    #[state]
    fn dead(event: &LivenessEvent) -> Outcome<State> {
        match event {
            LivenessEvent::Refreshed => Transition(State::alive()),
            LivenessEvent::SuspectTimeout | LivenessEvent::DeadTimeout => Handled,
        }
    }
}
