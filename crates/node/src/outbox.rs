//! Messages to peers: tasks and reports in batches, owned upstreams when they change.

use hinge_mesh::{Message, OwnedUpstream};
use hinge_runs::{Assignment, AssignmentId, HomeId, TaskReport};
use tokio::time::Instant;

use crate::{Engine, Output};

/// Queued items for a peer; each non-empty list goes out as one message.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) assign: Vec<Assignment>,
    pub(crate) cancel: Vec<AssignmentId>,
    pub(crate) recall: Vec<AssignmentId>,
    pub(crate) report: Vec<TaskReport>,
}

impl Outbox {
    /// Removes and returns an assignment that has not been sent yet.
    pub(crate) fn take_unsent(&mut self, id: AssignmentId) -> Option<Assignment> {
        let position = self.assign.iter().position(|assignment| assignment.id == id)?;
        Some(self.assign.remove(position))
    }
}

impl Engine {
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
        self.send_changes();
        let outboxes = std::mem::take(&mut self.outboxes);
        let mut recipients = Vec::new();
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
            recipients.push(peer);
        }
        self.send_statuses(now, recipients);
    }

    pub(crate) fn send(&mut self, peer: HomeId, message: Message) {
        self.outputs.push(Output::Send { message, peer });
    }
}
