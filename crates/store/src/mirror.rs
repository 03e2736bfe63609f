//! A local copy of all keys with a prefix.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

use crate::Backoff;
use crate::keyspace::{Change, Item, Keyspace, KeyspaceError, Page, Revision};

/// Bounds of the delay after a failed call.
const FIRST_DELAY: Duration = Duration::from_millis(200);
const LONGEST_DELAY: Duration = Duration::from_secs(1);

/// How a mirror follows its prefix.
#[derive(Clone, Debug)]
pub struct MirrorSettings {
    /// Least time between two watches, so that many small changes arrive in one answer.
    pub min_watch_interval: Duration,
    /// All keys with this prefix are copied.
    pub prefix: Arc<str>,
    /// How long keys that disappeared during an outage are still shown after it.
    pub removal_grace: Duration,
    /// Seed of the delays after failures.
    pub seed: u64,
    /// Longest wait of a watch.
    pub watch_timeout: Duration,
}

/// Whether the store answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Connectivity {
    /// It does not; the copy is as old as the last answer.
    Lost {
        /// The error.
        error: KeyspaceError,
    },
    /// It answers again.
    Restored,
}

/// Output of a mirror.
#[derive(Clone, Debug)]
pub enum MirrorEvent {
    /// The copy has changed, or was read whole for the first time.
    Changed(Snapshot),
    /// The store was lost or regained.
    Connectivity(Connectivity),
}

/// The keys of a prefix at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Items by key.
    pub items: BTreeMap<Arc<str>, Item>,
    /// Revision that the copy has reached.
    pub revision: Revision,
}

/// Follows a prefix by reading it whole, then watching it.
pub struct Mirror<K> {
    backoff: Backoff,
    copy: Snapshot,
    events: mpsc::Sender<MirrorEvent>,
    keyspace: K,
    lost: bool,
    /// Keys that disappeared during an outage, with the time until which they are shown.
    missing: BTreeMap<Arc<str>, Instant>,
    regained_at: Option<Instant>,
    settings: MirrorSettings,
}

impl<K: Keyspace> Mirror<K> {
    /// Creates a mirror that reports to `events`.
    #[must_use]
    pub fn new(keyspace: K, settings: MirrorSettings, events: mpsc::Sender<MirrorEvent>) -> Self {
        Self {
            backoff: Backoff::with_bounds(settings.seed, FIRST_DELAY, LONGEST_DELAY),
            copy: Snapshot::default(),
            events,
            keyspace,
            lost: false,
            missing: BTreeMap::new(),
            regained_at: None,
            settings,
        }
    }

    /// Runs until nobody listens any more.
    pub async fn run(mut self) {
        while !self.events.is_closed() {
            if let Err(error) = self.follow().await {
                self.failed(error).await;
            }
        }
    }

    /// Reads the prefix whole, then applies changes until a call fails or the history is gone.
    async fn follow(&mut self) -> Result<(), KeyspaceError> {
        let (items, mut revision) = self.read_all().await?;
        self.answered().await;
        self.replace(items, revision);
        self.publish().await;
        loop {
            let started = Instant::now();
            let watched =
                match self.keyspace.watch(&self.settings.prefix, revision, self.settings.watch_timeout).await
                {
                    Ok(watched) => watched,
                    Err(KeyspaceError::Compacted) => return Ok(()),
                    Err(error) => return Err(error),
                };
            self.answered().await;
            revision = revision.max(watched.as_of);
            let mut changed = self.drop_missing(Instant::now());
            for change in watched.changes {
                changed |= self.apply(change);
            }
            self.copy.revision = revision;
            if changed {
                self.publish().await;
            }
            sleep_until(started + self.settings.min_watch_interval).await;
        }
    }

    async fn read_all(&self) -> Result<(Vec<Item>, Revision), KeyspaceError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first_revision = None;
        loop {
            let after = items.last().map(|item| item.key.clone());
            let Page { as_of, items: page, more } =
                self.keyspace.range(&self.settings.prefix, after.as_deref()).await?;
            let empty = page.is_empty();
            items.extend(page);
            // Later pages may show later states; the watch starts at the first page and repeats what they show.
            let revision = *first_revision.get_or_insert(as_of);
            if !more || empty {
                return Ok((items, revision));
            }
        }
    }

    /// Takes over a state that was read whole. Keys that are no longer there may come back shortly after an outage.
    fn replace(&mut self, items: Vec<Item>, revision: Revision) {
        let items: BTreeMap<_, _> = items.into_iter().map(|item| (item.key.clone(), item)).collect();
        let gone: Vec<_> = self.copy.items.keys().filter(|key| !items.contains_key(*key)).cloned().collect();
        for key in gone {
            self.remove(&key);
        }
        for (key, item) in items {
            self.missing.remove(&key);
            self.copy.items.insert(key, item);
        }
        self.copy.revision = revision;
    }

    fn apply(&mut self, change: Change) -> bool {
        match change {
            Change::Removed { key, revision } => {
                let current = self.copy.items.get(&key).is_some_and(|item| item.revision < revision);
                current && self.remove(&key)
            }
            Change::Written(item) => {
                self.missing.remove(&item.key);
                let newer = self.copy.items.get(&item.key).is_none_or(|known| known.revision < item.revision);
                if newer {
                    self.copy.items.insert(item.key.clone(), item);
                }
                newer
            }
        }
    }

    /// Removes a key now or, after an outage, once its writer has had time to come back.
    fn remove(&mut self, key: &Arc<str>) -> bool {
        let now = Instant::now();
        let until = self.regained_at.map(|at| at + self.settings.removal_grace);
        match until {
            Some(until) if until > now => {
                self.missing.entry(key.clone()).or_insert(until);
                false
            }
            _ => self.copy.items.remove(key).is_some(),
        }
    }

    fn drop_missing(&mut self, now: Instant) -> bool {
        let due: Vec<_> =
            self.missing.iter().filter(|(_, until)| now >= **until).map(|(key, _)| key.clone()).collect();
        for key in &due {
            self.missing.remove(key);
            self.copy.items.remove(key);
        }
        !due.is_empty()
    }

    async fn answered(&mut self) {
        self.backoff.reset();
        if self.lost {
            self.lost = false;
            self.regained_at = Some(Instant::now());
            let _ = self.events.send(MirrorEvent::Connectivity(Connectivity::Restored)).await;
        }
    }

    async fn failed(&mut self, error: KeyspaceError) {
        if !self.lost {
            self.lost = true;
            let _ = self.events.send(MirrorEvent::Connectivity(Connectivity::Lost { error })).await;
        }
        sleep(self.backoff.next_delay()).await;
    }

    async fn publish(&self) {
        let _ = self.events.send(MirrorEvent::Changed(self.copy.clone())).await;
    }
}
