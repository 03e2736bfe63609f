//! Classification of responses, and the rules that decide what may be sent again. Pure functions without I/O.

use bytes::Bytes;
use hinge_wire::{Answer, ErrorReply, Outcome, ResultCode, SubmissionState, SubmissionStatus, from_json};
use http::{Response, StatusCode};

use crate::options::SubmitOptions;

/// What a response to a submission or a poll means for the submission.
#[derive(Debug)]
pub(crate) enum ReplyKind {
    /// The response is unusable or leaves the outcome open; ask again with the same key. Holds the reason.
    Retry(String),
    /// The final answer for the key.
    Final(Answer),
    /// The submission has been accepted and has no answer yet.
    InProgress(SubmissionStatus),
    /// The owner cannot be reached now; ask again with the same key.
    OwnerUnreachable(String),
    /// The entry rejected the request, perhaps without asking the owner.
    RejectedByEntry(Answer),
    /// The owner holds no submission with the key; submit it again.
    KeyUnused,
}

impl ReplyKind {
    /// Whether the owner of the key accepts no submissions for now, so that its other keys should be dropped.
    pub(crate) fn is_owner_unavailable(&self) -> bool {
        use ResultCode as Code;
        match self {
            Self::OwnerUnreachable(_) => true,
            Self::Final(answer) | Self::RejectedByEntry(answer) => matches!(
                ResultCode::from_number(answer.code),
                Some(
                    Code::Draining
                        | Code::KeyUnknown
                        | Code::OwnerGone
                        | Code::OwnerGoneNotRun
                        | Code::WrongIncarnation
                )
            ),
            Self::Retry(_) | Self::InProgress(_) | Self::KeyUnused => false,
        }
    }
}

/// Classifies the response to a submission of `task_count` tasks with `key`, or to a poll for it.
pub(crate) fn classify(response: &Response<Bytes>, key: &str, task_count: usize) -> ReplyKind {
    match response.status() {
        StatusCode::OK => match from_json::<Answer>(response.body()) {
            Ok(answer) => classify_answer(answer, key, task_count),
            // The response to a poll is a status.
            Err(_) => classify_status(response, key, task_count),
        },
        StatusCode::ACCEPTED => classify_status(response, key, task_count),
        status => match from_json::<ErrorReply>(response.body()) {
            Ok(reply) => classify_error(status, reply, key),
            Err(_) => ReplyKind::Retry(format!("status {status} without a result code")),
        },
    }
}

fn classify_answer(answer: Answer, key: &str, task_count: usize) -> ReplyKind {
    if answer.key != key {
        return ReplyKind::Retry("the answer belongs to another submission".to_owned());
    }
    if answer.outcome == Outcome::Complete && answer.results.len() != task_count {
        return ReplyKind::Retry("the complete answer lacks results".to_owned());
    }
    if answer.code == ResultCode::OwnerUnreachable.number() {
        return ReplyKind::OwnerUnreachable(answer.message);
    }
    ReplyKind::Final(answer)
}

fn classify_status(response: &Response<Bytes>, key: &str, task_count: usize) -> ReplyKind {
    match from_json::<SubmissionStatus>(response.body()) {
        Ok(status) if status.key != key => {
            ReplyKind::Retry("the status belongs to another submission".to_owned())
        }
        Ok(SubmissionStatus { answer: Some(answer), .. }) => classify_answer(answer, key, task_count),
        Ok(status) if status.state == SubmissionState::Done => {
            ReplyKind::Retry("the submission is done, but its answer is missing".to_owned())
        }
        Ok(status) => ReplyKind::InProgress(status),
        Err(error) => ReplyKind::Retry(error.to_string()),
    }
}

fn classify_error(status: StatusCode, reply: ErrorReply, key: &str) -> ReplyKind {
    use ResultCode as Code;
    let code = ResultCode::from_number(reply.code);
    match code {
        Some(Code::OwnerUnreachable) => ReplyKind::OwnerUnreachable(describe(&reply)),
        // An internal error does not reject the submission; the owner may still hold it.
        Some(Code::Internal) => ReplyKind::Retry(describe(&reply)),
        Some(Code::KeyUnused) => ReplyKind::KeyUnused,
        Some(code) if is_possibly_local(code) => ReplyKind::RejectedByEntry(rejection(reply, key)),
        None if status.is_server_error() => ReplyKind::Retry(describe(&reply)),
        _ if reply.outcome == Outcome::Complete => ReplyKind::Retry(describe(&reply)),
        None if reply.outcome == Outcome::FailedNotRun => ReplyKind::RejectedByEntry(rejection(reply, key)),
        _ => ReplyKind::Final(rejection(reply, key)),
    }
}

/// Whether an entry may report the code without having asked the owner of the key.
///
/// Such a code proves nothing about an earlier copy of the submission, which another entry may have forwarded.
const fn is_possibly_local(code: ResultCode) -> bool {
    use ResultCode as Code;
    is_entry_state(code)
        || matches!(
            code,
            Code::Malformed
                | Code::TooLarge
                | Code::InvalidField
                | Code::UnsupportedVersion
                | Code::NotFound
                | Code::MethodNotAllowed
                | Code::TooManyTasks
        )
}

/// Whether the reply proves that the owner of the key was asked, so that its outcome holds for the submission.
pub(crate) fn is_from_owner(reply: &ErrorReply) -> bool {
    ResultCode::from_number(reply.code).is_some_and(|code| !is_possibly_local(code))
}

/// Whether the code describes the state of the receiving entry and says nothing about the submission.
pub(crate) const fn is_entry_state(code: ResultCode) -> bool {
    matches!(code, ResultCode::Draining) || is_temporary_entry_state(code)
}

/// Whether the code describes a temporary state of the receiving entry, so that another may accept the same key.
pub(crate) const fn is_temporary_entry_state(code: ResultCode) -> bool {
    matches!(code, ResultCode::NotReady | ResultCode::TooManyConnections)
}

/// Whether the same request may succeed if it is sent again through another entry.
pub(crate) const fn is_transient(code: ResultCode) -> bool {
    is_temporary_entry_state(code) || matches!(code, ResultCode::Internal | ResultCode::OwnerUnreachable)
}

/// Whether the cause of the failure can pass, so that the submission may succeed with a new key.
const fn is_retryable_with_new_key(code: ResultCode) -> bool {
    use ResultCode as Code;
    matches!(
        code,
        Code::TooManyConnections
            | Code::KeyUnknown
            | Code::KeyExpired
            | Code::OwnerGone
            | Code::OwnerGoneNotRun
            | Code::WrongIncarnation
            | Code::Overloaded
            | Code::QuotaExceeded
            | Code::Draining
            | Code::NotReady
            | Code::RecordsFull
            | Code::NoUpstream
            | Code::ClaimRefused
            | Code::ClaimLimit
            | Code::TaskLost
            | Code::TaskTimeout
    )
}

/// Whether the submission may be repeated with a new key after this final answer.
pub(crate) fn may_repeat_with_new_key(answer: &Answer, idempotent: bool, options: &SubmitOptions) -> bool {
    let is_allowed = match answer.outcome {
        Outcome::Complete | Outcome::FailedRan => false,
        Outcome::FailedNotRun => options.repeat_not_run,
        Outcome::FailedMayHaveRun => options.repeat_may_have_run && idempotent,
    };
    is_allowed && ResultCode::from_number(answer.code).is_some_and(is_retryable_with_new_key)
}

/// Returns an error reply as an answer without results.
fn rejection(reply: ErrorReply, key: &str) -> Answer {
    Answer {
        code: reply.code,
        key: key.to_owned(),
        message: reply.message,
        outcome: reply.outcome,
        queued_ms: 0,
        results: Vec::new(),
        total_ms: 0,
    }
}

fn describe(reply: &ErrorReply) -> String {
    format!("{}: {}", reply.name, reply.message)
}
