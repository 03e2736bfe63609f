//! Client of the platform's key-value store, configuration sync and claims.
//!
//! - [`Store`] is the interface of the store: reads, compare-and-swap writes, watches and leases. [`HttpStore`]
//!   implements it over HTTP; `Option<HttpStore>` is for instances that may run without a store.
//! - [`MeteredStore`] limits and counts calls with a [`TokenBucket`] and [`StoreCounters`]; [`Backoff`] spreads
//!   retries.
//! - [`ConfigSync`] holds the configuration in force: it watches the store, accepts newer revisions from peers, and
//!   writes operators' changes.
//! - [`Keyspace`] is the interface of a store with range reads, prefix watches and leases. [`Mirror`] keeps a local
//!   copy of the keys with a prefix, and [`Registration`] keeps a key registered under a lease.
//! - [`ConditionalWrites`] is the interface of writes that depend on the revision of their key. With it a [`NumberClaim`]
//!   claims a number that no other process has.
//! - [`Claims`] records in the store that a definite submission may start, and finds out what may have run of a
//!   submission whose owner is gone.
//!
//! ```no_run
//! use std::time::Duration;
//! use hinge_store::{ConfigSync, HttpStore};
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let timeout = Duration::from_secs(1);
//! let store = HttpStore::new("127.0.0.1:9000".parse()?, timeout, timeout);
//! let sync = std::sync::Arc::new(ConfigSync::new(store, "dc1".into(), 7));
//! let follower = std::sync::Arc::clone(&sync);
//! tokio::spawn(async move { follower.run().await });
//! sync.subscribe().changed().await?;
//! println!("revision {} is in force", sync.resolved().revision);
//! # Ok(())
//! # }
//! ```

mod budget;
mod claim_record;
mod claims;
mod conditional;
mod http_store;
mod keyspace;
mod mirror;
mod number_claim;
mod number_record;
mod proposal;
mod registration;
mod store;
mod sync;

pub use budget::{Backoff, CallCounts, CallKind, MeteredStore, StoreCounters, TokenBucket};
pub use claim_record::KEYS_PER_WINDOW;
pub use claims::{ClaimError, Claims, OrphanEnd};
pub use conditional::{ConditionalPut, ConditionalWrites};
pub use http_store::HttpStore;
pub use keyspace::{Change, Item, Keyspace, KeyspaceError, LeaseId, Page, Revision, WatchResponse};
pub use mirror::{Connectivity, Mirror, MirrorEvent, MirrorSettings, Snapshot};
pub use number_claim::{NumberClaim, NumberEvent};
pub use proposal::ChangeFailure;
pub use registration::{Registration, RegistrationEvent};
pub use store::{MAX_VALUE_BYTES, Store, StoreError};
pub use sync::{CONFIG_KEY, ConfigSync, OfferOutcome, Source, SyncEvent, SyncStatus};
