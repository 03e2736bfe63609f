//! Drives the real decision code of all entries in virtual time.

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
use crate::fleet::{Fleet, Reception, Shape};
use crate::recorder::{Ended, Messages, Record};
use crate::scenario::Scenario;
use crate::workload::Arrival;

const TICK: Duration = Duration::from_millis(50);
/// Keys that each entry hands out at a time.
const KEYS: u32 = 1000;

enum Step {
    Arrive(usize),
    Fault(usize),
    Heartbeat(usize),
    LoanAnswered { borrower: usize, lender: usize, reply: LoanReply, request: LoanRequest },
    LoanAsked { borrower: usize, lender: usize, request: LoanRequest },
    LoanReturned { lender: usize, request: LoanReturn },
    Owned { arrival: usize, owner: usize, path: Duration },
    Reach { entry: usize, start: Start, upstream: usize },
    Report { entry: usize, result: TaskResult, run_time: Duration, start: StartId },
    RunEnds { entry: usize, fails: bool, start: StartId },
    StopRun { entry: usize, start: StartId },
    Tick(usize),
}

struct EntryState {
    data_centre: usize,
    dispatcher: Dispatcher,
    heartbeats: u64,
    instance: InstanceId,
    keys: Vec<SubmissionKey>,
    open: FastMap<Sequence, Open>,
}

/// A submission that is not final.
struct Open {
    arrival: usize,
    /// Time that the answer takes back to the caller.
    path: Duration,
}

struct Run {
    began: Duration,
    upstream: usize,
}

/// Drives all entries of a deployment.
struct Driver<'a> {
    arrivals: &'a [Arrival],
    base: Instant,
    ended: Vec<Option<Ended>>,
    entries: Vec<EntryState>,
    fleet: Fleet,
    queue: EventQueue<Step>,
    rng: SmallRng,
    runs: FastMap<(usize, StartId), Run>,
    scenario: &'a Scenario,
    upstream_indexes: FastMap<String, usize>,
}

/// Runs a scenario; `base` is the runtime's time that virtual time 0 stands for.
#[must_use]
pub fn run(scenario: &Scenario, arrivals: &[Arrival], base: Instant) -> (Record, Totals) {
    let mut driver = Driver::new(scenario, arrivals, base);
    driver.start();
    while let Some(step) = driver.queue.next_event_until(scenario.end()) {
        driver.step(step);
    }
    driver.finish()
}

impl<'a> Driver<'a> {
    fn new(scenario: &'a Scenario, arrivals: &'a [Arrival], base: Instant) -> Self {
        let fleet = Fleet::new(&scenario.shape, scenario.failing_share);
        let upstream_indexes = fleet
            .upstreams
            .iter()
            .enumerate()
            .map(|(index, upstream)| (upstream.listed.id.clone(), index))
            .collect();
        let data_centres = scenario.shape.entry_data_centres();
        let entries = data_centres
            .iter()
            .enumerate()
            .map(|(index, data_centre)| new_entry(scenario, index, *data_centre))
            .collect();
        Self {
            arrivals,
            base,
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
                .map(|index| self.fleet.upstreams[index].listed.clone())
                .collect();
            let config = Event::Config {
                policy: Box::new(self.scenario.policy.clone()),
                quotas: FastMap::default(),
                weights: FastMap::default(),
            };
            self.handle(entry, config);
            self.handle(entry, Event::Upstreams(upstreams));
            self.send_peer_view(entry);
            // Instances do not tick in step.
            let offset = TICK.mul_f64(self.rng.random());
            self.queue.at(offset, Step::Tick(entry));
            self.queue.at(offset, Step::Heartbeat(entry));
        }
        for (index, arrival) in self.arrivals.iter().enumerate() {
            self.queue.at(arrival.at, Step::Arrive(index));
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.queue.at(fault.at, Step::Fault(index));
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(arrival) => self.arrive(arrival),
            Step::Fault(index) => {
                let fault = &self.scenario.faults[index];
                self.fleet.upstreams[fault.upstream].behaviour = fault.behaviour;
            }
            Step::Heartbeat(entry) => {
                let interval = Duration::from_millis(self.scenario.policy.heartbeat_interval_ms);
                self.send_peer_view(entry);
                self.queue.after(interval, Step::Heartbeat(entry));
            }
            Step::LoanAnswered { borrower, lender, reply, request } => {
                self.loan_answered(borrower, lender, reply, &request);
            }
            Step::LoanAsked { borrower, lender, request } => self.loan_asked(borrower, lender, request),
            Step::LoanReturned { lender, request } => self.handle(lender, Event::LoanReturned(request)),
            Step::Owned { arrival, owner, path } => self.submit(arrival, owner, path),
            Step::Reach { entry, start, upstream } => self.reach(entry, &start, upstream),
            Step::Report { entry, result, run_time, start } => {
                self.handle(entry, Event::TaskEnded { result, run_time, start });
            }
            Step::RunEnds { entry, fails, start } => self.run_ends(entry, fails, start),
            Step::StopRun { entry, start } => self.run_ends(entry, true, start),
            Step::Tick(entry) => {
                self.handle(entry, Event::Tick);
                self.queue.after(TICK, Step::Tick(entry));
            }
        }
    }

    /// The balancer picks an entry; the key, taken earlier through the balancer, names another one as the owner.
    fn arrive(&mut self, arrival: usize) {
        let shape = &self.scenario.shape;
        let entry = self.rng.random_range(0..self.entries.len());
        let owner = self.rng.random_range(0..self.entries.len());
        let forward = match entry == owner {
            true => Duration::ZERO,
            false => shape.peer_delay(self.entries[entry].data_centre, self.entries[owner].data_centre),
        };
        let path = shape.client_delay + forward;
        self.queue.after(path, Step::Owned { arrival, owner, path });
    }

    fn submit(&mut self, arrival: usize, owner: usize, path: Duration) {
        let now = self.now();
        let submission = Arc::new(submission(&self.arrivals[arrival]));
        let entry = &mut self.entries[owner];
        if entry.keys.is_empty() {
            entry.keys = entry.dispatcher.issue_keys(now, KEYS).unwrap_or_default();
        }
        let Some(key) = entry.keys.pop() else {
            self.end(arrival, path, false, true);
            return;
        };
        entry.open.insert(key.sequence, Open { arrival, path });
        if entry.dispatcher.submit(now, &key, submission).is_err() {
            entry.open.remove(&key.sequence);
            self.end(arrival, path, false, true);
        }
        self.carry_out(owner);
    }

    fn end(&mut self, arrival: usize, path: Duration, complete: bool, not_run: bool) {
        self.ended[arrival] = Some(Ended { at: self.queue.now() + path, complete, not_run });
    }

    fn reach(&mut self, entry: usize, start: &Start, upstream: usize) {
        let delay = self.scenario.shape.intra_delay;
        let run_time = self.run_time(entry, start);
        let id = start.start;
        let began = self.queue.now();
        match self.fleet.receive(upstream, run_time) {
            Reception::Accepted { fails, time } => {
                self.runs.insert((entry, id), Run { began, upstream });
                match time {
                    Some(time) if time <= start.timeout => {
                        self.queue.after(time, Step::RunEnds { entry, fails, start: id });
                    }
                    _ => self.queue.after(start.timeout, Step::RunEnds { entry, fails: true, start: id }),
                }
            }
            Reception::Busy => {
                self.report(entry, id, TaskResult::Refused(hinge_dispatch::Refusal::Busy), delay)
            }
            Reception::Unreachable => self.report(entry, id, TaskResult::NotSent, delay),
        }
    }

    fn run_time(&self, entry: usize, start: &Start) -> Duration {
        let open = self.entries[entry].open.get(&start.task.sequence);
        open.and_then(|open| self.arrivals[open.arrival].run_times.get(start.task.index as usize).copied())
            .unwrap_or_default()
    }

    fn run_ends(&mut self, entry: usize, fails: bool, start: StartId) {
        // A stopped run has ended before its own end is due.
        let Some(run) = self.runs.remove(&(entry, start)) else { return };
        self.fleet.release(run.upstream);
        let result = if fails { TaskResult::Failed(String::new()) } else { TaskResult::Done(String::new()) };
        self.report(entry, start, result, self.queue.now() - run.began);
    }

    fn report(&mut self, entry: usize, start: StartId, result: TaskResult, run_time: Duration) {
        let delay = self.scenario.shape.intra_delay;
        let run_time = run_time + delay * 2;
        self.queue.after(delay, Step::Report { entry, result, run_time, start });
    }

    fn loan_asked(&mut self, borrower: usize, lender: usize, request: LoanRequest) {
        let now = self.now();
        let reply = self.entries[lender].dispatcher.lend(now, &request);
        self.carry_out(lender);
        let delay = self.scenario.shape.intra_delay;
        self.queue.after(delay, Step::LoanAnswered { borrower, lender, reply, request });
    }

    fn loan_answered(&mut self, borrower: usize, lender: usize, reply: LoanReply, request: &LoanRequest) {
        let event = Event::LoanReplied {
            lender: self.entries[lender].instance.clone(),
            lender_incarnation: request.target_incarnation,
            reply,
            service: request.service.as_str().into(),
        };
        self.handle(borrower, event);
    }

    fn handle(&mut self, entry: usize, event: Event) {
        let now = self.now();
        self.entries[entry].dispatcher.handle(now, event);
        self.carry_out(entry);
    }

    fn carry_out(&mut self, entry: usize) {
        let actions: Vec<Action> = self.entries[entry].dispatcher.drain_actions().collect();
        let delay = self.scenario.shape.intra_delay;
        for action in actions {
            match action {
                Action::Answer { answer, sequence, .. } => self.answered(entry, sequence, &answer),
                Action::RequestLoan { lender, request } => {
                    if let Some(lender) = self.entry_index(&lender) {
                        self.queue.after(delay, Step::LoanAsked { borrower: entry, lender, request });
                    }
                }
                Action::ReturnLoan { lender, request } => {
                    if let Some(lender) = self.entry_index(&lender) {
                        self.queue.after(delay, Step::LoanReturned { lender, request });
                    }
                }
                Action::Start(start) => {
                    if let Some(upstream) = self.upstream_indexes.get(&*start.upstream).copied() {
                        self.queue.after(delay, Step::Reach { entry, start, upstream });
                    }
                }
                Action::Stop { start, .. } => self.queue.after(delay, Step::StopRun { entry, start }),
                Action::Claim { .. } | Action::Drained | Action::Health(_) | Action::Shedding(_) => {}
            }
        }
    }

    fn answered(&mut self, entry: usize, sequence: Sequence, answer: &Answer) {
        let Some(open) = self.entries[entry].open.remove(&sequence) else { return };
        let not_run = answer.outcome == Outcome::FailedNotRun;
        self.end(open.arrival, open.path, answer.outcome == Outcome::Complete, not_run);
    }

    /// Shows an entry what the heartbeats of its data centre's other entries would have said by now.
    fn send_peer_view(&mut self, entry: usize) {
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
        self.base + self.queue.now()
    }

    fn finish(self) -> (Record, Totals) {
        let mut totals = Totals::default();
        for entry in &self.entries {
            totals.add(entry.dispatcher.totals());
        }
        let messages = Messages { starts: totals.starts, wasted: totals.wasted_messages() };
        (Record { ended: self.ended, messages }, totals)
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
        // Urgent requests look up; bookings and jobs change something.
        idempotent: arrival.class == hinge_wire::Class::Urgent,
        key: None,
        service: "service".to_owned(),
        tasks: vec![task; arrival.run_times.len()],
        team: format!("team-{}", arrival.team),
        wait_ms: None,
    }
}

/// One way between a caller and an upstream by the nearest entry, twice.
#[must_use]
pub fn shortest_path(shape: &Shape) -> Duration {
    (shape.client_delay + shape.intra_delay) * 2
}
