//! Detection of stalled runs, which make so little progress that a new run elsewhere would end sooner.

use std::time::Duration;

use hinge_wire::UpstreamId;
use tokio::time::Instant;

use crate::{Notice, RunId, RunProgress, Runner, bounded_ms};

/// A run that has taken more than this multiple of the expected time for its completed share counts as an observation
/// of a slow upstream. A smaller excess can come from a wrong estimate.
const SLOW_FACTOR: f64 = 2.5;
/// Multiple of the expected run time that a run must have taken before it can count as stalled.
const STALLED_FACTOR: f64 = 3.0;
/// Added to both limits, so that short runs are not stopped too soon.
const STALLED_SLACK: Duration = Duration::from_millis(100);
/// Multiple of the expected run time above which the remaining time of a run is too long: a new run elsewhere is likely
/// to end sooner.
const RESTART_FACTOR: f64 = 2.0;

impl Runner {
    /// Updates the upstream's speed from its overdue runs, and stops those that are stalled.
    pub(crate) fn check_progress(&mut self, now: Instant, id: &UpstreamId, listed: &[RunProgress]) {
        for progress in listed {
            if self.is_stalled(now, id, progress) {
                self.stop_stalled(now, id, progress);
            }
        }
    }

    fn is_stalled(&mut self, now: Instant, id: &UpstreamId, progress: &RunProgress) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else { return false };
        let Some(run) = upstream.runs.get(&progress.run).filter(|run| run.overdue && !run.is_stopping())
        else {
            return false;
        };
        let expected = bounded_ms(run.assignment.expected_ms);
        let age = now.duration_since(run.ordered_at);
        let done = f64::from(progress.done_percent.clamp(1, 100)) / 100.0;
        if age > expected.mul_f64(done * SLOW_FACTOR) {
            upstream.health.observe_speed(now, expected.mul_f64(done), age);
        }
        let remaining = age.mul_f64((1.0 - done) / done);
        age > expected.mul_f64(STALLED_FACTOR) + STALLED_SLACK
            && remaining > expected.mul_f64(RESTART_FACTOR) + STALLED_SLACK
    }

    /// Stops a stalled run. The order is repeated for each listing that still contains the run. Once the run has ended,
    /// its home gets the outcome `Interrupted`.
    fn stop_stalled(&mut self, now: Instant, id: &UpstreamId, progress: &RunProgress) {
        let run_id: &RunId = &progress.run;
        let Some(run) = self.upstreams.get_mut(id).and_then(|upstream| upstream.runs.get_mut(run_id)) else {
            return;
        };
        if !std::mem::replace(&mut run.stalled, true) {
            let run_time = now.duration_since(run.ordered_at);
            let (done_percent, upstream) = (progress.done_percent, id.clone());
            let stalled = Notice::Stalled { done_percent, run: run_id.clone(), run_time, upstream };
            self.actions.push(crate::Action::Notice(stalled));
        }
        self.order_stop(id, run_id);
    }
}
