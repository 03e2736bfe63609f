//! State of one upstream: ownership, runs, clock and health.

use std::collections::VecDeque;
use std::time::Duration;

use hinge_wire::{FastMap, FastSet};
use tokio::time::Instant;

use crate::health::Health;
use crate::interference::{Kind, KindSet, Neighbours, Pace};
use crate::warmup::Coldness;
use crate::{Assignment, Fence, HomeId, Incarnation, Resources, RunId, UpstreamRecord, bounded_ms, whole_ms};

/// Duration of the lease that each order requests. A renewal that an owner sends in its last moment may arrive at the end
/// of the lease before it, and then counts from its arrival. So a run can outlive its owner by two leases on a clock that
/// is 2% slow, 1,225 ms. Callers resubmit a job after 1.3 s. One lease together with the [`LIVENESS_TIMEOUT`](crate::LIVENESS_TIMEOUT)
/// of a home is shorter than that too, so that a run also ends in time if its home and then its owner are lost.
const LEASE: Duration = Duration::from_millis(600);
/// Upper bound, on this entry's clock, for the time that runs survive after the last order. It is longer than [`LEASE`]
/// because the upstream's clock may be 2% slow, and because the lease may have been computed from a clock reading as
/// old as [`MAX_READING_AGE`].
const LEASE_LIMIT: Duration = Duration::from_millis(1_040);
/// An upstream's clock may be slow by 1/50, or 2%.
const CLOCK_DRIFT_DIVISOR: u32 = 50;
/// Age of a clock reading up to which leases are computed from it. The correction for a slow clock shortens them by 200 ms
/// at most.
const MAX_READING_AGE: Duration = Duration::from_secs(10);
/// Age of a clock reading from which on a probe is sent for a new one.
const REFRESH_READING_AFTER: Duration = Duration::from_secs(8);

/// Time in which a cancelled run ends, unless orders are lost. Together with [`LEASE_LIMIT`] it is shorter than the 1.3 s
/// after which callers resubmit a job.
pub(crate) const STOP_TIME: Duration = Duration::from_millis(200);

/// Multiple of the expected run time after which a run is overdue.
const OVERDUE_FACTOR: f64 = 1.5;
/// Added to the overdue limit, so that short runs do not become overdue too soon.
const OVERDUE_SLACK: Duration = Duration::from_millis(20);

/// Number of former processes of an upstream that are remembered. A late answer or record of one that was forgotten costs
/// a takeover.
const MAX_FORMER_PROCESSES: usize = 8;

/// Process of an upstream that a record or a listing is about. Start times do not tell which of two processes is the later
/// one, because the clock of the machine may have been set back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Process {
    /// One that was the present process before.
    Former,
    /// One that was not known.
    New,
    /// The present one, or one that is not named.
    Present,
}

/// Whether this entry may give orders to the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ownership {
    /// Owned by another entry or by none.
    None,
    /// Being taken over: the runs are unknown until the first listing under the raised fencing token.
    Taking,
    Owned,
    /// Owned until its last run has ended; gets no new tasks.
    Releasing,
}

/// A run that this entry started.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// A time before which the home has not sent the assignment.
    pub(crate) assigned_after: Instant,
    pub(crate) assignment: Assignment,
    /// When the upstream first confirmed that the run exists.
    pub(crate) confirmed_at: Option<Instant>,
    /// When the run must have ended, after it was cancelled or its home lost; none otherwise.
    pub(crate) end_by: Option<Instant>,
    /// Fencing token of the start order.
    pub(crate) fence: Fence,
    pub(crate) home: HomeId,
    pub(crate) neighbours: Neighbours,
    pub(crate) ordered_at: Instant,
    /// Whether the run took longer than expected, so that a probe was requested.
    pub(crate) overdue: bool,
    /// Whether the run was stopped for lack of progress.
    pub(crate) stalled: bool,
}

impl Run {
    pub(crate) fn is_stopping(&self) -> bool {
        self.end_by.is_some()
    }
}

/// Last reading of an upstream's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    at: Instant,
    clock_ms: u64,
}

#[derive(Debug)]
pub(crate) struct Upstream {
    /// When the last lease has expired for certain, unless another order renews it.
    pub(crate) runs_expire_at: Instant,
    clock: Option<ClockReading>,
    pub(crate) coldness: Coldness,
    /// Number of times in a row that a higher token has ended the ownership, without a takeover in between.
    pub(crate) failed_takeovers: u32,
    pub(crate) fence: Fence,
    /// Token under which the last takeover was completed.
    pub(crate) takeover_fence: Fence,
    /// Upper bound of `fence`, as far as it is used in orders.
    pub(crate) fence_limit: Fence,
    /// Processes before the present one, oldest first.
    former: VecDeque<Incarnation>,
    /// Whether the present process has answered a hold under the present token. Until then the newest record decides which
    /// process is the present one.
    has_answered: bool,
    /// Runs of other owners since the last takeover: those that it has found, and those logged as of a second holder.
    pub(crate) foreign_runs: FastSet<RunId>,
    /// Listed runs that this entry did not start; stop orders were sent for them.
    pub(crate) unknown_runs: FastSet<RunId>,
    pub(crate) health: Health,
    /// Whether a waiting hold is in flight.
    pub(crate) holding: bool,
    /// Highest end number seen in a listing.
    pub(crate) last_end: u64,
    /// Highest end number that the upstream has received as acknowledged.
    pub(crate) acknowledged_end: u64,
    /// When a hold is sent only to acknowledge ends, if none was sent before.
    pub(crate) acknowledge_after: Instant,
    /// Earliest time of the next waiting hold.
    pub(crate) hold_after: Instant,
    /// When the next probe is due; none if none is needed.
    pub(crate) probe_after: Option<Instant>,
    pub(crate) ownership: Ownership,
    pub(crate) pace: Pace,
    /// Whether a probe is in flight.
    pub(crate) probing: bool,
    /// The present process; none until a record or an answer names it.
    process: Option<Incarnation>,
    /// The record that was read last. It may be that of another process, see [`has_current_record`](Self::has_current_record).
    pub(crate) record: UpstreamRecord,
    /// Whether the upstream is still registered.
    pub(crate) registered: bool,
    /// Whether its process has restarted since the last takeover.
    pub(crate) restarted: bool,
    pub(crate) runs: FastMap<RunId, Run>,
    /// Number of consecutive holds without an answer. While it is not zero, leases are not renewed, so that the runs
    /// expire at a known time.
    pub(crate) lost_holds: u32,
    pub(crate) used: Resources,
}

impl Upstream {
    pub(crate) fn new(now: Instant, record: UpstreamRecord) -> Self {
        Self {
            runs_expire_at: now,
            clock: None,
            coldness: Coldness::new(now, &record),
            failed_takeovers: 0,
            fence: Fence::default(),
            fence_limit: Fence::default(),
            takeover_fence: Fence::default(),
            former: VecDeque::new(),
            has_answered: false,
            foreign_runs: FastSet::default(),
            unknown_runs: FastSet::default(),
            health: Health::default(),
            holding: false,
            last_end: 0,
            acknowledged_end: 0,
            acknowledge_after: now,
            hold_after: now,
            probe_after: None,
            ownership: Ownership::None,
            pace: Pace::default(),
            probing: false,
            process: record.incarnation,
            record,
            registered: true,
            restarted: false,
            runs: FastMap::default(),
            lost_holds: 0,
            used: Resources::default(),
        }
    }

    /// Stores a new registration record; true if it shows that the upstream has restarted. A record of a former process,
    /// which the store may still show, changes nothing once the present one has answered.
    pub(crate) fn register(&mut self, now: Instant, record: UpstreamRecord) -> bool {
        self.registered = true;
        let process = self.process(record.incarnation);
        if process == Process::Former && self.has_answered {
            return false;
        }
        self.set_process(record.incarnation);
        self.coldness.observe(now, &self.record, &record);
        self.record = record;
        process != Process::Present
    }

    /// Which process of this upstream has the given start time.
    pub(crate) fn process(&self, incarnation: Option<Incarnation>) -> Process {
        match (self.process, incarnation) {
            (Some(present), Some(other)) if present != other => {
                if self.former.contains(&other) {
                    Process::Former
                } else {
                    Process::New
                }
            }
            _ => Process::Present,
        }
    }

    /// Makes the process with the given start time the present one, unless it is already or none is given.
    pub(crate) fn set_process(&mut self, incarnation: Option<Incarnation>) {
        let Some(incarnation) = incarnation else { return };
        let Some(previous) = self.process.replace(incarnation) else { return };
        if previous == incarnation {
            return;
        }
        self.has_answered = false;
        self.former.retain(|former| *former != incarnation);
        self.former.push_back(previous);
        if self.former.len() > MAX_FORMER_PROCESSES {
            self.former.pop_front();
        }
    }

    /// Whether the record is that of the present process. A new process may have another capacity, and its first answer may
    /// arrive long before its record.
    pub(crate) fn has_current_record(&self) -> bool {
        match (self.process, self.record.incarnation) {
            (Some(process), Some(recorded)) => process == recorded,
            (None, _) | (_, None) => true,
        }
    }

    /// Raises the token above `other`; false if it would exceed its limit.
    pub(crate) fn raise_fence(&mut self, other: Fence) -> bool {
        let raised = self.fence.raised_above(other, 1);
        let within_limit = raised <= self.fence_limit;
        if within_limit {
            self.fence = raised;
        }
        within_limit
    }

    /// Records that the present process has answered a hold with the given token.
    pub(crate) fn record_answer(&mut self, fence: Fence) {
        self.has_answered |= fence >= self.fence;
    }

    /// Whether this entry owns the upstream, or still has runs or calls in flight there.
    pub(crate) fn is_active(&self) -> bool {
        let owned = self.ownership != Ownership::None && (self.registered || !self.runs.is_empty());
        owned || !self.runs.is_empty() || self.holding || self.probing
    }

    pub(crate) fn is_owned(&self) -> bool {
        matches!(self.ownership, Ownership::Owned | Ownership::Releasing)
    }

    /// Whether new tasks may start here.
    pub(crate) fn accepts(&self, now: Instant) -> bool {
        self.ownership == Ownership::Owned
            && self.registered
            && !self.record.draining
            && !self.has_unstoppable_run(now)
            && self.lease_until_ms(now).is_some()
            && self.health.may_start(now, self.runs.len())
    }

    /// Whether a run that must not go on has not ended in time. Meanwhile no order renews the lease, so that it expires
    /// before the run's task is started again.
    pub(crate) fn has_unstoppable_run(&self, now: Instant) -> bool {
        let mut limits = self.runs.values().filter_map(|run| run.end_by);
        !self.unknown_runs.is_empty() || limits.any(|end_by| now >= end_by)
    }

    pub(crate) fn free(&self) -> Resources {
        self.record.capacity - self.used
    }

    /// Stores a reading of the upstream's clock that was received at `now`.
    pub(crate) fn record_clock(&mut self, now: Instant, clock_ms: u64) {
        self.clock = Some(ClockReading { at: now, clock_ms });
    }

    /// End of a lease that begins now, on the upstream's clock; none while the last reading of that clock is too old.
    pub(crate) fn lease_until_ms(&self, now: Instant) -> Option<u64> {
        let clock = self.clock?;
        let elapsed = now.duration_since(clock.at);
        if elapsed > MAX_READING_AGE {
            return None;
        }
        let correction = elapsed / CLOCK_DRIFT_DIVISOR;
        Some(clock.clock_ms.saturating_add(whole_ms(elapsed + LEASE - correction)))
    }

    /// Records that an order which renews the lease reached the upstream no later than `now`.
    pub(crate) fn extend_lease(&mut self, now: Instant) {
        self.runs_expire_at = self.runs_expire_at.max(now + LEASE_LIMIT);
    }

    /// Kinds of the tasks that run here.
    pub(crate) fn kinds(&self) -> KindSet {
        let mut kinds = KindSet::default();
        for run in self.runs.values() {
            kinds.insert(run.neighbours.kind);
        }
        kinds
    }

    /// Records for the runs in progress that a run of a kind starts beside them; returns what is known of the new run.
    pub(crate) fn meet_neighbours(&mut self, now: Instant, kind: Option<Kind>) -> Neighbours {
        if kind.is_none() {
            return Neighbours::default();
        }
        for run in self.runs.values_mut() {
            run.neighbours.joined(kind, &run.assignment, now.duration_since(run.ordered_at));
        }
        Neighbours::new(kind, self.kinds())
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

    /// Resets what belongs to the previous process of the upstream: clock, end numbers and unknown runs.
    pub(crate) fn reset_incarnation(&mut self) {
        self.last_end = 0;
        self.acknowledged_end = 0;
        self.unknown_runs.clear();
        self.clock = None;
    }

    /// Requests a probe when the last reading of the clock becomes too old for new leases.
    pub(crate) fn refresh_clock(&mut self, now: Instant) {
        let is_old = self.clock.is_some_and(|clock| now.duration_since(clock.at) >= REFRESH_READING_AFTER);
        if is_old && self.is_owned() && !self.probing {
            self.probe_after = Some(self.probe_after.map_or(now, |after| after.min(now)));
        }
    }

    /// Requests a probe when a run becomes overdue: the answer to a hold that showed its end may have been lost.
    pub(crate) fn probe_overdue(&mut self, now: Instant) {
        for run in self.runs.values_mut().filter(|run| !run.overdue && run.confirmed_at.is_some()) {
            let expected = bounded_ms(run.assignment.expected_ms);
            if now.duration_since(run.ordered_at) > expected.mul_f64(OVERDUE_FACTOR) + OVERDUE_SLACK {
                run.overdue = true;
                self.probe_after = Some(self.probe_after.map_or(now, |after| after.min(now)));
            }
        }
    }

    /// Whether a hold is needed: to learn of ended runs, or to acknowledge ends.
    pub(crate) fn needs_hold(&self, now: Instant) -> bool {
        match self.ownership {
            Ownership::None => false,
            Ownership::Taking => true,
            Ownership::Owned | Ownership::Releasing => {
                let unacknowledged = self.last_end > self.acknowledged_end && now >= self.acknowledge_after;
                !self.runs.is_empty() || !self.unknown_runs.is_empty() || unacknowledged
            }
        }
    }

    /// Time that the next hold may wait for the end of a run: zero if there are no runs or the listing is needed at
    /// once. After a lost hold only an answer allows the next renewal.
    pub(crate) fn hold_wait(&self, longest: Duration, stopping: Duration) -> Duration {
        let has_no_runs = self.runs.is_empty() && self.unknown_runs.is_empty();
        if self.ownership == Ownership::Taking || has_no_runs || self.lost_holds > 0 {
            Duration::ZERO
        } else if !self.unknown_runs.is_empty() || self.runs.values().any(Run::is_stopping) {
            stopping
        } else {
            longest
        }
    }
}
