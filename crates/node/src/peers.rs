//! The other entries: who is alive, what they claim, and what they said last.

use std::net::SocketAddr;
use std::time::Duration;

use hinge_mesh::{Hello, Status};
use hinge_runs::{AssignmentId, HomeId};
use hinge_wire::{DataCentreId, FastMap, FastSet, InstanceId, UpstreamId};
use tokio::time::Instant;

/// Time for a registered entry to come back after its connection was closed; a killed process needs longer.
const CLOSED_GRACE: Duration = Duration::from_millis(400);
/// Time after which a registered entry that fell silent counts as dead while the store does not answer. A store that
/// answers shows by itself when a registration has expired.
const SILENT_GRACE: Duration = Duration::from_millis(2_500);
/// Time after which a registration that outlives a closed connection shows that the process is alive.
const REGISTRATION_TTL: Duration = Duration::from_millis(2_500);
/// Time for a newly registered entry to be linked.
const FIRST_LINK_GRACE: Duration = Duration::from_secs(3);

/// A registered entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryRecord {
    /// Address of its peer port.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its process.
    pub incarnation: HomeId,
    /// Its instance id.
    pub instance: InstanceId,
}

/// What is known about a process of another entry.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) claims: FastSet<UpstreamId>,
    pub(crate) data_centre: DataCentreId,
    pub(crate) instance: InstanceId,
    /// Highest assignment received from it on this link.
    pub(crate) last_assignment: AssignmentId,
    pub(crate) linked: bool,
    registered: bool,
    pub(crate) status: Status,
    /// When its connection was closed, if that is why the link is down.
    closed_at: Option<Instant>,
    /// Until when it counts as alive without a link and without the store.
    trusted_until: Instant,
}

impl Peer {
    fn new(instance: InstanceId, data_centre: DataCentreId, trusted_until: Instant) -> Self {
        Self {
            claims: FastSet::default(),
            data_centre,
            instance,
            last_assignment: 0,
            linked: false,
            registered: false,
            status: Status::default(),
            closed_at: None,
            trusted_until,
        }
    }

    /// Whether the process is believed to run. A closed connection means that it was killed, unless its registration is
    /// still renewed later: partitions close connections too.
    fn alive(&self, now: Instant, store_available: bool) -> bool {
        if self.linked {
            return true;
        }
        if !self.registered {
            return false;
        }
        match self.closed_at {
            _ if !store_available => now < self.trusted_until,
            Some(closed_at) => now < closed_at + CLOSED_GRACE || now >= closed_at + REGISTRATION_TTL,
            None => true,
        }
    }
}

/// All other entries by process.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: FastMap<HomeId, Peer>,
    store_available: bool,
}

impl Peers {
    pub(crate) fn get_mut(&mut self, id: HomeId) -> Option<&mut Peer> {
        self.peers.get_mut(&id)
    }

    pub(crate) fn linked(&self) -> impl Iterator<Item = (HomeId, &Peer)> {
        self.peers.iter().filter(|(_, peer)| peer.linked).map(|(id, peer)| (*id, peer))
    }

    pub(crate) fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| peer.alive(now, self.store_available))
    }

    /// Notes whether the store answers, so that the registrations are up to date.
    pub(crate) fn set_store_available(&mut self, available: bool) {
        self.store_available = available;
    }

    /// Whether this entry hears neither from the store nor from any of the peers it knows.
    pub(crate) fn isolated(&self) -> bool {
        !self.store_available && !self.peers.is_empty() && self.linked().next().is_none()
    }

    /// Takes over the registered entries; `own` is this process.
    pub(crate) fn set_registered(&mut self, now: Instant, own: HomeId, records: &[EntryRecord]) {
        self.store_available = true;
        for peer in self.peers.values_mut() {
            peer.registered = false;
        }
        for record in records.iter().filter(|record| record.incarnation != own) {
            let peer = self.peers.entry(record.incarnation).or_insert_with(|| {
                Peer::new(record.instance.clone(), record.data_centre.clone(), now + FIRST_LINK_GRACE)
            });
            peer.registered = true;
        }
        self.retire_replaced();
        self.forget_dead(now);
    }

    /// A link is up; true when an earlier link of the same process was still believed to be up.
    pub(crate) fn up(&mut self, now: Instant, hello: &Hello) -> bool {
        let peer = self.peers.entry(hello.incarnation).or_insert_with(|| {
            Peer::new(hello.instance.clone(), hello.data_centre.clone(), now + FIRST_LINK_GRACE)
        });
        let was_linked = peer.linked;
        peer.linked = true;
        peer.closed_at = None;
        peer.last_assignment = 0;
        peer.status = Status::default();
        self.retire_replaced();
        was_linked
    }

    pub(crate) fn down(&mut self, now: Instant, id: HomeId, silent: bool) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.linked = false;
        peer.closed_at = (!silent).then_some(now);
        peer.trusted_until = now + if silent { SILENT_GRACE } else { CLOSED_GRACE };
    }

    /// No process listens at the instance's address.
    pub(crate) fn refused(&mut self, now: Instant, instance: &InstanceId) {
        for peer in self.peers.values_mut().filter(|peer| peer.instance == *instance && !peer.linked) {
            peer.trusted_until = peer.trusted_until.min(now + CLOSED_GRACE);
            peer.closed_at.get_or_insert(now);
        }
    }

    /// A linked process of an instance replaces the others.
    fn retire_replaced(&mut self) {
        let linked: FastMap<InstanceId, HomeId> =
            self.linked().map(|(id, peer)| (peer.instance.clone(), id)).collect();
        self.peers
            .retain(|id, peer| linked.get(&peer.instance).is_none_or(|current| current == id || peer.linked));
    }

    fn forget_dead(&mut self, now: Instant) {
        let store_available = self.store_available;
        self.peers.retain(|_, peer| peer.registered || peer.alive(now, store_available));
    }
}
