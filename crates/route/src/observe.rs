//! Outlier detection: health changes that follow from the results of tasks.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::health::{HealthEvent, HealthState};
use crate::notice::{EjectionCause, Notice};
use crate::router::{Router, Slot};
use crate::samples::{Samples, latency_ratio};
use crate::timers::Timer;
use crate::upstream::Busy;

/// Interval between comparisons of upstreams with their peers.
const COMPARE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two [`Notice::Capped`] of a service.
const CAPPED_NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of doublings of `busy_backoff_ms` while an upstream keeps refusing tasks as busy.
const MAX_BUSY_DOUBLINGS: u32 = 3;

/// Maximum number of doublings of the ejection time. Prevents overflow; `eject_limit_ms` is reached much
/// earlier.
const MAX_EJECTION_DOUBLINGS: u32 = 20;

/// Lower bound of the median latency ratio, so that after pessimistic estimates upstreams that run tasks in
/// the estimated time are not ejected.
const MIN_PEER_LATENCY: f32 = 0.5;

impl Router {
    /// Applies a health event. On a change of state it resets the samples, starts a new epoch and reports a
    /// notice.
    pub(crate) fn apply(&mut self, position: usize, event: HealthEvent) {
        let epoch = self.new_id();
        let upstream = &mut self.table.upstreams[position];
        if !upstream.health.apply(event) {
            return;
        }
        upstream.epoch = epoch;
        upstream.samples = Samples::default();
        let id = upstream.id.clone();
        match upstream.health.state() {
            HealthState::Ejected | HealthState::Gone => {}
            HealthState::Healthy => self.notices.push(Notice::Healthy { upstream: id }),
            HealthState::Leaving => self.notices.push(Notice::Leaving { upstream: id }),
            HealthState::Probation => self.notices.push(Notice::Probation { upstream: id }),
        }
        self.refresh(position);
    }

    pub(crate) fn record_success(
        &mut self,
        now: Instant,
        slot: &Slot,
        run_time: Duration,
        expected: Duration,
    ) {
        let ratio = latency_ratio(run_time, expected);
        let upstream = &mut self.table.upstreams[slot.position];
        if upstream.epoch != slot.epoch {
            return;
        }
        upstream.samples.record_success(ratio);
        if upstream.health.state() != HealthState::Probation {
            return;
        }
        if self.latency_limit(slot.position).is_some_and(|limit| ratio > limit) {
            return self.eject(now, slot.position, EjectionCause::Probation);
        }
        let needed = u32::try_from(self.policy.probation_successes).unwrap_or(u32::MAX);
        self.apply(slot.position, HealthEvent::Success { needed });
        let upstream = &mut self.table.upstreams[slot.position];
        if upstream.health.state() == HealthState::Healthy {
            upstream.healthy_since = now;
        }
    }

    pub(crate) fn record_failure(&mut self, now: Instant, slot: &Slot) {
        let upstream = &mut self.table.upstreams[slot.position];
        if upstream.epoch != slot.epoch {
            return;
        }
        upstream.samples.record_failure();
        let peers = &self.table.pools[upstream.service].peers;
        let limit = peers.consecutive_limit(self.policy.eject_consecutive);
        match upstream.health.state() {
            HealthState::Probation => self.eject(now, slot.position, EjectionCause::Probation),
            HealthState::Healthy if upstream.samples.failures_in_row >= limit => {
                self.eject(now, slot.position, EjectionCause::Consecutive);
            }
            _ => {}
        }
    }

    /// Marks an upstream that refused a task as leaving, so that no more tasks start there.
    pub(crate) fn record_leaving(&mut self, now: Instant, position: usize) {
        let upstream = &mut self.table.upstreams[position];
        match upstream.health.state() {
            HealthState::Gone => return,
            // The list itself shows the upstream as leaving; when it shows it as live again, it has
            // restarted.
            HealthState::Leaving if upstream.leaving_refused_at.is_none() => return,
            _ => upstream.leaving_refused_at = Some(now),
        }
        self.apply(position, HealthEvent::Leave);
    }

    /// Treats the upstream as full during a backoff, except for slots that this entry's own tasks free
    /// meanwhile.
    ///
    /// The backoff doubles with each refusal in a streak: a slot that another entry uses stays in use for
    /// the run time of a task, which is many times `busy_backoff_ms`.
    pub(crate) fn mark_busy(&mut self, now: Instant, position: usize) {
        let upstream = &mut self.table.upstreams[position];
        let in_streak = now < upstream.busy_streak_ends_at;
        upstream.busy_streak = if in_streak { (upstream.busy_streak + 1).min(MAX_BUSY_DOUBLINGS) } else { 0 };
        let backoff = Duration::from_millis(self.policy.busy_backoff_ms) * (1 << upstream.busy_streak);
        let until = now + backoff;
        upstream.busy_streak_ends_at = until + backoff;
        upstream.busy = Some(Busy { credit: 0, until });
        self.timers.add(until, Timer::BusyEnds { upstream: position });
    }

    pub(crate) fn end_busy(&mut self, now: Instant, position: usize) {
        let upstream = &mut self.table.upstreams[position];
        if upstream.busy.is_some_and(|busy| busy.until <= now) {
            upstream.busy = None;
            self.refresh(position);
        }
    }

    /// Ejects an upstream, unless ejection is disabled or `eject_max_percent` is reached.
    fn eject(&mut self, now: Instant, position: usize, cause: EjectionCause) {
        if !self.policy.ejection_enabled {
            return;
        }
        let limit = Duration::from_millis(self.policy.eject_limit_ms);
        if self.table.upstreams[position].health.state() == HealthState::Healthy {
            if self.is_capped(position) {
                return self.report_capped(now, position, cause);
            }
            let upstream = &mut self.table.upstreams[position];
            if now.saturating_duration_since(upstream.healthy_since) > limit {
                upstream.ejections = 0;
            }
        }
        let upstream = &mut self.table.upstreams[position];
        let doublings = upstream.ejections.min(MAX_EJECTION_DOUBLINGS);
        upstream.ejections += 1;
        let full = Duration::from_millis(self.policy.eject_base_ms.saturating_mul(1 << doublings)).min(limit);
        // Jitter of up to 10 %, so that upstreams ejected together do not return together.
        let duration = full.mul_f64(1.0 - self.rng.random::<f64>() / 10.0);
        let id = upstream.id.clone();
        self.apply(position, HealthEvent::Eject);
        self.notices.push(Notice::Ejected { cause, duration, upstream: id });
        let epoch = self.table.upstreams[position].epoch;
        self.timers.add(now + duration, Timer::EjectionEnds { epoch, upstream: position });
    }

    /// Whether one more ejection would exceed `eject_max_percent`. Unless that is 0, a group of two or more
    /// upstreams always allows one.
    fn is_capped(&self, position: usize) -> bool {
        let upstream = &self.table.upstreams[position];
        let group = self.table.pools[upstream.service].groups[usize::from(upstream.led)];
        let percent = self.policy.eject_max_percent;
        let limit = u64::from(group.members) * percent / 100;
        let least = u64::from(group.members >= 2 && percent > 0);
        u64::from(group.ejected) >= limit.max(least)
    }

    fn report_capped(&mut self, now: Instant, position: usize, cause: EjectionCause) {
        let upstream = &mut self.table.upstreams[position];
        upstream.samples.failures_in_row = 0;
        let pool = &mut self.table.pools[upstream.service];
        if pool.capped_at.is_none_or(|at| now.saturating_duration_since(at) >= CAPPED_NOTICE_INTERVAL) {
            pool.capped_at = Some(now);
            self.notices.push(Notice::Capped { cause, upstream: upstream.id.clone() });
        }
    }

    fn latency_limit(&self, position: usize) -> Option<f32> {
        let peers = &self.table.pools[self.table.upstreams[position].service].peers;
        let factor = self.policy.eject_latency_percent as f32 / 100.0;
        peers.latency.map(|latency| latency.max(MIN_PEER_LATENCY) * factor)
    }

    /// Compares the healthy upstreams with their peers and ejects outliers, once per [`COMPARE_INTERVAL`].
    pub(crate) fn eject_outliers(&mut self, now: Instant) {
        if !self.policy.ejection_enabled || self.peer_stats_due.is_some_and(|due| now < due) {
            return;
        }
        self.peer_stats_due = Some(now + COMPARE_INTERVAL);
        self.table.update_peer_stats();
        for position in self.table.positions() {
            if let Some(cause) = self.outlier_cause(position) {
                self.eject(now, position, cause);
            }
        }
    }

    fn outlier_cause(&self, position: usize) -> Option<EjectionCause> {
        let upstream = &self.table.upstreams[position];
        if upstream.health.state() != HealthState::Healthy {
            return None;
        }
        let margin = self.policy.eject_error_margin_percent as f32 / 100.0;
        let peers = &self.table.pools[upstream.service].peers;
        let exceeds =
            |own: Option<f32>, limit: Option<f32>| own.zip(limit).is_some_and(|(own, limit)| own > limit);
        if exceeds(upstream.samples.error_rate(), peers.error_rate.map(|rate| rate + margin)) {
            return Some(EjectionCause::ErrorRate);
        }
        exceeds(upstream.samples.latency(), self.latency_limit(position)).then_some(EjectionCause::Latency)
    }
}
