//! Exit codes and failures.

use hinge_wire::{ConflictReply, ErrorReply, Outcome, ResultCode};
use serde::Serialize;

use crate::call::CallError;

/// How a command ended; the exit code of `hingectl`, see `docs/operators-cli.md`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[repr(u8)]
#[serde(rename_all = "snake_case")]
pub enum Exit {
    /// Done.
    Ok = 0,
    /// The entry rejected the command; nothing was changed.
    Rejected = 1,
    /// The command line is wrong; nothing was sent.
    Usage = 2,
    /// Another change came first; nothing was changed.
    Conflict = 3,
    /// The entry or the platform's store cannot be reached; nothing was changed.
    Unreachable = 4,
    /// The command may or may not have had an effect.
    Unsettled = 5,
}

/// A command that did not end well, as shown to people and machines.
#[derive(Debug, Serialize)]
pub(crate) struct Failure {
    pub(crate) exit: Exit,
    pub(crate) message: String,
    /// How to repeat an unsettled change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) repeat: Option<Repeat>,
    /// The conflict, when there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) conflict: Option<Box<ConflictReply>>,
}

/// Options that repeat a change without applying it twice.
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

    /// A call without effect on the fleet whose reply is missing.
    pub(crate) fn read(error: &CallError) -> Self {
        Self::new(Exit::Unreachable, error.to_string())
    }

    /// A call with an effect whose reply is missing.
    pub(crate) fn write(error: &CallError) -> Self {
        let exit = match error {
            CallError::Lost { .. } => Exit::Unsettled,
            CallError::Unreachable { .. } => Exit::Unreachable,
        };
        Self::new(exit, error.to_string())
    }

    pub(crate) fn conflict(reply: ConflictReply) -> Self {
        let change = reply.last_operation.as_ref().map_or_else(String::new, |last| {
            format!("; last change: {} by {} (operation {})", last.summary, last.author, last.operation_id)
        });
        let message = format!("another change came first: revision {} is current{change}", reply.revision);
        Self { conflict: Some(Box::new(reply)), ..Self::new(Exit::Conflict, message) }
    }

    pub(crate) fn reported(reply: &ErrorReply) -> Self {
        let exit = match ResultCode::from_number(reply.code) {
            Some(ResultCode::StoreUnavailable) => Exit::Unreachable,
            Some(ResultCode::ConfigConflict) => Exit::Conflict,
            _ if reply.outcome == Outcome::FailedMayHaveRun => Exit::Unsettled,
            _ => Exit::Rejected,
        };
        Self::new(exit, format!("{} ({}): {}", reply.name, reply.code, reply.message))
    }
}
