//! The dispatcher's state and the order in which decisions are taken.

use std::sync::Arc;
use std::time::Duration;

use hinge_conf::Policy;
use hinge_ledger::{Completion, Ledger, Origin};
use hinge_route::{Need, RetryBudget, Router, Slot};
use hinge_sched::{Estimates, QueuedTask, Quotas, Scheduler};
use hinge_wire::{
    Class, FastMap, InstanceId, LoanReply, LoanRequest, RackId, ResultCode, Sequence, ServiceId, StartId,
    Submission, SubmissionKey, SubmissionStatus, TaskId, TeamDemand, TeamId, UpstreamInfo,
};
use tokio::time::Instant;

use crate::loans::LoanBook;
use crate::{Action, Event, Start, Totals};

/// Racks of a job's recent starts that its next start avoids.
const AVOIDED_RACKS: usize = 4;

/// The decision code of one entry instance.
///
/// Inputs are [`Event`]s and the submission methods; outputs are [`Action`]s, collected with
/// [`drain_actions`](Self::drain_actions). It performs no I/O and reads no clock.
pub struct Dispatcher {
    pub(crate) actions: Vec<Action>,
    pub(crate) awaiting_claim: FastMap<Sequence, Instant>,
    pub(crate) draining: bool,
    pub(crate) drained_reported: bool,
    pub(crate) estimates: Estimates,
    pub(crate) jobs: FastMap<Sequence, Job>,
    /// Leaders in force at the router.
    pub(crate) leaders: Vec<InstanceId>,
    pub(crate) ledger: Ledger,
    pub(crate) loans: LoanBook,
    pub(crate) next_start: StartId,
    pub(crate) policy: Policy,
    pub(crate) quotas: Quotas,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) router: Router,
    pub(crate) running: FastMap<StartId, Running>,
    pub(crate) running_tasks: FastMap<TaskId, StartId>,
    pub(crate) schedulers: FastMap<ServiceId, Scheduler>,
    pub(crate) totals: Totals,
    pub(crate) weights: FastMap<TeamId, u32>,
}

/// What the dispatcher keeps about a submission besides its ledger record.
pub(crate) struct Job {
    pub(crate) attempts: u32,
    pub(crate) class: Class,
    pub(crate) definite: bool,
    pub(crate) recent_racks: Vec<RackId>,
    pub(crate) repeatable: bool,
    pub(crate) service: ServiceId,
    pub(crate) team: TeamId,
}

/// A start that has not ended.
pub(crate) struct Running {
    pub(crate) expected: Duration,
    pub(crate) queued: QueuedTask,
    pub(crate) service: ServiceId,
    pub(crate) slot: Slot,
    pub(crate) stopping: bool,
}

impl Dispatcher {
    /// Creates a dispatcher for the process named by `origin`; `seed` makes its random choices repeatable.
    #[must_use]
    pub fn new(origin: Origin, policy: &Policy, seed: u64) -> Self {
        Self {
            actions: Vec::new(),
            awaiting_claim: FastMap::default(),
            draining: false,
            drained_reported: false,
            estimates: Estimates::new(policy),
            jobs: FastMap::default(),
            leaders: Vec::new(),
            loans: LoanBook::new(&origin, seed),
            next_start: 1,
            policy: policy.clone(),
            quotas: Quotas::new(policy),
            retry_budget: RetryBudget::new(policy),
            router: Router::new(origin.instance.clone(), policy, seed),
            running: FastMap::default(),
            running_tasks: FastMap::default(),
            schedulers: FastMap::default(),
            totals: Totals::default(),
            weights: FastMap::default(),
            ledger: Ledger::new(origin, policy),
        }
    }

    /// Issues submission keys.
    ///
    /// # Errors
    ///
    /// `RECORDS_FULL` when too many keys are valid at the moment.
    pub fn issue_keys(&mut self, now: Instant, count: u32) -> Result<Vec<SubmissionKey>, ResultCode> {
        self.ledger.issue(now, count)
    }

    /// Status of a submission of this owner.
    ///
    /// # Errors
    ///
    /// The code that a caller gets for a key without a record.
    pub fn status(&self, now: Instant, key: &SubmissionKey) -> Result<SubmissionStatus, ResultCode> {
        self.ledger.status(now, key)
    }

    /// The submission with this number, while it is in progress.
    #[must_use]
    pub fn submission(&self, sequence: Sequence) -> Option<&Arc<Submission>> {
        self.ledger.submission(sequence)
    }

    /// Cancels a submission; false when it is final or unknown.
    pub fn cancel(&mut self, now: Instant, sequence: Sequence) -> bool {
        let Some(completion) = self.ledger.cancel(now, sequence) else { return false };
        self.complete(completion);
        true
    }

    /// Answers a peer's request for slots.
    pub fn lend(&mut self, now: Instant, request: &LoanRequest) -> LoanReply {
        self.router.lend(now, request)
    }

    /// Takes one event into account.
    pub fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::ClaimSettled { result, sequence } => self.claim_settled(now, sequence, result),
            Event::Config { policy, quotas, weights } => self.set_config(&policy, quotas, weights),
            Event::Drain => self.draining = true,
            Event::LoanFailed { lender } => self.loans.failed(now, &lender),
            Event::LoanGranted { lender, lender_incarnation, reply, service } => {
                let requested_at = self.loans.requested_at(&lender).unwrap_or(now);
                self.totals.empty_loans += u64::from(self.loans.answered(now, &lender, &reply));
                self.router.borrowed_since(now, requested_at, &lender, lender_incarnation, &reply);
                self.update_capacity(now, &service);
            }
            Event::LoanReturned(request) => self.router.returned(now, &request),
            Event::PeerDemand { demand, peer } => self.quotas.observe_peer(now, &peer, &demand),
            Event::Peers { leaders, listed, lenders } => {
                // The view comes with each tick, and an election costs a hash per upstream and leader.
                if self.leaders != leaders {
                    self.router.set_entries(&leaders);
                    self.leaders = leaders;
                }
                self.quotas.set_entries(listed.max(1));
                self.loans.set_lenders(lenders);
            }
            Event::TaskEnded { result, run_time, start } => self.task_ended(now, start, result, run_time),
            Event::Tick => self.tick(now),
            Event::Upstreams(upstreams) => self.router.set_upstreams(now, &upstreams),
        }
        if self.draining {
            self.return_loans(now);
        }
        self.report_drained();
    }

    /// Actions decided since the last call, in order.
    pub fn drain_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Team demand to report in heartbeats.
    pub fn demand(&mut self, now: Instant) -> Vec<TeamDemand> {
        self.quotas.report(now)
    }

    /// Free slots that could be lent, over all services, also those that no submission here has named yet.
    #[must_use]
    pub fn free_slots(&self, _now: Instant) -> u32 {
        self.router.lendable_slots()
    }

    /// Queued tasks, over all services.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.schedulers.values().map(Scheduler::queued).sum()
    }

    /// Tasks sent to upstreams that have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Whether the end of a start has not been reported yet.
    #[must_use]
    pub fn is_running(&self, start: StartId) -> bool {
        self.running.contains_key(&start)
    }

    /// Submissions that are not final.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.ledger.in_progress()
    }

    /// Ends of tasks that were late, repeated or unknown, and were dropped.
    #[must_use]
    pub fn dropped_ends(&self) -> u64 {
        self.totals.late_ends + self.ledger.ignored_ends().total()
    }

    /// Counters.
    #[must_use]
    pub const fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Upstreams as this entry sees them.
    #[must_use]
    pub fn upstreams(&self) -> Vec<UpstreamInfo> {
        self.router.describe()
    }

    /// Starts queued tasks while slots are free, then asks for loans when some remain.
    pub(crate) fn pump(&mut self, now: Instant, service: &ServiceId) {
        while let Some((task, slot)) = self.next_placed(now, service) {
            self.start(now, service, task, slot);
        }
        self.request_loans(now, service);
    }

    fn next_placed(&mut self, now: Instant, service: &ServiceId) -> Option<(QueuedTask, Slot)> {
        if self.router.free_slots(now, service) == 0 {
            return None;
        }
        let scheduler = self.schedulers.get_mut(service)?;
        let task = scheduler.next(now)?;
        let job = self.jobs.get(&task.id.sequence);
        let need = Need {
            avoid_racks: job.map_or(&[], |job| &job.recent_racks),
            avoid_upstreams: &[],
            class: task.class,
            idempotent: job.is_some_and(|job| job.repeatable),
            service,
        };
        if let Some(slot) = self.router.pick(now, &need) {
            return Some((task, slot));
        }
        scheduler.requeue(now, task);
        None
    }

    fn start(&mut self, now: Instant, service: &ServiceId, queued: QueuedTask, slot: Slot) {
        let task = queued.id;
        let repeatable = self.jobs.get(&task.sequence).is_some_and(|job| job.repeatable);
        // The ledger has the last word: a task that has started, or whose submission has ended, never starts again.
        if !self.ledger.start(now, task, repeatable) {
            self.router.ended(now, &slot, hinge_route::EndKind::Stopped, Duration::ZERO, Duration::ZERO);
            if let Some(scheduler) = self.schedulers.get_mut(service) {
                scheduler.ended(queued.class, &queued.team, Duration::ZERO);
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
        self.running
            .insert(start, Running { expected, queued, service: service.clone(), slot, stopping: false });
    }

    /// Reports a final submission and withdraws what is left of it.
    pub(crate) fn complete(&mut self, completion: Completion) {
        let Completion { answer, cancel, sequence, .. } = completion;
        let Some(job) = self.jobs.remove(&sequence) else { return };
        self.awaiting_claim.remove(&sequence);
        for task in cancel {
            self.withdraw(&job.service, task);
        }
        self.actions.push(Action::Answer {
            answer,
            class: job.class,
            definite: job.definite,
            sequence,
            team: job.team,
        });
    }

    fn withdraw(&mut self, service: &ServiceId, task: TaskId) {
        if let Some(start) = self.running_tasks.get(&task) {
            if let Some(running) = self.running.get_mut(start) {
                running.stopping = true;
                self.actions.push(Action::Stop { start: *start, upstream: running.slot.upstream.clone() });
            }
        } else if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.cancel(task);
        }
    }

    fn request_loans(&mut self, now: Instant, service: &ServiceId) {
        // A draining entry leads no upstream, so loans are the only slots on which it can finish its queued work.
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

    /// Returns borrowed slots that are free; queued work has had its turn on them.
    fn return_loans(&mut self, now: Instant) {
        for (lender, request) in self.router.return_loans(now) {
            self.actions.push(Action::ReturnLoan { lender, request });
        }
    }

    fn set_config(&mut self, policy: &Policy, quotas: FastMap<TeamId, u64>, weights: FastMap<TeamId, u32>) {
        self.policy = policy.clone();
        self.estimates.set_policy(policy);
        self.ledger.set_policy(policy);
        self.quotas.set_policy(policy, quotas);
        self.retry_budget.set_policy(policy);
        self.router.set_policy(policy);
        for scheduler in self.schedulers.values_mut() {
            scheduler.set_policy(policy);
            for team in self.weights.keys().filter(|team| !weights.contains_key(*team)) {
                scheduler.clear_team_weight(team);
            }
            for (team, weight) in &weights {
                scheduler.set_team_weight(team, *weight);
            }
        }
        self.weights = weights;
    }

    /// The scheduler of a service, created on its first submission.
    pub(crate) fn scheduler(&mut self, now: Instant, service: &ServiceId) -> &mut Scheduler {
        self.schedulers.entry(service.clone()).or_insert_with(|| {
            let mut scheduler = Scheduler::new(&self.policy);
            scheduler.set_capacity(self.router.capacity(now, service));
            for (team, weight) in &self.weights {
                scheduler.set_team_weight(team, *weight);
            }
            scheduler
        })
    }

    pub(crate) fn update_capacity(&mut self, now: Instant, service: &ServiceId) {
        let capacity = self.router.capacity(now, service);
        if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.set_capacity(capacity);
        }
        self.pump(now, service);
    }

    fn tick(&mut self, now: Instant) {
        self.ledger.expire(now);
        self.expire_queued(now);
        let mut notices = Vec::new();
        self.router.tick(now, &mut notices);
        self.actions.extend(notices.into_iter().map(Action::Health));
        for (lender, request) in self.router.idle_loans(now) {
            self.actions.push(Action::ReturnLoan { lender, request });
        }
        let services: Vec<ServiceId> = self.schedulers.keys().cloned().collect();
        for service in &services {
            self.update_capacity(now, service);
        }
    }

    fn expire_queued(&mut self, now: Instant) {
        let mut expired = Vec::new();
        let mut notices = Vec::new();
        for scheduler in self.schedulers.values_mut() {
            scheduler.expire(now, &mut expired);
            scheduler.take_notices(&mut notices);
        }
        self.actions.extend(notices.into_iter().map(Action::Shedding));
        for task in expired {
            self.end_unstarted(now, task.id, ResultCode::DeadlineInQueue);
        }
    }

    fn report_drained(&mut self) {
        if self.draining && !self.drained_reported && self.in_progress() == 0 && self.running.is_empty() {
            self.drained_reported = true;
            self.actions.push(Action::Drained);
        }
    }
}
