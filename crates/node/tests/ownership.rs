//! Which entry owns which upstream, as entries come, go and fall silent.

use std::collections::BTreeSet;
use std::time::Duration;

use hinge_mesh::{Hello, MeshEvent, Message, OwnedUpstream};
use hinge_node::{Engine, EntryRecord, Input, Output};
use hinge_runs::{Hold, HoldReply, Listing, Resources, UpstreamRecord};
use tokio::time::Instant;

const UPSTREAMS: usize = 12;

fn hello(number: u64) -> Hello {
    Hello { data_centre: "dc1".into(), incarnation: number, instance: format!("entry-{number}").into() }
}

fn entry(number: u64) -> EntryRecord {
    EntryRecord {
        address: ([127, 0, 0, 1], 7_000).into(),
        data_centre: "dc1".into(),
        incarnation: number,
        instance: format!("entry-{number}").into(),
    }
}

fn upstream(data_centre: &str, number: usize, sequence: u64) -> UpstreamRecord {
    UpstreamRecord {
        address: format!("{data_centre}-{number}:80").into(),
        capacity: Resources { cpu_millis: 16_000, gpus: 0, memory_mb: 32_768 },
        data_centre: data_centre.into(),
        draining: false,
        id: format!("{data_centre}-up-{number}").into(),
        lifetime: None,
        rack: "r1".into(),
        sequence,
        service: "deicing".into(),
    }
}

/// An engine whose upstreams answer every hold at once.
struct Entry {
    engine: Engine,
    now: Instant,
}

impl Entry {
    fn new(number: u64) -> Self {
        let now = Instant::now();
        let engine = Engine::new(now, hello(number), 1_000, number);
        Self { engine, now }
    }

    fn input(&mut self, input: Input) {
        self.engine.handle(self.now, input);
        self.settle();
    }

    fn settle(&mut self) {
        for _ in 0..4 {
            self.engine.flush(self.now);
            let outputs: Vec<_> = self.engine.drain_outputs().collect();
            for output in outputs {
                if let Output::Hold(hold) = output {
                    self.answer(hold);
                }
            }
        }
    }

    fn answer(&mut self, hold: Hold) {
        let reply = HoldReply::Listed(Listing::default());
        self.engine.handle(self.now, Input::HoldEnded { hold, reply });
    }

    fn owned(&self) -> BTreeSet<String> {
        self.engine.owned().map(ToString::to_string).collect()
    }

    fn wait(&mut self, time_ms: u64) {
        for _ in 0..time_ms / 100 {
            self.now += Duration::from_millis(100);
            self.input(Input::Tick);
        }
    }

    fn link(&mut self, number: u64) {
        self.input(Input::Mesh(MeshEvent::Up(hello(number))));
    }

    fn unlink(&mut self, peer: u64, silent: bool) {
        self.input(Input::Mesh(MeshEvent::Down { error: "test".to_owned(), peer, silent }));
    }

    fn peer_owns(&mut self, peer: u64, upstreams: &[UpstreamRecord]) {
        let owned =
            upstreams.iter().map(|one| OwnedUpstream { fence: 1, upstream: one.id.clone() }).collect();
        self.input(Input::Mesh(MeshEvent::Received { message: Message::Owned(owned), peer }));
    }
}

fn upstreams() -> Vec<UpstreamRecord> {
    (0..UPSTREAMS).map(|number| upstream("dc1", number, 1)).collect()
}

/// An entry that shares the upstreams with one linked peer.
fn pair() -> Entry {
    let mut entry_1 = Entry::new(1);
    entry_1.input(Input::Entries(vec![entry(1), entry(2)]));
    entry_1.link(2);
    entry_1.input(Input::Upstreams(upstreams()));
    entry_1.wait(200);
    entry_1
}

/// The upstreams that `entry` does not own.
fn others(entry: &Entry) -> Vec<UpstreamRecord> {
    upstreams().into_iter().filter(|one| !entry.owned().contains(&*one.id)).collect()
}

/// Guards against entries that own everything or nothing.
#[test]
fn two_entries_own_half_each() {
    let entry = pair();
    assert_eq!(entry.owned().len(), UPSTREAMS / 2);
}

/// Guards against two owners: an upstream that a live peer claims is not taken over.
#[test]
fn what_a_live_peer_claims_is_left_to_it() {
    let mut entry_1 = Entry::new(1);
    entry_1.input(Input::Entries(vec![entry(1), entry(2)]));
    entry_1.link(2);
    entry_1.peer_owns(2, &upstreams());
    entry_1.input(Input::Upstreams(upstreams()));
    entry_1.wait(1_000);
    assert!(entry_1.owned().is_empty());
    entry_1.peer_owns(2, &upstreams()[..6]);
    entry_1.wait(200);
    assert!(!entry_1.owned().is_empty());
}

/// Guards against idle upstreams after a process was killed: its connection is closed at once.
#[test]
fn a_killed_peer_is_replaced_within_half_a_second() {
    let mut entry = pair();
    let theirs = others(&entry);
    entry.peer_owns(2, &theirs);
    entry.unlink(2, false);
    entry.wait(300);
    assert_eq!(entry.owned().len(), UPSTREAMS / 2);
    entry.wait(300);
    assert_eq!(entry.owned().len(), UPSTREAMS);
}

/// Guards against a takeover from a peer that is only slow to answer.
#[test]
fn a_silent_registered_peer_keeps_its_upstreams_for_a_while() {
    let mut entry_1 = pair();
    let theirs = others(&entry_1);
    entry_1.peer_owns(2, &theirs);
    entry_1.unlink(2, true);
    entry_1.wait(2_000);
    assert_eq!(entry_1.owned().len(), UPSTREAMS / 2);
    entry_1.input(Input::Entries(vec![entry(1)]));
    entry_1.wait(200);
    assert_eq!(entry_1.owned().len(), UPSTREAMS, "its registration has expired");
}

/// Guards against a store that drops the registrations of live entries and moves all upstreams with it.
#[test]
fn a_linked_peer_without_registration_keeps_its_upstreams() {
    let mut entry_1 = pair();
    let theirs = others(&entry_1);
    entry_1.peer_owns(2, &theirs);
    entry_1.input(Input::Entries(vec![]));
    entry_1.wait(3_000);
    assert_eq!(entry_1.owned().len(), UPSTREAMS / 2);
}

/// Guards against a planned stop that keeps its upstreams to the end.
#[test]
fn a_draining_entry_releases_its_upstreams() {
    let mut entry = pair();
    entry.input(Input::Drain);
    entry.wait(300);
    assert!(entry.owned().is_empty());
}

/// Guards against a data centre whose entries are all lost while its upstreams are alive, and against taking over the
/// upstreams of one that is only cut off.
#[test]
fn upstreams_of_an_empty_data_centre_are_taken_over_while_they_report() {
    let mut near = Entry::new(1);
    near.input(Input::Entries(vec![entry(1)]));
    let mut sequence = 1;
    for _ in 0..8 {
        sequence += 1;
        near.input(Input::Upstreams(vec![upstream("dc2", 0, sequence), upstream("dc2", 1, 1)]));
        near.wait(500);
    }
    near.wait(600);
    assert_eq!(near.owned(), BTreeSet::from(["dc2-up-0".to_owned()]));
}

/// Guards against an entry that is cut off from its peers alone and takes their upstreams over: the store still shows
/// that they are alive.
#[test]
fn a_silent_peer_is_left_alone_while_the_store_shows_its_registration() {
    let mut entry_1 = pair();
    let theirs = others(&entry_1);
    entry_1.peer_owns(2, &theirs);
    entry_1.unlink(2, true);
    entry_1.wait(8_000);
    assert_eq!(entry_1.owned().len(), UPSTREAMS / 2);
    entry_1.link(2);
    entry_1.unlink(2, false);
    entry_1.wait(3_000);
    entry_1.input(Input::Tick);
    entry_1.wait(300);
    assert_eq!(entry_1.owned().len(), UPSTREAMS / 2, "its registration is still renewed");
}

/// Guards against an entry without store and peers that takes over what the others still own.
#[test]
fn an_isolated_entry_takes_nothing_over() {
    let mut entry_1 = pair();
    let theirs = others(&entry_1);
    entry_1.peer_owns(2, &theirs);
    entry_1.input(Input::StoreAvailable(false));
    entry_1.unlink(2, true);
    entry_1.wait(8_000);
    assert_eq!(entry_1.owned().len(), UPSTREAMS / 2);
}

/// Guards against a data centre that was cut off and takes over all others when the cut heals: the pattern of the end of
/// a partition, where reports arrive again before the links are up.
#[test]
fn a_data_centre_that_comes_back_takes_nothing_over() {
    let far = |sequence| (0..3).map(|number| upstream("dc2", number, sequence)).collect::<Vec<_>>();
    let mut entry_1 = Entry::new(1);
    entry_1.input(Input::Entries(vec![entry(1)]));
    entry_1.input(Input::Upstreams(far(1)));
    entry_1.wait(7_000);
    entry_1.input(Input::Upstreams(far(2)));
    entry_1.wait(2_000);
    assert!(entry_1.owned().is_empty());
}
