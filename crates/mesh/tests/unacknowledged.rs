//! Memory for messages that a peer does not acknowledge. The only test of its process, whose memory it measures.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::time::Duration;

use bytes::Bytes;
use hinge_mesh::{Hello, Mesh, MeshEvent, Message, Resume};
use support::{hello, write};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// Size of a message.
const MESSAGE_BYTES: usize = 64 * 1_024;
/// Number of messages; 64 MiB together.
const MESSAGES: usize = 1_024;
/// Bound of the resident memory of the process. Most of it is the program.
const MAX_MEMORY_KB: usize = 32 * 1_024;
/// Interval at which the peer shows that it is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

fn peak_memory_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

/// Guards against a peer that claims to acknowledge messages, never does so, and makes the other side keep all of them.
#[tokio::test]
async fn messages_that_are_never_acknowledged_are_not_all_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, mut events) = mpsc::channel(64);
    let mesh = Mesh::start(listener, hello(1), sender);
    let mut peer = TcpStream::connect(address).await.unwrap();
    write(&mut peer, &Message::Hello(Hello { timestamps: false, ..hello(2) })).await;
    write(&mut peer, &Message::Resume(Resume { link: None, nonce: 5, received: 0 })).await;
    assert!(matches!(events.recv().await, Some(MeshEvent::Up(_))));

    let mut buffer = vec![0; MESSAGE_BYTES];
    let mut heartbeat_at = Instant::now();
    let mut read_bytes = 0;
    for sent in 0..MESSAGES {
        assert!(mesh.send(2, Message::Config { body: Bytes::from(vec![1; MESSAGE_BYTES]), version: 1 }));
        while read_bytes < sent * MESSAGE_BYTES {
            read_bytes += peer.read(&mut buffer).await.unwrap();
        }
        if heartbeat_at.elapsed() >= HEARTBEAT_INTERVAL {
            heartbeat_at = Instant::now();
            write(&mut peer, &Message::Heartbeat).await;
        }
    }
    sleep(HEARTBEAT_INTERVAL / 2).await;
    assert!(mesh.send(2, Message::ConfigRequest), "the link has ended");
    assert!(peak_memory_kb() < MAX_MEMORY_KB, "{} KiB", peak_memory_kb());
}
