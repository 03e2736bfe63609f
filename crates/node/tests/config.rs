//! Distribution of configurations: entries read them from the store, and from a peer only when the store is late.

#![allow(clippy::expect_used, reason = "tests")]

mod support;

use std::time::Duration;

use bytes::Bytes;
use hinge_mesh::{MeshEvent, Message, Status};
use hinge_node::{Engine, Input, Output};
use support::{engine, hello};
use tokio::time::Instant;

struct Entry {
    engine: Engine,
    now: Instant,
}

impl Entry {
    /// An entry with links to `peers` others.
    fn new(peers: u64) -> Self {
        let now = Instant::now();
        let mut entry = Self { engine: engine(now, hello(1), 1), now };
        for peer in 2..2 + peers {
            entry.engine.handle(now, Input::Mesh(MeshEvent::Up(hello(peer))));
        }
        entry.outputs();
        entry
    }

    fn outputs(&mut self) -> Vec<Output> {
        self.engine.flush(self.now);
        self.engine.drain_outputs().collect()
    }

    fn receive(&mut self, peer: u64, message: Message) {
        self.engine
            .handle(self.now, Input::Mesh(MeshEvent::Received { message, peer, sent_after: self.now }));
    }

    fn peer_reports_version(&mut self, peer: u64, config_version: u64) {
        self.receive(peer, Message::Status(Status { config_version, ..Status::default() }));
    }

    fn read_from_store(&mut self, version: u64) {
        self.engine.handle(self.now, Input::Config { body: Bytes::from_static(b"{}"), version });
    }

    /// Configuration messages that the entry sends within `time_ms`.
    fn messages_within(&mut self, time_ms: u64) -> Vec<(u64, Message)> {
        let mut messages = Vec::new();
        for _ in 0..time_ms / 50 {
            self.now += Duration::from_millis(50);
            self.engine.handle(self.now, Input::Tick);
            messages.extend(self.outputs().into_iter().filter_map(|output| match output {
                Output::Send {
                    message: message @ (Message::Config { .. } | Message::ConfigRequest),
                    peer,
                } => Some((peer, message)),
                _ => None,
            }));
        }
        messages
    }
}

/// Guards against saturated links, which occur when every entry sends a large configuration to every other entry.
#[test]
fn new_configurations_are_not_pushed_to_peers() {
    let mut entry = Entry::new(30);
    entry.read_from_store(7);
    assert!(entry.messages_within(2_000).is_empty());
    entry.receive(2, Message::ConfigRequest);
    let sent = entry
        .outputs()
        .into_iter()
        .filter(|output| matches!(output, Output::Send { message: Message::Config { .. }, peer: 2 }));
    assert_eq!(sent.count(), 1);
}

/// Guards against an entry that keeps an old configuration while it cannot reach the store.
#[test]
fn one_peer_is_asked_when_the_store_is_late() {
    let mut entry = Entry::new(5);
    entry.read_from_store(7);
    for peer in 2..7 {
        entry.peer_reports_version(peer, 8);
    }
    assert!(entry.messages_within(500).is_empty(), "the store may still deliver it");
    assert_eq!(entry.messages_within(500).len(), 1);
    assert_eq!(entry.messages_within(1_000).len(), 1, "a large response takes time");
    entry.receive(3, Message::Config { body: Bytes::from_static(b"{}"), version: 8 });
    assert!(entry.messages_within(2_000).is_empty());
}

/// Guards against a configuration that is replaced by an older version.
#[test]
fn older_versions_are_ignored() {
    let mut entry = Entry::new(1);
    entry.read_from_store(8);
    entry.outputs();
    entry.read_from_store(7);
    entry.receive(2, Message::Config { body: Bytes::from_static(b"{}"), version: 6 });
    let outputs = entry.outputs();
    assert!(!outputs.iter().any(|output| matches!(output, Output::Config { .. })));
}
