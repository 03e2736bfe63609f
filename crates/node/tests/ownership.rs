//! Ownership of upstreams when entries start, stop, and lose their links or their registration.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use hinge_mesh::{Hello, MeshEvent, Message, OwnedUpstream};
use hinge_node::{Engine, Input, Output};
use hinge_runs::{Fence, Hold, HoldReply, Listing, Resources, UpstreamRecord};
use support::{engine, entry, hello};
use tokio::time::Instant;

const UPSTREAMS: usize = 12;

fn upstream(data_centre: &str, number: usize, sequence: u64) -> UpstreamRecord {
    UpstreamRecord {
        address: format!("{data_centre}-{number}:80").into(),
        capacity: Resources { cpu_millis: 16_000, gpus: 0, memory_mb: 32_768 },
        cold_left_ms: 0,
        data_centre: data_centre.into(),
        draining: false,
        id: format!("{data_centre}-up-{number}").into(),
        incarnation: None,
        rack: "r1".into(),
        sequence,
        service: "deicing".into(),
    }
}

/// An engine whose upstreams answer every hold immediately.
struct Entry {
    engine: Engine,
    /// Highest fencing token of the holds so far.
    fence: Fence,
    now: Instant,
}

impl Entry {
    fn new(number: u64) -> Self {
        let now = Instant::now();
        let engine = engine(now, hello(number), number);
        Self { engine, fence: Fence::default(), now }
    }

    fn input(&mut self, input: Input) {
        self.engine.handle(self.now, input);
        self.process_outputs();
    }

    fn process_outputs(&mut self) {
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
        self.fence = self.fence.max(hold.fence);
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
        let since = self.now;
        self.input(Input::Mesh(MeshEvent::Down {
            error: "test".into(),
            peer,
            sent_after: since,
            silent,
            since,
        }));
    }

    fn peer_owns(&mut self, peer: u64, upstreams: &[UpstreamRecord]) {
        self.peer_owns_with(Fence::from(1), peer, upstreams);
    }

    fn peer_owns_with(&mut self, fence: Fence, peer: u64, upstreams: &[UpstreamRecord]) {
        let owned =
            upstreams.iter().map(|owned| OwnedUpstream { fence, upstream: owned.id.clone() }).collect();
        self.input(Input::Mesh(MeshEvent::Received {
            message: Message::Owned(owned),
            peer,
            sent_after: self.now,
        }));
    }
}

fn upstreams() -> Vec<UpstreamRecord> {
    (0..UPSTREAMS).map(|number| upstream("dc1", number, 1)).collect()
}

/// Entry 1, which shares the upstreams with its linked peer, entry 2.
fn linked_pair() -> Entry {
    let mut entry_1 = Entry::new(1);
    entry_1.input(Input::Entries(vec![entry(1), entry(2)]));
    entry_1.link(2);
    entry_1.input(Input::Upstreams(upstreams()));
    entry_1.wait(200);
    entry_1
}

/// The upstreams that `entry` does not own, which are those of its peer.
fn not_owned(entry: &Entry) -> Vec<UpstreamRecord> {
    upstreams().into_iter().filter(|upstream| !entry.owned().contains(&*upstream.id)).collect()
}

/// Guards against upstreams without an owner for as long as the clock of their dead owner was ahead, although it was known.
#[test]
fn the_token_of_a_dead_owner_whose_clock_was_ahead_is_exceeded_at_once() {
    let ahead = Fence::from(60_000 << 10);
    let mut entry = linked_pair();
    let others = not_owned(&entry);
    entry.peer_owns_with(ahead, 2, &others);
    entry.unlink(2, false);
    entry.wait(1_000);
    assert_eq!(entry.owned().len(), UPSTREAMS);
    assert!(entry.fence > ahead, "{}", entry.fence);
}

/// Guards against an uneven division, in which an entry owns all upstreams or none.
#[test]
fn two_entries_own_half_each() {
    let entry = linked_pair();
    assert_eq!(entry.owned().len(), UPSTREAMS / 2);
}

/// Guards against two owners of an upstream: one that a live peer claims must not be taken over.
#[test]
fn claims_of_live_peers_are_respected() {
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

/// Guards against upstreams that stay idle after their owner was killed. Its closed connection shows the loss at once.
#[test]
fn upstreams_of_a_killed_peer_are_taken_over_within_600_ms() {
    let mut entry = linked_pair();
    let peer_upstreams = not_owned(&entry);
    entry.peer_owns(2, &peer_upstreams);
    entry.unlink(2, false);
    entry.wait(300);
    assert_eq!(entry.owned().len(), UPSTREAMS / 2);
    entry.wait(300);
    assert_eq!(entry.owned().len(), UPSTREAMS);
}

/// Guards against taking over upstreams from a peer that is only slow: they move when its registration expires, not
/// when its link times out.
#[test]
fn silent_peers_lose_upstreams_on_registration_expiry() {
    let mut entry_1 = linked_pair();
    let peer_upstreams = not_owned(&entry_1);
    entry_1.peer_owns(2, &peer_upstreams);
    entry_1.unlink(2, true);
    entry_1.wait(2_000);
    assert_eq!(entry_1.owned().len(), UPSTREAMS / 2);
    entry_1.input(Input::Entries(vec![entry(1)]));
    entry_1.wait(200);
    assert_eq!(entry_1.owned().len(), UPSTREAMS, "its registration has expired");
}

/// Guards against moving all upstreams when the store loses the registrations of live entries.
#[test]
fn linked_peers_keep_upstreams_without_registration() {
    let mut entry_1 = linked_pair();
    let peer_upstreams = not_owned(&entry_1);
    entry_1.peer_owns(2, &peer_upstreams);
    entry_1.input(Input::Entries(vec![]));
    entry_1.wait(3_000);
    assert_eq!(entry_1.owned().len(), UPSTREAMS / 2);
}

/// Guards against an entry that keeps its upstreams until the end of a planned stop.
#[test]
fn draining_entries_release_their_upstreams() {
    let mut entry = linked_pair();
    let finish_by = entry.now + Duration::from_secs(5);
    entry.input(Input::Drain { finish_by });
    entry.wait(300);
    assert!(entry.owned().is_empty());
}

/// Guards against upstreams without an owner when all entries of their data centre are down, and against taking over
/// upstreams behind a partition, which do not report.
#[test]
fn reporting_upstreams_of_an_empty_data_centre_are_taken_over() {
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

/// Guards against an entry that loses the links to its peers and takes over their upstreams although the store shows
/// that the peers are alive.
#[test]
fn silent_peers_keep_upstreams_while_registered() {
    let mut entry_1 = linked_pair();
    let peer_upstreams = not_owned(&entry_1);
    entry_1.peer_owns(2, &peer_upstreams);
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

/// Guards against an entry that reaches neither the store nor its peers and takes over upstreams that the peers still
/// own.
#[test]
fn isolated_entries_take_over_nothing() {
    let mut entry_1 = linked_pair();
    let peer_upstreams = not_owned(&entry_1);
    entry_1.peer_owns(2, &peer_upstreams);
    entry_1.input(Input::StoreAvailable(false));
    entry_1.unlink(2, true);
    entry_1.wait(8_000);
    assert_eq!(entry_1.owned().len(), UPSTREAMS / 2);
}

/// Guards against an entry that takes over the upstreams of other data centres at the end of a partition, when reports
/// arrive again before the links are up.
#[test]
fn nothing_is_taken_over_when_a_partition_ends() {
    let far = |sequence| (0..3).map(|number| upstream("dc2", number, sequence)).collect::<Vec<_>>();
    let mut entry_1 = Entry::new(1);
    entry_1.input(Input::Entries(vec![entry(1)]));
    entry_1.input(Input::Upstreams(far(1)));
    entry_1.wait(7_000);
    entry_1.input(Input::Upstreams(far(2)));
    entry_1.wait(2_000);
    assert!(entry_1.owned().is_empty());
}

/// Guards against one record with a capacity far above all others that draws the shares of other entries to itself.
#[test]
fn an_odd_capacity_leaves_the_division_even() {
    let mut upstreams: Vec<_> = (0..30).map(|number| upstream("dc1", number, 1)).collect();
    let mut odd = upstream("dc1", 30, 1);
    odd.capacity.cpu_millis = 10_000_000;
    upstreams.push(odd);
    let entries: Vec<_> = (1..=3).map(entry).collect();
    for number in 1..=3 {
        let mut entry = Entry::new(number);
        entry.input(Input::Entries(entries.clone()));
        entry.input(Input::Upstreams(upstreams.clone()));
        entry.wait(200);
        let owned = entry.owned();
        let usual = owned.iter().filter(|id| *id != "dc1-up-30").count();
        assert!((6..=14).contains(&usual), "entry {number} owns {usual} of 30");
    }
}

/// Number of upstreams that entry 1 owns beside six entries of a small processor share, of 48 upstreams.
fn owned_beside_small_entries(cpu_millis: u32, small_cpu_millis: u32) -> usize {
    let now = Instant::now();
    let engine = engine(now, Hello { cpu_millis, ..hello(1) }, 1);
    let mut large = Entry { engine, fence: Fence::default(), now };
    for number in 2..8 {
        let small = Hello { cpu_millis: small_cpu_millis, ..hello(number) };
        large.input(Input::Mesh(MeshEvent::Up(small)));
    }
    large.input(Input::Upstreams((0..48).map(|number| upstream("dc1", number, 1)).collect()));
    large.wait(300);
    large.owned().len()
}

/// Guards against small entries that own as many upstreams as large ones: in a burst they use their whole processor share, and
/// assignments wait for them.
#[test]
fn upstreams_are_divided_by_processor_share() {
    let large = owned_beside_small_entries(500, 90);
    assert!(large >= 24, "a large entry owns {large} of 48 upstreams");
    let small = owned_beside_small_entries(90, 500);
    assert!((1..=3).contains(&small), "a small entry owns {small} of 48 upstreams");
}

/// Guards against divisions that differ between entries of this and of the previous version, which names no share.
#[test]
fn upstreams_are_divided_evenly_while_a_share_is_unknown() {
    let owned = owned_beside_small_entries(500, 0);
    assert!((6..=8).contains(&owned), "{owned} of 48 upstreams");
    let owned = owned_beside_small_entries(90, 90);
    assert!((6..=8).contains(&owned), "{owned} of 48 upstreams");
}
