//! Error rate and latency of one upstream, and their medians over the upstreams of its service.

use std::time::Duration;

/// Number of recent latency ratios kept per upstream; their median tolerates a few tasks with wrong
/// estimates.
const RATIO_WINDOW: usize = 15;

/// Minimum number of samples before an upstream is compared with its peers.
const MIN_SAMPLES: u32 = 10;

/// Minimum number of upstreams with enough samples for a median over them.
const MIN_PEERS: usize = 3;

/// Weight of the newest result in the moving average of the error rate.
const ERROR_WEIGHT: f32 = 1.0 / 16.0;

/// Median error rate up to which `eject_consecutive` applies unscaled.
const NORMAL_ERROR_RATE: f32 = 0.01;

/// Results of tasks at one upstream since its health state last changed or it restarted.
#[derive(Debug, Default)]
pub(crate) struct Samples {
    pub(crate) failures_in_row: u32,
    error_rate: f32,
    ends: u32,
    ratios: [f32; RATIO_WINDOW],
    ratios_seen: u32,
}

/// Ratio of run time to estimate. Estimates below 1 ms count as 1 ms, because timing noise dominates there.
pub(crate) fn latency_ratio(run_time: Duration, expected: Duration) -> f32 {
    run_time.as_secs_f32() / expected.as_secs_f32().max(0.001)
}

impl Samples {
    pub(crate) fn record_success(&mut self, ratio: f32) {
        self.failures_in_row = 0;
        self.record_end(0.0);
        self.ratios[self.ratios_seen as usize % RATIO_WINDOW] = ratio;
        self.ratios_seen = self.ratios_seen.wrapping_add(1);
    }

    pub(crate) fn record_failure(&mut self) {
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        self.record_end(1.0);
    }

    fn record_end(&mut self, error: f32) {
        self.ends = self.ends.saturating_add(1);
        // Plain mean of the first results, so that the very first one does not dominate the average.
        let weight = ERROR_WEIGHT.max(1.0 / self.ends as f32);
        self.error_rate += weight * (error - self.error_rate);
    }

    pub(crate) fn error_rate(&self) -> Option<f32> {
        (self.ends >= MIN_SAMPLES).then_some(self.error_rate)
    }

    pub(crate) fn latency(&self) -> Option<f32> {
        if self.ratios_seen < MIN_SAMPLES {
            return None;
        }
        let mut ratios = self.ratios;
        median(&mut ratios[..RATIO_WINDOW.min(self.ratios_seen as usize)])
    }
}

/// Medians over the healthy upstreams of a service; `None` with fewer than [`MIN_PEERS`] values.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerStats {
    pub(crate) error_rate: Option<f32>,
    pub(crate) latency: Option<f32>,
}

impl PeerStats {
    pub(crate) fn new(error_rates: &mut [f32], latencies: &mut [f32]) -> Self {
        let enough = |values: &mut [f32]| if values.len() < MIN_PEERS { None } else { median(values) };
        Self { error_rate: enough(error_rates), latency: enough(latencies) }
    }

    /// Number of consecutive failures that is as unlikely at the median error rate as `base` failures are at
    /// [`NORMAL_ERROR_RATE`].
    ///
    /// Without this scaling a fault common to all upstreams, such as one team's broken tasks, would eject
    /// them one by one.
    pub(crate) fn consecutive_limit(&self, base: u64) -> u32 {
        let rate = self.error_rate.unwrap_or(0.0).clamp(NORMAL_ERROR_RATE, 0.999);
        (base as f32 * NORMAL_ERROR_RATE.ln() / rate.ln()).ceil() as u32
    }
}

/// The upper median; `None` when there are no values.
fn median(values: &mut [f32]) -> Option<f32> {
    let middle = values.len() / 2;
    if values.is_empty() {
        return None;
    }
    Some(*values.select_nth_unstable_by(middle, f32::total_cmp).1)
}
