//! Messages that wait for a peer that does not read.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod support;

use std::time::Duration;

use hinge_mesh::{Mesh, MeshEvent, Message, Resume, Timestamps};
use hinge_wire::from_msgpack;
use support::{hello, write};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;

async fn read(stream: &mut TcpStream) -> Message {
    let length = stream.read_u32().await.unwrap();
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame).await.unwrap();
    from_msgpack(&frame).unwrap()
}

async fn write_time(stream: &mut TcpStream, value_ms: u64) {
    write(
        stream,
        &Message::Timestamps(Timestamps { dormant: false, echo_ms: 0, idle: false, reply: false, value_ms }),
    )
    .await;
}

/// A mesh with a link to a peer, whose side of the connection the test plays.
async fn linked() -> (Mesh, mpsc::Receiver<MeshEvent>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, mut events) = mpsc::channel(64);
    let mesh = Mesh::start(listener, hello(1), sender);
    let mut stream = TcpStream::connect(address).await.unwrap();
    write(&mut stream, &Message::Hello(hello(2))).await;
    write(&mut stream, &Message::Resume(Resume { link: None, nonce: 5, received: 0 })).await;
    assert!(matches!(events.recv().await, Some(MeshEvent::Up(_))));
    (mesh, events, stream)
}

/// Guards against a cancellation or an assignment that has waited for a slow peer and counts as new: the time stamps that
/// precede it must be those from when it was queued.
#[tokio::test(start_paused = true)]
async fn a_message_that_has_waited_follows_the_time_stamps_from_when_it_was_queued() {
    let (mesh, _events, mut stream) = linked().await;
    write_time(&mut stream, 1_000).await;
    sleep(Duration::from_millis(10)).await;
    // More than the buffers of a connection hold.
    for version in 0..30 {
        assert!(mesh.send(2, Message::Config { body: vec![0; 1_000_000].into(), version }));
    }
    sleep(Duration::from_millis(50)).await;
    assert!(mesh.send(2, Message::Cancel(vec![1])));
    for value_ms in [1_100, 1_200, 1_300] {
        write_time(&mut stream, value_ms).await;
        sleep(Duration::from_millis(100)).await;
    }
    let mut echo_ms = 0;
    loop {
        match read(&mut stream).await {
            Message::Timestamps(timestamps) => echo_ms = timestamps.echo_ms,
            Message::Cancel(_) => break,
            _ => {}
        }
    }
    assert_eq!(echo_ms, 1_000);
}

/// Guards against an overflow with the time stamps of another program.
#[tokio::test(start_paused = true)]
async fn the_largest_time_stamp_is_returned_like_others() {
    let (mesh, _events, mut stream) = linked().await;
    write_time(&mut stream, u64::MAX).await;
    // Its arrival shows in the next heartbeats.
    while !matches!(read(&mut stream).await, Message::Timestamps(returned) if returned.echo_ms == u64::MAX) {}
    for number in 0..2 {
        assert!(mesh.send(2, Message::Cancel(vec![number])));
        // The clock does not advance, so that the second message follows the time stamps before the first one.
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
    }
    while read(&mut stream).await != Message::Cancel(vec![1]) {}
}
