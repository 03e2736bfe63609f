//! Which peer to ask for slots.

use std::collections::VecDeque;
use std::time::Duration;

use hinge_ledger::Origin;
use hinge_wire::{Class, FastMap, Incarnation, InstanceId, LoanReply, LoanRequest, ServiceId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::Lender;

/// A request that is not answered within this time no longer blocks the next one.
const ANSWER_WAIT: Duration = Duration::from_millis(500);
/// Wait before a peer that had nothing to lend is asked again.
const EMPTY_WAIT: Duration = Duration::from_millis(200);
/// Unanswered requests whose time is kept, over all peers. Each is answered or reported as failed.
const MAX_UNANSWERED: usize = 1024;

/// Free slots that peers reported and requests that are under way.
pub(crate) struct LoanBook {
    incarnation: Incarnation,
    instance: InstanceId,
    lenders: Vec<Lender>,
    pending: FastMap<InstanceId, Pending>,
    rng: SmallRng,
    /// Times of the requests that are neither answered nor failed, oldest first.
    unanswered: VecDeque<(InstanceId, Instant)>,
}

struct Pending {
    slots: u32,
    until: Instant,
}

impl LoanBook {
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

    /// Takes new reports; a report that is already known does not undo what loans have taken since.
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

    /// The next request to send, or none when enough slots are asked for or no peer has any.
    pub(crate) fn next_request(
        &mut self,
        now: Instant,
        service: &ServiceId,
        class: Class,
        wanted: u32,
        limit: u32,
    ) -> Option<(InstanceId, LoanRequest)> {
        self.pending.retain(|_, pending| pending.until > now);
        let asked: u32 = self.pending.values().map(|pending| pending.slots).sum();
        let missing = wanted.saturating_sub(asked).min(limit);
        if missing == 0 {
            return None;
        }
        let lender = self.choose()?;
        let slots = missing.min(lender.free_slots);
        self.pending.insert(lender.instance.clone(), Pending { slots, until: now + ANSWER_WAIT });
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

    /// The one with more free slots of two random peers that are not asked already.
    fn choose(&mut self) -> Option<Lender> {
        let open: Vec<&Lender> = self
            .lenders
            .iter()
            .filter(|lender| lender.free_slots > 0 && !self.pending.contains_key(&lender.instance))
            .collect();
        if open.is_empty() {
            return None;
        }
        let first = open[self.rng.random_range(0..open.len())];
        let second = open[self.rng.random_range(0..open.len())];
        Some(if first.free_slots >= second.free_slots { first } else { second }.clone())
    }

    /// Takes out the time of the oldest unanswered request to a peer. Answers may overtake each other; the oldest time
    /// is the safe one, because a loan counts from its request.
    pub(crate) fn requested_at(&mut self, lender: &InstanceId) -> Option<Instant> {
        let position = self.unanswered.iter().position(|(instance, _)| instance == lender)?;
        self.unanswered.remove(position).map(|(_, at)| at)
    }

    /// Takes an answer into account; true when it lends nothing.
    pub(crate) fn answered(&mut self, now: Instant, lender: &InstanceId, reply: &LoanReply) -> bool {
        let lent = reply.slots.iter().fold(0_u32, |sum, slots| sum.saturating_add(slots.slots));
        let Some(known) = self.lenders.iter_mut().find(|known| known.instance == *lender) else {
            return lent == 0;
        };
        known.free_slots = if lent == 0 { 0 } else { known.free_slots.saturating_sub(lent) };
        if lent == 0 {
            self.block(now, lender, EMPTY_WAIT);
        } else {
            self.pending.remove(lender);
        }
        lent == 0
    }

    pub(crate) fn failed(&mut self, now: Instant, lender: &InstanceId) {
        self.requested_at(lender);
        self.block(now, lender, ANSWER_WAIT);
    }

    fn block(&mut self, now: Instant, lender: &InstanceId, time: Duration) {
        self.pending.insert(lender.clone(), Pending { slots: 0, until: now + time });
    }
}
