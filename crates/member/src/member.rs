//! What is known about one peer of the data centre.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use hinge_wire::{Incarnation, InstanceId, InstanceState, MemberInfo};
use statig::blocking::{IntoStateMachineExt, StateMachine};
use tokio::time::Instant;

use crate::evidence::Evidence;
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

/// The current incarnation.
struct Current {
    announced: Announced,
    heard_at: Instant,
}

/// Another incarnation that may replace the current one.
struct Candidate {
    announced: Announced,
    evidence: Evidence,
}

pub(crate) struct Member {
    candidate: Option<Candidate>,
    current: Option<Current>,
    id: InstanceId,
    life: StateMachine<Life>,
    list_address: Option<SocketAddr>,
    pub(crate) listing: Listing,
    /// Incarnations that have ended; nothing brings them back.
    past: VecDeque<Incarnation>,
    /// Reports of the current incarnation since it is dead.
    revival: Option<Evidence>,
}

impl Member {
    pub(crate) fn new(id: InstanceId) -> Self {
        Self {
            candidate: None,
            current: None,
            id,
            life: Life.state_machine(),
            list_address: None,
            listing: Listing::Never,
            past: VecDeque::new(),
            revival: None,
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
        let ready = self.info().is_some_and(|info| info.state == InstanceState::Ready);
        ready && self.is_live() && self.listing != Listing::Leaving
    }

    pub(crate) fn info(&self) -> Option<&MemberInfo> {
        self.current.as_ref().map(|current| &current.announced.info)
    }

    /// The announced address, or the listed one for a peer that was never heard.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.current.as_ref().map(|current| current.announced.address).or(self.list_address)
    }

    /// Incarnation that a heartbeat is addressed to; 0 unless the current one is certain to be meant.
    pub(crate) fn target_incarnation(&self) -> Incarnation {
        let certain = matches!(self.life.state(), State::Alive {}) && self.candidate.is_none();
        self.info().filter(|_| certain).map_or(0, |info| info.incarnation)
    }

    pub(crate) fn has_ended(&self, incarnation: Incarnation) -> bool {
        let is_current = self.info().is_some_and(|info| info.incarnation == incarnation);
        let dropped = is_current && self.is_dead() && self.listing == Listing::Removed;
        dropped || self.past.contains(&incarnation)
    }

    /// Address of the incarnation when it is the live one or about to replace it.
    pub(crate) fn address_of(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        let current = self.current.as_ref().filter(|_| self.is_live()).map(|current| &current.announced);
        let candidate = self.candidate.as_ref().map(|candidate| &candidate.announced);
        let matches = |announced: &&Announced| announced.info.incarnation == incarnation;
        current.into_iter().chain(candidate).find(matches).map(|announced| announced.address)
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

    /// Takes in a report; `direct` when it comes from the process itself. Returns whether it was news.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        announced: Announced,
        direct: bool,
        timeouts: Timeouts,
        notices: &mut Vec<Notice>,
    ) -> bool {
        let incarnation = announced.info.incarnation;
        if self.past.contains(&incarnation) {
            return false;
        }
        match self.info().map(|info| info.incarnation) {
            None => {
                self.accept(now, announced, notices);
                true
            }
            Some(current) if current == incarnation => {
                self.observe_current(now, announced, direct, timeouts, notices)
            }
            Some(_) => {
                let news = self.observe_other(now, announced, direct, timeouts);
                self.replace_if_silent(now, timeouts, notices);
                news
            }
        }
    }

    fn observe_current(
        &mut self,
        now: Instant,
        announced: Announced,
        direct: bool,
        timeouts: Timeouts,
        notices: &mut Vec<Notice>,
    ) -> bool {
        let counter = announced.info.counter;
        if self.info().is_some_and(|info| counter <= info.counter) {
            return false;
        }
        // The timer may not have run since the silence became too long.
        let dead = self.is_dead() || self.silent(now).is_some_and(|silent| silent >= timeouts.dead);
        if dead && !direct {
            let evidence = self.revival.get_or_insert_with(|| Evidence::new(now, counter, false));
            evidence.add(now, counter, false);
            if !evidence.is_convincing(timeouts.suspect) {
                return false;
            }
        }
        self.accept(now, announced, notices);
        true
    }

    fn accept(&mut self, now: Instant, announced: Announced, notices: &mut Vec<Notice>) {
        let returned = self.is_dead();
        if returned || self.current.is_none() {
            notices.push(Notice::Joined {
                address: announced.address,
                incarnation: announced.info.incarnation,
                instance: self.id.clone(),
                returned,
            });
        }
        self.revival = None;
        self.current = Some(Current { announced, heard_at: now });
        self.life.handle(&LifeEvent::Heard);
    }

    fn observe_other(
        &mut self,
        now: Instant,
        announced: Announced,
        direct: bool,
        timeouts: Timeouts,
    ) -> bool {
        let (counter, incarnation) = (announced.info.counter, announced.info.incarnation);
        match &mut self.candidate {
            Some(candidate) if candidate.announced.info.incarnation == incarnation => {
                let news = candidate.evidence.add(now, counter, direct);
                if news {
                    candidate.announced = announced;
                }
                news
            }
            Some(candidate) if candidate.evidence.silent(now) < timeouts.suspect => false,
            _ => {
                self.candidate = Some(Candidate { announced, evidence: Evidence::new(now, counter, direct) });
                true
            }
        }
    }

    /// Replaces the current incarnation when it is silent and another one is not. Both are never running at the same
    /// time, and messages are delayed by less than the suspect time.
    fn replace_if_silent(&mut self, now: Instant, timeouts: Timeouts, notices: &mut Vec<Notice>) {
        let silent = self.silent(now).is_none_or(|silent| silent >= timeouts.suspect);
        let convincing = |candidate: &mut Candidate| {
            let evidence = candidate.evidence;
            evidence.silent(now) < timeouts.suspect && evidence.is_convincing(timeouts.suspect)
        };
        if !silent {
            return;
        }
        let Some(Candidate { announced, evidence }) = self.candidate.take_if(convincing) else { return };
        if let Some(former) = self.info().map(|info| info.incarnation) {
            self.end_incarnation(former);
            let incarnation = announced.info.incarnation;
            notices.push(Notice::Replaced { incarnation, instance: self.id.clone(), former });
        }
        self.revival = None;
        self.current = Some(Current { announced, heard_at: evidence.last_at() });
        self.life.handle(&LifeEvent::Heard);
        if self.listing == Listing::Leaving {
            // The mark was for the former process.
            self.listing = Listing::Live;
        }
    }

    fn end_incarnation(&mut self, incarnation: Incarnation) {
        if self.past.len() == MAX_PAST {
            self.past.pop_front();
        }
        self.past.push_back(incarnation);
    }

    /// Advances the member's life to `now`.
    pub(crate) fn tick(&mut self, now: Instant, timeouts: Timeouts, notices: &mut Vec<Notice>) {
        self.replace_if_silent(now, timeouts, notices);
        self.candidate.take_if(|candidate| candidate.evidence.silent(now) >= timeouts.dead);
        self.revival.take_if(|evidence| evidence.silent(now) >= timeouts.dead);
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
