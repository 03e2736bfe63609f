//! The peers of one entry instance.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use hinge_conf::Policy;
use hinge_wire::{
    DataCentreId, FastMap, Heartbeat, HeartbeatReply, Incarnation, InstanceId, InstanceKind, InstanceList,
    InstanceState, ListEntry, ListState, MemberInfo, ResultCode, SubmissionKey, TeamDemand, is_valid_id,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::digest;
use crate::evidence::Evidence;
use crate::member::{Announced, Listing, Member, Source, Timeouts};
use crate::notice::Notice;
use crate::rotation::Rotation;

/// Peers of the data centre that are tracked; a larger number comes from a wrong list or a faulty peer.
const MAX_TRACKED: usize = 256;

/// Notices kept for the next tick.
const MAX_PENDING_NOTICES: usize = 1024;

/// Other incarnations of the own instance id that are remembered.
const MAX_RIVALS: usize = 16;

/// Where the owner of a submission key is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Owner {
    /// This process.
    Own,
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

/// A heartbeat to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Address of the receiver's peer interface.
    pub address: SocketAddr,
    /// The message.
    pub heartbeat: Heartbeat,
}

/// Where a heartbeat goes.
#[derive(Clone, Debug, PartialEq)]
enum Target {
    Contact(SocketAddr),
    Member(InstanceId),
}

/// Another process that announces the own instance id.
struct Rival {
    evidence: Evidence,
    incarnation: Incarnation,
    reported: bool,
}

/// Timing of heartbeats.
struct Timing {
    dead_after: Duration,
    fanout: usize,
    forget_after: Duration,
    interval: Duration,
    suspect_after: Duration,
}

impl Timing {
    fn new(policy: &Policy) -> Self {
        Self {
            dead_after: Duration::from_millis(policy.dead_after_ms),
            fanout: usize::try_from(policy.heartbeat_fanout).unwrap_or(usize::MAX).max(1),
            // A key of the member may be asked for until then.
            forget_after: Duration::from_millis(
                policy.key_validity_ms.saturating_add(policy.answer_retention_ms),
            ),
            interval: Duration::from_millis(policy.heartbeat_interval_ms.max(1)),
            suspect_after: Duration::from_millis(policy.suspect_after_ms),
        }
    }

    /// The timeouts for a number of peers. Above sixteen peers they grow with the time in which each peer is contacted
    /// once, because the size limit of a heartbeat leaves too few reports per member for the configured times: with
    /// these, the leader sets of 64 simulated instances differed without a fault other than 2% loss.
    fn timeouts(&self, peers: usize) -> Timeouts {
        let rounds = u32::try_from(peers.div_ceil(self.fanout)).unwrap_or(u32::MAX);
        let period = self.interval.saturating_mul(rounds);
        Timeouts { dead: self.dead_after.max(2 * period), suspect: self.suspect_after.max(period) }
    }
}

/// Membership as known to one entry instance.
pub struct Members {
    contacts: Vec<SocketAddr>,
    ignored: u64,
    list_version: Option<u64>,
    members: FastMap<InstanceId, Member>,
    next_heartbeat: Option<Instant>,
    notices: Vec<Notice>,
    own: MemberInfo,
    own_leaving: bool,
    probes: Rotation<Target>,
    /// Addresses of entry instances of other data centres, from the list.
    remote: FastMap<DataCentreId, FastMap<InstanceId, SocketAddr>>,
    rivals: Vec<Rival>,
    rng: StdRng,
    rotation: Rotation<Target>,
    timing: Timing,
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

    fn timeouts(&self) -> Timeouts {
        self.timing.timeouts(self.members.values().filter(|member| member.is_live()).count())
    }

    fn notify(&mut self, notices: Vec<Notice>) {
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
    fn member_mut(&mut self, id: &str) -> Option<&mut Member> {
        if !self.members.contains_key(id) {
            if self.members.len() >= MAX_TRACKED || !is_valid_id(id) {
                return None;
            }
            let id: InstanceId = id.into();
            self.members.insert(id.clone(), Member::new(id));
        }
        self.members.get_mut(id)
    }

    /// Whether [`Self::heartbeats`] would send now.
    #[must_use]
    pub fn heartbeat_is_due(&self, now: Instant) -> bool {
        self.next_heartbeat.is_none_or(|due| now >= due)
    }

    /// Heartbeats that are due now.
    pub fn heartbeats(&mut self, now: Instant, demand: &[TeamDemand]) -> Vec<Outgoing> {
        if !self.heartbeat_is_due(now) {
            return Vec::new();
        }
        self.next_heartbeat = Some(now + self.timing.interval);
        self.own.counter += 1;
        let digest = self.fresh_members(now);
        let heartbeat = digest::build(self.own.clone(), &digest, demand);
        let targets = self.targets();
        targets.iter().filter_map(|target| self.address(target, &heartbeat)).collect()
    }

    /// States to pass on, those heard last first. News that is older has had more time to spread.
    fn fresh_members(&self, now: Instant) -> Vec<MemberInfo> {
        let timeouts = self.timeouts();
        let mut fresh: Vec<_> =
            self.members.values().filter(|member| member.is_fresh(now, timeouts)).collect();
        // The id decides between equal times, because the order in the hash map is random.
        fresh.sort_by_key(|member| (Reverse(member.heard_at()), member.id()));
        fresh.into_iter().filter_map(Member::info).cloned().collect()
    }

    /// Live members in rotation, with one place for peers that are not heard, so that a healed partition is found.
    fn targets(&mut self) -> Vec<Target> {
        let mut live = Vec::new();
        let mut silent = Vec::new();
        for (id, member) in &self.members {
            let group = if member.is_live() { &mut live } else { &mut silent };
            group.push(Target::Member(id.clone()));
        }
        let known: Vec<_> = self.members.values().filter_map(Member::address).collect();
        let own: Option<SocketAddr> = self.own.peer_address.parse().ok();
        let new = self.contacts.iter().filter(|contact| !known.contains(contact) && Some(**contact) != own);
        silent.extend(new.map(|contact| Target::Contact(*contact)));
        let sort = |target: &Target| match target {
            Target::Contact(address) => (address.to_string(), 0),
            Target::Member(id) => (id.to_string(), 1),
        };
        // The order in the hash map is random; the rotation depends on the seed only.
        live.sort_by_cached_key(sort);
        silent.sort_by_cached_key(sort);

        let fanout = self.timing.fanout;
        let reserved = usize::from(!silent.is_empty() && fanout > 1);
        let mut targets = self.rotation.take(fanout - reserved, &live, &mut self.rng);
        targets.extend(self.probes.take(fanout - targets.len(), &silent, &mut self.rng));
        targets
    }

    fn address(&self, target: &Target, heartbeat: &Heartbeat) -> Option<Outgoing> {
        let (address, target_incarnation) = match target {
            Target::Contact(address) => (*address, 0),
            Target::Member(id) => {
                let member = self.members.get(id)?;
                (member.address()?, member.target_incarnation())
            }
        };
        Some(Outgoing { address, heartbeat: Heartbeat { target_incarnation, ..heartbeat.clone() } })
    }

    /// Takes in a heartbeat and returns the reply.
    ///
    /// # Errors
    ///
    /// `WRONG_INCARNATION` when the heartbeat was for an earlier process; `INVALID_FIELD` when its sender is not a valid
    /// instance of this data centre or its lists are too long.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatReply, ResultCode> {
        let target = heartbeat.target_incarnation;
        if target != 0 && target != self.own.incarnation {
            return Err(ResultCode::WrongIncarnation);
        }
        if !digest::is_bounded(heartbeat) || self.announced(&heartbeat.from).is_none() {
            return Err(ResultCode::InvalidField);
        }
        let timeouts = self.timeouts();
        let source = if target == 0 { Source::Heartbeat } else { Source::Exchange };
        self.observe(now, &heartbeat.from, source, timeouts);
        for info in &heartbeat.members {
            self.observe(now, info, Source::Digest, timeouts);
        }
        Ok(HeartbeatReply { from: self.own.clone() })
    }

    /// Takes in the reply to a heartbeat.
    pub fn on_reply(&mut self, now: Instant, reply: &HeartbeatReply) {
        self.observe(now, &reply.from, Source::Exchange, self.timeouts());
    }

    /// The report with its address, when it is of an instance of this data centre.
    fn announced(&self, info: &MemberInfo) -> Option<Announced> {
        let address = info.peer_address.parse().ok()?;
        let valid =
            info.data_centre == self.own.data_centre && is_valid_id(&info.instance) && info.incarnation != 0;
        valid.then(|| Announced { address, info: info.clone() })
    }

    fn observe(&mut self, now: Instant, info: &MemberInfo, source: Source, timeouts: Timeouts) {
        let news = if info.instance == self.own.instance {
            self.observe_own_id(now, info, source.is_direct())
        } else {
            self.observe_peer(now, info, source, timeouts)
        };
        self.ignored += u64::from(!news);
    }

    fn observe_peer(&mut self, now: Instant, info: &MemberInfo, source: Source, timeouts: Timeouts) -> bool {
        let Some(announced) = self.announced(info) else { return false };
        let mut notices = Vec::new();
        let Some(member) = self.member_mut(&info.instance) else { return false };
        let news = member.observe(now, announced, source, timeouts, &mut notices);
        self.notify(notices);
        news
    }

    /// A report about the own instance id: the own state heard back, the former process, or another process that uses
    /// the id. The last is reported once, when it is certain that it runs.
    fn observe_own_id(&mut self, now: Instant, info: &MemberInfo, direct: bool) -> bool {
        if info.incarnation == self.own.incarnation || self.announced(info).is_none() {
            return false;
        }
        let position = self.rivals.iter().position(|rival| rival.incarnation == info.incarnation);
        let mut rival = match position {
            Some(position) => self.rivals.swap_remove(position),
            None => {
                let evidence = Evidence::new(now, info.counter, direct);
                Rival { evidence, incarnation: info.incarnation, reported: false }
            }
        };
        rival.evidence.add(now, info.counter, direct);
        let report = !rival.reported && rival.evidence.is_convincing(self.timing.suspect_after);
        if report {
            rival.reported = true;
            self.notify(vec![Notice::OwnIdClaimed {
                incarnation: info.incarnation,
                instance: self.own.instance.as_str().into(),
                peer_address: info.peer_address.clone(),
            }]);
        }
        if self.rivals.len() >= MAX_RIVALS {
            self.rivals.remove(0);
        }
        self.rivals.push(rival);
        report
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
            return Owner::Own;
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
    pub fn latest_config(&self) -> Option<&MemberInfo> {
        let newer = self.peers().filter(|info| info.config_revision > self.own.config_revision);
        newer.max_by_key(|info| info.config_revision)
    }
}
