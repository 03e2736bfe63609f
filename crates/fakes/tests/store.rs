//! Behaviour of the stand-in store that the store client and the claims rely on.

use std::time::Duration;

use hinge_fakes::{FakeStore, FakeStoreError, MAX_VALUE_BYTES, Shared, StoreCaps, StoreControl};
use hinge_wire::{LeaseGrant, StorePut};
use tokio::time::{Instant, advance};

const UNLIMITED: StoreCaps = StoreCaps { reads_per_s: 0, writes_per_s: 0 };

fn put(value: &str, expect_revision: u64) -> StorePut {
    StorePut { expect_revision, lease: 0, value: value.to_owned() }
}

/// Guards against lost updates: a writer with an outdated revision must not overwrite a newer value.
#[tokio::test(start_paused = true)]
async fn put_with_an_outdated_revision_conflicts() {
    let mut store = FakeStore::new(UNLIMITED);
    let now = Instant::now();
    let first = store.put(now, "a", &put("one", 0)).unwrap();
    assert_eq!(store.put(now, "a", &put("two", 0)), Err(FakeStoreError::Conflict(first.clone())));
    let other = store.put(now, "b", &put("one", 0)).unwrap();
    assert!(other.revision > first.revision, "revisions are global");
    let second = store.put(now, "a", &put("two", first.revision)).unwrap();
    assert!(second.revision > other.revision);
    assert_eq!(store.get(now, "a"), Ok(second));
    assert_eq!(store.get(now, "absent").unwrap().revision, 0);
    let large = "x".repeat(MAX_VALUE_BYTES + 1);
    assert_eq!(store.put(now, "c", &put(&large, 0)), Err(FakeStoreError::ValueTooLarge));
}

/// Guards against keys that outlive their lease, and against renewed leases that expire early.
#[tokio::test(start_paused = true)]
async fn keys_are_removed_when_their_lease_expires() {
    let mut store = FakeStore::new(UNLIMITED);
    let start = Instant::now();
    let lease = store.grant_lease(start, &LeaseGrant { ttl_ms: 1000 }).unwrap().lease;
    let bound = StorePut { lease, ..put("held", 0) };
    store.put(start, "claim", &bound).unwrap();
    let later = start + Duration::from_millis(900);
    store.renew_lease(later, lease).unwrap();
    assert_eq!(store.get(later + Duration::from_millis(900), "claim").unwrap().value, "held");
    let expiry = later + Duration::from_millis(1000);
    assert_eq!(store.get(expiry, "claim").unwrap().revision, 0);
    assert_eq!(store.renew_lease(expiry, lease), Err(FakeStoreError::LeaseNotFound));
    assert_eq!(store.put(expiry, "claim", &bound), Err(FakeStoreError::LeaseNotFound));
}

/// Guards against watches that miss a write, the expiry of a lease or the end of their wait.
#[tokio::test(start_paused = true)]
async fn watch_returns_on_write_expiry_and_timeout() {
    let store = Shared::new(FakeStore::new(UNLIMITED));
    let start = Instant::now();
    let wait = Duration::from_secs(30);
    let watching = tokio::spawn({
        let store = store.clone();
        async move { store.watch("a", 0, wait).await }
    });
    advance(Duration::from_secs(1)).await;
    let lease = store.grant_lease(&LeaseGrant { ttl_ms: 2000 }).await.unwrap().lease;
    let written = store.put("a", &StorePut { lease, ..put("one", 0) }).await.unwrap();
    assert_eq!(watching.await.unwrap(), Ok(written.clone()));
    assert_eq!(start.elapsed(), Duration::from_secs(1));

    assert_eq!(store.watch("a", written.revision, wait).await.unwrap().revision, 0);
    assert_eq!(start.elapsed(), Duration::from_secs(3));

    assert_eq!(store.watch("a", 0, wait).await.unwrap().revision, 0);
    assert_eq!(start.elapsed(), Duration::from_secs(33));
    assert_eq!(store.update(|store| store.counts()).watches, 3, "a watch that waits counts once");
}

/// Guards against faults with wrong effects: a store that is down must not apply a write, one that loses the answer
/// must, and a slow one must answer late.
#[tokio::test(start_paused = true)]
async fn faults_apply_for_the_given_number_of_calls() {
    let store = Shared::new(FakeStore::new(UNLIMITED));
    store.update(|store| store.control(&StoreControl::Down { times: Some(1) }));
    assert_eq!(store.put("a", &put("one", 0)).await, Err(FakeStoreError::Down));
    assert_eq!(store.get("a").await.unwrap().revision, 0);

    store.update(|store| store.control(&StoreControl::LoseAnswer { times: Some(1) }));
    assert_eq!(store.put("a", &put("one", 0)).await, Err(FakeStoreError::AnswerLost));
    let kept = store.get("a").await.unwrap();
    assert_eq!(kept.value, "one");

    let start = Instant::now();
    store.update(|store| store.control(&StoreControl::Slow { delay_ms: 70, times: None }));
    store.put("a", &put("two", kept.revision)).await.unwrap();
    assert_eq!(start.elapsed(), Duration::from_millis(70));
    store.update(|store| store.control(&StoreControl::Clear {}));
    store.get("a").await.unwrap();
    assert_eq!(start.elapsed(), Duration::from_millis(70));
}

/// Guards against a watch that keeps waiting during an outage, in which a real store would have ended it.
#[tokio::test(start_paused = true)]
async fn outage_ends_waiting_watches() {
    let store = Shared::new(FakeStore::new(UNLIMITED));
    let watching = tokio::spawn({
        let store = store.clone();
        async move { store.watch("a", 0, Duration::from_secs(30)).await }
    });
    advance(Duration::from_secs(1)).await;
    store.update(|store| store.control(&StoreControl::Down { times: None }));
    assert_eq!(watching.await.unwrap(), Err(FakeStoreError::Down));
}

/// Guards against limits that admit too many calls per second, or that refuse calls in the next second as well.
#[tokio::test(start_paused = true)]
async fn calls_beyond_the_limit_are_refused_for_a_second() {
    let mut store = FakeStore::new(StoreCaps { reads_per_s: 2, writes_per_s: 1 });
    let now = Instant::now();
    store.get(now, "a").unwrap();
    store.get(now, "a").unwrap();
    assert_eq!(store.get(now, "a"), Err(FakeStoreError::RateLimited));
    store.put(now, "a", &put("one", 0)).unwrap();
    assert_eq!(store.grant_lease(now, &LeaseGrant { ttl_ms: 1 }), Err(FakeStoreError::RateLimited));
    store.get(now + Duration::from_secs(1), "a").unwrap();
    let counts = store.counts();
    assert_eq!((counts.reads, counts.writes, counts.leases, counts.refused_caps), (4, 1, 1, 2));
}
