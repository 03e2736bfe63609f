//! A local copy of a prefix through pages, lost history, outages and repeated changes.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hinge_store::{
    Change, Connectivity, Item, Keyspace, KeyspaceError, LeaseId, Mirror, MirrorEvent, MirrorSettings, Page,
    Registration, RegistrationEvent, Revision, Snapshot, WatchResponse,
};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// A store whose watches answer what the test has queued.
#[derive(Clone, Default)]
struct Script {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    down: bool,
    items: BTreeMap<String, Revision>,
    leases: u64,
    page_size: usize,
    puts: u64,
    ranges: u64,
    renewals_end: bool,
    revision: Revision,
    watches: VecDeque<Result<WatchResponse, KeyspaceError>>,
}

fn item(key: &str, revision: Revision) -> Item {
    Item { key: key.into(), revision, value: Bytes::from(revision.to_string()) }
}

fn down() -> KeyspaceError {
    KeyspaceError::Unreachable("down".to_owned())
}

impl Script {
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

impl Keyspace for Script {
    async fn range(&self, _: &str, after: Option<&str>) -> Result<Page, KeyspaceError> {
        let mut state = self.state.lock().unwrap();
        if state.down {
            return Err(down());
        }
        state.ranges += 1;
        let size = state.page_size.max(1);
        let rest: Vec<_> =
            state.items.iter().filter(|(key, _)| after.is_none_or(|after| key.as_str() > after)).collect();
        let items = rest.iter().take(size).map(|(key, revision)| item(key, **revision)).collect();
        Ok(Page { as_of: state.revision, items, more: rest.len() > size })
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
        if std::mem::take(&mut state.renewals_end) { Err(KeyspaceError::LeaseExpired) } else { Ok(()) }
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), KeyspaceError> {
        Ok(())
    }

    async fn put(&self, _: &str, _: Bytes, _: LeaseId) -> Result<(), KeyspaceError> {
        self.state.lock().unwrap().puts += 1;
        Ok(())
    }
}

fn start(script: &Script) -> mpsc::Receiver<MirrorEvent> {
    let (sender, events) = mpsc::channel(64);
    let settings = MirrorSettings {
        min_watch_interval: Duration::from_millis(10),
        prefix: "a/".into(),
        removal_grace: Duration::from_secs(2),
        seed: 1,
        watch_timeout: Duration::from_millis(500),
    };
    tokio::spawn(Mirror::new(script.clone(), settings, sender).run());
    events
}

async fn next_copy(events: &mut mpsc::Receiver<MirrorEvent>) -> Snapshot {
    loop {
        if let MirrorEvent::Changed(copy) = events.recv().await.unwrap() {
            return copy;
        }
    }
}

async fn next_link(events: &mut mpsc::Receiver<MirrorEvent>) -> Connectivity {
    loop {
        if let MirrorEvent::Connectivity(link) = events.recv().await.unwrap() {
            return link;
        }
    }
}

fn keys(copy: &Snapshot) -> Vec<(&str, Revision)> {
    copy.items.iter().map(|(key, item)| (&**key, item.revision)).collect()
}

/// Guards against a copy that holds the first page only.
#[tokio::test(start_paused = true)]
async fn all_pages_are_read() {
    let script = Script::default();
    script.state.lock().unwrap().page_size = 2;
    script.set(&[("a/1", 1), ("a/2", 2), ("a/3", 3), ("a/4", 4), ("a/5", 5)]);
    let mut events = start(&script);
    assert_eq!(next_copy(&mut events).await.items.len(), 5);
}

/// Guards against a watch that repeats what the pages have shown already and takes the copy back.
#[tokio::test(start_paused = true)]
async fn older_changes_are_ignored() {
    let script = Script::default();
    script.set(&[("a/1", 5)]);
    script.changes(
        6,
        vec![
            Change::Written(item("a/1", 3)),
            Change::Removed { key: "a/1".into(), revision: 4 },
            Change::Written(item("a/2", 6)),
        ],
    );
    let mut events = start(&script);
    next_copy(&mut events).await;
    assert_eq!(keys(&next_copy(&mut events).await), [("a/1", 5), ("a/2", 6)]);
}

/// Guards against changes that are missed when the store has discarded its history.
#[tokio::test(start_paused = true)]
async fn a_lost_history_is_read_whole_again() {
    let script = Script::default();
    script.set(&[("a/1", 1), ("a/2", 2)]);
    let mut events = start(&script);
    next_copy(&mut events).await;
    script.set(&[("a/2", 7), ("a/3", 8)]);
    script.push(Err(KeyspaceError::Compacted));
    assert_eq!(keys(&next_copy(&mut events).await), [("a/2", 7), ("a/3", 8)]);
}

/// Guards against upstreams that are given up because their registrations expired while the store was away.
#[tokio::test(start_paused = true)]
async fn keys_that_expired_in_an_outage_have_time_to_come_back() {
    let script = Script::default();
    script.set(&[("a/1", 1), ("a/2", 2)]);
    let mut events = start(&script);
    next_copy(&mut events).await;
    script.state.lock().unwrap().down = true;
    assert!(matches!(next_link(&mut events).await, Connectivity::Lost { .. }));
    script.set(&[]);
    script.state.lock().unwrap().down = false;
    assert_eq!(next_link(&mut events).await, Connectivity::Restored);
    assert_eq!(next_copy(&mut events).await.items.len(), 2, "shown during the grace");
    script.changes(9, vec![Change::Written(item("a/1", 9))]);
    assert_eq!(keys(&next_copy(&mut events).await), [("a/1", 9), ("a/2", 2)]);
    assert_eq!(keys(&next_copy(&mut events).await), [("a/1", 9)], "what does not come back is gone");
}

/// Guards against an entry that stays unregistered after its lease was lost.
#[tokio::test(start_paused = true)]
async fn a_lost_lease_is_replaced() {
    let script = Script::default();
    let (events, mut received) = mpsc::channel(64);
    let (_stop, stopped) = watch::channel(false);
    let registration = Registration {
        events,
        key: "a/me".into(),
        keyspace: script.clone(),
        seed: 1,
        ttl: Duration::from_secs(2),
        value: Bytes::from_static(b"x"),
    };
    tokio::spawn(registration.run(stopped));
    assert_eq!(received.recv().await, Some(RegistrationEvent::Registered(1)));
    script.state.lock().unwrap().renewals_end = true;
    assert_eq!(received.recv().await, Some(RegistrationEvent::Lost(KeyspaceError::LeaseExpired)));
    assert_eq!(received.recv().await, Some(RegistrationEvent::Registered(2)));
}
