//! A fake upstream and an owner that uses it, in virtual time.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::expect_used, reason = "tests")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hinge_runs::{
    Action, Assignment, EndKind, Ended, Event, Fence, Hold, HoldReply, Holder, HomeId, Incarnation, Listing,
    Outcome, Rejection, Resources, RunId, RunProgress, Runner, StartOrder, StartReply, TaskReport,
    UpstreamRecord,
};
use tokio::time::Instant;

pub(crate) const SERVICE: &str = "deicing";
pub(crate) const HOME: HomeId = 7;
/// Longest lease that an upstream grants.
pub(crate) const MAX_LEASE_MS: u64 = 1_000;

pub(crate) fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

pub(crate) fn record(id: &str, incarnation: Incarnation) -> UpstreamRecord {
    UpstreamRecord {
        address: format!("{id}:80").into(),
        capacity: Resources { cpu_millis: 16_000, gpus: 0, memory_mb: 32_768 },
        cold_left_ms: 0,
        data_centre: "dc1".into(),
        draining: false,
        id: id.into(),
        incarnation: Some(incarnation),
        rack: "r1".into(),
        sequence: 1,
        service: SERVICE.into(),
    }
}

pub(crate) fn assignment(id: u64, task: &str, run: u64) -> Assignment {
    Assignment {
        avoid: None,
        id,
        need: Resources { cpu_millis: 7_000, gpus: 0, memory_mb: 64 },
        expected_ms: 100,
        late: false,
        priority: 0,
        run,
        service: SERVICE.into(),
        spec: "spec".into(),
        start_within_ms: 2_000,
        task: task.into(),
        waits: true,
        kind: None,
    }
}

/// A run in progress on a fake upstream.
#[derive(Clone, Debug)]
pub(crate) struct LiveRun {
    pub(crate) ends_at_ms: u64,
    pub(crate) id: RunId,
    pub(crate) started_at_ms: u64,
}

impl LiveRun {
    fn listed(&self, now_ms: u64) -> RunProgress {
        let done = 100 * (now_ms - self.started_at_ms) / (self.ends_at_ms - self.started_at_ms).max(1);
        RunProgress { done_percent: u32::try_from(done).expect("a percentage"), run: self.id.clone() }
    }
}

/// An upstream with the platform's documented behaviour: fencing tokens, one lease for all runs, numbered ends.
#[derive(Clone, Debug)]
pub(crate) struct FakeUpstream {
    pub(crate) ended: BTreeMap<u64, (RunId, EndKind)>,
    pub(crate) fence: Fence,
    pub(crate) highest_run: BTreeMap<Arc<str>, u64>,
    pub(crate) lease_until_ms: u64,
    pub(crate) incarnation: Incarnation,
    pub(crate) next_end: u64,
    pub(crate) now_ms: u64,
    pub(crate) run_time_ms: u64,
    pub(crate) running: Vec<LiveRun>,
}

impl FakeUpstream {
    pub(crate) fn new() -> Self {
        Self {
            ended: BTreeMap::new(),
            fence: Fence::default(),
            highest_run: BTreeMap::new(),
            lease_until_ms: 0,
            incarnation: 1,
            next_end: 1,
            now_ms: 5_000,
            run_time_ms: 100,
            running: Vec::new(),
        }
    }

    /// Advances the clock: runs end, or are interrupted when the lease expires.
    pub(crate) fn advance(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
        let runs = std::mem::take(&mut self.running);
        for run in runs {
            if run.ends_at_ms <= self.now_ms.min(self.lease_until_ms) {
                self.end(run.id, EndKind::Done);
            } else if self.now_ms >= self.lease_until_ms {
                self.end(run.id, EndKind::Interrupted);
            } else {
                self.running.push(run);
            }
        }
    }

    fn end(&mut self, id: RunId, how: EndKind) {
        self.ended.insert(self.next_end, (id, how));
        self.next_end += 1;
    }

    fn extend(&mut self, until_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(self.now_ms + MAX_LEASE_MS));
    }

    pub(crate) fn start(&mut self, order: &StartOrder) -> StartReply {
        let clock_ms = self.now_ms;
        let reject = |reason| StartReply::Rejected { clock_ms: Some(clock_ms), reason };
        if order.fence < self.fence {
            return reject(Rejection::Fenced);
        }
        self.fence = order.fence;
        if order.lease_until_ms <= self.now_ms {
            return reject(Rejection::Late);
        }
        if self.running.iter().any(|run| run.id == order.run) {
            return StartReply::Started { clock_ms };
        }
        if self.highest_run.get(&order.run.task).is_some_and(|highest| *highest >= order.run.run) {
            return reject(Rejection::OldRun);
        }
        self.extend(order.lease_until_ms);
        self.highest_run.insert(order.run.task.clone(), order.run.run);
        let ends_at_ms = self.now_ms + self.run_time_ms;
        let (id, started_at_ms) = (order.run.clone(), self.now_ms);
        self.running.push(LiveRun { ends_at_ms, id, started_at_ms });
        StartReply::Started { clock_ms }
    }

    pub(crate) fn stop(&mut self, fence: Fence, id: &RunId) {
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        let highest = self.highest_run.entry(id.task.clone()).or_default();
        *highest = (*highest).max(id.run);
        if let Some(position) = self.running.iter().position(|run| run.id == *id) {
            let run = self.running.remove(position);
            self.end(run.id, EndKind::Interrupted);
        }
    }

    pub(crate) fn hold(&mut self, hold: &Hold) -> HoldReply {
        if hold.fence < self.fence {
            return HoldReply::Rejected(Rejection::Fenced);
        }
        self.fence = hold.fence;
        if let Some(until_ms) = hold.lease_until_ms {
            self.extend(until_ms);
        }
        self.ended.retain(|number, _| *number > hold.last_end);
        let ended = self.ended.iter().map(|(number, (run, how))| Ended {
            how: *how,
            number: *number,
            run: run.clone(),
        });
        HoldReply::Listed(Listing {
            clock_ms: self.now_ms,
            ended: ended.collect(),
            incarnation: Some(self.incarnation),
            running: self.running.iter().map(|run| run.listed(self.now_ms)).collect(),
        })
    }

    /// Executes a hold late: its lease counts from its arrival and not from the time at which it was sent.
    pub(crate) fn late_hold(&mut self, hold: &Hold, delay_ms: u64) {
        let lease_until_ms = hold.lease_until_ms.map(|until_ms| until_ms + delay_ms);
        self.hold(&Hold { lease_until_ms, ..hold.clone() });
    }

    /// Replaces the process by a new one without state.
    pub(crate) fn restart(&mut self) {
        *self = Self {
            incarnation: self.incarnation + 1,
            now_ms: 1,
            run_time_ms: self.run_time_ms,
            ..Self::new()
        };
    }
}

/// A runner with one upstream that answers immediately.
pub(crate) struct Owner {
    pub(crate) now: Instant,
    pub(crate) reports: Vec<(HomeId, TaskReport)>,
    pub(crate) runner: Runner,
    pub(crate) stops: Vec<RunId>,
    pub(crate) upstream: FakeUpstream,
}

impl Owner {
    /// An owner that has taken over the upstream `up-1`.
    pub(crate) fn new() -> Self {
        let mut owner = Self {
            now: Instant::now(),
            reports: Vec::new(),
            runner: Runner::default(),
            stops: Vec::new(),
            upstream: FakeUpstream::new(),
        };
        owner.handle(Event::Upstreams(vec![record("up-1", 1)]));
        owner.handle(own(token(10), "up-1"));
        owner.answer_all();
        owner
    }

    /// An owner with a confirmed run of `job.0`, and the actions that included its start order.
    pub(crate) fn with_run() -> (Self, Vec<Action>) {
        let mut owner = Self::new();
        owner.assign(1, "job.0");
        let actions = owner.actions();
        let start = first_start(&actions);
        let reply = owner.upstream.start(&start);
        owner.handle(Event::StartEnded { reply, start });
        (owner, actions)
    }

    pub(crate) fn handle(&mut self, event: Event) {
        self.runner.handle(self.now, event);
    }

    /// Holds, starts and stops since the last call; reports are collected and notices dropped.
    pub(crate) fn actions(&mut self) -> Vec<Action> {
        let mut others = Vec::new();
        for action in self.runner.drain_actions() {
            match action {
                Action::Report { home, report } => self.reports.push((home, report)),
                Action::Notice(_) => {}
                other => others.push(other),
            }
        }
        others
    }

    /// Executes and answers orders until there are no more actions; holds that wait for an end stay unanswered.
    pub(crate) fn answer_all(&mut self) {
        loop {
            let actions = self.actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.answer(action);
            }
        }
    }

    pub(crate) fn answer(&mut self, action: Action) {
        match action {
            Action::Hold(hold) if hold.wait.is_zero() || !self.upstream.ended.is_empty() => {
                let reply = self.upstream.hold(&hold);
                self.handle(Event::HoldEnded { hold, reply });
            }
            Action::Hold(_) | Action::Notice(_) | Action::Report { .. } => {}
            Action::Start(start) => {
                let reply = self.upstream.start(&start);
                self.handle(Event::StartEnded { reply, start });
            }
            Action::Stop(stop) => {
                self.upstream.stop(stop.fence, &stop.run);
                self.stops.push(stop.run);
            }
        }
    }

    /// Restarts the upstream under its id, and lets the owner notice it by the new record.
    pub(crate) fn restart_upstream(&mut self) {
        self.upstream.restart();
        self.handle(Event::Upstreams(vec![record("up-1", self.upstream.incarnation)]));
    }

    pub(crate) fn advance(&mut self, by_ms: u64) {
        self.now += ms(by_ms);
        self.upstream.advance(by_ms);
        self.handle(Event::Tick);
    }

    pub(crate) fn assign(&mut self, id: u64, task: &str) {
        self.handle(Event::Assigned {
            assignment: assignment(id, task, 1),
            home: HOME,
            sent_after: self.now,
        });
    }

    /// Outcomes reported for an assignment so far, without `Started`.
    pub(crate) fn outcomes(&self, id: u64) -> Vec<Outcome> {
        let reports = self.reports.iter().filter(|(_, report)| report.assignment == id);
        reports.map(|(_, report)| report.outcome).filter(|outcome| *outcome != Outcome::Started).collect()
    }

    /// The result of a hold that lists the upstream's runs now.
    pub(crate) fn listing(&mut self) -> Event {
        let hold = Hold {
            address: "up-1:80".into(),
            fence: self.upstream.fence,
            last_end: 0,
            lease_until_ms: None,
            probe: false,
            sent_at: self.now,
            upstream: "up-1".into(),
            wait: Duration::ZERO,
        };
        let reply = self.upstream.hold(&hold);
        Event::HoldEnded { hold, reply }
    }
}

/// A token of the holder with the given number, which is also its counter: a higher number gives a higher token.
pub(crate) fn token(number: u16) -> Fence {
    const STEP_MS: u64 = 32;
    Fence::at(u64::from(number) * STEP_MS, Holder::new(number).expect("a holder number"))
}

/// Lets an entry own an upstream with a token.
pub(crate) fn own(fence: Fence, upstream: &str) -> Event {
    Event::Own { fence, limit: Fence::MAX, upstream: upstream.into() }
}

/// The first start order among actions.
pub(crate) fn first_start(actions: &[Action]) -> StartOrder {
    let start = actions.iter().find_map(|action| match action {
        Action::Start(start) => Some(start.clone()),
        _ => None,
    });
    start.expect("a start order")
}

/// The first probe among actions.
pub(crate) fn first_probe(actions: &[Action]) -> Option<Hold> {
    actions.iter().find_map(|action| match action {
        Action::Hold(hold) if hold.probe => Some(hold.clone()),
        _ => None,
    })
}

/// The first waiting hold among actions.
pub(crate) fn first_hold(actions: &[Action]) -> Hold {
    let hold = actions.iter().find_map(|action| match action {
        Action::Hold(hold) if !hold.probe => Some(hold.clone()),
        _ => None,
    });
    hold.expect("a hold")
}

/// The result of a hold whose listing contains only the end of a run of `task`.
pub(crate) fn end_of(upstream: &str, task: &str, how: EndKind, number: u64, now: Instant) -> Event {
    let hold = Hold {
        address: format!("{upstream}:80").into(),
        fence: Fence::MAX,
        last_end: number - 1,
        lease_until_ms: None,
        probe: false,
        sent_at: now - ms(1_000),
        upstream: upstream.into(),
        wait: ms(300),
    };
    let run = RunId { task: task.into(), run: 1 };
    let ended = vec![Ended { how, number, run }];
    let reply = HoldReply::Listed(Listing { clock_ms: 1, ended, ..Listing::default() });
    Event::HoldEnded { hold, reply }
}
