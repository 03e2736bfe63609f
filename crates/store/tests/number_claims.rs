//! Claims of numbers by many processes at a store that loses answers, executes writes late, turns processes away and is down.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use hinge_store::{
    ConditionalPut, ConditionalWrites, Item, KeyspaceError, NumberClaim, NumberEvent, Revision,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::run;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

const PREFIX: &str = "holders/";
const MAX_NUMBER: u16 = 32_767;
/// Unix time at the start of the tests: noon.
const UNIX_MS: u64 = 20_000 * DAY_MS + DAY_MS / 2;
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;
/// Time that a call of the store takes.
const LATENCY: Duration = Duration::from_millis(4);
/// Time after which a caller gives up a call without an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// What happens to writes, in percent of the calls.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// Executed seconds later if the condition still holds; not answered.
    late: u32,
    /// Executed, not answered.
    lost_answer: u32,
    /// Not executed, not answered.
    lost_request: u32,
    /// Rejected.
    rejected: u32,
}

struct State {
    calls: u32,
    faults: Faults,
    items: BTreeMap<String, (Revision, Bytes)>,
    revision: Revision,
    rng: StdRng,
}

/// A store with conditional writes; clones share its state.
#[derive(Clone)]
struct FaultyStore(Arc<Mutex<State>>);

impl FaultyStore {
    fn new(seed: u64, faults: Faults) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self(Arc::new(Mutex::new(State { calls: 0, faults, items: BTreeMap::new(), revision: 0, rng })))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    fn set(&self, number: u16, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let item = (state.revision, Bytes::copy_from_slice(value.as_bytes()));
        state.items.insert(format!("{PREFIX}{number}"), item);
    }

    /// Sets the record of another process under a number.
    fn set_record(&self, number: u16, day: u64, incarnation: u64) {
        self.set(number, &format!(r#"{{"day":{day},"incarnation":{incarnation}}}"#));
    }

    fn value(&self, number: u16) -> String {
        let value = self.lock().items[&format!("{PREFIX}{number}")].1.clone();
        String::from_utf8(value.to_vec()).unwrap()
    }

    fn execute(&self, key: &str, expected: Revision, value: Bytes) -> ConditionalPut {
        let mut state = self.lock();
        let present = state.items.get(key).cloned();
        if present.as_ref().map_or(0, |(revision, _)| *revision) != expected {
            let item = |(revision, value)| Item { key: key.into(), revision, value };
            return ConditionalPut::Conflict(present.map(item));
        }
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (revision, value));
        ConditionalPut::Written(revision)
    }
}

impl ConditionalWrites for FaultyStore {
    async fn put_if(
        &self,
        key: &str,
        expected: Revision,
        value: Bytes,
    ) -> Result<ConditionalPut, KeyspaceError> {
        sleep(LATENCY).await;
        let (faults, draw, delay_ms) = {
            let mut state = self.lock();
            state.calls += 1;
            (state.faults, state.rng.random_range(0..100), state.rng.random_range(500..10_000))
        };
        let Faults { late, lost_answer, lost_request, rejected } = faults;
        if draw < rejected {
            return Err(KeyspaceError::Rejected(503));
        }
        if draw >= rejected + late + lost_answer + lost_request {
            return Ok(self.execute(key, expected, value));
        }
        if draw < rejected + lost_answer {
            self.execute(key, expected, value);
        } else if draw < rejected + lost_answer + late {
            let (store, key) = (self.clone(), key.to_owned());
            tokio::spawn(async move {
                sleep(Duration::from_millis(delay_ms)).await;
                store.execute(&key, expected, value)
            });
        }
        sleep(CALL_TIMEOUT).await;
        Err(KeyspaceError::Lost("no answer".to_owned()))
    }
}

/// A process that claims numbers.
struct Process {
    events: mpsc::Receiver<NumberEvent>,
    task: tokio::task::JoinHandle<()>,
}

impl Process {
    fn start(store: &FaultyStore, incarnation: u64) -> Self {
        Self::start_with(store, incarnation, MAX_NUMBER, UNIX_MS)
    }

    /// Starts a process whose clock shows `unix_ms`.
    fn start_with(store: &FaultyStore, incarnation: u64, max_number: u16, unix_ms: u64) -> Self {
        let (sender, events) = mpsc::channel(1_024);
        let claim = NumberClaim {
            events: sender,
            incarnation,
            max_number,
            prefix: PREFIX.into(),
            started_at: Instant::now(),
            started_unix_ms: unix_ms,
            store: store.clone(),
        };
        Self { events, task: tokio::spawn(claim.run()) }
    }

    /// The next number that the process holds, or renews, with the time until which it may use it.
    async fn held(&mut self) -> (u16, Instant) {
        loop {
            match self.events.recv().await.unwrap() {
                NumberEvent::Held { number, until } => return (number, until),
                NumberEvent::Failed(_) => {}
                NumberEvent::Lost => panic!("the number is lost"),
            }
        }
    }

    /// Waits until the process no longer holds its number.
    async fn lost(&mut self) {
        while self.events.recv().await.unwrap() != NumberEvent::Lost {}
    }
}

fn days(days: u64) -> Duration {
    Duration::from_millis(days * DAY_MS)
}

/// Guards against two processes with one number when all entries start at once, and against a start that takes long because of
/// clashes: with 1,825 entries the numbers of some 50 pairs clash.
#[test]
fn processes_that_start_at_once_get_different_numbers() {
    run(async {
        let store = FaultyStore::new(1, Faults::default());
        let start = Instant::now();
        let mut processes: Vec<_> = (1..=1_825).map(|number| Process::start(&store, number)).collect();
        let mut numbers = BTreeSet::new();
        for process in &mut processes {
            numbers.insert(process.held().await.0);
        }
        assert_eq!(numbers.len(), processes.len());
        assert!(start.elapsed() <= 4 * LATENCY, "{:?}", start.elapsed());
        let clashes = store.lock().calls - 1_825;
        assert!((1..200).contains(&clashes), "{clashes} clashes");
    });
}

/// Guards against two processes with one number when calls are rejected, answers are lost or writes are executed late, and
/// against claims that never end then. The numbers are few, so that most claims clash.
#[test]
fn a_store_with_faults_gives_different_numbers() {
    for seed in 0..40 {
        run(async {
            let faults = Faults { late: 15, lost_answer: 15, lost_request: 15, rejected: 15 };
            let store = FaultyStore::new(seed, faults);
            let mut processes: Vec<_> =
                (0..12).map(|number| Process::start_with(&store, seed * 100 + number, 40, UNIX_MS)).collect();
            let mut numbers = BTreeSet::new();
            for process in &mut processes {
                let held = timeout(Duration::from_secs(60), process.held()).await;
                numbers.insert(held.unwrap_or_else(|_| panic!("no number with seed {seed}")).0);
            }
            assert_eq!(numbers.len(), processes.len(), "seed {seed}");
        });
    }
}

/// Guards against a second number for a process whose first claim was executed without an answer, and against the same number
/// for another one.
#[test]
fn a_claim_with_a_lost_answer_is_recognised() {
    run(async {
        let store = FaultyStore::new(1, Faults { lost_answer: 100, ..Faults::default() });
        let mut process = Process::start(&store, 7);
        sleep(Duration::from_millis(100)).await;
        store.set_faults(Faults::default());
        let (number, _) = process.held().await;
        assert_eq!(store.lock().items.len(), 1);
        assert_eq!(store.value(number), r#"{"day":20000,"incarnation":7}"#);
    });
}

/// Guards against a process that counts a number as its own because it has asked for it: its call is executed late, after
/// another process has claimed the number. Guards also against calls without a pause while all numbers are taken.
#[test]
fn a_late_claim_does_not_replace_another_one() {
    run(async {
        let store = FaultyStore::new(1, Faults { late: 100, ..Faults::default() });
        let mut late = Process::start_with(&store, 7, 1, UNIX_MS);
        sleep(Duration::from_millis(100)).await;
        store.set_faults(Faults::default());
        let (number, _) = Process::start_with(&store, 8, 1, UNIX_MS).held().await;
        assert_eq!(number, 1);
        assert!(timeout(Duration::from_secs(60), late.held()).await.is_err(), "the only number is taken");
        assert!(store.lock().calls < 400, "{} calls", store.lock().calls);
        assert_eq!(store.value(1), r#"{"day":20000,"incarnation":8}"#);
    });
}

/// Guards against a process without a number for longer than the store is away, and against calls without a pause meanwhile.
#[test]
fn a_number_is_claimed_within_a_second_after_an_outage() {
    run(async {
        let store = FaultyStore::new(1, Faults { rejected: 100, ..Faults::default() });
        let mut process = Process::start(&store, 7);
        sleep(Duration::from_secs(60)).await;
        let calls = store.lock().calls;
        assert!((50..400).contains(&calls), "{calls} calls");
        store.set_faults(Faults::default());
        timeout(Duration::from_millis(1_100), process.held()).await.unwrap();
    });
}

/// Guards against the number of a process that may still use it, by its own clock, and against numbers that are never free
/// again: its tokens run ahead of its clock by up to a day. Of two processes one replaces the record.
#[test]
fn only_records_older_than_seven_days_are_replaced() {
    for (age_days, is_free) in [(0, false), (6, false), (7, false), (8, true), (400, true)] {
        run(async {
            let store = FaultyStore::new(1, Faults::default());
            store.set_record(1, 20_000 - age_days, 1);
            let mut held = 0;
            for mut process in [7, 8].map(|number| Process::start_with(&store, number, 1, UNIX_MS)) {
                held += u32::from(timeout(Duration::from_secs(60), process.held()).await.is_ok());
            }
            assert_eq!(held, u32::from(is_free), "{age_days} days");
        });
    }
}

/// Guards against a number that is taken for free because its holder's clock is ahead, or because another program has written
/// its value.
#[test]
fn odd_records_are_not_replaced() {
    let values = [
        r#"{"day":20001,"incarnation":1}"#,
        r#"{"day":18446744073709551615,"incarnation":1}"#,
        r#"{"day":18446744073709551615,"incarnation":7}"#,
        r#"{"incarnation":7}"#,
    ];
    for value in values {
        run(async {
            let store = FaultyStore::new(1, Faults::default());
            store.set(1, value);
            let mut process = Process::start_with(&store, 7, 1, UNIX_MS);
            assert!(timeout(Duration::from_secs(60), process.held()).await.is_err(), "{value}");
            assert_eq!(store.value(1), value);
        });
    }
}

/// Guards against a holder that uses its number although others may claim it: the store does not answer for days.
#[test]
fn a_claim_that_is_not_renewed_lapses_before_others_may_claim_it() {
    run(async {
        let store = FaultyStore::new(1, Faults::default());
        let start = Instant::now();
        let mut process = Process::start_with(&store, 7, 1, UNIX_MS);
        let (_, until) = process.held().await;
        store.set_faults(Faults { rejected: 100, ..Faults::default() });
        process.lost().await;
        assert_eq!(Instant::now(), until);
        assert!(start.elapsed() > days(5) && start.elapsed() < days(6), "{:?}", start.elapsed());
        process.task.abort();
        store.set_faults(Faults::default());
        let now_ms = UNIX_MS + u64::try_from(start.elapsed().as_millis()).unwrap();
        let mut next = Process::start_with(&store, 8, 1, now_ms);
        // The days that are left until the number is free, and the longest delay between two calls.
        assert!(timeout(days(1), next.held()).await.is_err());
        timeout(days(2), next.held()).await.unwrap();
    });
}

/// Guards against a process without a number for good after an outage of days.
#[test]
fn a_process_whose_claim_has_lapsed_claims_a_number_again() {
    run(async {
        let store = FaultyStore::new(1, Faults::default());
        let mut process = Process::start_with(&store, 7, 1, UNIX_MS);
        process.held().await;
        store.set_faults(Faults { rejected: 100, ..Faults::default() });
        process.lost().await;
        store.set_faults(Faults::default());
        let (_, until) = timeout(Duration::from_secs(2), process.held()).await.unwrap();
        assert!(until > Instant::now() + days(5));
    });
}

/// Guards against a claim that lapses although its holder reaches the store, and against a renewal that counts as failed because
/// its answer was lost.
#[test]
fn a_claim_is_renewed_daily_also_when_answers_are_lost_or_late() {
    run(async {
        let store = FaultyStore::new(1, Faults::default());
        let mut process = Process::start(&store, 7);
        let (number, mut until) = process.held().await;
        for _ in 0..10 {
            let renewed = process.held().await;
            assert!(renewed.0 == number && renewed.1 >= until && Instant::now() < until);
            until = renewed.1;
        }
        assert_eq!(store.lock().calls, 11);
        store.set_faults(Faults { late: 30, lost_answer: 30, lost_request: 30, rejected: 0 });
        for _ in 0..30 {
            assert_eq!(process.held().await.0, number);
        }
        assert_eq!(store.lock().items.len(), 1);
    });
}

/// Guards against a process that goes on with a number that another one has claimed meanwhile, as after the store has lost its
/// record.
#[test]
fn a_number_that_another_process_has_claimed_is_given_up() {
    run(async {
        let store = FaultyStore::new(1, Faults::default());
        let mut process = Process::start(&store, 7);
        let (number, _) = process.held().await;
        store.set_record(number, 20_000, 8);
        process.lost().await;
        let (next, _) = process.held().await;
        assert_ne!(next, number);
        assert_eq!(store.value(number), r#"{"day":20000,"incarnation":8}"#);
    });
}

/// Guards against a number that seems free for the rest of the life of its holder, because its record was removed.
#[test]
fn a_removed_record_is_written_again() {
    run(async {
        let store = FaultyStore::new(1, Faults::default());
        let mut process = Process::start(&store, 7);
        let (number, _) = process.held().await;
        store.lock().items.clear();
        assert_eq!(process.held().await.0, number);
        assert!(store.value(number).contains(r#""incarnation":7"#));
    });
}
