//! State machine for the lifecycle of an instance.

use hinge_wire::{InstanceState, LogEvent};
use serde::Serialize;
use statig::blocking::{IntoStateMachineExt, StateMachine};
use statig::prelude::*;

/// Input of the state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LifecycleEvent {
    /// A drain was requested.
    Drain,
    /// A configuration and an upstream list have been received.
    Prepared,
    /// The drain has completed, timed out or been aborted.
    Stop,
}

/// Transitions between the states starting, ready, draining and stopped.
#[derive(Default)]
pub(crate) struct LifecycleMachine;

#[derive(Serialize)]
struct NoDetails {}

#[state_machine(initial = "State::starting()", state(derive(Clone, Copy, Debug, Eq, PartialEq)))]
impl LifecycleMachine {
    #[state]
    fn starting(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Prepared => Transition(State::ready()),
            LifecycleEvent::Drain => Transition(State::draining()),
            LifecycleEvent::Stop => Transition(State::stopped()),
        }
    }

    #[state(entry_action = "log_ready")]
    fn ready(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Drain => Transition(State::draining()),
            LifecycleEvent::Stop => Transition(State::stopped()),
            LifecycleEvent::Prepared => Handled,
        }
    }

    #[state(entry_action = "log_draining")]
    fn draining(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Stop => Transition(State::stopped()),
            LifecycleEvent::Drain | LifecycleEvent::Prepared => Handled,
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

/// The state machine with its current state.
pub(crate) struct Lifecycle(StateMachine<LifecycleMachine>);

impl Lifecycle {
    pub(crate) fn new() -> Self {
        Self(LifecycleMachine.state_machine())
    }

    pub(crate) fn handle(&mut self, event: LifecycleEvent) {
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
