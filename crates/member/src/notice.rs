//! Membership changes for the log.

use std::net::SocketAddr;
use std::time::Duration;

use hinge_wire::{Incarnation, InstanceId, LogEvent};

/// A membership change, with the details of its log event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// A report about a peer was accepted for the first time, or again after the peer was dead.
    Joined {
        /// Address of its peer interface.
        address: SocketAddr,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its instance id.
        instance: InstanceId,
        /// Whether the peer was dead before.
        returned: bool,
    },
    /// No higher counter of a peer was reported for the suspect timeout.
    Suspect {
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its instance id.
        instance: InstanceId,
        /// Time since its last higher counter.
        silent: Duration,
    },
    /// No higher counter of a peer was reported for the dead timeout.
    Dead {
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its instance id.
        instance: InstanceId,
        /// Time since its last higher counter.
        silent: Duration,
    },
    /// A peer has a new incarnation, because its former process has ended.
    Replaced {
        /// The new incarnation.
        incarnation: Incarnation,
        /// Its instance id.
        instance: InstanceId,
        /// The incarnation that has ended.
        former: Incarnation,
    },
    /// Another running process uses this instance's id.
    OwnIdClaimed {
        /// Incarnation of the other process.
        incarnation: Incarnation,
        /// This instance's id.
        instance: InstanceId,
        /// Address that the other process announces.
        peer_address: String,
    },
    /// A new version of the platform's list is in force.
    ListApplied {
        /// Number of entry instances of this data centre on the list.
        entries: usize,
        /// How many of them are leaving.
        leaving: usize,
        /// Number of entry instances of other data centres with a valid address on the list.
        remote: usize,
        /// Version of the list.
        version: u64,
    },
}

impl Notice {
    /// The event under which the notice is logged.
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
