//! The entry instance: HTTP servers for callers, peers and operators, and HTTP clients for upstreams and peers.
//!
//! Scheduling decisions are made by `hinge_dispatch::Dispatcher`, which performs no I/O; this crate passes it events
//! and executes its actions.
//!
//! [`Entry::start`] runs an instance on the current tokio runtime. The daemon `hinge-entry` is a thin wrapper around
//! it; other programs can embed an instance in the same way.
//!
//! ```no_run
//! use hinge_conf::{EntrySettings, Flags};
//! use hinge_entry::Entry;
//!
//! # async fn run() -> Result<(), Box<dyn std::error::Error>> {
//! let flags = Flags {
//!     instance: Some("entry-1".into()),
//!     data_centre: Some("dc1".into()),
//!     store: Some("127.0.0.1:7000".into()),
//!     list: Some("127.0.0.1:7001".into()),
//!     ..Flags::default()
//! };
//! let settings = EntrySettings::from_flags(&flags, |_| None)?;
//! let entry = Entry::start(settings).await?;
//! entry.drain_requested().await;
//! let report = entry.drain(std::future::pending()).await;
//! assert_eq!(report.lost_submissions, 0);
//! # Ok(())
//! # }
//! ```

mod actions;
mod callers;
mod connections;
mod counters;
mod entry;
mod lifecycle;
mod lock;
mod loops;
mod operators;
mod payloads;
mod peer_server;
mod peers;
mod platform_list;
mod quota_log;
mod reply;
mod server;
mod shared;
mod state_page;
mod submissions;
mod upstreams;
mod waiters;
mod write_limit;

pub use entry::{Entry, StartError, StopReport};
