//! The decision code of an entry instance.

use std::time::Duration;

use bytes::Bytes;
use hinge_jobs::{JobNumber, JobTable};
use hinge_mesh::{Hello, OwnedUpstream};
use hinge_runs::{Event, Fence, HomeId, Runner, UpstreamRecord};
use hinge_wire::{FastMap, FastSet, ServiceId, UpstreamId};
use tokio::time::Instant;

use crate::event::{Input, Output, SubmissionId};
use crate::journal::LogLine;
use crate::outbox::{LOCAL_STATUS_INTERVAL, Outbox, REMOTE_STATUS_INTERVAL, StatusTimer};
use crate::ownership::{Own, Sightings, wanted};
use crate::peers::Peers;

/// Time between two comparisons of the owned with the wanted upstreams.
const OWNERSHIP_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the start of the process in which the first upstreams are taken over.
const STARTUP: Duration = Duration::from_secs(2);
/// Pause before an upstream that another owner fenced off is taken over again.
const LOST_PAUSE: Duration = Duration::from_secs(3);

/// The decision code of an entry instance; performs no I/O and reads no clock.
#[derive(Debug)]
pub struct Engine {
    /// Peers that are told the loads of this entry.
    pub(crate) audience: FastSet<HomeId>,
    /// When peers with tasks in progress are told the state of this entry again.
    pub(crate) busy_status_at: Instant,
    pub(crate) config: Option<(u64, Bytes)>,
    /// When a peer may be asked for a newer configuration than the own one; none while no peer has one.
    pub(crate) config_request_at: Option<Instant>,
    pub(crate) fence_base: Fence,
    pub(crate) jobs: JobTable,
    /// Upstreams that another owner fenced off, with the time until which they are left alone.
    pub(crate) left_alone: FastMap<UpstreamId, Instant>,
    pub(crate) outboxes: FastMap<HomeId, Outbox>,
    pub(crate) outputs: Vec<Output>,
    pub(crate) own: Own,
    pub(crate) own_id: HomeId,
    pub(crate) ownership_at: Instant,
    pub(crate) peers: Peers,
    pub(crate) runner: Runner,
    pub(crate) services: Vec<ServiceId>,
    pub(crate) sent_owned: Vec<OwnedUpstream>,
    pub(crate) sightings: Sightings,
    pub(crate) started_at: Instant,
    /// Version of the configuration and whether the entry drains, as all peers were told last.
    pub(crate) status_sent: (u64, bool),
    pub(crate) local_status: StatusTimer,
    pub(crate) remote_status: StatusTimer,
    pub(crate) submissions: FastMap<JobNumber, SubmissionId>,
    pub(crate) jobs_by_submission: FastMap<SubmissionId, JobNumber>,
    pub(crate) upstreams: Vec<UpstreamRecord>,
}

impl Engine {
    /// Creates the engine of the process `own`. `fence_base` is above all fencing tokens of earlier processes.
    #[must_use]
    pub fn new(now: Instant, own: Hello, fence_base: Fence, seed: u64) -> Self {
        let mut jobs = JobTable::new(own.incarnation, seed);
        jobs.set_distance(own.incarnation, Duration::ZERO);
        jobs.expect_owners(now + STARTUP);
        Self {
            audience: FastSet::default(),
            busy_status_at: now,
            config: None,
            config_request_at: None,
            fence_base,
            jobs,
            left_alone: FastMap::default(),
            outboxes: FastMap::default(),
            outputs: Vec::new(),
            own: Own { data_centre: own.data_centre, draining: false, instance: own.instance },
            own_id: own.incarnation,
            ownership_at: now,
            peers: Peers::default(),
            runner: Runner::default(),
            services: Vec::new(),
            sent_owned: Vec::new(),
            sightings: Sightings::default(),
            started_at: now,
            status_sent: (0, false),
            local_status: StatusTimer::new(now, LOCAL_STATUS_INTERVAL),
            remote_status: StatusTimer::new(now, REMOTE_STATUS_INTERVAL),
            submissions: FastMap::default(),
            jobs_by_submission: FastMap::default(),
            upstreams: Vec::new(),
        }
    }

    /// Takes one input into account.
    pub fn handle(&mut self, now: Instant, input: Input) {
        match input {
            Input::Abandon(submission) => {
                if let Some(job) = self.jobs_by_submission.remove(&submission) {
                    self.submissions.remove(&job);
                    self.jobs.abandon(now, job);
                }
            }
            Input::Config { body, version } => self.offer_config(version, body),
            Input::Drain => self.own.draining = true,
            Input::Entries(records) => self.peers.set_registered(now, self.own_id, &records),
            Input::HoldEnded { hold, reply } => self.runner.handle(now, Event::HoldEnded { hold, reply }),
            Input::Mesh(event) => self.mesh_event(now, event),
            Input::UnresponsivePeers(peers) => self.jobs.set_quiet(peers),
            Input::StartEnded { reply, start } => {
                self.runner.handle(now, Event::StartEnded { reply, start });
            }
            Input::Submit { request, submission } => {
                let job = self.jobs.submit(now, *request);
                self.submissions.insert(job, submission);
                self.jobs_by_submission.insert(submission, job);
            }
            Input::StoreAvailable(available) => self.peers.set_store_available(available),
            Input::Suspended(time) => {
                self.outputs.push(Output::Log(LogLine::Suspended(time)));
                self.jobs.suspended(now);
                self.runner.handle(now, Event::Suspended);
            }
            Input::Tick => {
                self.jobs.tick(now);
                self.jobs.rebalance(now);
                self.runner.handle(now, Event::Tick);
            }
            Input::Upstreams(records) => {
                self.sightings.observe(now, &records);
                self.upstreams.clone_from(&records);
                self.services = records.iter().map(|upstream| upstream.service.clone()).collect();
                self.services.sort_unstable();
                self.services.dedup();
                self.runner.handle(now, Event::Upstreams(records));
            }
        }
        self.settle(now);
    }

    /// Ends a batch of inputs: adjusts ownership, and sends messages and loads to the peers.
    pub fn flush(&mut self, now: Instant) {
        if now >= self.ownership_at {
            self.ownership_at = now + OWNERSHIP_INTERVAL;
            self.adjust_ownership(now);
            self.adjust_audience(now);
            self.request_config(now);
            self.settle(now);
        }
        self.send_owned();
        self.send_messages(now);
    }

    /// Outputs since the last call, in order.
    pub fn drain_outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.outputs.drain(..)
    }

    /// Upstreams that this entry owns or is taking over.
    pub fn owned(&self) -> impl Iterator<Item = &UpstreamId> {
        self.runner.owned().map(|(upstream, _)| upstream)
    }

    /// Jobs and tasks in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.jobs.in_progress() + self.runner.in_progress()
    }

    /// Number of a queue's jobs none of whose tasks is known to have run.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        self.jobs.pending(queue)
    }

    /// Passes on what the job table and the runner have put out, until both are quiet.
    fn settle(&mut self, now: Instant) {
        loop {
            let job_actions: Vec<_> = self.jobs.drain_actions().collect();
            for action in job_actions {
                self.job_action(now, action);
            }
            let run_actions: Vec<_> = self.runner.drain_actions().collect();
            if run_actions.is_empty() {
                break;
            }
            for action in run_actions {
                self.run_action(now, action);
            }
        }
        self.note_own_loads(now);
    }

    fn job_action(&mut self, now: Instant, action: hinge_jobs::Action) {
        match action {
            hinge_jobs::Action::Answer { answer, job } => {
                if let Some(submission) = self.submissions.remove(&job) {
                    self.jobs_by_submission.remove(&submission);
                    self.outputs.push(Output::Answer { answer, submission });
                }
            }
            hinge_jobs::Action::Assign { assignment, owner } if owner == self.own_id => {
                self.runner.handle(now, Event::Assigned { assignment, home: self.own_id });
            }
            hinge_jobs::Action::Assign { assignment, owner } => {
                self.outboxes.entry(owner).or_default().assign.push(assignment);
            }
            hinge_jobs::Action::Cancel { assignment, owner } if owner == self.own_id => {
                self.runner.handle(now, Event::Cancelled { assignment, home: self.own_id });
            }
            hinge_jobs::Action::Cancel { assignment, owner } => {
                self.outboxes.entry(owner).or_default().cancel.push(assignment);
            }
            hinge_jobs::Action::Notice(notice) => self.outputs.push(Output::Log(LogLine::Job(notice))),
            hinge_jobs::Action::Recall { assignment, owner } if owner == self.own_id => {
                self.runner.handle(now, Event::Recalled { assignment, home: self.own_id });
            }
            hinge_jobs::Action::Recall { assignment, owner } => {
                self.outboxes.entry(owner).or_default().recall.push(assignment);
            }
        }
    }

    fn run_action(&mut self, now: Instant, action: hinge_runs::Action) {
        match action {
            hinge_runs::Action::Hold(hold) => self.outputs.push(Output::Hold(hold)),
            hinge_runs::Action::Notice(notice) => {
                if let hinge_runs::Notice::Owner { state: "lost", upstream, .. } = &notice {
                    self.left_alone.insert(upstream.clone(), now + LOST_PAUSE);
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
        self.left_alone.retain(|_, until| now < *until);
        let wanted = wanted(now, &self.own, &self.peers, &self.upstreams, &mut self.sightings);
        let mut claimed = hinge_wire::FastSet::default();
        for peer in self.peers.alive(now) {
            claimed.extend(peer.claims.iter().cloned());
        }
        let isolated = self.peers.isolated();
        let ids: Vec<_> = self.upstreams.iter().map(|upstream| upstream.id.clone()).collect();
        for id in ids {
            let owned = self.runner.owns(&id);
            let free = !isolated && !claimed.contains(&id) && !self.left_alone.contains_key(&id);
            if wanted.contains(&id) && (owned || free) {
                let fence = self.next_fence(now);
                self.runner.handle(now, Event::Own { fence, upstream: id });
            } else if owned && !wanted.contains(&id) {
                self.runner.handle(now, Event::Release(id));
            }
        }
    }

    /// A fencing token above those of owners before; tokens grow with time in all processes.
    fn next_fence(&self, now: Instant) -> Fence {
        self.fence_base + (hinge_runs::whole_ms(now.duration_since(self.started_at)) << FENCE_TIME_SHIFT)
    }
}

/// Bits of a fencing token below the time in milliseconds; they tell processes apart.
pub(crate) const FENCE_TIME_SHIFT: u32 = 10;
