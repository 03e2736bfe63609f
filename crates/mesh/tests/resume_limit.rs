//! Detection of a lost link while a new connection is being opened.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::time::Duration;

use hinge_mesh::{Hello, Mesh, MeshEvent, Message};
use hinge_runs::LIVENESS_TIMEOUT;
use support::{hello, write};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// Time until a link is down whose peer is silent, but for the first message on another connection.
async fn down_after(peer: Hello) -> Duration {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, mut events) = mpsc::channel(64);
    let _mesh = Mesh::start(listener, hello(1), sender);
    let mut first = TcpStream::connect(address).await.unwrap();
    write(&mut first, &Message::Hello(peer.clone())).await;
    write(&mut first, &Message::Resume(hinge_mesh::Resume { link: None, nonce: 5, received: 0 })).await;
    assert!(matches!(events.recv().await, Some(MeshEvent::Up(_))));
    let silent_since = Instant::now();
    sleep(Duration::from_millis(450)).await;
    let mut second = TcpStream::connect(address).await.unwrap();
    write(&mut second, &Message::Hello(peer)).await;
    while !matches!(events.recv().await, Some(MeshEvent::Down { .. })) {}
    silent_since.elapsed()
}

/// Guards against a lost home that is noticed too late: a connection that goes silent after its first message must not
/// prolong the link beyond the silence limit, which the bounds for runs of lost homes rely on.
#[tokio::test(start_paused = true)]
async fn a_new_connection_that_goes_silent_does_not_prolong_the_link() {
    let without_timestamps = down_after(Hello { timestamps: false, ..hello(2) }).await;
    assert!(without_timestamps < Duration::from_millis(600), "{without_timestamps:?}");
    let with_timestamps = down_after(hello(2)).await;
    assert!(with_timestamps <= LIVENESS_TIMEOUT, "{with_timestamps:?}");
}
