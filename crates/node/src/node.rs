//! Drives an engine: feeds it inputs and executes its outputs.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use hinge_budget::Held;
use hinge_jobs::{Answer, JobRequest};
use hinge_mesh::{Hello, Mesh, MeshEvent, PeerAddress};
use hinge_runs::{Hold, HoldReply, HomeId, StartOrder, StartReply, StopOrder};
use hinge_wire::{FastMap, FastSet};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::engine::Engine;
use crate::event::{Input, Output, SubmissionId};
use crate::journal::LogLine;
use crate::metrics::NodeMetrics;

/// Time between two ticks of the engine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of the queue of inputs.
const MAX_QUEUED_INPUTS: usize = 16_384;
/// Maximum number of inputs that are handled before messages go out.
const INPUT_BATCH: usize = 128;
/// Time without a message after which a peer counts as unresponsive and gets no new tasks. Peers send a heartbeat every
/// 100 ms.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(220);
/// Time between two readings of what the links cost.
const MESH_STATS_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum gap between two iterations that counts as a suspension of the process, after which leases may have expired
/// unnoticed.
const MIN_SUSPENSION: Duration = Duration::from_millis(600);

/// Minimum time that the steady clock does not count and that counts as a suspension: the time stamps of peers, which that
/// clock measures, are older by as much.
const MIN_UNCOUNTED: Duration = Duration::from_millis(50);

/// Readings of both clocks, the steady one first.
#[derive(Clone, Copy)]
struct Clocks {
    steady: Instant,
    since_boot: Duration,
}

/// Sends orders to upstreams.
pub trait UpstreamPort: Clone + Send + Sync + 'static {
    /// Renews the lease of an upstream's runs and reads which of them run or have ended.
    fn hold(&self, hold: &Hold) -> impl Future<Output = HoldReply> + Send;

    /// Starts a task on an upstream.
    fn start(&self, start: &StartOrder) -> impl Future<Output = StartReply> + Send;

    /// Stops a run. The next [`hold`](Self::hold) shows whether the run has ended.
    fn stop(&self, stop: &StopOrder) -> impl Future<Output = ()> + Send;
}

/// A clock that advances while the process or its host is suspended.
pub trait SuspendClock: Send + 'static {
    /// Time since a fixed point in the past.
    fn elapsed(&self) -> Duration;
}

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Identity that this process announces to its peers.
    pub local: Hello,
    /// Seed of random choices.
    pub seed: u64,
    /// Unix time at the start of the process in milliseconds; fencing tokens grow from it.
    pub started_unix_ms: u64,
}

/// A submitted job whose answer is pending. Dropping it abandons the job.
#[derive(Debug)]
pub struct Submitted {
    answer: oneshot::Receiver<Answer>,
    guard: AbandonGuard,
}

/// Abandons the job on drop, unless it was answered.
#[derive(Debug)]
struct AbandonGuard {
    commands: mpsc::Sender<Command>,
    submission: Option<SubmissionId>,
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if let Some(submission) = self.submission.take() {
            // Wakes the node. If the queue is full, the node is awake, and finds the closed answer by itself.
            let _ = self.commands.try_send(Command::Input(Input::Abandon(submission)));
        }
    }
}

impl Submitted {
    /// Waits for the answer; returns none if the node stops first.
    pub async fn answer(mut self) -> Option<Answer> {
        let answer = (&mut self.answer).await.ok();
        self.guard.submission = None;
        answer
    }
}

/// A caller that waits for the answer to its job.
#[derive(Debug)]
struct Caller {
    /// What the job occupies, until it is answered or abandoned.
    _held: Option<Held>,
    reply: oneshot::Sender<Answer>,
}

#[derive(Debug)]
enum Command {
    InProgress(oneshot::Sender<usize>),
    Input(Input),
    Pending { queue: Arc<str>, reply: oneshot::Sender<usize> },
    Submit { caller: Caller, request: Box<JobRequest>, submission: SubmissionId },
}

/// Sends inputs and queries to a running node.
#[derive(Clone, Debug)]
pub struct NodeHandle {
    commands: mpsc::Sender<Command>,
    config: watch::Receiver<Option<(u64, Bytes)>>,
    next_submission: Arc<std::sync::atomic::AtomicU64>,
}

impl NodeHandle {
    /// Queues an input for the engine; waits while the queue is full.
    pub async fn send_input(&self, input: Input) {
        // Fails only when the node has stopped.
        let _ = self.commands.send(Command::Input(input)).await;
    }

    /// Submits a job. Returns none if the queue of inputs is full; nothing of the job runs then.
    #[must_use]
    pub fn submit(&self, request: JobRequest) -> Option<Submitted> {
        self.enqueue(request, None)
    }

    /// Like [`submit`](Self::submit). `held` counts what the job occupies, also while it is queued after its caller has left.
    #[must_use]
    pub fn submit_held(&self, request: JobRequest, held: Held) -> Option<Submitted> {
        self.enqueue(request, Some(held))
    }

    fn enqueue(&self, request: JobRequest, held: Option<Held>) -> Option<Submitted> {
        let submission = self.next_submission.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        let caller = Caller { _held: held, reply };
        let command = Command::Submit { caller, request: Box::new(request), submission };
        self.commands.try_send(command).ok()?;
        let guard = AbandonGuard { commands: self.commands.clone(), submission: Some(submission) };
        Some(Submitted { answer, guard })
    }

    /// The configuration with the highest version received from the store or a peer, as version and encoded body; none
    /// before the first.
    #[must_use]
    pub fn config(&self) -> watch::Receiver<Option<(u64, Bytes)>> {
        self.config.clone()
    }

    /// Number of jobs in `queue` of which no task is known to have run; 0 if the node has stopped.
    pub async fn pending(&self, queue: Arc<str>) -> usize {
        let (reply, count) = oneshot::channel();
        let _ = self.commands.send(Command::Pending { queue, reply }).await;
        count.await.unwrap_or_default()
    }

    /// Number of jobs of this entry's callers and of tasks on its upstreams that are in progress; 0 if the node has
    /// stopped.
    pub async fn in_progress(&self) -> usize {
        let (reply, count) = oneshot::channel();
        let _ = self.commands.send(Command::InProgress(reply)).await;
        count.await.unwrap_or_default()
    }
}

/// An entry instance: an engine with its links to peers and its calls to upstreams.
pub struct Node<P, C> {
    callers: FastMap<SubmissionId, Caller>,
    clock: C,
    commands: mpsc::Sender<Command>,
    config: watch::Sender<Option<(u64, Bytes)>>,
    engine: Engine,
    mesh: Mesh,
    metrics: NodeMetrics,
    /// When the cost of the links is read next.
    next_mesh_stats: Instant,
    port: P,
    queue: mpsc::Receiver<Command>,
    /// Peers that were unresponsive at the last check.
    unresponsive: FastSet<HomeId>,
}

impl<P: UpstreamPort, C: SuspendClock> Node<P, C> {
    /// Creates a node that accepts links from peers on `listener`.
    #[must_use]
    pub fn new(
        settings: NodeSettings,
        listener: TcpListener,
        port: P,
        clock: C,
        metrics: NodeMetrics,
    ) -> (Self, NodeHandle) {
        let (commands, queue) = mpsc::channel(MAX_QUEUED_INPUTS);
        let (config, config_reader) = watch::channel(None);
        let (events, mesh_events) = mpsc::channel(MAX_QUEUED_INPUTS);
        let mesh = Mesh::start(listener, settings.local.clone(), events);
        tokio::spawn(forward_mesh_events(mesh_events, commands.clone()));
        let engine = Engine::new(Instant::now(), settings.local, settings.started_unix_ms, settings.seed);
        let handle =
            NodeHandle { commands: commands.clone(), config: config_reader, next_submission: Arc::default() };
        (
            Self {
                callers: FastMap::default(),
                clock,
                commands,
                config,
                engine,
                mesh,
                metrics,
                next_mesh_stats: Instant::now(),
                port,
                queue,
                unresponsive: FastSet::default(),
            },
            handle,
        )
    }

    /// Handles inputs and ticks until the queue of inputs is closed.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last = Clocks { steady: Instant::now(), since_boot: self.clock.elapsed() };
        let mut batch = Vec::with_capacity(INPUT_BATCH);
        loop {
            let mut is_tick = false;
            tokio::select! {
                count = self.queue.recv_many(&mut batch, INPUT_BATCH) => if count == 0 { return },
                _ = ticks.tick() => is_tick = true,
            }
            let now = Instant::now();
            last = self.check_suspension(now, last);
            for command in batch.drain(..) {
                self.handle_command(now, command);
            }
            if is_tick {
                self.abandon_jobs(now);
                self.check_unresponsive_peers(now);
                self.engine.handle(now, Input::Tick);
            }
            if now >= self.next_mesh_stats {
                self.next_mesh_stats = now + MESH_STATS_INTERVAL;
                self.metrics.set_mesh(self.mesh.stats());
            }
            self.engine.flush(now);
            self.execute_outputs();
        }
    }

    /// Informs the engine of a suspension if either clock shows a gap since the last iteration, or if the steady clock has
    /// stood still.
    fn check_suspension(&mut self, now: Instant, last: Clocks) -> Clocks {
        let since_boot = self.clock.elapsed();
        let gap_since_boot = since_boot.saturating_sub(last.since_boot);
        let gap = gap_since_boot.max(now.duration_since(last.steady));
        // Read after the other clock, so that time between the two readings does not count as a suspension.
        let uncounted = gap_since_boot.saturating_sub(last.steady.elapsed());
        if gap > MIN_SUSPENSION || uncounted > MIN_UNCOUNTED {
            self.engine.handle(now, Input::Suspended(gap));
        }
        Clocks { steady: now, since_boot }
    }

    /// Abandons the jobs whose callers have disconnected. Inputs that say so are lost while the queue is full.
    fn abandon_jobs(&mut self, now: Instant) {
        let closed = self.callers.extract_if(|_, caller| caller.reply.is_closed());
        for (submission, _) in closed {
            self.engine.handle(now, Input::Abandon(submission));
        }
    }

    fn check_unresponsive_peers(&mut self, now: Instant) {
        let unresponsive = self.mesh.unresponsive_peers(now, UNRESPONSIVE_AFTER);
        if unresponsive != self.unresponsive {
            for peer in unresponsive.symmetric_difference(&self.unresponsive) {
                let line =
                    LogLine::PeerUnresponsive { peer: *peer, unresponsive: unresponsive.contains(peer) };
                self.metrics.observe(&line);
                line.write();
            }
            self.unresponsive.clone_from(&unresponsive);
            self.engine.handle(now, Input::UnresponsivePeers(unresponsive));
        }
    }

    fn handle_command(&mut self, now: Instant, command: Command) {
        match command {
            Command::InProgress(reply) => drop(reply.send(self.engine.in_progress())),
            Command::Input(Input::Entries(records)) => {
                let peers: Vec<_> = records
                    .iter()
                    .map(|record| PeerAddress { address: record.address, instance: record.instance.clone() })
                    .collect();
                self.mesh.set_peers(&peers);
                self.engine.handle(now, Input::Entries(records));
            }
            Command::Input(input) => self.engine.handle(now, input),
            Command::Pending { queue, reply } => drop(reply.send(self.engine.pending(&queue))),
            // The caller has left while the job was queued, and may send it again.
            Command::Submit { caller, .. } if caller.reply.is_closed() => {}
            Command::Submit { caller, request, submission } => {
                self.callers.insert(submission, caller);
                self.engine.handle(now, Input::Submit { request, submission });
            }
        }
    }

    fn execute_outputs(&mut self) {
        let outputs: Vec<_> = self.engine.drain_outputs().collect();
        for output in outputs {
            match output {
                Output::Answer { answer, submission } => {
                    if let Some(caller) = self.callers.remove(&submission) {
                        // Fails when the caller has just disconnected.
                        let _ = caller.reply.send(answer);
                    }
                }
                Output::Config { body, version } => {
                    self.config.send_replace(Some((version, body)));
                }
                Output::Evacuations(reports) => self.metrics.set_evacuations(&reports),
                Output::Hold(hold) => self.hold(hold),
                Output::Log(line) => {
                    self.metrics.observe(&line);
                    line.write();
                }
                Output::ResetLinks => self.mesh.reset(),
                Output::Send { message, peer } => {
                    self.mesh.send(peer, message);
                }
                Output::Start(start) => self.start(start),
                Output::Stop(stop) => {
                    let port = self.port.clone();
                    tokio::spawn(async move { port.stop(&stop).await });
                }
            }
        }
        self.metrics.set_state(self.engine.in_progress(), self.engine.owned().count());
        self.metrics.set_interference(self.engine.interference_stats());
    }

    fn hold(&self, hold: Hold) {
        let (port, commands) = (self.port.clone(), self.commands.clone());
        tokio::spawn(async move {
            // A panic counts as a lost answer: without any answer the upstream would not be asked again.
            let reply = AssertUnwindSafe(port.hold(&hold)).catch_unwind().await.unwrap_or(HoldReply::Lost);
            let _ = commands.send(Command::Input(Input::HoldEnded { hold, reply })).await;
        });
    }

    fn start(&self, start: StartOrder) {
        let (port, commands) = (self.port.clone(), self.commands.clone());
        tokio::spawn(async move {
            let reply = AssertUnwindSafe(port.start(&start)).catch_unwind().await.unwrap_or(StartReply::Lost);
            let _ = commands.send(Command::Input(Input::StartEnded { reply, start })).await;
        });
    }
}

async fn forward_mesh_events(mut events: mpsc::Receiver<MeshEvent>, commands: mpsc::Sender<Command>) {
    while let Some(event) = events.recv().await {
        if commands.send(Command::Input(Input::Mesh(event))).await.is_err() {
            return;
        }
    }
}
