//! Guards against configurations that revert, wrong documents in force, and floods of calls to the store.

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

/// Most calls in any window; the calls are in order of time.
fn peak(calls: &[Instant], window: Duration) -> usize {
    let mut first = 0;
    let counts = calls.iter().enumerate().map(|(last, at)| {
        while *at - calls[first] >= window {
            first += 1;
        }
        last - first + 1
    });
    counts.max().unwrap_or(0)
}

/// A store restored from a backup must neither revert the configuration nor cause a busy loop of watches.
#[test]
fn a_store_that_comes_back_with_an_older_revision_reverts_nothing() {
    run(async {
        let store = FakeStore::new(1);
        let sync = follow(&store, 1);
        sleep(Duration::from_secs(1)).await;
        for (index, expect) in (0..3).enumerate() {
            sync.change(&quota(&format!("op-{index}"), "t", 5 + expect, expect)).await.unwrap();
        }
        store.force(CONFIG_KEY, 1, EMPTY);
        let before = store.lock().calls.len();
        sleep(Duration::from_secs(120)).await;
        let calls = store.lock().calls.len() - before;
        assert_eq!((sync.resolved().revision, sync.resolved().quotas["t"]), (3, 7));
        assert!(calls < 10, "{calls} calls in 120 s");
        assert!(sync.status().stale_reads > 0);
        let failure = sync.change(&quota("op-9", "t", 9, 1)).await.unwrap_err();
        assert_eq!(failure, ChangeFailure::StoreBehind { in_force: 3, stored: 1 });
        assert_eq!(failure.code(), ResultCode::StoreUnavailable);
    });
}

#[test]
fn an_invalid_document_is_reported_once_and_the_old_one_stays() {
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
            "an unreadable document is not overwritten"
        );
        store.force(CONFIG_KEY, 8, EMPTY);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(sync.resolved().revision, 8);
        let rejected = |event: &&SyncEvent| matches!(event, SyncEvent::Rejected { .. });
        assert_eq!(
            events.lock().unwrap().iter().filter(rejected).count(),
            3,
            "not again with each long poll"
        );
    });
}

/// Instances that are cut off from the store depend on their peers.
#[test]
fn peers_are_followed_upwards_only() {
    run(async {
        let store = FakeStore::new(3);
        store.set_down(true);
        let sync = follow(&store, 3);
        sleep(Duration::from_secs(5)).await;
        assert!(!sync.status().loaded && sync.document().is_none() && sync.status().store_error.is_some());
        assert_eq!(
            sync.offer_from_peer(0, empty_document()),
            OfferOutcome::Applied,
            "a peer's empty document counts"
        );
        assert_eq!(sync.offer_from_peer(6, empty_document()), OfferOutcome::Applied);
        assert_eq!(sync.offer_from_peer(6, empty_document()), OfferOutcome::NotNewer);
        assert_eq!(sync.offer_from_peer(5, empty_document()), OfferOutcome::NotNewer);
        let mut invalid = empty_document();
        invalid.defaults.insert("no_such".into(), 1.into());
        assert!(matches!(sync.offer_from_peer(7, invalid), OfferOutcome::Invalid(_)));
        assert_eq!((sync.resolved().revision, sync.status().loaded), (6, true));
        assert_eq!(sync.config_reply(Some(6)).document, None);
        assert_eq!(sync.config_reply(Some(5)).document, Some(empty_document()));
        store.set_down(false);
        sleep(Duration::from_secs(40)).await;
        assert_eq!((sync.resolved().revision, sync.status().store_error), (6, None));
    });
}

/// 120 instances restart a day, and all of them lose the store together.
#[test]
fn starts_outages_and_changes_cause_no_surge_and_changes_arrive_in_time() {
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
        let peaks = [started, down, back].map(|calls| peak(&calls, Duration::from_millis(100)));
        assert!(peaks[0] <= 80 && peaks[1] <= 40 && peaks[2] <= 40, "calls in 100 ms: {peaks:?}");
        assert!(rate <= 60.0, "{rate} calls/s while down");
    });
}

#[test]
fn calls_are_limited_to_the_budget_and_counted() {
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
        assert!(peak(&calls, Duration::from_secs(1)) <= 20, "10 per s and one burst of 10");
        assert_eq!(sync.counters().total_calls(), calls.len() as u64);
        assert!(refused >= 160 && sync.counters().get(CallKind::Get).denied >= 160, "{refused}");
    });
}

/// The operator must learn that the outcome is open, and repeating must not apply the change twice.
#[test]
fn an_unsettled_write_is_reported_and_can_be_repeated() {
    run(async {
        let store = FakeStore::new(6);
        let sync = ConfigSync::new(store.clone(), "dc1".into(), 6);
        store.lock().faults = Faults { lost_answer: 100, ..Faults::default() };
        let (downed, request) = (store.clone(), quota("op", "t", 1, 0));
        tokio::spawn(async move {
            downed.next_change().await;
            downed.set_down(true);
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

/// A document remembers 64 operations: the absence of a lost one proves nothing once 64 others have followed.
#[test]
fn a_lost_write_that_was_pushed_out_of_the_document_is_not_reported_as_a_conflict() {
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
