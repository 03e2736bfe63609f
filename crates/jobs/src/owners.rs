//! What the owners of upstreams reported, and where the next task goes.

use std::time::Duration;

use hinge_runs::{AssignmentId, HomeId, Load, PRIORITIES, priority_index};
use hinge_wire::{FastMap, ServiceId};
use tokio::time::Instant;

/// A load report of an owner.
#[derive(Clone, Debug)]
pub struct OwnerLoad {
    /// Highest assignment of the receiving home that the report takes into account.
    pub last_assignment: AssignmentId,
    /// The load.
    pub load: Load,
    /// The owner.
    pub owner: HomeId,
    /// The service.
    pub service: ServiceId,
}

/// What is known about an owner's upstreams of one service.
#[derive(Clone, Debug)]
struct Known {
    load: Load,
    /// Assignments sent since the report: number and priority.
    sent: Vec<(AssignmentId, usize)>,
    reported_at: Instant,
}

impl Known {
    /// Estimated wait of one more task.
    fn wait(&self, priority: usize) -> Duration {
        let ahead: u32 = self.load.queued[..=priority].iter().sum();
        let sent = self.sent.iter().filter(|(_, other)| *other <= priority).count();
        let ahead = ahead + u32::try_from(sent).unwrap_or(u32::MAX);
        if ahead < self.load.free_slots {
            return Duration::ZERO;
        }
        let waits = u64::from(ahead - self.load.free_slots + 1);
        Duration::from_millis(waits * self.load.mean_run_ms / u64::from(self.load.slots.max(1)))
    }

    /// Free slots that no task is on its way to.
    fn free(&self) -> i64 {
        let queued: u32 = self.load.queued.iter().sum();
        let sent = i64::try_from(self.sent.len()).unwrap_or(i64::MAX);
        i64::from(self.load.free_slots) - i64::from(queued) - sent
    }
}

/// Where a task should go.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub(crate) load_age: Duration,
    pub(crate) owner: HomeId,
    pub(crate) wait: Duration,
}

/// Load reports by owner and service.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    distance: FastMap<HomeId, Duration>,
    known: FastMap<(HomeId, ServiceId), Known>,
}

impl Owners {
    pub(crate) fn set_distance(&mut self, owner: HomeId, distance: Duration) {
        self.distance.insert(owner, distance);
    }

    pub(crate) fn set_load(&mut self, now: Instant, report: OwnerLoad) {
        let key = (report.owner, report.service);
        let mut sent = self.known.remove(&key).map(|known| known.sent).unwrap_or_default();
        sent.retain(|(id, _)| *id > report.last_assignment);
        self.known.insert(key, Known { load: report.load, sent, reported_at: now });
    }

    pub(crate) fn remove(&mut self, owner: HomeId) {
        self.known.retain(|(known, _), _| *known != owner);
        self.distance.remove(&owner);
    }

    /// The owner with the shortest wait; among equals the one with the most free slots.
    pub(crate) fn choose(&self, now: Instant, service: &ServiceId, priority: u32) -> Option<Choice> {
        let priority = priority_index(priority).min(PRIORITIES - 1);
        let candidates =
            self.known.iter().filter(|((_, known), load)| known == service && load.load.slots > 0);
        let cost = |owner: &HomeId, known: &Known| {
            let distance = self.distance.get(owner).copied().unwrap_or_default();
            (known.wait(priority) + distance, -known.free(), *owner)
        };
        let ((owner, _), known) = candidates.min_by_key(|((owner, _), known)| cost(owner, known))?;
        Some(Choice {
            load_age: now.duration_since(known.reported_at),
            owner: *owner,
            wait: known.wait(priority),
        })
    }

    /// Estimated wait at one owner.
    pub(crate) fn wait_at(&self, owner: HomeId, service: &ServiceId, priority: u32) -> Duration {
        let known = self.known.get(&(owner, service.clone()));
        known.map_or(Duration::ZERO, |known| known.wait(priority_index(priority)))
    }

    /// Free slots of all owners that no task is on its way to.
    pub(crate) fn free(&self, service: &ServiceId) -> usize {
        let known = self.known.iter().filter(|((_, known), _)| known == service);
        known.map(|(_, known)| usize::try_from(known.free()).unwrap_or_default()).sum()
    }

    /// Notes a task on its way to an owner.
    pub(crate) fn sent(&mut self, owner: HomeId, service: &ServiceId, priority: u32, id: AssignmentId) {
        if let Some(known) = self.known.get_mut(&(owner, service.clone())) {
            known.sent.push((id, priority_index(priority)));
        }
    }

    /// Takes back tasks that were noted from `first` on and are not sent after all.
    pub(crate) fn withdraw(&mut self, first: AssignmentId) {
        for known in self.known.values_mut() {
            known.sent.retain(|(id, _)| *id < first);
        }
    }
}
