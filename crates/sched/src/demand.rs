//! Demand of a team at this entry, and max-min fair division of its quota by demand.

use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the average, in seconds.
const DEMAND_SECONDS: f64 = 1.0;

/// Requested starts per second, as an exponentially weighted moving average.
#[derive(Debug)]
pub(crate) struct Demand {
    at: Instant,
    value: f64,
}

impl Demand {
    pub(crate) const fn new(now: Instant) -> Self {
        Self { at: now, value: 0.0 }
    }

    pub(crate) fn add(&mut self, now: Instant, starts: u32) {
        self.value = self.per_s(now) + f64::from(starts) / DEMAND_SECONDS;
        self.at = self.at.max(now);
    }

    pub(crate) fn per_s(&self, now: Instant) -> f64 {
        let seconds = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * (-seconds / DEMAND_SECONDS).exp()
    }
}

/// Lowest demand that this entry has reported to its peers in the current and the previous window.
///
/// It covers between one and two windows.
#[derive(Debug, Default)]
pub(crate) struct ReportedMinimum {
    current: u32,
    previous: u32,
    window_start: Option<Instant>,
}

impl ReportedMinimum {
    pub(crate) fn record(&mut self, now: Instant, window: Duration, starts_per_s: u32) {
        let age = self.window_start.map(|start| now.saturating_duration_since(start));
        match age {
            Some(age) if age < window => self.current = self.current.min(starts_per_s),
            Some(age) if age < window * 2 => self.rotate(now, self.current, starts_per_s),
            _ => self.rotate(now, 0, starts_per_s),
        }
    }

    /// Returns the minimum in starts per second; 0 when nothing was reported for two windows.
    pub(crate) fn get(&self, now: Instant, window: Duration) -> u32 {
        let is_current =
            self.window_start.is_some_and(|start| now.saturating_duration_since(start) < window * 2);
        if is_current { self.current.min(self.previous) } else { 0 }
    }

    fn rotate(&mut self, now: Instant, previous: u32, current: u32) {
        *self = Self { current, previous, window_start: Some(now) };
    }
}

/// Max-min fair share of `quota` for an entry with demand `own_demand`, where the other entries have the
/// demands `others`.
///
/// Demands are satisfied in ascending order as far as an equal division of the rest allows; what exceeds all
/// demands is divided equally. The shares of all entries sum to the quota. A share never grows when another
/// entry's demand rises.
pub(crate) fn max_min_share(quota: f64, own_demand: f64, others: &mut [f64]) -> f64 {
    others.sort_unstable_by(f64::total_cmp);
    let entries = others.len() as f64 + 1.0;
    let (mut left, mut count, mut own_met) = (quota, entries, false);
    let mut rest = others.iter().copied().peekable();
    while count > 0.0 {
        let level = left / count;
        let next = rest.peek().copied().filter(|&other| own_met || other <= own_demand);
        let demand = next.unwrap_or(own_demand);
        if demand > level {
            return if own_met { own_demand } else { level };
        }
        match next {
            Some(_) => drop(rest.next()),
            None => own_met = true,
        }
        left -= demand;
        count -= 1.0;
    }
    own_demand + left / entries
}
