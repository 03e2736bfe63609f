//! Client library for callers, with the rules for resubmission built in.
//!
//! A [`Client`] knows several entry instances. It fetches submission keys in bulk ahead of use, so that every
//! submission carries one. [`Client::submit`] then applies these rules until the caller's deadline:
//!
//! - After a lost connection, a timeout, an unusable response or `OWNER_UNREACHABLE`, the client sends the same key and
//!   the same body through another entry, after a jittered backoff. This is always safe, because the owner of the key
//!   starts the tasks at most once.
//! - A submission in progress is polled. [`Client::submit_with`] reports the progress to a callback.
//! - An answer with another key, or a complete answer without all results, is discarded, and the client asks again with
//!   the same key.
//! - "Not run" from an entry that may not have asked the owner is final only if no earlier copy of the submission can
//!   have reached the owner.
//! - If an owner is gone, unreachable or draining, its other prefetched keys are dropped, and later submissions use
//!   keys of another owner.
//! - A submission that failed is repeated with a new key only as far as [`SubmitOptions`] allow it.
//!
//! A final rejection is returned as an [`Answer`](hinge_wire::Answer) too, so that the caller checks the outcome in one
//! place. [`ClientError`] means that there is no final answer; [`ClientError::outcome`] says whether tasks may have
//! run.
//!
//! The client is generic over its [`Transport`]: [`HttpTransport`] speaks HTTP/1.1, and tests can supply another. The
//! binary `hinge-submit` submits from the command line.
//!
//! ```
//! use hinge_client::Client;
//! use hinge_wire::{Outcome, Submission, from_json};
//!
//! async fn assign_truck() -> Result<(), Box<dyn std::error::Error>> {
//!     let client = Client::builder().entry("127.0.0.1:7001".parse()?).entry("127.0.0.1:7002".parse()?).build()?;
//!     let submission: Submission = from_json(
//!         br#"{"service": "trucks", "team": "north", "class": "urgent", "tasks": [{"payload": "order 7"}]}"#,
//!     )?;
//!     let answer = client.submit(submission).await?;
//!     match answer.outcome {
//!         Outcome::Complete => println!("{}", answer.results[0]),
//!         outcome => println!("{outcome}: {}", answer.message),
//!     }
//!     Ok(())
//! }
//! ```

mod backoff;
mod builder;
mod calls;
mod client;
mod error;
mod exchange;
mod keys;
mod options;
mod rules;
mod transport;

pub use builder::ClientBuilder;
pub use client::Client;
pub use error::{BuildError, ClientError};
pub use options::SubmitOptions;
pub use transport::{HttpTransport, SendError, Transport};
