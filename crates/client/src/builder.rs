//! Client builder and submission options.

use std::net::SocketAddr;
use std::time::Duration;

use crate::client::{Client, Settings};
use crate::error::BuildError;
use crate::options::SubmitOptions;
use crate::transport::{HttpTransport, Transport};

/// Largest number of keys that an entry issues per request.
const MAX_KEYS_PER_REQUEST: u32 = 1000;

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
    /// Limits the consecutive failed attempts of a call; unlimited by default, so that only the deadline ends it.
    ///
    /// The count starts anew when the owner of the key has accepted the submission.
    #[must_use]
    pub const fn max_attempts(mut self, max_attempts: u32) -> Self {
        self.settings.max_attempts = Some(max_attempts);
        self
    }

    /// Sets the first and the longest pause between attempts, 10 ms and 1 s by default; the pauses double in between.
    #[must_use]
    pub const fn backoff(mut self, base: Duration, max: Duration) -> Self {
        self.settings.backoff_base = base;
        self.settings.backoff_max = max;
        self
    }

    /// Sets the time limit for setting up a connection, 500 ms by default; used by [`ClientBuilder::build`] only.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.settings.connect_timeout = timeout;
        self
    }

    /// Adds the address of an entry instance; at least one is required.
    #[must_use]
    pub fn entry(mut self, address: SocketAddr) -> Self {
        self.settings.entries.push(address);
        self
    }

    /// Sets the number of keys fetched per request, 1 to 1000; 64 by default.
    #[must_use]
    pub const fn key_batch(mut self, keys: u32) -> Self {
        self.settings.key_batch = keys;
        self
    }

    /// Sets the largest accepted response body, 64 MiB by default; used by [`ClientBuilder::build`] only.
    #[must_use]
    pub const fn max_response_bytes(mut self, bytes: usize) -> Self {
        self.settings.max_response_bytes = bytes;
        self
    }

    /// Sets the options of [`Client::submit`]; their deadline also applies to the calls that take no options.
    #[must_use]
    pub const fn options(mut self, options: SubmitOptions) -> Self {
        self.settings.options = options;
        self
    }

    /// Sets how long an entry may hold a response open until the answer is there, 2 s by default.
    ///
    /// A submission with `wait_ms` set keeps its own value; polls always use this one.
    #[must_use]
    pub const fn poll_wait(mut self, wait: Duration) -> Self {
        self.settings.poll_wait = wait;
        self
    }

    /// Sets the time limit for a response, in addition to the time that the entry may hold it open; 1 s by default.
    #[must_use]
    pub const fn response_timeout(mut self, timeout: Duration) -> Self {
        self.settings.response_timeout = timeout;
        self
    }

    /// Sets the seed of the jitter and of the choice of the first entry; random by default.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.settings.seed = seed;
        self
    }

    /// Builds a client that uses [`HttpTransport`].
    ///
    /// # Errors
    ///
    /// Fails when no entry was given or a setting is out of range.
    pub fn build(self) -> Result<Client, BuildError> {
        let transport = HttpTransport::new(self.settings.connect_timeout, self.settings.max_response_bytes);
        self.build_with(transport)
    }

    /// Builds a client that uses the given transport.
    ///
    /// # Errors
    ///
    /// Fails when no entry was given or a setting is out of range.
    pub fn build_with<T: Transport>(self, transport: T) -> Result<Client<T>, BuildError> {
        if self.settings.entries.is_empty() {
            return Err(BuildError::NoEntry);
        }
        if !(1..=MAX_KEYS_PER_REQUEST).contains(&self.settings.key_batch) {
            return Err(BuildError::InvalidKeyBatch);
        }
        Ok(Client::new(self.settings, transport))
    }
}
