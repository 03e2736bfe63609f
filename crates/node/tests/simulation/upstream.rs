//! A fake upstream with the platform's documented behaviour: fencing tokens, one lease for all runs on a slow clock,
//! numbered ends, holds that wait for an end, and stops that take time.

use std::sync::Arc;

use hinge_runs::{
    EndKind, Ended, Fence, Hold, HoldReply, Listing, Rejection, Resources, RunId, RunProgress, StartOrder,
    StartReply, StopOrder, UpstreamRecord, whole_ms,
};
use hinge_wire::FastMap;

use super::{NEED, SERVICE};

/// Longest lease that an upstream grants, by its own clock.
const MAX_LEASE_US: u64 = 1_000_000;
/// Reading of the clock when the simulation begins.
const CLOCK_START_US: u64 = 5_000_000;
const SLOTS: usize = 4;

/// A run in progress.
#[derive(Clone, Debug)]
pub(crate) struct LiveRun {
    pub(crate) id: RunId,
    ends_at_us: u64,
    how: EndKind,
    started_at_us: u64,
    /// When the run ends because of a stop order.
    stopped_at_us: Option<u64>,
    pub(crate) submission: usize,
}

impl LiveRun {
    /// When and how the run ends if the lease ends at `lease_us`.
    fn end(&self, lease_us: u64) -> (u64, EndKind) {
        let interrupted_at_us = self.stopped_at_us.unwrap_or(u64::MAX).min(lease_us);
        if self.ends_at_us <= interrupted_at_us {
            (self.ends_at_us, self.how)
        } else {
            (interrupted_at_us, EndKind::Interrupted)
        }
    }

    fn progress(&self, now_us: u64) -> RunProgress {
        let length_us = (self.ends_at_us - self.started_at_us).max(1);
        let done = 100 * (now_us - self.started_at_us) / length_us;
        RunProgress { done_percent: u32::try_from(done.min(100)).unwrap(), run: self.id.clone() }
    }
}

/// What a new run does, unless it is interrupted.
pub(crate) struct Course {
    pub(crate) fails: bool,
    pub(crate) run_time_us: u64,
}

/// A hold that waits for an end.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) answer_by_us: u64,
    pub(crate) hold: Hold,
    pub(crate) sender: (usize, u32),
}

#[derive(Debug)]
pub(crate) struct Upstream {
    /// Speed of the clock in thousandths.
    clock_rate: u64,
    ended: Vec<(u64, RunId, EndKind)>,
    fence: Fence,
    highest_run: FastMap<Arc<str>, u64>,
    pub(crate) id: Arc<str>,
    /// End of the lease, by the upstream's clock.
    lease_until_us: u64,
    next_end: u64,
    pub(crate) running: Vec<LiveRun>,
    pub(crate) waiting: Vec<Waiting>,
}

impl Upstream {
    pub(crate) fn new(id: &str, clock_rate: u64) -> Self {
        Self {
            clock_rate,
            ended: Vec::new(),
            fence: Fence::default(),
            highest_run: FastMap::default(),
            id: id.into(),
            lease_until_us: 0,
            next_end: 1,
            running: Vec::new(),
            waiting: Vec::new(),
        }
    }

    pub(crate) fn record(&self, sequence: u64) -> UpstreamRecord {
        UpstreamRecord {
            address: format!("{}:80", self.id).into(),
            capacity: Resources { cpu_millis: NEED.cpu_millis * SLOTS as u64, gpus: 0, memory_mb: 32_768 },
            cold_left_ms: 0,
            data_centre: "dc1".into(),
            draining: false,
            id: self.id.clone(),
            incarnation: Some(1),
            rack: "r1".into(),
            sequence,
            service: SERVICE.into(),
        }
    }

    fn clock_us(&self, now_us: u64) -> u64 {
        CLOCK_START_US + now_us * self.clock_rate / 1_000
    }

    fn clock_ms(&self, now_us: u64) -> u64 {
        self.clock_us(now_us) / 1_000
    }

    /// When the lease ends, in simulated time.
    fn lease_end_us(&self) -> u64 {
        (self.lease_until_us.saturating_sub(CLOCK_START_US) * 1_000).div_ceil(self.clock_rate)
    }

    /// When the next run ends.
    pub(crate) fn next_end_us(&self) -> Option<u64> {
        let lease_us = self.lease_end_us();
        self.running.iter().map(|run| run.end(lease_us).0).min()
    }

    /// Ends the runs whose time has come.
    pub(crate) fn advance(&mut self, now_us: u64) {
        let lease_us = self.lease_end_us();
        let mut ended: Vec<_> = self.running.extract_if(.., |run| run.end(lease_us).0 <= now_us).collect();
        ended.sort_by_key(|run| run.end(lease_us).0);
        for run in ended {
            let how = run.end(lease_us).1;
            self.ended.push((self.next_end, run.id, how));
            self.next_end += 1;
        }
    }

    fn extend(&mut self, now_us: u64, until_ms: u64) {
        let limit_us = self.clock_us(now_us) + MAX_LEASE_US;
        self.lease_until_us = self.lease_until_us.max((until_ms * 1_000).min(limit_us));
    }

    /// Executes a start order. Also returns whether it has started a run.
    pub(crate) fn start(&mut self, now_us: u64, order: &StartOrder, course: &Course) -> (StartReply, bool) {
        self.advance(now_us);
        let clock_ms = self.clock_ms(now_us);
        let reject = |reason| (StartReply::Rejected { clock_ms: Some(clock_ms), reason }, false);
        if order.fence < self.fence {
            return reject(Rejection::Fenced);
        }
        self.fence = order.fence;
        if order.lease_until_ms <= clock_ms {
            return reject(Rejection::Late);
        }
        if self.running.iter().any(|run| run.id == order.run) {
            return (StartReply::Started { clock_ms }, false);
        }
        if self.highest_run.get(&order.run.task).is_some_and(|highest| *highest >= order.run.run) {
            return reject(Rejection::OldRun);
        }
        if self.running.len() >= SLOTS {
            return reject(Rejection::NoRoom);
        }
        self.extend(now_us, order.lease_until_ms);
        self.highest_run.insert(order.run.task.clone(), order.run.run);
        self.running.push(LiveRun {
            ends_at_us: now_us + course.run_time_us,
            how: if course.fails { EndKind::Failed } else { EndKind::Done },
            id: order.run.clone(),
            started_at_us: now_us,
            stopped_at_us: None,
            submission: order.spec.parse().unwrap(),
        });
        (StartReply::Started { clock_ms }, true)
    }

    /// Executes a stop order; the run ends after `delay_us`.
    pub(crate) fn stop(&mut self, now_us: u64, order: &StopOrder, delay_us: u64) {
        self.advance(now_us);
        if order.fence < self.fence {
            return;
        }
        self.fence = order.fence;
        let highest = self.highest_run.entry(order.run.task.clone()).or_default();
        *highest = (*highest).max(order.run.run);
        if let Some(run) = self.running.iter_mut().find(|run| run.id == order.run) {
            run.stopped_at_us.get_or_insert(now_us + delay_us);
        }
    }

    /// Executes a hold. Without a reply it waits for an end. A lease that counts from the arrival of a late order is
    /// longer by `extra_us`.
    pub(crate) fn hold(&mut self, now_us: u64, hold: &Hold, extra_us: u64) -> Option<HoldReply> {
        self.advance(now_us);
        if hold.fence < self.fence {
            return Some(HoldReply::Rejected(Rejection::Fenced));
        }
        self.fence = hold.fence;
        if let Some(until_ms) = hold.lease_until_ms {
            self.extend(now_us, until_ms + extra_us / 1_000);
        }
        self.ended.retain(|(number, ..)| *number > hold.last_end);
        (hold.wait.is_zero() || !self.ended.is_empty()).then(|| self.listing(now_us))
    }

    pub(crate) fn listing(&self, now_us: u64) -> HoldReply {
        let ended = self.ended.iter().map(|(number, run, how)| Ended {
            how: *how,
            number: *number,
            run: run.clone(),
        });
        HoldReply::Listed(Listing {
            clock_ms: self.clock_ms(now_us),
            ended: ended.collect(),
            incarnation: Some(1),
            running: self.running.iter().map(|run| run.progress(now_us)).collect(),
        })
    }

    pub(crate) fn wait(&mut self, now_us: u64, hold: Hold, sender: (usize, u32)) -> u64 {
        let answer_by_us = now_us + whole_ms(hold.wait) * 1_000;
        self.waiting.push(Waiting { answer_by_us, hold, sender });
        answer_by_us
    }

    /// Removes the waiting holds that are to be answered now.
    pub(crate) fn due_holds(&mut self, now_us: u64) -> Vec<Waiting> {
        self.advance(now_us);
        let ended = &self.ended;
        let is_due = |waiting: &mut Waiting| {
            let new_end = ended.iter().any(|(number, ..)| *number > waiting.hold.last_end);
            new_end || now_us >= waiting.answer_by_us
        };
        self.waiting.extract_if(.., is_due).collect()
    }
}
