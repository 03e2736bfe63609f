//! Cost of links, and detection of lost peers, in data centres with many entries.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::time::Duration;

use hinge_mesh::{Hello, Mesh, MeshEvent, Message, PeerAddress, Resume};
use support::{hello, send_at_once, write};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

/// Time after which all links are up, and those that may rest do.
const SETTLED: Duration = Duration::from_secs(5);
/// Number of watched peers of each entry.
const WATCHED: u64 = 8;

struct Entry {
    events: mpsc::Receiver<MeshEvent>,
    mesh: Mesh,
}

/// Forwards connections until their entry has lost power: then nothing arrives any more, and no connection is closed.
async fn forward(listener: TcpListener, target: std::net::SocketAddr, powered: watch::Receiver<bool>) {
    while let Ok((mut near, _)) = listener.accept().await {
        let mut powered = powered.clone();
        let mut far = TcpStream::connect(target).await.unwrap();
        send_at_once([&near, &far]);
        tokio::spawn(async move {
            tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut near, &mut far) => return,
                Ok(_) = powered.wait_for(|powered| !*powered) => {}
            }
            std::future::pending::<()>().await;
        });
    }
}

/// Links entries with each other. The last one is reached over a path that carries nothing once `powered` is false.
async fn site(identities: Vec<Hello>, powered: &watch::Sender<bool>) -> Vec<Entry> {
    let mut entries = Vec::new();
    let mut addresses = Vec::new();
    for (position, identity) in identities.iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut address = listener.local_addr().unwrap();
        if position + 1 == identities.len() {
            let path = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let target = std::mem::replace(&mut address, path.local_addr().unwrap());
            tokio::spawn(forward(path, target, powered.subscribe()));
        }
        addresses.push(PeerAddress { address, instance: identity.instance.clone() });
        let (sender, events) = mpsc::channel(1_024);
        entries.push(Entry { events, mesh: Mesh::start(listener, identity.clone(), sender) });
    }
    for entry in &mut entries {
        entry.mesh.set_peers(&addresses);
    }
    sleep(SETTLED).await;
    for entry in &mut entries {
        for _ in 1..identities.len() {
            assert!(matches!(entry.events.try_recv(), Ok(MeshEvent::Up(_))));
        }
        assert!(entry.events.try_recv().is_err());
    }
    entries
}

/// Identities of entries of one data centre; the order of instances is that of the numbers.
fn identities(count: u64) -> Vec<Hello> {
    (100..100 + count).map(hello).collect()
}

/// Highest number of messages that an entry sends in 20 s without tasks.
async fn frames_in_20_s(count: u64) -> u64 {
    let entries = site(identities(count), &watch::Sender::new(true)).await;
    let before: Vec<_> = entries.iter().map(|entry| entry.mesh.stats().frames).collect();
    sleep(Duration::from_secs(20)).await;
    let sent = entries.iter().zip(before).map(|(entry, before)| entry.mesh.stats().frames - before);
    sent.max().unwrap()
}

/// Guards against a cost of each entry that grows with the number of entries: heartbeats of all pairs.
#[tokio::test(start_paused = true)]
async fn the_number_of_messages_hardly_grows_with_the_number_of_entries() {
    let watched = WATCHED * 10 * 20;
    for count in [20, 50] {
        let frames = frames_in_20_s(count).await;
        let others = count - 1 - WATCHED;
        assert!(frames <= watched + others * 3, "{count} entries: {frames}");
    }
}

/// Guards against any change in small data centres: no link rests.
#[tokio::test(start_paused = true)]
async fn all_links_of_a_small_data_centre_stay_awake() {
    for entry in site(identities(17), &watch::Sender::new(true)).await {
        assert_eq!(entry.mesh.stats().resting_links, 0);
    }
}

/// Guards against links to entries of the previous version that rest: these expect a heartbeat every 100 ms.
#[tokio::test(start_paused = true)]
async fn links_to_entries_that_do_not_announce_dormancy_stay_awake() {
    let mut identities = identities(20);
    identities[3].dormancy = false;
    let mut entries = site(identities, &watch::Sender::new(true)).await;
    sleep(Duration::from_secs(30)).await;
    assert_eq!(entries[3].mesh.stats().resting_links, 0);
    for entry in &mut entries {
        assert!(entry.mesh.unresponsive_peers(Instant::now(), Duration::from_millis(220)).is_empty());
        let event = entry.events.try_recv();
        assert!(event.is_err(), "{event:?}");
    }
}

/// Guards against a machine without power that counts as alive for as long as a dormant link allows.
#[tokio::test(start_paused = true)]
async fn the_loss_of_a_silent_entry_is_noticed_by_all_within_1300_ms() {
    let powered = watch::Sender::new(true);
    let mut entries = site(identities(30), &powered).await;
    // Longer than the heartbeats of a dormant link, so that some are due soon and some are not.
    sleep(Duration::from_secs(12)).await;
    let lost = entries.pop().unwrap();
    assert!(lost.mesh.stats().resting_links > 0);
    powered.send_replace(false);
    let lost_at = Instant::now();
    for entry in &mut entries {
        let down = timeout(Duration::from_secs(5), entry.events.recv()).await.unwrap();
        assert!(matches!(down, Some(MeshEvent::Down { peer: 129, silent: true, .. })), "{down:?}");
        assert!(lost_at.elapsed() <= Duration::from_millis(1_300), "{:?}", lost_at.elapsed());
    }
    let told: u64 = entries.iter().map(|entry| entry.mesh.stats().suspicions).sum();
    assert_eq!(told, WATCHED, "only those that watch it tell the others");
}

/// Guards against an entry that is cut off and believes in links to others for as long as dormant links allow.
#[tokio::test(start_paused = true)]
async fn an_entry_that_is_cut_off_loses_all_links_within_1300_ms() {
    let powered = watch::Sender::new(true);
    let mut entries = site(identities(30), &powered).await;
    let mut cut_off = entries.pop().unwrap();
    powered.send_replace(false);
    sleep(Duration::from_millis(1_300)).await;
    let mut lost = 0;
    while let Ok(MeshEvent::Down { .. }) = cut_off.events.try_recv() {
        lost += 1;
    }
    assert_eq!(lost, 29);
}

/// Guards against an entry that is declared dead only because a peer suspects it.
#[tokio::test(start_paused = true)]
async fn a_suspected_entry_that_answers_stays_linked() {
    let mut entries = site(identities(30), &watch::Sender::new(true)).await;
    let (first, others) = entries.split_first_mut().unwrap();
    let stream = {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        first.mesh.set_peers(&[PeerAddress { address, instance: "entry-999".into() }]);
        let (mut stream, _) = listener.accept().await.unwrap();
        write(&mut stream, &Message::Hello(hello(999))).await;
        write(&mut stream, &Message::Resume(Resume { link: None, nonce: 5, received: 0 })).await;
        write(&mut stream, &Message::Suspect((100..130).collect())).await;
        stream
    };
    let checks = first.mesh.stats().checks;
    sleep(Duration::from_millis(300)).await;
    assert!(first.mesh.stats().checks > checks, "the suspected entries are checked");
    drop(stream);
    sleep(Duration::from_secs(3)).await;
    for entry in others {
        let event = entry.events.try_recv();
        assert!(event.is_err(), "{event:?}");
    }
    while let Ok(event) = first.events.try_recv() {
        let about_known = matches!(&event, MeshEvent::Down { peer, .. } if *peer != 999);
        assert!(!about_known, "{event:?}");
    }
}

/// Guards against a peer whose registration has ended, which nobody watches any more, and that counts as alive for as long as
/// a dormant link allows; and against checks at each change of the registrations while the store has dropped some.
#[tokio::test(start_paused = true)]
async fn a_peer_without_a_registration_is_checked() {
    let mut entries = site(identities(30), &watch::Sender::new(true)).await;
    let checks = entries[0].mesh.stats().checks;
    for _ in 0..3 {
        entries[0].mesh.set_peers(&[]);
        sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(entries[0].mesh.stats().checks - checks, 29 - WATCHED);
    assert!(entries[0].events.try_recv().is_err(), "those that answer stay linked");
}

/// Guards against messages on dormant links that are lost, or that leave the links awake.
#[tokio::test(start_paused = true)]
async fn messages_over_dormant_links_arrive() {
    let mut entries = site(identities(30), &watch::Sender::new(true)).await;
    for round in 0..3 {
        for peer in 101..130 {
            assert!(entries[0].mesh.send(peer, Message::Cancel(vec![round])));
        }
        for entry in &mut entries[1..] {
            let received = timeout(Duration::from_millis(500), entry.events.recv()).await.unwrap();
            let Some(MeshEvent::Received { message, sent_after, .. }) = received else { unreachable!() };
            assert_eq!(message, Message::Cancel(vec![round]));
            assert!(sent_after.elapsed() < Duration::from_millis(600), "it must not count as late");
        }
        sleep(Duration::from_secs(3)).await;
        assert_eq!(entries[0].mesh.stats().resting_links, 29 - 8);
    }
}
