//! Selection of the peers that receive an entry's loads.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use hinge_mesh::{Hello, MeshEvent, Message};
use hinge_node::{Engine, Input, Output};
use hinge_runs::{HoldReply, HomeId, Listing, Resources, UpstreamRecord};
use support::engine;
use tokio::time::Instant;

const DATA_CENTRES: u64 = 3;

fn hello(number: u64) -> Hello {
    let data_centre = format!("dc{}", number % DATA_CENTRES);
    Hello {
        incarnation: number,
        instance: format!("{data_centre}-entry-{number:03}").into(),
        data_centre: data_centre.into(),
        resumable: true,
        timestamps: true,
    }
}

fn upstream(data_centre: &str) -> UpstreamRecord {
    UpstreamRecord {
        address: "10.0.0.1:80".into(),
        capacity: Resources { cpu_millis: 16_000, gpus: 0, memory_mb: 32_768 },
        data_centre: data_centre.into(),
        draining: false,
        id: "up-1".into(),
        incarnation: None,
        rack: "r1".into(),
        sequence: 1,
        service: "deicing".into(),
    }
}

/// An entry that knows one upstream, with the last status that it sent to each peer.
struct Entry {
    engine: Engine,
    now: Instant,
    /// Whether the last status to each peer had free slots.
    sent_slots: BTreeMap<HomeId, bool>,
}

impl Entry {
    /// The entry `number` with links to all others.
    fn linked(number: u64, entries: u64) -> Self {
        let (now, local) = (Instant::now(), hello(number));
        let engine = engine(now, local.clone(), number);
        let mut entry = Self { engine, now, sent_slots: BTreeMap::new() };
        entry.input(Input::Upstreams(vec![upstream(&local.data_centre)]));
        for peer in (0..entries).filter(|peer| *peer != number) {
            entry.input(Input::Mesh(MeshEvent::Up(hello(peer))));
        }
        entry
    }

    fn input(&mut self, input: Input) {
        self.engine.handle(self.now, input);
        self.process_outputs();
    }

    fn process_outputs(&mut self) {
        for _ in 0..3 {
            self.engine.flush(self.now);
            let outputs: Vec<_> = self.engine.drain_outputs().collect();
            for output in outputs {
                self.execute(output);
            }
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Hold(hold) => {
                let reply = HoldReply::Listed(Listing::default());
                self.engine.handle(self.now, Input::HoldEnded { hold, reply });
            }
            Output::Send { message: Message::Status(status), peer } => {
                self.sent_slots.insert(peer, status.loads.iter().any(|load| load.load.slots > 0));
            }
            _ => {}
        }
    }

    fn peers_with_slots(&self) -> Vec<HomeId> {
        self.sent_slots.iter().filter(|(_, slots)| **slots).map(|(peer, _)| *peer).collect()
    }
}

/// Guards against status messages that grow with the square of the number of entries. In a large system most of the CPU
/// time would go to loads that nobody uses.
#[test]
fn loads_go_to_a_fixed_number_of_peers() {
    let entries = 99;
    let mut received = BTreeMap::new();
    for number in 0..entries {
        let recipients = Entry::linked(number, entries).peers_with_slots();
        assert_eq!(recipients.len(), 20);
        for peer in recipients {
            *received.entry(peer).or_insert(0) += 1;
        }
    }
    assert!(received.values().all(|count| (10..=30).contains(count)), "{received:?}");
}

/// Guards against a small system in which entries do not see all free slots.
#[test]
fn small_systems_send_loads_to_all_peers() {
    for number in 0..8 {
        assert_eq!(Entry::linked(number, 8).peers_with_slots().len(), 7);
    }
}

/// Guards against a peer that keeps outdated loads: it received them between two intervals, and they are back at the
/// value that was sent at the last interval, so nothing appears to have changed.
#[test]
fn loads_sent_between_intervals_are_corrected() {
    let mut released = 0;
    for number in 0..9 {
        let mut entry = Entry::linked(number, 9);
        assert!(!entry.peers_with_slots().is_empty());
        entry.now += Duration::from_millis(200);
        entry.process_outputs();
        if entry.engine.owned().next().is_none() {
            released += 1;
            assert!(entry.peers_with_slots().is_empty(), "{:?}", entry.sent_slots);
        }
    }
    assert_eq!(released, 6, "one entry of each data centre keeps its upstream");
}
