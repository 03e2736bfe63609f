//! The links of one entry: accepting and dialling connections, sending and receiving messages.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_budget::{LINK_RECEIVE_BYTES, connect};
use hinge_runs::HomeId;
use hinge_wire::{FastMap, FastSet, InstanceId};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::task::{JoinHandle, yield_now};
use tokio::time::{Instant, sleep, timeout};

use crate::connection::run_connection;
use crate::link::{LinkError, SILENCE_LIMIT};
use crate::rest::RestPolicy;
use crate::session::{Queued, Session};
use crate::stats::Counters;
use crate::unidentified::Unidentified;
use crate::{Hello, LinkId, MeshStats, Message};

/// Delay before a peer without a link is dialled again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Time after which a peer that is no longer registered and has no link is no longer dialled.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Maximum number of messages queued for one peer. The link to a peer that is further behind is closed.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Delay of the timer that ends a link from which on this process counts as slow, so that the silence of the peer may only be
/// what it has not read yet.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);
/// Delay after a failed `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Identity and address of a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// Address on which the peer accepts links.
    pub address: SocketAddr,
    /// Decides which side dials: the one with the smaller instance id.
    pub instance: InstanceId,
}

/// A state change of a link, or a received message.
#[derive(Clone, Debug)]
pub enum MeshEvent {
    /// A link is down.
    Down {
        /// Text for the log.
        error: String,
        /// Incarnation of the peer.
        peer: HomeId,
        /// Newest time stamp that the peer has returned; it was alive then.
        sent_after: Instant,
        /// Whether a read or write timed out; otherwise the connection was closed or failed.
        silent: bool,
        /// When the last connection ended.
        since: Instant,
    },
    /// A peer sent a message other than a heartbeat.
    Received {
        /// Never [`Message::Heartbeat`], [`Message::Idle`], [`Message::Suspect`] or [`Message::Timestamps`].
        message: Message,
        /// Incarnation of the peer.
        peer: HomeId,
        /// A time before which the peer has not sent the message; its arrival if the peer sends no time stamps.
        sent_after: Instant,
    },
    /// A connection to a peer was refused: no process listens at its address.
    Refused {
        /// Instance that was dialled.
        instance: InstanceId,
    },
    /// A link is up; contains the identity of the peer.
    Up(Hello),
}

/// A link that is up.
struct Link {
    queue: mpsc::Sender<Queued>,
    session: Arc<Session>,
    /// When its connection ended, if it waits for another one.
    suspended_at: Option<Instant>,
}

type Links = FastMap<HomeId, Link>;

/// Shared by the tasks of all links.
pub(crate) struct Shared {
    pub(crate) counters: Arc<Counters>,
    pub(crate) events: mpsc::Sender<MeshEvent>,
    links: Mutex<Links>,
    pub(crate) local: Hello,
    started_at: Instant,
}

impl Shared {
    fn links(&self) -> MutexGuard<'_, Links> {
        lock(&self.links)
    }

    /// The link to a process, if it can continue on another connection. The connection that carries it ends.
    pub(crate) fn claim(&self, peer: HomeId) -> Option<Claim> {
        let mut links = self.links();
        let link = links.get_mut(&peer).filter(|link| link.session.peer.resumable)?;
        link.suspended_at = None;
        link.session.connection.send_modify(|number| *number += 1);
        Some(Claim { number: *link.session.connection.borrow(), session: link.session.clone() })
    }

    /// Creates the link to a process, in place of an earlier one.
    pub(crate) fn create(&self, id: LinkId, peer: Hello, epoch: Instant) -> Claim {
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let session = Arc::new(Session::new(id, peer, epoch, self.started_at, messages));
        let link = Link { queue, session: session.clone(), suspended_at: None };
        let mut links = self.links();
        if let Some(old) = links.insert(session.peer.incarnation, link) {
            old.session.connection.send_modify(|number| *number += 1);
        }
        self.update_rests(&links);
        check_predecessors(&links, &session.peer);
        Claim { number: 1, session }
    }

    /// Ends a link whose connection is gone, unless another connection carries it or another link has replaced it.
    pub(crate) async fn end(&self, claim: &Claim, error: &LinkError, since: Instant) {
        let peer = claim.session.peer.incarnation;
        let silent = matches!(error, LinkError::NotAlive | LinkError::Stalled | LinkError::Timeout(_));
        let replaced = {
            let mut links = self.links();
            let replaced = links.get(&peer).is_some_and(|link| !claim.carries(link));
            if !replaced {
                links.remove(&peer);
                if silent && is_evidence(&claim.session, since) {
                    self.report_suspicion(&links, peer);
                }
                self.update_rests(&links);
            }
            replaced
        };
        if !replaced {
            self.report_down(&claim.session, error.to_string(), silent, since).await;
        }
    }

    /// Ends the link to an instance whose process is gone, if it waits for another connection.
    async fn end_suspended(&self, instance: &InstanceId) {
        let ended = {
            let mut links = self.links();
            let suspended = links.iter().find_map(|(peer, link)| {
                link.suspended_at.filter(|_| link.session.peer.instance == *instance).map(|at| (*peer, at))
            });
            let ended =
                suspended.and_then(|(peer, since)| links.remove(&peer).map(|link| (link.session, since)));
            self.update_rests(&links);
            ended
        };
        if let Some((session, since)) = ended {
            self.report_down(&session, "refused".to_owned(), false, since).await;
        }
    }

    /// Sets which links may rest, after a change of links.
    fn update_rests(&self, links: &Links) {
        let policy = RestPolicy::new(&self.local, links.values().map(|link| &link.session.peer));
        for session in links.values().map(|link| &link.session) {
            session.set_aligned(policy.is_large());
            if session.liveness().set_deepest_rest(policy.deepest(&session.peer)) {
                session.timestamps_due.notify_one();
            }
        }
    }

    /// Checks the links to suspected processes. They go down only if the processes do not answer over them.
    pub(crate) fn check(&self, suspects: &[HomeId]) {
        let links = self.links();
        for link in suspects.iter().filter_map(|suspect| links.get(suspect)) {
            link.session.request_check();
        }
    }

    /// Tells the other peers of a process that has fallen silent, and checks the resting links: this process may be cut off
    /// itself. Nothing is sent while no link may become dormant.
    fn report_suspicion(&self, links: &Links, silent: HomeId) {
        if !links.values().any(|link| link.session.liveness().may_become_dormant()) {
            return;
        }
        self.counters.count_suspicion();
        for session in links.values().map(|link| &link.session).filter(|session| session.peer.dormancy) {
            session.send_suspicion(silent);
            session.request_check();
        }
    }

    async fn report_down(&self, session: &Session, error: String, silent: bool, since: Instant) {
        let down = down_event(session, error, silent, since);
        // Fails only when the node has stopped.
        let _ = self.events.send(down).await;
    }

    /// Whether the link now waits for another connection.
    pub(crate) fn suspend(&self, claim: &Claim, now: Instant) -> bool {
        let mut links = self.links();
        let link = links.get_mut(&claim.session.peer.incarnation).filter(|link| claim.carries(link));
        link.map(|link| link.suspended_at = Some(now)).is_some()
    }
}

/// A connection's hold on a link; void once another connection has claimed the link.
pub(crate) struct Claim {
    number: u64,
    pub(crate) session: Arc<Session>,
}

impl Claim {
    fn carries(&self, link: &Link) -> bool {
        Arc::ptr_eq(&link.session, &self.session) && *self.session.connection.borrow() == self.number
    }

    /// Waits until another connection has claimed the link.
    pub(crate) async fn replaced(&self) {
        let mut connection = self.session.connection.subscribe();
        // Fails only when the session is gone.
        let _ = connection.wait_for(|number| *number != self.number).await;
    }
}

/// Whether a link that ended by silence at `ended_at` shows that its peer may be lost: it did not rest, and this process was
/// not itself slow to notice.
fn is_evidence(session: &Session, ended_at: Instant) -> bool {
    let liveness = session.liveness();
    !liveness.is_resting() && ended_at.duration_since(liveness.alive_until()) < MAX_TIMER_DELAY
}

/// Checks the links to earlier processes of an instance that has a new one.
fn check_predecessors(links: &Links, peer: &Hello) {
    let sessions = links.values().map(|link| &link.session);
    let same = sessions.filter(|session| session.peer.instance == peer.instance);
    for session in same.filter(|session| session.peer.incarnation != peer.incarnation) {
        if session.liveness().may_become_dormant() {
            session.request_check();
        }
    }
}

fn down_event(session: &Session, error: String, silent: bool, since: Instant) -> MeshEvent {
    let sent_after = session.liveness().sent_after();
    MeshEvent::Down { error, peer: session.peer.incarnation, sent_after, silent, since }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A peer that this entry dials.
struct DialledPeer {
    address: SocketAddr,
    /// When the peer was last contained in [`Mesh::set_peers`].
    listed_at: Arc<Mutex<Instant>>,
    task: JoinHandle<()>,
}

/// The links of one entry.
pub struct Mesh {
    dialled: FastMap<InstanceId, DialledPeer>,
    /// Peers in the last call of [`Mesh::set_peers`].
    registered: FastSet<InstanceId>,
    shared: Arc<Shared>,
}

impl Mesh {
    /// Accepts links on `listener` and sends events to `events`.
    #[must_use]
    pub fn start(listener: TcpListener, local: Hello, events: mpsc::Sender<MeshEvent>) -> Self {
        let shared = Arc::new(Shared {
            counters: Arc::default(),
            events,
            links: Mutex::default(),
            local,
            started_at: Instant::now(),
        });
        tokio::spawn(accept_connections(listener, shared.clone()));
        Self { dialled: FastMap::default(), registered: FastSet::default(), shared }
    }

    /// Sets the registered peers and dials those with a larger instance id than this entry. A peer with a new address
    /// is dialled there. A peer that is no longer registered is dialled for a while longer and then forgotten.
    pub fn set_peers(&mut self, peers: &[PeerAddress]) {
        let now = Instant::now();
        self.check_deregistered(peers);
        self.dialled.retain(|_, dialled| !dialled.task.is_finished());
        for peer in peers.iter().filter(|peer| self.shared.local.instance < peer.instance) {
            if let Some(known) =
                self.dialled.get(&peer.instance).filter(|known| known.address == peer.address)
            {
                *lock(&known.listed_at) = now;
                continue;
            }
            let listed_at = Arc::new(Mutex::new(now));
            let task = tokio::spawn(dial_peer(peer.clone(), self.shared.clone(), listed_at.clone()));
            let dialled = DialledPeer { address: peer.address, listed_at, task };
            if let Some(old) = self.dialled.insert(peer.instance.clone(), dialled) {
                old.task.abort();
            }
        }
    }

    /// Checks the links to peers that have just lost their registration: those that may become dormant can hide the loss of a
    /// peer.
    fn check_deregistered(&mut self, registered: &[PeerAddress]) {
        let registered = registered.iter().map(|peer| peer.instance.clone()).collect();
        let before = std::mem::replace(&mut self.registered, registered);
        let has_ended = |instance| before.contains(instance) && !self.registered.contains(instance);
        for session in self.shared.links().values().map(|link| &link.session) {
            if session.liveness().may_become_dormant() && has_ended(&session.peer.instance) {
                session.request_check();
            }
        }
    }

    /// Queues a message; returns false if the peer has no link or its queue is full.
    ///
    /// A full queue closes the link, because the peer must not act on an incomplete stream of messages.
    pub fn send(&self, peer: HomeId, message: Message) -> bool {
        let mut links = self.shared.links();
        let Some(link) = links.get(&peer) else { return false };
        let echo_ms = link.session.liveness().peer_ms();
        if link.queue.try_send(Queued { echo_ms, message }).is_ok() {
            return true;
        }
        links.remove(&peer);
        self.shared.update_rests(&links);
        false
    }

    /// Ends all links. Messages that were sent over them before are void on both sides.
    pub fn reset(&self) {
        let now = Instant::now();
        let ended: Vec<_> = self.shared.links().drain().collect();
        for (_, link) in ended {
            link.session.connection.send_modify(|number| *number += 1);
            let error = "this process was suspended".to_owned();
            let down = down_event(&link.session, error, true, now);
            if let Err(TrySendError::Full(down)) = self.shared.events.try_send(down) {
                let events = self.shared.events.clone();
                tokio::spawn(async move { events.send(down).await });
            }
        }
    }

    /// What the links cost.
    #[must_use]
    pub fn stats(&self) -> MeshStats {
        let links = self.shared.links();
        let resting = links.values().filter(|link| link.session.liveness().is_resting());
        MeshStats { links: links.len(), resting_links: resting.count(), ..self.shared.counters.stats() }
    }

    /// Peers with a link that has no connection, or that have sent no message for longer than `limit`. Peers that let
    /// their link rest do not count, unless they have not answered for as long when it was to be used.
    #[must_use]
    pub fn unresponsive_peers(&self, now: Instant, limit: Duration) -> FastSet<HomeId> {
        let links = self.shared.links();
        let unresponsive = links.iter().filter(|(_, link)| {
            let silent_since = {
                let liveness = link.session.liveness();
                liveness.last_arrival().or_else(|| liveness.unanswered_since())
            };
            let silent = silent_since.is_some_and(|at| now.duration_since(at) > limit);
            silent || link.suspended_at.is_some()
        });
        unresponsive.map(|(peer, _)| *peer).collect()
    }
}

async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    let unidentified = Arc::new(Unidentified::default());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = shared.clone();
                let (identifying, replaces_another) = unidentified.add();
                tokio::spawn(async move { run_connection(stream, &shared, Some(identifying)).await });
                // The one that is being closed has its descriptor until its task has run.
                if replaces_another {
                    yield_now().await;
                }
            }
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Keeps a link to a peer up while the peer is registered, and for [`FORGET_AFTER`] after that.
async fn dial_peer(peer: PeerAddress, shared: Arc<Shared>, listed_at: Arc<Mutex<Instant>>) {
    while lock(&listed_at).elapsed() < FORGET_AFTER {
        match timeout(SILENCE_LIMIT, connect(peer.address, LINK_RECEIVE_BYTES)).await {
            Ok(Ok(stream)) => {
                // A task of its own, because this one is aborted when the peer gets another address.
                let shared = shared.clone();
                let connection = tokio::spawn(async move { run_connection(stream, &shared, None).await });
                if connection.await.unwrap_or(false) {
                    continue;
                }
            }
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                shared.end_suspended(&peer.instance).await;
                let refused = MeshEvent::Refused { instance: peer.instance.clone() };
                let _ = shared.events.send(refused).await;
            }
            // Unlike a refusal this does not show that the process is down; the peer only counts as silent.
            Ok(Err(_)) | Err(_) => {}
        }
        sleep(RECONNECT_DELAY).await;
    }
}
