//! Updates from the platform's list: the known upstreams and the entries that lead them.

use std::time::Duration;

use hinge_wire::{InstanceId, InstanceKind, ListEntry, ListState};
use tokio::time::Instant;

use crate::health::{HealthEvent, HealthState};
use crate::rendezvous::Candidate;
use crate::router::Router;
use crate::samples::Samples;

/// Time for which a refusal as leaving takes precedence over a list that shows the upstream as live and
/// unchanged.
///
/// Far above any lag of the list. It matters only when an upstream restarts and no list shows the change.
const LEAVING_REFUSAL_HOLD: Duration = Duration::from_secs(300);

impl Router {
    /// Replaces the known upstreams by those on the platform's list.
    ///
    /// An upstream that refused a task as leaving remains so while the list shows it as live and unchanged,
    /// since the list may lag behind. It becomes healthy again when its entry on the list changes, or after
    /// the list showed it as leaving or left it out. It goes to probation when a list still shows it as live
    /// five minutes after its last refusal.
    pub fn set_upstreams(&mut self, now: Instant, upstreams: &[ListEntry]) {
        self.advance(now);
        self.list_generation += 1;
        for entry in upstreams.iter().filter(|entry| entry.kind == InstanceKind::Upstream) {
            if self.data_centre.as_ref().is_none_or(|local| **local == *entry.data_centre) {
                self.apply_entry(now, entry);
            }
        }
        for position in self.table.positions() {
            if self.table.upstreams[position].list_generation != self.list_generation {
                self.apply(position, HealthEvent::Vanish);
                self.table.remove_if_unused(position);
            }
        }
        self.table.sum_listed();
        self.assign_leaders();
    }

    fn apply_entry(&mut self, now: Instant, entry: &ListEntry) {
        let (position, changed) = match self.table.get(&entry.id) {
            Some(position) => (position, self.update_entry(position, entry)),
            None => {
                let epoch = self.new_id();
                let position = self.table.add(now, entry, epoch);
                self.refresh(position);
                (position, false)
            }
        };
        self.table.upstreams[position].list_generation = self.list_generation;
        self.apply_listed_state(now, position, entry.state, changed);
    }

    /// Applies a list entry to a known upstream and returns whether anything but its state has changed.
    fn update_entry(&mut self, position: usize, entry: &ListEntry) -> bool {
        let known = &self.table.upstreams[position].entry;
        if known == entry {
            return false;
        }
        let changed = ListEntry { state: entry.state, ..known.clone() } != *entry;
        self.table.update(position, entry);
        if changed {
            // Results of the previous process say nothing about the new one.
            let epoch = self.new_id();
            let upstream = &mut self.table.upstreams[position];
            (upstream.epoch, upstream.samples) = (epoch, Samples::default());
        }
        self.refresh(position);
        changed
    }

    fn apply_listed_state(&mut self, now: Instant, position: usize, listed: ListState, changed: bool) {
        let upstream = &mut self.table.upstreams[position];
        let event = match (listed, upstream.health.state()) {
            (ListState::Leaving, _) => {
                upstream.leaving_refused_at = None;
                HealthEvent::Leave
            }
            (ListState::Live, HealthState::Gone) => HealthEvent::Return,
            (ListState::Live, HealthState::Leaving) => match upstream.leaving_refused_at {
                Some(at) if !changed && now < at + LEAVING_REFUSAL_HOLD => return,
                Some(_) if !changed => HealthEvent::Recheck,
                _ => HealthEvent::Return,
            },
            (ListState::Live, HealthState::Ejected | HealthState::Probation) if changed => {
                HealthEvent::Return
            }
            (ListState::Live, _) => return,
        };
        self.apply(position, event);
        let upstream = &mut self.table.upstreams[position];
        if matches!(event, HealthEvent::Return) {
            (upstream.ejections, upstream.healthy_since) = (0, now);
        }
        if upstream.health.state() != HealthState::Leaving {
            upstream.leaving_refused_at = None;
        }
    }

    /// Sets the live entries of the data centre that are not draining, including this one if it is to lead
    /// upstreams.
    ///
    /// Upstreams are divided evenly among them. Few upstreams change their leader when an entry joins or
    /// leaves.
    pub fn set_entries(&mut self, entries: &[InstanceId]) {
        let known = self.entries.iter().map(|entry| &entry.id).eq(entries);
        if !known {
            self.entries = entries.iter().map(|id| Candidate::new(id, 1)).collect();
            self.assign_leaders();
        }
    }

    fn assign_leaders(&mut self) {
        for position in self.table.assign_leaders(&self.entries, &self.instance) {
            self.refresh(position);
        }
    }
}
