//! In-memory store with injected faults, for tests on the runtime's paused clock.
#![allow(dead_code, clippy::unwrap_used, reason = "test support; each test file uses a part")]

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hinge_store::{Store, StoreError};
use hinge_wire::{Change, ChangeRequest, ConfigDocument, LeaseReply, StorePut, StoreValue, from_json};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// Probabilities of the faults of a write, in percent.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    /// The write is reported as ambiguous and applied later.
    pub(crate) late: u32,
    /// The write is applied and reported as ambiguous.
    pub(crate) lost_answer: u32,
    /// The write is not applied and is reported as ambiguous.
    pub(crate) lost_request: u32,
}

pub(crate) struct State {
    pub(crate) calls: Vec<Instant>,
    pub(crate) down: bool,
    pub(crate) faults: Faults,
    /// All values written to any key, in order.
    pub(crate) history: Vec<(String, StoreValue)>,
    /// Values with the id of their lease; 0 for none.
    pub(crate) keys: BTreeMap<String, (StoreValue, u64)>,
    /// Upper bound of the random latency of a call.
    pub(crate) latency_ms: u64,
    /// Time at which each lease expires.
    leases: BTreeMap<u64, Instant>,
    revision: u64,
    rng: StdRng,
}

#[derive(Clone)]
pub(crate) struct FakeStore {
    changed: Arc<Notify>,
    state: Arc<Mutex<State>>,
}

impl FakeStore {
    pub(crate) fn new(seed: u64) -> Self {
        let state = State {
            calls: Vec::new(),
            down: false,
            faults: Faults::default(),
            history: Vec::new(),
            keys: BTreeMap::new(),
            latency_ms: 5,
            leases: BTreeMap::new(),
            revision: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        Self { changed: Arc::default(), state: Arc::new(Mutex::new(state)) }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub(crate) fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.changed.notify_waiters();
    }

    /// Sets a value and its revision without checks, as a store restored from a backup would.
    pub(crate) fn force(&self, key: &str, revision: u64, value: &str) {
        let value = StoreValue { revision, value: value.to_owned() };
        self.lock().keys.insert(key.to_owned(), (value, 0));
        self.changed.notify_waiters();
    }

    /// Waits until the next write, [`Self::force`] or [`Self::set_down`].
    pub(crate) async fn next_change(&self) {
        self.changed.notified().await;
    }

    /// Records a call and waits for its latency; fails when the store is down.
    async fn start_call(&self) -> Result<(), StoreError> {
        let latency = {
            let mut state = self.lock();
            state.calls.push(Instant::now());
            let max_ms = state.latency_ms;
            state.rng.random_range(1..=max_ms)
        };
        sleep(Duration::from_millis(latency)).await;
        if self.lock().down { Err(StoreError::Unavailable) } else { Ok(()) }
    }

    fn read(&self, key: &str) -> StoreValue {
        let mut state = self.lock();
        let now = Instant::now();
        let State { keys, leases, .. } = &mut *state;
        keys.retain(|_, (_, lease)| *lease == 0 || leases.get(lease).is_some_and(|end| *end > now));
        keys.get(key).map_or(StoreValue { revision: 0, value: String::new() }, |(value, _)| value.clone())
    }

    fn write(&self, key: &str, put: &StorePut) -> Result<StoreValue, StoreError> {
        let current = self.read(key);
        let mut state = self.lock();
        if put.lease != 0 && state.leases.get(&put.lease).is_none_or(|end| *end <= Instant::now()) {
            return Err(StoreError::Invalid("no such lease".to_owned()));
        }
        if current.revision != put.expect_revision {
            return Err(StoreError::Conflict(current));
        }
        state.revision += 1;
        let value = StoreValue { revision: state.revision, value: put.value.clone() };
        state.history.push((key.to_owned(), value.clone()));
        state.keys.insert(key.to_owned(), (value.clone(), put.lease));
        self.changed.notify_waiters();
        Ok(value)
    }
}

impl Store for FakeStore {
    async fn get(&self, key: &str) -> Result<StoreValue, StoreError> {
        self.start_call().await?;
        Ok(self.read(key))
    }

    async fn put(&self, key: &str, put: &StorePut) -> Result<StoreValue, StoreError> {
        self.start_call().await?;
        let (faults, draw) = {
            let mut state = self.lock();
            (state.faults, state.rng.random_range(0..100))
        };
        let Faults { late, lost_answer, lost_request } = faults;
        if draw < lost_request {
            return Err(StoreError::Ambiguous);
        }
        if draw < lost_request + late {
            let (store, key, put) = (self.clone(), key.to_owned(), put.clone());
            tokio::spawn(async move {
                sleep(Duration::from_millis(u64::from(draw) * 37)).await;
                store.write(&key, &put)
            });
            return Err(StoreError::Ambiguous);
        }
        let result = self.write(key, put);
        if draw < lost_request + late + lost_answer { Err(StoreError::Ambiguous) } else { result }
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<StoreValue, StoreError> {
        self.start_call().await?;
        let changed = async {
            loop {
                let notified = self.changed.notified();
                if self.lock().down || self.read(key).revision != after {
                    return;
                }
                notified.await;
            }
        };
        let _ = timeout(wait, changed).await;
        if self.lock().down { Err(StoreError::Unavailable) } else { Ok(self.read(key)) }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseReply, StoreError> {
        self.start_call().await?;
        let mut state = self.lock();
        let lease = state.leases.len() as u64 + 1;
        state.leases.insert(lease, Instant::now() + ttl);
        Ok(LeaseReply { lease, ttl_ms: ttl.as_millis() as u64 })
    }
}

/// Runs a test on a new runtime with a paused clock.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.unwrap().block_on(test)
}

pub(crate) fn quota(id: &str, team: &str, starts_per_s: u64, expect_revision: u64) -> ChangeRequest {
    let change = Change::SetQuota { starts_per_s, team: team.to_owned() };
    ChangeRequest { author: "ops".to_owned(), change, expect_revision, operation_id: id.to_owned() }
}

pub(crate) fn document(text: &str) -> ConfigDocument {
    from_json(text.as_bytes()).unwrap()
}
