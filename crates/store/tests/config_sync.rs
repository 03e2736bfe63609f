//! Guards against reverted configurations, wrong documents in force, and too many calls to the store.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hinge_conf::{apply, empty_document};
use hinge_store::{CONFIG_KEY, CallKind, ChangeFailure, ConfigSync, OfferOutcome, SyncEvent};
use hinge_wire::{ChangeReply, ResultCode, to_json};
use support::{FakeStore, Faults, quota, run};
use tokio::time::{Instant, sleep};

const EMPTY: &str =
    r#"{"defaults":{},"exceptions":[],"format_version":1,"operations":[],"team_quotas_per_s":{}}"#;

fn follow(store: &FakeStore, seed: u64) -> Arc<ConfigSync<FakeStore>> {
    let sync = Arc::new(ConfigSync::new(store.clone(), "dc1".into(), seed));
    let follower = Arc::clone(&sync);
    tokio::spawn(async move { follower.run().await });
    sync
}

/// Largest number of calls within any `window`; `calls` must be sorted.
fn max_calls_within(calls: &[Instant], window: Duration) -> usize {
    let mut first = 0;
    let counts = calls.iter().enumerate().map(|(last, at)| {
        while *at - calls[first] >= window {
            first += 1;
        }
        last - first + 1
    });
    counts.max().unwrap_or(0)
}

/// Guards against a store restored from a backup that reverts the configuration, or whose lower revision makes each
/// watch return at once.
#[test]
fn older_revision_in_the_store_is_ignored() {
    run(async {
        let store = FakeStore::new(1);
        let sync = follow(&store, 1);
        sleep(Duration::from_secs(1)).await;
        for (index, expect) in (0..3).enumerate() {
            sync.change(&quota(&format!("op-{index}"), "t", 5 + expect, expect)).await.unwrap();
        }
        store.force(CONFIG_KEY, 1, EMPTY);
        let calls_before = store.lock().calls.len();
        sleep(Duration::from_secs(120)).await;
        let calls = store.lock().calls.len() - calls_before;
        assert_eq!((sync.resolved().revision, sync.resolved().quotas["t"]), (3, 7));
        assert!(calls < 10, "{calls} calls in 120 s");
        assert!(sync.status().stale_reads > 0);
        let failure = sync.change(&quota("op-9", "t", 9, 1)).await.unwrap_err();
        assert_eq!(failure, ChangeFailure::StoreBehind { in_force: 3, stored: 1 });
        assert_eq!(failure.code(), ResultCode::StoreUnavailable);
    });
}

#[test]
fn invalid_document_is_reported_once_and_not_applied() {
    run(async {
        let store = FakeStore::new(2);
        store.force(CONFIG_KEY, 4, &EMPTY.replace("{},\"ex", "{\"max_attempts\":4},\"ex"));
        let events = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&events);
        let sync = ConfigSync::new(store.clone(), "dc1".into(), 2);
        let sync = Arc::new(sync.with_report(move |event| log.lock().unwrap().push(event.clone())));
        let follower = Arc::clone(&sync);
        tokio::spawn(async move { follower.run().await });
        sleep(Duration::from_secs(1)).await;
        for (revision, text) in [(5, "{"), (6, r#"{"defaults":{"max_attempts":99}}"#), (7, "")] {
            store.force(CONFIG_KEY, revision, text);
            sleep(Duration::from_secs(70)).await;
            assert_eq!((sync.resolved().revision, sync.resolved().policy.max_attempts), (4, 4));
        }
        assert_eq!(sync.status().invalid_documents, 3);
        let failure = sync.change(&quota("op", "t", 1, 7)).await.unwrap_err();
        assert!(
            matches!(failure, ChangeFailure::StoredInvalid(_)),
            "an invalid document must not be overwritten"
        );
        store.force(CONFIG_KEY, 8, EMPTY);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(sync.resolved().revision, 8);
        let rejected = |event: &&SyncEvent| matches!(event, SyncEvent::Rejected { .. });
        assert_eq!(
            events.lock().unwrap().iter().filter(rejected).count(),
            3,
            "each invalid document is reported once, not with each long poll"
        );
    });
}

/// Instances that cannot reach the store get their configuration from peers, which may hold older revisions.
#[test]
fn only_newer_documents_from_peers_are_applied() {
    run(async {
        let store = FakeStore::new(3);
        store.set_down(true);
        let sync = follow(&store, 3);
        sleep(Duration::from_secs(5)).await;
        assert!(!sync.status().is_loaded && sync.document().is_none() && sync.status().store_error.is_some());
        assert_eq!(
            sync.offer_from_peer(0, empty_document()),
            OfferOutcome::Applied,
            "an empty document from a peer counts as a configuration"
        );
        assert_eq!(sync.offer_from_peer(6, empty_document()), OfferOutcome::Applied);
        assert_eq!(sync.offer_from_peer(6, empty_document()), OfferOutcome::NotNewer);
        assert_eq!(sync.offer_from_peer(5, empty_document()), OfferOutcome::NotNewer);
        let mut invalid = empty_document();
        invalid.defaults.insert("no_such".into(), 1.into());
        assert!(matches!(sync.offer_from_peer(7, invalid), OfferOutcome::Invalid(_)));
        assert_eq!((sync.resolved().revision, sync.status().is_loaded), (6, true));
        assert_eq!(sync.config_reply(Some(6)).document, None);
        assert_eq!(sync.config_reply(Some(5)).document, Some(empty_document()));
        store.set_down(false);
        sleep(Duration::from_secs(40)).await;
        assert_eq!((sync.resolved().revision, sync.status().store_error), (6, None));
    });
}

/// 120 instances restart a day, and all of them lose the store together. Guards against surges of calls when they start
/// or lose the store, and against changes that arrive late after an outage.
#[test]
fn starts_and_outages_cause_no_surge_of_calls() {
    run(async {
        let store = FakeStore::new(4);
        let syncs: Vec<_> = (0..120).map(|seed| follow(&store, seed)).collect();
        sleep(Duration::from_secs(2)).await;
        let started = std::mem::take(&mut store.lock().calls);
        store.set_down(true);
        sleep(Duration::from_secs(600)).await;
        let down = std::mem::take(&mut store.lock().calls);
        store.set_down(false);
        store.force(CONFIG_KEY, 1, EMPTY);
        sleep(Duration::from_secs(8)).await;
        let back = std::mem::take(&mut store.lock().calls);
        assert!(syncs.iter().all(|sync| sync.resolved().revision == 1), "in force everywhere within 8 s");
        let rate = down.len() as f64 / 600.0;
        let max_calls =
            [started, down, back].map(|calls| max_calls_within(&calls, Duration::from_millis(100)));
        assert!(
            max_calls[0] <= 80 && max_calls[1] <= 40 && max_calls[2] <= 40,
            "calls in 100 ms: {max_calls:?}"
        );
        assert!(rate <= 60.0, "{rate} calls/s while down");
    });
}

#[test]
fn calls_are_rate_limited_and_counted() {
    run(async {
        let store = FakeStore::new(5);
        let sync = Arc::new(ConfigSync::new(store.clone(), "dc1".into(), 5));
        let change = |index: u64| {
            let sync = Arc::clone(&sync);
            tokio::spawn(async move { sync.change(&quota(&format!("op-{index}"), "t", index, 0)).await })
        };
        let changes: Vec<_> = (0..200).map(change).collect();
        let mut refused = 0;
        for change in changes {
            refused += usize::from(matches!(change.await.unwrap(), Err(ChangeFailure::Unavailable(_))));
        }
        let calls = store.lock().calls.clone();
        assert!(max_calls_within(&calls, Duration::from_secs(1)) <= 20, "10 per s and one burst of 10");
        assert_eq!(sync.counters().total_calls(), calls.len() as u64);
        assert!(refused >= 160 && sync.counters().get(CallKind::Get).denied >= 160, "{refused}");
    });
}

/// An operator must be told when it is unknown whether a change was written, and a retry must not apply it twice.
#[test]
fn unsettled_write_is_reported_and_can_be_retried() {
    run(async {
        let store = FakeStore::new(6);
        let sync = ConfigSync::new(store.clone(), "dc1".into(), 6);
        store.lock().faults = Faults { lost_answer: 100, ..Faults::default() };
        let (failing, request) = (store.clone(), quota("op", "t", 1, 0));
        tokio::spawn(async move {
            failing.next_change().await;
            failing.set_down(true);
        });
        let first = sync.change(&request).await;
        store.set_down(false);
        store.lock().faults = Faults::default();
        let second = sync.change(&request).await;
        assert_eq!(first, Err(ChangeFailure::Unsettled));
        assert_eq!(second, Ok(ChangeReply { already_applied: true, revision: 1 }));
        let lost = sync.change(&quota("other", "t", 2, 0)).await.unwrap_err();
        let shown = lost.conflict_reply().unwrap().last_operation.unwrap();
        assert_eq!((shown.operation_id.as_str(), shown.summary.as_str()), ("op", "set quota of t to 1/s"));
    });
}

/// A document lists the last 64 operations. Guards against a write that was applied, but reported as a conflict because
/// 64 later operations have displaced it from the list.
#[test]
fn write_displaced_from_the_document_is_not_a_conflict() {
    run(async {
        let store = FakeStore::new(7);
        let sync = ConfigSync::new(store.clone(), "dc1".into(), 7);
        store.lock().faults = Faults { lost_answer: 100, ..Faults::default() };
        let others = (0..64).fold(empty_document(), |document, index| {
            apply(&document, &quota(&format!("other-{index}"), "u", index, 0)).unwrap()
        });
        let (text, writer) = (String::from_utf8(to_json(&others).unwrap()).unwrap(), store.clone());
        tokio::spawn(async move {
            writer.next_change().await;
            writer.force(CONFIG_KEY, 66, &text);
        });
        assert_eq!(sync.change(&quota("op", "t", 1, 0)).await, Err(ChangeFailure::Unsettled));
    });
}
