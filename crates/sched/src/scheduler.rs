//! Task queues of one service: admission, expiry and the choice of the next task.

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

/// Time after the last urgent task was queued for which headroom is kept for more.
const HEADROOM_HOLD: Duration = Duration::from_secs(10);
/// Costs are clamped to these bounds: values outside come from wrong declarations and would distort the
/// teams' shares.
const MIN_COST: Duration = Duration::from_millis(1);
const MAX_COST: Duration = Duration::from_secs(60);
/// Map capacity above which an empty scheduler frees its memory. Freeing small tables each time the queue
/// becomes empty would cost more than it saves.
const SHRINK_ABOVE: usize = 8192;
/// One part in this many of the queue is reserved for teams that have less than an equal part of their
/// class's queue.
const LIGHT_TEAM_DIVISOR: usize = 8;

/// A queued task, its clamped cost in nanoseconds and the index of its team in [`TeamQueues`].
#[derive(Debug)]
struct QueueItem {
    cost: u64,
    task: QueuedTask,
    team: u32,
}

/// Task queues of one service: admits or rejects submissions and chooses the next task to start.
///
/// The cost of an operation does not depend on the number of teams and queued tasks.
#[derive(Debug)]
pub struct Scheduler {
    by_id: FastMap<TaskId, u32>,
    classes: [TeamQueues; Class::COUNT],
    due: Vec<u32>,
    /// Time that corresponds to 0 ns in the wheel; set by the first call.
    epoch: Option<Instant>,
    /// Expired tasks that [`Self::expire`] has not returned yet.
    expired: Vec<QueuedTask>,
    limits: Limits,
    links: Links,
    last_urgent_at: Option<Instant>,
    shares: Shares,
    shedders: [Shedder; Class::COUNT],
    tasks: Slab<QueueItem>,
    weights: FastMap<TeamId, u32>,
    wheel: Wheel,
}

impl Scheduler {
    /// Creates a scheduler without tasks and slots.
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
            last_urgent_at: None,
            shares: Shares::new(limits.share_percent),
            shedders: limits.shed.map(Shedder::new),
            tasks: Slab::new(),
            weights: FastMap::default(),
            wheel: Wheel::new(),
        }
    }

    /// Applies a new policy, also to tasks that are already queued.
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

    /// Sets the number of slots that this entry can use now, led and borrowed. Guaranteed shares and wait
    /// estimates are based on it.
    pub fn set_capacity(&mut self, slots: u32) {
        self.shares.set_capacity(slots);
    }

    /// Overrides the policy's weight for a team. The weight is clamped to 1 to 10,000.
    pub fn set_team_weight(&mut self, team: &TeamId, weight: u32) {
        let weight = weight.clamp(1, MAX_WEIGHT);
        self.weights.insert(team.clone(), weight);
        for class in &mut self.classes {
            class.set_weight(team, weight);
        }
    }

    /// Removes the override of a team's weight.
    pub fn clear_team_weight(&mut self, team: &TeamId) {
        self.weights.remove(team);
        for class in &mut self.classes {
            class.set_weight(team, self.limits.team_weight);
        }
    }

    /// Checks whether a submission can be queued: its deadline, the queue length, shedding and the estimated
    /// wait.
    ///
    /// The check covers all its tasks. Queues nothing.
    ///
    /// # Errors
    ///
    /// [`ResultCode::DeadlinePast`] when `start_by` has passed, [`ResultCode::Overloaded`] in all other
    /// cases.
    pub fn admit(&mut self, now: Instant, request: &AdmitRequest<'_>) -> Result<(), ResultCode> {
        if now > request.start_by {
            return Err(ResultCode::DeadlinePast);
        }
        self.collect_expired(now);
        let queued = self.class(request.class).queued();
        if !self.has_queue_space(request) || self.shedders[request.class.index()].should_reject(now, queued) {
            return Err(ResultCode::Overloaded);
        }
        let wait = self.estimated_wait(request.class, request.team);
        // The last task of the submission also waits for the others.
        let own_cost = clamped_cost_ns(request.cost) as f64 * f64::from(request.tasks.saturating_sub(1));
        let last_wait = wait.saturating_add(duration(self.drain_time(request.class, own_cost, 0.0)));
        let too_late = now.checked_add(last_wait).is_none_or(|start| start > request.start_by);
        if wait > self.limits.max_wait[request.class.index()] || too_late {
            return Err(ResultCode::Overloaded);
        }
        Ok(())
    }

    /// Queues a task without an admission check. Ignored when a task with this id is queued. A task past its
    /// `start_by` goes to [`Self::expire`] at once.
    pub fn push(&mut self, now: Instant, task: QueuedTask) {
        if self.by_id.contains_key(&task.id) {
            return;
        }
        if now > task.start_by {
            self.expired.push(task);
            return;
        }
        if task.class == Class::Urgent {
            self.last_urgent_at = Some(now);
        }
        self.enqueue(now, task, TeamQueues::push);
        self.account(now);
    }

    /// Removes and returns the next task to start, and counts it as running.
    ///
    /// Expired and cancelled tasks are never returned. `None` when nothing is queued, or when the free slots
    /// are reserved for urgent tasks. The caller checks that a slot is free.
    pub fn next(&mut self, now: Instant) -> Option<QueuedTask> {
        self.collect_expired(now);
        self.account(now);
        let class = self.shares.pick(&self.load(), self.headroom(now))?;
        let queues = &mut self.classes[class.index()];
        let (team, id) = queues.select()?;
        let item = self.tasks.remove(id)?;
        queues.start(&mut self.links, team, id, item.cost);
        self.wheel.remove(id);
        self.by_id.remove(&item.task.id);
        self.shrink_if_empty();
        let waited = now.saturating_duration_since(item.task.enqueued_at);
        self.shedders[class.index()].record_start(now, waited);
        self.account(now);
        Some(item.task)
    }

    /// Puts a task from [`Self::next`] that did not start back at the head of its team's queue. It no longer
    /// counts as running.
    pub fn requeue(&mut self, now: Instant, task: QueuedTask) {
        if self.by_id.contains_key(&task.id) {
            return;
        }
        // A late task is linked first too, because linking also undoes its count as running.
        let (id, is_late) = (task.id, now > task.start_by);
        self.enqueue(now, task, TeamQueues::push_front);
        if is_late && let Some(task) = self.remove_queued(id) {
            self.expired.push(task);
        }
        self.account(now);
    }

    /// Records the end of a started task and charges its actual run time to its team.
    pub fn finish_task(&mut self, class: Class, team: &TeamId, run_time: Duration) {
        self.classes[class.index()].finish_task(team, clamped_cost_ns(run_time));
    }

    /// Removes a queued task; returns false when it is not queued.
    pub fn cancel(&mut self, id: TaskId) -> bool {
        self.remove_queued(id).is_some()
    }

    /// Removes the tasks past their `start_by` and appends them to `expired`.
    pub fn expire(&mut self, now: Instant, expired: &mut Vec<QueuedTask>) {
        self.collect_expired(now);
        self.account(now);
        expired.append(&mut self.expired);
        if self.expired.capacity() > self.limits.max_queued.min(1024) {
            self.expired = Vec::new();
        }
    }

    /// Number of queued tasks of all classes.
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

    /// Number of teams with queued or running tasks; a team counts once per class.
    #[must_use]
    pub fn active_teams(&self) -> usize {
        self.classes.iter().map(TeamQueues::team_count).sum()
    }

    /// The most urgent class with queued tasks.
    #[must_use]
    pub fn most_urgent_queued(&self) -> Option<Class> {
        Class::ALL.into_iter().find(|&class| self.class(class).queued() > 0)
    }

    /// Appends the changes of shedding since the last call.
    pub fn take_notices(&mut self, notices: &mut Vec<Notice>) {
        for class in Class::ALL {
            match self.shedders[class.index()].take_change() {
                Some(true) => notices.push(Notice::ShedStarted { class }),
                Some(false) => notices.push(Notice::ShedEnded { class }),
                None => {}
            }
        }
    }

    /// Estimated time until a new task of the team starts, given the tasks that are queued and running now.
    ///
    /// This is the shorter of two waits: with the guaranteed share of the class, and with the slots that
    /// remain after the queues of more urgent classes and the shares of less urgent ones. While a more urgent
    /// class uses slots beyond its share, only the share of the class and the slots it uses now count.
    #[must_use]
    pub fn estimated_wait(&self, class: Class, team: &TeamId) -> Duration {
        let running: u32 = self.classes.iter().map(TeamQueues::running).sum();
        let is_busy = f64::from(running) >= self.shares.slots();
        if self.queued() == 0 && !is_busy {
            return Duration::ZERO;
        }
        let queues = self.class(class);
        let ahead = queues.cost_ahead(team, self.weight_of(team)) as f64;
        // On average half of a running task's cost remains.
        let is_share_used = f64::from(queues.running()) >= self.shares.share(class);
        let own_left = if is_share_used { queues.running_cost() as f64 / 2.0 } else { 0.0 };
        let all_left: u64 = self.classes.iter().map(TeamQueues::running_cost).sum();
        let first_free =
            if is_busy { all_left as f64 / 2.0 / f64::from(running) / self.shares.slots() } else { 0.0 };
        duration(first_free + self.drain_time(class, ahead, own_left))
    }

    /// Time in nanoseconds until the class has started tasks of total cost `cost`. `own_left` is the
    /// remaining cost of its running tasks, which delays them while the class has only its share.
    fn drain_time(&self, class: Class, cost: f64, own_left: f64) -> f64 {
        let by_share = (cost + own_left) / self.shares.share(class);
        let uses_surplus = |c: Class| {
            self.class(c).queued() > 0 && f64::from(self.class(c).running()) >= self.shares.share(c)
        };
        if Class::ALL[..class.index()].iter().any(|&c| uses_surplus(c)) {
            // More urgent tasks keep arriving while this class waits, so it can rely only on the slots it
            // uses now.
            let in_use = f64::from(self.class(class).running());
            return (cost + own_left) / self.shares.share(class).max(in_use);
        }
        let more_urgent: u64 = Class::ALL[..class.index()].iter().map(|&c| self.class(c).queued_cost()).sum();
        let reserve: f64 = Class::ALL[class.index() + 1..]
            .iter()
            .filter(|&&c| self.class(c).queued() > 0)
            .map(|&c| self.shares.share(c))
            .sum();
        let by_rank = (more_urgent as f64 + cost) / (self.shares.slots() - reserve);
        // For a class without a share `by_share` is infinite or NaN, so `min` returns the other value.
        by_share.min(by_rank)
    }

    /// Number of slots kept free for urgent tasks; 0 without recent urgent tasks, so that others can use
    /// every slot.
    fn headroom(&self, now: Instant) -> u32 {
        let is_recent =
            self.last_urgent_at.is_some_and(|last| now.saturating_duration_since(last) < HEADROOM_HOLD);
        if is_recent { self.shares.headroom(self.limits.headroom_percent) } else { 0 }
    }

    /// Whether the queue has space for the tasks of the request, after what is reserved for other classes and
    /// teams.
    fn has_queue_space(&self, request: &AdmitRequest<'_>) -> bool {
        let taken = |class: Class| {
            let queued = self.class(class).queued();
            if class == request.class { queued } else { queued.max(self.limits.reserved(class)) }
        };
        let taken: usize = Class::ALL.into_iter().map(taken).sum();
        let queues = self.class(request.class);
        let wanted = request.tasks as usize;
        let team_queued = queues.queued_by_team(request.team) + wanted;
        let is_light = team_queued * (queues.team_count() + 1) <= queues.queued();
        let reserve = if is_light { 0 } else { self.limits.max_queued / LIGHT_TEAM_DIVISOR };
        taken + wanted + reserve <= self.limits.max_queued
    }

    fn enqueue(&mut self, now: Instant, task: QueuedTask, link: LinkTask) {
        self.epoch.get_or_insert(now);
        let cost = clamped_cost_ns(task.cost);
        let class = task.class.index();
        let due = self.nanos_since_epoch(task.start_by).saturating_add(1);
        let (id, team) = (task.id, task.team.clone());
        let slot = self.tasks.insert(QueueItem { cost, task, team: 0 });
        self.by_id.insert(id, slot);
        self.wheel.insert(slot, due);
        let weight = self.weight_of(&team);
        let index = link(&mut self.classes[class], &mut self.links, slot, cost, &team, weight);
        if let Some(item) = self.tasks.get_mut(slot) {
            item.team = index;
        }
    }

    /// Removes a task from the queue and the timer wheel.
    fn remove_queued(&mut self, id: TaskId) -> Option<QueuedTask> {
        let slot = self.by_id.get(&id).copied()?;
        self.wheel.remove(slot);
        self.unlink(slot)
    }

    /// Removes a task from its queue. It must not be in the timer wheel any more.
    fn unlink(&mut self, slot: u32) -> Option<QueuedTask> {
        let QueueItem { cost, task, team } = self.tasks.remove(slot)?;
        self.by_id.remove(&task.id);
        self.classes[task.class.index()].remove(&mut self.links, team, slot, cost);
        self.shrink_if_empty();
        Some(task)
    }

    /// Frees the memory of a past peak when no task is queued.
    fn shrink_if_empty(&mut self) {
        if self.tasks.len() == 0 && self.by_id.capacity() > SHRINK_ABOVE {
            self.by_id = FastMap::default();
            self.links = Links::default();
            self.tasks = Slab::new();
            self.wheel.release();
        }
    }

    /// Moves the tasks past their `start_by` from the queues to `expired`.
    fn collect_expired(&mut self, now: Instant) {
        let nanos = self.nanos_since_epoch(now);
        let mut due = std::mem::take(&mut self.due);
        self.wheel.advance(nanos, &mut due);
        for slot in due.drain(..) {
            if let Some(task) = self.unlink(slot) {
                self.expired.push(task);
            }
        }
        self.due = due;
    }

    /// Updates the accounting of shares, and the shedders of empty classes, up to `now`.
    fn account(&mut self, now: Instant) {
        let load = self.load();
        self.shares.account(now, load);
        for (shedder, load) in self.shedders.iter_mut().zip(load) {
            if load.queued == 0 {
                shedder.record_empty(now);
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

    fn nanos_since_epoch(&mut self, time: Instant) -> u64 {
        let epoch = *self.epoch.get_or_insert(time);
        u64::try_from(time.saturating_duration_since(epoch).as_nanos()).unwrap_or(u64::MAX / 2)
    }
}

/// Function that links a task into a class; returns the index of its team.
///
/// Arguments: queues, links, slot of the task, cost in nanoseconds, team, weight of the team.
type LinkTask = fn(&mut TeamQueues, &mut Links, u32, u64, &TeamId, u32) -> u32;

fn clamped_cost_ns(cost: Duration) -> u64 {
    cost.clamp(MIN_COST, MAX_COST).as_nanos() as u64
}

fn duration(nanos: f64) -> Duration {
    // The conversion saturates and maps NaN to zero.
    Duration::from_nanos(nanos as u64)
}
