//! Jobs whose answer is decided and waits for the end of their runs.
//!
//! A caller may send its job again as soon as it has the answer, to any entry. So no answer goes out while a run of the job
//! may exist: cancelled runs are reported by their owners when they have ended, and a run without a report is gone when
//! its lease has expired.

use std::time::Duration;

use hinge_runs::{AssignmentId, HomeId, TaskReport, bounded_ms};
use tokio::time::Instant;

use crate::job::TaskState;
use crate::table::Placement;
use crate::{Action, Answer, JobNumber, JobTable, Notice};

/// Time after its cancellation in which a run has ended for certain: within 0.6 s its owner gets the cancellation or loses the
/// link, or up to 0.1 s later after a freeze; a run that is not stopped is renewed for 0.2 s at most, and its lease lasts for
/// less than 0.62 s.
const CANCELLED_RUN_LIMIT: Duration = Duration::from_millis(2_000);
/// Time after the loss of the link to its owner in which a run has ended for certain: the owner gets no time stamps any more
/// and notices the loss within 0.6 s, or up to 0.1 s later after a freeze, and stops the run, whose lease lasts for less
/// than 0.62 s.
const LOST_OWNER_LIMIT: Duration = Duration::from_millis(1_500);

/// The decided answer of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ending {
    answer: Answer,
    decided_at: Instant,
    /// Number of tasks whose runs ended without a report.
    unreported: usize,
}

impl JobTable {
    /// Decides the answer of a job. It goes out at once if no run of the job can exist; otherwise the runs are cancelled
    /// first. Later decisions about the job have no effect.
    pub(crate) fn answer(&mut self, now: Instant, number: JobNumber, answer: Answer) {
        if !self.jobs.contains_key(&number) || self.ending.contains_key(&number) {
            return;
        }
        self.ending.insert(number, Ending { answer, decided_at: now, unreported: 0 });
        self.cancel_open_tasks(now, number);
        self.finish_if_ended(now, number);
    }

    /// Cancels the tasks of a job whose answer is decided, except those whose end is already awaited.
    fn cancel_open_tasks(&mut self, now: Instant, number: JobNumber) {
        let Some(job) = self.jobs.get(&number) else { return };
        for task in &job.tasks {
            let TaskState::Assigned { assignment, owner } = task else { continue };
            let Some(placement) = self.assignments.get_mut(assignment) else { continue };
            if placement.ended_by.is_none() {
                placement.ended_by = Some(now + CANCELLED_RUN_LIMIT);
                self.actions.push(Action::Cancel { assignment: *assignment, owner: *owner });
            }
        }
    }

    /// Sends the decided answer of a job unless a task has no final report yet.
    pub(crate) fn finish_if_ended(&mut self, now: Instant, number: JobNumber) {
        if self.open_tasks(number).next().is_some() {
            return;
        }
        let Some(Ending { answer, decided_at, unreported }) = self.ending.remove(&number) else { return };
        let Some(job) = self.jobs.remove(&number) else { return };
        self.actions.push(Action::Notice(Notice::Answered {
            answer,
            ending: now.duration_since(decided_at),
            id: job.request.id.clone(),
            queue: job.request.queue.name.clone(),
            total: now.duration_since(job.received_at),
            unreported_tasks: unreported,
        }));
        self.actions.push(Action::Answer { answer, job: number });
    }

    /// Assignments of a job without a final report. Their runs may exist.
    pub(crate) fn open_tasks(&self, number: JobNumber) -> impl Iterator<Item = (AssignmentId, &Placement)> {
        let tasks = self.jobs.get(&number).map(|job| job.tasks.as_slice()).unwrap_or_default();
        tasks.iter().filter_map(|task| match task {
            TaskState::Assigned { assignment, .. } => {
                self.assignments.get(assignment).map(|placement| (*assignment, placement))
            }
            TaskState::Done | TaskState::NotStarted => None,
        })
    }

    /// Assignments to an owner that must not run any more and whose end is not reported.
    pub fn void_assignments(&self, owner: HomeId) -> impl Iterator<Item = AssignmentId> {
        let at_owner = self.assignments.iter().filter(move |(_, placement)| placement.owner == owner);
        at_owner.filter(|(_, placement)| placement.ended_by.is_some()).map(|(assignment, _)| *assignment)
    }

    /// Sends the answers of jobs whose last runs have expired without a report.
    pub(crate) fn end_expired_runs(&mut self, now: Instant) {
        let numbers: Vec<_> = self.ending.keys().copied().collect();
        for number in numbers {
            let has_ended =
                |placement: &Placement| placement.ended_by.is_some_and(|ended_by| now >= ended_by);
            let open = self.open_tasks(number).filter(|(_, placement)| has_ended(placement));
            let gone: Vec<_> = open.map(|(assignment, _)| assignment).collect();
            for assignment in &gone {
                self.assignments.remove(assignment);
            }
            if let Some(ending) = self.ending.get_mut(&number) {
                ending.unreported += gone.len();
            }
            self.finish_if_ended(now, number);
        }
    }
}

impl Placement {
    /// Handles the report that an owner no longer knows whether the run exists.
    pub(crate) fn set_uncertain(&mut self, now: Instant, report: &TaskReport) {
        let limit = report.ends_within_ms.map_or(CANCELLED_RUN_LIMIT, bounded_ms);
        self.set_ended_within(now, limit.min(CANCELLED_RUN_LIMIT));
    }

    /// Handles the loss of the link to the owner.
    pub(crate) fn set_owner_lost(&mut self, now: Instant) {
        self.set_ended_within(now, LOST_OWNER_LIMIT);
    }

    fn set_ended_within(&mut self, now: Instant, limit: Duration) {
        let ended_by = now + limit;
        self.ended_by = Some(self.ended_by.map_or(ended_by, |known| known.min(ended_by)));
    }
}
