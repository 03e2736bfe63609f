//! Entries and an upstream for the tests of the node.

#![allow(dead_code, reason = "each test file uses a part")]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hinge_jobs::{JobRequest, QueuePolicy};
use hinge_mesh::Hello;
use hinge_node::{ClaimedHolder, Engine, EntryRecord, Input, SuspendClock};
use hinge_runs::{Holder, Resources, UpstreamRecord, whole_ms};
use tokio::time::Instant;

/// A clock that advances with the runtime's clock, and counts suspensions, which that clock does not.
#[derive(Clone)]
pub(crate) struct Clock {
    started_at: Instant,
    suspended_ms: Arc<AtomicU64>,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self { started_at: Instant::now(), suspended_ms: Arc::default() }
    }

    /// Suspends the process for a time, as its other clocks do not show.
    pub(crate) fn suspend(&self, time: Duration) {
        self.suspended_ms.fetch_add(whole_ms(time), Ordering::SeqCst);
    }
}

impl SuspendClock for Clock {
    fn elapsed(&self) -> Duration {
        self.started_at.elapsed() + Duration::from_millis(self.suspended_ms.load(Ordering::SeqCst))
    }
}

pub(crate) fn hello(number: u64) -> Hello {
    Hello {
        data_centre: "dc1".into(),
        incarnation: number,
        instance: format!("entry-{number}").into(),
        resumable: true,
        timestamps: true,
        cpu_millis: 0,
        dormancy: true,
    }
}

/// The claim of a holder number for longer than any test takes.
pub(crate) fn claimed(now: Instant, number: u64) -> Input {
    let until = now + Duration::from_secs(365 * 24 * 60 * 60);
    let holder = u16::try_from(number).ok().and_then(Holder::new);
    Input::Holder(holder.map(|holder| ClaimedHolder { holder, until }))
}

/// An engine whose process has claimed the holder number after `number`, which may be 0.
pub(crate) fn engine(now: Instant, local: Hello, number: u64) -> Engine {
    let mut engine = Engine::new(now, local, 1_000, number);
    engine.handle(now, claimed(now, number + 1));
    engine
}

/// The registration of the entry that [`hello`] names.
pub(crate) fn entry(number: u64) -> EntryRecord {
    EntryRecord {
        cpu_millis: 0,
        address: ([127, 0, 0, 1], 7_000).into(),
        data_centre: "dc1".into(),
        incarnation: number,
        instance: format!("entry-{number}").into(),
    }
}

pub(crate) fn upstream() -> UpstreamRecord {
    UpstreamRecord {
        address: "10.0.0.1:80".into(),
        capacity: Resources { cpu_millis: 16_000, gpus: 0, memory_mb: 32_768 },
        cold_left_ms: 0,
        data_centre: "dc1".into(),
        draining: false,
        id: "up-1".into(),
        incarnation: None,
        rack: "r1".into(),
        sequence: 1,
        service: "deicing".into(),
    }
}

/// A job of tasks that take `estimate`, with 10 s until its caller leaves.
pub(crate) fn request(estimate: Duration, tasks: u32) -> JobRequest {
    JobRequest {
        budget: Duration::from_secs(10),
        estimate,
        id: "job".into(),
        need: Resources { cpu_millis: 7_000, gpus: 0, memory_mb: 64 },
        queue: QueuePolicy {
            max_attempts: 3,
            name: "queue".into(),
            priority: 0,
            service: "deicing".into(),
            stretch: 1.6,
            target: Duration::from_secs(1),
            timeout: Duration::from_secs(10),
        },
        run: 1,
        spec: "spec".into(),
        task_prefix: "job.0.0".into(),
        tasks,
    }
}
