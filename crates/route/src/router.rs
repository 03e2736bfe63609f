//! The router: which upstream runs the next task.

use std::time::Duration;

use hinge_conf::Policy;
use hinge_wire::{
    Class, DataCentreId, FastMap, FastSet, InstanceId, ListEntry, LoanId, RackId, ServiceId, UpstreamId,
    UpstreamInfo,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::health::{HealthEvent, HealthState};
use crate::lending::{BorrowedLoan, LentLoan};
use crate::notice::Notice;
use crate::rendezvous::Candidate;
use crate::table::Table;
use crate::timers::{Timer, Timers};

/// What a task needs of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Racks of the other tasks of the job; avoided when possible.
    pub avoid_racks: &'a [RackId],
    /// Upstreams of earlier attempts; avoided when possible.
    pub avoid_upstreams: &'a [UpstreamId],
    /// Class of the task.
    pub class: Class,
    /// Whether the task may run twice.
    pub idempotent: bool,
    /// Service that runs the task.
    pub service: &'a ServiceId,
}

/// How a task on an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// It ran and has a result.
    Done,
    /// It ran and failed.
    Failed,
    /// The upstream rejected it because all slots are in use; not started.
    Busy,
    /// The upstream rejected it because it stops; not started.
    Leaving,
    /// The connection failed before anything was written; not started.
    NotSent,
    /// It was written and no usable answer came.
    Lost,
    /// It was written and no answer came in time.
    TimedOut,
    /// It was stopped by this entry.
    Stopped,
}

/// A slot taken by [`Router::pick`], to be given back to [`Router::finish_task`] once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// Rack of the upstream.
    pub rack: RackId,
    /// The upstream.
    pub upstream: UpstreamId,
    pub(crate) epoch: u64,
    pub(crate) loan: Option<u64>,
    pub(crate) position: usize,
    pub(crate) serial: u64,
}

impl Slot {
    /// Whether the slot was borrowed from a peer.
    #[must_use]
    pub const fn is_borrowed(&self) -> bool {
        self.loan.is_some()
    }
}

/// Upstreams of the data centre as seen by one entry, and the decision where tasks start.
#[derive(Debug)]
pub struct Router {
    pub(crate) borrowed: FastMap<u64, BorrowedLoan>,
    pub(crate) data_centre: Option<DataCentreId>,
    pub(crate) entries: Vec<Candidate>,
    pub(crate) lent: FastMap<LoanId, LentLoan>,
    pub(crate) list_round: u64,
    pub(crate) next_id: u64,
    pub(crate) next_loan: LoanId,
    pub(crate) notices: Vec<Notice>,
    /// Serial numbers of the slots taken; makes a repeated `finish_task` harmless.
    outstanding: FastSet<u64>,
    pub(crate) own: InstanceId,
    picks: u64,
    pub(crate) policy: Policy,
    pub(crate) rng: SmallRng,
    pub(crate) stats_due: Option<Instant>,
    pub(crate) table: Table,
    pub(crate) timers: Timers,
}

impl Router {
    /// A router without upstreams for the entry `own`.
    #[must_use]
    pub fn new(own: InstanceId, policy: &Policy, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            borrowed: FastMap::default(),
            data_centre: None,
            entries: Vec::new(),
            lent: FastMap::default(),
            list_round: 0,
            next_id: 0,
            // A random first id keeps returns for an earlier process from matching a loan of this one.
            next_loan: u64::from(rng.random::<u32>()),
            notices: Vec::new(),
            outstanding: FastSet::default(),
            own,
            picks: 0,
            policy: policy.clone(),
            rng,
            stats_due: None,
            table: Table::default(),
            timers: Timers::default(),
        }
    }

    /// Ignores list entries of other data centres, so that the whole list may be passed to [`Self::set_upstreams`].
    #[must_use]
    pub fn with_data_centre(mut self, data_centre: DataCentreId) -> Self {
        self.data_centre = Some(data_centre);
        self
    }

    /// Applies a changed policy. Loans and ejections in progress keep their times.
    pub fn set_policy(&mut self, policy: &Policy) {
        let reset = self.policy.ejection_enabled && !policy.ejection_enabled;
        self.policy = policy.clone();
        if reset {
            for position in self.table.positions() {
                self.apply(position, HealthEvent::Reset);
            }
        }
    }

    /// Takes a free slot; led slots first, then borrowed ones.
    ///
    /// Among these the least loaded upstream is taken that is not to be avoided. Upstreams on probation come first for
    /// a first attempt at an idempotent task, and last for other tasks.
    pub fn pick(&mut self, now: Instant, request: &PickRequest<'_>) -> Option<Slot> {
        self.advance(now);
        let service = self.table.service(request.service)?;
        let position = self.choose(service, request)?;
        self.next_id += 1;
        let serial = self.next_id;
        let upstream = &mut self.table.upstreams[position];
        let led = upstream.placed.is_some_and(|placed| placed.offer.led_free > 0);
        let part = upstream.parts.iter_mut().find(|part| !led && part.free > 0);
        let loan = part.map(|part| {
            part.free -= 1;
            part.min_free = part.min_free.min(part.free);
            part.loan
        });
        upstream.running += 1;
        if let Some(busy) = &mut upstream.busy {
            busy.credit = busy.credit.saturating_sub(1);
        }
        let (epoch, id) = (upstream.epoch, upstream.id.clone());
        self.outstanding.insert(serial);
        self.refresh(position);
        Some(Slot { rack: self.table.rack_id(position), upstream: id, epoch, loan, position, serial })
    }

    fn choose(&mut self, service: usize, request: &PickRequest<'_>) -> Option<usize> {
        self.picks += 1;
        let pick = self.picks;
        for rack in request.avoid_racks {
            self.table.avoid_rack(rack, pick);
        }
        for upstream in request.avoid_upstreams {
            if let Some(position) = self.table.get(upstream) {
                self.table.upstreams[position].avoided_by = pick;
            }
        }
        let (table, pool) = (&self.table, &self.table.pools[service]);
        let rack = |rack: usize| table.is_rack_avoided(rack, pick);
        let upstream = |position: usize| table.upstreams[position].avoided_by == pick;
        let probation_first = request.idempotent && request.avoid_upstreams.is_empty();
        let first = probation_first.then(|| pool.probation.find(rack, upstream)).flatten();
        first
            .or_else(|| pool.led.find(rack, upstream))
            .or_else(|| pool.led.find(|_| false, upstream))
            .or_else(|| pool.borrowed.find(rack, upstream))
            .or_else(|| pool.borrowed.find(|_| false, upstream))
            .or_else(|| pool.led.find(|_| false, |_| false))
            .or_else(|| pool.borrowed.find(|_| false, |_| false))
            .or_else(|| pool.probation.find(|_| false, |_| false))
    }

    /// Frees the slot and learns from the end of the task.
    ///
    /// A slot that was already given back is ignored. After a failure the slot stays taken for the rest of the
    /// expected run time, so that an upstream that fails fast does not attract work by being idle.
    pub fn finish_task(
        &mut self,
        now: Instant,
        slot: &Slot,
        kind: EndKind,
        run_time: Duration,
        expected: Duration,
    ) {
        self.advance(now);
        if !self.outstanding.remove(&slot.serial) {
            return;
        }
        match kind {
            EndKind::Done | EndKind::Stopped => {
                self.release(slot.position, slot.loan, true);
                if kind == EndKind::Done {
                    self.learn_success(now, slot, run_time, expected);
                }
            }
            EndKind::Failed | EndKind::Lost | EndKind::NotSent | EndKind::TimedOut => {
                let limit = Duration::from_millis(self.policy.task_timeout_ms);
                self.hold(now, slot, expected.min(limit).saturating_sub(run_time));
                self.learn_failure(now, slot);
            }
            EndKind::Busy => {
                self.release(slot.position, slot.loan, false);
                self.mark_busy(now, slot.position);
            }
            EndKind::Leaving => {
                self.release(slot.position, slot.loan, false);
                self.learn_leaving(now, slot.position);
            }
        }
        self.refresh(slot.position);
        self.table.remove_if_unused(slot.position);
    }

    /// Gives up one running task's slot; `ran` tells whether the task had occupied it at the upstream.
    fn release(&mut self, position: usize, loan: Option<u64>, ran: bool) {
        let upstream = &mut self.table.upstreams[position];
        upstream.running -= 1;
        if let Some(part) = loan.and_then(|loan| upstream.part(loan)) {
            *(if part.closed { &mut part.done } else { &mut part.free }) += 1;
        }
        if let Some(busy) = upstream.busy.as_mut().filter(|_| ran) {
            busy.credit += 1;
        }
    }

    fn hold(&mut self, now: Instant, slot: &Slot, time: Duration) {
        if time.is_zero() {
            return self.release(slot.position, slot.loan, true);
        }
        let upstream = &mut self.table.upstreams[slot.position];
        upstream.running -= 1;
        upstream.held += 1;
        self.timers.add(now + time, Timer::Release { loan: slot.loan, upstream: slot.position });
    }

    /// Applies everything that was due by `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::BorrowCloses { loan } => self.close_borrowed(loan),
                Timer::BorrowLapses { loan } => self.lapse_borrowed(loan),
                Timer::BusyEnds { upstream } => self.end_busy(now, upstream),
                Timer::EjectionEnds { epoch, upstream } => {
                    if self.table.upstreams[upstream].epoch == epoch {
                        self.apply(upstream, HealthEvent::EjectionEnded);
                    }
                }
                Timer::LentLapses { loan } => self.lapse_lent(loan),
                Timer::Release { loan, upstream } => {
                    let record = &mut self.table.upstreams[upstream];
                    record.held -= 1;
                    record.running += 1;
                    self.release(upstream, loan, true);
                    self.refresh(upstream);
                    self.table.remove_if_unused(upstream);
                }
            }
        }
    }

    pub(crate) fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    pub(crate) fn refresh(&mut self, position: usize) {
        let tie = self.rng.random();
        self.table.refresh(position, tie);
    }

    /// Slots that [`Self::pick`] can take for the service, on led and borrowed upstreams.
    ///
    /// Borrowed slots whose loan has lapsed are not counted. Slots that became free since the last call that changed
    /// the router may be missing.
    #[must_use]
    pub fn free_slots(&self, now: Instant, service: &ServiceId) -> u32 {
        let offer = self.table.pool(service).map(|pool| pool.offer).unwrap_or_default();
        let lapsed = self.lapsed(now, service, |part| part.free);
        offer.led_free + offer.probation_free + offer.borrowed_free.saturating_sub(lapsed)
    }

    /// Led and borrowed slots on upstreams that may get work; lent slots are not counted.
    #[must_use]
    pub fn capacity(&self, now: Instant, service: &ServiceId) -> u32 {
        let offer = self.table.pool(service).map(|pool| pool.offer).unwrap_or_default();
        offer.capacity.saturating_sub(self.lapsed(now, service, |part| part.free))
    }

    /// Applies timers and reports changes of upstream health since the last call.
    pub fn tick(&mut self, now: Instant, notices: &mut Vec<Notice>) {
        self.advance(now);
        self.compare(now);
        notices.append(&mut self.notices);
    }

    /// Whether the list holds an upstream of the service.
    #[must_use]
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.table.pool(service).is_some_and(|pool| pool.listed > 0)
    }

    /// Memory of the largest upstream of the service; 0 when there is none.
    #[must_use]
    pub fn largest_memory_mb(&self, service: &ServiceId) -> u32 {
        self.table.pool(service).map_or(0, |pool| pool.largest_memory_mb)
    }

    /// List entry of an upstream; also of one that left the list while its tasks run.
    #[must_use]
    pub fn upstream(&self, id: &UpstreamId) -> Option<&ListEntry> {
        self.table.get(id).map(|position| &self.table.upstreams[position].entry)
    }

    /// Health of an upstream.
    #[must_use]
    pub fn health(&self, id: &UpstreamId) -> Option<HealthState> {
        self.table.get(id).map(|position| self.table.upstreams[position].health.state())
    }

    /// All known upstreams in the order of their ids.
    #[must_use]
    pub fn describe(&self) -> Vec<UpstreamInfo> {
        let mut all: Vec<UpstreamInfo> = self
            .table
            .positions()
            .into_iter()
            .map(|position| {
                let upstream = &self.table.upstreams[position];
                UpstreamInfo {
                    address: upstream.entry.address.clone(),
                    health: upstream.health.state().name().to_owned(),
                    id: upstream.entry.id.clone(),
                    in_use: upstream.used(),
                    leader: upstream.leader.as_deref().unwrap_or_default().to_owned(),
                    rack: upstream.entry.rack.clone(),
                    service: upstream.entry.service.clone(),
                    slots: upstream.entry.slots,
                }
            })
            .collect();
        all.sort_by(|a, b| a.id.cmp(&b.id));
        all
    }
}
