//! Rate limiting, backoff and counters for calls to the store.

use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep_until};

use hinge_wire::{LeaseReply, StorePut, StoreValue};

use crate::store::{Store, StoreError};

/// Longest time that a call waits for a token; a call that would wait longer fails with [`StoreError::Unavailable`].
const MAX_TOKEN_WAIT: Duration = Duration::from_secs(2);
/// Upper bound of the first delay. 120 instances that lose the store together spread their retries over one second.
const INITIAL_DELAY: Duration = Duration::from_secs(1);
/// Upper bound of every delay. A change must be in force within 8 s of the store's recovery, which includes one delay.
const MAX_DELAY: Duration = Duration::from_secs(5);
/// Lower bound of every delay, so that a series of small random numbers does not become a busy loop.
const MIN_DELAY: Duration = Duration::from_millis(50);

/// Locks a mutex and ignores poisoning, for data that stays consistent when a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Token bucket on the runtime's clock. It holds at most as many tokens as it gains in one second.
#[derive(Debug)]
pub struct TokenBucket {
    state: Mutex<BucketState>,
}

#[derive(Debug)]
struct BucketState {
    /// Time at which the bucket is full again.
    full_at: Instant,
    per_second: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: u64) -> Self {
        Self { state: Mutex::new(BucketState { full_at: Instant::now(), per_second }) }
    }

    /// Changes the rate; at 0 no token is handed out.
    pub fn set_rate(&self, per_second: u64) {
        lock(&self.state).per_second = per_second;
    }

    /// Takes a token if one is available now.
    #[must_use]
    pub fn try_take(&self) -> bool {
        self.reserve(Duration::ZERO).is_some()
    }

    /// Takes a token, waiting at most `longest_wait` in order of arrival; returns whether it got one.
    pub async fn take(&self, longest_wait: Duration) -> bool {
        match self.reserve(longest_wait) {
            None => false,
            Some(at) => {
                sleep_until(at).await;
                true
            }
        }
    }

    /// Reserves a token and returns the time from which it may be used; `None` if the wait would exceed `longest_wait`.
    fn reserve(&self, longest_wait: Duration) -> Option<Instant> {
        let mut state = lock(&self.state);
        let interval = Duration::from_secs(1).checked_div(u32::try_from(state.per_second).ok()?)?;
        let now = Instant::now();
        let full_at = state.full_at.max(now);
        let wait = (full_at + interval).saturating_duration_since(now + Duration::from_secs(1));
        if wait > longest_wait {
            return None;
        }
        state.full_at = full_at + interval;
        Some(now + wait)
    }
}

/// Exponential backoff with full jitter.
#[derive(Debug)]
pub struct Backoff {
    failures: u32,
    initial: Duration,
    max: Duration,
    rng: StdRng,
}

impl Backoff {
    /// Creates a backoff with delays of up to 1 s at first and up to 5 s later.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self::with_bounds(seed, INITIAL_DELAY, MAX_DELAY)
    }

    /// Creates a backoff whose delays have the upper bound `initial`, which doubles with each failure up to `max`.
    #[must_use]
    pub fn with_bounds(seed: u64, initial: Duration, max: Duration) -> Self {
        Self { failures: 0, initial, max, rng: StdRng::seed_from_u64(seed) }
    }

    /// Returns to the initial bound, after a successful call.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Draws the delay before the next attempt and raises the bound of the one after it.
    pub fn next_delay(&mut self) -> Duration {
        let bound = self.initial.saturating_mul(1 << self.failures.min(8)).min(self.max);
        self.failures = self.failures.saturating_add(1);
        self.rng.random_range(MIN_DELAY..=bound)
    }
}

/// Kinds of calls to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// A read.
    Get,
    /// A lease grant.
    Lease,
    /// A write.
    Put,
    /// A long poll; counted once, however long it waits.
    Watch,
}

/// Counts of one kind of call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Calls without a valid response that may have been applied.
    pub ambiguous: u64,
    /// Calls that got a token and were started.
    pub calls: u64,
    /// Writes rejected because the key had another revision than expected.
    pub conflicts: u64,
    /// Calls not started because no token was available in time.
    pub denied: u64,
    /// Calls that failed because the store was unavailable, or rejected the call, or sent an invalid response.
    pub failures: u64,
}

#[derive(Debug, Default)]
struct AtomicCounts {
    ambiguous: AtomicU64,
    calls: AtomicU64,
    conflicts: AtomicU64,
    denied: AtomicU64,
    failures: AtomicU64,
}

/// Counters of all store calls of one instance, by kind of call.
#[derive(Debug, Default)]
pub struct StoreCounters {
    by_kind: [AtomicCounts; 4],
}

impl StoreCounters {
    /// Counts of one kind of call.
    #[must_use]
    pub fn get(&self, call: CallKind) -> CallCounts {
        let counts = self.counts_of(call);
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CallCounts {
            ambiguous: read(&counts.ambiguous),
            calls: read(&counts.calls),
            conflicts: read(&counts.conflicts),
            denied: read(&counts.denied),
            failures: read(&counts.failures),
        }
    }

    /// Number of calls started, over all kinds.
    #[must_use]
    pub fn total_calls(&self) -> u64 {
        self.by_kind.iter().map(|counts| counts.calls.load(Ordering::Relaxed)).sum()
    }

    fn counts_of(&self, call: CallKind) -> &AtomicCounts {
        match call {
            CallKind::Get => &self.by_kind[0],
            CallKind::Lease => &self.by_kind[1],
            CallKind::Put => &self.by_kind[2],
            CallKind::Watch => &self.by_kind[3],
        }
    }

    fn record(&self, call: CallKind, error: Option<&StoreError>) {
        let counts = self.counts_of(call);
        let counter = match error {
            None => return,
            Some(StoreError::Ambiguous) => &counts.ambiguous,
            Some(StoreError::Conflict(_)) => &counts.conflicts,
            Some(StoreError::Invalid(_) | StoreError::Unavailable) => &counts.failures,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// A store whose calls are counted and, with a bucket, rate-limited.
#[derive(Clone, Debug)]
pub struct MeteredStore<S> {
    bucket: Option<Arc<TokenBucket>>,
    counters: Arc<StoreCounters>,
    store: S,
}

impl<S: Store> MeteredStore<S> {
    /// Counts the calls and limits them with `bucket`.
    #[must_use]
    pub fn limited(store: S, bucket: Arc<TokenBucket>, counters: Arc<StoreCounters>) -> Self {
        Self { bucket: Some(bucket), counters, store }
    }

    /// Counts the calls without limiting them, for users with a rate limit of their own.
    #[must_use]
    pub fn counted(store: S, counters: Arc<StoreCounters>) -> Self {
        Self { bucket: None, counters, store }
    }

    async fn run<T: Send>(
        &self,
        call: CallKind,
        future: impl Future<Output = Result<T, StoreError>> + Send,
    ) -> Result<T, StoreError> {
        if let Some(bucket) = &self.bucket
            && !bucket.take(MAX_TOKEN_WAIT).await
        {
            self.counters.counts_of(call).denied.fetch_add(1, Ordering::Relaxed);
            return Err(StoreError::Unavailable);
        }
        self.counters.counts_of(call).calls.fetch_add(1, Ordering::Relaxed);
        let result = future.await;
        self.counters.record(call, result.as_ref().err());
        result
    }
}

impl<S: Store> Store for MeteredStore<S> {
    async fn get(&self, key: &str) -> Result<StoreValue, StoreError> {
        self.run(CallKind::Get, self.store.get(key)).await
    }

    async fn put(&self, key: &str, put: &StorePut) -> Result<StoreValue, StoreError> {
        self.run(CallKind::Put, self.store.put(key, put)).await
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<StoreValue, StoreError> {
        self.run(CallKind::Watch, self.store.watch(key, after, wait)).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseReply, StoreError> {
        self.run(CallKind::Lease, self.store.grant_lease(ttl)).await
    }
}
