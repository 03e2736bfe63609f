//! Requests with one submission key, from the first attempt to the final answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hinge_wire::{Answer, Outcome, ResultCode, Submission, SubmissionStatus, to_json};
use http::{Method, Response};
use tokio::time::{Instant, sleep, sleep_until};

use crate::backoff::Backoff;
use crate::client::{Client, millis};
use crate::error::ClientError;
use crate::keys::IssuedKey;
use crate::rules::{ReplyKind, classify, is_entry_state, is_temporary_entry_state};
use crate::transport::{SendError, Transport};

/// Shortest time between polls, so that an entry that answers polls at once is not flooded with them.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How an exchange ended.
#[derive(Debug)]
pub(crate) enum End {
    /// The final answer for the key.
    Answer(Answer),
    /// No final answer came in time.
    Failed(ClientError),
    /// Nothing was sent with the key; holds the error.
    NotSent(String),
}

/// State of the requests with one key until the answer is final.
pub(crate) struct Exchange<'a, T> {
    /// The submission has been accepted, so that the next request is a poll.
    is_accepted: bool,
    backoff: &'a mut Backoff,
    body: Bytes,
    client: &'a Client<T>,
    /// An earlier copy of the submission may have reached the owner.
    may_have_reached_owner: bool,
    entry: SocketAddr,
    /// How long the entry may hold the response to a submission open.
    submit_wait: Duration,
    /// A request is under way. If the deadline passes before the response, it counts as one that may have reached the
    /// owner.
    is_in_flight: bool,
    key: &'a str,
    last_error: String,
    next_poll: Instant,
    /// The caller supplied the key and may have submitted with it before.
    is_key_from_caller: bool,
    /// The last rejection by an entry that may not have asked the owner.
    last_rejection: Option<Answer>,
    task_count: usize,
}

impl<'a, T: Transport> Exchange<'a, T> {
    pub(crate) fn new(
        client: &'a Client<T>,
        issued: &'a IssuedKey,
        request: &Submission,
        backoff: &'a mut Backoff,
    ) -> Result<Self, ClientError> {
        Ok(Self {
            is_accepted: false,
            backoff,
            body: to_json(request)?.into(),
            client,
            may_have_reached_owner: false,
            entry: issued.entry,
            submit_wait: Duration::from_millis(request.wait_ms.unwrap_or_default()),
            is_in_flight: false,
            key: &issued.key,
            last_error: String::new(),
            next_poll: Instant::now(),
            is_key_from_caller: issued.is_from_caller(),
            last_rejection: None,
            task_count: request.tasks.len(),
        })
    }

    /// Submits and polls until there is a final answer or no attempt is left.
    pub(crate) async fn run(&mut self, progress: &mut impl FnMut(&SubmissionStatus)) -> End {
        loop {
            self.is_in_flight = true;
            let response = if self.is_accepted { self.poll().await } else { self.submit().await };
            self.is_in_flight = false;
            let next_step = match response {
                Ok(response) => self.handle_response(&response, progress),
                Err(SendError::NotSent(error)) if self.is_unsent() => return End::NotSent(error),
                Err(SendError::NotSent(error)) => self.retry(error),
                Err(SendError::NoResponse(error)) => {
                    self.may_have_reached_owner = true;
                    self.retry(error)
                }
            };
            match next_step {
                NextStep::End(answer) => return End::Answer(answer),
                NextStep::Poll => {}
                NextStep::Retry => match self.backoff.next() {
                    Some(pause) => sleep(pause).await,
                    None => return self.give_up("no attempts are left"),
                },
            }
        }
    }

    /// Ends the exchange when no final answer came in time. The last rejection by an entry becomes the answer, unless a
    /// copy of the submission may have reached the owner.
    pub(crate) fn give_up(&self, reason: &str) -> End {
        let may_have_run = self.may_have_reached_owner || self.is_in_flight || self.is_key_from_caller;
        if let Some(rejection) = self.last_rejection.clone().filter(|_| !may_have_run) {
            return End::Answer(rejection);
        }
        let outcome = if may_have_run { Outcome::FailedMayHaveRun } else { Outcome::FailedNotRun };
        let last_error = if self.last_error.is_empty() {
            reason.to_owned()
        } else {
            format!("{reason}; {}", self.last_error)
        };
        End::Failed(ClientError::Unreachable { key: Some(self.key.to_owned()), last_error, outcome })
    }

    /// Whether no entry can have received a copy of the submission.
    const fn is_unsent(&self) -> bool {
        !self.may_have_reached_owner && !self.is_key_from_caller && self.last_rejection.is_none()
    }

    async fn poll(&mut self) -> Result<Response<Bytes>, SendError> {
        sleep_until(self.next_poll).await;
        self.next_poll = Instant::now() + POLL_INTERVAL;
        let wait = self.client.inner.settings.poll_wait;
        let path = format!("/v1/submissions/{}?wait_ms={}", self.key, millis(wait));
        self.client.send(self.entry, Method::GET, &path, Bytes::new(), wait).await
    }

    async fn submit(&self) -> Result<Response<Bytes>, SendError> {
        self.client
            .send(self.entry, Method::POST, "/v1/submissions", self.body.clone(), self.submit_wait)
            .await
    }

    fn handle_response(
        &mut self,
        response: &Response<Bytes>,
        progress: &mut impl FnMut(&SubmissionStatus),
    ) -> NextStep {
        let kind = classify(response, self.key, self.task_count);
        if kind.is_owner_unavailable() {
            self.client.inner.pool.remove_with_owner_of(self.key);
        }
        match kind {
            ReplyKind::Retry(reason) | ReplyKind::OwnerUnreachable(reason) => {
                self.may_have_reached_owner = true;
                self.retry(reason)
            }
            ReplyKind::Final(answer) if self.is_accepted && denies_key(&answer) => self.retry(answer.message),
            ReplyKind::Final(answer) => NextStep::End(answer),
            ReplyKind::InProgress(status) => {
                (self.is_accepted, self.may_have_reached_owner) = (true, true);
                self.backoff.reset();
                progress(&status);
                NextStep::Poll
            }
            ReplyKind::RejectedByEntry(answer) => self.handle_entry_rejection(answer),
            ReplyKind::KeyUnused => {
                self.is_accepted = false;
                self.retry("the owner holds no submission with the key".to_owned())
            }
        }
    }

    /// Ends with the rejection unless the owner may have an earlier copy, or another entry may accept the submission.
    fn handle_entry_rejection(&mut self, answer: Answer) -> NextStep {
        let code = ResultCode::from_number(answer.code);
        let is_temporary = code.is_some_and(is_temporary_entry_state);
        let may_have_copy =
            self.may_have_reached_owner || (self.is_key_from_caller && code.is_some_and(is_entry_state));
        if !may_have_copy && !is_temporary {
            return NextStep::End(answer);
        }
        let reason = answer.message.clone();
        self.last_rejection = Some(answer);
        self.retry(reason)
    }

    /// Records the reason and chooses the next entry for another attempt.
    fn retry(&mut self, reason: String) -> NextStep {
        self.last_error = reason;
        self.entry = self.client.entry_after(self.entry);
        NextStep::Retry
    }
}

/// What to do after a response.
enum NextStep {
    End(Answer),
    Poll,
    Retry,
}

/// Whether the answer says that the key was never issued. After an accepted submission this cannot be true, so it does
/// not prove that no task has run.
fn denies_key(answer: &Answer) -> bool {
    answer.code == ResultCode::KeyUnknown.number()
}
