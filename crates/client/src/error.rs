//! Error types of the client.

use hinge_wire::{CodecError, ErrorReply, Outcome};
use thiserror::Error;

use crate::rules::is_from_owner;

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
        /// `FailedMayHaveRun` if a copy of the submission may have reached its owner, and after a cancellation or status
        /// call; else `FailedNotRun`.
        outcome: Outcome,
    },
}

impl ClientError {
    /// Whether tasks of the submission may have run.
    ///
    /// After a cancellation or status call this is `FailedMayHaveRun`, unless the owner of the key has said otherwise.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::InvalidKey(_) | Self::Encode(_) => Outcome::FailedNotRun,
            Self::Rejected(reply) if is_from_owner(reply) => reply.outcome,
            Self::Rejected(_) => Outcome::FailedMayHaveRun,
            Self::Unreachable { outcome, .. } => *outcome,
        }
    }
}
