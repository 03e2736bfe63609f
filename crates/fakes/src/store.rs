//! In-memory stand-in for the platform's key-value store.

use std::collections::BTreeMap;
use std::time::Duration;

use hinge_wire::{FastMap, LeaseGrant, LeaseReply, StorePut, StoreValue};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::{Instant, sleep};

use crate::shared::{PollOutcome, Shared};

/// Largest value that a key can hold, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Upper bound of the durations in requests (leases, waits, delays, run times). Larger values are lowered to it, so
/// that adding them to an `Instant` cannot overflow.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(86_400);

/// Why a call to the store failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum FakeStoreError {
    /// The key's revision is not the expected one; holds the key's current value and revision.
    #[error("the key has revision {}", .0.revision)]
    Conflict(StoreValue),
    /// The store is down; the call had no effect.
    #[error("the store is down")]
    Down,
    /// The write was applied, but its response is lost ([`StoreControl::LoseAnswer`]).
    #[error("the answer was lost")]
    AnswerLost,
    /// The lease was never granted or has expired.
    #[error("no such lease")]
    LeaseNotFound,
    /// The limit on calls per second is reached ([`StoreCaps`]); the call had no effect.
    #[error("too many calls per second")]
    RateLimited,
    /// The value is larger than [`MAX_VALUE_BYTES`].
    #[error("the value is larger than 1 MB")]
    ValueTooLarge,
}

/// Limits on calls per second; 0 means no limit.
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

/// Number of calls since the start or the last reset, including failed calls.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreCounts {
    /// Lease grants and renewals.
    pub leases: u64,
    /// Writes that were applied but got no response ([`StoreControl::LoseAnswer`]).
    pub lost: u64,
    /// Reads of keys; watches are counted separately.
    pub reads: u64,
    /// Calls refused because the store was down.
    pub refused_down: u64,
    /// Calls refused because a limit of [`StoreCaps`] was reached.
    pub refused_caps: u64,
    /// Watches; each counts once, however long it waits.
    pub watches: u64,
    /// Writes of keys, including failed ones.
    pub writes: u64,
}

/// Body of `POST /control` of the store.
///
/// A fault with `times` ends after it has affected that many calls, one without `times` at [`StoreControl::Clear`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "set")]
pub enum StoreControl {
    /// Replaces the limits of [`StoreCaps`].
    Caps {
        /// Reads and watches per second; 0 means no limit.
        reads_per_s: u32,
        /// Writes and lease calls per second; 0 means no limit.
        writes_per_s: u32,
    },
    /// Ends all faults; the limits on calls stay.
    Clear {},
    /// Refuses calls; they have no effect.
    Down {
        /// Number of calls affected; absent: until cleared.
        #[serde(default)]
        times: Option<u32>,
    },
    /// Closes the connection without a response after a write was applied.
    LoseAnswer {
        /// Number of writes affected; absent: until cleared.
        #[serde(default)]
        times: Option<u32>,
    },
    /// Sets all call counts to zero.
    ResetCounts {},
    /// Delays calls.
    Slow {
        /// Added delay in milliseconds.
        delay_ms: u64,
        /// Number of calls affected; absent: until cleared.
        #[serde(default)]
        times: Option<u32>,
    },
}

/// A fault that affects a number of calls, or all calls until it is cleared.
#[derive(Clone, Copy, Debug, Default)]
struct Fault {
    is_active: bool,
    /// Calls that are still to be affected; `None` for no limit.
    remaining_calls: Option<u32>,
}

impl Fault {
    const fn new(remaining_calls: Option<u32>) -> Self {
        Self { is_active: true, remaining_calls }
    }

    /// Returns whether the fault affects this call; if so, the call uses up one of the remaining calls.
    fn apply(&mut self) -> bool {
        if !self.is_active || self.remaining_calls == Some(0) {
            return false;
        }
        self.remaining_calls = self.remaining_calls.map(|remaining| remaining - 1);
        true
    }
}

/// Fixed-window rate limiter with windows of one second.
#[derive(Clone, Copy, Debug, Default)]
struct RateLimiter {
    /// Calls admitted in the current window.
    calls: u32,
    window_start: Option<Instant>,
}

impl RateLimiter {
    /// Admits or refuses a call; a limit of 0 admits every call.
    fn admit(&mut self, now: Instant, limit: u32) -> bool {
        let is_current =
            self.window_start.is_some_and(|start| now.duration_since(start) < Duration::from_secs(1));
        if !is_current {
            *self = Self { calls: 0, window_start: Some(now) };
        }
        let allowed = limit == 0 || self.calls < limit;
        self.calls += u32::from(allowed);
        allowed
    }
}

#[derive(Clone, Debug)]
struct Entry {
    /// Lease that the key is bound to; 0 for none.
    lease: u64,
    revision: u64,
    value: String,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    expires_at: Instant,
    ttl: Duration,
}

/// State of the stand-in store.
///
/// Methods take the current time as an argument, so that tests can use the store without a server.
#[derive(Debug, Default)]
pub struct FakeStore {
    caps: StoreCaps,
    counts: StoreCounts,
    /// Delay of calls that the `slow` fault affects.
    delay: Duration,
    down: Fault,
    entries: BTreeMap<String, Entry>,
    last_lease_id: u64,
    leases: FastMap<u64, Lease>,
    lose_answer: Fault,
    read_limiter: RateLimiter,
    /// Revision of the latest change; all keys share one sequence.
    revision: u64,
    slow: Fault,
    write_limiter: RateLimiter,
}

impl FakeStore {
    /// Creates an empty store with the given limits on calls.
    #[must_use]
    pub fn new(caps: StoreCaps) -> Self {
        Self { caps, ..Self::default() }
    }

    /// Applies a control request: changes faults or limits, or resets the counts.
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

    /// Number of calls since the start or the last reset.
    #[must_use]
    pub const fn counts(&self) -> StoreCounts {
        self.counts
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Fails if the store is down or the limit on reads is reached.
    pub fn get(&mut self, now: Instant, key: &str) -> Result<StoreValue, FakeStoreError> {
        self.counts.reads += 1;
        self.admit_read(now)?;
        Ok(self.current_value(now, key))
    }

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Fails if the store is down or the limit on writes is reached.
    pub fn grant_lease(&mut self, now: Instant, grant: &LeaseGrant) -> Result<LeaseReply, FakeStoreError> {
        self.counts.leases += 1;
        self.admit_write(now)?;
        self.expire_leases(now);
        let ttl = Duration::from_millis(grant.ttl_ms).min(MAX_WAIT);
        self.last_lease_id += 1;
        self.leases.insert(self.last_lease_id, Lease { expires_at: now + ttl, ttl });
        Ok(lease_reply(self.last_lease_id, ttl))
    }

    /// Writes a key if it has the expected revision, which is 0 for an absent key.
    ///
    /// # Errors
    ///
    /// [`FakeStoreError::AnswerLost`] is returned after the write was applied; after other errors it was not applied.
    pub fn put(&mut self, now: Instant, key: &str, put: &StorePut) -> Result<StoreValue, FakeStoreError> {
        self.counts.writes += 1;
        self.admit_write(now)?;
        if put.value.len() > MAX_VALUE_BYTES {
            return Err(FakeStoreError::ValueTooLarge);
        }
        let current = self.current_value(now, key);
        if current.revision != put.expect_revision {
            return Err(FakeStoreError::Conflict(current));
        }
        if put.lease != 0 && !self.leases.contains_key(&put.lease) {
            return Err(FakeStoreError::LeaseNotFound);
        }
        self.revision += 1;
        let entry = Entry { lease: put.lease, revision: self.revision, value: put.value.clone() };
        self.entries.insert(key.to_owned(), entry);
        if self.lose_answer.apply() {
            self.counts.lost += 1;
            return Err(FakeStoreError::AnswerLost);
        }
        Ok(StoreValue { revision: self.revision, value: put.value.clone() })
    }

    /// Restarts the time to live of a lease.
    ///
    /// # Errors
    ///
    /// Fails if the lease has expired, the store is down or the limit on writes is reached.
    pub fn renew_lease(&mut self, now: Instant, id: u64) -> Result<LeaseReply, FakeStoreError> {
        self.counts.leases += 1;
        self.admit_write(now)?;
        self.expire_leases(now);
        let lease = self.leases.get_mut(&id).ok_or(FakeStoreError::LeaseNotFound)?;
        lease.expires_at = now + lease.ttl;
        Ok(lease_reply(id, lease.ttl))
    }

    /// Admits a watch. It uses one call of the limit on reads, however long it waits.
    fn start_watch(&mut self, now: Instant) -> Result<(), FakeStoreError> {
        self.counts.watches += 1;
        self.admit_read(now)
    }

    /// Checks whether a watch can end: at a change of its key, at its deadline, or because the store is down.
    fn poll_watch(
        &mut self,
        now: Instant,
        watch: &Watch<'_>,
    ) -> PollOutcome<Result<StoreValue, FakeStoreError>> {
        let value = self.current_value(now, watch.key);
        if value.revision != watch.after || now >= watch.deadline {
            return PollOutcome::Ready(Ok(value));
        }
        // A waiting watch does not use up the calls of an outage with `times`, so only an unlimited outage ends it.
        if self.down.is_active && self.down.remaining_calls.is_none() {
            return PollOutcome::Ready(Err(FakeStoreError::Down));
        }
        let next_expiry = self.leases.values().map(|lease| lease.expires_at).min();
        PollOutcome::RetryAt(next_expiry.map_or(watch.deadline, |expiry| expiry.min(watch.deadline)))
    }

    fn admit_read(&mut self, now: Instant) -> Result<(), FakeStoreError> {
        let allowed = self.read_limiter.admit(now, self.caps.reads_per_s);
        self.admit(allowed)
    }

    fn admit_write(&mut self, now: Instant) -> Result<(), FakeStoreError> {
        let allowed = self.write_limiter.admit(now, self.caps.writes_per_s);
        self.admit(allowed)
    }

    /// Refuses the call if the store is down or the rate limiter has not allowed it.
    fn admit(&mut self, allowed: bool) -> Result<(), FakeStoreError> {
        if self.down.apply() {
            self.counts.refused_down += 1;
            return Err(FakeStoreError::Down);
        }
        if !allowed {
            self.counts.refused_caps += 1;
            return Err(FakeStoreError::RateLimited);
        }
        Ok(())
    }

    /// Current value of a key; an absent key has revision 0 and an empty value.
    fn current_value(&mut self, now: Instant, key: &str) -> StoreValue {
        self.expire_leases(now);
        self.entries.get(key).map_or_else(
            || StoreValue { revision: 0, value: String::new() },
            |entry| StoreValue { revision: entry.revision, value: entry.value.clone() },
        )
    }

    /// Removes expired leases and the keys bound to them.
    fn expire_leases(&mut self, now: Instant) {
        let before = self.leases.len();
        self.leases.retain(|_, lease| lease.expires_at > now);
        if self.leases.len() < before {
            let leases = &self.leases;
            self.entries.retain(|_, entry| entry.lease == 0 || leases.contains_key(&entry.lease));
            self.revision += 1;
        }
    }

    /// Delay of this call, which counts against the `times` of the `slow` fault.
    fn next_delay(&mut self) -> Duration {
        if self.slow.apply() { self.delay } else { Duration::ZERO }
    }
}

struct Watch<'a> {
    /// Revision that the caller knows.
    after: u64,
    key: &'a str,
    deadline: Instant,
}

fn lease_reply(lease: u64, ttl: Duration) -> LeaseReply {
    LeaseReply { lease, ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX) }
}

/// Asynchronous calls behind the HTTP endpoints; [`StoreControl::Slow`] delays them.
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
        // `update` wakes the waiting watches, because the new lease may expire before the time that they wait for.
        self.update(|store| store.grant_lease(Instant::now(), grant))
    }

    /// Writes a key if it has the expected revision.
    ///
    /// # Errors
    ///
    /// As [`FakeStore::put`].
    pub async fn put(&self, key: &str, put: &StorePut) -> Result<StoreValue, FakeStoreError> {
        self.delay().await;
        self.update(|store| store.put(Instant::now(), key, put))
    }

    /// Restarts the time to live of a lease.
    ///
    /// # Errors
    ///
    /// As [`FakeStore::renew_lease`].
    pub async fn renew_lease(&self, id: u64) -> Result<LeaseReply, FakeStoreError> {
        self.delay().await;
        self.with(|store| store.renew_lease(Instant::now(), id))
    }

    /// Waits until the key's revision differs from `after`, for at most `wait`, then reads the key.
    ///
    /// # Errors
    ///
    /// Fails if the store is down, an outage without `times` starts during the wait, or the limit on reads is reached.
    pub async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<StoreValue, FakeStoreError> {
        self.delay().await;
        self.with(|store| store.start_watch(Instant::now()))?;
        let watch = Watch { after, key, deadline: Instant::now() + wait.min(MAX_WAIT) };
        self.wait_until(|store, now| store.poll_watch(now, &watch)).await
    }

    /// Waits for the delay of the `slow` fault.
    async fn delay(&self) {
        let delay = self.with(FakeStore::next_delay);
        if !delay.is_zero() {
            sleep(delay).await;
        }
    }
}
