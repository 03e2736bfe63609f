//! The record of one submission: state of its tasks, and its result after the end.

use std::sync::Arc;
use std::time::Duration;

use hinge_wire::{Outcome, ResultCode, Sequence, Submission, SubmissionState, TaskId};
use statig::blocking::{IntoStateMachineExt, StateMachine};
use tokio::time::Instant;

use crate::job::{Job, JobEvent, State};

/// Maximum length of the failure message kept with a submission, in bytes; longer ones are truncated.
const MAX_MESSAGE_BYTES: usize = 1024;

/// How a task ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskEnd {
    /// The upstream ran the task and returned a result that could not be kept.
    Discarded,
    /// The upstream ran the task and returned this result.
    Done(String),
    /// The upstream ran the task and reported this failure.
    Failed(String),
    /// The task was sent to an upstream, and no valid response came; it may have run.
    Lost,
    /// No result came within the task's timeout; the task may have run.
    TimedOut,
    /// The task will not be started, for this reason. Refused starts must be withdrawn first with
    /// [`crate::Ledger::withdraw_start`]; a start that was not withdrawn counts as lost.
    NotStarted(ResultCode),
}

/// Number of task ends that were ignored, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct IgnoredEnds {
    /// The task had already ended.
    pub duplicate: u64,
    /// The task had not been started.
    pub not_started: u64,
    /// The submission had already ended.
    pub submission_ended: u64,
    /// The submission has no record, or no task with this index.
    pub unknown: u64,
}

impl IgnoredEnds {
    /// Sum over all reasons.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.duplicate + self.not_started + self.submission_ended + self.unknown
    }
}

/// Why a task end was ignored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EndError {
    Duplicate,
    NotStarted,
    SubmissionEnded,
    Unknown,
}

#[derive(Clone, Debug)]
enum Task {
    Pending,
    /// Number of starts that were not withdrawn, at least 1.
    Started(u32),
    Done(String),
}

/// Result code and failure message with which a submission ends.
#[derive(Clone, Debug)]
pub(crate) struct EndReason {
    pub(crate) code: ResultCode,
    pub(crate) message: String,
}

impl EndReason {
    pub(crate) fn new(code: ResultCode) -> Self {
        Self { code, message: String::new() }
    }

    fn failed(mut message: String) -> Self {
        let end = message.floor_char_boundary(MAX_MESSAGE_BYTES);
        message.truncate(end);
        message.shrink_to_fit();
        Self { code: ResultCode::TaskFailed, message }
    }
}

/// State of a submission in progress.
struct Progress {
    /// Whether a result could not be kept.
    discarded: bool,
    done: u32,
    first_start: Option<Instant>,
    result_bytes: u64,
    /// Number of tasks that have started and not ended.
    started: u32,
    submission: Arc<Submission>,
    tasks: Vec<Task>,
}

impl Progress {
    fn new(submission: Arc<Submission>) -> Self {
        let tasks = vec![Task::Pending; submission.tasks.len()];
        Self { discarded: false, done: 0, first_start: None, result_bytes: 0, started: 0, submission, tasks }
    }

    fn nothing_started(&self) -> bool {
        self.started == 0 && self.done == 0
    }

    fn start(&mut self, now: Instant, index: u32, retryable: bool) -> bool {
        // The tasks of a job start at most once, even when `retryable` was passed by mistake.
        let retryable = retryable && self.submission.idempotent && self.tasks.len() == 1;
        match self.tasks.get_mut(index as usize) {
            Some(task @ Task::Pending) => {
                *task = Task::Started(1);
                self.started += 1;
                self.first_start.get_or_insert(now);
                true
            }
            Some(Task::Started(starts)) if retryable => {
                *starts = starts.saturating_add(1);
                true
            }
            _ => false,
        }
    }

    fn withdraw(&mut self, index: u32) {
        let Some(task) = self.tasks.get_mut(index as usize) else { return };
        match task {
            Task::Started(1) => {
                *task = Task::Pending;
                self.started -= 1;
            }
            Task::Started(starts) => *starts -= 1,
            Task::Done(_) | Task::Pending => {}
        }
        if self.nothing_started() {
            self.first_start = None;
        }
    }

    /// Ends a task. Returns a reason when this ends the submission.
    fn end(&mut self, index: u32, end: TaskEnd, max_bytes: u64) -> Result<Option<EndReason>, EndError> {
        let started = match self.tasks.get(index as usize) {
            None => return Err(EndError::Unknown),
            Some(Task::Done(_)) => return Err(EndError::Duplicate),
            Some(Task::Started(_)) => true,
            Some(Task::Pending) => false,
        };
        match end {
            TaskEnd::NotStarted(code) => Ok(Some(EndReason::new(self.not_started_code(code)))),
            _ if !started => Err(EndError::NotStarted),
            TaskEnd::Discarded => {
                self.discarded = true;
                Ok(self.done(index, String::new(), max_bytes))
            }
            TaskEnd::Done(result) => Ok(self.done(index, result, max_bytes)),
            TaskEnd::Failed(message) => Ok(Some(EndReason::failed(message))),
            TaskEnd::Lost => Ok(Some(EndReason::new(ResultCode::TaskLost))),
            TaskEnd::TimedOut => Ok(Some(EndReason::new(ResultCode::TaskTimeout))),
        }
    }

    fn done(&mut self, index: u32, result: String, max_bytes: u64) -> Option<EndReason> {
        self.result_bytes += result.len() as u64;
        self.started -= 1;
        self.done += 1;
        if let Some(task) = self.tasks.get_mut(index as usize) {
            *task = Task::Done(result);
        }
        if self.result_bytes > max_bytes {
            return Some(EndReason::new(ResultCode::AnswerTooLarge));
        }
        let code = if self.discarded { ResultCode::AnswerEvicted } else { ResultCode::Complete };
        (self.done as usize == self.tasks.len()).then(|| EndReason::new(code))
    }

    /// Result code of a submission that ends because one of its tasks cannot start.
    fn not_started_code(&self, code: ResultCode) -> ResultCode {
        if self.done > 0 {
            ResultCode::JobIncomplete
        } else if self.started > 0 {
            ResultCode::TaskLost
        } else if code.outcome() == Outcome::FailedNotRun {
            code
        } else {
            ResultCode::NoUpstream
        }
    }

    /// Tasks that have not ended, queued and running ones.
    fn unfinished_tasks(&self, sequence: Sequence) -> Vec<TaskId> {
        let unfinished = (0..).zip(&self.tasks).filter(|(_, task)| !matches!(task, Task::Done(_)));
        unfinished.map(|(index, _)| TaskId { sequence, index }).collect()
    }

    fn into_results(self) -> Vec<String> {
        let result = |task| if let Task::Done(result) = task { Some(result) } else { None };
        self.tasks.into_iter().filter_map(result).collect()
    }
}

/// Result of a submission that has ended.
#[derive(Clone, Debug)]
pub(crate) struct Ended {
    pub(crate) code: ResultCode,
    pub(crate) message: String,
    /// Time from receipt to the first start, or to the end without one.
    pub(crate) queued: Duration,
    pub(crate) results: Vec<String>,
    pub(crate) retained_until: Instant,
    pub(crate) tasks_done: u32,
    /// Time from receipt to the end.
    pub(crate) total: Duration,
}

impl Ended {
    /// Memory that eviction frees, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        let results: usize = self.results.iter().map(|result| result.len() + size_of::<String>()).sum();
        (results + self.message.len()) as u64
    }
}

/// What a record releases at the end of its submission.
pub(crate) struct FinishedRecord {
    pub(crate) unfinished: Vec<TaskId>,
    pub(crate) submission: Arc<Submission>,
}

enum Phase {
    Active(Box<Progress>),
    Ended(Box<Ended>),
}

pub(crate) struct Record {
    phase: Phase,
    digest: u64,
    job: StateMachine<Job>,
    received_at: Instant,
    tasks_total: u32,
}

impl Record {
    pub(crate) fn new(now: Instant, digest: u64, submission: Arc<Submission>) -> Self {
        let tasks_total = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        let phase = Phase::Active(Box::new(Progress::new(submission)));
        Self { phase, digest, job: Job.state_machine(), received_at: now, tasks_total }
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn ended(&self) -> Option<&Ended> {
        if let Phase::Ended(ended) = &self.phase { Some(ended) } else { None }
    }

    fn progress(&self) -> Option<&Progress> {
        if let Phase::Active(progress) = &self.phase { Some(progress) } else { None }
    }

    pub(crate) fn submission(&self) -> Option<&Arc<Submission>> {
        self.progress().map(|progress| &progress.submission)
    }

    pub(crate) fn nothing_started(&self) -> bool {
        self.progress().is_some_and(Progress::nothing_started)
    }

    pub(crate) fn state(&self) -> SubmissionState {
        match self.job.state() {
            State::Queued {} => SubmissionState::Queued,
            State::Running {} => SubmissionState::Running,
            State::Complete {} | State::Failed {} => SubmissionState::Done,
        }
    }

    pub(crate) fn tasks_done(&self) -> u32 {
        match &self.phase {
            Phase::Active(progress) => progress.done,
            Phase::Ended(ended) => ended.tasks_done,
        }
    }

    pub(crate) fn tasks_total(&self) -> u32 {
        self.tasks_total
    }

    pub(crate) fn start(&mut self, now: Instant, index: u32, retryable: bool) -> bool {
        let Phase::Active(progress) = &mut self.phase else { return false };
        let permitted = progress.start(now, index, retryable);
        if permitted {
            self.job.handle(&JobEvent::Started);
        }
        permitted
    }

    pub(crate) fn withdraw(&mut self, index: u32) {
        let Phase::Active(progress) = &mut self.phase else { return };
        progress.withdraw(index);
        if progress.nothing_started() {
            self.job.handle(&JobEvent::Withdrawn);
        }
    }

    pub(crate) fn end(
        &mut self,
        index: u32,
        end: TaskEnd,
        max_bytes: u64,
    ) -> Result<Option<EndReason>, EndError> {
        if index >= self.tasks_total {
            return Err(EndError::Unknown);
        }
        match &mut self.phase {
            Phase::Active(progress) => progress.end(index, end, max_bytes),
            Phase::Ended(_) => Err(EndError::SubmissionEnded),
        }
    }

    /// Ends the submission; returns `None` when it has already ended.
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        sequence: Sequence,
        reason: EndReason,
    ) -> Option<FinishedRecord> {
        let Phase::Active(progress) = &self.phase else { return None };
        let total = now.saturating_duration_since(self.received_at);
        let queued =
            progress.first_start.map_or(total, |start| start.saturating_duration_since(self.received_at));
        let ended = Ended {
            code: reason.code,
            message: reason.message,
            queued,
            results: Vec::new(),
            retained_until: now,
            tasks_done: progress.done,
            total,
        };
        let Phase::Active(progress) = std::mem::replace(&mut self.phase, Phase::Ended(Box::new(ended)))
        else {
            return None;
        };
        let unfinished = progress.unfinished_tasks(sequence);
        let submission = progress.submission.clone();
        if reason.code == ResultCode::Complete {
            self.job.handle(&JobEvent::Completed);
            if let Phase::Ended(ended) = &mut self.phase {
                ended.results = progress.into_results();
            }
        } else {
            self.job.handle(&JobEvent::Failed);
        }
        Some(FinishedRecord { unfinished, submission })
    }

    pub(crate) fn set_retained_until(&mut self, until: Instant) {
        if let Phase::Ended(ended) = &mut self.phase {
            ended.retained_until = until;
        }
    }

    /// Drops the results or the failure message and returns the number of bytes freed. The record still states whether
    /// the tasks ran.
    pub(crate) fn evict(&mut self) -> u64 {
        let Phase::Ended(ended) = &mut self.phase else { return 0 };
        let bytes = ended.bytes();
        ended.results = Vec::new();
        ended.message = String::new();
        if ended.code == ResultCode::Complete {
            ended.code = ResultCode::AnswerEvicted;
        }
        bytes
    }
}
