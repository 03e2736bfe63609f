//! Tests of the local copy of a prefix with several pages, compacted history, outages and repeated changes, and of the
//! registration of a key.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hinge_store::{
    Change, Connectivity, Item, Keyspace, KeyspaceError, LeaseId, Mirror, MirrorEvent, MirrorSettings, Page,
    Registration, RegistrationEvent, Revision, Snapshot, WatchResponse,
};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

/// Number of range reads after which the store is down, so that a read without end fails its test.
const MAX_RANGES: u64 = 100;

/// A store whose watches return the responses that the test has queued.
#[derive(Clone, Default)]
struct ScriptedStore {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    down: bool,
    /// Every range starts at the first key.
    ignores_after: bool,
    items: BTreeMap<String, Revision>,
    leases: u64,
    page_size: usize,
    puts: u64,
    ranges: u64,
    expire_next_renewal: bool,
    revision: Revision,
    /// Keys whose items the store returns in a form that cannot be decoded.
    unusable: BTreeSet<String>,
    watches: VecDeque<Result<WatchResponse, KeyspaceError>>,
}

fn item(key: &str, revision: Revision) -> Item {
    Item { key: key.into(), revision, value: Bytes::from(revision.to_string()) }
}

fn down() -> KeyspaceError {
    KeyspaceError::Unreachable("down".to_owned())
}

impl ScriptedStore {
    fn set(&self, keys: &[(&str, Revision)]) {
        let mut state = self.state.lock().unwrap();
        state.items = keys.iter().map(|(key, revision)| ((*key).to_owned(), *revision)).collect();
        state.revision = keys.iter().map(|(_, revision)| *revision).max().unwrap_or(state.revision);
    }

    fn push(&self, watched: Result<WatchResponse, KeyspaceError>) {
        self.state.lock().unwrap().watches.push_back(watched);
    }

    fn changes(&self, as_of: Revision, changes: Vec<Change>) {
        self.push(Ok(WatchResponse { as_of, changes }));
    }
}

impl Keyspace for ScriptedStore {
    async fn range(&self, _: &str, after: Option<&str>) -> Result<Page, KeyspaceError> {
        let mut state = self.state.lock().unwrap();
        if state.down || state.ranges >= MAX_RANGES {
            return Err(down());
        }
        state.ranges += 1;
        let after = after.filter(|_| !state.ignores_after);
        let size = state.page_size.max(1);
        let rest: Vec<_> =
            state.items.iter().filter(|(key, _)| after.is_none_or(|after| key.as_str() > after)).collect();
        let mut page = rest.iter().take(size);
        let usable = page.clone().filter(|(key, _)| !state.unusable.contains(key.as_str()));
        let items = usable.map(|(key, revision)| item(key, **revision)).collect();
        let next_after = page.next_back().filter(|_| rest.len() > size).map(|(key, _)| key.as_str().into());
        Ok(Page { as_of: state.revision, items, next_after })
    }

    async fn watch(&self, _: &str, after: Revision, wait: Duration) -> Result<WatchResponse, KeyspaceError> {
        let next = {
            let mut state = self.state.lock().unwrap();
            if state.down {
                return Err(down());
            }
            state.watches.pop_front()
        };
        match next {
            Some(watched) => watched,
            None => {
                sleep(wait).await;
                Ok(WatchResponse { as_of: after, changes: Vec::new() })
            }
        }
    }

    async fn grant(&self, _: Duration) -> Result<LeaseId, KeyspaceError> {
        let mut state = self.state.lock().unwrap();
        state.leases += 1;
        Ok(state.leases)
    }

    async fn renew(&self, _: LeaseId) -> Result<(), KeyspaceError> {
        let mut state = self.state.lock().unwrap();
        if std::mem::take(&mut state.expire_next_renewal) { Err(KeyspaceError::LeaseExpired) } else { Ok(()) }
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), KeyspaceError> {
        Ok(())
    }

    async fn put(&self, _: &str, _: Bytes, _: LeaseId) -> Result<(), KeyspaceError> {
        self.state.lock().unwrap().puts += 1;
        Ok(())
    }
}

fn start(store: &ScriptedStore) -> mpsc::Receiver<MirrorEvent> {
    let (sender, events) = mpsc::channel(64);
    let settings = MirrorSettings {
        min_watch_interval: Duration::from_millis(10),
        prefix: "a/".into(),
        removal_grace: Duration::from_secs(2),
        seed: 1,
        watch_timeout: Duration::from_millis(500),
    };
    tokio::spawn(Mirror::new(store.clone(), settings, sender).run());
    events
}

async fn next_snapshot(events: &mut mpsc::Receiver<MirrorEvent>) -> Snapshot {
    loop {
        if let MirrorEvent::Changed(snapshot) = events.recv().await.unwrap() {
            return snapshot;
        }
    }
}

async fn next_connectivity(events: &mut mpsc::Receiver<MirrorEvent>) -> Connectivity {
    loop {
        if let MirrorEvent::Connectivity(connectivity) = events.recv().await.unwrap() {
            return connectivity;
        }
    }
}

fn keys(snapshot: &Snapshot) -> Vec<(&str, Revision)> {
    snapshot.items.iter().map(|(key, item)| (&**key, item.revision)).collect()
}

/// Guards against a copy that holds only the first page.
#[tokio::test(start_paused = true)]
async fn all_pages_are_read() {
    let store = ScriptedStore::default();
    store.state.lock().unwrap().page_size = 2;
    store.set(&[("a/1", 1), ("a/2", 2), ("a/3", 3), ("a/4", 4), ("a/5", 5)]);
    let mut events = start(&store);
    assert_eq!(next_snapshot(&mut events).await.items.len(), 5);
}

/// Guards against a read without end, whose pages fill the memory, when the store does not find the place of a key in
/// the list.
#[tokio::test(start_paused = true)]
async fn a_page_without_a_new_key_ends_the_read() {
    let store = ScriptedStore::default();
    store.state.lock().unwrap().page_size = 2;
    store.state.lock().unwrap().ignores_after = true;
    store.set(&[("a/1", 1), ("a/2", 2), ("a/3", 3)]);
    let mut events = start(&store);
    let snapshot = timeout(Duration::from_secs(10), next_snapshot(&mut events)).await.unwrap();
    assert_eq!(keys(&snapshot), [("a/1", 1), ("a/2", 2)]);
    store.changes(4, vec![Change::Written(item("a/3", 4))]);
    assert_eq!(keys(&next_snapshot(&mut events).await), [("a/1", 1), ("a/2", 2), ("a/3", 4)]);
    assert_eq!(store.state.lock().unwrap().ranges, 2);
}

/// Guards against keys that are never read because a whole page before them consists of items that cannot be used.
#[tokio::test(start_paused = true)]
async fn a_page_without_usable_items_does_not_end_the_read() {
    let store = ScriptedStore::default();
    store.state.lock().unwrap().page_size = 2;
    store.state.lock().unwrap().unusable = ["a/2", "a/3", "a/4", "a/5"].map(str::to_owned).into();
    store.set(&[("a/1", 1), ("a/2", 2), ("a/3", 3), ("a/4", 4), ("a/5", 5), ("a/6", 6)]);
    let mut events = start(&store);
    let snapshot = timeout(Duration::from_secs(10), next_snapshot(&mut events)).await.unwrap();
    assert_eq!(keys(&snapshot), [("a/1", 1), ("a/6", 6)]);
}

/// Guards against a copy that reverts to older values, because the watch reports changes that later pages already
/// showed.
#[tokio::test(start_paused = true)]
async fn older_changes_are_ignored() {
    let store = ScriptedStore::default();
    store.set(&[("a/1", 5)]);
    store.changes(
        6,
        vec![
            Change::Written(item("a/1", 3)),
            Change::Removed { key: "a/1".into(), revision: 4 },
            Change::Written(item("a/2", 6)),
        ],
    );
    let mut events = start(&store);
    next_snapshot(&mut events).await;
    assert_eq!(keys(&next_snapshot(&mut events).await), [("a/1", 5), ("a/2", 6)]);
}

/// Guards against an upstream or a route that is used after it was withdrawn: a removed key leaves the copy with the
/// watch that reports it.
#[tokio::test(start_paused = true)]
async fn a_removed_key_leaves_the_copy() {
    let store = ScriptedStore::default();
    store.set(&[("a/1", 1), ("a/2", 2)]);
    let mut events = start(&store);
    next_snapshot(&mut events).await;
    store.changes(3, vec![Change::Removed { key: "a/1".into(), revision: 3 }]);
    let snapshot = timeout(Duration::from_secs(10), next_snapshot(&mut events)).await.unwrap();
    assert_eq!(keys(&snapshot), [("a/2", 2)]);
}

/// Guards against changes that are missed when the store has compacted the history after the watch's revision.
#[tokio::test(start_paused = true)]
async fn compacted_history_causes_a_full_read() {
    let store = ScriptedStore::default();
    store.set(&[("a/1", 1), ("a/2", 2)]);
    let mut events = start(&store);
    next_snapshot(&mut events).await;
    store.set(&[("a/2", 7), ("a/3", 8)]);
    store.push(Err(KeyspaceError::Compacted));
    assert_eq!(keys(&next_snapshot(&mut events).await), [("a/2", 7), ("a/3", 8)]);
}

/// Guards against upstreams that are dropped because their leases expired during an outage of the store.
#[tokio::test(start_paused = true)]
async fn keys_lost_in_an_outage_stay_for_the_grace_period() {
    let store = ScriptedStore::default();
    store.set(&[("a/1", 1), ("a/2", 2)]);
    let mut events = start(&store);
    next_snapshot(&mut events).await;
    store.state.lock().unwrap().down = true;
    assert!(matches!(next_connectivity(&mut events).await, Connectivity::Lost { .. }));
    store.set(&[]);
    store.state.lock().unwrap().down = false;
    assert_eq!(next_connectivity(&mut events).await, Connectivity::Restored);
    assert_eq!(next_snapshot(&mut events).await.items.len(), 2, "kept during the grace period");
    store.changes(9, vec![Change::Written(item("a/1", 9))]);
    assert_eq!(keys(&next_snapshot(&mut events).await), [("a/1", 9), ("a/2", 2)]);
    assert_eq!(
        keys(&next_snapshot(&mut events).await),
        [("a/1", 9)],
        "a key that was not written again is removed"
    );
}

/// Guards against an entry that stays unregistered after its lease has expired.
#[tokio::test(start_paused = true)]
async fn expired_lease_is_replaced() {
    let store = ScriptedStore::default();
    let (events, mut received) = mpsc::channel(64);
    let (_stop, stopped) = watch::channel(false);
    let registration = Registration {
        events,
        key: "a/me".into(),
        keyspace: store.clone(),
        listed: watch::channel(true).1,
        seed: 1,
        ttl: Duration::from_secs(2),
        value: Bytes::from_static(b"x"),
    };
    tokio::spawn(registration.run(stopped));
    assert_eq!(received.recv().await, Some(RegistrationEvent::Registered(1)));
    store.state.lock().unwrap().expire_next_renewal = true;
    assert_eq!(received.recv().await, Some(RegistrationEvent::Lost(KeyspaceError::LeaseExpired)));
    assert_eq!(received.recv().await, Some(RegistrationEvent::Registered(2)));
}

/// Guards against an entry that stays unregistered after its key was removed while its lease continued.
#[tokio::test(start_paused = true)]
async fn a_key_that_the_store_no_longer_shows_is_written_again() {
    let store = ScriptedStore::default();
    let (events, mut received) = mpsc::channel(64);
    let (_stop, stopped) = watch::channel(false);
    let (listed, listed_reader) = watch::channel(true);
    let registration = Registration {
        events,
        key: "a/me".into(),
        keyspace: store.clone(),
        listed: listed_reader,
        seed: 1,
        ttl: Duration::from_secs(2),
        value: Bytes::from_static(b"x"),
    };
    tokio::spawn(registration.run(stopped));
    assert_eq!(received.recv().await, Some(RegistrationEvent::Registered(1)));
    let rewritten = tokio::time::timeout(Duration::from_secs(60), received.recv()).await;
    assert!(rewritten.is_err(), "a key that is shown is not written again");
    listed.send_replace(false);
    let rewritten = tokio::time::timeout(Duration::from_secs(1), received.recv()).await;
    assert_eq!(rewritten, Ok(Some(RegistrationEvent::Registered(1))));
}
