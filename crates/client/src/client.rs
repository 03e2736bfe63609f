//! The client and the loop that submits until a final answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hinge_wire::{Answer, CancelReply, CancelRequest, Submission, SubmissionKey, SubmissionStatus, to_json};
use http::Method;
use tokio::time::{Instant, sleep, timeout_at};

use crate::backoff::Backoff;
use crate::builder::ClientBuilder;
use crate::error::ClientError;
use crate::exchange::{End, Exchange};
use crate::keys::{IssuedKey, KeyPool};
use crate::options::SubmitOptions;
use crate::rules::may_repeat_with_new_key;
use crate::transport::{HttpTransport, Transport};

/// Longest deadline; larger ones are lowered to it so that adding them to an instant cannot overflow.
const MAX_DEADLINE: Duration = Duration::from_secs(7 * 86_400);

/// Settings collected by [`ClientBuilder`], whose methods document them.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) max_attempts: Option<u32>,
    pub(crate) backoff_base: Duration,
    pub(crate) backoff_max: Duration,
    pub(crate) connect_timeout: Duration,
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) key_batch: u32,
    pub(crate) max_response_bytes: usize,
    pub(crate) options: SubmitOptions,
    pub(crate) poll_wait: Duration,
    pub(crate) response_timeout: Duration,
    pub(crate) seed: u64,
}

/// State shared by the clones of a client.
#[derive(Debug)]
pub(crate) struct Inner<T> {
    /// Number of calls so far, plus the seed; varies the first entry and the jitter.
    call_count: AtomicU64,
    /// Number of requests for keys so far, plus the seed; selects the entry to ask.
    ///
    /// It is counted apart from the calls: with a batch size that is a multiple of the number of entries, the count of
    /// calls would select the same entry for every request for keys.
    key_request_count: AtomicU64,
    pub(crate) pool: KeyPool,
    /// Held while keys are fetched, so that concurrent submissions share one request.
    pub(crate) refill_lock: tokio::sync::Mutex<()>,
    pub(crate) settings: Settings,
    pub(crate) transport: T,
}

/// Submits to entry instances and waits for final answers. Clones share connections and prefetched keys.
#[derive(Debug)]
pub struct Client<T = HttpTransport> {
    pub(crate) inner: Arc<Inner<T>>,
}

impl<T> Clone for Client<T> {
    fn clone(&self) -> Self {
        Self { inner: Arc::clone(&self.inner) }
    }
}

impl Client {
    /// Creates a builder with the default settings.
    #[must_use]
    pub fn builder() -> ClientBuilder {
        ClientBuilder::default()
    }
}

impl<T: Transport> Client<T> {
    pub(crate) fn new(settings: Settings, transport: T) -> Self {
        let inner = Inner {
            call_count: AtomicU64::new(settings.seed),
            key_request_count: AtomicU64::new(settings.seed),
            pool: KeyPool::default(),
            refill_lock: tokio::sync::Mutex::new(()),
            settings,
            transport,
        };
        Self { inner: Arc::new(inner) }
    }

    /// Cancels one submission.
    ///
    /// # Errors
    ///
    /// Fails when the key is malformed, an entry rejects the call or none can be reached before the deadline.
    pub async fn cancel(&self, key: &str) -> Result<CancelReply, ClientError> {
        key.parse::<SubmissionKey>()?;
        self.request(Method::DELETE, &format!("/v1/submissions/{key}"), Bytes::new(), |_| true).await
    }

    /// Cancels several submissions with one call.
    ///
    /// # Errors
    ///
    /// Fails when an entry rejects the call or none can be reached before the deadline.
    pub async fn cancel_all(&self, keys: Vec<String>) -> Result<CancelReply, ClientError> {
        let body = to_json(&CancelRequest { keys })?;
        self.request(Method::POST, "/v1/cancellations", body.into(), |_| true).await
    }

    /// Fetches a batch of keys, unless some are left, so that the first submissions need not wait for one.
    ///
    /// # Errors
    ///
    /// Fails when no entry issues keys before the deadline.
    pub async fn prefetch_keys(&self) -> Result<(), ClientError> {
        let deadline = self.deadline(self.inner.settings.options.deadline);
        let mut backoff = self.backoff();
        self.refill_pool(deadline, &mut backoff).await
    }

    /// Returns the progress of a submission, or its answer once there is one, without waiting.
    ///
    /// # Errors
    ///
    /// Fails when the key is malformed, an entry rejects the call or none can be reached before the deadline.
    pub async fn status(&self, key: &str) -> Result<SubmissionStatus, ClientError> {
        key.parse::<SubmissionKey>()?;
        let path = format!("/v1/submissions/{key}?wait_ms=0");
        self.request(Method::GET, &path, Bytes::new(), |status: &SubmissionStatus| status.key == key).await
    }

    /// Submits and waits for the final answer with the client's options.
    ///
    /// # Errors
    ///
    /// As [`Client::submit_with`].
    pub async fn submit(&self, submission: Submission) -> Result<Answer, ClientError> {
        self.submit_with(submission, &self.inner.settings.options, |_| {}).await
    }

    /// Submits and waits for the final answer; `progress` is called with each status of a submission in progress.
    ///
    /// If the submission has a key, the client uses no other: it does not repeat the submission with a new key,
    /// whatever the options.
    ///
    /// # Errors
    ///
    /// Fails when the key is malformed, the submission cannot be encoded, no key can be fetched, or no final answer
    /// comes before the deadline or within the allowed attempts. [`ClientError::outcome`] says whether tasks may have
    /// run.
    pub async fn submit_with<F>(
        &self,
        submission: Submission,
        options: &SubmitOptions,
        mut progress: F,
    ) -> Result<Answer, ClientError>
    where
        F: FnMut(&SubmissionStatus) + Send,
    {
        let started = Instant::now();
        let deadline = self.deadline(options.deadline);
        let mut backoff = self.backoff();
        loop {
            let issued = self.key_for(&submission, deadline, &mut backoff).await?;
            let request = self.prepare(&submission, &issued.key, started.elapsed());
            let mut exchange = Exchange::new(self, &issued, &request, &mut backoff)?;
            let ended = timeout_at(deadline, exchange.run(&mut progress)).await;
            let may_change_key = submission.key.is_none();
            let result = match ended.unwrap_or_else(|_| exchange.give_up("the deadline has passed")) {
                End::NotSent(error) if may_change_key => {
                    self.inner.pool.remove_issued_by(issued.entry);
                    Err(not_sent_error(issued.key, error))
                }
                End::NotSent(error) => return Err(not_sent_error(issued.key, error)),
                End::Answer(answer)
                    if may_change_key && self.should_repeat(&submission, &answer, options, started) =>
                {
                    Ok(answer)
                }
                End::Answer(answer) => return Ok(answer),
                End::Failed(error) => return Err(error),
            };
            match backoff.next() {
                Some(pause) if Instant::now() + pause < deadline => sleep(pause).await,
                _ => return result,
            }
        }
    }

    /// Takes a key for a later submission, so that the caller can store it before it submits.
    ///
    /// # Errors
    ///
    /// Fails when no entry issues keys before the deadline.
    pub async fn take_key(&self) -> Result<String, ClientError> {
        let deadline = self.deadline(self.inner.settings.options.deadline);
        Ok(self.next_key(deadline, &mut self.backoff()).await?.key)
    }

    pub(crate) fn backoff(&self) -> Backoff {
        let Settings { max_attempts, backoff_base, backoff_max, .. } = self.inner.settings;
        Backoff::new(
            backoff_base,
            backoff_max,
            max_attempts,
            self.inner.call_count.fetch_add(1, Ordering::Relaxed),
        )
    }

    pub(crate) fn deadline(&self, time: Duration) -> Instant {
        Instant::now() + time.min(MAX_DEADLINE)
    }

    /// Entry to ask first if the owner of the key is not known.
    pub(crate) fn first_entry(&self) -> SocketAddr {
        let entries = &self.inner.settings.entries;
        let call_count = self.inner.call_count.load(Ordering::Relaxed);
        entries[usize::try_from(call_count).unwrap_or_default() % entries.len()]
    }

    /// Entry to ask for the next keys. The entries take turns, because the one that issues a key owns the submission.
    pub(crate) fn next_key_entry(&self) -> SocketAddr {
        let entries = &self.inner.settings.entries;
        let requests = self.inner.key_request_count.fetch_add(1, Ordering::Relaxed);
        entries[usize::try_from(requests % entries.len() as u64).unwrap_or_default()]
    }

    /// Entry to ask after `entry` failed.
    pub(crate) fn entry_after(&self, entry: SocketAddr) -> SocketAddr {
        let entries = &self.inner.settings.entries;
        let position = entries.iter().position(|known| *known == entry).unwrap_or_default();
        entries[(position + 1) % entries.len()]
    }

    async fn key_for(
        &self,
        submission: &Submission,
        deadline: Instant,
        backoff: &mut Backoff,
    ) -> Result<IssuedKey, ClientError> {
        match &submission.key {
            Some(key) => {
                key.parse::<SubmissionKey>()?;
                Ok(IssuedKey::from_caller(key.clone(), self.first_entry()))
            }
            None => self.next_key(deadline, backoff).await,
        }
    }

    /// Completes the submission for sending. The owner compares bodies, so the result must not differ between attempts
    /// with one key, nor between processes that submit with the same key.
    fn prepare(&self, submission: &Submission, key: &str, elapsed: Duration) -> Submission {
        let mut request = submission.clone();
        request.key = Some(key.to_owned());
        request.wait_ms = Some(request.wait_ms.unwrap_or_else(|| millis(self.inner.settings.poll_wait)));
        if submission.key.is_none() {
            // The deadline for starts counts from the first submission, also in repetitions.
            request.deadline_ms = request.deadline_ms.map(|limit| limit.saturating_sub(millis(elapsed)));
        }
        request
    }

    fn should_repeat(
        &self,
        submission: &Submission,
        answer: &Answer,
        options: &SubmitOptions,
        started: Instant,
    ) -> bool {
        let elapsed = millis(started.elapsed());
        may_repeat_with_new_key(answer, submission.idempotent, options)
            && submission.deadline_ms.is_none_or(|limit| elapsed < limit)
    }
}

fn not_sent_error(key: String, last_error: String) -> ClientError {
    ClientError::Unreachable { key: Some(key), last_error, outcome: hinge_wire::Outcome::FailedNotRun }
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
