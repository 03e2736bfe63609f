//! The peers of one entry instance.

use std::net::SocketAddr;

use hinge_conf::Policy;
use hinge_wire::{
    DataCentreId, FastMap, Incarnation, InstanceId, InstanceKind, InstanceList, InstanceState, ListEntry,
    ListState, MemberInfo, SubmissionKey, is_valid_id,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::exchange::{Rival, Target, Timing};
use crate::member::{Listing, Member, Timeouts};
use crate::notice::Notice;
use crate::rotation::Rotation;

/// Peers of the data centre that are tracked; a larger number comes from a wrong list or a faulty peer.
const MAX_TRACKED: usize = 256;

/// Notices kept for the next tick.
const MAX_PENDING_NOTICES: usize = 1024;

/// Where the owner of a submission key is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Owner {
    /// This process.
    Local,
    /// The process at this address, when it has this incarnation. The address may belong to another incarnation of the
    /// owner's instance id, which then rejects the message.
    Peer {
        /// Address of its peer interface.
        address: SocketAddr,
        /// Incarnation in the key.
        incarnation: Incarnation,
    },
    /// The process has ended.
    Gone,
    /// The process cannot be reached now and is not known to have ended.
    Unknown,
}

/// Membership as known to one entry instance.
pub struct Members {
    pub(crate) contacts: Vec<SocketAddr>,
    pub(crate) ignored: u64,
    pub(crate) list_version: Option<u64>,
    pub(crate) members: FastMap<InstanceId, Member>,
    pub(crate) next_heartbeat: Option<Instant>,
    pub(crate) notices: Vec<Notice>,
    pub(crate) own: MemberInfo,
    pub(crate) own_leaving: bool,
    pub(crate) probes: Rotation<Target>,
    /// Addresses of entry instances of other data centres, from the list.
    pub(crate) remote: FastMap<DataCentreId, FastMap<InstanceId, SocketAddr>>,
    pub(crate) rivals: Vec<Rival>,
    pub(crate) rng: StdRng,
    pub(crate) rotation: Rotation<Target>,
    pub(crate) timing: Timing,
}

impl Members {
    /// Membership of a process that knows only itself and some addresses to contact.
    #[must_use]
    pub fn new(own: MemberInfo, contacts: Vec<SocketAddr>, policy: &Policy, seed: u64) -> Self {
        Self {
            contacts,
            ignored: 0,
            list_version: None,
            members: FastMap::default(),
            next_heartbeat: None,
            notices: Vec::new(),
            own,
            own_leaving: false,
            probes: Rotation::new(),
            remote: FastMap::default(),
            rivals: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            rotation: Rotation::new(),
            timing: Timing::new(policy),
        }
    }

    /// Applies changed settings.
    pub fn set_policy(&mut self, policy: &Policy) {
        self.timing = Timing::new(policy);
    }

    /// What this instance announces; its counter is kept by [`Self::heartbeats`].
    pub fn own_mut(&mut self) -> &mut MemberInfo {
        &mut self.own
    }

    /// Reports that were not news or not usable: stale, duplicate, own, of an ended incarnation, or malformed.
    #[must_use]
    pub fn ignored_reports(&self) -> u64 {
        self.ignored
    }

    pub(crate) fn timeouts(&self) -> Timeouts {
        self.timing.timeouts(self.members.values().filter(|member| member.is_live()).count())
    }

    pub(crate) fn notify(&mut self, notices: Vec<Notice>) {
        let room = MAX_PENDING_NOTICES.saturating_sub(self.notices.len());
        self.notices.extend(notices.into_iter().take(room));
    }

    /// Applies the platform's list; a version that is not higher than the last is ignored.
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
            if entry.data_centre == self.own.data_centre {
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
        if entry.id == self.own.instance {
            self.own_leaving = leaving;
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

    /// The entry of a peer, added when there is room.
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

    /// Advances silent members to suspect and dead, forgets those that have long been dead and unlisted, and moves all
    /// notices since the last call to `notices`.
    pub fn tick(&mut self, now: Instant, notices: &mut Vec<Notice>) {
        let timeouts = self.timeouts();
        let mut new = Vec::new();
        let forget_after = self.timing.forget_after;
        self.members.retain(|_, member| {
            member.tick(now, timeouts, &mut new);
            let listed = matches!(member.listing, Listing::Live | Listing::Leaving);
            let recent = member.silent(now).is_some_and(|silent| silent < forget_after);
            listed || !member.is_dead() && member.heard_at().is_some() || recent
        });
        self.notify(new);
        notices.append(&mut self.notices);
    }

    /// Ready members with the own one, in order of their ids; dead, draining and leaving ones are excluded, and those that
    /// are not known to run.
    #[must_use]
    pub fn leaders(&self) -> Vec<InstanceId> {
        let own_leads = self.own.state == InstanceState::Ready && !self.own_leaving;
        let own = own_leads.then(|| self.own.instance.as_str().into());
        let peers = self.members.iter().filter(|(_, member)| member.is_leader()).map(|(id, _)| id.clone());
        let mut leaders: Vec<InstanceId> = own.into_iter().chain(peers).collect();
        leaders.sort();
        leaders
    }

    /// Peers of the data centre that have been heard and are not dead.
    pub fn peers(&self) -> impl Iterator<Item = &MemberInfo> {
        self.members.values().filter(|member| member.is_live()).filter_map(Member::info)
    }

    /// Where the owner of a key is. [`Owner::Gone`] is final and only stated on evidence that the process has ended;
    /// silence is no evidence.
    #[must_use]
    pub fn owner(&self, key: &SubmissionKey) -> Owner {
        if *key.data_centre != *self.own.data_centre {
            return self.remote_owner(key);
        }
        if *key.instance == *self.own.instance {
            return self.own_id_owner(key.incarnation);
        }
        let Some(member) = self.members.get(&key.instance) else { return Owner::Unknown };
        let incarnation = key.incarnation;
        if member.has_ended(incarnation) {
            return Owner::Gone;
        }
        // An incarnation that was never heard may be a process that has just started. Whichever process answers at the
        // address of the instance id settles that, by accepting or by rejecting the incarnation.
        let address = member.address().filter(|_| !member.is_dead());
        address.map_or(Owner::Unknown, |address| Owner::Peer { address, incarnation })
    }

    /// Heartbeats do not cross data centres, and the list may drop a data centre that is only partitioned from the
    /// platform. The process at the listed address decides.
    fn remote_owner(&self, key: &SubmissionKey) -> Owner {
        let listed = self.remote.get(&key.data_centre).and_then(|instances| instances.get(&key.instance));
        listed
            .map_or(Owner::Unknown, |address| Owner::Peer { address: *address, incarnation: key.incarnation })
    }

    fn own_id_owner(&self, incarnation: Incarnation) -> Owner {
        if incarnation == self.own.incarnation {
            return Owner::Local;
        }
        // A process that was seen to run beside this one may be its successor.
        let rival = self.rivals.iter().any(|rival| rival.reported && rival.incarnation == incarnation);
        if rival { Owner::Unknown } else { Owner::Gone }
    }

    /// Version of the list in force, or `None` before the first one.
    #[must_use]
    pub const fn list_version(&self) -> Option<u64> {
        self.list_version
    }

    /// Entry instances of the data centre on the platform's last list.
    #[must_use]
    pub fn listed_entries(&self) -> u32 {
        let listed = self.members.values().filter(|member| member.is_listed()).count();
        u32::try_from(listed).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// The peer with the highest configuration revision above the own one.
    #[must_use]
    pub fn peer_with_newest_config(&self) -> Option<&MemberInfo> {
        let newer = self.peers().filter(|info| info.config_revision > self.own.config_revision);
        newer.max_by_key(|info| info.config_revision)
    }
}
