//! Digests of submissions, to detect a key that is reused for another one.

use std::hash::{BuildHasher, Hash, Hasher, RandomState};

use hinge_wire::Submission;

/// Computes digests with a random secret per ledger, so that callers cannot construct colliding submissions.
pub(crate) struct Digester(RandomState);

impl Digester {
    pub(crate) fn new() -> Self {
        Self(RandomState::new())
    }

    /// Covers the fields that determine execution: team, service, class, flags and tasks. The deadline and the wait
    /// time are excluded, because a resubmission usually has less time left.
    pub(crate) fn digest(&self, submission: &Submission) -> u64 {
        let Submission { class, definite, idempotent, service, tasks, team, .. } = submission;
        let mut hasher = self.0.build_hasher();
        (team, service, class, definite, idempotent, tasks.len()).hash(&mut hasher);
        for task in tasks {
            (task.memory_mb, &task.payload, task.run_time_ms).hash(&mut hasher);
        }
        hasher.finish()
    }
}
