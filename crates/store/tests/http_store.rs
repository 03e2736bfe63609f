//! Guards against misread responses of the store, above all a write without a valid response that is reported as not
//! applied.

#![allow(clippy::expect_used, reason = "test helpers")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hinge_store::{HttpStore, Store, StoreError};
use hinge_wire::{StorePut, StoreValue};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longer than any test runs: no result here depends on elapsed time.
const LONG: Duration = Duration::from_secs(600);

/// Reads one request with its body; returns false at the end of the connection. Closing a connection with unread bytes
/// could reset it before the client reads the response.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&request).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
            if body.len() >= length.map_or(0, |length| length.trim().parse().expect("length")) {
                return true;
            }
        }
        if stream.read_buf(&mut request).await.expect("request") == 0 {
            return false;
        }
    }
}

/// Serves the same response bytes on every connection, then closes it; counts the requests.
async fn serve(response: Vec<u8>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&requests);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counter.fetch_add(usize::from(read_request(&mut stream).await), Ordering::SeqCst);
            // The client may already have closed the connection because the body is too large.
            let _ = stream.write_all(&response).await;
        }
    });
    (address, requests)
}

fn http(status: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn put(value: &str) -> StorePut {
    StorePut { expect_revision: 3, lease: 0, value: value.into() }
}

#[tokio::test]
async fn responses_are_mapped_to_results() {
    let value = StoreValue { revision: 4, value: "v".into() };
    let good = r#"{"revision":4,"value":"v"}"#;
    let big = format!(r#"{{"revision":4,"value":"{}"}}"#, "x".repeat(1_000_001));
    let endless = format!("HTTP/1.1 200 OK\r\n\r\n{}", " ".repeat(5_000_000)).into_bytes();
    let invalid = || Err(StoreError::Invalid(String::new()));
    let (lost, down) = (|| Err(StoreError::Ambiguous), || Err(StoreError::Unavailable));
    let cases = [
        ("good", http("200 OK", good), Ok(value.clone()), Ok(value.clone())),
        ("conflict", http("409 Conflict", good), invalid(), Err(StoreError::Conflict(value))),
        ("unreadable conflict", http("409 Conflict", "?"), invalid(), lost()),
        (
            "revision not raised",
            http("200 OK", r#"{"revision":3,"value":"v"}"#),
            Ok(StoreValue { revision: 3, value: "v".into() }),
            lost(),
        ),
        ("not JSON", http("200 OK", "<html>"), invalid(), lost()),
        ("field missing", http("200 OK", r#"{"revision":4}"#), invalid(), lost()),
        ("negative revision", http("200 OK", r#"{"revision":-4,"value":""}"#), invalid(), lost()),
        ("value too large", http("200 OK", &big), invalid(), lost()),
        ("body without end", endless, invalid(), lost()),
        ("too large", http("413 Payload Too Large", ""), invalid(), invalid()),
        ("down", http("503 Service Unavailable", ""), down(), down()),
        ("broken", http("500 Internal Server Error", ""), down(), lost()),
        ("cut header", b"HTTP/1.1 200 OK\r\ncontent-le".to_vec(), down(), lost()),
        ("cut body", b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{".to_vec(), down(), lost()),
        ("not HTTP", b"hello\r\n\r\n".to_vec(), down(), lost()),
        ("closed", Vec::new(), down(), lost()),
    ];
    let plain = |result| match result {
        Err(StoreError::Invalid(_)) => Err(StoreError::Invalid(String::new())),
        other => other,
    };
    for (name, response, read, written) in cases {
        let (address, requests) = serve(response).await;
        let store = HttpStore::new(address, LONG, LONG);
        assert_eq!(plain(store.get("config/current").await), read, "{name}: get");
        assert_eq!(plain(store.watch("config/current", 4, LONG).await), read, "{name}: watch");
        assert_eq!(requests.swap(0, Ordering::SeqCst), 2, "{name}");
        assert_eq!(plain(store.put("claims/dc1.e1.0f.7", &put("v")).await), written, "{name}: put");
        assert_eq!(requests.load(Ordering::SeqCst), 1, "{name}: a write is never sent twice");
    }
}

#[tokio::test]
async fn failed_connect_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let store = HttpStore::new(address, LONG, LONG);
    assert_eq!(store.put("k", &put("v")).await, Err(StoreError::Unavailable));
    assert_eq!(store.grant_lease(LONG).await, Err(StoreError::Unavailable));
}

/// Guards against a write that waits forever for a store that accepts the request and never responds.
#[tokio::test]
async fn write_without_response_times_out_as_ambiguous() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let store = HttpStore::new(listener.local_addr().expect("address"), LONG, LONG);
    let write = tokio::spawn(async move { store.put("k", &put("v")).await });
    let (mut stream, _) = listener.accept().await.expect("accept");
    assert!(read_request(&mut stream).await);
    // The request has arrived. With the clock paused, it advances to the time limit at once.
    tokio::time::pause();
    assert_eq!(write.await.expect("task"), Err(StoreError::Ambiguous));
}

#[tokio::test]
async fn invalid_keys_and_values_are_rejected_without_a_call() {
    let (address, requests) = serve(Vec::new()).await;
    let store = HttpStore::new(address, LONG, LONG);
    for key in ["", "a b", "a?b", "a#b", "a%2f", "ä", "a\r\nb", &"k".repeat(513)] {
        assert!(matches!(store.get(key).await, Err(StoreError::Invalid(_))), "{key:?}");
    }
    let large = put(&"x".repeat(1_000_001));
    assert!(matches!(store.put("k", &large).await, Err(StoreError::Invalid(_))));
    assert_eq!(requests.load(Ordering::SeqCst), 0);
}
