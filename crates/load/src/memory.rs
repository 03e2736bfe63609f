//! Resident memory of large state.
//!
//! Sizes differ by a factor of four, so that hash tables, which double, are filled alike at each size. All state is kept
//! until the end, because freed memory would be used again by the next measurement.

use std::any::Any;
use std::sync::Arc;
use std::time::Duration;

use hinge_obs::Metrics;
use hinge_wire::Class;
use tokio::time::Instant;

use crate::decisions::{members, queued};
use crate::fixture::{Bench, roomy_policy, submission, team_name, upstreams};
use crate::slope::Row;
use crate::usage::growth;

type Kept = Vec<Box<dyn Any>>;

/// Measures all rows; `scale` multiplies the sizes.
#[must_use]
pub(crate) fn rows(scale: f64) -> Vec<Row> {
    let mut kept = Kept::new();
    let mut row = |name: &str, unit, sizes: [usize; 2], build: &dyn Fn(usize) -> Box<dyn Any>| {
        let points = sizes
            .iter()
            .map(|size| {
                let size = ((*size as f64 * scale) as usize).max(4);
                (size as f64, growth(&mut kept, || build(size)))
            })
            .collect();
        Row::new(name, unit, "bytes", points)
    };
    vec![
        row(
            "memory: finished submission of one task, 100-byte result",
            "record",
            [50_000, 200_000],
            &records,
        ),
        row("memory: finished job of 110 tasks, 100-byte results", "job", [500, 2000], &jobs),
        row(
            "memory: running job of 110 tasks, 100-byte payloads, with its queued tasks",
            "queued task",
            [55_000, 220_000],
            &queue,
        ),
        row("memory: issued key, unused", "key", [1_000_000, 4_000_000], &keys),
        row("memory: team with a queued request (queues, quota)", "team", [4000, 16_000], &teams),
        row("memory: response time histograms", "team", [200, 800], &histograms),
        row("memory: upstream in the router", "upstream", [1800, 7200], &router),
        row("memory: peer in the membership", "peer", [8000, 32_000], &membership),
    ]
}

fn records(count: usize) -> Box<dyn Any> {
    let mut bench = Bench::new(&roomy_policy(), &upstreams(8));
    for index in 0..count {
        bench.run(Arc::new(submission(1, index % 680)));
    }
    Box::new(bench)
}

fn jobs(count: usize) -> Box<dyn Any> {
    let mut bench = Bench::new(&roomy_policy(), &upstreams(8));
    for index in 0..count {
        bench.run(Arc::new(submission(110, index % 680)));
    }
    Box::new(bench)
}

fn queue(count: usize) -> Box<dyn Any> {
    Box::new(queued(count, 680))
}

fn keys(count: usize) -> Box<dyn Any> {
    let mut bench = Bench::new(&roomy_policy(), &upstreams(1));
    for _ in 0..count.div_ceil(1000) {
        drop(bench.dispatcher.issue_keys(bench.now, 1000));
    }
    Box::new(bench)
}

fn teams(count: usize) -> Box<dyn Any> {
    let mut bench = Bench::new(&roomy_policy(), &upstreams(1));
    for team in 0..count {
        bench.submit(Arc::new(submission(1, team)));
    }
    Box::new(bench)
}

fn histograms(count: usize) -> Box<dyn Any> {
    let metrics = Metrics::disabled();
    for team in 0..count {
        metrics.record_response(Class::Urgent, &team_name(team).into(), Duration::from_millis(100));
    }
    Box::new(metrics)
}

fn router(count: usize) -> Box<dyn Any> {
    Box::new(Bench::new(&roomy_policy(), &upstreams(count)))
}

fn membership(count: usize) -> Box<dyn Any> {
    Box::new(members(count, Instant::now()))
}
