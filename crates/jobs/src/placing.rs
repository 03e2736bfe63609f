//! Where the tasks of a job go: at first, again after a failed run, and elsewhere when another owner became free.

use std::sync::Arc;
use std::time::Duration;

use hinge_runs::{Assignment, Outcome, RunNumber, TaskReport, whole_ms};
use hinge_wire::{FastMap, ServiceId, UpstreamId};
use tokio::time::Instant;

use crate::job::TaskState;
use crate::table::{Place, Stage};
use crate::{Action, Answer, FailCause, JobNumber, JobTable, Notice, RejectCause};

/// Multiple of the objective after which an answer has lost its use to the caller.
const LATE_FACTOR: u32 = 3;
/// Time that a task waits at its owner before it may be moved to another one.
const MOVE_AFTER: Duration = Duration::from_millis(15);
/// Estimated wait at its owner from which on a move is worth its messages.
const MIN_MOVE_WAIT: Duration = Duration::from_millis(10);

impl JobTable {
    /// Places the tasks of a new job, or rejects it as a whole.
    pub(crate) fn place_all(&mut self, now: Instant, number: JobNumber, slack: Duration, expected: Duration) {
        let Some(job) = self.jobs.get(&number) else { return };
        let (queue, run, id) = (job.request.queue.clone(), job.request.run, job.request.id.clone());
        let mut assigned: Vec<Place> = Vec::new();
        let mut wait = Duration::ZERO;
        let mut load_age = Duration::ZERO;
        let first = self.next_assignment;
        for task in 0..job.request.tasks {
            let Some(choice) = self.owners.choose(now, &queue.service, queue.priority) else {
                self.owners.withdraw(first);
                self.reject(now, number, RejectCause::NoOwner);
                return;
            };
            wait = wait.max(choice.wait);
            load_age = load_age.max(choice.load_age);
            self.owners.sent(choice.owner, &queue.service, queue.priority, first + u64::from(task));
            assigned.push(Place {
                assigned_at: now,
                job: number,
                owner: choice.owner,
                stage: Stage::Waiting,
                task,
            });
        }
        if wait > slack {
            self.owners.withdraw(first);
            self.reject(now, number, RejectCause::Overload);
            return;
        }
        let mut owners: Vec<_> = assigned.iter().map(|place| place.owner).collect();
        owners.sort_unstable();
        owners.dedup();
        self.actions.push(Action::Notice(Notice::Admitted {
            id,
            load_age,
            owners: owners.len(),
            queue: queue.name,
            slack,
            tasks: u32::try_from(assigned.len()).unwrap_or(u32::MAX),
            wait,
        }));
        for place in assigned {
            self.assign(place, run, slack, expected, None);
        }
    }

    pub(crate) fn assign(
        &mut self,
        place: Place,
        run: RunNumber,
        start_within: Duration,
        expected: Duration,
        avoid: Option<UpstreamId>,
    ) {
        let id = self.next_assignment;
        self.next_assignment += 1;
        let Some(job) = self.jobs.get_mut(&place.job) else { return };
        let state = TaskState::Assigned { assignment: id, owner: place.owner };
        match job.tasks.get_mut(place.task as usize) {
            Some(known) => *known = state,
            None => job.tasks.push(state),
        }
        let request = &job.request;
        let assignment = Assignment {
            avoid,
            expected_ms: whole_ms(expected).max(1),
            id,
            need: request.need,
            priority: request.queue.priority,
            run,
            service: request.queue.service.clone(),
            spec: request.spec.clone(),
            start_within_ms: whole_ms(start_within).max(1),
            task: Arc::from(format!("{}.{}", request.task_prefix, place.task)),
        };
        self.assignments.insert(id, place);
        self.actions.push(Action::Assign { assignment, owner: place.owner });
    }

    /// Moves tasks that wait at a busy owner while another one has free slots.
    pub fn rebalance(&mut self, now: Instant) {
        let mut free: FastMap<ServiceId, usize> = FastMap::default();
        let mut recalled = Vec::new();
        for (assignment, place) in &self.assignments {
            if place.stage != Stage::Waiting || now.duration_since(place.assigned_at) < MOVE_AFTER {
                continue;
            }
            let Some(job) = self.jobs.get(&place.job).filter(|job| !job.withdrawn) else { continue };
            let queue = &job.request.queue;
            let free = free.entry(queue.service.clone()).or_insert_with(|| self.owners.free(&queue.service));
            let wait = self.owners.wait_at(place.owner, &queue.service, queue.priority);
            if *free == 0 || wait < MIN_MOVE_WAIT {
                continue;
            }
            *free -= 1;
            recalled.push((*assignment, place.owner, wait));
        }
        for (assignment, owner, wait) in recalled {
            let Some(place) = self.assignments.get_mut(&assignment) else { continue };
            place.stage = Stage::Recalled;
            if let Some(job) = self.jobs.get(&place.job) {
                let id = job.request.id.clone();
                self.actions.push(Action::Notice(Notice::Moved { id, task: place.task, wait }));
            }
            self.actions.push(Action::Recall { assignment, owner });
        }
    }

    /// Places a recalled task at the owner that is best now.
    pub(crate) fn move_task(&mut self, now: Instant, place: Place, report: &TaskReport) {
        let Some(job) = self.jobs.get(&place.job) else { return };
        let queue = &job.request.queue;
        let expected = self.estimates.expected(&queue.name, job.request.estimate);
        let start_within = (job.received_at + job.objective).saturating_duration_since(now + expected);
        let choice = self.owners.choose(now, &queue.service, queue.priority);
        let Some(choice) = choice.filter(|_| !start_within.is_zero()) else {
            self.not_started(now, place, report);
            return;
        };
        self.owners.sent(choice.owner, &queue.service, queue.priority, self.next_assignment);
        let moved = Place { assigned_at: now, owner: choice.owner, stage: Stage::Waiting, ..place };
        self.assign(moved, report.run, start_within, expected, None);
    }

    /// Places a task whose earlier run is known to have ended, while its job is of use to the caller.
    pub(crate) fn place_again(&mut self, now: Instant, place: Place, report: &TaskReport) {
        let Some(job) = self.jobs.get(&place.job) else { return };
        let queue = &job.request.queue;
        let expected = self.estimates.expected(&queue.name, job.request.estimate);
        let use_until = (job.received_at + job.objective * LATE_FACTOR).min(job.expires_at);
        let start_within = use_until.saturating_duration_since(now + expected);
        if start_within.is_zero() {
            self.answer(now, place.job, Answer::Failed(FailCause::Late));
            return;
        }
        let Some(choice) = self.owners.choose(now, &queue.service, queue.priority) else {
            self.answer(now, place.job, Answer::Failed(FailCause::Late));
            return;
        };
        self.actions.push(Action::Notice(Notice::Repeated {
            id: job.request.id.clone(),
            outcome: report.outcome,
            task: place.task,
            upstream: report.upstream.clone(),
        }));
        self.owners.sent(choice.owner, &queue.service, queue.priority, self.next_assignment);
        let again = Place { assigned_at: now, owner: choice.owner, stage: Stage::Waiting, ..place };
        let avoid = if report.outcome == Outcome::Failed { report.upstream.clone() } else { None };
        self.assign(again, report.run + 1, start_within, expected, avoid);
    }
}
