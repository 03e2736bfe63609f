//! Selection of the upstream that runs a task, and accounting of the slots in use.

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

/// Requirements and preferences of a task for its upstream; the argument of [`Router::pick`].
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Racks to avoid if possible, usually those of the job's other tasks.
    pub avoid_racks: &'a [RackId],
    /// Upstreams of earlier attempts, to avoid if possible. Takes precedence over `avoid_racks`.
    pub avoid_upstreams: &'a [UpstreamId],
    /// Priority class of the task; not used in the choice.
    pub class: Class,
    /// Whether the task may run more than once; its first attempt then prefers an upstream on probation.
    pub idempotent: bool,
    /// Service that the upstream must offer.
    pub service: &'a ServiceId,
}

/// How a task on an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// The task ran and returned a result.
    Done,
    /// The task ran and failed.
    Failed,
    /// The upstream refused the task because all its slots are in use; the task did not start.
    Busy,
    /// The upstream refused the task because it is shutting down; the task did not start.
    Leaving,
    /// The connection failed before the request was written; the task did not start.
    NotSent,
    /// The request was written, but no usable response arrived; the task may have run.
    Lost,
    /// The request was written, but no response arrived before the timeout; the task may have run.
    TimedOut,
    /// This entry stopped the task; the upstream's health does not change.
    Stopped,
}

/// A slot taken by [`Router::pick`]. It stays in use until it is passed to [`Router::finish_task`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// Rack of the upstream, so that the job's next tasks can avoid it.
    pub rack: RackId,
    /// Upstream that runs the task.
    pub upstream: UpstreamId,
    /// [`Upstream::epoch`](crate::upstream::Upstream::epoch) when the slot was taken.
    pub(crate) epoch: u64,
    pub(crate) loan: Option<u64>,
    pub(crate) position: usize,
    pub(crate) serial: u64,
}

impl Slot {
    /// Whether the slot belongs to a loan from another entry.
    #[must_use]
    pub const fn is_borrowed(&self) -> bool {
        self.loan.is_some()
    }
}

/// One entry's view of the upstreams of its data centre; chooses where tasks start.
#[derive(Debug)]
pub struct Router {
    pub(crate) borrowed: FastMap<u64, BorrowedLoan>,
    pub(crate) data_centre: Option<DataCentreId>,
    pub(crate) entries: Vec<Candidate>,
    pub(crate) lent: FastMap<LoanId, LentLoan>,
    /// Number of lists applied, to find the upstreams that the current list lacks.
    pub(crate) list_generation: u64,
    pub(crate) next_id: u64,
    pub(crate) next_loan: LoanId,
    pub(crate) notices: Vec<Notice>,
    /// Serial numbers of the slots taken, so that a repeated `finish_task` has no effect.
    outstanding: FastSet<u64>,
    pub(crate) instance: InstanceId,
    /// Number of the current [`Self::pick`]; marks the racks and upstreams to avoid without clearing earlier
    /// marks.
    picks: u64,
    pub(crate) policy: Policy,
    pub(crate) rng: SmallRng,
    pub(crate) peer_stats_due: Option<Instant>,
    pub(crate) table: Table,
    pub(crate) timers: Timers,
}

impl Router {
    /// Creates a router without upstreams for the entry `instance`. `seed` seeds tie-breaks, jitter and loan
    /// ids.
    #[must_use]
    pub fn new(instance: InstanceId, policy: &Policy, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            borrowed: FastMap::default(),
            data_centre: None,
            entries: Vec::new(),
            lent: FastMap::default(),
            list_generation: 0,
            next_id: 0,
            // A random start keeps returns of loans from a previous process of this entry from matching new
            // loans.
            next_loan: u64::from(rng.random::<u32>()),
            notices: Vec::new(),
            outstanding: FastSet::default(),
            instance,
            picks: 0,
            policy: policy.clone(),
            rng,
            peer_stats_due: None,
            table: Table::default(),
            timers: Timers::default(),
        }
    }

    /// Makes [`Self::set_upstreams`] ignore upstreams of other data centres. By default all are used.
    #[must_use]
    pub fn with_data_centre(mut self, data_centre: DataCentreId) -> Self {
        self.data_centre = Some(data_centre);
        self
    }

    /// Applies a new policy. Current loans and ejections keep their end times, except that disabling ejection
    /// returns ejected upstreams and those on probation to healthy.
    pub fn set_policy(&mut self, policy: &Policy) {
        let reset = self.policy.ejection_enabled && !policy.ejection_enabled;
        self.policy = policy.clone();
        if reset {
            for position in self.table.positions() {
                self.apply(position, HealthEvent::Reset);
            }
        }
    }

    /// Takes a free slot, preferring upstreams that this entry leads over borrowed slots.
    ///
    /// Within each group the least loaded upstream that the request does not avoid is chosen. Upstreams on
    /// probation are tried first for the first attempt of an idempotent task, and last for other tasks.
    /// Returns `None` when no slot is free.
    pub fn pick(&mut self, now: Instant, request: &PickRequest<'_>) -> Option<Slot> {
        self.advance(now);
        let service = self.table.service(request.service)?;
        let position = self.choose(service, request)?;
        self.next_id += 1;
        let serial = self.next_id;
        let upstream = &mut self.table.upstreams[position];
        let led = upstream.indexed.is_some_and(|indexed| indexed.counts.led_free > 0);
        let part = upstream.borrowed.iter_mut().find(|part| !led && part.free > 0);
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
        let avoid_rack = |rack: usize| table.is_rack_avoided(rack, pick);
        let avoid_upstream = |position: usize| table.upstreams[position].avoided_by == pick;
        let probation_first = request.idempotent && request.avoid_upstreams.is_empty();
        let first = probation_first.then(|| pool.probation.find(avoid_rack, avoid_upstream)).flatten();
        first
            .or_else(|| pool.led.find(avoid_rack, avoid_upstream))
            .or_else(|| pool.led.find(|_| false, avoid_upstream))
            .or_else(|| pool.borrowed.find(avoid_rack, avoid_upstream))
            .or_else(|| pool.borrowed.find(|_| false, avoid_upstream))
            .or_else(|| pool.led.find(|_| false, |_| false))
            .or_else(|| pool.borrowed.find(|_| false, |_| false))
            .or_else(|| pool.probation.find(|_| false, |_| false))
    }

    /// Frees the slot and updates the health of the upstream from the result.
    ///
    /// A slot that was freed before is ignored. After a failure the slot stays in use for the rest of the
    /// expected run time, so that an upstream that fails fast does not look idle and attract more tasks.
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
                    self.record_success(now, slot, run_time, expected);
                }
            }
            EndKind::Failed | EndKind::Lost | EndKind::NotSent | EndKind::TimedOut => {
                let limit = Duration::from_millis(self.policy.task_timeout_ms);
                self.hold_slot(now, slot, expected.min(limit).saturating_sub(run_time));
                self.record_failure(now, slot);
            }
            EndKind::Busy => {
                self.release(slot.position, slot.loan, false);
                self.mark_busy(now, slot.position);
            }
            EndKind::Leaving => {
                self.release(slot.position, slot.loan, false);
                self.record_leaving(now, slot.position);
            }
        }
        self.refresh(slot.position);
        self.table.remove_if_unused(slot.position);
    }

    /// Frees the slot of a running task. `ran` is false when the upstream refused the task, so that no slot
    /// became free there.
    fn release(&mut self, position: usize, loan: Option<u64>, ran: bool) {
        let upstream = &mut self.table.upstreams[position];
        upstream.running -= 1;
        if let Some(part) = loan.and_then(|loan| upstream.loan_part(loan)) {
            *(if part.closed { &mut part.to_return } else { &mut part.free }) += 1;
        }
        if let Some(busy) = upstream.busy.as_mut().filter(|_| ran) {
            busy.credit += 1;
        }
    }

    /// Keeps the slot of a failed task in use for `time`.
    fn hold_slot(&mut self, now: Instant, slot: &Slot, time: Duration) {
        if time.is_zero() {
            return self.release(slot.position, slot.loan, true);
        }
        let upstream = &mut self.table.upstreams[slot.position];
        upstream.running -= 1;
        upstream.held += 1;
        self.timers.add(now + time, Timer::Release { loan: slot.loan, upstream: slot.position });
    }

    /// Runs all timers that are due at `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::BorrowCloses { loan } => self.close_borrowed(loan),
                Timer::BorrowExpires { loan } => self.expire_borrowed(loan),
                Timer::BusyEnds { upstream } => self.end_busy(now, upstream),
                Timer::EjectionEnds { epoch, upstream } => {
                    if self.table.upstreams[upstream].epoch == epoch {
                        self.apply(upstream, HealthEvent::EjectionEnded);
                    }
                }
                Timer::LentExpires { loan } => self.expire_lent(loan),
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

    /// Updates the indexes and sums after a change to the upstream at `position`.
    pub(crate) fn refresh(&mut self, position: usize) {
        let tie = self.rng.random();
        self.table.refresh(position, tie);
    }

    /// Number of slots that [`Self::pick`] can take for the service, led and borrowed.
    ///
    /// Slots of expired loans are not counted. Slots that timers have freed since the last call that takes
    /// `&mut self` may be missing.
    #[must_use]
    pub fn free_slots(&self, now: Instant, service: &ServiceId) -> u32 {
        let counts = self.table.pool(service).map(|pool| pool.counts).unwrap_or_default();
        let expired = self.expired_slots(now, service, |part| part.free);
        counts.led_free + counts.probation_free + counts.borrowed_free.saturating_sub(expired)
    }

    /// Number of led and borrowed slots of the service, free or in use, on upstreams that accept tasks. Lent
    /// slots are not counted.
    #[must_use]
    pub fn capacity(&self, now: Instant, service: &ServiceId) -> u32 {
        let counts = self.table.pool(service).map(|pool| pool.counts).unwrap_or_default();
        counts.capacity.saturating_sub(self.expired_slots(now, service, |part| part.free))
    }

    /// Runs due timers, ejects outliers and appends the health changes since the last call to `notices`.
    pub fn tick(&mut self, now: Instant, notices: &mut Vec<Notice>) {
        self.advance(now);
        self.eject_outliers(now);
        notices.append(&mut self.notices);
    }

    /// Whether an upstream of the service is on the platform's list, in any health state.
    #[must_use]
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.table.pool(service).is_some_and(|pool| pool.listed > 0)
    }

    /// Memory of the largest listed upstream of the service in MB; 0 when there is none.
    #[must_use]
    pub fn largest_memory_mb(&self, service: &ServiceId) -> u32 {
        self.table.pool(service).map_or(0, |pool| pool.largest_memory_mb)
    }

    /// List entry of an upstream. An upstream that left the list is known until its tasks have ended.
    #[must_use]
    pub fn upstream(&self, id: &UpstreamId) -> Option<&ListEntry> {
        self.table.get(id).map(|position| &self.table.upstreams[position].entry)
    }

    /// Health of an upstream; `None` when it is unknown.
    #[must_use]
    pub fn health(&self, id: &UpstreamId) -> Option<HealthState> {
        self.table.get(id).map(|position| self.table.upstreams[position].health.state())
    }

    /// State of all known upstreams, sorted by id, for operators.
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
