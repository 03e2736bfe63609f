//! Health of an upstream, observed from calls and run times (passive health checking).

use std::time::Duration;

use tokio::time::Instant;

/// First pause of an upstream; doubles with each further pause until a task succeeds.
const MIN_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Number of consecutive failed tasks after which an upstream is paused.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Weight of a normal observation in the speed estimate.
const SPEED_WEIGHT: f64 = 0.2;
/// Weight of an observation below [`SLOW_SPEED`].
const SLOW_WEIGHT: f64 = 0.5;
/// Speed below which a wrong estimate of the run time is an unlikely explanation.
const SLOW_SPEED: f64 = 0.4;
/// Time in which a low speed estimate decays to about a third (1/e) of its distance from 1, so that a slow upstream is
/// tried again.
const SLOW_DECAY: Duration = Duration::from_secs(3);
/// Lower and upper bound of one speed observation; estimates of run times are sometimes wrong by a large factor.
const SPEED_RANGE: (f64, f64) = (0.05, 3.0);

/// Pauses, failures and speed of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    consecutive_failures: u32,
    pause: Duration,
    paused_until: Option<Instant>,
    /// Set from a pause until the next task succeeds. Meanwhile at most one task runs at a time.
    on_probation: bool,
    /// Estimate at the time of the last observation, without its decay.
    speed: f64,
    speed_observed_at: Option<Instant>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            consecutive_failures: 0,
            pause: MIN_PAUSE,
            paused_until: None,
            on_probation: false,
            speed: 1.0,
            speed_observed_at: None,
        }
    }
}

impl Health {
    /// Whether another task may start while `running` tasks are in progress.
    pub(crate) fn may_start(&self, now: Instant, running: usize) -> bool {
        self.starts_left(now, running) > 0
    }

    /// Number of tasks that may start now while `running` tasks are in progress: one at a time while the upstream is on
    /// probation or its last tasks were slow.
    pub(crate) fn starts_left(&self, now: Instant, running: usize) -> usize {
        let paused = self.paused_until.is_some_and(|until| now < until);
        let one_at_a_time = self.on_probation || self.speed < SLOW_SPEED;
        match (paused, one_at_a_time) {
            (true, _) => 0,
            (false, true) => usize::from(running == 0),
            (false, false) => usize::MAX,
        }
    }

    /// Prevents starts before `until` without putting the upstream on probation.
    pub(crate) fn block_until(&mut self, until: Instant) {
        self.paused_until = Some(self.paused_until.map_or(until, |paused| paused.max(until)));
    }

    /// Estimated ratio of expected to actual run time; 1 for an upstream of normal speed.
    pub(crate) fn speed(&self, now: Instant) -> f64 {
        let age = self.speed_observed_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let retained = (-age.as_secs_f64() / SLOW_DECAY.as_secs_f64()).exp();
        if self.speed < 1.0 { 1.0 - (1.0 - self.speed) * retained } else { self.speed }
    }

    /// Pauses the upstream, puts it on probation and returns the length of the pause.
    pub(crate) fn pause(&mut self, now: Instant) -> Duration {
        let pause = self.pause;
        self.paused_until = Some(now + pause);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.on_probation = true;
        self.consecutive_failures = 0;
        pause
    }

    /// Records a successful task; true if this ends the probation.
    pub(crate) fn record_success(&mut self, now: Instant, expected: Duration, actual: Duration) -> bool {
        self.consecutive_failures = 0;
        self.observe_speed(now, expected, actual);
        if self.on_probation {
            self.pause = MIN_PAUSE;
        }
        std::mem::take(&mut self.on_probation)
    }

    /// Updates the speed estimate with work that was expected to take `expected` and took `actual`.
    pub(crate) fn observe_speed(&mut self, now: Instant, expected: Duration, actual: Duration) {
        let observed = expected.as_secs_f64() / actual.as_secs_f64().max(0.001);
        let observed = observed.clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        let weight = if observed < SLOW_SPEED { SLOW_WEIGHT } else { SPEED_WEIGHT };
        self.speed = self.speed(now) + weight * (observed - self.speed(now));
        self.speed_observed_at = Some(now);
    }

    /// Records a failed task; true if the upstream should be paused.
    pub(crate) fn record_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES || self.on_probation
    }
}
