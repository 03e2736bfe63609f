//! Routes submissions, lookups and cancellations to the owner of their key: this process or a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hinge_budget::Held;
use hinge_dispatch::Dispatcher;
use hinge_member::Owner;
use hinge_store::OrphanEnd;
use hinge_wire::{
    CancelReply, FastMap, ForwardRequest, InstanceState, LookupRequest, PeerCancelRequest, ResultCode,
    Submission, SubmissionKey, SubmissionStatus, is_valid_id, to_msgpack,
};
use tokio::time::{Instant, timeout_at};

use crate::lock::lock;
use crate::peers::{PeerError, call, call_counted};
use crate::reply::{HeldStatus, Rejection};
use crate::shared::Shared;

/// Maximum number of keys that one request may issue or cancel.
pub(crate) const MAX_KEYS: usize = 1000;
/// Size of answers that are not counted while they are copied.
const UNCOUNTED_ANSWER_BYTES: u64 = 4 * 1_024;

impl Shared {
    /// Handles a caller's submission and waits for its answer for at most the caller's wait time. `held` counts the submission.
    pub(crate) async fn submit(
        self: &Arc<Self>,
        mut submission: Submission,
        held: Held,
    ) -> Result<HeldStatus, Rejection> {
        check_fields(&submission)?;
        let wait = self.bounded_wait(submission.wait_ms);
        let key = match &submission.key {
            Some(text) => parse_key(text)?,
            None => self.issue_key()?,
        };
        submission.key = Some(key.to_string());
        match self.owner(&key) {
            Owner::Local => self.submit_local(&key, submission, held, wait).await,
            Owner::Peer { address, incarnation } => {
                let definite = submission.definite;
                let request =
                    ForwardRequest { submission, target_incarnation: incarnation, wait_ms: as_millis(wait) };
                self.metrics.count("submissions_forwarded", 1);
                match self.call_owner(address, "/peer/v1/forward", request, wait).await {
                    // Another process now listens on the owner's address.
                    Err(rejection) if rejection.code == ResultCode::OwnerGone => {
                        self.orphan_status(&key, definite).await
                    }
                    answer => answer,
                }
            }
            Owner::Gone => self.orphan_status(&key, submission.definite).await,
            Owner::Unknown => Err(owner_unreachable()),
        }
    }

    /// Handles a submission that this process owns.
    pub(crate) async fn submit_local(
        self: &Arc<Self>,
        key: &SubmissionKey,
        submission: Submission,
        held: Held,
        wait: Duration,
    ) -> Result<HeldStatus, Rejection> {
        if self.lifecycle_state() == InstanceState::Starting {
            return Err(Rejection::new(ResultCode::NotReady, self.unready_reason().unwrap_or_default()));
        }
        let team = submission.team.clone();
        let admitted =
            self.with_dispatcher(|dispatcher, now| self.admit(dispatcher, now, key, submission, held));
        if admitted == Err(ResultCode::QuotaExceeded) && self.quota_log.log_limited(Instant::now(), &team) {
            self.metrics.count("quota_limits_logged", 1);
        }
        admitted?;
        self.wait_local(key, wait).await
    }

    /// Submits to the dispatcher what fits in the memory, and counts it until it has ended.
    fn admit(
        &self,
        dispatcher: &mut Dispatcher,
        now: Instant,
        key: &SubmissionKey,
        submission: Submission,
        held: Held,
    ) -> Result<(), ResultCode> {
        let submission = Arc::new(submission);
        let sequence = if self.budget.admits(&held) {
            dispatcher.submit(now, key, submission)
        } else {
            dispatcher.reject(now, key, submission, ResultCode::Overloaded)
        }?;
        if dispatcher.submission(sequence).is_some() {
            self.payloads.insert(sequence, held);
        }
        Ok(())
    }

    /// Waits for at most `wait` until a submission of this process has ended, and returns its status.
    pub(crate) async fn wait_local(
        self: &Arc<Self>,
        key: &SubmissionKey,
        wait: Duration,
    ) -> Result<HeldStatus, Rejection> {
        let deadline = Instant::now() + wait;
        loop {
            let waiter = self.waiters.register(key.sequence);
            let mut notified = std::pin::pin!(waiter.notify.notified());
            notified.as_mut().enable();
            if !self.is_in_progress(key) || timeout_at(deadline, notified).await.is_err() {
                return self.local_status(key).await;
            }
        }
    }

    fn is_in_progress(self: &Arc<Self>, key: &SubmissionKey) -> bool {
        let is_own = self.submission_key(key.sequence) == *key;
        is_own && self.with_dispatcher(|dispatcher, _| dispatcher.submission(key.sequence).is_some())
    }

    /// The status of a submission of this process. A large answer is counted before it is copied, and waits for room.
    async fn local_status(self: &Arc<Self>, key: &SubmissionKey) -> Result<HeldStatus, Rejection> {
        let mut held = self.budget.count(0);
        let mut max_bytes = UNCOUNTED_ANSWER_BYTES;
        loop {
            match self.status_within(key, max_bytes) {
                Ok(status) => return Ok(HeldStatus { held, status: status? }),
                Err(bytes) => {
                    max_bytes = bytes;
                    held = self.hold_answer(key, bytes).await?;
                }
            }
        }
    }

    /// The status of a submission, or the size of its answer if that is more than `max_bytes`.
    fn status_within(
        self: &Arc<Self>,
        key: &SubmissionKey,
        max_bytes: u64,
    ) -> Result<Result<SubmissionStatus, ResultCode>, u64> {
        self.with_dispatcher(|dispatcher, now| {
            let bytes = dispatcher.answer_bytes(key.sequence);
            if bytes > max_bytes { Err(bytes) } else { Ok(dispatcher.status(now, key)) }
        })
    }

    /// Counts a copy of an answer and its encoding.
    async fn hold_answer(&self, key: &SubmissionKey, bytes: u64) -> Result<Held, Rejection> {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX).saturating_mul(2);
        let held = self.budget.hold_response(bytes, self.settings.idle_timeout).await;
        held.ok_or_else(|| {
            let message = format!("there is no memory for the answer now; ask again with the key {key}");
            Rejection::new(ResultCode::AnswerEvicted, message)
        })
    }

    /// Returns the status of a submission from its owner, after waiting for its end for at most `wait`.
    pub(crate) async fn look_up(
        self: &Arc<Self>,
        key: &SubmissionKey,
        wait: Duration,
    ) -> Result<HeldStatus, Rejection> {
        match self.owner(key) {
            Owner::Local => self.wait_local(key, wait).await,
            Owner::Peer { address, incarnation } => {
                let request = LookupRequest {
                    key: key.to_string(),
                    target_incarnation: incarnation,
                    wait_ms: as_millis(wait),
                };
                self.call_owner(address, "/peer/v1/lookup", request, wait).await
            }
            Owner::Gone => self.orphan_status(key, true).await,
            Owner::Unknown => Err(owner_unreachable()),
        }
    }

    /// Cancels submissions at their owners with one message per owner.
    pub(crate) async fn cancel(self: &Arc<Self>, keys: &[SubmissionKey]) -> CancelReply {
        let mut reply = CancelReply { cancelled: 0, ignored: 0 };
        let mut local = Vec::new();
        let mut remote: FastMap<(SocketAddr, u64), Vec<String>> = FastMap::default();
        for key in keys {
            match self.owner(key) {
                Owner::Local => local.push(key),
                Owner::Peer { address, incarnation } => {
                    remote.entry((address, incarnation)).or_default().push(key.to_string());
                }
                Owner::Gone | Owner::Unknown => reply.ignored += 1,
            }
        }
        reply.cancelled += self.cancel_local(&local);
        reply.ignored += len_u32(&local) - reply.cancelled;
        for ((address, target_incarnation), keys) in remote {
            let key_count = len_u32(&keys);
            let request = PeerCancelRequest { keys, target_incarnation };
            let timeout = self.settings.peer_timeout;
            match call::<_, CancelReply>(self, address, "/peer/v1/cancel", &request, timeout).await {
                Ok(peer) => {
                    reply.cancelled += peer.cancelled;
                    reply.ignored += peer.ignored;
                }
                Err(_) => reply.ignored += key_count,
            }
        }
        reply
    }

    /// Cancels submissions of this process and returns the number of those that were in progress. All are cancelled
    /// under one lock, so that none of them starts in a slot freed by the cancellation of another.
    pub(crate) fn cancel_local(self: &Arc<Self>, keys: &[&SubmissionKey]) -> u32 {
        self.with_dispatcher(|dispatcher, now| {
            let cancelled = keys.iter().filter(|key| dispatcher.cancel(now, key.sequence));
            u32::try_from(cancelled.count()).unwrap_or(u32::MAX)
        })
    }

    /// Fails unless the instance is ready; only a ready instance issues keys.
    pub(crate) fn check_ready(&self) -> Result<(), Rejection> {
        let Some(reason) = self.unready_reason() else { return Ok(()) };
        let code = match self.lifecycle_state() {
            InstanceState::Draining | InstanceState::Stopped => ResultCode::Draining,
            InstanceState::Ready | InstanceState::Starting => ResultCode::NotReady,
        };
        Err(Rejection::new(code, reason))
    }

    fn issue_key(self: &Arc<Self>) -> Result<SubmissionKey, Rejection> {
        self.check_ready()?;
        let keys = self.with_dispatcher(|dispatcher, now| dispatcher.issue_keys(now, 1))?;
        keys.into_iter().next().ok_or_else(|| ResultCode::RecordsFull.into())
    }

    fn owner(&self, key: &SubmissionKey) -> Owner {
        lock(&self.members).owner(key)
    }

    /// The requested wait, limited to `max_wait`, which is also the default.
    pub(crate) fn bounded_wait(&self, wait_ms: Option<u64>) -> Duration {
        wait_ms.map_or(self.settings.max_wait, Duration::from_millis).min(self.settings.max_wait)
    }

    async fn call_owner<Q: serde::Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        request: Q,
        wait: Duration,
    ) -> Result<HeldStatus, Rejection> {
        let timeout = wait + self.settings.peer_timeout;
        let body = to_msgpack(&request).map_err(Rejection::from)?;
        // Only its encoding is kept while the owner works.
        drop(request);
        match call_counted(self, address, path, body, timeout).await {
            Ok((status, mut held)) => {
                // The status and its encoding.
                held.set_bytes(held.bytes().saturating_mul(2));
                Ok(HeldStatus { held, status })
            }
            Err(PeerError::Rejected(rejection)) if rejection.code == ResultCode::WrongIncarnation => {
                Err(owner_gone())
            }
            Err(PeerError::Rejected(rejection)) => Err(rejection),
            Err(PeerError::Unreachable(_)) => Err(owner_unreachable()),
        }
    }

    /// Result of a submission whose owner has ended. The claim of a definite submission records whether it ran.
    async fn orphan_status(&self, key: &SubmissionKey, definite: bool) -> Result<HeldStatus, Rejection> {
        if !definite {
            return Err(owner_gone());
        }
        match self.claims.close_orphan(key).await {
            OrphanEnd::NeverRan => Err(Rejection::new(
                ResultCode::OwnerGoneNotRun,
                "the owner has ended before any task started",
            )),
            OrphanEnd::Outcome(code) => Err(finished_at_gone_owner(code)),
            OrphanEnd::MayHaveRun => Err(owner_gone()),
            OrphanEnd::Unavailable => Err(Rejection::new(
                ResultCode::OwnerUnreachable,
                "the owner has ended and the store does not answer; ask again with the same key",
            )),
        }
    }
}

/// Rejection for a submission that ended before its owner did: the store keeps the outcome but not the results.
fn finished_at_gone_owner(code: ResultCode) -> Rejection {
    match code {
        ResultCode::Complete => Rejection::new(
            ResultCode::AnswerEvicted,
            "the submission completed; its results were lost with the owner",
        ),
        code => Rejection::new(code, "recorded before the owner ended"),
    }
}

fn owner_gone() -> Rejection {
    Rejection::new(ResultCode::OwnerGone, "the instance that owned the submission has ended")
}

fn owner_unreachable() -> Rejection {
    Rejection::new(ResultCode::OwnerUnreachable, "the owner cannot be reached; ask again with the same key")
}

/// Parses a key from a request of a caller or peer.
pub(crate) fn parse_key(text: &str) -> Result<SubmissionKey, Rejection> {
    text.parse().map_err(|error: hinge_wire::KeyError| Rejection::new(error.code(), error.to_string()))
}

/// Parses a list of at most [`MAX_KEYS`] keys.
pub(crate) fn parse_keys(texts: &[String]) -> Result<Vec<SubmissionKey>, Rejection> {
    if texts.len() > MAX_KEYS {
        return Err(Rejection::new(ResultCode::TooLarge, format!("more than {MAX_KEYS} keys")));
    }
    texts.iter().map(|text| parse_key(text)).collect()
}

/// Checks that the service and team of a submission are valid ids.
pub(crate) fn check_fields(submission: &Submission) -> Result<(), Rejection> {
    check_id("service", &submission.service)?;
    check_id("team", &submission.team)
}

pub(crate) fn check_id(field: &str, value: &str) -> Result<(), Rejection> {
    if is_valid_id(value) {
        return Ok(());
    }
    let message = format!("{field} must be 1 to 64 letters, digits, `-` or `_`");
    Err(Rejection::new(ResultCode::InvalidField, message))
}

fn len_u32<T>(items: &[T]) -> u32 {
    u32::try_from(items.len()).unwrap_or(u32::MAX)
}

fn as_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
