//! Choice of upstreams for queued tasks.

use hinge_wire::UpstreamId;
use tokio::time::Instant;

use crate::interference::{Interference, Kind, KindSet};
use crate::queue::Queued;
use crate::runner::to_f64;
use crate::upstream::Upstream;
use crate::{Assignment, Resources, Runner, bounded_ms};

/// Weight of the CPU left over against the speed of an upstream. Tight fits leave other upstreams free for large tasks.
const FIT_WEIGHT: f64 = 0.15;
/// Upstreams of at least this speed are used whatever the time limit of a task.
const NORMAL_SPEED: f64 = 0.7;

/// Added to the cost where a task that is tried again would run beside other tasks. It may have crashed its last upstream,
/// and would crash the next one under them; alone, it also shows whether it does.
const RETRY_BESIDE_COST: f64 = 1.0;

/// An upstream with its remaining resources during one pass over the queue.
#[derive(Debug)]
struct Candidate<'a> {
    free: Resources,
    /// Free resources for tasks that do not wait; less than `free` while the upstream warms up.
    shown_free: Resources,
    /// Whether a task that is tried again runs here.
    has_retry: bool,
    id: &'a UpstreamId,
    /// Kinds of the tasks that run here; empty while none is known to slow another one down.
    kinds: KindSet,
    /// Whether any task runs here.
    occupied: bool,
    speed: f64,
    /// Number of tasks that may still start in this pass; at most one on an upstream that is on probation or slow.
    starts_left: usize,
    upstream: &'a Upstream,
}

impl Candidate<'_> {
    /// Whether the task fits in the room that it may use. A task that waits has no other place.
    fn has_room(&self, assignment: &Assignment) -> bool {
        let free = if assignment.waits { self.free } else { self.shown_free };
        free.fits(&assignment.need)
    }

    /// Whether a run here is expected to end in time, that is, no later than a run at speed 1 that starts at
    /// `start_by`. Upstreams of at least [`NORMAL_SPEED`] always qualify.
    fn can_end_in_time(&self, now: Instant, task: &Queued) -> bool {
        let expected = bounded_ms(task.assignment.expected_ms);
        self.speed >= NORMAL_SPEED || now + expected.div_f64(self.speed) <= task.start_by + expected
    }

    /// Cost of a start here; the lowest wins. Prefers fast upstreams, and tight fits among upstreams of similar speed, and
    /// keeps tasks that are tried again apart from others.
    fn cost(&self, assignment: &Assignment) -> f64 {
        let beside_retry = self.has_retry || (self.occupied && is_retry(assignment));
        let left = to_f64(self.free.cpu_millis - assignment.need.cpu_millis);
        let capacity = to_f64(self.upstream.record.capacity.cpu_millis).max(1.0);
        let apart = if beside_retry { RETRY_BESIDE_COST } else { 0.0 };
        1.0 / self.speed + FIT_WEIGHT * left / capacity + apart
    }
}

/// Whether an earlier run of the task ended without success.
const fn is_retry(assignment: &Assignment) -> bool {
    assignment.avoid.is_some()
}

/// Index of the lowest cost; the first one of several.
fn cheapest(costs: impl Iterator<Item = (usize, f64)>) -> Option<usize> {
    costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(index, _)| index)
}

/// One pass over the queue.
#[derive(Debug)]
struct Pass<'a> {
    candidates: Vec<Candidate<'a>>,
    interference: &'a Interference,
    now: Instant,
    /// Number of tasks for which interference has changed the choice.
    separated: u64,
}

impl<'a> Pass<'a> {
    fn new(now: Instant, runner: &'a Runner) -> Self {
        let mut candidates: Vec<_> = runner
            .accepting(now)
            .map(|(id, upstream)| Candidate {
                free: upstream.free(),
                shown_free: runner.shown_free(now, upstream),
                has_retry: upstream.runs.values().any(|run| is_retry(&run.assignment)),
                id,
                kinds: if runner.interference.has_pairs() { upstream.kinds() } else { KindSet::default() },
                occupied: !upstream.runs.is_empty(),
                speed: upstream.health.speed(now),
                starts_left: upstream.health.starts_left(now, upstream.runs.len()),
                upstream,
            })
            .collect();
        // Makes ties between upstreams deterministic; the iteration order of the hash map is not.
        candidates.sort_unstable_by_key(|candidate| candidate.id);
        Self { candidates, interference: &runner.interference, now, separated: 0 }
    }

    /// Chooses the upstream on which the task starts now and reserves its resources; none if no upstream has room.
    fn reserve(&mut self, task: &Queued) -> Option<UpstreamId> {
        let assignment = &task.assignment;
        let kind = self.interference.paired_kind(assignment);
        let index = self.choose(task, kind)?;
        let best = &mut self.candidates[index];
        best.free -= assignment.need;
        best.shown_free -= assignment.need;
        best.has_retry |= is_retry(assignment);
        best.kinds.insert(kind);
        best.occupied = true;
        best.starts_left -= 1;
        Some(best.id.clone())
    }

    /// Index of the best candidate for the task. Interference with other kinds only changes the order of those with room.
    fn choose(&mut self, task: &Queued, kind: Option<Kind>) -> Option<usize> {
        let (now, assignment) = (self.now, &task.assignment);
        let serves = |candidate: &Candidate<'_>| candidate.upstream.record.service == assignment.service;
        let is_only_candidate = self.candidates.iter().filter(|candidate| serves(candidate)).count() == 1;
        let usable = self.candidates.iter().enumerate().filter(|(_, candidate)| {
            serves(candidate)
                && candidate.starts_left > 0
                && (is_only_candidate || assignment.avoid.as_ref() != Some(candidate.id))
                && candidate.has_room(assignment)
                && candidate.can_end_in_time(now, task)
        });
        let costs = usable.map(|(index, candidate)| (index, candidate.cost(assignment)));
        if kind.is_none() {
            return cheapest(costs);
        }
        let costs: Vec<_> = costs.collect();
        let added = |index: usize| self.interference.cost(kind, self.candidates[index].kinds);
        let apart = cheapest(costs.iter().map(|(index, cost)| (*index, cost + added(*index))));
        self.separated += u64::from(apart != cheapest(costs.into_iter()));
        apart
    }
}

impl Runner {
    /// Starts the queued tasks that fit on an upstream, in queue order.
    pub(crate) fn place(&mut self, now: Instant) {
        if self.queue.is_empty() {
            return;
        }
        let mut pass = Pass::new(now, self);
        let mut placements = Vec::new();
        for task in self.queue.iter() {
            if let Some(id) = pass.reserve(task) {
                placements.push(((task.home, task.assignment.id), id));
            }
        }
        self.interference.stats.separated += pass.separated;
        for ((home, assignment), id) in placements {
            if let Some(task) = self.queue.remove(home, assignment) {
                self.start(now, &id, task);
            }
        }
    }
}
