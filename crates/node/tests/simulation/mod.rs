//! Three entries, their upstreams and their callers, in virtual time and without a network.
//!
//! Callers send a failed job again as soon as they have the answer, and 1.3 s after a broken connection.

mod callers;
mod entries;
mod faults;
mod links;
mod orders;
mod upstream;

use std::collections::BTreeMap;
use std::time::Duration;

use hinge_node::Input;
use hinge_runs::{Resources, UpstreamRecord};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use callers::{Job, Submission};
use entries::Entry;
pub(crate) use faults::{Faults, NO_FAULTS};
use links::Frame;
use orders::Order;
use upstream::Upstream;

pub(crate) const SERVICE: &str = "deicing";
pub(crate) const NEED: Resources = Resources { cpu_millis: 4_000, gpus: 0, memory_mb: 64 };
/// Unix time at which the simulation begins.
const UNIX_START_MS: u64 = 1_700_000_000_000;
const ENTRIES: usize = 3;
const JOBS: usize = 16;
/// Time in which jobs are sent for the first time, and in which faults occur.
const ACTIVE_US: u64 = 6_000_000;
/// Time after which the simulation ends.
const DURATION_US: u64 = 14_000_000;

pub(crate) fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Something that happens at a scheduled time. Events of a process carry its `epoch`, and are void after its end.
enum Event {
    CallerLeaves { submission: usize },
    Deadline { submission: usize },
    Down { at: usize, link: u64, peer: usize, silent: bool },
    Fault,
    Frame { frame: Frame, from: usize, link: u64, to: usize },
    Input { entry: usize, epoch: u32, input: Box<Input> },
    Links { entry: usize, epoch: u32 },
    Order(Box<Order>),
    Restart { entry: usize },
    Store { entry: usize, epoch: u32 },
    Submit { job: usize },
    Tick { entry: usize, epoch: u32 },
    Upstream { upstream: usize },
    Wake { entry: usize, epoch: u32 },
}

/// What happened in a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) abandoned: usize,
    pub(crate) completed: usize,
    pub(crate) failed: usize,
    pub(crate) fenced: usize,
    pub(crate) freezes: usize,
    pub(crate) kills: usize,
    pub(crate) late_orders: usize,
    pub(crate) lost_links: usize,
    pub(crate) rejected: usize,
    /// Jobs sent again at once after an answer that they have failed.
    pub(crate) resubmitted: usize,
    pub(crate) starts: usize,
    pub(crate) suspensions: usize,
    /// Answers for which a job waited for the end of its runs.
    pub(crate) waited: usize,
}

impl Counts {
    pub(crate) fn add(&mut self, other: &Self) {
        self.abandoned += other.abandoned;
        self.completed += other.completed;
        self.failed += other.failed;
        self.fenced += other.fenced;
        self.freezes += other.freezes;
        self.kills += other.kills;
        self.late_orders += other.late_orders;
        self.lost_links += other.lost_links;
        self.rejected += other.rejected;
        self.resubmitted += other.resubmitted;
        self.starts += other.starts;
        self.suspensions += other.suspensions;
        self.waited += other.waited;
    }
}

pub(crate) struct Simulation {
    base: Instant,
    pub(crate) counts: Counts,
    entries: Vec<Entry>,
    events: BTreeMap<(u64, u64), Event>,
    faults: Faults,
    jobs: Vec<Job>,
    next_event: u64,
    next_link: u64,
    now_us: u64,
    rng: StdRng,
    submissions: Vec<Submission>,
    /// What happened, for the message of a failed check.
    pub(crate) timeline: Vec<(u64, String)>,
    upstreams: Vec<Upstream>,
}

impl Simulation {
    fn new(seed: u64, faults: Faults) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(3..=4);
        let upstreams =
            (0..count).map(|number| Upstream::new(&format!("up-{number}"), rng.random_range(980..=1_000)));
        let upstreams = upstreams.collect();
        let base = Instant::now();
        Self {
            base,
            counts: Counts::default(),
            entries: (0..ENTRIES).map(|number| Entry::new(base, number, 0, 0)).collect(),
            events: BTreeMap::new(),
            faults,
            jobs: Vec::new(),
            next_event: 0,
            next_link: 0,
            now_us: 0,
            rng,
            submissions: Vec::new(),
            timeline: Vec::new(),
            upstreams,
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at_us.max(self.now_us), self.next_event), event);
    }

    fn note(&mut self, text: impl FnOnce() -> String) {
        self.timeline.push((self.now_us, text()));
    }

    /// Fails the test with the timeline of a job.
    fn fail(&self, job: usize, text: &str) -> ! {
        let name = format!("job{job}.");
        let about = |line: &&(u64, String)| line.1.contains(&name) || !line.1.contains("job");
        let lines = self.timeline.iter().filter(about);
        let lines: Vec<_> = lines.map(|(at_us, line)| format!("{:>8} {line}", at_us / 100 * 100)).collect();
        panic!("{text} at {} us\n{}", self.now_us, lines.join("\n"));
    }

    fn records(&self) -> Vec<UpstreamRecord> {
        self.upstreams.iter().map(|upstream| upstream.record(self.now_us)).collect()
    }

    /// The process that an event is for, unless every process receives it at once.
    fn receiver(event: &Event) -> Option<usize> {
        match event {
            Event::Down { at, .. } => Some(*at),
            Event::Frame { to, .. } => Some(*to),
            Event::Input { entry, .. }
            | Event::Links { entry, .. }
            | Event::Store { entry, .. }
            | Event::Tick { entry, .. }
            | Event::Wake { entry, .. } => Some(*entry),
            _ => None,
        }
    }

    /// Whether an event is for a process that has ended.
    fn is_void(&self, event: &Event) -> bool {
        match event {
            Event::Input { entry, epoch, .. }
            | Event::Links { entry, epoch }
            | Event::Store { entry, epoch }
            | Event::Tick { entry, epoch }
            | Event::Wake { entry, epoch } => self.entries[*entry].epoch != *epoch,
            _ => false,
        }
    }

    fn dispatch(&mut self, event: Event) {
        if self.is_void(&event) {
            return;
        }
        if let Some(entry) = Self::receiver(&event) {
            if self.entries[entry].is_dead() {
                return;
            }
            if let Some(until_us) = self.entries[entry].frozen_until(self.now_us) {
                // A process that was frozen reads what has arrived meanwhile before or after its timers run.
                let timer = !matches!(event, Event::Frame { .. } | Event::Input { .. });
                let delay_us = if timer == self.entries[entry].reads_first { 2_000 } else { 0 };
                return self.schedule(until_us + delay_us, event);
            }
        }
        match event {
            Event::CallerLeaves { submission } => self.caller_leaves(submission),
            Event::Deadline { submission } => self.check_deadline(submission),
            Event::Down { at, link, peer, silent } => self.link_down(at, peer, link, silent),
            Event::Fault => self.fault(),
            Event::Frame { frame, from, link, to } => self.receive(from, to, link, frame),
            Event::Input { input, .. } if self.is_dropped(&input) => {}
            Event::Input { entry, input, .. } => self.push_input(entry, *input),
            Event::Links { entry, .. } => self.maintain_links(entry),
            Event::Order(order) => self.execute(*order),
            Event::Restart { entry } => self.start_entry(entry),
            Event::Store { entry, .. } => self.read_store(entry),
            Event::Submit { job } => self.submit(job),
            Event::Tick { entry, .. } => self.tick(entry),
            Event::Upstream { upstream } => self.advance_upstream(upstream),
            Event::Wake { entry, .. } => self.wake(entry),
        }
    }
}

pub(crate) fn simulate(seed: u64, faults: Faults) -> Simulation {
    let mut simulation = Simulation::new(seed, faults);
    for entry in 0..ENTRIES {
        simulation.start_entry(entry);
    }
    for job in 0..JOBS {
        let at_us = simulation.rng.random_range(300_000..ACTIVE_US);
        simulation.add_job(job);
        simulation.schedule(at_us, Event::Submit { job });
    }
    simulation.schedule_fault();
    while let Some(((at_us, _), event)) = simulation.events.pop_first() {
        if at_us > DURATION_US {
            break;
        }
        simulation.now_us = at_us;
        simulation.dispatch(event);
    }
    simulation
}
