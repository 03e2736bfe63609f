//! Runs that take far longer than expected: what they tell about their upstream, and when to run the task elsewhere.

use std::time::Duration;

use hinge_wire::UpstreamId;
use tokio::time::Instant;

use crate::{Notice, RunId, RunProgress, Runner};

/// Age over the expected time of what is done from which on the upstream is to blame, and not the estimate.
const SLOW_FACTOR: f64 = 2.5;
/// Age over the expected run time from which on a run without headway is stopped.
const STALLED_FACTOR: f64 = 3.0;
/// Age beyond that from which on even a short run is stopped.
const STALLED_SLACK: Duration = Duration::from_millis(100);
/// Remaining time over the expected run time from which on a new start elsewhere ends sooner.
const RESTART_FACTOR: f64 = 2.0;

impl Runner {
    /// Learns from overdue runs how slow their upstream is, and stops those that a new start elsewhere would overtake.
    pub(crate) fn check_progress(&mut self, now: Instant, id: &UpstreamId, listed: &[RunProgress]) {
        for running in listed {
            if self.is_stalled(now, id, running) {
                self.stop_stalled(now, id, running);
            }
        }
    }

    fn is_stalled(&mut self, now: Instant, id: &UpstreamId, running: &RunProgress) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else { return false };
        let Some(run) = upstream.runs.get(&running.run).filter(|run| run.overdue && !run.stopping) else {
            return false;
        };
        let expected = Duration::from_millis(run.assignment.expected_ms);
        let age = now.duration_since(run.ordered_at);
        let done = f64::from(running.done_percent.clamp(1, 100)) / 100.0;
        if age > expected.mul_f64(done * SLOW_FACTOR) {
            upstream.health.observe_speed(now, expected.mul_f64(done), age);
        }
        let remaining = age.mul_f64((1.0 - done) / done);
        age > expected.mul_f64(STALLED_FACTOR) + STALLED_SLACK
            && remaining > expected.mul_f64(RESTART_FACTOR) + STALLED_SLACK
    }

    /// The stop is repeated with each listing that still shows the run; its end goes to the home as an interruption.
    fn stop_stalled(&mut self, now: Instant, id: &UpstreamId, running: &RunProgress) {
        let run_id: &RunId = &running.run;
        let Some(run) = self.upstreams.get_mut(id).and_then(|upstream| upstream.runs.get_mut(run_id)) else {
            return;
        };
        if !std::mem::replace(&mut run.stalled, true) {
            let run_time = now.duration_since(run.ordered_at);
            let (done_percent, upstream) = (running.done_percent, id.clone());
            let stalled = Notice::Stalled { done_percent, run: run_id.clone(), run_time, upstream };
            self.actions.push(crate::Action::Notice(stalled));
        }
        self.order_stop(id, run_id);
    }
}
