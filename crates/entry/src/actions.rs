//! Executes the dispatcher's actions.

use std::sync::Arc;

use hinge_dispatch::{Action, Event, Notice, SheddingNotice, TaskResult};
use hinge_store::ClaimError;
use hinge_wire::{Answer, Class, LogEvent, ResultCode, Sequence, SubmissionKey, TeamId};
use serde::Serialize;
use std::time::Duration;

use crate::peers;
use crate::shared::{PreparedAction, Shared};
use crate::upstreams;

#[derive(Serialize)]
struct HealthDetails<'a> {
    cause: Option<String>,
    upstream: &'a str,
}

#[derive(Serialize)]
struct SheddingDetails {
    class: Class,
}

impl Shared {
    pub(crate) fn execute(self: &Arc<Self>, prepared: PreparedAction) {
        match prepared {
            PreparedAction::Start(start) => {
                self.metrics.count("task_starts", 1);
                tokio::spawn(upstreams::run_task(self.clone(), start));
            }
            PreparedAction::MissingSubmission(start) => {
                let shared = self.clone();
                tokio::spawn(async move {
                    let result = TaskResult::NotSent;
                    shared.handle_event(Event::TaskEnded {
                        result,
                        run_time: Duration::ZERO,
                        start: start.start,
                    });
                });
            }
            PreparedAction::Other(action) => self.execute_other(action),
        }
    }

    fn execute_other(self: &Arc<Self>, action: Action) {
        match action {
            Action::Answer { answer, class, definite, sequence, team } => {
                self.on_answer(&answer, class, definite, sequence, &team);
            }
            Action::Claim { key, sequence } => {
                tokio::spawn(claim(self.clone(), key, sequence));
            }
            Action::Drained => {
                self.drained.send_replace(true);
            }
            Action::Health(notice) => log_health(&notice),
            Action::RequestLoan { lender, request } => {
                tokio::spawn(peers::request_loan(self.clone(), lender, request));
            }
            Action::ReturnLoan { lender, request } => {
                tokio::spawn(peers::return_loan(self.clone(), lender, request));
            }
            Action::Shedding(notice) => log_shedding(notice),
            Action::Stop { start, upstream } => {
                tokio::spawn(upstreams::stop_task(self.clone(), start, upstream));
            }
            Action::Start(_) => {}
        }
    }

    fn on_answer(
        self: &Arc<Self>,
        answer: &Answer,
        class: Class,
        definite: bool,
        sequence: Sequence,
        team: &TeamId,
    ) {
        self.payloads.remove(sequence);
        self.waiters.wake(sequence);
        self.metrics.count(outcome_counter(answer), 1);
        self.metrics.record_response(class, team, Duration::from_millis(answer.total_ms));
        if definite {
            let code = ResultCode::from_number(answer.code).unwrap_or(ResultCode::Internal);
            let (shared, key) = (self.clone(), self.submission_key(sequence));
            tokio::spawn(async move {
                let _ = shared.claims.finish(&key, code).await;
            });
        }
    }
}

fn outcome_counter(answer: &Answer) -> &'static str {
    match answer.outcome {
        hinge_wire::Outcome::Complete => "answers_complete",
        hinge_wire::Outcome::FailedNotRun => "answers_failed_not_run",
        hinge_wire::Outcome::FailedRan => "answers_failed_ran",
        hinge_wire::Outcome::FailedMayHaveRun => "answers_failed_may_have_run",
    }
}

async fn claim(shared: Arc<Shared>, key: SubmissionKey, sequence: Sequence) {
    // The window is opened even if the rate limit then refuses the claim: without the window, it could not be proved
    // after the end of this process that no task has started.
    shared.claims.open_window(&key).await;
    let result = shared.claims.claim(&key).await.map_err(ClaimError::code);
    shared.handle_event(Event::ClaimCompleted { result, sequence });
}

fn log_shedding(notice: SheddingNotice) {
    let (event, class) = match notice {
        SheddingNotice::ShedStarted { class } => (LogEvent::SheddingStarted, class),
        SheddingNotice::ShedEnded { class } => (LogEvent::SheddingEnded, class),
    };
    hinge_obs::emit(event, &SheddingDetails { class });
}

fn log_health(notice: &Notice) {
    let (event, upstream, cause) = match notice {
        Notice::Capped { cause, upstream } => (LogEvent::EjectionCapped, upstream, Some(cause)),
        Notice::Ejected { cause, upstream, .. } => (LogEvent::UpstreamEjected, upstream, Some(cause)),
        Notice::Healthy { upstream } => (LogEvent::UpstreamHealthy, upstream, None),
        Notice::Leaving { upstream } => (LogEvent::UpstreamLeaving, upstream, None),
        Notice::Probation { upstream } => (LogEvent::UpstreamProbation, upstream, None),
    };
    let cause = cause.map(|cause| format!("{cause:?}"));
    hinge_obs::emit(event, &HealthDetails { cause, upstream });
}
