//! Simulation of a deployment that runs the real decision code of all entries in virtual time.

use std::sync::Arc;
use std::time::Duration;

use hinge_dispatch::{Action, Dispatcher, Event, Lender, Origin, Start, TaskResult, Totals};
use hinge_wire::{
    Answer, FastMap, InstanceId, ListEntry, LoanReply, LoanRequest, LoanReturn, Outcome, Sequence, StartId,
    Submission, SubmissionKey, TaskSpec,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::clock::EventQueue;
use crate::fleet::{Deployment, Fleet, StartOutcome};
use crate::recorder::{MessageCounts, RunRecord, SubmissionEnd};
use crate::scenario::Scenario;
use crate::workload::Arrival;

const TICK: Duration = Duration::from_millis(50);
/// Number of keys that an entry issues at a time.
const KEY_BATCH: u32 = 1000;

/// Events of the simulation. `Arrive` is a caller that sends a submission. `Submit`, `Start`, `Stop`, `Result` and the
/// loan events are messages that reach the receiver after the network delay. `End` is the end or timeout of a task on
/// its upstream. Numbers are indexes of arrivals, entries, upstreams and the scenario's faults.
enum SimEvent {
    Arrive(usize),
    Fault(usize),
    Heartbeat(usize),
    LoanReply { borrower: usize, lender: usize, reply: LoanReply, request: LoanRequest },
    LoanRequest { borrower: usize, lender: usize, request: LoanRequest },
    LoanReturn { lender: usize, request: LoanReturn },
    Submit { arrival: usize, owner: usize, caller_delay: Duration },
    Start { entry: usize, start: Start, upstream: usize },
    Result { entry: usize, result: TaskResult, run_time: Duration, start: StartId },
    End { entry: usize, fails: bool, start: StartId },
    Stop { entry: usize, start: StartId },
    Tick(usize),
}

struct EntryState {
    data_centre: usize,
    dispatcher: Dispatcher,
    heartbeats: u64,
    instance: InstanceId,
    keys: Vec<SubmissionKey>,
    open: FastMap<Sequence, OpenSubmission>,
}

/// A submission that has not been answered.
struct OpenSubmission {
    arrival: usize,
    /// One-way delay between the caller and the entry that owns the submission, through the entry that forwards it.
    caller_delay: Duration,
}

/// A task that occupies a slot of an upstream.
struct Run {
    started_at: Duration,
    upstream: usize,
}

/// State of a simulated deployment.
struct Simulation<'a> {
    arrivals: &'a [Arrival],
    start_time: Instant,
    ended: Vec<Option<SubmissionEnd>>,
    entries: Vec<EntryState>,
    fleet: Fleet,
    queue: EventQueue<SimEvent>,
    rng: SmallRng,
    runs: FastMap<(usize, StartId), Run>,
    scenario: &'a Scenario,
    upstream_indexes: FastMap<String, usize>,
}

/// Runs a scenario to its end in virtual time and returns its record and the sum of the entries' counters.
///
/// The entries see the time `start_time` at virtual time 0.
#[must_use]
pub fn run(scenario: &Scenario, arrivals: &[Arrival], start_time: Instant) -> (RunRecord, Totals) {
    let mut simulation = Simulation::new(scenario, arrivals, start_time);
    simulation.start();
    while let Some(event) = simulation.queue.next_event_until(scenario.end()) {
        simulation.handle_event(event);
    }
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, arrivals: &'a [Arrival], start_time: Instant) -> Self {
        let fleet = Fleet::new(&scenario.deployment, scenario.failing_share);
        let upstream_indexes = fleet
            .upstreams
            .iter()
            .enumerate()
            .map(|(index, upstream)| (upstream.list_entry.id.clone(), index))
            .collect();
        let data_centres = scenario.deployment.entry_data_centres();
        let entries = data_centres
            .iter()
            .enumerate()
            .map(|(index, data_centre)| new_entry(scenario, index, *data_centre))
            .collect();
        Self {
            arrivals,
            start_time,
            ended: vec![None; arrivals.len()],
            entries,
            fleet,
            queue: EventQueue::default(),
            rng: SmallRng::seed_from_u64(scenario.workload.seed),
            runs: FastMap::default(),
            scenario,
            upstream_indexes,
        }
    }

    fn start(&mut self) {
        for entry in 0..self.entries.len() {
            let data_centre = self.entries[entry].data_centre;
            let upstreams: Vec<ListEntry> = self
                .fleet
                .in_data_centre(data_centre)
                .map(|index| self.fleet.upstreams[index].list_entry.clone())
                .collect();
            let config = Event::Config {
                policy: Box::new(self.scenario.policy.clone()),
                quotas: FastMap::default(),
                weights: FastMap::default(),
            };
            self.handle(entry, config);
            self.handle(entry, Event::Upstreams(upstreams));
            self.update_peer_view(entry);
            // A random offset, because real instances do not tick at the same time.
            let offset = TICK.mul_f64(self.rng.random());
            self.queue.push_at(offset, SimEvent::Tick(entry));
            self.queue.push_at(offset, SimEvent::Heartbeat(entry));
        }
        for (index, arrival) in self.arrivals.iter().enumerate() {
            self.queue.push_at(arrival.at, SimEvent::Arrive(index));
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.queue.push_at(fault.at, SimEvent::Fault(index));
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(arrival) => self.arrive(arrival),
            SimEvent::Fault(index) => {
                let fault = &self.scenario.faults[index];
                self.fleet.upstreams[fault.upstream].behaviour = fault.behaviour;
            }
            SimEvent::Heartbeat(entry) => {
                let interval = Duration::from_millis(self.scenario.policy.heartbeat_interval_ms);
                self.update_peer_view(entry);
                self.queue.push_in(interval, SimEvent::Heartbeat(entry));
            }
            SimEvent::LoanReply { borrower, lender, reply, request } => {
                self.receive_loan(borrower, lender, reply, &request);
            }
            SimEvent::LoanRequest { borrower, lender, request } => self.lend(borrower, lender, request),
            SimEvent::LoanReturn { lender, request } => self.handle(lender, Event::LoanReturned(request)),
            SimEvent::Submit { arrival, owner, caller_delay } => self.submit(arrival, owner, caller_delay),
            SimEvent::Start { entry, start, upstream } => self.receive_start(entry, &start, upstream),
            SimEvent::Result { entry, result, run_time, start } => {
                self.handle(entry, Event::TaskEnded { result, run_time, start });
            }
            SimEvent::End { entry, fails, start } => self.end_run(entry, fails, start),
            SimEvent::Stop { entry, start } => self.end_run(entry, true, start),
            SimEvent::Tick(entry) => {
                self.handle(entry, Event::Tick);
                self.queue.push_in(TICK, SimEvent::Tick(entry));
            }
        }
    }

    /// Chooses the entry that receives a submission and the entry that owns its key at random, as a load balancer does
    /// for a submission and for the earlier request for keys. The former forwards the submission to the latter.
    fn arrive(&mut self, arrival: usize) {
        let deployment = &self.scenario.deployment;
        let entry = self.rng.random_range(0..self.entries.len());
        let owner = self.rng.random_range(0..self.entries.len());
        let forward = match entry == owner {
            true => Duration::ZERO,
            false => deployment.peer_delay(self.entries[entry].data_centre, self.entries[owner].data_centre),
        };
        let caller_delay = deployment.client_delay + forward;
        self.queue.push_in(caller_delay, SimEvent::Submit { arrival, owner, caller_delay });
    }

    fn submit(&mut self, arrival: usize, owner: usize, caller_delay: Duration) {
        let now = self.now();
        let submission = Arc::new(submission(&self.arrivals[arrival]));
        let entry = &mut self.entries[owner];
        if entry.keys.is_empty() {
            entry.keys = entry.dispatcher.issue_keys(now, KEY_BATCH).unwrap_or_default();
        }
        let Some(key) = entry.keys.pop() else {
            self.record_end(arrival, caller_delay, false, true);
            return;
        };
        entry.open.insert(key.sequence, OpenSubmission { arrival, caller_delay });
        if entry.dispatcher.submit(now, &key, submission).is_err() {
            entry.open.remove(&key.sequence);
            self.record_end(arrival, caller_delay, false, true);
        }
        self.execute_actions(owner);
    }

    fn record_end(&mut self, arrival: usize, caller_delay: Duration, is_complete: bool, is_rejected: bool) {
        self.ended[arrival] =
            Some(SubmissionEnd { at: self.queue.now() + caller_delay, is_complete, is_rejected });
    }

    fn receive_start(&mut self, entry: usize, start: &Start, upstream: usize) {
        let delay = self.scenario.deployment.intra_delay;
        let run_time = self.run_time(entry, start);
        let id = start.start;
        let started_at = self.queue.now();
        match self.fleet.start_task(upstream, run_time) {
            StartOutcome::Accepted { fails, duration } => {
                self.runs.insert((entry, id), Run { started_at, upstream });
                match duration {
                    Some(duration) if duration <= start.timeout => {
                        self.queue.push_in(duration, SimEvent::End { entry, fails, start: id });
                    }
                    _ => self.queue.push_in(start.timeout, SimEvent::End { entry, fails: true, start: id }),
                }
            }
            StartOutcome::Busy => {
                self.send_result(entry, id, TaskResult::Refused(hinge_dispatch::Refusal::Busy), delay)
            }
            StartOutcome::Unreachable => self.send_result(entry, id, TaskResult::NotSent, delay),
        }
    }

    fn run_time(&self, entry: usize, start: &Start) -> Duration {
        let open = self.entries[entry].open.get(&start.task.sequence);
        open.and_then(|open| self.arrivals[open.arrival].run_times.get(start.task.index as usize).copied())
            .unwrap_or_default()
    }

    fn end_run(&mut self, entry: usize, fails: bool, start: StartId) {
        // A stopped task has been removed before its scheduled end.
        let Some(run) = self.runs.remove(&(entry, start)) else { return };
        self.fleet.release_slot(run.upstream);
        let result = if fails { TaskResult::Failed(String::new()) } else { TaskResult::Done(String::new()) };
        self.send_result(entry, start, result, self.queue.now() - run.started_at);
    }

    fn send_result(&mut self, entry: usize, start: StartId, result: TaskResult, run_time: Duration) {
        let delay = self.scenario.deployment.intra_delay;
        let run_time = run_time + delay * 2;
        self.queue.push_in(delay, SimEvent::Result { entry, result, run_time, start });
    }

    fn lend(&mut self, borrower: usize, lender: usize, request: LoanRequest) {
        let now = self.now();
        let reply = self.entries[lender].dispatcher.lend(now, &request);
        self.execute_actions(lender);
        let delay = self.scenario.deployment.intra_delay;
        self.queue.push_in(delay, SimEvent::LoanReply { borrower, lender, reply, request });
    }

    fn receive_loan(&mut self, borrower: usize, lender: usize, reply: LoanReply, request: &LoanRequest) {
        let event = Event::LoanReplied {
            lender: self.entries[lender].instance.clone(),
            lender_incarnation: request.target_incarnation,
            reply,
            service: request.service.as_str().into(),
        };
        self.handle(borrower, event);
    }

    /// Passes an event to an entry's dispatcher and executes the resulting actions.
    fn handle(&mut self, entry: usize, event: Event) {
        let now = self.now();
        self.entries[entry].dispatcher.handle(now, event);
        self.execute_actions(entry);
    }

    fn execute_actions(&mut self, entry: usize) {
        let actions: Vec<Action> = self.entries[entry].dispatcher.drain_actions().collect();
        let delay = self.scenario.deployment.intra_delay;
        for action in actions {
            match action {
                Action::Answer { answer, sequence, .. } => self.record_answer(entry, sequence, &answer),
                Action::RequestLoan { lender, request } => {
                    if let Some(lender) = self.entry_index(&lender) {
                        self.queue.push_in(delay, SimEvent::LoanRequest { borrower: entry, lender, request });
                    }
                }
                Action::ReturnLoan { lender, request } => {
                    if let Some(lender) = self.entry_index(&lender) {
                        self.queue.push_in(delay, SimEvent::LoanReturn { lender, request });
                    }
                }
                Action::Start(start) => {
                    if let Some(upstream) = self.upstream_indexes.get(&*start.upstream).copied() {
                        self.queue.push_in(delay, SimEvent::Start { entry, start, upstream });
                    }
                }
                Action::Stop { start, .. } => self.queue.push_in(delay, SimEvent::Stop { entry, start }),
                Action::Claim { .. } | Action::Drained | Action::Health(_) | Action::Shedding(_) => {}
            }
        }
    }

    fn record_answer(&mut self, entry: usize, sequence: Sequence, answer: &Answer) {
        let Some(open) = self.entries[entry].open.remove(&sequence) else { return };
        let is_rejected = answer.outcome == Outcome::FailedNotRun;
        self.record_end(open.arrival, open.caller_delay, answer.outcome == Outcome::Complete, is_rejected);
    }

    /// Gives an entry the peer view that heartbeats of the other entries in its data centre would provide by now.
    fn update_peer_view(&mut self, entry: usize) {
        self.entries[entry].heartbeats += 1;
        let data_centre = self.entries[entry].data_centre;
        let peers: Vec<usize> =
            (0..self.entries.len()).filter(|peer| self.entries[*peer].data_centre == data_centre).collect();
        let leaders = peers.iter().map(|peer| self.entries[*peer].instance.clone()).collect();
        let counter = self.entries[entry].heartbeats;
        let lenders = peers
            .iter()
            .filter(|peer| **peer != entry)
            .map(|peer| Lender {
                counter,
                free_slots: self.entries[*peer].dispatcher.free_slots(),
                incarnation: *peer as u64 + 1,
                instance: self.entries[*peer].instance.clone(),
            })
            .collect();
        let listed_entries = u32::try_from(peers.len()).unwrap_or(1);
        self.handle(entry, Event::Peers { leaders, lenders, listed_entries });
    }

    fn entry_index(&self, instance: &InstanceId) -> Option<usize> {
        self.entries.iter().position(|entry| entry.instance == *instance)
    }

    fn now(&self) -> Instant {
        self.start_time + self.queue.now()
    }

    fn finish(self) -> (RunRecord, Totals) {
        let mut totals = Totals::default();
        for entry in &self.entries {
            totals.add(entry.dispatcher.totals());
        }
        let messages = MessageCounts { starts: totals.starts, wasted: totals.wasted_messages() };
        (RunRecord { ended: self.ended, messages }, totals)
    }
}

fn new_entry(scenario: &Scenario, index: usize, data_centre: usize) -> EntryState {
    let instance: InstanceId = format!("entry-{index}").as_str().into();
    let origin = Origin {
        data_centre: format!("dc{data_centre}").as_str().into(),
        incarnation: index as u64 + 1,
        instance: instance.clone(),
    };
    EntryState {
        data_centre,
        dispatcher: Dispatcher::new(origin, &scenario.policy, scenario.workload.seed + index as u64),
        heartbeats: 0,
        instance,
        keys: Vec::new(),
        open: FastMap::default(),
    }
}

fn submission(arrival: &Arrival) -> Submission {
    let declared_ms = u64::try_from(arrival.declared.as_millis()).ok();
    let task = TaskSpec { memory_mb: None, payload: String::new(), run_time_ms: declared_ms };
    Submission {
        class: arrival.class,
        deadline_ms: None,
        definite: false,
        // Urgent requests only read; bookings and jobs change data.
        idempotent: arrival.class == hinge_wire::Class::Urgent,
        key: None,
        service: "service".to_owned(),
        tasks: vec![task; arrival.run_times.len()],
        team: format!("team-{}", arrival.team),
        wait_ms: None,
    }
}

/// Shortest round trip between a caller and an upstream, through an entry in the upstream's data centre.
#[must_use]
pub fn min_round_trip(deployment: &Deployment) -> Duration {
    (deployment.client_delay + deployment.intra_delay) * 2
}
