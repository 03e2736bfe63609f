//! Reported loads of the owners of upstreams, and the choice of an owner for each task.
//!
//! A *room* is the free CPU of one upstream, in thousandths of a core.

use std::time::Duration;

use hinge_runs::{AssignmentId, HomeId, Load, PRIORITY_LEVELS, bounded_ms, priority_index};
use hinge_wire::{FastMap, FastSet, ServiceId};
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

/// Owners with at least this message latency count as being in another data centre.
const MIN_REMOTE_LATENCY: Duration = Duration::from_millis(3);
/// Weight of an owner in this data centre in the random choice; owners elsewhere have weight 1. Work that stays in one
/// data centre survives a partition.
const LOCAL_WEIGHT: u64 = 4;

/// Upper bound of the room that a report can claim, so that the weights of the random choice cannot overflow.
const MAX_FITTING_TASKS: u64 = 1 << 20;

/// A load report from an owner.
#[derive(Clone, Debug)]
pub struct OwnerLoad {
    /// Highest assignment of the receiving home that the report includes.
    pub last_assignment: AssignmentId,
    /// Load of the owner's upstreams of `service`.
    pub load: Load,
    /// Owner that sent the report.
    pub owner: HomeId,
    /// Service that the load is about.
    pub service: ServiceId,
}

/// Requirements of a task that decide which owners can take it.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    pub(crate) cpu_millis: u64,
    pub(crate) priority: u32,
    pub(crate) service: ServiceId,
}

/// A task that was sent to an owner and is not included in its last report.
#[derive(Clone, Copy, Debug)]
struct InFlightTask {
    cpu_millis: u64,
    id: AssignmentId,
    priority: usize,
}

/// Last load report of an owner for one service, adjusted for the tasks sent since.
#[derive(Clone, Debug)]
struct OwnerState {
    load: Load,
    reported_at: Instant,
    /// Reported rooms minus the tasks in flight.
    rooms_cpu_millis: Vec<u64>,
    in_flight: Vec<InFlightTask>,
}

impl OwnerState {
    /// Estimated wait of one more task of this priority that has to queue.
    fn estimated_wait(&self, priority: usize) -> Duration {
        let ahead: u64 = self.load.queued[..=priority].iter().copied().map(u64::from).sum();
        let in_flight = self.in_flight.iter().filter(|task| task.priority <= priority).count();
        let ahead = ahead.saturating_add(u64::try_from(in_flight).unwrap_or(u64::MAX));
        let work_ms = ahead.saturating_add(1).saturating_mul(self.load.mean_run_ms);
        bounded_ms(work_ms / u64::from(self.load.slots.max(1)))
    }

    /// Number of tasks of this size that fit now, at most [`MAX_FITTING_TASKS`].
    fn fitting_tasks(&self, cpu_millis: u64) -> u64 {
        let tasks = self.rooms_cpu_millis.iter().map(|room| room / cpu_millis.max(1));
        tasks.fold(0, u64::saturating_add).min(MAX_FITTING_TASKS)
    }

    /// Reserves CPU in the smallest room that fits, if there is one.
    fn reserve(&mut self, cpu_millis: u64) {
        if let Some(room) = tightest_fit(&mut self.rooms_cpu_millis, cpu_millis) {
            *room -= cpu_millis;
        }
    }

    fn recompute_rooms(&mut self) {
        self.rooms_cpu_millis.clone_from(&self.load.rooms_cpu_millis);
        for index in 0..self.in_flight.len() {
            self.reserve(self.in_flight[index].cpu_millis);
        }
    }
}

/// The smallest room in which a task of this size fits.
fn tightest_fit(rooms_cpu_millis: &mut [u64], cpu_millis: u64) -> Option<&mut u64> {
    rooms_cpu_millis.iter_mut().filter(|room| **room >= cpu_millis).min()
}

/// Rooms by owner and service.
#[derive(Debug)]
pub(crate) struct Rooms(Vec<((HomeId, ServiceId), Vec<u64>)>);

impl Rooms {
    /// Reserves room for a task at an owner other than `owner`; false if no other owner has room.
    pub(crate) fn reserve_elsewhere(&mut self, owner: HomeId, demand: &Demand) -> bool {
        let others =
            self.0.iter_mut().filter(|((other, service), _)| *other != owner && *service == demand.service);
        let Some(room) = others.filter_map(|(_, rooms)| tightest_fit(rooms, demand.cpu_millis)).min() else {
            return false;
        };
        *room -= demand.cpu_millis;
        true
    }
}

/// Owner chosen for a task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub(crate) load_age: Duration,
    pub(crate) owner: HomeId,
    /// Estimated wait in the owner's queue; none if its report shows room for the task.
    pub(crate) wait: Option<Duration>,
}

/// Load reports by owner and service.
#[derive(Debug)]
pub(crate) struct Owners {
    latencies: FastMap<HomeId, Duration>,
    states: FastMap<(HomeId, ServiceId), OwnerState>,
    /// This entry. It is preferred, because reports about its own upstreams are never out of date.
    home: HomeId,
    /// Owners without a message for a while; they may be unreachable.
    unresponsive: FastSet<HomeId>,
}

impl Owners {
    pub(crate) fn new(home: HomeId) -> Self {
        Self {
            latencies: FastMap::default(),
            states: FastMap::default(),
            home,
            unresponsive: FastSet::default(),
        }
    }

    pub(crate) fn set_latency(&mut self, owner: HomeId, latency: Duration) {
        self.latencies.insert(owner, latency);
    }

    pub(crate) fn set_unresponsive_owners(&mut self, owners: FastSet<HomeId>) {
        self.unresponsive = owners;
    }

    pub(crate) fn set_load(&mut self, now: Instant, report: OwnerLoad) {
        let key = (report.owner, report.service);
        let mut in_flight = self.states.remove(&key).map(|state| state.in_flight).unwrap_or_default();
        in_flight.retain(|task| task.id > report.last_assignment);
        let mut state =
            OwnerState { load: report.load, reported_at: now, rooms_cpu_millis: Vec::new(), in_flight };
        state.recompute_rooms();
        self.states.insert(key, state);
    }

    pub(crate) fn remove(&mut self, owner: HomeId) {
        self.states.retain(|(other, _), _| *other != owner);
        self.latencies.remove(&owner);
    }

    fn latency(&self, owner: HomeId) -> Duration {
        self.latencies.get(&owner).copied().unwrap_or_default()
    }

    fn candidates(&self, service: &ServiceId) -> impl Iterator<Item = (HomeId, &OwnerState)> {
        let serving = self
            .states
            .iter()
            .filter(move |((_, offered), state)| offered == service && state.load.slots > 0);
        serving.map(|((owner, _), state)| (*owner, state))
    }

    /// Chooses the owner for one more task. This entry is chosen if it has room. Otherwise the choice among owners with
    /// room is random in proportion to their room, so that homes with the same reports do not all choose the same one.
    /// Without room anywhere, the owner with the shortest wait is chosen. Unresponsive owners are used only if there is
    /// no other.
    pub(crate) fn choose(&self, now: Instant, demand: &Demand, rng: &mut SmallRng) -> Option<Choice> {
        let responsive: Vec<_> = self
            .candidates(&demand.service)
            .filter(|(owner, _)| !self.unresponsive.contains(owner))
            .collect();
        let with_room = self.pick_with_room(&responsive, demand, rng);
        if let Some((owner, state)) = with_room {
            return Some(Choice { load_age: now.duration_since(state.reported_at), owner, wait: None });
        }
        let priority = priority_index(demand.priority).min(PRIORITY_LEVELS - 1);
        let cost =
            |owner: HomeId, state: &OwnerState| (state.estimated_wait(priority) + self.latency(owner), owner);
        let best = responsive.into_iter().min_by_key(|(owner, state)| cost(*owner, state));
        let any = || self.candidates(&demand.service).min_by_key(|(owner, state)| cost(*owner, state));
        let (owner, state) = best.or_else(any)?;
        Some(Choice {
            load_age: now.duration_since(state.reported_at),
            owner,
            wait: Some(state.estimated_wait(priority)),
        })
    }

    fn pick_with_room<'a>(
        &self,
        candidates: &[(HomeId, &'a OwnerState)],
        demand: &Demand,
        rng: &mut SmallRng,
    ) -> Option<(HomeId, &'a OwnerState)> {
        let mut weighted: Vec<_> = candidates
            .iter()
            .map(|(owner, state)| {
                let weight = if self.latency(*owner) < MIN_REMOTE_LATENCY { LOCAL_WEIGHT } else { 1 };
                (*owner, *state, state.fitting_tasks(demand.cpu_millis) * weight)
            })
            .filter(|(_, _, weight)| *weight > 0)
            .collect();
        if let Some((owner, state, _)) = weighted.iter().find(|(owner, ..)| *owner == self.home) {
            return Some((*owner, *state));
        }
        weighted.sort_unstable_by_key(|(owner, ..)| *owner);
        let total: u64 = weighted.iter().map(|(_, _, weight)| weight).sum();
        let mut drawn = rng.random_range(0..total.max(1));
        for (owner, state, weight) in weighted {
            if drawn < weight {
                return Some((owner, state));
            }
            drawn -= weight;
        }
        None
    }

    /// Rooms of all responsive owners, to be divided among waiting tasks.
    pub(crate) fn rooms(&self) -> Rooms {
        let responsive = self.states.iter().filter(|((owner, _), _)| !self.unresponsive.contains(owner));
        Rooms(responsive.map(|(key, state)| (key.clone(), state.rooms_cpu_millis.clone())).collect())
    }

    /// Estimated wait at an owner; zero if it has not reported.
    pub(crate) fn estimated_wait_at(&self, owner: HomeId, service: &ServiceId, priority: u32) -> Duration {
        let state = self.states.get(&(owner, service.clone()));
        state.map_or(Duration::ZERO, |state| state.estimated_wait(priority_index(priority)))
    }

    /// Records a task that is sent to an owner.
    pub(crate) fn record_sent(&mut self, owner: HomeId, demand: &Demand, id: AssignmentId) {
        let Some(state) = self.states.get_mut(&(owner, demand.service.clone())) else { return };
        state.in_flight.push(InFlightTask {
            cpu_millis: demand.cpu_millis,
            id,
            priority: priority_index(demand.priority),
        });
        state.reserve(demand.cpu_millis);
    }

    /// Records that an owner has returned a task for lack of room: its report is out of date, and it counts as full until the next
    /// one.
    pub(crate) fn record_no_room(&mut self, owner: HomeId, service: &ServiceId, cpu_millis: u64) {
        let Some(state) = self.states.get_mut(&(owner, service.clone())) else { return };
        state.rooms_cpu_millis.retain(|room| *room < cpu_millis);
    }

    /// Removes the recorded tasks from assignment `first` on, which are not sent after all.
    pub(crate) fn remove_sent_since(&mut self, first: AssignmentId) {
        for state in self.states.values_mut() {
            state.in_flight.retain(|in_flight| in_flight.id < first);
            state.recompute_rooms();
        }
    }
}
