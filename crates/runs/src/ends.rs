//! Memory of the runs that have ended lately.

use std::collections::VecDeque;

use hinge_wire::FastMap;
use tokio::time::Instant;

use crate::RunId;

/// Number of ends that are remembered.
const MAX_ENDS: usize = 256;

/// How the end of a run was established.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EndProof {
    /// The owner gave the run up without an answer from the upstream; it may still exist.
    Assumed,
    /// The upstream listed the end, or no longer listed the run.
    Listed,
}

/// The end of a run as this owner recorded it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentEnd {
    pub(crate) at: Instant,
    /// Log value for the way it ended, such as `done` or `expired`.
    pub(crate) how: &'static str,
    pub(crate) proof: EndProof,
}

/// The last [`MAX_ENDS`] ends. An older listing may still show these runs as running, and they must not be mistaken for
/// runs that are to be stopped.
#[derive(Debug, Default)]
pub(crate) struct RecentEnds {
    ends: FastMap<RunId, RecentEnd>,
    /// Runs in the order of their ends.
    order: VecDeque<RunId>,
}

impl RecentEnds {
    pub(crate) fn record(&mut self, run: RunId, end: RecentEnd) {
        if self.ends.insert(run.clone(), end).is_none() {
            self.order.push_back(run);
        }
        if self.order.len() > MAX_ENDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }

    pub(crate) fn get(&self, run: &RunId) -> Option<&RecentEnd> {
        self.ends.get(run)
    }

    /// Whether the upstream itself has shown that the run has ended.
    pub(crate) fn is_proven(&self, run: &RunId) -> bool {
        self.ends.get(run).is_some_and(|end| end.proof == EndProof::Listed)
    }

    /// Whether a listing that was requested at `sent_at` may show the run only because it is older than the run's end.
    pub(crate) fn is_outdated(&self, run: &RunId, sent_at: Instant) -> bool {
        self.ends.get(run).is_some_and(|end| end.proof == EndProof::Listed && sent_at <= end.at)
    }
}
