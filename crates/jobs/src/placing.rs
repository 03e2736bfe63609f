//! Where the tasks of a job go: at first, again after a failed run, and elsewhere when another owner became free.

use std::sync::Arc;
use std::time::Duration;

use hinge_runs::{Assignment, Outcome, RunNumber, TaskReport, whole_ms};
use hinge_wire::UpstreamId;
use tokio::time::Instant;

use crate::job::TaskState;
use crate::owners::{Choice, Demand};
use crate::table::{Place, Stage};
use crate::{Action, Answer, FailCause, JobNumber, JobRequest, JobTable, Notice, RejectCause};

/// Multiple of the objective after which an answer has lost its use to the caller.
const LATE_FACTOR: u32 = 3;
/// Time that a task waits at its owner before it may be moved to another one.
const MOVE_AFTER: Duration = Duration::from_millis(15);
/// Estimated wait at its owner from which on a move is worth its messages.
const MIN_MOVE_WAIT: Duration = Duration::from_millis(10);
/// Owners in a row that may return a task before it waits at the next one.
const MAX_RETURNS: u32 = 3;

/// Wait to expect over the longest wait of the tasks that wait now; theirs goes on.
const WAIT_GROWTH: f64 = 1.5;

/// How a task is to be started.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) avoid: Option<UpstreamId>,
    pub(crate) expected: Duration,
    /// Whether the job can end only after its objective.
    pub(crate) late: bool,
    pub(crate) run: RunNumber,
    pub(crate) start_within: Duration,
}

impl JobTable {
    /// Places the tasks of a new job, or rejects it as a whole.
    pub(crate) fn place_all(&mut self, now: Instant, number: JobNumber) {
        let slack = self.slack(now, number);
        let Some(job) = self.jobs.get(&number) else { return };
        let expected = self.estimates.expected(&job.request.queue.name, job.request.estimate);
        let (queue, run, id) = (job.request.queue.clone(), job.request.run, job.request.id.clone());
        let (demand, tasks) = (demand(&job.request), job.request.tasks);
        let mut assigned: Vec<Place> = Vec::new();
        let mut wait = Duration::ZERO;
        let mut load_age = Duration::ZERO;
        let first = self.next_assignment;
        for task in 0..tasks {
            let Some(choice) = self.owners.choose(now, &demand, &mut self.rng) else {
                self.owners.withdraw(first);
                self.wait_for_owner(now, number);
                return;
            };
            wait = wait.max(choice.wait.unwrap_or_default());
            load_age = load_age.max(choice.load_age);
            self.owners.sent(choice.owner, &demand, first + u64::from(task));
            assigned.push(new_place(now, number, task, choice));
        }
        if wait > Duration::ZERO {
            wait = wait.max(self.longest_wait(now, &queue.name).mul_f64(WAIT_GROWTH));
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
            self.assign(place, Attempt { avoid: None, expected, late: false, run, start_within: slack });
        }
    }

    /// Time in which the last task of a new job must start: the job is to end inside its objective, and before its caller
    /// leaves.
    pub(crate) fn slack(&self, now: Instant, number: JobNumber) -> Duration {
        let Some(job) = self.jobs.get(&number) else { return Duration::ZERO };
        let expected = self.estimates.expected(&job.request.queue.name, job.request.estimate);
        let end_by = (job.received_at + job.objective).min(job.expires_at);
        end_by.saturating_duration_since(now + expected)
    }

    /// Keeps a job of an entry that has just started until its owners are known; rejects it otherwise.
    fn wait_for_owner(&mut self, now: Instant, number: JobNumber) {
        let starting = self.owners_expected_until.is_some_and(|until| now < until);
        if starting && !self.slack(now, number).is_zero() {
            self.unplaced.push(number);
        } else {
            self.reject(now, number, RejectCause::NoOwner);
        }
    }

    /// How long the tasks of a queue that wait and can still be in time have waited at most. More urgent work overtakes
    /// them, which the owners' reports do not foresee.
    fn longest_wait(&self, now: Instant, queue: &str) -> Duration {
        let waiting = self.assignments.values().filter(|place| place.stage == Stage::Waiting);
        let jobs = waiting.filter_map(|place| self.jobs.get(&place.job));
        let in_time =
            jobs.filter(|job| &*job.request.queue.name == queue && now < job.received_at + job.objective);
        in_time.map(|job| now.duration_since(job.received_at)).max().unwrap_or_default()
    }

    fn assign(&mut self, place: Place, attempt: Attempt) {
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
            avoid: attempt.avoid,
            expected_ms: whole_ms(attempt.expected).max(1),
            id,
            late: attempt.late,
            need: request.need,
            priority: request.queue.priority,
            run: attempt.run,
            service: request.queue.service.clone(),
            spec: request.spec.clone(),
            start_within_ms: whole_ms(attempt.start_within).max(1),
            task: Arc::from(format!("{}.{}", request.task_prefix, place.task)),
            waits: place.stage == Stage::Waiting,
        };
        self.assignments.insert(id, place);
        self.actions.push(Action::Assign { assignment, owner: place.owner });
    }

    /// Chooses an owner for one task of a job in progress and hands it over; false when there is no owner.
    fn hand_over(&mut self, now: Instant, place: Place, attempt: Attempt) -> bool {
        let Some(job) = self.jobs.get(&place.job) else { return false };
        let demand = demand(&job.request);
        let Some(choice) = self.owners.choose(now, &demand, &mut self.rng) else { return false };
        self.owners.sent(choice.owner, &demand, self.next_assignment);
        let mut next = Place { returned: place.returned, ..new_place(now, place.job, place.task, choice) };
        if next.returned >= MAX_RETURNS {
            next.stage = Stage::Waiting;
        }
        self.assign(next, attempt);
        true
    }

    /// Moves tasks that wait at a busy owner while another one has room.
    pub fn rebalance(&mut self, now: Instant) {
        let mut waiting: Vec<_> = self
            .assignments
            .iter()
            .filter(|(_, place)| {
                place.stage == Stage::Waiting && now.duration_since(place.assigned_at) >= MOVE_AFTER
            })
            .filter_map(|(assignment, place)| {
                let job = self.jobs.get(&place.job).filter(|job| !job.withdrawn)?;
                Some((job.request.queue.priority, job.received_at, *assignment, *place))
            })
            .collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort_unstable_by_key(|(priority, received_at, assignment, _)| {
            (*priority, *received_at, *assignment)
        });
        let mut rooms = self.owners.rooms();
        for (priority, _, assignment, place) in waiting {
            let Some(job) = self.jobs.get(&place.job) else { continue };
            let demand = demand(&job.request);
            let wait = self.owners.wait_at(place.owner, &demand.service, priority);
            if wait < MIN_MOVE_WAIT || !rooms.take_elsewhere(place.owner, &demand) {
                continue;
            }
            let id = job.request.id.clone();
            self.actions.push(Action::Notice(Notice::Moved { id, task: place.task, wait }));
            self.actions.push(Action::Recall { assignment, owner: place.owner });
            if let Some(place) = self.assignments.get_mut(&assignment) {
                place.stage = Stage::Recalled;
            }
        }
    }

    /// Places a task that an owner gave back before its start at the owner that is best now.
    pub(crate) fn move_task(&mut self, now: Instant, place: Place, report: &TaskReport) {
        let Some(job) = self.jobs.get(&place.job) else { return };
        let expected = self.estimates.expected(&job.request.queue.name, job.request.estimate);
        let start_within = (job.received_at + job.objective).saturating_duration_since(now + expected);
        let returned = if place.stage == Stage::Offered { place.returned + 1 } else { 0 };
        let place = Place { returned, ..place };
        let attempt = Attempt { avoid: None, expected, late: false, run: report.run, start_within };
        if start_within.is_zero() || !self.hand_over(now, place, attempt) {
            self.not_started(now, place, report);
        }
    }

    /// Places a task whose earlier run is known to have ended, while its job is of use to the caller.
    pub(crate) fn place_again(&mut self, now: Instant, place: Place, report: &TaskReport) {
        let Some(job) = self.jobs.get(&place.job) else { return };
        let expected = self.estimates.expected(&job.request.queue.name, job.request.estimate);
        let use_until = (job.received_at + job.objective * LATE_FACTOR).min(job.expires_at);
        let start_within = use_until.saturating_duration_since(now + expected);
        let repeated = Notice::Repeated {
            id: job.request.id.clone(),
            outcome: report.outcome,
            task: place.task,
            upstream: report.upstream.clone(),
        };
        let avoid = if report.outcome == Outcome::NotStarted { None } else { report.upstream.clone() };
        let late = now + expected > job.received_at + job.objective;
        let attempt = Attempt { avoid, expected, late, run: report.run + 1, start_within };
        if start_within.is_zero() || !self.hand_over(now, place, attempt) {
            self.answer(now, place.job, Answer::Failed(FailCause::Late));
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

fn new_place(now: Instant, job: JobNumber, task: u32, choice: Choice) -> Place {
    let stage = if choice.wait.is_none() { Stage::Offered } else { Stage::Waiting };
    Place { assigned_at: now, job, returned: 0, owner: choice.owner, stage, task }
}
