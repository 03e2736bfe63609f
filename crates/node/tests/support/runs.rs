//! An upstream whose tasks run until they are stopped, and nodes that use it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::sync::{Arc, Mutex};

use hinge_mesh::Hello;
use hinge_node::{Node, NodeHandle, NodeMetrics, NodeSettings, UpstreamPort};
use hinge_runs::{
    EndKind, Ended, Hold, HoldReply, Listing, RunId, RunProgress, StartOrder, StartReply, StopOrder, whole_ms,
};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::support::{Clock, claimed};

/// An upstream whose tasks run until they are stopped.
#[derive(Clone)]
pub(crate) struct Runs {
    pub(crate) ended: Arc<Mutex<Vec<Ended>>>,
    pub(crate) running: Arc<Mutex<Vec<RunId>>>,
    /// When runs were started.
    pub(crate) started: Arc<Mutex<Vec<Instant>>>,
    pub(crate) started_at: Instant,
    /// When runs were stopped.
    pub(crate) stopped: Arc<Mutex<Vec<Instant>>>,
}

impl Runs {
    pub(crate) fn new() -> Self {
        Self {
            ended: Arc::default(),
            running: Arc::default(),
            started: Arc::default(),
            started_at: Instant::now(),
            stopped: Arc::default(),
        }
    }

    pub(crate) fn clock_ms(&self) -> u64 {
        whole_ms(self.started_at.elapsed())
    }

    pub(crate) fn starts(&self) -> usize {
        self.started.lock().unwrap().len()
    }
}

impl UpstreamPort for Runs {
    async fn hold(&self, hold: &Hold) -> HoldReply {
        sleep(hold.wait).await;
        let running = self.running.lock().unwrap().clone();
        HoldReply::Listed(Listing {
            clock_ms: self.clock_ms(),
            ended: self
                .ended
                .lock()
                .unwrap()
                .iter()
                .filter(|end| end.number > hold.last_end)
                .cloned()
                .collect(),
            incarnation: None,
            running: running.into_iter().map(|run| RunProgress { done_percent: 50, run }).collect(),
        })
    }

    async fn start(&self, start: &StartOrder) -> StartReply {
        self.started.lock().unwrap().push(Instant::now());
        self.running.lock().unwrap().push(start.run.clone());
        StartReply::Started { clock_ms: self.clock_ms() }
    }

    async fn stop(&self, stop: &StopOrder) {
        let mut running = self.running.lock().unwrap();
        let Some(position) = running.iter().position(|run| *run == stop.run) else { return };
        let run = running.remove(position);
        let mut ended = self.ended.lock().unwrap();
        let number = ended.last().map_or(1, |end| end.number + 1);
        ended.push(Ended { how: EndKind::Interrupted, number, run });
        self.stopped.lock().unwrap().push(Instant::now());
    }
}

pub(crate) async fn start_node(
    local: Hello,
    runs: &Runs,
    clock: Clock,
) -> (NodeHandle, std::net::SocketAddr) {
    start_node_with(local, runs, clock, NodeMetrics::new().unwrap()).await
}

pub(crate) async fn start_node_with(
    local: Hello,
    runs: &Runs,
    clock: Clock,
    metrics: NodeMetrics,
) -> (NodeHandle, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let seed = local.incarnation;
    let settings = NodeSettings { local, seed, started_unix_ms: 1_767_000_000_000 };
    let (node, handle) = Node::new(settings, listener, runs.clone(), clock, metrics);
    tokio::spawn(node.run());
    handle.send_input(claimed(Instant::now(), seed)).await;
    (handle, address)
}
