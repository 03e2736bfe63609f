//! Memory of the runs that were lost with their upstream, by task.
//!
//! A task may crash each upstream that starts it. The memory outlives the jobs, so that a job which its caller sends again
//! does not crash further upstreams.

use std::collections::VecDeque;
use std::time::Duration;

use hinge_runs::{LostRun, RunNumber, TaskName};
use hinge_wire::{FastMap, UpstreamId};
use tokio::time::Instant;

/// Number of lost runs after which a task is given up. Fewer are not enough: the tasks that run beside a crashing one are
/// lost with it, sometimes twice.
const MAX_LOST_RUNS: usize = 3;
/// The same if no other run was on one of the lost upstreams, so that only this task can have crashed it.
const MAX_LOST_RUNS_ALONE: usize = 2;
/// Time for which a lost run is remembered. It is longer than callers keep sending a job again.
const RETENTION: Duration = Duration::from_secs(60);
/// Number of lost runs that are remembered; the oldest make room for new ones.
const MAX_REMEMBERED: usize = 4_096;
/// Lost runs with longer names, which a peer may have made up, are not remembered.
const MAX_NAME_BYTES: usize = 256;

/// A lost run of a known task.
#[derive(Debug)]
struct Loss {
    alone: bool,
    run: RunNumber,
    upstream: UpstreamId,
}

impl Loss {
    fn is_of(&self, lost: &LostRun) -> bool {
        self.run == lost.run.run && self.upstream == lost.upstream
    }
}

/// The lost runs of all tasks.
#[derive(Debug, Default)]
pub(crate) struct LostRuns {
    by_task: FastMap<TaskName, Vec<Loss>>,
    /// In the order in which they were recorded.
    order: VecDeque<(Instant, LostRun)>,
}

impl LostRuns {
    /// Records a lost run, unless it is known already.
    pub(crate) fn record(&mut self, now: Instant, lost: LostRun) {
        self.expire(now);
        if lost.run.task.len() > MAX_NAME_BYTES || lost.upstream.len() > MAX_NAME_BYTES {
            return;
        }
        let runs = self.by_task.entry(lost.run.task.clone()).or_default();
        if runs.iter().any(|known| known.is_of(&lost)) {
            return;
        }
        runs.push(Loss { alone: lost.alone, run: lost.run.run, upstream: lost.upstream.clone() });
        self.order.push_back((now, lost));
        if self.order.len() > MAX_REMEMBERED {
            self.forget_oldest();
        }
    }

    /// The lost upstreams of a task that must not be started again; none if it may be started.
    pub(crate) fn given_up(&mut self, now: Instant, task: &str) -> Option<Vec<UpstreamId>> {
        self.expire(now);
        let runs = self.by_task.get(task)?;
        let alone = runs.iter().any(|loss| loss.alone);
        let limit = if alone { MAX_LOST_RUNS_ALONE } else { MAX_LOST_RUNS };
        (runs.len() >= limit).then(|| runs.iter().map(|loss| loss.upstream.clone()).collect())
    }

    /// Whether nothing is remembered.
    pub(crate) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// All remembered lost runs, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &LostRun> {
        self.order.iter().map(|(_, lost)| lost)
    }

    /// Forgets what is older than the retention time.
    fn expire(&mut self, now: Instant) {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= RETENTION;
        while self.order.front().is_some_and(|(at, _)| is_over(*at)) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((_, oldest)) = self.order.pop_front() else { return };
        let Some(runs) = self.by_task.get_mut(&oldest.run.task) else { return };
        runs.retain(|loss| !loss.is_of(&oldest));
        if runs.is_empty() {
            self.by_task.remove(&oldest.run.task);
        }
    }
}
