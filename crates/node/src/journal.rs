//! Log lines for decisions and for changes in the state of peers and upstreams.

use std::time::Duration;

use hinge_jobs::{Answer, Notice as JobNotice};
use hinge_mesh::Evacuation;
use hinge_obs::emit;
use hinge_runs::{HomeId, Notice as RunNotice, RunId, whole_ms};
use hinge_wire::{InstanceId, LogEvent, UpstreamId};
use serde_json::{Value, json};

/// A line of the log, also counted by [`NodeMetrics`](crate::NodeMetrics).
#[derive(Clone, Debug)]
pub enum LogLine {
    /// A data centre is evacuated or taken back.
    Evacuation {
        /// Process that has sent the state; none if it is from the store.
        peer: Option<HomeId>,
        /// Runs on the upstreams of the data centre that this entry owns.
        running: usize,
        /// The new state.
        state: Evacuation,
    },
    /// A peer knows that a data centre is evacuated or taken back.
    EvacuationAdopted {
        /// Instance id of the peer.
        instance: InstanceId,
        /// State that it has sent.
        state: Evacuation,
    },
    /// A decision about a job of one of this entry's callers, or the end of the job.
    Job(JobNotice),
    /// The link to a peer is up.
    PeerLinked {
        /// Instance id of the peer.
        instance: InstanceId,
        /// Incarnation of the peer's process.
        peer: HomeId,
    },
    /// The link to a peer is down.
    PeerLost {
        /// The error that ended the link.
        error: String,
        /// Incarnation of the peer's process.
        peer: HomeId,
        /// Whether the link timed out; otherwise the connection was closed or reset.
        silent: bool,
        /// Time since the newest time stamp that the peer has returned.
        unproven: Duration,
    },
    /// A linked peer has become unresponsive, or responds again.
    PeerUnresponsive {
        /// Incarnation of the peer's process.
        peer: HomeId,
        /// True when messages have stopped, false when they arrive again.
        unresponsive: bool,
    },
    /// A decision about a run or an upstream, or a change of its state.
    Run(RunNotice),
    /// The process was suspended for the given time.
    Suspended(Duration),
}

impl LogLine {
    pub(crate) fn write(&self) {
        match self {
            Self::Evacuation { peer, running, state } => emit(
                LogEvent::EvacuationChanged,
                &json!({
                    "data_centre": state.data_centre, "evacuated": state.evacuated, "peer": peer,
                    "revision": state.revision, "running": running,
                }),
            ),
            Self::EvacuationAdopted { instance, state } => emit(
                LogEvent::EvacuationAdopted,
                &json!({
                    "data_centre": state.data_centre, "evacuated": state.evacuated, "instance": instance,
                    "revision": state.revision,
                }),
            ),
            Self::Job(notice) => write_job(notice),
            Self::PeerLinked { instance, peer } => {
                emit(LogEvent::PeerLinked, &json!({ "instance": instance, "peer": peer }));
            }
            Self::PeerLost { error, peer, silent, unproven } => emit(
                LogEvent::PeerLost,
                &json!({
                    "error": error, "peer": peer, "silent": silent, "unproven_ms": whole_ms(*unproven),
                }),
            ),
            Self::PeerUnresponsive { peer, unresponsive } => {
                emit(LogEvent::PeerQuiet, &json!({ "peer": peer, "quiet": unresponsive }));
            }
            Self::Run(notice) => write_run(notice),
            Self::Suspended(time) => {
                emit(LogEvent::ProcessSuspended, &json!({ "for_ms": whole_ms(*time) }));
            }
        }
    }
}

fn write_job(notice: &JobNotice) {
    match notice {
        JobNotice::Abandoned { id, total } => {
            emit(LogEvent::JobAbandoned, &json!({ "job": id, "total_ms": whole_ms(*total) }));
        }
        JobNotice::Admitted { id, load_age, owners, queue, slack, tasks, wait } => emit(
            LogEvent::JobAdmitted,
            &json!({
                "job": id, "load_age_ms": whole_ms(*load_age), "owners": owners, "queue": queue,
                "slack_ms": whole_ms(*slack), "tasks": tasks, "wait_ms": whole_ms(*wait),
            }),
        ),
        JobNotice::Answered { answer, ending, id, queue, total, unreported_tasks } => {
            let (outcome, cause) = match answer {
                Answer::Completed => ("completed", String::new()),
                Answer::Failed(cause) => ("failed", format!("{cause:?}")),
                Answer::Rejected { cause, .. } => ("rejected", format!("{cause:?}")),
            };
            let total_ms = whole_ms(*total);
            emit(
                LogEvent::JobAnswered,
                &json!({
                    "cause": cause, "ending_ms": whole_ms(*ending), "job": id, "outcome": outcome,
                    "queue": queue, "total_ms": total_ms, "unreported_tasks": unreported_tasks,
                }),
            );
        }
        JobNotice::GivenUp { id, task, upstreams } => {
            emit(LogEvent::TaskGivenUp, &json!({ "job": id, "task": task, "upstreams": upstreams }));
        }
        JobNotice::Moved { id, task, wait } => {
            emit(LogEvent::TaskMoved, &json!({ "job": id, "task": task, "wait_ms": whole_ms(*wait) }));
        }
        JobNotice::Repeated { id, outcome, task, upstream } => emit(
            LogEvent::TaskRepeated,
            &json!({ "job": id, "outcome": outcome, "task": task, "upstream": upstream }),
        ),
    }
}

fn write_run(notice: &RunNotice) {
    let (event, details) = match notice {
        RunNotice::Available { upstream } => (LogEvent::UpstreamAvailable, json!({ "upstream": upstream })),
        RunNotice::Avoided { cause, pause, upstream } => (
            LogEvent::UpstreamAvoided,
            json!({ "cause": cause, "for_ms": whole_ms(*pause), "upstream": upstream }),
        ),
        RunNotice::Cancelled { run, upstream } => (LogEvent::RunCancelled, run_details(run, upstream)),
        RunNotice::Dropped { queued, reason, run } => (
            LogEvent::TaskDropped,
            json!({ "queued_ms": whole_ms(*queued), "reason": reason, "run": run.run, "task": run.task }),
        ),
        RunNotice::Ended { how, run, run_time, upstream } => (
            LogEvent::RunEnded,
            json!({
                "how": how, "run": run.run, "run_time_ms": whole_ms(*run_time), "task": run.task,
                "upstream": upstream,
            }),
        ),
        RunNotice::Interference { beside, counts, kind, slowdown } => (
            LogEvent::InterferenceChanged,
            json!({ "beside": beside, "counts": counts, "kind": kind, "slowdown": slowdown }),
        ),
        RunNotice::Owner { fence, state, upstream } => {
            (LogEvent::UpstreamOwner, json!({ "fence": fence, "state": state, "upstream": upstream }))
        }
        RunNotice::RecordOutdated { cpu_millis, upstream } => {
            (LogEvent::RecordOutdated, json!({ "capacity_cpu_millis": cpu_millis, "upstream": upstream }))
        }
        RunNotice::RenewalLost { fence, upstream } => {
            (LogEvent::RenewalLost, json!({ "fence": fence, "upstream": upstream }))
        }
        RunNotice::SecondHolder { fence, run, upstream } => (
            LogEvent::SecondHolder,
            json!({ "fence": fence, "run": run.run, "task": run.task, "upstream": upstream }),
        ),
        RunNotice::Stalled { done_percent, run, run_time, upstream } => (
            LogEvent::RunStalled,
            json!({
                "done_percent": done_percent, "run": run.run, "run_time_ms": whole_ms(*run_time),
                "task": run.task, "upstream": upstream,
            }),
        ),
        RunNotice::StartRejected { reason, run, upstream } => (
            LogEvent::StartRejected,
            json!({ "reason": reason, "run": run.run, "task": run.task, "upstream": upstream }),
        ),
        RunNotice::Started { age, free, home, queued, run, upstream } => (
            LogEvent::RunStarted,
            json!({
                "age_ms": whole_ms(*age), "free_cpu_millis": free.cpu_millis, "home": home,
                "queued_ms": whole_ms(*queued), "run": run.run, "task": run.task, "upstream": upstream,
            }),
        ),
        RunNotice::Survived { how, run, upstream } => (
            LogEvent::RunSurvived,
            json!({ "how": how, "run": run.run, "task": run.task, "upstream": upstream }),
        ),
        RunNotice::Unknown { run, upstream } => (LogEvent::UnknownRun, run_details(run, upstream)),
    };
    emit(event, &details);
}

fn run_details(run: &RunId, upstream: &UpstreamId) -> Value {
    json!({ "run": run.run, "task": run.task, "upstream": upstream })
}
