//! The platform's list and the live entries: which upstreams exist and who leads them.

use std::time::Duration;

use hinge_wire::{InstanceId, InstanceKind, ListEntry, ListState};
use tokio::time::Instant;

use crate::health::{HealthEvent, HealthState};
use crate::rendezvous::Candidate;
use crate::router::Router;
use crate::samples::Samples;

/// Time for which a rejection as leaving outweighs a list that shows the upstream unchanged and live.
///
/// Far above any lag of the list. It only matters when an upstream restarted and no list showed the change.
const REFUSAL_HOLD: Duration = Duration::from_secs(300);

impl Router {
    /// Upstreams of the own data centre from the platform's list.
    ///
    /// An upstream that rejected a task as leaving stays leaving while the list shows it unchanged and live. It
    /// returns when its entry changes, when the list showed it as leaving or not at all in between, or, on
    /// probation, when a list still shows it live five minutes after the last such rejection.
    pub fn set_upstreams(&mut self, now: Instant, upstreams: &[ListEntry]) {
        self.advance(now);
        self.list_round += 1;
        for entry in upstreams.iter().filter(|entry| entry.kind == InstanceKind::Upstream) {
            if self.data_centre.as_ref().is_none_or(|own| **own == *entry.data_centre) {
                self.apply_entry(now, entry);
            }
        }
        for position in self.table.positions() {
            if self.table.upstreams[position].list_round != self.list_round {
                self.apply(position, HealthEvent::Vanish);
                self.table.remove_if_unused(position);
            }
        }
        self.table.sum_listed();
        self.elect();
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
        self.table.upstreams[position].list_round = self.list_round;
        self.apply_listed_state(now, position, entry.state, changed);
    }

    /// Takes over a changed list entry; returns whether it differs in more than its state.
    fn update_entry(&mut self, position: usize, entry: &ListEntry) -> bool {
        let known = &self.table.upstreams[position].entry;
        if known == entry {
            return false;
        }
        let changed = ListEntry { state: entry.state, ..known.clone() } != *entry;
        self.table.update(position, entry);
        if changed {
            // Results of the process listed before say nothing about the new one.
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
                upstream.refused_at = None;
                HealthEvent::Leave
            }
            (ListState::Live, HealthState::Gone) => HealthEvent::Return,
            (ListState::Live, HealthState::Leaving) => match upstream.refused_at {
                Some(at) if !changed && now < at + REFUSAL_HOLD => return,
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
            upstream.refused_at = None;
        }
    }

    /// Live entries of the data centre that are not draining, the own one included when it leads.
    ///
    /// Upstreams are divided evenly; few of them change their leader when an entry comes or goes.
    pub fn set_entries(&mut self, entries: &[InstanceId]) {
        let known = self.entries.iter().map(|entry| &entry.id).eq(entries);
        if !known {
            self.entries = entries.iter().map(Candidate::new).collect();
            self.elect();
        }
    }

    fn elect(&mut self) {
        for position in self.table.elect(&self.entries, &self.own) {
            self.refresh(position);
        }
    }
}
