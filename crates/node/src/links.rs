//! Events of the links to peers: changes of links, and messages with tasks, reports, loads and configurations.

use std::time::Duration;

use bytes::Bytes;
use hinge_jobs::OwnerLoad;
use hinge_mesh::{Hello, MeshEvent, Message, Status};
use hinge_runs::{Event, HomeId, Load, Outcome, TaskReport};
use tokio::time::Instant;

use crate::journal::LogLine;
use crate::status::Changes;
use crate::{Engine, Output};

/// Time that the store gets to deliver a configuration that a peer already has, before the peer is asked for it.
const CONFIG_LAG: Duration = Duration::from_millis(600);
/// Time between two requests for a configuration, since a large one takes time on a slow link.
const CONFIG_REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Assumed latency of a message to an owner in another data centre. It counts as part of the owner's wait, so this much
/// extra wait is accepted to stay in this entry's data centre.
const REMOTE_LATENCY: Duration = Duration::from_millis(5);
/// The same for another entry of this entry's data centre; it favours the upstreams that this entry owns.
const LOCAL_LATENCY: Duration = Duration::from_millis(1);

impl Engine {
    pub(crate) fn handle_mesh_event(&mut self, now: Instant, event: MeshEvent) {
        match event {
            MeshEvent::Down { error, peer, sent_after, silent, since } => {
                let unproven = now.duration_since(sent_after);
                self.outputs.push(Output::Log(LogLine::PeerLost { error, peer, silent, unproven }));
                self.peers.mark_unlinked(since, peer, silent);
                self.link_lost(now, peer);
            }
            MeshEvent::Received { message, peer, sent_after } => {
                self.handle_message(now, peer, message, sent_after);
            }
            MeshEvent::Refused { instance } => self.peers.mark_refused(now, &instance),
            MeshEvent::Up(hello) => self.link_up(now, &hello),
        }
    }

    pub(crate) fn link_up(&mut self, now: Instant, hello: &Hello) {
        let peer = hello.incarnation;
        if self.peers.mark_linked(now, hello) {
            self.link_lost(now, peer);
        }
        self.outputs.push(Output::Log(LogLine::PeerLinked { instance: hello.instance.clone(), peer }));
        // An assignment that was sent before the loss of the link before was noticed may have gone out over this one.
        let void = self.jobs.void_assignments(peer).collect::<Vec<_>>();
        self.outboxes.entry(peer).or_default().cancel.extend(void);
        let near = hello.data_centre == self.local.data_centre;
        self.jobs.set_latency(peer, if near { LOCAL_LATENCY } else { REMOTE_LATENCY });
        self.send(peer, Message::Owned(self.sent_owned.clone()));
        self.update_load_recipients();
        let loads = self.loads.clone();
        let lost_runs: Vec<_> = self.jobs.own_lost_runs(now).cloned().collect();
        let evacuations = self.evacuations.states();
        self.send_status(peer, &loads, Changes { evacuations, lost_runs });
    }

    /// Discards what was sent over a lost link: assignments in either direction become void, as they do at the peer.
    pub(crate) fn link_lost(&mut self, now: Instant, peer: HomeId) {
        self.void_assignments(now, peer);
        self.runner.handle(now, Event::HomeLost(peer));
    }

    /// Voids the assignments to an owner. Those that were not sent yet have not run.
    fn void_assignments(&mut self, now: Instant, owner: HomeId) {
        self.jobs.forget_owner(owner);
        for unsent in self.outboxes.remove(&owner).unwrap_or_default().assign {
            self.jobs.report(now, owner, &TaskReport::new(unsent.id, Outcome::NotStarted, unsent.run));
        }
        self.jobs.owner_lost(now, owner);
    }

    /// Discards what may no longer hold after the process was suspended: links, jobs and the knowledge of the upstreams. Peers
    /// may have lost the links meanwhile, and what was sent before, such as an assignment that is still to be read, is void.
    pub(crate) fn suspended(&mut self, now: Instant, time: Duration) {
        self.outputs.push(Output::Log(LogLine::Suspended(time)));
        let linked: Vec<_> = self.peers.linked().map(|(peer, _)| peer).collect();
        for peer in &linked {
            self.peers.mark_unlinked(now, *peer, true);
            self.void_assignments(now, *peer);
        }
        self.outputs.push(Output::ResetLinks);
        self.jobs.suspended(now);
        self.mark_evacuations_outdated(now);
        // Together, so that no queued task starts before all upstreams are given up.
        let events = linked.into_iter().map(Event::HomeLost).chain([Event::Suspended]);
        self.runner.handle_all(now, events);
    }

    /// Handles a message of a linked peer; what arrives over a link that was given up is void.
    pub(crate) fn handle_message(&mut self, now: Instant, id: HomeId, message: Message, sent_after: Instant) {
        let Some(peer) = self.peers.get_mut(id).filter(|peer| peer.linked) else { return };
        match message {
            Message::Assign(assignments) => {
                for assignment in assignments {
                    peer.last_assignment = peer.last_assignment.max(assignment.id);
                    self.runner.handle(now, Event::Assigned { assignment, home: id, sent_after });
                }
            }
            Message::Cancel(assignments) => {
                let cancelled = |assignment| Event::Cancelled { assignment, home: id };
                self.runner.handle_all(now, assignments.into_iter().map(cancelled));
            }
            Message::Config { body, version } => self.adopt_config(version, body),
            Message::ConfigRequest => {
                if let Some((version, body)) = self.config.clone() {
                    self.send(id, Message::Config { body, version });
                }
            }
            // Handled by the mesh.
            Message::Acknowledge(_)
            | Message::Heartbeat
            | Message::Hello(_)
            | Message::Idle
            | Message::Resume(_)
            | Message::Suspect(_)
            | Message::Timestamps(_) => {}
            Message::Owned(owned) => {
                self.tokens.learn(&owned);
                peer.claims = owned.into_iter().map(|claim| claim.upstream).collect();
            }
            Message::Recall(assignments) => {
                let recalled = |assignment| Event::Recalled { assignment, home: id };
                self.runner.handle_all(now, assignments.into_iter().map(recalled));
            }
            Message::Report(reports) => {
                for report in reports {
                    self.jobs.report(now, id, &report);
                }
            }
            Message::Status(status) => self.handle_status(now, id, status),
        }
    }

    pub(crate) fn handle_status(&mut self, now: Instant, id: HomeId, mut status: Status) {
        for lost in std::mem::take(&mut status.lost_runs) {
            self.jobs.record_peer_lost_run(now, lost);
        }
        let evacuations = status.evacuations.take();
        for service_load in &status.loads {
            let load = if status.draining { Load::default() } else { service_load.load.clone() };
            let service = service_load.service.clone();
            let last_assignment = status.last_assignment;
            self.jobs.set_load(now, OwnerLoad { last_assignment, load, owner: id, service });
        }
        if let Some(peer) = self.peers.get_mut(id) {
            peer.status = status;
        }
        if let Some(states) = evacuations {
            self.receive_evacuations(now, id, states);
        }
    }

    /// Adopts a configuration and outputs it, unless its version is not above the current one.
    pub(crate) fn adopt_config(&mut self, version: u64, body: Bytes) {
        if self.config.as_ref().is_some_and(|(known, _)| *known >= version) {
            return;
        }
        self.config = Some((version, body.clone()));
        self.config_request_at = None;
        self.outputs.push(Output::Config { body, version });
    }

    pub(crate) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |(version, _)| *version)
    }

    /// Asks one peer for a newer configuration that the store has not delivered in time.
    pub(crate) fn request_config(&mut self, now: Instant) {
        let own_version = self.config_version();
        let newer = self.peers.linked().filter(|(_, peer)| peer.status.config_version > own_version);
        let near = |peer: &crate::peers::Peer| peer.data_centre == self.local.data_centre;
        // Prefers this entry's data centre. Entries choose different peers, so that no peer has to send many copies.
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
}
