//! What the owners of upstreams reported, and where the next task goes.

use std::time::Duration;

use hinge_runs::{AssignmentId, HomeId, Load, PRIORITY_LEVELS, priority_index};
use hinge_wire::{FastMap, FastSet, ServiceId};
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

/// Distance from which on an owner counts as far: in another data centre.
const FAR: Duration = Duration::from_millis(3);
/// Chance of an owner nearby against one that is far, for the same room. Work that stays in one data centre survives a
/// partition.
const NEAR_WEIGHT: u64 = 4;

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

/// What a task asks of an owner.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    pub(crate) cpu_millis: u64,
    pub(crate) priority: u32,
    pub(crate) service: ServiceId,
}

/// A task on its way to an owner, not yet in its report.
#[derive(Clone, Copy, Debug)]
struct Sent {
    cpu_millis: u64,
    id: AssignmentId,
    priority: usize,
}

/// What is known about an owner's upstreams of one service.
#[derive(Clone, Debug)]
struct Known {
    load: Load,
    reported_at: Instant,
    /// Reported rooms less what was sent since.
    rooms_cpu_millis: Vec<u64>,
    sent: Vec<Sent>,
}

impl Known {
    /// Estimated wait of one more task that finds no room.
    fn wait(&self, priority: usize) -> Duration {
        let ahead: u32 = self.load.queued[..=priority].iter().sum();
        let sent = self.sent.iter().filter(|sent| sent.priority <= priority).count();
        let ahead = u64::from(ahead) + u64::try_from(sent).unwrap_or(u64::MAX);
        Duration::from_millis((ahead + 1) * self.load.mean_run_ms / u64::from(self.load.slots.max(1)))
    }

    /// Tasks of this size that fit now.
    fn fitting(&self, cpu_millis: u64) -> u64 {
        self.rooms_cpu_millis.iter().map(|room| room / cpu_millis.max(1)).sum()
    }

    /// Takes the tightest room that fits, if there is one.
    fn take_room(&mut self, cpu_millis: u64) {
        if let Some(room) = tightest(&mut self.rooms_cpu_millis, cpu_millis) {
            *room -= cpu_millis;
        }
    }

    fn recount_rooms(&mut self) {
        self.rooms_cpu_millis.clone_from(&self.load.rooms_cpu_millis);
        for index in 0..self.sent.len() {
            self.take_room(self.sent[index].cpu_millis);
        }
    }
}

/// The smallest room in which a task of this size fits.
fn tightest(rooms_cpu_millis: &mut [u64], cpu_millis: u64) -> Option<&mut u64> {
    rooms_cpu_millis.iter_mut().filter(|room| **room >= cpu_millis).min()
}

/// Rooms of the owners by service.
#[derive(Debug)]
pub(crate) struct Rooms(Vec<((HomeId, ServiceId), Vec<u64>)>);

impl Rooms {
    /// Takes room for a task from an owner other than `owner`; false when no other one has any.
    pub(crate) fn take_elsewhere(&mut self, owner: HomeId, demand: &Demand) -> bool {
        let others =
            self.0.iter_mut().filter(|((other, service), _)| *other != owner && *service == demand.service);
        let Some(room) = others.filter_map(|(_, rooms)| tightest(rooms, demand.cpu_millis)).min() else {
            return false;
        };
        *room -= demand.cpu_millis;
        true
    }
}

/// Where a task should go.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub(crate) load_age: Duration,
    pub(crate) owner: HomeId,
    /// Estimated wait; none when there should be room at once.
    pub(crate) wait: Option<Duration>,
}

/// Load reports by owner and service.
#[derive(Debug)]
pub(crate) struct Owners {
    distance: FastMap<HomeId, Duration>,
    known: FastMap<(HomeId, ServiceId), Known>,
    /// This entry; reports about its own upstreams are never out of date.
    own: HomeId,
    /// Owners that have not been heard for a while; they may be cut off.
    unresponsive: FastSet<HomeId>,
}

impl Owners {
    pub(crate) fn new(own: HomeId) -> Self {
        Self {
            distance: FastMap::default(),
            known: FastMap::default(),
            own,
            unresponsive: FastSet::default(),
        }
    }

    pub(crate) fn set_distance(&mut self, owner: HomeId, distance: Duration) {
        self.distance.insert(owner, distance);
    }

    pub(crate) fn set_unresponsive_owners(&mut self, owners: FastSet<HomeId>) {
        self.unresponsive = owners;
    }

    pub(crate) fn set_load(&mut self, now: Instant, report: OwnerLoad) {
        let key = (report.owner, report.service);
        let mut sent = self.known.remove(&key).map(|known| known.sent).unwrap_or_default();
        sent.retain(|sent| sent.id > report.last_assignment);
        let mut known = Known { load: report.load, reported_at: now, rooms_cpu_millis: Vec::new(), sent };
        known.recount_rooms();
        self.known.insert(key, known);
    }

    pub(crate) fn remove(&mut self, owner: HomeId) {
        self.known.retain(|(known, _), _| *known != owner);
        self.distance.remove(&owner);
    }

    fn distance(&self, owner: HomeId) -> Duration {
        self.distance.get(&owner).copied().unwrap_or_default()
    }

    fn candidates(&self, service: &ServiceId) -> impl Iterator<Item = (HomeId, &Known)> {
        let serving =
            self.known.iter().filter(move |((_, known), load)| known == service && load.load.slots > 0);
        serving.map(|((owner, _), known)| (*owner, known))
    }

    /// The owner for one more task. Where several have room the choice is random in proportion to it, so that homes with
    /// the same reports do not all send to the same owner; without room anywhere the shortest wait decides.
    pub(crate) fn choose(&self, now: Instant, demand: &Demand, rng: &mut SmallRng) -> Option<Choice> {
        let audible: Vec<_> = self
            .candidates(&demand.service)
            .filter(|(owner, _)| !self.unresponsive.contains(owner))
            .collect();
        let with_room = self.pick_with_room(&audible, demand, rng);
        if let Some((owner, known)) = with_room {
            return Some(Choice { load_age: now.duration_since(known.reported_at), owner, wait: None });
        }
        let priority = priority_index(demand.priority).min(PRIORITY_LEVELS - 1);
        let cost = |owner: HomeId, known: &Known| (known.wait(priority) + self.distance(owner), owner);
        let heard = audible.into_iter().min_by_key(|(owner, known)| cost(*owner, known));
        let any = || self.candidates(&demand.service).min_by_key(|(owner, known)| cost(*owner, known));
        let (owner, known) = heard.or_else(any)?;
        Some(Choice {
            load_age: now.duration_since(known.reported_at),
            owner,
            wait: Some(known.wait(priority)),
        })
    }

    fn pick_with_room<'a>(
        &self,
        candidates: &[(HomeId, &'a Known)],
        demand: &Demand,
        rng: &mut SmallRng,
    ) -> Option<(HomeId, &'a Known)> {
        let mut weighted: Vec<_> = candidates
            .iter()
            .map(|(owner, known)| {
                let near = if self.distance(*owner) < FAR { NEAR_WEIGHT } else { 1 };
                (*owner, *known, known.fitting(demand.cpu_millis) * near)
            })
            .filter(|(_, _, weight)| *weight > 0)
            .collect();
        if let Some((owner, known, _)) = weighted.iter().find(|(owner, ..)| *owner == self.own) {
            return Some((*owner, *known));
        }
        weighted.sort_unstable_by_key(|(owner, ..)| *owner);
        let total: u64 = weighted.iter().map(|(_, _, weight)| weight).sum();
        let mut drawn = rng.random_range(0..total.max(1));
        for (owner, known, weight) in weighted {
            if drawn < weight {
                return Some((owner, known));
            }
            drawn -= weight;
        }
        None
    }

    /// Rooms of all owners that are heard, to be divided among tasks that wait.
    pub(crate) fn rooms(&self) -> Rooms {
        let heard = self.known.iter().filter(|((owner, _), _)| !self.unresponsive.contains(owner));
        Rooms(heard.map(|(key, known)| (key.clone(), known.rooms_cpu_millis.clone())).collect())
    }

    /// Estimated wait at one owner.
    pub(crate) fn wait_at(&self, owner: HomeId, service: &ServiceId, priority: u32) -> Duration {
        let known = self.known.get(&(owner, service.clone()));
        known.map_or(Duration::ZERO, |known| known.wait(priority_index(priority)))
    }

    /// Notes a task on its way to an owner.
    pub(crate) fn sent(&mut self, owner: HomeId, demand: &Demand, id: AssignmentId) {
        let Some(known) = self.known.get_mut(&(owner, demand.service.clone())) else { return };
        known.sent.push(Sent {
            cpu_millis: demand.cpu_millis,
            id,
            priority: priority_index(demand.priority),
        });
        known.take_room(demand.cpu_millis);
    }

    /// Takes back tasks that were noted from `first` on and are not sent after all.
    pub(crate) fn withdraw(&mut self, first: AssignmentId) {
        for known in self.known.values_mut() {
            known.sent.retain(|sent| sent.id < first);
            known.recount_rooms();
        }
    }
}
