//! Simulation of entries, upstreams and messages in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hinge_conf::Policy;
use hinge_dispatch::{Action, Event, Lender, Origin, Refusal, Start, TaskResult};
use hinge_wire::{
    Class, FastMap, InstanceKind, ListEntry, ListState, LoanReply, LoanRequest, ResultCode, StartId,
    Submission, SubmissionKey, TaskSpec, UpstreamId,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::checks::{Body, Observed, ProcessId, Violation, payload, result, tasks};
use super::node::Node;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Submissions and faults are spread over this time.
const LOAD_PERIOD: Duration = Duration::from_secs(6);
/// Length of a run, after which all deadlines and timeouts have passed.
const RUN_LENGTH: Duration = Duration::from_secs(20);

/// Size and seed of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) entries: usize,
    pub(crate) faults: usize,
    pub(crate) seed: u64,
    pub(crate) submissions: usize,
    pub(crate) upstreams: usize,
}

#[derive(Clone)]
pub(crate) enum Step {
    Cancel { body: Body },
    Deliver { event: Event, process: ProcessId },
    Fault,
    Heartbeat,
    IssueKey { owner: usize, submission: usize },
    LoanRequested { borrower: ProcessId, lender: usize, request: LoanRequest },
    AtOwner { body: Body, cancel: bool, owner: usize },
    Publish { state: Option<ListState>, upstream: usize },
    StartArrives { process: ProcessId, retryable: bool, start: Start, text: String },
    Resume(usize),
    RunEnds { upstream: usize },
    Submit { body: Body, via: usize },
    Tick,
}

pub(crate) struct Entry<N> {
    pub(crate) backlog: VecDeque<Step>,
    pub(crate) incarnation: u64,
    pub(crate) node: N,
    pub(crate) paused: bool,
    pub(crate) draining: bool,
}

pub(crate) struct Upstream {
    pub(crate) dead: bool,
    pub(crate) leaving: bool,
    pub(crate) listed: Option<ListState>,
    running: u32,
    slots: u32,
}

pub(crate) struct Simulation<N> {
    base: Instant,
    pub(crate) entries: Vec<Entry<N>>,
    keys: Vec<Option<SubmissionKey>>,
    next_incarnation: u64,
    now: Duration,
    pub(crate) observed: Observed,
    pub(crate) plan: Plan,
    pub(crate) policy: Policy,
    queue: BTreeMap<(Duration, u64), Step>,
    pub(crate) rng: SmallRng,
    scheduled: u64,
    pub(crate) upstreams: Vec<Upstream>,
}

impl<N: Node> Simulation<N> {
    /// Runs a plan to its end and returns what was observed.
    pub(crate) fn run(plan: Plan) -> Observed {
        let mut simulation = Self::new(plan);
        simulation.prepare();
        while let Some(((time, _), step)) = simulation.queue.pop_first() {
            if time > RUN_LENGTH {
                break;
            }
            simulation.now = time;
            simulation.step(step);
        }
        simulation.observed.finish();
        simulation.observed
    }

    fn new(plan: Plan) -> Self {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let upstreams = (0..plan.upstreams)
            .map(|_| Upstream {
                dead: false,
                leaving: false,
                listed: Some(ListState::Live),
                running: 0,
                slots: rng.random_range(1..4),
            })
            .collect();
        let policy = Policy { task_timeout_ms: 1500, ..Policy::default() };
        let mut simulation = Self {
            base: Instant::now(),
            entries: Vec::new(),
            keys: vec![None; plan.submissions],
            next_incarnation: 1,
            now: Duration::ZERO,
            observed: Observed::default(),
            plan,
            policy,
            queue: BTreeMap::new(),
            rng,
            scheduled: 0,
            upstreams,
        };
        for index in 0..plan.entries {
            let entry = simulation.new_entry(index);
            simulation.entries.push(entry);
        }
        simulation
    }

    pub(crate) fn new_entry(&mut self, index: usize) -> Entry<N> {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let instance = format!("entry-{index}").as_str().into();
        let origin = Origin { data_centre: "dc1".into(), incarnation, instance };
        let node = N::new(origin, &self.policy, self.plan.seed + incarnation);
        Entry { backlog: VecDeque::new(), incarnation, node, paused: false, draining: false }
    }

    fn prepare(&mut self) {
        for index in 0..self.plan.entries {
            self.send_list(index);
        }
        self.send_peers();
        for index in 0..self.plan.submissions {
            let owner = self.rng.random_range(0..self.plan.entries);
            let at = LOAD_PERIOD.mul_f64(self.rng.random());
            let body = (index, 0);
            self.at(at, Step::IssueKey { owner, submission: index });
            self.submit_at(at, body);
            for _ in 0..self.rng.random_range(0..3) {
                let other = usize::from(self.rng.random_bool(0.1));
                let again = self.rng.random_range(0..1500);
                self.submit_at(at + Duration::from_millis(again), (index, other));
            }
            if self.rng.random_bool(0.1) {
                let later = Duration::from_millis(self.rng.random_range(0..400));
                self.at(at + later, Step::Cancel { body });
            }
        }
        for _ in 0..self.plan.faults {
            let at = LOAD_PERIOD.mul_f64(self.rng.random());
            self.at(at, Step::Fault);
        }
        self.at(Duration::ZERO, Step::Tick);
        self.at(HEARTBEAT_INTERVAL, Step::Heartbeat);
    }

    fn submit_at(&mut self, at: Duration, body: Body) {
        let via = self.rng.random_range(0..self.plan.entries);
        self.at(at, Step::Submit { body, via });
    }

    pub(crate) fn at(&mut self, time: Duration, step: Step) {
        self.scheduled += 1;
        self.queue.insert((time, self.scheduled), step);
    }

    pub(crate) fn after_ms(&mut self, least: u64, most: u64, step: Step) {
        let delay = Duration::from_millis(self.rng.random_range(least..=most));
        self.at(self.now + delay, step);
    }

    fn time(&self) -> Instant {
        self.base + self.now
    }

    pub(crate) fn process(&self, index: usize) -> ProcessId {
        (index, self.entries[index].incarnation)
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Cancel { body } => self.forward(body, true),
            Step::Fault => self.fault(),
            Step::Heartbeat => {
                self.send_peers();
                self.at(self.now + HEARTBEAT_INTERVAL, Step::Heartbeat);
            }
            Step::IssueKey { owner, submission } => self.issue(owner, submission),
            Step::Publish { state, upstream } => {
                self.upstreams[upstream].listed = state;
                for index in 0..self.entries.len() {
                    self.send_list(index);
                }
            }
            Step::StartArrives { process, retryable, start, text } => {
                self.start_arrives(process, retryable, &start, &text)
            }
            Step::Resume(index) => self.resume(index),
            Step::RunEnds { upstream } => self.upstreams[upstream].running -= 1,
            Step::Tick => {
                for index in 0..self.entries.len() {
                    let process = self.process(index);
                    self.apply(index, Step::Deliver { event: Event::Tick, process });
                }
                self.at(self.now + TICK_INTERVAL, Step::Tick);
            }
            Step::Submit { body, via } => self.apply(via, Step::Submit { body, via }),
            Step::Deliver { event, process } => self.apply(process.0, Step::Deliver { event, process }),
            Step::LoanRequested { borrower, lender, request } => {
                self.apply(lender, Step::LoanRequested { borrower, lender, request });
            }
            Step::AtOwner { body, cancel, owner } => self.apply(owner, Step::AtOwner { body, cancel, owner }),
        }
    }

    /// Handles a step on its entry, or queues it while the entry is paused.
    fn apply(&mut self, index: usize, step: Step) {
        if self.entries[index].paused {
            self.entries[index].backlog.push_back(step);
            return;
        }
        match step {
            Step::Deliver { event, process } => self.deliver(process, event),
            Step::LoanRequested { borrower, lender, request } => self.lend(borrower, lender, &request),
            Step::AtOwner { body, cancel, owner } => self.at_owner(body, cancel, owner),
            Step::Submit { body, .. } => self.forward(body, false),
            _ => {}
        }
    }

    pub(crate) fn resume(&mut self, index: usize) {
        self.entries[index].paused = false;
        for step in std::mem::take(&mut self.entries[index].backlog) {
            self.apply(index, step);
        }
    }

    /// A caller gets a key from the given entry, or from the next one that is not paused.
    fn issue(&mut self, owner: usize, submission: usize) {
        let count = self.entries.len();
        let answering = |index: &usize| !self.entries[*index].paused;
        let Some(owner) = (owner..owner + count).map(|index| index % count).find(answering) else { return };
        let now = self.time();
        self.keys[submission] = Some(self.entries[owner].node.issue(now));
    }

    /// An entry forwards a submission or cancellation to the owner of its key.
    fn forward(&mut self, body: Body, cancel: bool) {
        let Some(key) = &self.keys[body.0] else { return };
        let live: Vec<bool> = self.entries.iter().map(|entry| !entry.paused).collect();
        let owner = N::owner(key, &live);
        self.after_ms(0, 5, Step::AtOwner { body, cancel, owner });
    }

    /// A submission or cancellation reaches the owner of its key.
    fn at_owner(&mut self, body: Body, cancel: bool, owner: usize) {
        let Some(key) = self.keys[body.0].clone() else { return };
        let now = self.time();
        let process = self.process(owner);
        if cancel {
            self.observed.count("cancellations");
            self.entries[owner].node.cancel(now, &key);
            return self.execute_actions(owner);
        }
        let submission = Arc::new(submission(body));
        match self.entries[owner].node.submit(now, &key, submission) {
            Ok(()) => {
                let stored = self.entries[owner].node.stored_answer(now, &key);
                self.observed.attached((process, key.sequence), body, stored.as_ref());
            }
            Err(code) => self.observed.rejected((process, key.sequence), body, code),
        }
        self.execute_actions(owner);
    }

    fn deliver(&mut self, process: ProcessId, event: Event) {
        // Messages to a killed process are lost with its connections.
        if self.process(process.0) != process {
            return;
        }
        if let Event::TaskEnded { result, start, .. } = &event {
            let says_leaving = *result == TaskResult::Refused(Refusal::Leaving);
            self.observed.ended(self.now, process, *start, says_leaving);
        }
        if let Event::Upstreams(list) = &event {
            let state = |id: &str| list.iter().find(|entry| entry.id == id).map(|entry| entry.state);
            let states: Vec<_> = (0..self.upstreams.len())
                .map(|index| (upstream_id(index), state(&upstream_id(index))))
                .collect();
            self.observed.listed(self.now, process, &states);
        }
        let now = self.time();
        self.entries[process.0].node.handle(now, event);
        self.execute_actions(process.0);
    }

    fn lend(&mut self, borrower: ProcessId, lender: usize, request: &LoanRequest) {
        let name = entry_name(lender);
        let now = self.time();
        if request.target_incarnation != self.entries[lender].incarnation || self.rng.random_bool(0.1) {
            let event = Event::LoanFailed { lender: name };
            return self.after_ms(0, 200, Step::Deliver { event, process: borrower });
        }
        let reply: LoanReply = self.entries[lender].node.lend(now, request);
        self.observed.count("loans");
        self.execute_actions(lender);
        let event = Event::LoanReplied {
            lender: name,
            lender_incarnation: request.target_incarnation,
            reply,
            service: request.service.as_str().into(),
        };
        // Sometimes the reply is lost, so that the lender counts slots as lent that no borrower uses.
        if !self.rng.random_bool(0.05) {
            self.after_ms(0, 100, Step::Deliver { event, process: borrower });
        }
    }

    pub(crate) fn execute_actions(&mut self, index: usize) {
        let process = self.process(index);
        for action in self.entries[index].node.actions() {
            match action {
                Action::Answer { answer, sequence, .. } => self.observed.answered(process, sequence, answer),
                Action::Claim { sequence, .. } => self.claim(process, sequence),
                Action::Drained => self.observed.drained(process),
                Action::RequestLoan { lender, request } => {
                    let lender = entry_index(&lender);
                    self.after_ms(0, 5, Step::LoanRequested { borrower: process, lender, request });
                }
                Action::ReturnLoan { lender, request } => {
                    let lender = entry_index(&lender);
                    if request.target_incarnation == self.entries[lender].incarnation
                        && self.rng.random_bool(0.9)
                    {
                        let target = self.process(lender);
                        let event = Event::LoanReturned(request);
                        self.after_ms(0, 5, Step::Deliver { event, process: target });
                    }
                }
                Action::Start(start) => self.send_start(process, start),
                Action::Health(_) | Action::Shedding(_) | Action::Stop { .. } => {}
            }
        }
    }

    fn claim(&mut self, process: ProcessId, sequence: u64) {
        let result = match self.rng.random_range(0..10) {
            0 => Err(ResultCode::StoreUnavailable),
            1 => Err(ResultCode::ClaimRefused),
            _ => Ok(()),
        };
        let event = Event::ClaimCompleted { result, sequence };
        if self.rng.random_bool(0.1) {
            self.after_ms(1, 300, Step::Deliver { event: event.clone(), process });
        }
        self.after_ms(1, 300, Step::Deliver { event, process });
    }

    fn send_start(&mut self, process: ProcessId, start: Start) {
        self.observed.started(process, &start);
        let Some(body) = self.entries[process.0].node.submission(start.task.sequence) else { return };
        let retryable = body.idempotent && body.tasks.len() == 1 && body.class == Class::Urgent;
        let text = body.tasks[start.task.index as usize].payload.clone();
        self.after_ms(0, 5, Step::StartArrives { process, retryable, start, text });
    }

    /// A start reaches its upstream, which runs or refuses it. The report of its end may be lost, late or duplicate, or
    /// name another start.
    fn start_arrives(&mut self, process: ProcessId, retryable: bool, start: &Start, text: &str) {
        let upstream = upstream_index(&start.upstream);
        let state = &mut self.upstreams[upstream];
        let chance = self.rng.random_range(0..100);
        let refused = match chance {
            _ if state.dead => Some(TaskResult::NotSent),
            _ if state.leaving => Some(TaskResult::Refused(Refusal::Leaving)),
            _ if state.running >= state.slots => Some(TaskResult::Refused(Refusal::Busy)),
            0..3 => Some(TaskResult::NotSent),
            3..6 => Some(TaskResult::Refused(Refusal::Busy)),
            6..8 => Some(TaskResult::Lost),
            _ => None,
        };
        if let Some(result) = refused {
            return self.report(process, start.start, result, 0, 50);
        }
        state.running += 1;
        self.observed.executed(text, retryable);
        let run_ms = self.rng.random_range(5..300);
        self.after_ms(run_ms, run_ms, Step::RunEnds { upstream });
        let done = TaskResult::Done(result(text));
        let (first, second) = match chance {
            8..14 => (TaskResult::Failed("failed".to_owned()), None),
            14..20 => (TaskResult::Lost, None),
            20..25 => (TaskResult::TimedOut, Some(done)),
            25..30 => (done.clone(), Some(done)),
            30..35 => (done.clone(), Some(TaskResult::Refused(Refusal::Busy))),
            35..38 => {
                // The response names a start that this entry does not know.
                self.report(process, start.start + 1_000_000, done, run_ms, run_ms);
                (TaskResult::Lost, None)
            }
            _ => (done, None),
        };
        self.report(process, start.start, first, run_ms, run_ms + 20);
        if let Some(second) = second {
            self.report(process, start.start, second, run_ms + 21, run_ms + 400);
        }
    }

    fn report(&mut self, process: ProcessId, start: StartId, result: TaskResult, least: u64, most: u64) {
        let event = Event::TaskEnded { result, run_time: Duration::from_millis(least), start };
        self.after_ms(least, most, Step::Deliver { event, process });
    }

    /// Sends an entry the current list of upstreams.
    pub(crate) fn send_list(&mut self, index: usize) {
        let listed = self.upstreams.iter().enumerate();
        let list =
            listed.filter_map(|(index, upstream)| Some(list_entry(index, upstream.slots, upstream.listed?)));
        let (event, process) = (Event::Upstreams(list.collect()), self.process(index));
        // Without delay, because lists arrive in order.
        self.at(self.now, Step::Deliver { event, process });
    }

    /// Sends every entry its view of the peers; in some views one peer is missing.
    fn send_peers(&mut self) {
        let draining = |entry: &Entry<N>| entry.paused || entry.draining;
        for index in 0..self.entries.len() {
            let missing = self.rng.random_range(0..self.entries.len() * 4);
            let seen = |peer: &usize| *peer == index || *peer != missing;
            let peers: Vec<usize> = (0..self.entries.len()).filter(seen).collect();
            let leads = |peer: &&usize| !draining(&self.entries[**peer]);
            let leaders = peers.iter().filter(leads).map(|peer| entry_name(*peer)).collect();
            let lender = |peer: &usize| Lender {
                counter: self.now.as_millis() as u64,
                free_slots: self.entries[*peer].node.free_slots(),
                incarnation: self.entries[*peer].incarnation,
                instance: entry_name(*peer),
            };
            let lenders = peers.iter().filter(|peer| **peer != index).map(lender).collect();
            let event = Event::Peers { leaders, lenders, listed_entries: self.entries.len() as u32 };
            let process = self.process(index);
            self.after_ms(0, 100, Step::Deliver { event, process });
        }
    }

    pub(crate) fn change_policy(&mut self) {
        let mut policy = self.policy.clone();
        policy.loans_enabled = self.rng.random_bool(0.8);
        policy.ejection_enabled = self.rng.random_bool(0.8);
        policy.max_attempts = self.rng.random_range(1..4);
        policy.answer_memory_bytes = if self.rng.random_bool(0.2) { 100 } else { policy.answer_memory_bytes };
        policy.key_validity_ms = if self.rng.random_bool(0.2) { 1000 } else { policy.key_validity_ms };
        policy.max_queued_tasks = if self.rng.random_bool(0.2) { 8 } else { policy.max_queued_tasks };
        for index in 0..self.entries.len() {
            let event = Event::Config {
                policy: Box::new(policy.clone()),
                quotas: FastMap::default(),
                weights: FastMap::default(),
            };
            let process = self.process(index);
            self.after_ms(0, 500, Step::Deliver { event, process });
        }
    }
}

/// The kinds of violations found in one run.
pub(crate) fn violation_kinds(observed: &Observed) -> std::collections::BTreeSet<Violation> {
    observed.violations.iter().map(|(violation, _)| *violation).collect()
}

fn submission(body: Body) -> Submission {
    let classes = [Class::Urgent, Class::Booking, Class::Query, Class::Batch, Class::Urgent];
    let task = |task| TaskSpec { memory_mb: None, payload: payload(body, task), run_time_ms: Some(100) };
    Submission {
        class: classes[body.0 % classes.len()],
        deadline_ms: Some([500, 2000, 3000][body.0 % 3]),
        definite: body.0.is_multiple_of(7),
        idempotent: body.0.is_multiple_of(4),
        key: None,
        service: "deicing".to_owned(),
        tasks: (0..tasks(body.0)).map(task).collect(),
        team: format!("team-{}", body.0 % 3),
        wait_ms: None,
    }
}

fn list_entry(index: usize, slots: u32, state: ListState) -> ListEntry {
    ListEntry {
        address: format!("127.0.0.1:{}", 9000 + index),
        data_centre: "dc1".to_owned(),
        id: upstream_id(index).to_string(),
        kind: InstanceKind::Upstream,
        memory_mb: 32_000,
        peer_address: String::new(),
        rack: format!("rack-{}", index / 2),
        service: "deicing".to_owned(),
        slots,
        state,
    }
}

fn upstream_id(index: usize) -> UpstreamId {
    format!("up-{index}").as_str().into()
}

fn upstream_index(id: &str) -> usize {
    id.trim_start_matches("up-").parse().unwrap()
}

fn entry_name(index: usize) -> hinge_wire::InstanceId {
    format!("entry-{index}").as_str().into()
}

fn entry_index(id: &str) -> usize {
    id.trim_start_matches("entry-").parse().unwrap()
}
