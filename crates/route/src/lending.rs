//! Slot loans between entries, on the side of the lender and of the borrower.

use std::time::Duration;

use hinge_wire::{Incarnation, InstanceId, LoanId, LoanReply, LoanRequest, LoanReturn, LoanSlots, ServiceId};
use tokio::time::Instant;

use crate::router::Router;
use crate::timers::Timer;
use crate::upstream::LoanPart;

/// Longest loan that is accepted from a peer; equals the maximum of `loan_duration_ms`.
const MAX_LOAN: Duration = Duration::from_secs(60);

/// A borrowed slot is returned after it was idle for one part in this many of the loan's duration.
const IDLE_FRACTION: u32 = 4;

/// A loan that this entry has taken from a peer.
#[derive(Debug)]
pub(crate) struct BorrowedLoan {
    duration: Duration,
    lender: InstanceId,
    lender_incarnation: Incarnation,
    /// Id of the loan at the lender.
    loan: LoanId,
    upstreams: Vec<usize>,
}

/// A loan that this entry has granted to a peer.
#[derive(Debug)]
pub(crate) struct LentLoan {
    borrower: String,
    /// Position of each upstream and number of slots still lent there.
    parts: Vec<(usize, u32)>,
}

impl Router {
    /// Lends free slots of led upstreams, except for a reserve of `reserve_percent` for this entry's own
    /// urgent tasks.
    ///
    /// Lent slots count as in use until they are returned, or until `loan_hold_ms` after the end of the loan.
    /// The reply contains no slots when none can be lent. The caller checks that the request is meant for
    /// this incarnation.
    pub fn lend(&mut self, now: Instant, request: &LoanRequest) -> LoanReply {
        self.advance(now);
        let mut reply = LoanReply { duration_ms: 0, loan: 0, slots: Vec::new() };
        let Some(service) = self.table.service(&request.service) else { return reply };
        if !self.policy.loans_enabled || *request.borrower == *self.instance {
            return reply;
        }
        let count = self.lendable(service).min(u64::from(request.slots)).min(self.policy.max_loan_slots);
        let mut parts: Vec<(usize, u32)> = Vec::new();
        for _ in 0..count {
            let Some(position) = self.table.pools[service].led.find(|_| false, |_| false) else { break };
            self.table.upstreams[position].lent += 1;
            self.refresh(position);
            match parts.iter_mut().find(|(upstream, _)| *upstream == position) {
                Some((_, slots)) => *slots += 1,
                None => parts.push((position, 1)),
            }
        }
        if parts.is_empty() {
            return reply;
        }
        self.next_loan += 1;
        reply.loan = self.next_loan;
        reply.duration_ms = self.policy.loan_duration_ms;
        reply.slots = parts.iter().map(|part| self.loan_slots(*part)).collect();
        let expires_at = now + Duration::from_millis(reply.duration_ms) + self.loan_hold();
        self.timers.add(expires_at, Timer::LentExpires { loan: reply.loan });
        self.lent.insert(reply.loan, LentLoan { borrower: request.borrower.clone(), parts });
        reply
    }

    fn lendable(&self, service: usize) -> u64 {
        let counts = self.table.pools[service].counts;
        let reserve = (u64::from(counts.led_slots) * self.policy.reserve_percent).div_ceil(100);
        u64::from(counts.led_free).saturating_sub(reserve)
    }

    /// Number of slots that can be lent now, summed over all services; reported to peers.
    #[must_use]
    pub fn lendable_slots(&self) -> u32 {
        let lendable: u64 = (0..self.table.pools.len()).map(|service| self.lendable(service)).sum();
        u32::try_from(lendable).unwrap_or(u32::MAX)
    }

    fn loan_slots(&self, (position, slots): (usize, u32)) -> LoanSlots {
        LoanSlots { slots, upstream: self.table.upstreams[position].entry.id.clone() }
    }

    /// Takes back lent slots. Returns for unknown or expired loans, or from another borrower, are ignored.
    pub fn accept_return(&mut self, now: Instant, request: &LoanReturn) {
        self.advance(now);
        let Some(loan) = self.lent.get_mut(&request.loan).filter(|loan| loan.borrower == request.borrower)
        else {
            return;
        };
        let mut freed = Vec::new();
        for returned in &request.slots {
            let position = self.table.get(&returned.upstream);
            let part = loan.parts.iter_mut().find(|(upstream, _)| Some(*upstream) == position);
            if let Some((upstream, slots)) = part {
                let count = returned.slots.min(*slots);
                *slots -= count;
                freed.push((*upstream, count));
            }
        }
        loan.parts.retain(|(_, slots)| *slots > 0);
        if loan.parts.is_empty() {
            self.lent.remove(&request.loan);
        }
        self.free_lent(&freed);
    }

    pub(crate) fn expire_lent(&mut self, loan: LoanId) {
        if let Some(loan) = self.lent.remove(&loan) {
            self.free_lent(&loan.parts);
        }
    }

    fn free_lent(&mut self, parts: &[(usize, u32)]) {
        for (position, slots) in parts {
            self.table.upstreams[*position].lent -= slots;
            self.refresh(*position);
            self.table.remove_if_unused(*position);
        }
    }

    /// Adds the slots of a loan from a peer, with the loan's duration counted from `now`.
    ///
    /// Prefer [`Self::add_loan_since`] where the time of the request is known.
    pub fn add_loan(
        &mut self,
        now: Instant,
        lender: &InstanceId,
        lender_incarnation: Incarnation,
        reply: &LoanReply,
    ) {
        self.add_loan_since(now, now, lender, lender_incarnation, reply);
    }

    /// Adds the slots of a loan from a peer, with the loan's duration counted from `requested_at`.
    ///
    /// The lender counts from the arrival of the request. A borrower that counted from the reply would use
    /// slots of an expired loan if it was paused between the two. Ignores repeated replies, unknown
    /// upstreams, slots beyond the number that an upstream has and slots beyond `max_loan_slots`.
    pub fn add_loan_since(
        &mut self,
        now: Instant,
        requested_at: Instant,
        lender: &InstanceId,
        lender_incarnation: Incarnation,
        reply: &LoanReply,
    ) {
        self.advance(now);
        let duration = Duration::from_millis(reply.duration_ms).min(MAX_LOAN);
        let expires_at = requested_at.min(now) + duration;
        let known = |loan: &BorrowedLoan| {
            loan.loan == reply.loan && loan.lender == *lender && loan.lender_incarnation == lender_incarnation
        };
        if expires_at <= now || *lender == self.instance || self.borrowed.values().any(known) {
            return;
        }
        let id = self.new_id();
        let mut left = u32::try_from(self.policy.max_loan_slots).unwrap_or(u32::MAX);
        let mut upstreams = Vec::new();
        for slots in &reply.slots {
            let Some(position) = self.table.get(&slots.upstream) else { continue };
            let added = self.add_loan_part(now, position, id, slots.slots.min(left));
            left -= added;
            if added > 0 {
                upstreams.push(position);
                self.refresh(position);
            }
        }
        if upstreams.is_empty() {
            return;
        }
        self.timers.add(expires_at, Timer::BorrowCloses { loan: id });
        self.timers.add(expires_at + self.loan_hold(), Timer::BorrowExpires { loan: id });
        let lender = lender.clone();
        self.borrowed
            .insert(id, BorrowedLoan { duration, lender, lender_incarnation, loan: reply.loan, upstreams });
    }

    /// Adds up to `count` borrowed slots to an upstream and returns the number added.
    fn add_loan_part(&mut self, now: Instant, position: usize, loan: u64, count: u32) -> u32 {
        let upstream = &mut self.table.upstreams[position];
        let borrowed: u32 = upstream.borrowed.iter().map(|part| part.total).sum();
        let count = count.min(upstream.slots().saturating_sub(borrowed));
        if count == 0 || upstream.loan_part(loan).is_some() {
            return 0;
        }
        upstream.borrowed.push(LoanPart {
            closed: false,
            to_return: 0,
            free: count,
            loan,
            min_free: count,
            total: count,
            window_start: now,
        });
        count
    }

    fn loan_hold(&self) -> Duration {
        Duration::from_millis(self.policy.loan_hold_ms)
    }

    /// Closes a borrowed loan to further starts. Free slots are returned at the next opportunity, and slots
    /// in use when their tasks end. Otherwise the lender would start a task while the borrower's still runs,
    /// and the upstream would refuse it as busy.
    pub(crate) fn close_borrowed(&mut self, id: u64) {
        let Some(loan) = self.borrowed.get(&id) else { return };
        for position in loan.upstreams.clone() {
            if let Some(part) = self.table.upstreams[position].loan_part(id) {
                part.closed = true;
                part.to_return += std::mem::take(&mut part.free);
                part.min_free = 0;
            }
            self.refresh(position);
        }
    }

    /// Removes a borrowed loan. Tasks that still run on its slots remain counted at their upstreams.
    pub(crate) fn expire_borrowed(&mut self, id: u64) {
        let Some(loan) = self.borrowed.remove(&id) else { return };
        for position in loan.upstreams {
            self.table.upstreams[position].borrowed.retain(|part| part.loan != id);
            self.refresh(position);
            self.table.remove_if_unused(position);
        }
    }

    /// Sums `count` over the borrowed slots of a service whose loan has ended at `now` but whose timer has
    /// not run yet.
    pub(crate) fn expired_slots(
        &self,
        now: Instant,
        service: &ServiceId,
        count: impl Fn(&LoanPart) -> u32,
    ) -> u32 {
        let ids = self.timers.due(now).filter_map(|timer| match timer {
            Timer::BorrowCloses { loan } => Some(*loan),
            _ => None,
        });
        let loans = ids.filter_map(|id| Some((id, self.borrowed.get(&id)?)));
        loans
            .flat_map(|(id, loan)| {
                loan.upstreams.iter().map(move |position| (id, &self.table.upstreams[*position]))
            })
            .filter(|(_, upstream)| *upstream.entry.service == **service)
            .flat_map(|(id, upstream)| upstream.borrowed.iter().filter(move |part| part.loan == id))
            .map(count)
            .sum()
    }

    /// Gives up borrowed slots that were idle for a quarter of the loan's duration, and free slots of closed
    /// loans.
    ///
    /// Returns the messages to send, with the lender that each is for.
    pub fn return_idle_slots(&mut self, now: Instant) -> Vec<(InstanceId, LoanReturn)> {
        self.advance(now);
        self.return_slots(|part, duration| {
            if now.saturating_duration_since(part.window_start) < duration / IDLE_FRACTION {
                return 0;
            }
            let idle = part.min_free;
            (part.min_free, part.window_start) = (part.free - idle, now);
            idle
        })
    }

    /// Gives up all free borrowed slots, because this entry is draining.
    ///
    /// Returns the messages to send, with the lender that each is for.
    pub fn return_free_slots(&mut self, now: Instant) -> Vec<(InstanceId, LoanReturn)> {
        self.advance(now);
        self.return_slots(|part, _| {
            part.min_free = 0;
            part.free
        })
    }

    /// Gives up as many free slots of each part as `idle` returns, and all slots of closed loans whose tasks
    /// have ended.
    fn return_slots(
        &mut self,
        mut idle: impl FnMut(&mut LoanPart, Duration) -> u32,
    ) -> Vec<(InstanceId, LoanReturn)> {
        let mut returns = Vec::new();
        let mut ids: Vec<u64> = self.borrowed.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let Some(loan) = self.borrowed.get(&id) else { continue };
            let (duration, upstreams) = (loan.duration, loan.upstreams.clone());
            let mut slots = Vec::new();
            for position in upstreams {
                let Some(part) = self.table.upstreams[position].loan_part(id) else { continue };
                let count = idle(part, duration).min(part.free);
                part.free -= count;
                let count = count + std::mem::take(&mut part.to_return);
                if count > 0 {
                    part.total -= count;
                    slots.push(self.loan_slots((position, count)));
                    self.remove_empty_part(id, position);
                }
            }
            if !slots.is_empty() {
                returns.extend(self.loan_return(id, slots));
            }
        }
        returns
    }

    fn remove_empty_part(&mut self, id: u64, position: usize) {
        let upstream = &mut self.table.upstreams[position];
        let count = upstream.borrowed.len();
        upstream.borrowed.retain(|part| part.loan != id || part.total > 0);
        if upstream.borrowed.len() < count
            && let Some(loan) = self.borrowed.get_mut(&id)
        {
            loan.upstreams.retain(|other| *other != position);
        }
        self.refresh(position);
        self.table.remove_if_unused(position);
    }

    /// Builds the message that returns `slots`, and removes the loan when it has no slots left.
    fn loan_return(&mut self, id: u64, slots: Vec<LoanSlots>) -> Option<(InstanceId, LoanReturn)> {
        let loan = self.borrowed.get(&id)?;
        let target_incarnation = loan.lender_incarnation;
        let message =
            LoanReturn { borrower: self.instance.to_string(), loan: loan.loan, slots, target_incarnation };
        let lender = loan.lender.clone();
        if loan.upstreams.is_empty() {
            self.borrowed.remove(&id);
        }
        Some((lender, message))
    }
}
