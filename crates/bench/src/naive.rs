//! Simulation of a naive dispatcher as a baseline: random upstreams, no queues, retries with backoff.
//!
//! An entry sends each task to a random upstream of its data centre as soon as it arrives. When the upstream is busy or
//! unreachable, the task is sent to a random upstream again after an exponential backoff. A failed task is retried at
//! once, up to a number of attempts.

use std::time::Duration;

use hinge_wire::Class;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::clock::EventQueue;
use crate::fleet::{Fleet, StartOutcome};
use crate::recorder::{MessageCounts, RunRecord, SubmissionEnd};
use crate::scenario::Scenario;
use crate::workload::Arrival;

/// Backoff after the first rejection of a task; it doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Longest backoff of a rejected task.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Number of failed attempts after which a task's submission fails.
const MAX_ATTEMPTS: u32 = 3;
/// Time after which a running task counts as failed.
const TASK_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone, Copy)]
struct Task {
    arrival: usize,
    attempts: u32,
    index: usize,
    rejections: u32,
}

enum SimEvent {
    Arrive(usize),
    End { fails: bool, task: Task, upstream: usize },
    Fault(usize),
    Start { task: Task, upstream: usize },
    Result { fails: bool, task: Task },
    Retry(Task),
}

struct SubmissionState {
    data_centre: usize,
    has_ended: bool,
    remaining_tasks: usize,
    caller_delay: Duration,
}

struct Simulation<'a> {
    arrivals: &'a [Arrival],
    entry_data_centres: Vec<usize>,
    ended: Vec<Option<SubmissionEnd>>,
    fleet: Fleet,
    submissions: Vec<SubmissionState>,
    upstreams_by_data_centre: Vec<Vec<usize>>,
    messages: MessageCounts,
    queue: EventQueue<SimEvent>,
    rng: SmallRng,
    scenario: &'a Scenario,
}

/// Runs a scenario to its end in virtual time.
#[must_use]
pub fn run(scenario: &Scenario, arrivals: &[Arrival]) -> RunRecord {
    let fleet = Fleet::new(&scenario.deployment, scenario.failing_share);
    let count = scenario.deployment.upstreams.len();
    let mut simulation = Simulation {
        arrivals,
        entry_data_centres: scenario.deployment.entry_data_centres(),
        ended: vec![None; arrivals.len()],
        submissions: Vec::with_capacity(arrivals.len()),
        upstreams_by_data_centre: (0..count)
            .map(|data_centre| fleet.in_data_centre(data_centre).collect())
            .collect(),
        fleet,
        messages: MessageCounts::default(),
        queue: EventQueue::default(),
        rng: SmallRng::seed_from_u64(scenario.workload.seed),
        scenario,
    };
    simulation.start();
    while let Some(event) = simulation.queue.next_event_until(scenario.end()) {
        simulation.handle_event(event);
    }
    RunRecord { ended: simulation.ended, messages: simulation.messages }
}

impl Simulation<'_> {
    fn start(&mut self) {
        for (index, arrival) in self.arrivals.iter().enumerate() {
            let entry = self.rng.random_range(0..self.entry_data_centres.len());
            let caller_delay = self.scenario.deployment.client_delay;
            self.submissions.push(SubmissionState {
                data_centre: self.entry_data_centres[entry],
                has_ended: false,
                remaining_tasks: arrival.run_times.len(),
                caller_delay,
            });
            self.queue.push_at(arrival.at + caller_delay, SimEvent::Arrive(index));
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.queue.push_at(fault.at, SimEvent::Fault(index));
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(arrival) => {
                for index in 0..self.arrivals[arrival].run_times.len() {
                    self.send_start(Task { arrival, attempts: 0, index, rejections: 0 });
                }
            }
            SimEvent::End { fails, task, upstream } => {
                self.fleet.release_slot(upstream);
                self.queue.push_in(self.scenario.deployment.intra_delay, SimEvent::Result { fails, task });
            }
            SimEvent::Fault(index) => {
                let fault = &self.scenario.faults[index];
                self.fleet.upstreams[fault.upstream].behaviour = fault.behaviour;
            }
            SimEvent::Start { task, upstream } => self.receive_start(task, upstream),
            SimEvent::Result { fails, task } => self.receive_result(fails, task),
            SimEvent::Retry(task) => self.send_start(task),
        }
    }

    fn send_start(&mut self, task: Task) {
        let submission = &self.submissions[task.arrival];
        if submission.has_ended {
            return;
        }
        if self.queue.now() > self.arrivals[task.arrival].at + deadline(self.scenario, task, self.arrivals) {
            self.record_end(task.arrival, false);
            return;
        }
        let upstreams = &self.upstreams_by_data_centre[submission.data_centre];
        let upstream = upstreams[self.rng.random_range(0..upstreams.len())];
        self.messages.starts += 1;
        self.queue.push_in(self.scenario.deployment.intra_delay, SimEvent::Start { task, upstream });
    }

    fn receive_start(&mut self, task: Task, upstream: usize) {
        let run_time = self.arrivals[task.arrival].run_times[task.index];
        let delay = self.scenario.deployment.intra_delay;
        match self.fleet.start_task(upstream, run_time) {
            StartOutcome::Accepted { fails, duration } => {
                let timed_out = duration.is_none_or(|duration| duration > TASK_TIMEOUT);
                let duration = duration.unwrap_or(TASK_TIMEOUT).min(TASK_TIMEOUT);
                self.queue.push_in(duration, SimEvent::End { fails: fails || timed_out, task, upstream });
            }
            StartOutcome::Busy | StartOutcome::Unreachable => {
                self.messages.wasted += 1;
                let wait = (INITIAL_RETRY_DELAY * (1 << task.rejections.min(10))).min(MAX_RETRY_DELAY);
                let task = Task { rejections: task.rejections + 1, ..task };
                self.queue.push_in(delay + wait, SimEvent::Retry(task));
            }
        }
    }

    fn receive_result(&mut self, fails: bool, mut task: Task) {
        if self.submissions[task.arrival].has_ended {
            self.messages.wasted += 1;
            return;
        }
        if fails {
            task.attempts += 1;
            if task.attempts >= MAX_ATTEMPTS {
                self.record_end(task.arrival, false);
            } else {
                self.messages.wasted += 1;
                self.send_start(task);
            }
            return;
        }
        self.submissions[task.arrival].remaining_tasks -= 1;
        if self.submissions[task.arrival].remaining_tasks == 0 {
            self.record_end(task.arrival, true);
        }
    }

    fn record_end(&mut self, arrival: usize, is_complete: bool) {
        let submission = &mut self.submissions[arrival];
        submission.has_ended = true;
        let at = self.queue.now() + submission.caller_delay;
        self.ended[arrival] = Some(SubmissionEnd { at, is_complete, is_rejected: false });
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
