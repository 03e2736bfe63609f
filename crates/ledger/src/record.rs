//! One submission: the life of its tasks and its end.

use std::sync::Arc;
use std::time::Duration;

use hinge_wire::{Outcome, ResultCode, Sequence, Submission, SubmissionState, TaskId};
use statig::blocking::{IntoStateMachineExt, StateMachine};
use tokio::time::Instant;

use crate::job::{Job, JobEvent, State};

/// Longest explanation kept with a failed submission, in bytes.
const MAX_MESSAGE_BYTES: usize = 1024;

/// How a task ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskEnd {
    /// The upstream ran the task and returned this result.
    Done(String),
    /// The upstream ran the task and reported this failure.
    Failed(String),
    /// The task was written to an upstream and no usable answer came.
    Lost,
    /// The task ran longer than allowed.
    TimedOut,
    /// The task will not be started, for this reason. Starts that were refused are withdrawn with
    /// [`crate::Ledger::withdraw_start`] first; a start that was not withdrawn counts as lost.
    NotStarted(ResultCode),
}

/// Ends of tasks that were ignored, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct IgnoredEnds {
    /// The task had already ended.
    pub duplicate: u64,
    /// The task had not been started.
    pub not_started: u64,
    /// The submission had already ended.
    pub submission_ended: u64,
    /// No record of the submission is held, or it has no such task.
    pub unknown: u64,
}

impl IgnoredEnds {
    /// Number of all ignored ends.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.duplicate + self.not_started + self.submission_ended + self.unknown
    }
}

/// Why an end was ignored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EndError {
    Duplicate,
    NotStarted,
    SubmissionEnded,
    Unknown,
}

#[derive(Clone, Debug)]
enum Task {
    Waiting,
    /// Started, with the number of starts that were not withdrawn.
    Started(u32),
    Done(String),
}

/// Why a submission ends.
#[derive(Clone, Debug)]
pub(crate) struct Verdict {
    pub(crate) code: ResultCode,
    pub(crate) message: String,
}

impl Verdict {
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

/// What is kept while a submission is in progress.
struct Progress {
    done: u32,
    first_start: Option<Instant>,
    result_bytes: u64,
    /// Tasks that have started and not ended.
    started: u32,
    submission: Arc<Submission>,
    tasks: Vec<Task>,
}

impl Progress {
    fn new(submission: Arc<Submission>) -> Self {
        let tasks = vec![Task::Waiting; submission.tasks.len()];
        Self { done: 0, first_start: None, result_bytes: 0, started: 0, submission, tasks }
    }

    fn nothing_started(&self) -> bool {
        self.started == 0 && self.done == 0
    }

    fn start(&mut self, now: Instant, index: u32, repeatable: bool) -> bool {
        // The tasks of a job start at most once, whatever the caller of this crate asks for.
        let repeatable = repeatable && self.submission.idempotent && self.tasks.len() == 1;
        match self.tasks.get_mut(index as usize) {
            Some(task @ Task::Waiting) => {
                *task = Task::Started(1);
                self.started += 1;
                self.first_start.get_or_insert(now);
                true
            }
            Some(Task::Started(starts)) if repeatable => {
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
                *task = Task::Waiting;
                self.started -= 1;
            }
            Task::Started(starts) => *starts -= 1,
            Task::Done(_) | Task::Waiting => {}
        }
        if self.nothing_started() {
            self.first_start = None;
        }
    }

    /// Ends a task; a verdict ends the submission.
    fn end(&mut self, index: u32, end: TaskEnd, max_bytes: u64) -> Result<Option<Verdict>, EndError> {
        let started = match self.tasks.get(index as usize) {
            None => return Err(EndError::Unknown),
            Some(Task::Done(_)) => return Err(EndError::Duplicate),
            Some(Task::Started(_)) => true,
            Some(Task::Waiting) => false,
        };
        match end {
            TaskEnd::NotStarted(code) => Ok(Some(Verdict::new(self.not_started_code(code)))),
            _ if !started => Err(EndError::NotStarted),
            TaskEnd::Done(result) => Ok(self.done(index, result, max_bytes)),
            TaskEnd::Failed(message) => Ok(Some(Verdict::failed(message))),
            TaskEnd::Lost => Ok(Some(Verdict::new(ResultCode::TaskLost))),
            TaskEnd::TimedOut => Ok(Some(Verdict::new(ResultCode::TaskTimeout))),
        }
    }

    fn done(&mut self, index: u32, result: String, max_bytes: u64) -> Option<Verdict> {
        self.result_bytes += result.len() as u64;
        self.started -= 1;
        self.done += 1;
        if let Some(task) = self.tasks.get_mut(index as usize) {
            *task = Task::Done(result);
        }
        if self.result_bytes > max_bytes {
            return Some(Verdict::new(ResultCode::AnswerTooLarge));
        }
        (self.done as usize == self.tasks.len()).then(|| Verdict::new(ResultCode::Complete))
    }

    /// Code for a submission that ends because one of its tasks cannot start.
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

    /// Tasks that have not ended: queued ones to drop and running ones to stop.
    fn open_tasks(&self, sequence: Sequence) -> Vec<TaskId> {
        let open = (0..).zip(&self.tasks).filter(|(_, task)| !matches!(task, Task::Done(_)));
        open.map(|(index, _)| TaskId { sequence, index }).collect()
    }

    fn into_results(self) -> Vec<String> {
        let result = |task| if let Task::Done(result) = task { Some(result) } else { None };
        self.tasks.into_iter().filter_map(result).collect()
    }
}

/// What is kept of a submission that has ended.
#[derive(Clone, Debug)]
pub(crate) struct Ended {
    pub(crate) code: ResultCode,
    pub(crate) message: String,
    pub(crate) queued: Duration,
    pub(crate) results: Vec<String>,
    pub(crate) retained_until: Instant,
    pub(crate) tasks_done: u32,
    pub(crate) total: Duration,
}

impl Ended {
    /// Memory that eviction frees.
    pub(crate) fn bytes(&self) -> u64 {
        let results: usize = self.results.iter().map(|result| result.len() + size_of::<String>()).sum();
        (results + self.message.len()) as u64
    }
}

/// Result of ending a record.
pub(crate) struct Finish {
    pub(crate) cancel: Vec<TaskId>,
    pub(crate) submission: Arc<Submission>,
}

enum Body {
    Active(Box<Progress>),
    Ended(Box<Ended>),
}

pub(crate) struct Record {
    body: Body,
    digest: u64,
    job: StateMachine<Job>,
    received_at: Instant,
    tasks_total: u32,
}

impl Record {
    pub(crate) fn new(now: Instant, digest: u64, submission: Arc<Submission>) -> Self {
        let tasks_total = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        let body = Body::Active(Box::new(Progress::new(submission)));
        Self { body, digest, job: Job.state_machine(), received_at: now, tasks_total }
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn ended(&self) -> Option<&Ended> {
        if let Body::Ended(ended) = &self.body { Some(ended) } else { None }
    }

    fn progress(&self) -> Option<&Progress> {
        if let Body::Active(progress) = &self.body { Some(progress) } else { None }
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
        match &self.body {
            Body::Active(progress) => progress.done,
            Body::Ended(ended) => ended.tasks_done,
        }
    }

    pub(crate) fn tasks_total(&self) -> u32 {
        self.tasks_total
    }

    pub(crate) fn start(&mut self, now: Instant, index: u32, repeatable: bool) -> bool {
        let Body::Active(progress) = &mut self.body else { return false };
        let permitted = progress.start(now, index, repeatable);
        if permitted {
            self.job.handle(&JobEvent::Started);
        }
        permitted
    }

    pub(crate) fn withdraw(&mut self, index: u32) {
        let Body::Active(progress) = &mut self.body else { return };
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
    ) -> Result<Option<Verdict>, EndError> {
        if index >= self.tasks_total {
            return Err(EndError::Unknown);
        }
        match &mut self.body {
            Body::Active(progress) => progress.end(index, end, max_bytes),
            Body::Ended(_) => Err(EndError::SubmissionEnded),
        }
    }

    /// Ends the submission; does nothing when it has already ended.
    pub(crate) fn finish(&mut self, now: Instant, sequence: Sequence, verdict: Verdict) -> Option<Finish> {
        let Body::Active(progress) = &self.body else { return None };
        let total = now.saturating_duration_since(self.received_at);
        let queued =
            progress.first_start.map_or(total, |start| start.saturating_duration_since(self.received_at));
        let ended = Ended {
            code: verdict.code,
            message: verdict.message,
            queued,
            results: Vec::new(),
            retained_until: now,
            tasks_done: progress.done,
            total,
        };
        let Body::Active(progress) = std::mem::replace(&mut self.body, Body::Ended(Box::new(ended))) else {
            return None;
        };
        let cancel = progress.open_tasks(sequence);
        let submission = progress.submission.clone();
        if verdict.code == ResultCode::Complete {
            self.job.handle(&JobEvent::Completed);
            if let Body::Ended(ended) = &mut self.body {
                ended.results = progress.into_results();
            }
        } else {
            self.job.handle(&JobEvent::Failed);
        }
        Some(Finish { cancel, submission })
    }

    pub(crate) fn set_retained_until(&mut self, until: Instant) {
        if let Body::Ended(ended) = &mut self.body {
            ended.retained_until = until;
        }
    }

    /// Drops the results or the explanation and returns the memory freed. What the record says about execution stays.
    pub(crate) fn evict(&mut self) -> u64 {
        let Body::Ended(ended) = &mut self.body else { return 0 };
        let bytes = ended.bytes();
        ended.results = Vec::new();
        ended.message = String::new();
        if ended.code == ResultCode::Complete {
            ended.code = ResultCode::AnswerEvicted;
        }
        bytes
    }
}
