//! Ownership, holds and the settlement of start orders.

use std::time::Duration;

use hinge_wire::UpstreamId;
use tokio::time::Instant;

use crate::upstream::Ownership;
use crate::{Action, Fence, Hold, Notice, Outcome, Rejection, RunNumber, Runner, StartOrder, StartReply};

/// Longest wait of a hold; renews a lease at least twice.
const HOLD_WAIT: Duration = Duration::from_millis(300);
/// Wait of a hold while stopped runs are still listed.
const STOPPING_WAIT: Duration = Duration::from_millis(60);
/// Pause before a hold that was not answered is repeated.
pub(crate) const HOLD_RETRY: Duration = Duration::from_millis(50);
/// Unanswered holds in a row from which on new tasks go elsewhere; a single answer may be lost.
const MAX_LOST_HOLDS: u32 = 2;
/// Pause before the next attempt to take over an upstream that does not answer.
const TAKE_RETRY: Duration = Duration::from_millis(300);
/// Raise of the fencing token after another owner had a higher one.
const FENCE_RAISE: Fence = 1 << 20;
/// Raise of the run number after the upstream had seen a higher one, from a home whose clock is ahead.
const RUN_RAISE: RunNumber = 16;
/// Time without new tasks after an upstream rejected one for want of room.
const FULL_PAUSE: Duration = Duration::from_millis(60);

impl Runner {
    pub(crate) fn own(&mut self, now: Instant, id: &UpstreamId, fence: Fence) {
        if let Some(upstream) = self.inactive.remove(id) {
            self.upstreams.insert(id.clone(), upstream);
        }
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        match upstream.ownership {
            Ownership::None => {
                upstream.fence = fence.max(upstream.fence + 1);
                self.retake(now, id);
            }
            Ownership::Releasing => upstream.ownership = Ownership::Owned,
            Ownership::Owned | Ownership::Taking => {}
        }
    }

    /// Starts over as the owner: raises the token and learns what runs.
    pub(crate) fn retake(&mut self, now: Instant, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.fence += 1;
        upstream.ownership = Ownership::Taking;
        upstream.hold_after = now;
        if upstream.holding {
            upstream.probe_after = Some(now);
        }
        self.owner_notice(id, "taking");
    }

    pub(crate) fn release(&mut self, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        match upstream.ownership {
            Ownership::Owned => {
                upstream.ownership = Ownership::Releasing;
                self.owner_notice(id, "releasing");
            }
            Ownership::Taking => {
                upstream.ownership = Ownership::None;
                self.owner_notice(id, "released");
            }
            Ownership::None | Ownership::Releasing => {}
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
            self.owner_notice(&id, "released");
        }
    }

    /// Another owner has a higher token; it stops what this entry started.
    pub(crate) fn lose_ownership(&mut self, now: Instant, id: &UpstreamId) {
        self.end_all_runs(now, id, Outcome::Uncertain, "fenced");
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.ownership = Ownership::None;
            upstream.fence += FENCE_RAISE;
        }
        self.owner_notice(id, "lost");
    }

    /// A new process answers: what ran on the earlier one is gone.
    pub(crate) fn upstream_restarted(&mut self, now: Instant, id: &UpstreamId) {
        self.end_all_runs(now, id, Outcome::Interrupted, "restarted");
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.reset_incarnation();
        if upstream.ownership != Ownership::None {
            self.retake(now, id);
        }
    }

    pub(crate) fn owner_notice(&mut self, id: &UpstreamId, state: &'static str) {
        let fence = self.upstreams.get(id).map_or(0, |upstream| upstream.fence);
        self.actions.push(Action::Notice(Notice::Owner { fence, state, upstream: id.clone() }));
    }

    pub(crate) fn avoid(&mut self, now: Instant, id: &UpstreamId, cause: &'static str) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        if !upstream.health.allows(now, 0) {
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
        match reply {
            StartReply::Lost => self.settle_by_probe(now, start),
            StartReply::NotSent => {
                self.start_rejected(start, "not_sent");
                self.requeue(now, id, &start.run, start.run.run);
                self.avoid(now, id, "unreachable");
            }
            StartReply::Rejected { clock_ms, reason } => {
                if let Some(clock_ms) = clock_ms {
                    upstream.read_clock(now, *clock_ms);
                }
                self.start_was_rejected(now, start, *reason);
            }
            StartReply::Started { clock_ms } => {
                upstream.read_clock(now, *clock_ms);
                match upstream.runs.get_mut(&start.run) {
                    Some(run) => run.confirmed_at = Some(now),
                    None => self.stop_unknown(id, &start.run),
                }
            }
        }
    }

    /// An unanswered start either shows up in the next listing or is barred by a higher token.
    fn settle_by_probe(&mut self, now: Instant, start: &StartOrder) {
        self.start_rejected(start, "unanswered");
        let Some(upstream) = self.upstreams.get_mut(&start.upstream) else { return };
        if !upstream.owned() {
            return;
        }
        if upstream.fence == start.fence {
            upstream.fence += 1;
        }
        upstream.probe_after = Some(now);
    }

    fn start_was_rejected(&mut self, now: Instant, start: &StartOrder, reason: Rejection) {
        let id = &start.upstream;
        self.start_rejected(start, rejection_name(reason));
        match reason {
            Rejection::Fenced => {
                let barred = self.upstreams.get(id).is_some_and(|upstream| start.fence < upstream.fence);
                self.requeue(now, id, &start.run, start.run.run);
                if !barred {
                    self.lose_ownership(now, id);
                }
            }
            Rejection::Invalid => self.end_run(now, id, &start.run, Outcome::Failed, "invalid"),
            Rejection::Late => self.requeue(now, id, &start.run, start.run.run),
            Rejection::NoRoom => {
                if let Some(upstream) = self.upstreams.get_mut(id) {
                    upstream.health.block_until(now + FULL_PAUSE);
                    upstream.probe_after = Some(now);
                }
                self.requeue(now, id, &start.run, start.run.run);
            }
            Rejection::OldRun => self.requeue(now, id, &start.run, start.run.run + RUN_RAISE),
            Rejection::Unhealthy | Rejection::WrongIncarnation => {
                self.requeue(now, id, &start.run, start.run.run);
                self.avoid(now, id, rejection_name(reason));
            }
        }
    }

    fn start_rejected(&mut self, start: &StartOrder, reason: &'static str) {
        let (run, upstream) = (start.run.clone(), start.upstream.clone());
        self.actions.push(Action::Notice(Notice::StartRejected { reason, run, upstream }));
    }

    /// Sends the holds that are due: at most one that waits and one probe per upstream.
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

    /// A hold failed: new tasks go elsewhere, and the runs end for certain once their lease has expired.
    pub(crate) fn hold_failed(&mut self, now: Instant, hold: &Hold, refused: bool) {
        let id = &hold.upstream;
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.lost_holds += 1;
        let repeated = upstream.lost_holds >= MAX_LOST_HOLDS;
        let taking = upstream.ownership == Ownership::Taking;
        upstream.hold_after = match (taking, repeated) {
            (true, _) => now + TAKE_RETRY,
            (false, true) => now + HOLD_RETRY,
            (false, false) => now,
        };
        if !taking && hold.probe {
            upstream.probe_after = Some(now + HOLD_RETRY);
        }
        let expired = now > upstream.alive_until;
        if repeated {
            self.avoid(now, id, if refused { "refused" } else { "unanswered" });
        }
        if expired {
            self.end_all_runs(now, id, Outcome::Interrupted, "expired");
        }
        if expired && !taking {
            self.retake(now, id);
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

/// A hold as the upstream's state asks for it.
impl crate::upstream::Upstream {
    fn hold(&self, now: Instant, id: &UpstreamId, probe: bool, wait: Duration) -> Hold {
        let renews = self.owned() && self.lost_holds == 0 && self.runs.values().any(|run| !run.stopping);
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
