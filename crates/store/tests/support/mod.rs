//! In-memory store with faults, on the runtime's paused clock.
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

/// Probabilities of faults of one write, in percent.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    /// The write is applied after the caller was told that its answer is lost.
    pub(crate) late: u32,
    /// The write is applied and its answer is lost.
    pub(crate) lost_answer: u32,
    /// The write is not applied and its answer is lost.
    pub(crate) lost_request: u32,
}

pub(crate) struct Inner {
    pub(crate) calls: Vec<Instant>,
    pub(crate) down: bool,
    pub(crate) faults: Faults,
    /// Every value ever written to any key, in order.
    pub(crate) history: Vec<(String, StoreValue)>,
    pub(crate) keys: BTreeMap<String, (StoreValue, u64)>,
    pub(crate) latency_ms: u64,
    leases: BTreeMap<u64, Instant>,
    revision: u64,
    rng: StdRng,
}

#[derive(Clone)]
pub(crate) struct FakeStore {
    changed: Arc<Notify>,
    inner: Arc<Mutex<Inner>>,
}

impl FakeStore {
    pub(crate) fn new(seed: u64) -> Self {
        let inner = Inner {
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
        Self { changed: Arc::default(), inner: Arc::new(Mutex::new(inner)) }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    pub(crate) fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.changed.notify_waiters();
    }

    /// Puts a value in place, as a restored backup would.
    pub(crate) fn force(&self, key: &str, revision: u64, value: &str) {
        let value = StoreValue { revision, value: value.to_owned() };
        self.lock().keys.insert(key.to_owned(), (value, 0));
        self.changed.notify_waiters();
    }

    /// Returns after the next write or change of state.
    pub(crate) async fn next_change(&self) {
        self.changed.notified().await;
    }

    async fn delay(&self) -> Result<(), StoreError> {
        let latency = {
            let mut inner = self.lock();
            inner.calls.push(Instant::now());
            let most = inner.latency_ms;
            inner.rng.random_range(1..=most)
        };
        sleep(Duration::from_millis(latency)).await;
        if self.lock().down { Err(StoreError::Unavailable) } else { Ok(()) }
    }

    fn read(&self, key: &str) -> StoreValue {
        let mut inner = self.lock();
        let now = Instant::now();
        let Inner { keys, leases, .. } = &mut *inner;
        keys.retain(|_, (_, lease)| *lease == 0 || leases.get(lease).is_some_and(|end| *end > now));
        keys.get(key).map_or(StoreValue { revision: 0, value: String::new() }, |(value, _)| value.clone())
    }

    fn write(&self, key: &str, put: &StorePut) -> Result<StoreValue, StoreError> {
        let current = self.read(key);
        let mut inner = self.lock();
        if put.lease != 0 && inner.leases.get(&put.lease).is_none_or(|end| *end <= Instant::now()) {
            return Err(StoreError::Invalid("no such lease".to_owned()));
        }
        if current.revision != put.expect_revision {
            return Err(StoreError::Conflict(current));
        }
        inner.revision += 1;
        let value = StoreValue { revision: inner.revision, value: put.value.clone() };
        inner.history.push((key.to_owned(), value.clone()));
        inner.keys.insert(key.to_owned(), (value.clone(), put.lease));
        self.changed.notify_waiters();
        Ok(value)
    }
}

impl Store for FakeStore {
    async fn get(&self, key: &str) -> Result<StoreValue, StoreError> {
        self.delay().await?;
        Ok(self.read(key))
    }

    async fn put(&self, key: &str, put: &StorePut) -> Result<StoreValue, StoreError> {
        self.delay().await?;
        let (faults, draw) = {
            let mut inner = self.lock();
            (inner.faults, inner.rng.random_range(0..100))
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
        self.delay().await?;
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
        self.delay().await?;
        let mut inner = self.lock();
        let lease = inner.leases.len() as u64 + 1;
        inner.leases.insert(lease, Instant::now() + ttl);
        Ok(LeaseReply { lease, ttl_ms: ttl.as_millis() as u64 })
    }
}

/// Runs a test on a paused clock; one per seed.
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
