//! Handling of the answers to holds, which list an upstream's runs.

use std::time::Duration;

use hinge_wire::{FastSet, UpstreamId};
use tokio::time::Instant;

use crate::ends::EndProof;
use crate::upstream::{Ownership, Process};
use crate::{
    Action, EndKind, Ended, Hold, HoldReply, Listing, Notice, Outcome, Rejection, RunId, Runner, StopOrder,
    bounded_ms,
};

/// A listing with this many ends may be truncated, so that the end of a run that is no longer running may be missing.
const MAX_LISTED_ENDS: usize = 500;
/// Delay after which a hold is sent only to acknowledge an end; usually an earlier hold includes the acknowledgement.
const ACKNOWLEDGE_AFTER: Duration = Duration::from_millis(150);

impl Runner {
    pub(crate) fn hold_ended(&mut self, now: Instant, hold: &Hold, reply: HoldReply) {
        let id = &hold.upstream;
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        if hold.probe {
            upstream.probing = false;
        } else {
            upstream.holding = false;
        }
        if hold.lease_until_ms.is_some() && !matches!(reply, HoldReply::Refused) {
            upstream.extend_lease(now);
        }
        if upstream.ownership == Ownership::None {
            return;
        }
        match reply {
            HoldReply::Listed(listing) => self.handle_listing(now, hold, &listing),
            HoldReply::Lost => {
                self.fence_unanswered_renewal(now, hold);
                self.hold_failed(now, hold, false);
            }
            HoldReply::Refused => self.hold_failed(now, hold, true),
            HoldReply::Rejected(Rejection::Fenced) => {
                if hold.fence >= upstream.fence {
                    self.lose_ownership(now, id);
                }
            }
            HoldReply::Rejected(_) => self.hold_failed(now, hold, false),
        }
    }

    fn handle_listing(&mut self, now: Instant, hold: &Hold, listing: &Listing) {
        let id = &hold.upstream;
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        let process = upstream.process(listing.incarnation);
        if process == Process::Former && hold.fence < upstream.fence {
            // A former process has answered late: its clock and end numbers do not hold for the present one.
            return;
        }
        upstream.set_process(listing.incarnation);
        if process != Process::Present {
            self.notice_outdated_record(id);
            // An answer under the present token shows that the process is alive, even if it counted as a former one.
            self.upstream_restarted(now, id);
            return;
        }
        upstream.record_answer(hold.fence);
        upstream.lost_holds = 0;
        upstream.record_clock(now, listing.clock_ms);
        upstream.acknowledged_end = upstream.acknowledged_end.max(hold.last_end);
        let completes_takeover = upstream.ownership == Ownership::Taking;
        if completes_takeover {
            if hold.fence < upstream.fence {
                return;
            }
            upstream.takeover_fence = hold.fence;
            upstream.ownership = Ownership::Owned;
            upstream.failed_takeovers = 0;
            self.notice_ownership(id, "owned");
        }
        for end in &listing.ended {
            self.run_ended(now, id, end);
        }
        self.reconcile_runs(now, hold, listing, completes_takeover);
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.restarted = false;
        }
    }

    /// Logs that the present process of an upstream has answered before its record was read.
    fn notice_outdated_record(&mut self, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.get(id).filter(|upstream| !upstream.has_current_record()) else {
            return;
        };
        let cpu_millis = upstream.record.capacity.cpu_millis;
        self.actions.push(Action::Notice(Notice::RecordOutdated { cpu_millis, upstream: id.clone() }));
    }

    fn run_ended(&mut self, now: Instant, id: &UpstreamId, end: &Ended) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        if end.number <= upstream.last_end {
            return;
        }
        upstream.last_end = end.number;
        upstream.acknowledge_after = now + ACKNOWLEDGE_AFTER;
        let Some(run) = upstream.runs.get(&end.run) else { return };
        let (expected, actual) = (bounded_ms(run.assignment.expected_ms), now.duration_since(run.ordered_at));
        let (outcome, how) = match end.how {
            EndKind::Done => (Outcome::Done, "done"),
            EndKind::Failed => (Outcome::Failed, "failed"),
            EndKind::Interrupted => (Outcome::Interrupted, "interrupted"),
        };
        match end.how {
            EndKind::Done => {
                self.interference.observe(run.neighbours, &run.assignment, actual, &mut upstream.pace);
                if upstream.health.record_success(now, expected, actual) {
                    self.actions.push(Action::Notice(Notice::Available { upstream: id.clone() }));
                }
            }
            EndKind::Failed => {
                if upstream.health.record_failure() {
                    self.pause_upstream(now, id, "failing");
                }
            }
            EndKind::Interrupted => {}
        }
        self.end_run(now, id, &end.run, outcome, how, EndProof::Listed);
    }

    /// Compares the listed runs with the known ones. Runs that never started are queued again, runs that have vanished are
    /// reported as interrupted, and unknown runs are stopped. After a restart of the upstream a run without a confirmation
    /// counts as vanished: the earlier process may have started it.
    fn reconcile_runs(&mut self, now: Instant, hold: &Hold, listing: &Listing, completes_takeover: bool) {
        let id = &hold.upstream;
        let running: FastSet<&RunId> = listing.running.iter().map(|running| &running.run).collect();
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        let mut never_started = Vec::new();
        let mut vanished = Vec::new();
        let restarted = upstream.restarted;
        let how = if restarted { "restarted" } else { "vanished" };
        for (run_id, run) in &mut upstream.runs {
            let listed = running.contains(run_id);
            match run.confirmed_at {
                None if listed => run.confirmed_at = Some(now),
                None if hold.fence > run.fence && upstream.restarted => vanished.push(run_id.clone()),
                None if hold.fence > run.fence => never_started.push(run_id.clone()),
                Some(confirmed_at)
                    if !listed && confirmed_at <= hold.sent_at && listing.ended.len() < MAX_LISTED_ENDS =>
                {
                    vanished.push(run_id.clone());
                }
                None | Some(_) => {}
            }
        }
        let stopping = upstream.runs.iter().filter(|(_, run)| run.is_stopping()).map(|(run_id, _)| run_id);
        let mut to_stop: Vec<_> = stopping.filter(|run_id| running.contains(run_id)).cloned().collect();
        let unknown: Vec<_> = running
            .iter()
            .filter(|run_id| !upstream.runs.contains_key(**run_id))
            .filter(|run_id| !self.recent_ends.is_outdated(run_id, hold.sent_at))
            .map(|run_id| (*run_id).clone())
            .collect();
        upstream.unknown_runs = unknown.iter().cloned().collect();
        if completes_takeover {
            upstream.foreign_runs.clone_from(&upstream.unknown_runs);
        }
        self.notice_surviving_runs(id, &unknown);
        self.check_second_holder(now, hold, &unknown);
        for run_id in never_started {
            let number = run_id.run;
            self.requeue(now, id, &run_id, number);
        }
        if restarted {
            self.record_lost_runs(id, &vanished);
        }
        for run_id in vanished {
            self.end_run(now, id, &run_id, Outcome::Interrupted, how, EndProof::Listed);
        }
        for run_id in &unknown {
            self.actions.push(Action::Notice(Notice::Unknown { run: run_id.clone(), upstream: id.clone() }));
        }
        to_stop.extend(unknown);
        for run_id in to_stop {
            self.order_stop(id, &run_id);
        }
        self.check_progress(now, id, &listing.running);
    }

    /// Looks for runs of a second owner among those that this entry does not know. The takeover has found all runs of earlier owners,
    /// and the upstream has rejected their orders since. So another process orders under an equal token, or has taken the upstream
    /// over before this entry raised its own token above that of the other, or the upstream does not compare tokens. The raised
    /// token, which a probe tells the upstream, fences an owner that does not know of this one.
    fn check_second_holder(&mut self, now: Instant, hold: &Hold, unknown: &[RunId]) {
        let id = &hold.upstream;
        let Some(upstream) =
            self.upstreams.get_mut(id).filter(|upstream| hold.fence >= upstream.takeover_fence)
        else {
            return;
        };
        let is_foreign = |run: &&RunId| self.recent_ends.get(run).is_none();
        let mut found = false;
        for run in unknown.iter().filter(is_foreign) {
            if upstream.foreign_runs.insert(run.clone()) {
                found = true;
                let (fence, run, upstream) = (hold.fence, run.clone(), id.clone());
                self.actions.push(Action::Notice(Notice::SecondHolder { fence, run, upstream }));
            }
        }
        if !found {
            return;
        }
        upstream.probe_after = Some(now);
        if !upstream.raise_fence(hold.fence) {
            self.lose_ownership(now, id);
        }
    }

    /// Logs the listed runs that this owner has counted as ended too early.
    fn notice_surviving_runs(&mut self, id: &UpstreamId, runs: &[RunId]) {
        for run in runs {
            let Some(end) = self.recent_ends.get(run) else { continue };
            let (how, run, upstream) = (end.how, run.clone(), id.clone());
            self.actions.push(Action::Notice(Notice::Survived { how, run, upstream }));
        }
    }

    /// Stops a run that was started although this entry no longer tracks it. On an upstream of another owner it is that
    /// owner who stops it: an order from here could carry a token above the owner's.
    pub(crate) fn stop_unknown_run(&mut self, id: &UpstreamId, run_id: &RunId) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        if upstream.ownership == Ownership::None || self.recent_ends.is_proven(run_id) {
            return;
        }
        upstream.unknown_runs.insert(run_id.clone());
        self.actions.push(Action::Notice(Notice::Unknown { run: run_id.clone(), upstream: id.clone() }));
        self.order_stop(id, run_id);
    }

    pub(crate) fn order_stop(&mut self, id: &UpstreamId, run_id: &RunId) {
        let Some(upstream) = self.upstreams.get(id) else { return };
        self.actions.push(Action::Stop(StopOrder {
            address: upstream.record.address.clone(),
            fence: upstream.fence,
            run: run_id.clone(),
            upstream: id.clone(),
        }));
    }
}
