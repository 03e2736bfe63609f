//! The naive version: random upstream, first come first served, plain retry.
//!
//! An entry sends every task to a random upstream of its data centre as soon as it arrives. A busy upstream rejects;
//! the task waits a moment and tries another one. A failed task is tried again, up to a number of attempts.

use std::time::Duration;

use hinge_wire::Class;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::clock::EventQueue;
use crate::fleet::{Fleet, Reception};
use crate::recorder::{Ended, Messages, Record};
use crate::scenario::Scenario;
use crate::workload::Arrival;

/// Wait before a rejected task is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// Longest wait; it doubles with each rejection.
const RETRY_DELAY_LIMIT: Duration = Duration::from_secs(1);
/// Attempts of a failing task.
const ATTEMPTS: u32 = 3;
/// Time after which a task without an answer counts as failed.
const TASK_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone, Copy)]
struct Task {
    arrival: usize,
    attempts: u32,
    index: usize,
    rejections: u32,
}

enum Step {
    Arrive(usize),
    Ends { fails: bool, task: Task, upstream: usize },
    Fault(usize),
    Reach { task: Task, upstream: usize },
    Returned { fails: bool, task: Task },
    Try(Task),
}

struct Job {
    data_centre: usize,
    ended: bool,
    left: usize,
    path: Duration,
}

struct Driver<'a> {
    arrivals: &'a [Arrival],
    data_centres: Vec<usize>,
    ended: Vec<Option<Ended>>,
    fleet: Fleet,
    jobs: Vec<Job>,
    members: Vec<Vec<usize>>,
    messages: Messages,
    queue: EventQueue<Step>,
    rng: SmallRng,
    scenario: &'a Scenario,
}

/// Runs a scenario.
#[must_use]
pub fn run(scenario: &Scenario, arrivals: &[Arrival]) -> Record {
    let fleet = Fleet::new(&scenario.shape, scenario.failing_share);
    let count = scenario.shape.upstreams.len();
    let mut driver = Driver {
        arrivals,
        data_centres: scenario.shape.entry_data_centres(),
        ended: vec![None; arrivals.len()],
        jobs: Vec::with_capacity(arrivals.len()),
        members: (0..count).map(|data_centre| fleet.in_data_centre(data_centre).collect()).collect(),
        fleet,
        messages: Messages::default(),
        queue: EventQueue::default(),
        rng: SmallRng::seed_from_u64(scenario.workload.seed),
        scenario,
    };
    driver.start();
    while let Some(step) = driver.queue.next_event_until(scenario.end()) {
        driver.step(step);
    }
    Record { ended: driver.ended, messages: driver.messages }
}

impl Driver<'_> {
    fn start(&mut self) {
        for (index, arrival) in self.arrivals.iter().enumerate() {
            let entry = self.rng.random_range(0..self.data_centres.len());
            let path = self.scenario.shape.client_delay;
            self.jobs.push(Job {
                data_centre: self.data_centres[entry],
                ended: false,
                left: arrival.run_times.len(),
                path,
            });
            self.queue.at(arrival.at + path, Step::Arrive(index));
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.queue.at(fault.at, Step::Fault(index));
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(arrival) => {
                for index in 0..self.arrivals[arrival].run_times.len() {
                    self.send(Task { arrival, attempts: 0, index, rejections: 0 });
                }
            }
            Step::Ends { fails, task, upstream } => {
                self.fleet.release(upstream);
                self.queue.after(self.scenario.shape.intra_delay, Step::Returned { fails, task });
            }
            Step::Fault(index) => {
                let fault = &self.scenario.faults[index];
                self.fleet.upstreams[fault.upstream].behaviour = fault.behaviour;
            }
            Step::Reach { task, upstream } => self.reach(task, upstream),
            Step::Returned { fails, task } => self.returned(fails, task),
            Step::Try(task) => self.send(task),
        }
    }

    fn send(&mut self, task: Task) {
        let job = &self.jobs[task.arrival];
        if job.ended {
            return;
        }
        if self.queue.now() > self.arrivals[task.arrival].at + deadline(self.scenario, task, self.arrivals) {
            self.end(task.arrival, false);
            return;
        }
        let members = &self.members[job.data_centre];
        let upstream = members[self.rng.random_range(0..members.len())];
        self.messages.starts += 1;
        self.queue.after(self.scenario.shape.intra_delay, Step::Reach { task, upstream });
    }

    fn reach(&mut self, task: Task, upstream: usize) {
        let run_time = self.arrivals[task.arrival].run_times[task.index];
        let delay = self.scenario.shape.intra_delay;
        match self.fleet.receive(upstream, run_time) {
            Reception::Accepted { fails, time } => {
                let frozen = time.is_none_or(|time| time > TASK_TIMEOUT);
                let time = time.unwrap_or(TASK_TIMEOUT).min(TASK_TIMEOUT);
                self.queue.after(time, Step::Ends { fails: fails || frozen, task, upstream });
            }
            Reception::Busy | Reception::Unreachable => {
                self.messages.wasted += 1;
                let wait = (RETRY_DELAY * (1 << task.rejections.min(10))).min(RETRY_DELAY_LIMIT);
                let task = Task { rejections: task.rejections + 1, ..task };
                self.queue.after(delay + wait, Step::Try(task));
            }
        }
    }

    fn returned(&mut self, fails: bool, mut task: Task) {
        if self.jobs[task.arrival].ended {
            self.messages.wasted += 1;
            return;
        }
        if fails {
            task.attempts += 1;
            if task.attempts >= ATTEMPTS {
                self.end(task.arrival, false);
            } else {
                self.messages.wasted += 1;
                self.send(task);
            }
            return;
        }
        self.jobs[task.arrival].left -= 1;
        if self.jobs[task.arrival].left == 0 {
            self.end(task.arrival, true);
        }
    }

    fn end(&mut self, arrival: usize, complete: bool) {
        let job = &mut self.jobs[arrival];
        job.ended = true;
        let at = self.queue.now() + job.path;
        self.ended[arrival] = Some(Ended { at, complete, not_run: false });
    }
}

fn deadline(scenario: &Scenario, task: Task, arrivals: &[Arrival]) -> Duration {
    let policy = &scenario.policy;
    Duration::from_millis(match arrivals[task.arrival].class {
        Class::Urgent => policy.urgent_deadline_ms,
        Class::Booking => policy.booking_deadline_ms,
        Class::Query => policy.query_deadline_ms,
        Class::Batch => policy.batch_deadline_ms,
    })
}
