//! A naive ledger without records of finished submissions, which starts tasks again on resubmission.

mod support;

use std::sync::Arc;

use hinge_ledger::{Admission, Completion, Ledger, TaskEnd};
use hinge_wire::{Answer, FastMap, ResultCode, Submission, SubmissionKey, SubmissionStatus, TaskId};
use support::Op;
use tokio::time::Instant;

/// A submission in progress and the results of its started tasks.
type Running = (Arc<Submission>, FastMap<u32, Option<String>>);

#[derive(Default)]
struct Naive {
    running: FastMap<u64, Running>,
}

impl Naive {
    fn finish(&mut self, sequence: u64, code: ResultCode) -> Option<Completion> {
        let (submission, mut tasks) = self.running.remove(&sequence)?;
        let complete = code == ResultCode::Complete;
        let results = (0..submission.tasks.len() as u32).filter_map(|index| tasks.remove(&index).flatten());
        let answer = Answer {
            code: code.number(),
            key: support::key(sequence).to_string(),
            message: String::new(),
            outcome: code.outcome(),
            queued_ms: 0,
            results: if complete { results.collect() } else { Vec::new() },
            total_ms: 0,
        };
        Some(Completion { answer, unfinished: Vec::new(), sequence, submission })
    }
}

impl support::Subject for Naive {
    fn issue(&mut self, _now: Instant, count: u32) -> Vec<SubmissionKey> {
        (1..=u64::from(count)).map(support::key).collect()
    }

    fn admit(&mut self, _now: Instant, key: &SubmissionKey, body: Arc<Submission>) -> Admission {
        if self.running.contains_key(&key.sequence) {
            return Admission::Known(key.sequence);
        }
        self.running.insert(key.sequence, (body, FastMap::default()));
        Admission::New(key.sequence)
    }

    fn reject(&mut self, _now: Instant, sequence: u64, code: ResultCode) -> Option<Completion> {
        let idle = self.running.get(&sequence)?.1.is_empty();
        if idle { self.finish(sequence, code) } else { None }
    }

    fn start(&mut self, _now: Instant, task: TaskId, _retryable: bool) -> bool {
        let Some((body, tasks)) = self.running.get_mut(&task.sequence) else { return false };
        let fresh = (task.index as usize) < body.tasks.len() && !tasks.contains_key(&task.index);
        if fresh {
            tasks.insert(task.index, None);
        }
        fresh
    }

    fn withdraw_start(&mut self, task: TaskId) {
        self.running.get_mut(&task.sequence).and_then(|(_, tasks)| tasks.remove(&task.index));
    }

    fn end(&mut self, _now: Instant, task: TaskId, end: TaskEnd) -> Option<Completion> {
        let (body, tasks) = self.running.get_mut(&task.sequence)?;
        let slot = tasks.get_mut(&task.index)?;
        let TaskEnd::Done(result) = end else { return self.finish(task.sequence, ResultCode::TaskLost) };
        *slot = Some(result);
        let complete = tasks.values().flatten().count() == body.tasks.len();
        if complete { self.finish(task.sequence, ResultCode::Complete) } else { None }
    }

    fn cancel(&mut self, _now: Instant, sequence: u64) -> Option<Completion> {
        let idle = self.running.get(&sequence)?.1.is_empty();
        let code = if idle { ResultCode::CancelledNotRun } else { ResultCode::CancelledMayHaveRun };
        self.finish(sequence, code)
    }

    fn status(&self, _now: Instant, _key: &SubmissionKey) -> Result<SubmissionStatus, ResultCode> {
        Err(ResultCode::KeyExpired)
    }

    fn expire(&mut self, _now: Instant) {}
}

/// Guards against a property test too weak to detect missing records: the naive ledger must violate it.
#[test]
fn naive_version_starts_a_task_twice() {
    let violation = support::explore(2000, Naive::default).unwrap_err();
    println!("{violation}");
    assert!(violation.contains("started"), "{violation}");

    let (key, index) = (2, 0);
    let (submit, start) = (Op::Submit { key, other: false }, Op::Start { key, index, retryable: false });
    let again = [submit.clone(), start.clone(), Op::End { key, index, end: 0 }, submit, start];
    assert_eq!(support::replay(Naive::default(), &again), Err("a task started twice".into()));
    let ledger = Ledger::new(support::origin(), &support::small_policy());
    assert_eq!(support::replay(ledger, &again), Ok(()));
}
