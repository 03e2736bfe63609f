//! Carries out the dispatcher's actions.

use std::sync::Arc;

use hinge_dispatch::{Action, Event, Notice, TaskResult};
use hinge_wire::{Answer, Class, LogEvent, Sequence, SubmissionKey, TeamId};
use serde::Serialize;
use std::time::Duration;

use crate::peers;
use crate::shared::{Prepared, Shared};
use crate::upstreams;

#[derive(Serialize)]
struct SheddingDetails {
    class: Class,
}

impl Shared {
    pub(crate) fn carry_out(self: &Arc<Self>, prepared: Prepared) {
        match prepared {
            Prepared::Start(start) => {
                self.metrics.count("task_starts", 1);
                tokio::spawn(upstreams::run(self.clone(), start));
            }
            Prepared::Void(start) => {
                let shared = self.clone();
                tokio::spawn(async move {
                    let result = TaskResult::NotSent;
                    shared.report(Event::TaskEnded { result, run_time: Duration::ZERO, start: start.start });
                });
            }
            Prepared::Other(action) => self.carry_out_other(action),
        }
    }

    fn carry_out_other(self: &Arc<Self>, action: Action) {
        match action {
            Action::Answer { answer, class, definite, sequence, team } => {
                self.answered(&answer, class, definite, sequence, &team);
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
            Action::Shedding { class, started } => {
                let event = if started { LogEvent::SheddingStarted } else { LogEvent::SheddingEnded };
                hinge_obs::emit(event, &SheddingDetails { class });
            }
            Action::Stop { start, upstream } => {
                tokio::spawn(upstreams::stop(self.clone(), start, upstream));
            }
            Action::Start(_) => {}
        }
    }

    fn answered(
        self: &Arc<Self>,
        answer: &Answer,
        class: Class,
        definite: bool,
        sequence: Sequence,
        team: &TeamId,
    ) {
        self.wake_waiters(sequence);
        self.metrics.count(outcome_counter(answer), 1);
        self.metrics.record_response(class, team, Duration::from_millis(answer.total_ms));
        if definite {
            let (shared, key, outcome) = (self.clone(), self.key_of(sequence), answer.outcome);
            tokio::spawn(async move {
                if let Some(claims) = &shared.claims {
                    claims.finish(&key, outcome).await;
                }
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
    let result = match &shared.claims {
        Some(claims) => claims.claim(&key).await,
        None => Err(hinge_wire::ResultCode::ClaimRefused),
    };
    shared.report(Event::ClaimSettled { result, sequence });
}

fn log_health(notice: &Notice) {
    // Adjusted to the router's notices.
    let _ = notice;
}
