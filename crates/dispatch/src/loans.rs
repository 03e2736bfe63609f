//! Selection of peers for loan requests.

use std::collections::VecDeque;
use std::time::Duration;

use hinge_ledger::Origin;
use hinge_wire::{Class, FastMap, Incarnation, InstanceId, LoanReply, LoanRequest, ServiceId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::Lender;

/// Time without a reply after which a request no longer counts as pending; also the wait after a failed one.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait before the next request to a peer that lent nothing.
const EMPTY_REPLY_BACKOFF: Duration = Duration::from_millis(200);
/// Unanswered requests whose send time is kept, over all peers. Each one is later answered or reported as failed.
const MAX_UNANSWERED: usize = 1024;

/// Free slots reported by peers, and loan requests in flight.
pub(crate) struct LoanRequests {
    incarnation: Incarnation,
    instance: InstanceId,
    lenders: Vec<Lender>,
    /// Peers that get no request at the moment.
    pending: FastMap<InstanceId, Pending>,
    rng: SmallRng,
    /// Send times of the requests that have neither been answered nor failed, oldest first.
    unanswered: VecDeque<(InstanceId, Instant)>,
}

struct Pending {
    /// Requested slots, 0 during a backoff.
    slots: u32,
    until: Instant,
}

impl LoanRequests {
    pub(crate) fn new(origin: &Origin, seed: u64) -> Self {
        Self {
            incarnation: origin.incarnation,
            instance: origin.instance.clone(),
            lenders: Vec::new(),
            pending: FastMap::default(),
            rng: SmallRng::seed_from_u64(seed),
            unanswered: VecDeque::new(),
        }
    }

    /// Replaces the reports of the peers. Without a new heartbeat of a peer, the number kept here stays, because loans
    /// since that heartbeat have reduced it.
    pub(crate) fn set_lenders(&mut self, mut lenders: Vec<Lender>) {
        for lender in &mut lenders {
            let known = self.lenders.iter().find(|known| known.instance == lender.instance);
            if let Some(known) = known.filter(|known| known.counter == lender.counter) {
                lender.free_slots = known.free_slots;
            }
        }
        self.lenders = lenders;
        self.pending.retain(|instance, _| self.lenders.iter().any(|lender| lender.instance == *instance));
    }

    /// The next request to send, or `None` when `wanted` slots are already requested or no peer has free slots.
    pub(crate) fn next_request(
        &mut self,
        now: Instant,
        service: &ServiceId,
        class: Class,
        wanted: u32,
        limit: u32,
    ) -> Option<(InstanceId, LoanRequest)> {
        self.pending.retain(|_, pending| pending.until > now);
        let requested: u32 = self.pending.values().map(|pending| pending.slots).sum();
        let missing = wanted.saturating_sub(requested).min(limit);
        if missing == 0 {
            return None;
        }
        let lender = self.choose_lender()?;
        let slots = missing.min(lender.free_slots);
        self.pending.insert(lender.instance.clone(), Pending { slots, until: now + REPLY_TIMEOUT });
        if self.unanswered.len() >= MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back((lender.instance.clone(), now));
        let request = LoanRequest {
            borrower: self.instance.to_string(),
            borrower_incarnation: self.incarnation,
            class,
            service: service.to_string(),
            slots,
            target_incarnation: lender.incarnation,
        };
        Some((lender.instance, request))
    }

    /// Picks two random peers without a pending request and returns the one with more free slots.
    fn choose_lender(&mut self) -> Option<Lender> {
        let candidates: Vec<&Lender> = self
            .lenders
            .iter()
            .filter(|lender| lender.free_slots > 0 && !self.pending.contains_key(&lender.instance))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.rng.random_range(0..candidates.len())];
        let second = candidates[self.rng.random_range(0..candidates.len())];
        Some(if first.free_slots >= second.free_slots { first } else { second }.clone())
    }

    /// Removes and returns the send time of the oldest unanswered request to a peer. Replies may arrive out of order;
    /// the oldest time is the safe choice, because a loan's duration counts from its request.
    pub(crate) fn take_request_time(&mut self, lender: &InstanceId) -> Option<Instant> {
        let position = self.unanswered.iter().position(|(instance, _)| instance == lender)?;
        self.unanswered.remove(position).map(|(_, at)| at)
    }

    /// Records a reply; returns true when it lends nothing.
    pub(crate) fn on_reply(&mut self, now: Instant, lender: &InstanceId, reply: &LoanReply) -> bool {
        let lent = reply.slots.iter().fold(0_u32, |sum, slots| sum.saturating_add(slots.slots));
        let Some(known) = self.lenders.iter_mut().find(|known| known.instance == *lender) else {
            return lent == 0;
        };
        known.free_slots = if lent == 0 { 0 } else { known.free_slots.saturating_sub(lent) };
        if lent == 0 {
            self.back_off(now, lender, EMPTY_REPLY_BACKOFF);
        } else {
            self.pending.remove(lender);
        }
        lent == 0
    }

    pub(crate) fn on_failure(&mut self, now: Instant, lender: &InstanceId) {
        self.take_request_time(lender);
        self.back_off(now, lender, REPLY_TIMEOUT);
    }

    fn back_off(&mut self, now: Instant, lender: &InstanceId, delay: Duration) {
        self.pending.insert(lender.clone(), Pending { slots: 0, until: now + delay });
    }
}
