//! Links that outlive their connection, over loopback connections through a proxy that breaks them.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hinge_mesh::{Mesh, MeshEvent, Message, PeerAddress};
use support::{process, send_at_once};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Longest time that a test waits for an event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Forwards connections to an entry until they are broken.
struct Proxy {
    address: SocketAddr,
    connections: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Proxy {
    async fn new(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(Mutex::new(Vec::new()));
        let proxy = Self { address, connections: connections.clone() };
        tokio::spawn(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let Ok(mut far) = TcpStream::connect(target).await else { continue };
                send_at_once([&near, &far]);
                let forward = async move {
                    // Ends when either side closes the connection.
                    let _ = copy_bidirectional(&mut near, &mut far).await;
                };
                connections.lock().unwrap().push(tokio::spawn(forward));
            }
        });
        proxy
    }

    /// Closes all connections; new ones are forwarded.
    fn reset(&self) {
        for connection in self.connections.lock().unwrap().drain(..) {
            connection.abort();
        }
    }
}

struct Entry {
    address: SocketAddr,
    events: mpsc::Receiver<MeshEvent>,
    mesh: Mesh,
}

impl Entry {
    async fn new(number: u64, incarnation: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, events) = mpsc::channel(256);
        let mesh = Mesh::start(listener, process(number, incarnation), sender);
        Self { address, events, mesh }
    }

    fn dial(&mut self, number: u64, address: SocketAddr) {
        let instance = format!("entry-{number}").into();
        self.mesh.set_peers(&[PeerAddress { address, instance }]);
    }

    async fn next(&mut self) -> MeshEvent {
        timeout(EVENT_TIMEOUT, self.events.recv()).await.unwrap().unwrap()
    }

    /// The next message; fails if the link changes instead.
    async fn message(&mut self) -> Message {
        match self.next().await {
            MeshEvent::Received { message, .. } => message,
            event => panic!("{event:?} instead of a message"),
        }
    }

    async fn up(&mut self) {
        let event = self.next().await;
        assert!(matches!(event, MeshEvent::Up(_)), "{event:?}");
    }
}

/// Two linked entries, the first of which dials through the proxy.
async fn pair() -> (Entry, Entry, Proxy) {
    let (mut first, mut second) = (Entry::new(1, 1).await, Entry::new(2, 2).await);
    let proxy = Proxy::new(second.address).await;
    first.dial(2, proxy.address);
    first.up().await;
    second.up().await;
    (first, second, proxy)
}

/// Guards against jobs that fail because a connection between two entries was reset while both of them run: every
/// message arrives once and in order, and the link counts as up all the while.
#[tokio::test(start_paused = true)]
async fn a_reset_connection_loses_and_repeats_no_message() {
    let (mut first, mut second, proxy) = pair().await;
    for round in 0..10 {
        for number in 0..40 {
            assert!(first.mesh.send(2, Message::Cancel(vec![round * 40 + number])));
            assert!(second.mesh.send(1, Message::Recall(vec![round * 40 + number])));
            if number == 20 {
                sleep(Duration::from_millis(round)).await;
                proxy.reset();
            }
        }
    }
    for number in 0..400 {
        assert_eq!(second.message().await, Message::Cancel(vec![number]));
        assert_eq!(first.message().await, Message::Recall(vec![number]));
    }
}

/// Guards against a peer that gets new tasks while its link has no connection.
#[tokio::test(start_paused = true)]
async fn a_peer_without_a_connection_is_unresponsive() {
    let (mut first, mut second) = (Entry::new(1, 1).await, Entry::new(2, 2).await);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    first.dial(2, listener.local_addr().unwrap());
    let (mut near, _) = listener.accept().await.unwrap();
    let mut far = TcpStream::connect(second.address).await.unwrap();
    send_at_once([&near, &far]);
    let forward = tokio::spawn(async move { copy_bidirectional(&mut near, &mut far).await.map(drop) });
    first.up().await;
    second.up().await;
    forward.abort();
    let since = Instant::now();
    let mut unresponsive = false;
    while !unresponsive && since.elapsed() < EVENT_TIMEOUT {
        unresponsive = second.mesh.unresponsive_peers(Instant::now(), EVENT_TIMEOUT).contains(&1);
        sleep(Duration::from_millis(1)).await;
    }
    assert!(unresponsive);
}

/// Guards against a link that counts as up for longer than before although its peer cannot be reached any more. Runs of
/// lost homes and owners must end before their jobs can be sent again.
#[tokio::test(start_paused = true)]
async fn a_link_that_is_not_resumed_is_down_in_time() {
    let (mut first, mut second, proxy) = pair().await;
    let closed_at = Instant::now();
    first.dial(2, "127.0.0.1:9".parse().unwrap());
    proxy.reset();
    for entry in [&mut first, &mut second] {
        let mut event = entry.next().await;
        while !matches!(event, MeshEvent::Down { .. }) {
            event = entry.next().await;
        }
        assert!(matches!(event, MeshEvent::Down { silent: false, .. }), "{event:?}");
        assert!(closed_at.elapsed() < Duration::from_millis(500), "{:?}", closed_at.elapsed());
    }
    assert!(!first.mesh.send(2, Message::ConfigRequest));
}

/// Guards against two links that are taken for one: a process that has lost its link must not continue it.
#[tokio::test(start_paused = true)]
async fn a_restarted_peer_gets_a_new_link() {
    let (mut first, second, proxy) = pair().await;
    let mut restarted = Entry::new(2, 3).await;
    let proxy_to_restarted = Proxy::new(restarted.address).await;
    drop(second);
    first.dial(2, proxy_to_restarted.address);
    proxy.reset();
    let (mut down, mut up) = (false, false);
    while !(down && up) {
        match first.next().await {
            MeshEvent::Down { peer, .. } => down = peer == 2,
            MeshEvent::Up(hello) => up = hello.incarnation == 3,
            MeshEvent::Refused { .. } => {}
            event @ MeshEvent::Received { .. } => panic!("{event:?}"),
        }
    }
    restarted.up().await;
    assert!(first.mesh.send(3, Message::ConfigRequest));
    assert_eq!(restarted.message().await, Message::ConfigRequest);
}

/// Guards against a link that stays up for ever: when a peer was registered at another address while its old link was
/// up, the old connection ended without a report.
#[tokio::test(start_paused = true)]
async fn the_old_link_of_a_peer_with_a_new_address_is_reported_as_down() {
    let (mut first, second, proxy) = pair().await;
    first.dial(2, "127.0.0.1:9".parse().unwrap());
    sleep(Duration::from_millis(50)).await;
    drop(second);
    proxy.reset();
    let mut event = first.next().await;
    while matches!(event, MeshEvent::Refused { .. }) {
        event = first.next().await;
    }
    assert!(matches!(event, MeshEvent::Down { peer: 2, .. }), "{event:?}");
}

/// Guards against jobs that fail because one connection went silent for good while new ones work.
#[tokio::test(start_paused = true)]
async fn a_connection_that_goes_silent_is_replaced() {
    let (mut first, mut second) = (Entry::new(1, 1).await, Entry::new(2, 2).await);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    first.dial(2, listener.local_addr().unwrap());
    let target = second.address;
    tokio::spawn(async move {
        let mut silenced = Vec::new();
        for lifetime in [Some(Duration::from_millis(300)), None] {
            let (mut near, _) = listener.accept().await.unwrap();
            let mut far = TcpStream::connect(target).await.unwrap();
            send_at_once([&near, &far]);
            let forward = copy_bidirectional(&mut near, &mut far);
            match lifetime {
                // From then on nothing is forwarded, but both connections stay open.
                Some(lifetime) => drop(timeout(lifetime, forward).await),
                None => drop(forward.await),
            }
            silenced.push((near, far));
        }
    });
    first.up().await;
    second.up().await;
    for number in 0..100 {
        assert!(first.mesh.send(2, Message::Cancel(vec![number])));
        assert!(second.mesh.send(1, Message::Recall(vec![number])));
        sleep(Duration::from_millis(10)).await;
    }
    for number in 0..100 {
        assert_eq!(second.message().await, Message::Cancel(vec![number]));
        assert_eq!(first.message().await, Message::Recall(vec![number]));
    }
}
