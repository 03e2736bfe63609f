//! Guards against a submission that is reported as never run although its owner has started it or may still start it.

mod support;

use std::sync::Arc;
use std::time::Duration;

use hinge_conf::Policy;
use hinge_store::{ClaimError, Claims, KEYS_PER_WINDOW, OrphanEnd, StoreCounters};
use hinge_wire::{ResultCode, SubmissionKey};
use support::{FakeStore, Faults, run};
use tokio::time::{advance, sleep};

fn claims(store: &FakeStore, seed: u64) -> Arc<Claims<FakeStore>> {
    Arc::new(Claims::new(
        store.clone(),
        Arc::new(StoreCounters::default()),
        &Policy { claims_per_s: 20, ..Policy::default() },
        seed,
    ))
}

fn key(sequence: u64) -> SubmissionKey {
    SubmissionKey { data_centre: "dc1".into(), incarnation: 9, instance: "e1".into(), sequence }
}

#[test]
fn orphan_outcome_reflects_the_recorded_state() {
    run(async {
        let store = FakeStore::new(1);
        let (owner, other) = (claims(&store, 1), claims(&store, 2));
        assert_eq!(owner.claim(&key(1)).await, Ok(()));
        assert_eq!(
            owner.claim(&key(1)).await,
            Err(ClaimError::Refused),
            "a second claim must not start it again"
        );
        assert_eq!(other.close_orphan(&key(1)).await, OrphanEnd::MayHaveRun);
        assert!(owner.finish(&key(1), ResultCode::TaskFailed).await);
        assert_eq!(other.close_orphan(&key(1)).await, OrphanEnd::Outcome(ResultCode::TaskFailed));
        assert_eq!(other.close_orphan(&key(2)).await, OrphanEnd::NeverRan);
        assert_eq!(other.close_orphan(&key(2)).await, OrphanEnd::NeverRan, "asked again");
        assert_eq!(
            owner.claim(&key(2)).await,
            Err(ClaimError::Forbidden),
            "a resumed owner must not start it"
        );
        let other_window = key(KEYS_PER_WINDOW);
        assert_eq!(other.close_orphan(&other_window).await, OrphanEnd::MayHaveRun, "no marker, no proof");
    });
}

/// Guards against an expired claim that is taken for one never made: its owner, paused since, has started tasks.
#[test]
fn expired_claims_may_have_run() {
    run(async {
        let store = FakeStore::new(2);
        let (owner, other) = (claims(&store, 1), claims(&store, 2));
        for minute in 0..200_u64 {
            assert_eq!(owner.claim(&key(minute)).await, Ok(()), "minute {minute}");
            advance(Duration::from_secs(60)).await;
        }
        for sequence in 0..200 {
            let outcome = other.close_orphan(&key(sequence)).await;
            assert_eq!(outcome, OrphanEnd::MayHaveRun, "sequence {sequence}");
            sleep(Duration::from_millis(60)).await;
        }
    });
}

/// While the store is down, claims must be refused as not run at once, without a call to the store for each of them.
#[test]
fn claims_fail_fast_while_the_store_is_down() {
    run(async {
        let store = FakeStore::new(3);
        let owner = claims(&store, 1);
        assert_eq!(owner.claim(&key(1)).await, Ok(()));
        store.set_down(true);
        let calls_before = store.lock().calls.len();
        for sequence in 0..1000 {
            let refused = owner.claim(&key(sequence + 2)).await.unwrap_err();
            assert!(matches!(refused, ClaimError::Refused | ClaimError::Limit), "{refused}");
            assert_eq!(owner.close_orphan(&key(1)).await, OrphanEnd::Unavailable);
            sleep(Duration::from_millis(10)).await;
        }
        let calls = store.lock().calls.len() - calls_before;
        assert!(calls <= 40, "{calls} calls in 10 s");
        assert!(!owner.finish(&key(1), ResultCode::Complete).await);
        store.set_down(false);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(owner.claim(&key(5000)).await, Ok(()));
    });
}

#[test]
fn claims_are_rate_limited() {
    run(async {
        let owner = claims(&FakeStore::new(4), 1);
        let results: Vec<_> = {
            let claim = |sequence| {
                let owner = Arc::clone(&owner);
                tokio::spawn(async move { owner.claim(&key(sequence)).await })
            };
            (0..100).map(claim).collect()
        };
        let mut accepted = 0;
        for result in results {
            match result.await.unwrap() {
                Ok(()) => accepted += 1,
                Err(error) => assert_eq!(error.code(), ResultCode::ClaimLimit),
            }
        }
        assert!((20..=30).contains(&accepted), "{accepted}");
    });
}

/// Guards against a task that starts and is also reported as never run, when writes are lost, late or unanswered.
#[test]
fn claim_and_never_ran_are_mutually_exclusive() {
    let (mut started, mut never_ran) = (0, 0);
    for seed in 0..300 {
        run(async {
            let store = FakeStore::new(seed);
            store.lock().faults = Faults { late: 20, lost_answer: 25, lost_request: 20 };
            store.lock().latency_ms = 60;
            let (owner, other) = (claims(&store, seed), claims(&store, seed + 1000));
            owner.open_window(&key(0)).await;
            let closing = tokio::spawn(async move {
                loop {
                    match other.close_orphan(&key(0)).await {
                        OrphanEnd::Unavailable => sleep(Duration::from_millis(200)).await,
                        outcome => return outcome,
                    }
                }
            });
            sleep(Duration::from_millis(seed % 7 * 20)).await;
            let claim = owner.claim(&key(0)).await;
            let settled = closing.await.unwrap();
            started += usize::from(claim.is_ok());
            never_ran += usize::from(settled == OrphanEnd::NeverRan);
            assert!(
                claim.is_err() || settled == OrphanEnd::MayHaveRun,
                "seed {seed}: {claim:?} and {settled:?}"
            );
        });
    }
    assert!(started > 30 && never_ran > 30, "both outcomes must occur: {started} and {never_ran}");
}
