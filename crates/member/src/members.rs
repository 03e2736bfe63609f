//! Membership state of one entry instance.

use std::net::SocketAddr;

use hinge_conf::Policy;
use hinge_wire::{
    DataCentreId, FastMap, Incarnation, InstanceId, InstanceKind, InstanceList, InstanceState, ListEntry,
    ListState, MemberInfo, SubmissionKey, is_valid_id,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::exchange::{IdConflict, Target, Timing};
use crate::member::{Listing, Member, Timeouts};
use crate::notice::Notice;
use crate::rotation::Rotation;

/// Maximum number of tracked peers; a larger number indicates a wrong list or a faulty peer.
const MAX_TRACKED: usize = 256;

/// Maximum number of notices kept for the next tick.
const MAX_PENDING_NOTICES: usize = 1024;

/// Location of the owner of a submission key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Owner {
    /// This process.
    Local,
    /// The process at this address, provided that it has this incarnation. Another incarnation of the owner's instance
    /// id may be running there, which then rejects the message.
    Peer {
        /// Address of its peer interface.
        address: SocketAddr,
        /// Incarnation in the key.
        incarnation: Incarnation,
    },
    /// The process has certainly ended.
    Gone,
    /// The process cannot be reached at present and is not known to have ended.
    Unknown,
}

/// Membership of a data centre as known to one entry instance.
pub struct Members {
    /// Configured addresses to which heartbeats are sent until a peer with the address is known.
    pub(crate) contacts: Vec<SocketAddr>,
    pub(crate) ignored: u64,
    pub(crate) list_version: Option<u64>,
    pub(crate) members: FastMap<InstanceId, Member>,
    pub(crate) next_heartbeat: Option<Instant>,
    pub(crate) notices: Vec<Notice>,
    pub(crate) local: MemberInfo,
    /// Whether the platform's list marks this instance as leaving.
    pub(crate) local_leaving: bool,
    /// Rotation through the peers and addresses without contact.
    pub(crate) probes: Rotation<Target>,
    /// Addresses of entry instances of other data centres, from the list.
    pub(crate) remote: FastMap<DataCentreId, FastMap<InstanceId, SocketAddr>>,
    pub(crate) id_conflicts: Vec<IdConflict>,
    pub(crate) rng: StdRng,
    /// Rotation through the live members.
    pub(crate) rotation: Rotation<Target>,
    pub(crate) timing: Timing,
}

impl Members {
    /// Creates the membership of a process that knows only itself and some addresses to contact. `seed` determines the
    /// order in which peers are contacted.
    #[must_use]
    pub fn new(local: MemberInfo, contacts: Vec<SocketAddr>, policy: &Policy, seed: u64) -> Self {
        Self {
            contacts,
            ignored: 0,
            list_version: None,
            members: FastMap::default(),
            next_heartbeat: None,
            notices: Vec::new(),
            local,
            local_leaving: false,
            probes: Rotation::new(),
            remote: FastMap::default(),
            id_conflicts: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            rotation: Rotation::new(),
            timing: Timing::new(policy),
        }
    }

    /// Applies a changed policy.
    pub fn set_policy(&mut self, policy: &Policy) {
        self.timing = Timing::new(policy);
    }

    /// The state that this instance announces, to be updated by the caller; [`Self::heartbeats`] updates the counter.
    pub fn local_mut(&mut self) -> &mut MemberInfo {
        &mut self.local
    }

    /// Number of ignored reports: stale, duplicate or malformed ones, and those about this process or an ended
    /// incarnation.
    #[must_use]
    pub fn ignored_reports(&self) -> u64 {
        self.ignored
    }

    pub(crate) fn timeouts(&self) -> Timeouts {
        self.timing.timeouts(self.members.values().filter(|member| member.is_live()).count())
    }

    pub(crate) fn notify(&mut self, notices: Vec<Notice>) {
        let free = MAX_PENDING_NOTICES.saturating_sub(self.notices.len());
        self.notices.extend(notices.into_iter().take(free));
    }

    /// Applies the platform's list. A list whose version is not higher than the last one is ignored.
    pub fn set_list(&mut self, _now: Instant, list: &InstanceList) {
        if self.list_version.is_some_and(|version| list.version <= version) {
            return;
        }
        self.list_version = Some(list.version);
        self.remote.clear();
        for member in self.members.values_mut() {
            if matches!(member.listing, Listing::Live | Listing::Leaving) {
                member.listing = Listing::Removed;
            }
        }
        let (mut entries, mut leaving) = (0, 0);
        for entry in list.entries.iter().filter(|entry| entry.kind == InstanceKind::Entry) {
            if entry.data_centre == self.local.data_centre {
                entries += 1;
                leaving += usize::from(entry.state == ListState::Leaving);
                self.list_peer(entry);
            } else {
                self.list_remote(entry);
            }
        }
        let remote = self.remote.values().map(FastMap::len).sum();
        self.notify(vec![Notice::ListApplied { entries, leaving, remote, version: list.version }]);
    }

    fn list_peer(&mut self, entry: &ListEntry) {
        let leaving = entry.state == ListState::Leaving;
        if entry.id == self.local.instance {
            self.local_leaving = leaving;
        } else if let Some(member) = self.member_mut(&entry.id) {
            let listing = if leaving { Listing::Leaving } else { Listing::Live };
            member.set_listed(listing, entry.peer_address.parse().ok());
        }
    }

    fn list_remote(&mut self, entry: &ListEntry) {
        if let Ok(address) = entry.peer_address.parse() {
            let data_centre = self.remote.entry(entry.data_centre.as_str().into()).or_default();
            data_centre.insert(entry.id.as_str().into(), address);
        }
    }

    /// The member with this id, added if it is new. Returns `None` when the id is invalid or the table is full.
    pub(crate) fn member_mut(&mut self, id: &str) -> Option<&mut Member> {
        if !self.members.contains_key(id) {
            if self.members.len() >= MAX_TRACKED || !is_valid_id(id) {
                return None;
            }
            let id: InstanceId = id.into();
            self.members.insert(id.clone(), Member::new(id));
        }
        self.members.get_mut(id)
    }

    /// Marks members without recent reports as suspect or dead, removes those that have long been dead and are not
    /// listed, and appends all notices since the last call to `notices`.
    pub fn tick(&mut self, now: Instant, notices: &mut Vec<Notice>) {
        let timeouts = self.timeouts();
        let mut new = Vec::new();
        let remove_after = self.timing.remove_after;
        self.members.retain(|_, member| {
            member.tick(now, timeouts, &mut new);
            let listed = matches!(member.listing, Listing::Live | Listing::Leaving);
            let recent = member.silent_for(now).is_some_and(|silent| silent < remove_after);
            listed || !member.is_dead() && member.last_seen().is_some() || recent
        });
        self.notify(new);
        notices.append(&mut self.notices);
    }

    /// Ids of the ready instances of the data centre, in ascending order. Dead, draining and leaving instances are
    /// excluded, and peers that are not yet confirmed to be running.
    #[must_use]
    pub fn leaders(&self) -> Vec<InstanceId> {
        let local_leads = self.local.state == InstanceState::Ready && !self.local_leaving;
        let local = local_leads.then(|| self.local.instance.as_str().into());
        let peers = self.members.iter().filter(|(_, member)| member.is_leader()).map(|(id, _)| id.clone());
        let mut leaders: Vec<InstanceId> = local.into_iter().chain(peers).collect();
        leaders.sort();
        leaders
    }

    /// Peers of the data centre with at least one report that are not dead.
    pub fn peers(&self) -> impl Iterator<Item = &MemberInfo> {
        self.members.values().filter(|member| member.is_live()).filter_map(Member::info)
    }

    /// Location of the owner of a key. [`Owner::Gone`] is final and is returned only on evidence that the process has
    /// ended; a missed heartbeat is no evidence.
    #[must_use]
    pub fn owner(&self, key: &SubmissionKey) -> Owner {
        if *key.data_centre != *self.local.data_centre {
            return self.remote_owner(key);
        }
        if *key.instance == *self.local.instance {
            return self.owner_of_own_id(key.incarnation);
        }
        let Some(member) = self.members.get(&key.instance) else { return Owner::Unknown };
        let incarnation = key.incarnation;
        if member.has_ended(incarnation) {
            return Owner::Gone;
        }
        // An unknown incarnation may be a process that has just started. The process at the address of the instance id
        // decides this by accepting or rejecting the incarnation.
        let address = member.address().filter(|_| !member.is_dead());
        address.map_or(Owner::Unknown, |address| Owner::Peer { address, incarnation })
    }

    /// Location of an owner in another data centre. It is never [`Owner::Gone`], because heartbeats do not cross data
    /// centres and the list may drop a data centre that is only partitioned from the platform. The process at the
    /// listed address accepts or rejects the incarnation.
    fn remote_owner(&self, key: &SubmissionKey) -> Owner {
        let listed = self.remote.get(&key.data_centre).and_then(|instances| instances.get(&key.instance));
        listed
            .map_or(Owner::Unknown, |address| Owner::Peer { address: *address, incarnation: key.incarnation })
    }

    fn owner_of_own_id(&self, incarnation: Incarnation) -> Owner {
        if incarnation == self.local.incarnation {
            return Owner::Local;
        }
        // A process that was observed running at the same time may be the successor of this one.
        let has_conflict =
            self.id_conflicts.iter().any(|conflict| conflict.reported && conflict.incarnation == incarnation);
        if has_conflict { Owner::Unknown } else { Owner::Gone }
    }

    /// Version of the last applied list, or `None` before the first one.
    #[must_use]
    pub const fn list_version(&self) -> Option<u64> {
        self.list_version
    }

    /// Number of entry instances of the data centre on the platform's last list; this one always counts.
    #[must_use]
    pub fn listed_entries(&self) -> u32 {
        let listed = self.members.values().filter(|member| member.is_listed()).count();
        u32::try_from(listed).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// The peer with the highest configuration revision, if it is higher than this instance's.
    #[must_use]
    pub fn peer_with_newest_config(&self) -> Option<&MemberInfo> {
        let newer = self.peers().filter(|info| info.config_revision > self.local.config_revision);
        newer.max_by_key(|info| info.config_revision)
    }
}
