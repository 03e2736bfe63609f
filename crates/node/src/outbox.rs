//! What the engine tells its peers: tasks and reports in batches, loads at intervals, owned upstreams on change.

use std::time::Duration;

use hinge_jobs::OwnerLoad;
use hinge_mesh::{Message, OwnedUpstream, ServiceLoad, Status};
use hinge_runs::{Assignment, AssignmentId, HomeId, Load, TaskReport};
use tokio::time::Instant;

use crate::audience::{Candidate, audience};
use crate::{Engine, Output};

/// Least time between two status messages to a peer that gets nothing else, in the own data centre and in others.
/// Tasks go to other data centres only when the own one is full, so their loads may be older.
pub(crate) const LOCAL_STATUS_INTERVAL: Duration = Duration::from_millis(25);
pub(crate) const REMOTE_STATUS_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time between two messages to a peer with tasks in progress on either side, so that the link does not idle and
/// its loss is noticed in time.
const BUSY_STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Messages to a peer that are sent together.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) assign: Vec<Assignment>,
    pub(crate) cancel: Vec<AssignmentId>,
    pub(crate) recall: Vec<AssignmentId>,
    pub(crate) report: Vec<TaskReport>,
}

/// When loads were sent last, and which.
#[derive(Debug)]
pub(crate) struct StatusTimer {
    due_at: Instant,
    interval: Duration,
    sent: Vec<ServiceLoad>,
    /// Whether some peer was told other loads in between.
    stale: bool,
}

impl StatusTimer {
    pub(crate) const fn new(now: Instant, interval: Duration) -> Self {
        Self { due_at: now, interval, sent: Vec::new(), stale: false }
    }

    /// Whether the loads have changed and are to be sent now; they count as sent then.
    pub(crate) fn due(&mut self, now: Instant, loads: &[ServiceLoad]) -> bool {
        if now < self.due_at || (self.sent == loads && !self.stale) {
            return false;
        }
        self.stale = false;
        self.due_at = now + self.interval;
        self.sent = loads.to_vec();
        true
    }

    /// Notes loads that a peer was told outside the interval.
    fn note_told(&mut self, loads: &[ServiceLoad]) {
        self.stale |= self.sent != loads;
    }
}

impl Engine {
    pub(crate) fn note_own_loads(&mut self, now: Instant) {
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

    pub(crate) fn send_owned(&mut self) {
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

    pub(crate) fn send_messages(&mut self, now: Instant) {
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
        let changed = self.status_sent != (version, self.own.draining);
        self.status_sent = (version, self.own.draining);
        let local = self.local_status.due(now, &loads);
        let remote = self.remote_status.due(now, &loads);
        let due = self.peers.linked().filter(|(id, peer)| {
            let near = peer.data_centre == self.own.data_centre;
            changed || self.audience.contains(id) && if near { local } else { remote }
        });
        informed.extend(due.map(|(peer, _)| peer));
        informed.extend(self.busy_peers(now));
        informed.sort_unstable();
        informed.dedup();
        for peer in informed {
            self.send_status(peer, &loads);
        }
    }

    /// Peers with tasks in progress on either side, when they are due to be told the state of this entry again.
    fn busy_peers(&mut self, now: Instant) -> Vec<HomeId> {
        if now < self.busy_status_at {
            return Vec::new();
        }
        self.busy_status_at = now + BUSY_STATUS_INTERVAL;
        let mut busy: Vec<_> = self.jobs.owners_in_use().chain(self.runner.homes_in_use()).collect();
        busy.retain(|peer| *peer != self.own_id);
        busy
    }

    /// Chooses anew which peers are told the loads; those that no longer are learn that they have to do without.
    pub(crate) fn adjust_audience(&mut self, now: Instant) {
        let linked = self.peers.linked().map(|(id, peer)| Candidate {
            data_centre: &peer.data_centre,
            id,
            instance: &peer.instance,
        });
        let chosen = audience(&self.own.instance, &self.own.data_centre, linked.collect());
        if chosen == self.audience {
            return;
        }
        let before = std::mem::replace(&mut self.audience, chosen);
        let loads = self.loads(now);
        let changed: Vec<_> = before.symmetric_difference(&self.audience).copied().collect();
        for peer in changed {
            self.send_status(peer, &loads);
        }
    }

    pub(crate) fn loads(&self, now: Instant) -> Vec<ServiceLoad> {
        let services = self.services.iter();
        services
            .map(|service| ServiceLoad { load: self.runner.load(now, service), service: service.clone() })
            .collect()
    }

    /// Tells a peer the state of this entry; one that is not to use its upstreams hears of no slots.
    pub(crate) fn send_status(&mut self, peer: HomeId, loads: &[ServiceLoad]) {
        self.local_status.note_told(loads);
        self.remote_status.note_told(loads);
        let last_assignment = self.peers.get_mut(peer).map_or(0, |peer| peer.last_assignment);
        let loads = if self.audience.contains(&peer) { loads.to_vec() } else { without_slots(loads) };
        let config_version = self.config_version();
        let draining = self.own.draining;
        self.send(peer, Message::Status(Status { config_version, draining, last_assignment, loads }));
    }

    pub(crate) fn send(&mut self, peer: HomeId, message: Message) {
        self.outputs.push(Output::Send { message, peer });
    }
}

fn without_slots(loads: &[ServiceLoad]) -> Vec<ServiceLoad> {
    loads.iter().map(|one| ServiceLoad { load: Load::default(), service: one.service.clone() }).collect()
}
