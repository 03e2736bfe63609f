//! Table of upstreams, with indexes and sums per service.

use hinge_wire::{FastMap, InstanceId, ListEntry, UpstreamId};
use tokio::time::Instant;

use crate::health::{Health, HealthState};
use crate::index::LoadIndex;
use crate::intern::Interner;
use crate::rendezvous::{Candidate, SizedUpstream, assign, hash_id};
use crate::samples::{PeerStats, Samples};
use crate::upstream::{IndexEntry, SlotCounts, Upstream};

/// Upstreams that share a limit on ejections: either those that this entry leads or the others.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Group {
    pub(crate) members: u32,
    pub(crate) ejected: u32,
}

/// Upstreams of one service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) borrowed: LoadIndex,
    /// Time of the last [`Notice::Capped`](crate::Notice::Capped).
    pub(crate) capped_at: Option<Instant>,
    pub(crate) groups: [Group; 2],
    pub(crate) largest_memory_mb: u32,
    pub(crate) led: LoadIndex,
    /// Number of upstreams on the platform's list.
    pub(crate) listed: u32,
    pub(crate) counts: SlotCounts,
    pub(crate) peers: PeerStats,
    pub(crate) probation: LoadIndex,
}

impl Pool {
    /// Adds an upstream to the indexes and sums, or removes it when `add` is false.
    fn update_index(&mut self, upstream: usize, rack: usize, indexed: &IndexEntry, add: bool) {
        let apply = |sum: &mut u32, part: u32| *sum = if add { *sum + part } else { *sum - part };
        let SlotCounts { borrowed_free, capacity, led_free, led_slots, probation_free } = indexed.counts;
        apply(&mut self.counts.borrowed_free, borrowed_free);
        apply(&mut self.counts.capacity, capacity);
        apply(&mut self.counts.led_free, led_free);
        apply(&mut self.counts.led_slots, led_slots);
        apply(&mut self.counts.probation_free, probation_free);
        let group = &mut self.groups[indexed.group];
        apply(&mut group.members, 1);
        apply(&mut group.ejected, u32::from(indexed.counts_as_ejected));
        let indexes = [
            (&mut self.borrowed, borrowed_free),
            (&mut self.led, led_free),
            (&mut self.probation, probation_free),
        ];
        for (index, _) in indexes.into_iter().filter(|(_, free)| *free > 0) {
            if add {
                index.insert(rack, indexed.load, upstream);
            } else {
                index.remove(rack, indexed.load, upstream);
            }
        }
    }
}

/// All known upstreams. The position of an upstream is stable until it has left the list and its tasks and
/// loans have ended.
#[derive(Debug, Default)]
pub(crate) struct Table {
    by_id: FastMap<UpstreamId, usize>,
    free: Vec<usize>,
    pub(crate) pools: Vec<Pool>,
    /// By rack, the number of the last [`Router::pick`](crate::Router::pick) that should avoid it.
    rack_avoided_by: Vec<u64>,
    racks: Interner,
    services: Interner,
    pub(crate) upstreams: Vec<Upstream>,
}

impl Table {
    pub(crate) fn get(&self, id: &str) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    /// Positions of the known upstreams, in a reproducible order that does not depend on the hasher's seed.
    pub(crate) fn positions(&self) -> Vec<usize> {
        (0..self.upstreams.len()).filter(|position| !self.upstreams[*position].removed).collect()
    }

    pub(crate) fn service(&self, service: &str) -> Option<usize> {
        self.services.get(service)
    }

    pub(crate) fn pool(&self, service: &str) -> Option<&Pool> {
        self.pools.get(self.service(service)?)
    }

    pub(crate) fn rack_id(&self, upstream: usize) -> hinge_wire::RackId {
        self.racks.id(self.upstreams[upstream].rack)
    }

    pub(crate) fn avoid_rack(&mut self, rack: &str, pick: u64) {
        if let Some(rack) = self.racks.get(rack) {
            self.rack_avoided_by[rack] = pick;
        }
    }

    pub(crate) fn is_rack_avoided(&self, rack: usize, pick: u64) -> bool {
        self.rack_avoided_by[rack] == pick
    }

    /// Adds an upstream that is not known yet. The caller must call [`Self::refresh`].
    pub(crate) fn add(&mut self, now: Instant, entry: &ListEntry, epoch: u64) -> usize {
        let id: UpstreamId = entry.id.as_str().into();
        let (rack, service) = self.acquire(entry);
        let upstream = Upstream {
            avoided_by: 0,
            busy: None,
            busy_streak: 0,
            busy_streak_ends_at: now,
            ejections: 0,
            entry: entry.clone(),
            epoch,
            hash: hash_id(&id),
            health: Health::new(),
            healthy_since: now,
            held: 0,
            id: id.clone(),
            leader: None,
            led: false,
            lent: 0,
            list_generation: 0,
            borrowed: Vec::new(),
            indexed: None,
            rack,
            leaving_refused_at: None,
            removed: false,
            running: 0,
            samples: Samples::default(),
            service,
        };
        let position = self.free.pop().unwrap_or(self.upstreams.len());
        if position == self.upstreams.len() {
            self.upstreams.push(upstream);
        } else {
            self.upstreams[position] = upstream;
        }
        self.by_id.insert(id, position);
        position
    }

    fn acquire(&mut self, entry: &ListEntry) -> (usize, usize) {
        let rack = self.racks.acquire(&entry.rack);
        let service = self.services.acquire(&entry.service);
        self.rack_avoided_by.resize(self.racks.len(), 0);
        if self.pools.len() <= service {
            self.pools.resize_with(service + 1, Pool::default);
        }
        (rack, service)
    }

    /// Replaces the list entry of an upstream. The caller must call [`Self::refresh`].
    pub(crate) fn update(&mut self, position: usize, entry: &ListEntry) {
        self.unindex(position);
        let (rack, service) = self.acquire(entry);
        let upstream = &mut self.upstreams[position];
        let old = (upstream.rack, upstream.service);
        (upstream.rack, upstream.service) = (rack, service);
        upstream.entry = entry.clone();
        self.racks.release(old.0);
        self.services.release(old.1);
    }

    /// Removes an upstream that is off the list and has no more tasks or loans.
    pub(crate) fn remove_if_unused(&mut self, position: usize) {
        let upstream = &self.upstreams[position];
        if upstream.removed || !upstream.is_unused() {
            return;
        }
        let (rack, service) = (upstream.rack, upstream.service);
        self.by_id.remove(&upstream.id);
        self.upstreams[position].removed = true;
        self.unindex(position);
        self.racks.release(rack);
        self.services.release(service);
        self.free.push(position);
    }

    /// Assigns the leaders of all listed upstreams. Returns the positions of those that `instance` has
    /// started or stopped leading.
    pub(crate) fn assign_leaders(&mut self, entries: &[Candidate], instance: &InstanceId) -> Vec<usize> {
        let mut moved = Vec::new();
        for service in 0..self.pools.len() {
            let mut listed: Vec<SizedUpstream> = self
                .by_id
                .values()
                .map(|position| (*position, &self.upstreams[*position]))
                .filter(|(_, up)| up.service == service && up.health.state() != HealthState::Gone)
                .map(|(position, up)| SizedUpstream { hash: up.hash, position, slots: up.entry.slots })
                .collect();
            // Ties and leftover upstreams must be resolved in the same order in every process.
            listed.sort_unstable_by(|a, b| self.upstreams[a.position].id.cmp(&self.upstreams[b.position].id));
            for (position, leader) in assign(entries, &listed) {
                let upstream = &mut self.upstreams[position];
                upstream.leader = leader.map(|index| entries[index].id.clone());
                let led = upstream.leader.as_ref() == Some(instance);
                if std::mem::replace(&mut upstream.led, led) != led {
                    moved.push(position);
                }
            }
        }
        moved
    }

    fn unindex(&mut self, position: usize) {
        let upstream = &mut self.upstreams[position];
        if let Some(indexed) = upstream.indexed.take() {
            self.pools[upstream.service].update_index(position, upstream.rack, &indexed, false);
        }
    }

    /// Updates the indexes and sums after a change to an upstream. `tie` breaks ties between equal loads.
    pub(crate) fn refresh(&mut self, position: usize, tie: u32) {
        self.unindex(position);
        let upstream = &mut self.upstreams[position];
        let state = upstream.health.state();
        if matches!(state, HealthState::Gone | HealthState::Leaving) {
            return;
        }
        let indexed = IndexEntry {
            group: usize::from(upstream.led),
            load: upstream.load(tie),
            counts: upstream.slot_counts(),
            counts_as_ejected: state.counts_as_ejected(),
        };
        upstream.indexed = Some(indexed);
        self.pools[upstream.service].update_index(position, upstream.rack, &indexed, true);
    }

    /// Recomputes the values per service that depend only on the platform's list.
    pub(crate) fn sum_listed(&mut self) {
        for pool in &mut self.pools {
            (pool.listed, pool.largest_memory_mb) = (0, 0);
        }
        for position in self.by_id.values() {
            let upstream = &self.upstreams[*position];
            if upstream.health.state() != HealthState::Gone {
                let pool = &mut self.pools[upstream.service];
                pool.listed += 1;
                pool.largest_memory_mb = pool.largest_memory_mb.max(upstream.entry.memory_mb);
            }
        }
    }

    /// Recomputes the medians over the healthy upstreams of each service.
    pub(crate) fn update_peer_stats(&mut self) {
        for (service, pool) in self.pools.iter_mut().enumerate() {
            let healthy = || {
                self.upstreams
                    .iter()
                    .filter(move |up| up.service == service && up.health.state() == HealthState::Healthy)
            };
            let mut error_rates: Vec<f32> = healthy().filter_map(|up| up.samples.error_rate()).collect();
            let mut latencies: Vec<f32> = healthy().filter_map(|up| up.samples.latency()).collect();
            pool.peers = PeerStats::new(&mut error_rates, &mut latencies);
        }
    }
}
