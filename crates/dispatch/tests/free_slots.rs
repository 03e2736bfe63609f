//! What an entry reports as free to its peers.

use hinge_conf::Policy;
use hinge_dispatch::{Dispatcher, Event, Origin};
use hinge_wire::{InstanceKind, ListEntry, ListState};
use tokio::time::Instant;

/// Guards against an entry that offers no slots until somebody submits to it, so that its peers never borrow them.
#[test]
fn an_entry_without_submissions_reports_its_free_slots() {
    let now = Instant::now();
    let origin = Origin { data_centre: "dc1".into(), incarnation: 1, instance: "entry-0".into() };
    let mut dispatcher = Dispatcher::new(origin, &Policy::default(), 1);
    let upstream = |id: &str, service: &str| ListEntry {
        address: "127.0.0.1:1".to_owned(),
        data_centre: "dc1".to_owned(),
        id: id.to_owned(),
        kind: InstanceKind::Upstream,
        memory_mb: 1024,
        peer_address: String::new(),
        rack: "r1".to_owned(),
        service: service.to_owned(),
        slots: 8,
        state: ListState::Live,
    };
    let leaders = vec!["entry-0".into()];
    dispatcher.handle(now, Event::Peers { leaders, lenders: Vec::new(), listed: 1 });
    dispatcher
        .handle(now, Event::Upstreams(vec![upstream("a", "x"), upstream("b", "x"), upstream("c", "y")]));
    // The reserve of 10% keeps 2 of the 16 slots of one service and 1 of the 8 slots of the other.
    assert_eq!(dispatcher.free_slots(now), 21);
    dispatcher.handle(now, Event::Upstreams(vec![upstream("c", "y")]));
    assert_eq!(dispatcher.free_slots(now), 7);
}
