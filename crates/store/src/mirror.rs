//! Local copy of all keys with a prefix, kept up to date by a watch.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

use crate::Backoff;
use crate::keyspace::{Change, Item, Keyspace, KeyspaceError, Page, Revision};

/// Upper bounds of the first delay and of every delay after a failed call.
const INITIAL_DELAY: Duration = Duration::from_millis(200);
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Settings of a [`Mirror`].
#[derive(Clone, Debug)]
pub struct MirrorSettings {
    /// Shortest time between the starts of two watches, so that one response carries many small changes.
    pub min_watch_interval: Duration,
    /// Prefix of the keys that are copied.
    pub prefix: Arc<str>,
    /// Time after an outage during which removals are held back, so that processes whose leases expired in the outage
    /// can register again.
    pub removal_grace: Duration,
    /// Seed of the random delays after failed calls.
    pub seed: u64,
    /// Longest time for which the store holds a watch without changes.
    pub watch_timeout: Duration,
}

/// Change of the connection to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Connectivity {
    /// A call failed; the copy stays as it was at the last response.
    Lost {
        /// Error of the first failed call.
        error: KeyspaceError,
    },
    /// A call succeeded after a failure.
    Restored,
}

/// Event that a [`Mirror`] sends.
#[derive(Clone, Debug)]
pub enum MirrorEvent {
    /// The copy has changed, or the whole prefix was read.
    Changed(Snapshot),
    /// The store stopped or resumed answering.
    Connectivity(Connectivity),
}

/// Copy of the keys with the prefix.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Items by the full name of their key.
    pub items: BTreeMap<Arc<str>, Item>,
    /// Store revision up to which changes are included.
    pub revision: Revision,
}

/// Keeps a copy of all keys with a prefix: reads them once, then applies the changes that a watch reports.
pub struct Mirror<K> {
    backoff: Backoff,
    snapshot: Snapshot,
    events: mpsc::Sender<MirrorEvent>,
    keyspace: K,
    is_disconnected: bool,
    /// Keys removed from the store during or shortly after an outage, with the time at which they leave the copy.
    pending_removals: BTreeMap<Arc<str>, Instant>,
    restored_at: Option<Instant>,
    settings: MirrorSettings,
}

impl<K: Keyspace> Mirror<K> {
    /// Creates a mirror that sends its events to `events` and waits while that channel is full.
    #[must_use]
    pub fn new(keyspace: K, settings: MirrorSettings, events: mpsc::Sender<MirrorEvent>) -> Self {
        Self {
            backoff: Backoff::with_bounds(settings.seed, INITIAL_DELAY, MAX_DELAY),
            snapshot: Snapshot::default(),
            events,
            keyspace,
            is_disconnected: false,
            pending_removals: BTreeMap::new(),
            restored_at: None,
            settings,
        }
    }

    /// Runs until the receiver of the events is dropped.
    pub async fn run(mut self) {
        while !self.events.is_closed() {
            if let Err(error) = self.sync_and_watch().await {
                self.record_failure(error).await;
            }
        }
    }

    /// Reads all keys with the prefix, then watches for changes until a call fails or the watch's revision is
    /// compacted.
    async fn sync_and_watch(&mut self) -> Result<(), KeyspaceError> {
        let (items, mut revision) = self.read_all().await?;
        self.record_success().await;
        self.replace(items, revision);
        self.publish().await;
        loop {
            let started = Instant::now();
            let response =
                match self.keyspace.watch(&self.settings.prefix, revision, self.settings.watch_timeout).await
                {
                    Ok(response) => response,
                    Err(KeyspaceError::Compacted) => return Ok(()),
                    Err(error) => return Err(error),
                };
            self.record_success().await;
            revision = revision.max(response.as_of);
            let mut changed = self.remove_due(Instant::now());
            for change in response.changes {
                changed |= self.apply(change);
            }
            self.snapshot.revision = revision;
            if changed {
                self.publish().await;
            }
            sleep_until(started + self.settings.min_watch_interval).await;
        }
    }

    async fn read_all(&self) -> Result<(BTreeMap<Arc<str>, Item>, Revision), KeyspaceError> {
        let mut items: BTreeMap<Arc<str>, Item> = BTreeMap::new();
        let mut first_revision = None;
        let mut after: Option<Arc<str>> = None;
        loop {
            let Page { as_of, items: page, next_after } =
                self.keyspace.range(&self.settings.prefix, after.as_deref()).await?;
            items.extend(page.into_iter().map(|item| (item.key.clone(), item)));
            // Later pages may be read at later revisions, so the watch starts after the first page's revision; changes
            // that a later page already shows are then ignored.
            let revision = *first_revision.get_or_insert(as_of);
            // A page that does not lead on would be followed by the same page again, without end.
            match next_after {
                Some(next) if after.as_ref().is_none_or(|after| next > *after) => after = Some(next),
                Some(_) | None => return Ok((items, revision)),
            }
        }
    }

    /// Replaces the copy by a complete read. After an outage, absent keys stay for the grace period.
    fn replace(&mut self, items: BTreeMap<Arc<str>, Item>, revision: Revision) {
        let absent: Vec<_> =
            self.snapshot.items.keys().filter(|key| !items.contains_key(*key)).cloned().collect();
        for key in absent {
            self.remove(&key);
        }
        for (key, item) in items {
            self.pending_removals.remove(&key);
            self.snapshot.items.insert(key, item);
        }
        self.snapshot.revision = revision;
    }

    /// Applies a change unless the copy has a newer revision of the key; returns whether the copy has changed.
    fn apply(&mut self, change: Change) -> bool {
        match change {
            Change::Removed { key, revision } => {
                let is_newer = self.snapshot.items.get(&key).is_some_and(|item| item.revision < revision);
                is_newer && self.remove(&key)
            }
            Change::Written(item) => {
                self.pending_removals.remove(&item.key);
                let is_newer =
                    self.snapshot.items.get(&item.key).is_none_or(|known| known.revision < item.revision);
                if is_newer {
                    self.snapshot.items.insert(item.key.clone(), item);
                }
                is_newer
            }
        }
    }

    /// Removes a key, or schedules its removal if the grace period after an outage is not over; returns whether the
    /// copy has changed.
    fn remove(&mut self, key: &Arc<str>) -> bool {
        let now = Instant::now();
        let until = self.restored_at.map(|at| at + self.settings.removal_grace);
        match until {
            Some(until) if until > now => {
                self.pending_removals.entry(key.clone()).or_insert(until);
                false
            }
            _ => self.snapshot.items.remove(key).is_some(),
        }
    }

    /// Removes the keys whose grace period is over; returns whether there were any.
    fn remove_due(&mut self, now: Instant) -> bool {
        let due: Vec<_> = self
            .pending_removals
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &due {
            self.pending_removals.remove(key);
            self.snapshot.items.remove(key);
        }
        !due.is_empty()
    }

    async fn record_success(&mut self) {
        self.backoff.reset();
        if self.is_disconnected {
            self.is_disconnected = false;
            self.restored_at = Some(Instant::now());
            let _ = self.events.send(MirrorEvent::Connectivity(Connectivity::Restored)).await;
        }
    }

    async fn record_failure(&mut self, error: KeyspaceError) {
        if !self.is_disconnected {
            self.is_disconnected = true;
            let _ = self.events.send(MirrorEvent::Connectivity(Connectivity::Lost { error })).await;
        }
        sleep(self.backoff.next_delay()).await;
    }

    async fn publish(&self) {
        let _ = self.events.send(MirrorEvent::Changed(self.snapshot.clone())).await;
    }
}
