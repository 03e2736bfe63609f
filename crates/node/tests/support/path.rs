//! A network path between two entries whose packets arrive late.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

#[derive(Clone, Copy)]
struct Condition {
    /// Time that each packet takes.
    delay: Duration,
    /// When packets arrive at the earliest.
    held_until: Instant,
}

/// Forwards the connections of one entry to another one.
pub(crate) struct Path {
    pub(crate) address: SocketAddr,
    condition: Arc<Mutex<Condition>>,
    /// Whether the entry that opens the connections has died.
    dead: watch::Sender<bool>,
}

impl Path {
    pub(crate) async fn new(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let condition = Condition { delay: Duration::ZERO, held_until: Instant::now() };
        let condition = Arc::new(Mutex::new(condition));
        let (dead, is_dead) = watch::channel(false);
        tokio::spawn(accept(listener, target, condition.clone(), is_dead));
        Self { address, condition, dead }
    }

    /// Lets no packet arrive before `until`.
    pub(crate) fn hold_until(&self, until: Instant) {
        self.condition.lock().unwrap().held_until = until;
    }

    /// Lets each packet take `delay` from now on.
    pub(crate) fn set_delay(&self, delay: Duration) {
        self.condition.lock().unwrap().delay = delay;
    }

    /// The entry that opens the connections loses power: it sends nothing more and closes no connection. What it has sent still
    /// arrives.
    pub(crate) fn kill_sender(&self) {
        self.dead.send_replace(true);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    condition: Arc<Mutex<Condition>>,
    dead: watch::Receiver<bool>,
) {
    while let Ok((near, _)) = listener.accept().await {
        if *dead.borrow() {
            continue;
        }
        let far = TcpStream::connect(target).await.unwrap();
        for stream in [&near, &far] {
            // Delayed acknowledgements would take real time while the clock of the test advances.
            stream.set_nodelay(true).unwrap();
        }
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::spawn(forward(near_read, far_write, condition.clone(), dead.clone()));
        tokio::spawn(forward(far_read, near_write, condition.clone(), dead.clone()));
    }
}

/// Forwards one direction of a connection until the entry that opened it has died.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    condition: Arc<Mutex<Condition>>,
    mut dead: watch::Receiver<bool>,
) {
    let (packets, mut queue) = mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
    tokio::spawn(async move {
        while let Some((arrives_at, bytes)) = queue.recv().await {
            sleep_until(arrives_at).await;
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    let mut buffer = [0; 4_096];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read.unwrap_or(0),
            _ = dead.changed() => break,
        };
        if read == 0 {
            return;
        }
        let condition = *condition.lock().unwrap();
        let arrives_at = condition.held_until.max(Instant::now() + condition.delay);
        if packets.send((arrives_at, buffer[..read].to_vec())).is_err() {
            return;
        }
    }
    // Both sides of the connection stay open.
    std::future::pending().await
}
