//! Stand-ins of the platform, upstreams and entry instances in this process, on loopback.
//!
//! Each part runs on threads of its own, whose names tell its processor time apart from the others'.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hinge_conf::{EntrySettings, Flags, SettingError};
use hinge_entry::{Entry, StartError};
use hinge_fakes::{
    FakeList, FakeStore, FakeUpstream, Platform, ServerHandle, Shared, StoreCaps, UpstreamOptions, serve,
};
use hinge_wire::{ConfigDocument, ListEntry, StorePut, to_json};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::time::Instant;

use crate::fixture::{DATA_CENTRE, listed_entry, upstream};
use crate::usage::threads_time;

/// Longest wait until all entries are ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Why a cluster could not be started or used.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// The client cannot be built.
    #[error(transparent)]
    Client(#[from] hinge_client::BuildError),
    /// A socket or thread cannot be made.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// An entry did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The settings of an entry are not valid.
    #[error(transparent)]
    Setting(#[from] SettingError),
    /// The entries were not ready in time.
    #[error("the entries were not ready in time")]
    NotReady,
    /// A task of the load tool ended early.
    #[error("a part of the load tool ended early: {0}")]
    Ended(#[from] tokio::task::JoinError),
}

/// Size of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Entry instances.
    pub entries: usize,
    /// Threads of each entry. Entries share none, because they would share wake-ups and so seem cheaper.
    pub entry_threads: usize,
    /// Upstreams on the list that do not run; they are never connected to at idle.
    pub listed_only: usize,
    /// Slots per upstream.
    pub slots: usize,
    /// Upstreams that run.
    pub upstreams: usize,
}

/// A running cluster.
pub struct Cluster {
    /// Entry instances.
    pub entries: Vec<Entry>,
    /// The stand-in of store and list.
    pub platform: Platform,
    entry_runtimes: Vec<Runtime>,
    name: String,
    fakes_runtime: Runtime,
    _servers: Vec<ServerHandle>,
}

fn runtime(name: &str, threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread().enable_all().worker_threads(threads).thread_name(name).build()
}

impl Cluster {
    /// Starts the stand-ins with a configuration in the store, then all entries at once.
    ///
    /// # Errors
    ///
    /// Fails when a socket cannot be opened or an entry does not start.
    pub fn start(name: &str, shape: Shape, document: &ConfigDocument) -> Result<Self, ClusterError> {
        let fakes_runtime = runtime(&format!("{name}-fake"), 2)?;
        let entry_runtimes = (0..shape.entries)
            .map(|_| runtime(&format!("{name}-entry"), shape.entry_threads))
            .collect::<Result<Vec<_>, _>>()?;
        let platform = Platform {
            list: Shared::new(FakeList::new(Duration::ZERO)),
            store: Shared::new(FakeStore::new(StoreCaps { reads_per_s: 0, writes_per_s: 0 })),
        };
        let (servers, address, upstreams) =
            fakes_runtime.block_on(start_fakes(&platform, shape, document))?;
        let entries = entry_runtimes
            .iter()
            .enumerate()
            .map(|(index, runtime)| runtime.block_on(start_entry(index, address)))
            .collect::<Result<Vec<_>, _>>()?;
        let listed = entries.iter().enumerate().map(|(index, entry)| {
            listed_entry(index, entry.address().to_string(), entry.peer_address().to_string())
        });
        let all = upstreams.into_iter().chain(listed).collect();
        platform.list.update(|list| list.set(Instant::now(), all));
        let name = name.to_owned();
        Ok(Self { entries, platform, entry_runtimes, name, fakes_runtime, _servers: servers })
    }

    /// Waits until all entries take submissions.
    ///
    /// # Errors
    ///
    /// Fails when they do not within ten seconds.
    pub fn wait_ready(&self) -> Result<(), ClusterError> {
        let end = Instant::now() + READY_LIMIT;
        while !self.entries.iter().all(Entry::is_ready) {
            if Instant::now() > end {
                return Err(ClusterError::NotReady);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Addresses for callers.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::address).collect()
    }

    /// Processor time of all entries.
    #[must_use]
    pub fn entries_time(&self) -> Duration {
        threads_time(&format!("{}-entry", self.name))
    }

    /// Runs `future` on a thread that is not an entry's.
    pub fn wait<F: Future>(&self, future: F) -> F::Output {
        self.fakes_runtime.block_on(future)
    }

    /// Ends the entries without a drain, as a crash does.
    pub fn abort(self) {
        drop(self.entries);
        for runtime in self.entry_runtimes {
            runtime.shutdown_timeout(Duration::from_millis(100));
        }
        self.fakes_runtime.shutdown_timeout(Duration::from_millis(100));
    }
}

async fn start_fakes(
    platform: &Platform,
    shape: Shape,
    document: &ConfigDocument,
) -> Result<(Vec<ServerHandle>, SocketAddr, Vec<ListEntry>), ClusterError> {
    let value = to_json(document).map(|json| String::from_utf8_lossy(&json).into_owned()).unwrap_or_default();
    let put = StorePut { expect_revision: 0, lease: 0, value };
    platform.store.put("config/current", &put).await.map_err(|error| io::Error::other(error.to_string()))?;
    let server = serve(listen().await?, platform.clone())?;
    let address = server.address();
    let (mut servers, mut listed) = (vec![server], Vec::new());
    let options =
        UpstreamOptions { run_time: Duration::from_millis(50), slots: shape.slots, ..Default::default() };
    for index in 0..shape.upstreams {
        let state = Shared::new(FakeUpstream::new(Instant::now(), options));
        let server = serve(listen().await?, state)?;
        let entry = upstream(index, server.address().to_string());
        listed.push(ListEntry { slots: shape.slots as u32, ..entry });
        servers.push(server);
    }
    let idle = shape.upstreams..shape.upstreams + shape.listed_only;
    listed.extend(idle.map(|index| upstream(index, "127.0.0.1:9".to_owned())));
    Ok((servers, address, listed))
}

async fn listen() -> io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").await
}

async fn start_entry(index: usize, platform: SocketAddr) -> Result<Entry, ClusterError> {
    let settings = settings(index, platform)?;
    // On a worker of the runtime, so that the tasks of the entry are not the calling thread's.
    Ok(tokio::spawn(Entry::start(settings)).await??)
}

fn settings(index: usize, platform: SocketAddr) -> Result<EntrySettings, SettingError> {
    let text = |value: &str| Some(value.to_owned());
    let flags = Flags {
        data_centre: text(DATA_CENTRE),
        instance: Some(format!("entry-{index:03}")),
        list: Some(platform.to_string()),
        listen: text("127.0.0.1:0"),
        peer_listen: text("127.0.0.1:0"),
        seed: Some((index + 1).to_string()),
        store: Some(platform.to_string()),
        ..Flags::default()
    };
    EntrySettings::from_flags(&flags, |_| None)
}
