//! Digest of a submission's body.

use std::hash::{BuildHasher, Hash, Hasher, RandomState};

use hinge_wire::Submission;

/// Computes digests with a secret key per ledger, so that callers cannot construct two bodies with the same digest.
pub(crate) struct Digester(RandomState);

impl Digester {
    pub(crate) fn new() -> Self {
        Self(RandomState::new())
    }

    /// Covers what determines execution: team, service, class, flags and tasks. The deadline and the waiting time are
    /// left out, because a resubmission usually has less time left.
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
