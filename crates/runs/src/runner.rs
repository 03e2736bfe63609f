//! State of an owner and the handling of its events.

use hinge_wire::{DataCentreId, FastMap, FastSet, ServiceId, UpstreamId};
use tokio::time::Instant;

use crate::ends::{EndProof, RecentEnd, RecentEnds};
use crate::interference::{Interference, InterferenceStats};
use crate::queue::{Queue, Queued};
use crate::upstream::{Ownership, Run, STOP_TIME, Upstream};
use crate::{
    Action, Assignment, AssignmentId, ClosedDataCentres, Event, Fence, HomeId, LIVENESS_TIMEOUT, LostRun,
    Notice, Outcome, RunId, RunNumber, StartOrder, TaskReport, UpstreamRecord, bounded_ms, whole_ms,
};

/// Weight of a new value in the exponential moving averages of task sizes and run times.
pub(crate) const AVERAGE_WEIGHT: f64 = 0.05;
/// Average task size before the first assignment; load reports count slots in tasks of average size.
const INITIAL_CPU_MILLIS: f64 = 4_000.0;
/// Average run time before the first task has ended; homes estimate waits from it.
const INITIAL_RUN_MS: f64 = 200.0;

/// State machine of an owner of upstreams.
#[derive(Debug)]
pub struct Runner {
    pub(crate) actions: Vec<Action>,
    pub(crate) closed: ClosedDataCentres,
    /// Services whose upstreams reject a task that exceeds their capacity.
    guarding_services: FastSet<ServiceId>,
    /// Upstreams without ownership, runs and calls in flight. Events iterate over `upstreams` only, so that their cost
    /// does not depend on the number of inactive upstreams.
    pub(crate) inactive: FastMap<UpstreamId, Upstream>,
    pub(crate) interference: Interference,
    /// Runs that were lost with their upstream, whether or not their homes still expect reports.
    lost_runs: Vec<LostRun>,
    /// Whether an event since the last call of [`Self::take_load_changed`] may have changed the load.
    load_changed: bool,
    pub(crate) mean_run_ms: f64,
    /// Runs with a home that expects a report.
    pub(crate) placed: FastMap<(HomeId, AssignmentId), (UpstreamId, RunId)>,
    pub(crate) queue: Queue,
    pub(crate) recent_ends: RecentEnds,
    /// When data centres that were evacuated were last taken back.
    pub(crate) restored: FastMap<DataCentreId, Instant>,
    pub(crate) upstreams: FastMap<UpstreamId, Upstream>,
    pub(crate) mean_cpu_millis: f64,
}

impl Default for Runner {
    fn default() -> Self {
        Self {
            actions: Vec::new(),
            closed: ClosedDataCentres::default(),
            guarding_services: FastSet::default(),
            inactive: FastMap::default(),
            interference: Interference::default(),
            lost_runs: Vec::new(),
            load_changed: true,
            mean_run_ms: INITIAL_RUN_MS,
            placed: FastMap::default(),
            queue: Queue::default(),
            recent_ends: RecentEnds::default(),
            restored: FastMap::default(),
            upstreams: FastMap::default(),
            mean_cpu_millis: INITIAL_CPU_MILLIS,
        }
    }
}

impl Runner {
    /// Handles an event, then starts queued tasks and sends the holds that are due.
    pub fn handle(&mut self, now: Instant, event: Event) {
        self.handle_all(now, [event]);
    }

    /// Handles events that have become known together, then starts queued tasks and sends the holds that are due. No task
    /// starts on the knowledge of only some of the events.
    pub fn handle_all(&mut self, now: Instant, events: impl IntoIterator<Item = Event>) {
        for event in events {
            self.apply(now, event);
            self.load_changed = true;
        }
        self.drop_late(now);
        self.place(now);
        self.return_evacuated(now);
        self.return_unplaced(now);
        self.release_idle();
        self.deactivate_idle();
        self.send_holds(now);
    }

    fn apply(&mut self, now: Instant, event: Event) {
        match event {
            Event::Assigned { assignment, home, sent_after } => {
                self.enqueue(now, home, assignment, sent_after);
            }
            Event::CloseDataCentres(closed) => self.close_data_centres(now, closed),
            Event::Cancelled { assignment, home } => self.cancel(now, home, assignment),
            Event::GuardingServices(services) => self.guarding_services = services,
            Event::HoldEnded { hold, reply } => self.hold_ended(now, &hold, reply),
            Event::HomeLost(home) => self.home_lost(now, home),
            Event::Own { fence, limit, upstream } => self.take_ownership(now, &upstream, fence, limit),
            Event::Recalled { assignment, home } => {
                self.return_queued(home, assignment);
            }
            Event::Release(upstream) => self.release(&upstream),
            Event::SeparateInterferingTasks(enabled) => self.interference.set_enabled(enabled),
            Event::StartEnded { reply, start } => self.start_ended(now, &start, &reply),
            Event::Suspended => self.suspended(now),
            Event::Tick => self.tick(now),
            Event::Upstreams(records) => self.set_upstreams(now, records),
        }
    }

    /// Removes and returns the actions since the last call, in order.
    pub fn drain_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Removes and returns the runs that were lost with their upstream since the last call, in order.
    pub fn drain_lost_runs(&mut self) -> std::vec::Drain<'_, LostRun> {
        self.lost_runs.drain(..)
    }

    /// Whether the [`load`](Self::load) may have changed since the last call. Time alone also changes it, as pauses end; the
    /// events of each tick cover that.
    pub fn take_load_changed(&mut self) -> bool {
        std::mem::take(&mut self.load_changed)
    }

    /// Pairs of kinds of tasks that slow each other down, and tasks that were placed apart.
    #[must_use]
    pub const fn interference_stats(&self) -> InterferenceStats {
        self.interference.stats
    }

    /// Upstreams that this entry owns or is taking over, with their fencing tokens.
    pub fn owned(&self) -> impl Iterator<Item = (&UpstreamId, Fence)> {
        let owned = self.upstreams.iter().filter(|(_, upstream)| upstream.ownership != Ownership::None);
        owned.map(|(id, upstream)| (id, upstream.fence))
    }

    /// Whether this entry owns the upstream or is taking it over.
    #[must_use]
    pub fn owns(&self, id: &UpstreamId) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| upstream.ownership != Ownership::None)
    }

    /// Homes with queued or running tasks; a home can occur several times.
    pub fn homes_in_use(&self) -> impl Iterator<Item = HomeId> {
        let running = self.placed.keys().map(|(home, _)| *home);
        running.chain(self.queue.iter().map(|task| task.home))
    }

    /// Number of queued and running tasks.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.placed.len() + self.queue.iter().count()
    }

    /// Upstreams on which tasks may start now. The capacity of a former process must not be exceeded by starts that the present
    /// process would accept. Those of an evacuated data centre get no task.
    pub(crate) fn accepting(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, &Upstream)> {
        self.upstreams.iter().filter(move |(_, upstream)| {
            let guards = || self.guarding_services.contains(&upstream.record.service);
            upstream.accepts(now)
                && !self.closed.contains(&upstream.record.data_centre)
                && (upstream.has_current_record() || guards())
        })
    }

    /// Queues a task, unless its assignment is so old that its home may have died long before.
    fn enqueue(&mut self, now: Instant, home: HomeId, assignment: Assignment, sent_after: Instant) {
        let start_by = now + bounded_ms(assignment.start_within_ms);
        let task = Queued { assignment, home, queued_at: now, sent_after, start_by };
        if now.duration_since(sent_after) > LIVENESS_TIMEOUT {
            self.report_not_run(now, &task, "stale");
            return;
        }
        self.learn_task_size(task.assignment.need.cpu_millis);
        self.queue.push(task);
    }

    /// Returns the tasks that could not be started at once and must not wait here.
    fn return_unplaced(&mut self, now: Instant) {
        for task in self.queue.extract(|task| !task.assignment.waits) {
            self.report_not_run(now, &task, "no_room");
        }
    }

    fn cancel(&mut self, now: Instant, home: HomeId, assignment: AssignmentId) {
        if self.return_queued(home, assignment) {
            return;
        }
        if let Some((upstream, run)) = self.placed.get(&(home, assignment)).cloned() {
            self.stop_run(&upstream, &run, now + STOP_TIME);
        }
    }

    /// Returns a queued task to its home; false if the task has started or is unknown.
    fn return_queued(&mut self, home: HomeId, assignment: AssignmentId) -> bool {
        let Some(task) = self.queue.remove(home, assignment) else { return false };
        let report = TaskReport::new(assignment, Outcome::NotStarted, task.assignment.run);
        self.actions.push(Action::Report { home, report });
        true
    }

    fn home_lost(&mut self, now: Instant, home: HomeId) {
        self.queue.extract(|task| task.home == home);
        let lost: Vec<_> = self.placed.extract_if(|(other, _), _| *other == home).collect();
        for (_, (upstream, run)) in lost {
            // Detecting the loss has taken the time that a cancelled run has to end.
            self.stop_run(&upstream, &run, now);
        }
    }

    /// Stops a run that must have ended at `end_by`.
    fn stop_run(&mut self, id: &UpstreamId, run_id: &RunId, end_by: Instant) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        let Some(run) = upstream.runs.get_mut(run_id) else { return };
        if !run.is_stopping() {
            let (run, upstream) = (run_id.clone(), id.clone());
            self.actions.push(Action::Notice(Notice::Cancelled { run, upstream }));
        }
        run.end_by = Some(run.end_by.map_or(end_by, |known| known.min(end_by)));
        self.order_stop(id, run_id);
    }

    /// After the process was suspended, all knowledge about runs may be out of date: reports the running tasks as
    /// uncertain and takes over the owned upstreams again.
    fn suspended(&mut self, now: Instant) {
        for task in self.queue.extract(|_| true) {
            self.report_not_run(now, &task, "suspended");
        }
        let ids: Vec<_> = self.upstreams.keys().cloned().collect();
        for id in ids {
            self.end_all_runs(now, &id, Outcome::Uncertain, "suspended");
            let owned = self.upstreams.get(&id).is_some_and(|upstream| upstream.ownership != Ownership::None);
            if owned {
                self.start_takeover(now, &id);
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        for upstream in self.upstreams.values_mut() {
            upstream.probe_overdue(now);
            upstream.refresh_clock(now);
        }
        self.actions.extend(self.interference.review(now).into_iter().map(Action::Notice));
    }

    /// Returns the queued tasks whose time limit has passed. It precedes each placement, because the process may have stood
    /// still since the last one.
    fn drop_late(&mut self, now: Instant) {
        for task in self.queue.extract(|task| now >= task.start_by) {
            self.report_not_run(now, &task, "late");
        }
    }

    fn report_not_run(&mut self, now: Instant, task: &Queued, reason: &'static str) {
        self.notice_dropped(now, task, reason);
        let report = TaskReport::new(task.assignment.id, Outcome::NotStarted, task.assignment.run);
        self.actions.push(Action::Report { home: task.home, report });
    }

    pub(crate) fn notice_dropped(&mut self, now: Instant, task: &Queued, reason: &'static str) {
        let run = RunId { task: task.assignment.task.clone(), run: task.assignment.run };
        let queued = now.duration_since(task.queued_at);
        self.actions.push(Action::Notice(Notice::Dropped { queued, reason, run }));
    }

    /// Removes a run and reports its end, unless its home is lost.
    pub(crate) fn end_run(
        &mut self,
        now: Instant,
        id: &UpstreamId,
        run_id: &RunId,
        outcome: Outcome,
        how: &'static str,
        proof: EndProof,
    ) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        let ends_within_ms = whole_ms(upstream.runs_expire_at.saturating_duration_since(now)) + 1;
        let Some(run) = upstream.remove_run(run_id) else { return };
        self.recent_ends.record(run_id.clone(), RecentEnd { at: now, how, proof });
        let run_time = now.duration_since(run.ordered_at);
        let ended = Notice::Ended { how, run: run_id.clone(), run_time, upstream: id.clone() };
        self.actions.push(Action::Notice(ended));
        if self.placed.remove(&(run.home, run.assignment.id)).is_none() {
            return;
        }
        if outcome == Outcome::Done {
            self.mean_run_ms += AVERAGE_WEIGHT * (run_time.as_secs_f64() * 1_000.0 - self.mean_run_ms);
        }
        let report = TaskReport {
            assignment: run.assignment.id,
            outcome,
            run: run_id.run,
            run_time_ms: whole_ms(run_time),
            upstream: Some(id.clone()),
            ends_within_ms: (outcome == Outcome::Uncertain).then_some(ends_within_ms),
            place_again: false,
        };
        self.actions.push(Action::Report { home: run.home, report });
    }

    /// Gives up all runs of an upstream without an answer from it.
    pub(crate) fn end_all_runs(
        &mut self,
        now: Instant,
        id: &UpstreamId,
        outcome: Outcome,
        how: &'static str,
    ) {
        let runs: Vec<_> = self
            .upstreams
            .get(id)
            .map(|upstream| upstream.runs.keys().cloned().collect())
            .unwrap_or_default();
        if outcome == Outcome::Interrupted {
            self.record_lost_runs(id, &runs);
        }
        for run in runs {
            self.end_run(now, id, &run, outcome, how, EndProof::Assumed);
        }
    }

    /// Records the runs that were lost with their upstream.
    pub(crate) fn record_lost_runs(&mut self, id: &UpstreamId, runs: &[RunId]) {
        let Some(upstream) = self.upstreams.get(id) else { return };
        let alone = upstream.runs.len() == 1 && upstream.unknown_runs.is_empty();
        let lost = |run: &RunId| LostRun { alone, run: run.clone(), upstream: id.clone() };
        self.lost_runs.extend(runs.iter().map(lost));
    }

    /// Queues a task again whose run did not start, or reports that it has not run if it was cancelled.
    pub(crate) fn requeue(&mut self, now: Instant, id: &UpstreamId, run_id: &RunId, run_number: RunNumber) {
        let Some(run) = self.upstreams.get_mut(id).and_then(|upstream| upstream.remove_run(run_id)) else {
            return;
        };
        if self.placed.remove(&(run.home, run.assignment.id)).is_none() {
            return;
        }
        if run.is_stopping() {
            let report = TaskReport::new(run.assignment.id, Outcome::NotStarted, run_number);
            self.actions.push(Action::Report { home: run.home, report });
            return;
        }
        let start_by = run.ordered_at + bounded_ms(run.assignment.start_within_ms);
        let assignment = Assignment { run: run_number, waits: true, ..run.assignment };
        let task =
            Queued { assignment, home: run.home, queued_at: now, sent_after: run.assigned_after, start_by };
        if now >= start_by {
            self.report_not_run(now, &task, "late");
        } else {
            self.queue.push(task);
        }
    }

    fn set_upstreams(&mut self, now: Instant, records: Vec<UpstreamRecord>) {
        for upstream in self.upstreams.values_mut().chain(self.inactive.values_mut()) {
            upstream.registered = false;
        }
        for record in records {
            let id = record.id.clone();
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                if upstream.register(now, record) {
                    self.upstream_restarted(now, &id);
                }
            } else if let Some(upstream) = self.inactive.get_mut(&id) {
                if upstream.register(now, record) {
                    upstream.reset_incarnation();
                }
            } else {
                self.inactive.insert(id, Upstream::new(now, record));
            }
        }
        self.inactive.retain(|_, upstream| upstream.registered);
    }

    /// Moves upstreams without ownership, runs and calls in flight to `inactive`, and drops deregistered ones.
    fn deactivate_idle(&mut self) {
        let done = self.upstreams.extract_if(|_, upstream| !upstream.is_active());
        self.inactive.extend(done.filter(|(_, upstream)| upstream.registered));
    }

    pub(crate) fn start(&mut self, now: Instant, id: &UpstreamId, task: Queued) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        let Some(lease_until_ms) = upstream.lease_until_ms(now) else { return };
        let run_id = RunId { task: task.assignment.task.clone(), run: task.assignment.run };
        if upstream.runs.contains_key(&run_id) {
            // A second run under the same id could not be told from the first one.
            self.report_not_run(now, &task, "duplicate");
            return;
        }
        let queued = now.duration_since(task.queued_at);
        let started = Notice::Started {
            age: now.duration_since(task.sent_after),
            free: upstream.free(),
            home: task.home,
            queued,
            run: run_id.clone(),
            upstream: id.clone(),
        };
        self.placed.insert((task.home, task.assignment.id), (id.clone(), run_id.clone()));
        self.actions.push(Action::Notice(started));
        let report = TaskReport::new(task.assignment.id, Outcome::Started, run_id.run);
        self.actions.push(Action::Report { home: task.home, report });
        self.actions.push(Action::Start(StartOrder {
            address: upstream.record.address.clone(),
            fence: upstream.fence,
            lease_until_ms,
            run: run_id.clone(),
            spec: task.assignment.spec.clone(),
            upstream: id.clone(),
        }));
        upstream.extend_lease(now);
        let kind = self.interference.kind(&task.assignment);
        let neighbours = upstream.meet_neighbours(now, kind);
        upstream.add_run(
            run_id,
            Run {
                assigned_after: task.sent_after,
                assignment: task.assignment,
                confirmed_at: None,
                end_by: None,
                fence: upstream.fence,
                home: task.home,
                neighbours,
                ordered_at: now,
                overdue: false,
                stalled: false,
            },
        );
    }
}

#[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
pub(crate) fn to_f64(value: u64) -> f64 {
    value as f64
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "averages of positive numbers")]
pub(crate) fn to_u64(value: f64) -> u64 {
    value.round() as u64
}
