//! Admission of submissions.

use std::sync::Arc;
use std::time::Duration;

use hinge_ledger::Admission;
use hinge_sched::{AdmitRequest, QueuedTask};
use hinge_wire::{Class, ResultCode, Sequence, ServiceId, Submission, SubmissionKey, TaskId, TeamId};
use tokio::time::Instant;

use crate::dispatcher::Job;
use crate::{Action, Dispatcher};

impl Dispatcher {
    /// Accepts a submission under its key. A resubmission under a known key returns the same sequence number.
    ///
    /// # Errors
    ///
    /// The result code for the caller when the submission is rejected; a rejection is final for the key.
    pub fn submit(
        &mut self,
        now: Instant,
        key: &SubmissionKey,
        submission: Arc<Submission>,
    ) -> Result<Sequence, ResultCode> {
        let sequence = match self.ledger.admit(now, key, submission.clone()) {
            Admission::Known(sequence) => return Ok(sequence),
            Admission::Rejected(code) => return Err(code),
            Admission::New(sequence) => sequence,
        };
        if let Err(code) = self.check_admission(now, &submission) {
            self.ledger.reject(now, sequence, code);
            return Err(code);
        }
        self.register(now, key, sequence, &submission);
        Ok(sequence)
    }

    /// Rejects a submission with `code`, whose outcome must be "not run", unless it is known under its key already.
    ///
    /// # Errors
    ///
    /// `code`, or the reason for which the ledger rejects the submission; a rejection is final for the key.
    pub fn reject(
        &mut self,
        now: Instant,
        key: &SubmissionKey,
        submission: Arc<Submission>,
        code: ResultCode,
    ) -> Result<Sequence, ResultCode> {
        match self.ledger.admit(now, key, submission) {
            Admission::Known(sequence) => Ok(sequence),
            Admission::Rejected(code) => Err(code),
            Admission::New(sequence) => {
                self.ledger.reject(now, sequence, code);
                Err(code)
            }
        }
    }

    fn check_admission(&mut self, now: Instant, submission: &Submission) -> Result<(), ResultCode> {
        if self.draining {
            return Err(ResultCode::Draining);
        }
        let service: ServiceId = submission.service.as_str().into();
        self.check_runnable(&service, submission)?;
        let team: TeamId = submission.team.as_str().into();
        let tasks = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        let request = AdmitRequest {
            class: submission.class,
            cost: self.expected_run_time(&service, submission),
            start_by: now + self.deadline(submission),
            tasks,
            team: &team,
        };
        self.scheduler(now, &service).admit(now, &request)?;
        if self.policy.quotas_enabled && !self.quotas.take(now, &team, tasks) {
            return Err(ResultCode::QuotaExceeded);
        }
        Ok(())
    }

    /// Rejects submissions that could not run even on idle upstreams.
    fn check_runnable(&self, service: &ServiceId, submission: &Submission) -> Result<(), ResultCode> {
        let tasks = submission.tasks.len();
        if tasks == 0 || tasks as u64 > self.policy.max_job_tasks {
            return Err(ResultCode::TooManyTasks);
        }
        if !self.router.serves(service) {
            return Err(ResultCode::UnknownService);
        }
        let largest_mb = self.router.largest_memory_mb(service);
        if submission.tasks.iter().any(|task| task.memory_mb.is_some_and(|memory| memory > largest_mb)) {
            return Err(ResultCode::NeverFits);
        }
        if submission.deadline_ms == Some(0) {
            return Err(ResultCode::DeadlinePast);
        }
        Ok(())
    }

    fn expected_run_time(&mut self, service: &ServiceId, submission: &Submission) -> Duration {
        let declared = submission.tasks.first().and_then(|task| task.run_time_ms).map(Duration::from_millis);
        self.estimates.expected(service, submission.class, declared)
    }

    fn deadline(&self, submission: &Submission) -> Duration {
        let default_ms = match submission.class {
            Class::Urgent => self.policy.urgent_deadline_ms,
            Class::Booking => self.policy.booking_deadline_ms,
            Class::Query => self.policy.query_deadline_ms,
            Class::Batch => self.policy.batch_deadline_ms,
        };
        let deadline_ms = submission.deadline_ms.unwrap_or(default_ms).min(self.policy.max_deadline_ms);
        Duration::from_millis(deadline_ms)
    }

    fn register(&mut self, now: Instant, key: &SubmissionKey, sequence: Sequence, submission: &Submission) {
        let job = Job {
            attempts: 0,
            class: submission.class,
            definite: submission.definite,
            recent_racks: Vec::new(),
            retryable: submission.idempotent
                && submission.tasks.len() == 1
                && submission.class == Class::Urgent,
            service: submission.service.as_str().into(),
            team: submission.team.as_str().into(),
        };
        self.jobs.insert(sequence, job);
        if submission.definite {
            self.awaiting_claim.insert(sequence, now);
            self.actions.push(Action::Claim { key: key.clone(), sequence });
        } else {
            self.enqueue(now, now, sequence);
        }
    }

    pub(crate) fn finish_claim(&mut self, now: Instant, sequence: Sequence, result: Result<(), ResultCode>) {
        let Some(received_at) = self.awaiting_claim.remove(&sequence) else { return };
        match result {
            Ok(()) => self.enqueue(now, received_at, sequence),
            Err(code) => {
                if let Some(completion) = self.ledger.reject(now, sequence, code) {
                    self.finish_submission(completion);
                }
            }
        }
    }

    fn enqueue(&mut self, now: Instant, received_at: Instant, sequence: Sequence) {
        let Some(submission) = self.ledger.submission(sequence).cloned() else { return };
        let Some(job) = self.jobs.get(&sequence) else { return };
        let (service, team, class) = (job.service.clone(), job.team.clone(), job.class);
        let cost = self.expected_run_time(&service, &submission);
        let start_by = received_at + self.deadline(&submission);
        if let Some(scheduler) = self.schedulers.get_mut(&service) {
            for index in 0..submission.tasks.len() {
                let id = TaskId { sequence, index: u32::try_from(index).unwrap_or(u32::MAX) };
                let task = QueuedTask { class, cost, enqueued_at: now, id, start_by, team: team.clone() };
                scheduler.push(now, task);
            }
        }
        self.start_queued(now, &service);
    }
}
