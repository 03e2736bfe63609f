//! The callers' client with resubmission rules.
//!
//! A [`Client`] knows several entry instances. It fetches submission keys in bulk ahead of use, so that every
//! submission carries one, and then [`Client::submit`] follows these rules until the caller's deadline:
//!
//! - A connection that is lost, a time-out, an unusable response and `OWNER_UNREACHABLE` are followed by the same key
//!   and the same body through another entry, after a jittered backoff. The owner of the key starts the tasks at most
//!   once, so this is always safe.
//! - A submission in progress is polled. [`Client::submit_with`] reports the progress to a callback.
//! - An answer with another key, or a complete one without all results, is dropped and the key asked for again.
//! - "Not run" from an entry that may not have asked the owner is final only when no earlier copy of the submission can
//!   have reached the owner.
//! - Other keys of an owner that is gone, unreachable or draining are dropped; later submissions get keys of another one.
//! - A final answer is repeated with a new key only as [`SubmitOptions`] allow it.
//!
//! A final rejection is returned as an [`Answer`](hinge_wire::Answer) too: the caller looks at the outcome in one
//! place. [`ClientError`] says that there is no final answer, and what may be concluded all the same.
//!
//! The client is generic over its [`Transport`]; [`HttpTransport`] is the one for HTTP/1.1, and tests may script
//! another. The binary `hinge-submit` submits from the command line.
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
mod rules;
mod transport;

pub use builder::{ClientBuilder, SubmitOptions};
pub use client::Client;
pub use error::{BuildError, ClientError};
pub use transport::{HttpTransport, SendError, Transport};
