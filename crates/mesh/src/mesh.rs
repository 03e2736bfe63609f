//! All links of one entry.

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

/// Pause before a link is dialled again.
const REDIAL_DELAY: Duration = Duration::from_millis(100);
/// Time after which a peer that is no longer registered and cannot be reached is not dialled any more.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Messages that wait for one peer. A peer that is further behind is treated as silent.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Where a peer listens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// Address of its peer port.
    pub address: SocketAddr,
    /// Its instance id.
    pub instance: InstanceId,
}

/// What happened on the links.
#[derive(Clone, Debug)]
pub enum MeshEvent {
    /// A link is down.
    Down {
        /// Why.
        error: String,
        /// The peer.
        peer: HomeId,
        /// Whether the peer was silent; otherwise the connection was closed or reset.
        silent: bool,
    },
    /// A message has arrived.
    Received {
        /// The message.
        message: Message,
        /// The peer.
        peer: HomeId,
    },
    /// Nobody listens at a peer's address: its process is not running.
    Refused {
        /// The peer.
        instance: InstanceId,
    },
    /// A link is up.
    Up(Hello),
}

/// A link that is up.
struct Link {
    /// When the last message of the peer arrived; none while the peer lets the link idle.
    heard_at: Arc<Mutex<Option<Instant>>>,
    /// Number among the links to the same process.
    number: u64,
    queue: mpsc::Sender<Message>,
}

type Links = FastMap<HomeId, Link>;

/// Shared by the tasks of all links.
struct Shared {
    events: mpsc::Sender<MeshEvent>,
    links: Mutex<Links>,
    own: Hello,
}

impl Shared {
    fn links(&self) -> MutexGuard<'_, Links> {
        locked(&self.links)
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A peer that this entry dials.
struct Dialled {
    address: SocketAddr,
    /// When it was registered last.
    listed_at: Arc<Mutex<Instant>>,
    task: JoinHandle<()>,
}

/// The links of one entry.
pub struct Mesh {
    dialled: FastMap<InstanceId, Dialled>,
    shared: Arc<Shared>,
}

impl Mesh {
    /// Accepts links on `listener` and reports to `events`.
    #[must_use]
    pub fn start(listener: TcpListener, own: Hello, events: mpsc::Sender<MeshEvent>) -> Self {
        let shared = Arc::new(Shared { events, links: Mutex::default(), own });
        tokio::spawn(accept_links(listener, shared.clone()));
        Self { dialled: FastMap::default(), shared }
    }

    /// Dials the peers that this entry has to dial; a known peer at a new address is dialled there, and one that is gone
    /// is forgotten after a while.
    pub fn set_peers(&mut self, peers: &[PeerAddress]) {
        let now = Instant::now();
        self.dialled.retain(|_, dialled| !dialled.task.is_finished());
        for peer in peers.iter().filter(|peer| self.shared.own.instance < peer.instance) {
            if let Some(known) =
                self.dialled.get(&peer.instance).filter(|known| known.address == peer.address)
            {
                *locked(&known.listed_at) = now;
                continue;
            }
            let listed_at = Arc::new(Mutex::new(now));
            let task = tokio::spawn(dial(peer.clone(), self.shared.clone(), listed_at.clone()));
            let dialled = Dialled { address: peer.address, listed_at, task };
            if let Some(old) = self.dialled.insert(peer.instance.clone(), dialled) {
                old.task.abort();
            }
        }
    }

    /// Queues a message; a peer without a link or with a full queue does not get it.
    ///
    /// A full queue closes the link: the peer must not act on an incomplete stream of messages.
    pub fn send(&self, peer: HomeId, message: Message) -> bool {
        let mut links = self.shared.links();
        let Some(link) = links.get(&peer) else { return false };
        if link.queue.try_send(message).is_ok() {
            return true;
        }
        links.remove(&peer);
        false
    }

    /// Peers with a link that have not been heard for longer than `limit`.
    #[must_use]
    pub fn unresponsive_peers(&self, now: Instant, limit: Duration) -> FastSet<HomeId> {
        let links = self.shared.links();
        let unresponsive = links.iter().filter(|(_, link)| {
            locked(&link.heard_at).is_some_and(|heard_at| now.duration_since(heard_at) > limit)
        });
        unresponsive.map(|(peer, _)| *peer).collect()
    }
}

async fn accept_links(listener: TcpListener, shared: Arc<Shared>) {
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

/// Keeps a link to a peer up while it is registered, and for a while after that.
async fn dial(peer: PeerAddress, shared: Arc<Shared>, listed_at: Arc<Mutex<Instant>>) {
    while locked(&listed_at).elapsed() < FORGET_AFTER {
        match timeout(SILENCE_LIMIT, TcpStream::connect(peer.address)).await {
            Ok(Ok(stream)) => run_link(stream, &shared).await,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                let refused = MeshEvent::Refused { instance: peer.instance.clone() };
                let _ = shared.events.send(refused).await;
            }
            // The peer cannot be reached; that it is silent is what counts.
            Ok(Err(_)) | Err(_) => {}
        }
        sleep(REDIAL_DELAY).await;
    }
}

/// Runs a link until it is down.
async fn run_link(stream: TcpStream, shared: &Shared) {
    let Ok(Ok((hello, reader, writer))) = timeout(SILENCE_LIMIT, link::open(stream, &shared.own)).await
    else {
        return;
    };
    let peer = hello.incarnation;
    let may_idle = hello.data_centre != shared.own.data_centre;
    let (sender, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let heard_at = Arc::new(Mutex::new(Some(Instant::now())));
    let number = {
        let mut links = shared.links();
        let number = links.get(&peer).map_or(1, |link| link.number + 1);
        links.insert(peer, Link { heard_at: heard_at.clone(), number, queue: sender });
        number
    };
    let _ = shared.events.send(MeshEvent::Up(hello)).await;
    let error = tokio::select! {
        error = receive(peer, reader, &shared.events, &heard_at) => error,
        error = writer.run(queue, may_idle) => error,
    };
    let last = {
        let mut links = shared.links();
        let last = links.get(&peer).is_none_or(|link| link.number == number);
        if last {
            links.remove(&peer);
        }
        last
    };
    if last {
        let silent = matches!(error, LinkError::Silent(_));
        let _ = shared.events.send(MeshEvent::Down { error: error.to_string(), peer, silent }).await;
    }
}

async fn receive(
    peer: HomeId,
    mut reader: link::Reader,
    events: &mpsc::Sender<MeshEvent>,
    heard_at: &Mutex<Option<Instant>>,
) -> LinkError {
    loop {
        let next = reader.next().await;
        let idle = matches!(next, Ok(Message::Idle));
        *locked(heard_at) = (!idle).then(Instant::now);
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
