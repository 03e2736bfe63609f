//! Crowds of clients with large payloads and results, against a real `hinge-entry` with lowered limits.
//!
//! Each test checks the same as those of `crowds.rs`. Here the submissions are whole: what fills the memory are payloads that wait
//! for an upstream, results that are kept, and answers that nobody reads. Only one test runs at a time.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod support;

use std::time::Duration;

use celeryhinge::wire::{Class, ForwardRequest, Submission, to_json, to_msgpack};
use hinge_fakes::{Crowd, CrowdRequest, Shape, status_of};
use support::crowd::{BODY_BYTES, CROWD, MANY_DESCRIPTORS, Test, request};
use support::requests::{keyed, keys, send};
use support::{Cluster, payload, submission};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Size of a payload; its submission fits in a body of the crowd.
const PAYLOAD_BYTES: usize = BODY_BYTES - 1_024;
/// Run time of the crowd's tasks. The payloads come faster than the eight slots of the upstream work them off.
const RUN_MS: u64 = 50;
/// Number of crowds that come one after the other, and of clients in each of them.
const WAVES: usize = 12;
const WAVE: usize = 100;
/// Time after which a wave leaves.
const WAVE_TIME: Duration = Duration::from_millis(300);
/// Number of clients that send several submissions each, and of their submissions.
const PIPELINING_CLIENTS: usize = 100;
const PIPELINED: usize = 4;
/// Size of an answer that is fetched by a whole crowd.
const ANSWER_BYTES: usize = 1_000_000;
/// Number of requests for it on each connection.
const FETCHES: usize = 4;
/// Largest legal size of a body, by the defaults.
const LARGEST_BODY_BYTES: usize = 4 << 20;
/// Time that a client takes for its bytes at an entry that does not read.
const CLIENT_LIMIT: Duration = Duration::from_secs(3);
/// Bytes that clients send before the entry is stopped.
const START_BYTES: usize = 1_024;
/// Time within which a single request is answered; only a failing test waits so long.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);

/// A payload of `size` bytes with a small result.
fn large_payload(size: usize, result: &str) -> String {
    let mut payload = payload(RUN_MS, result);
    payload.extend(std::iter::repeat_n(' ', size - payload.len()));
    payload
}

/// A payload of `size` bytes that is returned as the result.
fn echoed_payload(size: usize) -> String {
    "x".repeat(size)
}

fn submit(submission: &Submission) -> CrowdRequest {
    request("/v1/submissions", to_json(submission).unwrap())
}

fn submit_payload(payload: String) -> CrowdRequest {
    submit(&submission(Class::Batch, &[payload]))
}

/// Sends the request in waves of clients that leave without reading.
async fn waves(test: &Test, request: &CrowdRequest) -> Crowd {
    let address = test.cluster.entries[0].address();
    for _ in 1..WAVES {
        let crowd = Crowd::open(address, WAVE, Shape::Whole, |_| request.clone()).await;
        sleep(WAVE_TIME).await;
        drop(crowd);
    }
    Crowd::open(address, WAVE, Shape::Whole, |_| request.clone()).await
}

/// Guards against payloads that are not counted while their submissions wait for an upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_payloads_stay_within_the_limits() {
    let test = Test::start().await;
    let request = submit_payload(large_payload(PAYLOAD_BYTES, "crowd"));
    let address = test.cluster.entries[0].address();
    let crowd = Crowd::open(address, CROWD, Shape::Whole, |_| request.clone()).await;
    test.check(crowd).await;
}

/// Guards against payloads that are counted only until their callers leave.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_payloads_of_callers_that_leave_stay_within_the_limits() {
    let test = Test::start().await;
    let crowd = waves(&test, &submit_payload(large_payload(PAYLOAD_BYTES, "crowd"))).await;
    test.check(crowd).await;
}

/// Guards against results that are not counted until their callers read them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_results_that_are_not_read_stay_within_the_limits() {
    let test = Test::start().await;
    let request = submit_payload(echoed_payload(PAYLOAD_BYTES));
    let address = test.cluster.entries[0].address();
    let crowd = Crowd::open(address, CROWD, Shape::Whole, |_| request.clone()).await;
    test.check(crowd).await;
}

/// Guards against results that are kept for callers which have left, beyond what is granted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_results_of_callers_that_leave_stay_within_the_limits() {
    let test = Test::start().await;
    let crowd = waves(&test, &submit_payload(echoed_payload(PAYLOAD_BYTES))).await;
    test.check(crowd).await;
}

/// Guards against several whole submissions on each connection whose answers are not read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_submissions_stay_within_the_limits() {
    let test = Test::start().await;
    let request = submit_payload(echoed_payload(PAYLOAD_BYTES));
    let requests = vec![request.start(usize::MAX); PIPELINED];
    let address = test.cluster.entries[0].address();
    let crowd = Crowd::send(address, PIPELINING_CLIENTS, |_| requests.clone()).await;
    test.check(crowd).await;
}

/// Guards against copies of one large answer that many clients fetch and do not read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_answer_that_many_fetch_stays_within_the_limits() {
    let test = Test::start().await;
    let address = test.cluster.entries[0].address();
    let key = keys(&test.cluster.entries[0], 1).remove(0);
    let reply = send(address, &keyed(&key, Class::Urgent, &[echoed_payload(ANSWER_BYTES)]));
    assert_eq!(reply.results.len(), 1);
    let fetch = format!("GET /v1/submissions/{key} HTTP/1.1\r\nhost: entry\r\n\r\n").into_bytes();
    let crowd = Crowd::send(address, CROWD, |_| vec![fetch.clone(); FETCHES]).await;
    test.check(crowd).await;
}

/// Guards against payloads at the port for peers, whose senders leave.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_payloads_of_peers_that_leave_stay_within_the_limits() {
    let test = Test::start().await;
    let keys = keys(&test.cluster.entries[0], 1_000);
    let address = test.cluster.entries[0].peer_address();
    let target = keys[0].split('.').nth(2).and_then(|text| u64::from_str_radix(text, 16).ok()).unwrap();
    let payload = large_payload(PAYLOAD_BYTES, "crowd");
    let forward = |key: &str| {
        let submission = keyed(key, Class::Batch, std::slice::from_ref(&payload));
        let request = ForwardRequest { submission, target_incarnation: target, wait_ms: 60_000 };
        let body = to_msgpack(&request).unwrap();
        let length = body.len();
        let head = format!(
            "POST /peer/v1/forward HTTP/1.1\r\nhost: entry\r\nx-hinge-version: 1\r\ncontent-length: {length}\r\n\r\n"
        );
        [head.into_bytes(), body].concat()
    };
    let mut left = None;
    for wave in keys.chunks(WAVE) {
        drop(left.take());
        let crowd = Crowd::send(address, wave.len(), |client| vec![forward(&wave[client])]).await;
        sleep(WAVE_TIME).await;
        left = Some(crowd);
    }
    test.check(left.unwrap()).await;
}

/// Lets accepted connections of both ports receive bodies, but for their end, while the entry is stopped.
async fn stopped_test(address: impl Fn(&Test) -> std::net::SocketAddr) {
    let test = Test::start_granted(MANY_DESCRIPTORS, support::crowd::MEMORY_MB).await;
    let mut body = to_json(&submission(Class::Batch, &[payload(RUN_MS, "crowd")])).unwrap();
    body.resize(BODY_BYTES, b' ');
    let request = request("/v1/submissions", body);
    let start = |_| vec![request.start(START_BYTES)];
    let mut crowd = Crowd::send(address(&test), CROWD, start).await;
    test.settled().await;
    test.cluster.entries[0].signal("STOP");
    crowd.send_more(CLIENT_LIMIT, &vec![b' '; BODY_BYTES - START_BYTES]).await;
    test.cluster.entries[0].signal("CONT");
    test.check_with_unread(crowd).await;
}

/// Guards against callers' connections that receive more than is granted while the entry reads nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_a_stopped_entry_stay_within_the_limits() {
    stopped_test(|test| test.cluster.entries[0].address()).await;
}

/// Guards against the same at the port for peers and operators.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_of_a_stopped_entry_stay_within_the_limits() {
    stopped_test(|test| test.cluster.entries[0].peer_address()).await;
}

/// Guards against a refusal for want of memory of a submission that runs nevertheless.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_refused_never_runs() {
    let test = Test::start().await;
    let address = test.cluster.entries[0].address();
    let mut clients = JoinSet::new();
    for client in 0..CROWD {
        let marker = format!("client-{client}-");
        let request = submit_payload(marker.clone() + &echoed_payload(PAYLOAD_BYTES));
        clients.spawn(async move { (marker, timeout(ANSWER_LIMIT, status_of(address, &request)).await) });
    }
    let answers = clients.join_all().await;
    let started = test.cluster.started_payloads();
    let has_started = |marker: &str| started.iter().any(|payload| payload.starts_with(marker));
    for (marker, answer) in &answers {
        match answer {
            // 410: the results were not kept.
            Ok(Ok(200 | 410)) => assert!(has_started(marker), "{marker} was answered and has not run"),
            Ok(Ok(429 | 503)) => assert!(!has_started(marker), "{marker} was refused and has run"),
            // The connection was closed for another one.
            Ok(Err(_)) => {}
            other => panic!("{marker} {other:?}"),
        }
    }
    let no_crowd = Crowd::send(address, 0, |_| Vec::new()).await;
    test.check(no_crowd).await;
}

/// Guards against limits that keep a single request of the largest legal size from being served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_submission_of_the_largest_size_is_served() {
    let cluster = Cluster::start(1, 1);
    let mut body =
        to_json(&submission(Class::Urgent, &[large_payload(LARGEST_BODY_BYTES / 2, "one")])).unwrap();
    body.resize(LARGEST_BODY_BYTES, b' ');
    let request = request("/v1/submissions", body);
    let status = timeout(ANSWER_LIMIT, status_of(cluster.entries[0].address(), &request)).await;
    assert_eq!(status.unwrap().unwrap(), 200);
}
