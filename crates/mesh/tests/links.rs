//! Links between entries over loopback connections.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::time::Duration;

use hinge_mesh::{Hello, Mesh, MeshEvent, Message, PeerAddress};
use support::{hello, send_at_once, write};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Identity of a process that does not resume links.
fn plain_hello(number: u64) -> Hello {
    Hello { resumable: false, timestamps: false, ..hello(number) }
}

async fn entry(number: u64) -> (Mesh, mpsc::Receiver<MeshEvent>, PeerAddress) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, events) = mpsc::channel(64);
    let mesh = Mesh::start(listener, hello(number), sender);
    (mesh, events, PeerAddress { address, instance: format!("entry-{number}").into() })
}

/// Guards against duplicate or reordered messages, and against two links between the same two entries.
#[tokio::test]
async fn a_pair_shares_one_ordered_link() {
    let (mut first, mut first_events, first_address) = entry(1).await;
    let (mut second, mut second_events, second_address) = entry(2).await;
    first.set_peers(std::slice::from_ref(&second_address));
    second.set_peers(std::slice::from_ref(&first_address));
    assert!(matches!(first_events.recv().await, Some(MeshEvent::Up(hello)) if hello.incarnation == 2));
    assert!(matches!(second_events.recv().await, Some(MeshEvent::Up(hello)) if hello.incarnation == 1));
    for number in 0..20 {
        assert!(first.send(2, Message::Cancel(vec![number])));
        assert!(second.send(1, Message::Recall(vec![number])));
    }
    for number in 0..20 {
        let Some(MeshEvent::Received { message, peer: 1, .. }) = second_events.recv().await else {
            panic!("a message")
        };
        assert_eq!(message, Message::Cancel(vec![number]));
        let Some(MeshEvent::Received { message, peer: 2, .. }) = first_events.recv().await else {
            panic!("a message")
        };
        assert_eq!(message, Message::Recall(vec![number]));
    }
}

/// Guards against a link that counts as up after the peer's process has ended.
#[tokio::test]
async fn a_closed_connection_is_reported() {
    let (mut first, mut events, _) = entry(1).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    first.set_peers(&[PeerAddress { address, instance: "entry-2".into() }]);
    let (stream, _) = listener.accept().await.unwrap();
    drop(listener);
    let mut stream = stream;
    write(&mut stream, &Message::Hello(plain_hello(2))).await;
    assert!(matches!(events.recv().await, Some(MeshEvent::Up(_))));
    drop(stream);
    assert!(matches!(events.recv().await, Some(MeshEvent::Down { peer: 2, silent: false, .. })));
    assert!(matches!(events.recv().await, Some(MeshEvent::Refused { .. })));
    assert!(!first.send(2, Message::ConfigRequest));
}

/// Guards against invalid data from other programs that crashes the process or is accepted as a peer.
#[tokio::test]
async fn a_connection_with_invalid_data_does_not_become_a_link() {
    let (_mesh, mut events, address) = entry(1).await;
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0, 0, 0, 1, 0xc1], &[0xff; 64]] {
        let mut stream = TcpStream::connect(address.address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut rest = Vec::new();
        // The other side closes or resets the connection.
        let _ = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut rest).await;
    }
    assert!(events.try_recv().is_err());
}

/// Guards against dialling peers that no longer exist until the process ends.
#[tokio::test(start_paused = true)]
async fn a_deregistered_peer_is_no_longer_dialled() {
    let (mut first, _events, _) = entry(1).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    first.set_peers(&[PeerAddress { address, instance: "entry-2".into() }]);
    first.set_peers(&[]);
    let unlisted_at = Instant::now();
    let mut last_dialled_at = unlisted_at;
    while let Ok(accepted) = timeout(Duration::from_secs(5), listener.accept()).await {
        drop(accepted);
        last_dialled_at = Instant::now();
    }
    let dialled_for = last_dialled_at.duration_since(unlisted_at);
    assert!((25..=31).contains(&dialled_for.as_secs()), "{dialled_for:?}");
    first.set_peers(&[PeerAddress { address, instance: "entry-2".into() }]);
    assert!(
        timeout(Duration::from_secs(5), listener.accept()).await.is_ok(),
        "a peer that is registered again is dialled"
    );
}

/// Time until a link to another data centre is down after the peer has sent `messages` and nothing else.
async fn silence_after(messages: &[Message]) -> Duration {
    let (_mesh, mut events, address) = entry(1).await;
    let mut stream = TcpStream::connect(address.address).await.unwrap();
    let far = Hello { data_centre: "dc2".into(), ..plain_hello(2) };
    for message in [&[Message::Hello(far)], messages].concat() {
        write(&mut stream, &message).await;
    }
    assert!(matches!(events.recv().await, Some(MeshEvent::Up(_))));
    let silent_since = Instant::now();
    while !matches!(events.recv().await, Some(MeshEvent::Down { silent: true, .. })) {}
    silent_since.elapsed()
}

/// Guards against late detection of a lost peer while tasks are in progress: the longer limit applies only after the
/// peer has declared the link idle, and any other message ends it.
#[tokio::test(start_paused = true)]
async fn only_an_idle_link_has_a_longer_silence_limit() {
    let limit = Duration::from_millis(600);
    assert!(silence_after(&[]).await < limit);
    assert!(silence_after(&[Message::Idle]).await > Duration::from_secs(2));
    assert!(silence_after(&[Message::Idle, Message::Heartbeat]).await < limit);
    assert!(silence_after(&[Message::Idle, Message::Cancel(vec![1])]).await < limit);
}

/// Guards against heartbeat traffic that grows with the square of the number of entries, and against idle links that
/// count as down or as unresponsive.
#[tokio::test(start_paused = true)]
async fn an_idle_link_to_another_data_centre_stays_up() {
    let (mut near, mut events, _) = entry(1).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let far = Hello { data_centre: "dc2".into(), ..hello(2) };
    let (sender, mut far_events) = mpsc::channel(64);
    let _far = Mesh::start(listener, far, sender);
    near.set_peers(&[PeerAddress { address, instance: "entry-2".into() }]);
    assert!(matches!(events.recv().await, Some(MeshEvent::Up(_))));
    assert!(matches!(far_events.recv().await, Some(MeshEvent::Up(_))));
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert!(events.try_recv().is_err() && far_events.try_recv().is_err());
    assert!(near.unresponsive_peers(Instant::now(), Duration::from_millis(220)).is_empty());
    assert!(near.send(2, Message::ConfigRequest));
    let received = far_events.recv().await;
    assert!(matches!(received, Some(MeshEvent::Received { message: Message::ConfigRequest, peer: 1, .. })));
}

/// Guards against a message that is lost because its connection is reset while an idle link is being used again.
#[tokio::test(start_paused = true)]
async fn a_message_on_an_idle_link_survives_a_reset_during_the_exchange_of_time_stamps() {
    let (mut near, mut events, _) = entry(1).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    let (sender, mut far_events) = mpsc::channel(64);
    let _far = Mesh::start(listener, Hello { data_centre: "dc2".into(), ..hello(2) }, sender);
    let proxy = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = proxy.local_addr().unwrap();
    near.set_peers(&[PeerAddress { address, instance: "entry-2".into() }]);
    let (reset, mut is_reset) = tokio::sync::watch::channel(());
    tokio::spawn(async move {
        while let Ok((mut near, _)) = proxy.accept().await {
            let mut far = TcpStream::connect(target).await.unwrap();
            send_at_once([&near, &far]);
            tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
                _ = is_reset.changed() => {}
            }
        }
    });
    assert!(matches!(events.recv().await, Some(MeshEvent::Up(_))));
    assert!(matches!(far_events.recv().await, Some(MeshEvent::Up(_))));
    for round in 0..5 {
        tokio::time::sleep(Duration::from_secs(4)).await;
        assert!(near.send(2, Message::Cancel(vec![round])));
        for _ in 0..round {
            tokio::task::yield_now().await;
        }
        reset.send_replace(());
        let received = timeout(Duration::from_secs(2), far_events.recv()).await.unwrap();
        let expected = Message::Cancel(vec![round]);
        assert!(
            matches!(&received, Some(MeshEvent::Received { message, .. }) if *message == expected),
            "{received:?}"
        );
    }
}
