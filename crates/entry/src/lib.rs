//! The entry instance: HTTP servers, upstream client and peer client around the decision code.
//!
//! [`Entry::start`] runs an instance inside the current tokio runtime; the daemon `hinge-entry` is a thin binary
//! over it, and other programs can embed it the same way.
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
mod life;
mod loops;
mod operators;
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
