//! A key that exists while this process is alive.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::Backoff;
use crate::keyspace::{Keyspace, KeyspaceError, LeaseId};

/// Bounds of the delay after a failed call.
const FIRST_DELAY: Duration = Duration::from_millis(200);
const LONGEST_DELAY: Duration = Duration::from_secs(1);
/// Renewals per lifetime of the lease.
const RENEWALS_PER_TTL: u32 = 4;
/// Renewals after which the key is written again, in case it was removed without the lease.
const RENEWALS_PER_WRITE: u32 = 8;

/// Changes of a registration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistrationEvent {
    /// The key may be gone.
    Lost(KeyspaceError),
    /// The key is written under a lease.
    Registered(LeaseId),
}

/// Keeps a key alive under a lease and writes it anew when the lease is lost.
pub struct Registration<K> {
    /// Reports to the owner of the registration.
    pub events: mpsc::Sender<RegistrationEvent>,
    /// The key.
    pub key: Arc<str>,
    /// The store.
    pub keyspace: K,
    /// Seed of the delays after failures.
    pub seed: u64,
    /// Lifetime of the lease.
    pub ttl: Duration,
    /// The value.
    pub value: Bytes,
}

impl<K: Keyspace> Registration<K> {
    /// Runs until `stop` is true, then ends the lease.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let mut backoff = Backoff::with_bounds(self.seed, FIRST_DELAY, LONGEST_DELAY);
        let mut lease = None;
        loop {
            tokio::select! {
                error = self.keep(&mut lease, &mut backoff) => {
                    let _ = self.events.send(RegistrationEvent::Lost(error)).await;
                    sleep(backoff.next_delay()).await;
                }
                () = async { drop(stop.wait_for(|stop| *stop).await) } => break,
            }
        }
        if let Some(lease) = lease {
            // The lease ends by itself when this call is lost.
            let _ = self.keyspace.revoke(lease).await;
        }
    }

    /// Writes the key and renews its lease until a call fails.
    async fn keep(&self, held: &mut Option<LeaseId>, backoff: &mut Backoff) -> KeyspaceError {
        let lease = match held {
            Some(lease) => *lease,
            None => match self.keyspace.grant(self.ttl).await {
                Ok(lease) => *held.insert(lease),
                Err(error) => return error,
            },
        };
        loop {
            if let Err(error) = self.keyspace.put(&self.key, self.value.clone(), lease).await {
                return forget_expired(held, error);
            }
            backoff.reset();
            let _ = self.events.send(RegistrationEvent::Registered(lease)).await;
            for _ in 0..RENEWALS_PER_WRITE {
                sleep(self.ttl / RENEWALS_PER_TTL).await;
                if let Err(error) = self.keyspace.renew(lease).await {
                    return forget_expired(held, error);
                }
            }
        }
    }
}

/// Drops a lease that the store no longer knows, so that the next attempt asks for a new one.
fn forget_expired(held: &mut Option<LeaseId>, error: KeyspaceError) -> KeyspaceError {
    if error == KeyspaceError::LeaseExpired {
        *held = None;
    }
    error
}
