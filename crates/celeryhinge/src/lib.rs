//! A dispatcher for sub-second tasks.
//!
//! Callers submit urgent requests (one task) and jobs (many short tasks) to entry instances, which keep no data on
//! disk. An entry instance chooses upstreams, the machines that run the tasks, and sends each caller one complete
//! answer. Each part is a crate of its own, re-exported here:
//!
//! - [`client`]: the callers' client library, with the rules for resubmission built in.
//! - [`entry`]: an entry instance, to run inside a tokio runtime.
//! - [`dispatch`]: the scheduling state machine of an entry instance, without I/O.
//! - [`ledger`], [`sched`], [`route`], [`member`]: the parts of this state machine, for use on their own.
//! - [`store`], [`conf`]: access to the platform's key-value store, and the operators' configuration.
//! - [`ctl`]: the operators' command line `hingectl` as a library.
//! - [`obs`], [`wire`]: logs and metrics; messages and result codes.
//!
//! An entry instance and a caller in one program:
//!
//! ```no_run
//! use celeryhinge::client::Client;
//! use celeryhinge::conf::{EntrySettings, Flags};
//! use celeryhinge::entry::Entry;
//! use celeryhinge::wire::{Submission, from_json};
//!
//! # async fn run() -> Result<(), Box<dyn std::error::Error>> {
//! let flags = Flags {
//!     instance: Some("entry-1".into()),
//!     data_centre: Some("dc1".into()),
//!     store: Some("127.0.0.1:7000".into()),
//!     list: Some("127.0.0.1:7001".into()),
//!     ..Flags::default()
//! };
//! let entry = Entry::start(EntrySettings::from_flags(&flags, |_| None)?).await?;
//!
//! let client = Client::builder().entry(entry.address()).build()?;
//! let submission: Submission = from_json(
//!     br#"{"service": "deicing", "team": "apron-a", "class": "urgent", "tasks": [{"payload": "truck 7"}]}"#,
//! )?;
//! let answer = client.submit(submission).await?;
//! println!("{}: {:?}", answer.outcome, answer.results);
//! # Ok(())
//! # }
//! ```

pub use hinge_client as client;
pub use hinge_conf as conf;
pub use hinge_ctl as ctl;
pub use hinge_dispatch as dispatch;
pub use hinge_entry as entry;
pub use hinge_ledger as ledger;
pub use hinge_member as member;
pub use hinge_obs as obs;
pub use hinge_route as route;
pub use hinge_sched as sched;
pub use hinge_store as store;
pub use hinge_wire as wire;
