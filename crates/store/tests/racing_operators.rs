//! Guards against lost updates, operations applied twice and revisions that decrease, when operators make concurrent
//! changes through several entries while the store is slow or down, or its responses are lost.

#![allow(clippy::panic, clippy::unwrap_used, reason = "test helpers")]

mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hinge_conf::{apply, empty_document};
use hinge_store::{CONFIG_KEY, ChangeFailure, ConfigSync, Store, StoreError, SyncEvent};
use hinge_wire::{ConfigDocument, StorePut, to_json};
use support::{FakeStore, Faults, document, quota, run};
use tokio::time::sleep;

const OPERATORS: usize = 4;
const CHANGES: usize = 6;
const SEEDS: u64 = 40;

/// How an operator's change reaches the store.
#[derive(Clone, Copy)]
enum Writer {
    /// Calls `ConfigSync::change` and retries with the same operation id.
    Sync,
    /// Reads, changes and overwrites the document, whatever its revision is by then.
    Overwrite,
    /// Writes with compare-and-swap, but retries an ambiguous write as a new operation.
    NewIdPerAttempt,
}

async fn change_by_sync(sync: &ConfigSync<FakeStore>, id: &str, team: &str) {
    loop {
        let expect = sync.resolved().revision;
        match sync.change(&quota(id, team, 7, expect)).await {
            Ok(_) => return,
            // The operator's program reads the revision again and retries with the same operation id.
            Err(
                ChangeFailure::Conflict { .. } | ChangeFailure::Unavailable(_) | ChangeFailure::Unsettled,
            ) => {
                sleep(Duration::from_millis(300)).await;
            }
            Err(other) => panic!("{other}"),
        }
    }
}

async fn read(store: &FakeStore) -> (u64, ConfigDocument) {
    loop {
        match store.get(CONFIG_KEY).await {
            Ok(value) if value.revision == 0 => return (0, empty_document()),
            Ok(value) => return (value.revision, document(&value.value)),
            Err(_) => sleep(Duration::from_millis(300)).await,
        }
    }
}

async fn change_naively(store: &FakeStore, writer: Writer, id: &str, team: &str) {
    for attempt in 0.. {
        let (mut expect_revision, base) = read(store).await;
        let id = if matches!(writer, Writer::Overwrite) { id.to_owned() } else { format!("{id}-{attempt}") };
        let Ok(changed) = apply(&base, &quota(&id, team, 7, expect_revision)) else { return };
        if matches!(writer, Writer::Overwrite) {
            expect_revision = read(store).await.0;
        }
        let value = String::from_utf8(to_json(&changed).unwrap()).unwrap();
        match store.put(CONFIG_KEY, &StorePut { expect_revision, lease: 0, value }).await {
            Ok(_) => return,
            Err(StoreError::Conflict(_) | StoreError::Ambiguous | StoreError::Unavailable) => {
                sleep(Duration::from_millis(300)).await;
            }
            Err(other) => panic!("{other}"),
        }
    }
}

/// Checks that each operation is applied exactly once, that none is lost, and that applied revisions only increase.
fn check(store: &FakeStore, applied: &[Vec<u64>]) -> Result<(), String> {
    let inner = store.lock();
    let mut writes: BTreeMap<String, usize> = BTreeMap::new();
    let mut last = empty_document();
    for (_, value) in &inner.history {
        last = document(&value.value);
        let id = last.operations.last().ok_or("no operation")?.operation_id.clone();
        *writes.entry(id.chars().take(5).collect()).or_default() += 1;
    }
    for operator in 0..OPERATORS {
        for change in 0..CHANGES {
            let name = format!("o{operator}-c{change}");
            match writes.get(&name) {
                Some(1) => {}
                count => return Err(format!("{name} was applied {count:?} times")),
            }
            if !last.team_quotas_per_s.contains_key(&name) {
                return Err(format!("{name} was lost"));
            }
        }
    }
    match applied.iter().find(|revisions| !revisions.is_sorted_by(|a, b| a < b)) {
        Some(revisions) => Err(format!("revisions decreased: {revisions:?}")),
        None => Ok(()),
    }
}

async fn race(seed: u64, writer: Writer) -> Result<(), String> {
    let store = FakeStore::new(seed);
    store.lock().faults = Faults { late: 10, lost_answer: 15, lost_request: 10 };
    store.lock().latency_ms = 40;
    let applied: Vec<_> = (0..OPERATORS).map(|_| Arc::new(Mutex::new(Vec::new()))).collect();
    let mut operators = Vec::new();
    for (operator, revisions) in applied.iter().enumerate() {
        let (store, revisions) = (store.clone(), Arc::clone(revisions));
        let sync = ConfigSync::new(store.clone(), "dc1".into(), seed * 100 + operator as u64);
        let sync = Arc::new(sync.with_report(move |event| {
            if let SyncEvent::Applied { revision, .. } = event {
                revisions.lock().unwrap().push(*revision);
            }
        }));
        let follower = Arc::clone(&sync);
        tokio::spawn(async move { follower.run().await });
        operators.push(tokio::spawn(async move {
            for change in 0..CHANGES {
                let name = format!("o{operator}-c{change}");
                match writer {
                    Writer::Sync => change_by_sync(&sync, &name, &name).await,
                    _ => change_naively(&store, writer, &name, &name).await,
                }
            }
        }));
    }
    for down in [true, false, true, false] {
        sleep(Duration::from_millis(700 + 50 * seed)).await;
        store.set_down(down);
    }
    for operator in operators {
        operator.await.unwrap();
    }
    sleep(Duration::from_secs(40)).await;
    let applied: Vec<Vec<u64>> = applied.iter().map(|revisions| revisions.lock().unwrap().clone()).collect();
    check(&store, &applied)?;
    let written = store.lock().history.last().map(|(_, value)| value.revision);
    let behind = applied.iter().any(|revisions| revisions.last().copied() != written);
    if behind { Err("an instance is behind".to_owned()) } else { Ok(()) }
}

#[test]
fn concurrent_operations_are_applied_exactly_once() {
    for seed in 0..SEEDS {
        assert_eq!(run(race(seed, Writer::Sync)), Ok(()), "seed {seed}");
    }
}

/// Shows that the check can fail: it must detect writers without compare-and-swap or without stable operation ids.
#[test]
fn check_detects_unsafe_writers() {
    for writer in [Writer::Overwrite, Writer::NewIdPerAttempt] {
        let failures = (0..SEEDS).filter(|seed| run(race(*seed, writer)).is_err()).count();
        assert!(failures as u64 > SEEDS / 2, "only {failures} of {SEEDS} seeds failed");
    }
}
