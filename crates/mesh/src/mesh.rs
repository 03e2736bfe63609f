//! The links of one entry: accepting and dialling connections, sending and receiving messages.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_runs::HomeId;
use hinge_wire::{FastMap, FastSet, InstanceId};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::link::{self, LinkError, SILENCE_LIMIT};
use crate::{Hello, Message};

/// Delay before a peer is dialled again.
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
        /// Whether a read or write timed out; otherwise the connection was closed or failed.
        silent: bool,
    },
    /// A peer sent a message other than a heartbeat.
    Received {
        /// Never [`Message::Heartbeat`] or [`Message::Idle`].
        message: Message,
        /// Incarnation of the peer.
        peer: HomeId,
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
    /// When the last message arrived; none while the peer lets the link idle.
    last_received_at: Arc<Mutex<Option<Instant>>>,
    /// Increases with each new link to the same process, to tell a replaced link from the current one.
    number: u64,
    queue: mpsc::Sender<Message>,
}

type Links = FastMap<HomeId, Link>;

/// Shared by the tasks of all links.
struct Shared {
    events: mpsc::Sender<MeshEvent>,
    links: Mutex<Links>,
    local: Hello,
}

impl Shared {
    fn links(&self) -> MutexGuard<'_, Links> {
        lock(&self.links)
    }
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
        if link.queue.try_send(message).is_ok() {
            return true;
        }
        links.remove(&peer);
        false
    }

    /// Peers with a link that have sent no message for longer than `limit`, without those that let their link idle.
    #[must_use]
    pub fn unresponsive_peers(&self, now: Instant, limit: Duration) -> FastSet<HomeId> {
        let links = self.shared.links();
        let unresponsive = links.iter().filter(|(_, link)| {
            lock(&link.last_received_at)
                .is_some_and(|last_received_at| now.duration_since(last_received_at) > limit)
        });
        unresponsive.map(|(peer, _)| *peer).collect()
    }
}

async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = shared.clone();
                tokio::spawn(async move { run_link(stream, &shared).await });
            }
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Keeps a link to a peer up while the peer is registered, and for [`FORGET_AFTER`] after that.
async fn dial_peer(peer: PeerAddress, shared: Arc<Shared>, listed_at: Arc<Mutex<Instant>>) {
    while lock(&listed_at).elapsed() < FORGET_AFTER {
        match timeout(SILENCE_LIMIT, TcpStream::connect(peer.address)).await {
            Ok(Ok(stream)) => run_link(stream, &shared).await,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                let refused = MeshEvent::Refused { instance: peer.instance.clone() };
                let _ = shared.events.send(refused).await;
            }
            // Unlike a refusal this does not show that the process is down; the peer only counts as silent.
            Ok(Err(_)) | Err(_) => {}
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Runs a link until it is down. A link that was replaced by a newer one to the same process ends without an event.
async fn run_link(stream: TcpStream, shared: &Shared) {
    let Ok(Ok((hello, reader, writer))) = timeout(SILENCE_LIMIT, link::open(stream, &shared.local)).await
    else {
        return;
    };
    let peer = hello.incarnation;
    let may_idle = hello.data_centre != shared.local.data_centre;
    let (sender, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let last_received_at = Arc::new(Mutex::new(Some(Instant::now())));
    let number = {
        let mut links = shared.links();
        let number = links.get(&peer).map_or(1, |link| link.number + 1);
        links.insert(peer, Link { last_received_at: last_received_at.clone(), number, queue: sender });
        number
    };
    let _ = shared.events.send(MeshEvent::Up(hello)).await;
    let error = tokio::select! {
        error = read_messages(peer, reader, &shared.events, &last_received_at) => error,
        error = writer.run(queue, may_idle) => error,
    };
    let is_latest = {
        let mut links = shared.links();
        let is_latest = links.get(&peer).is_none_or(|link| link.number == number);
        if is_latest {
            links.remove(&peer);
        }
        is_latest
    };
    if is_latest {
        let silent = matches!(error, LinkError::Timeout(_));
        let _ = shared.events.send(MeshEvent::Down { error: error.to_string(), peer, silent }).await;
    }
}

async fn read_messages(
    peer: HomeId,
    mut reader: link::Reader,
    events: &mpsc::Sender<MeshEvent>,
    last_received_at: &Mutex<Option<Instant>>,
) -> LinkError {
    loop {
        let next = reader.next().await;
        let idle = matches!(next, Ok(Message::Idle));
        *lock(last_received_at) = (!idle).then(Instant::now);
        match next {
            Ok(Message::Heartbeat | Message::Idle) => {}
            Ok(message) => {
                if events.send(MeshEvent::Received { message, peer }).await.is_err() {
                    return LinkError::Closed;
                }
            }
            Err(error) => return error,
        }
    }
}
