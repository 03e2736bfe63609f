//! Task builders and a small simulation of a scheduler in virtual time.
#![allow(dead_code, reason = "each test file uses a part")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use hinge_conf::Policy;
use hinge_sched::{AdmitRequest, Notice, QueuedTask, Scheduler};
use hinge_wire::{Class, TaskId, TeamId};
use tokio::time::Instant;

pub(crate) const MS: Duration = Duration::from_millis(1);

pub(crate) fn task(
    sequence: u64,
    class: Class,
    team: &str,
    now: Instant,
    cost: Duration,
    wait: Duration,
) -> QueuedTask {
    QueuedTask {
        class,
        cost,
        enqueued_at: now,
        id: TaskId { sequence, index: 0 },
        start_by: now + wait,
        team: team.into(),
    }
}

/// Steady arrivals of one team's tasks.
pub(crate) struct Flow {
    pub(crate) class: Class,
    /// Estimated run time.
    pub(crate) cost: Duration,
    /// Tasks per second.
    pub(crate) rate: f64,
    pub(crate) run_time: Duration,
    pub(crate) team: &'static str,
}

impl Flow {
    pub(crate) fn new(class: Class, team: &'static str, rate: f64, run_time_ms: u32) -> Self {
        Self { class, cost: MS * run_time_ms, rate, run_time: MS * run_time_ms, team }
    }
}

/// Statistics of the tasks of one team.
#[derive(Default)]
pub(crate) struct TeamStats {
    pub(crate) expired: u32,
    pub(crate) refused: u32,
    /// Slot seconds used.
    pub(crate) used: f64,
    pub(crate) waits: Vec<Duration>,
}

/// Simulation in steps of 1 ms: arrivals, ends of tasks, expiry, starts on free slots.
pub(crate) struct Sim {
    ends: BinaryHeap<Reverse<(Instant, Class, TeamId, Duration)>>,
    /// Slot seconds in which slots were idle.
    pub(crate) idle: f64,
    next_id: u64,
    pub(crate) notices: Vec<Notice>,
    pub(crate) now: Instant,
    pub(crate) scheduler: Scheduler,
    pub(crate) stats: BTreeMap<&'static str, TeamStats>,
    slots: usize,
    /// By team, the fraction of its next arrival that is due and its run time.
    sources: BTreeMap<&'static str, (f64, Duration)>,
}

impl Sim {
    pub(crate) fn new(policy: &Policy, slots: u32) -> Self {
        let mut scheduler = Scheduler::new(policy);
        scheduler.set_capacity(slots);
        Self {
            ends: BinaryHeap::new(),
            idle: 0.0,
            next_id: 0,
            notices: Vec::new(),
            now: Instant::now(),
            scheduler,
            stats: BTreeMap::new(),
            slots: slots as usize,
            sources: BTreeMap::new(),
        }
    }

    /// Runs the flows for `time` and resets the statistics before.
    pub(crate) fn run(&mut self, time: Duration, flows: &[Flow]) {
        self.stats = flows.iter().map(|flow| (flow.team, TeamStats::default())).collect();
        self.idle = 0.0;
        for flow in flows {
            self.sources.entry(flow.team).or_default().1 = flow.run_time;
        }
        let end = self.now + time;
        while self.now < end {
            self.now += MS;
            for flow in flows {
                self.arrive(flow);
            }
            self.step();
        }
    }

    fn arrive(&mut self, flow: &Flow) {
        let source = self.sources.entry(flow.team).or_default();
        source.0 += flow.rate / 1000.0;
        while self.sources[flow.team].0 >= 1.0 {
            self.sources.entry(flow.team).or_default().0 -= 1.0;
            self.next_id += 1;
            let wait = Duration::from_secs(if flow.class == Class::Batch { 300 } else { 15 });
            let task = task(self.next_id, flow.class, flow.team, self.now, flow.cost, wait);
            let QueuedTask { class, cost, start_by, .. } = task;
            let request = AdmitRequest { class, cost, start_by, tasks: 1, team: &task.team };
            match self.scheduler.admit(self.now, &request) {
                Ok(()) => self.scheduler.push(self.now, task),
                Err(_) => self.stats.entry(flow.team).or_default().refused += 1,
            }
        }
    }

    fn step(&mut self) {
        while let Some(Reverse((at, ..))) = self.ends.peek()
            && *at <= self.now
        {
            let Some(Reverse((_, class, team, run_time))) = self.ends.pop() else { break };
            self.scheduler.finish_task(class, &team, run_time);
        }
        let mut expired = Vec::new();
        self.scheduler.expire(self.now, &mut expired);
        for task in expired {
            self.stats_of(&task.team).expired += 1;
        }
        while self.ends.len() < self.slots {
            let Some(task) = self.scheduler.next(self.now) else { break };
            // Run times vary from 50% to 150%, so that tasks do not end together.
            let spread = 50 + task.id.sequence.wrapping_mul(7919) % 101;
            let run_time = self.sources[&*task.team].1 * spread as u32 / 100;
            let wait = self.now - task.enqueued_at;
            self.stats_of(&task.team).waits.push(wait);
            self.ends.push(Reverse((self.now + run_time, task.class, task.team, run_time)));
        }
        let running: Vec<TeamId> = self.ends.iter().map(|Reverse((_, _, team, _))| team.clone()).collect();
        for team in running {
            self.stats_of(&team).used += 0.001;
        }
        self.idle += (self.slots - self.ends.len()) as f64 * 0.001;
        self.scheduler.take_notices(&mut self.notices);
    }

    fn stats_of(&mut self, team: &str) -> &mut TeamStats {
        let name = self.sources.keys().find(|name| **name == team).copied().unwrap_or("unknown");
        self.stats.entry(name).or_default()
    }

    /// 99th percentile of the waits of a team's started tasks.
    pub(crate) fn wait_p99(&self, team: &str) -> Duration {
        let mut waits = self.stats[team].waits.clone();
        waits.sort_unstable();
        waits.get(waits.len() * 99 / 100).copied().unwrap_or_default()
    }
}
