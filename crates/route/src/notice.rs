//! Changes of upstream health, for the log.

use std::time::Duration;

use hinge_wire::{LogEvent, UpstreamId};

/// Why an upstream was ejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionCause {
    /// Too many failures in a row.
    Consecutive,
    /// Error rate above the median of the service's upstreams by more than `eject_error_margin_percent`.
    ErrorRate,
    /// Ratio of run time to estimate above `eject_latency_percent` of the median of the service's upstreams.
    Latency,
    /// A task failed or was slow during probation.
    Probation,
}

/// A change of an upstream's health.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// The upstream was not ejected because `eject_max_percent` is reached. Reported at most once a second
    /// per service.
    Capped {
        /// Reason for which it would have been ejected.
        cause: EjectionCause,
        /// Upstream that stays in use.
        upstream: UpstreamId,
    },
    /// The upstream was ejected and gets no tasks for `duration`.
    Ejected {
        /// Reason for the ejection.
        cause: EjectionCause,
        /// Time until probation, counted from the ejection.
        duration: Duration,
        /// Upstream that was ejected.
        upstream: UpstreamId,
    },
    /// The upstream gets tasks again.
    Healthy {
        /// Upstream that passed probation, restarted, returned to the list or was reset.
        upstream: UpstreamId,
    },
    /// The upstream is shutting down and gets no new tasks.
    Leaving {
        /// Upstream that is shutting down.
        upstream: UpstreamId,
    },
    /// The upstream gets one task at a time.
    Probation {
        /// Upstream whose ejection ended, or that is still listed as live long after it refused a task as
        /// leaving.
        upstream: UpstreamId,
    },
}

impl Notice {
    /// Log event of the notice, which sets its name and level.
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

    /// Upstream that the notice is about.
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
