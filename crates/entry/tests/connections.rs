//! Limits of the listeners: connections, idle time, header size, body size, clients that do not read.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::time::Duration;

use hinge_entry::Entry;
use hinge_wire::{Class, TaskSpec, to_json};
use support::{
    Cluster, TEST_TIMEOUT, counter, exchange, http, keys, request_bytes, submission, submit, wait_for_state,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

async fn start_limited(cluster: &Cluster) -> Entry {
    cluster
        .entry(|flags| {
            flags.idle_timeout_ms = Some("300".into());
            flags.max_body_bytes = Some("4096".into());
            flags.max_header_bytes = Some("8192".into());
        })
        .await
}

/// Whether the server closes the connection within [`TEST_TIMEOUT`].
async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    timeout(TEST_TIMEOUT, stream.read_to_end(&mut rest)).await.is_ok()
}

/// Guards against connections that stay open for ever although the client sends no or only a partial request.
#[tokio::test]
async fn idle_and_incomplete_connections_are_closed() {
    let cluster = Cluster::start(1, 2).await;
    let entry = start_limited(&cluster).await;
    let beginnings: [&[u8]; 5] = [
        b"",
        b"POST /v1/keys HTT",
        b"POST /v1/keys HTTP/1.1\r\nhost: a\r\n",
        b"POST /v1/keys HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\n{",
        b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n",
    ];
    for address in [entry.address(), entry.peer_address()] {
        for beginning in beginnings {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(beginning).await.unwrap();
            assert!(is_closed(&mut stream).await, "{:?}", String::from_utf8_lossy(beginning));
        }
    }
}

/// Guards against a connection that stays open for ever because the caller requests a large answer but does not read
/// it.
#[tokio::test]
async fn a_caller_that_does_not_read_is_disconnected() {
    let cluster = Cluster::start(1, 4).await;
    let entry = cluster.entry(|flags| flags.idle_timeout_ms = Some("300".into())).await;
    let payload = format!(r#"{{"run_ms":1,"result":"{}"}}"#, "r".repeat(900_000));
    let mut body = submission(Class::Query, 0, 0);
    body.tasks = vec![TaskSpec { memory_mb: None, payload, run_time_ms: None }; 4];
    body.key = keys(&entry, 1).await.pop();
    assert_eq!(submit(&entry, &body).await.status, 200);
    let path = format!("/v1/submissions/{}", body.key.unwrap());
    let mut stream = TcpStream::connect(entry.address()).await.unwrap();
    // Eight answers fill the socket buffers of both sides.
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
    stream.write_all(request.repeat(8).as_bytes()).await.unwrap();
    wait_for_state(&entry, "a failed connection", |state| state.to_string().contains("connections_failed"))
        .await;
}

/// Guards against headers and bodies of unlimited size, and against rejections that are not counted.
#[tokio::test]
async fn oversized_requests_are_rejected_and_counted() {
    let cluster = Cluster::start(1, 2).await;
    let entry = start_limited(&cluster).await;
    let large = vec![b' '; 5000];
    let response = http(entry.address(), "POST", "/v1/submissions", &large).await;
    assert!(response.status == 413 && response.text().contains(r#""code":101"#), "{response:?}");
    // Operators use the same listener as peers but get their errors in JSON.
    let response = http(entry.peer_address(), "POST", "/admin/v1/changes", &vec![b' '; 20_000]).await;
    assert!(response.status == 413 && response.text().contains(r#""code":101"#), "{response:?}");
    assert_eq!(counter(&entry, "TOO_LARGE").await, 2);
    let chunked =
        b"POST /v1/keys HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunks =
        [chunked.as_slice(), b"1000\r\n", &[b' '; 4096], b"\r\n1000\r\n", &[b' '; 4096], b"\r\n0\r\n\r\n"];
    assert_eq!(exchange(entry.address(), &chunks.concat()).await.unwrap().status, 413);
    let header = format!("x-long: {}\r\n", "h".repeat(20_000));
    let response = exchange(entry.address(), &request_bytes("GET", "/healthz", &header, b"")).await;
    assert!(response.is_none_or(|response| response.status == 431));
    let headers = "x-many: 1\r\n".repeat(500);
    let response = exchange(entry.address(), &request_bytes("GET", "/healthz", &headers, b"")).await;
    assert!(response.is_none_or(|response| response.status == 431));
    assert!(counter(&entry, "connections_failed").await >= 2);
}

/// Guards against exceeding the connection limit, and against closed connections that still count towards it.
#[tokio::test]
async fn connections_beyond_the_limit_are_rejected_with_a_code() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|flags| flags.max_connections = Some("3".into())).await;
    let mut held = Vec::new();
    for _ in 0..3 {
        let mut stream = TcpStream::connect(entry.address()).await.unwrap();
        stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
        stream.read_u8().await.unwrap();
        held.push(stream);
    }
    let response = http(entry.address(), "GET", "/healthz", b"").await;
    assert!(response.status == 503 && response.text().contains(r#""code":106"#), "{response:?}");
    let mut flood = Vec::new();
    for _ in 0..300 {
        flood.push(TcpStream::connect(entry.address()).await.unwrap());
    }
    for mut stream in flood {
        assert!(is_closed(&mut stream).await);
    }
    drop(held);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(http(entry.address(), "GET", "/healthz", b"").await.status, 200);
    assert_eq!(counter(&entry, "TOO_MANY_CONNECTIONS").await, 301);
}

/// Guards against bytes that are not valid HTTP and make a connection hang or stop the listener.
#[tokio::test]
async fn bytes_that_are_not_http_are_dropped_and_counted() {
    let cluster = Cluster::start(1, 2).await;
    let entry = start_limited(&cluster).await;
    let submission = to_json(&submission(Class::Urgent, 1, 1)).unwrap();
    let requests: [&[u8]; 9] = [
        b"\0\0\0\0\r\n\r\n",
        b"\xff\xfe\xfd GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET /\0 HTTP/1.1\r\nhost: a\r\n\r\n",
        b"GET /v1/submissions/\xff\xff HTTP/1.1\r\nhost: a\r\n\r\n",
        b"POST /v1/keys HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
        b"POST /v1/keys HTTP/1.1\r\ncontent-length: 99999999999999999999999\r\n\r\n",
        b"POST /v1/keys HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    ];
    for address in [entry.address(), entry.peer_address()] {
        for request in requests {
            let response = exchange(address, request).await;
            assert!(response.is_none_or(|response| response.status >= 400), "{request:?}");
        }
    }
    assert!(counter(&entry, "connections_failed").await >= 10);
    let response =
        exchange(entry.address(), &request_bytes("POST", "/v1/submissions", "", &submission)).await;
    assert_eq!(response.unwrap().status, 200);
}
