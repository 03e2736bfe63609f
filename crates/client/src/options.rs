//! Limits of one submission.

use std::time::Duration;

/// Limits of one submission: its deadline, and the failures after which it is repeated with a new key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SubmitOptions {
    /// Time for the whole call, including all attempts; at most 7 days, larger values are lowered.
    pub deadline: Duration,
    /// Repeat the submission with a new key after a final "failed, may have run" whose cause can pass; applies to
    /// idempotent submissions only.
    pub repeat_may_have_run: bool,
    /// Repeat the submission with a new key after a final "failed, not run" whose cause can pass.
    pub repeat_not_run: bool,
}

impl Default for SubmitOptions {
    fn default() -> Self {
        Self { deadline: Duration::from_secs(60), repeat_may_have_run: false, repeat_not_run: false }
    }
}
