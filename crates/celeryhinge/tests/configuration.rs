//! Configuration changes through real processes.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Barrier};
use std::time::Duration;

use celeryhinge::wire::{
    Change, ChangeReply, ChangeRequest, ConfigReply, ConflictReply, SettingValue, from_json, to_json,
};
use support::requests::unused_address;
use support::{Cluster, http, wait_ready, wait_until};
use tokio::time::Instant;

/// Required time until a configuration change is in force at every entry.
const MAX_PROPAGATION_DELAY: Duration = Duration::from_secs(8);

fn change(operation: &str, setting: &str, value: u64, expect_revision: u64) -> ChangeRequest {
    ChangeRequest {
        author: "operator".to_owned(),
        change: Change::SetDefault { setting: setting.to_owned(), value: SettingValue::Number(value) },
        expect_revision,
        operation_id: operation.to_owned(),
    }
}

fn post_change(entry: SocketAddr, request: &ChangeRequest) -> (u16, Vec<u8>) {
    http(entry, "POST", "/admin/v1/changes", &to_json(request).unwrap())
}

fn config(entry: SocketAddr) -> ConfigReply {
    from_json(&http(entry, "GET", "/admin/v1/config", b"").1).unwrap()
}

fn default_of(config: &ConfigReply, setting: &str) -> Option<SettingValue> {
    config.document.as_ref().and_then(|document| document.defaults.get(setting).cloned())
}

/// Guards against a lost change when two operators make changes at the same time: the second one must get a conflict.
#[test]
fn concurrent_changes_get_one_conflict_and_none_is_lost() {
    let cluster = Cluster::start(2, 1);
    let entries = [cluster.entries[0].peer_address(), cluster.entries[1].peer_address()];
    let base = config(entries[0]).revision;
    let requests = [change("op-a", "max_attempts", 2, base), change("op-b", "busy_backoff_ms", 77, base)];
    let barrier = Arc::new(Barrier::new(2));
    let operators: Vec<_> = entries
        .into_iter()
        .zip(requests.clone())
        .map(|(entry, request)| {
            let barrier = barrier.clone();
            std::thread::spawn(move || {
                barrier.wait();
                post_change(entry, &request)
            })
        })
        .collect();
    let replies: Vec<_> = operators.into_iter().map(|operator| operator.join().unwrap()).collect();
    let loser = replies.iter().position(|(status, _)| *status == 409).unwrap();
    assert_eq!(replies[1 - loser].0, 200);
    let conflict: ConflictReply = from_json(&replies[loser].1).unwrap();
    assert_eq!(conflict.last_operation.unwrap().operation_id, requests[1 - loser].operation_id);
    // The losing change succeeds on the new revision; repeating the winning operation changes nothing.
    let again = ChangeRequest { expect_revision: conflict.revision, ..requests[loser].clone() };
    assert_eq!(post_change(entries[loser], &again).0, 200);
    let repeated: ChangeReply = from_json(&post_change(entries[loser], &requests[1 - loser]).1).unwrap();
    assert!(repeated.already_applied);
    for entry in entries {
        wait_until("both changes", || {
            let config = config(entry);
            default_of(&config, "max_attempts") == Some(SettingValue::Number(2))
                && default_of(&config, "busy_backoff_ms") == Some(SettingValue::Number(77))
        });
    }
}

/// Guards against an entry that keeps an old configuration because it cannot reach the store, and against one that
/// returns to an older revision.
#[test]
fn configuration_reaches_an_entry_without_store_through_its_peers() {
    let mut cluster = Cluster::start(2, 1);
    let isolated = cluster.start_entry_at_store("entry-2", unused_address(), &[]);
    cluster.entries.push(isolated);
    cluster.publish_list();
    let isolated = cluster.entries[2].peer_address();
    wait_ready(cluster.entries[2].address());
    let mut last_revision = 0;
    for round in 0..3 {
        let base = config(cluster.entries[0].peer_address()).revision;
        let request = change(&format!("op-{round}"), "busy_backoff_ms", 60 + round, base);
        let (status, body) = post_change(cluster.entries[0].peer_address(), &request);
        assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
        let changed_at = Instant::now();
        let revision = from_json::<ChangeReply>(&body).unwrap().revision;
        wait_until("the change", || {
            let config = config(isolated);
            assert!(config.revision >= last_revision, "{} after {last_revision}", config.revision);
            last_revision = config.revision;
            default_of(&config, "busy_backoff_ms") == Some(SettingValue::Number(60 + round))
        });
        assert!(changed_at.elapsed() < MAX_PROPAGATION_DELAY);
        assert!(last_revision >= revision);
    }
}
