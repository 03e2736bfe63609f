//! Table of the jobs in progress at one home.

use std::time::Duration;

use hinge_runs::{AssignmentId, HomeId, LostRun, Outcome, Resources, TaskReport, bounded_ms};
use hinge_wire::{FastMap, FastSet, ServiceId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::budget::Budgets;
use crate::ending::Ending;
use crate::estimate::Estimates;
use crate::job::{Job, TaskState};
use crate::lost_runs::{LostRuns, Source};
use crate::owners::Owners;
use crate::{Action, Answer, FailCause, JobNumber, JobRequest, Notice, OwnerLoad, RejectCause};

/// Bounds of the random retry delay for rejected callers.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(2));
/// Multiple of the objective after which an answer is of no use to the caller; tasks are not retried beyond it.
const LATE_FACTOR: u32 = 3;

/// The task, job and owner of an assignment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub(crate) assigned_at: Instant,
    /// When the run, if there is one, has ended for certain; none unless it was cancelled or its owner lost.
    pub(crate) ended_by: Option<Instant>,
    pub(crate) job: JobNumber,
    /// Number of consecutive owners that returned the task for lack of room although their reports showed some, or since it
    /// fits only in evacuated data centres.
    pub(crate) returned: u32,
    pub(crate) owner: HomeId,
    pub(crate) stage: Stage,
    pub(crate) task: u32,
}

/// State of an assignment at its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// The owner starts it or returns it at once.
    Offered,
    /// The owner was asked to return it unless it has started.
    Recalled,
    /// The owner has sent a start order.
    Started,
    /// The owner may queue it.
    Waiting,
}

/// State machine for the jobs of one home: inputs are method calls, outputs are [`Action`]s.
#[derive(Debug)]
pub struct JobTable {
    pub(crate) actions: Vec<Action>,
    pub(crate) assignments: FastMap<AssignmentId, Placement>,
    pub(crate) budgets: Budgets,
    /// Sizes of the registered upstreams by service, without duplicates.
    capacities: FastMap<ServiceId, Vec<Resources>>,
    /// Decided answers of jobs whose runs may exist.
    pub(crate) ending: FastMap<JobNumber, Ending>,
    pub(crate) estimates: Estimates,
    /// When all jobs must have ended, once the entry drains.
    finish_by: Option<Instant>,
    pub(crate) jobs: FastMap<JobNumber, Job>,
    pub(crate) lost_runs: LostRuns,
    pub(crate) next_assignment: AssignmentId,
    pub(crate) next_job: JobNumber,
    pub(crate) home: HomeId,
    pub(crate) owners: Owners,
    /// Until when jobs wait for a first owner; none unless [`Self::expect_owners`] was called.
    pub(crate) owners_expected_until: Option<Instant>,
    pub(crate) rng: SmallRng,
    /// Jobs that wait for a first owner.
    pub(crate) unplaced: Vec<JobNumber>,
}

impl JobTable {
    /// Creates the table of the entry with the incarnation `home`; `seed` makes its random choices reproducible.
    #[must_use]
    pub fn new(home: HomeId, seed: u64) -> Self {
        Self {
            actions: Vec::new(),
            assignments: FastMap::default(),
            budgets: Budgets::default(),
            capacities: FastMap::default(),
            ending: FastMap::default(),
            estimates: Estimates::default(),
            finish_by: None,
            jobs: FastMap::default(),
            lost_runs: LostRuns::default(),
            next_assignment: 1,
            next_job: 1,
            home,
            owners: Owners::new(home),
            owners_expected_until: None,
            rng: SmallRng::seed_from_u64(seed),
            unplaced: Vec::new(),
        }
    }

    /// Lets jobs wait for a first owner until `until`, within their slack, instead of rejecting them at once.
    pub fn expect_owners(&mut self, until: Instant) {
        self.owners_expected_until = Some(until);
    }

    /// Ends all jobs by `finish_by`: later jobs are rejected unless they can end by then, and what is unfinished then is
    /// cancelled and answered.
    pub fn finish_by(&mut self, finish_by: Instant) {
        self.finish_by = Some(finish_by);
        for job in self.jobs.values_mut() {
            job.expires_at = job.expires_at.min(finish_by);
            job.use_until = job.use_until.min(finish_by);
        }
    }

    /// Removes and returns the actions since the last call, in order.
    pub fn drain_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Number of jobs in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.jobs.len()
    }

    /// Owners with assignments of this home; an owner can occur several times.
    pub fn owners_in_use(&self) -> impl Iterator<Item = HomeId> {
        self.assignments.values().map(|placement| placement.owner)
    }

    /// Number of jobs of a queue none of whose tasks is known to have started.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        self.jobs.values().filter(|job| &*job.request.queue.name == queue && !job.may_have_run).count()
    }

    /// Sets the assumed latency of messages to an owner. It is added to the owner's estimated wait when owners are
    /// compared.
    pub fn set_latency(&mut self, owner: HomeId, latency: Duration) {
        self.owners.set_latency(owner, latency);
    }

    /// Sets the owners that have sent no message for longer than usual. They get new tasks only if there is no other
    /// owner.
    pub fn set_unresponsive_owners(&mut self, owners: FastSet<HomeId>) {
        self.owners.set_unresponsive_owners(owners);
    }

    /// Stores an owner's load report, and places jobs that wait for a first owner.
    pub fn set_load(&mut self, now: Instant, report: OwnerLoad) {
        let usable = report.load.slots > 0;
        self.owners.set_load(now, report);
        if usable {
            for number in std::mem::take(&mut self.unplaced) {
                self.place_job(now, number);
            }
        }
    }

    /// Admits or rejects a job; [`Action::Answer`] follows, possibly at once, and never while a run of the job may exist.
    pub fn submit(&mut self, now: Instant, request: JobRequest) -> JobNumber {
        let request = request.bounded();
        let number = self.next_job;
        self.next_job += 1;
        let expected = self.estimates.expected(&request.queue.name, request.estimate);
        let objective = expected.mul_f64(request.queue.stretch) + request.queue.target;
        let waited = self.budgets.waited(&request.queue, request.budget);
        let caller_leaves_at = now + request.budget;
        let expires_at = self.finish_by.map_or(caller_leaves_at, |finish_by| caller_leaves_at.min(finish_by));
        let is_too_late = self.finish_by.is_some_and(|finish_by| now + expected > finish_by);
        let tasks = request.tasks;
        let job = Job {
            failed_runs: vec![0; tasks as usize],
            expires_at,
            objective_at: now + objective.saturating_sub(waited),
            may_have_run: false,
            received_at: now,
            remaining: tasks,
            request,
            tasks: Vec::with_capacity(tasks as usize),
            use_until: expires_at.min(now + (objective * LATE_FACTOR).saturating_sub(waited)),
            withdrawn: false,
        };
        self.jobs.insert(number, job);
        if self.give_up_crashing(now, number, 0..tasks) {
            return number;
        }
        if self.is_too_large(number) {
            self.reject(now, number, RejectCause::TooLarge);
        } else if is_too_late {
            self.reject(now, number, RejectCause::Draining);
        } else {
            self.place_job(now, number);
        }
        number
    }

    /// Replaces the sizes of the registered upstreams by service. Jobs with larger tasks are rejected at once.
    pub fn set_capacities<'a>(&mut self, upstreams: impl Iterator<Item = (&'a ServiceId, Resources)>) {
        self.capacities.clear();
        for (service, capacity) in upstreams {
            let known = self.capacities.entry(service.clone()).or_default();
            if !known.contains(&capacity) {
                known.push(capacity);
            }
        }
    }

    fn is_too_large(&self, number: JobNumber) -> bool {
        let Some(job) = self.jobs.get(&number) else { return false };
        let capacities = self.capacities.get(&job.request.queue.service);
        capacities.is_some_and(|known| !known.iter().any(|capacity| capacity.fits(&job.request.need)))
    }

    /// Cancels all tasks of a job whose caller has disconnected; no answer follows.
    pub fn abandon(&mut self, now: Instant, number: JobNumber) {
        let Some(job) = self.jobs.remove(&number) else { return };
        let total = now.duration_since(job.received_at);
        let abandoned = Notice::Abandoned { id: job.request.id.clone(), total };
        self.actions.push(Action::Notice(abandoned));
        let is_ending = self.ending.remove(&number).is_some();
        for task in &job.tasks {
            let TaskState::Assigned { assignment, owner } = task else { continue };
            if self.assignments.remove(assignment).is_some() && !is_ending {
                self.actions.push(Action::Cancel { assignment: *assignment, owner: *owner });
            }
        }
    }

    /// Handles an owner's report about a task. Reports about unknown assignments or from another owner are ignored.
    pub fn report(&mut self, now: Instant, owner: HomeId, report: &TaskReport) {
        let Some(entry) = self.assignments.get_mut(&report.assignment) else { return };
        let placement = *entry;
        if placement.owner != owner {
            return;
        }
        match report.outcome {
            Outcome::Started => entry.stage = Stage::Started,
            Outcome::Uncertain => entry.set_uncertain(now, report),
            Outcome::Done | Outcome::Failed | Outcome::Interrupted | Outcome::NotStarted => {
                self.assignments.remove(&report.assignment);
            }
        }
        let Some(job) = self.jobs.get_mut(&placement.job) else { return };
        job.may_have_run |= report.outcome != Outcome::NotStarted;
        if self.ending.contains_key(&placement.job) {
            self.finish_if_ended(now, placement.job);
            return;
        }
        if job.withdrawn {
            self.handle_withdrawn_outcome(now, placement, report.outcome);
            return;
        }
        match report.outcome {
            Outcome::Started => {}
            Outcome::Done => self.task_done(now, placement, bounded_ms(report.run_time_ms)),
            Outcome::Failed => self.task_failed(now, placement, report),
            Outcome::Interrupted => self.retry_task(now, placement, report),
            Outcome::NotStarted if report.place_again => self.move_evacuated_task(now, placement, report),
            Outcome::NotStarted if matches!(placement.stage, Stage::Offered | Stage::Recalled) => {
                self.move_returned_task(now, placement, report);
            }
            Outcome::NotStarted => self.handle_not_started(now, placement, report),
            Outcome::Uncertain => self.answer(now, placement.job, Answer::Failed(FailCause::Interrupted)),
        }
    }

    pub(crate) fn task_done(&mut self, now: Instant, placement: Placement, run_time: Duration) {
        let Some(job) = self.jobs.get_mut(&placement.job) else { return };
        self.estimates.observe(&job.request.queue.name, job.request.estimate, run_time);
        job.tasks[placement.task as usize] = TaskState::Done;
        job.remaining -= 1;
        if job.remaining == 0 {
            self.answer(now, placement.job, Answer::Completed);
        }
    }

    pub(crate) fn task_failed(&mut self, now: Instant, placement: Placement, report: &TaskReport) {
        let Some(job) = self.jobs.get_mut(&placement.job) else { return };
        let failed = &mut job.failed_runs[placement.task as usize];
        *failed += 1;
        if *failed >= job.request.queue.max_attempts {
            self.answer(now, placement.job, Answer::Failed(FailCause::Attempts));
        } else {
            self.retry_task(now, placement, report);
        }
    }

    /// Cancels the tasks of a job that cannot start in time. The job is rejected once all owners have confirmed that
    /// none of its tasks has started; otherwise it fails.
    pub(crate) fn withdraw_job(&mut self, now: Instant, placement: Placement) {
        let Some(job) = self.jobs.get_mut(&placement.job) else { return };
        job.withdrawn = true;
        job.tasks[placement.task as usize] = TaskState::NotStarted;
        for task in &job.tasks {
            if let TaskState::Assigned { assignment, owner } = task {
                self.actions.push(Action::Cancel { assignment: *assignment, owner: *owner });
            }
        }
        self.handle_withdrawn_outcome(now, placement, Outcome::NotStarted);
    }

    pub(crate) fn handle_withdrawn_outcome(&mut self, now: Instant, placement: Placement, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&placement.job) else { return };
        if outcome != Outcome::NotStarted {
            self.answer(now, placement.job, Answer::Failed(FailCause::Late));
            return;
        }
        job.tasks[placement.task as usize] = TaskState::NotStarted;
        if job.tasks.iter().all(|task| matches!(task, TaskState::NotStarted)) {
            self.reject(now, placement.job, RejectCause::Overload);
        }
    }

    /// Handles a task that was returned without a start: it is placed again if its job has begun, and the job is
    /// withdrawn otherwise.
    pub(crate) fn handle_not_started(&mut self, now: Instant, placement: Placement, report: &TaskReport) {
        if self.jobs.get(&placement.job).is_some_and(|job| job.may_have_run) {
            self.retry_task(now, placement, report);
        } else {
            self.withdraw_job(now, placement);
        }
    }

    /// Remembers that an upstream of this entry was lost during a run, whose home may be another entry. A task under which
    /// several upstreams were lost is not started again, and its job fails. Call it before the report about the run.
    pub fn record_own_lost_run(&mut self, now: Instant, lost: LostRun) {
        self.lost_runs.record(now, lost, Source::ThisEntry);
    }

    /// Remembers that an upstream of a peer was lost during a run.
    pub fn record_peer_lost_run(&mut self, now: Instant, lost: LostRun) {
        self.lost_runs.record(now, lost, Source::Peer);
    }

    /// The remembered lost runs on upstreams of this entry, for peers that may not know them.
    pub fn own_lost_runs(&mut self, now: Instant) -> impl Iterator<Item = &LostRun> {
        self.lost_runs.own(now)
    }

    /// Fails a job if one of the given tasks must not be started again; false if all of them may be started.
    pub(crate) fn give_up_crashing(
        &mut self,
        now: Instant,
        number: JobNumber,
        mut tasks: impl Iterator<Item = u32>,
    ) -> bool {
        if self.lost_runs.is_empty() {
            return false;
        }
        let Some(job) = self.jobs.get(&number) else { return false };
        let given_up = tasks.find_map(|task| {
            let upstreams = self.lost_runs.given_up(now, &job.request.task_name(task))?;
            Some(Notice::GivenUp { id: job.request.id.clone(), task, upstreams })
        });
        let Some(notice) = given_up else { return false };
        self.actions.push(Action::Notice(notice));
        self.answer(now, number, Answer::Failed(FailCause::Crashes));
        true
    }

    /// Assigns no further tasks to an owner until it reports its load again.
    pub fn forget_owner(&mut self, owner: HomeId) {
        self.owners.remove(owner);
    }

    /// Handles the loss of the link to an owner. Jobs with tasks there fail, because their runs may still exist.
    pub fn owner_lost(&mut self, now: Instant, owner: HomeId) {
        self.forget_owner(owner);
        let mut jobs = Vec::new();
        for placement in self.assignments.values_mut().filter(|placement| placement.owner == owner) {
            placement.set_owner_lost(now);
            jobs.push(placement.job);
        }
        for job in jobs {
            self.answer(now, job, Answer::Failed(FailCause::Interrupted));
        }
    }

    /// Fails all jobs after the process was suspended, because their callers have stopped waiting or will soon. Jobs no longer
    /// wait for a first owner: those that are still to be read may have been submitted long before.
    pub fn suspended(&mut self, now: Instant) {
        self.owners_expected_until = None;
        for number in std::mem::take(&mut self.unplaced) {
            self.reject(now, number, RejectCause::NoOwner);
        }
        let numbers: Vec<_> = self.jobs.keys().copied().collect();
        for number in numbers {
            self.answer(now, number, Answer::Failed(FailCause::Interrupted));
        }
    }

    /// Ends jobs whose time budget is used up, and sends the answers of those whose runs have expired; call it regularly.
    pub fn tick(&mut self, now: Instant) {
        self.reject_unplaced(now);
        self.end_expired_runs(now);
        let expired: Vec<_> =
            self.jobs.iter().filter(|(_, job)| now >= job.expires_at).map(|(number, _)| *number).collect();
        for number in expired {
            self.answer(now, number, Answer::Failed(FailCause::Late));
        }
    }

    /// Rejects jobs without an owner that have no slack left or for which no owner is expected any more.
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

    /// Rejects a job none of whose tasks has started. The random retry delay spreads the retries of callers over time.
    pub(crate) fn reject(&mut self, now: Instant, number: JobNumber, cause: RejectCause) {
        let retry_after = self.rng.random_range(RETRY_AFTER.0..RETRY_AFTER.1);
        self.answer(now, number, Answer::Rejected { cause, retry_after });
    }

    /// Incarnation of this entry.
    #[must_use]
    pub const fn home(&self) -> HomeId {
        self.home
    }
}
