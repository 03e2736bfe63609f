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
        cpu_millis: 0,
        dormancy: true,
    }
}

fn upstream(data_centre: &str) -> UpstreamRecord {
    UpstreamRecord {
        address: "10.0.0.1:80".into(),
        capacity: Resources { cpu_millis: 16_000, gpus: 0, memory_mb: 32_768 },
        cold_left_ms: 0,
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
    /// Revision of the store at the last evacuation.
    revision: u64,
    /// Whether the last status to each peer had free slots.
    sent_slots: BTreeMap<HomeId, bool>,
}

impl Entry {
    /// The entry `number` with links to all others.
    fn linked(number: u64, entries: u64) -> Self {
        let (now, local) = (Instant::now(), hello(number));
        let engine = engine(now, local.clone(), number);
        let mut entry = Self { engine, now, revision: 0, sent_slots: BTreeMap::new() };
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

    /// The store shows that these data centres are evacuated, and no others.
    fn evacuate(&mut self, data_centres: &[&str]) {
        self.revision += 1;
        let keys = data_centres.iter().map(|data_centre| ((*data_centre).into(), self.revision)).collect();
        self.input(Input::ObeyEvacuations);
        self.input(Input::Evacuations { keys, revision: self.revision });
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

    /// Number of peers that get a status after a new version of the configuration.
    fn told_of_configuration(&mut self) -> usize {
        self.now += Duration::from_secs(1);
        self.process_outputs();
        self.sent_slots.clear();
        self.input(Input::Config { body: "{}".into(), version: 1 });
        self.sent_slots.len()
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

/// Guards against entries of evacuated data centres that see too few owners with room: their usual senders have none, and they
/// still take jobs of callers. Also guards against messages to all of them.
#[test]
fn entries_of_evacuated_data_centres_see_enough_owners() {
    let entries = 99;
    for evacuated in [&["dc0"][..], &["dc0", "dc2"][..]] {
        let mut received = BTreeMap::new();
        for number in 0..entries {
            let mut entry = Entry::linked(number, entries);
            entry.evacuate(evacuated);
            let recipients = entry.peers_with_slots();
            let is_evacuated = evacuated.contains(&&*hello(number).data_centre);
            assert!(!is_evacuated || recipients.is_empty(), "an owner without room shows none");
            assert!(recipients.len() <= 60, "{}", recipients.len());
            for peer in recipients {
                *received.entry(peer).or_insert(0) += 1;
            }
        }
        let of_evacuated = (0..entries).filter(|number| evacuated.contains(&&*hello(*number).data_centre));
        let counts: Vec<_> = of_evacuated.map(|number| received.get(&number).copied().unwrap_or(0)).collect();
        assert!(counts.iter().all(|count| (15..=40).contains(count)), "{evacuated:?}: {counts:?}");
    }
}

/// Guards against recipients that stay when the data centre is taken back.
#[test]
fn the_usual_recipients_return_after_the_evacuation() {
    let mut entry = Entry::linked(1, 99);
    let usual = entry.peers_with_slots();
    entry.evacuate(&["dc0"]);
    assert_ne!(entry.peers_with_slots(), usual);
    entry.evacuate(&[]);
    assert_eq!(entry.peers_with_slots(), usual);
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

/// Guards against a message from each entry to each other one after every change of the configuration, and against peers in
/// small data centres that are not told.
#[test]
fn new_versions_of_the_configuration_are_told_to_a_fixed_number_of_peers() {
    assert_eq!(Entry::linked(0, 300).told_of_configuration(), 20);
    assert_eq!(Entry::linked(0, 51).told_of_configuration(), 50, "16 peers in its own data centre");
}
