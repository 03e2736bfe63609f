//! Early refusal of a class whose queueing time stays too long.

use std::time::Duration;

use tokio::time::Instant;

/// Limits of one class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ShedLimits {
    pub(crate) enabled: bool,
    pub(crate) interval: Duration,
    pub(crate) target: Duration,
}

/// Watches the queueing time of started tasks, as CoDel does with packets.
///
/// Refusal starts when every task started for an interval has waited longer than the target, and ends when
/// none has for an interval. While it lasts, the queue may hold what the class starts in the target time, by
/// the measured rate of starts: refusing everything would run the queue empty and idle the class's slots.
#[derive(Debug)]
pub(crate) struct Shedder {
    above_since: Option<Instant>,
    active: bool,
    below_since: Option<Instant>,
    limits: ShedLimits,
    reported: bool,
    /// Starts per second in the last full window.
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
            reported: false,
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
    pub(crate) fn started(&mut self, now: Instant, waited: Duration) {
        self.roll(now);
        self.window_starts += 1;
        self.observe(now, waited);
    }

    /// Records that no task of the class is queued.
    pub(crate) fn empty(&mut self, now: Instant) {
        if self.active || self.above_since.is_some() {
            self.observe(now, Duration::ZERO);
        }
    }

    /// Whether the class refuses work while `queued` tasks wait.
    pub(crate) fn refuses(&mut self, now: Instant, queued: usize) -> bool {
        if !self.active {
            return false;
        }
        self.roll(now);
        queued > 0 && queued as f64 >= self.start_rate * self.limits.target.as_secs_f64()
    }

    /// The state, when it has changed since the last call.
    pub(crate) fn take_change(&mut self) -> Option<bool> {
        if self.reported == self.active {
            return None;
        }
        self.reported = self.active;
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

    fn roll(&mut self, now: Instant) {
        let start = *self.window_start.get_or_insert(now);
        let length = now.saturating_duration_since(start);
        if length >= self.limits.interval && !length.is_zero() {
            self.start_rate = f64::from(self.window_starts) / length.as_secs_f64();
            self.window_start = Some(now);
            self.window_starts = 0;
        }
    }
}
