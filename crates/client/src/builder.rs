//! Settings of a client.

use std::net::SocketAddr;
use std::time::Duration;

use crate::client::{Client, Settings};
use crate::error::BuildError;
use crate::transport::{HttpTransport, Transport};

/// Most keys that an entry issues per request.
const MAX_KEY_BATCH: u32 = 1000;

/// What the client may do for one submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SubmitOptions {
    /// Time for the whole call.
    pub deadline: Duration,
    /// Repeat a final "failed, may have run" with a new key; applies to idempotent submissions only.
    pub repeat_may_have_run: bool,
    /// Repeat a final "failed, not run" with a new key when its cause can pass.
    pub repeat_not_run: bool,
}

impl Default for SubmitOptions {
    fn default() -> Self {
        Self { deadline: Duration::from_secs(60), repeat_may_have_run: false, repeat_not_run: false }
    }
}

/// Collects the settings of a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientBuilder {
    settings: Settings,
}

impl Default for ClientBuilder {
    fn default() -> Self {
        let settings = Settings {
            max_attempts: None,
            backoff_base: Duration::from_millis(10),
            backoff_max: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(500),
            entries: Vec::new(),
            key_batch: 64,
            max_response_bytes: 64 << 20,
            options: SubmitOptions::default(),
            poll_wait: Duration::from_secs(2),
            response_timeout: Duration::from_secs(1),
            seed: rand::random(),
        };
        Self { settings }
    }
}

impl ClientBuilder {
    /// Limits consecutive attempts of a call that reach no owner; without it only the deadline limits them.
    #[must_use]
    pub const fn max_attempts(mut self, max_attempts: u32) -> Self {
        self.settings.max_attempts = Some(max_attempts);
        self
    }

    /// First and longest pause between attempts; pauses double in between.
    #[must_use]
    pub const fn backoff(mut self, base: Duration, max: Duration) -> Self {
        self.settings.backoff_base = base;
        self.settings.backoff_max = max;
        self
    }

    /// Time for a connection to be set up.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.settings.connect_timeout = timeout;
        self
    }

    /// Adds an entry instance.
    #[must_use]
    pub fn entry(mut self, address: SocketAddr) -> Self {
        self.settings.entries.push(address);
        self
    }

    /// Keys fetched per request, 1 to 1000.
    #[must_use]
    pub const fn key_batch(mut self, keys: u32) -> Self {
        self.settings.key_batch = keys;
        self
    }

    /// Largest accepted response body.
    #[must_use]
    pub const fn max_response_bytes(mut self, bytes: usize) -> Self {
        self.settings.max_response_bytes = bytes;
        self
    }

    /// Options of [`Client::submit`]; the deadline applies to all calls.
    #[must_use]
    pub const fn options(mut self, options: SubmitOptions) -> Self {
        self.settings.options = options;
        self
    }

    /// How long an entry holds a response open for the answer, unless the submission states it.
    #[must_use]
    pub const fn poll_wait(mut self, wait: Duration) -> Self {
        self.settings.poll_wait = wait;
        self
    }

    /// Time for a response in addition to the time that the entry may hold it open.
    #[must_use]
    pub const fn response_timeout(mut self, timeout: Duration) -> Self {
        self.settings.response_timeout = timeout;
        self
    }

    /// Seed of the jitter and of the first entry; random by default.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.settings.seed = seed;
        self
    }

    /// Builds a client that speaks HTTP/1.1.
    ///
    /// # Errors
    ///
    /// Fails when no entry was given or a setting is out of range.
    pub fn build(self) -> Result<Client, BuildError> {
        let transport = HttpTransport::new(self.settings.connect_timeout, self.settings.max_response_bytes);
        self.build_with(transport)
    }

    /// Builds a client over another transport.
    ///
    /// # Errors
    ///
    /// Fails when no entry was given or a setting is out of range.
    pub fn build_with<T: Transport>(self, transport: T) -> Result<Client<T>, BuildError> {
        if self.settings.entries.is_empty() {
            return Err(BuildError::NoEntry);
        }
        if !(1..=MAX_KEY_BATCH).contains(&self.settings.key_batch) {
            return Err(BuildError::InvalidKeyBatch);
        }
        Ok(Client::new(self.settings, transport))
    }
}
