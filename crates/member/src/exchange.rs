//! Sending and receiving of heartbeats between the entry instances of a data centre.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use hinge_conf::Policy;
use hinge_wire::{
    Heartbeat, HeartbeatReply, Incarnation, InstanceId, MemberInfo, ResultCode, TeamDemand, is_valid_id,
};
use tokio::time::Instant;

use crate::digest;
use crate::evidence::Evidence;
use crate::member::{Announced, Member, Source, Timeouts};
use crate::members::Members;
use crate::notice::Notice;

/// Maximum number of other incarnations of this instance's id that are tracked.
const MAX_ID_CONFLICTS: usize = 16;

/// A heartbeat to send.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingHeartbeat {
    /// Address of the receiver's peer interface.
    pub address: SocketAddr,
    /// Message to send.
    pub heartbeat: Heartbeat,
}

/// Destination of a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Target {
    /// A configured address whose instance is not known.
    Contact(SocketAddr),
    Member(InstanceId),
}

/// Another process that announces this instance's id.
pub(crate) struct IdConflict {
    pub(crate) evidence: Evidence,
    pub(crate) incarnation: Incarnation,
    /// Whether [`Notice::OwnIdClaimed`] was issued.
    pub(crate) reported: bool,
}

/// Heartbeat settings from the policy.
pub(crate) struct Timing {
    pub(crate) dead_after: Duration,
    pub(crate) fanout: usize,
    pub(crate) remove_after: Duration,
    pub(crate) interval: Duration,
    pub(crate) suspect_after: Duration,
}

impl Timing {
    pub(crate) fn new(policy: &Policy) -> Self {
        Self {
            dead_after: Duration::from_millis(policy.dead_after_ms),
            fanout: usize::try_from(policy.heartbeat_fanout).unwrap_or(usize::MAX).max(1),
            // Keys that the member owns may be queried until then.
            remove_after: Duration::from_millis(
                policy.key_validity_ms.saturating_add(policy.answer_retention_ms),
            ),
            interval: Duration::from_millis(policy.heartbeat_interval_ms.max(1)),
            suspect_after: Duration::from_millis(policy.suspect_after_ms),
        }
    }

    /// The timeouts for a number of live peers. Above sixteen peers (with the default policy) they grow with the time
    /// in which each peer is contacted once, because the size limit of a heartbeat leaves too few reports per member
    /// for the configured timeouts: with those, the leader sets of 64 simulated instances diverged at 2% message loss
    /// and no other fault.
    pub(crate) fn timeouts(&self, peers: usize) -> Timeouts {
        let rounds = u32::try_from(peers.div_ceil(self.fanout)).unwrap_or(u32::MAX);
        let period = self.interval.saturating_mul(rounds);
        Timeouts { dead: self.dead_after.max(2 * period), suspect: self.suspect_after.max(period) }
    }
}

impl Members {
    /// Whether [`Self::heartbeats`] would send now.
    #[must_use]
    pub fn heartbeat_is_due(&self, now: Instant) -> bool {
        self.next_heartbeat.is_none_or(|due| now >= due)
    }

    /// Builds the heartbeats that are due, and increments this instance's counter; returns none before the interval is
    /// over.
    pub fn heartbeats(&mut self, now: Instant, demand: &[TeamDemand]) -> Vec<OutgoingHeartbeat> {
        if !self.heartbeat_is_due(now) {
            return Vec::new();
        }
        self.next_heartbeat = Some(now + self.timing.interval);
        self.local.counter += 1;
        let digest = self.fresh_members(now);
        let heartbeat = digest::build(self.local.clone(), &digest, demand);
        let targets = self.targets();
        targets.iter().filter_map(|target| self.outgoing(target, &heartbeat)).collect()
    }

    /// Member states to relay, most recent first, because older ones have had more time to spread.
    fn fresh_members(&self, now: Instant) -> Vec<MemberInfo> {
        let timeouts = self.timeouts();
        let mut fresh: Vec<_> =
            self.members.values().filter(|member| member.is_fresh(now, timeouts)).collect();
        // Ties are broken by id, because the iteration order of the hash map is random.
        fresh.sort_by_key(|member| (Reverse(member.last_seen()), member.id()));
        fresh.into_iter().filter_map(Member::info).cloned().collect()
    }

    /// The next live members in rotation, with one place reserved for a peer or address without contact, so that a
    /// healed partition is detected.
    fn targets(&mut self) -> Vec<Target> {
        let mut live = Vec::new();
        let mut silent = Vec::new();
        for (id, member) in &self.members {
            let group = if member.is_live() { &mut live } else { &mut silent };
            group.push(Target::Member(id.clone()));
        }
        let known: Vec<_> = self.members.values().filter_map(Member::address).collect();
        let local: Option<SocketAddr> = self.local.peer_address.parse().ok();
        let new = self.contacts.iter().filter(|contact| !known.contains(contact) && Some(**contact) != local);
        silent.extend(new.map(|contact| Target::Contact(*contact)));
        let sort = |target: &Target| match target {
            Target::Contact(address) => (address.to_string(), 0),
            Target::Member(id) => (id.to_string(), 1),
        };
        // The iteration order of the hash map is random; with sorted input the rotation depends on the seed only.
        live.sort_by_cached_key(sort);
        silent.sort_by_cached_key(sort);

        let fanout = self.timing.fanout;
        let reserved = usize::from(!silent.is_empty() && fanout > 1);
        let mut targets = self.rotation.take(fanout - reserved, &live, &mut self.rng);
        targets.extend(self.probes.take(fanout - targets.len(), &silent, &mut self.rng));
        targets
    }

    fn outgoing(&self, target: &Target, heartbeat: &Heartbeat) -> Option<OutgoingHeartbeat> {
        let (address, target_incarnation) = match target {
            Target::Contact(address) => (*address, 0),
            Target::Member(id) => {
                let member = self.members.get(id)?;
                (member.address()?, member.target_incarnation())
            }
        };
        Some(OutgoingHeartbeat { address, heartbeat: Heartbeat { target_incarnation, ..heartbeat.clone() } })
    }

    /// Processes a received heartbeat and returns the reply.
    ///
    /// # Errors
    ///
    /// `WRONG_INCARNATION` when the heartbeat is addressed to another incarnation; `INVALID_FIELD` when its sender is
    /// not a valid instance of this data centre or its lists are too long.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatReply, ResultCode> {
        let target = heartbeat.target_incarnation;
        if target != 0 && target != self.local.incarnation {
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
        Ok(HeartbeatReply { from: self.local.clone() })
    }

    /// Processes the reply to a heartbeat.
    pub fn on_reply(&mut self, now: Instant, reply: &HeartbeatReply) {
        self.observe(now, &reply.from, Source::Exchange, self.timeouts());
    }

    /// The report with its parsed address; `None` when it is not about a valid instance of this data centre.
    fn announced(&self, info: &MemberInfo) -> Option<Announced> {
        let address = info.peer_address.parse().ok()?;
        let valid = info.data_centre == self.local.data_centre
            && is_valid_id(&info.instance)
            && info.incarnation != 0;
        valid.then(|| Announced { address, info: info.clone() })
    }

    fn observe(&mut self, now: Instant, info: &MemberInfo, source: Source, timeouts: Timeouts) {
        let is_new = if info.instance == self.local.instance {
            self.observe_own_id(now, info, source.is_direct())
        } else {
            self.observe_peer(now, info, source, timeouts)
        };
        self.ignored += u64::from(!is_new);
    }

    fn observe_peer(&mut self, now: Instant, info: &MemberInfo, source: Source, timeouts: Timeouts) -> bool {
        let Some(announced) = self.announced(info) else { return false };
        let mut notices = Vec::new();
        let Some(member) = self.member_mut(&info.instance) else { return false };
        let is_new = member.observe(now, announced, source, timeouts, &mut notices);
        self.notify(notices);
        is_new
    }

    /// Processes a report about this instance's id: its own state relayed back, a former process, or another process
    /// that uses the id. The last case is reported once, when it is certain that the process is running.
    fn observe_own_id(&mut self, now: Instant, info: &MemberInfo, direct: bool) -> bool {
        if info.incarnation == self.local.incarnation || self.announced(info).is_none() {
            return false;
        }
        let position = self.id_conflicts.iter().position(|conflict| conflict.incarnation == info.incarnation);
        let mut conflict = match position {
            Some(position) => self.id_conflicts.swap_remove(position),
            None => {
                let evidence = Evidence::new(now, info.counter, direct);
                IdConflict { evidence, incarnation: info.incarnation, reported: false }
            }
        };
        conflict.evidence.add(now, info.counter, direct);
        let report = !conflict.reported && conflict.evidence.is_conclusive(self.timing.suspect_after);
        if report {
            conflict.reported = true;
            self.notify(vec![Notice::OwnIdClaimed {
                incarnation: info.incarnation,
                instance: self.local.instance.as_str().into(),
                peer_address: info.peer_address.clone(),
            }]);
        }
        if self.id_conflicts.len() >= MAX_ID_CONFLICTS {
            self.id_conflicts.remove(0);
        }
        self.id_conflicts.push(conflict);
        report
    }
}
