//! A real `hinge-entry` with lowered limits, and what it may use while a crowd of clients is connected.

use std::time::Duration;

use celeryhinge::wire::{Class, to_json};
use hinge_fakes::{Crowd, CrowdRequest, MemoryWatch, Usage, status_of};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::sleep;

use super::{Cluster, Process, payload, submission, wait_ready};

/// Memory that the settings grant to the entry.
pub(crate) const MEMORY_MB: usize = 48;
/// Descriptors that the settings grant to the entry.
const MAX_DESCRIPTORS: usize = 500;
/// Descriptors if only the memory is to be short.
pub(crate) const MANY_DESCRIPTORS: usize = 3_075;
/// Descriptors of these that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Number of clients in a crowd.
pub(crate) const CROWD: usize = 400;
/// Size of a body in the crowd.
pub(crate) const BODY_BYTES: usize = 256 * 1_024;
/// Pause before a request is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Attempts until an ordinary request is accepted; only a failing test uses all of them.
const ATTEMPTS: usize = 100;

/// Held by the only test that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

pub(crate) struct Test {
    pub(crate) cluster: Cluster,
    max_descriptors: usize,
    memory: MemoryWatch,
    memory_mb: usize,
    usage: Usage,
    _running: MutexGuard<'static, ()>,
}

impl Test {
    pub(crate) async fn start() -> Self {
        Self::start_granted(MAX_DESCRIPTORS, MEMORY_MB).await
    }

    /// Starts an entry that is granted so many descriptors and so much memory.
    pub(crate) async fn start_granted(max_descriptors: usize, memory_mb: usize) -> Self {
        let running = ONE_AT_A_TIME.lock().await;
        let mut cluster = Cluster::start(0, 1);
        let arguments = cluster.entry_arguments("entry-0", cluster.platform.address(), &[]);
        let limits = [
            ("CELERYHINGE_MEMORY_MB", memory_mb.to_string()),
            ("CELERYHINGE_MAX_DESCRIPTORS", max_descriptors.to_string()),
        ];
        cluster.entries.push(Process::start_with_variables("hinge-entry", &arguments, &limits));
        cluster.publish_list();
        wait_ready(cluster.entries[0].address());
        let process = cluster.entries[0].child.id();
        let (memory, usage) = (MemoryWatch::start(process), Usage::watch(process));
        Self { cluster, max_descriptors, memory, memory_mb, usage, _running: running }
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

    /// Waits until the entry has read what it was sent.
    pub(crate) async fn settled(&self) {
        self.usage.settled().await;
    }

    /// Checks what is promised while `crowd` is connected.
    pub(crate) async fn check(self, crowd: Crowd) {
        self.settled().await;
        self.request_is_answered().await;
        let memory_kb = self.usage.peak_memory_kb().unwrap();
        let descriptors = self.usage.peak_descriptors().unwrap();
        println!("peak: {memory_kb} KiB of memory, {descriptors} descriptors");
        assert!(memory_kb <= self.memory_mb * 1_024, "{memory_kb} KiB of memory, {descriptors} descriptors");
        let granted = self.max_descriptors - FILE_DESCRIPTORS;
        assert!(descriptors <= granted, "{descriptors} descriptors, {memory_kb} KiB of memory");
        drop(crowd);
    }

    /// Like [`check`](Self::check), and also counts the bytes that the process has received and not read.
    pub(crate) async fn check_with_unread(self, crowd: Crowd) {
        self.settled().await;
        self.request_is_answered().await;
        let memory = self.memory.peak().unwrap();
        println!("peak: {memory:?}");
        assert!(memory.total_kb <= self.memory_mb * 1_024, "{memory:?}");
        self.check(crowd).await;
    }
}

pub(crate) fn request(path: &str, body: Vec<u8>) -> CrowdRequest {
    CrowdRequest { body, host: "entry".to_owned(), path: path.to_owned() }
}
