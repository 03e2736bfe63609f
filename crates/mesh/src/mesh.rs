//! The links of one entry: accepting and dialling connections, sending and receiving messages.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_runs::HomeId;
use hinge_wire::{FastMap, FastSet, InstanceId};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::task::{JoinHandle, yield_now};
use tokio::time::{Instant, sleep, timeout};

use crate::connection::run_connection;
use crate::link::{LinkError, SILENCE_LIMIT};
use crate::session::{Queued, Session};
use crate::unidentified::Unidentified;
use crate::{Hello, LinkId, Message};

/// Delay before a peer without a link is dialled again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Time after which a peer that is no longer registered and has no link is no longer dialled.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Maximum number of messages queued for one peer. The link to a peer that is further behind is closed.
const MAX_QUEUED_MESSAGES: usize = 4_096;
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
        /// Never [`Message::Heartbeat`], [`Message::Idle`] or [`Message::Timestamps`].
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
    pub(crate) events: mpsc::Sender<MeshEvent>,
    links: Mutex<Links>,
    pub(crate) local: Hello,
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
        let session = Arc::new(Session::new(id, peer, epoch, messages));
        let link = Link { queue, session: session.clone(), suspended_at: None };
        if let Some(old) = self.links().insert(session.peer.incarnation, link) {
            old.session.connection.send_modify(|number| *number += 1);
        }
        Claim { number: 1, session }
    }

    /// Ends a link whose connection is gone, unless another connection carries it or another link has replaced it.
    pub(crate) async fn end(&self, claim: &Claim, error: &LinkError, since: Instant) {
        let peer = claim.session.peer.incarnation;
        let replaced = {
            let mut links = self.links();
            let replaced = links.get(&peer).is_some_and(|link| !claim.carries(link));
            if !replaced {
                links.remove(&peer);
            }
            replaced
        };
        if !replaced {
            let silent = matches!(error, LinkError::NotAlive | LinkError::Stalled | LinkError::Timeout(_));
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
            suspended.and_then(|(peer, since)| links.remove(&peer).map(|link| (link.session, since)))
        };
        if let Some((session, since)) = ended {
            self.report_down(&session, "refused".to_owned(), false, since).await;
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
    shared: Arc<Shared>,
}

impl Mesh {
    /// Accepts links on `listener` and sends events to `events`.
    #[must_use]
    pub fn start(listener: TcpListener, local: Hello, events: mpsc::Sender<MeshEvent>) -> Self {
        let shared = Arc::new(Shared { events, links: Mutex::default(), local });
        tokio::spawn(accept_connections(listener, shared.clone()));
        Self { dialled: FastMap::default(), shared }
    }

    /// Sets the registered peers and dials those with a larger instance id than this entry. A peer with a new address
    /// is dialled there. A peer that is no longer registered is dialled for a while longer and then forgotten.
    pub fn set_peers(&mut self, peers: &[PeerAddress]) {
        let now = Instant::now();
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

    /// Peers with a link that has no connection, or that have sent no message for longer than `limit`. Peers that let
    /// their link idle do not count.
    #[must_use]
    pub fn unresponsive_peers(&self, now: Instant, limit: Duration) -> FastSet<HomeId> {
        let links = self.shared.links();
        let unresponsive = links.iter().filter(|(_, link)| {
            let last_arrival = link.session.liveness().last_arrival();
            let silent = last_arrival.is_some_and(|at| now.duration_since(at) > limit);
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
        match timeout(SILENCE_LIMIT, TcpStream::connect(peer.address)).await {
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
