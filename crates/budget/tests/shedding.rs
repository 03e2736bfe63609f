//! What is given up when the budget is used up, and what is not.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hinge_budget::{BodyError, Budget, Connection, Grant, Listener, read_body};
use hyper::body::{Body, Frame};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::{advance, timeout};

/// Read buffer of each connection.
const BUFFER_BYTES: usize = 16 * 1_024;
/// Bytes that a connection counts, 16 KB of them for what it has received and nobody has read.
const CONNECTION_BYTES: usize = 40 * 1_024;
/// Largest size of a body.
const MAX_BODY_BYTES: usize = 256 * 1_024;
const MIN_IDLE: Duration = Duration::from_millis(200);

/// A body whose pieces the test sends.
struct TestBody(UnboundedReceiver<Bytes>);

impl Body for TestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|piece| piece.map(|piece| Ok(Frame::data(piece))))
    }
}

/// A request whose body is being read.
struct Upload {
    pieces: UnboundedSender<Bytes>,
    reading: JoinHandle<Result<Bytes, BodyError>>,
}

impl Upload {
    fn start(connection: Connection) -> Self {
        let (pieces, receiver) = unbounded_channel();
        let reading =
            tokio::spawn(async move { read_body(TestBody(receiver), &connection, MAX_BODY_BYTES).await });
        Self { pieces, reading }
    }

    async fn send(&self, bytes: usize) {
        // Fails when the body was shed.
        let _ = self.pieces.send(vec![7; bytes].into());
        settle().await;
    }

    async fn finish(self) -> Result<Bytes, BodyError> {
        drop(self.pieces);
        self.reading.await.unwrap()
    }
}

/// Lets all tasks run.
async fn settle() {
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
}

/// A budget of 1 MB with a listener.
fn budget(max_connections: usize) -> (Budget, Listener) {
    let budget = Budget::new(Grant { max_descriptors: 1_000, memory_mb: 1 });
    let listener = budget.listener(max_connections, MIN_IDLE);
    (budget, listener)
}

fn upload(listener: &Listener) -> Upload {
    Upload::start(listener.admit(BUFFER_BYTES).unwrap())
}

/// Guards against ordinary small requests that are refused because a large one does not end.
#[tokio::test(start_paused = true)]
async fn the_largest_and_slowest_body_is_shed() {
    let (budget, listener) = budget(100);
    let slow = upload(&listener);
    for _ in 0..15 {
        slow.send(BUFFER_BYTES).await;
    }
    advance(Duration::from_secs(1)).await;
    let small = upload(&listener);
    small.send(1_000).await;
    small.send(1_000).await;
    let mut fast = Vec::new();
    while budget.usage().shed.bodies == 0 {
        let next = upload(&listener);
        for _ in 0..10 {
            next.send(BUFFER_BYTES).await;
        }
        fast.push(next);
    }
    assert!(matches!(slow.finish().await, Err(BodyError::Shed)));
    assert_eq!(small.finish().await.unwrap().len(), 2_000);
    for upload in fast {
        assert_eq!(upload.finish().await.unwrap(), vec![7; 10 * BUFFER_BYTES]);
    }
    assert_eq!(budget.usage().shed.bodies, 1);
    assert_eq!(budget.usage().held_bytes, 0);
}

/// Guards against more memory for unfinished bodies than allowed, whatever their number.
#[tokio::test(start_paused = true)]
async fn no_more_is_held_than_allowed() {
    let (budget, listener) = budget(25);
    let uploads: Vec<_> = (0..25).map(|_| upload(&listener)).collect();
    for _ in 0..16 {
        for upload in &uploads {
            upload.send(BUFFER_BYTES).await;
            let usage = budget.usage();
            assert!(usage.held_bytes <= usage.max_bytes, "{usage:?}");
        }
    }
    let mut shed = 0;
    for upload in uploads {
        shed += u64::from(upload.finish().await.is_err());
    }
    assert!(shed > 0);
    assert_eq!(budget.usage().shed.bodies, shed);
    assert_eq!(budget.usage().held_bytes, 0);
}

/// Guards against bodies in one piece that are refused while large ones use up the budget: they are in the read buffer.
#[tokio::test(start_paused = true)]
async fn a_body_in_one_piece_needs_nothing() {
    let (budget, listener) = budget(100);
    let connection = listener.admit(BUFFER_BYTES).unwrap();
    let held = budget.hold(budget.usage().max_bytes - CONNECTION_BYTES).unwrap();
    let body = http_body_util::Full::new(Bytes::from_static(b"whole"));
    assert_eq!(read_body(body, &connection, 5).await.unwrap(), "whole");
    let body = http_body_util::Full::new(Bytes::from_static(b"whole"));
    assert!(matches!(read_body(body, &connection, 4).await, Err(BodyError::TooLarge { max_bytes: 4 })));
    assert!(budget.hold(1).is_none());
    drop(held);
    assert_eq!(budget.usage().held_bytes, CONNECTION_BYTES);
    assert_eq!(budget.usage().shed.requests, 1);
}

/// Guards against chunks of one byte that hold much more memory than their bytes.
#[tokio::test(start_paused = true)]
async fn small_pieces_share_blocks() {
    let (budget, listener) = budget(100);
    let upload = upload(&listener);
    for _ in 0..6_000 {
        upload.pieces.send(Bytes::from_static(b"x")).unwrap();
    }
    while !upload.pieces.is_closed() && budget.usage().held_bytes < CONNECTION_BYTES + 7 * 1_024 {
        settle().await;
    }
    assert_eq!(budget.usage().held_bytes, CONNECTION_BYTES + 7 * 1_024);
    assert_eq!(upload.finish().await.unwrap().len(), 6_000);
}

/// Guards against memory that stays counted after a body was given up because it came too slowly.
#[tokio::test(start_paused = true)]
async fn a_body_that_times_out_returns_what_it_holds() {
    let (budget, listener) = budget(100);
    let connection = listener.admit(BUFFER_BYTES).unwrap();
    let (pieces, receiver) = unbounded_channel();
    for _ in 0..4 {
        pieces.send(vec![7; BUFFER_BYTES].into()).unwrap();
    }
    let reading = read_body(TestBody(receiver), &connection, MAX_BODY_BYTES);
    assert!(timeout(Duration::from_secs(3), reading).await.is_err());
    assert_eq!(budget.usage().held_bytes, CONNECTION_BYTES);
    drop(connection);
    assert_eq!((budget.usage().held_bytes, budget.usage().connections), (0, 0));
}

/// Guards against crowds of connections without requests that shut out everyone else, or that close the idle connections of
/// ordinary callers first.
#[tokio::test(start_paused = true)]
async fn connections_without_a_complete_request_are_closed_first() {
    let (budget, listener) = budget(4);
    let busy = listener.admit(BUFFER_BYTES).unwrap();
    let answering = busy.answering();
    let idle = listener.admit(BUFFER_BYTES).unwrap();
    drop(idle.answering());
    advance(Duration::from_secs(1)).await;
    let older = listener.admit(BUFFER_BYTES).unwrap();
    advance(Duration::from_millis(1)).await;
    let newer = listener.admit(BUFFER_BYTES).unwrap();
    advance(Duration::from_millis(1)).await;
    let is_closed =
        async |connection: &Connection| timeout(MIN_IDLE, connection.close_requested()).await.is_ok();

    let third = listener.admit(BUFFER_BYTES).unwrap();
    assert!(is_closed(&older).await && !is_closed(&newer).await && !is_closed(&idle).await);
    for connection in [&newer, &third] {
        drop(connection.answering());
    }
    // Now only the idle connection has been without a request for long enough.
    let fourth = listener.admit(BUFFER_BYTES).unwrap();
    assert!(is_closed(&idle).await && !is_closed(&busy).await);
    for connection in [&newer, &third, &fourth] {
        drop(connection.answering());
    }
    assert!(listener.admit(BUFFER_BYTES).is_none());
    drop(answering);
    let shed = budget.usage().shed;
    assert_eq!((shed.closed, shed.refused), (2, 1));
    assert_eq!(budget.usage().connections, 4);
}

/// Guards against limits that clients inside the documented limits meet on the smallest machine: 300 connections with bodies
/// of 256 KB, while the entry has its own connections to 350 upstreams, the store and 100 peers.
#[test]
fn documented_clients_fit_on_the_smallest_machine() {
    let grant = Grant { max_descriptors: 3_075, memory_mb: 120 };
    assert!(300 * (CONNECTION_BYTES + MAX_BODY_BYTES) <= grant.client_bytes());
    assert!(grant.caller_connections() >= 300);
    let pages = 2 * 32;
    let own = grant.max_descriptors - 200 - grant.caller_connections() - pages;
    assert!(own >= 4 * (350 + 1) + 100, "{own}");
}
