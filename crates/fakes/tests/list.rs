//! Lag and long polls of the stand-in list.

use std::time::Duration;

use hinge_fakes::{FakeList, ListControl, Shared};
use hinge_wire::{InstanceKind, ListEntry, ListState};
use tokio::time::Instant;

fn entry(id: &str, state: ListState) -> ListEntry {
    ListEntry {
        address: "127.0.0.1:1".to_owned(),
        data_centre: "dc1".to_owned(),
        id: id.to_owned(),
        kind: InstanceKind::Upstream,
        memory_mb: 1024,
        peer_address: String::new(),
        rack: "r1".to_owned(),
        service: "s".to_owned(),
        slots: 8,
        state,
    }
}

/// Guards against changes that become visible before the lag has passed, or out of order after it was lowered.
#[tokio::test(start_paused = true)]
async fn changes_become_visible_in_order_after_the_lag() {
    let mut list = FakeList::new(Duration::from_secs(5));
    let start = Instant::now();
    list.set(start, vec![entry("u1", ListState::Live)]);
    let upsert = vec![entry("u1", ListState::Leaving), entry("u2", ListState::Live)];
    list.control(start, &ListControl { lag_ms: Some(0), upsert, ..ListControl::default() });
    assert_eq!(list.get(start + Duration::from_millis(4999)).version, 0);
    let seen = list.get(start + Duration::from_secs(5));
    assert_eq!((seen.version, seen.entries.len()), (2, 2));
    assert_eq!(seen.entries[0].state, ListState::Leaving);
    let remove = ListControl { remove: vec!["u1".to_owned()], ..ListControl::default() };
    list.control(start + Duration::from_secs(6), &remove);
    assert_eq!(list.get(start + Duration::from_secs(6)).entries.len(), 1);
}

/// Guards against long polls that return before a change is visible, or that outlast a visible change or their wait.
#[tokio::test(start_paused = true)]
async fn long_poll_ends_at_a_visible_change_or_timeout() {
    let list = Shared::new(FakeList::new(Duration::from_secs(2)));
    let start = Instant::now();
    list.update(|list| list.set(start, vec![entry("u1", ListState::Live)]));
    assert_eq!(list.instances(0, Duration::from_secs(30)).await.unwrap().version, 1);
    assert_eq!(start.elapsed(), Duration::from_secs(2));
    assert_eq!(list.instances(1, Duration::from_secs(30)).await.unwrap().version, 1);
    assert_eq!(start.elapsed(), Duration::from_secs(32));
    list.update(|list| list.control(start, &ListControl { down: Some(true), ..ListControl::default() }));
    assert_eq!(list.instances(0, Duration::from_secs(30)).await, None);
}
