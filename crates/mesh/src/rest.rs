//! How rarely the two sides of an unused link send time stamps.
//!
//! In a small data centre the links between its entries never rest. In a large one an entry watches a fixed number of them,
//! and lets the other links become dormant, so that its cost does not grow with the number of entries.

use std::time::Duration;

use hinge_runs::{HomeId, LIVENESS_TIMEOUT};
use hinge_wire::FastSet;

use crate::Hello;
use crate::link::HEARTBEAT_INTERVAL;

/// Maximum number of linked peers in this entry's data centre with which all links to them stay awake.
pub const FULL_MESH_PEERS: usize = 16;
/// Number of watched peers on each side of this entry in the ring of its data centre.
const WATCHED_PER_SIDE: usize = 4;

/// How rarely one side of a link sends time stamps when it has no other message.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rest {
    /// At each heartbeat.
    #[default]
    Awake,
    /// Once a second.
    Idle,
    /// Every ten seconds; only between processes that both announce it.
    Dormant,
}

impl Rest {
    /// Longest time between two messages.
    pub(crate) const fn heartbeat_interval(self) -> Duration {
        match self {
            Self::Awake => HEARTBEAT_INTERVAL,
            Self::Idle => Duration::from_secs(1),
            Self::Dormant => Duration::from_secs(10),
        }
    }

    /// Replaces [`LIVENESS_TIMEOUT`] if either side rests: the newest returned time stamp may be two intervals old.
    pub(crate) const fn liveness_timeout(self) -> Duration {
        match self {
            Self::Awake => LIVENESS_TIMEOUT,
            Self::Idle => Duration::from_secs(3),
            Self::Dormant => Duration::from_secs(30),
        }
    }
}

/// Which links of an entry may rest.
#[derive(Debug)]
pub(crate) struct RestPolicy<'a> {
    is_large: bool,
    local: &'a Hello,
    /// Peers of this data centre whose links never rest.
    watched: FastSet<HomeId>,
}

impl<'a> RestPolicy<'a> {
    /// Creates the policy of the entry `local` from its linked peers.
    pub(crate) fn new<'b>(local: &'a Hello, peers: impl Iterator<Item = &'b Hello>) -> Self {
        let near: Vec<_> = peers.filter(|peer| peer.data_centre == local.data_centre).collect();
        let is_large = local.dormancy && near.len() > FULL_MESH_PEERS;
        let ring = near.iter().filter(|peer| peer.dormancy).map(|peer| peer.incarnation);
        let watched =
            if is_large { watched_peers(local.incarnation, ring.collect()) } else { FastSet::default() };
        Self { is_large, local, watched }
    }

    /// Whether links of this entry may become dormant.
    pub(crate) const fn is_large(&self) -> bool {
        self.is_large
    }

    /// The deepest rest of the link to a peer.
    pub(crate) fn deepest(&self, peer: &Hello) -> Rest {
        let is_near = peer.data_centre == self.local.data_centre;
        match (is_near, self.is_large && peer.dormancy) {
            (true, false) => Rest::Awake,
            (true, true) if self.watched.contains(&peer.incarnation) => Rest::Awake,
            (false, false) => Rest::Idle,
            (_, true) => Rest::Dormant,
        }
    }
}

/// Neighbours of a process in the ring of the incarnations. Two processes with the same view choose each other or neither.
/// Incarnations are random, so that machines which fail together are no neighbours.
fn watched_peers(own: HomeId, mut ring: Vec<HomeId>) -> FastSet<HomeId> {
    ring.sort_unstable();
    let next = ring.partition_point(|peer| *peer < own);
    let after = ring.iter().cycle().skip(next).take(WATCHED_PER_SIDE.min(ring.len()));
    let before = ring.iter().rev().cycle().skip(ring.len() - next).take(WATCHED_PER_SIDE.min(ring.len()));
    after.chain(before).copied().collect()
}
