//! Comparison of the scheduler with a naive model, over random operations.

mod common;

use std::time::Duration;

use common::{MS, task};
use hinge_conf::Policy;
use hinge_sched::{QueuedTask, Scheduler};
use hinge_wire::{Class, TaskId};
use proptest::prelude::{Strategy, prop, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use proptest::{prop_assert, prop_assert_eq};
use tokio::time::Instant;

#[derive(Clone, Debug)]
enum Op {
    Advance(u64),
    Cancel(usize),
    Capacity(u32),
    End(usize, u64),
    Expire,
    Next,
    Push { class: usize, cost: u64, team: u8, wait: u64 },
    Requeue(usize),
    Weight(u8, u32),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => prop_oneof![0..5_u64, 0..2_000_000_000_u64, 0..500_000_000_000_u64].prop_map(Op::Advance),
        2 => (0..1000_usize).prop_map(Op::Cancel),
        1 => (0..12_u32).prop_map(Op::Capacity),
        3 => (0..1000_usize, 0..90_000_u64).prop_map(|(index, run)| Op::End(index, run)),
        1 => prop::strategy::Just(Op::Expire),
        8 => prop::strategy::Just(Op::Next),
        10 => (0..4_usize, 0..90_000_u64, 0..6_u8, prop_oneof![0..10_u64, 0..400_000_000_000_u64])
            .prop_map(|(class, cost, team, wait)| Op::Push { class, cost, team, wait }),
        2 => (0..1000_usize).prop_map(Op::Requeue),
        1 => (0..6_u8, 0..20_000_u32).prop_map(|(team, weight)| Op::Weight(team, weight)),
    ]
}

/// A scheduler and its naive model: queued tasks in order, running tasks and expired tasks, all searched
/// linearly.
struct Model {
    capacity: u32,
    expired: Vec<TaskId>,
    last_urgent: Option<Instant>,
    now: Instant,
    queued: Vec<QueuedTask>,
    running: Vec<QueuedTask>,
    scheduler: Scheduler,
    sequence: u64,
}

impl Model {
    fn apply(&mut self, op: &Op) -> Result<(), TestCaseError> {
        match *op {
            Op::Advance(nanos) => self.now += Duration::from_nanos(nanos),
            Op::Capacity(slots) => {
                self.capacity = slots;
                self.scheduler.set_capacity(slots);
            }
            Op::Weight(team, weight) => self.scheduler.set_team_weight(&format!("t{team}").into(), weight),
            Op::Push { class, cost, team, wait } => self.push(Class::ALL[class], cost, team, wait),
            Op::Cancel(index) => self.cancel(index)?,
            Op::End(index, run_time) if !self.running.is_empty() => {
                let task = self.running.swap_remove(index % self.running.len());
                self.scheduler.finish_task(task.class, &task.team, MS * run_time as u32);
            }
            Op::Requeue(index) if !self.running.is_empty() => {
                let task = self.running.swap_remove(index % self.running.len());
                self.scheduler.requeue(self.now, task.clone());
                self.queued.insert(0, task);
            }
            Op::End(..) | Op::Requeue(_) => {}
            Op::Expire => self.expire()?,
            Op::Next => self.next()?,
        }
        self.check()
    }

    fn end_all(&mut self) {
        for task in self.running.drain(..) {
            self.scheduler.finish_task(task.class, &task.team, MS);
        }
    }

    fn push(&mut self, class: Class, cost: u64, team: u8, wait: u64) {
        self.sequence += 1;
        let wait = Duration::from_nanos(wait);
        let task = task(self.sequence, class, &format!("t{team}"), self.now, MS * cost as u32, wait);
        if class == Class::Urgent {
            self.last_urgent = Some(self.now);
        }
        self.scheduler.push(self.now, task.clone());
        self.queued.push(task);
    }

    /// Moves late tasks from `queued` to `expired`, as the scheduler does in `next` and `expire`.
    fn drop_late(&mut self) {
        let now = self.now;
        self.expired.extend(self.queued.extract_if(.., |task| now > task.start_by).map(|task| task.id));
    }

    fn cancel(&mut self, index: usize) -> Result<(), TestCaseError> {
        // Also cancels tasks that are running, ended or unknown.
        let id = TaskId { sequence: index as u64 % (self.sequence + 2), index: 0 };
        let position = self.queued.iter().position(|task| task.id == id);
        let before = self.scheduler.queued();
        let is_cancelled = self.scheduler.cancel(id);
        prop_assert_eq!(self.scheduler.queued(), before - usize::from(is_cancelled));
        match position {
            Some(position) if is_cancelled => drop(self.queued.remove(position)),
            // Only a late task may have left the queue already; it must be reported as expired.
            Some(position) => prop_assert!(self.now > self.queued[position].start_by),
            None => prop_assert!(!is_cancelled),
        }
        Ok(())
    }

    fn expire(&mut self) -> Result<(), TestCaseError> {
        let mut expired = Vec::new();
        self.scheduler.expire(self.now, &mut expired);
        self.drop_late();
        let mut ids: Vec<TaskId> = expired.iter().map(|task| task.id).collect();
        let mut expected = std::mem::take(&mut self.expired);
        ids.sort_unstable();
        expected.sort_unstable();
        prop_assert_eq!(ids, expected);
        prop_assert_eq!(self.scheduler.queued(), self.queued.len());
        let classes = Class::ALL.into_iter();
        let most_urgent = classes.clone().find(|class| self.queued.iter().any(|task| task.class == *class));
        prop_assert_eq!(self.scheduler.most_urgent_queued(), most_urgent);
        Ok(())
    }

    fn next(&mut self) -> Result<(), TestCaseError> {
        let next = self.scheduler.next(self.now);
        self.drop_late();
        let Some(task) = next else {
            prop_assert!(self.queued.is_empty() || self.keeps_headroom(), "a queued task was not offered");
            return Ok(());
        };
        // It must be the first queued task of its team and class, and so neither cancelled, expired, running
        // nor ended.
        let same = |other: &QueuedTask| other.class == task.class && other.team == task.team;
        let position = self.queued.iter().position(same);
        prop_assert_eq!(position.map(|position| &self.queued[position]), Some(&task));
        self.check_class(task.class)?;
        self.running.push(self.queued.remove(position.unwrap_or_default()));
        Ok(())
    }

    /// Whether the free slots are headroom: urgent work was queued in the last 10 s, 5% of the capacity or
    /// less is free, no urgent task waits, and no class with queued work is below the whole slots of its
    /// share.
    fn keeps_headroom(&self) -> bool {
        let is_recent = self.last_urgent.is_some_and(|last| self.now - last < MS * 10_000);
        let headroom = (self.capacity * 5).div_ceil(100).min(self.capacity.saturating_sub(1));
        let few_free = headroom > 0 && self.running.len() as u32 + headroom >= self.capacity;
        let waits = |class: Class| self.queued.iter().any(|task| task.class == class);
        let running = |class: Class| self.running.iter().filter(|task| task.class == class).count() as u32;
        let share = |class: Class| self.capacity * [40, 25, 10, 15][class.index()];
        let below = |class: &Class| waits(*class) && (running(*class) + 1) * 100 <= share(*class);
        is_recent && few_free && !waits(Class::Urgent) && !Class::ALL.iter().any(below)
    }

    /// Checks that, while a class is below the whole slots of its share, a slot goes to it or to a more
    /// urgent class that is below its share too.
    fn check_class(&self, chosen: Class) -> Result<(), TestCaseError> {
        let percent = |class: Class| self.capacity.max(1) * [40, 25, 10, 15][class.index()];
        let has_work = |class: Class| self.queued.iter().any(|task| task.class == class);
        let running = |class: Class| self.running.iter().filter(|task| task.class == class).count() as u32;
        let below = |class: &Class| has_work(*class) && (running(*class) + 1) * 100 <= percent(*class);
        if let Some(first) = Class::ALL.into_iter().find(below) {
            prop_assert!(chosen <= first, "{:?} was below its share, {:?} got the slot", first, chosen);
            prop_assert!(running(chosen) * 100 < percent(chosen), "{:?} was above its share", chosen);
        }
        Ok(())
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for class in Class::ALL {
            let running = self.running.iter().filter(|task| task.class == class).count();
            prop_assert_eq!(self.scheduler.running_in(class) as usize, running);
        }
        let late = self.queued.iter().filter(|task| self.now > task.start_by).count();
        let queued = self.scheduler.queued();
        prop_assert!((self.queued.len() - late..=self.queued.len()).contains(&queued));
        prop_assert_eq!(
            Class::ALL.map(|class| self.scheduler.queued_in(class)).iter().sum::<usize>(),
            queued
        );
        Ok(())
    }
}

/// Guards against tasks that are lost, returned twice, or returned after their cancellation or expiry,
/// against counts that drift, and against state that outlives its teams.
#[test]
fn random_operations_match_model() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let result = TestRunner::new_with_rng(config, rng).run(&prop::collection::vec(op(), 1..400), |ops| {
        let mut model = Model {
            capacity: 0,
            expired: Vec::new(),
            last_urgent: None,
            now: Instant::now(),
            queued: Vec::new(),
            running: Vec::new(),
            scheduler: Scheduler::new(&Policy::default()),
            sequence: 0,
        };
        for op in &ops {
            model.apply(op)?;
        }
        while !model.queued.is_empty() {
            model.next()?;
            if model.keeps_headroom() {
                model.end_all();
            }
        }
        model.expire()?;
        model.end_all();
        model.check()?;
        prop_assert_eq!(model.scheduler.active_teams(), 0);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
