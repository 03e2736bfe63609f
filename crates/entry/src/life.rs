//! Life of the instance as a state machine.

use hinge_wire::{InstanceState, LogEvent};
use serde::Serialize;
use statig::blocking::{IntoStateMachineExt, StateMachine};
use statig::prelude::*;

/// What changes the life of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LifeEvent {
    /// A planned stop was asked for.
    Drain,
    /// Configuration and upstream list are known.
    Prepared,
    /// Everything held has finished, or the stop deadline passed.
    Stop,
}

/// State machine of the instance: starting, ready, draining, stopped.
#[derive(Default)]
pub(crate) struct LifeMachine;

#[derive(Serialize)]
struct NoDetails {}

#[state_machine(initial = "State::starting()", state(derive(Clone, Copy, Debug, Eq, PartialEq)))]
impl LifeMachine {
    #[state]
    fn starting(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Prepared => Transition(State::ready()),
            LifeEvent::Drain => Transition(State::draining()),
            LifeEvent::Stop => Transition(State::stopped()),
        }
    }

    #[state(entry_action = "log_ready")]
    fn ready(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Drain => Transition(State::draining()),
            LifeEvent::Stop => Transition(State::stopped()),
            LifeEvent::Prepared => Handled,
        }
    }

    #[state(entry_action = "log_draining")]
    fn draining(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Stop => Transition(State::stopped()),
            LifeEvent::Drain | LifeEvent::Prepared => Handled,
        }
    }

    #[state(entry_action = "log_stopped")]
    fn stopped() -> Outcome<State> {
        Handled
    }

    #[action]
    fn log_ready(&mut self) {
        hinge_obs::emit(LogEvent::Ready, &NoDetails {});
    }

    #[action]
    fn log_draining(&mut self) {
        hinge_obs::emit(LogEvent::DrainStarted, &NoDetails {});
    }

    #[action]
    fn log_stopped(&mut self) {
        hinge_obs::emit(LogEvent::Stopped, &NoDetails {});
    }
}

/// The machine with its current state.
pub(crate) struct Life(StateMachine<LifeMachine>);

impl Life {
    pub(crate) fn new() -> Self {
        Self(LifeMachine.state_machine())
    }

    pub(crate) fn handle(&mut self, event: LifeEvent) {
        self.0.handle(&event);
    }

    pub(crate) fn state(&self) -> InstanceState {
        match self.0.state() {
            State::Starting {} => InstanceState::Starting,
            State::Ready {} => InstanceState::Ready,
            State::Draining {} => InstanceState::Draining,
            State::Stopped {} => InstanceState::Stopped,
        }
    }
}
