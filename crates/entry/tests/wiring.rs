//! Parts that the entry connects: configuration, claims, list, peers, metrics.

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
    Site, change, counter, exchange, http, keys, list_entry, peer, request_bytes, start, state, submission,
    submit, wait_state, wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout};

/// Guards against a fresh instance that stays not ready because no configuration document was ever written.
#[tokio::test]
async fn a_fresh_instance_without_a_store_starts_from_peers_at_revision_0() {
    let site = Site::start(1, 2).await;
    let first = site.entry(|_| {}).await;
    let mut flags = site.flags("entry-1");
    (flags.store, flags.peers) = (None, Some(first.peer_address().to_string()));
    let second = start(&flags).await;
    assert!(!second.is_ready());
    wait_until("readiness", || second.is_ready()).await;
    assert_eq!(counter(&second, "not_ready").await, 1);
}

/// Guards against defaults taken from a peer that has no configuration itself.
#[tokio::test]
async fn instances_without_any_configuration_stay_not_ready() {
    let site = Site::start(1, 2).await;
    let without_store = |instance: &str, peers: Option<String>| {
        let mut flags = site.flags(instance);
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

/// Guards against a limit for single results that cuts off the answers which peers forward.
#[tokio::test]
async fn a_forwarded_answer_may_be_larger_than_a_result() {
    let site = Site::start(1, 4).await;
    let owner = site.entry(|_| {}).await;
    let other = site.peer_of(&owner).await;
    let result = "r".repeat(900_000);
    let payload = format!(r#"{{"run_ms":1,"result":"{result}"}}"#);
    let mut body = submission(Class::Query, 0, 0);
    body.tasks = vec![TaskSpec { memory_mb: None, payload, run_time_ms: None }; 3];
    body.key = keys(&owner, 1).await.pop();
    let response = submit(&other, &body).await;
    assert_eq!(response.status, 200, "{}", response.text());
    assert_eq!(from_json::<Answer>(&response.body).unwrap().results, vec![result; 3]);
}

/// Guards against work that stops when the platform's list is lost, and against a loss that is not counted.
#[tokio::test]
async fn an_entry_that_loses_the_list_keeps_working() {
    let site = Site::start(1, 2).await;
    let entry = site.entry(|_| {}).await;
    let control = ListControl { down: Some(true), ..ListControl::default() };
    site.platform.list.update(|list| list.control(Instant::now(), &control));
    wait_state(&entry, "a counted failure", |state| state.to_string().contains("list_failures")).await;
    assert!(entry.is_ready());
    assert_eq!(submit(&entry, &submission(Class::Urgent, 1, 1)).await.status, 200);
}

/// Guards against list entries that shadow others or that tasks are sent to in vain.
#[tokio::test]
async fn unusable_list_entries_are_dropped_and_counted() {
    let site = Site::start(1, 2).await;
    let entry = site.entry(|_| {}).await;
    let good = site.upstream_entries(2).remove(0);
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
    site.publish(entries);
    let dropped = |state: &serde_json::Value| {
        let metrics = state["metrics"].as_array().unwrap();
        metrics.iter().any(|metric| metric["name"] == "list_entries_dropped" && metric["value"] == expected)
    };
    wait_state(&entry, "the new list", dropped).await;
    assert_eq!(submit(&entry, &submission(Class::Urgent, 1, 1)).await.status, 200);
    assert_eq!(counter(&entry, "wasted_messages").await, 0);
}

/// Guards against a rate of claims that stays at its built-in value, and against a claim that is refused by the limit
/// and cannot be settled because its window was never opened.
#[tokio::test]
async fn the_rate_of_claims_follows_the_configuration() {
    let site = Site::start(1, 2).await;
    let entry = site.entry(|_| {}).await;
    change(&entry, 0, r#"{"action":"set_default","setting":"claims_per_s","value":0}"#).await;
    let mut definite = submission(Class::Booking, 1, 1);
    definite.definite = true;
    let response = submit(&entry, &definite).await;
    assert!(response.text().contains("CLAIM_LIMIT"), "{}", response.text());
    let incarnation = state(&entry).await["incarnation"].as_str().unwrap().to_owned();
    let window = format!("claim-windows/dc1.entry-0.{incarnation}.0");
    let found = site.platform.store.get(&window).await.unwrap();
    assert!(found.revision > 0);
    assert_eq!(site.starts(), 0);
}

/// Guards against definite submissions that start without a claim while the store is down.
#[tokio::test]
async fn definite_submissions_are_refused_while_the_store_is_down() {
    let site = Site::start(1, 2).await;
    let entry = site.entry(|_| {}).await;
    site.platform.store.update(|store| store.control(&StoreControl::Down { times: None }));
    let mut definite = submission(Class::Booking, 1, 1);
    definite.definite = true;
    let response = submit(&entry, &definite).await;
    assert!(response.text().contains("CLAIM_REFUSED"), "{}", response.text());
    assert_eq!(submit(&entry, &submission(Class::Booking, 1, 1)).await.status, 200);
    assert_eq!(site.starts(), 1);
}

/// Guards against a log that grows with each submission over a quota.
#[tokio::test]
async fn a_team_over_its_quota_is_logged_once() {
    let site = Site::start(1, 2).await;
    let entry = site.entry(|_| {}).await;
    change(&entry, 0, r#"{"action":"set_quota","team":"team-1","starts_per_s":1}"#).await;
    let mut limited = 0;
    for _ in 0..10 {
        limited += u32::from(submit(&entry, &submission(Class::Urgent, 1, 1)).await.status == 429);
    }
    assert!(limited >= 2, "{limited}");
    assert_eq!(counter(&entry, "quota_limits_logged").await, 1);
}

/// Guards against waste and dropped answers that no metric shows.
#[tokio::test]
async fn waste_dropped_answers_and_store_calls_are_counted() {
    let site = Site::start(1, 2).await;
    let entry = site.entry(|_| {}).await;
    let faults = UpstreamFaults { refuse: true, times: Some(2), ..UpstreamFaults::default() };
    site.upstreams[0].state.update(|state| state.set_faults(faults));
    assert_eq!(submit(&entry, &submission(Class::Urgent, 1, 1)).await.status, 200);
    let faults = UpstreamFaults { crossed_answer: true, times: Some(1), ..UpstreamFaults::default() };
    site.upstreams[0].state.update(|state| state.set_faults(faults));
    let response = submit(&entry, &submission(Class::Booking, 1, 1)).await;
    assert!(response.text().contains(r#""code":171"#), "{}", response.text());
    sleep(Duration::from_millis(200)).await;
    assert_eq!(counter(&entry, "wasted_messages").await, 2);
    assert_eq!(counter(&entry, "answers_dropped").await, 1);
    assert!(counter(&entry, "store_calls").await >= 2);
}

/// Guards against an entry that waits for ever on an upstream or a peer which accepts connections and never answers.
#[tokio::test]
async fn a_silent_upstream_ends_in_a_timeout() {
    let site = Site::start(1, 2).await;
    let entry = site.entry(|_| {}).await;
    change(&entry, 0, r#"{"action":"set_default","setting":"task_timeout_ms","value":100}"#).await;
    let silent = support::listener().await;
    site.publish(vec![list_entry("silent", silent.local_addr().unwrap(), 1)]);
    sleep(Duration::from_millis(300)).await;
    let response = submit(&entry, &submission(Class::Booking, 1, 1)).await;
    assert!(response.text().contains(r#""code":172"#), "{}", response.text());
}

/// Guards against a request to an owner that never answers and holds its caller for ever.
#[tokio::test]
async fn a_silent_peer_ends_in_a_result_code() {
    let site = Site::start(1, 2).await;
    let silent = support::listener().await;
    let mut peer = list_entry("entry-9", silent.local_addr().unwrap(), 1);
    peer.kind = hinge_wire::InstanceKind::Entry;
    peer.peer_address = peer.address.clone();
    site.publish([site.upstream_entries(2), vec![peer]].concat());
    let entry = site.entry(|flags| flags.peer_timeout_ms = Some("100".into())).await;
    let mut body = submission(Class::Booking, 1, 1);
    (body.key, body.wait_ms) = (Some("dc1.entry-9.00000000000000aa.1".into()), Some(10));
    let response = submit(&entry, &body).await;
    assert!(response.text().contains("OWNER_UNREACHABLE"), "{}", response.text());
    let path = format!("/v1/submissions/{}", body.key.unwrap());
    assert_eq!(http(entry.address(), "GET", &path, b"").await.status, 504);
    let cancel = exchange(entry.address(), &request_bytes("DELETE", &path, "", b"")).await.unwrap();
    assert!(cancel.text().contains(r#""ignored":1"#), "{}", cancel.text());
}

/// Guards against a connection that is used again after an answer for another task, so that all later answers on it are
/// crossed as well.
#[tokio::test]
async fn a_connection_with_a_crossed_answer_is_not_used_again() {
    let site = Site::start(1, 1).await;
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
    site.publish(vec![list_entry("crossing", address, 1)]);
    let entry = site.entry(|_| {}).await;
    for _ in 0..3 {
        let response = submit(&entry, &submission(Class::Booking, 1, 1)).await;
        assert!(response.text().contains(r#""code":171"#), "{}", response.text());
    }
    assert_eq!(connections.load(Ordering::Relaxed), 3);
}

/// Guards against a peer that announces the highest revision, cannot deliver it and hides the peers that can.
#[tokio::test]
async fn a_peer_with_an_absurd_revision_does_not_hide_the_others() {
    let site = Site::start(1, 2).await;
    let first = site.entry(|_| {}).await;
    change(&first, 0, r#"{"action":"set_default","setting":"claims_per_s","value":7}"#).await;
    let mut flags = site.flags("entry-1");
    (flags.store, flags.peers) = (None, Some(first.peer_address().to_string()));
    flags.peer_timeout_ms = Some("200".into());
    let second = start(&flags).await;
    let silent = support::listener().await;
    let from = MemberInfo {
        config_revision: u64::MAX,
        counter: 1,
        data_centre: "dc1".into(),
        free_slots: 0,
        incarnation: 9,
        instance: "entry-9".into(),
        peer_address: silent.local_addr().unwrap().to_string(),
        queued_tasks: 0,
        state: InstanceState::Ready,
    };
    let mut heartbeat = Heartbeat { demand: Vec::new(), from, members: Vec::new(), target_incarnation: 0 };
    let reached = timeout(support::LIMIT, async {
        while state(&second).await["config_revision"] != 1 {
            heartbeat.from.counter += 1;
            peer(second.peer_address(), "/peer/v1/heartbeat", &to_msgpack(&heartbeat).unwrap()).await;
            sleep(Duration::from_millis(200)).await;
        }
    });
    assert!(reached.await.is_ok());
}
