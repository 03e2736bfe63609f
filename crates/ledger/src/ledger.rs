//! The ledger of one entry instance.

use std::sync::Arc;
use std::time::Duration;

use hinge_conf::Policy;
use hinge_wire::{
    Answer, DataCentreId, FastMap, Incarnation, InstanceId, Outcome, ResultCode, Sequence, Submission,
    SubmissionKey, SubmissionState, SubmissionStatus, TaskId,
};
use tokio::time::Instant;

use crate::answers::Answers;
use crate::digest::Digester;
use crate::keys::{KeyState, Keys};
use crate::record::{EndError, EndReason, Ended, IgnoredEnds, Record, TaskEnd};

/// Identity of the process that owns the submissions of a ledger; part of every key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Incarnation, which differs for each process of the instance.
    pub incarnation: Incarnation,
    /// Instance id, which is the same after a restart.
    pub instance: InstanceId,
}

/// Result of [`Ledger::admit`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// A record was created; the caller must queue the tasks or reject the submission.
    New(Sequence),
    /// The same submission was admitted before; [`Ledger::status`] returns its progress or answer.
    Known(Sequence),
    /// The submission was not admitted, for this reason.
    Rejected(ResultCode),
}

/// The end of a submission, returned once.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The answer for all callers that wait for it.
    pub answer: Answer,
    /// Tasks that have not ended; the caller removes the queued ones and stops the running ones.
    pub unfinished: Vec<TaskId>,
    /// Sequence number of the submission.
    pub sequence: Sequence,
    /// The submission itself, which the ledger no longer holds.
    pub submission: Arc<Submission>,
}

/// Submission keys, records and answers of one entry instance.
pub struct Ledger {
    answers: Answers,
    digester: Digester,
    ignored: IgnoredEnds,
    in_progress: usize,
    keys: Keys,
    max_answer_bytes: u64,
    max_job_tasks: u64,
    max_records: u64,
    origin: Origin,
    records: FastMap<Sequence, Record>,
}

impl Ledger {
    /// Creates a ledger without records. The incarnation in `origin` must be new, because the records of earlier
    /// processes are lost.
    #[must_use]
    pub fn new(origin: Origin, policy: &Policy) -> Self {
        let retention = Duration::from_millis(policy.answer_retention_ms);
        Self {
            answers: Answers::new(policy.answer_memory_bytes, retention),
            digester: Digester::new(),
            ignored: IgnoredEnds::default(),
            in_progress: 0,
            keys: Keys::new(policy.max_records, Duration::from_millis(policy.key_validity_ms)),
            max_answer_bytes: policy.max_answer_bytes,
            max_job_tasks: policy.max_job_tasks,
            max_records: policy.max_records,
            origin,
            records: FastMap::default(),
        }
    }

    /// Applies a changed policy. Expiry times of existing keys and records do not change; a lower memory limit evicts
    /// answers immediately.
    pub fn set_policy(&mut self, policy: &Policy) {
        let retention = Duration::from_millis(policy.answer_retention_ms);
        self.answers.set_limits(policy.answer_memory_bytes, retention);
        self.keys.set_limits(policy.max_records, Duration::from_millis(policy.key_validity_ms));
        self.max_answer_bytes = policy.max_answer_bytes;
        self.max_job_tasks = policy.max_job_tasks;
        self.max_records = policy.max_records;
        self.evict();
    }

    /// Issues `count` keys with consecutive sequence numbers.
    ///
    /// # Errors
    ///
    /// `INVALID_FIELD` unless `count` is between 1 and [`crate::MAX_KEYS_PER_ISSUE`]; `RECORDS_FULL` when too many
    /// issued keys have not expired.
    pub fn issue(&mut self, now: Instant, count: u32) -> Result<Vec<SubmissionKey>, ResultCode> {
        self.expire(now);
        let start = self.keys.issue(now, count)?;
        Ok((start..start + u64::from(count)).map(|sequence| self.key(sequence)).collect())
    }

    /// Admits a submission under a key. [`Admission::Known`] is returned for submissions in progress and for finished
    /// ones.
    pub fn admit(&mut self, now: Instant, key: &SubmissionKey, submission: Arc<Submission>) -> Admission {
        if let Err(code) = self.check_origin(key) {
            return Admission::Rejected(code);
        }
        self.expire(now);
        let sequence = key.sequence;
        if let Some(record) = self.records.get(&sequence) {
            let same = record.digest() == self.digester.digest(&submission);
            return if same {
                Admission::Known(sequence)
            } else {
                Admission::Rejected(ResultCode::KeyReused)
            };
        }
        if let Err(code) = self.check_unused(now, sequence) {
            return Admission::Rejected(code);
        }
        if let Err(code) = self.check_limits(&submission) {
            self.keys.set_rejected(sequence, code);
            return Admission::Rejected(code);
        }
        let digest = self.digester.digest(&submission);
        self.keys.set_used(sequence);
        self.records.insert(sequence, Record::new(now, digest, submission));
        self.in_progress += 1;
        Admission::New(sequence)
    }

    fn check_origin(&self, key: &SubmissionKey) -> Result<(), ResultCode> {
        let Origin { data_centre, incarnation, instance } = &self.origin;
        if key.data_centre != *data_centre || key.instance != *instance {
            // Only the owner knows the state of the submission.
            return Err(ResultCode::OwnerUnreachable);
        }
        if key.incarnation != *incarnation {
            return Err(ResultCode::OwnerGone);
        }
        Ok(())
    }

    fn check_unused(&self, now: Instant, sequence: Sequence) -> Result<(), ResultCode> {
        match self.keys.state(now, sequence) {
            KeyState::Unused => Ok(()),
            KeyState::NeverIssued => Err(ResultCode::KeyUnknown),
            KeyState::Rejected(code) => Err(code),
            KeyState::Expired | KeyState::Used => Err(ResultCode::KeyExpired),
        }
    }

    fn check_limits(&self, submission: &Submission) -> Result<(), ResultCode> {
        if submission.tasks.is_empty() || submission.tasks.len() as u64 > self.max_job_tasks {
            return Err(ResultCode::TooManyTasks);
        }
        if self.records.len() as u64 >= self.max_records {
            return Err(ResultCode::RecordsFull);
        }
        Ok(())
    }

    /// Ends a submission before any of its tasks has started, with a code whose outcome is "not run". The rejection is
    /// final for the key. Returns `None` and changes nothing when a task has started, the submission has ended, or the
    /// code has another outcome.
    pub fn reject(&mut self, now: Instant, sequence: Sequence, code: ResultCode) -> Option<Completion> {
        let record = self.records.get(&sequence)?;
        if !record.nothing_started() || code.outcome() != Outcome::FailedNotRun {
            return None;
        }
        self.finish(now, sequence, EndReason::new(code))
    }

    /// Records the start of a task. Returns false when the task must not start, because it has already started or its
    /// submission has ended. With `retryable`, the task of an idempotent request may start again until it has ended.
    pub fn start(&mut self, now: Instant, task: TaskId, retryable: bool) -> bool {
        self.records.get_mut(&task.sequence).is_some_and(|record| record.start(now, task.index, retryable))
    }

    /// Undoes one start of a task that certainly did not happen; the task may start again.
    pub fn withdraw_start(&mut self, task: TaskId) {
        if let Some(record) = self.records.get_mut(&task.sequence) {
            record.withdraw(task.index);
        }
    }

    /// Ends a task, regardless of its number of starts. Returns the completion when this ends the submission. An end
    /// that matches no running task is ignored and counted in [`Self::ignored_ends`].
    pub fn end(&mut self, now: Instant, task: TaskId, end: TaskEnd) -> Option<Completion> {
        let limit = self.max_answer_bytes;
        let ended = match self.records.get_mut(&task.sequence) {
            Some(record) => record.end(task.index, end, limit),
            None => Err(EndError::Unknown),
        };
        match ended {
            Ok(reason) => self.finish(now, task.sequence, reason?),
            Err(error) => {
                self.count_ignored(error);
                None
            }
        }
    }

    fn count_ignored(&mut self, error: EndError) {
        let counter = match error {
            EndError::Duplicate => &mut self.ignored.duplicate,
            EndError::NotStarted => &mut self.ignored.not_started,
            EndError::SubmissionEnded => &mut self.ignored.submission_ended,
            EndError::Unknown => &mut self.ignored.unknown,
        };
        *counter += 1;
    }

    /// Cancels a submission; returns `None` when it is unknown or has ended.
    pub fn cancel(&mut self, now: Instant, sequence: Sequence) -> Option<Completion> {
        let record = self.records.get(&sequence)?;
        let not_run = record.nothing_started();
        let code = if not_run { ResultCode::CancelledNotRun } else { ResultCode::CancelledMayHaveRun };
        self.finish(now, sequence, EndReason::new(code))
    }

    fn finish(&mut self, now: Instant, sequence: Sequence, reason: EndReason) -> Option<Completion> {
        let record = self.records.get_mut(&sequence)?;
        let finished = record.finish(now, sequence, reason)?;
        let ended = record.ended()?;
        let (code, bytes) = (ended.code, ended.bytes());
        let answer = self.answer(sequence, self.records.get(&sequence)?.ended()?);
        self.in_progress -= 1;
        if code.outcome() == Outcome::FailedNotRun && self.key_outlasts_retention(now, sequence) {
            self.keys.set_rejected(sequence, code);
            self.records.remove(&sequence);
        } else {
            self.retain(now, sequence, bytes);
        }
        Some(Completion {
            answer,
            unfinished: finished.unfinished,
            sequence,
            submission: finished.submission,
        })
    }

    /// Whether the key's state byte can replace the record until the end of the retention.
    fn key_outlasts_retention(&self, now: Instant, sequence: Sequence) -> bool {
        let needed = now + self.answers.retention();
        self.keys.expires_at(sequence).is_some_and(|expires_at| expires_at >= needed)
    }

    fn retain(&mut self, now: Instant, sequence: Sequence, bytes: u64) {
        let until = self.answers.add(now, sequence, bytes);
        if let Some(record) = self.records.get_mut(&sequence) {
            record.set_retained_until(until);
        }
        self.evict();
    }

    fn evict(&mut self) {
        while let Some(sequence) = self.answers.pop_evicted() {
            if let Some(record) = self.records.get_mut(&sequence) {
                self.answers.release(record.evict());
            }
        }
    }

    /// Progress of the submission with this key, and its answer when it has ended.
    ///
    /// # Errors
    ///
    /// `KEY_UNUSED`, `KEY_UNKNOWN` or `KEY_EXPIRED` when no status is known; `OWNER_UNREACHABLE` for a key of another
    /// instance, and `OWNER_GONE` for a key of an earlier process of this instance.
    pub fn status(&self, now: Instant, key: &SubmissionKey) -> Result<SubmissionStatus, ResultCode> {
        self.check_origin(key)?;
        if let Some(record) = self.records.get(&key.sequence) {
            return Ok(self.record_status(key.sequence, record));
        }
        match self.keys.state(now, key.sequence) {
            KeyState::Unused => Err(ResultCode::KeyUnused),
            KeyState::NeverIssued => Err(ResultCode::KeyUnknown),
            KeyState::Rejected(code) => Ok(self.rejected_status(key.sequence, code)),
            KeyState::Expired | KeyState::Used => Err(ResultCode::KeyExpired),
        }
    }

    fn record_status(&self, sequence: Sequence, record: &Record) -> SubmissionStatus {
        SubmissionStatus {
            answer: record.ended().map(|ended| self.answer(sequence, ended)),
            key: self.key(sequence).to_string(),
            state: record.state(),
            tasks_done: record.tasks_done(),
            tasks_total: record.tasks_total(),
        }
    }

    /// Status of a rejected submission whose record was replaced by the key's state byte; its times and its number of
    /// tasks are not known.
    fn rejected_status(&self, sequence: Sequence, code: ResultCode) -> SubmissionStatus {
        let key = self.key(sequence).to_string();
        let answer = Answer {
            code: code.number(),
            key: key.clone(),
            message: String::new(),
            outcome: code.outcome(),
            queued_ms: 0,
            results: Vec::new(),
            total_ms: 0,
        };
        SubmissionStatus {
            answer: Some(answer),
            key,
            state: SubmissionState::Done,
            tasks_done: 0,
            tasks_total: 0,
        }
    }

    fn answer(&self, sequence: Sequence, ended: &Ended) -> Answer {
        Answer {
            code: ended.code.number(),
            key: self.key(sequence).to_string(),
            message: ended.message.clone(),
            outcome: ended.code.outcome(),
            queued_ms: millis(ended.queued),
            results: ended.results.clone(),
            total_ms: millis(ended.total),
        }
    }

    fn key(&self, sequence: Sequence) -> SubmissionKey {
        let Origin { data_centre, incarnation, instance } = self.origin.clone();
        SubmissionKey { data_centre, incarnation, instance, sequence }
    }

    /// A submission in progress; `None` after its end, when its [`Completion`] holds it.
    #[must_use]
    pub fn submission(&self, sequence: Sequence) -> Option<&Arc<Submission>> {
        self.records.get(&sequence).and_then(Record::submission)
    }

    /// Number of submissions that have not ended.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress
    }

    /// Number of records, for submissions in progress and for finished ones.
    #[must_use]
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// Memory used by the answers of finished submissions, in bytes.
    #[must_use]
    pub fn answer_bytes(&self) -> u64 {
        self.answers.bytes()
    }

    /// Memory used by the answer of a finished submission, in bytes; 0 if it has not ended.
    #[must_use]
    pub fn answer_bytes_of(&self, sequence: Sequence) -> u64 {
        self.records.get(&sequence).and_then(Record::ended).map_or(0, Ended::bytes)
    }

    /// Number of task ends ignored so far, by reason.
    #[must_use]
    pub fn ignored_ends(&self) -> IgnoredEnds {
        self.ignored
    }

    /// Drops expired keys, and records past both their key's expiry and their retention. The amortized cost is constant
    /// per key and record.
    pub fn expire(&mut self, now: Instant) {
        let Self { answers, keys, records, .. } = self;
        keys.expire(now, |sequence| {
            let is_expired =
                records.get(&sequence).and_then(Record::ended).is_some_and(|end| end.retained_until <= now);
            if is_expired {
                remove(records, answers, sequence);
            }
        });
        while let Some(sequence) = answers.pop_expired(now) {
            // Otherwise the record is removed when its key expires.
            if keys.expires_at(sequence).is_none() {
                remove(records, answers, sequence);
            }
        }
        answers.trim(|sequence| records.contains_key(&sequence));
    }
}

fn remove(records: &mut FastMap<Sequence, Record>, answers: &mut Answers, sequence: Sequence) {
    let bytes = records.remove(&sequence).and_then(|record| record.ended().map(Ended::bytes));
    answers.release(bytes.unwrap_or(0));
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
