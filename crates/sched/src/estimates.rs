//! Run time estimates per service and class.

use std::time::Duration;

use hinge_conf::Policy;
use hinge_wire::{Class, FastMap, ServiceId};

use crate::list::{Links, List, NIL, Slab};

/// Expected run time when none is learned or declared; most tasks take 50 ms to 1 s.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(250);
const MIN_RUN_TIME: Duration = Duration::from_millis(1);
/// Weight of a new observation in the mean, after the first observations.
const MEAN_GAIN: f64 = 0.05;
/// Relative step size of the percentile estimate.
const PERCENTILE_GAIN: f64 = 0.1;
/// Number of observations before outliers are limited and the percentile is reported.
const MIN_OBSERVATIONS: u32 = 8;
/// An observation counts as at most this multiple of the mean, so that one straggler moves the mean by at
/// most 35%.
const OUTLIER_FACTOR: f64 = 8.0;

/// Run times of one service and class, in seconds.
#[derive(Debug)]
struct Estimate {
    class: Class,
    count: u32,
    mean: f64,
    percentile_95: f64,
    service: ServiceId,
}

impl Estimate {
    fn observe(&mut self, seconds: f64) {
        self.count = self.count.saturating_add(1);
        let is_stable = self.count > MIN_OBSERVATIONS;
        let limited = if is_stable { seconds.min(self.mean * OUTLIER_FACTOR) } else { seconds };
        self.mean += (limited - self.mean) * MEAN_GAIN.max(1.0 / f64::from(self.count));
        if !is_stable {
            self.percentile_95 = self.percentile_95.max(seconds);
        } else if seconds > self.percentile_95 {
            self.percentile_95 *= 1.0 + PERCENTILE_GAIN * 0.95;
        } else {
            self.percentile_95 *= 1.0 - PERCENTILE_GAIN * 0.05;
        }
    }
}

/// Learned run times per service and class. The number of keys is bounded; the least recently used one is
/// evicted.
#[derive(Debug)]
pub struct Estimates {
    by_key: FastMap<ServiceId, [u32; Class::COUNT]>,
    estimates: Slab<Estimate>,
    links: Links,
    max_run_time: Duration,
    max_entries: usize,
    /// Keys in order of use, the most recently used first.
    recent: List,
}

impl Estimates {
    /// Creates estimates without any observation.
    #[must_use]
    pub fn new(policy: &Policy) -> Self {
        let mut estimates = Self {
            by_key: FastMap::default(),
            estimates: Slab::new(),
            links: Links::default(),
            max_run_time: Duration::MAX,
            max_entries: 0,
            recent: List::EMPTY,
        };
        estimates.set_policy(policy);
        estimates
    }

    /// Applies a new policy and evicts keys beyond its limit.
    pub fn set_policy(&mut self, policy: &Policy) {
        self.max_run_time = Duration::from_millis(policy.task_timeout_ms).max(MIN_RUN_TIME);
        self.max_entries = usize::try_from(policy.max_estimates).unwrap_or(usize::MAX).max(1);
        while self.estimates.len() > self.max_entries {
            self.evict();
        }
    }

    /// Adds the run time of a finished task.
    pub fn observe(&mut self, service: &ServiceId, class: Class, run_time: Duration) {
        let seconds = self.limit(run_time).as_secs_f64();
        let slot = match self.find_and_touch(service, class) {
            Some(slot) => slot,
            None => self.insert(service, class),
        };
        if let Some(estimate) = self.estimates.get_mut(slot) {
            estimate.observe(seconds);
        }
    }

    /// Expected run time: the learned mean, else `declared`, else 250 ms; between 1 ms and `task_timeout_ms`.
    pub fn expected(&mut self, service: &ServiceId, class: Class, declared: Option<Duration>) -> Duration {
        let learned = self.find_and_touch(service, class).and_then(|slot| self.estimates.get(slot));
        let run_time = match learned {
            Some(estimate) => Duration::from_secs_f64(estimate.mean),
            None => declared.unwrap_or(DEFAULT_RUN_TIME),
        };
        self.limit(run_time)
    }

    /// Estimated 95th percentile of the run time; `None` before eight tasks have finished.
    pub fn percentile_95(&mut self, service: &ServiceId, class: Class) -> Option<Duration> {
        let slot = self.find_and_touch(service, class)?;
        let estimate = self.estimates.get(slot).filter(|estimate| estimate.count >= MIN_OBSERVATIONS)?;
        Some(self.limit(Duration::from_secs_f64(estimate.percentile_95)))
    }

    /// Number of pairs of service and class with an estimate.
    #[must_use]
    pub fn len(&self) -> usize {
        self.estimates.len()
    }

    /// Whether there are no estimates.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn limit(&self, run_time: Duration) -> Duration {
        run_time.clamp(MIN_RUN_TIME, self.max_run_time)
    }

    /// Finds an estimate and makes it the most recently used.
    fn find_and_touch(&mut self, service: &ServiceId, class: Class) -> Option<u32> {
        let slot = self.by_key.get(service)?[class.index()];
        if slot == NIL {
            return None;
        }
        self.recent.remove(&mut self.links, slot);
        self.recent.push_front(&mut self.links, slot);
        Some(slot)
    }

    fn insert(&mut self, service: &ServiceId, class: Class) -> u32 {
        if self.estimates.len() >= self.max_entries {
            self.evict();
        }
        let estimate = Estimate { class, count: 0, mean: 0.0, percentile_95: 0.0, service: service.clone() };
        let slot = self.estimates.insert(estimate);
        self.recent.push_front(&mut self.links, slot);
        self.by_key.entry(service.clone()).or_insert([NIL; Class::COUNT])[class.index()] = slot;
        slot
    }

    fn evict(&mut self) {
        let Some(slot) = self.recent.back() else { return };
        self.recent.remove(&mut self.links, slot);
        let Some(estimate) = self.estimates.remove(slot) else { return };
        let Some(slots) = self.by_key.get_mut(&estimate.service) else { return };
        slots[estimate.class.index()] = NIL;
        if *slots == [NIL; Class::COUNT] {
            self.by_key.remove(&estimate.service);
        }
    }
}
