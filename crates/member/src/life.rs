//! Life of a peer as seen from this instance.

use statig::prelude::*;

/// What is observed of a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LifeEvent {
    /// A higher counter of its incarnation.
    Heard,
    /// Silence for the suspect time.
    SuspectTimeout,
    /// Silence for the dead time.
    DeadTimeout,
}

/// Marker type of the state machine; the data of a peer is in its member entry.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Life;

#[state_machine(
    initial = "State::unheard()",
    state(derive(Clone, Copy, Debug, Eq, PartialEq)),
    visibility = "pub(crate)"
)]
impl Life {
    /// On the platform's list and never heard.
    #[state]
    fn unheard(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Heard => Transition(State::alive()),
            LifeEvent::SuspectTimeout | LifeEvent::DeadTimeout => Handled,
        }
    }

    #[state]
    fn alive(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Heard => Handled,
            LifeEvent::SuspectTimeout => Transition(State::suspect()),
            LifeEvent::DeadTimeout => Transition(State::dead()),
        }
    }

    #[state]
    fn suspect(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Heard => Transition(State::alive()),
            LifeEvent::SuspectTimeout => Handled,
            LifeEvent::DeadTimeout => Transition(State::dead()),
        }
    }

    /// A paused or partitioned peer may return from this state.
    #[state]
    fn dead(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Heard => Transition(State::alive()),
            LifeEvent::SuspectTimeout | LifeEvent::DeadTimeout => Handled,
        }
    }
}
