//! Claims of definite submissions: proof in the store of what may have run.
//!
//! A claim is the key `claims/<submission key>`, created before the first start. Whoever creates it first decides: the
//! owner's claim allows the start, another entry's tombstone forbids it.
//!
//! Records are bound to leases, so their absence proves nothing once they can have expired. The owner therefore opens
//! a window for each run of [`KEYS_PER_WINDOW`] sequences: a marker under a lease that expires no later than the lease of
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
    Created, KEYS_PER_WINDOW, Lease, Record, claim_key, encode, own_or_other, window_key,
};
use crate::store::{Store, StoreError};

/// Time to settle an ambiguous claim before it is refused.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Delay between attempts to settle an ambiguous claim.
const SETTLE_DELAY: Duration = Duration::from_millis(100);
/// Claims held for `finish`; beyond it outcomes are not recorded, which leaves the weaker answer "may have run".
const MAX_HELD: usize = 65_536;
/// Time without calls after the store was found down, so that a flood of definite work does not become a flood of
/// connects.
const DOWN_TIME: Duration = Duration::from_secs(1);

/// Why a task must not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ClaimError {
    /// The instance's rate of claims is used up.
    #[error("the rate of claims is used up")]
    Limit,
    /// The claim could not be recorded.
    #[error("the claim could not be recorded")]
    Refused,
    /// Another entry has recorded that the submission never runs.
    #[error("another entry has settled the submission as not run")]
    Settled,
}

impl ClaimError {
    /// Result code that reports the error; all of them mean not run.
    #[must_use]
    pub const fn code(self) -> ResultCode {
        match self {
            Self::Limit => ResultCode::ClaimLimit,
            Self::Refused => ResultCode::ClaimRefused,
            Self::Settled => ResultCode::OwnerGoneNotRun,
        }
    }
}

/// What the store proves about a submission whose owner is gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settlement {
    /// A task may have started.
    MayHaveRun,
    /// No task started and none will.
    NeverRan,
    /// The submission ended with this code.
    Outcome(ResultCode),
    /// The store did not answer, or the rate of claims is used up; ask again.
    Unavailable,
}

impl Settlement {
    /// Result code that reports the settlement.
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

/// Windows are opened once and in rising order: a window opened again after its marker expired would vouch for claims
/// that have expired too.
#[derive(Debug, Default)]
struct Windows {
    /// Time at which all leases granted so far have expired.
    all_expired_at: Option<Instant>,
    lease: Option<Lease>,
    /// The lowest window that was never opened.
    next: u64,
}

/// Records and settles claims.
#[derive(Debug)]
pub struct Claims<S> {
    bucket: TokenBucket,
    state: Mutex<ClaimState>,
    store: MeteredStore<S>,
    windows: tokio::sync::Mutex<Windows>,
}

impl<S: Store> Claims<S> {
    /// Creates the client; `counters` are those of the instance's store calls.
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

    /// Changes the rate of claims and their time to live.
    pub fn set_policy(&self, policy: &Policy) {
        self.bucket.set_rate(policy.claims_per_s);
        lock(&self.state).claim_ttl = Duration::from_millis(policy.claim_ttl_ms);
    }

    /// Opens the window of an own key ahead of its claim, so that the submission can be settled as never run even if
    /// this process ends before the claim. Best effort; [`Self::claim`] does the same.
    pub async fn open_window(&self, key: &SubmissionKey) {
        if !self.is_down() {
            self.lease_for(key).await;
        }
    }

    /// Records that tasks of an own submission may start from now on.
    ///
    /// # Errors
    ///
    /// Fails when no task may start.
    pub async fn claim(&self, key: &SubmissionKey) -> Result<(), ClaimError> {
        if self.is_down() {
            return Err(ClaimError::Refused);
        }
        if !self.bucket.try_take() {
            return Err(ClaimError::Limit);
        }
        let lease = self.lease_for(key).await.ok_or(ClaimError::Refused)?;
        let record = Record::Claimed { operation_id: self.operation_id() };
        match self.create(&claim_key(key), &record, lease).await {
            Created::Own { revision } if lease.is_reliable() => {
                self.hold(key, HeldClaim { lease, revision });
                Ok(())
            }
            Created::Other(Some(Record::Tombstone { .. })) => Err(ClaimError::Settled),
            Created::Other(_) | Created::Own { .. } => Err(ClaimError::Refused),
            Created::Unavailable => {
                // The store may have lost the lease; the next claim gets another one.
                self.windows.lock().await.lease = None;
                Err(ClaimError::Refused)
            }
        }
    }

    /// Records the outcome of a claimed submission; one attempt, true when the store has confirmed it.
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

    /// Finds out what may have run of a submission whose owner is gone, and forbids its start if it had none.
    ///
    /// The answer `NeverRan` is given while the owner's window marker exists. A later question may get the weaker
    /// answer `MayHaveRun`, never the other way round.
    pub async fn settle(&self, key: &SubmissionKey) -> Settlement {
        if self.is_down() || !self.bucket.try_take() {
            return Settlement::Unavailable;
        }
        let Some(lease) = self.fresh_lease(&mut *self.windows.lock().await).await else {
            return Settlement::Unavailable;
        };
        let record = Record::Tombstone { operation_id: self.operation_id() };
        match self.create(&claim_key(key), &record, lease).await {
            Created::Own { .. } if !lease.is_reliable() => Settlement::Unavailable,
            Created::Own { .. } | Created::Other(Some(Record::Tombstone { .. })) => self.prove(key).await,
            Created::Other(Some(Record::Outcome { code, .. })) => {
                ResultCode::from_number(code).map_or(Settlement::MayHaveRun, Settlement::Outcome)
            }
            Created::Other(_) => Settlement::MayHaveRun,
            Created::Unavailable => Settlement::Unavailable,
        }
    }

    /// With a tombstone in place, an existing marker proves that no claim has expired before the tombstone was
    /// written.
    async fn prove(&self, key: &SubmissionKey) -> Settlement {
        match self.store.get(&window_key(key)).await {
            Ok(value) if matches!(Record::parse(&value), Some(Record::Window { .. })) => Settlement::NeverRan,
            Ok(_) => Settlement::MayHaveRun,
            Err(_) => {
                self.mark_down();
                Settlement::Unavailable
            }
        }
    }

    /// Lease for a claim of the key, once the window of the key is open.
    async fn lease_for(&self, key: &SubmissionKey) -> Option<Lease> {
        let mut windows = self.windows.lock().await;
        let lease = self.fresh_lease(&mut windows).await?;
        let window = key.sequence / KEYS_PER_WINDOW;
        if window >= windows.next {
            let record = Record::Window { operation_id: self.operation_id() };
            // No claim is made in a window that is not open, so that opening it can be tried again.
            if matches!(self.create(&window_key(key), &record, lease).await, Created::Unavailable) {
                windows.lease = None;
                return None;
            }
            windows.next = window + 1;
        }
        Some(lease)
    }

    /// The shared lease, or another one that expires after all earlier ones, and so after all markers.
    async fn fresh_lease(&self, windows: &mut Windows) -> Option<Lease> {
        if let Some(lease) = windows.lease.filter(|lease| lease.is_fresh()) {
            return Some(lease);
        }
        if self.is_down() {
            return None;
        }
        let granted_at = Instant::now();
        let left =
            windows.all_expired_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(granted_at));
        let ttl = lock(&self.state).claim_ttl.max(left);
        let Ok(reply) = self.store.grant_lease(ttl).await else {
            self.mark_down();
            return None;
        };
        let lease = Lease { granted_at, id: reply.lease, ttl: Duration::from_millis(reply.ttl_ms).min(ttl) };
        if lease.ttl < left {
            return None;
        }
        // The store may have started the lease as late as now.
        windows.all_expired_at = Some(Instant::now() + lease.ttl);
        windows.lease = Some(lease);
        Some(lease)
    }

    /// Creates a key; an ambiguous write is settled by reading back the operation id.
    async fn create(&self, key: &str, record: &Record, lease: Lease) -> Created {
        let Some(put) = encode(record, 0, lease.id) else { return Created::Unavailable };
        let deadline = Instant::now() + SETTLE_TIME;
        loop {
            let mut result = self.store.put(key, &put).await;
            while result == Err(StoreError::Ambiguous) && Instant::now() + SETTLE_DELAY < deadline {
                sleep(SETTLE_DELAY).await;
                result = self.read_back(key).await;
            }
            match result {
                Ok(value) => return Created::Own { revision: value.revision },
                // Still absent: the write was lost on its way, or is late. Another copy is create-only as well.
                Err(StoreError::Conflict(value)) if value.revision == 0 => {}
                Err(StoreError::Conflict(value)) => return own_or_other(record, &value),
                Err(StoreError::Invalid(_)) => return Created::Unavailable,
                Err(StoreError::Ambiguous | StoreError::Unavailable) => {
                    self.mark_down();
                    return Created::Unavailable;
                }
            }
            if Instant::now() + SETTLE_DELAY >= deadline {
                return Created::Unavailable;
            }
            sleep(SETTLE_DELAY).await;
        }
    }

    /// Reads a key as the answer to a lost write: a conflict with the value that is there.
    async fn read_back(&self, key: &str) -> Result<StoreValue, StoreError> {
        match self.store.get(key).await {
            Ok(value) => Err(StoreError::Conflict(value)),
            Err(_) => Err(StoreError::Ambiguous),
        }
    }

    fn operation_id(&self) -> String {
        format!("{:032x}", lock(&self.state).rng.random::<u128>())
    }

    fn hold(&self, key: &SubmissionKey, claim: HeldClaim) {
        let mut state = lock(&self.state);
        if state.held.len() >= MAX_HELD {
            state.held.retain(|_, claim| claim.lease.granted_at.elapsed() < claim.lease.ttl);
        }
        if state.held.len() < MAX_HELD {
            state.held.insert(key.clone(), claim);
        }
    }

    fn is_down(&self) -> bool {
        lock(&self.state).down_until.is_some_and(|until| Instant::now() < until)
    }

    fn mark_down(&self) {
        let mut state = lock(&self.state);
        let jitter = state.rng.random_range(0.5..1.5);
        state.down_until = Some(Instant::now() + DOWN_TIME.mul_f64(jitter));
    }
}
