//! State of one peer of the data centre.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use hinge_wire::{Incarnation, InstanceId, InstanceState, MemberInfo};
use statig::blocking::{IntoStateMachineExt, StateMachine};
use tokio::time::Instant;

use crate::liveness::{Liveness, LivenessEvent, State};
use crate::notice::Notice;

/// Maximum number of ended incarnations kept per instance id.
const MAX_ENDED_INCARNATIONS: usize = 16;

/// State of an instance on the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Listing {
    /// It has not been on any list. The list lags, so that the instance may be running.
    Never,
    Live,
    Leaving,
    /// It was on a list and is missing on a later version.
    Removed,
}

/// Times without a report after which a member becomes suspect and dead.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    pub(crate) dead: Duration,
    pub(crate) suspect: Duration,
}

/// A reported state with its parsed address.
#[derive(Clone, Debug)]
pub(crate) struct Announced {
    pub(crate) address: SocketAddr,
    pub(crate) info: MemberInfo,
}

/// How a report arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// Another member relayed it.
    Digest,
    /// The process replied to this one, or addressed this incarnation.
    Exchange,
    /// The process sent it without addressing this incarnation.
    Heartbeat,
}

impl Source {
    /// Whether the process itself sent the report.
    pub(crate) fn is_direct(self) -> bool {
        self != Self::Digest
    }
}

/// State of the current incarnation.
struct Current {
    announced: Announced,
    last_seen: Instant,
    /// Whether the process certainly runs: it took part in an exchange, or its counter has increased. A single report
    /// may be about an ended process.
    confirmed: bool,
}

pub(crate) struct Member {
    current: Option<Current>,
    id: InstanceId,
    liveness: StateMachine<Liveness>,
    list_address: Option<SocketAddr>,
    pub(crate) listing: Listing,
    /// Incarnations that have ended; reports about them are ignored.
    ended_incarnations: VecDeque<Incarnation>,
}

impl Member {
    pub(crate) fn new(id: InstanceId) -> Self {
        Self {
            current: None,
            id,
            liveness: Liveness.state_machine(),
            list_address: None,
            listing: Listing::Never,
            ended_incarnations: VecDeque::new(),
        }
    }

    pub(crate) fn set_listed(&mut self, listing: Listing, address: Option<SocketAddr>) {
        self.listing = listing;
        self.list_address = address;
    }

    pub(crate) fn id(&self) -> &InstanceId {
        &self.id
    }

    pub(crate) fn is_dead(&self) -> bool {
        matches!(self.liveness.state(), State::Dead {})
    }

    /// Alive or suspect.
    pub(crate) fn is_live(&self) -> bool {
        matches!(self.liveness.state(), State::Alive {} | State::Suspect {})
    }

    pub(crate) fn is_leader(&self) -> bool {
        let ready = self
            .current
            .as_ref()
            .is_some_and(|current| current.confirmed && current.announced.info.state == InstanceState::Ready);
        ready && self.is_live() && self.listing != Listing::Leaving
    }

    pub(crate) fn is_listed(&self) -> bool {
        matches!(self.listing, Listing::Live | Listing::Leaving)
    }

    pub(crate) fn info(&self) -> Option<&MemberInfo> {
        self.current.as_ref().map(|current| &current.announced.info)
    }

    /// The reported address, or the listed one for a peer without a report.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.current.as_ref().map(|current| current.announced.address).or(self.list_address)
    }

    /// Incarnation to which a heartbeat is addressed; 0 when the known one may have been replaced.
    pub(crate) fn target_incarnation(&self) -> Incarnation {
        let alive = matches!(self.liveness.state(), State::Alive {});
        self.info().filter(|_| alive).map_or(0, |info| info.incarnation)
    }

    /// Whether the incarnation has certainly ended.
    pub(crate) fn has_ended(&self, incarnation: Incarnation) -> bool {
        let is_current = self.info().is_some_and(|info| info.incarnation == incarnation);
        let dropped = is_current && self.is_dead() && self.listing == Listing::Removed;
        dropped || self.ended_incarnations.contains(&incarnation)
    }

    /// Whether the state may be relayed to other members: only while it is recent, so that no digest carries a state
    /// older than the suspect timeout.
    pub(crate) fn is_fresh(&self, now: Instant, timeouts: Timeouts) -> bool {
        self.is_live() && self.silent_for(now).is_some_and(|silent| silent < timeouts.suspect)
    }

    pub(crate) fn last_seen(&self) -> Option<Instant> {
        self.current.as_ref().map(|current| current.last_seen)
    }

    /// Time since the last accepted report.
    pub(crate) fn silent_for(&self, now: Instant) -> Option<Duration> {
        self.last_seen().map(|last_seen| now.saturating_duration_since(last_seen))
    }

    /// Processes a report; returns whether it was accepted as new.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        announced: Announced,
        source: Source,
        timeouts: Timeouts,
        notices: &mut Vec<Notice>,
    ) -> bool {
        let direct = source.is_direct();
        let MemberInfo { counter, incarnation, .. } = announced.info;
        let is_new = match (self.info(), self.silent_for(now)) {
            _ if self.ended_incarnations.contains(&incarnation) => false,
            (Some(info), Some(silent)) if info.incarnation == incarnation => {
                // The dead timeout may have passed since the last call of `tick`.
                let dead = self.is_dead() || silent >= timeouts.dead;
                counter > info.counter && (direct || !dead)
            }
            // Two incarnations never run at the same time, and a direct message is delayed by less than the suspect
            // timeout. A direct message that arrives this long after the last report of the known incarnation was sent
            // after that report, so that the known incarnation has ended.
            (Some(_), Some(silent)) => direct && silent >= timeouts.suspect,
            _ => true,
        };
        if is_new {
            self.accept(now, announced, source, notices);
        }
        is_new
    }

    fn accept(&mut self, now: Instant, announced: Announced, source: Source, notices: &mut Vec<Notice>) {
        let MemberInfo { incarnation, .. } = announced.info;
        let (address, instance, returned) = (announced.address, self.id.clone(), self.is_dead());
        match self.info().map(|info| info.incarnation) {
            Some(former) if former != incarnation => {
                self.end_incarnation(former);
                notices.push(Notice::Replaced { incarnation, instance, former });
            }
            Some(_) if !returned => {}
            _ => notices.push(Notice::Joined { address, incarnation, instance, returned }),
        }
        let advanced = self.info().is_some_and(|known| known.incarnation == incarnation);
        let confirmed = advanced || source == Source::Exchange;
        self.current = Some(Current { announced, last_seen: now, confirmed });
        self.liveness.handle(&LivenessEvent::Refreshed);
    }

    fn end_incarnation(&mut self, incarnation: Incarnation) {
        if self.ended_incarnations.len() == MAX_ENDED_INCARNATIONS {
            self.ended_incarnations.pop_front();
        }
        self.ended_incarnations.push_back(incarnation);
        if self.listing == Listing::Leaving {
            // The list marked the ended process as leaving, not the new one.
            self.listing = Listing::Live;
        }
    }

    /// Marks the member as suspect or dead when its timeout has passed.
    pub(crate) fn tick(&mut self, now: Instant, timeouts: Timeouts, notices: &mut Vec<Notice>) {
        let (Some(silent), Some(info)) = (self.silent_for(now), self.info()) else { return };
        let (incarnation, instance) = (info.incarnation, self.id.clone());
        if silent >= timeouts.dead && !self.is_dead() {
            self.liveness.handle(&LivenessEvent::DeadTimeout);
            notices.push(Notice::Dead { incarnation, instance, silent });
        } else if silent >= timeouts.suspect && matches!(self.liveness.state(), State::Alive {}) {
            self.liveness.handle(&LivenessEvent::SuspectTimeout);
            notices.push(Notice::Suspect { incarnation, instance, silent });
        }
    }
}
