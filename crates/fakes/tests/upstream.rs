//! Slots, leases and faults of the stand-in upstream.

use std::time::Duration;

use hinge_fakes::{FakeUpstream, Shared, TaskCall, TaskEnd, UpstreamFaults, UpstreamOptions};
use tokio::time::{Instant, advance, timeout};

fn upstream(slots: usize) -> Shared<FakeUpstream> {
    let options = UpstreamOptions { max_starts: 3, slots, ..UpstreamOptions::default() };
    Shared::new(FakeUpstream::new(Instant::now(), options))
}

fn call(task_id: &str, payload: &str) -> TaskCall {
    TaskCall {
        lease: Duration::from_secs(1),
        payload: payload.to_owned(),
        service: "s".to_owned(),
        task_id: task_id.to_owned(),
    }
}

fn done(task_id: &str, result: &str) -> TaskEnd {
    TaskEnd::Done { task_id: task_id.to_owned(), result: result.to_owned(), truncated: false }
}

fn set_faults(upstream: &Shared<FakeUpstream>, faults: UpstreamFaults) {
    upstream.update(|upstream| upstream.set_faults(faults));
}

/// Guards against wrong run times and results, on which all other tests rely.
#[tokio::test(start_paused = true)]
async fn payload_sets_run_time_and_result() {
    let upstream = upstream(1);
    let start = Instant::now();
    assert_eq!(upstream.run(&call("1", "plain")).await, done("1", "plain"));
    assert_eq!(start.elapsed(), Duration::from_millis(50));
    assert_eq!(upstream.run(&call("2", r#"{"run_ms": 200, "result": "text"}"#)).await, done("2", "text"));
    assert_eq!(start.elapsed(), Duration::from_millis(250));
    assert_eq!(upstream.run(&call("3", r#"{"fail": true}"#)).await, TaskEnd::Failed);
    assert_eq!(upstream.run(&call("4", r#"{"run_ms": 5000}"#)).await, TaskEnd::LeaseExpired);
    assert_eq!(start.elapsed(), Duration::from_millis(1300));
}

/// Guards against a refusal of a task that was started, and against a slot that becomes free when the caller
/// disconnects although the task still runs.
#[tokio::test(start_paused = true)]
async fn task_is_not_started_without_a_free_slot() {
    let upstream = upstream(1);
    let request = call("1", r#"{"run_ms": 100}"#);
    assert!(timeout(Duration::from_millis(10), upstream.run(&request)).await.is_err(), "the caller gives up");
    assert_eq!(upstream.run(&call("2", "")).await, TaskEnd::Busy);
    set_faults(&upstream, UpstreamFaults { leave: true, ..UpstreamFaults::default() });
    assert_eq!(upstream.run(&call("3", "")).await, TaskEnd::Leaving);
    set_faults(&upstream, UpstreamFaults::default());
    advance(Duration::from_millis(90)).await;
    assert_eq!(upstream.run(&call("4", "x")).await, done("4", "x"));
    let starts = upstream.update(|upstream| upstream.starts(0));
    let ids: Vec<_> = starts.starts.iter().map(|start| start.task_id.as_str()).collect();
    assert_eq!((ids, starts.refused, starts.total), (vec!["1", "4"], 2, 2));
}

/// Guards against start records that grow without bound, and against a total that leaves out dropped records.
#[tokio::test(start_paused = true)]
async fn start_records_are_bounded() {
    let upstream = upstream(1);
    for task_id in ["1", "2", "3", "4", "5"] {
        upstream.run(&call(task_id, &"é".repeat(200))).await;
    }
    let reply = upstream.update(|upstream| upstream.starts(3));
    assert_eq!((reply.starts.len(), reply.starts[0].number, reply.total), (2, 4, 5));
    assert_eq!(upstream.update(|upstream| upstream.starts(0)).starts.len(), 3);
    assert!(reply.starts[0].payload.len() <= 256);
}

/// Guards against faults that affect later tasks as well, or that have the wrong effect.
#[tokio::test(start_paused = true)]
async fn faults_end_after_the_given_number_of_tasks() {
    let upstream = upstream(1);
    let once = UpstreamFaults { times: Some(1), ..UpstreamFaults::default() };
    upstream.run(&call("1", "a")).await;
    set_faults(&upstream, UpstreamFaults { crossed_answer: true, ..once });
    assert_eq!(upstream.run(&call("2", "b")).await, done("1", "b"));
    set_faults(&upstream, UpstreamFaults { die: true, ..once });
    assert_eq!(upstream.run(&call("3", "c")).await, TaskEnd::Disconnected);
    set_faults(&upstream, UpstreamFaults { slow_factor: Some(4.0), ..once });
    let start = Instant::now();
    assert_eq!(upstream.run(&call("4", "d")).await, done("4", "d"));
    assert_eq!(start.elapsed(), Duration::from_millis(200));
    set_faults(&upstream, UpstreamFaults { fail: true, ..once });
    assert_eq!(upstream.run(&call("5", "e")).await, TaskEnd::Failed);
    assert_eq!(start.elapsed(), Duration::from_millis(200), "fails fast");
    assert_eq!(upstream.run(&call("6", "f")).await, done("6", "f"));
}

/// Guards against a frozen task that is answered after its lease, or that occupies its slot for longer.
#[tokio::test(start_paused = true)]
async fn frozen_tasks_never_answer_and_free_their_slot() {
    let upstream = upstream(1);
    set_faults(&upstream, UpstreamFaults { freeze: true, times: Some(1), ..UpstreamFaults::default() });
    assert!(timeout(Duration::from_secs(3600), upstream.run(&call("1", "a"))).await.is_err());
    assert_eq!(upstream.run(&call("2", "b")).await, done("2", "b"));
}

/// Guards against a stop that leaves the task running or its slot occupied.
#[tokio::test(start_paused = true)]
async fn stop_ends_the_task() {
    let upstream = upstream(1);
    let running = tokio::spawn({
        let upstream = upstream.clone();
        async move { upstream.run(&call("1", r#"{"run_ms": 900}"#)).await }
    });
    advance(Duration::from_millis(10)).await;
    assert!(upstream.update(|upstream| upstream.stop(Instant::now(), "1")));
    assert_eq!(running.await.unwrap(), TaskEnd::Stopped);
    assert!(!upstream.update(|upstream| upstream.stop(Instant::now(), "1")));
    assert_eq!(upstream.run(&call("2", "x")).await, done("2", "x"));
}
