//! State of the other entries: liveness, claimed upstreams and last status.

use std::net::SocketAddr;
use std::time::Duration;

use hinge_mesh::{Evacuation, Hello, Status};
use hinge_runs::{AssignmentId, HomeId};
use hinge_wire::{DataCentreId, FastMap, FastSet, InstanceId, UpstreamId};
use tokio::time::Instant;

/// Time within which a registered entry may reconnect after its connection was closed. A killed process takes longer to
/// restart.
const CLOSED_GRACE: Duration = Duration::from_millis(400);
/// Time after which a registered entry whose link timed out counts as dead while the store is unavailable. While the
/// store is available, the expiry of the registration decides.
const SILENT_GRACE: Duration = Duration::from_millis(2_500);
/// Time after which a registration that still exists although the connection was closed shows that the process is
/// alive: without renewal it would have expired.
const REGISTRATION_TTL: Duration = Duration::from_millis(2_500);
/// Time within which a link to a newly registered entry must come up while the store is unavailable.
const FIRST_LINK_GRACE: Duration = Duration::from_secs(3);

/// Registration of an entry in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryRecord {
    /// Address on which it accepts links from peers.
    pub address: SocketAddr,
    /// Share of a core that its process may use, in thousandths; 0 if it is not known, as for older entries.
    pub cpu_millis: u32,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Identifies its process; differs after each restart.
    pub incarnation: HomeId,
    /// Instance id, which stays the same across restarts.
    pub instance: InstanceId,
}

/// State of a process of another entry.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) claims: FastSet<UpstreamId>,
    /// Share of a core in thousandths, as in [`Hello::cpu_millis`].
    pub(crate) cpu_millis: u32,
    pub(crate) data_centre: DataCentreId,
    /// Evacuations that it has sent last.
    pub(crate) evacuations: Vec<Evacuation>,
    pub(crate) instance: InstanceId,
    /// Highest assignment number received from it over the current link.
    pub(crate) last_assignment: AssignmentId,
    pub(crate) linked: bool,
    registered: bool,
    pub(crate) status: Status,
    /// When its connection was closed or refused; none if the link is up or has timed out.
    closed_at: Option<Instant>,
    /// Until when it counts as alive if it has no link and the store is unavailable.
    alive_until: Instant,
}

impl Peer {
    fn new(instance: InstanceId, data_centre: DataCentreId, cpu_millis: u32, alive_until: Instant) -> Self {
        Self {
            claims: FastSet::default(),
            cpu_millis,
            data_centre,
            evacuations: Vec::new(),
            instance,
            last_assignment: 0,
            linked: false,
            registered: false,
            status: Status::default(),
            closed_at: None,
            alive_until,
        }
    }

    /// Whether the process is assumed to run. A closed connection means that it was killed, unless its registration is
    /// still renewed later: a partition can close connections too.
    fn is_alive(&self, now: Instant, store_available: bool) -> bool {
        if self.linked {
            return true;
        }
        if !self.registered {
            return false;
        }
        match self.closed_at {
            _ if !store_available => now < self.alive_until,
            Some(closed_at) => now < closed_at + CLOSED_GRACE || now >= closed_at + REGISTRATION_TTL,
            None => true,
        }
    }
}

/// All other entries by the incarnation of their process.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    /// Whether a link came up or went down since [`take_links_changed`](Self::take_links_changed).
    links_changed: bool,
    peers: FastMap<HomeId, Peer>,
    store_available: bool,
}

impl Peers {
    pub(crate) fn get_mut(&mut self, id: HomeId) -> Option<&mut Peer> {
        self.peers.get_mut(&id)
    }

    pub(crate) fn get(&self, id: HomeId) -> Option<&Peer> {
        self.peers.get(&id)
    }

    /// Whether links have come up or gone down since the last call.
    pub(crate) fn take_links_changed(&mut self) -> bool {
        std::mem::take(&mut self.links_changed)
    }

    pub(crate) fn linked(&self) -> impl Iterator<Item = (HomeId, &Peer)> {
        self.peers.iter().filter(|(_, peer)| peer.linked).map(|(id, peer)| (*id, peer))
    }

    pub(crate) fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| peer.is_alive(now, self.store_available))
    }

    /// Sets whether the store is available, which means that the registrations are up to date.
    pub(crate) fn set_store_available(&mut self, available: bool) {
        self.store_available = available;
    }

    /// Whether this entry can reach neither the store nor any of its known peers.
    pub(crate) fn is_isolated(&self) -> bool {
        !self.store_available && !self.peers.is_empty() && self.linked().next().is_none()
    }

    /// Replaces the set of registered entries; `own_id` is the incarnation of this process.
    pub(crate) fn set_registered(&mut self, now: Instant, own_id: HomeId, records: &[EntryRecord]) {
        self.store_available = true;
        for peer in self.peers.values_mut() {
            peer.registered = false;
        }
        for record in records.iter().filter(|record| record.incarnation != own_id) {
            let peer = self.peers.entry(record.incarnation).or_insert_with(|| {
                let (instance, data_centre) = (record.instance.clone(), record.data_centre.clone());
                Peer::new(instance, data_centre, record.cpu_millis, now + FIRST_LINK_GRACE)
            });
            peer.registered = true;
        }
        self.remove_replaced();
        self.remove_dead(now);
    }

    /// Records a new link. Returns true if an earlier link of the same process had not been reported as down.
    pub(crate) fn mark_linked(&mut self, now: Instant, hello: &Hello) -> bool {
        let peer = self.peers.entry(hello.incarnation).or_insert_with(|| {
            let (instance, data_centre) = (hello.instance.clone(), hello.data_centre.clone());
            Peer::new(instance, data_centre, hello.cpu_millis, now + FIRST_LINK_GRACE)
        });
        self.links_changed = true;
        let was_linked = peer.linked;
        peer.linked = true;
        peer.closed_at = None;
        peer.last_assignment = 0;
        peer.evacuations.clear();
        peer.status = Status::default();
        self.remove_replaced();
        was_linked
    }

    /// Records the loss of a link whose connection ended at `since`; `silent` if it timed out rather than being closed.
    pub(crate) fn mark_unlinked(&mut self, since: Instant, id: HomeId, silent: bool) {
        self.links_changed = true;
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.linked = false;
        peer.closed_at = (!silent).then_some(since);
        peer.alive_until = since + if silent { SILENT_GRACE } else { CLOSED_GRACE };
    }

    /// Records that no process listens at the address of an instance.
    pub(crate) fn mark_refused(&mut self, now: Instant, instance: &InstanceId) {
        for peer in self.peers.values_mut().filter(|peer| peer.instance == *instance && !peer.linked) {
            peer.alive_until = peer.alive_until.min(now + CLOSED_GRACE);
            peer.closed_at.get_or_insert(now);
        }
    }

    /// Removes earlier processes of instances that have a linked process.
    fn remove_replaced(&mut self) {
        let linked: FastMap<InstanceId, HomeId> =
            self.linked().map(|(id, peer)| (peer.instance.clone(), id)).collect();
        self.peers
            .retain(|id, peer| linked.get(&peer.instance).is_none_or(|current| current == id || peer.linked));
    }

    fn remove_dead(&mut self, now: Instant) {
        let store_available = self.store_available;
        self.peers.retain(|_, peer| peer.registered || peer.is_alive(now, store_available));
    }
}
