//! Warm-up of upstreams whose data centre was evacuated and taken back.
//!
//! Such an upstream may be cold: it reports for how much longer it will be slow. Meanwhile it shows only part of its room,
//! which grows to the whole as that time passes. Tasks that wait for room may use all of it: they have no other place.

use std::time::Duration;

use hinge_wire::DataCentreId;
use tokio::time::Instant;

use crate::runner::{to_f64, to_u64};
use crate::upstream::Upstream;
use crate::{Resources, Runner, UpstreamRecord, bounded_ms};

/// Part of its capacity that a cold upstream shows at least. Without any task it would not warm up.
const MIN_SHARE: f64 = 0.25;
/// Time after the end of an evacuation from which on a cold upstream counts like any other that is slow.
const MAX_WARMUP: Duration = Duration::from_secs(60);

/// What an upstream reports of being cold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Coldness {
    /// When the last report was received.
    reported_at: Instant,
    /// Time from the last report for which the upstream is slow.
    left: Duration,
    /// Longest such time since it was last warm.
    longest: Duration,
}

impl Coldness {
    pub(crate) fn new(now: Instant, record: &UpstreamRecord) -> Self {
        let left = bounded_ms(record.cold_left_ms);
        Self { reported_at: now, left, longest: left }
    }

    /// Records another report; a record that was received before changes nothing.
    pub(crate) fn observe(&mut self, now: Instant, known: &UpstreamRecord, record: &UpstreamRecord) {
        if (known.sequence, known.incarnation) == (record.sequence, record.incarnation) {
            return;
        }
        let report = Self::new(now, record);
        let longest = if report.left.is_zero() { Duration::ZERO } else { self.longest.max(report.left) };
        *self = Self { longest, ..report };
    }

    fn left(&self, now: Instant) -> Duration {
        self.left.saturating_sub(now.saturating_duration_since(self.reported_at))
    }

    /// Part of the capacity that the upstream shows, from [`MIN_SHARE`] to 1.
    fn share(&self, now: Instant) -> f64 {
        let left = self.left(now);
        if left.is_zero() {
            return 1.0;
        }
        (1.0 - left.as_secs_f64() / self.longest.as_secs_f64()).max(MIN_SHARE)
    }
}

impl Runner {
    /// Free resources of an upstream that are shown to homes and used for the tasks that they offer.
    pub(crate) fn shown_free(&self, now: Instant, upstream: &Upstream) -> Resources {
        let free = upstream.free();
        if !self.warms_up(now, &upstream.record.data_centre) {
            return free;
        }
        let cpu_millis = to_f64(upstream.record.capacity.cpu_millis) * upstream.coldness.share(now);
        let shown = to_u64(cpu_millis).saturating_sub(upstream.used.cpu_millis);
        Resources { cpu_millis: free.cpu_millis.min(shown), ..free }
    }

    /// Whether a data centre was taken back not long ago.
    fn warms_up(&self, now: Instant, data_centre: &DataCentreId) -> bool {
        self.restored.get(data_centre).is_some_and(|at| now.duration_since(*at) < MAX_WARMUP)
    }

    /// Number of owned upstreams of a data centre that report to be cold.
    #[must_use]
    pub fn cold_in(&self, now: Instant, data_centre: &DataCentreId) -> usize {
        let owned = self
            .upstreams
            .values()
            .filter(|upstream| upstream.is_owned() && upstream.record.data_centre == *data_centre);
        owned.filter(|upstream| !upstream.coldness.left(now).is_zero()).count()
    }
}
