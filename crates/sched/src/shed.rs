//! Load shedding for a class whose queueing time stays above its target.

use std::time::Duration;

use tokio::time::Instant;

/// Shedding settings of one class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ShedLimits {
    pub(crate) enabled: bool,
    pub(crate) interval: Duration,
    pub(crate) target: Duration,
}

/// Decides when to shed load by the queueing time of started tasks, similar to CoDel.
///
/// Shedding starts when all tasks that started during an interval had waited longer than the target, and ends
/// when none had for an interval. Meanwhile the queue may hold as many tasks as the class starts in the
/// target time, by the measured start rate. Rejecting everything would empty the queue and leave the class's
/// slots idle.
#[derive(Debug)]
pub(crate) struct Shedder {
    above_since: Option<Instant>,
    active: bool,
    below_since: Option<Instant>,
    limits: ShedLimits,
    reported_active: bool,
    /// Task starts per second in the last full window.
    start_rate: f64,
    window_start: Option<Instant>,
    window_starts: u32,
}

impl Shedder {
    pub(crate) const fn new(limits: ShedLimits) -> Self {
        Self {
            above_since: None,
            active: false,
            below_since: None,
            limits,
            reported_active: false,
            start_rate: 0.0,
            window_start: None,
            window_starts: 0,
        }
    }

    pub(crate) const fn set_limits(&mut self, limits: ShedLimits) {
        self.limits = limits;
        if !limits.enabled {
            self.active = false;
            self.above_since = None;
        }
    }

    /// Records the queueing time of a started task.
    pub(crate) fn record_start(&mut self, now: Instant, waited: Duration) {
        self.rotate_window(now);
        self.window_starts += 1;
        self.observe(now, waited);
    }

    /// Records that no task of the class is queued.
    pub(crate) fn record_empty(&mut self, now: Instant) {
        if self.active || self.above_since.is_some() {
            self.observe(now, Duration::ZERO);
        }
    }

    /// Whether new tasks are to be rejected while `queued` tasks of the class wait.
    pub(crate) fn should_reject(&mut self, now: Instant, queued: usize) -> bool {
        if !self.active {
            return false;
        }
        self.rotate_window(now);
        queued > 0 && queued as f64 >= self.start_rate * self.limits.target.as_secs_f64()
    }

    /// Returns whether shedding is active, if that has changed since the last call.
    pub(crate) fn take_change(&mut self) -> Option<bool> {
        if self.reported_active == self.active {
            return None;
        }
        self.reported_active = self.active;
        Some(self.active)
    }

    fn observe(&mut self, now: Instant, waited: Duration) {
        if !self.limits.enabled {
            return;
        }
        let is_above = waited > self.limits.target;
        let (current, other) = if is_above {
            (&mut self.above_since, &mut self.below_since)
        } else {
            (&mut self.below_since, &mut self.above_since)
        };
        *other = None;
        let since = *current.get_or_insert(now);
        if now.saturating_duration_since(since) >= self.limits.interval {
            self.active = is_above;
        }
    }

    fn rotate_window(&mut self, now: Instant) {
        let start = *self.window_start.get_or_insert(now);
        let length = now.saturating_duration_since(start);
        if length >= self.limits.interval && !length.is_zero() {
            self.start_rate = f64::from(self.window_starts) / length.as_secs_f64();
            self.window_start = Some(now);
            self.window_starts = 0;
        }
    }
}
