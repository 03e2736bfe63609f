//! Exponential backoff with jitter and an optional limit on attempts.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Computes the pauses between the attempts of one call.
#[derive(Debug)]
pub(crate) struct Backoff {
    max_attempts: Option<u32>,
    base: Duration,
    consecutive_failures: u32,
    max: Duration,
    rng: StdRng,
}

impl Backoff {
    pub(crate) fn new(base: Duration, max: Duration, max_attempts: Option<u32>, seed: u64) -> Self {
        Self { max_attempts, base, consecutive_failures: 0, max, rng: StdRng::seed_from_u64(seed) }
    }

    /// Counts a failed attempt and returns the pause before the next one; `None` if no attempt is left.
    pub(crate) fn next(&mut self) -> Option<Duration> {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.max_attempts.is_some_and(|max| self.consecutive_failures >= max) {
            return None;
        }
        let doubled = self.base.saturating_mul(1 << (self.consecutive_failures - 1).min(20)).min(self.max);
        // Half of the pause is random, so that callers that failed together do not retry together; the other half keeps
        // any of them from retrying at once.
        Some(doubled.mul_f64(self.rng.random_range(0.5..=1.0)))
    }

    /// Forgets earlier failures, because an attempt has reached the owner.
    pub(crate) const fn reset(&mut self) {
        self.consecutive_failures = 0;
    }
}
