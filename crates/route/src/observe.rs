//! What the router learns from the ends of tasks.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::health::{HealthEvent, HealthState};
use crate::notice::{EjectionCause, Notice};
use crate::router::{Router, Slot};
use crate::samples::{Samples, latency_ratio};
use crate::timers::Timer;
use crate::upstream::Busy;

/// Time between comparisons of the upstreams with their peers.
const COMPARE_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two notices that ejections of a service are capped.
const CAPPED_NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Doublings of `busy_backoff_ms` while an upstream keeps rejecting tasks as busy.
const MAX_BUSY_DOUBLINGS: u32 = 3;

/// Doublings of the ejection time, far above what `eject_limit_ms` allows.
const MAX_EJECTION_DOUBLINGS: u32 = 20;

/// The peers' latency ratio is taken as at least this, so that a pessimistic estimate does not eject upstreams that
/// run tasks in the estimated time.
const MIN_PEER_LATENCY: f32 = 0.5;

impl Router {
    /// Applies a health event, with everything that follows from a change of state.
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

    pub(crate) fn learn_success(
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
        upstream.samples.success(ratio);
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

    pub(crate) fn learn_failure(&mut self, now: Instant, slot: &Slot) {
        let upstream = &mut self.table.upstreams[slot.position];
        if upstream.epoch != slot.epoch {
            return;
        }
        upstream.samples.failure();
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

    /// Starts nothing more on an upstream that rejected a task as leaving.
    pub(crate) fn learn_leaving(&mut self, now: Instant, position: usize) {
        let upstream = &mut self.table.upstreams[position];
        match upstream.health.state() {
            HealthState::Gone => return,
            // The list says so itself, and its next live entry is a new life of the upstream.
            HealthState::Leaving if upstream.refused_at.is_none() => return,
            _ => upstream.refused_at = Some(now),
        }
        self.apply(position, HealthEvent::Leave);
    }

    /// Treats the upstream as full, but for slots that own tasks free there, until the back-off has passed.
    ///
    /// The back-off doubles while rejections follow each other, because a slot in use by another entry stays in use
    /// for a task's run time, which is many times `busy_backoff_ms`.
    pub(crate) fn mark_busy(&mut self, now: Instant, position: usize) {
        let upstream = &mut self.table.upstreams[position];
        let succession = now < upstream.busy_streak_ends;
        upstream.busy_streak =
            if succession { (upstream.busy_streak + 1).min(MAX_BUSY_DOUBLINGS) } else { 0 };
        let backoff = Duration::from_millis(self.policy.busy_backoff_ms) * (1 << upstream.busy_streak);
        let until = now + backoff;
        upstream.busy_streak_ends = until + backoff;
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

    /// Ejects an upstream unless ejection is off or too many are ejected already.
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
        // Up to a tenth shorter, so that upstreams ejected together do not return together.
        let duration = full.mul_f64(1.0 - self.rng.random::<f64>() / 10.0);
        let id = upstream.id.clone();
        self.apply(position, HealthEvent::Eject);
        self.notices.push(Notice::Ejected { cause, duration, upstream: id });
        let epoch = self.table.upstreams[position].epoch;
        self.timers.add(now + duration, Timer::EjectionEnds { epoch, upstream: position });
    }

    /// Whether one more ejection would exceed the limit; a group of two or more always allows one.
    fn is_capped(&self, position: usize) -> bool {
        let upstream = &self.table.upstreams[position];
        let group = self.table.pools[upstream.service].groups[usize::from(upstream.led)];
        let percent = self.policy.eject_max_percent;
        let limit = u64::from(group.members) * percent / 100;
        let least = u64::from(group.members >= 2 && percent > 0);
        u64::from(group.sidelined) >= limit.max(least)
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

    /// Compares the healthy upstreams with their peers and ejects the outliers.
    pub(crate) fn compare(&mut self, now: Instant) {
        if !self.policy.ejection_enabled || self.stats_due.is_some_and(|due| now < due) {
            return;
        }
        self.stats_due = Some(now + COMPARE_INTERVAL);
        self.table.compare_peers();
        for position in self.table.positions() {
            if let Some(cause) = self.outlier(position) {
                self.eject(now, position, cause);
            }
        }
    }

    fn outlier(&self, position: usize) -> Option<EjectionCause> {
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
