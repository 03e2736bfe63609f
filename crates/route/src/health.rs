//! Health state machine of an upstream.
//!
//! The machine holds only the state. The router decides when an upstream is an outlier and keeps the
//! statistics and timers.

use statig::Outcome::{self, Handled, Super, Transition};
use statig::blocking::{InitializedStateMachine, IntoStateMachineExt as _};
use statig::prelude::state_machine;

/// Health of an upstream as seen by one entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HealthState {
    /// Gets no tasks until the ejection time is over; then goes to probation.
    Ejected,
    /// No longer on the platform's list; tasks may still be running there.
    Gone,
    /// Gets tasks without restriction.
    Healthy,
    /// Shutting down, by the list or by its own refusal of a task; gets no tasks.
    Leaving,
    /// Gets one task at a time after an ejection, until enough of them succeed.
    Probation,
}

impl HealthState {
    /// Name in replies to operators.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ejected => "ejected",
            Self::Gone => "gone",
            Self::Healthy => "healthy",
            Self::Leaving => "leaving",
            Self::Probation => "probation",
        }
    }

    /// Whether the upstream counts towards `eject_max_percent`.
    pub(crate) const fn counts_as_ejected(self) -> bool {
        matches!(self, Self::Ejected | Self::Probation)
    }
}

/// Events that may change the health of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HealthEvent {
    /// The router found the upstream to be an outlier.
    Eject,
    /// The ejection time is over.
    EjectionEnded,
    /// The upstream is shutting down and accepts no new tasks.
    Leave,
    /// The list still shows the upstream as live long after it refused a task as leaving.
    Recheck,
    /// Ejection was disabled by policy.
    Reset,
    /// The upstream has restarted or is back on the list.
    Return,
    /// A task succeeded; probation ends after `needed` successes in a row.
    Success { needed: u32 },
    /// The upstream is no longer on the list.
    Vanish,
}

#[derive(Debug, Default)]
struct Machine;

#[state_machine(initial = "State::healthy()", state(derive(Debug)), superstate(derive(Debug)))]
impl Machine {
    #[state(superstate = "listed")]
    fn healthy(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::Eject => Transition(State::ejected()),
            _ => Super,
        }
    }

    #[state(superstate = "listed")]
    fn ejected(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::EjectionEnded => Transition(State::probation(0)),
            HealthEvent::Reset => Transition(State::healthy()),
            _ => Super,
        }
    }

    #[state(superstate = "listed")]
    fn probation(successes: &mut u32, event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::Eject => Transition(State::ejected()),
            HealthEvent::Reset => Transition(State::healthy()),
            HealthEvent::Success { needed } => {
                *successes += 1;
                if *successes >= *needed { Transition(State::healthy()) } else { Handled }
            }
            _ => Super,
        }
    }

    #[state(superstate = "listed")]
    fn leaving(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::Leave => Handled,
            HealthEvent::Recheck => Transition(State::probation(0)),
            _ => Super,
        }
    }

    #[state]
    fn gone(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::Leave => Transition(State::leaving()),
            HealthEvent::Return => Transition(State::healthy()),
            _ => Handled,
        }
    }

    #[superstate]
    fn listed(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::Leave => Transition(State::leaving()),
            HealthEvent::Return => Transition(State::healthy()),
            HealthEvent::Vanish => Transition(State::gone()),
            _ => Handled,
        }
    }
}

/// Current health of one upstream.
#[derive(Debug)]
pub(crate) struct Health {
    machine: InitializedStateMachine<Machine>,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self { machine: Machine.uninitialized_state_machine().init() }
    }

    pub(crate) fn state(&self) -> HealthState {
        match self.machine.state() {
            State::Ejected {} => HealthState::Ejected,
            State::Gone {} => HealthState::Gone,
            State::Healthy {} => HealthState::Healthy,
            State::Leaving {} => HealthState::Leaving,
            State::Probation { .. } => HealthState::Probation,
        }
    }

    /// Applies an event and returns whether the state changed.
    pub(crate) fn apply(&mut self, event: HealthEvent) -> bool {
        let before = self.state();
        self.machine.handle(&event);
        before != self.state()
    }
}
