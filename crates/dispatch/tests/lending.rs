//! Slots that an entry lends to its peers.

use hinge_conf::Policy;
use hinge_dispatch::{Dispatcher, Event, Origin};
use hinge_wire::{Class, InstanceKind, ListEntry, ListState, LoanRequest};
use tokio::time::Instant;

/// Guards against an entry that reports no free slots before its first submission, so that tasks of its peers stay
/// queued although upstreams are idle.
#[test]
fn entry_without_submissions_lends_free_slots() {
    let now = Instant::now();
    let origin = Origin { data_centre: "dc1".into(), incarnation: 1, instance: "entry-0".into() };
    let mut dispatcher = Dispatcher::new(origin, &Policy::default(), 1);
    dispatcher.handle(
        now,
        Event::Peers { leaders: vec!["entry-0".into()], lenders: Vec::new(), listed_entries: 2 },
    );
    let upstreams = [("a", "fuelling"), ("b", "fuelling"), ("c", "deicing")].map(|(id, service)| ListEntry {
        address: "127.0.0.1:9000".to_owned(),
        data_centre: "dc1".to_owned(),
        id: id.to_owned(),
        kind: InstanceKind::Upstream,
        memory_mb: 32_000,
        peer_address: String::new(),
        rack: "rack-0".to_owned(),
        service: service.to_owned(),
        slots: 8,
        state: ListState::Live,
    });
    dispatcher.handle(now, Event::Upstreams(upstreams.to_vec()));
    // A reserve of 10% withholds 2 of the 16 slots of one service and 1 of the 8 slots of the other.
    assert_eq!(dispatcher.free_slots(), 21);
    dispatcher.handle(now, Event::Upstreams(upstreams[2..].to_vec()));
    assert_eq!(dispatcher.free_slots(), 7);
    assert_eq!(lent(&mut dispatcher, now), 7);
    assert_eq!(dispatcher.free_slots(), 0);
}

/// Number of slots lent to a peer that requests more than there are.
fn lent(dispatcher: &mut Dispatcher, now: Instant) -> u32 {
    let request = LoanRequest {
        borrower: "entry-1".to_owned(),
        borrower_incarnation: 2,
        class: Class::Urgent,
        service: "deicing".to_owned(),
        slots: 32,
        target_incarnation: 1,
    };
    dispatcher.lend(now, &request).slots.iter().map(|slots| slots.slots).sum()
}
