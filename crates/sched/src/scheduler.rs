//! Queues of one service and the choice of the next task.

use std::time::Duration;

use hinge_conf::Policy;
use hinge_wire::{Class, FastMap, ResultCode, TaskId, TeamId};
use tokio::time::Instant;

use crate::fair::TeamQueues;
use crate::limits::{Limits, MAX_WEIGHT};
use crate::list::{Links, Slab};
use crate::share::{Load, Shares};
use crate::shed::Shedder;
use crate::task::{AdmitRequest, Notice, QueuedTask};
use crate::timer::Wheel;

/// Time after urgent work was queued in which headroom is kept for more of it.
const HEADROOM_HOLD: Duration = Duration::from_secs(10);
/// Costs outside of these bounds come from wrong declarations and would distort the shares of teams.
const MIN_COST: Duration = Duration::from_millis(1);
const MAX_COST: Duration = Duration::from_secs(60);
/// Table size above which an empty scheduler releases its memory. Releasing small tables whenever a queue
/// runs empty would cost more than it saves.
const RELEASE_ABOVE: usize = 8192;
/// One part in this many of the queue is kept for teams that hold less than an equal part of their class.
const LIGHT_TEAM_PART: usize = 8;

/// A queued task and where it is linked.
#[derive(Debug)]
struct Entry {
    cost: u64,
    task: QueuedTask,
    team: u32,
}

/// Queues the tasks of one service, admits or refuses submissions and chooses the next task to start.
///
/// Each operation costs the same with any number of teams and queued tasks.
#[derive(Debug)]
pub struct Scheduler {
    by_id: FastMap<TaskId, u32>,
    classes: [TeamQueues; Class::COUNT],
    due: Vec<u32>,
    /// Time zero of the wheel.
    epoch: Option<Instant>,
    /// Tasks that have been taken out of the queues and not yet been handed to the caller.
    expired: Vec<QueuedTask>,
    limits: Limits,
    links: Links,
    last_urgent: Option<Instant>,
    shares: Shares,
    shedders: [Shedder; Class::COUNT],
    tasks: Slab<Entry>,
    weights: FastMap<TeamId, u32>,
    wheel: Wheel,
}

impl Scheduler {
    /// A scheduler without tasks and slots.
    #[must_use]
    pub fn new(policy: &Policy) -> Self {
        let limits = Limits::new(policy);
        Self {
            by_id: FastMap::default(),
            classes: std::array::from_fn(|_| TeamQueues::new()),
            due: Vec::new(),
            epoch: None,
            expired: Vec::new(),
            limits,
            links: Links::default(),
            last_urgent: None,
            shares: Shares::new(limits.share_percent),
            shedders: limits.shed.map(Shedder::new),
            tasks: Slab::new(),
            weights: FastMap::default(),
            wheel: Wheel::new(),
        }
    }

    /// Applies a new policy to queued and later tasks.
    pub fn set_policy(&mut self, policy: &Policy) {
        self.limits = Limits::new(policy);
        self.shares.set_percent(self.limits.share_percent);
        for (shedder, limits) in self.shedders.iter_mut().zip(self.limits.shed) {
            shedder.set_limits(limits);
        }
        let (weights, default) = (&self.weights, self.limits.team_weight);
        for class in &mut self.classes {
            class.set_weights(|team| weights.get(team).copied().unwrap_or(default));
        }
    }

    /// Slots that this entry can use now, led and borrowed; base of guaranteed shares and wait estimates.
    pub fn set_capacity(&mut self, slots: u32) {
        self.shares.set_capacity(slots);
    }

    /// Gives a team another weight than the policy's, limited to 1 to 10,000.
    pub fn set_team_weight(&mut self, team: &TeamId, weight: u32) {
        let weight = weight.clamp(1, MAX_WEIGHT);
        self.weights.insert(team.clone(), weight);
        for class in &mut self.classes {
            class.set_weight(team, weight);
        }
    }

    /// Returns a team to the policy's weight.
    pub fn clear_team_weight(&mut self, team: &TeamId) {
        self.weights.remove(team);
        for class in &mut self.classes {
            class.set_weight(team, self.limits.team_weight);
        }
    }

    /// Checks a whole submission: deadline, queue length, early refusal and estimated wait.
    ///
    /// # Errors
    ///
    /// [`ResultCode::DeadlinePast`] when `start_by` is over, else [`ResultCode::Overloaded`].
    pub fn admit(&mut self, now: Instant, request: &AdmitRequest<'_>) -> Result<(), ResultCode> {
        if now > request.start_by {
            return Err(ResultCode::DeadlinePast);
        }
        self.collect_expired(now);
        let queued = self.class(request.class).queued();
        if !self.has_room(request) || self.shedders[request.class.index()].refuses(now, queued) {
            return Err(ResultCode::Overloaded);
        }
        let wait = self.estimated_wait(request.class, request.team);
        // Later tasks of the submission wait for the earlier ones.
        let own_cost = normal_cost(request.cost) as f64 * f64::from(request.tasks.saturating_sub(1));
        let last_wait = wait.saturating_add(duration(self.drain_time(request.class, own_cost, 0.0)));
        let too_late = now.checked_add(last_wait).is_none_or(|start| start > request.start_by);
        if wait > self.limits.max_wait[request.class.index()] || too_late {
            return Err(ResultCode::Overloaded);
        }
        Ok(())
    }

    /// Queues a task. A task whose id is queued already is ignored.
    pub fn push(&mut self, now: Instant, task: QueuedTask) {
        if self.by_id.contains_key(&task.id) {
            return;
        }
        if now > task.start_by {
            self.expired.push(task);
            return;
        }
        if task.class == Class::Urgent {
            self.last_urgent = Some(now);
        }
        self.enqueue(now, task, TeamQueues::push);
        self.account(now);
    }

    /// The next task to start; counts it as running. Expired and cancelled tasks are never returned.
    pub fn next(&mut self, now: Instant) -> Option<QueuedTask> {
        self.collect_expired(now);
        self.account(now);
        let class = self.shares.pick(&self.load(), self.headroom(now))?;
        let queues = &mut self.classes[class.index()];
        let (team, id) = queues.select()?;
        let entry = self.tasks.remove(id)?;
        queues.start(&mut self.links, team, id, entry.cost);
        self.wheel.remove(id);
        self.by_id.remove(&entry.task.id);
        self.release_if_empty();
        let waited = now.saturating_duration_since(entry.task.enqueued_at);
        self.shedders[class.index()].started(now, waited);
        self.account(now);
        Some(entry.task)
    }

    /// Puts a task that did not start back at the head of its team's queue and uncounts it.
    pub fn requeue(&mut self, now: Instant, task: QueuedTask) {
        if self.by_id.contains_key(&task.id) {
            return;
        }
        // A task that is late is linked as well, so that its count as running is undone in one place.
        let (id, is_late) = (task.id, now > task.start_by);
        self.enqueue(now, task, TeamQueues::push_front);
        if is_late && let Some(task) = self.take(id) {
            self.expired.push(task);
        }
        self.account(now);
    }

    /// Counts the end of a started task and corrects its team's share by the actual run time.
    pub fn finish_task(&mut self, class: Class, team: &TeamId, run_time: Duration) {
        self.classes[class.index()].finish_task(team, normal_cost(run_time));
    }

    /// Removes a queued task; false when it is not queued.
    pub fn cancel(&mut self, id: TaskId) -> bool {
        self.take(id).is_some()
    }

    /// Removes tasks past `start_by` and appends them to `expired`.
    pub fn expire(&mut self, now: Instant, expired: &mut Vec<QueuedTask>) {
        self.collect_expired(now);
        self.account(now);
        expired.append(&mut self.expired);
        if self.expired.capacity() > self.limits.max_queued.min(1024) {
            self.expired = Vec::new();
        }
    }

    /// Number of queued tasks.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.tasks.len()
    }

    /// Number of queued tasks of a class.
    #[must_use]
    pub fn queued_in(&self, class: Class) -> usize {
        self.class(class).queued()
    }

    /// Number of started tasks of a class that have not ended.
    #[must_use]
    pub fn running_in(&self, class: Class) -> u32 {
        self.class(class).running()
    }

    /// Number of teams that the scheduler holds state for, counted once per class.
    #[must_use]
    pub fn active_teams(&self) -> usize {
        self.classes.iter().map(TeamQueues::teams).sum()
    }

    /// The most urgent class with queued tasks.
    #[must_use]
    pub fn most_urgent_queued(&self) -> Option<Class> {
        Class::ALL.into_iter().find(|&class| self.class(class).queued() > 0)
    }

    /// Appends the changes since the last call.
    pub fn take_notices(&mut self, notices: &mut Vec<Notice>) {
        for class in Class::ALL {
            match self.shedders[class.index()].take_change() {
                Some(true) => notices.push(Notice::ShedStarted { class }),
                Some(false) => notices.push(Notice::ShedEnded { class }),
                None => {}
            }
        }
    }

    /// Estimated time until a new task of the team starts, from the work that is queued and running now.
    ///
    /// The class gets at least its guaranteed share of the slots, and otherwise what the more urgent classes'
    /// queues and the less urgent classes' shares leave; the shorter of both waits counts. While a more urgent class
    /// takes slots beyond its share, only the class's own share and use count.
    #[must_use]
    pub fn estimated_wait(&self, class: Class, team: &TeamId) -> Duration {
        let running: u32 = self.classes.iter().map(TeamQueues::running).sum();
        let is_busy = f64::from(running) >= self.shares.slots();
        if self.queued() == 0 && !is_busy {
            return Duration::ZERO;
        }
        let queues = self.class(class);
        let ahead = queues.cost_ahead(team, self.weight_of(team)) as f64;
        // On average half of the cost of a running task is left.
        let has_share_used = f64::from(queues.running()) >= self.shares.share(class);
        let own_left = if has_share_used { queues.running_cost() as f64 / 2.0 } else { 0.0 };
        let all_left: u64 = self.classes.iter().map(TeamQueues::running_cost).sum();
        let first_free =
            if is_busy { all_left as f64 / 2.0 / f64::from(running) / self.shares.slots() } else { 0.0 };
        duration(first_free + self.drain_time(class, ahead, own_left))
    }

    /// Nanoseconds in which the class starts `cost` of its own work, after `own_left` when it has no more
    /// than its share.
    fn drain_time(&self, class: Class, cost: f64, own_left: f64) -> f64 {
        let by_share = (cost + own_left) / self.shares.share(class);
        let takes_surplus = |c: Class| {
            self.class(c).queued() > 0 && f64::from(self.class(c).running()) >= self.shares.share(c)
        };
        if Class::ALL[..class.index()].iter().any(|&c| takes_surplus(c)) {
            // More of the urgent work arrives while this class waits: only what it uses now is sure to remain.
            let in_use = f64::from(self.class(class).running());
            return (cost + own_left) / self.shares.share(class).max(in_use);
        }
        let more_urgent: u64 = Class::ALL[..class.index()].iter().map(|&c| self.class(c).queued_cost()).sum();
        let kept: f64 = Class::ALL[class.index() + 1..]
            .iter()
            .filter(|&&c| self.class(c).queued() > 0)
            .map(|&c| self.shares.share(c))
            .sum();
        let by_rank = (more_urgent as f64 + cost) / (self.shares.slots() - kept);
        // A class without a share gives NaN or infinity, which `min` passes over.
        by_share.min(by_rank)
    }

    /// Slots kept free for urgent work. Without recent urgent work nothing is kept, so that other work can use
    /// every slot.
    fn headroom(&self, now: Instant) -> u32 {
        let is_recent =
            self.last_urgent.is_some_and(|last| now.saturating_duration_since(last) < HEADROOM_HOLD);
        if is_recent { self.shares.headroom(self.limits.headroom_percent) } else { 0 }
    }

    /// Whether the queue may take the tasks of the request.
    fn has_room(&self, request: &AdmitRequest<'_>) -> bool {
        let taken = |class: Class| {
            let queued = self.class(class).queued();
            if class == request.class { queued } else { queued.max(self.limits.reserved(class)) }
        };
        let taken: usize = Class::ALL.into_iter().map(taken).sum();
        let queues = self.class(request.class);
        let wanted = request.tasks as usize;
        let team_queued = queues.queued_of(request.team) + wanted;
        let is_light = team_queued * (queues.teams() + 1) <= queues.queued();
        let kept = if is_light { 0 } else { self.limits.max_queued / LIGHT_TEAM_PART };
        taken + wanted + kept <= self.limits.max_queued
    }

    fn enqueue(&mut self, now: Instant, task: QueuedTask, link: LinkTask) {
        self.epoch.get_or_insert(now);
        let cost = normal_cost(task.cost);
        let class = task.class.index();
        let due = self.nanos(task.start_by).saturating_add(1);
        let (id, team) = (task.id, task.team.clone());
        let slot = self.tasks.insert(Entry { cost, task, team: 0 });
        self.by_id.insert(id, slot);
        self.wheel.insert(slot, due);
        let weight = self.weight_of(&team);
        let index = link(&mut self.classes[class], &mut self.links, slot, cost, &team, weight);
        if let Some(entry) = self.tasks.get_mut(slot) {
            entry.team = index;
        }
    }

    /// Takes a queued task out.
    fn take(&mut self, id: TaskId) -> Option<QueuedTask> {
        let slot = self.by_id.get(&id).copied()?;
        self.wheel.remove(slot);
        self.unlink(slot)
    }

    /// Takes a task out of its queue; it must have left the wheel.
    fn unlink(&mut self, slot: u32) -> Option<QueuedTask> {
        let Entry { cost, task, team } = self.tasks.remove(slot)?;
        self.by_id.remove(&task.id);
        self.classes[task.class.index()].remove(&mut self.links, team, slot, cost);
        self.release_if_empty();
        Some(task)
    }

    /// Releases the memory of a peak when no task is queued.
    fn release_if_empty(&mut self) {
        if self.tasks.len() == 0 && self.by_id.capacity() > RELEASE_ABOVE {
            self.by_id = FastMap::default();
            self.links = Links::default();
            self.tasks = Slab::new();
            self.wheel.release();
        }
    }

    fn collect_expired(&mut self, now: Instant) {
        let nanos = self.nanos(now);
        let mut due = std::mem::take(&mut self.due);
        self.wheel.advance(nanos, &mut due);
        for slot in due.drain(..) {
            if let Some(task) = self.unlink(slot) {
                self.expired.push(task);
            }
        }
        self.due = due;
    }

    /// Brings the shares and the shedding state to `now`.
    fn account(&mut self, now: Instant) {
        let load = self.load();
        self.shares.account(now, load);
        for (shedder, load) in self.shedders.iter_mut().zip(load) {
            if load.queued == 0 {
                shedder.empty(now);
            }
        }
    }

    fn load(&self) -> [Load; Class::COUNT] {
        Class::ALL
            .map(|class| Load { queued: self.class(class).queued(), running: self.class(class).running() })
    }

    fn class(&self, class: Class) -> &TeamQueues {
        &self.classes[class.index()]
    }

    fn weight_of(&self, team: &TeamId) -> u32 {
        if self.weights.is_empty() {
            return self.limits.team_weight;
        }
        self.weights.get(team).copied().unwrap_or(self.limits.team_weight)
    }

    fn nanos(&mut self, time: Instant) -> u64 {
        let epoch = *self.epoch.get_or_insert(time);
        u64::try_from(time.saturating_duration_since(epoch).as_nanos()).unwrap_or(u64::MAX / 2)
    }
}

/// Links a task into a class: class, links, task, cost, team, weight.
type LinkTask = fn(&mut TeamQueues, &mut Links, u32, u64, &TeamId, u32) -> u32;

fn normal_cost(cost: Duration) -> u64 {
    cost.clamp(MIN_COST, MAX_COST).as_nanos() as u64
}

fn duration(nanos: f64) -> Duration {
    // The conversion saturates and maps NaN to zero.
    Duration::from_nanos(nanos as u64)
}
