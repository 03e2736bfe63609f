//! Record of one upstream.

use hinge_wire::{InstanceId, ListEntry, UpstreamId};
use tokio::time::Instant;

use crate::health::{Health, HealthState};
use crate::index::Load;
use crate::samples::Samples;

/// Resolution of the relative load.
const FULL_LOAD: u32 = 1 << 16;

/// Most slots of one upstream that are used.
const MAX_SLOTS: u32 = 4_096;

/// Set after a busy rejection: slots are in use that this entry does not know of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Busy {
    /// Own tasks that ended since; each shows that one slot is free.
    pub(crate) credit: u32,
    pub(crate) until: Instant,
}

/// Slots that one loan holds at one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Part {
    /// Nothing more may start; slots are returned as their tasks end.
    pub(crate) closed: bool,
    /// Slots to be returned after the loan closed.
    pub(crate) done: u32,
    pub(crate) free: u32,
    pub(crate) loan: u64,
    /// Least number of free slots since `window_start`.
    pub(crate) min_free: u32,
    pub(crate) total: u32,
    pub(crate) window_start: Instant,
}

/// What an upstream offers; derived from its record and summed per service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Offer {
    pub(crate) borrowed_free: u32,
    pub(crate) capacity: u32,
    pub(crate) led_free: u32,
    /// Slots of led healthy upstreams, lent ones included.
    pub(crate) led_slots: u32,
    pub(crate) probation_free: u32,
}

/// Where an upstream is entered in the indexes of its service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placed {
    pub(crate) group: usize,
    pub(crate) load: Load,
    pub(crate) offer: Offer,
    pub(crate) sidelined: bool,
}

#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) busy: Option<Busy>,
    /// Busy rejections in short succession.
    pub(crate) busy_streak: u32,
    /// Time from which a busy rejection starts a new succession.
    pub(crate) busy_streak_ends: Instant,
    pub(crate) ejections: u32,
    pub(crate) entry: ListEntry,
    /// Changes with each change of state; results of tasks from an earlier state are not counted.
    pub(crate) epoch: u64,
    pub(crate) hash: u64,
    pub(crate) health: Health,
    pub(crate) healthy_since: Instant,
    /// Slots held after failures.
    pub(crate) held: u32,
    pub(crate) id: UpstreamId,
    pub(crate) leader: Option<InstanceId>,
    pub(crate) led: bool,
    pub(crate) lent: u32,
    pub(crate) list_round: u64,
    pub(crate) parts: Vec<Part>,
    /// Number of the last `pick` that should avoid the upstream.
    pub(crate) avoided_by: u64,
    pub(crate) placed: Option<Placed>,
    pub(crate) rack: usize,
    /// Time of the last rejection as leaving, while only that rejection says so.
    pub(crate) refused_at: Option<Instant>,
    /// Set when the record is no longer in use.
    pub(crate) removed: bool,
    /// Own tasks running, on led and borrowed slots.
    pub(crate) running: u32,
    pub(crate) samples: Samples,
    pub(crate) service: usize,
}

impl Upstream {
    /// Slots by the list, bounded so that sums over all upstreams cannot overflow.
    pub(crate) fn slots(&self) -> u32 {
        self.entry.slots.min(MAX_SLOTS)
    }

    /// Slots in use or lent, as far as this entry knows.
    pub(crate) const fn used(&self) -> u32 {
        self.running + self.held + self.lent
    }

    pub(crate) fn load(&self, tie: u32) -> Load {
        let load = u64::from(self.used()) * u64::from(FULL_LOAD) / u64::from(self.slots().max(1));
        (u32::try_from(load).unwrap_or(u32::MAX), tie)
    }

    pub(crate) fn offer(&self) -> Offer {
        let state = self.health.state();
        if !matches!(state, HealthState::Healthy | HealthState::Probation) {
            return Offer::default();
        }
        let led_slots = if self.led { self.slots() } else { 0 };
        let loan_free: u32 = self.parts.iter().map(|part| part.free).sum();
        // Slots of a closed loan count while their last task runs, since the task counts as running.
        let loan_total: u32 = self.parts.iter().map(|part| part.total - part.done).sum();
        // A loan can outlast a move of leadership to this entry; its slots then count once, as borrowed.
        let led_free = led_slots.saturating_sub(self.used() + loan_free);
        let capacity = if self.led { led_slots.saturating_sub(self.lent) } else { loan_total };
        let credit = self.busy.map_or(u32::MAX, |busy| busy.credit);
        let led_free = led_free.min(credit);
        // Own tasks that outlive an earlier loan are still in the way of the slots lent again.
        let room = self.slots().saturating_sub(self.used());
        let borrowed_free = loan_free.min(room.min(credit).saturating_sub(led_free));
        if state == HealthState::Healthy {
            return Offer { borrowed_free, capacity, led_free, led_slots, probation_free: 0 };
        }
        let idle = self.running + self.held == 0;
        let probation_free = if idle { (led_free + borrowed_free).min(1) } else { 0 };
        Offer { capacity: capacity.min(1), probation_free, ..Offer::default() }
    }

    /// Whether the upstream has left the list and nothing refers to it any more.
    pub(crate) fn is_unused(&self) -> bool {
        self.health.state() == HealthState::Gone && self.used() == 0 && self.parts.is_empty()
    }

    pub(crate) fn part(&mut self, loan: u64) -> Option<&mut Part> {
        self.parts.iter_mut().find(|part| part.loan == loan)
    }
}
