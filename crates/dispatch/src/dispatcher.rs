//! The state of the dispatcher and the handling of events.

use std::sync::Arc;
use std::time::Duration;

use hinge_conf::Policy;
use hinge_ledger::{Ledger, Origin};
use hinge_route::{RetryBudget, Router, Slot};
use hinge_sched::{Estimates, QueuedTask, Quotas, Scheduler};
use hinge_wire::{
    Class, FastMap, InstanceId, LoanReply, LoanRequest, RackId, ResultCode, Sequence, ServiceId, StartId,
    Submission, SubmissionKey, SubmissionStatus, TaskId, TeamDemand, TeamId, UpstreamInfo,
};
use tokio::time::Instant;

use crate::loans::LoanRequests;
use crate::{Action, Event, Totals};

/// Schedules the tasks of one entry instance.
///
/// Inputs are [`Event`]s and calls of the submission methods; outputs are [`Action`]s, collected with
/// [`drain_actions`](Self::drain_actions). A dispatcher performs no I/O and reads no clock.
pub struct Dispatcher {
    pub(crate) actions: Vec<Action>,
    /// Submissions whose claim is not recorded yet, with the time of their receipt.
    pub(crate) awaiting_claim: FastMap<Sequence, Instant>,
    pub(crate) draining: bool,
    /// Whether [`Action::Drained`] was issued.
    pub(crate) drained_reported: bool,
    pub(crate) estimates: Estimates,
    pub(crate) jobs: FastMap<Sequence, Job>,
    /// Leaders last passed to the router.
    pub(crate) leaders: Vec<InstanceId>,
    pub(crate) ledger: Ledger,
    pub(crate) loans: LoanRequests,
    pub(crate) next_start: StartId,
    pub(crate) policy: Policy,
    pub(crate) quotas: Quotas,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) router: Router,
    pub(crate) running: FastMap<StartId, Running>,
    /// The current start of each running task.
    pub(crate) running_tasks: FastMap<TaskId, StartId>,
    pub(crate) schedulers: FastMap<ServiceId, Scheduler>,
    pub(crate) totals: Totals,
    pub(crate) weights: FastMap<TeamId, u32>,
}

/// Scheduling state of a submission in progress; its tasks and results are in the ledger.
pub(crate) struct Job {
    /// Starts so far, over all tasks.
    pub(crate) attempts: u32,
    pub(crate) class: Class,
    pub(crate) definite: bool,
    /// Racks of the most recent starts, oldest first.
    pub(crate) recent_racks: Vec<RackId>,
    /// Whether a failed or lost start may be repeated.
    pub(crate) retryable: bool,
    pub(crate) service: ServiceId,
    pub(crate) team: TeamId,
}

/// A start whose end has not been reported.
pub(crate) struct Running {
    /// Run time estimated before the start.
    pub(crate) expected: Duration,
    pub(crate) queued: QueuedTask,
    pub(crate) service: ServiceId,
    pub(crate) slot: Slot,
    pub(crate) stop_requested: bool,
}

impl Dispatcher {
    /// Creates a dispatcher for the process identified by `origin`; `seed` makes its random choices reproducible.
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
            loans: LoanRequests::new(&origin, seed),
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

    /// Issues `count` submission keys.
    ///
    /// # Errors
    ///
    /// `INVALID_FIELD` when `count` is 0 or above the limit of one call; `RECORDS_FULL` when too many keys that have
    /// not expired have been issued.
    pub fn issue_keys(&mut self, now: Instant, count: u32) -> Result<Vec<SubmissionKey>, ResultCode> {
        self.ledger.issue(now, count)
    }

    /// Status of a submission that this instance owns.
    ///
    /// # Errors
    ///
    /// The result code for the caller when no status is known for the key.
    pub fn status(&self, now: Instant, key: &SubmissionKey) -> Result<SubmissionStatus, ResultCode> {
        self.ledger.status(now, key)
    }

    /// Memory used by the answer of a finished submission, in bytes; 0 if it has not ended.
    #[must_use]
    pub fn answer_bytes(&self, sequence: Sequence) -> u64 {
        self.ledger.answer_bytes_of(sequence)
    }

    /// The submission with this sequence number, or `None` when it is not in progress.
    #[must_use]
    pub fn submission(&self, sequence: Sequence) -> Option<&Arc<Submission>> {
        self.ledger.submission(sequence)
    }

    /// Cancels a submission; returns false when it has already ended or is unknown.
    pub fn cancel(&mut self, now: Instant, sequence: Sequence) -> bool {
        let Some(completion) = self.ledger.cancel(now, sequence) else { return false };
        self.finish_submission(completion);
        true
    }

    /// Handles a peer's request for slots.
    pub fn lend(&mut self, now: Instant, request: &LoanRequest) -> LoanReply {
        self.router.lend(now, request)
    }

    /// Handles one event; the resulting actions are available from [`drain_actions`](Self::drain_actions).
    pub fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::ClaimCompleted { result, sequence } => self.finish_claim(now, sequence, result),
            Event::Config { policy, quotas, weights } => self.set_config(&policy, quotas, weights),
            Event::Drain => self.draining = true,
            Event::LoanFailed { lender } => self.loans.on_failure(now, &lender),
            Event::LoanReplied { lender, lender_incarnation, reply, service } => {
                let requested_at = self.loans.take_request_time(&lender).unwrap_or(now);
                self.totals.empty_loans += u64::from(self.loans.on_reply(now, &lender, &reply));
                self.router.add_loan_since(now, requested_at, &lender, lender_incarnation, &reply);
                self.update_capacity(now, &service);
            }
            Event::LoanReturned(request) => self.router.accept_return(now, &request),
            Event::PeerDemand { demand, peer } => self.quotas.observe_peer(now, &peer, &demand),
            Event::Peers { leaders, listed_entries, lenders } => {
                // This event comes with every tick, and assigning the upstreams costs a hash per upstream and leader.
                if self.leaders != leaders {
                    self.router.set_entries(&leaders);
                    self.leaders = leaders;
                }
                self.quotas.set_entries(listed_entries.max(1));
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

    /// Removes and returns the actions decided since the last call, in order.
    pub fn drain_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Demand per team on this instance, to be reported in heartbeats.
    pub fn demand(&mut self, now: Instant) -> Vec<TeamDemand> {
        self.quotas.report(now)
    }

    /// Free slots that could be lent, over all services, including those without a submission on this instance.
    #[must_use]
    pub fn free_slots(&self) -> u32 {
        self.router.lendable_slots()
    }

    /// Number of queued tasks, over all services.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.schedulers.values().map(Scheduler::queued).sum()
    }

    /// Number of starts whose end has not been reported.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Whether the end of this start has not been reported yet.
    #[must_use]
    pub fn is_running(&self, start: StartId) -> bool {
        self.running.contains_key(&start)
    }

    /// Number of submissions that have not ended.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.ledger.in_progress()
    }

    /// Number of reported task ends that were dropped because they were late, duplicate or unknown.
    #[must_use]
    pub fn dropped_ends(&self) -> u64 {
        self.totals.late_ends + self.ledger.ignored_ends().total()
    }

    /// Counters since the start of this process.
    #[must_use]
    pub const fn totals(&self) -> &Totals {
        &self.totals
    }

    /// State of each upstream as this instance sees it.
    #[must_use]
    pub fn upstreams(&self) -> Vec<UpstreamInfo> {
        self.router.describe()
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

    /// The scheduler of a service, created on the first submission for it.
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
        self.start_queued(now, service);
    }

    fn tick(&mut self, now: Instant) {
        self.ledger.expire(now);
        self.expire_queued(now);
        let mut notices = Vec::new();
        self.router.tick(now, &mut notices);
        self.actions.extend(notices.into_iter().map(Action::Health));
        for (lender, request) in self.router.return_idle_slots(now) {
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
            self.fail_unstarted(now, task.id, ResultCode::DeadlineInQueue);
        }
    }

    fn report_drained(&mut self) {
        if self.draining && !self.drained_reported && self.in_progress() == 0 && self.running.is_empty() {
            self.drained_reported = true;
            self.actions.push(Action::Drained);
        }
    }
}
