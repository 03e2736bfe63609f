//! One submission key's way to its final answer.

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
use crate::rules::{Verdict, is_passing_at_receiver, is_receiver_state, judge};
use crate::transport::{SendError, Transport};

/// Shortest time between polls; an entry that does not hold polls open is not flooded with them.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How an exchange ended.
#[derive(Debug)]
pub(crate) enum End {
    /// The final answer for the key.
    Answer(Answer),
    /// No final answer.
    Failed(ClientError),
    /// Nothing was ever sent with the key.
    NotSent(String),
}

/// Requests about one key, until the answer is final.
pub(crate) struct Exchange<'a, T> {
    /// The owner has accepted the submission; it is polled.
    accepted: bool,
    backoff: &'a mut Backoff,
    body: Bytes,
    client: &'a Client<T>,
    /// A copy of the submission may have reached the owner without a final answer.
    doubt: bool,
    entry: SocketAddr,
    hold: Duration,
    /// A request is on its way; set while the outcome of sending is open, so that a deadline then counts as doubt.
    in_flight: bool,
    key: &'a str,
    last_error: String,
    next_poll: Instant,
    /// The caller brought the key along and may have submitted it before.
    prior: bool,
    /// The last rejection by an entry that did not ask the owner.
    refused: Option<Answer>,
    tasks: usize,
}

impl<'a, T: Transport> Exchange<'a, T> {
    pub(crate) fn new(
        client: &'a Client<T>,
        issued: &'a IssuedKey,
        request: &Submission,
        backoff: &'a mut Backoff,
    ) -> Result<Self, ClientError> {
        Ok(Self {
            accepted: false,
            backoff,
            body: to_json(request)?.into(),
            client,
            doubt: false,
            entry: issued.entry,
            hold: Duration::from_millis(request.wait_ms.unwrap_or_default()),
            in_flight: false,
            key: &issued.key,
            last_error: String::new(),
            next_poll: Instant::now(),
            prior: issued.is_given(),
            refused: None,
            tasks: request.tasks.len(),
        })
    }

    /// Submits and polls until there is a final answer or no attempt is left.
    pub(crate) async fn run(&mut self, progress: &mut impl FnMut(&SubmissionStatus)) -> End {
        loop {
            self.in_flight = true;
            let response = if self.accepted { self.poll().await } else { self.submit().await };
            self.in_flight = false;
            let end = match response {
                Ok(response) => self.react(&response, progress),
                Err(SendError::NotSent(error)) if self.is_unsent() => return End::NotSent(error),
                Err(SendError::NotSent(error)) => self.again(error),
                Err(SendError::NoResponse(error)) => {
                    self.doubt = true;
                    self.again(error)
                }
            };
            match end {
                Step::End(answer) => return End::Answer(answer),
                Step::Poll => {}
                Step::Retry => match self.backoff.next() {
                    Some(pause) => sleep(pause).await,
                    None => return self.unfinished("no attempt is left"),
                },
            }
        }
    }

    /// The end when no final answer came in time.
    pub(crate) fn unfinished(&self, why: &str) -> End {
        let doubt = self.doubt || self.in_flight || self.prior;
        if let Some(refused) = self.refused.clone().filter(|_| !doubt) {
            return End::Answer(refused);
        }
        let outcome = if doubt { Outcome::FailedMayHaveRun } else { Outcome::FailedNotRun };
        let last_error =
            if self.last_error.is_empty() { why.to_owned() } else { format!("{why}; {}", self.last_error) };
        End::Failed(ClientError::Unreachable { key: Some(self.key.to_owned()), last_error, outcome })
    }

    /// Whether no copy of the submission can have reached any entry.
    const fn is_unsent(&self) -> bool {
        !self.doubt && !self.prior && self.refused.is_none()
    }

    async fn poll(&mut self) -> Result<Response<Bytes>, SendError> {
        sleep_until(self.next_poll).await;
        self.next_poll = Instant::now() + POLL_INTERVAL;
        let hold = self.client.inner.settings.poll_wait;
        let path = format!("/v1/submissions/{}?wait_ms={}", self.key, millis(hold));
        self.client.send(self.entry, Method::GET, &path, Bytes::new(), hold).await
    }

    async fn submit(&self) -> Result<Response<Bytes>, SendError> {
        self.client.send(self.entry, Method::POST, "/v1/submissions", self.body.clone(), self.hold).await
    }

    fn react(&mut self, response: &Response<Bytes>, progress: &mut impl FnMut(&SubmissionStatus)) -> Step {
        let verdict = judge(response, self.key, self.tasks);
        if verdict.spends_owner() {
            self.client.inner.pool.forget_owner(self.key);
        }
        match verdict {
            Verdict::AskAgain(reason) | Verdict::OwnerUnreachable(reason) => {
                self.doubt = true;
                self.again(reason)
            }
            Verdict::Final(answer) if self.accepted && is_key_unknown(&answer) => self.again(answer.message),
            Verdict::Final(answer) => Step::End(answer),
            Verdict::InProgress(status) => {
                (self.accepted, self.doubt) = (true, true);
                self.backoff.reset();
                progress(&status);
                Step::Poll
            }
            Verdict::RefusedHere(answer) => self.refused(answer),
            Verdict::Unused => {
                self.accepted = false;
                self.again("the owner holds no submission with the key".to_owned())
            }
        }
    }

    /// Ends with the rejection unless an earlier copy may be at the owner, or another entry may accept this one.
    fn refused(&mut self, answer: Answer) -> Step {
        let code = ResultCode::from_number(answer.code);
        let passing = code.is_some_and(is_passing_at_receiver);
        let copy_possible = self.doubt || (self.prior && code.is_some_and(is_receiver_state));
        if !copy_possible && !passing {
            return Step::End(answer);
        }
        let reason = answer.message.clone();
        self.refused = Some(answer);
        self.again(reason)
    }

    fn again(&mut self, reason: String) -> Step {
        self.last_error = reason;
        self.entry = self.client.entry_after(self.entry);
        Step::Retry
    }
}

/// What follows a response.
enum Step {
    End(Answer),
    Poll,
    Retry,
}

/// An owner that accepted a submission cannot have forgotten to issue its key; such a reply is no proof of "not run".
fn is_key_unknown(answer: &Answer) -> bool {
    answer.code == ResultCode::KeyUnknown.number()
}
