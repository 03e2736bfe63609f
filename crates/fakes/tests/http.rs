//! HTTP endpoints of the stand-ins over loopback, and the binary. No test checks elapsed time.

use std::io::{self, BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use hinge_fakes::{
    FakeList, FakeStore, FakeUpstream, Handler, Platform, ServerHandle, Shared, StoreCaps, StoreCounts,
    UpstreamOptions, serve,
};
use hinge_wire::{InstanceList, LeaseReply, StoreValue, from_json};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// A response with its body; an error means that the connection was closed or the body truncated.
type Reply = Result<Response<String>, Box<dyn std::error::Error + Send + Sync>>;

async fn start<H: Handler>(state: H) -> io::Result<ServerHandle> {
    serve(TcpListener::bind("127.0.0.1:0").await?, state)
}

async fn send(server: &ServerHandle, method: Method, path: &str, body: &str) -> Reply {
    let uri = format!("http://{}{path}", server.address());
    let request = Request::builder().method(method).uri(uri).header("x-task-id", task_id_for(body));
    let client = Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http();
    let response = client.request(request.body(Full::new(Bytes::from(body.to_owned())))?).await?;
    let (parts, body) = response.into_parts();
    let body = String::from_utf8(body.collect().await?.to_bytes().to_vec())?;
    Ok(Response::from_parts(parts, body))
}

/// Task id of a request: a short body itself, so that tests can choose the id through the payload.
fn task_id_for(body: &str) -> &str {
    if body.len() < 20 { body } else { "0.0" }
}

fn platform() -> Platform {
    let list = Shared::new(FakeList::new(Duration::ZERO));
    Platform { list, store: Shared::new(FakeStore::new(StoreCaps::default())) }
}

/// Guards against statuses and bodies that differ from the protocol of the platform's store.
#[tokio::test]
async fn store_endpoints_follow_the_protocol() {
    let server = start(platform()).await.unwrap();
    let put = r#"{"value": "one", "expect_revision": 0, "lease": 0}"#;
    let written = send(&server, Method::PUT, "/kv/config/current", put).await.unwrap();
    assert_eq!(written.status(), StatusCode::OK);
    let conflict = send(&server, Method::PUT, "/kv/config%2Fcurrent", put).await.unwrap();
    assert_eq!((conflict.status(), conflict.body()), (StatusCode::CONFLICT, written.body()));
    let watched =
        send(&server, Method::GET, "/watch/config/current?after=0&wait_ms=60000", "").await.unwrap();
    assert_eq!(from_json::<StoreValue>(watched.body().as_bytes()).unwrap().value, "one");
    let unchanged = send(&server, Method::GET, "/watch/config/current?after=1&wait_ms=1", "").await.unwrap();
    assert_eq!((unchanged.status(), unchanged.body().as_str()), (StatusCode::NO_CONTENT, ""));
    let granted = send(&server, Method::POST, "/leases", r#"{"ttl_ms": 60000}"#).await.unwrap();
    let lease = from_json::<LeaseReply>(granted.body().as_bytes()).unwrap().lease;
    let renewed = send(&server, Method::POST, &format!("/leases/{lease}/renew"), "").await.unwrap();
    assert_eq!(renewed.status(), StatusCode::OK);
    let unknown = send(&server, Method::POST, "/leases/99/renew", "").await.unwrap();
    assert_eq!(unknown.status(), StatusCode::NOT_FOUND);
    let large = format!(r#"{{"value": "{}", "expect_revision": 0, "lease": 0}}"#, "x".repeat(2 << 20));
    let large = send(&server, Method::PUT, "/kv/large", &large).await.unwrap();
    assert_eq!(large.status(), StatusCode::PAYLOAD_TOO_LARGE);
    let malformed = send(&server, Method::PUT, "/kv/a", "{").await.unwrap();
    assert_eq!(malformed.status(), StatusCode::BAD_REQUEST);
    server.shutdown().await;
}

/// Guards against a lost answer that is sent as an error response, and against an outage that is not reported as 503.
#[tokio::test]
async fn store_faults_show_over_http() {
    let server = start(platform()).await.unwrap();
    let lose = r#"{"set": "lose_answer", "times": 1}"#;
    send(&server, Method::POST, "/control", lose).await.unwrap();
    let put = r#"{"value": "one", "expect_revision": 0, "lease": 0}"#;
    assert!(send(&server, Method::PUT, "/kv/a", put).await.is_err(), "closed without a response");
    send(&server, Method::POST, "/control", r#"{"set": "down", "times": 1}"#).await.unwrap();
    let down = send(&server, Method::GET, "/kv/a", "").await.unwrap();
    assert_eq!(down.status(), StatusCode::SERVICE_UNAVAILABLE);
    let kept = send(&server, Method::GET, "/kv/a", "").await.unwrap();
    assert_eq!(from_json::<StoreValue>(kept.body().as_bytes()).unwrap().value, "one");
    send(&server, Method::POST, "/control", r#"{"set": "caps", "reads_per_s": 0, "writes_per_s": 1}"#)
        .await
        .unwrap();
    let counts = send(&server, Method::GET, "/counts", "").await.unwrap();
    let counts: StoreCounts = from_json(counts.body().as_bytes()).unwrap();
    assert_eq!((counts.writes, counts.lost, counts.reads, counts.refused_down), (1, 1, 2, 1));
    server.abort().await;
}

/// Guards against a list that ignores entries set over HTTP, or that resends an unchanged list.
#[tokio::test]
async fn list_endpoints_follow_the_protocol() {
    let server = start(platform()).await.unwrap();
    let entry = r#"{"id": "u1", "kind": "upstream", "data_centre": "dc1", "rack": "r1", "service": "s",
        "address": "127.0.0.1:1", "peer_address": "", "slots": 8, "memory_mb": 1, "state": "live"}"#;
    send(&server, Method::POST, "/control/list", &format!(r#"{{"entries": [{entry}]}}"#)).await.unwrap();
    let list = send(&server, Method::GET, "/instances?after=0&wait_ms=60000", "").await.unwrap();
    let list: InstanceList = from_json(list.body().as_bytes()).unwrap();
    assert_eq!((list.version, list.entries.len()), (1, 1));
    let unchanged = send(&server, Method::GET, "/instances?after=1&wait_ms=1", "").await.unwrap();
    assert_eq!((unchanged.status(), unchanged.body().as_str()), (StatusCode::NO_CONTENT, ""));
    server.shutdown().await;
}

/// Guards against outcomes that a client of the upstream could not tell apart: result, refusal, failure, truncated
/// answer and closed connection.
#[tokio::test]
async fn upstream_outcomes_are_distinguishable() {
    let options = UpstreamOptions { run_time: Duration::ZERO, ..UpstreamOptions::default() };
    let server = start(Shared::new(FakeUpstream::new(Instant::now(), options))).await.unwrap();
    let done = send(&server, Method::POST, "/tasks", "1.0").await.unwrap();
    assert_eq!((done.status(), done.body().as_str()), (StatusCode::OK, "1.0"));
    assert_eq!(done.headers()["x-task-id"], "1.0");
    let failed = send(&server, Method::POST, "/tasks", r#"{"fail": true}"#).await.unwrap();
    assert_eq!(failed.status(), StatusCode::INTERNAL_SERVER_ERROR);
    for (fault, reason) in [("refuse", "busy"), ("leave", "leaving")] {
        let control = format!(r#"{{"{fault}": true, "times": 1}}"#);
        send(&server, Method::POST, "/control", &control).await.unwrap();
        let refused = send(&server, Method::POST, "/tasks", "2.0").await.unwrap();
        assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(refused.headers()["x-not-started"], reason);
    }
    for fault in ["die", "truncated_answer"] {
        let control = format!(r#"{{"{fault}": true, "times": 1}}"#);
        send(&server, Method::POST, "/control", &control).await.unwrap();
        assert!(send(&server, Method::POST, "/tasks", "3.0").await.is_err(), "{fault}");
    }
    let unknown = send(&server, Method::DELETE, "/tasks/9.0", "").await.unwrap();
    assert_eq!(unknown.status(), StatusCode::NOT_FOUND);
    let starts = send(&server, Method::GET, "/starts?after=2", "").await.unwrap();
    let starts: hinge_fakes::StartsReply = from_json(starts.body().as_bytes()).unwrap();
    assert_eq!((starts.starts.len(), starts.total, starts.refused), (2, 4, 2));
    server.shutdown().await;
}

/// Guards against a binary that does not print its address, or is killed by SIGTERM instead of exiting with status 0.
#[test]
fn binary_prints_its_address_and_exits_on_sigterm() {
    for command in ["list", "platform", "store", "upstream"] {
        let mut child = Command::new(env!("CARGO_BIN_EXE_hinge-fakes"))
            .args([command, "--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        assert!(line.starts_with("listening 127.0.0.1:"), "{command}: {line}");
        let sent = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
        assert!(sent.success());
        assert!(child.wait().unwrap().success(), "{command}");
    }
}
