//! What outlives a request: submissions, unused blocks of bodies, and responses.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::time::Duration;

use bytes::Bytes;
use hinge_budget::{Budget, Connection, Grant, Listener, read_body};
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::time::{Instant, advance, timeout};

/// Read buffer of each connection.
const BUFFER_BYTES: usize = 16 * 1_024;
/// Bytes that a connection counts.
const CONNECTION_BYTES: usize = 40 * 1_024;
/// Largest size of a small message.
const SMALL_BYTES: usize = 16 * 1_024;
/// Largest size of a body.
const MAX_BODY_BYTES: usize = 256 * 1_024;
const MIN_IDLE: Duration = Duration::from_millis(200);
/// Time after which a response counts as not read.
const UNREAD_AGE: Duration = Duration::from_secs(3);
/// Time that a response waits for room at most.
const LIMIT: Duration = Duration::from_secs(60);

/// A budget of 1 MB with a listener.
fn budget() -> (Budget, Listener) {
    let budget = Budget::for_threads(Grant { max_descriptors: 1_000, memory_mb: 1 });
    let listener = budget.listener(100, MIN_IDLE);
    (budget, listener)
}

fn response(budget: &Budget, connection: &Connection, bytes: usize) -> Bytes {
    connection.response(vec![7; bytes], budget.hold(bytes).unwrap())
}

/// Guards against a crowd of large submissions that leaves no room for small ones.
#[test]
fn large_submissions_leave_a_quarter() {
    let (budget, _) = budget();
    let max_bytes = budget.usage().max_bytes;
    let most = budget.hold(max_bytes / 4 * 3 - 20_000).unwrap();
    assert!(budget.admits(&budget.hold(20_000).unwrap()));
    let large = budget.hold(20_001).unwrap();
    assert!(!budget.admits(&large));
    assert!(budget.admits(&budget.hold(10_000).unwrap()));
    drop((most, large));
    assert_eq!((budget.usage().held_bytes, budget.usage().shed.requests), (0, 1));
}

/// Guards against heartbeats and small answers that are refused while a crowd has used up the bytes, and against small
/// submissions beyond them.
#[test]
fn small_messages_are_counted_and_never_refused() {
    let (budget, _) = budget();
    let max_bytes = budget.usage().max_bytes;
    let all = budget.hold(max_bytes).unwrap();
    let small = budget.hold_message(SMALL_BYTES).unwrap();
    assert_eq!(budget.usage().held_bytes, max_bytes + SMALL_BYTES);
    assert!(!budget.admits(&small));
    assert!(budget.hold_message(SMALL_BYTES + 1).is_none());
    drop(all);
    assert!(budget.admits(&small));
}

/// Guards against unused blocks of bodies that come on top of what is counted, or keep others from its use.
#[tokio::test]
async fn unused_blocks_stay_counted_until_their_bytes_are_needed() {
    let (budget, listener) = budget();
    let connection = listener.admit(BUFFER_BYTES).unwrap();
    let pieces =
        (0..10).map(|_| Ok::<_, std::convert::Infallible>(Frame::data(Bytes::from(vec![7; BUFFER_BYTES]))));
    let body = StreamBody::new(futures_util::stream::iter(pieces));
    assert_eq!(read_body(body, &connection, MAX_BODY_BYTES).await.unwrap().len(), 10 * BUFFER_BYTES);
    assert_eq!(budget.usage().held_bytes, CONNECTION_BYTES + 10 * BUFFER_BYTES);
    let all = budget.usage().max_bytes - CONNECTION_BYTES;
    let held = budget.hold(all).unwrap();
    assert_eq!(budget.usage().held_bytes, budget.usage().max_bytes);
    drop(held);
    assert_eq!(budget.usage().held_bytes, CONNECTION_BYTES);
}

/// Guards against responses that are not counted until they are written.
#[tokio::test(start_paused = true)]
async fn a_response_is_counted_until_it_is_dropped() {
    let (budget, listener) = budget();
    let connection = listener.admit(BUFFER_BYTES).unwrap();
    let mut held = budget.hold(1_000).unwrap();
    assert!(held.grow_to(20_000));
    let body = connection.response(vec![7; 500], held);
    assert_eq!(budget.usage().held_bytes, CONNECTION_BYTES + 500);
    let part = body.slice(100..);
    drop(body);
    assert_eq!(budget.usage().held_bytes, CONNECTION_BYTES + 500);
    drop(part);
    assert_eq!(budget.usage().held_bytes, CONNECTION_BYTES);
}

/// Guards against clients that do not read and keep everyone else from their answers, and against the end of a connection
/// whose client may still be reading.
#[tokio::test(start_paused = true)]
async fn a_response_waits_until_one_that_is_not_read_is_closed() {
    let (budget, listener) = budget();
    let connections: Vec<_> = (0..3).map(|_| listener.admit(BUFFER_BYTES).unwrap()).collect();
    let small = response(&budget, &connections[0], 100_000);
    let large = response(&budget, &connections[1], 400_000);
    advance(UNREAD_AGE / 2).await;
    let _recent = response(&budget, &connections[2], 300_000);
    let started_at = Instant::now();
    let reader = async {
        connections[1].close_requested().await;
        drop(large);
    };
    let (held, ()) = tokio::join!(budget.hold_response(450_000, LIMIT), reader);
    assert!(held.is_some());
    assert!(started_at.elapsed() >= UNREAD_AGE / 2, "closed before it counted as not read");
    for connection in [&connections[0], &connections[2]] {
        assert!(timeout(MIN_IDLE, connection.close_requested()).await.is_err());
    }
    assert_eq!(budget.usage().shed.unread, 1);
    drop(small);
}

/// Guards against a response that waits without end.
#[tokio::test(start_paused = true)]
async fn a_response_without_room_is_given_up() {
    let (budget, _) = budget();
    let _all = budget.hold(budget.usage().max_bytes).unwrap();
    let started_at = Instant::now();
    assert!(budget.hold_response(1, LIMIT).await.is_none());
    assert!(started_at.elapsed() >= LIMIT);
    assert_eq!(budget.usage().shed.responses, 1);
}
