//! Requests that wait for the end of a submission.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use hinge_wire::{Class, to_json};
use support::{Cluster, keys, request_bytes, submission, wait_for_state};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Guards against a notification that is leaked for each caller that disconnects while waiting.
#[tokio::test]
async fn disconnected_callers_leave_no_waiter() {
    let cluster = Cluster::start(1, 1).await;
    let entry = cluster.entry(|_| {}).await;
    let mut connections = Vec::new();
    for key in keys(&entry, 5).await {
        let mut body = submission(Class::Batch, 1, 60_000);
        body.key = Some(key);
        let mut stream = TcpStream::connect(entry.address()).await.unwrap();
        let bytes = request_bytes("POST", "/v1/submissions", "", &to_json(&body).unwrap());
        stream.write_all(&bytes).await.unwrap();
        connections.push(stream);
    }
    wait_for_state(&entry, "five waiters", |state| state["waited_submissions"] == 5).await;
    drop(connections);
    wait_for_state(&entry, "no waiter", |state| state["waited_submissions"] == 0).await;
}
