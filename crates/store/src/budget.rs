//! Limits, back-off and counters of the calls to the store.

use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep_until};

use hinge_wire::{LeaseReply, StorePut, StoreValue};

use crate::store::{Store, StoreError};

/// Longest time that a call waits for the budget; a longer wait counts as a store that is not available.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Bound of the first delay. 120 instances that lose the store together come back over one second.
const FIRST_DELAY: Duration = Duration::from_secs(1);
/// Bound of all delays. A change must be in force 8 s after the store is back, and one delay is part of that time.
const LONGEST_DELAY: Duration = Duration::from_secs(5);
/// Least delay, so that a run of small random numbers is not a busy loop.
const LEAST_DELAY: Duration = Duration::from_millis(50);

/// Locks a mutex whose data stays consistent when a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Token bucket on the runtime's clock. It holds at most one second's tokens.
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
    /// A full bucket.
    #[must_use]
    pub fn new(per_second: u64) -> Self {
        Self { state: Mutex::new(BucketState { full_at: Instant::now(), per_second }) }
    }

    /// Changes the rate; 0 stops everything.
    pub fn set_rate(&self, per_second: u64) {
        lock(&self.state).per_second = per_second;
    }

    /// Takes a token if there is one now.
    #[must_use]
    pub fn try_take(&self) -> bool {
        self.reserve(Duration::ZERO).is_some()
    }

    /// Takes a token, waiting in order of arrival for at most `longest_wait`.
    pub async fn take(&self, longest_wait: Duration) -> bool {
        match self.reserve(longest_wait) {
            None => false,
            Some(at) => {
                sleep_until(at).await;
                true
            }
        }
    }

    /// Time at which a reserved token may be used; nothing is reserved beyond `longest_wait`.
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

/// Exponential back-off with full jitter.
#[derive(Debug)]
pub struct Backoff {
    failures: u32,
    first: Duration,
    longest: Duration,
    rng: StdRng,
}

impl Backoff {
    /// A back-off without failures.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self::with_bounds(seed, FIRST_DELAY, LONGEST_DELAY)
    }

    /// A back-off whose delays are bounded by `first` and then by doubled bounds up to `longest`.
    #[must_use]
    pub fn with_bounds(seed: u64, first: Duration, longest: Duration) -> Self {
        Self { failures: 0, first, longest, rng: StdRng::seed_from_u64(seed) }
    }

    /// The next delay is bounded by the first one again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let bound = self.first.saturating_mul(1 << self.failures.min(8)).min(self.longest);
        self.failures = self.failures.saturating_add(1);
        self.rng.random_range(LEAST_DELAY..=bound)
    }
}

/// Kinds of calls to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Reads.
    Get,
    /// Lease grants.
    Lease,
    /// Writes.
    Put,
    /// Long polls; a waiting one counts as one call.
    Watch,
}

/// Counts of one kind of call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Writes with a lost answer.
    pub ambiguous: u64,
    /// Calls sent.
    pub calls: u64,
    /// Writes that met another revision.
    pub conflicts: u64,
    /// Calls not sent because of the budget.
    pub denied: u64,
    /// Calls that found the store not available or got an unusable answer.
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

/// Counters of all calls of one instance.
#[derive(Debug, Default)]
pub struct StoreCounters {
    kinds: [AtomicCounts; 4],
}

impl StoreCounters {
    /// Counts of one kind of call.
    #[must_use]
    pub fn get(&self, call: CallKind) -> CallCounts {
        let counts = self.of(call);
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CallCounts {
            ambiguous: read(&counts.ambiguous),
            calls: read(&counts.calls),
            conflicts: read(&counts.conflicts),
            denied: read(&counts.denied),
            failures: read(&counts.failures),
        }
    }

    /// Calls sent, of all kinds.
    #[must_use]
    pub fn total_calls(&self) -> u64 {
        self.kinds.iter().map(|counts| counts.calls.load(Ordering::Relaxed)).sum()
    }

    fn of(&self, call: CallKind) -> &AtomicCounts {
        match call {
            CallKind::Get => &self.kinds[0],
            CallKind::Lease => &self.kinds[1],
            CallKind::Put => &self.kinds[2],
            CallKind::Watch => &self.kinds[3],
        }
    }

    fn record(&self, call: CallKind, error: Option<&StoreError>) {
        let counts = self.of(call);
        let counter = match error {
            None => return,
            Some(StoreError::Ambiguous) => &counts.ambiguous,
            Some(StoreError::Conflict(_)) => &counts.conflicts,
            Some(StoreError::Invalid(_) | StoreError::Unavailable) => &counts.failures,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// A store whose calls are counted and, with a bucket, limited.
#[derive(Clone, Debug)]
pub struct MeteredStore<S> {
    bucket: Option<Arc<TokenBucket>>,
    counters: Arc<StoreCounters>,
    store: S,
}

impl<S: Store> MeteredStore<S> {
    /// Counts and limits the calls.
    #[must_use]
    pub fn limited(store: S, bucket: Arc<TokenBucket>, counters: Arc<StoreCounters>) -> Self {
        Self { bucket: Some(bucket), counters, store }
    }

    /// Counts the calls only, for callers with a limit of their own.
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
            && !bucket.take(LONGEST_WAIT).await
        {
            self.counters.of(call).denied.fetch_add(1, Ordering::Relaxed);
            return Err(StoreError::Unavailable);
        }
        self.counters.of(call).calls.fetch_add(1, Ordering::Relaxed);
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
