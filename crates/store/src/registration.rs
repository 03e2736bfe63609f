//! A key kept in the store under a lease for as long as this process runs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::Backoff;
use crate::keyspace::{Keyspace, KeyspaceError, LeaseId};

/// Upper bounds of the first delay and of every delay after a failed call.
const INITIAL_DELAY: Duration = Duration::from_millis(200);
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Renewals per time to live of the lease.
const RENEWALS_PER_TTL: u32 = 4;

/// Change of a registration's state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistrationEvent {
    /// A call failed; the key may have expired.
    Lost(KeyspaceError),
    /// The key was written under this lease; repeated when it is written again.
    Registered(LeaseId),
}

/// Keeps a key registered under a lease, and writes it again under a new lease when the old one has expired.
pub struct Registration<K> {
    /// Receives each change of state; the registration waits while the channel is full.
    pub events: mpsc::Sender<RegistrationEvent>,
    /// Full name of the key that is written.
    pub key: Arc<str>,
    /// Client of the store that holds the key.
    pub keyspace: K,
    /// Whether the store shows the key with the value of this process, as far as is known. If not, it is written again with
    /// the next renewal: it may have been removed while its lease continued.
    pub listed: watch::Receiver<bool>,
    /// Seed of the random delays after failed calls.
    pub seed: u64,
    /// Time to live of the lease, renewed four times in this period.
    pub ttl: Duration,
    /// Value written under the key.
    pub value: Bytes,
}

impl<K: Keyspace> Registration<K> {
    /// Runs until `stop` becomes true or its sender is dropped, then revokes the lease.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let mut backoff = Backoff::with_bounds(self.seed, INITIAL_DELAY, MAX_DELAY);
        let mut lease = None;
        loop {
            tokio::select! {
                error = self.keep_registered(&mut lease, &mut backoff) => {
                    let _ = self.events.send(RegistrationEvent::Lost(error)).await;
                    sleep(backoff.next_delay()).await;
                }
                () = async { drop(stop.wait_for(|stop| *stop).await) } => break,
            }
        }
        if let Some(lease) = lease {
            // If this call fails, the lease expires after its time to live.
            let _ = self.keyspace.revoke(lease).await;
        }
    }

    /// Obtains a lease if there is none, then writes the key and renews the lease until a call fails.
    async fn keep_registered(&self, held: &mut Option<LeaseId>, backoff: &mut Backoff) -> KeyspaceError {
        let lease = match held {
            Some(lease) => *lease,
            None => match self.keyspace.grant(self.ttl).await {
                Ok(lease) => *held.insert(lease),
                Err(error) => return error,
            },
        };
        loop {
            if let Err(error) = self.keyspace.put(&self.key, self.value.clone(), lease).await {
                return clear_if_expired(held, error);
            }
            backoff.reset();
            let _ = self.events.send(RegistrationEvent::Registered(lease)).await;
            if let Err(error) = self.renew_while_listed(lease).await {
                return clear_if_expired(held, error);
            }
        }
    }

    /// Renews the lease until the store no longer shows the key.
    async fn renew_while_listed(&self, lease: LeaseId) -> Result<(), KeyspaceError> {
        loop {
            sleep(self.ttl / RENEWALS_PER_TTL).await;
            self.keyspace.renew(lease).await?;
            if !*self.listed.borrow() {
                return Ok(());
            }
        }
    }
}

/// Clears an expired lease, so that the next attempt requests a new one.
fn clear_if_expired(held: &mut Option<LeaseId>, error: KeyspaceError) -> KeyspaceError {
    if error == KeyspaceError::LeaseExpired {
        *held = None;
    }
    error
}
