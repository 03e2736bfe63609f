//! The entries: their processes, inputs and outputs.

use hinge_mesh::Hello;
use hinge_node::{Engine, EntryRecord, Input, LogLine, Output};
use hinge_wire::FastSet;
use rand::Rng;
use tokio::time::Instant;

use crate::support::claimed;

use super::links::Side;
use super::orders::Action;
use super::{ENTRIES, Event, Simulation, UNIX_START_MS};

const TICK_US: u64 = 20_000;
/// Time without an iteration of the loop that counts as a suspension of the process.
const MIN_SUSPENSION_US: u64 = 600_000;
/// Longest time between two looks at the store.
const STORE_INTERVAL_US: u64 = 400_000;
/// Time for which the registration of a silent entry stays in the store, at least and at most.
const REGISTRATION_US: (u64, u64) = (1_300_000, 2_000_000);

pub(crate) struct Entry {
    engine: Engine,
    /// Number of the process; identifies messages to an earlier one.
    pub(crate) epoch: u32,
    /// When the process was frozen and until when.
    frozen_us: Option<(u64, u64)>,
    /// Time for which the entry was frozen so far.
    pub(crate) frozen_total_us: u64,
    inbox: Vec<Input>,
    pub(crate) incarnation: u64,
    last_wake_us: u64,
    number: usize,
    /// Whether the process, when its freeze ends, reads what has arrived before its timers run.
    pub(crate) reads_first: bool,
    /// By peer, until when a closed link is not opened again.
    pub(crate) redial_us: [u64; ENTRIES],
    /// When the registration of a silent process lapses.
    registered_until_us: u64,
    pub(crate) sides: Vec<Side>,
    pub(crate) unresponsive: FastSet<u64>,
    dead: bool,
    waking: bool,
}

impl Entry {
    pub(crate) fn new(now: Instant, number: usize, epoch: u32, started_unix_ms: u64) -> Self {
        let incarnation = (number as u64 + 1) * 1_000 + u64::from(epoch);
        let hello = hello(number, incarnation);
        Self {
            engine: Engine::new(now, hello, started_unix_ms, incarnation),
            epoch,
            frozen_us: None,
            frozen_total_us: 0,
            inbox: Vec::new(),
            incarnation,
            last_wake_us: 0,
            number,
            reads_first: true,
            redial_us: [0; ENTRIES],
            registered_until_us: u64::MAX,
            sides: vec![Side::default(); ENTRIES],
            unresponsive: FastSet::default(),
            dead: true,
            waking: false,
        }
    }

    pub(crate) fn hello(&self) -> Hello {
        hello(self.number, self.incarnation)
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.dead
    }

    pub(crate) fn frozen_until(&self, now_us: u64) -> Option<u64> {
        self.frozen_us.map(|(_, until_us)| until_us).filter(|until_us| now_us < *until_us)
    }

    /// Whether the process is neither dead nor frozen.
    pub(crate) fn runs(&self, now_us: u64) -> bool {
        !self.dead && self.frozen_until(now_us).is_none()
    }

    fn is_registered(&self, now_us: u64) -> bool {
        let silent = self.dead || self.frozen_until(now_us).is_some();
        !silent || now_us < self.registered_until_us
    }

    fn record(&self) -> EntryRecord {
        let hello = self.hello();
        EntryRecord {
            cpu_millis: 0,
            address: ([127, 0, 0, 1], 7_000).into(),
            data_centre: hello.data_centre,
            incarnation: hello.incarnation,
            instance: hello.instance,
        }
    }
}

fn hello(number: usize, incarnation: u64) -> Hello {
    let instance = format!("entry-{number}").into();
    Hello {
        data_centre: "dc1".into(),
        incarnation,
        instance,
        resumable: true,
        timestamps: true,
        cpu_millis: 0,
        dormancy: true,
    }
}

impl Simulation {
    /// Starts a new process of an entry.
    pub(crate) fn start_entry(&mut self, entry: usize) {
        let (epoch, old) = (self.entries[entry].epoch + 1, &self.entries[entry]);
        let sides = old.sides.iter().map(Side::without_link).collect();
        let redial_us = old.redial_us;
        self.entries[entry] = Entry {
            dead: false,
            last_wake_us: self.now_us,
            redial_us,
            sides,
            ..Entry::new(self.now(), entry, epoch, UNIX_START_MS + self.now_us / 1_000)
        };
        let (now, incarnation) = (self.now(), self.entries[entry].incarnation);
        self.entries[entry].engine.handle(now, claimed(now, incarnation));
        self.read_store(entry);
        self.maintain_links(entry);
        self.tick(entry);
    }

    pub(crate) fn tick(&mut self, entry: usize) {
        let epoch = self.entries[entry].epoch;
        self.schedule(self.now_us + TICK_US, Event::Tick { entry, epoch });
        self.schedule(self.now_us, Event::Wake { entry, epoch });
    }

    /// An entry reads the registered entries and upstreams.
    pub(crate) fn read_store(&mut self, entry: usize) {
        let registered = self.entries.iter().filter(|other| other.is_registered(self.now_us));
        let records = registered.map(Entry::record).collect();
        let upstreams = self.records();
        self.push_input(entry, Input::Entries(records));
        self.push_input(entry, Input::Upstreams(upstreams));
        let next_us = self.now_us + self.rng.random_range(STORE_INTERVAL_US / 2..STORE_INTERVAL_US);
        let epoch = self.entries[entry].epoch;
        self.schedule(next_us, Event::Store { entry, epoch });
    }

    /// Queues an input. The entry handles it with others that arrive until it wakes.
    pub(crate) fn push_input(&mut self, entry: usize, input: Input) {
        self.entries[entry].inbox.push(input);
        if !std::mem::replace(&mut self.entries[entry].waking, true) {
            let epoch = self.entries[entry].epoch;
            let delay_us = self.rng.random_range(0..500);
            self.schedule(self.now_us + delay_us, Event::Wake { entry, epoch });
        }
    }

    /// An iteration of the entry's loop.
    pub(crate) fn wake(&mut self, number: usize) {
        let (now, now_us) = (self.now(), self.now_us);
        let entry = &mut self.entries[number];
        entry.waking = false;
        let gap_us = now_us - std::mem::replace(&mut entry.last_wake_us, now_us);
        if gap_us > MIN_SUSPENSION_US {
            entry.engine.handle(now, Input::Suspended(std::time::Duration::from_micros(gap_us)));
            self.counts.suspensions += 1;
        }
        let entry = &mut self.entries[number];
        for input in std::mem::take(&mut entry.inbox) {
            entry.engine.handle(now, input);
        }
        entry.engine.handle(now, Input::Tick);
        entry.engine.flush(now);
        let mut outputs: Vec<_> = entry.engine.drain_outputs().collect();
        // The engine's maps have no fixed order; a fixed order here keeps a seed's course nearly the same.
        outputs.sort_by_cached_key(output_key);
        for output in outputs {
            self.execute_output(number, output);
        }
    }

    fn execute_output(&mut self, entry: usize, output: Output) {
        match output {
            Output::Answer { answer, submission } => self.answered(entry, answer, submission),
            Output::Config { .. } | Output::Evacuations(_) => {}
            Output::Hold(hold) => self.send_order(entry, Action::Hold(hold)),
            Output::Log(line) => self.note_log(entry, &line),
            Output::ResetLinks => self.reset_links(entry),
            Output::Send { message, peer } => self.send_message(entry, peer, message),
            Output::Start(start) => self.send_order(entry, Action::Start(start)),
            Output::Stop(stop) => self.send_order(entry, Action::Stop(stop)),
        }
    }

    fn note_log(&mut self, entry: usize, line: &LogLine) {
        use hinge_jobs::Notice as JobNotice;
        use hinge_runs::Notice as RunNotice;
        match line {
            LogLine::Job(JobNotice::Answered { ending, .. }) if !ending.is_zero() => self.counts.waited += 1,
            LogLine::Run(RunNotice::Ended { how: "fenced", .. }) => self.counts.fenced += 1,
            _ => {}
        }
        match line {
            LogLine::Job(JobNotice::Moved { .. }) => {}
            LogLine::Job(notice) => {
                self.note(|| format!("entry {entry} {notice:?}").replace("id: \"job", "id: \"job.job"))
            }
            LogLine::Run(notice) => self.note(|| format!("entry {entry} {notice:?}")),
            LogLine::Suspended(time) => self.note(|| format!("entry {entry} was suspended for {time:?}")),
            _ => {}
        }
    }

    /// Kills an entry, which starts again later. Without a closed connection its peers see only silence.
    pub(crate) fn kill(&mut self, entry: usize, closes: bool) {
        let down_us = self.rng.random_range(300_000..3_000_000);
        self.note(|| format!("entry {entry} is killed, closes connections: {closes}"));
        self.counts.kills += 1;
        if closes {
            self.close_links(entry);
        }
        self.set_silent(entry);
        self.entries[entry].dead = true;
        self.entries[entry].inbox.clear();
        self.schedule(self.now_us + down_us, Event::Restart { entry });
        self.callers_disconnected(entry);
    }

    /// Freezes an entry for a while.
    pub(crate) fn freeze(&mut self, entry: usize) {
        let frozen_us = self.rng.random_range(50_000..=self.faults.longest_freeze_ms * 1_000);
        self.note(|| format!("entry {entry} is frozen for {} ms", frozen_us / 1_000));
        self.counts.freezes += 1;
        self.set_silent(entry);
        self.entries[entry].frozen_us = Some((self.now_us, self.now_us + frozen_us));
        self.entries[entry].frozen_total_us += frozen_us;
        self.entries[entry].reads_first = self.rng.random_bool(0.5);
    }

    fn set_silent(&mut self, entry: usize) {
        let lapse_us = self.rng.random_range(REGISTRATION_US.0..REGISTRATION_US.1);
        self.entries[entry].registered_until_us = self.now_us + lapse_us;
    }
}

/// Orders outputs by kind, receiver and run. Messages to the same peer keep their order.
fn output_key(output: &Output) -> (u8, String) {
    match output {
        Output::Log(_) => (0, String::new()),
        Output::Answer { submission, .. } => (1, format!("{submission:>9}")),
        Output::Send { peer, .. } => (2, format!("{peer:>9}")),
        Output::Stop(stop) => (3, format!("{} {}", stop.upstream, stop.run)),
        Output::Start(start) => (4, format!("{} {}", start.upstream, start.run)),
        Output::Hold(hold) => (5, format!("{} {}", hold.upstream, hold.probe)),
        Output::Config { .. } | Output::Evacuations(_) | Output::ResetLinks => (6, String::new()),
    }
}
