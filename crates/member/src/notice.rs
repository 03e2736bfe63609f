//! Changes of membership that are logged.

use std::net::SocketAddr;
use std::time::Duration;

use hinge_wire::{Incarnation, InstanceId, LogEvent};

/// A change of membership, with what its log event states.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// A peer was heard for the first time, or again after it was dead.
    Joined {
        /// Address of its peer interface.
        address: SocketAddr,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its instance id.
        instance: InstanceId,
        /// Whether it had been dead before.
        returned: bool,
    },
    /// A peer has been silent for the suspect time.
    Suspect {
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its instance id.
        instance: InstanceId,
        /// Time since its last higher counter.
        silent: Duration,
    },
    /// A peer has been silent for the dead time.
    Dead {
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its instance id.
        instance: InstanceId,
        /// Time since its last higher counter.
        silent: Duration,
    },
    /// A peer's instance id has a new incarnation; the former process has ended.
    Replaced {
        /// The new incarnation.
        incarnation: Incarnation,
        /// The instance id.
        instance: InstanceId,
        /// The former incarnation.
        former: Incarnation,
    },
    /// Another process uses the own instance id.
    OwnIdClaimed {
        /// Incarnation of the other process.
        incarnation: Incarnation,
        /// The own instance id.
        instance: InstanceId,
        /// Address that the other process announces.
        peer_address: String,
    },
    /// A new version of the platform's list is in force.
    ListApplied {
        /// Entry instances of the own data centre on the list.
        entries: usize,
        /// How many of them are leaving.
        leaving: usize,
        /// Entry instances of other data centres on the list.
        remote: usize,
        /// Version of the list.
        version: u64,
    },
}

impl Notice {
    /// The log event of the notice.
    #[must_use]
    pub const fn event(&self) -> LogEvent {
        match self {
            Self::Joined { .. } => LogEvent::MemberJoined,
            Self::Suspect { .. } => LogEvent::MemberSuspect,
            Self::Dead { .. } => LogEvent::MemberDead,
            Self::Replaced { .. } | Self::OwnIdClaimed { .. } => LogEvent::MemberReplaced,
            Self::ListApplied { .. } => LogEvent::ListApplied,
        }
    }
}
