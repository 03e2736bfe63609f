//! Interaction of an entry with its configuration, claims, list, peers, upstreams and metrics.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hinge_fakes::{ListControl, StoreControl, UpstreamFaults};
use hinge_wire::{
    Answer, Class, Heartbeat, InstanceState, ListEntry, MemberInfo, TaskSpec, from_json, to_msgpack,
};
use support::{
    Cluster, change_config, counter, exchange, http, keys, list_entry, post_peer, request_bytes, start,
    state, submission, submit, wait_for_state, wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout};

/// Guards against a new instance without a store that never becomes ready because no configuration document was ever
/// written, so that its peers are at revision 0.
#[tokio::test]
async fn instance_without_store_starts_from_peer_at_revision_0() {
    let cluster = Cluster::start(1, 2).await;
    let first = cluster.entry(|_| {}).await;
    let mut flags = cluster.flags("entry-1");
    (flags.store, flags.peers) = (None, Some(first.peer_address().to_string()));
    let second = start(&flags).await;
    assert!(!second.is_ready());
    wait_until("readiness", || second.is_ready()).await;
    assert_eq!(counter(&second, "not_ready").await, 1);
}

/// Guards against taking revision 0, the built-in defaults, from a peer that has not loaded a configuration itself.
#[tokio::test]
async fn instances_without_any_configuration_stay_not_ready() {
    let cluster = Cluster::start(1, 2).await;
    let without_store = |instance: &str, peers: Option<String>| {
        let mut flags = cluster.flags(instance);
        (flags.store, flags.peers) = (None, peers);
        flags
    };
    let first = start(&without_store("entry-0", None)).await;
    let second = start(&without_store("entry-1", Some(first.peer_address().to_string()))).await;
    sleep(Duration::from_secs(3)).await;
    assert!(!first.is_ready() && !second.is_ready());
    let reason = state(&second).await["unready_reason"].to_string();
    assert!(reason.contains("no configuration yet"), "{reason}");
}

/// Guards against applying the size limit of a single result to an answer forwarded by a peer.
#[tokio::test]
async fn a_forwarded_answer_may_be_larger_than_a_result() {
    let cluster = Cluster::start(1, 4).await;
    let owner = cluster.entry(|_| {}).await;
    let other = cluster.start_peer(&owner).await;
    let result = "r".repeat(900_000);
    let payload = format!(r#"{{"run_ms":1,"result":"{result}"}}"#);
    let mut body = submission(Class::Query, 0, 0);
    body.tasks = vec![TaskSpec { memory_mb: None, payload, run_time_ms: None }; 3];
    body.key = keys(&owner, 1).await.pop();
    let response = submit(&other, &body).await;
    assert_eq!(response.status, 200, "{}", response.text());
    assert_eq!(from_json::<Answer>(&response.body).unwrap().results, vec![result; 3]);
}

/// Guards against an entry that stops serving when the platform's list becomes unreachable, or does not count the
/// failures.
#[tokio::test]
async fn an_entry_keeps_working_without_the_list() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    let control = ListControl { down: Some(true), ..ListControl::default() };
    cluster.platform.list.update(|list| list.control(Instant::now(), &control));
    wait_for_state(&entry, "a counted failure", |state| state.to_string().contains("list_failures")).await;
    assert!(entry.is_ready());
    assert_eq!(submit(&entry, &submission(Class::Urgent, 1, 1)).await.status, 200);
}

/// Guards against list entries that replace others with the same id, and against sending tasks to invalid entries.
#[tokio::test]
async fn unusable_list_entries_are_dropped_and_counted() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    let good = cluster.upstream_entries(2).remove(0);
    let bad = |change: fn(&mut ListEntry)| {
        let mut entry = list_entry("other", "127.0.0.1:9".parse().unwrap(), 8);
        change(&mut entry);
        entry
    };
    let entries = vec![
        good.clone(),
        ListEntry { address: "127.0.0.1:9".into(), ..good },
        bad(|entry| entry.address = "upstream.example:80".into()),
        bad(|entry| entry.address = "127.0.0.1:0".into()),
        bad(|entry| entry.address = "9".repeat(100_000)),
        bad(|entry| entry.id = "a\0b".into()),
        bad(|entry| entry.id = String::new()),
        bad(|entry| entry.service = "two words".into()),
        bad(|entry| entry.data_centre = "d".repeat(65)),
    ];
    let expected = entries.len() as u64 - 1;
    cluster.publish(entries);
    let dropped = |state: &serde_json::Value| {
        let metrics = state["metrics"].as_array().unwrap();
        metrics.iter().any(|metric| metric["name"] == "list_entries_dropped" && metric["value"] == expected)
    };
    wait_for_state(&entry, "the new list", dropped).await;
    assert_eq!(submit(&entry, &submission(Class::Urgent, 1, 1)).await.status, 200);
    assert_eq!(counter(&entry, "wasted_messages").await, 0);
}

/// Guards against a claim rate that stays at its built-in value, and against a claim that is refused by the limit and
/// whose submission cannot be reported as not run later, because its window was never opened.
#[tokio::test]
async fn the_claim_rate_follows_the_configuration() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    change_config(&entry, 0, r#"{"action":"set_default","setting":"claims_per_s","value":0}"#).await;
    let mut definite = submission(Class::Booking, 1, 1);
    definite.definite = true;
    let response = submit(&entry, &definite).await;
    assert!(response.text().contains("CLAIM_LIMIT"), "{}", response.text());
    let incarnation = state(&entry).await["incarnation"].as_str().unwrap().to_owned();
    let window = format!("claim-windows/dc1.entry-0.{incarnation}.0");
    let found = cluster.platform.store.get(&window).await.unwrap();
    assert!(found.revision > 0);
    assert_eq!(cluster.starts(), 0);
}

/// Guards against definite submissions that start without a claim while the store is down.
#[tokio::test]
async fn definite_submissions_are_refused_while_the_store_is_down() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    cluster.platform.store.update(|store| store.control(&StoreControl::Down { times: None }));
    let mut definite = submission(Class::Booking, 1, 1);
    definite.definite = true;
    let response = submit(&entry, &definite).await;
    assert!(response.text().contains("CLAIM_REFUSED"), "{}", response.text());
    assert_eq!(submit(&entry, &submission(Class::Booking, 1, 1)).await.status, 200);
    assert_eq!(cluster.starts(), 1);
}

/// Guards against a log line for each submission over a quota.
#[tokio::test]
async fn a_team_over_its_quota_is_logged_once() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    change_config(&entry, 0, r#"{"action":"set_quota","team":"team-1","starts_per_s":1}"#).await;
    let mut limited = 0;
    for _ in 0..10 {
        limited += u32::from(submit(&entry, &submission(Class::Urgent, 1, 1)).await.status == 429);
    }
    assert!(limited >= 2, "{limited}");
    assert_eq!(counter(&entry, "quota_limits_logged").await, 1);
}

/// Guards against wasted messages, dropped answers and store calls that are not counted in the metrics.
#[tokio::test]
async fn wasted_messages_dropped_answers_and_store_calls_are_counted() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    let faults = UpstreamFaults { refuse: true, times: Some(2), ..UpstreamFaults::default() };
    cluster.upstreams[0].state.update(|state| state.set_faults(faults));
    assert_eq!(submit(&entry, &submission(Class::Urgent, 1, 1)).await.status, 200);
    let faults = UpstreamFaults { crossed_answer: true, times: Some(1), ..UpstreamFaults::default() };
    cluster.upstreams[0].state.update(|state| state.set_faults(faults));
    let response = submit(&entry, &submission(Class::Booking, 1, 1)).await;
    assert!(response.text().contains(r#""code":171"#), "{}", response.text());
    sleep(Duration::from_millis(200)).await;
    assert_eq!(counter(&entry, "wasted_messages").await, 2);
    assert_eq!(counter(&entry, "answers_dropped").await, 1);
    assert!(counter(&entry, "store_calls").await >= 2);
}

/// Guards against an entry that waits for ever for an upstream that accepts connections but never responds.
#[tokio::test]
async fn an_unresponsive_upstream_leads_to_a_timeout() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    change_config(&entry, 0, r#"{"action":"set_default","setting":"task_timeout_ms","value":100}"#).await;
    let unresponsive = support::listener().await;
    cluster.publish(vec![list_entry("silent", unresponsive.local_addr().unwrap(), 1)]);
    sleep(Duration::from_millis(300)).await;
    let response = submit(&entry, &submission(Class::Booking, 1, 1)).await;
    assert!(response.text().contains(r#""code":172"#), "{}", response.text());
}

/// Guards against a caller that waits for ever because the owner of its key accepts connections but never responds.
#[tokio::test]
async fn an_unresponsive_peer_leads_to_a_result_code() {
    let cluster = Cluster::start(1, 2).await;
    let unresponsive = support::listener().await;
    let mut peer = list_entry("entry-9", unresponsive.local_addr().unwrap(), 1);
    peer.kind = hinge_wire::InstanceKind::Entry;
    peer.peer_address = peer.address.clone();
    cluster.publish([cluster.upstream_entries(2), vec![peer]].concat());
    let entry = cluster.entry(|flags| flags.peer_timeout_ms = Some("100".into())).await;
    let mut body = submission(Class::Booking, 1, 1);
    (body.key, body.wait_ms) = (Some("dc1.entry-9.00000000000000aa.1".into()), Some(10));
    let response = submit(&entry, &body).await;
    assert!(response.text().contains("OWNER_UNREACHABLE"), "{}", response.text());
    let path = format!("/v1/submissions/{}", body.key.unwrap());
    assert_eq!(http(entry.address(), "GET", &path, b"").await.status, 504);
    let cancel = exchange(entry.address(), &request_bytes("DELETE", &path, "", b"")).await.unwrap();
    assert!(cancel.text().contains(r#""ignored":1"#), "{}", cancel.text());
}

/// Guards against reusing a connection that returned the response for another task: all later responses on it would be
/// mismatched as well.
#[tokio::test]
async fn a_connection_with_a_mismatched_response_is_not_reused() {
    let cluster = Cluster::start(1, 1).await;
    let listener = support::listener().await;
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicU32::new(0));
    let accepted = connections.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                while let Ok(1..) = stream.read(&mut [0; 8192]).await {
                    let answer = b"HTTP/1.1 200 OK\r\nx-task-id: other\r\ncontent-length: 4\r\n\r\ndone";
                    stream.write_all(answer).await.unwrap();
                }
            });
        }
    });
    cluster.publish(vec![list_entry("crossing", address, 1)]);
    let entry = cluster.entry(|_| {}).await;
    for _ in 0..3 {
        let response = submit(&entry, &submission(Class::Booking, 1, 1)).await;
        assert!(response.text().contains(r#""code":171"#), "{}", response.text());
    }
    assert_eq!(connections.load(Ordering::Relaxed), 3);
}

/// Guards against a peer that announces the highest revision but cannot deliver it, and thereby keeps the instance from
/// fetching newer revisions of other peers.
#[tokio::test]
async fn an_undeliverable_revision_does_not_block_other_peers() {
    let cluster = Cluster::start(1, 2).await;
    let first = cluster.entry(|_| {}).await;
    change_config(&first, 0, r#"{"action":"set_default","setting":"claims_per_s","value":7}"#).await;
    let mut flags = cluster.flags("entry-1");
    (flags.store, flags.peers) = (None, Some(first.peer_address().to_string()));
    flags.peer_timeout_ms = Some("200".into());
    let second = start(&flags).await;
    let unresponsive = support::listener().await;
    let from = MemberInfo {
        config_revision: u64::MAX,
        counter: 1,
        data_centre: "dc1".into(),
        free_slots: 0,
        incarnation: 9,
        instance: "entry-9".into(),
        peer_address: unresponsive.local_addr().unwrap().to_string(),
        queued_tasks: 0,
        state: InstanceState::Ready,
    };
    let mut heartbeat = Heartbeat { demand: Vec::new(), from, members: Vec::new(), target_incarnation: 0 };
    let reached = timeout(support::TEST_TIMEOUT, async {
        while state(&second).await["config_revision"] != 1 {
            heartbeat.from.counter += 1;
            post_peer(second.peer_address(), "/peer/v1/heartbeat", &to_msgpack(&heartbeat).unwrap()).await;
            sleep(Duration::from_millis(200)).await;
        }
    });
    assert!(reached.await.is_ok());
}
