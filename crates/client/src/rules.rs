//! What a response means for a submission; pure functions.

use bytes::Bytes;
use hinge_wire::{Answer, ErrorReply, Outcome, ResultCode, SubmissionState, SubmissionStatus, from_json};
use http::{Response, StatusCode};

use crate::builder::SubmitOptions;

/// Meaning of a response to a submission or a poll.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// Ask again with the same key; holds what happened.
    AskAgain(String),
    /// The final answer for the key.
    Final(Answer),
    /// The owner has accepted the submission.
    InProgress(SubmissionStatus),
    /// The owner cannot be reached now; ask again with the same key.
    OwnerUnreachable(String),
    /// This entry rejected the request without proof that it asked the owner.
    RefusedHere(Answer),
    /// The owner holds no submission with the key; submit it again.
    Unused,
}

impl Verdict {
    /// Whether the owner of the key takes no further submissions for now, so that its other keys are useless.
    pub(crate) fn spends_owner(&self) -> bool {
        use ResultCode as Code;
        match self {
            Self::OwnerUnreachable(_) => true,
            Self::Final(answer) | Self::RefusedHere(answer) => matches!(
                ResultCode::from_number(answer.code),
                Some(
                    Code::Draining
                        | Code::KeyUnknown
                        | Code::OwnerGone
                        | Code::OwnerGoneNotRun
                        | Code::WrongIncarnation
                )
            ),
            Self::AskAgain(_) | Self::InProgress(_) | Self::Unused => false,
        }
    }
}

/// Judges a response to a submission of `tasks` tasks under `key`.
pub(crate) fn judge(response: &Response<Bytes>, key: &str, tasks: usize) -> Verdict {
    match response.status() {
        StatusCode::OK => match from_json::<Answer>(response.body()) {
            Ok(answer) => judge_answer(answer, key, tasks),
            // A poll is answered with a status.
            Err(_) => judge_status(response, key, tasks),
        },
        StatusCode::ACCEPTED => judge_status(response, key, tasks),
        status => match from_json::<ErrorReply>(response.body()) {
            Ok(reply) => judge_error(status, reply, key),
            Err(_) => Verdict::AskAgain(format!("status {status} without a result code")),
        },
    }
}

fn judge_answer(answer: Answer, key: &str, tasks: usize) -> Verdict {
    if answer.key != key {
        return Verdict::AskAgain("the answer is for another submission".to_owned());
    }
    if answer.outcome == Outcome::Complete && answer.results.len() != tasks {
        return Verdict::AskAgain("the answer lacks results".to_owned());
    }
    if answer.code == ResultCode::OwnerUnreachable.number() {
        return Verdict::OwnerUnreachable(answer.message);
    }
    Verdict::Final(answer)
}

fn judge_status(response: &Response<Bytes>, key: &str, tasks: usize) -> Verdict {
    match from_json::<SubmissionStatus>(response.body()) {
        Ok(status) if status.key != key => {
            Verdict::AskAgain("the status is for another submission".to_owned())
        }
        Ok(SubmissionStatus { answer: Some(answer), .. }) => judge_answer(answer, key, tasks),
        Ok(status) if status.state == SubmissionState::Done => {
            Verdict::AskAgain("the submission is done, but its answer is missing".to_owned())
        }
        Ok(status) => Verdict::InProgress(status),
        Err(error) => Verdict::AskAgain(error.to_string()),
    }
}

fn judge_error(status: StatusCode, reply: ErrorReply, key: &str) -> Verdict {
    use ResultCode as Code;
    let code = ResultCode::from_number(reply.code);
    match code {
        Some(Code::OwnerUnreachable) => Verdict::OwnerUnreachable(describe(&reply)),
        // No rejection of a submission; the owner may still hold it.
        Some(Code::Internal) => Verdict::AskAgain(describe(&reply)),
        Some(Code::KeyUnused) => Verdict::Unused,
        Some(code) if is_from_receiver(code) => Verdict::RefusedHere(answer(reply, key)),
        None if status.is_server_error() => Verdict::AskAgain(describe(&reply)),
        _ if reply.outcome == Outcome::Complete => Verdict::AskAgain(describe(&reply)),
        None if reply.outcome == Outcome::FailedNotRun => Verdict::RefusedHere(answer(reply, key)),
        _ => Verdict::Final(answer(reply, key)),
    }
}

/// Whether an entry may report the code without having asked the owner of the key.
///
/// Such a code proves nothing about an earlier copy of the submission that another entry has forwarded.
const fn is_from_receiver(code: ResultCode) -> bool {
    use ResultCode as Code;
    is_receiver_state(code)
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

/// Whether the code tells of the receiving entry only, not of the submission.
pub(crate) const fn is_receiver_state(code: ResultCode) -> bool {
    matches!(code, ResultCode::Draining) || is_passing_at_receiver(code)
}

/// Whether another entry may accept the same key.
pub(crate) const fn is_passing_at_receiver(code: ResultCode) -> bool {
    matches!(code, ResultCode::NotReady | ResultCode::TooManyConnections)
}

/// Whether the same request may succeed when it is repeated through another entry.
pub(crate) const fn is_passing(code: ResultCode) -> bool {
    is_passing_at_receiver(code) || matches!(code, ResultCode::Internal | ResultCode::OwnerUnreachable)
}

/// Whether the cause of the failure can pass, so that a repetition with a new key makes sense.
const fn can_pass(code: ResultCode) -> bool {
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

/// Whether a final answer may be followed by the same submission with a new key.
pub(crate) fn may_repeat(answer: &Answer, idempotent: bool, options: &SubmitOptions) -> bool {
    let allowed = match answer.outcome {
        Outcome::Complete | Outcome::FailedRan => false,
        Outcome::FailedNotRun => options.repeat_not_run,
        Outcome::FailedMayHaveRun => options.repeat_may_have_run && idempotent,
    };
    allowed && ResultCode::from_number(answer.code).is_some_and(can_pass)
}

fn answer(reply: ErrorReply, key: &str) -> Answer {
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
