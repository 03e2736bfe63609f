//! Health of an upstream as seen from the work itself.

use std::time::Duration;

use tokio::time::Instant;

/// First pause after an upstream stopped answering; doubles with each further pause.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Failed tasks in a row after which an upstream is avoided.
const MAX_FAILED_TASKS: u32 = 3;
/// Weight of a new run in the speed estimate.
const SPEED_WEIGHT: f64 = 0.2;
/// Weight of a run that is so slow that a wrong estimate of its run time hardly explains it.
const SLOW_WEIGHT: f64 = 0.5;
/// Observed speed below which a run is that slow.
const SLOW_SPEED: f64 = 0.4;
/// Time in which the belief that an upstream is slow fades to a third, so that it is tried again.
const SLOW_MEMORY: Duration = Duration::from_secs(3);
/// Bounds of one speed observation; estimates of run times are off by a large factor now and then.
const SPEED_RANGE: (f64, f64) = (0.05, 3.0);

/// Answers, failures and speed of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    failed_in_row: u32,
    pause: Duration,
    paused_until: Option<Instant>,
    /// Set after a pause until one task is done; then one task runs at a time.
    probation: bool,
    speed: f64,
    /// When the speed was observed last.
    speed_at: Option<Instant>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failed_in_row: 0,
            pause: MIN_PAUSE,
            paused_until: None,
            probation: false,
            speed: 1.0,
            speed_at: None,
        }
    }
}

impl Health {
    /// Whether a further task may start while `running` tasks are there.
    pub(crate) fn allows(&self, now: Instant, running: usize) -> bool {
        self.starts_left(now, running) > 0
    }

    /// Tasks that may start now while `running` tasks are there: one at a time while the upstream is on probation or its
    /// last tasks were slow.
    pub(crate) fn starts_left(&self, now: Instant, running: usize) -> usize {
        let paused = self.paused_until.is_some_and(|until| now < until);
        let cautious = self.probation || self.speed < SLOW_SPEED;
        match (paused, cautious) {
            (true, _) => 0,
            (false, true) => usize::from(running == 0),
            (false, false) => usize::MAX,
        }
    }

    /// Lets no task start before `until`, without doubt about the upstream's health.
    pub(crate) fn block_until(&mut self, until: Instant) {
        self.paused_until = Some(self.paused_until.map_or(until, |paused| paused.max(until)));
    }

    /// Expected run time over actual run time, 1 for a normal upstream.
    pub(crate) fn speed(&self, now: Instant) -> f64 {
        let age = self.speed_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = (-age.as_secs_f64() / SLOW_MEMORY.as_secs_f64()).exp();
        if self.speed < 1.0 { 1.0 - (1.0 - self.speed) * kept } else { self.speed }
    }

    /// Pauses the upstream; returns for how long.
    pub(crate) fn pause(&mut self, now: Instant) -> Duration {
        let pause = self.pause;
        self.paused_until = Some(now + pause);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.probation = true;
        self.failed_in_row = 0;
        pause
    }

    /// Notes a finished task; true when it ended a probation.
    pub(crate) fn done(&mut self, now: Instant, expected: Duration, actual: Duration) -> bool {
        self.failed_in_row = 0;
        self.observe_speed(now, expected, actual);
        if self.probation {
            self.pause = MIN_PAUSE;
        }
        std::mem::take(&mut self.probation)
    }

    /// Learns from work that was expected to take `expected` and took `actual`.
    pub(crate) fn observe_speed(&mut self, now: Instant, expected: Duration, actual: Duration) {
        let observed = expected.as_secs_f64() / actual.as_secs_f64().max(0.001);
        let observed = observed.clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        let weight = if observed < SLOW_SPEED { SLOW_WEIGHT } else { SPEED_WEIGHT };
        self.speed = self.speed(now) + weight * (observed - self.speed(now));
        self.speed_at = Some(now);
    }

    /// Notes a failed task; true when the upstream should be paused.
    pub(crate) fn failed(&mut self) -> bool {
        self.failed_in_row += 1;
        self.failed_in_row >= MAX_FAILED_TASKS || self.probation
    }
}
