//! A cluster of platform stand-ins, upstreams and entries in one process.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hinge_client::Client;
use hinge_conf::{EntrySettings, Flags};
use hinge_entry::Entry;
use hinge_fakes::{
    FakeList, FakeStore, FakeUpstream, Platform, ServerHandle, Shared, StartRecord, StoreCaps,
    UpstreamOptions, serve,
};
use hinge_wire::{InstanceKind, ListEntry, ListState};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};

use crate::error::DemoError;
use crate::options::Options;
use crate::submissions::SERVICE;

const DATA_CENTRE: &str = "dc1";
/// Longest wait until the entries are ready; they apply the list within milliseconds.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
const SLOTS_PER_UPSTREAM: u32 = 8;
const UPSTREAMS_PER_RACK: usize = 2;

/// Running stand-ins and entries.
pub struct Cluster {
    entries: Vec<Entry>,
    /// Address of the store and the list.
    platform: SocketAddr,
    servers: Vec<ServerHandle>,
    upstreams: Vec<Shared<FakeUpstream>>,
}

impl Cluster {
    /// Starts the stand-ins and the entries, and waits until all entries are ready.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, a setting is invalid or the entries do not become ready in time.
    pub async fn start(options: &Options) -> Result<Self, DemoError> {
        let list = Shared::new(FakeList::new(Duration::ZERO));
        let store = Shared::new(FakeStore::new(StoreCaps::default()));
        let server = serve(bind_loopback().await?, Platform { list: list.clone(), store })?;
        let platform = server.address();
        let mut cluster =
            Self { entries: Vec::new(), platform, servers: vec![server], upstreams: Vec::new() };
        let mut listed = Vec::new();
        for index in 0..options.upstreams {
            listed.push(cluster.start_upstream(index).await?);
        }
        for index in 0..options.entries {
            listed.push(cluster.start_entry(index, options).await?);
        }
        list.update(|list| list.set(Instant::now(), listed));
        let ready = async {
            while !cluster.entries.iter().all(Entry::is_ready) {
                sleep(READY_POLL_INTERVAL).await;
            }
        };
        timeout(READY_TIMEOUT, ready).await.map_err(|_| DemoError::NotReady)?;
        Ok(cluster)
    }

    async fn start_upstream(&mut self, index: usize) -> Result<ListEntry, DemoError> {
        let options = UpstreamOptions { slots: SLOTS_PER_UPSTREAM as usize, ..UpstreamOptions::default() };
        let upstream = Shared::new(FakeUpstream::new(Instant::now(), options));
        let server = serve(bind_loopback().await?, upstream.clone())?;
        let entry = ListEntry {
            address: server.address().to_string(),
            data_centre: DATA_CENTRE.to_owned(),
            id: format!("upstream-{index}"),
            kind: InstanceKind::Upstream,
            memory_mb: 32_000,
            peer_address: String::new(),
            rack: format!("rack-{}", index / UPSTREAMS_PER_RACK),
            service: SERVICE.to_owned(),
            slots: SLOTS_PER_UPSTREAM,
            state: ListState::Live,
        };
        self.servers.push(server);
        self.upstreams.push(upstream);
        Ok(entry)
    }

    async fn start_entry(&mut self, index: usize, options: &Options) -> Result<ListEntry, DemoError> {
        let id = format!("entry-{index}");
        let port = |offset: u16| match options.port {
            0 => "127.0.0.1:0".to_owned(),
            port => format!("127.0.0.1:{}", port + 2 * index as u16 + offset),
        };
        let flags = Flags {
            data_centre: Some(DATA_CENTRE.to_owned()),
            drain_linger_ms: Some("100".to_owned()),
            instance: Some(id.clone()),
            list: Some(self.platform.to_string()),
            listen: Some(port(0)),
            peer_listen: Some(port(1)),
            // Each entry needs a different seed. The sum is never 0, which would select a random seed.
            seed: Some((options.seed % (1 << 32) * 16 + index as u64 + 1).to_string()),
            store: Some(self.platform.to_string()),
            ..Flags::default()
        };
        let entry = Entry::start(EntrySettings::from_flags(&flags, |_| None)?).await?;
        let listed = ListEntry {
            address: entry.address().to_string(),
            data_centre: DATA_CENTRE.to_owned(),
            id,
            kind: InstanceKind::Entry,
            memory_mb: 0,
            peer_address: entry.peer_address().to_string(),
            rack: "rack-0".to_owned(),
            service: String::new(),
            slots: 0,
            state: ListState::Live,
        };
        self.entries.push(entry);
        Ok(listed)
    }

    /// Addresses at which the entries accept callers.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::address).collect()
    }

    /// Creates a client that knows all entries.
    pub(crate) fn client(&self, options: &Options) -> Result<Client, DemoError> {
        let builder = Client::builder().seed(options.seed);
        let builder = self.entries.iter().fold(builder, |builder, entry| builder.entry(entry.address()));
        Ok(builder.build()?)
    }

    /// Creates a client that knows only the last entry.
    pub(crate) fn last_entry_client(&self, options: &Options) -> Result<Client, DemoError> {
        let builder = Client::builder().seed(options.seed);
        let builder =
            self.entries.iter().rev().take(1).fold(builder, |builder, entry| builder.entry(entry.address()));
        Ok(builder.build()?)
    }

    /// Records of the tasks that the upstreams started.
    pub(crate) fn task_starts(&self) -> Vec<StartRecord> {
        self.upstreams
            .iter()
            .flat_map(|upstream| upstream.update(|upstream| upstream.starts(0)).starts)
            .collect()
    }

    /// Drains the entries, then stops the stand-ins; returns the number of submissions and tasks that were lost.
    ///
    /// An entry whose drain panics counts as one.
    pub async fn stop(self) -> usize {
        let drains: Vec<_> =
            self.entries.into_iter().map(|entry| tokio::spawn(entry.drain(std::future::pending()))).collect();
        let mut lost = 0;
        for drain in drains {
            lost += drain.await.map_or(1, |report| report.lost_submissions + report.lost_tasks);
        }
        for server in self.servers {
            server.shutdown().await;
        }
        lost
    }
}

impl fmt::Display for Cluster {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "store and list: {}; {} upstreams", self.platform, self.upstreams.len())?;
        for (index, entry) in self.entries.iter().enumerate() {
            write!(f, "\nentry-{index}: callers {}, operators {}", entry.address(), entry.peer_address())?;
        }
        Ok(())
    }
}

async fn bind_loopback() -> std::io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").await
}
