//! Jobs whose caller has disconnected before the node has handled them.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hinge_budget::{Budget, Grant};
use hinge_jobs::{JobRequest, QueuePolicy};
use hinge_node::{Input, Node, NodeHandle, NodeMetrics, NodeSettings, UpstreamPort};
use hinge_runs::{Hold, HoldReply, Listing, Resources, StartOrder, StartReply, StopOrder};
use support::{Clock, claimed, hello, upstream};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Time in which the upstream is taken over.
const TAKEOVER: Duration = Duration::from_secs(1);

/// Bytes that a job counts.
const JOB_BYTES: usize = 10_000;

/// An upstream that counts start and stop orders and lists no runs.
#[derive(Clone, Default)]
struct CountingPort {
    starts: Arc<AtomicU64>,
    stops: Arc<AtomicU64>,
}

impl UpstreamPort for CountingPort {
    async fn hold(&self, hold: &Hold) -> HoldReply {
        sleep(hold.wait).await;
        HoldReply::Listed(Listing { clock_ms: 1, ..Listing::default() })
    }

    async fn start(&self, _: &StartOrder) -> StartReply {
        self.starts.fetch_add(1, Ordering::SeqCst);
        StartReply::Started { clock_ms: 1 }
    }

    async fn stop(&self, _: &StopOrder) {
        self.stops.fetch_add(1, Ordering::SeqCst);
    }
}

fn request() -> JobRequest {
    JobRequest {
        budget: Duration::from_secs(2),
        estimate: Duration::from_millis(60),
        id: "job".into(),
        need: Resources { cpu_millis: 7_000, gpus: 0, memory_mb: 64 },
        queue: QueuePolicy {
            max_attempts: 2,
            name: "queue".into(),
            priority: 0,
            service: "deicing".into(),
            stretch: 60.0,
            target: Duration::from_millis(60),
            timeout: Duration::from_millis(1_500),
        },
        run: 1,
        spec: "spec".into(),
        task_prefix: "job.0.0".into(),
        tasks: 1,
    }
}

async fn start_node(port: CountingPort) -> NodeHandle {
    let local = hello(1);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = NodeSettings { local, seed: 1, started_unix_ms: 1_767_000_000_000 };
    let metrics = NodeMetrics::new().unwrap();
    let (node, handle) = Node::new(settings, listener, port, Clock::new(), metrics);
    tokio::spawn(node.run());
    handle.send_input(claimed(Instant::now(), 1)).await;
    handle.send_input(Input::Entries(Vec::new())).await;
    handle.send_input(Input::Upstreams(vec![upstream()])).await;
    sleep(TAKEOVER).await;
    handle
}

/// Guards against a start of a job that has waited in the queue of inputs until its caller left: the caller may have sent it
/// again, and the task would run there and here at the same time until it is stopped.
#[tokio::test(start_paused = true)]
async fn a_job_abandoned_before_it_was_handled_starts_nothing() {
    let port = CountingPort::default();
    let handle = start_node(port.clone()).await;
    drop(handle.submit(request()));
    sleep(TAKEOVER).await;
    assert_eq!(port.starts.load(Ordering::SeqCst), 0);
    let _waiting = handle.submit(request());
    sleep(TAKEOVER).await;
    assert!(port.starts.load(Ordering::SeqCst) > 0, "a job with a caller starts");
}

/// Guards against a run that goes on after its caller has left while the queue of inputs was full: the caller sends the job
/// again 1.3 s later.
#[tokio::test(start_paused = true)]
async fn a_job_is_abandoned_although_the_queue_of_inputs_is_full() {
    let port = CountingPort::default();
    let handle = start_node(port.clone()).await;
    let abandoned = handle.submit(request());
    sleep(Duration::from_millis(5)).await;
    assert_eq!(port.starts.load(Ordering::SeqCst), 1);
    let others: Vec<_> = std::iter::from_fn(|| handle.submit(request())).collect();
    drop(abandoned);
    drop(others);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(port.stops.load(Ordering::SeqCst), 1);
}

/// Guards against jobs that are not counted while they are queued after their callers have left, and against a count that
/// outlasts them.
#[tokio::test(start_paused = true)]
async fn a_queued_job_is_counted_until_it_was_handled() {
    let handle = start_node(CountingPort::default()).await;
    let budget = Budget::new(Grant { max_descriptors: 1_000, memory_mb: 1 });
    drop(handle.submit_held(request(), budget.hold(JOB_BYTES).unwrap()));
    assert_eq!(budget.usage().held_bytes, JOB_BYTES);
    let waiting = handle.submit_held(request(), budget.hold(JOB_BYTES).unwrap());
    sleep(Duration::from_millis(50)).await;
    assert_eq!(budget.usage().held_bytes, JOB_BYTES, "only the job whose caller waits");
    drop(waiting);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(budget.usage().held_bytes, 0);
}
