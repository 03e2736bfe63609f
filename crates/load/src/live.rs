//! Costs of whole entry instances over HTTP on loopback: tasks, idle entries, store calls, connections, heartbeats.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use hinge_fakes::{StoreControl, StoreCounts};
use hinge_wire::StorePut;
use tokio::time::Instant;

use crate::cluster::{Cluster, ClusterError, Shape};
use crate::decisions::heartbeat_body;
use crate::fixture::{change_request, config_document};
use crate::http::{Options, run_against};
use crate::slope::Row;
use crate::usage::{resident_bytes, threads_cpu_time};

const MICROS: &str = "µs";
const SECOND: Duration = Duration::from_secs(1);

/// An idle cluster whose use of resources is measured while other measurements run.
pub(crate) struct IdleCluster {
    cpu_time_before: Duration,
    cluster: Cluster,
    entries: usize,
    memory_bytes: f64,
    measured_since: Instant,
    upstreams: usize,
}

/// Resources that an idle cluster used; `core_percent` is the mean CPU use of one entry.
#[derive(Clone, Copy, Debug)]
struct IdleUsage {
    calls: StoreCounts,
    core_percent: f64,
    hours: f64,
}

impl IdleCluster {
    /// Starts an idle cluster with 680 team quotas and 200 exceptions, waits for `settle` and starts the measurement.
    ///
    /// # Errors
    ///
    /// Fails when the cluster does not start.
    pub(crate) fn start(
        name: &str,
        entries: usize,
        upstreams: usize,
        settle: Duration,
    ) -> Result<Self, ClusterError> {
        let shape = Shape { entries, entry_threads: 1, listed_only: upstreams, slots: 8, upstreams: 0 };
        let resident_before = resident_bytes();
        let cluster = Cluster::start(name, shape, &config_document(680, 200))?;
        cluster.wait_ready()?;
        thread::sleep(settle);
        let memory_bytes = resident_bytes() - resident_before;
        cluster.platform.store.update(|store| store.control(&StoreControl::ResetCounts {}));
        let cpu_time_before = cluster.entries_cpu_time();
        Ok(Self {
            cpu_time_before,
            cluster,
            entries,
            memory_bytes,
            measured_since: Instant::now(),
            upstreams,
        })
    }

    /// Shuts the cluster down without a drain.
    pub(crate) fn stop(self) {
        self.cluster.abort();
    }

    fn measure(&self) -> IdleUsage {
        let elapsed = self.measured_since.elapsed();
        let cpu_time = self.cluster.entries_cpu_time() - self.cpu_time_before;
        IdleUsage {
            calls: store_counts(&self.cluster),
            core_percent: 100.0 * cpu_time.as_secs_f64() / elapsed.as_secs_f64() / self.entries as f64,
            hours: elapsed.as_secs_f64() / 3600.0,
        }
    }
}

fn store_counts(cluster: &Cluster) -> StoreCounts {
    cluster.platform.store.update(|store| store.counts())
}

/// All calls to the store, also those that it refused while down.
fn total_calls(counts: &StoreCounts) -> f64 {
    (counts.leases + counts.reads + counts.watches + counts.writes + counts.refused_down) as f64
}

/// Rows of idle clusters. The first two differ in the number of upstreams, the last three in that of entries.
#[must_use]
pub(crate) fn idle_rows(idle: &[IdleCluster; 4]) -> Vec<Row> {
    let usages: Vec<IdleUsage> = idle.iter().map(IdleCluster::measure).collect();
    let core = |index: usize, size: usize| (size as f64, usages[index].core_percent);
    let memory = idle[1..].iter().map(|idle| (idle.entries as f64, idle.memory_bytes)).collect();
    let per_hour = idle
        .iter()
        .zip(&usages)
        .skip(1)
        .map(|(idle, usage)| (idle.entries as f64, total_calls(&usage.calls) / usage.hours))
        .collect();
    let by_upstreams = vec![core(0, idle[0].upstreams), core(1, idle[1].upstreams)];
    let by_peers = (1..idle.len()).map(|index| core(index, idle[index].entries - 1)).collect();
    vec![
        Row::new("idle entry, all control work", "upstream", "% of a core", by_upstreams),
        Row::new("idle entry, all control work", "peer", "% of a core", by_peers),
        Row::new(
            "memory: idle entry in one process, 680 quotas and 200 exceptions",
            "entry",
            "bytes",
            memory,
        ),
        Row::new("store calls per hour at idle", "entry", "calls/h", per_hour),
    ]
}

/// CPU time per task of the client, the entries and the fake upstreams, with and without forwarding.
///
/// # Errors
///
/// Fails when the cluster does not start.
pub(crate) fn task_rows(seconds: f64) -> Result<Vec<Row>, ClusterError> {
    let shape = Shape { entries: 2, entry_threads: 1, listed_only: 0, slots: 64, upstreams: 8 };
    let cluster = Cluster::start("task", shape, &config_document(680, 200))?;
    cluster.wait_ready()?;
    thread::sleep(SECOND);
    let [entry, client, fakes] = task_points(&cluster, &[1, 10, 110], seconds, false)?;
    let [forwarded, ..] = task_points(&cluster, &[1, 10, 110], seconds, true)?;
    cluster.abort();
    Ok(vec![
        Row::new("entry: a submission over HTTP at its owner", "task", MICROS, entry),
        Row::new("entries: a submission over HTTP that one forwards to its owner", "task", MICROS, forwarded),
        Row::new("caller's client: a submission over HTTP", "task", MICROS, client),
        Row::new("stand-ins of upstreams: the tasks of a submission", "task", MICROS, fakes),
    ])
}

/// CPU time in microseconds per submission of the entries, the client and the fakes, for each number of tasks.
fn task_points(
    cluster: &Cluster,
    sizes: &[u32],
    seconds: f64,
    forwarded: bool,
) -> Result<[Vec<(f64, f64)>; 3], ClusterError> {
    let mut points: [Vec<(f64, f64)>; 3] = Default::default();
    for tasks in sizes {
        let rate = 1000.0 / f64::from(*tasks).sqrt();
        let options = Options { forwarded, rate, seconds, ..Options::uniform(*tasks) };
        let cpu_time_before = [cluster.entries_cpu_time(), threads_cpu_time("task-fake")];
        let report = run_against(&cluster.addresses(), &options)?;
        let entries = cluster.entries_cpu_time() - cpu_time_before[0];
        let fakes = threads_cpu_time("task-fake") - cpu_time_before[1];
        let submissions = report.complete().max(1) as f64;
        for (points, time) in points.iter_mut().zip([entries, report.client_cpu_time, fakes]) {
            points.push((f64::from(*tasks), time.as_secs_f64() * 1e6 / submissions));
        }
    }
    Ok(points)
}

/// Store calls of a simultaneous start of all entries, a configuration change, a store outage and its end, for each
/// number of entries.
///
/// # Errors
///
/// Fails when a cluster does not start.
pub(crate) fn store_rows(sizes: [usize; 2], observation: Duration) -> Result<Vec<Row>, ClusterError> {
    let mut points: [Vec<(f64, f64)>; 5] = Default::default();
    for entries in sizes {
        let shape = Shape { entries, entry_threads: 1, listed_only: 36, slots: 8, upstreams: 0 };
        let cluster = Cluster::start("store", shape, &config_document(680, 200))?;
        let (all, peak) = observe_calls(&cluster, observation);
        cluster.wait_ready()?;
        let figures = [all, peak, calls_per_change(&cluster)];
        cluster.platform.store.update(|store| store.control(&StoreControl::Down { times: None }));
        let (down, _) = observe_calls(&cluster, observation);
        cluster.platform.store.update(|store| store.control(&StoreControl::Clear {}));
        let (_, peak_after) = observe_calls(&cluster, observation);
        cluster.abort();
        let figures = [figures[0], figures[1], figures[2], down / observation.as_secs_f64(), peak_after];
        for (points, figure) in points.iter_mut().zip(figures) {
            points.push((entries as f64, figure));
        }
    }
    let [all, peak, change, down, recovery] = points;
    Ok(vec![
        Row::new("store calls in the watched time after a start at once", "entry", "calls", all),
        Row::new("store calls in the fullest second after a start at once", "entry", "calls/s", peak),
        Row::new("store calls of one configuration change", "entry", "calls", change),
        Row::new("store calls per second in the watched time of an outage", "entry", "calls/s", down),
        Row::new("store calls in the fullest second after the store's return", "entry", "calls/s", recovery),
    ])
}

/// Number of store calls during `observation`, and the most within one second of it.
fn observe_calls(cluster: &Cluster, observation: Duration) -> (f64, f64) {
    const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
    cluster.platform.store.update(|store| store.control(&StoreControl::ResetCounts {}));
    let samples = (observation.as_millis() / SAMPLE_INTERVAL.as_millis()) as usize;
    let mut totals = vec![0.0];
    for _ in 0..samples {
        thread::sleep(SAMPLE_INTERVAL);
        totals.push(total_calls(&store_counts(cluster)));
    }
    let window = (SECOND.as_millis() / SAMPLE_INTERVAL.as_millis()) as usize;
    let window = window.min(samples);
    let peak = totals.windows(window + 1).map(|part| part[window] - part[0]).fold(0.0, f64::max);
    (totals.last().copied().unwrap_or(0.0), peak)
}

/// Store calls of all entries after one configuration change, which is written to the store directly.
fn calls_per_change(cluster: &Cluster) -> f64 {
    cluster.platform.store.update(|store| store.control(&StoreControl::ResetCounts {}));
    let changed = hinge_conf::apply(&config_document(680, 200), &change_request(0)).ok();
    let value = changed.and_then(|document| hinge_wire::to_json(&document).ok());
    let value = value.map(|json| String::from_utf8_lossy(&json).into_owned()).unwrap_or_default();
    let put = StorePut { expect_revision: 1, lease: 0, value };
    let _ = cluster.block_on(cluster.platform.store.put("config/current", &put));
    thread::sleep(2 * SECOND);
    total_calls(&store_counts(cluster))
}

/// Resident memory of callers' open connections, each after one request.
///
/// # Errors
///
/// Fails when the sockets cannot be used.
pub(crate) fn connection_row() -> Result<Row, ClusterError> {
    let shape = Shape { entries: 1, entry_threads: 1, listed_only: 36, slots: 8, upstreams: 0 };
    let cluster = Cluster::start("conn", shape, &config_document(0, 0))?;
    cluster.wait_ready()?;
    let address = cluster.entries[0].address();
    let (before, mut open, mut points) = (resident_bytes(), Vec::new(), Vec::new());
    for count in [64, 256] {
        while open.len() < count {
            let mut stream = TcpStream::connect(address)?;
            stream.set_read_timeout(Some(SECOND))?;
            stream.write_all(format!("GET /healthz HTTP/1.1\r\nhost: {address}\r\n\r\n").as_bytes())?;
            let _ = stream.read(&mut [0; 1024])?;
            open.push(stream);
        }
        points.push((count as f64, resident_bytes() - before));
    }
    cluster.abort();
    Ok(Row::new("memory: open connection of a caller", "connection", "bytes", points))
}

/// Bytes of a heartbeat and of its reply on the wire, including the HTTP headers.
///
/// # Errors
///
/// Fails when the sockets cannot be used.
pub(crate) fn wire_rows() -> Result<Vec<Row>, ClusterError> {
    let shape = Shape { entries: 1, entry_threads: 1, listed_only: 36, slots: 8, upstreams: 0 };
    let cluster = Cluster::start("wire", shape, &config_document(0, 0))?;
    cluster.wait_ready()?;
    let peer = TcpListener::bind("127.0.0.1:0")?;
    let (request_head, version) = request_head(&cluster, &peer)?;
    let now = Instant::now();
    let (mut requests, mut replies) = (Vec::new(), Vec::new());
    for peers in [2, 15, 64] {
        let body = heartbeat_body(peers, now, 0);
        requests.push((peers as f64, (request_head + body.len()) as f64));
        replies.push((peers as f64, reply_bytes(cluster.entries[0].peer_address(), &version, &body)? as f64));
    }
    cluster.abort();
    Ok(vec![
        Row::new("heartbeat on the wire, with its HTTP head", "peer", "bytes", requests),
        Row::new("reply to a heartbeat on the wire, with its HTTP head", "peer", "bytes", replies),
    ])
}

/// Size of the HTTP request headers of an entry's heartbeat, and their version line. `peer` is put on the list so that
/// the entry connects to it.
fn request_head(cluster: &Cluster, peer: &TcpListener) -> Result<(usize, String), ClusterError> {
    let address = peer.local_addr()?.to_string();
    let listed = crate::fixture::listed_entry(1, address.clone(), address);
    cluster.platform.list.update(|list| {
        let control = hinge_fakes::ListControl { upsert: vec![listed], ..Default::default() };
        list.control(Instant::now(), &control);
    });
    let (mut stream, _) = peer.accept()?;
    stream.set_read_timeout(Some(SECOND))?;
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let version = text.lines().find(|line| line.to_ascii_lowercase().contains("version:"));
    Ok((head.len(), version.unwrap_or_default().to_owned()))
}

fn reply_bytes(address: SocketAddr, version: &str, body: &[u8]) -> Result<usize, ClusterError> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(SECOND))?;
    let head = format!(
        "POST /peer/v1/heartbeat HTTP/1.1\r\nhost: {address}\r\n{version}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut response = vec![0; 16_384];
    // One read is enough, because a reply arrives as one segment on loopback.
    Ok(stream.read(&mut response)?)
}
