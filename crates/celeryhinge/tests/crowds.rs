//! Crowds of clients that hold unfinished requests open, against a real `hinge-entry` with lowered limits.
//!
//! Each test checks that the process lives, that its memory and its open descriptors stay within what its settings grant, and
//! that an ordinary request is answered while the crowd's connections are still open. Only one test runs at a time.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod support;

use celeryhinge::wire::{Class, to_json};
use hinge_fakes::{Crowd, CrowdRequest, Shape, status_of_page};
use support::crowd::{BODY_BYTES, CROWD, Test, request};
use support::{payload, submission};

/// Size of an unterminated head; just below the limit of a head.
const HEAD_BYTES: usize = 15_000;

/// A request of the largest size in the crowd, with one task of 10 ms.
fn large_request(path: &str) -> CrowdRequest {
    let mut body = to_json(&submission(Class::Batch, &[payload(10, "crowd")])).unwrap();
    body.resize(BODY_BYTES, b' ');
    request(path, body)
}

async fn callers_test(shape: Shape) {
    let test = Test::start().await;
    let address = test.cluster.entries[0].address();
    let crowd = Crowd::open(address, CROWD, shape, |_| large_request("/v1/submissions")).await;
    test.check(crowd).await;
}

/// Guards against bodies of announced length that lack their last byte and fill the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_without_their_last_byte_stay_within_the_limits() {
    callers_test(Shape::LastByteMissing).await;
}

/// Guards against bodies that arrive piece by piece, all at the same pace, and fill the memory before any of them is late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_sent_piece_by_piece_stay_within_the_limits() {
    callers_test(Shape::PieceByPiece).await;
}

/// Guards against large chunks without an end, whose total length is not announced.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_in_unterminated_large_chunks_stay_within_the_limits() {
    callers_test(Shape::LargeChunk).await;
}

/// Guards against chunks of one byte that each hold much more memory than their byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_in_unterminated_small_chunks_stay_within_the_limits() {
    callers_test(Shape::SmallChunks).await;
}

/// Guards against whole bodies that are kept until their submissions are answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_submissions_at_once_stay_within_the_limits() {
    callers_test(Shape::Whole).await;
}

/// Guards against connections with a head that does not end, which use up the descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_with_unterminated_heads_stay_within_the_limits() {
    callers_test(Shape::UnterminatedHead(HEAD_BYTES)).await;
}

/// Guards against clients of the port for peers and operators that take the memory and the descriptors of callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_at_the_peer_port_stay_within_the_limits() {
    let test = Test::start().await;
    let address = test.cluster.entries[0].peer_address();
    let crowd =
        Crowd::open(address, CROWD, Shape::LastByteMissing, |_| large_request("/peer/v1/forward")).await;
    assert_eq!(status_of_page(address, "/admin/v1/upstreams").await.unwrap(), 200);
    test.check(crowd).await;
}
