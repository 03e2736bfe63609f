//! Panics in the calls of a running node.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hinge_node::{Input, Node, NodeMetrics, NodeSettings, UpstreamPort};
use hinge_runs::{Hold, HoldReply, Listing, StartOrder, StartReply, StopOrder};
use support::{Clock, claimed, hello, upstream};
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Panics in the first holds.
#[derive(Clone, Default)]
struct FailingPort {
    holds: Arc<AtomicU64>,
}

impl UpstreamPort for FailingPort {
    async fn hold(&self, _: &Hold) -> HoldReply {
        assert!(self.holds.fetch_add(1, Ordering::SeqCst) >= 2, "an unexpected error");
        HoldReply::Listed(Listing { clock_ms: 1, ..Listing::default() })
    }

    async fn start(&self, _: &StartOrder) -> StartReply {
        StartReply::Lost
    }

    async fn stop(&self, _: &StopOrder) {}
}

/// Guards against an upstream that is never used again because the task that waited for its answer has panicked.
#[tokio::test(start_paused = true)]
async fn an_upstream_is_asked_again_after_a_panic() {
    let local = hello(1);
    let port = FailingPort::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = NodeSettings { local, seed: 1, started_unix_ms: 1_767_000_000_000 };
    let metrics = NodeMetrics::new().unwrap();
    let (node, handle) = Node::new(settings, listener, port.clone(), Clock::new(), metrics);
    tokio::spawn(node.run());
    handle.send_input(claimed(Instant::now(), 1)).await;
    handle.send_input(Input::Entries(Vec::new())).await;
    handle.send_input(Input::Upstreams(vec![upstream()])).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!(port.holds.load(Ordering::SeqCst) > 2);
}
