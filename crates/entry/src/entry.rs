//! Starting and stopping an entry instance.

use std::net::SocketAddr;
use std::sync::Arc;

use hinge_budget::{Budget, CALLER_BACKLOG, CLIENT_RECEIVE_BYTES, Grant, Held, PAGE_BACKLOG};
use hinge_conf::{EntrySettings, Policy};
use hinge_dispatch::{Dispatcher, Origin};
use hinge_member::Members;
use hinge_obs::{Metrics, MetricsError};
use hinge_store::{Claims, ConfigSync, HttpStore, Source, SyncEvent};
use hinge_wire::{Incarnation, InstanceState, LogEvent, MemberInfo};
use rand::Rng;
use serde::Serialize;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::callers::CallerHandler;
use crate::connections::{Connections, Limits};
use crate::lifecycle::LifecycleEvent;
use crate::loops;
use crate::peer_server::PeerHandler;
use crate::platform_list;
use crate::server::{ServerLimits, serve};
use crate::shared::{Shared, SharedParts};

/// Reason why an entry instance could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Binding a listen address failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address for callers or for peers.
        address: SocketAddr,
        /// The error from the operating system.
        source: std::io::Error,
    },
    /// The socket for sending metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Work that was unfinished when a drain ended; both counts are 0 after a complete drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct StopReport {
    /// Submissions in progress that were given no final answer.
    pub lost_submissions: usize,
    /// Started tasks whose end had not been reported.
    pub lost_tasks: usize,
}

/// A running entry instance.
///
/// Dropping it aborts its servers and loops; [`drain`](Self::drain) stops it in an orderly way.
pub struct Entry {
    address: SocketAddr,
    peer_address: SocketAddr,
    servers: JoinSet<()>,
    shared: Arc<Shared>,
    stop_servers: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

#[derive(Serialize)]
struct Started {
    address: SocketAddr,
    incarnation: String,
    peer_address: SocketAddr,
}

#[derive(Serialize)]
struct SyncDetails<'a> {
    reason: Option<&'a str>,
    revision: Option<u64>,
}

impl<'a> SyncDetails<'a> {
    fn new(event: &'a SyncEvent) -> Self {
        match event {
            SyncEvent::Applied { revision, .. } => Self { reason: None, revision: Some(*revision) },
            SyncEvent::Rejected { reason, revision, .. } => {
                Self { reason: Some(reason), revision: Some(*revision) }
            }
            SyncEvent::StoreRecovered => Self { reason: None, revision: None },
            SyncEvent::StoreUnreachable { reason } => Self { reason: Some(reason), revision: None },
        }
    }
}

impl Entry {
    /// Starts an instance: binds its listeners and starts following the platform and exchanging messages with peers.
    ///
    /// # Errors
    ///
    /// Fails when a listen address cannot be bound or the socket for metrics cannot be set up.
    pub async fn start(mut settings: EntrySettings) -> Result<Self, StartError> {
        let listener = bind(settings.listen, CALLER_BACKLOG)?;
        let peer_listener = bind(settings.peer_listen, PAGE_BACKLOG)?;
        let address = listener.local_addr().unwrap_or(settings.listen);
        let peer_address = peer_listener.local_addr().unwrap_or(settings.peer_listen);
        settings.advertise = settings.advertise.or(Some(peer_address));
        let shared = Arc::new(Shared::new(build_parts(settings)?));
        let (stop_servers, stop) = watch::channel(false);
        let mut servers = JoinSet::new();
        let grant = grant(&shared.settings);
        let budget = shared.budget.clone();
        let limits = server_limits(&shared.settings, grant.caller_connections());
        servers.spawn(serve(listener, CallerHandler(shared.clone()), limits, budget.clone(), stop.clone()));
        // A submission can be larger in MessagePack than in the caller's JSON, which may omit fields.
        let limits = server_limits(&shared.settings, grant.peer_connections());
        let limits = ServerLimits { max_body_bytes: limits.max_body_bytes.saturating_mul(2), ..limits };
        servers.spawn(serve(peer_listener, PeerHandler(shared.clone()), limits, budget, stop));
        let tasks = spawn_loops(&shared);
        let incarnation = format!("{:016x}", shared.incarnation);
        hinge_obs::emit(LogEvent::Started, &Started { address, incarnation, peer_address });
        Ok(Self { address, peer_address, servers, shared, stop_servers, tasks })
    }

    /// Address on which the instance serves callers, with the port that was bound.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address on which the instance serves peers and operators, with the port that was bound.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Whether the instance accepts submissions: configuration and upstream list are known and no drain has begun.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.unready_reason().is_none()
    }

    /// Waits until an operator has requested a drain.
    pub async fn drain_requested(&self) {
        let mut requested = self.shared.drain_requested.subscribe();
        let _ = requested.wait_for(|requested| *requested).await;
    }

    /// Drains the instance and stops it.
    ///
    /// A draining instance accepts no new submissions. It completes those in progress, keeps their answers available
    /// for `drain_linger` and then stops. It stops early after `drain_timeout` or when `abort` completes.
    pub async fn drain(mut self, abort: impl Future<Output = ()>) -> StopReport {
        self.shared.begin_drain();
        let limit = self.shared.settings.drain_timeout;
        let finish = finish(&self.shared, &self.stop_servers, &mut self.servers);
        let finished = tokio::select! {
            finished = timeout(limit, finish) => finished.is_ok(),
            () = abort => false,
        };
        let report = self.stop_report();
        let event = if finished { LogEvent::Drained } else { LogEvent::DrainTimedOut };
        hinge_obs::emit(event, &report);
        self.shared.apply_lifecycle_event(LifecycleEvent::Stop);
        self.shared.metrics.flush();
        self.tasks.shutdown().await;
        report
    }

    fn stop_report(&self) -> StopReport {
        let (lost_submissions, lost_tasks) =
            self.shared.with_dispatcher(|dispatcher, _| (dispatcher.in_progress(), dispatcher.running()));
        StopReport { lost_submissions, lost_tasks }
    }
}

/// Waits until all submissions in progress have ended and all HTTP requests in flight are answered. The latter include
/// requests that were forwarded to the owner of their key; they last until the owner replies.
async fn finish(shared: &Shared, stop_servers: &watch::Sender<bool>, servers: &mut JoinSet<()>) {
    let mut drained = shared.drained.subscribe();
    let _ = drained.wait_for(|drained| *drained).await;
    sleep(shared.settings.drain_linger).await;
    stop_servers.send_replace(true);
    while servers.join_next().await.is_some() {}
}

fn bind(address: SocketAddr, backlog: u32) -> Result<TcpListener, StartError> {
    let listener = hinge_budget::listen(address, CLIENT_RECEIVE_BYTES, backlog);
    listener.map_err(|source| StartError::Listen { address, source })
}

fn build_parts(settings: EntrySettings) -> Result<SharedParts, StartError> {
    let budget = Budget::for_threads(grant(&settings));
    let policy = bounded(Policy::default(), &budget);
    let incarnation: Incarnation = rand::rng().random();
    let seed = settings.seed.unwrap_or_else(|| rand::rng().random());
    let origin = Origin {
        data_centre: settings.data_centre.clone(),
        incarnation,
        instance: settings.instance.clone(),
    };
    let metrics = match settings.statsd {
        Some(address) => Metrics::statsd(address, &settings.instance)?,
        None => Metrics::disabled(),
    };
    let store = settings
        .store
        .map(|address| HttpStore::new(address, settings.connect_timeout, settings.peer_timeout));
    let config = ConfigSync::new(store.clone(), origin.data_centre.clone(), seed).with_report(log_sync);
    let limits =
        Limits { connect_timeout: settings.connect_timeout, idle_per_address: settings.upstream_connections };
    Ok(SharedParts {
        claims: Claims::new(store, config.counters(), &policy, seed),
        config: Arc::new(config),
        connections: Connections::new(limits, budget.clone()),
        dispatcher: Dispatcher::new(origin, &policy, seed),
        kept_results: kept_results(&policy, &budget),
        budget,
        incarnation,
        members: Members::new(local_info(&settings, incarnation), settings.peers.clone(), &policy, seed),
        metrics,
        settings,
    })
}

/// A policy that keeps no more results than the memory allows.
pub(crate) fn bounded(mut policy: Policy, budget: &Budget) -> Policy {
    let max_bytes = u64::try_from(budget.max_kept_result_bytes()).unwrap_or(u64::MAX);
    policy.answer_memory_bytes = policy.answer_memory_bytes.min(max_bytes);
    policy
}

/// Counts the results that a bounded policy keeps, whether there are so many or not.
fn kept_results(policy: &Policy, budget: &Budget) -> Held {
    budget.count(usize::try_from(policy.answer_memory_bytes).unwrap_or(usize::MAX))
}

fn local_info(settings: &EntrySettings, incarnation: Incarnation) -> MemberInfo {
    MemberInfo {
        config_revision: 0,
        counter: 0,
        data_centre: settings.data_centre.to_string(),
        free_slots: 0,
        incarnation,
        instance: settings.instance.to_string(),
        peer_address: settings.advertise.unwrap_or(settings.peer_listen).to_string(),
        queued_tasks: 0,
        state: InstanceState::Starting,
    }
}

fn log_sync(event: &SyncEvent) {
    // Changes are logged by the operators' interface, together with their author.
    if matches!(event, SyncEvent::Applied { source: Source::Change, .. }) {
        return;
    }
    hinge_obs::emit(event.log_event(), &SyncDetails::new(event));
}

/// What the machine grants to the process.
fn grant(settings: &EntrySettings) -> Grant {
    Grant { max_descriptors: settings.max_descriptors, memory_mb: settings.memory_mb }
}

/// Limits of a listener that has `max_connections` of the descriptors.
fn server_limits(settings: &EntrySettings, max_connections: usize) -> ServerLimits {
    ServerLimits {
        idle_timeout: settings.idle_timeout,
        max_body_bytes: settings.max_body_bytes,
        max_connections: settings.max_connections.min(max_connections),
        max_header_bytes: settings.max_header_bytes,
    }
}

fn spawn_loops(shared: &Arc<Shared>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(loops::run_ticks(shared.clone()));
    tasks.spawn(loops::follow_peer_config(shared.clone()));
    tasks.spawn(loops::flush_metrics(shared.clone()));
    if let Some(address) = shared.settings.list {
        tasks.spawn(platform_list::follow(shared.clone(), address));
    }
    let config = shared.config.clone();
    tasks.spawn(async move { config.run().await });
    tasks
}
