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
use crate::record::{EndError, Ended, IgnoredEnds, Record, TaskEnd, Verdict};

/// The process that owns the submissions of a ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its instance id.
    pub instance: InstanceId,
}

/// Result of [`Ledger::admit`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// A new record was made; the caller now queues or rejects the tasks.
    New(Sequence),
    /// The same submission was admitted before; [`Ledger::status`] tells its progress or answer.
    Known(Sequence),
    /// The submission was not admitted.
    Rejected(ResultCode),
}

/// The end of a submission, returned once.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The answer for all callers that wait for it.
    pub answer: Answer,
    /// Tasks that have not ended: to be taken out of the queue or stopped.
    pub unfinished: Vec<TaskId>,
    /// Number of the submission.
    pub sequence: Sequence,
    /// The submission, which the ledger no longer holds.
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
    /// A ledger without records. The incarnation in `origin` must be new, because no record of an earlier process
    /// exists here.
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

    /// Applies changed settings. Times of keys and records that exist stay as they are; a lower limit of memory evicts
    /// at once.
    pub fn set_policy(&mut self, policy: &Policy) {
        let retention = Duration::from_millis(policy.answer_retention_ms);
        self.answers.set_limits(policy.answer_memory_bytes, retention);
        self.keys.set_limits(policy.max_records, Duration::from_millis(policy.key_validity_ms));
        self.max_answer_bytes = policy.max_answer_bytes;
        self.max_job_tasks = policy.max_job_tasks;
        self.max_records = policy.max_records;
        self.evict();
    }

    /// Issues keys.
    ///
    /// # Errors
    ///
    /// `INVALID_FIELD` unless `count` is between 1 and [`crate::MAX_KEYS_PER_ISSUE`]; `RECORDS_FULL` when too many
    /// keys that have not expired have been issued.
    pub fn issue(&mut self, now: Instant, count: u32) -> Result<Vec<SubmissionKey>, ResultCode> {
        self.expire(now);
        let start = self.keys.issue(now, count)?;
        Ok((start..start + u64::from(count)).map(|sequence| self.key(sequence)).collect())
    }

    /// Admits a submission under a key. [`Admission::Known`] covers submissions in progress and finished ones.
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
            // Only the owner can tell what became of the submission.
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

    /// Ends a submission, none of whose tasks has started, with a "not run" code; final for its key. Returns none and
    /// changes nothing when a task has started, the submission has ended, or the code is of another outcome.
    pub fn reject(&mut self, now: Instant, sequence: Sequence, code: ResultCode) -> Option<Completion> {
        let record = self.records.get(&sequence)?;
        if !record.nothing_started() || code.outcome() != Outcome::FailedNotRun {
            return None;
        }
        self.finish(now, sequence, Verdict::new(code))
    }

    /// Marks the start of a task; false when the task must not start, because it has already started or its submission
    /// has ended. With `repeatable`, the task of an idempotent request may start again until it has ended.
    pub fn start(&mut self, now: Instant, task: TaskId, repeatable: bool) -> bool {
        self.records.get_mut(&task.sequence).is_some_and(|record| record.start(now, task.index, repeatable))
    }

    /// Withdraws one start of a task, which the upstream proved not to have happened; the task may start again.
    pub fn withdraw_start(&mut self, task: TaskId) {
        if let Some(record) = self.records.get_mut(&task.sequence) {
            record.withdraw(task.index);
        }
    }

    /// Ends a task, whatever the number of its starts. Returns the completion when this ends the submission. An end
    /// that fits no running task is ignored and counted in [`Self::ignored_ends`].
    pub fn end(&mut self, now: Instant, task: TaskId, end: TaskEnd) -> Option<Completion> {
        let limit = self.max_answer_bytes;
        let ended = match self.records.get_mut(&task.sequence) {
            Some(record) => record.end(task.index, end, limit),
            None => Err(EndError::Unknown),
        };
        match ended {
            Ok(verdict) => self.finish(now, task.sequence, verdict?),
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

    /// Cancels a submission; returns none when it is unknown or has ended.
    pub fn cancel(&mut self, now: Instant, sequence: Sequence) -> Option<Completion> {
        let record = self.records.get(&sequence)?;
        let not_run = record.nothing_started();
        let code = if not_run { ResultCode::CancelledNotRun } else { ResultCode::CancelledMayHaveRun };
        self.finish(now, sequence, Verdict::new(code))
    }

    fn finish(&mut self, now: Instant, sequence: Sequence, verdict: Verdict) -> Option<Completion> {
        let record = self.records.get_mut(&sequence)?;
        let finish = record.finish(now, sequence, verdict)?;
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
        Some(Completion { answer, unfinished: finish.cancel, sequence, submission: finish.submission })
    }

    /// Whether the key's byte can stand for the record until the retention is over.
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
        while let Some(sequence) = self.answers.next_evicted() {
            if let Some(record) = self.records.get_mut(&sequence) {
                self.answers.release(record.evict());
            }
        }
    }

    /// Progress of the submission with this key, with its answer when it has ended.
    ///
    /// # Errors
    ///
    /// `KEY_UNUSED`, `KEY_UNKNOWN`, `KEY_EXPIRED`, or a code for keys that this instance does not own.
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

    /// Status of a submission of which only the key's byte is kept; its times and number of tasks are not known.
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

    /// A submission in progress; the one of an ended submission is in its [`Completion`].
    #[must_use]
    pub fn submission(&self, sequence: Sequence) -> Option<&Arc<Submission>> {
        self.records.get(&sequence).and_then(Record::submission)
    }

    /// Number of submissions that have not ended.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress
    }

    /// Number of records, of running and of finished submissions.
    #[must_use]
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// Memory held by the answers of finished submissions.
    #[must_use]
    pub fn answer_bytes(&self) -> u64 {
        self.answers.bytes()
    }

    /// Ends of tasks that were ignored so far.
    #[must_use]
    pub fn ignored_ends(&self) -> IgnoredEnds {
        self.ignored
    }

    /// Drops expired keys, and records past both their key's expiry and their retention. The cost is constant per key
    /// and record over their lives.
    pub fn expire(&mut self, now: Instant) {
        let Self { answers, keys, records, .. } = self;
        keys.expire(now, |sequence| {
            let past =
                records.get(&sequence).and_then(Record::ended).is_some_and(|e| e.retained_until <= now);
            if past {
                remove(records, answers, sequence);
            }
        });
        while let Some(sequence) = answers.next_expired(now) {
            // A record whose key has not expired goes with its key.
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
