//! Which peers hear the loads of an entry, in a system of many entries.

use std::collections::BTreeMap;
use std::time::Duration;

use hinge_mesh::{Hello, MeshEvent, Message};
use hinge_node::{Engine, Input, Output};
use hinge_runs::{HoldReply, HomeId, Listing, Resources, UpstreamRecord};
use tokio::time::Instant;

const DATA_CENTRES: u64 = 3;

fn hello(number: u64) -> Hello {
    let data_centre = format!("dc{}", number % DATA_CENTRES);
    Hello {
        incarnation: number,
        instance: format!("{data_centre}-entry-{number:03}").into(),
        data_centre: data_centre.into(),
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

/// An entry that owns the only upstream of its data centre, and what it told its peers.
struct Entry {
    engine: Engine,
    now: Instant,
    /// Whether the last status to a peer shows slots.
    told: BTreeMap<HomeId, bool>,
}

impl Entry {
    /// The entry `number` with links to all others.
    fn linked(number: u64, entries: u64) -> Self {
        let (now, own) = (Instant::now(), hello(number));
        let engine = Engine::new(now, own.clone(), 1_000, number);
        let mut entry = Self { engine, now, told: BTreeMap::new() };
        entry.input(Input::Upstreams(vec![upstream(&own.data_centre)]));
        for peer in (0..entries).filter(|peer| *peer != number) {
            entry.input(Input::Mesh(MeshEvent::Up(hello(peer))));
        }
        entry
    }

    fn input(&mut self, input: Input) {
        self.engine.handle(self.now, input);
        self.settle();
    }

    fn settle(&mut self) {
        for _ in 0..3 {
            self.engine.flush(self.now);
            let outputs: Vec<_> = self.engine.drain_outputs().collect();
            for output in outputs {
                self.carry_out(output);
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Hold(hold) => {
                let reply = HoldReply::Listed(Listing::default());
                self.engine.handle(self.now, Input::HoldEnded { hold, reply });
            }
            Output::Send { message: Message::Status(status), peer } => {
                self.told.insert(peer, status.loads.iter().any(|one| one.load.slots > 0));
            }
            _ => {}
        }
    }

    fn told_slots(&self) -> Vec<HomeId> {
        self.told.iter().filter(|(_, slots)| **slots).map(|(peer, _)| *peer).collect()
    }
}

/// Guards against messages that grow with the square of the number of entries: the pattern of a large system, where most
/// of the processor time goes to loads that nobody uses.
#[test]
fn a_large_system_tells_loads_to_a_fixed_number_of_peers_evenly() {
    let entries = 99;
    let mut heard = BTreeMap::new();
    for number in 0..entries {
        let told = Entry::linked(number, entries).told_slots();
        assert_eq!(told.len(), 20);
        for peer in told {
            *heard.entry(peer).or_insert(0) += 1;
        }
    }
    assert!(heard.values().all(|count| (10..=30).contains(count)), "{heard:?}");
}

/// Guards against a small system in which homes do not see all the room there is.
#[test]
fn a_small_system_tells_all_peers() {
    for number in 0..8 {
        assert_eq!(Entry::linked(number, 8).told_slots().len(), 7);
    }
}

/// Guards against a peer that goes on with loads which it was told between two intervals, when they are back at the value
/// that the interval sent last.
#[test]
fn loads_told_between_two_intervals_are_corrected() {
    let mut released = 0;
    for number in 0..9 {
        let mut entry = Entry::linked(number, 9);
        assert!(!entry.told_slots().is_empty());
        entry.now += Duration::from_millis(200);
        entry.settle();
        if entry.engine.owned().next().is_none() {
            released += 1;
            assert!(entry.told_slots().is_empty(), "{:?}", entry.told);
        }
    }
    assert_eq!(released, 6, "one entry of each data centre keeps its upstream");
}
