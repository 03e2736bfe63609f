//! Upstreams with the indexes and sums of their services.

use hinge_wire::{FastMap, InstanceId, ListEntry, UpstreamId};
use tokio::time::Instant;

use crate::health::{Health, HealthState};
use crate::index::LoadIndex;
use crate::intern::Interner;
use crate::rendezvous::{Candidate, Led, divide, hash_id};
use crate::samples::{PeerStats, Samples};
use crate::upstream::{Offer, Placed, Upstream};

/// Upstreams that share a limit on ejections: the led ones, and those only known through loans.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Group {
    pub(crate) members: u32,
    pub(crate) sidelined: u32,
}

/// Upstreams of one service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) borrowed: LoadIndex,
    pub(crate) capped_at: Option<Instant>,
    pub(crate) groups: [Group; 2],
    pub(crate) largest_memory_mb: u32,
    pub(crate) led: LoadIndex,
    /// Upstreams on the list.
    pub(crate) listed: u32,
    pub(crate) offer: Offer,
    pub(crate) peers: PeerStats,
    pub(crate) probation: LoadIndex,
}

impl Pool {
    /// Enters or removes an upstream's offer.
    fn place(&mut self, upstream: usize, rack: usize, placed: &Placed, enter: bool) {
        let apply = |sum: &mut u32, part: u32| *sum = if enter { *sum + part } else { *sum - part };
        let Offer { borrowed_free, capacity, led_free, led_slots, probation_free } = placed.offer;
        apply(&mut self.offer.borrowed_free, borrowed_free);
        apply(&mut self.offer.capacity, capacity);
        apply(&mut self.offer.led_free, led_free);
        apply(&mut self.offer.led_slots, led_slots);
        apply(&mut self.offer.probation_free, probation_free);
        let group = &mut self.groups[placed.group];
        apply(&mut group.members, 1);
        apply(&mut group.sidelined, u32::from(placed.sidelined));
        let indexes = [
            (&mut self.borrowed, borrowed_free),
            (&mut self.led, led_free),
            (&mut self.probation, probation_free),
        ];
        for (index, _) in indexes.into_iter().filter(|(_, free)| *free > 0) {
            if enter {
                index.insert(rack, placed.load, upstream);
            } else {
                index.remove(rack, placed.load, upstream);
            }
        }
    }
}

/// All known upstreams. A record stays at its position until its tasks and loans have ended.
#[derive(Debug, Default)]
pub(crate) struct Table {
    by_id: FastMap<UpstreamId, usize>,
    free: Vec<usize>,
    pub(crate) pools: Vec<Pool>,
    /// Number of the last `pick` that should avoid each rack.
    rack_avoided_by: Vec<u64>,
    racks: Interner,
    services: Interner,
    pub(crate) upstreams: Vec<Upstream>,
}

impl Table {
    pub(crate) fn get(&self, id: &str) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    /// Positions of the known upstreams, in an order that does not depend on the hasher's seed.
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

    /// Adds an upstream that is not known yet; the caller refreshes it.
    pub(crate) fn add(&mut self, now: Instant, entry: &ListEntry, epoch: u64) -> usize {
        let id: UpstreamId = entry.id.as_str().into();
        let (rack, service) = self.acquire(entry);
        let upstream = Upstream {
            avoided_by: 0,
            busy: None,
            busy_streak: 0,
            busy_streak_ends: now,
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
            list_round: 0,
            parts: Vec::new(),
            placed: None,
            rack,
            refused_at: None,
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

    /// Replaces the list entry of an upstream; the caller refreshes it.
    pub(crate) fn update(&mut self, position: usize, entry: &ListEntry) {
        self.unplace(position);
        let (rack, service) = self.acquire(entry);
        let upstream = &mut self.upstreams[position];
        let old = (upstream.rack, upstream.service);
        (upstream.rack, upstream.service) = (rack, service);
        upstream.entry = entry.clone();
        self.racks.release(old.0);
        self.services.release(old.1);
    }

    /// Forgets an upstream that left the list once nothing refers to it.
    pub(crate) fn remove_if_unused(&mut self, position: usize) {
        let upstream = &self.upstreams[position];
        if upstream.removed || !upstream.is_unused() {
            return;
        }
        let (rack, service) = (upstream.rack, upstream.service);
        self.by_id.remove(&upstream.id);
        self.upstreams[position].removed = true;
        self.unplace(position);
        self.racks.release(rack);
        self.services.release(service);
        self.free.push(position);
    }

    /// Sets the leaders of all listed upstreams; returns the positions whose leadership moved to or from this entry.
    pub(crate) fn elect(&mut self, entries: &[Candidate], own: &InstanceId) -> Vec<usize> {
        let mut moved = Vec::new();
        for service in 0..self.pools.len() {
            let mut listed: Vec<Led> = self
                .by_id
                .values()
                .map(|position| (*position, &self.upstreams[*position]))
                .filter(|(_, one)| one.service == service && one.health.state() != HealthState::Gone)
                .map(|(position, one)| Led { hash: one.hash, position, slots: one.entry.slots })
                .collect();
            // The order of ties and of the rest must not depend on this process.
            listed.sort_unstable_by(|a, b| self.upstreams[a.position].id.cmp(&self.upstreams[b.position].id));
            for (position, leader) in divide(entries, &listed) {
                let upstream = &mut self.upstreams[position];
                upstream.leader = leader.map(|index| entries[index].id.clone());
                let led = upstream.leader.as_ref() == Some(own);
                if std::mem::replace(&mut upstream.led, led) != led {
                    moved.push(position);
                }
            }
        }
        moved
    }

    fn unplace(&mut self, position: usize) {
        let upstream = &mut self.upstreams[position];
        if let Some(placed) = upstream.placed.take() {
            self.pools[upstream.service].place(position, upstream.rack, &placed, false);
        }
    }

    /// Brings the indexes and sums in line with an upstream's record.
    pub(crate) fn refresh(&mut self, position: usize, tie: u32) {
        self.unplace(position);
        let upstream = &mut self.upstreams[position];
        let state = upstream.health.state();
        if matches!(state, HealthState::Gone | HealthState::Leaving) {
            return;
        }
        let placed = Placed {
            group: usize::from(upstream.led),
            load: upstream.load(tie),
            offer: upstream.offer(),
            sidelined: state.is_sidelined(),
        };
        upstream.placed = Some(placed);
        self.pools[upstream.service].place(position, upstream.rack, &placed, true);
    }

    /// Recomputes per service what only the list determines.
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

    /// Recomputes the medians that upstreams are compared with.
    pub(crate) fn compare_peers(&mut self) {
        for (service, pool) in self.pools.iter_mut().enumerate() {
            let healthy = || {
                self.upstreams
                    .iter()
                    .filter(move |one| one.service == service && one.health.state() == HealthState::Healthy)
            };
            let mut error_rates: Vec<f32> = healthy().filter_map(|one| one.samples.error_rate()).collect();
            let mut latencies: Vec<f32> = healthy().filter_map(|one| one.samples.latency()).collect();
            pool.peers = PeerStats::new(&mut error_rates, &mut latencies);
        }
    }
}
