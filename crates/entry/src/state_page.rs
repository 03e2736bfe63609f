//! State of an instance as a JSON document for operators.

use std::sync::Arc;

use hinge_obs::Series;
use hinge_wire::MemberInfo;
use serde::Serialize;

use crate::operators::known_members;
use crate::shared::Shared;

/// Response body of `GET /state`.
#[derive(Serialize)]
pub(crate) struct StatePage {
    config_revision: u64,
    data_centre: String,
    in_progress: usize,
    incarnation: String,
    instance: String,
    members: Vec<MemberInfo>,
    metrics: Vec<Metric>,
    queued_tasks: usize,
    responses: Vec<ResponseTimes>,
    running_tasks: usize,
    state: String,
    totals: Totals,
    unready_reason: Option<&'static str>,
    waited_submissions: usize,
}

#[derive(Serialize)]
struct Metric {
    name: &'static str,
    value: u64,
}

#[derive(Serialize)]
struct ResponseTimes {
    count: u64,
    max_ms: u64,
    p50_ms: u64,
    p99_ms: u64,
    p999_ms: u64,
    series: String,
}

#[derive(Serialize)]
struct Totals {
    busy_refusals: u64,
    empty_loans: u64,
    late_ends: u64,
    loan_requests: u64,
    not_sent: u64,
    retries: u64,
    starts: u64,
    wasted_messages: u64,
}

pub(crate) fn build(shared: &Arc<Shared>) -> StatePage {
    let (in_progress, queued_tasks, running_tasks, totals) = shared.with_dispatcher(|dispatcher, _| {
        (dispatcher.in_progress(), dispatcher.queued(), dispatcher.running(), totals(dispatcher.totals()))
    });
    StatePage {
        config_revision: shared.config.resolved().revision,
        data_centre: shared.settings.data_centre.to_string(),
        in_progress,
        incarnation: format!("{:016x}", shared.incarnation),
        instance: shared.settings.instance.to_string(),
        members: known_members(shared),
        metrics: shared.metrics.values().into_iter().map(|(name, value)| Metric { name, value }).collect(),
        queued_tasks,
        responses: responses(shared),
        running_tasks,
        state: shared.lifecycle_state().to_string(),
        totals,
        unready_reason: shared.unready_reason(),
        waited_submissions: shared.waiters.len(),
    }
}

fn totals(totals: &hinge_dispatch::Totals) -> Totals {
    Totals {
        busy_refusals: totals.busy_refusals,
        empty_loans: totals.empty_loans,
        late_ends: totals.late_ends,
        loan_requests: totals.loan_requests,
        not_sent: totals.not_sent,
        retries: totals.retries,
        starts: totals.starts,
        wasted_messages: totals.wasted_messages(),
    }
}

fn responses(shared: &Shared) -> Vec<ResponseTimes> {
    let name = |series: &Series| match series {
        Series::Class(class) => format!("class {class}"),
        Series::Team(team) => format!("team {team}"),
        Series::OtherTeams => "other teams".to_owned(),
    };
    shared
        .metrics
        .responses()
        .into_iter()
        .map(|summary| ResponseTimes {
            count: summary.count,
            max_ms: summary.max_ms,
            p50_ms: summary.p50_ms,
            p99_ms: summary.p99_ms,
            p999_ms: summary.p999_ms,
            series: name(&summary.series),
        })
        .collect()
}
