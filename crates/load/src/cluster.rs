//! A cluster in this process on loopback: real entry instances, with a fake store, instance list and upstreams.
//!
//! Entries and fakes run on threads with different name prefixes, so that their CPU time can be measured separately.

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
use crate::usage::threads_cpu_time;

const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Error while a cluster is started or used.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// The client could not be built.
    #[error(transparent)]
    Client(#[from] hinge_client::BuildError),
    /// A socket, runtime or store operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// An entry failed to start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The settings of an entry are invalid.
    #[error(transparent)]
    Setting(#[from] SettingError),
    /// Some entry was not ready ten seconds after the start.
    #[error("the entries were not ready within 10 s")]
    NotReady,
    /// A task that starts an entry or submits the load panicked or was cancelled.
    #[error("a task of the load tool failed: {0}")]
    TaskFailed(#[from] tokio::task::JoinError),
}

/// Size of a [`Cluster`].
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of entry instances.
    pub entries: usize,
    /// Worker threads of each entry. Entries have separate runtimes, because on a shared one they would share thread
    /// wake-ups and appear cheaper than they are.
    pub entry_threads: usize,
    /// Number of upstreams that are on the list but do not run. An idle entry does not connect to upstreams, so only
    /// idle measurements may use them.
    pub listed_only: usize,
    /// Task slots of each running upstream.
    pub slots: usize,
    /// Number of running fake upstreams.
    pub upstreams: usize,
}

/// A running cluster. [`Cluster::abort`] ends it.
pub struct Cluster {
    /// The entry instances, in the order of their index.
    pub entries: Vec<Entry>,
    /// The fake store and instance list.
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
    /// Starts the fakes with `document` in the store as the configuration, then the entries, and puts the entries and
    /// upstreams on the list.
    ///
    /// `name` is the prefix of all thread names and must differ from those of other running clusters.
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
        let list_entries = upstreams.into_iter().chain(listed).collect();
        platform.list.update(|list| list.set(Instant::now(), list_entries));
        let name = name.to_owned();
        Ok(Self { entries, platform, entry_runtimes, name, fakes_runtime, _servers: servers })
    }

    /// Blocks until all entries are ready for submissions.
    ///
    /// # Errors
    ///
    /// Fails with [`ClusterError::NotReady`] when one is not ready within ten seconds.
    pub fn wait_ready(&self) -> Result<(), ClusterError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.entries.iter().all(Entry::is_ready) {
            if Instant::now() > deadline {
                return Err(ClusterError::NotReady);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// The addresses on which the entries accept submissions.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::address).collect()
    }

    /// CPU time that the threads of all entries have used since their start.
    #[must_use]
    pub fn entries_cpu_time(&self) -> Duration {
        threads_cpu_time(&format!("{}-entry", self.name))
    }

    /// Runs `future` to its end on the fakes' runtime, so that its CPU time does not count for the entries.
    pub fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.fakes_runtime.block_on(future)
    }

    /// Shuts the cluster down without draining the entries, as a crash would.
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
    let not_running = shape.upstreams..shape.upstreams + shape.listed_only;
    listed.extend(not_running.map(|index| upstream(index, "127.0.0.1:9".to_owned())));
    Ok((servers, address, listed))
}

async fn listen() -> io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").await
}

async fn start_entry(index: usize, platform: SocketAddr) -> Result<Entry, ClusterError> {
    let settings = settings(index, platform)?;
    // Spawned, because `block_on` would poll the start on the calling thread, whose CPU time does not count for the entry.
    Ok(tokio::spawn(Entry::start(settings)).await??)
}

fn settings(index: usize, platform: SocketAddr) -> Result<EntrySettings, SettingError> {
    let flag = |value: &str| Some(value.to_owned());
    let flags = Flags {
        data_centre: flag(DATA_CENTRE),
        instance: Some(format!("entry-{index:03}")),
        list: Some(platform.to_string()),
        listen: flag("127.0.0.1:0"),
        peer_listen: flag("127.0.0.1:0"),
        seed: Some((index + 1).to_string()),
        store: Some(platform.to_string()),
        ..Flags::default()
    };
    EntrySettings::from_flags(&flags, |_| None)
}
