//! Handling of ended starts: results, failures and retries.

use std::time::Duration;

use hinge_ledger::TaskEnd;
use hinge_route::EndKind;
use hinge_wire::{ResultCode, StartId, TaskId};
use tokio::time::Instant;

use crate::dispatcher::Running;
use crate::{Dispatcher, Refusal, TaskResult};

impl Dispatcher {
    pub(crate) fn task_ended(
        &mut self,
        now: Instant,
        start: StartId,
        result: TaskResult,
        run_time: Duration,
    ) {
        let Some(running) = self.running.remove(&start) else {
            self.totals.late_ends += 1;
            return;
        };
        let service = running.service.clone();
        self.running_tasks.remove(&running.queued.id);
        let kind = match (end_kind(&result), running.stop_requested) {
            // A refusal describes the state of the upstream, even when the task is being stopped.
            (kind @ (EndKind::Busy | EndKind::Leaving), _) | (kind, false) => kind,
            (_, true) => EndKind::Stopped,
        };
        self.router.finish_task(now, &running.slot, kind, run_time, running.expected);
        match result {
            TaskResult::Refused(_) | TaskResult::NotSent if !running.stop_requested => {
                self.requeue_unstarted(now, running, &result);
            }
            result => self.end_started(now, running, result, run_time),
        }
        self.start_queued(now, &service);
    }

    /// Queues a task again that certainly did not start; fails it when its deadline has passed.
    fn requeue_unstarted(&mut self, now: Instant, running: Running, result: &TaskResult) {
        let task = running.queued.id;
        match result {
            TaskResult::NotSent => self.totals.not_sent += 1,
            _ => self.totals.busy_refusals += 1,
        }
        self.ledger.withdraw_start(task);
        if running.queued.start_by <= now {
            self.release(&running, Duration::ZERO);
            self.fail_unstarted(now, task, ResultCode::NoUpstream);
        } else if let Some(scheduler) = self.schedulers.get_mut(&running.service) {
            scheduler.requeue(now, running.queued);
        }
    }

    /// Retries the task or records its end in the ledger.
    fn end_started(&mut self, now: Instant, running: Running, result: TaskResult, run_time: Duration) {
        let task = running.queued.id;
        self.release(&running, run_time);
        if matches!(result, TaskResult::Discarded | TaskResult::Done(_)) {
            self.estimates.observe(&running.service, running.queued.class, run_time);
        }
        let end = match result {
            TaskResult::Discarded => TaskEnd::Discarded,
            TaskResult::Done(text) => TaskEnd::Done(text),
            _ if self.retry(now, &running) => return,
            TaskResult::Failed(detail) => TaskEnd::Failed(detail),
            TaskResult::TimedOut => TaskEnd::TimedOut,
            TaskResult::Lost | TaskResult::NotSent | TaskResult::Refused(_) => TaskEnd::Lost,
        };
        if let Some(completion) = self.ledger.end(now, task, end) {
            self.finish_submission(completion);
        }
    }

    /// Queues an idempotent request again when its deadline, `max_attempts` and the retry budget allow it.
    fn retry(&mut self, now: Instant, running: &Running) -> bool {
        let Some(job) = self.jobs.get(&running.queued.id.sequence) else { return false };
        let allowed = job.retryable
            && u64::from(job.attempts) < self.policy.max_attempts
            && running.queued.start_by > now
            && self.retry_budget.take();
        if !allowed {
            return false;
        }
        let Some(scheduler) = self.schedulers.get_mut(&running.service) else { return false };
        self.totals.retries += 1;
        scheduler.push(now, running.queued.clone());
        true
    }

    /// Frees the scheduler's share of a start that has ended.
    fn release(&mut self, running: &Running, run_time: Duration) {
        if let Some(scheduler) = self.schedulers.get_mut(&running.service) {
            scheduler.finish_task(running.queued.class, &running.queued.team, run_time);
        }
    }

    /// Ends a task without starting it.
    pub(crate) fn fail_unstarted(&mut self, now: Instant, task: TaskId, code: ResultCode) {
        if let Some(completion) = self.ledger.end(now, task, TaskEnd::NotStarted(code)) {
            self.finish_submission(completion);
        }
    }
}

fn end_kind(result: &TaskResult) -> EndKind {
    match result {
        TaskResult::Discarded | TaskResult::Done(_) => EndKind::Done,
        TaskResult::Failed(_) => EndKind::Failed,
        TaskResult::Lost => EndKind::Lost,
        TaskResult::NotSent => EndKind::NotSent,
        TaskResult::Refused(Refusal::Busy) => EndKind::Busy,
        TaskResult::Refused(Refusal::Leaving) => EndKind::Leaving,
        TaskResult::TimedOut => EndKind::TimedOut,
    }
}
