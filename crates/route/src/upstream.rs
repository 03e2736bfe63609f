//! State of one upstream.

use hinge_wire::{InstanceId, ListEntry, UpstreamId};
use tokio::time::Instant;

use crate::health::{Health, HealthState};
use crate::index::Load;
use crate::samples::Samples;

/// Relative load of an upstream with all slots in use.
const FULL_LOAD: u32 = 1 << 16;

/// Maximum number of slots used per upstream.
const MAX_SLOTS: u32 = 4_096;

/// Backoff after a busy refusal, which shows that slots are in use by others without this entry's
/// knowledge.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Busy {
    /// Slots that are known to be free: tasks of this entry that ended since the refusal, less those
    /// started.
    pub(crate) credit: u32,
    pub(crate) until: Instant,
}

/// Slots of one borrowed loan at one upstream.
#[derive(Clone, Debug)]
pub(crate) struct LoanPart {
    /// No more tasks may start; slots are returned as their tasks end.
    pub(crate) closed: bool,
    /// Free slots of a closed loan, not yet returned to the lender.
    pub(crate) to_return: u32,
    pub(crate) free: u32,
    pub(crate) loan: u64,
    /// Minimum of `free` since `window_start`, that is, the slots that were idle all the time.
    pub(crate) min_free: u32,
    pub(crate) total: u32,
    pub(crate) window_start: Instant,
}

/// Slots that an upstream provides to this entry; derived from its state and summed per service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct SlotCounts {
    pub(crate) borrowed_free: u32,
    pub(crate) capacity: u32,
    pub(crate) led_free: u32,
    /// Slots of led healthy upstreams, free, in use or lent.
    pub(crate) led_slots: u32,
    pub(crate) probation_free: u32,
}

/// Keys and counts under which an upstream is in the indexes and sums of its service, kept for their removal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IndexEntry {
    pub(crate) group: usize,
    pub(crate) load: Load,
    pub(crate) counts: SlotCounts,
    pub(crate) counts_as_ejected: bool,
}

#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) busy: Option<Busy>,
    /// Number of busy refusals in the current streak after its first, up to a limit.
    pub(crate) busy_streak: u32,
    /// Time from which a busy refusal starts a new streak.
    pub(crate) busy_streak_ends_at: Instant,
    /// Number of ejections since the upstream was last healthy for longer than `eject_limit_ms`. Each
    /// doubles the ejection time.
    pub(crate) ejections: u32,
    pub(crate) entry: ListEntry,
    /// Changes with each change of health state and each restart; results of tasks from an earlier epoch are
    /// ignored.
    pub(crate) epoch: u64,
    pub(crate) hash: u64,
    pub(crate) health: Health,
    pub(crate) healthy_since: Instant,
    /// Slots that stay in use for a time after their tasks failed.
    pub(crate) held: u32,
    pub(crate) id: UpstreamId,
    pub(crate) leader: Option<InstanceId>,
    pub(crate) led: bool,
    /// Slots lent to peers.
    pub(crate) lent: u32,
    /// [`Router::list_generation`](crate::Router) of the last list that contained the upstream.
    pub(crate) list_generation: u64,
    pub(crate) borrowed: Vec<LoanPart>,
    /// Number of the last [`Router::pick`](crate::Router::pick) that should avoid the upstream.
    pub(crate) avoided_by: u64,
    pub(crate) indexed: Option<IndexEntry>,
    pub(crate) rack: usize,
    /// Time of the last refusal as leaving; `None` when the list shows the upstream as leaving itself.
    pub(crate) leaving_refused_at: Option<Instant>,
    /// Whether this position of the table is unused.
    pub(crate) removed: bool,
    /// Number of this entry's running tasks, on led and borrowed slots.
    pub(crate) running: u32,
    pub(crate) samples: Samples,
    pub(crate) service: usize,
}

impl Upstream {
    /// Number of slots on the list, bounded so that sums over all upstreams cannot overflow.
    pub(crate) fn slots(&self) -> u32 {
        self.entry.slots.min(MAX_SLOTS)
    }

    /// Number of slots in use or lent, as far as this entry knows.
    pub(crate) const fn used(&self) -> u32 {
        self.running + self.held + self.lent
    }

    pub(crate) fn load(&self, tie: u32) -> Load {
        let load = u64::from(self.used()) * u64::from(FULL_LOAD) / u64::from(self.slots().max(1));
        (u32::try_from(load).unwrap_or(u32::MAX), tie)
    }

    pub(crate) fn slot_counts(&self) -> SlotCounts {
        let state = self.health.state();
        if !matches!(state, HealthState::Healthy | HealthState::Probation) {
            return SlotCounts::default();
        }
        let led_slots = if self.led { self.slots() } else { 0 };
        let loan_free: u32 = self.borrowed.iter().map(|part| part.free).sum();
        // Slots of a closed loan count until their task ends, because the task counts as running.
        let loan_total: u32 = self.borrowed.iter().map(|part| part.total - part.to_return).sum();
        // If this entry becomes the leader during a loan, the borrowed slots must not count twice.
        let led_free = led_slots.saturating_sub(self.used() + loan_free);
        let capacity = if self.led { led_slots.saturating_sub(self.lent) } else { loan_total };
        let credit = self.busy.map_or(u32::MAX, |busy| busy.credit);
        let led_free = led_free.min(credit);
        // Tasks of this entry that outlive an earlier loan may still occupy slots that are lent again.
        let unused = self.slots().saturating_sub(self.used());
        let borrowed_free = loan_free.min(unused.min(credit).saturating_sub(led_free));
        if state == HealthState::Healthy {
            return SlotCounts { borrowed_free, capacity, led_free, led_slots, probation_free: 0 };
        }
        let idle = self.running + self.held == 0;
        let probation_free = if idle { (led_free + borrowed_free).min(1) } else { 0 };
        SlotCounts { capacity: capacity.min(1), probation_free, ..SlotCounts::default() }
    }

    /// Whether the upstream has left the list and has no tasks or loans.
    pub(crate) fn is_unused(&self) -> bool {
        self.health.state() == HealthState::Gone && self.used() == 0 && self.borrowed.is_empty()
    }

    pub(crate) fn loan_part(&mut self, loan: u64) -> Option<&mut LoanPart> {
        self.borrowed.iter_mut().find(|part| part.loan == loan)
    }
}
