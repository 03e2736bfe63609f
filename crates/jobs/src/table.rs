//! The jobs of one home.

use std::sync::Arc;
use std::time::Duration;

use hinge_runs::{Assignment, AssignmentId, HomeId, Outcome, RunNumber, TaskReport, whole_ms};
use hinge_wire::{FastMap, ServiceId, UpstreamId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::estimate::Estimates;
use crate::job::{Job, TaskState};
use crate::owners::Owners;
use crate::{Action, Answer, FailCause, JobNumber, JobRequest, Notice, OwnerLoad, RejectCause};

/// Multiple of the objective after which an answer has lost its use to the caller.
const LATE_FACTOR: u32 = 3;
/// Shortest and longest time after which a rejected caller is asked to come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(2));

/// Time that a task waits at its owner before it may be moved to another one.
const MOVE_AFTER: Duration = Duration::from_millis(15);
/// Estimated wait at its owner from which on a move is worth its messages.
const MIN_MOVE_WAIT: Duration = Duration::from_millis(10);

/// Where an assignment belongs.
#[derive(Clone, Copy, Debug)]
struct Place {
    assigned_at: Instant,
    job: JobNumber,
    owner: HomeId,
    stage: Stage,
    task: u32,
}

/// How far an assignment has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Asked back from its owner.
    Recalled,
    /// Its start order is on its way.
    Started,
    /// Waits at its owner.
    Waiting,
}

/// The jobs of one home.
#[derive(Debug)]
pub struct JobTable {
    actions: Vec<Action>,
    assignments: FastMap<AssignmentId, Place>,
    estimates: Estimates,
    jobs: FastMap<JobNumber, Job>,
    next_assignment: AssignmentId,
    next_job: JobNumber,
    own: HomeId,
    owners: Owners,
    rng: SmallRng,
}

impl JobTable {
    /// Creates the table of the entry with the incarnation `own`; `seed` makes its random choices repeatable.
    #[must_use]
    pub fn new(own: HomeId, seed: u64) -> Self {
        Self {
            actions: Vec::new(),
            assignments: FastMap::default(),
            estimates: Estimates::default(),
            jobs: FastMap::default(),
            next_assignment: 1,
            next_job: 1,
            own,
            owners: Owners::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Outputs since the last call, in order.
    pub fn drain_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Number of jobs in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.jobs.len()
    }

    /// Number of a queue's jobs none of whose tasks is known to have run.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        self.jobs.values().filter(|job| &*job.request.queue.name == queue && !job.ran).count()
    }

    /// Notes the time that a message to an owner takes.
    pub fn set_distance(&mut self, owner: HomeId, distance: Duration) {
        self.owners.set_distance(owner, distance);
    }

    /// Notes an owner's load.
    pub fn set_load(&mut self, now: Instant, report: OwnerLoad) {
        self.owners.set_load(now, report);
    }

    /// Admits or rejects a job; its answer follows as an action.
    pub fn submit(&mut self, now: Instant, request: JobRequest) -> JobNumber {
        let number = self.next_job;
        self.next_job += 1;
        let expected = self.estimates.expected(&request.queue.name, request.estimate);
        let objective = expected.mul_f64(request.queue.stretch.max(1.0)) + request.queue.target;
        let slack = objective.saturating_sub(expected);
        let tasks = request.tasks;
        let job = Job {
            failed_runs: vec![0; tasks as usize],
            expires_at: now + request.budget,
            objective,
            ran: false,
            received_at: now,
            remaining: tasks,
            request,
            tasks: Vec::with_capacity(tasks as usize),
            withdrawn: false,
        };
        self.jobs.insert(number, job);
        self.place_all(now, number, slack, expected);
        number
    }

    /// Places the tasks of a new job, or rejects it as a whole.
    fn place_all(&mut self, now: Instant, number: JobNumber, slack: Duration, expected: Duration) {
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

    fn assign(
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

    /// The caller of a job has left; nothing of it runs on.
    pub fn abandon(&mut self, now: Instant, number: JobNumber) {
        let Some(job) = self.jobs.remove(&number) else { return };
        let total = now.duration_since(job.received_at);
        let abandoned = Notice::Abandoned { id: job.request.id.clone(), total };
        self.actions.push(Action::Notice(abandoned));
        self.cancel_tasks(&job);
    }

    /// Takes an owner's report into account.
    pub fn report(&mut self, now: Instant, owner: HomeId, report: &TaskReport) {
        let Some(place) = self.assignments.get(&report.assignment).copied() else { return };
        if place.owner != owner {
            return;
        }
        if report.outcome != Outcome::Started {
            self.assignments.remove(&report.assignment);
        } else if let Some(place) = self.assignments.get_mut(&report.assignment) {
            place.stage = Stage::Started;
        }
        let Some(job) = self.jobs.get_mut(&place.job) else { return };
        job.ran |= report.outcome != Outcome::NotStarted;
        if job.withdrawn {
            self.withdrawn(now, place, report.outcome);
            return;
        }
        match report.outcome {
            Outcome::Started => {}
            Outcome::Done => self.task_done(now, place, Duration::from_millis(report.run_time_ms)),
            Outcome::Failed => self.task_failed(now, place, report),
            Outcome::Interrupted => self.place_again(now, place, report),
            Outcome::NotStarted if place.stage == Stage::Recalled => self.move_task(now, place, report),
            Outcome::NotStarted => self.not_started(now, place, report),
            Outcome::Uncertain => self.answer(now, place.job, Answer::Failed(FailCause::Interrupted)),
        }
    }

    fn task_done(&mut self, now: Instant, place: Place, run_time: Duration) {
        let Some(job) = self.jobs.get_mut(&place.job) else { return };
        self.estimates.observe(&job.request.queue.name, job.request.estimate, run_time);
        job.tasks[place.task as usize] = TaskState::Done;
        job.remaining -= 1;
        if job.remaining == 0 {
            self.answer(now, place.job, Answer::Completed);
        }
    }

    fn task_failed(&mut self, now: Instant, place: Place, report: &TaskReport) {
        let Some(job) = self.jobs.get_mut(&place.job) else { return };
        let failed = &mut job.failed_runs[place.task as usize];
        *failed += 1;
        if *failed >= job.request.queue.max_attempts {
            self.answer(now, place.job, Answer::Failed(FailCause::Attempts));
        } else {
            self.place_again(now, place, report);
        }
    }

    /// Takes a job back that cannot start in time; it is rejected only if no owner has started any of its tasks.
    fn withdraw(&mut self, now: Instant, place: Place) {
        let Some(job) = self.jobs.get_mut(&place.job) else { return };
        job.withdrawn = true;
        job.tasks[place.task as usize] = TaskState::NotStarted;
        for task in &job.tasks {
            if let TaskState::Assigned { assignment, owner } = task {
                self.actions.push(Action::Cancel { assignment: *assignment, owner: *owner });
            }
        }
        self.withdrawn(now, place, Outcome::NotStarted);
    }

    fn withdrawn(&mut self, now: Instant, place: Place, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&place.job) else { return };
        if outcome != Outcome::NotStarted {
            self.answer(now, place.job, Answer::Failed(FailCause::Late));
            return;
        }
        job.tasks[place.task as usize] = TaskState::NotStarted;
        if job.tasks.iter().all(|task| matches!(task, TaskState::NotStarted)) {
            self.reject(now, place.job, RejectCause::Overload);
        }
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
    fn move_task(&mut self, now: Instant, place: Place, report: &TaskReport) {
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

    /// A task came back without a start: a job that has begun is finished, another one is taken back.
    fn not_started(&mut self, now: Instant, place: Place, report: &TaskReport) {
        if self.jobs.get(&place.job).is_some_and(|job| job.ran) {
            self.place_again(now, place, report);
        } else {
            self.withdraw(now, place);
        }
    }

    /// Places a task whose earlier run is known to have ended, while its job is of use to the caller.
    fn place_again(&mut self, now: Instant, place: Place, report: &TaskReport) {
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

    /// The link to an owner is down: whether the runs there still exist is unknown.
    pub fn owner_lost(&mut self, now: Instant, owner: HomeId) {
        self.owners.remove(owner);
        let lost: Vec<_> = self
            .assignments
            .extract_if(|_, place| place.owner == owner)
            .map(|(_, place)| place.job)
            .collect();
        for job in lost {
            self.answer(now, job, Answer::Failed(FailCause::Interrupted));
        }
    }

    /// The process stood still: callers have given up or will soon.
    pub fn suspended(&mut self, now: Instant) {
        let numbers: Vec<_> = self.jobs.keys().copied().collect();
        for number in numbers {
            self.answer(now, number, Answer::Failed(FailCause::Interrupted));
        }
    }

    /// Ends jobs whose callers no longer wait.
    pub fn tick(&mut self, now: Instant) {
        let expired: Vec<_> =
            self.jobs.iter().filter(|(_, job)| now >= job.expires_at).map(|(number, _)| *number).collect();
        for number in expired {
            self.answer(now, number, Answer::Failed(FailCause::Late));
        }
    }

    fn answer(&mut self, now: Instant, number: JobNumber, answer: Answer) {
        let Some(job) = self.jobs.remove(&number) else { return };
        self.cancel_tasks(&job);
        self.actions.push(Action::Notice(Notice::Answered {
            answer,
            id: job.request.id.clone(),
            queue: job.request.queue.name.clone(),
            total: now.duration_since(job.received_at),
        }));
        self.actions.push(Action::Answer { answer, job: number });
    }

    fn cancel_tasks(&mut self, job: &Job) {
        for task in &job.tasks {
            let TaskState::Assigned { assignment, owner } = task else { continue };
            if self.assignments.remove(assignment).is_some() {
                self.actions.push(Action::Cancel { assignment: *assignment, owner: *owner });
            }
        }
    }

    /// Rejects a job none of whose tasks has started, and spreads the return of rejected callers.
    fn reject(&mut self, now: Instant, number: JobNumber, cause: RejectCause) {
        let retry_after = self.rng.random_range(RETRY_AFTER.0..RETRY_AFTER.1);
        self.answer(now, number, Answer::Rejected { cause, retry_after });
    }

    /// Incarnation of this entry.
    #[must_use]
    pub const fn own(&self) -> HomeId {
        self.own
    }
}
