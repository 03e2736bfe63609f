//! Crowds of clients that hold unfinished requests open, against a real `hinge-entry` with lowered limits.
//!
//! Each test checks that the process lives, that its memory and its open descriptors stay within what its settings grant, and
//! that an ordinary request is answered while the crowd's connections are still open. Only one test runs at a time.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod support;

use std::time::Duration;

use celeryhinge::wire::{Class, to_json};
use hinge_fakes::{Crowd, CrowdRequest, Shape, Usage, status_of, status_of_page};
use support::{Cluster, Process, payload, submission, wait_ready};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::sleep;

/// Memory that the settings grant to the entry.
const MEMORY_MB: usize = 48;
/// Descriptors that the settings grant to the entry.
const MAX_DESCRIPTORS: usize = 500;
/// Descriptors of these that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Number of clients in a crowd.
const CROWD: usize = 400;
/// Size of a body in the crowd.
const BODY_BYTES: usize = 256 * 1_024;
/// Size of an unterminated head; just below the limit of a head.
const HEAD_BYTES: usize = 15_000;
/// Pause before a request is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Attempts until an ordinary request is accepted; only a failing test uses all of them.
const ATTEMPTS: usize = 100;

/// Held by the only test that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

struct Test {
    cluster: Cluster,
    usage: Usage,
    _running: MutexGuard<'static, ()>,
}

impl Test {
    async fn start() -> Self {
        let running = ONE_AT_A_TIME.lock().await;
        let mut cluster = Cluster::start(0, 1);
        let arguments = cluster.entry_arguments("entry-0", cluster.platform.address(), &[]);
        let limits = [
            ("CELERYHINGE_MEMORY_MB", MEMORY_MB.to_string()),
            ("CELERYHINGE_MAX_DESCRIPTORS", MAX_DESCRIPTORS.to_string()),
        ];
        cluster.entries.push(Process::start_with_variables("hinge-entry", &arguments, &limits));
        cluster.publish_list();
        wait_ready(cluster.entries[0].address());
        let usage = Usage::watch(cluster.entries[0].child.id());
        Self { cluster, usage, _running: running }
    }

    /// Sends an ordinary request until it is accepted. The entry may be busy with the whole requests of a crowd, and then says
    /// so; a connection that is closed without a response fails the test.
    async fn request_is_answered(&self) {
        let address = self.cluster.entries[0].address();
        let body = to_json(&submission(Class::Urgent, &[payload(10, "ordinary")])).unwrap();
        let request = request("/v1/submissions", body);
        let mut last = 0;
        for _ in 0..ATTEMPTS {
            last = status_of(address, &request).await.unwrap();
            if last == 200 {
                return;
            }
            assert!(matches!(last, 429 | 503), "status {last}");
            sleep(RETRY_PAUSE).await;
        }
        panic!("the request is not accepted: {last}");
    }

    /// Checks what is promised while `crowd` is connected.
    async fn check(self, crowd: Crowd) {
        self.usage.settled().await;
        self.request_is_answered().await;
        let memory_kb = self.usage.peak_memory_kb().unwrap();
        let descriptors = self.usage.peak_descriptors().unwrap();
        println!("peak: {memory_kb} KiB of memory, {descriptors} descriptors");
        assert!(memory_kb <= MEMORY_MB * 1_024, "{memory_kb} KiB of memory, {descriptors} descriptors");
        let granted = MAX_DESCRIPTORS - FILE_DESCRIPTORS;
        assert!(descriptors <= granted, "{descriptors} descriptors, {memory_kb} KiB of memory");
        drop(crowd);
    }
}

fn request(path: &str, body: Vec<u8>) -> CrowdRequest {
    CrowdRequest { body, host: "entry".to_owned(), path: path.to_owned() }
}

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
