//! Starting queued tasks, requesting loans when slots are missing, and finishing submissions.

use std::time::Duration;

use hinge_ledger::Completion;
use hinge_route::{EndKind, PickRequest, Slot};
use hinge_sched::QueuedTask;
use hinge_wire::{ServiceId, TaskId};
use tokio::time::Instant;

use crate::dispatcher::Running;
use crate::{Action, Dispatcher, Start};

/// Number of a job's most recent racks that its next start avoids.
const AVOIDED_RACKS: usize = 4;

impl Dispatcher {
    /// Starts queued tasks while slots are free, then requests loans for the tasks that remain queued.
    pub(crate) fn start_queued(&mut self, now: Instant, service: &ServiceId) {
        while let Some((task, slot)) = self.next_placement(now, service) {
            self.start(now, service, task, slot);
        }
        self.request_loans(now, service);
    }

    /// The next task to start with its slot; a task for which the router has no slot goes back to the queue.
    fn next_placement(&mut self, now: Instant, service: &ServiceId) -> Option<(QueuedTask, Slot)> {
        if self.router.free_slots(now, service) == 0 {
            return None;
        }
        let scheduler = self.schedulers.get_mut(service)?;
        let task = scheduler.next(now)?;
        let job = self.jobs.get(&task.id.sequence);
        let request = PickRequest {
            avoid_racks: job.map_or(&[], |job| &job.recent_racks),
            avoid_upstreams: &[],
            class: task.class,
            idempotent: job.is_some_and(|job| job.retryable),
            service,
        };
        if let Some(slot) = self.router.pick(now, &request) {
            return Some((task, slot));
        }
        scheduler.requeue(now, task);
        None
    }

    fn start(&mut self, now: Instant, service: &ServiceId, queued: QueuedTask, slot: Slot) {
        let task = queued.id;
        let retryable = self.jobs.get(&task.sequence).is_some_and(|job| job.retryable);
        // The ledger enforces at-most-once: it denies the start of a task that has already started, unless it may be
        // retried, or whose submission has ended.
        if !self.ledger.start(now, task, retryable) {
            self.router.finish_task(now, &slot, EndKind::Stopped, Duration::ZERO, Duration::ZERO);
            if let Some(scheduler) = self.schedulers.get_mut(service) {
                scheduler.finish_task(queued.class, &queued.team, Duration::ZERO);
            }
            return;
        }
        if let Some(job) = self.jobs.get_mut(&task.sequence) {
            job.attempts += 1;
            job.recent_racks.push(slot.rack.clone());
            if job.recent_racks.len() > AVOIDED_RACKS {
                job.recent_racks.remove(0);
            }
        }
        let start = self.next_start;
        self.next_start += 1;
        self.totals.starts += 1;
        self.retry_budget.record_start();
        self.actions.push(Action::Start(Start {
            service: service.clone(),
            start,
            task,
            timeout: Duration::from_millis(self.policy.task_timeout_ms),
            upstream: slot.upstream.clone(),
        }));
        let expected = queued.cost;
        self.running_tasks.insert(task, start);
        self.running.insert(
            start,
            Running { expected, queued, service: service.clone(), slot, stop_requested: false },
        );
    }

    /// Reports the answer of a submission that has ended and cancels its unfinished tasks.
    pub(crate) fn finish_submission(&mut self, completion: Completion) {
        let Completion { answer, unfinished, sequence, .. } = completion;
        let Some(job) = self.jobs.remove(&sequence) else { return };
        self.awaiting_claim.remove(&sequence);
        for task in unfinished {
            self.cancel_task(&job.service, task);
        }
        self.actions.push(Action::Answer {
            answer,
            class: job.class,
            definite: job.definite,
            sequence,
            team: job.team,
        });
    }

    /// Stops a running task, or removes a queued one.
    fn cancel_task(&mut self, service: &ServiceId, task: TaskId) {
        if let Some(start) = self.running_tasks.get(&task) {
            if let Some(running) = self.running.get_mut(start) {
                running.stop_requested = true;
                self.actions.push(Action::Stop { start: *start, upstream: running.slot.upstream.clone() });
            }
        } else if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.cancel(task);
        }
    }

    fn request_loans(&mut self, now: Instant, service: &ServiceId) {
        // Draining does not stop loan requests: a draining entry leads no upstream, so that only borrowed slots can run
        // its queued tasks.
        if !self.policy.loans_enabled {
            return;
        }
        let Some(scheduler) = self.schedulers.get(service) else { return };
        let Some(class) = scheduler.most_urgent_queued() else { return };
        let wanted = u32::try_from(scheduler.queued()).unwrap_or(u32::MAX);
        let limit = u32::try_from(self.policy.max_loan_slots).unwrap_or(u32::MAX);
        while let Some((lender, request)) = self.loans.next_request(now, service, class, wanted, limit) {
            self.totals.loan_requests += 1;
            self.actions.push(Action::RequestLoan { lender, request });
        }
    }

    /// Returns the free borrowed slots of a draining entry. Called after queued tasks have been started on them.
    pub(crate) fn return_loans(&mut self, now: Instant) {
        for (lender, request) in self.router.return_free_slots(now) {
            self.actions.push(Action::ReturnLoan { lender, request });
        }
    }
}
