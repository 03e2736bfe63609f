//! Random interleavings of ledger calls, checked against the starts that were permitted.
#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]
#![allow(clippy::panic, clippy::unwrap_used, reason = "test support")]

use std::sync::Arc;
use std::time::Duration;

use hinge_conf::Policy;
use hinge_ledger::{Admission, Completion, Ledger, Origin, TaskEnd};
use hinge_wire::{
    Answer, Class, FastMap, Outcome, ResultCode, Submission, SubmissionKey, SubmissionStatus, TaskId,
    TaskSpec,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use tokio::time::Instant;

pub const KEYS: usize = 8;

/// The part of the ledger's interface that the property test uses, so that the naive ledger runs the same schedules.
pub trait Subject {
    fn issue(&mut self, now: Instant, count: u32) -> Vec<SubmissionKey>;
    fn admit(&mut self, now: Instant, key: &SubmissionKey, body: Arc<Submission>) -> Admission;
    fn reject(&mut self, now: Instant, sequence: u64, code: ResultCode) -> Option<Completion>;
    fn start(&mut self, now: Instant, task: TaskId, retryable: bool) -> bool;
    fn withdraw_start(&mut self, task: TaskId);
    fn end(&mut self, now: Instant, task: TaskId, end: TaskEnd) -> Option<Completion>;
    fn cancel(&mut self, now: Instant, sequence: u64) -> Option<Completion>;
    fn status(&self, now: Instant, key: &SubmissionKey) -> Result<SubmissionStatus, ResultCode>;
    fn expire(&mut self, now: Instant);
    /// Checks limits that must hold after every call.
    fn check_bounds(&self, _policy: &Policy) -> Result<(), String> {
        Ok(())
    }
}

#[rustfmt::skip]
impl Subject for Ledger {
    fn issue(&mut self, now: Instant, count: u32) -> Vec<SubmissionKey> { self.issue(now, count).unwrap() }
    fn admit(&mut self, now: Instant, key: &SubmissionKey, body: Arc<Submission>) -> Admission { self.admit(now, key, body) }
    fn reject(&mut self, now: Instant, sequence: u64, code: ResultCode) -> Option<Completion> { self.reject(now, sequence, code) }
    fn start(&mut self, now: Instant, task: TaskId, retryable: bool) -> bool { self.start(now, task, retryable) }
    fn withdraw_start(&mut self, task: TaskId) { self.withdraw_start(task); }
    fn end(&mut self, now: Instant, task: TaskId, end: TaskEnd) -> Option<Completion> { self.end(now, task, end) }
    fn cancel(&mut self, now: Instant, sequence: u64) -> Option<Completion> { self.cancel(now, sequence) }
    fn status(&self, now: Instant, key: &SubmissionKey) -> Result<SubmissionStatus, ResultCode> { self.status(now, key) }
    fn expire(&mut self, now: Instant) { self.expire(now); }
    fn check_bounds(&self, policy: &Policy) -> Result<(), String> {
        check(self.answer_bytes() <= policy.answer_memory_bytes, "answers exceed their memory")?;
        check(self.records() as u64 <= policy.max_records, "more records than allowed")?;
        check(self.in_progress() <= self.records(), "more submissions in progress than records")
    }
}

#[derive(Clone, Debug)]
pub enum Op {
    Submit { key: usize, other: bool },
    Start { key: usize, index: u32, retryable: bool },
    Refuse { key: usize, index: u32 },
    End { key: usize, index: u32, end: u8 },
    Cancel { key: usize },
    Reject { key: usize },
    Status { key: usize },
    Advance { ms: u64 },
    Expire,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let (key, index) = (0..KEYS, 0..4u32);
    let op = prop_oneof![
        6 => (key.clone(), prop::bool::weighted(0.1)).prop_map(|(key, other)| Op::Submit { key, other }),
        8 => (key.clone(), index.clone(), any::<bool>())
            .prop_map(|(key, index, retryable)| Op::Start { key, index, retryable }),
        1 => (key.clone(), index.clone()).prop_map(|(key, index)| Op::Refuse { key, index }),
        8 => (key.clone(), index, prop_oneof![8 => Just(0u8), 1 => 1..6u8])
            .prop_map(|(key, index, end)| Op::End { key, index, end }),
        1 => key.clone().prop_map(|key| Op::Cancel { key }),
        1 => key.clone().prop_map(|key| Op::Reject { key }),
        3 => key.prop_map(|key| Op::Status { key }),
        2 => (1..400u64).prop_map(|ms| Op::Advance { ms }),
        1 => Just(Op::Expire),
    ];
    vec(op, 1..120)
}

pub fn check(holds: bool, what: &str) -> Result<(), String> {
    if holds { Ok(()) } else { Err(what.to_owned()) }
}

/// Key `k` has one idempotent task, three tasks, or one task, by `k` modulo 3.
pub fn body(key: usize, other: bool) -> Arc<Submission> {
    let count = if key % 3 == 1 { 3 } else { 1 };
    let payload = |index| format!("{key}/{index}{}", if other { " changed" } else { "" });
    let task = |index| TaskSpec { memory_mb: None, payload: payload(index), run_time_ms: None };
    Arc::new(Submission {
        class: Class::Query,
        deadline_ms: None,
        definite: false,
        idempotent: key.is_multiple_of(3),
        key: None,
        service: "s".into(),
        tasks: (0..count).map(task).collect(),
        team: "t".into(),
        wait_ms: None,
    })
}

pub fn small_policy() -> Policy {
    Policy {
        answer_memory_bytes: 120,
        answer_retention_ms: 500,
        key_validity_ms: 1000,
        max_records: 6,
        ..Policy::default()
    }
}

pub fn origin() -> Origin {
    Origin { data_centre: "dc1".into(), incarnation: 7, instance: "entry-1".into() }
}

/// Starts and answers observed for one key.
#[derive(Default)]
struct Observed {
    completions: u32,
    not_run: bool,
    outcome: Option<Outcome>,
    /// Number of starts that were not refused, by task.
    starts: FastMap<u32, u32>,
}

pub struct Harness<S> {
    keys: Vec<SubmissionKey>,
    now: Instant,
    policy: Policy,
    observed: Vec<Observed>,
    subject: S,
}

impl<S: Subject> Harness<S> {
    pub fn new(mut subject: S) -> Self {
        let now = Instant::now();
        let keys = subject.issue(now, KEYS as u32);
        let observed = (0..KEYS).map(|_| Observed::default()).collect();
        Self { keys, now, policy: small_policy(), observed, subject }
    }

    fn task(&self, key: usize, index: u32) -> TaskId {
        TaskId { sequence: self.keys[key].sequence, index }
    }

    pub fn run(&mut self, op: &Op) -> Result<(), String> {
        match *op {
            Op::Submit { key, other } => self.submit(key, other)?,
            Op::Start { key, index, retryable } => self.start(key, index, retryable)?,
            Op::Refuse { key, index } => self.refuse(key, index),
            Op::End { key, index, end } => {
                let completion = self.subject.end(self.now, self.task(key, index), task_end(key, index, end));
                self.completed(key, completion)?;
            }
            Op::Cancel { key } => {
                let completion = self.subject.cancel(self.now, self.keys[key].sequence);
                self.completed(key, completion)?;
            }
            Op::Reject { key } => {
                let code = ResultCode::Overloaded;
                let completion = self.subject.reject(self.now, self.keys[key].sequence, code);
                self.completed(key, completion)?;
            }
            Op::Status { key } => {
                let status = self.subject.status(self.now, &self.keys[key]);
                status
                    .ok()
                    .and_then(|status| status.answer)
                    .map_or(Ok(()), |answer| self.answered(key, &answer))?;
            }
            Op::Advance { ms } => self.now += Duration::from_millis(ms),
            Op::Expire => self.subject.expire(self.now),
        }
        self.subject.check_bounds(&self.policy)
    }

    fn submit(&mut self, key: usize, other: bool) -> Result<(), String> {
        let admission = self.subject.admit(self.now, &self.keys[key], body(key, other));
        match admission {
            Admission::Rejected(ResultCode::KeyReused) => Ok(()),
            Admission::Rejected(code) => self.outcome(key, code.outcome()),
            Admission::New(_) | Admission::Known(_) => Ok(()),
        }
    }

    fn start(&mut self, key: usize, index: u32, retryable: bool) -> Result<(), String> {
        if !self.subject.start(self.now, self.task(key, index), retryable) {
            return Ok(());
        }
        let idempotent = body(key, false).idempotent;
        let observed = &mut self.observed[key];
        let starts = observed.starts.entry(index).or_default();
        *starts += 1;
        check(*starts == 1 || (idempotent && retryable), "a task started twice")?;
        check(!observed.not_run, "a task started after its submission was reported as not run")
    }

    /// An upstream refuses a start; it is withdrawn if the submission is in progress.
    fn refuse(&mut self, key: usize, index: u32) {
        let task = self.task(key, index);
        let observed = &mut self.observed[key];
        if let Some(starts) =
            observed.starts.get_mut(&index).filter(|starts| **starts > 0 && observed.outcome.is_none())
        {
            *starts -= 1;
            self.subject.withdraw_start(task);
        }
    }

    fn completed(&mut self, key: usize, completion: Option<Completion>) -> Result<(), String> {
        let Some(completion) = completion else { return Ok(()) };
        self.observed[key].completions += 1;
        check(self.observed[key].completions == 1, "a submission completed twice")?;
        self.answered(key, &completion.answer)
    }

    fn answered(&mut self, key: usize, answer: &Answer) -> Result<(), String> {
        check(answer.key == self.keys[key].to_string(), "an answer to another key")?;
        if answer.outcome == Outcome::Complete {
            let count = body(key, false).tasks.len() as u32;
            let expected: Vec<_> = (0..count).map(|index| result(key, index)).collect();
            check(answer.results == expected, "a complete answer without all results in order")?;
        } else {
            check(answer.results.is_empty(), "a failed answer with results")?;
        }
        self.outcome(key, answer.outcome)
    }

    fn outcome(&mut self, key: usize, outcome: Outcome) -> Result<(), String> {
        let observed = &mut self.observed[key];
        let started = observed.starts.values().any(|starts| *starts > 0);
        check(!(outcome == Outcome::FailedNotRun && started), "reported as not run after a start")?;
        check(
            !(outcome == Outcome::Complete && observed.outcome.is_some_and(|earlier| earlier != outcome)),
            "a failed submission became complete",
        )?;
        observed.not_run |= outcome == Outcome::FailedNotRun;
        observed.outcome.get_or_insert(outcome);
        Ok(())
    }
}

pub fn result(key: usize, index: u32) -> String {
    format!("result {key}/{index}")
}

fn task_end(key: usize, index: u32, end: u8) -> TaskEnd {
    match end {
        0 | 1 => TaskEnd::Done(result(key, index)),
        2 => TaskEnd::Failed("exit 1".into()),
        3 => TaskEnd::Lost,
        4 => TaskEnd::TimedOut,
        _ => TaskEnd::NotStarted(ResultCode::DeadlineInQueue),
    }
}

/// Runs one schedule.
pub fn replay<S: Subject>(subject: S, ops: &[Op]) -> Result<(), String> {
    let mut harness = Harness::new(subject);
    ops.iter().try_for_each(|op| harness.run(op))
}

/// Runs random schedules with a fixed seed; returns the violation of the minimal failing schedule.
pub fn explore<S: Subject>(cases: u32, subject: impl Fn() -> S) -> Result<(), String> {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let run = |ops: Vec<Op>| replay(subject(), &ops).map_err(TestCaseError::fail);
    match TestRunner::new_with_rng(config, rng).run(&ops(), run) {
        Ok(()) => Ok(()),
        Err(TestError::Fail(reason, ops)) => Err(format!("{} after {ops:?}", reason.message())),
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    }
}

pub fn key(sequence: u64) -> SubmissionKey {
    let Origin { data_centre, incarnation, instance } = origin();
    SubmissionKey { data_centre, incarnation, instance, sequence }
}
