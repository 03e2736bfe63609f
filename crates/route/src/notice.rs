//! Changes of upstream health, for the log.

use std::time::Duration;

use hinge_wire::{LogEvent, UpstreamId};

/// Why an upstream was ejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionCause {
    /// Failures in a row.
    Consecutive,
    /// Error rate above the peers'.
    ErrorRate,
    /// Latency ratio above the peers'.
    Latency,
    /// Failed or slow task during probation.
    Probation,
}

/// A change of an upstream's health.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// The upstream was not ejected because too many already are.
    Capped {
        /// What would have ejected it.
        cause: EjectionCause,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The upstream gets no tasks for a time.
    Ejected {
        /// Why.
        cause: EjectionCause,
        /// For how long.
        duration: Duration,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The upstream is healthy again.
    Healthy {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The upstream takes no new tasks.
    Leaving {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The upstream gets one task at a time.
    Probation {
        /// The upstream.
        upstream: UpstreamId,
    },
}

impl Notice {
    /// Number and level under which the notice is logged.
    #[must_use]
    pub const fn event(&self) -> LogEvent {
        match self {
            Self::Capped { .. } => LogEvent::EjectionCapped,
            Self::Ejected { .. } => LogEvent::UpstreamEjected,
            Self::Healthy { .. } => LogEvent::UpstreamHealthy,
            Self::Leaving { .. } => LogEvent::UpstreamLeaving,
            Self::Probation { .. } => LogEvent::UpstreamProbation,
        }
    }

    /// The upstream concerned.
    #[must_use]
    pub const fn upstream(&self) -> &UpstreamId {
        match self {
            Self::Capped { upstream, .. }
            | Self::Ejected { upstream, .. }
            | Self::Healthy { upstream }
            | Self::Leaving { upstream }
            | Self::Probation { upstream } => upstream,
        }
    }
}
