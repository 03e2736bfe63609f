//! Ownership of upstreams, results of start orders, and sending of holds.

use std::time::Duration;

use hinge_wire::UpstreamId;
use tokio::time::Instant;

use crate::ends::EndProof;
use crate::upstream::Ownership;
use crate::{Action, Fence, Hold, Notice, Outcome, Rejection, RunNumber, Runner, StartOrder, StartReply};

/// Longest wait of a hold. A lease of 600 ms outlasts a hold that never arrives: it was renewed by the hold before, 200 ms
/// earlier, and the loss shows after 320 ms, the wait and the timeout.
const HOLD_WAIT: Duration = Duration::from_millis(200);
/// Wait of a hold while stopped runs are still listed.
const STOPPING_WAIT: Duration = Duration::from_millis(60);
/// Delay before holds are repeated once [`MAX_LOST_HOLDS`] were lost, and before a lost probe is repeated.
pub(crate) const HOLD_RETRY: Duration = Duration::from_millis(50);
/// Number of consecutive holds without an answer after which an upstream is paused. A single answer may be lost while
/// the upstream is healthy.
const MAX_LOST_HOLDS: u32 = 2;
/// Delay before the next attempt to take over an upstream that does not answer.
const TAKEOVER_RETRY: Duration = Duration::from_millis(300);
/// Steps by which the fencing token is raised after another owner had a higher one; about 1 s of the time in a token.
const FENCE_INCREMENT: u64 = 32;
/// Bits by which [`FENCE_INCREMENT`] grows with each takeover in a row that fails because of a higher token: the clock of the
/// last owner may have been far ahead.
const FENCE_GROWTH_BITS: u32 = 3;
/// Maximum number of times that the increment grows; it is then over an hour.
const MAX_FENCE_GROWTH: u32 = 4;
/// Added to the run number after the upstream had seen a higher one, from a home whose clock is ahead.
const RUN_INCREMENT: RunNumber = 16;
/// Time without new tasks after an upstream rejected one for lack of free resources.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(60);

impl Runner {
    /// Takes over an upstream with a token that exceeds all that this process has used there, and takes one over anew that it
    /// owns under another holder number.
    pub(crate) fn take_ownership(&mut self, now: Instant, id: &UpstreamId, fence: Fence, limit: Fence) {
        if let Some(upstream) = self.inactive.remove(id) {
            self.upstreams.insert(id.clone(), upstream);
        }
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.fence_limit = limit;
        let changes_holder = !upstream.fence.has_same_holder(fence);
        match upstream.ownership {
            _ if changes_holder || upstream.ownership == Ownership::None => {
                upstream.fence = fence.raised_above(upstream.fence, 0);
                self.start_takeover(now, id);
            }
            Ownership::Releasing => upstream.ownership = Ownership::Owned,
            Ownership::None | Ownership::Owned | Ownership::Taking => {}
        }
    }

    /// Begins to take over the upstream: raises the fencing token and lists the runs.
    pub(crate) fn start_takeover(&mut self, now: Instant, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        if !upstream.raise_fence(upstream.fence) {
            self.lose_ownership(now, id);
            return;
        }
        upstream.ownership = Ownership::Taking;
        upstream.hold_after = now;
        if upstream.holding {
            upstream.probe_after = Some(now);
        }
        self.notice_ownership(id, "taking");
    }

    pub(crate) fn release(&mut self, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        match upstream.ownership {
            Ownership::Owned => {
                upstream.ownership = Ownership::Releasing;
                self.notice_ownership(id, "releasing");
            }
            Ownership::Taking if upstream.runs.is_empty() => {
                upstream.ownership = Ownership::None;
                self.notice_ownership(id, "released");
            }
            // After a restart only the takeover shows which runs have ended; the release is repeated until then.
            Ownership::None | Ownership::Releasing | Ownership::Taking => {}
        }
    }

    pub(crate) fn release_idle(&mut self) {
        let idle: Vec<_> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.ownership == Ownership::Releasing && upstream.runs.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in idle {
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.ownership = Ownership::None;
            }
            self.notice_ownership(&id, "released");
        }
    }

    /// Gives up an upstream on which another owner has a higher token, or on which this entry's token has reached its limit. The
    /// next owner stops the runs of this entry.
    pub(crate) fn lose_ownership(&mut self, now: Instant, id: &UpstreamId) {
        self.end_all_runs(now, id, Outcome::Uncertain, "fenced");
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.ownership = Ownership::None;
            let growth = upstream.failed_takeovers.min(MAX_FENCE_GROWTH) * FENCE_GROWTH_BITS;
            if upstream.fence <= upstream.fence_limit {
                upstream.fence = upstream.fence.raised(FENCE_INCREMENT << growth);
            }
            upstream.failed_takeovers += 1;
        }
        self.notice_ownership(id, "lost");
    }

    /// Handles a restart of the upstream's process. The new process has seen no fencing token, and may still execute
    /// orders for the previous one; so the runs end only when it no longer lists them under the raised token.
    pub(crate) fn upstream_restarted(&mut self, now: Instant, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.reset_incarnation();
        upstream.restarted = true;
        if upstream.ownership != Ownership::None {
            self.notice_ownership(id, "restarted");
            self.start_takeover(now, id);
        }
    }

    pub(crate) fn notice_ownership(&mut self, id: &UpstreamId, state: &'static str) {
        let fence = self.upstreams.get(id).map(|upstream| upstream.fence).unwrap_or_default();
        self.actions.push(Action::Notice(Notice::Owner { fence, state, upstream: id.clone() }));
    }

    pub(crate) fn pause_upstream(&mut self, now: Instant, id: &UpstreamId, cause: &'static str) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        if !upstream.health.may_start(now, 0) {
            return;
        }
        let pause = upstream.health.pause(now);
        self.actions.push(Action::Notice(Notice::Avoided { cause, pause, upstream: id.clone() }));
    }

    pub(crate) fn start_ended(&mut self, now: Instant, start: &StartOrder, reply: &StartReply) {
        let id = &start.upstream;
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        if !matches!(reply, StartReply::NotSent) {
            upstream.extend_lease(now);
        }
        if upstream.runs.get(&start.run).is_some_and(|run| run.fence != start.fence) {
            // A listing has settled this order, and the task was started again under the same run number.
            return;
        }
        match reply {
            StartReply::Lost => self.probe_unanswered_start(now, start),
            StartReply::NotSent => {
                self.notice_rejected_start(start, "not_sent");
                self.requeue(now, id, &start.run, start.run.run);
                self.pause_upstream(now, id, "unreachable");
            }
            StartReply::Rejected { clock_ms, reason } => {
                if let Some(clock_ms) = clock_ms {
                    upstream.record_clock(now, *clock_ms);
                }
                self.handle_rejected_start(now, start, *reason);
            }
            StartReply::Started { clock_ms } => {
                upstream.record_clock(now, *clock_ms);
                match upstream.runs.get_mut(&start.run) {
                    Some(run) => run.confirmed_at = Some(now),
                    None => self.stop_unknown_run(id, &start.run),
                }
            }
        }
    }

    /// Requests a probe under a higher fencing token after a start without an answer: either the run is in that
    /// listing, or the upstream will reject the order because of its old token.
    fn probe_unanswered_start(&mut self, now: Instant, start: &StartOrder) {
        self.notice_rejected_start(start, "unanswered");
        let Some(upstream) = self.upstreams.get_mut(&start.upstream) else { return };
        if !upstream.is_owned() {
            return;
        }
        if upstream.fence == start.fence && !upstream.raise_fence(start.fence) {
            self.lose_ownership(now, &start.upstream);
            return;
        }
        upstream.probe_after = Some(now);
    }

    fn handle_rejected_start(&mut self, now: Instant, start: &StartOrder, reason: Rejection) {
        let id = &start.upstream;
        self.notice_rejected_start(start, rejection_name(reason));
        match reason {
            Rejection::Fenced => {
                let stale = self.upstreams.get(id).is_some_and(|upstream| start.fence < upstream.fence);
                self.requeue(now, id, &start.run, start.run.run);
                if !stale {
                    self.lose_ownership(now, id);
                }
            }
            Rejection::Invalid => {
                self.end_run(now, id, &start.run, Outcome::Failed, "invalid", EndProof::Listed);
            }
            Rejection::Late => self.requeue(now, id, &start.run, start.run.run),
            Rejection::NoRoom => {
                if let Some(upstream) = self.upstreams.get_mut(id) {
                    upstream.health.block_until(now + NO_ROOM_PAUSE);
                    upstream.probe_after = Some(now);
                }
                self.requeue(now, id, &start.run, start.run.run);
            }
            Rejection::OldRun => {
                self.requeue(now, id, &start.run, start.run.run.saturating_add(RUN_INCREMENT))
            }
            Rejection::Unhealthy | Rejection::WrongIncarnation => {
                self.requeue(now, id, &start.run, start.run.run);
                self.pause_upstream(now, id, rejection_name(reason));
            }
        }
    }

    fn notice_rejected_start(&mut self, start: &StartOrder, reason: &'static str) {
        let (run, upstream) = (start.run.clone(), start.upstream.clone());
        self.actions.push(Action::Notice(Notice::StartRejected { reason, run, upstream }));
    }

    /// Sends the holds that are due. An upstream has at most one waiting hold and one probe in flight.
    pub(crate) fn send_holds(&mut self, now: Instant) {
        let mut holds = Vec::new();
        for (id, upstream) in &mut self.upstreams {
            let probe_due = upstream.probe_after.is_some_and(|after| now >= after);
            if probe_due && upstream.ownership != Ownership::None && !upstream.probing {
                upstream.probe_after = None;
                upstream.probing = true;
                holds.push(upstream.hold(now, id, true, Duration::ZERO));
            }
            if !upstream.holding && now >= upstream.hold_after && upstream.needs_hold(now) {
                upstream.holding = true;
                let wait = upstream.hold_wait(HOLD_WAIT, STOPPING_WAIT);
                holds.push(upstream.hold(now, id, false, wait));
            }
        }
        self.actions.extend(holds.into_iter().map(Action::Hold));
    }

    /// Raises the fencing token after a renewal without an answer. The upstream may execute it seconds later, and the
    /// lease would then last longer than this owner, or its successor, expects.
    pub(crate) fn fence_unanswered_renewal(&mut self, now: Instant, hold: &Hold) {
        let Some(upstream) = self.upstreams.get_mut(&hold.upstream) else { return };
        if hold.lease_until_ms.is_none() {
            return;
        }
        let was_raised = upstream.raise_fence(hold.fence);
        let (fence, id) = (hold.fence, &hold.upstream);
        self.actions.push(Action::Notice(Notice::RenewalLost { fence, upstream: id.clone() }));
        if !was_raised {
            self.lose_ownership(now, id);
        }
    }

    /// Handles a hold that failed. Repeated failures pause the upstream; once the lease has expired for certain, its
    /// runs are reported as interrupted.
    pub(crate) fn hold_failed(&mut self, now: Instant, hold: &Hold, refused: bool) {
        let id = &hold.upstream;
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.lost_holds += 1;
        let repeated = upstream.lost_holds >= MAX_LOST_HOLDS;
        let taking = upstream.ownership == Ownership::Taking;
        upstream.hold_after = match (taking, repeated) {
            (true, _) => now + TAKEOVER_RETRY,
            (false, true) => now + HOLD_RETRY,
            (false, false) => now,
        };
        if !taking && hold.probe {
            upstream.probe_after = Some(now + HOLD_RETRY);
        }
        let expired = now > upstream.runs_expire_at;
        if repeated {
            self.pause_upstream(now, id, if refused { "refused" } else { "unanswered" });
        }
        if expired {
            self.end_all_runs(now, id, Outcome::Interrupted, "expired");
        }
        if expired && !taking {
            self.start_takeover(now, id);
        }
    }
}

const fn rejection_name(reason: Rejection) -> &'static str {
    match reason {
        Rejection::Fenced => "fenced",
        Rejection::Invalid => "invalid",
        Rejection::Late => "late",
        Rejection::NoRoom => "no_room",
        Rejection::OldRun => "old_run",
        Rejection::Unhealthy => "unhealthy",
        Rejection::WrongIncarnation => "wrong_lifetime",
    }
}

impl crate::upstream::Upstream {
    /// A hold to send now. A probe renews no lease, so that at most one renewal is on its way when this owner is lost.
    fn hold(&self, now: Instant, id: &UpstreamId, probe: bool, wait: Duration) -> Hold {
        let renews = !probe
            && self.is_owned()
            && self.lost_holds == 0
            && !self.has_unstoppable_run(now)
            && self.runs.values().any(|run| !run.is_stopping());
        Hold {
            address: self.record.address.clone(),
            fence: self.fence,
            last_end: self.last_end,
            lease_until_ms: if renews { self.lease_until_ms(now) } else { None },
            probe,
            sent_at: now,
            upstream: id.clone(),
            wait,
        }
    }
}
