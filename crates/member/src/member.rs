//! What is known about one peer of the data centre.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use hinge_wire::{Incarnation, InstanceId, InstanceState, MemberInfo};
use statig::blocking::{IntoStateMachineExt, StateMachine};
use tokio::time::Instant;

use crate::life::{Life, LifeEvent, State};
use crate::notice::Notice;

/// Ended incarnations remembered per instance id.
const MAX_PAST: usize = 16;

/// What the platform's list says about an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Listing {
    /// It has not been on a list; the list lags, so this does not mean that it is gone.
    Never,
    Live,
    Leaving,
    /// It was on a list and a later version no longer has it.
    Removed,
}

/// Silence after which a member is suspect and dead.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    pub(crate) dead: Duration,
    pub(crate) suspect: Duration,
}

/// An announced state with its parsed address.
#[derive(Clone, Debug)]
pub(crate) struct Announced {
    pub(crate) address: SocketAddr,
    pub(crate) info: MemberInfo,
}

/// How a report came here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// Another member passed it on.
    Digest,
    /// The process answered this one, or has heard from it before.
    Exchange,
    /// The process sent it without having heard from this one.
    Heartbeat,
}

impl Source {
    /// Whether the report comes from the process itself.
    pub(crate) fn is_direct(self) -> bool {
        self != Self::Digest
    }
}

/// The current incarnation.
struct Current {
    announced: Announced,
    heard_at: Instant,
    /// Whether it is known to run: it took part in an exchange, or its counter has advanced. A single report proves
    /// nothing.
    running: bool,
}

pub(crate) struct Member {
    current: Option<Current>,
    id: InstanceId,
    life: StateMachine<Life>,
    list_address: Option<SocketAddr>,
    pub(crate) listing: Listing,
    /// Incarnations that have ended; nothing brings them back.
    past: VecDeque<Incarnation>,
}

impl Member {
    pub(crate) fn new(id: InstanceId) -> Self {
        Self {
            current: None,
            id,
            life: Life.state_machine(),
            list_address: None,
            listing: Listing::Never,
            past: VecDeque::new(),
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
        matches!(self.life.state(), State::Dead {})
    }

    /// Alive or suspect.
    pub(crate) fn is_live(&self) -> bool {
        matches!(self.life.state(), State::Alive {} | State::Suspect {})
    }

    pub(crate) fn is_leader(&self) -> bool {
        let ready = self
            .current
            .as_ref()
            .is_some_and(|current| current.running && current.announced.info.state == InstanceState::Ready);
        ready && self.is_live() && self.listing != Listing::Leaving
    }

    pub(crate) fn is_listed(&self) -> bool {
        matches!(self.listing, Listing::Live | Listing::Leaving)
    }

    pub(crate) fn info(&self) -> Option<&MemberInfo> {
        self.current.as_ref().map(|current| &current.announced.info)
    }

    /// The announced address, or the listed one for a peer that was never heard.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.current.as_ref().map(|current| current.announced.address).or(self.list_address)
    }

    /// Incarnation that a heartbeat is addressed to; 0 when another one may have replaced the known one.
    pub(crate) fn target_incarnation(&self) -> Incarnation {
        let alive = matches!(self.life.state(), State::Alive {});
        self.info().filter(|_| alive).map_or(0, |info| info.incarnation)
    }

    pub(crate) fn has_ended(&self, incarnation: Incarnation) -> bool {
        let is_current = self.info().is_some_and(|info| info.incarnation == incarnation);
        let dropped = is_current && self.is_dead() && self.listing == Listing::Removed;
        dropped || self.past.contains(&incarnation)
    }

    /// Whether other members may be told about it: only fresh news, so that a digest never carries a state that is older
    /// than the suspect time.
    pub(crate) fn is_fresh(&self, now: Instant, timeouts: Timeouts) -> bool {
        self.is_live() && self.silent(now).is_some_and(|silent| silent < timeouts.suspect)
    }

    pub(crate) fn heard_at(&self) -> Option<Instant> {
        self.current.as_ref().map(|current| current.heard_at)
    }

    /// Time since the last higher counter.
    pub(crate) fn silent(&self, now: Instant) -> Option<Duration> {
        self.heard_at().map(|heard_at| now.saturating_duration_since(heard_at))
    }

    /// Takes in a report. Returns whether it was news.
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
        let news = match (self.info(), self.silent(now)) {
            _ if self.past.contains(&incarnation) => false,
            (Some(info), Some(silent)) if info.incarnation == incarnation => {
                // The timer may not have run since the silence became too long.
                let dead = self.is_dead() || silent >= timeouts.dead;
                counter > info.counter && (direct || !dead)
            }
            // Two incarnations never run at the same time, and a direct message is delayed by less than the suspect
            // time. One that arrives this long after the last sign of the known incarnation was sent after it, so that
            // the known one has ended.
            (Some(_), Some(silent)) => direct && silent >= timeouts.suspect,
            _ => true,
        };
        if news {
            self.accept(now, announced, source, notices);
        }
        news
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
        let running = advanced || source == Source::Exchange;
        self.current = Some(Current { announced, heard_at: now, running });
        self.life.handle(&LifeEvent::Heard);
    }

    fn end_incarnation(&mut self, incarnation: Incarnation) {
        if self.past.len() == MAX_PAST {
            self.past.pop_front();
        }
        self.past.push_back(incarnation);
        if self.listing == Listing::Leaving {
            // The mark was for the ended process.
            self.listing = Listing::Live;
        }
    }

    /// Advances the member's life to `now`.
    pub(crate) fn tick(&mut self, now: Instant, timeouts: Timeouts, notices: &mut Vec<Notice>) {
        let (Some(silent), Some(info)) = (self.silent(now), self.info()) else { return };
        let (incarnation, instance) = (info.incarnation, self.id.clone());
        if silent >= timeouts.dead && !self.is_dead() {
            self.life.handle(&LifeEvent::DeadTimeout);
            notices.push(Notice::Dead { incarnation, instance, silent });
        } else if silent >= timeouts.suspect && matches!(self.life.state(), State::Alive {}) {
            self.life.handle(&LifeEvent::SuspectTimeout);
            notices.push(Notice::Suspect { incarnation, instance, silent });
        }
    }
}
