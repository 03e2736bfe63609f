//! State machine of one upstream's health.
//!
//! The machine holds the state only. The table that owns it decides when an upstream is an outlier, and keeps the
//! statistics and timers.

use statig::Outcome::{self, Handled, Super, Transition};
use statig::blocking::{InitializedStateMachine, IntoStateMachineExt as _};
use statig::prelude::state_machine;

/// Health of an upstream as seen by one entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HealthState {
    /// Gets no tasks until the ejection time has passed.
    Ejected,
    /// No longer on the list; tasks may still be running there.
    Gone,
    /// Gets tasks.
    Healthy,
    /// Announced that it stops; gets no tasks.
    Leaving,
    /// Gets one task at a time after an ejection.
    Probation,
}

impl HealthState {
    /// Name in operator replies.
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

    /// Whether the upstream counts against the limit on ejected upstreams.
    pub(crate) const fn is_sidelined(self) -> bool {
        matches!(self, Self::Ejected | Self::Probation)
    }
}

/// What happened to an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HealthEvent {
    /// The table judged the upstream an outlier.
    Eject,
    /// The ejection time has passed.
    EjectionEnded,
    /// The upstream takes no new tasks.
    Leave,
    /// A leaving upstream is still listed as live long after its rejection.
    Recheck,
    /// Ejection was disabled.
    Reset,
    /// The list shows a new life of the upstream.
    Return,
    /// A task ended well; probation ends after `needed` of them in a row.
    Success { needed: u32 },
    /// The list no longer holds the upstream.
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

/// Health of one upstream.
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

    /// Applies an event; returns whether the state changed.
    pub(crate) fn apply(&mut self, event: HealthEvent) -> bool {
        let before = self.state();
        self.machine.handle(&event);
        before != self.state()
    }
}
