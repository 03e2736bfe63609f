//! The client and its submissions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hinge_wire::{Answer, CancelReply, CancelRequest, Submission, SubmissionKey, SubmissionStatus, to_json};
use http::Method;
use tokio::time::{Instant, sleep, timeout_at};

use crate::backoff::Backoff;
use crate::builder::{ClientBuilder, SubmitOptions};
use crate::error::ClientError;
use crate::exchange::{End, Exchange};
use crate::keys::{IssuedKey, KeyPool};
use crate::rules::may_repeat;
use crate::transport::{HttpTransport, Transport};

/// Longest deadline; larger ones are lowered to it, which keeps time sums in range.
const MAX_DEADLINE: Duration = Duration::from_secs(7 * 86_400);

/// Settings collected by [`ClientBuilder`].
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
    /// Calls so far; varies the first entry and the jitter.
    calls: AtomicU64,
    /// Requests for keys so far; names the entry to ask. Counted apart from the calls, because a batch as large as a
    /// multiple of the number of entries would have every request for keys ask the same entry.
    key_requests: AtomicU64,
    pub(crate) pool: KeyPool,
    /// Held while keys are fetched, so that waiting submissions share one request.
    pub(crate) refill: tokio::sync::Mutex<()>,
    pub(crate) settings: Settings,
    pub(crate) transport: T,
}

/// Submits to the entry instances; clones share connections and keys.
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
    /// Starts with the default settings.
    #[must_use]
    pub fn builder() -> ClientBuilder {
        ClientBuilder::default()
    }
}

impl<T: Transport> Client<T> {
    pub(crate) fn new(settings: Settings, transport: T) -> Self {
        let inner = Inner {
            calls: AtomicU64::new(settings.seed),
            key_requests: AtomicU64::new(settings.seed),
            pool: KeyPool::default(),
            refill: tokio::sync::Mutex::new(()),
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
        self.ask(Method::DELETE, &format!("/v1/submissions/{key}"), Bytes::new(), |_| true).await
    }

    /// Cancels many submissions with one call.
    ///
    /// # Errors
    ///
    /// Fails when an entry rejects the call or none can be reached before the deadline.
    pub async fn cancel_all(&self, keys: Vec<String>) -> Result<CancelReply, ClientError> {
        let body = to_json(&CancelRequest { keys })?;
        self.ask(Method::POST, "/v1/cancellations", body.into(), |_| true).await
    }

    /// Fetches keys ahead of use; a submission fetches them itself when there are none.
    ///
    /// # Errors
    ///
    /// Fails when no entry issues keys before the deadline.
    pub async fn prefetch_keys(&self) -> Result<(), ClientError> {
        let deadline = self.deadline(self.inner.settings.options.deadline);
        let mut backoff = self.backoff();
        self.refill_pool(deadline, &mut backoff).await
    }

    /// Asks for the progress of a submission, or for its answer.
    ///
    /// # Errors
    ///
    /// Fails when the key is malformed, an entry rejects the call or none can be reached before the deadline.
    pub async fn status(&self, key: &str) -> Result<SubmissionStatus, ClientError> {
        key.parse::<SubmissionKey>()?;
        let path = format!("/v1/submissions/{key}?wait_ms=0");
        self.ask(Method::GET, &path, Bytes::new(), |status: &SubmissionStatus| status.key == key).await
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
    /// A submission with a key keeps it: it is not repeated with another one, whatever the options.
    ///
    /// # Errors
    ///
    /// Fails when the submission cannot be sent as it is, or when no final answer comes before the deadline;
    /// [`ClientError::outcome`] tells what may be concluded.
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
            let again = submission.key.is_none();
            let last = match ended.unwrap_or_else(|_| exchange.unfinished("the deadline has passed")) {
                End::NotSent(error) if again => {
                    self.inner.pool.forget(issued.entry);
                    Err(not_sent_error(issued.key, error))
                }
                End::NotSent(error) => return Err(not_sent_error(issued.key, error)),
                End::Answer(answer) if again && self.repeats(&submission, &answer, options, started) => {
                    Ok(answer)
                }
                End::Answer(answer) => return Ok(answer),
                End::Failed(error) => return Err(error),
            };
            match backoff.next() {
                Some(pause) if Instant::now() + pause < deadline => sleep(pause).await,
                _ => return last,
            }
        }
    }

    /// Takes a key for a later submission, for example to write it down before the submission is made.
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
            self.inner.calls.fetch_add(1, Ordering::Relaxed),
        )
    }

    pub(crate) fn deadline(&self, time: Duration) -> Instant {
        Instant::now() + time.min(MAX_DEADLINE)
    }

    /// Entry to ask first when the owner is not known.
    pub(crate) fn first_entry(&self) -> SocketAddr {
        let entries = &self.inner.settings.entries;
        let calls = self.inner.calls.load(Ordering::Relaxed);
        entries[usize::try_from(calls).unwrap_or_default() % entries.len()]
    }

    /// Entry to ask for the next keys, each in turn, because the entry that issues a key owns the submission.
    pub(crate) fn next_key_entry(&self) -> SocketAddr {
        let entries = &self.inner.settings.entries;
        let requests = self.inner.key_requests.fetch_add(1, Ordering::Relaxed);
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
                Ok(IssuedKey::given(key.clone(), self.first_entry()))
            }
            None => self.next_key(deadline, backoff).await,
        }
    }

    /// The submission as sent: the owner compares bodies, so it must not differ between attempts with one key, nor
    /// between processes that submit with the same key.
    fn prepare(&self, submission: &Submission, key: &str, elapsed: Duration) -> Submission {
        let mut request = submission.clone();
        request.key = Some(key.to_owned());
        request.wait_ms = Some(request.wait_ms.unwrap_or_else(|| millis(self.inner.settings.poll_wait)));
        if submission.key.is_none() {
            // The caller's limit on starts counts from the first submission, not from a repetition.
            request.deadline_ms = request.deadline_ms.map(|limit| limit.saturating_sub(millis(elapsed)));
        }
        request
    }

    fn repeats(
        &self,
        submission: &Submission,
        answer: &Answer,
        options: &SubmitOptions,
        started: Instant,
    ) -> bool {
        let elapsed = millis(started.elapsed());
        may_repeat(answer, submission.idempotent, options)
            && submission.deadline_ms.is_none_or(|limit| elapsed < limit)
    }
}

fn not_sent_error(key: String, last_error: String) -> ClientError {
    ClientError::Unreachable { key: Some(key), last_error, outcome: hinge_wire::Outcome::FailedNotRun }
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
