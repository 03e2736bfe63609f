//! Deficit round robin among the teams of one class.

use hinge_wire::{FastMap, TeamId};

use crate::list::{Links, List, Slab};

/// Number of rounds in the calendar, which bounds the wait of a team in debt. A power of two.
///
/// With the lowest weight (1 instead of the usual 100) a task of ten times the mean cost waits 1,000 rounds.
const CALENDAR_ROUNDS: usize = 1024;
/// Words of the bitmap of occupied rounds.
const BITMAP_WORDS: usize = CALENDAR_ROUNDS / 64;
/// Bucket of a team that is not in the calendar.
const NOT_SCHEDULED: u16 = u16::MAX;
/// Weight whose quantum is the mean cost of a task.
const UNIT_WEIGHT: u64 = 100;
/// Each task moves the mean cost by the difference divided by this.
const MEAN_COST_DIVISOR: i64 = 32;

/// A team with queued or running tasks. Costs are in nanoseconds.
#[derive(Debug)]
struct Team {
    /// Sum of the estimated costs of the running tasks.
    charged_cost: u64,
    /// Bucket of the calendar; [`NOT_SCHEDULED`] while no task is queued.
    bucket: u16,
    /// Cost that the team may still start in its round; a debt when negative, after tasks that cost more than
    /// estimated or more than was left.
    deficit: i64,
    /// Amount to add to the deficit when the round of the bucket is reached.
    credit: i64,
    id: TeamId,
    /// Round in which the queue became empty.
    emptied_round: u64,
    queued: usize,
    queued_cost: u64,
    running: u32,
    tasks: List,
    weight: u32,
}

/// Calendar queue of the coming rounds, each with the teams that may start tasks in it.
///
/// A team in debt is put directly into the round in which its debt is paid, so that selection never has to
/// skip teams.
#[derive(Debug)]
struct Calendar {
    buckets: Vec<List>,
    links: Links,
    occupied: [u64; BITMAP_WORDS],
    round: u64,
}

impl Calendar {
    fn new() -> Self {
        Self {
            buckets: vec![List::EMPTY; CALENDAR_ROUNDS],
            links: Links::default(),
            occupied: [0; BITMAP_WORDS],
            round: 0,
        }
    }

    fn bucket(&self, rounds_ahead: u64) -> usize {
        (self.round + rounds_ahead) as usize % CALENDAR_ROUNDS
    }

    fn push_back(&mut self, bucket: usize, team: u32) {
        self.buckets[bucket].push_back(&mut self.links, team);
        self.occupied[bucket / 64] |= 1 << (bucket % 64);
    }

    fn push_front(&mut self, bucket: usize, team: u32) {
        self.buckets[bucket].push_front(&mut self.links, team);
        self.occupied[bucket / 64] |= 1 << (bucket % 64);
    }

    fn remove(&mut self, bucket: usize, team: u32) {
        self.buckets[bucket].remove(&mut self.links, team);
        if self.buckets[bucket].is_empty() {
            self.occupied[bucket / 64] &= !(1 << (bucket % 64));
        }
    }

    /// Advances to the first round with a team and returns the team at its front.
    fn first(&mut self) -> Option<u32> {
        let start = self.bucket(0);
        let (word, bit) = (start / 64, start % 64);
        let ahead = (0..=BITMAP_WORDS).find_map(|step| {
            let index = (word + step) % BITMAP_WORDS;
            let mask = match step {
                0 => u64::MAX << bit,
                BITMAP_WORDS => !(u64::MAX << bit),
                _ => u64::MAX,
            };
            let bits = self.occupied[index] & mask;
            (bits != 0).then(|| step * 64 + bits.trailing_zeros() as usize - bit)
        })?;
        self.round += ahead as u64;
        self.buckets[self.bucket(0)].front()
    }
}

/// Queues of the teams of one class.
#[derive(Debug)]
pub(crate) struct TeamQueues {
    by_id: FastMap<TeamId, u32>,
    calendar: Calendar,
    /// Moving average of the costs of the pushed tasks.
    mean_cost: u64,
    queued: usize,
    queued_cost: u64,
    /// Sum of the weights of teams with queued tasks.
    queued_weight: u64,
    running: u32,
    running_cost: u64,
    teams: Slab<Team>,
}

impl TeamQueues {
    pub(crate) fn new() -> Self {
        Self {
            by_id: FastMap::default(),
            calendar: Calendar::new(),
            mean_cost: 0,
            queued: 0,
            queued_cost: 0,
            queued_weight: 0,
            running: 0,
            running_cost: 0,
            teams: Slab::new(),
        }
    }

    pub(crate) const fn queued(&self) -> usize {
        self.queued
    }

    /// Sum of the costs of the queued tasks in nanoseconds.
    pub(crate) const fn queued_cost(&self) -> u64 {
        self.queued_cost
    }

    pub(crate) const fn running(&self) -> u32 {
        self.running
    }

    pub(crate) const fn running_cost(&self) -> u64 {
        self.running_cost
    }

    pub(crate) fn team_count(&self) -> usize {
        self.teams.len()
    }

    /// Updates the weights of all teams that have queued or running tasks.
    pub(crate) fn set_weights(&mut self, weight_of: impl Fn(&TeamId) -> u32) {
        self.queued_weight = 0;
        for team in self.teams.iter_mut() {
            team.weight = weight_of(&team.id);
            if !team.tasks.is_empty() {
                self.queued_weight += u64::from(team.weight);
            }
        }
    }

    pub(crate) fn set_weight(&mut self, team: &TeamId, weight: u32) {
        let Some(team) = self.by_id.get(team).and_then(|&index| self.teams.get_mut(index)) else { return };
        if !team.tasks.is_empty() {
            self.queued_weight = self.queued_weight - u64::from(team.weight) + u64::from(weight);
        }
        team.weight = weight;
    }

    /// Number of queued tasks of a team.
    pub(crate) fn queued_by_team(&self, team: &TeamId) -> usize {
        self.team(team).map_or(0, |team| team.queued)
    }

    /// Cost of the queued tasks that start before a new task of the team.
    ///
    /// While the team's own tasks start, each other team starts tasks in proportion to its weight at most. So
    /// the backlog of a team that floods the class counts only in part.
    pub(crate) fn cost_ahead(&self, team: &TeamId, weight: u32) -> u64 {
        let own_cost = self.team(team).map_or(0, |team| team.queued_cost);
        let is_queued = self.team(team).is_some_and(|team| !team.tasks.is_empty());
        let weight = u128::from(weight.max(1));
        let others = u128::from(self.queued_weight)
            - if is_queued { weight.min(self.queued_weight.into()) } else { 0 };
        let rounds_cost =
            u128::from(own_cost) + u128::from(self.mean_cost) * weight / u128::from(UNIT_WEIGHT);
        let behind = u128::from(own_cost) + rounds_cost * others / weight;
        u64::try_from(behind).unwrap_or(u64::MAX).min(self.queued_cost)
    }

    fn team(&self, team: &TeamId) -> Option<&Team> {
        self.teams.get(*self.by_id.get(team)?)
    }

    /// Appends a task and returns the index of its team.
    pub(crate) fn push(
        &mut self,
        links: &mut Links,
        task: u32,
        cost: u64,
        team: &TeamId,
        weight: u32,
    ) -> u32 {
        self.update_mean_cost(cost);
        let index = self.team_index(team, weight);
        let Some(record) = self.teams.get_mut(index) else { return index };
        record.tasks.push_back(links, task);
        let was_idle = record.bucket == NOT_SCHEDULED;
        self.count_queued(index, cost);
        if was_idle {
            self.activate(index);
        }
        index
    }

    /// Puts a started task back at the head of its team's queue and refunds its cost, so that the team keeps
    /// its turn. Returns the index of the team.
    pub(crate) fn push_front(
        &mut self,
        links: &mut Links,
        task: u32,
        cost: u64,
        team: &TeamId,
        weight: u32,
    ) -> u32 {
        let index = self.team_index(team, weight);
        let quantum = self.quantum(index);
        let Some(record) = self.teams.get_mut(index) else { return index };
        if record.running > 0 {
            record.running -= 1;
            record.charged_cost = record.charged_cost.saturating_sub(cost);
            self.running = self.running.saturating_sub(1);
            self.running_cost = self.running_cost.saturating_sub(cost);
        }
        record.tasks.push_front(links, task);
        record.deficit = (record.deficit + cost as i64).min(quantum);
        record.credit = 0;
        let bucket = std::mem::replace(&mut record.bucket, NOT_SCHEDULED);
        let has_turn = record.deficit > 0;
        if bucket != NOT_SCHEDULED {
            self.calendar.remove(usize::from(bucket), index);
        }
        self.count_queued(index, cost);
        if has_turn {
            let current = self.calendar.bucket(0);
            self.calendar.push_front(current, index);
            self.set_bucket(index, current);
        } else {
            self.schedule(index);
        }
        index
    }

    /// Returns the index of the team whose turn it is, and its first task.
    pub(crate) fn select(&mut self) -> Option<(u32, u32)> {
        loop {
            let index = self.calendar.first()?;
            let team = self.teams.get_mut(index)?;
            team.deficit += std::mem::take(&mut team.credit);
            if team.deficit > 0 {
                return Some((index, team.tasks.front()?));
            }
            // The deficit fell since the team was scheduled, because a task ran longer than estimated.
            self.calendar.remove(usize::from(team.bucket), index);
            self.schedule(index);
        }
    }

    /// Removes the task that `select` returned and counts it as running.
    pub(crate) fn start(&mut self, links: &mut Links, index: u32, task: u32, cost: u64) {
        let Some(team) = self.teams.get_mut(index) else { return };
        team.running += 1;
        team.charged_cost += cost;
        team.deficit -= cost as i64;
        let (bucket, is_spent) = (usize::from(team.bucket), team.deficit <= 0);
        self.running += 1;
        self.running_cost += cost;
        self.remove(links, index, task, cost);
        let is_scheduled = self.teams.get(index).is_some_and(|team| team.bucket != NOT_SCHEDULED);
        if is_scheduled && is_spent {
            self.calendar.remove(bucket, index);
            self.schedule(index);
        }
    }

    /// Removes a queued task.
    pub(crate) fn remove(&mut self, links: &mut Links, index: u32, task: u32, cost: u64) {
        let Some(team) = self.teams.get_mut(index) else { return };
        team.tasks.remove(links, task);
        team.queued -= 1;
        team.queued_cost -= cost;
        self.queued -= 1;
        self.queued_cost -= cost;
        if team.tasks.is_empty() {
            self.queued_weight -= u64::from(team.weight);
            let bucket = std::mem::replace(&mut team.bucket, NOT_SCHEDULED);
            team.credit = 0;
            team.emptied_round = self.calendar.round;
            self.calendar.remove(usize::from(bucket), index);
            self.remove_if_idle(index);
        }
    }

    /// Records the end of a running task and charges the difference between run time and estimate to its
    /// team.
    pub(crate) fn finish_task(&mut self, team: &TeamId, run_time: u64) {
        let Some(&index) = self.by_id.get(team) else { return };
        let quantum = self.quantum(index);
        let Some(team) = self.teams.get_mut(index) else { return };
        if team.running == 0 {
            return;
        }
        let cost = team.charged_cost / u64::from(team.running);
        team.charged_cost -= cost;
        team.running -= 1;
        team.deficit = (team.deficit + cost as i64 - run_time as i64).min(quantum);
        self.running = self.running.saturating_sub(1);
        self.running_cost = self.running_cost.saturating_sub(cost);
        self.remove_if_idle(index);
    }

    /// Updates the counts after a task was linked into the team's queue.
    fn count_queued(&mut self, index: u32, cost: u64) {
        let Some(team) = self.teams.get_mut(index) else { return };
        if team.queued == 0 {
            self.queued_weight += u64::from(team.weight);
        }
        team.queued += 1;
        team.queued_cost += cost;
        self.queued += 1;
        self.queued_cost += cost;
    }

    /// Removes a team that has neither queued nor running tasks.
    fn remove_if_idle(&mut self, index: u32) {
        let idle = |team: &Team| team.tasks.is_empty() && team.running == 0;
        if !self.teams.get(index).is_some_and(idle) {
            return;
        }
        if let Some(team) = self.teams.remove(index) {
            self.by_id.remove(&team.id);
        }
        // Keeps the map's size proportional to the number of teams, at amortised constant cost.
        if self.by_id.capacity() > 64 && self.by_id.len() * 8 < self.by_id.capacity() {
            self.by_id.shrink_to(self.by_id.len() * 2);
        }
    }

    fn team_index(&mut self, team: &TeamId, weight: u32) -> u32 {
        if let Some(&index) = self.by_id.get(team) {
            return index;
        }
        let index = self.teams.insert(Team {
            charged_cost: 0,
            bucket: NOT_SCHEDULED,
            deficit: 0,
            credit: 0,
            id: team.clone(),
            emptied_round: self.calendar.round,
            queued: 0,
            queued_cost: 0,
            running: 0,
            tasks: List::EMPTY,
            weight,
        });
        self.by_id.insert(team.clone(), index);
        index
    }

    fn update_mean_cost(&mut self, cost: u64) {
        if self.mean_cost == 0 {
            self.mean_cost = cost;
            return;
        }
        let step = (cost as i64 - self.mean_cost as i64) / MEAN_COST_DIVISOR;
        self.mean_cost = (self.mean_cost as i64 + step).max(1) as u64;
    }

    /// Cost that a team may start per round, in proportion to its weight.
    fn quantum(&self, index: u32) -> i64 {
        let weight = self.teams.get(index).map_or(UNIT_WEIGHT, |team| u64::from(team.weight));
        (self.mean_cost * weight / UNIT_WEIGHT).max(1) as i64
    }

    /// Schedules a team whose queue was empty. Its debt is reduced for the rounds that have passed, but
    /// unused rounds earn no credit.
    fn activate(&mut self, index: u32) {
        let quantum = self.quantum(index);
        let round = self.calendar.round;
        if let Some(team) = self.teams.get_mut(index) {
            let passed = (round - team.emptied_round).min(CALENDAR_ROUNDS as u64) as i64;
            team.deficit = (team.deficit + passed * quantum).min(0);
        }
        self.schedule(index);
    }

    /// Schedules a team in the first round in which its deficit is positive.
    fn schedule(&mut self, index: u32) {
        let quantum = self.quantum(index);
        let Some(team) = self.teams.get_mut(index) else { return };
        let max_rounds = CALENDAR_ROUNDS as i64 - 1;
        team.deficit = team.deficit.max(1 - quantum * max_rounds);
        let rounds = (-team.deficit).max(0) / quantum + 1;
        let rounds = rounds.min(max_rounds);
        team.credit = rounds * quantum;
        let bucket = self.calendar.bucket(rounds as u64);
        self.calendar.push_back(bucket, index);
        self.set_bucket(index, bucket);
    }

    fn set_bucket(&mut self, index: u32, bucket: usize) {
        if let Some(team) = self.teams.get_mut(index) {
            team.bucket = bucket as u16;
        }
    }
}
