//! Kinds of tasks that slow each other down: found among other causes of long runs, and placed apart where there is room.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::collections::{BTreeMap, BTreeSet};

use hinge_runs::{
    Action, Assignment, EndKind, Event, HoldReply, InterferenceStats, Listing, Notice, Resources, Runner,
    StartReply,
};
use hinge_wire::{from_msgpack, to_msgpack};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::{HOME, assignment, end_of, ms, own, record, token};
use tokio::time::Instant;

const UPSTREAMS: [&str; 4] = ["up-1", "up-2", "up-3", "up-4"];
/// Time between two arrivals, in milliseconds.
const STEP_MS: u64 = 8;
/// Number of tasks of four kinds after which an interference of half the run time is found; a quarter of them are of the kind that
/// is slowed down.
const LEARNING_TASKS: u64 = 8_000;

/// What is true of the tasks, and the owner does not know.
#[derive(Clone, Copy, Debug)]
struct Truth {
    /// Factor of the run time of `victim` beside `noisy`.
    slowdown: f64,
    /// Factor of all run times on `up-1`.
    slow_upstream: f64,
}

const HARMLESS: Truth = Truth { slowdown: 1.0, slow_upstream: 2.0 };
const HARMFUL: Truth = Truth { slowdown: 1.5, ..HARMLESS };

/// A run in progress.
struct Running {
    ends_at: Instant,
    kind: String,
    task: String,
    upstream: String,
}

/// An owner of four upstreams under a load of random tasks.
struct Site {
    ends: BTreeMap<String, u64>,
    expected_ms: BTreeMap<String, u64>,
    next: u64,
    now: Instant,
    /// Pairs that count: the slowed kind and the other one.
    pairs: BTreeSet<(String, String)>,
    random: SmallRng,
    runner: Runner,
    running: Vec<Running>,
    /// Upstreams of the started tasks.
    started: Vec<String>,
    truth: Truth,
}

impl Site {
    fn new(truth: Truth, seed: u64, enabled: bool) -> Self {
        let mut site = Self {
            ends: BTreeMap::new(),
            expected_ms: BTreeMap::new(),
            next: 1,
            now: Instant::now(),
            pairs: BTreeSet::new(),
            random: SmallRng::seed_from_u64(seed),
            runner: Runner::default(),
            running: Vec::new(),
            started: Vec::new(),
            truth,
        };
        if enabled {
            site.handle(Event::SeparateInterferingTasks(true));
        }
        site.handle(Event::Upstreams(UPSTREAMS.map(|id| record(id, 1)).to_vec()));
        for id in UPSTREAMS {
            site.handle(own(token(1), id));
        }
        site
    }

    fn handle(&mut self, event: Event) {
        self.runner.handle(self.now, event);
        loop {
            let actions: Vec<_> = self.runner.drain_actions().collect();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute(action);
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Hold(hold) if hold.wait.is_zero() => {
                let reply = HoldReply::Listed(Listing { clock_ms: 1, ..Listing::default() });
                self.runner.handle(self.now, Event::HoldEnded { hold, reply });
            }
            Action::Start(start) => {
                let (kind, _) = start.run.task.split_once('.').unwrap();
                let (kind, upstream) = (kind.to_owned(), start.upstream.to_string());
                let ends_at = self.now + ms(self.run_time_ms(&kind, &upstream));
                self.started.push(upstream.clone());
                self.running.push(Running { ends_at, kind, task: start.run.task.to_string(), upstream });
                self.runner.handle(
                    self.now,
                    Event::StartEnded { reply: StartReply::Started { clock_ms: 1 }, start },
                );
            }
            Action::Notice(Notice::Interference { beside, counts, kind, .. }) => {
                let pair = (kind.to_string(), beside.to_string());
                assert!(if counts { self.pairs.insert(pair) } else { self.pairs.remove(&pair) });
            }
            Action::Hold(_) | Action::Notice(_) | Action::Report { .. } | Action::Stop(_) => {}
        }
    }

    /// Run times vary by 0.4 (log-normal), and 3% of the tasks take seven times as long.
    fn run_time_ms(&mut self, kind: &str, upstream: &str) -> u64 {
        let mean_ms = match kind {
            "long" => 100.0,
            // Expected to take 30 ms.
            "misjudged" => 60.0,
            _ => 30.0,
        };
        let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        let tail = if self.random.random_bool(0.03) { 7.0 } else { 1.0 };
        let is_noisy = |run: &Running| run.upstream == upstream && run.kind == "noisy";
        let beside_noisy = kind == "victim" && self.running.iter().any(is_noisy);
        let slowdown = if beside_noisy { self.truth.slowdown } else { 1.0 };
        let slow_upstream = if upstream == "up-1" { self.truth.slow_upstream } else { 1.0 };
        (mean_ms * (0.4 * normal).exp() * tail * slowdown * slow_upstream).clamp(1.0, 900.0).round() as u64
    }

    fn assign(&mut self, kind: &str, cores: u64) {
        let id = self.next;
        self.next += 1;
        let need = Resources { cpu_millis: cores * 1_000, gpus: 0, memory_mb: 64 };
        let expected_ms = self.expected_ms.get(kind).copied().unwrap_or(30);
        let task = assignment(id, &format!("{kind}.{id}"), 1);
        let assignment = Assignment { expected_ms, need, kind: Some(kind.into()), ..task };
        self.handle(Event::Assigned { assignment, home: HOME, sent_after: self.now });
    }

    /// Ends the runs that are over.
    fn end_runs(&mut self) {
        let now = self.now;
        let mut over: Vec<_> = self.running.extract_if(.., |run| run.ends_at <= now).collect();
        over.sort_by_key(|run| run.ends_at);
        for run in over {
            let number = self.ends.entry(run.upstream.clone()).or_default();
            *number += 1;
            let ended = end_of(&run.upstream, &run.task, EndKind::Done, *number, now);
            self.handle(ended);
        }
    }

    fn step(&mut self, time_ms: u64) {
        self.now += ms(time_ms);
        self.end_runs();
        self.handle(Event::Tick);
    }

    /// Serves tasks of four kinds: about 40% of the capacity.
    fn serve(&mut self, tasks: u64) {
        self.expected_ms.insert("long".to_owned(), 100);
        for _ in 0..tasks {
            let kind = ["victim", "noisy", "long", "misjudged"][self.random.random_range(0..4)];
            self.assign(kind, 4);
            self.step(STEP_MS);
        }
    }

    fn learned(seed: u64) -> Self {
        let mut site = Self::new(HARMFUL, seed, true);
        site.serve(LEARNING_TASKS);
        site
    }

    /// Ends all runs.
    fn drain(&mut self) {
        while !self.running.is_empty() {
            self.step(20);
        }
    }

    /// Ends all runs, and replaces the upstreams by new ones that are equally fast.
    fn move_to(&mut self, upstreams: &[&str]) {
        self.drain();
        self.handle(Event::Upstreams(upstreams.iter().map(|id| record(id, 1)).collect()));
        for id in upstreams {
            self.handle(own(token(1), id));
        }
    }

    /// Assigns a task that must start at once; returns its upstream.
    fn start(&mut self, kind: &str) -> &str {
        let started = self.started.len();
        self.assign(kind, 4);
        assert_eq!(self.started.len(), started + 1, "{kind}");
        &self.started[started]
    }
}

fn victim_and_noisy() -> BTreeSet<(String, String)> {
    [("victim".to_owned(), "noisy".to_owned())].into_iter().collect()
}

/// Guards against an interference that is not found, or attributed to a slow upstream, to a kind with long tasks or to one
/// whose run times are estimated wrongly, under a load of all of them with run times that vary by 0.4.
#[test]
fn a_kind_that_slows_another_down_by_half_is_found_among_other_causes() {
    for seed in 0..4 {
        assert_eq!(Site::learned(seed).pairs, victim_and_noisy(), "seed {seed}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Guards against kinds that seem to interfere because their run times are uneven, under the load above without
    /// interference: each task is placed as if the feature were off.
    #[test]
    fn kinds_that_do_not_interfere_are_never_separated(seed: u64) {
        let [mut on, mut off] = [true, false].map(|enabled| Site::new(HARMLESS, seed, enabled));
        for _ in 0..8 {
            on.serve(LEARNING_TASKS / 8);
            off.serve(LEARNING_TASKS / 8);
            prop_assert_eq!(&on.pairs, &BTreeSet::new());
        }
        prop_assert_eq!(on.started, off.started);
    }
}

/// Guards against a feature that is on without being asked for, under the load above with interference.
#[test]
fn nothing_is_learned_by_default() {
    let mut site = Site::new(HARMFUL, 1, false);
    site.serve(LEARNING_TASKS);
    assert_eq!(site.pairs, BTreeSet::new());
    assert_eq!(site.runner.interference_stats(), InterferenceStats::default());
}

/// Guards against a finding that has no effect, on two idle upstreams.
#[test]
fn kinds_that_interfere_are_placed_apart_where_there_is_room() {
    for (first, second) in [("noisy", "victim"), ("victim", "noisy")] {
        let mut site = Site::learned(1);
        site.move_to(&["new-1", "new-2"]);
        let before = site.runner.interference_stats();
        assert_eq!(before.pairs, 1);
        assert_eq!(
            [first, "long", second].map(|kind| site.start(kind).to_owned()),
            ["new-1", "new-1", "new-2"]
        );
        assert_eq!(site.runner.interference_stats().separated, before.separated + 1);
    }
}

/// Guards against tasks that wait, or are refused, while there is room beside a kind that slows them down: two upstreams are
/// filled with both kinds.
#[test]
fn no_task_waits_because_of_interference() {
    let mut site = Site::learned(1);
    site.move_to(&["new-1", "new-2"]);
    for kind in ["noisy", "victim"].repeat(4) {
        site.start(kind);
    }
}

/// Guards against a finding that stays when the tasks have changed: no run of the two kinds for half an hour.
#[test]
fn a_finding_vanishes_when_the_evidence_stops() {
    let mut site = Site::learned(1);
    site.move_to(&["new-1", "new-2"]);
    for _ in 0..180 {
        site.step(10_000);
    }
    assert_eq!(site.pairs, BTreeSet::new());
    assert_eq!(site.runner.interference_stats().pairs, 0);
    // The clocks of the upstreams must be read again before the next start.
    site.move_to(&["new-3", "new-4"]);
    assert_eq!(["noisy", "victim"].map(|kind| site.start(kind).to_owned()), ["new-3"; 2]);
}

/// Guards against findings that outlive the feature, in the middle of the load above.
#[test]
fn switching_off_drops_the_findings() {
    let mut site = Site::learned(1);
    site.handle(Event::SeparateInterferingTasks(false));
    assert_eq!(site.runner.interference_stats().pairs, 0);
    site.move_to(&["new-1", "new-2"]);
    assert_eq!(["noisy", "victim"].map(|kind| site.start(kind).to_owned()), ["new-1"; 2]);
}

/// Guards against memory that grows with the names that homes send: the load above after 64 other kinds.
#[test]
fn kinds_beyond_64_are_served_without_being_told_apart() {
    let mut site = Site::new(HARMFUL, 1, true);
    for kind in 0..64 {
        site.assign(&format!("kind-{kind}"), 4);
        site.drain();
    }
    site.serve(LEARNING_TASKS);
    site.drain();
    assert_eq!(site.pairs, BTreeSet::new());
    assert_eq!(site.started.len() as u64, 64 + LEARNING_TASKS);
}

/// Guards against assignments that entries of another version cannot read, in a rolling upgrade.
#[test]
fn assignments_without_a_kind_are_encoded_as_before() {
    let without = assignment(1, "task", 1);
    let with = Assignment { kind: Some("queue".into()), ..without.clone() };
    let encoded = to_msgpack(&without).unwrap();
    assert!(!encoded.windows(4).any(|bytes| bytes == b"kind"));
    assert_eq!(from_msgpack::<Assignment>(&encoded).unwrap(), without);
    assert_eq!(from_msgpack::<Assignment>(&to_msgpack(&with).unwrap()).unwrap(), with);
}
