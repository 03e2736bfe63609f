//! Stopping of tasks, cancellations and draining.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::future::{pending, ready};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hinge_entry::{Entry, StopReport};
use hinge_wire::{Answer, CancelReply, Class, Submission, from_json, to_json};
use support::{
    Cluster, Response, assert_no_panics, exchange, http, keys, request_bytes, state, submission, submit,
    wait_for_state, wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Submits in the background; the result is `None` when the connection closes without a response.
fn spawn_submit(entry: &Entry, submission: &Submission) -> JoinHandle<Option<Response>> {
    let bytes = request_bytes("POST", "/v1/submissions", "", &to_json(submission).unwrap());
    let address = entry.address();
    tokio::spawn(async move { exchange(address, &bytes).await })
}

fn answer(response: &Response) -> Answer {
    from_json(&response.body).unwrap_or_else(|_| Answer {
        code: u16::MAX,
        key: String::new(),
        message: response.text(),
        outcome: hinge_wire::Outcome::Complete,
        queued_ms: 0,
        results: Vec::new(),
        total_ms: 0,
    })
}

/// Guards against tasks of a failed job that continue to occupy slots.
#[tokio::test]
async fn a_failed_job_stops_its_other_tasks_at_the_upstreams() {
    let cluster = Cluster::start(2, 2).await;
    let entry = cluster.entry(|_| {}).await;
    let mut job = submission(Class::Batch, 6, 60_000);
    job.tasks[1].payload = r#"{"run_ms":300,"fail":true}"#.into();
    let response = submit(&entry, &job).await;
    let answer = answer(&response);
    assert_eq!((answer.code, answer.results.len()), (170, 0), "{}", response.text());
    wait_until("free slots", || cluster.running() == 0).await;
    assert!(cluster.starts() <= 4);
    // The freed slots are available to other tasks at once.
    assert_eq!(submit(&entry, &submission(Class::Batch, 4, 1)).await.status, 200);
}

/// Guards against tasks of a cancelled job that continue to run or start afterwards.
#[tokio::test]
async fn a_cancelled_job_stops_at_the_upstreams() {
    let cluster = Cluster::start(2, 2).await;
    let entry = cluster.entry(|_| {}).await;
    let mut job = submission(Class::Batch, 10, 60_000);
    job.key = keys(&entry, 1).await.pop();
    let caller = spawn_submit(&entry, &job);
    wait_until("four starts", || cluster.running() == 4).await;
    let path = format!("/v1/submissions/{}", job.key.unwrap());
    let reply: CancelReply = from_json(&http(entry.address(), "DELETE", &path, b"").await.body).unwrap();
    assert_eq!(reply.cancelled, 1);
    assert_eq!(answer(&caller.await.unwrap().unwrap()).code, 161);
    wait_until("free slots", || cluster.running() == 0).await;
    assert_eq!(cluster.starts(), 4);
    let state = state(&entry).await;
    assert_eq!((state["queued_tasks"].as_u64(), state["in_progress"].as_u64()), (Some(0), Some(0)));
    assert_eq!(submit(&entry, &submission(Class::Batch, 4, 1)).await.status, 200);
}

/// Guards against queued tasks, occupied slots or submissions in progress that remain after a burst of cancellations.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cancelling_10_000_submissions_frees_all_slots() {
    let cluster = Cluster::start(2, 4).await;
    let entry = Arc::new(cluster.entry(|_| {}).await);
    support::change_config(&entry, 0, r#"{"action":"set_default","setting":"quotas_enabled","value":false}"#)
        .await;
    let mut all = Vec::new();
    for _ in 0..10 {
        all.extend(keys(&entry, 1000).await);
    }
    let callers: Vec<_> = all.chunks(1250).map(|keys| submit_all(&entry, keys.to_vec())).collect();
    let mut accepted = 0;
    for caller in callers {
        accepted += caller.await.unwrap();
    }
    let mut cancelled = 0;
    for keys in all.chunks(1000) {
        let body = serde_json::json!({ "keys": keys }).to_string();
        let response = http(entry.address(), "POST", "/v1/cancellations", body.as_bytes()).await;
        let reply: CancelReply = from_json(&response.body).unwrap();
        assert_eq!(reply.cancelled + reply.ignored, 1000);
        cancelled += reply.cancelled;
    }
    assert_eq!((accepted, cancelled), (10_000, 10_000));
    wait_until("free slots", || cluster.running() == 0).await;
    wait_for_state(&entry, "nothing held", |state| {
        state["queued_tasks"] == 0 && state["in_progress"] == 0 && state["running_tasks"] == 0
    })
    .await;
    assert_eq!(submit(&entry, &submission(Class::Batch, 8, 1)).await.status, 200);
    assert_no_panics();
}

/// Submits a long task for each key over one connection, without waiting for answers; returns the number accepted.
fn submit_all(entry: &Arc<Entry>, keys: Vec<String>) -> JoinHandle<u32> {
    let address = entry.address();
    tokio::spawn(async move {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let mut accepted = 0;
        for key in keys {
            let mut body = submission(Class::Batch, 1, 60_000);
            (body.key, body.wait_ms) = (Some(key), Some(0));
            // A short declared run time keeps the estimated wait for ten thousand tasks below their deadline.
            body.tasks[0].run_time_ms = Some(1);
            let body = to_json(&body).unwrap();
            let head =
                format!("POST /v1/submissions HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n", body.len());
            stream.write_all(&[head.as_bytes(), &body].concat()).await.unwrap();
            let mut buffer = [0; 4096];
            let count = stream.read(&mut buffer).await.unwrap();
            accepted += u32::from(buffer[..count].starts_with(b"HTTP/1.1 202"));
        }
        accepted
    })
}

/// Guards against losing queued tasks in a drain because the draining entry no longer leads any upstream.
#[tokio::test]
async fn an_entry_that_drains_alone_finishes_its_queue() {
    let cluster = Cluster::start(1, 1).await;
    let entry = cluster.entry(|_| {}).await;
    let caller = spawn_submit(&entry, &submission(Class::Batch, 6, 100));
    wait_until("the first start", || cluster.starts() > 0).await;
    let report = entry.drain(pending()).await;
    assert_eq!(report, StopReport { lost_submissions: 0, lost_tasks: 0 });
    assert_eq!(answer(&caller.await.unwrap().unwrap()).results.len(), 6);
}

/// Guards against losing queued tasks in a drain because another entry takes over leadership of the upstreams.
#[tokio::test]
async fn an_entry_that_drains_beside_others_finishes_its_queue() {
    let cluster = Cluster::start(2, 1).await;
    let entry = cluster.entry(|_| {}).await;
    let other = cluster.start_peer(&entry).await;
    let caller = spawn_submit(&entry, &submission(Class::Batch, 12, 100));
    wait_until("the first start", || cluster.starts() > 0).await;
    let report = entry.drain(pending()).await;
    assert_eq!(report, StopReport { lost_submissions: 0, lost_tasks: 0 });
    assert_eq!(answer(&caller.await.unwrap().unwrap()).results.len(), 12);
    assert!(other.is_ready());
}

/// Guards against a draining entry that refuses connections of callers that fetch answers, issues keys or accepts new
/// submissions, and against connections that stay open after the drain.
#[tokio::test]
async fn answers_can_be_fetched_while_the_entry_drains() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|flags| flags.drain_linger_ms = Some("1500".into())).await;
    let (address, peers) = (entry.address(), entry.peer_address());
    let mut issued = keys(&entry, 2).await;
    let (mut known, mut unknown) = (submission(Class::Booking, 1, 300), submission(Class::Booking, 1, 1));
    (known.key, unknown.key) = (issued.pop(), issued.pop());
    let caller = spawn_submit(&entry, &known);
    wait_until("the start", || cluster.starts() == 1).await;
    let mut idle = TcpStream::connect(address).await.unwrap();
    let draining = tokio::spawn(entry.drain(pending()));
    let post = |path: &'static str, body: Vec<u8>| async move { http(address, "POST", path, &body).await };
    wait_ready_status(address, 503).await;
    let unkeyed = to_json(&submission(Class::Booking, 1, 1)).unwrap();
    for (path, body) in [
        ("/v1/keys", br#"{"count":1}"#.to_vec()),
        ("/v1/submissions", unkeyed),
        ("/v1/submissions", to_json(&unknown).unwrap()),
    ] {
        let response = post(path, body).await;
        assert!(response.text().contains(r#""code":143"#), "{path}: {}", response.text());
    }
    assert_eq!(answer(&caller.await.unwrap().unwrap()).code, 0);
    // Resubmitting a known key and looking it up return the answer on new connections.
    assert_eq!(answer(&post("/v1/submissions", to_json(&known).unwrap()).await).results, ["done"]);
    let path = format!("/v1/submissions/{}", known.key.unwrap());
    assert_eq!(http(address, "GET", &path, b"").await.status, 200);
    assert_eq!(http(peers, "GET", "/admin/v1/config", b"").await.status, 200);
    assert_eq!(draining.await.unwrap(), StopReport { lost_submissions: 0, lost_tasks: 0 });
    assert_eq!(idle.read(&mut [0; 16]).await.unwrap_or(0), 0);
    assert!(TcpStream::connect(address).await.is_err());
    assert_eq!(cluster.starts(), 1);
}

async fn wait_ready_status(address: std::net::SocketAddr, status: u16) {
    for _ in 0..1000 {
        if http(address, "GET", "/readyz", b"").await.status == status {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(http(address, "GET", "/readyz", b"").await.status, status);
}

/// Guards against an aborted drain that still waits for tasks or callers, and against lost work that is not reported.
#[tokio::test]
async fn a_second_signal_ends_the_drain_at_once() {
    let cluster = Cluster::start(1, 1).await;
    let entry = cluster.entry(|_| {}).await;
    let address = entry.address();
    let caller = spawn_submit(&entry, &submission(Class::Batch, 3, 60_000));
    wait_until("the first start", || cluster.starts() > 0).await;
    let begun = tokio::time::Instant::now();
    let report = entry.drain(ready(())).await;
    assert_eq!(report, StopReport { lost_submissions: 1, lost_tasks: 1 });
    // The entry closes the caller's connection without waiting for the task, which runs for a minute.
    assert!(caller.await.unwrap().is_none());
    assert!(TcpStream::connect(address).await.is_err());
    assert!(begun.elapsed() < Duration::from_secs(30));
}

/// Guards against a task that keeps running because the request to stop it arrived before the one to start it and was
/// not repeated.
#[tokio::test]
async fn a_stop_request_is_repeated_until_confirmed() {
    let cluster = Cluster::start(0, 1).await;
    let listener = support::listener().await;
    let address = listener.local_addr().unwrap();
    let stops = Arc::new(AtomicU32::new(0));
    let received = stops.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let received = received.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 8192];
                // Start requests get no response. Stop requests do; the first two are answered as unknown.
                while let Ok(count @ 1..) = stream.read(&mut buffer).await {
                    if buffer[..count].starts_with(b"DELETE ") {
                        let is_known = received.fetch_add(1, Ordering::Relaxed) >= 2;
                        let status = if is_known { "200 OK" } else { "404 Not Found" };
                        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
                        stream.write_all(answer.as_bytes()).await.unwrap();
                    }
                }
            });
        }
    });
    cluster.publish(vec![support::list_entry("slow", address, 1)]);
    let entry = cluster.entry(|_| {}).await;
    let mut job = submission(Class::Batch, 1, 60_000);
    job.key = keys(&entry, 1).await.pop();
    let caller = spawn_submit(&entry, &job);
    wait_for_state(&entry, "a running task", |state| state["running_tasks"] == 1).await;
    http(entry.address(), "DELETE", &format!("/v1/submissions/{}", job.key.unwrap()), b"").await;
    assert_eq!(answer(&caller.await.unwrap().unwrap()).code, 161);
    wait_until("three stops", || stops.load(Ordering::Relaxed) == 3).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(stops.load(Ordering::Relaxed), 3);
}

/// Guards against cancellations through another entry that do not reach the owner or are counted twice.
#[tokio::test]
async fn cancellations_through_another_entry_stop_the_owners_tasks() {
    let cluster = Cluster::start(1, 4).await;
    let owner = cluster.entry(|_| {}).await;
    let other = cluster.start_peer(&owner).await;
    let issued = keys(&owner, 4).await;
    let mut callers = Vec::new();
    for key in &issued[..3] {
        let mut job = submission(Class::Batch, 2, 60_000);
        job.key = Some(key.clone());
        callers.push(spawn_submit(&owner, &job));
    }
    wait_for_state(&owner, "three jobs", |state| state["in_progress"] == 3).await;
    let unknown = "dc9.entry-9.00000000000000aa.1".to_owned();
    let listed = [issued, vec![unknown]].concat();
    let body = serde_json::json!({ "keys": listed }).to_string();
    let response = http(other.address(), "POST", "/v1/cancellations", body.as_bytes()).await;
    let reply: CancelReply = from_json(&response.body).unwrap();
    assert_eq!((reply.cancelled, reply.ignored), (3, 2));
    for caller in callers {
        assert!([160, 161].contains(&answer(&caller.await.unwrap().unwrap()).code));
    }
    wait_until("free slots", || cluster.running() == 0).await;
}
