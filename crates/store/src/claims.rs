//! Claims of definite submissions: records in the store from which other entries learn what may have run.
//!
//! A claim is the key `claims/<submission key>`, created before the first start of a task. The first write decides: the
//! owner's claim allows the start, and a tombstone of another entry forbids it.
//!
//! Records are bound to leases, so an absent record may have expired. The owner therefore opens a window for each
//! [`KEYS_PER_WINDOW`] consecutive sequences: it writes a marker under a lease that expires no later than the lease of
//! any claim in the window. A tombstone proves that nothing ran only while the marker still exists. This relies on the
//! store deleting all keys of an expired lease together.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep};

use hinge_conf::Policy;
use hinge_wire::{FastMap, ResultCode, StoreValue, SubmissionKey};

use crate::budget::{MeteredStore, StoreCounters, TokenBucket, lock};
use crate::claim_record::{
    Created, KEYS_PER_WINDOW, Lease, Record, claim_key, classify_existing, encode, window_key,
};
use crate::store::{Store, StoreError};

/// Time to resolve an ambiguous write before the claim is refused.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between attempts to resolve an ambiguous write.
const RESOLVE_DELAY: Duration = Duration::from_millis(100);
/// Claims remembered for [`Claims::finish`]. The outcomes of further claims are not recorded, and other entries get the
/// weaker [`OrphanEnd::MayHaveRun`].
const MAX_HELD_CLAIMS: usize = 65_536;
/// Mean time without calls after the store was found down, so that a burst of definite submissions does not become a
/// burst of connection attempts.
const STORE_DOWN_PAUSE: Duration = Duration::from_secs(1);

/// Reason why a task must not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ClaimError {
    /// The instance has used up its rate of claims.
    #[error("the instance has reached its claim rate limit")]
    Limit,
    /// The claim could not be recorded in the store, or its lease is too close to expiry.
    #[error("the claim could not be recorded in the store")]
    Refused,
    /// Another entry has recorded a tombstone, so the submission must never run.
    #[error("another entry has recorded the submission as not run")]
    Forbidden,
}

impl ClaimError {
    /// Result code that reports the error; every one has the outcome "not run".
    #[must_use]
    pub const fn code(self) -> ResultCode {
        match self {
            Self::Limit => ResultCode::ClaimLimit,
            Self::Refused => ResultCode::ClaimRefused,
            Self::Forbidden => ResultCode::OwnerGoneNotRun,
        }
    }
}

/// What the store's records prove about an orphaned submission, that is, one whose owner is gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrphanEnd {
    /// A task may have started.
    MayHaveRun,
    /// No task started and none will.
    NeverRan,
    /// The submission ended with this code.
    Outcome(ResultCode),
    /// The store did not answer, or the rate of claims is used up; the query can be repeated later.
    Unavailable,
}

impl OrphanEnd {
    /// Result code that reports the outcome to the caller.
    #[must_use]
    pub const fn code(self) -> ResultCode {
        match self {
            Self::MayHaveRun => ResultCode::OwnerGone,
            Self::NeverRan => ResultCode::OwnerGoneNotRun,
            Self::Outcome(code) => code,
            Self::Unavailable => ResultCode::OwnerUnreachable,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct HeldClaim {
    lease: Lease,
    revision: u64,
}

#[derive(Debug)]
struct ClaimState {
    claim_ttl: Duration,
    down_until: Option<Instant>,
    held: FastMap<SubmissionKey, HeldClaim>,
    rng: StdRng,
}

/// Windows opened by this process. Each window is opened once, in rising order: a second marker, written after the
/// first expired, would suggest that claims which have also expired were never made.
#[derive(Debug, Default)]
struct Windows {
    /// Time by which all leases granted so far have expired.
    all_expired_at: Option<Instant>,
    lease: Option<Lease>,
    /// Lowest window that was never opened.
    first_unopened: u64,
}

/// Records claims of this entry's submissions, and finds out what may have run of submissions whose owner is gone.
#[derive(Debug)]
pub struct Claims<S> {
    bucket: TokenBucket,
    state: Mutex<ClaimState>,
    store: MeteredStore<S>,
    windows: tokio::sync::Mutex<Windows>,
}

impl<S: Store> Claims<S> {
    /// Creates the client; its store calls are added to `counters`, and `seed` determines operation ids and jitter.
    #[must_use]
    pub fn new(store: S, counters: Arc<StoreCounters>, policy: &Policy, seed: u64) -> Self {
        let state = ClaimState {
            claim_ttl: Duration::from_millis(policy.claim_ttl_ms),
            down_until: None,
            held: FastMap::default(),
            rng: StdRng::seed_from_u64(seed),
        };
        Self {
            bucket: TokenBucket::new(policy.claims_per_s),
            state: Mutex::new(state),
            store: MeteredStore::counted(store, counters),
            windows: tokio::sync::Mutex::default(),
        }
    }

    /// Updates the rate of claims and their time to live.
    pub fn set_policy(&self, policy: &Policy) {
        self.bucket.set_rate(policy.claims_per_s);
        lock(&self.state).claim_ttl = Duration::from_millis(policy.claim_ttl_ms);
    }

    /// Opens the window of one of this entry's keys ahead of its claim, so that [`Self::close_orphan`] can return
    /// [`OrphanEnd::NeverRan`] even if this process ends before the claim. Failures are ignored, because
    /// [`Self::claim`] opens the window if needed.
    pub async fn open_window(&self, key: &SubmissionKey) {
        if !self.is_down() {
            self.lease_in_window(key).await;
        }
    }

    /// Records that tasks of a submission of this entry may start from now on.
    ///
    /// # Errors
    ///
    /// Fails when the claim was not recorded; no task may start then.
    pub async fn claim(&self, key: &SubmissionKey) -> Result<(), ClaimError> {
        if self.is_down() {
            return Err(ClaimError::Refused);
        }
        if !self.bucket.try_take() {
            return Err(ClaimError::Limit);
        }
        let lease = self.lease_in_window(key).await.ok_or(ClaimError::Refused)?;
        let record = Record::Claimed { operation_id: self.operation_id() };
        match self.create_record(&claim_key(key), &record, lease).await {
            Created::Own { revision } if lease.is_reliable() => {
                self.remember(key, HeldClaim { lease, revision });
                Ok(())
            }
            Created::Other(Some(Record::Tombstone { .. })) => Err(ClaimError::Forbidden),
            Created::Other(_) | Created::Own { .. } => Err(ClaimError::Refused),
            Created::Unavailable => {
                // The store may have lost the lease, so the next claim requests another one.
                self.windows.lock().await.lease = None;
                Err(ClaimError::Refused)
            }
        }
    }

    /// Records the outcome of a claimed submission in a single attempt; returns whether the store has confirmed it.
    pub async fn finish(&self, key: &SubmissionKey, outcome: ResultCode) -> bool {
        let Some(claim) = lock(&self.state).held.remove(key) else { return false };
        let record = Record::Outcome { code: outcome.number(), operation_id: self.operation_id() };
        let Some(put) = encode(&record, claim.revision, claim.lease.id) else { return false };
        if self.is_down() {
            return false;
        }
        match self.store.put(&claim_key(key), &put).await {
            Ok(_) => true,
            Err(StoreError::Conflict(_) | StoreError::Invalid(_)) => false,
            Err(StoreError::Ambiguous | StoreError::Unavailable) => {
                self.mark_down();
                false
            }
        }
    }

    /// Finds out what may have run of a submission whose owner is gone, and forbids its start if it has no claim.
    ///
    /// [`OrphanEnd::NeverRan`] is returned only while the owner's window marker exists. A later call may return the
    /// weaker [`OrphanEnd::MayHaveRun`]; the reverse never happens.
    pub async fn close_orphan(&self, key: &SubmissionKey) -> OrphanEnd {
        if self.is_down() || !self.bucket.try_take() {
            return OrphanEnd::Unavailable;
        }
        let Some(lease) = self.fresh_lease(&mut *self.windows.lock().await).await else {
            return OrphanEnd::Unavailable;
        };
        let record = Record::Tombstone { operation_id: self.operation_id() };
        match self.create_record(&claim_key(key), &record, lease).await {
            Created::Own { .. } if !lease.is_reliable() => OrphanEnd::Unavailable,
            Created::Own { .. } | Created::Other(Some(Record::Tombstone { .. })) => self.confirm(key).await,
            Created::Other(Some(Record::Outcome { code, .. })) => {
                ResultCode::from_number(code).map_or(OrphanEnd::MayHaveRun, OrphanEnd::Outcome)
            }
            Created::Other(_) => OrphanEnd::MayHaveRun,
            Created::Unavailable => OrphanEnd::Unavailable,
        }
    }

    /// Once the tombstone is written, an existing window marker proves that no claim was made and expired before it.
    async fn confirm(&self, key: &SubmissionKey) -> OrphanEnd {
        match self.store.get(&window_key(key)).await {
            Ok(value) if matches!(Record::parse(&value), Some(Record::Window { .. })) => OrphanEnd::NeverRan,
            Ok(_) => OrphanEnd::MayHaveRun,
            Err(_) => {
                self.mark_down();
                OrphanEnd::Unavailable
            }
        }
    }

    /// Opens the window of the key if needed and returns a lease for its claim; `None` if the store failed.
    async fn lease_in_window(&self, key: &SubmissionKey) -> Option<Lease> {
        let mut windows = self.windows.lock().await;
        let lease = self.fresh_lease(&mut windows).await?;
        let window = key.sequence / KEYS_PER_WINDOW;
        if window >= windows.first_unopened {
            let record = Record::Window { operation_id: self.operation_id() };
            // No claim is made in a window that is not open, so a failed attempt to open it can be repeated safely.
            if matches!(self.create_record(&window_key(key), &record, lease).await, Created::Unavailable) {
                windows.lease = None;
                return None;
            }
            windows.first_unopened = window + 1;
        }
        Some(lease)
    }

    /// Returns the shared lease while it is fresh, else a new one that expires after all earlier ones and therefore
    /// after all window markers.
    async fn fresh_lease(&self, windows: &mut Windows) -> Option<Lease> {
        if let Some(lease) = windows.lease.filter(|lease| lease.is_fresh()) {
            return Some(lease);
        }
        if self.is_down() {
            return None;
        }
        let granted_at = Instant::now();
        let remaining =
            windows.all_expired_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(granted_at));
        let ttl = lock(&self.state).claim_ttl.max(remaining);
        let Ok(reply) = self.store.grant_lease(ttl).await else {
            self.mark_down();
            return None;
        };
        let lease = Lease { granted_at, id: reply.lease, ttl: Duration::from_millis(reply.ttl_ms).min(ttl) };
        if lease.ttl < remaining {
            return None;
        }
        // The store may have started the lease as late as when it sent the response.
        windows.all_expired_at = Some(Instant::now() + lease.ttl);
        windows.lease = Some(lease);
        Some(lease)
    }

    /// Creates a key. After an ambiguous write, the operation id is read back to find out whether it was applied.
    async fn create_record(&self, key: &str, record: &Record, lease: Lease) -> Created {
        let Some(put) = encode(record, 0, lease.id) else { return Created::Unavailable };
        let deadline = Instant::now() + RESOLVE_TIMEOUT;
        loop {
            let mut result = self.store.put(key, &put).await;
            while result == Err(StoreError::Ambiguous) && Instant::now() + RESOLVE_DELAY < deadline {
                sleep(RESOLVE_DELAY).await;
                result = self.read_back(key).await;
            }
            match result {
                Ok(value) => return Created::Own { revision: value.revision },
                // The key is absent: the write was lost or is still on its way. Repeating it is safe, because it only
                // creates the key.
                Err(StoreError::Conflict(value)) if value.revision == 0 => {}
                Err(StoreError::Conflict(value)) => return classify_existing(record, &value),
                Err(StoreError::Invalid(_)) => return Created::Unavailable,
                Err(StoreError::Ambiguous | StoreError::Unavailable) => {
                    self.mark_down();
                    return Created::Unavailable;
                }
            }
            if Instant::now() + RESOLVE_DELAY >= deadline {
                return Created::Unavailable;
            }
            sleep(RESOLVE_DELAY).await;
        }
    }

    /// Reads a key after an ambiguous write and reports its value as a conflict.
    async fn read_back(&self, key: &str) -> Result<StoreValue, StoreError> {
        match self.store.get(key).await {
            Ok(value) => Err(StoreError::Conflict(value)),
            Err(_) => Err(StoreError::Ambiguous),
        }
    }

    fn operation_id(&self) -> String {
        format!("{:032x}", lock(&self.state).rng.random::<u128>())
    }

    fn remember(&self, key: &SubmissionKey, claim: HeldClaim) {
        let mut state = lock(&self.state);
        if state.held.len() >= MAX_HELD_CLAIMS {
            state.held.retain(|_, claim| claim.lease.granted_at.elapsed() < claim.lease.ttl);
        }
        if state.held.len() < MAX_HELD_CLAIMS {
            state.held.insert(key.clone(), claim);
        }
    }

    fn is_down(&self) -> bool {
        lock(&self.state).down_until.is_some_and(|until| Instant::now() < until)
    }

    fn mark_down(&self) {
        let mut state = lock(&self.state);
        let jitter = state.rng.random_range(0.5..1.5);
        state.down_until = Some(Instant::now() + STORE_DOWN_PAUSE.mul_f64(jitter));
    }
}
