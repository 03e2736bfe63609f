//! Queue of tasks that wait for free resources. Order: priority, then tasks whose job can still meet its objective,
//! then the largest.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use hinge_wire::{FastMap, ServiceId};
use tokio::time::Instant;

use crate::{Assignment, AssignmentId, HomeId, PRIORITY_LEVELS, priority_index};

/// Granularity of task sizes in the order of the queue; smaller differences do not count.
const SIZE_STEP_CPU_MILLIS: u64 = 1_000;

/// Sort key of the queue. Among tasks of equal priority large ones go first: they fit on few upstreams, and small ones
/// fill the remaining capacity.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Position {
    priority: u32,
    late: bool,
    size: Reverse<u64>,
    start_by: Instant,
    arrival: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Queued {
    pub(crate) assignment: Assignment,
    pub(crate) home: HomeId,
    pub(crate) queued_at: Instant,
    /// A time before which the home has not sent the assignment.
    pub(crate) sent_after: Instant,
    pub(crate) start_by: Instant,
}

/// Queue of one owner for all services.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    index: FastMap<(HomeId, AssignmentId), Position>,
    next_arrival: u64,
    tasks: BTreeMap<Position, Queued>,
}

impl Queue {
    pub(crate) fn push(&mut self, task: Queued) {
        let position = Position {
            priority: task.assignment.priority,
            late: task.assignment.late,
            size: Reverse(task.assignment.need.cpu_millis / SIZE_STEP_CPU_MILLIS),
            start_by: task.start_by,
            arrival: self.next_arrival,
        };
        self.next_arrival += 1;
        self.index.insert((task.home, task.assignment.id), position);
        self.tasks.insert(position, task);
    }

    pub(crate) fn remove(&mut self, home: HomeId, assignment: AssignmentId) -> Option<Queued> {
        let position = self.index.remove(&(home, assignment))?;
        self.tasks.remove(&position)
    }

    /// Removes the tasks for which `is_extracted` is true, in queue order.
    pub(crate) fn extract(&mut self, mut is_extracted: impl FnMut(&Queued) -> bool) -> Vec<Queued> {
        let positions: Vec<_> =
            self.tasks.iter().filter(|(_, task)| is_extracted(task)).map(|(position, _)| *position).collect();
        let tasks: Vec<_> = positions.iter().filter_map(|position| self.tasks.remove(position)).collect();
        for task in &tasks {
            self.index.remove(&(task.home, task.assignment.id));
        }
        tasks
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Queued> {
        self.tasks.values()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Number of tasks of a service by priority.
    pub(crate) fn counts(&self, service: &ServiceId) -> [u32; PRIORITY_LEVELS] {
        let mut counts = [0; PRIORITY_LEVELS];
        for task in self.iter().filter(|task| task.assignment.service == *service) {
            counts[priority_index(task.assignment.priority)] += 1;
        }
        counts
    }
}
