//! Exit codes, and failures as reported to the operator.

use hinge_wire::{ConflictReply, ErrorReply, Outcome, ResultCode};
use serde::Serialize;

use crate::call::CallError;

/// How a command ended; see `docs/operators-cli.md`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Exit {
    /// The command succeeded.
    Ok,
    /// The entry rejected the command; nothing was changed.
    Rejected,
    /// The command line is invalid; nothing was sent.
    Usage,
    /// Another change of the configuration came first; nothing was changed.
    Conflict,
    /// The entry or the platform's store could not be reached; nothing was changed.
    Unreachable,
    /// The outcome is unknown: the command may have taken effect.
    Unsettled,
    /// A configuration check has warnings but no errors.
    Warnings,
    /// A configuration check has errors.
    Errors,
}

impl Exit {
    /// Exit code of `hingectl`. A check uses the codes 1 and 2 too, as linters do.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Rejected | Self::Warnings => 1,
            Self::Usage | Self::Errors => 2,
            Self::Conflict => 3,
            Self::Unreachable => 4,
            Self::Unsettled => 5,
        }
    }
}

/// A failed command; printed as its message or, with `--json`, as JSON.
#[derive(Debug, Serialize)]
pub(crate) struct Failure {
    pub(crate) exit: Exit,
    pub(crate) message: String,
    /// How to repeat a change whose outcome is unknown.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) repeat: Option<Repeat>,
    /// The current revision and the last change, if another change came first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) conflict: Option<Box<ConflictReply>>,
}

/// Values of the options that repeat a change without applying it twice.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Repeat {
    pub(crate) expect_revision: u64,
    pub(crate) operation_id: String,
}

impl Failure {
    pub(crate) fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self { conflict: None, exit, message: message.into(), repeat: None }
    }

    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::new(Exit::Usage, message)
    }

    /// The failure of a call without side effects that got no usable reply.
    pub(crate) fn from_read_error(error: &CallError) -> Self {
        Self::new(Exit::Unreachable, error.to_string())
    }

    /// The failure of a call with side effects that got no usable reply.
    pub(crate) fn from_write_error(error: &CallError) -> Self {
        let exit = match error {
            CallError::NoReply { .. } => Exit::Unsettled,
            CallError::Unreachable { .. } => Exit::Unreachable,
        };
        Self::new(exit, error.to_string())
    }

    pub(crate) fn from_conflict(reply: ConflictReply) -> Self {
        let change = reply.last_operation.as_ref().map_or_else(String::new, |last| {
            format!("; last change: {} by {} (operation {})", last.summary, last.author, last.operation_id)
        });
        let message = format!("another change came first: revision {} is current{change}", reply.revision);
        Self { conflict: Some(Box::new(reply)), ..Self::new(Exit::Conflict, message) }
    }

    /// The failure that an entry reported.
    pub(crate) fn from_error_reply(reply: &ErrorReply) -> Self {
        let exit = match ResultCode::from_number(reply.code) {
            Some(ResultCode::StoreUnavailable) => Exit::Unreachable,
            Some(ResultCode::ConfigConflict) => Exit::Conflict,
            _ if reply.outcome == Outcome::FailedMayHaveRun => Exit::Unsettled,
            _ => Exit::Rejected,
        };
        Self::new(exit, format!("{} ({}): {}", reply.name, reply.code, reply.message))
    }
}
