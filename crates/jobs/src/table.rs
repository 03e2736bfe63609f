//! The jobs of one home.

use std::time::Duration;

use hinge_runs::{AssignmentId, HomeId, Outcome, TaskReport};
use hinge_wire::{FastMap, FastSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::estimate::Estimates;
use crate::job::{Job, TaskState};
use crate::owners::Owners;
use crate::{Action, Answer, FailCause, JobNumber, JobRequest, Notice, OwnerLoad, RejectCause};

/// Shortest and longest time after which a rejected caller is asked to come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(2));

/// Where an assignment belongs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub(crate) assigned_at: Instant,
    pub(crate) job: JobNumber,
    /// Owners in a row that had no room for the task although their reports said so.
    pub(crate) returned: u32,
    pub(crate) owner: HomeId,
    pub(crate) stage: Stage,
    pub(crate) task: u32,
}

/// How far an assignment has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// Offered to its owner, which starts it or returns it at once.
    Offered,
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
    pub(crate) actions: Vec<Action>,
    pub(crate) assignments: FastMap<AssignmentId, Place>,
    pub(crate) estimates: Estimates,
    pub(crate) jobs: FastMap<JobNumber, Job>,
    pub(crate) next_assignment: AssignmentId,
    pub(crate) next_job: JobNumber,
    pub(crate) own: HomeId,
    pub(crate) owners: Owners,
    /// Until when the first owners may still become known; none when the entry is not starting.
    pub(crate) owners_expected_until: Option<Instant>,
    pub(crate) rng: SmallRng,
    /// Jobs that wait for the first owner.
    pub(crate) unplaced: Vec<JobNumber>,
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
            owners: Owners::new(own),
            owners_expected_until: None,
            rng: SmallRng::seed_from_u64(seed),
            unplaced: Vec::new(),
        }
    }

    /// Lets jobs wait for the first owner until then, within their slack, instead of being rejected.
    pub fn expect_owners(&mut self, until: Instant) {
        self.owners_expected_until = Some(until);
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

    /// Owners that hold tasks of this home.
    pub fn owners_in_use(&self) -> impl Iterator<Item = HomeId> {
        self.assignments.values().map(|place| place.owner)
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

    /// Notes which owners have been silent for longer than usual; they get new tasks only when there is no other.
    pub fn set_unresponsive_owners(&mut self, owners: FastSet<HomeId>) {
        self.owners.set_unresponsive_owners(owners);
    }

    /// Notes an owner's load.
    pub fn set_load(&mut self, now: Instant, report: OwnerLoad) {
        let usable = report.load.slots > 0;
        self.owners.set_load(now, report);
        if usable {
            for number in std::mem::take(&mut self.unplaced) {
                self.place_all(now, number);
            }
        }
    }

    /// Admits or rejects a job; its answer follows as an action.
    pub fn submit(&mut self, now: Instant, request: JobRequest) -> JobNumber {
        let number = self.next_job;
        self.next_job += 1;
        let expected = self.estimates.expected(&request.queue.name, request.estimate);
        let objective = expected.mul_f64(request.queue.stretch.max(1.0)) + request.queue.target;
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
        self.place_all(now, number);
        number
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
            Outcome::NotStarted if matches!(place.stage, Stage::Offered | Stage::Recalled) => {
                self.move_task(now, place, report);
            }
            Outcome::NotStarted => self.not_started(now, place, report),
            Outcome::Uncertain => self.answer(now, place.job, Answer::Failed(FailCause::Interrupted)),
        }
    }

    pub(crate) fn task_done(&mut self, now: Instant, place: Place, run_time: Duration) {
        let Some(job) = self.jobs.get_mut(&place.job) else { return };
        self.estimates.observe(&job.request.queue.name, job.request.estimate, run_time);
        job.tasks[place.task as usize] = TaskState::Done;
        job.remaining -= 1;
        if job.remaining == 0 {
            self.answer(now, place.job, Answer::Completed);
        }
    }

    pub(crate) fn task_failed(&mut self, now: Instant, place: Place, report: &TaskReport) {
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
    pub(crate) fn withdraw(&mut self, now: Instant, place: Place) {
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

    pub(crate) fn withdrawn(&mut self, now: Instant, place: Place, outcome: Outcome) {
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

    /// A task came back without a start: a job that has begun is finished, another one is taken back.
    pub(crate) fn not_started(&mut self, now: Instant, place: Place, report: &TaskReport) {
        if self.jobs.get(&place.job).is_some_and(|job| job.ran) {
            self.place_again(now, place, report);
        } else {
            self.withdraw(now, place);
        }
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
        for number in std::mem::take(&mut self.unplaced) {
            self.reject(now, number, RejectCause::NoOwner);
        }
        let numbers: Vec<_> = self.jobs.keys().copied().collect();
        for number in numbers {
            self.answer(now, number, Answer::Failed(FailCause::Interrupted));
        }
    }

    /// Ends jobs whose callers no longer wait.
    pub fn tick(&mut self, now: Instant) {
        self.reject_unplaced(now);
        let expired: Vec<_> =
            self.jobs.iter().filter(|(_, job)| now >= job.expires_at).map(|(number, _)| *number).collect();
        for number in expired {
            self.answer(now, number, Answer::Failed(FailCause::Late));
        }
    }

    /// Rejects jobs that have waited for an owner for as long as they could.
    fn reject_unplaced(&mut self, now: Instant) {
        let unplaced = std::mem::take(&mut self.unplaced);
        let expected = self.owners_expected_until.is_some_and(|until| now < until);
        let (waiting, over): (Vec<_>, Vec<_>) =
            unplaced.into_iter().partition(|number| expected && !self.slack(now, *number).is_zero());
        self.unplaced = waiting;
        for number in over {
            self.reject(now, number, RejectCause::NoOwner);
        }
    }

    pub(crate) fn answer(&mut self, now: Instant, number: JobNumber, answer: Answer) {
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

    pub(crate) fn cancel_tasks(&mut self, job: &Job) {
        for task in &job.tasks {
            let TaskState::Assigned { assignment, owner } = task else { continue };
            if self.assignments.remove(assignment).is_some() {
                self.actions.push(Action::Cancel { assignment: *assignment, owner: *owner });
            }
        }
    }

    /// Rejects a job none of whose tasks has started, and spreads the return of rejected callers.
    pub(crate) fn reject(&mut self, now: Instant, number: JobNumber, cause: RejectCause) {
        let retry_after = self.rng.random_range(RETRY_AFTER.0..RETRY_AFTER.1);
        self.answer(now, number, Answer::Rejected { cause, retry_after });
    }

    /// Incarnation of this entry.
    #[must_use]
    pub const fn own(&self) -> HomeId {
        self.own
    }
}
