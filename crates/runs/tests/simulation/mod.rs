//! Two processes, each the owner of an upstream and a home, in virtual time and without a network.
//!
//! Callers of a lost home, and callers that disconnect, resubmit their jobs 1.3 s later. With [`Faults::answers`], callers that
//! get an answer resubmit at once; it waits as in `hinge-jobs`. Late orders count their lease from
//! their arrival, and reach an upstream that has restarted meanwhile, if the [`Faults`] say so.

mod faults;

use std::collections::BTreeMap;
use std::ops::Range;

use hinge_runs::{
    Action, Event, Fence, HoldReply, Holder, HomeId, Outcome, RunId, Runner, StartReply, TaskReport,
    UpstreamRecord,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::support::{FakeUpstream, assignment, ms, own, record};

const STEP_MS: u64 = 5;
const DURATION_MS: u64 = 12_000;
/// Time after which a caller without an answer resubmits its job.
const RESUBMIT_MS: u64 = 1_300;
/// Time after which the link to a silent process is down.
const LINK_SILENCE_MS: u64 = 500;
/// Time after which the upstreams of a silent owner are taken over.
const TAKEOVER_MS: u64 = 2_500;
/// Time after the loss of the link to an owner, or after a cancellation, after which a home answers without a report.
const LOST_OWNER_LIMIT_MS: u64 = 1_400;
const CANCELLED_RUN_LIMIT_MS: u64 = 2_000;
const TASKS: u64 = 12;
/// Share of orders that are executed late and not answered.
const LATE_SHARE: f64 = 0.06;
/// Delays of late orders: beyond all leases, and from within a lease to beyond it.
const LONG_DELAYS_MS: Range<u64> = 2_000..12_000;
const SHORT_DELAYS_MS: Range<u64> = 100..2_500;
const RUN_TIME_MS: u64 = 900;
/// Run times on upstreams of normal and low speed; some are longer than a resubmission takes.
const LONG_RUN_TIMES_MS: [u64; 3] = [900, 1_800, 5_000];

/// Faults in addition to kills, freezes and late orders.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Homes cancel tasks whose job fails, and callers resubmit their jobs as soon as they have an answer.
    pub(crate) answers: bool,
    /// Processes that do not see each other take over the same upstream, whose last token both know.
    pub(crate) blind_takeovers: bool,
    /// Callers disconnect and resubmit their jobs.
    pub(crate) disconnects: bool,
    /// The lease of a late hold counts from its arrival.
    pub(crate) late_renewals: bool,
    /// Homes answer the jobs on an owner whose link is down, and callers resubmit them.
    pub(crate) link_losses: bool,
    /// Half of the orders are late instead of [`LATE_SHARE`].
    pub(crate) many_late_orders: bool,
    /// Run times of up to [`LONG_RUN_TIMES_MS`] instead of [`RUN_TIME_MS`].
    pub(crate) long_runs: bool,
    /// Upstreams crash and start again without state.
    pub(crate) restarts: bool,
    /// Late orders are late by [`SHORT_DELAYS_MS`] instead of [`LONG_DELAYS_MS`].
    pub(crate) short_delays: bool,
    /// Late orders for a crashed process of an upstream reach its next one; otherwise they are lost with it.
    pub(crate) stale_orders: bool,
}

pub(crate) const LONG_RUNS: Faults = Faults {
    answers: false,
    blind_takeovers: false,
    disconnects: false,
    late_renewals: false,
    link_losses: true,
    long_runs: true,
    many_late_orders: false,
    restarts: false,
    short_delays: false,
    stale_orders: false,
};

pub(crate) const ALL_BUT_STALE_ORDERS: Faults =
    Faults { disconnects: true, late_renewals: true, restarts: true, ..LONG_RUNS };

#[derive(Clone, Debug)]
enum Message {
    /// The assignment's job has failed.
    Cancel {
        assignment: u64,
    },
    /// The runs of the assignment have ended for certain.
    Expired {
        assignment: u64,
    },
    Disconnect {
        assignment: u64,
    },
    Event {
        event: Event,
        owner: usize,
        epoch: u32,
    },
    /// An order that the upstream executes now; `late_ms` is its delay if it is late, in which case it has no answer.
    /// `crashes` is the number of crashes of upstreams before it was sent.
    Order {
        action: Action,
        crashes: usize,
        late_ms: Option<u64>,
        epoch: u32,
        owner: usize,
    },
    /// The records in the store, as an owner sees them.
    Records {
        owner: usize,
    },
    Resubmit {
        task: u64,
    },
}

struct Process {
    frozen_until_ms: Option<u64>,
    /// Number of starts of the process; identifies messages of an earlier one.
    epoch: u32,
    runner: Runner,
    /// When the process was killed or frozen; none while it runs.
    silent_since_ms: Option<u64>,
    /// Whether the peer has detected that the link is down.
    link_down: bool,
    /// Whether the peer has taken over the upstream.
    taken_over: bool,
}

/// An assignment that its home has not seen the end of.
struct Assigned {
    /// Whether only the end of its run is awaited.
    cancelled: bool,
    home: HomeId,
    owner: usize,
    task: u64,
}

pub(crate) struct Simulation {
    assignments: BTreeMap<u64, Assigned>,
    base: Instant,
    /// Upstreams in the order of their crashes.
    crashed: Vec<String>,
    /// Upstreams whose process is down, with the time of the restart.
    down: BTreeMap<String, u64>,
    faults: Faults,
    messages: Vec<(u64, Message)>,
    next_assignment: u64,
    now_ms: u64,
    processes: [Process; 2],
    rng: StdRng,
    /// Number of the last run of each task.
    pub(crate) runs: BTreeMap<u64, u64>,
    pub(crate) upstreams: BTreeMap<String, FakeUpstream>,
}

fn process(epoch: u32) -> Process {
    Process {
        frozen_until_ms: None,
        epoch,
        link_down: false,
        runner: Runner::default(),
        silent_since_ms: None,
        taken_over: false,
    }
}

fn home_id(owner: usize, epoch: u32) -> HomeId {
    owner as u64 * 1_000 + u64::from(epoch)
}

impl Simulation {
    fn new(seed: u64, faults: Faults) -> Self {
        let upstreams = ["up-0", "up-1"].map(|id| (id.to_owned(), FakeUpstream::new()));
        let mut simulation = Self {
            assignments: BTreeMap::new(),
            base: Instant::now(),
            crashed: Vec::new(),
            down: BTreeMap::new(),
            faults,
            messages: Vec::new(),
            next_assignment: 1,
            now_ms: 0,
            processes: [process(1), process(1)],
            rng: StdRng::seed_from_u64(seed),
            runs: BTreeMap::new(),
            upstreams: BTreeMap::from(upstreams),
        };
        for owner in 0..2 {
            simulation.start_process(owner);
        }
        simulation
    }

    fn now(&self) -> Instant {
        self.base + ms(self.now_ms)
    }

    fn records(&self) -> Vec<UpstreamRecord> {
        self.upstreams.iter().map(|(id, upstream)| record(id, upstream.incarnation)).collect()
    }

    fn fence(&self, owner: usize) -> Fence {
        let number = home_id(owner, self.processes[owner].epoch);
        Fence::at(self.now_ms, Holder::new(u16::try_from(number).unwrap()).unwrap())
    }

    fn start_process(&mut self, owner: usize) {
        self.handle(owner, Event::Upstreams(self.records()));
        let fence = self.fence(owner);
        self.handle(owner, own(fence, &format!("up-{owner}")));
    }

    fn handle(&mut self, owner: usize, event: Event) {
        let now = self.now();
        self.processes[owner].runner.handle(now, event);
        let actions: Vec<_> = self.processes[owner].runner.drain_actions().collect();
        for action in actions {
            self.action(owner, action);
        }
    }

    fn action(&mut self, owner: usize, action: Action) {
        let epoch = self.processes[owner].epoch;
        match action {
            Action::Report { report, .. } => {
                if report.outcome != Outcome::Started {
                    self.report(&report);
                }
            }
            Action::Notice(_) => {}
            action => {
                let late_share = if self.faults.many_late_orders { 0.5 } else { LATE_SHARE };
                let delays_ms = if self.faults.short_delays { SHORT_DELAYS_MS } else { LONG_DELAYS_MS };
                let late_ms = self.rng.random_bool(late_share).then(|| self.rng.random_range(delays_ms));
                let delay_ms = late_ms.unwrap_or_else(|| self.rng.random_range(0..3));
                if late_ms.is_some() {
                    self.drop_answer(owner, epoch, &action, 200);
                }
                let crashes = self.crashed.len();
                let order = Message::Order { action, crashes, late_ms, epoch, owner };
                self.messages.push((self.now_ms + delay_ms, order));
            }
        }
    }

    /// Reports a lost answer to the sender of an order after `after_ms`.
    fn drop_answer(&mut self, owner: usize, epoch: u32, action: &Action, after_ms: u64) {
        let event = match action {
            Action::Hold(hold) => Event::HoldEnded { hold: hold.clone(), reply: HoldReply::Lost },
            Action::Start(start) => Event::StartEnded { reply: StartReply::Lost, start: start.clone() },
            _ => return,
        };
        self.messages.push((self.now_ms + after_ms, Message::Event { event, epoch, owner }));
    }

    fn order(&mut self, owner: usize, epoch: u32, crashes: usize, late_ms: Option<u64>, action: Action) {
        let id = match &action {
            Action::Hold(hold) => &hold.upstream,
            Action::Start(start) => &start.upstream,
            Action::Stop(stop) => &stop.upstream,
            Action::Notice(_) | Action::Report { .. } => return,
        };
        let is_stale = self.crashed[crashes..].iter().any(|crashed| **crashed == **id);
        if is_stale && late_ms.is_some() && !self.faults.stale_orders {
            return;
        }
        if self.down.contains_key(&**id) {
            if late_ms.is_none() {
                self.drop_answer(owner, epoch, &action, 1);
            }
            return;
        }
        let run_time_ms = if self.faults.long_runs {
            LONG_RUN_TIMES_MS[self.rng.random_range(0..LONG_RUN_TIMES_MS.len())]
        } else {
            RUN_TIME_MS
        };
        let upstream = self.upstreams.get_mut(&**id).unwrap();
        upstream.run_time_ms = run_time_ms;
        let event = match action {
            Action::Hold(hold) => {
                if let Some(late_ms) = late_ms {
                    let counted_ms = if self.faults.late_renewals { late_ms } else { 0 };
                    upstream.late_hold(&hold, counted_ms);
                    return;
                }
                let reply = upstream.hold(&hold);
                Event::HoldEnded { hold, reply }
            }
            Action::Start(start) => {
                let reply = upstream.start(&start);
                Event::StartEnded { reply, start }
            }
            Action::Stop(stop) => return upstream.stop(stop.fence, &stop.run),
            Action::Notice(_) | Action::Report { .. } => return,
        };
        if late_ms.is_none() {
            // A fixed short wait instead of the wait for the end of a run.
            let wait_ms = if matches!(event, Event::HoldEnded { .. }) { 20 } else { 1 };
            self.messages.push((self.now_ms + wait_ms, Message::Event { event, epoch, owner }));
        }
    }

    /// Handles an owner's report as the home of the task.
    fn report(&mut self, report: &TaskReport) {
        let Some(Assigned { cancelled, task, .. }) = self.assignments.remove(&report.assignment) else {
            return;
        };
        match report.outcome {
            Outcome::Started => {}
            Outcome::Done | Outcome::Failed if !cancelled => {}
            Outcome::Done | Outcome::Failed | Outcome::Interrupted | Outcome::NotStarted => {
                let again = self.now_ms + 1;
                self.messages.push((again, Message::Resubmit { task }));
            }
            Outcome::Uncertain => {
                let known_ms = report.ends_within_ms.unwrap_or(CANCELLED_RUN_LIMIT_MS);
                let after_ms = if self.faults.answers { known_ms } else { RESUBMIT_MS };
                self.messages.push((self.now_ms + after_ms, Message::Resubmit { task }));
            }
        }
    }

    fn submit(&mut self, task: u64) {
        let live: Vec<_> = (0..2).filter(|owner| self.processes[*owner].silent_since_ms.is_none()).collect();
        let Some(home) = live.first().map(|_| live[self.rng.random_range(0..live.len())]) else {
            self.messages.push((self.now_ms + RESUBMIT_MS, Message::Resubmit { task }));
            return;
        };
        let owner = live[self.rng.random_range(0..live.len())];
        let id = self.next_assignment;
        self.next_assignment += 1;
        let run = self.runs.entry(task).and_modify(|run| *run += 1).or_insert(1);
        let assignment = assignment(id, &format!("task.{task}"), *run);
        let home_id = home_id(home, self.processes[home].epoch);
        self.assignments.insert(id, Assigned { cancelled: false, home: home_id, owner, task });
        if self.faults.answers && self.rng.random_bool(0.2) {
            let after_ms = self.rng.random_range(1..1_000);
            self.messages.push((self.now_ms + after_ms, Message::Cancel { assignment: id }));
        }
        if self.faults.disconnects && self.rng.random_bool(0.1) {
            let after_ms = self.rng.random_range(10..1_000);
            self.messages.push((self.now_ms + after_ms, Message::Disconnect { assignment: id }));
        }
        let sent_after = self.now();
        self.handle(owner, Event::Assigned { assignment, home: home_id, sent_after });
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        for upstream in self.upstreams.values_mut() {
            upstream.advance(STEP_MS);
        }
        self.restart_upstreams();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at_ms, _)| *at_ms <= self.now_ms);
        self.messages = later;
        for (_, message) in due {
            self.deliver(message);
            self.check();
        }
        for owner in 0..2 {
            self.detect_silence(owner);
            if self.processes[owner].silent_since_ms.is_none() {
                self.handle(owner, Event::Tick);
            }
        }
        if self.rng.random_bool(0.002) {
            let owner = self.rng.random_range(0..2);
            let killed = self.rng.random_bool(0.5);
            self.kill_or_freeze(owner, killed);
        }
        if self.faults.blind_takeovers && self.rng.random_bool(0.004) {
            self.take_over_blindly();
        }
        if self.faults.restarts && self.rng.random_bool(0.001) {
            self.crash_upstream();
        }
        self.check();
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Event { event, owner, epoch } => {
                let process = &self.processes[owner];
                if process.epoch != epoch {
                    return;
                }
                match process.frozen_until_ms {
                    // Data is buffered in the sockets of a frozen process.
                    Some(until_ms) => {
                        self.messages.push((until_ms + 1, Message::Event { event, owner, epoch }));
                    }
                    None => self.handle(owner, event),
                }
            }
            Message::Cancel { assignment } => self.cancel(assignment),
            Message::Disconnect { assignment } => self.disconnect(assignment),
            Message::Expired { assignment } => self.expire(assignment),
            Message::Order { action, crashes, late_ms, epoch, owner } => {
                self.order(owner, epoch, crashes, late_ms, action);
            }
            Message::Records { owner } => {
                if self.processes[owner].silent_since_ms.is_none() {
                    self.handle(owner, Event::Upstreams(self.records()));
                }
            }
            Message::Resubmit { task } => self.submit(task),
        }
    }

    /// Checks that no task has two concurrent runs.
    fn check(&self) {
        let mut running: BTreeMap<&str, &RunId> = BTreeMap::new();
        for upstream in self.upstreams.values() {
            for run in &upstream.running {
                if let Some(other) = running.insert(&run.id.task, &run.id) {
                    panic!("{other} and {} run at {} ms", run.id, self.now_ms);
                }
            }
        }
    }
}

pub(crate) fn simulate(seed: u64, faults: Faults) -> Simulation {
    let mut simulation = Simulation::new(seed, faults);
    for task in 0..TASKS {
        let at_ms = simulation.rng.random_range(10..DURATION_MS / 2);
        simulation.messages.push((at_ms, Message::Resubmit { task }));
    }
    while simulation.now_ms < DURATION_MS {
        simulation.step();
    }
    simulation
}
