//! All links of one entry.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hinge_runs::HomeId;
use hinge_wire::{FastMap, InstanceId};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::link::{self, LinkError, SILENCE_LIMIT};
use crate::{Hello, Message};

/// Pause before a link is dialled again.
const REDIAL_DELAY: Duration = Duration::from_millis(100);
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

type Outgoing = FastMap<HomeId, (u64, mpsc::Sender<Message>)>;

/// Shared by the tasks of all links.
struct Shared {
    events: mpsc::Sender<MeshEvent>,
    /// Queues of the links that are up, with the number of the link.
    outgoing: Mutex<Outgoing>,
    own: Hello,
}

impl Shared {
    fn outgoing(&self) -> MutexGuard<'_, Outgoing> {
        self.outgoing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The links of one entry.
pub struct Mesh {
    dialled: FastMap<InstanceId, (SocketAddr, JoinHandle<()>)>,
    shared: Arc<Shared>,
}

impl Mesh {
    /// Accepts links on `listener` and reports to `events`.
    #[must_use]
    pub fn start(listener: TcpListener, own: Hello, events: mpsc::Sender<MeshEvent>) -> Self {
        let shared = Arc::new(Shared { events, outgoing: Mutex::default(), own });
        tokio::spawn(accept_links(listener, shared.clone()));
        Self { dialled: FastMap::default(), shared }
    }

    /// Dials the peers that this entry has to dial; a known peer at a new address is dialled there.
    pub fn set_peers(&mut self, peers: &[PeerAddress]) {
        for peer in peers.iter().filter(|peer| self.shared.own.instance < peer.instance) {
            if self.dialled.get(&peer.instance).is_some_and(|(address, _)| *address == peer.address) {
                continue;
            }
            let task = tokio::spawn(dial(peer.clone(), self.shared.clone()));
            if let Some((_, old)) = self.dialled.insert(peer.instance.clone(), (peer.address, task)) {
                old.abort();
            }
        }
    }

    /// Queues a message; a peer without a link or with a full queue does not get it.
    ///
    /// A full queue closes the link: the peer must not act on an incomplete stream of messages.
    pub fn send(&self, peer: HomeId, message: Message) -> bool {
        let mut outgoing = self.shared.outgoing();
        let Some((_, queue)) = outgoing.get(&peer) else { return false };
        if queue.try_send(message).is_ok() {
            return true;
        }
        outgoing.remove(&peer);
        false
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

async fn dial(peer: PeerAddress, shared: Arc<Shared>) {
    loop {
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
    let (sender, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let number = {
        let mut outgoing = shared.outgoing();
        let number = outgoing.get(&peer).map_or(1, |(number, _)| number + 1);
        outgoing.insert(peer, (number, sender));
        number
    };
    let _ = shared.events.send(MeshEvent::Up(hello)).await;
    let error = tokio::select! {
        error = receive(peer, reader, &shared.events) => error,
        error = writer.run(queue) => error,
    };
    let last = {
        let mut outgoing = shared.outgoing();
        let last = outgoing.get(&peer).is_none_or(|(current, _)| *current == number);
        if last {
            outgoing.remove(&peer);
        }
        last
    };
    if last {
        let silent = matches!(error, LinkError::Silent(_));
        let _ = shared.events.send(MeshEvent::Down { error: error.to_string(), peer, silent }).await;
    }
}

async fn receive(peer: HomeId, mut reader: link::Reader, events: &mpsc::Sender<MeshEvent>) -> LinkError {
    loop {
        match reader.next().await {
            Ok(Message::Heartbeat) => {}
            Ok(message) => {
                if events.send(MeshEvent::Received { message, peer }).await.is_err() {
                    return LinkError::Closed;
                }
            }
            Err(error) => return error,
        }
    }
}
