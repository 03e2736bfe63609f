//! A number that no other process has, claimed in the store for as long as this process runs.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout_at};

use crate::Backoff;
use crate::conditional::{ConditionalPut, ConditionalWrites};
use crate::keyspace::{KeyspaceError, Revision};
use crate::number_record::{ClaimStatus, NumberRecord, UnixDay, lapse_day};

/// Upper bounds of the first delay and of every delay after a failed call of a claim. They are those of registrations, so that a
/// claim adds little to the time that an entry needs after an outage of the store.
const CLAIM_DELAYS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(1));
/// The same for renewals, which have days.
const RENEWAL_DELAYS: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(600));
/// Number of conflicts in a row after which a process waits before its next call. While half of the numbers are taken, one claim
/// in 256 gets that far.
const MAX_IMMEDIATE_CONFLICTS: u32 = 8;
/// Bounds of the random time between two renewals, so that processes that have started together do not renew together.
const RENEWAL_HOURS: std::ops::RangeInclusive<u64> = 18..=24;
/// Length of a day in milliseconds.
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Change of a claim's state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NumberEvent {
    /// A call of a claim or a renewal failed; it is repeated.
    Failed(KeyspaceError),
    /// The process holds this number; sent after the claim and after each renewal.
    Held {
        /// From 1 to [`NumberClaim::max_number`].
        number: u16,
        /// When the process must have stopped using the number, unless the claim is renewed.
        until: Instant,
    },
    /// The process no longer holds its number: it was not renewed in time, or another process has it.
    Lost,
}

/// Claims a number for this process, renews the claim and claims another number when it is lost.
///
/// A claim has no lease: a lease may expire while its holder lives and is cut off from the store. All times are those of the
/// process's own clock, the time of day at its start and the time that has passed since.
pub struct NumberClaim<S> {
    /// Receives each change of state; the claim waits while the channel is full.
    pub events: mpsc::Sender<NumberEvent>,
    /// Identifies this process among all that claim numbers.
    pub incarnation: u64,
    /// Highest number; the lowest is 1.
    pub max_number: u16,
    /// Prefix of the keys; the number follows.
    pub prefix: Arc<str>,
    /// Start of the process's clock.
    pub started_at: Instant,
    /// Unix time at `started_at`, in milliseconds.
    pub started_unix_ms: u64,
    /// Client of the store that holds the keys.
    pub store: S,
}

/// A number that this process holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    number: u16,
    renewed_on: UnixDay,
    revision: Revision,
}

/// Result of a write that the store has answered.
enum Attempt {
    Held(Held),
    /// The write may be repeated with this expected revision.
    Outdated(Revision),
    Taken,
}

impl<S: ConditionalWrites> NumberClaim<S> {
    /// Holds numbers, one after the other, without end.
    pub async fn run(self) {
        let mut rng = StdRng::seed_from_u64(self.incarnation);
        loop {
            let held = self.claim(&mut rng).await;
            self.keep(&mut rng, held).await;
            let _ = self.events.send(NumberEvent::Lost).await;
        }
    }

    /// Draws numbers until one is claimed. A call without an answer is repeated for the same number, since it may still be
    /// executed.
    async fn claim(&self, rng: &mut StdRng) -> Held {
        let mut backoff = Backoff::with_bounds(rng.random(), CLAIM_DELAYS.0, CLAIM_DELAYS.1);
        let mut conflicts = 0;
        let mut number = rng.random_range(1..=self.max_number);
        let mut expected = 0;
        loop {
            match self.attempt(number, expected).await {
                Ok(Attempt::Held(held)) => return held,
                Ok(Attempt::Outdated(revision)) => expected = revision,
                Ok(Attempt::Taken) => (number, expected) = (rng.random_range(1..=self.max_number), 0),
                Err(error) => {
                    let _ = self.events.send(NumberEvent::Failed(error)).await;
                    sleep(backoff.next_delay()).await;
                    continue;
                }
            }
            conflicts += 1;
            if conflicts >= MAX_IMMEDIATE_CONFLICTS {
                sleep(backoff.next_delay()).await;
            }
        }
    }

    /// Renews the claim until it is lost.
    async fn keep(&self, rng: &mut StdRng, mut held: Held) {
        loop {
            let until = self.start_of(lapse_day(held.renewed_on));
            let _ = self.events.send(NumberEvent::Held { number: held.number, until }).await;
            let interval = Duration::from_secs(rng.random_range(RENEWAL_HOURS) * 60 * 60);
            let renewal = async {
                sleep(interval).await;
                self.renew(rng.random(), held).await
            };
            match timeout_at(until, renewal).await {
                Ok(Some(renewed)) => held = renewed,
                Ok(None) | Err(_) => return,
            }
        }
    }

    /// Renews the claim once; none if another process has the number.
    async fn renew(&self, seed: u64, mut held: Held) -> Option<Held> {
        let mut backoff = Backoff::with_bounds(seed, RENEWAL_DELAYS.0, RENEWAL_DELAYS.1);
        loop {
            match self.attempt(held.number, held.revision).await {
                Ok(Attempt::Held(renewed)) => return Some(renewed),
                Ok(Attempt::Outdated(revision)) => held.revision = revision,
                Ok(Attempt::Taken) => return None,
                Err(error) => drop(self.events.send(NumberEvent::Failed(error)).await),
            }
            sleep(backoff.next_delay()).await;
        }
    }

    /// Writes the record of this process under a number that has the given revision.
    async fn attempt(&self, number: u16, expected: Revision) -> Result<Attempt, KeyspaceError> {
        let today = self.today();
        let record = NumberRecord { day: today, incarnation: self.incarnation };
        let key = format!("{}{number}", self.prefix);
        let present = match self.store.put_if(&key, expected, record.encode()).await? {
            ConditionalPut::Written(revision) => {
                return Ok(Attempt::Held(Held { number, renewed_on: today, revision }));
            }
            ConditionalPut::Conflict(Some(present)) => present,
            ConditionalPut::Conflict(None) => return Ok(Attempt::Outdated(0)),
        };
        let Some(record) = NumberRecord::decode(&present.value) else { return Ok(Attempt::Taken) };
        Ok(match record.status_for(self.incarnation, today) {
            // An earlier call whose answer was lost has been executed.
            ClaimStatus::Own => {
                Attempt::Held(Held { number, renewed_on: record.day, revision: present.revision })
            }
            ClaimStatus::Free => Attempt::Outdated(present.revision),
            ClaimStatus::Taken => Attempt::Taken,
        })
    }

    /// The present day by the clock of this process.
    fn today(&self) -> UnixDay {
        let since_start = self.started_at.elapsed().as_millis();
        let now_ms = self.started_unix_ms.saturating_add(u64::try_from(since_start).unwrap_or(u64::MAX));
        now_ms / DAY_MS
    }

    /// When a day starts by the clock of this process.
    fn start_of(&self, day: UnixDay) -> Instant {
        let from_start_ms = day.saturating_mul(DAY_MS).saturating_sub(self.started_unix_ms);
        self.started_at + Duration::from_millis(from_start_ms)
    }
}
