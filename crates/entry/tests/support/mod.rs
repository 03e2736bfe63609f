//! Runs entries with a fake platform and fake upstreams in one process.

#![allow(
    dead_code,
    clippy::panic,
    clippy::unwrap_used,
    reason = "shared by several tests, each of which uses a part"
)]

use std::net::SocketAddr;
use std::sync::Once;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hinge_conf::{EntrySettings, Flags};
use hinge_entry::Entry;
use hinge_fakes::{
    FakeList, FakeStore, FakeUpstream, Platform, ServerHandle, Shared, StoreCaps, UpstreamOptions, serve,
};
use hinge_wire::{
    Class, InstanceKind, KeysReply, ListEntry, ListState, Submission, TaskSpec, from_json, to_json,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Maximum wait for a condition; only a failing test waits this long.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) struct Upstream {
    pub(crate) server: ServerHandle,
    pub(crate) state: Shared<FakeUpstream>,
}

/// A fake platform with upstreams; [`Self::entry`] and [`Self::start_peer`] start entries that use it.
pub(crate) struct Cluster {
    pub(crate) platform: Platform,
    pub(crate) server: ServerHandle,
    pub(crate) upstreams: Vec<Upstream>,
}

pub(crate) async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

impl Cluster {
    pub(crate) async fn start(upstreams: usize, slots: usize) -> Self {
        let platform = Platform {
            list: Shared::new(FakeList::new(Duration::ZERO)),
            store: Shared::new(FakeStore::new(StoreCaps::default())),
        };
        let server = serve(listener().await, platform.clone()).unwrap();
        let mut cluster = Self { platform, server, upstreams: Vec::new() };
        for _ in 0..upstreams {
            let options = UpstreamOptions { slots, ..UpstreamOptions::default() };
            let state = Shared::new(FakeUpstream::new(Instant::now(), options));
            let server = serve(listener().await, state.clone()).unwrap();
            cluster.upstreams.push(Upstream { server, state });
        }
        let entries = cluster.upstream_entries(slots);
        cluster.publish(entries);
        cluster
    }

    pub(crate) fn upstream_entries(&self, slots: usize) -> Vec<ListEntry> {
        let entry = |(index, upstream): (usize, &Upstream)| {
            list_entry(&format!("upstream-{index}"), upstream.server.address(), slots)
        };
        self.upstreams.iter().enumerate().map(entry).collect()
    }

    pub(crate) fn publish(&self, entries: Vec<ListEntry>) {
        self.platform.list.update(|list| list.set(Instant::now(), entries));
    }

    pub(crate) fn flags(&self, instance: &str) -> Flags {
        let address = self.server.address().to_string();
        Flags { list: Some(address.clone()), store: Some(address), ..flags(instance) }
    }

    pub(crate) async fn entry(&self, change: impl FnOnce(&mut Flags)) -> Entry {
        let mut flags = self.flags("entry-0");
        change(&mut flags);
        let entry = start(&flags).await;
        wait_until("readiness", || entry.is_ready()).await;
        entry
    }

    /// Starts a second entry and waits until it and `entry` know each other.
    pub(crate) async fn start_peer(&self, entry: &Entry) -> Entry {
        let mut flags = self.flags("entry-1");
        flags.peers = Some(entry.peer_address().to_string());
        let peer = start(&flags).await;
        wait_until("readiness", || peer.is_ready()).await;
        for entry in [entry, &peer] {
            wait_for_state(entry, "a known peer", |state| state["members"].as_array().unwrap().len() == 2)
                .await;
        }
        peer
    }

    pub(crate) fn starts(&self) -> u64 {
        self.upstreams.iter().map(|upstream| upstream.state.update(|state| state.starts(0).total)).sum()
    }

    pub(crate) fn running(&self) -> usize {
        let now = Instant::now();
        self.upstreams.iter().map(|upstream| upstream.state.update(|state| state.running(now))).sum()
    }
}

pub(crate) fn flags(instance: &str) -> Flags {
    let any = || Some("127.0.0.1:0".to_owned());
    Flags {
        data_centre: Some("dc1".into()),
        drain_linger_ms: Some("0".into()),
        instance: Some(instance.into()),
        listen: any(),
        peer_listen: any(),
        seed: Some("1".into()),
        ..Flags::default()
    }
}

pub(crate) async fn start(flags: &Flags) -> Entry {
    count_panics();
    Entry::start(EntrySettings::from_flags(flags, |_| None).unwrap()).await.unwrap()
}

pub(crate) fn list_entry(id: &str, address: SocketAddr, slots: usize) -> ListEntry {
    ListEntry {
        address: address.to_string(),
        data_centre: "dc1".into(),
        id: id.into(),
        kind: InstanceKind::Upstream,
        memory_mb: 1024,
        peer_address: String::new(),
        rack: "rack-1".into(),
        service: "search".into(),
        slots: u32::try_from(slots).unwrap(),
        state: ListState::Live,
    }
}

pub(crate) async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let reached = timeout(TEST_TIMEOUT, async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(reached.await.is_ok(), "not reached: {what}");
}

/// A submission whose tasks run for `run_ms`.
pub(crate) fn submission(class: Class, tasks: usize, run_ms: u64) -> Submission {
    let payload = format!(r#"{{"run_ms":{run_ms},"result":"done"}}"#);
    Submission {
        class,
        deadline_ms: None,
        definite: false,
        idempotent: false,
        key: None,
        service: "search".into(),
        tasks: vec![TaskSpec { memory_mb: None, payload, run_time_ms: None }; tasks],
        team: "team-1".into(),
        wait_ms: None,
    }
}

/// A response that was read completely.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) body: Vec<u8>,
    pub(crate) head: String,
    pub(crate) status: u16,
}

impl Response {
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub(crate) fn request_bytes(method: &str, path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Sends raw bytes on a new connection and reads until the server closes it; `None` when there was no response.
pub(crate) async fn exchange(address: SocketAddr, bytes: &[u8]) -> Option<Response> {
    let read = timeout(TEST_TIMEOUT, async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        // The server may close the connection before it has read everything.
        let _ = stream.write_all(bytes).await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        let split = answer.windows(4).position(|window| window == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&answer[..split]).to_lowercase();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(Response { body: answer[split + 4..].to_vec(), head, status })
    });
    read.await.unwrap_or_else(|_| panic!("no end of the response within {TEST_TIMEOUT:?}"))
}

pub(crate) async fn http(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Response {
    exchange(address, &request_bytes(method, path, "", body)).await.unwrap()
}

/// Sends MessagePack to a peer endpoint.
pub(crate) async fn post_peer(address: SocketAddr, path: &str, body: &[u8]) -> Response {
    exchange(address, &request_bytes("POST", path, "x-hinge-version: 1\r\n", body)).await.unwrap()
}

pub(crate) async fn submit(entry: &Entry, submission: &Submission) -> Response {
    http(entry.address(), "POST", "/v1/submissions", &to_json(submission).unwrap()).await
}

pub(crate) async fn keys(entry: &Entry, count: u32) -> Vec<String> {
    let body = format!(r#"{{"count":{count}}}"#);
    let response = http(entry.address(), "POST", "/v1/keys", body.as_bytes()).await;
    from_json::<KeysReply>(&response.body).unwrap().keys
}

pub(crate) async fn state(entry: &Entry) -> serde_json::Value {
    serde_json::from_slice(&http(entry.address(), "GET", "/state", b"").await.body).unwrap()
}

/// Value of a metric on the state page; 0 when it is absent.
pub(crate) async fn counter(entry: &Entry, name: &str) -> u64 {
    let state = state(entry).await;
    let metrics = state["metrics"].as_array().unwrap();
    metrics.iter().find(|metric| metric["name"] == name).map_or(0, |metric| metric["value"].as_u64().unwrap())
}

/// Waits until the state page satisfies a condition.
pub(crate) async fn wait_for_state(
    entry: &Entry,
    what: &str,
    condition: impl Fn(&serde_json::Value) -> bool,
) {
    let reached = timeout(TEST_TIMEOUT, async {
        while !condition(&state(entry).await) {
            sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(reached.await.is_ok(), "not reached: {what}: {}", state(entry).await);
}

/// Changes the configuration as an operator and gives the entry time to apply it.
pub(crate) async fn change_config(entry: &Entry, revision: u64, change: &str) {
    let body = format!(
        r#"{{"author":"test","change":{change},"expect_revision":{revision},"operation_id":"operation-{revision}"}}"#
    );
    let response = http(entry.peer_address(), "POST", "/admin/v1/changes", body.as_bytes()).await;
    assert_eq!(response.status, 200, "{}", response.text());
    sleep(Duration::from_millis(200)).await;
}

static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Counts panics from the first call of [`start`] on, because a panic in a spawned task does not fail the test.
fn count_panics() {
    static WATCH: Once = Once::new();
    WATCH.call_once(|| {
        let report = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            PANICS.fetch_add(1, Ordering::Relaxed);
            report(info);
        }));
    });
}

pub(crate) fn assert_no_panics() {
    assert_eq!(PANICS.load(Ordering::Relaxed), 0, "a task has panicked");
}
