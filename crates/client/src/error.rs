//! Errors of the client.

use hinge_wire::{CodecError, ErrorReply, Outcome};
use thiserror::Error;

/// Why a client cannot be built.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BuildError {
    /// The number of keys per request is not 1 to 1000.
    #[error("the number of keys per request must be 1 to 1000")]
    InvalidKeyBatch,
    /// No entry address was given.
    #[error("at least one entry address is needed")]
    NoEntry,
}

/// Why a call has no final result.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The key given by the caller is not a submission key.
    #[error(transparent)]
    InvalidKey(#[from] hinge_wire::KeyError),
    /// The message cannot be encoded.
    #[error(transparent)]
    Encode(#[from] CodecError),
    /// The entry rejected a call other than a submission.
    #[error("{}: {}", .0.name, .0.message)]
    Rejected(ErrorReply),
    /// No final answer came before the deadline or within the allowed attempts.
    #[error("no final answer ({outcome}); last error: {last_error}")]
    Unreachable {
        /// Key of the submission; `None` when no key could be fetched. The caller may ask for it again later.
        key: Option<String>,
        /// Error of the last attempt.
        last_error: String,
        /// What may be concluded about the execution.
        outcome: Outcome,
    },
}

impl ClientError {
    /// What may be concluded about the execution of the submission.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::InvalidKey(_) | Self::Encode(_) => Outcome::FailedNotRun,
            Self::Rejected(reply) => reply.outcome,
            Self::Unreachable { outcome, .. } => *outcome,
        }
    }
}
