//! Evacuated data centres: their upstreams get no new tasks, and tasks that fit only there are returned.

use hinge_wire::{DataCentreId, FastSet};
use tokio::time::Instant;

use crate::queue::Queued;
use crate::upstream::{Ownership, Upstream};
use crate::{Action, Outcome, Runner, TaskReport};

/// Data centres whose upstreams get no new tasks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClosedDataCentres {
    /// All of them, because it is not known yet which are evacuated.
    All,
    /// These, which are evacuated.
    Some(FastSet<DataCentreId>),
}

impl Default for ClosedDataCentres {
    fn default() -> Self {
        Self::Some(FastSet::default())
    }
}

impl ClosedDataCentres {
    /// Whether the upstreams of a data centre get no new tasks.
    #[must_use]
    pub fn contains(&self, data_centre: &DataCentreId) -> bool {
        match self {
            Self::All => true,
            Self::Some(closed) => closed.contains(data_centre),
        }
    }

    /// Data centres that are known to be evacuated.
    fn evacuated(&self) -> impl Iterator<Item = &DataCentreId> {
        let evacuated = match self {
            Self::All => None,
            Self::Some(evacuated) => Some(evacuated),
        };
        evacuated.into_iter().flatten()
    }
}

impl Upstream {
    /// Whether a task could start here at some time, now or when others have ended.
    fn is_large_enough_for(&self, task: &Queued) -> bool {
        matches!(self.ownership, Ownership::Owned | Ownership::Taking)
            && self.registered
            && !self.record.draining
            && self.record.service == task.assignment.service
            && self.record.capacity.fits(&task.assignment.need)
    }
}

impl Runner {
    /// Sets the data centres whose upstreams get no new tasks. Those that were evacuated and are not any more warm up.
    pub(crate) fn close_data_centres(&mut self, now: Instant, closed: ClosedDataCentres) {
        let reopened = self.closed.evacuated().filter(|data_centre| !closed.contains(data_centre));
        for data_centre in reopened {
            self.restored.insert(data_centre.clone(), now);
        }
        self.closed = closed;
    }

    /// Returns the queued tasks that no upstream outside of the evacuated data centres can ever start.
    pub(crate) fn return_evacuated(&mut self, now: Instant) {
        if self.queue.is_empty() || self.closed.evacuated().next().is_none() {
            return;
        }
        let open: Vec<_> = self
            .upstreams
            .values()
            .filter(|upstream| !self.closed.contains(&upstream.record.data_centre))
            .collect();
        let tasks =
            self.queue.extract(|task| !open.iter().any(|upstream| upstream.is_large_enough_for(task)));
        for task in tasks {
            self.notice_dropped(now, &task, "evacuated");
            let report = TaskReport::new(task.assignment.id, Outcome::NotStarted, task.assignment.run);
            let report = TaskReport { place_again: true, ..report };
            self.actions.push(Action::Report { home: task.home, report });
        }
    }

    /// Number of runs on upstreams of a data centre.
    #[must_use]
    pub fn running_in(&self, data_centre: &DataCentreId) -> usize {
        let upstreams =
            self.upstreams.values().filter(|upstream| upstream.record.data_centre == *data_centre);
        upstreams.map(|upstream| upstream.runs.len()).sum()
    }
}
