//! A cluster of real processes on loopback: a fake platform, fake upstreams, and entries.

#![allow(
    dead_code,
    clippy::expect_used,
    clippy::panic,
    clippy::unwrap_used,
    reason = "test support, used in part by each test"
)]

pub(crate) mod crowd;
pub(crate) mod requests;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use celeryhinge::wire::{Submission, TaskSpec, from_json, to_json};
use hinge_fakes::{ListControl, StartsReply};

use celeryhinge::wire::{InstanceKind, ListEntry, ListState};

/// Longest wait for a process to reach a state; only a failing test waits this long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process that is killed when the test ends.
pub(crate) struct Process {
    pub(crate) child: Child,
    pub(crate) addresses: Vec<SocketAddr>,
    stdout: BufReader<std::process::ChildStdout>,
}

impl Process {
    /// Starts a binary and waits until it prints the line `listening <address> ...`.
    pub(crate) fn start(binary: &str, arguments: &[String]) -> Self {
        Self::start_with_variables(binary, arguments, &[])
    }

    /// Like `start`, with environment variables.
    pub(crate) fn start_with_variables(
        binary: &str,
        arguments: &[String],
        variables: &[(&str, String)],
    ) -> Self {
        let mut child = Command::new(binary_path(binary))
            .args(arguments)
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("cannot start the binary; build it with cargo build --workspace");
        let mut stdout = BufReader::new(child.stdout.take().unwrap());
        let mut line = String::new();
        stdout.read_line(&mut line).unwrap();
        let addresses = line.split_whitespace().skip(1).map(|address| address.parse().unwrap()).collect();
        Self { child, addresses, stdout }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.addresses[0]
    }

    pub(crate) fn peer_address(&self) -> SocketAddr {
        self.addresses[1]
    }

    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(status.unwrap().success());
    }

    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the process ends and returns its exit status; -1 if a signal ended it.
    pub(crate) fn wait(&mut self) -> i32 {
        let mut rest = String::new();
        self.stdout.read_to_string(&mut rest).unwrap();
        self.child.wait().unwrap().code().unwrap_or(-1)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn binary_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_hinge-entry")).with_file_name(name)
}

/// A platform, upstreams and entries of one data centre.
pub(crate) struct Cluster {
    pub(crate) entries: Vec<Process>,
    pub(crate) platform: Process,
    pub(crate) upstreams: Vec<Process>,
}

impl Cluster {
    pub(crate) fn start(entries: usize, upstreams: usize) -> Self {
        let platform = Process::start("hinge-fakes", &strings(&["platform", "--listen", "127.0.0.1:0"]));
        let upstreams: Vec<_> = (0..upstreams)
            .map(|_| Process::start("hinge-fakes", &strings(&["upstream", "--listen", "127.0.0.1:0"])))
            .collect();
        let mut cluster = Self { entries: Vec::new(), platform, upstreams };
        for index in 0..entries {
            let entry = cluster.start_entry(&format!("entry-{index}"), &[]);
            cluster.entries.push(entry);
        }
        cluster.publish_list();
        for entry in &cluster.entries {
            wait_ready(entry.address());
        }
        cluster
    }

    pub(crate) fn start_entry(&self, instance: &str, extra: &[&str]) -> Process {
        self.start_entry_at_store(instance, self.platform.address(), extra)
    }

    /// Starts an entry that uses the given store and the list of the platform.
    pub(crate) fn start_entry_at_store(&self, instance: &str, store: SocketAddr, extra: &[&str]) -> Process {
        Process::start("hinge-entry", &self.entry_arguments(instance, store, extra))
    }

    /// Arguments of an entry that uses the given store and the list of the platform.
    pub(crate) fn entry_arguments(&self, instance: &str, store: SocketAddr, extra: &[&str]) -> Vec<String> {
        let platform = self.platform.address().to_string();
        let mut arguments = strings(&[
            "--instance",
            instance,
            "--data-centre",
            "dc1",
            "--listen",
            "127.0.0.1:0",
            "--peer-listen",
            "127.0.0.1:0",
            "--store",
            &store.to_string(),
            "--list",
            &platform,
            "--drain-linger-ms",
            "100",
        ]);
        arguments.extend(strings(extra));
        arguments
    }

    /// Publishes a list that shows all processes as live.
    pub(crate) fn publish_list(&self) {
        self.publish_list_with_leaving(None);
    }

    /// Publishes a list that shows all processes as live, except for one upstream that is leaving.
    pub(crate) fn publish_list_with_leaving(&self, leaving: Option<usize>) {
        let upstreams = self.upstreams.iter().enumerate().map(|(index, process)| ListEntry {
            address: process.address().to_string(),
            data_centre: "dc1".to_owned(),
            id: format!("up-{index}"),
            kind: InstanceKind::Upstream,
            memory_mb: 32_000,
            peer_address: String::new(),
            rack: format!("rack-{}", index / 2),
            service: "deicing".to_owned(),
            slots: 8,
            state: if leaving == Some(index) { ListState::Leaving } else { ListState::Live },
        });
        let entries = self.entries.iter().enumerate().map(|(index, process)| ListEntry {
            address: process.address().to_string(),
            data_centre: "dc1".to_owned(),
            id: format!("entry-{index}"),
            kind: InstanceKind::Entry,
            memory_mb: 0,
            peer_address: process.peer_address().to_string(),
            rack: "rack-0".to_owned(),
            service: String::new(),
            slots: 0,
            state: ListState::Live,
        });
        let control =
            ListControl { entries: Some(upstreams.chain(entries).collect()), ..ListControl::default() };
        let body = to_json(&control).unwrap();
        let (status, _) = http(self.platform.address(), "POST", "/control/list", &body);
        assert!((200..300).contains(&status), "status {status}");
    }

    /// The starts that one upstream has accepted, and how many it has refused.
    pub(crate) fn starts_at(&self, upstream: usize) -> StartsReply {
        let (_, body) = http(self.upstreams[upstream].address(), "GET", "/starts", b"");
        from_json(&body).unwrap()
    }

    /// Payloads of all tasks started by any upstream, sorted.
    pub(crate) fn started_payloads(&self) -> Vec<String> {
        let mut payloads: Vec<String> = (0..self.upstreams.len())
            .flat_map(|upstream| self.starts_at(upstream).starts.into_iter().map(|start| start.payload))
            .collect();
        payloads.sort();
        payloads
    }
}

pub(crate) fn strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

/// Sends one HTTP request and reads the whole response.
pub(crate) fn http(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
    try_http(address, method, path, body).expect("the server answers")
}

/// Like `http`; `None` if the connection or the response fails.
pub(crate) fn try_http(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).ok()?;
    let split = response.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&response[..split]).into_owned();
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, response[split + 4..].to_vec()))
}

/// Waits until `check` returns true; panics after `WAIT_TIMEOUT`.
pub(crate) fn wait_until(what: &str, mut check: impl FnMut() -> bool) {
    for _ in 0..WAIT_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis() {
        if check() {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting for {what}");
}

pub(crate) fn wait_ready(address: SocketAddr) {
    wait_until("readiness", || {
        try_http(address, "GET", "/readyz", b"").is_some_and(|(status, _)| status == 200)
    });
}

/// A submission without a key for the service of the upstreams.
pub(crate) fn submission(class: celeryhinge::wire::Class, payloads: &[String]) -> Submission {
    Submission {
        class,
        deadline_ms: None,
        definite: false,
        idempotent: false,
        key: None,
        service: "deicing".to_owned(),
        tasks: payloads
            .iter()
            .map(|payload| TaskSpec { memory_mb: None, payload: payload.clone(), run_time_ms: None })
            .collect(),
        team: "apron-a".to_owned(),
        wait_ms: None,
    }
}

/// A payload for a fake upstream: the task runs for `run_ms` and returns `result`.
pub(crate) fn payload(run_ms: u64, result: &str) -> String {
    format!(r#"{{"run_ms": {run_ms}, "result": "{result}", "fail": false}}"#)
}
