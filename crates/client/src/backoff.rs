//! Jittered exponential backoff with a limit on attempts.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Pauses between the attempts of one call.
#[derive(Debug)]
pub(crate) struct Backoff {
    max_attempts: Option<u32>,
    base: Duration,
    failures: u32,
    max: Duration,
    random: StdRng,
}

impl Backoff {
    pub(crate) fn new(base: Duration, max: Duration, max_attempts: Option<u32>, seed: u64) -> Self {
        Self { max_attempts, base, failures: 0, max, random: StdRng::seed_from_u64(seed) }
    }

    /// Pause before the next attempt; `None` when no attempt is left.
    pub(crate) fn next(&mut self) -> Option<Duration> {
        self.failures = self.failures.saturating_add(1);
        if self.max_attempts.is_some_and(|max| self.failures >= max) {
            return None;
        }
        let doubled = self.base.saturating_mul(1 << (self.failures - 1).min(20)).min(self.max);
        // Half of the pause is random: callers that failed together do not return together, and none returns at once.
        Some(doubled.mul_f64(self.random.random_range(0.5..=1.0)))
    }

    /// The last attempt reached the owner; earlier failures no longer count.
    pub(crate) const fn reset(&mut self) {
        self.failures = 0;
    }
}
