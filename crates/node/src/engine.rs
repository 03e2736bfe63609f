//! The decisions of an entry instance: a state machine without I/O.

use std::time::Duration;

use bytes::Bytes;
use hinge_jobs::{JobNumber, JobTable};
use hinge_mesh::{Hello, OwnedUpstream, ServiceLoad};
use hinge_runs::{
    AssignmentId, ClosedDataCentres, Event, HomeId, InterferenceStats, LostRun, Outcome, Runner, TaskReport,
    UpstreamRecord,
};
use hinge_wire::{FastMap, FastSet, ServiceId, UpstreamId};
use tokio::time::Instant;

use crate::evacuations::Evacuations;
use crate::event::{Input, Output, SubmissionId};
use crate::journal::LogLine;
use crate::outbox::Outbox;
use crate::ownership::{LocalEntry, OwnershipState, desired_upstreams};
use crate::peers::Peers;
use crate::status::{LOCAL_STATUS_INTERVAL, REMOTE_STATUS_INTERVAL, StatusTimer};
use crate::tokens::{TokenBounds, Tokens};

/// Time between two comparisons of the upstreams that are owned with those that should be.
const OWNERSHIP_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the start of the process during which jobs wait for an owner instead of being rejected, because the first
/// upstreams are still being taken over.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Time for which this entry does not take over an upstream again after another owner has fenced it off.
const TAKEOVER_PAUSE: Duration = Duration::from_secs(3);

/// The decisions of an entry instance. Performs no I/O and reads no clock.
///
/// [`handle`](Self::handle) takes the inputs of a batch, [`flush`](Self::flush) ends the batch, and
/// [`drain_outputs`](Self::drain_outputs) returns what is to be done.
#[derive(Debug)]
pub struct Engine {
    /// Peers that receive the loads of this entry's upstreams.
    pub(crate) load_recipients: FastSet<HomeId>,
    /// Loads of the own upstreams by service.
    pub(crate) loads: Vec<ServiceLoad>,
    /// When the next status is due for peers with tasks in progress, even if nothing has changed.
    pub(crate) busy_status_at: Instant,
    /// Configuration with the highest version so far: its version and its encoded body.
    pub(crate) config: Option<(u64, Bytes)>,
    /// When a peer may be asked for its newer configuration; none while no peer has a newer one.
    pub(crate) config_request_at: Option<Instant>,
    /// Data centres that the runner starts no tasks in.
    pub(crate) closed: ClosedDataCentres,
    pub(crate) evacuations: Evacuations,
    /// Whether the evacuations have changed since they were last sent to all peers.
    pub(crate) evacuations_changed: bool,
    /// Whether the peers can be told the state of the evacuations.
    pub(crate) evacuations_known: bool,
    pub(crate) jobs: JobTable,
    /// Upstreams that another owner fenced off, with the time until which they are not taken over.
    pub(crate) takeover_paused: FastMap<UpstreamId, Instant>,
    pub(crate) outboxes: FastMap<HomeId, Outbox>,
    pub(crate) outputs: Vec<Output>,
    pub(crate) local: LocalEntry,
    /// Lost runs that the peers have not been told of.
    pub(crate) lost_runs: Vec<LostRun>,
    pub(crate) own_id: HomeId,
    /// When ownership is updated next.
    pub(crate) next_ownership_update: Instant,
    pub(crate) peers: Peers,
    pub(crate) runner: Runner,
    /// Services of the registered upstreams, sorted and without duplicates.
    pub(crate) services: Vec<ServiceId>,
    /// Owned upstreams as last sent to all peers, sorted by id.
    pub(crate) sent_owned: Vec<OwnedUpstream>,
    pub(crate) ownership: OwnershipState,
    /// Version of the configuration and whether the entry drains, as last sent to all peers.
    pub(crate) status_sent: (u64, bool),
    pub(crate) local_status: StatusTimer,
    pub(crate) remote_status: StatusTimer,
    pub(crate) tokens: Tokens,
    pub(crate) submissions: FastMap<JobNumber, SubmissionId>,
    pub(crate) jobs_by_submission: FastMap<SubmissionId, JobNumber>,
    pub(crate) upstreams: Vec<UpstreamRecord>,
}

impl Engine {
    /// Creates the engine of the process that `local` identifies. `started_unix_ms` is the Unix time at `now`, from which its
    /// fencing tokens grow. It takes over no upstream before [`Input::Holder`].
    #[must_use]
    pub fn new(now: Instant, local: Hello, started_unix_ms: u64, seed: u64) -> Self {
        let mut jobs = JobTable::new(local.incarnation, seed);
        jobs.set_latency(local.incarnation, Duration::ZERO);
        jobs.expect_owners(now + STARTUP_TIME);
        Self {
            load_recipients: FastSet::default(),
            loads: Vec::new(),
            busy_status_at: now,
            config: None,
            config_request_at: None,
            closed: ClosedDataCentres::default(),
            evacuations: Evacuations::default(),
            evacuations_changed: false,
            evacuations_known: false,
            jobs,
            takeover_paused: FastMap::default(),
            outboxes: FastMap::default(),
            outputs: Vec::new(),
            local: LocalEntry {
                cpu_millis: local.cpu_millis,
                data_centre: local.data_centre,
                draining: false,
                instance: local.instance,
            },
            lost_runs: Vec::new(),
            own_id: local.incarnation,
            next_ownership_update: now,
            peers: Peers::default(),
            runner: Runner::default(),
            services: Vec::new(),
            sent_owned: Vec::new(),
            ownership: OwnershipState::default(),
            status_sent: (0, false),
            local_status: StatusTimer::new(now, LOCAL_STATUS_INTERVAL),
            remote_status: StatusTimer::new(now, REMOTE_STATUS_INTERVAL),
            tokens: Tokens::new(now, started_unix_ms),
            submissions: FastMap::default(),
            jobs_by_submission: FastMap::default(),
            upstreams: Vec::new(),
        }
    }

    /// Applies one input.
    pub fn handle(&mut self, now: Instant, input: Input) {
        match input {
            Input::Abandon(submission) => {
                if let Some(job) = self.jobs_by_submission.remove(&submission) {
                    self.submissions.remove(&job);
                    self.jobs.abandon(now, job);
                }
            }
            Input::Config { body, version } => self.adopt_config(version, body),
            Input::Drain { finish_by } => {
                self.local.draining = true;
                self.jobs.finish_by(finish_by);
            }
            Input::Entries(records) => self.peers.set_registered(now, self.own_id, &records),
            Input::Evacuations { keys, revision } => self.read_evacuations(now, &keys, revision),
            Input::GuardingServices(services) => {
                self.runner.handle(now, Event::GuardingServices(services));
            }
            Input::HoldEnded { hold, reply } => self.runner.handle(now, Event::HoldEnded { hold, reply }),
            Input::Holder(claimed) => {
                self.tokens.claimed = claimed;
                // The first takeovers must not wait because the number arrives last.
                self.next_ownership_update = now;
            }
            Input::Mesh(event) => self.handle_mesh_event(now, event),
            Input::UnresponsivePeers(peers) => self.jobs.set_unresponsive_owners(peers),
            Input::ObeyEvacuations => self.obey_evacuations(now),
            Input::SeparateInterferingTasks(enabled) => {
                self.runner.handle(now, Event::SeparateInterferingTasks(enabled));
            }
            Input::StartEnded { reply, start } => {
                self.runner.handle(now, Event::StartEnded { reply, start });
            }
            Input::Submit { request, submission } => {
                let job = self.jobs.submit(now, *request);
                self.submissions.insert(job, submission);
                self.jobs_by_submission.insert(submission, job);
            }
            Input::StoreAvailable(available) => self.peers.set_store_available(available),
            Input::Suspended(time) => self.suspended(now, time),
            Input::Tick => {
                self.jobs.tick(now);
                self.jobs.rebalance(now);
                self.runner.handle(now, Event::Tick);
            }
            Input::Upstreams(records) => {
                self.ownership.observe(now, &records);
                let registered: FastSet<_> = records.iter().map(|record| &record.id).collect();
                self.tokens.retain(&registered);
                self.upstreams.clone_from(&records);
                self.services = records.iter().map(|upstream| upstream.service.clone()).collect();
                self.services.sort_unstable();
                self.services.dedup();
                let data_centres = records.iter().map(|upstream| upstream.data_centre.clone());
                self.evacuations.set_served(data_centres.collect());
                self.update_capacities();
                self.runner.handle(now, Event::Upstreams(records));
            }
        }
        self.dispatch_actions(now);
    }

    /// Ends a batch of inputs: updates ownership when that is due, and sends queued messages and loads to the peers.
    pub fn flush(&mut self, now: Instant) {
        if now >= self.next_ownership_update {
            self.next_ownership_update = now + OWNERSHIP_INTERVAL;
            self.adjust_ownership(now);
            self.recheck_evacuations(now);
            if self.peers.take_links_changed() {
                self.update_load_recipients();
            }
            self.request_config(now);
            self.report_evacuations(now);
            self.dispatch_actions(now);
        }
        self.send_owned();
        self.send_messages(now);
    }

    /// Removes and returns the outputs since the last call, in order.
    pub fn drain_outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.outputs.drain(..)
    }

    /// Upstreams that this entry owns or is taking over.
    pub fn owned(&self) -> impl Iterator<Item = &UpstreamId> {
        self.runner.owned().map(|(upstream, _)| upstream)
    }

    /// Number of jobs of this entry's callers and of tasks on its upstreams that are in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.jobs.in_progress() + self.runner.in_progress()
    }

    /// What this entry has learned of tasks that slow each other down, for the metrics.
    #[must_use]
    pub const fn interference_stats(&self) -> InterferenceStats {
        self.runner.interference_stats()
    }

    /// Number of jobs in `queue` of which no task is known to have run.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        self.jobs.pending(queue)
    }

    /// Remembers the runs that were lost with their upstream, and sends them to the peers with the next flush.
    fn record_lost_runs(&mut self, now: Instant) {
        for lost in self.runner.drain_lost_runs() {
            self.jobs.record_own_lost_run(now, lost.clone());
            self.lost_runs.push(lost);
        }
    }

    /// Handles the actions of the job table and the runner until neither produces more.
    fn dispatch_actions(&mut self, now: Instant) {
        loop {
            let job_actions: Vec<_> = self.jobs.drain_actions().collect();
            let has_job_actions = !job_actions.is_empty();
            for action in job_actions {
                self.handle_job_action(now, action);
            }
            self.record_lost_runs(now);
            let run_actions: Vec<_> = self.runner.drain_actions().collect();
            if run_actions.is_empty() && !has_job_actions {
                break;
            }
            for action in run_actions {
                self.handle_run_action(now, action);
            }
        }
        if self.runner.take_load_changed() {
            self.update_own_loads(now);
        }
    }

    fn handle_job_action(&mut self, now: Instant, action: hinge_jobs::Action) {
        match action {
            hinge_jobs::Action::Answer { answer, job } => {
                if let Some(submission) = self.submissions.remove(&job) {
                    self.jobs_by_submission.remove(&submission);
                    self.outputs.push(Output::Answer { answer, submission });
                }
            }
            hinge_jobs::Action::Assign { assignment, owner } if owner == self.own_id => {
                let assigned = Event::Assigned { assignment, home: self.own_id, sent_after: now };
                self.runner.handle(now, assigned);
            }
            hinge_jobs::Action::Assign { assignment, owner } => {
                self.outboxes.entry(owner).or_default().assign.push(assignment);
            }
            hinge_jobs::Action::Cancel { assignment, owner } if owner == self.own_id => {
                self.runner.handle(now, Event::Cancelled { assignment, home: self.own_id });
            }
            hinge_jobs::Action::Cancel { assignment, owner } => {
                if !self.withdraw_unsent(now, owner, assignment) {
                    self.outboxes.entry(owner).or_default().cancel.push(assignment);
                }
            }
            hinge_jobs::Action::Notice(notice) => self.outputs.push(Output::Log(LogLine::Job(notice))),
            hinge_jobs::Action::Recall { assignment, owner } if owner == self.own_id => {
                self.runner.handle(now, Event::Recalled { assignment, home: self.own_id });
            }
            hinge_jobs::Action::Recall { assignment, owner } => {
                if !self.withdraw_unsent(now, owner, assignment) {
                    self.outboxes.entry(owner).or_default().recall.push(assignment);
                }
            }
        }
    }

    /// Takes an assignment back that waits to be sent to its owner, which would ignore a cancellation that overtakes it.
    /// Returns false if it has been sent.
    fn withdraw_unsent(&mut self, now: Instant, owner: HomeId, id: AssignmentId) -> bool {
        let Some(unsent) = self.outboxes.get_mut(&owner).and_then(|outbox| outbox.take_unsent(id)) else {
            return false;
        };
        self.jobs.report(now, owner, &TaskReport::new(id, Outcome::NotStarted, unsent.run));
        true
    }

    fn handle_run_action(&mut self, now: Instant, action: hinge_runs::Action) {
        match action {
            hinge_runs::Action::Hold(hold) => self.outputs.push(Output::Hold(hold)),
            hinge_runs::Action::Notice(notice) => {
                if let hinge_runs::Notice::Owner { state: "lost", upstream, .. } = &notice {
                    self.takeover_paused.insert(upstream.clone(), now + TAKEOVER_PAUSE);
                }
                self.outputs.push(Output::Log(LogLine::Run(notice)));
            }
            hinge_runs::Action::Report { home, report } if home == self.own_id => {
                self.jobs.report(now, self.own_id, &report);
            }
            hinge_runs::Action::Report { home, report } => {
                self.outboxes.entry(home).or_default().report.push(report);
            }
            hinge_runs::Action::Start(start) => self.outputs.push(Output::Start(start)),
            hinge_runs::Action::Stop(stop) => self.outputs.push(Output::Stop(stop)),
        }
    }

    fn adjust_ownership(&mut self, now: Instant) {
        self.takeover_paused.retain(|_, until| now < *until);
        let desired = desired_upstreams(now, &self.local, &self.peers, &self.upstreams, &mut self.ownership);
        let is_claimed = |id| self.peers.alive(now).any(|peer| peer.claims.contains(id));
        let isolated = self.peers.is_isolated();
        let mut events = Vec::new();
        for upstream in &self.upstreams {
            let id = &upstream.id;
            let (owned, wanted) = (self.runner.owns(id), desired.contains(id));
            if !owned && !wanted {
                continue;
            }
            let may_take = || !isolated && !self.takeover_paused.contains_key(id) && !is_claimed(id);
            match self.tokens.bounds(now, id).filter(|_| wanted) {
                Some(TokenBounds { fence, limit }) if owned || may_take() => {
                    events.push(Event::Own { fence, limit, upstream: id.clone() });
                }
                None if owned => events.push(Event::Release(id.clone())),
                Some(_) | None => {}
            }
        }
        self.runner.handle_all(now, events);
    }
}
