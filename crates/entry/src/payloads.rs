//! What the submissions in progress occupy.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use hinge_budget::Held;
use hinge_wire::{FastMap, Sequence, Submission, TaskSpec};

use crate::lock::lock;

/// Bytes that a task occupies in a decoded submission and in the queues, besides its payload.
const TASK_BYTES: usize = size_of::<TaskSpec>() + 256;

/// Bytes that a decoded submission occupies.
pub(crate) fn submission_bytes(submission: &Submission) -> usize {
    let payloads: usize = submission.tasks.iter().map(|task| task.payload.len()).sum();
    payloads + submission.tasks.len() * TASK_BYTES
}

/// What counts one submission in progress.
struct Entry {
    results: Option<Held>,
    submission: Arc<Held>,
}

/// Counts the submissions in progress and their results, whether their callers still wait or have left.
#[derive(Default)]
pub(crate) struct Payloads(Mutex<FastMap<Sequence, Entry>>);

impl Payloads {
    /// Counts a submission that has been admitted. Only the first count of a submission is kept; that of a resubmission ends.
    pub(crate) fn insert(&self, sequence: Sequence, held: Held) {
        lock(&self.0).entry(sequence).or_insert_with(|| Entry { results: None, submission: Arc::new(held) });
    }

    /// Counts a result of a submission in progress.
    pub(crate) fn add_result(&self, sequence: Sequence, held: Held) {
        let mut entries = lock(&self.0);
        let Some(entry) = entries.get_mut(&sequence) else { return };
        match &mut entry.results {
            Some(results) => results.merge(held),
            None => entry.results = Some(held),
        }
    }

    /// Ends the count of a submission that has ended and of its results; that of its payloads ends with the last of its
    /// starts.
    pub(crate) fn remove(&self, sequence: Sequence) {
        // Dropped after the lock.
        let entry = lock(&self.0).remove(&sequence);
        drop(entry);
    }

    /// The count of a submission in progress.
    pub(crate) fn get(&self, sequence: Sequence) -> Option<Arc<Held>> {
        lock(&self.0).get(&sequence).map(|entry| entry.submission.clone())
    }
}

/// The payload of one task as the body of a request; it is not copied.
pub(crate) struct TaskPayload {
    _held: Option<Arc<Held>>,
    index: usize,
    submission: Arc<Submission>,
}

impl TaskPayload {
    /// None if the submission has no such task.
    pub(crate) fn body(submission: Arc<Submission>, index: usize, held: Option<Arc<Held>>) -> Option<Bytes> {
        submission.tasks.get(index)?;
        Some(Bytes::from_owner(Self { _held: held, index, submission }))
    }
}

impl AsRef<[u8]> for TaskPayload {
    fn as_ref(&self) -> &[u8] {
        self.submission.tasks.get(self.index).map_or(&[], |task| task.payload.as_bytes())
    }
}
