//! Where queued tasks start.

use std::time::Duration;

use hinge_wire::UpstreamId;
use tokio::time::Instant;

use crate::queue::Queued;
use crate::runner::as_float;
use crate::upstream::Upstream;
use crate::{Assignment, Resources, Runner};

/// Weight of the room left over against the speed of an upstream; tight fits keep room for large tasks.
const FIT_WEIGHT: f64 = 0.15;
/// Speed from which on an upstream counts as normal, whatever the deadline of a task.
const NORMAL_SPEED: f64 = 0.7;

/// An upstream during one pass over the queue.
#[derive(Debug)]
struct Candidate<'a> {
    free: Resources,
    id: &'a UpstreamId,
    speed: f64,
    /// Tasks that may start in this pass; one while the upstream has yet to show that it works.
    starts_left: usize,
    upstream: &'a Upstream,
}

impl Candidate<'_> {
    /// Whether a run here ends while it is of use.
    fn ends_in_time(&self, now: Instant, task: &Queued) -> bool {
        let expected = Duration::from_millis(task.assignment.expected_ms);
        self.speed >= NORMAL_SPEED || now + expected.div_f64(self.speed) <= task.start_by + expected
    }

    /// Lower is better: the fastest upstream, and among equals the tightest fit.
    fn cost(&self, assignment: &Assignment) -> f64 {
        let left = as_float(self.free.cpu_millis - assignment.need.cpu_millis);
        let capacity = as_float(self.upstream.record.capacity.cpu_millis).max(1.0);
        1.0 / self.speed + FIT_WEIGHT * left / capacity
    }
}

/// One pass over the queue.
#[derive(Debug)]
struct Pass<'a> {
    candidates: Vec<Candidate<'a>>,
    now: Instant,
}

impl<'a> Pass<'a> {
    fn new(now: Instant, upstreams: impl Iterator<Item = (&'a UpstreamId, &'a Upstream)>) -> Self {
        let accepting = upstreams.filter(|(_, upstream)| upstream.accepts(now));
        let mut candidates: Vec<_> = accepting
            .map(|(id, upstream)| Candidate {
                free: upstream.free(),
                id,
                speed: upstream.health.speed(now),
                starts_left: upstream.health.starts_left(now, upstream.runs.len()),
                upstream,
            })
            .collect();
        // The id decides between equals, because the order in the hash map is random.
        candidates.sort_unstable_by_key(|candidate| candidate.id);
        Self { candidates, now }
    }

    /// The upstream where the task starts now, if any has room; the room is taken.
    fn take_room(&mut self, task: &Queued) -> Option<UpstreamId> {
        let (now, assignment) = (self.now, &task.assignment);
        let serves = |candidate: &Candidate<'_>| candidate.upstream.record.service == assignment.service;
        let only = self.candidates.iter().filter(|candidate| serves(candidate)).count() == 1;
        let usable = self.candidates.iter_mut().filter(|candidate| {
            serves(candidate)
                && candidate.starts_left > 0
                && (only || assignment.avoid.as_ref() != Some(candidate.id))
                && candidate.free.fits(&assignment.need)
                && candidate.ends_in_time(now, task)
        });
        let best = usable.min_by(|a, b| a.cost(assignment).total_cmp(&b.cost(assignment)))?;
        best.free -= assignment.need;
        best.starts_left -= 1;
        Some(best.id.clone())
    }
}

impl Runner {
    /// Starts the queued tasks that have room, in the order of the queue.
    pub(crate) fn place(&mut self, now: Instant) {
        if self.queue.is_empty() {
            return;
        }
        let mut pass = Pass::new(now, self.upstreams.iter());
        let mut placements = Vec::new();
        for task in self.queue.iter() {
            if let Some(id) = pass.take_room(task) {
                placements.push(((task.home, task.assignment.id), id));
            }
        }
        for ((home, assignment), id) in placements {
            if let Some(task) = self.queue.remove(home, assignment) {
                self.start(now, &id, task);
            }
        }
    }
}
