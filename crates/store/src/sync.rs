//! The configuration in force and its updates from the store and from peers.

use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use hinge_conf::{DocumentError, ResolvedConfig, empty_document, resolve, validate};
use hinge_wire::{ConfigDocument, ConfigReply, DataCentreId, LogEvent, StoreValue, from_json};

use crate::budget::{Backoff, MeteredStore, StoreCounters, TokenBucket, lock};
use crate::store::{MAX_VALUE_BYTES, Store, StoreError};

/// Key of the configuration document in the store.
pub const CONFIG_KEY: &str = "config/current";
/// Time that the store holds a watch.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// Bound of the delay before the first call, which spreads instances that start together.
const START_SPREAD: Duration = Duration::from_millis(500);
/// A watch that ends unchanged before this time is taken for a fault of the store and not repeated at once.
const LEAST_WATCH: Duration = Duration::from_secs(15);

/// Where a configuration document came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A change made through this instance.
    Change,
    /// Another instance.
    Peer,
    /// The platform's store.
    Store,
}

/// What happened to an offered configuration document.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferOutcome {
    /// It is in force.
    Applied,
    /// It is not valid; the previous one stays in force.
    Invalid(String),
    /// Its revision is not higher than the one in force.
    NotNewer,
}

/// Report of the configuration sync, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SyncEvent {
    /// A revision is in force.
    Applied {
        /// The revision.
        revision: u64,
        /// Where it came from.
        source: Source,
    },
    /// A document was not applied.
    Rejected {
        /// Why.
        reason: String,
        /// Its revision.
        revision: u64,
        /// Where it came from.
        source: Source,
    },
    /// The store answers again.
    StoreRecovered,
    /// The store stopped answering.
    StoreUnreachable {
        /// The first error.
        reason: String,
    },
}

impl SyncEvent {
    /// Number of the event in the log.
    #[must_use]
    pub const fn log_event(&self) -> LogEvent {
        match self {
            Self::Applied { source: Source::Change, .. } => LogEvent::ConfigChanged,
            Self::Applied { source: Source::Peer, .. } => LogEvent::ConfigFromPeer,
            Self::Applied { source: Source::Store, .. } => LogEvent::ConfigApplied,
            Self::Rejected { .. } => LogEvent::ConfigRejected,
            Self::StoreRecovered => LogEvent::StoreRecovered,
            Self::StoreUnreachable { .. } => LogEvent::StoreUnreachable,
        }
    }
}

/// State of the configuration sync, for `/state` and for the reason why an instance is not ready.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SyncStatus {
    /// Documents that were not valid.
    pub invalid_documents: u64,
    /// Whether any configuration was found; an empty store counts, a store that is down does not.
    pub loaded: bool,
    /// Reads of the store that showed a lower revision than the one in force.
    pub stale_reads: u64,
    /// Why the store cannot be used; `None` while it answers or before the first call.
    pub store_error: Option<String>,
}

type Report = Box<dyn Fn(&SyncEvent) + Send + Sync>;

/// Keeps the configuration in force and writes changes of it.
///
/// A revision that is in force is only ever replaced by a higher one, also when the store comes back with an older
/// one.
pub struct ConfigSync<S> {
    pub(crate) bucket: Arc<TokenBucket>,
    pub(crate) held: Mutex<Held>,
    pub(crate) store: MeteredStore<S>,
    counters: Arc<StoreCounters>,
    data_centre: DataCentreId,
    report: Option<Report>,
    resolved: ArcSwap<ResolvedConfig>,
    revision: watch::Sender<u64>,
    rng: Mutex<StdRng>,
}

/// The document in force.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) document: Arc<ConfigDocument>,
    pub(crate) revision: u64,
    status: SyncStatus,
}

impl<S> fmt::Debug for ConfigSync<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConfigSync").field("held", &self.held).finish_non_exhaustive()
    }
}

impl<S: Store> ConfigSync<S> {
    /// Starts with the built-in defaults, not loaded.
    #[must_use]
    pub fn new(store: S, data_centre: DataCentreId, seed: u64) -> Self {
        let resolved = ResolvedConfig::default();
        let bucket = Arc::new(TokenBucket::new(resolved.policy.store_calls_per_s));
        let counters = Arc::new(StoreCounters::default());
        let held = Held { document: Arc::new(empty_document()), revision: 0, status: SyncStatus::default() };
        Self {
            store: MeteredStore::limited(store, Arc::clone(&bucket), Arc::clone(&counters)),
            bucket,
            counters,
            data_centre,
            held: Mutex::new(held),
            report: None,
            resolved: ArcSwap::from_pointee(resolved),
            revision: watch::Sender::new(0),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Passes events to `report`, which must not block and must not call back.
    #[must_use]
    pub fn with_report(mut self, report: impl Fn(&SyncEvent) + Send + Sync + 'static) -> Self {
        self.report = Some(Box::new(report));
        self
    }

    /// Counters of the store calls, to be shared with [`crate::Claims`].
    #[must_use]
    pub fn counters(&self) -> Arc<StoreCounters> {
        Arc::clone(&self.counters)
    }

    /// Settings in force.
    #[must_use]
    pub fn resolved(&self) -> Arc<ResolvedConfig> {
        self.resolved.load_full()
    }

    /// Revision in force; the receiver is notified of each new one and of the first load.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Whether a configuration was found, and what is wrong.
    #[must_use]
    pub fn status(&self) -> SyncStatus {
        lock(&self.held).status.clone()
    }

    /// The document in force with its revision; `None` before one was found.
    #[must_use]
    pub fn document(&self) -> Option<(u64, Arc<ConfigDocument>)> {
        let held = lock(&self.held);
        held.status.loaded.then(|| (held.revision, Arc::clone(&held.document)))
    }

    /// Answer to a peer or operator that has `above_revision`; `None` asks for the document in any case.
    #[must_use]
    pub fn config_reply(&self, above_revision: Option<u64>) -> ConfigReply {
        let wanted = |revision: u64| above_revision.is_none_or(|above| revision > above);
        match self.document() {
            None => ConfigReply { document: None, revision: 0 },
            Some((revision, document)) => {
                ConfigReply { document: wanted(revision).then(|| (*document).clone()), revision }
            }
        }
    }

    /// Applies a document fetched from a peer if its revision is higher.
    pub fn offer_from_peer(&self, revision: u64, document: ConfigDocument) -> OfferOutcome {
        let valid = validate(&document).map_err(|error| error.to_string());
        self.offer(revision, valid.map(|()| document), Source::Peer)
    }

    /// Follows the store until the future is dropped.
    pub async fn run(&self) {
        let mut backoff = Backoff::new(self.random());
        let start = START_SPREAD.mul_f64(lock(&self.rng).random());
        sleep(start).await;
        // Revision last seen in the store, not the one in force: a watch after a revision that the store has lost
        // would return at once every time.
        let mut seen = None;
        loop {
            let result = match seen {
                None => self.store.get(CONFIG_KEY).await,
                Some(after) => self.watch(after).await,
            };
            match result {
                Ok(value) => {
                    backoff.reset();
                    self.store_answered();
                    if seen != Some(value.revision) {
                        self.offer_value(&value, Source::Store);
                    }
                    seen = Some(value.revision);
                }
                Err(error) => {
                    seen = None;
                    self.store_failed(&error);
                    sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    async fn watch(&self, after: u64) -> Result<StoreValue, StoreError> {
        let started = Instant::now();
        let value = self.store.watch(CONFIG_KEY, after, WATCH_WAIT).await?;
        if value.revision == after && started.elapsed() < LEAST_WATCH {
            return Err(StoreError::Invalid("the watch ended early without a change".to_owned()));
        }
        Ok(value)
    }

    pub(crate) fn random(&self) -> u64 {
        lock(&self.rng).random()
    }

    pub(crate) fn offer_value(&self, value: &StoreValue, source: Source) -> OfferOutcome {
        self.offer(value.revision, parse_document(value).map_err(|error| error.to_string()), source)
    }

    fn offer(&self, revision: u64, document: Result<ConfigDocument, String>, source: Source) -> OfferOutcome {
        let mut held = lock(&self.held);
        if held.status.loaded && revision <= held.revision {
            if source == Source::Store && revision < held.revision {
                held.status.stale_reads += 1;
                let reason = format!("lower than revision {}, which is in force", held.revision);
                drop(held);
                self.report(&SyncEvent::Rejected { reason, revision, source });
            }
            return OfferOutcome::NotNewer;
        }
        let document = match document {
            Ok(document) => document,
            Err(reason) => {
                held.status.invalid_documents += 1;
                drop(held);
                self.report(&SyncEvent::Rejected { reason: reason.clone(), revision, source });
                return OfferOutcome::Invalid(reason);
            }
        };
        let resolved = resolve(&document, &self.data_centre).with_revision(revision);
        self.bucket.set_rate(resolved.policy.store_calls_per_s);
        self.resolved.store(Arc::new(resolved));
        held.document = Arc::new(document);
        held.revision = revision;
        held.status.loaded = true;
        self.revision.send_replace(revision);
        drop(held);
        self.report(&SyncEvent::Applied { revision, source });
        OfferOutcome::Applied
    }

    fn store_answered(&self) {
        let recovered = lock(&self.held).status.store_error.take().is_some();
        if recovered {
            self.report(&SyncEvent::StoreRecovered);
        }
    }

    fn store_failed(&self, error: &StoreError) {
        let reason = error.to_string();
        let first = lock(&self.held).status.store_error.replace(reason.clone()).is_none();
        if first {
            self.report(&SyncEvent::StoreUnreachable { reason });
        }
    }

    fn report(&self, event: &SyncEvent) {
        if let Some(report) = &self.report {
            report(event);
        }
    }
}

/// Reads a stored document; an absent key is the empty document.
pub(crate) fn parse_document(value: &StoreValue) -> Result<ConfigDocument, DocumentError> {
    if value.revision == 0 && value.value.is_empty() {
        return Ok(empty_document());
    }
    let malformed = |allowed: &str| DocumentError::InvalidField {
        allowed: allowed.to_owned(),
        field: "document",
        value: value.value.chars().take(80).collect(),
    };
    if value.value.len() > MAX_VALUE_BYTES {
        return Err(DocumentError::TooLarge { bytes: value.value.len() });
    }
    let document = from_json(value.value.as_bytes()).map_err(|error| malformed(&error.to_string()))?;
    validate(&document)?;
    Ok(document)
}
