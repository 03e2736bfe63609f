//! Resident memory per unit of dispatcher, metrics and membership state.
//!
//! The two sizes of a row differ by a factor of four, so that hash tables, whose capacity doubles, have the same load
//! factor at both. All state is retained until the end, because the next measurement would reuse freed memory.

use std::any::Any;
use std::sync::Arc;
use std::time::Duration;

use hinge_obs::Metrics;
use hinge_wire::Class;
use tokio::time::Instant;

use crate::decisions::{dispatcher_with_queued_tasks, members_with_peers};
use crate::fixture::{DispatcherFixture, submission, team_name, unlimited_policy, upstreams};
use crate::slope::Row;
use crate::usage::resident_growth;

type RetainedState = Vec<Box<dyn Any>>;

/// Measures all rows, with sizes multiplied by `scale`.
#[must_use]
pub(crate) fn rows(scale: f64) -> Vec<Row> {
    let mut retained = RetainedState::new();
    let mut row = |name: &str, size_unit, sizes: [usize; 2], build: &dyn Fn(usize) -> Box<dyn Any>| {
        let points = sizes
            .iter()
            .map(|size| {
                let size = ((*size as f64 * scale) as usize).max(4);
                (size as f64, resident_growth(&mut retained, || build(size)))
            })
            .collect();
        Row::new(name, size_unit, "bytes", points)
    };
    vec![
        row(
            "memory: finished submission of one task, 100-byte result",
            "record",
            [50_000, 200_000],
            &finished_submissions,
        ),
        row("memory: finished job of 110 tasks, 100-byte results", "job", [500, 2000], &finished_jobs),
        row(
            "memory: running job of 110 tasks, 100-byte payloads, with its queued tasks",
            "queued task",
            [55_000, 220_000],
            &queued_tasks,
        ),
        row("memory: issued key, unused", "key", [1_000_000, 4_000_000], &issued_keys),
        row("memory: team with a queued request (queues, quota)", "team", [4000, 16_000], &queued_teams),
        row("memory: response time histograms", "team", [200, 800], &team_histograms),
        row("memory: upstream in the router", "upstream", [1800, 7200], &routed_upstreams),
        row("memory: peer in the membership", "peer", [8000, 32_000], &peers),
    ]
}

fn finished_submissions(count: usize) -> Box<dyn Any> {
    let mut fixture = DispatcherFixture::new(&unlimited_policy(), &upstreams(8));
    for index in 0..count {
        fixture.submit_and_complete(Arc::new(submission(1, index % 680)));
    }
    Box::new(fixture)
}

fn finished_jobs(count: usize) -> Box<dyn Any> {
    let mut fixture = DispatcherFixture::new(&unlimited_policy(), &upstreams(8));
    for index in 0..count {
        fixture.submit_and_complete(Arc::new(submission(110, index % 680)));
    }
    Box::new(fixture)
}

fn queued_tasks(count: usize) -> Box<dyn Any> {
    Box::new(dispatcher_with_queued_tasks(count, 680))
}

fn issued_keys(count: usize) -> Box<dyn Any> {
    let mut fixture = DispatcherFixture::new(&unlimited_policy(), &upstreams(1));
    for _ in 0..count.div_ceil(1000) {
        drop(fixture.dispatcher.issue_keys(fixture.now, 1000));
    }
    Box::new(fixture)
}

fn queued_teams(count: usize) -> Box<dyn Any> {
    let mut fixture = DispatcherFixture::new(&unlimited_policy(), &upstreams(1));
    for team in 0..count {
        fixture.submit(Arc::new(submission(1, team)));
    }
    Box::new(fixture)
}

fn team_histograms(count: usize) -> Box<dyn Any> {
    let metrics = Metrics::disabled();
    for team in 0..count {
        metrics.record_response(Class::Urgent, &team_name(team).into(), Duration::from_millis(100));
    }
    Box::new(metrics)
}

fn routed_upstreams(count: usize) -> Box<dyn Any> {
    Box::new(DispatcherFixture::new(&unlimited_policy(), &upstreams(count)))
}

fn peers(count: usize) -> Box<dyn Any> {
    Box::new(members_with_peers(count, Instant::now()))
}
