//! Error types of the client.

use hinge_wire::{CodecError, ErrorReply, Outcome};
use thiserror::Error;

/// Why a client cannot be built.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BuildError {
    /// The number of keys per request is not 1 to 1000.
    #[error("the number of keys per request must be 1 to 1000")]
    InvalidKeyBatch,
    /// No entry address was given.
    #[error("at least one entry address is required")]
    NoEntry,
}

/// Why a call has no final result.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The key given by the caller is not a submission key.
    #[error(transparent)]
    InvalidKey(#[from] hinge_wire::KeyError),
    /// The request cannot be encoded.
    #[error(transparent)]
    Encode(#[from] CodecError),
    /// An entry rejected a call other than a submission, such as a cancellation.
    #[error("{}: {}", .0.name, .0.message)]
    Rejected(ErrorReply),
    /// No final answer came before the deadline or within the allowed attempts.
    #[error("no final answer ({outcome}); last error: {last_error}")]
    Unreachable {
        /// Key of the submission, with which the caller may ask again later; `None` if the call had no key or could
        /// not fetch one.
        key: Option<String>,
        /// Error of the last attempt.
        last_error: String,
        /// `FailedMayHaveRun` if a copy of the submission may have reached its owner, else `FailedNotRun`.
        outcome: Outcome,
    },
}

impl ClientError {
    /// Whether tasks of the submission may have run.
    ///
    /// This holds for submissions only: after a failed cancellation or status call it says nothing about the tasks.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::InvalidKey(_) | Self::Encode(_) => Outcome::FailedNotRun,
            Self::Rejected(reply) => reply.outcome,
            Self::Unreachable { outcome, .. } => *outcome,
        }
    }
}
