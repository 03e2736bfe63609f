//! Configuration in force and its updates from the store and from peers.

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
/// Longest time for which the store holds a watch without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Upper bound of the random delay before the first call, which spreads the calls of instances that start together.
const MAX_START_DELAY: Duration = Duration::from_millis(500);
/// A watch that ends without a change before this time is treated as a store error, so that it is retried with backoff
/// instead of in a busy loop.
const MIN_WATCH_TIME: Duration = Duration::from_secs(15);

/// Origin of a configuration document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A change made through this instance.
    Change,
    /// A document fetched from another entry instance.
    Peer,
    /// A read or watch of the platform's store.
    Store,
}

/// Result of offering a configuration document to [`ConfigSync`].
#[derive(Clone, Debug, PartialEq)]
pub enum OfferOutcome {
    /// It was valid and newer, and is now in force.
    Applied,
    /// It is not valid, for this reason; the previous one stays in force.
    Invalid(String),
    /// Its revision is not higher than the one in force; it was ignored.
    NotNewer,
}

/// Event of the configuration sync, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SyncEvent {
    /// A new revision is in force.
    Applied {
        /// Store revision of the document.
        revision: u64,
        /// Origin of the document.
        source: Source,
    },
    /// A document was not applied, because it is not valid or the store holds an older revision than the one in force.
    Rejected {
        /// Explanation for the operator.
        reason: String,
        /// Store revision of the document.
        revision: u64,
        /// Origin of the document.
        source: Source,
    },
    /// A call to the store succeeded after a failure.
    StoreRecovered,
    /// A call to the store failed after a success, or at the start.
    StoreUnreachable {
        /// Error of the first failed call.
        reason: String,
    },
}

impl SyncEvent {
    /// Log event that reports this event.
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

/// State of the configuration sync, for `/state` and to explain why an instance is not ready.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SyncStatus {
    /// Number of documents rejected as not valid.
    pub invalid_documents: u64,
    /// Whether a configuration was loaded; an empty store counts as one, a store that is down does not.
    pub is_loaded: bool,
    /// Number of reads of the store that returned a lower revision than the one in force.
    pub stale_reads: u64,
    /// Last error of the store; `None` while it answers and before the first call.
    pub store_error: Option<String>,
}

type ReportFn = Box<dyn Fn(&SyncEvent) + Send + Sync>;

/// Holds the configuration in force and writes changes of it.
///
/// The revision in force is only replaced by a higher one, even if the store returns an older one after an outage.
pub struct ConfigSync<S> {
    pub(crate) bucket: Arc<TokenBucket>,
    pub(crate) held: Mutex<HeldDocument>,
    pub(crate) store: MeteredStore<S>,
    counters: Arc<StoreCounters>,
    data_centre: DataCentreId,
    report: Option<ReportFn>,
    resolved: ArcSwap<ResolvedConfig>,
    revision: watch::Sender<u64>,
    rng: Mutex<StdRng>,
}

/// Document in force and the status of the sync.
#[derive(Debug)]
pub(crate) struct HeldDocument {
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
    /// Creates a sync with the built-in defaults in force and no configuration loaded.
    #[must_use]
    pub fn new(store: S, data_centre: DataCentreId, seed: u64) -> Self {
        let resolved = ResolvedConfig::default();
        let bucket = Arc::new(TokenBucket::new(resolved.policy.store_calls_per_s));
        let counters = Arc::new(StoreCounters::default());
        let held =
            HeldDocument { document: Arc::new(empty_document()), revision: 0, status: SyncStatus::default() };
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

    /// Passes events to `report`, which must not block and must not call methods of this sync.
    #[must_use]
    pub fn with_report(mut self, report: impl Fn(&SyncEvent) + Send + Sync + 'static) -> Self {
        self.report = Some(Box::new(report));
        self
    }

    /// Counters of the store calls, for sharing with [`crate::Claims`].
    #[must_use]
    pub fn counters(&self) -> Arc<StoreCounters> {
        Arc::clone(&self.counters)
    }

    /// Settings in force in this instance's data centre.
    #[must_use]
    pub fn resolved(&self) -> Arc<ResolvedConfig> {
        self.resolved.load_full()
    }

    /// Subscribes to the revision in force; the receiver is notified of each new one and of the first load.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Whether a configuration is loaded, and the errors so far.
    #[must_use]
    pub fn status(&self) -> SyncStatus {
        lock(&self.held).status.clone()
    }

    /// Revision and document in force; `None` before the first load.
    #[must_use]
    pub fn document(&self) -> Option<(u64, Arc<ConfigDocument>)> {
        let held = lock(&self.held);
        held.status.is_loaded.then(|| (held.revision, Arc::clone(&held.document)))
    }

    /// Reply to a peer or operator. The document is included if its revision is higher than `above_revision`, or always
    /// for `None`; without a loaded configuration the reply has revision 0.
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

    /// Applies a document fetched from a peer if it is valid and its revision is higher than the one in force.
    pub fn offer_from_peer(&self, revision: u64, document: ConfigDocument) -> OfferOutcome {
        let valid = validate(&document).map_err(|error| error.to_string());
        self.offer(revision, valid.map(|()| document), Source::Peer)
    }

    /// Reads and watches the store until the future is dropped.
    pub async fn run(&self) {
        let mut backoff = Backoff::new(self.random());
        let start = MAX_START_DELAY.mul_f64(lock(&self.rng).random());
        sleep(start).await;
        // The revision last read from the store, not the one in force: if the store has lost that one, a watch after it
        // would return at once every time.
        let mut last_read = None;
        loop {
            let result = match last_read {
                None => self.store.get(CONFIG_KEY).await,
                Some(after) => self.watch(after).await,
            };
            match result {
                Ok(value) => {
                    backoff.reset();
                    self.record_store_success();
                    if last_read != Some(value.revision) {
                        self.offer_value(&value, Source::Store);
                    }
                    last_read = Some(value.revision);
                }
                Err(error) => {
                    last_read = None;
                    self.record_store_failure(&error);
                    sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    async fn watch(&self, after: u64) -> Result<StoreValue, StoreError> {
        let started = Instant::now();
        let value = self.store.watch(CONFIG_KEY, after, WATCH_TIMEOUT).await?;
        if value.revision == after && started.elapsed() < MIN_WATCH_TIME {
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
        if held.status.is_loaded && revision <= held.revision {
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
        held.status.is_loaded = true;
        self.revision.send_replace(revision);
        drop(held);
        self.report(&SyncEvent::Applied { revision, source });
        OfferOutcome::Applied
    }

    fn record_store_success(&self) {
        let recovered = lock(&self.held).status.store_error.take().is_some();
        if recovered {
            self.report(&SyncEvent::StoreRecovered);
        }
    }

    fn record_store_failure(&self, error: &StoreError) {
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

/// Parses and validates a stored document; an absent key counts as the empty document.
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
