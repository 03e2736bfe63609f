//! The status that peers are sent: loads at intervals, other state when it changes.

use std::time::Duration;

use hinge_jobs::OwnerLoad;
use hinge_mesh::{Evacuation, FULL_MESH_PEERS, Message, ServiceLoad, Status};
use hinge_runs::{AssignmentId, HomeId, Load, LostRun};
use hinge_wire::ServiceId;
use tokio::time::Instant;

use crate::Engine;
use crate::recipients::{Candidate, Sender, load_recipients};

/// Minimum time between two status messages to a peer of this entry's data centre, if nothing else is sent to it.
pub(crate) const LOCAL_STATUS_INTERVAL: Duration = Duration::from_millis(25);
/// The same for peers in other data centres. Their view of the loads may be older, since tasks go to other data centres
/// only when this entry's data centre is full.
pub(crate) const REMOTE_STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time between two messages to a peer with tasks in progress on either side. Keeps the link from going idle,
/// so that its loss is detected in time.
const BUSY_STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Parts of a status that are sent only when they have changed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Changes {
    pub(crate) evacuations: Option<Vec<Evacuation>>,
    pub(crate) lost_runs: Vec<LostRun>,
}

/// Decides when loads are sent to a group of peers: after a change, and at most once per interval.
#[derive(Debug)]
pub(crate) struct StatusTimer {
    due_at: Instant,
    interval: Duration,
    sent: Vec<ServiceLoad>,
    /// Whether a peer has received loads other than `sent` since then.
    stale: bool,
}

impl StatusTimer {
    pub(crate) const fn new(now: Instant, interval: Duration) -> Self {
        Self { due_at: now, interval, sent: Vec::new(), stale: false }
    }

    /// Whether the loads have changed and must be sent now. If so, records them as sent.
    pub(crate) fn due(&mut self, now: Instant, loads: &[ServiceLoad]) -> bool {
        if now < self.due_at || (self.sent == loads && !self.stale) {
            return false;
        }
        self.stale = false;
        self.due_at = now + self.interval;
        self.sent = loads.to_vec();
        true
    }

    /// Records that loads were sent to a single peer outside the interval. If they differ from those sent to the group,
    /// the group gets its loads again at the next interval, so that this peer does not keep them.
    fn note_unscheduled(&mut self, loads: &[ServiceLoad]) {
        self.stale |= self.sent != loads;
    }
}

/// Peers that must be told of a change of this entry's state other than its loads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StateRecipients {
    /// Every linked peer.
    All,
    /// The recipients of loads.
    OfLoads,
    None,
}

impl Engine {
    /// Computes the loads of the own upstreams, and hands them to the job table as those of an owner.
    pub(crate) fn update_own_loads(&mut self, now: Instant) {
        let load = |service: &ServiceId| ServiceLoad {
            load: self.runner.load(now, service),
            service: service.clone(),
        };
        self.loads = self.services.iter().map(load).collect();
        let is_leaving = self.local.draining && self.peers.linked().next().is_some();
        for ServiceLoad { load, service } in self.loads.clone() {
            let load = if is_leaving { Load::default() } else { load };
            let last_assignment = AssignmentId::MAX;
            self.jobs.set_load(now, OwnerLoad { last_assignment, load, owner: self.own_id, service });
        }
    }

    /// Sends the status to the peers that it is due for, and to `recipients`, which have just been sent something else.
    pub(crate) fn send_statuses(&mut self, now: Instant, mut recipients: Vec<HomeId>) {
        let loads = self.loads.clone();
        let recipients_of_state = self.state_recipients();
        let due_near = self.local_status.due(now, &loads);
        let due_far = self.remote_status.due(now, &loads);
        match recipients_of_state {
            StateRecipients::All => recipients.extend(self.peers.linked().map(|(peer, _)| peer)),
            StateRecipients::OfLoads => recipients.extend(self.linked_recipients(true, true)),
            StateRecipients::None => recipients.extend(self.linked_recipients(due_near, due_far)),
        }
        recipients.extend(self.busy_peers(now));
        recipients.sort_unstable();
        recipients.dedup();
        for peer in recipients {
            self.send_status(peer, &loads, Changes::default());
        }
    }

    /// Who must be told of what has changed in the state of this entry since the last call, other than loads. In a large data
    /// centre a new version of the configuration is not told to all: the store delivers it, and an entry that the store leaves
    /// behind hears of it from those that send it their loads.
    fn state_recipients(&mut self) -> StateRecipients {
        let state = (self.config_version(), self.local.draining);
        let before = std::mem::replace(&mut self.status_sent, state);
        if before == state {
            return StateRecipients::None;
        }
        let near = self.peers.linked().filter(|(_, peer)| peer.data_centre == self.local.data_centre);
        let is_large = near.count() > FULL_MESH_PEERS;
        if is_large && before.1 == state.1 { StateRecipients::OfLoads } else { StateRecipients::All }
    }

    /// Linked recipients of loads in this entry's data centre, in others, or both.
    fn linked_recipients(&self, near: bool, far: bool) -> impl Iterator<Item = HomeId> {
        let candidates = self.load_recipients.iter().filter(move |_| near || far);
        let linked = candidates.filter_map(|id| Some((*id, self.peers.get(*id).filter(|peer| peer.linked)?)));
        let wanted = linked.filter(
            move |(_, peer)| {
                if peer.data_centre == self.local.data_centre { near } else { far }
            },
        );
        wanted.map(|(id, _)| id)
    }

    /// Tells all linked peers of the runs that were lost since the last call, and of changed evacuations. Must precede the
    /// reports about them.
    pub(crate) fn send_changes(&mut self) {
        let changed = std::mem::take(&mut self.evacuations_changed);
        if self.lost_runs.is_empty() && !changed {
            return;
        }
        let evacuations = if changed { self.evacuations.states() } else { None };
        let changes = Changes { evacuations, lost_runs: std::mem::take(&mut self.lost_runs) };
        let loads = self.loads.clone();
        let linked: Vec<_> = self.peers.linked().map(|(peer, _)| peer).collect();
        for peer in linked {
            self.send_status(peer, &loads, changes.clone());
        }
    }

    /// Peers with tasks in progress on either side, if their periodic status is due.
    fn busy_peers(&mut self, now: Instant) -> Vec<HomeId> {
        if now < self.busy_status_at {
            return Vec::new();
        }
        self.busy_status_at = now + BUSY_STATUS_INTERVAL;
        let mut busy: Vec<_> = self.jobs.owners_in_use().chain(self.runner.homes_in_use()).collect();
        busy.retain(|peer| *peer != self.own_id);
        busy
    }

    /// Selects the recipients of loads again after a change of links. Former recipients get a status without free
    /// slots, so that they do not use outdated loads.
    pub(crate) fn update_load_recipients(&mut self) {
        let linked = self.peers.linked().map(|(id, peer)| Candidate {
            data_centre: &peer.data_centre,
            id,
            instance: &peer.instance,
        });
        let sender = Sender {
            data_centre: &self.local.data_centre,
            evacuations: &self.evacuations,
            instance: &self.local.instance,
        };
        let chosen = load_recipients(&sender, linked.collect());
        if chosen == self.load_recipients {
            return;
        }
        let before = std::mem::replace(&mut self.load_recipients, chosen);
        let loads = self.loads.clone();
        let changed: Vec<_> = before.symmetric_difference(&self.load_recipients).copied().collect();
        for peer in changed {
            self.send_status(peer, &loads, Changes::default());
        }
    }

    /// Sends the status of this entry to a peer. Peers that are not recipients of loads see no free slots, so they
    /// assign no tasks to this entry.
    pub(crate) fn send_status(&mut self, peer: HomeId, loads: &[ServiceLoad], changes: Changes) {
        self.local_status.note_unscheduled(loads);
        self.remote_status.note_unscheduled(loads);
        let last_assignment = self.peers.get_mut(peer).map_or(0, |peer| peer.last_assignment);
        let loads = if self.load_recipients.contains(&peer) { loads.to_vec() } else { without_slots(loads) };
        let config_version = self.config_version();
        let draining = self.local.draining;
        let Changes { evacuations, lost_runs } = changes;
        let status = Status { config_version, draining, last_assignment, loads, lost_runs, evacuations };
        self.send(peer, Message::Status(status));
    }
}

fn without_slots(loads: &[ServiceLoad]) -> Vec<ServiceLoad> {
    loads.iter().map(|load| ServiceLoad { load: Load::default(), service: load.service.clone() }).collect()
}
