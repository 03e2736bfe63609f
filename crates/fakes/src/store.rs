//! Stand-in of the platform's key-value store.

use std::collections::BTreeMap;
use std::time::Duration;

use hinge_wire::{FastMap, LeaseGrant, LeaseReply, StorePut, StoreValue};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::{Instant, sleep};

use crate::shared::{Shared, Wait};

/// Largest value in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Longest lease and longest wait of a watch; larger values are lowered to it, which keeps time sums in range.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(86_400);

/// Why the store did not answer with the result of a call.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum FakeStoreError {
    /// The key has another revision than expected; holds the current value.
    #[error("the key has revision {}", .0.revision)]
    Conflict(StoreValue),
    /// The store is down; nothing was done.
    #[error("the store is down")]
    Down,
    /// The write was applied, but its answer is lost.
    #[error("the answer was lost")]
    AnswerLost,
    /// The lease does not exist or has lapsed.
    #[error("no such lease")]
    LeaseNotFound,
    /// The cap on calls per second is reached; nothing was done.
    #[error("too many calls per second")]
    RateLimited,
    /// The value is larger than 1 MB.
    #[error("the value is larger than 1 MB")]
    ValueTooLarge,
}

/// Caps on calls per second; 0 means no cap.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreCaps {
    /// Reads and watches per second.
    pub reads_per_s: u32,
    /// Writes and lease calls per second.
    pub writes_per_s: u32,
}

impl Default for StoreCaps {
    /// The rates that the platform's store sustains.
    fn default() -> Self {
        Self { reads_per_s: 2000, writes_per_s: 500 }
    }
}

/// Calls since the start or the last reset, refused ones included.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreCounts {
    /// Lease grants and renewals.
    pub leases: u64,
    /// Writes whose answer was lost.
    pub lost: u64,
    /// Reads.
    pub reads: u64,
    /// Calls refused because the store was down.
    pub refused_down: u64,
    /// Calls refused by a cap.
    pub refused_caps: u64,
    /// Watches; one that waits counts once.
    pub watches: u64,
    /// Writes of keys, conflicting ones included.
    pub writes: u64,
}

/// Body of `POST /control` of the store.
///
/// Faults with `times` end after that many affected calls, the others with [`StoreControl::Clear`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "set")]
pub enum StoreControl {
    /// Sets the caps on calls.
    Caps {
        /// Reads and watches per second; 0 for no cap.
        reads_per_s: u32,
        /// Writes and lease calls per second; 0 for no cap.
        writes_per_s: u32,
    },
    /// Ends all faults; caps stay.
    Clear {},
    /// Refuses calls without doing anything.
    Down {
        /// Calls affected; absent: until cleared.
        #[serde(default)]
        times: Option<u32>,
    },
    /// Closes the connection without a response after a write was applied.
    LoseAnswer {
        /// Writes affected; absent: until cleared.
        #[serde(default)]
        times: Option<u32>,
    },
    /// Sets all call counts to zero.
    ResetCounts {},
    /// Delays calls.
    Slow {
        /// Added delay in milliseconds.
        delay_ms: u64,
        /// Calls affected; absent: until cleared.
        #[serde(default)]
        times: Option<u32>,
    },
}

/// A fault that is on for a number of calls, or until cleared.
#[derive(Clone, Copy, Debug, Default)]
struct Fault {
    on: bool,
    times: Option<u32>,
}

impl Fault {
    const fn new(times: Option<u32>) -> Self {
        Self { on: true, times }
    }

    /// Whether the fault affects this call; counts the call.
    fn take(&mut self) -> bool {
        if !self.on || self.times == Some(0) {
            return false;
        }
        self.times = self.times.map(|left| left - 1);
        true
    }
}

/// Calls counted in windows of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    calls: u32,
    started: Option<Instant>,
}

impl Window {
    fn take(&mut self, now: Instant, cap: u32) -> bool {
        let current = self.started.is_some_and(|start| now.duration_since(start) < Duration::from_secs(1));
        if !current {
            *self = Self { calls: 0, started: Some(now) };
        }
        let allowed = cap == 0 || self.calls < cap;
        self.calls += u32::from(allowed);
        allowed
    }
}

#[derive(Clone, Debug)]
struct Entry {
    lease: u64,
    revision: u64,
    value: String,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    lapses_at: Instant,
    ttl: Duration,
}

/// State of the stand-in store.
///
/// All methods take the time, so that tests can use it without a server.
#[derive(Debug, Default)]
pub struct FakeStore {
    caps: StoreCaps,
    counts: StoreCounts,
    delay: Duration,
    down: Fault,
    entries: BTreeMap<String, Entry>,
    last_lease: u64,
    leases: FastMap<u64, Lease>,
    lose_answer: Fault,
    reads: Window,
    revision: u64,
    slow: Fault,
    writes: Window,
}

impl FakeStore {
    /// An empty store with the given caps.
    #[must_use]
    pub fn new(caps: StoreCaps) -> Self {
        Self { caps, ..Self::default() }
    }

    /// Changes faults, caps or counts.
    pub fn control(&mut self, control: &StoreControl) {
        match *control {
            StoreControl::Caps { reads_per_s, writes_per_s } => {
                self.caps = StoreCaps { reads_per_s, writes_per_s };
            }
            StoreControl::Clear {} => {
                (self.down, self.lose_answer, self.slow) = Default::default();
            }
            StoreControl::Down { times } => self.down = Fault::new(times),
            StoreControl::LoseAnswer { times } => self.lose_answer = Fault::new(times),
            StoreControl::ResetCounts {} => self.counts = StoreCounts::default(),
            StoreControl::Slow { delay_ms, times } => {
                self.delay = Duration::from_millis(delay_ms).min(MAX_WAIT);
                self.slow = Fault::new(times);
            }
        }
    }

    /// Calls counted so far.
    #[must_use]
    pub const fn counts(&self) -> StoreCounts {
        self.counts
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Fails when the store is down or the cap on reads is reached.
    pub fn get(&mut self, now: Instant, key: &str) -> Result<StoreValue, FakeStoreError> {
        self.counts.reads += 1;
        self.admit_read(now)?;
        Ok(self.current(now, key))
    }

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Fails when the store is down or the cap on writes is reached.
    pub fn grant_lease(&mut self, now: Instant, grant: &LeaseGrant) -> Result<LeaseReply, FakeStoreError> {
        self.counts.leases += 1;
        self.admit_write(now)?;
        self.lapse(now);
        let ttl = Duration::from_millis(grant.ttl_ms).min(MAX_WAIT);
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { lapses_at: now + ttl, ttl });
        Ok(lease_reply(self.last_lease, ttl))
    }

    /// Writes a key when it has the expected revision.
    ///
    /// # Errors
    ///
    /// [`FakeStoreError::AnswerLost`] is returned after the write was applied; all other failures leave the store unchanged.
    pub fn put(&mut self, now: Instant, key: &str, put: &StorePut) -> Result<StoreValue, FakeStoreError> {
        self.counts.writes += 1;
        self.admit_write(now)?;
        if put.value.len() > MAX_VALUE_BYTES {
            return Err(FakeStoreError::ValueTooLarge);
        }
        let current = self.current(now, key);
        if current.revision != put.expect_revision {
            return Err(FakeStoreError::Conflict(current));
        }
        if put.lease != 0 && !self.leases.contains_key(&put.lease) {
            return Err(FakeStoreError::LeaseNotFound);
        }
        self.revision += 1;
        let entry = Entry { lease: put.lease, revision: self.revision, value: put.value.clone() };
        self.entries.insert(key.to_owned(), entry);
        if self.lose_answer.take() {
            self.counts.lost += 1;
            return Err(FakeStoreError::AnswerLost);
        }
        Ok(StoreValue { revision: self.revision, value: put.value.clone() })
    }

    /// Extends a lease by its time to live.
    ///
    /// # Errors
    ///
    /// Fails when the lease has lapsed, the store is down or the cap on writes is reached.
    pub fn renew_lease(&mut self, now: Instant, id: u64) -> Result<LeaseReply, FakeStoreError> {
        self.counts.leases += 1;
        self.admit_write(now)?;
        self.lapse(now);
        let lease = self.leases.get_mut(&id).ok_or(FakeStoreError::LeaseNotFound)?;
        lease.lapses_at = now + lease.ttl;
        Ok(lease_reply(id, lease.ttl))
    }

    /// Admits a watch, which counts as one read however long it waits.
    fn start_watch(&mut self, now: Instant) -> Result<(), FakeStoreError> {
        self.counts.watches += 1;
        self.admit_read(now)
    }

    /// One look of a watch; a store that goes down ends it.
    fn poll_watch(&mut self, now: Instant, watch: &Watch<'_>) -> Wait<Result<StoreValue, FakeStoreError>> {
        let value = self.current(now, watch.key);
        if value.revision != watch.after || now >= watch.until {
            return Wait::Ready(Ok(value));
        }
        // Watches that wait do not use up the counted calls of a limited outage.
        if self.down.on && self.down.times.is_none() {
            return Wait::Ready(Err(FakeStoreError::Down));
        }
        let lapse = self.leases.values().map(|lease| lease.lapses_at).min();
        Wait::Until(lapse.map_or(watch.until, |at| at.min(watch.until)))
    }

    fn admit_read(&mut self, now: Instant) -> Result<(), FakeStoreError> {
        let allowed = self.reads.take(now, self.caps.reads_per_s);
        self.admit(allowed)
    }

    fn admit_write(&mut self, now: Instant) -> Result<(), FakeStoreError> {
        let allowed = self.writes.take(now, self.caps.writes_per_s);
        self.admit(allowed)
    }

    fn admit(&mut self, allowed: bool) -> Result<(), FakeStoreError> {
        if self.down.take() {
            self.counts.refused_down += 1;
            return Err(FakeStoreError::Down);
        }
        if !allowed {
            self.counts.refused_caps += 1;
            return Err(FakeStoreError::RateLimited);
        }
        Ok(())
    }

    fn current(&mut self, now: Instant, key: &str) -> StoreValue {
        self.lapse(now);
        self.entries.get(key).map_or_else(
            || StoreValue { revision: 0, value: String::new() },
            |entry| StoreValue { revision: entry.revision, value: entry.value.clone() },
        )
    }

    /// Removes lapsed leases and the keys bound to them.
    fn lapse(&mut self, now: Instant) {
        let before = self.leases.len();
        self.leases.retain(|_, lease| lease.lapses_at > now);
        if self.leases.len() < before {
            let leases = &self.leases;
            self.entries.retain(|_, entry| entry.lease == 0 || leases.contains_key(&entry.lease));
            self.revision += 1;
        }
    }

    /// Delay of the next call.
    fn take_delay(&mut self) -> Duration {
        if self.slow.take() { self.delay } else { Duration::ZERO }
    }
}

struct Watch<'a> {
    after: u64,
    key: &'a str,
    until: Instant,
}

fn lease_reply(lease: u64, ttl: Duration) -> LeaseReply {
    LeaseReply { lease, ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX) }
}

/// Calls with the faults that take time; the counterparts of the HTTP endpoints.
impl Shared<FakeStore> {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// As [`FakeStore::get`].
    pub async fn get(&self, key: &str) -> Result<StoreValue, FakeStoreError> {
        self.delay().await;
        self.with(|store| store.get(Instant::now(), key))
    }

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// As [`FakeStore::grant_lease`].
    pub async fn grant_lease(&self, grant: &LeaseGrant) -> Result<LeaseReply, FakeStoreError> {
        self.delay().await;
        // Watches must learn of the new lease's end.
        self.update(|store| store.grant_lease(Instant::now(), grant))
    }

    /// Writes a key when it has the expected revision.
    ///
    /// # Errors
    ///
    /// As [`FakeStore::put`].
    pub async fn put(&self, key: &str, put: &StorePut) -> Result<StoreValue, FakeStoreError> {
        self.delay().await;
        self.update(|store| store.put(Instant::now(), key, put))
    }

    /// Extends a lease.
    ///
    /// # Errors
    ///
    /// As [`FakeStore::renew_lease`].
    pub async fn renew_lease(&self, id: u64) -> Result<LeaseReply, FakeStoreError> {
        self.delay().await;
        self.with(|store| store.renew_lease(Instant::now(), id))
    }

    /// Waits until the key's revision differs from `after`, for at most `wait`, and reads the key.
    ///
    /// # Errors
    ///
    /// Fails when the store is or goes down, or when the cap on reads is reached.
    pub async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<StoreValue, FakeStoreError> {
        self.delay().await;
        self.with(|store| store.start_watch(Instant::now()))?;
        let watch = Watch { after, key, until: Instant::now() + wait.min(MAX_WAIT) };
        self.wait_until(|store, now| store.poll_watch(now, &watch)).await
    }

    async fn delay(&self) {
        let delay = self.with(FakeStore::take_delay);
        if !delay.is_zero() {
            sleep(delay).await;
        }
    }
}
