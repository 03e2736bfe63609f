//! Interference between tasks: which kinds of tasks slow which others down on one upstream, learned from the ends of runs.

use std::sync::Arc;
use std::time::Duration;

use hinge_wire::FastMap;
use tokio::time::Instant;

use crate::runner::to_f64;
use crate::{Assignment, Notice, bounded_ms};

/// Number of kinds that are told apart: the bits of a [`KindSet`]. Tasks of all others count as tasks without a kind.
const MAX_KINDS: usize = 64;
/// Time in which an observation loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(300);
/// Time between two comparisons of all pairs.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Bound of an observation in both directions. A few tasks take many times as long as expected, for reasons of their own.
const MAX_LOG_RATIO: f64 = 1.0;
/// Number of observations over which the pace of a kind or an upstream is averaged.
const PACE_MEMORY: f64 = 100.0;
/// Number of observations from which on a pace is known.
const MIN_PACE_OBSERVATIONS: f64 = 20.0;
/// A run is compared by the kinds that were beside it in the first 1/2 of its expected run time. Longer runs meet more
/// neighbours, so that with the whole run all kinds with uneven run times would seem to interfere.
const WINDOW_DIVISOR: u32 = 2;

/// What the evidence on a pair of kinds must reach for the pair to count.
#[derive(Clone, Copy, Debug)]
struct Threshold {
    /// Weight of the observations on each side, in observations.
    observations: f64,
    /// Slowdown as the natural logarithm of a ratio of run times.
    log_slowdown: f64,
    /// Multiple of the standard error of the slowdown.
    standard_errors: f64,
}

/// Begins a pair: about 10% slower. Five standard errors, since all pairs are compared each second, at each entry, for days.
const BEGIN: Threshold = Threshold { observations: 40.0, log_slowdown: 0.095, standard_errors: 5.0 };
/// Keeps a pair that counts. It is lower, so that a pair at the limit does not begin and cease again and again.
const KEEP: Threshold = Threshold { observations: 15.0, log_slowdown: 0.05, standard_errors: 2.5 };

/// Number of a kind, below [`MAX_KINDS`].
pub(crate) type Kind = u8;

/// A set of kinds, as bits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct KindSet(u64);

impl KindSet {
    /// Adds a kind; none changes nothing.
    pub(crate) fn insert(&mut self, kind: Option<Kind>) {
        self.0 |= kind.map_or(0, |kind| 1 << kind);
    }

    const fn contains(self, kind: usize) -> bool {
        self.0 & (1 << kind) != 0
    }

    const fn is_empty(self) -> bool {
        self.0 == 0
    }

    const fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    const fn without(self, kind: usize) -> Self {
        Self(self.0 & !(1 << kind))
    }

    /// The kinds, in ascending order.
    fn iter(self) -> impl Iterator<Item = usize> {
        let mut left = self.0;
        std::iter::from_fn(move || {
            let kind = left.trailing_zeros() as usize;
            left &= left.wrapping_sub(1);
            (kind < MAX_KINDS).then_some(kind)
        })
    }
}

/// Kind of a run, and the kinds beside which it is observed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Neighbours {
    beside: KindSet,
    pub(crate) kind: Option<Kind>,
}

impl Neighbours {
    pub(crate) const fn new(kind: Option<Kind>, beside: KindSet) -> Self {
        Self { beside, kind }
    }

    /// Records that a run of another kind started on the upstream `age` after this run.
    pub(crate) fn joined(&mut self, kind: Option<Kind>, assignment: &Assignment, age: Duration) {
        if age < window(assignment) {
            self.beside.insert(kind);
        }
    }
}

fn window(assignment: &Assignment) -> Duration {
    bounded_ms(assignment.expected_ms) / WINDOW_DIVISOR
}

/// Mean logarithm of the ratio of actual to expected run time: of a kind, whose estimates may all be wrong, or of an upstream,
/// which may be slow. The speed by which tasks are placed cannot be used: placement prefers upstreams whose speed is
/// overestimated, so that runs there have more neighbours and also take longer than that speed lets expect.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    mean: f64,
    /// Number of observations, at most [`PACE_MEMORY`].
    observations: f64,
}

impl Pace {
    fn is_known(self) -> bool {
        self.observations >= MIN_PACE_OBSERVATIONS
    }

    fn observe(&mut self, value: f64) {
        self.observations = (self.observations + 1.0).min(PACE_MEMORY);
        self.mean += (value - self.mean) / self.observations;
    }
}

/// Weighted sums of observations.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    squares: f64,
    values: f64,
    weight: f64,
}

impl Sums {
    fn add(&mut self, value: f64) {
        self.squares += value * value;
        self.values += value;
        self.weight += 1.0;
    }

    fn scale(&mut self, factor: f64) {
        self.squares *= factor;
        self.values *= factor;
        self.weight *= factor;
    }

    fn mean(&self) -> f64 {
        self.values / self.weight
    }

    /// Square of the standard error of the mean.
    fn squared_error(&self) -> f64 {
        let variance = (self.squares / self.weight - self.mean() * self.mean()).max(0.0);
        variance / (self.weight - 1.0)
    }
}

/// Run times of one kind with and without another kind beside it.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    beside: Sums,
    without: Sums,
    /// Additional run time beside the other kind, as a share; zero unless the pair counts.
    excess: f64,
}

impl Comparison {
    fn scale(&mut self, factor: f64) {
        self.beside.scale(factor);
        self.without.scale(factor);
    }

    /// Logarithm of the slowdown, if it reaches the threshold.
    fn log_slowdown(&self, threshold: Threshold) -> Option<f64> {
        if self.beside.weight.min(self.without.weight) < threshold.observations {
            return None;
        }
        let slowdown = self.beside.mean() - self.without.mean();
        let error = (self.beside.squared_error() + self.without.squared_error()).sqrt();
        let least = threshold.log_slowdown.max(threshold.standard_errors * error);
        (slowdown >= least).then_some(slowdown)
    }
}

/// What is known of one kind.
#[derive(Clone, Debug)]
struct KindState {
    /// Comparisons with the kinds beside it, by their number.
    comparisons: Vec<Comparison>,
    name: Arc<str>,
    pace: Pace,
    /// Kinds that slow this one down.
    slowed_by: KindSet,
    /// Kinds that this one slows down.
    slows: KindSet,
}

/// Numbers of one owner for the metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InterferenceStats {
    /// Number of ordered pairs of kinds of which one slows the other down.
    pub pairs: usize,
    /// Number of tasks that were placed on another upstream because of such a pair, since the start.
    pub separated: u64,
}

/// Learned interference between kinds of tasks. It learns nothing until it is switched on.
#[derive(Debug, Default)]
pub(crate) struct Interference {
    enabled: bool,
    kinds: Vec<KindState>,
    numbers: FastMap<Arc<str>, Kind>,
    pub(crate) stats: InterferenceStats,
    reviewed_at: Option<Instant>,
}

impl Interference {
    /// Switches it on or off; off drops all that was learned. Kinds keep their numbers, which runs in progress contain.
    pub(crate) fn set_enabled(&mut self, enabled: bool) {
        self.enabled = enabled;
        if enabled {
            return;
        }
        for kind in &mut self.kinds {
            kind.comparisons.fill(Comparison::default());
            (kind.slowed_by, kind.slows) = (KindSet::default(), KindSet::default());
        }
        self.stats.pairs = 0;
    }

    /// Whether any pair of kinds counts.
    pub(crate) const fn has_pairs(&self) -> bool {
        self.stats.pairs > 0
    }

    /// Number of a task's kind; none if it has none, is one too many, or nothing is to be learned.
    pub(crate) fn kind(&mut self, assignment: &Assignment) -> Option<Kind> {
        let name = assignment.kind.as_ref().filter(|_| self.enabled)?;
        if let Some(number) = self.numbers.get(name) {
            return Some(*number);
        }
        let number = Kind::try_from(self.kinds.len()).ok().filter(|_| self.kinds.len() < MAX_KINDS)?;
        self.numbers.insert(name.clone(), number);
        self.kinds.push(KindState {
            comparisons: Vec::new(),
            name: name.clone(),
            pace: Pace::default(),
            slowed_by: KindSet::default(),
            slows: KindSet::default(),
        });
        let len = self.kinds.len();
        for kind in &mut self.kinds {
            kind.comparisons.resize_with(len, Comparison::default);
        }
        Some(number)
    }

    /// Number of a task's kind if it belongs to a pair that counts.
    pub(crate) fn paired_kind(&self, assignment: &Assignment) -> Option<Kind> {
        let number =
            *assignment.kind.as_ref().filter(|_| self.has_pairs()).and_then(|name| self.numbers.get(name))?;
        let kind = self.kinds.get(usize::from(number))?;
        (!kind.slowed_by.is_empty() || !kind.slows.is_empty()).then_some(number)
    }

    /// Expected additional run time, in expected run times, of a task and of the kinds on an upstream if it starts beside
    /// them. Exactly zero unless a pair of them counts.
    pub(crate) fn cost(&self, kind: Option<Kind>, present: KindSet) -> f64 {
        let Some(kind) = kind.map(usize::from) else { return 0.0 };
        let Some(state) = self.kinds.get(kind) else { return 0.0 };
        let by = state.slowed_by.intersection(present).iter().map(|other| state.comparisons[other].excess);
        let on =
            state.slows.intersection(present).iter().map(|other| self.kinds[other].comparisons[kind].excess);
        by.chain(on).fold(0.0, |sum, excess| sum + excess)
    }

    /// Records that a run succeeded `actual` after its start order on an upstream with the given pace. A run beside kinds
    /// that count against it is evidence on one such kind only, so that kinds that often stand beside them do not count.
    pub(crate) fn observe(
        &mut self,
        run: Neighbours,
        assignment: &Assignment,
        actual: Duration,
        upstream: &mut Pace,
    ) {
        if !self.enabled || actual < window(assignment) {
            return;
        }
        let Some(state) = run.kind.and_then(|kind| self.kinds.get_mut(usize::from(kind))) else { return };
        let expected_ms = to_f64(assignment.expected_ms.max(1));
        let log_ratio = (actual.as_secs_f64() * 1_000.0 / expected_ms).ln();
        let value = log_ratio - state.pace.mean - upstream.mean;
        let is_known = state.pace.is_known() && upstream.is_known();
        state.pace.observe(log_ratio - upstream.mean);
        upstream.observe(log_ratio - state.pace.mean);
        if !is_known {
            return;
        }
        let value = value.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        let culprits = run.beside.intersection(state.slowed_by);
        for (other, comparison) in state.comparisons.iter_mut().enumerate() {
            if culprits.without(other).is_empty() {
                let sums =
                    if run.beside.contains(other) { &mut comparison.beside } else { &mut comparison.without };
                sums.add(value);
            }
        }
    }

    /// Lets old evidence fade, and compares all pairs when that is due; returns the pairs that begin or cease to count.
    pub(crate) fn review(&mut self, now: Instant) -> Vec<Notice> {
        let reviewed_at = *self.reviewed_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(reviewed_at);
        if !self.enabled || elapsed < REVIEW_INTERVAL {
            return Vec::new();
        }
        self.reviewed_at = Some(now);
        let factor = (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        let mut changes = Vec::new();
        for slowed in 0..self.kinds.len() {
            for other in 0..self.kinds.len() {
                self.kinds[slowed].comparisons[other].scale(factor);
                changes.extend(self.review_pair(slowed, other));
            }
        }
        changes
    }

    fn review_pair(&mut self, slowed: usize, other: usize) -> Option<Notice> {
        let counted = self.kinds[slowed].slowed_by.contains(other);
        let comparison = &mut self.kinds[slowed].comparisons[other];
        let slowdown = comparison.log_slowdown(if counted { KEEP } else { BEGIN });
        comparison.excess = slowdown.map_or(0.0, f64::exp_m1);
        let excess = comparison.excess;
        let counts = slowdown.is_some();
        if counts == counted {
            return None;
        }
        self.kinds[slowed].slowed_by.0 ^= 1 << other;
        self.kinds[other].slows.0 ^= 1 << slowed;
        self.stats.pairs = if counts { self.stats.pairs + 1 } else { self.stats.pairs - 1 };
        let name = |kind: usize| self.kinds[kind].name.clone();
        Some(Notice::Interference { beside: name(other), counts, kind: name(slowed), slowdown: 1.0 + excess })
    }
}
