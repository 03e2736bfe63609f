//! The simulated entries: the real dispatcher, or a naive implementation.

use std::collections::VecDeque;
use std::sync::Arc;

use hinge_conf::Policy;
use hinge_dispatch::{Action, Dispatcher, Event, Origin, Start, TaskResult};
use hinge_wire::{
    Answer, FastMap, LoanReply, LoanRequest, Outcome, ResultCode, Sequence, Submission, SubmissionKey,
    TaskId, UpstreamId,
};
use tokio::time::Instant;

/// Dispatcher of one entry.
pub(crate) trait Node {
    fn new(origin: Origin, policy: &Policy, seed: u64) -> Self;
    /// Index of the entry that handles a key, given which entries are live.
    fn owner(key: &SubmissionKey, live: &[bool]) -> usize;
    fn issue(&mut self, now: Instant) -> SubmissionKey;
    fn submit(&mut self, now: Instant, key: &SubmissionKey, body: Arc<Submission>) -> Result<(), ResultCode>;
    fn cancel(&mut self, now: Instant, key: &SubmissionKey);
    fn handle(&mut self, now: Instant, event: Event);
    fn lend(&mut self, now: Instant, request: &LoanRequest) -> LoanReply;
    fn free_slots(&self) -> u32;
    fn submission(&self, sequence: Sequence) -> Option<Arc<Submission>>;
    fn stored_answer(&self, now: Instant, key: &SubmissionKey) -> Option<Answer>;
    fn actions(&mut self) -> Vec<Action>;
}

impl Node for Dispatcher {
    fn new(origin: Origin, policy: &Policy, seed: u64) -> Self {
        Self::new(origin, policy, seed)
    }

    fn owner(key: &SubmissionKey, _live: &[bool]) -> usize {
        key.instance.trim_start_matches("entry-").parse().unwrap()
    }

    fn issue(&mut self, now: Instant) -> SubmissionKey {
        self.issue_keys(now, 1).unwrap().remove(0)
    }

    fn submit(&mut self, now: Instant, key: &SubmissionKey, body: Arc<Submission>) -> Result<(), ResultCode> {
        Self::submit(self, now, key, body).map(|_| ())
    }

    fn cancel(&mut self, now: Instant, key: &SubmissionKey) {
        // Other incarnations use the same sequence numbers, so that the daemon checks the whole key as `status` does.
        if self.status(now, key).is_ok() {
            Self::cancel(self, now, key.sequence);
        }
    }

    fn handle(&mut self, now: Instant, event: Event) {
        Self::handle(self, now, event);
    }

    fn lend(&mut self, now: Instant, request: &LoanRequest) -> LoanReply {
        Self::lend(self, now, request)
    }

    fn free_slots(&self) -> u32 {
        Self::free_slots(self)
    }

    fn submission(&self, sequence: Sequence) -> Option<Arc<Submission>> {
        Self::submission(self, sequence).cloned()
    }

    fn stored_answer(&self, now: Instant, key: &SubmissionKey) -> Option<Answer> {
        self.status(now, key).ok().and_then(|status| status.answer)
    }

    fn actions(&mut self) -> Vec<Action> {
        self.drain_actions().collect()
    }
}

/// A naive dispatcher: it picks the owner of a key by a hash over the live entries, uses a FIFO queue, retries starts
/// whose response was lost, and keeps no records of finished submissions.
pub(crate) struct Naive {
    actions: Vec<Action>,
    draining: bool,
    next_start: u64,
    submissions: FastMap<Sequence, NaiveSubmission>,
    origin: Origin,
    queue: VecDeque<TaskId>,
    running: FastMap<u64, TaskId>,
    next_key: u64,
    timeout: std::time::Duration,
    upstreams: Vec<UpstreamId>,
}

struct NaiveSubmission {
    body: Arc<Submission>,
    key: SubmissionKey,
    results: Vec<Option<String>>,
}

impl Naive {
    fn start_queued(&mut self) {
        while !self.upstreams.is_empty()
            && let Some(task) = self.queue.pop_front()
        {
            let start = self.next_start;
            self.next_start += 1;
            let upstream = self.upstreams[start as usize % self.upstreams.len()].clone();
            self.running.insert(start, task);
            let timeout = self.timeout;
            self.actions.push(Action::Start(Start {
                service: "deicing".into(),
                start,
                task,
                timeout,
                upstream,
            }));
        }
    }

    fn answer(&mut self, sequence: Sequence, code: ResultCode) {
        let Some(job) = self.submissions.remove(&sequence) else { return };
        let answer = Answer {
            code: code.number(),
            key: job.key.to_string(),
            message: String::new(),
            outcome: code.outcome(),
            queued_ms: 0,
            results: job.results.into_iter().flatten().collect(),
            total_ms: 0,
        };
        let (class, team) = (job.body.class, job.body.team.as_str().into());
        self.actions.push(Action::Answer { answer, class, definite: false, sequence, team });
    }

    fn ended(&mut self, start: u64, result: TaskResult) {
        let Some(task) = self.running.remove(&start) else { return };
        match result {
            TaskResult::Done(text) => {
                let Some(job) = self.submissions.get_mut(&task.sequence) else { return };
                job.results[task.index as usize] = Some(text);
                if job.results.iter().all(Option::is_some) {
                    self.answer(task.sequence, ResultCode::Complete);
                }
            }
            TaskResult::Failed(_) => self.answer(task.sequence, ResultCode::TaskFailed),
            _ => self.queue.push_back(task),
        }
    }
}

impl Node for Naive {
    fn new(origin: Origin, policy: &Policy, _seed: u64) -> Self {
        Self {
            actions: Vec::new(),
            draining: false,
            next_start: 1,
            submissions: FastMap::default(),
            origin,
            queue: VecDeque::new(),
            running: FastMap::default(),
            next_key: 1,
            timeout: std::time::Duration::from_millis(policy.task_timeout_ms),
            upstreams: Vec::new(),
        }
    }

    fn owner(key: &SubmissionKey, live: &[bool]) -> usize {
        let live: Vec<usize> = (0..live.len()).filter(|index| live[*index]).collect();
        let hash = key.sequence.wrapping_mul(31).wrapping_add(key.incarnation);
        if live.is_empty() { 0 } else { live[hash as usize % live.len()] }
    }

    fn issue(&mut self, _now: Instant) -> SubmissionKey {
        self.next_key += 1;
        let Origin { data_centre, incarnation, instance } = self.origin.clone();
        // Unique over all entries, because any entry may handle any key.
        let sequence = incarnation * 1_000_000 + self.next_key;
        SubmissionKey { data_centre, incarnation, instance, sequence }
    }

    fn submit(&mut self, _: Instant, key: &SubmissionKey, body: Arc<Submission>) -> Result<(), ResultCode> {
        if self.draining {
            return Err(ResultCode::Draining);
        }
        let sequence = key.sequence;
        if !self.submissions.contains_key(&sequence) {
            let results = vec![None; body.tasks.len()];
            self.queue.extend((0..results.len()).map(|index| TaskId { sequence, index: index as u32 }));
            self.submissions.insert(sequence, NaiveSubmission { body, key: key.clone(), results });
            self.start_queued();
        }
        Ok(())
    }

    fn cancel(&mut self, _: Instant, key: &SubmissionKey) {
        self.answer(key.sequence, ResultCode::CancelledNotRun);
    }

    fn handle(&mut self, _: Instant, event: Event) {
        match event {
            Event::Drain => {
                self.draining = true;
                self.actions.push(Action::Drained);
            }
            Event::TaskEnded { result, start, .. } => self.ended(start, result),
            Event::Upstreams(list) => {
                self.upstreams = list.iter().map(|entry| entry.id.as_str().into()).collect()
            }
            _ => {}
        }
        self.start_queued();
    }

    fn lend(&mut self, _: Instant, _: &LoanRequest) -> LoanReply {
        LoanReply { duration_ms: 0, loan: 0, slots: Vec::new() }
    }

    fn free_slots(&self) -> u32 {
        0
    }

    fn submission(&self, sequence: Sequence) -> Option<Arc<Submission>> {
        self.submissions.get(&sequence).map(|job| job.body.clone())
    }

    fn stored_answer(&self, _: Instant, _: &SubmissionKey) -> Option<Answer> {
        None
    }

    fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

/// Whether an outcome guarantees that no task ran.
pub(crate) fn is_not_run(outcome: Outcome) -> bool {
    outcome == Outcome::FailedNotRun
}
