//! Load reports of an owner.

use hinge_wire::{FastSet, ServiceId};
use tokio::time::Instant;

use crate::runner::{AVERAGE_WEIGHT, to_f64, to_u64};
use crate::upstream::Ownership;
use crate::{Load, Runner};

/// Upstreams with less free CPU are left out of load reports.
const MIN_REPORTED_CPU_MILLIS: u64 = 1_000;

impl Runner {
    /// Current load of this owner's upstreams of a service.
    #[must_use]
    pub fn load(&self, now: Instant, service: &ServiceId) -> Load {
        let accepting = self.accepting(now).map(|(_, upstream)| upstream);
        let mut load = Load {
            mean_run_ms: to_u64(self.mean_run_ms),
            queued: self.queue.counts(service),
            ..Load::default()
        };
        for upstream in accepting.filter(|upstream| upstream.record.service == *service) {
            let slots = self.average_tasks_in(upstream.record.capacity.cpu_millis);
            load.slots = load.slots.saturating_add(slots);
            let free_cpu_millis = self.shown_free(now, upstream).cpu_millis;
            if free_cpu_millis >= MIN_REPORTED_CPU_MILLIS {
                load.rooms_cpu_millis.push(free_cpu_millis);
            }
        }
        load.rooms_cpu_millis.sort_unstable();
        load
    }

    /// Services of the upstreams that this entry owns or is taking over.
    #[must_use]
    pub fn services(&self) -> FastSet<ServiceId> {
        let owned = self.upstreams.values().filter(|upstream| upstream.ownership != Ownership::None);
        owned.map(|upstream| upstream.record.service.clone()).collect()
    }

    fn average_tasks_in(&self, cpu_millis: u64) -> u32 {
        u32::try_from(cpu_millis / to_u64(self.mean_cpu_millis).max(1)).unwrap_or(u32::MAX)
    }

    /// Updates the average task size, in which load reports count slots.
    pub(crate) fn learn_task_size(&mut self, cpu_millis: u64) {
        // A task that is larger than every upstream must not distort the average. The record of an upstream that has not
        // answered may be that of another program.
        let answered = self.upstreams.values().filter(|upstream| upstream.is_owned());
        let largest = answered.map(|upstream| upstream.record.capacity.cpu_millis).max();
        if let Some(largest) = largest {
            let size = to_f64(cpu_millis.min(largest));
            self.mean_cpu_millis += AVERAGE_WEIGHT * (size - self.mean_cpu_millis);
        }
    }
}
