//! Placement of tasks at owners: first placement, retries, and moves to owners that have become free.

use std::time::Duration;

use hinge_runs::{Assignment, Outcome, RunNumber, TaskReport, whole_ms};
use hinge_wire::UpstreamId;
use tokio::time::Instant;

use crate::job::TaskState;
use crate::owners::{Choice, Demand};
use crate::table::{Placement, Stage};
use crate::{Action, Answer, FailCause, JobNumber, JobRequest, JobTable, Notice, RejectCause};

/// Time that a task must have waited at its owner before it may be moved to another one.
const MOVE_AFTER: Duration = Duration::from_millis(15);
/// Minimum estimated wait at its owner for which moving a task is worth the messages.
const MIN_MOVE_WAIT: Duration = Duration::from_millis(10);
/// Number of consecutive owners that may return a task for lack of room; the next owner queues it.
const MAX_RETURNS: u32 = 3;
/// Number of consecutive returns after which a task that fits only in evacuated data centres is given up. Its home may itself
/// be the owner that returns it at once.
const MAX_EVACUATED_RETURNS: u32 = 8;

/// A new job that must wait is expected to wait at least this multiple of the longest wait in its queue so far, because
/// the tasks that have waited so long are still waiting.
const WAIT_GROWTH: f64 = 1.5;

/// Parameters of one start of a task.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) avoid: Option<UpstreamId>,
    pub(crate) expected: Duration,
    /// Whether the job can no longer meet its objective.
    pub(crate) late: bool,
    pub(crate) run: RunNumber,
    pub(crate) start_within: Duration,
}

impl JobTable {
    /// Places the tasks of a new job, or rejects it as a whole.
    pub(crate) fn place_job(&mut self, now: Instant, number: JobNumber) {
        let slack = self.slack(now, number);
        let Some(job) = self.jobs.get(&number) else { return };
        let expected = self.estimates.expected(&job.request.queue.name, job.request.estimate);
        let (queue, run, id) = (job.request.queue.clone(), job.request.run, job.request.id.clone());
        let (demand, tasks) = (demand(&job.request), job.request.tasks);
        let mut assigned: Vec<Placement> = Vec::new();
        let mut wait = Duration::ZERO;
        let mut load_age = Duration::ZERO;
        let first = self.next_assignment;
        for task in 0..tasks {
            let Some(choice) = self.owners.choose(now, &demand, &mut self.rng) else {
                self.owners.remove_sent_since(first);
                self.wait_for_owner(now, number);
                return;
            };
            wait = wait.max(choice.wait.unwrap_or_default());
            load_age = load_age.max(choice.load_age);
            self.owners.record_sent(choice.owner, &demand, first + u64::from(task));
            assigned.push(new_placement(now, number, task, choice));
        }
        if wait > Duration::ZERO {
            wait = wait.max(self.longest_wait(now, &queue.name).mul_f64(WAIT_GROWTH));
        }
        if wait > slack {
            self.owners.remove_sent_since(first);
            self.reject(now, number, RejectCause::Overload);
            return;
        }
        let mut owners: Vec<_> = assigned.iter().map(|placement| placement.owner).collect();
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
        for placement in assigned {
            self.assign(placement, Attempt { avoid: None, expected, late: false, run, start_within: slack });
        }
    }

    /// Time in which the last task of a job must start for the job to meet its objective and to end before its
    /// caller stops waiting.
    pub(crate) fn slack(&self, now: Instant, number: JobNumber) -> Duration {
        let Some(job) = self.jobs.get(&number) else { return Duration::ZERO };
        let expected = self.estimates.expected(&job.request.queue.name, job.request.estimate);
        let end_by = job.objective_at.min(job.expires_at);
        end_by.saturating_duration_since(now + expected)
    }

    /// Keeps a job for which no owner is known if this entry has just started and owners are still expected; otherwise
    /// rejects it.
    fn wait_for_owner(&mut self, now: Instant, number: JobNumber) {
        let starting = self.owners_expected_until.is_some_and(|until| now < until);
        if starting && !self.slack(now, number).is_zero() {
            self.unplaced.push(number);
        } else {
            self.reject(now, number, RejectCause::NoOwner);
        }
    }

    /// Longest time that the waiting tasks of a queue have waited, without jobs that have missed their objective. It
    /// covers what the owners' reports cannot predict: more urgent tasks that overtake the waiting ones.
    fn longest_wait(&self, now: Instant, queue: &str) -> Duration {
        let is_waiting =
            |placement: &&Placement| placement.stage == Stage::Waiting && placement.ended_by.is_none();
        let waiting = self.assignments.values().filter(is_waiting);
        let jobs = waiting.filter_map(|placement| self.jobs.get(&placement.job));
        let in_time = jobs.filter(|job| &*job.request.queue.name == queue && now < job.objective_at);
        in_time.map(|job| now.duration_since(job.received_at)).max().unwrap_or_default()
    }

    fn assign(&mut self, placement: Placement, attempt: Attempt) {
        let id = self.next_assignment;
        self.next_assignment += 1;
        let Some(job) = self.jobs.get_mut(&placement.job) else { return };
        let state = TaskState::Assigned { assignment: id, owner: placement.owner };
        match job.tasks.get_mut(placement.task as usize) {
            Some(current) => *current = state,
            None => job.tasks.push(state),
        }
        let request = &job.request;
        let task = request.task_name(placement.task);
        let assignment = Assignment {
            avoid: attempt.avoid.or_else(|| self.lost_runs.last_upstream(&task)),
            expected_ms: whole_ms(attempt.expected).max(1),
            id,
            late: attempt.late,
            need: request.need,
            priority: request.queue.priority,
            run: attempt.run,
            service: request.queue.service.clone(),
            spec: request.spec.clone(),
            start_within_ms: whole_ms(attempt.start_within).max(1),
            task,
            waits: placement.stage == Stage::Waiting,
            kind: Some(request.queue.name.clone()),
        };
        self.assignments.insert(id, placement);
        self.actions.push(Action::Assign { assignment, owner: placement.owner });
    }

    /// Assigns a task of a job in progress to the owner that is best now; false if there is no owner.
    fn assign_to_best_owner(&mut self, now: Instant, placement: Placement, attempt: Attempt) -> bool {
        let Some(job) = self.jobs.get(&placement.job) else { return false };
        let demand = demand(&job.request);
        let Some(choice) = self.owners.choose(now, &demand, &mut self.rng) else { return false };
        self.owners.record_sent(choice.owner, &demand, self.next_assignment);
        let mut next = Placement {
            returned: placement.returned,
            ..new_placement(now, placement.job, placement.task, choice)
        };
        if next.returned >= MAX_RETURNS {
            next.stage = Stage::Waiting;
        }
        self.assign(next, attempt);
        true
    }

    /// Recalls tasks that wait at a busy owner while another one has room, so that they can be placed there.
    pub fn rebalance(&mut self, now: Instant) {
        let mut waiting: Vec<_> = self
            .assignments
            .iter()
            .filter(|(_, placement)| {
                let moves = placement.stage == Stage::Waiting && placement.ended_by.is_none();
                moves && now.duration_since(placement.assigned_at) >= MOVE_AFTER
            })
            .filter_map(|(assignment, placement)| {
                let job = self.jobs.get(&placement.job).filter(|job| !job.withdrawn)?;
                Some((job.request.queue.priority, job.received_at, *assignment, *placement))
            })
            .collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort_unstable_by_key(|(priority, received_at, assignment, _)| {
            (*priority, *received_at, *assignment)
        });
        let mut rooms = self.owners.rooms();
        for (priority, _, assignment, placement) in waiting {
            let Some(job) = self.jobs.get(&placement.job) else { continue };
            let demand = demand(&job.request);
            let wait = self.owners.estimated_wait_at(placement.owner, &demand.service, priority);
            if wait < MIN_MOVE_WAIT || !rooms.reserve_elsewhere(placement.owner, &demand) {
                continue;
            }
            let id = job.request.id.clone();
            self.actions.push(Action::Notice(Notice::Moved { id, task: placement.task, wait }));
            self.actions.push(Action::Recall { assignment, owner: placement.owner });
            if let Some(placement) = self.assignments.get_mut(&assignment) {
                placement.stage = Stage::Recalled;
            }
        }
    }

    /// Places a task that its owner returned without a start at the owner that is best now.
    pub(crate) fn move_returned_task(&mut self, now: Instant, placement: Placement, report: &TaskReport) {
        if self.give_up_crashing(now, placement.job, [placement.task].into_iter()) {
            return;
        }
        let returned = if placement.stage == Stage::Offered { placement.returned + 1 } else { 0 };
        self.place_again(now, Placement { returned, ..placement }, report);
    }

    /// Places a task that has not run within the slack of its job.
    fn place_again(&mut self, now: Instant, placement: Placement, report: &TaskReport) {
        let Some(job) = self.jobs.get(&placement.job) else { return };
        if placement.stage == Stage::Offered {
            let demand = demand(&job.request);
            self.owners.record_no_room(placement.owner, &demand.service, demand.cpu_millis);
        }
        let expected = self.estimates.expected(&job.request.queue.name, job.request.estimate);
        let start_within = self.slack(now, placement.job);
        let attempt = Attempt { avoid: None, expected, late: false, run: report.run, start_within };
        if start_within.is_zero() || !self.assign_to_best_owner(now, placement, attempt) {
            self.handle_not_started(now, placement, report);
        }
    }

    /// Places a task elsewhere that its owner returned without a start, since it fits only in evacuated data centres. If there
    /// is no other place, the job is rejected, or fails if some of it may have run.
    pub(crate) fn move_evacuated_task(&mut self, now: Instant, placement: Placement, report: &TaskReport) {
        if self.give_up_crashing(now, placement.job, [placement.task].into_iter()) {
            return;
        }
        let Some(job) = self.jobs.get(&placement.job) else { return };
        let may_have_run = job.may_have_run;
        let placement = Placement { returned: placement.returned + 1, ..placement };
        let is_given_up = placement.returned > MAX_EVACUATED_RETURNS
            || (!may_have_run && self.has_no_room_in_time(now, placement.job));
        match (may_have_run, is_given_up) {
            (true, true) => self.answer(now, placement.job, Answer::Failed(FailCause::Late)),
            (true, false) => self.retry_task(now, placement, report),
            (false, true) => self.withdraw_job(now, placement),
            (false, false) => self.place_again(now, placement, report),
        }
    }

    /// Whether a task of a job would wait for longer than the job's slack at the best owner.
    fn has_no_room_in_time(&mut self, now: Instant, number: JobNumber) -> bool {
        let slack = self.slack(now, number);
        let Some(job) = self.jobs.get(&number) else { return true };
        let demand = demand(&job.request);
        let choice = self.owners.choose(now, &demand, &mut self.rng);
        choice.is_none_or(|choice| choice.wait.is_some_and(|wait| wait > slack))
    }

    /// Starts a task again whose previous run is known to have ended. The job fails if the answer would come too late
    /// to be of use to the caller, or if the task may crash further upstreams.
    pub(crate) fn retry_task(&mut self, now: Instant, placement: Placement, report: &TaskReport) {
        if self.give_up_crashing(now, placement.job, [placement.task].into_iter()) {
            return;
        }
        let Some(job) = self.jobs.get(&placement.job) else { return };
        let expected = self.estimates.expected(&job.request.queue.name, job.request.estimate);
        let start_within = job.use_until.saturating_duration_since(now + expected);
        let repeated = Notice::Repeated {
            id: job.request.id.clone(),
            outcome: report.outcome,
            task: placement.task,
            upstream: report.upstream.clone(),
        };
        let avoid = if report.outcome == Outcome::NotStarted { None } else { report.upstream.clone() };
        let late = now + expected > job.objective_at;
        let attempt = Attempt { avoid, expected, late, run: report.run.saturating_add(1), start_within };
        if start_within.is_zero() || !self.assign_to_best_owner(now, placement, attempt) {
            self.answer(now, placement.job, Answer::Failed(FailCause::Late));
            return;
        }
        self.actions.push(Action::Notice(repeated));
    }
}

fn demand(request: &JobRequest) -> Demand {
    Demand {
        cpu_millis: request.need.cpu_millis,
        priority: request.queue.priority,
        service: request.queue.service.clone(),
    }
}

fn new_placement(now: Instant, job: JobNumber, task: u32, choice: Choice) -> Placement {
    let stage = if choice.wait.is_none() { Stage::Offered } else { Stage::Waiting };
    Placement { assigned_at: now, ended_by: None, job, returned: 0, owner: choice.owner, stage, task }
}
