//! The decision code of an entry instance.

use std::time::Duration;

use bytes::Bytes;
use hinge_jobs::{Answer, JobNumber, JobRequest, JobTable, OwnerLoad};
use hinge_mesh::{Hello, MeshEvent, Message, OwnedUpstream, ServiceLoad, Status};
use hinge_runs::{
    Assignment, AssignmentId, Event, Fence, Hold, HoldReply, HomeId, Load, RunId, Runner, StartOrder,
    StartReply, TaskReport, UpstreamRecord,
};
use hinge_wire::{FastMap, ServiceId, UpstreamId};
use tokio::time::Instant;

use crate::journal::Line;
use crate::ownership::{Own, Sightings, wanted};
pub use crate::peers::EntryRecord;
use crate::peers::Peers;

/// Number of a submission at the daemon.
pub type Ticket = u64;

/// Least time between two status messages to a peer that gets nothing else, in the own data centre and in others.
/// Tasks go to other data centres only when the own one is full, so their loads may be older.
const LOCAL_STATUS_INTERVAL: Duration = Duration::from_millis(25);
const REMOTE_STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two comparisons of the owned with the wanted upstreams.
const OWNERSHIP_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before an upstream that another owner fenced off is taken over again.
const LOST_PAUSE: Duration = Duration::from_secs(3);
/// Time for the store to bring a configuration that a peer already has, before the peer is asked for it.
const CONFIG_LAG: Duration = Duration::from_millis(600);
/// Time between two requests for a configuration; one may be large for a small link.
const CONFIG_REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Extra wait that is accepted to stay in the own data centre, and at the own entry.
const REMOTE_DISTANCE: Duration = Duration::from_millis(5);
const LOCAL_DISTANCE: Duration = Duration::from_millis(1);

/// An input of [`Engine::handle`].
#[derive(Debug)]
pub enum Input {
    /// A caller left before its answer.
    Abandon(Ticket),
    /// A configuration was read from the store.
    Config {
        /// As the operator wrote it.
        body: Bytes,
        /// Its version.
        version: u64,
    },
    /// A planned stop has begun.
    Drain,
    /// The registered entries.
    Entries(Vec<EntryRecord>),
    /// A hold has ended.
    HoldEnded {
        /// The hold.
        hold: Hold,
        /// Its result.
        reply: HoldReply,
    },
    /// Something happened on the links to peers.
    Mesh(MeshEvent),
    /// A start order has ended.
    StartEnded {
        /// Its result.
        reply: StartReply,
        /// The order.
        start: StartOrder,
    },
    /// A caller's job.
    Submit {
        /// The job.
        request: Box<JobRequest>,
        /// Number of the submission.
        ticket: Ticket,
    },
    /// Whether the store answers where the entries are registered.
    StoreAnswers(bool),
    /// The process stood still for a time that its steady clock did not count.
    Suspended(Duration),
    /// Time has passed.
    Tick,
    /// The registered upstreams.
    Upstreams(Vec<UpstreamRecord>),
}

/// An output of [`Engine::drain_outputs`].
#[derive(Debug)]
pub enum Output {
    /// Answer a caller.
    Answer {
        /// The answer.
        answer: Answer,
        /// The submission.
        ticket: Ticket,
    },
    /// A newer configuration is known.
    Config {
        /// As the operator wrote it.
        body: Bytes,
        /// Its version.
        version: u64,
    },
    /// Call an upstream.
    Hold(Hold),
    /// Write a log line.
    Log(Line),
    /// Send a message to a peer.
    Send {
        /// The message.
        message: Message,
        /// The peer.
        peer: HomeId,
    },
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop {
        /// Address of the upstream.
        address: std::sync::Arc<str>,
        /// Fencing token.
        fence: Fence,
        /// The run.
        run: RunId,
        /// The upstream.
        upstream: UpstreamId,
    },
}

/// Messages to a peer that are sent together.
#[derive(Debug, Default)]
struct Outbox {
    assign: Vec<Assignment>,
    cancel: Vec<AssignmentId>,
    recall: Vec<AssignmentId>,
    report: Vec<TaskReport>,
}

/// When loads were sent last, and which.
#[derive(Debug)]
struct StatusTimer {
    due_at: Instant,
    interval: Duration,
    sent: Vec<ServiceLoad>,
    sent_version: u64,
}

impl StatusTimer {
    const fn new(now: Instant, interval: Duration) -> Self {
        Self { due_at: now, interval, sent: Vec::new(), sent_version: 0 }
    }

    /// Whether the loads or the version have changed and are to be sent now; they count as sent then.
    fn due(&mut self, now: Instant, version: u64, loads: &[ServiceLoad]) -> bool {
        if now < self.due_at || (self.sent == loads && self.sent_version == version) {
            return false;
        }
        self.sent_version = version;
        self.due_at = now + self.interval;
        self.sent = loads.to_vec();
        true
    }
}

/// The decision code of an entry instance; performs no I/O and reads no clock.
#[derive(Debug)]
pub struct Engine {
    config: Option<(u64, Bytes)>,
    /// When a peer may be asked for a newer configuration than the own one; none while no peer has one.
    config_request_at: Option<Instant>,
    fence_base: Fence,
    jobs: JobTable,
    /// Upstreams that another owner fenced off, with the time until which they are left alone.
    left_alone: FastMap<UpstreamId, Instant>,
    outboxes: FastMap<HomeId, Outbox>,
    outputs: Vec<Output>,
    own: Own,
    own_id: HomeId,
    ownership_at: Instant,
    peers: Peers,
    runner: Runner,
    services: Vec<ServiceId>,
    sent_owned: Vec<OwnedUpstream>,
    sightings: Sightings,
    started_at: Instant,
    local_status: StatusTimer,
    remote_status: StatusTimer,
    tickets: FastMap<JobNumber, Ticket>,
    jobs_by_ticket: FastMap<Ticket, JobNumber>,
    upstreams: Vec<UpstreamRecord>,
}

impl Engine {
    /// Creates the engine of the process `own`. `fence_base` is above all fencing tokens of earlier processes.
    #[must_use]
    pub fn new(now: Instant, own: Hello, fence_base: Fence, seed: u64) -> Self {
        let mut jobs = JobTable::new(own.incarnation, seed);
        jobs.set_distance(own.incarnation, Duration::ZERO);
        Self {
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
            local_status: StatusTimer::new(now, LOCAL_STATUS_INTERVAL),
            remote_status: StatusTimer::new(now, REMOTE_STATUS_INTERVAL),
            tickets: FastMap::default(),
            jobs_by_ticket: FastMap::default(),
            upstreams: Vec::new(),
        }
    }

    /// Takes one input into account.
    pub fn handle(&mut self, now: Instant, input: Input) {
        match input {
            Input::Abandon(ticket) => {
                if let Some(job) = self.jobs_by_ticket.remove(&ticket) {
                    self.tickets.remove(&job);
                    self.jobs.abandon(now, job);
                }
            }
            Input::Config { body, version } => self.offer_config(version, body),
            Input::Drain => self.own.draining = true,
            Input::Entries(records) => self.peers.set_registered(now, self.own_id, &records),
            Input::HoldEnded { hold, reply } => self.runner.handle(now, Event::HoldEnded { hold, reply }),
            Input::Mesh(event) => self.mesh_event(now, event),
            Input::StartEnded { reply, start } => {
                self.runner.handle(now, Event::StartEnded { reply, start });
            }
            Input::Submit { request, ticket } => {
                let job = self.jobs.submit(now, *request);
                self.tickets.insert(job, ticket);
                self.jobs_by_ticket.insert(ticket, job);
            }
            Input::StoreAnswers(answers) => self.peers.set_store_answers(answers),
            Input::Suspended(time) => {
                self.outputs.push(Output::Log(Line::Suspended(time)));
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
                if let Some(ticket) = self.tickets.remove(&job) {
                    self.jobs_by_ticket.remove(&ticket);
                    self.outputs.push(Output::Answer { answer, ticket });
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
            hinge_jobs::Action::Notice(notice) => self.outputs.push(Output::Log(Line::Job(notice))),
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
                self.outputs.push(Output::Log(Line::Run(notice)));
            }
            hinge_runs::Action::Report { home, report } if home == self.own_id => {
                self.jobs.report(now, self.own_id, &report);
            }
            hinge_runs::Action::Report { home, report } => {
                self.outboxes.entry(home).or_default().report.push(report);
            }
            hinge_runs::Action::Start(start) => self.outputs.push(Output::Start(start)),
            hinge_runs::Action::Stop { address, fence, run, upstream } => {
                self.outputs.push(Output::Stop { address, fence, run, upstream });
            }
        }
    }

    fn mesh_event(&mut self, now: Instant, event: MeshEvent) {
        match event {
            MeshEvent::Down { error, peer, silent } => {
                self.outputs.push(Output::Log(Line::PeerLost { error, peer, silent }));
                self.peers.down(now, peer, silent);
                self.link_lost(now, peer);
            }
            MeshEvent::Received { message, peer } => self.received(now, peer, message),
            MeshEvent::Refused { instance } => self.peers.refused(now, &instance),
            MeshEvent::Up(hello) => self.link_up(now, &hello),
        }
    }

    fn link_up(&mut self, now: Instant, hello: &Hello) {
        let peer = hello.incarnation;
        if self.peers.up(now, hello) {
            self.link_lost(now, peer);
        }
        self.outputs.push(Output::Log(Line::PeerFound { instance: hello.instance.clone(), peer }));
        let near = hello.data_centre == self.own.data_centre;
        self.jobs.set_distance(peer, if near { LOCAL_DISTANCE } else { REMOTE_DISTANCE });
        self.send(peer, Message::Owned(self.sent_owned.clone()));
        let loads = self.loads(now);
        self.send_status(peer, loads);
    }

    /// What was handed over on the link is void on both sides.
    fn link_lost(&mut self, now: Instant, peer: HomeId) {
        self.outboxes.remove(&peer);
        self.jobs.owner_lost(now, peer);
        self.runner.handle(now, Event::HomeLost(peer));
    }

    fn received(&mut self, now: Instant, id: HomeId, message: Message) {
        let Some(peer) = self.peers.get_mut(id) else { return };
        match message {
            Message::Assign(assignments) => {
                for assignment in assignments {
                    peer.last_assignment = peer.last_assignment.max(assignment.id);
                    self.runner.handle(now, Event::Assigned { assignment, home: id });
                }
            }
            Message::Cancel(assignments) => {
                for assignment in assignments {
                    self.runner.handle(now, Event::Cancelled { assignment, home: id });
                }
            }
            Message::Config { body, version } => self.offer_config(version, body),
            Message::ConfigRequest => {
                if let Some((version, body)) = self.config.clone() {
                    self.send(id, Message::Config { body, version });
                }
            }
            Message::Heartbeat | Message::Hello(_) => {}
            Message::Owned(owned) => peer.claims = owned.into_iter().map(|one| one.upstream).collect(),
            Message::Recall(assignments) => {
                for assignment in assignments {
                    self.runner.handle(now, Event::Recalled { assignment, home: id });
                }
            }
            Message::Report(reports) => {
                for report in reports {
                    self.jobs.report(now, id, &report);
                }
            }
            Message::Status(status) => self.peer_status(now, id, status),
        }
    }

    fn peer_status(&mut self, now: Instant, id: HomeId, status: Status) {
        for one in &status.loads {
            let load = if status.draining { Load::default() } else { one.load.clone() };
            let service = one.service.clone();
            let last_assignment = status.last_assignment;
            self.jobs.set_load(now, OwnerLoad { last_assignment, load, owner: id, service });
        }
        if let Some(peer) = self.peers.get_mut(id) {
            peer.status = status;
        }
    }

    /// Keeps the highest version that is known, and passes it on.
    fn offer_config(&mut self, version: u64, body: Bytes) {
        if self.config.as_ref().is_some_and(|(known, _)| *known >= version) {
            return;
        }
        self.config = Some((version, body.clone()));
        self.config_request_at = None;
        self.outputs.push(Output::Config { body, version });
    }

    fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |(version, _)| *version)
    }

    /// Asks one peer for a newer configuration that the store has not brought in time.
    fn request_config(&mut self, now: Instant) {
        let own_version = self.config_version();
        let newer = self.peers.linked().filter(|(_, peer)| peer.status.config_version > own_version);
        let near = |peer: &crate::peers::Peer| peer.data_centre == self.own.data_centre;
        // A peer nearby, and a different one for each entry, so that no link carries many copies.
        let best = newer.max_by_key(|(id, peer)| (near(peer), id.wrapping_mul(self.own_id | 1)));
        let Some((peer, _)) = best else {
            self.config_request_at = None;
            return;
        };
        match self.config_request_at {
            None => self.config_request_at = Some(now + CONFIG_LAG),
            Some(at) if now >= at => {
                self.config_request_at = Some(now + CONFIG_REQUEST_INTERVAL);
                self.send(peer, Message::ConfigRequest);
            }
            Some(_) => {}
        }
    }

    fn note_own_loads(&mut self, now: Instant) {
        for service in self.services.clone() {
            let load = if self.own.draining && self.peers.linked().next().is_some() {
                Load::default()
            } else {
                self.runner.load(now, &service)
            };
            let last_assignment = AssignmentId::MAX;
            self.jobs.set_load(now, OwnerLoad { last_assignment, load, owner: self.own_id, service });
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

    fn send_owned(&mut self) {
        let mut owned: Vec<_> = self
            .runner
            .owned()
            .map(|(upstream, fence)| OwnedUpstream { fence, upstream: upstream.clone() })
            .collect();
        owned.sort_unstable_by(|a, b| a.upstream.cmp(&b.upstream));
        let same = owned.len() == self.sent_owned.len()
            && owned.iter().zip(&self.sent_owned).all(|(a, b)| a.upstream == b.upstream);
        if same {
            return;
        }
        self.sent_owned.clone_from(&owned);
        let linked: Vec<_> = self.peers.linked().map(|(peer, _)| peer).collect();
        for peer in linked {
            self.send(peer, Message::Owned(owned.clone()));
        }
    }

    fn send_messages(&mut self, now: Instant) {
        let outboxes = std::mem::take(&mut self.outboxes);
        let mut informed = Vec::new();
        for (peer, outbox) in outboxes {
            if !outbox.report.is_empty() {
                self.send(peer, Message::Report(outbox.report));
            }
            if !outbox.recall.is_empty() {
                self.send(peer, Message::Recall(outbox.recall));
            }
            if !outbox.cancel.is_empty() {
                self.send(peer, Message::Cancel(outbox.cancel));
            }
            if !outbox.assign.is_empty() {
                self.send(peer, Message::Assign(outbox.assign));
            }
            informed.push(peer);
        }
        let loads = self.loads(now);
        let version = self.config_version();
        let local = self.local_status.due(now, version, &loads);
        let remote = self.remote_status.due(now, version, &loads);
        let due = self
            .peers
            .linked()
            .filter(|(_, peer)| if peer.data_centre == self.own.data_centre { local } else { remote });
        informed.extend(due.map(|(peer, _)| peer));
        informed.sort_unstable();
        informed.dedup();
        for peer in informed {
            self.send_status(peer, loads.clone());
        }
    }

    fn loads(&self, now: Instant) -> Vec<ServiceLoad> {
        let services = self.services.iter();
        services
            .map(|service| ServiceLoad { load: self.runner.load(now, service), service: service.clone() })
            .collect()
    }

    fn send_status(&mut self, peer: HomeId, loads: Vec<ServiceLoad>) {
        let last_assignment = self.peers.get_mut(peer).map_or(0, |peer| peer.last_assignment);
        let config_version = self.config_version();
        let draining = self.own.draining;
        self.send(peer, Message::Status(Status { config_version, draining, last_assignment, loads }));
    }

    fn send(&mut self, peer: HomeId, message: Message) {
        self.outputs.push(Output::Send { message, peer });
    }
}

/// Bits of a fencing token below the time in milliseconds; they tell processes apart.
pub(crate) const FENCE_TIME_SHIFT: u32 = 10;
