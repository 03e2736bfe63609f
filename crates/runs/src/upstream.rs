//! State of one upstream: who owns it, what runs there, its clock and its health.

use std::time::Duration;

use hinge_wire::{FastMap, FastSet};
use tokio::time::Instant;

use crate::health::Health;
use crate::{Assignment, Fence, HomeId, Resources, RunId, UpstreamRecord, whole_ms};

/// Lease that each order asks for. Together with the time in which the loss of a home is noticed (0.5 s) it stays below
/// the 1.3 s after which callers send a job again, so that even a run whose home and owner are lost one after the other
/// ends before its repetition starts.
const LEASE: Duration = Duration::from_millis(750);
/// Longest time for which an upstream keeps runs alive after an order; its clock may be 2% slow, and the reading of it
/// that the lease was computed from as old as [`MAX_CLOCK_ERROR`] covers.
const LEASE_LIMIT: Duration = Duration::from_millis(1_040);
/// Upstream clocks may be slow by one part in this many.
const CLOCK_ERROR_PARTS: u32 = 50;
/// Longest correction for a slow clock; an older reading would make every order look late.
const MAX_CLOCK_ERROR: Duration = Duration::from_millis(200);

/// Time beyond the expected run time, as a part of it, from which on a run is overdue.
const OVERDUE_FACTOR: f64 = 1.5;
/// Time beyond the expected run time from which on even a short run is overdue.
const OVERDUE_SLACK: Duration = Duration::from_millis(20);

/// Whether this entry may give orders to the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ownership {
    /// Another entry owns it, or nobody.
    None,
    /// Raised the fencing token; what runs there is not known yet.
    Taking,
    /// Owned.
    Owned,
    /// Owned until nothing runs there.
    Releasing,
}

/// A run that this entry started.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) assignment: Assignment,
    /// When the start was confirmed.
    pub(crate) confirmed_at: Option<Instant>,
    /// Fencing token of the start order.
    pub(crate) fence: Fence,
    pub(crate) home: HomeId,
    pub(crate) ordered_at: Instant,
    /// Whether the upstream was asked about the run because it took longer than expected.
    pub(crate) overdue: bool,
    /// Whether it was stopped because it made no headway; its home still waits for its end.
    pub(crate) stalled: bool,
    /// Whether a stop was sent; its home no longer waits.
    pub(crate) stopping: bool,
}

/// Last reading of an upstream's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    at: Instant,
    clock_ms: u64,
}

/// One upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Until when runs there may be alive without a further order.
    pub(crate) alive_until: Instant,
    clock: Option<ClockReading>,
    pub(crate) fence: Fence,
    /// Runs of others that were told to stop.
    pub(crate) foreign: FastSet<RunId>,
    pub(crate) health: Health,
    /// Whether a waiting hold is under way.
    pub(crate) holding: bool,
    pub(crate) last_end: u64,
    /// Highest end number that the upstream was told to forget.
    pub(crate) acknowledged_end: u64,
    /// When an acknowledgement is due that no other call carries.
    pub(crate) acknowledge_after: Instant,
    /// No hold is sent before.
    pub(crate) hold_after: Instant,
    /// When a probe is due.
    pub(crate) probe_after: Option<Instant>,
    pub(crate) ownership: Ownership,
    /// Whether a probe is under way.
    pub(crate) probing: bool,
    pub(crate) record: UpstreamRecord,
    /// Whether the upstream is still registered.
    pub(crate) registered: bool,
    pub(crate) runs: FastMap<RunId, Run>,
    /// Holds in a row that were not answered. Leases are not renewed then, so that they end for certain.
    pub(crate) lost_holds: u32,
    pub(crate) used: Resources,
}

impl Upstream {
    pub(crate) fn new(now: Instant, record: UpstreamRecord) -> Self {
        Self {
            alive_until: now,
            clock: None,
            fence: 0,
            foreign: FastSet::default(),
            health: Health::default(),
            holding: false,
            last_end: 0,
            acknowledged_end: 0,
            acknowledge_after: now,
            hold_after: now,
            probe_after: None,
            ownership: Ownership::None,
            probing: false,
            record,
            registered: true,
            runs: FastMap::default(),
            lost_holds: 0,
            used: Resources::default(),
        }
    }

    /// Takes over what the upstream says about itself; true when it says that its process is a new one.
    pub(crate) fn register(&mut self, record: UpstreamRecord) -> bool {
        let restarted = matches!(
            (self.record.incarnation, record.incarnation),
            (Some(known), Some(registered)) if registered > known
        );
        let incarnation = self.record.incarnation.max(record.incarnation);
        self.record = UpstreamRecord { incarnation, ..record };
        self.registered = true;
        restarted
    }

    /// Whether this entry owns the upstream, or something of its own is still under way there.
    pub(crate) fn is_active(&self) -> bool {
        let owned = self.ownership != Ownership::None && (self.registered || !self.runs.is_empty());
        owned || !self.runs.is_empty() || self.holding || self.probing
    }

    pub(crate) fn owned(&self) -> bool {
        matches!(self.ownership, Ownership::Owned | Ownership::Releasing)
    }

    /// Whether new tasks may start here.
    pub(crate) fn accepts(&self, now: Instant) -> bool {
        self.ownership == Ownership::Owned
            && self.registered
            && !self.record.draining
            && self.foreign.is_empty()
            && self.clock.is_some()
            && self.health.allows(now, self.runs.len())
    }

    pub(crate) fn free(&self) -> Resources {
        self.record.capacity - self.used
    }

    /// Notes the upstream's clock, as read at `now`.
    pub(crate) fn read_clock(&mut self, now: Instant, clock_ms: u64) {
        self.clock = Some(ClockReading { at: now, clock_ms });
    }

    /// End of a lease that begins now, on the upstream's clock.
    pub(crate) fn lease_until_ms(&self, now: Instant) -> Option<u64> {
        let clock = self.clock?;
        let elapsed = now.duration_since(clock.at);
        let correction = (elapsed / CLOCK_ERROR_PARTS).min(MAX_CLOCK_ERROR);
        Some(clock.clock_ms + whole_ms(elapsed + LEASE - correction))
    }

    /// Notes that an order which extends the lease arrived not later than `now`.
    pub(crate) fn extend_lease(&mut self, now: Instant) {
        self.alive_until = self.alive_until.max(now + LEASE_LIMIT);
    }

    pub(crate) fn add_run(&mut self, id: RunId, run: Run) {
        self.used += run.assignment.need;
        self.runs.insert(id, run);
    }

    pub(crate) fn remove_run(&mut self, id: &RunId) -> Option<Run> {
        let run = self.runs.remove(id)?;
        self.used -= run.assignment.need;
        Some(run)
    }

    /// Forgets the lists of an earlier process; its clock and end numbers mean nothing any more.
    pub(crate) fn reset_incarnation(&mut self) {
        self.last_end = 0;
        self.acknowledged_end = 0;
        self.foreign.clear();
        self.clock = None;
    }

    /// Asks for a probe when a run has become overdue: the answer that would show its end may be lost.
    pub(crate) fn probe_overdue(&mut self, now: Instant) {
        for run in self.runs.values_mut().filter(|run| !run.overdue && run.confirmed_at.is_some()) {
            let expected = Duration::from_millis(run.assignment.expected_ms);
            if now.duration_since(run.ordered_at) > expected.mul_f64(OVERDUE_FACTOR) + OVERDUE_SLACK {
                run.overdue = true;
                self.probe_after = Some(self.probe_after.map_or(now, |after| after.min(now)));
            }
        }
    }

    /// Whether somebody has to listen for ends, or tell the upstream which ends are known.
    pub(crate) fn needs_hold(&self, now: Instant) -> bool {
        match self.ownership {
            Ownership::None => false,
            Ownership::Taking => true,
            Ownership::Owned | Ownership::Releasing => {
                let unacknowledged = self.last_end > self.acknowledged_end && now >= self.acknowledge_after;
                !self.runs.is_empty() || !self.foreign.is_empty() || unacknowledged
            }
        }
    }

    /// How long the next hold may wait for an end.
    pub(crate) fn hold_wait(&self, longest: Duration, stopping: Duration) -> Duration {
        if self.ownership == Ownership::Taking || (self.runs.is_empty() && self.foreign.is_empty()) {
            Duration::ZERO
        } else if !self.foreign.is_empty() || self.runs.values().any(|run| run.stopping) {
            stopping
        } else {
            longest
        }
    }
}
