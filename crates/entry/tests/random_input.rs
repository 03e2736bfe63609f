//! Random bytes from a fixed seed as requests to each endpoint and as responses of upstreams, list and store.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hinge_conf::Flags;
use hinge_wire::{
    Class, ConfigFetch, ForwardRequest, Heartbeat, InstanceState, LoanRequest, LoanReturn, LoanSlots,
    LookupRequest, MemberInfo, PeerCancelRequest, TeamDemand, to_json, to_msgpack,
};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any};
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{
    Cluster, assert_no_panics, exchange, flags, http, list_entry, listener, post_peer, request_bytes, start,
    submission, submit,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

const CASES: usize = 150;

/// Random inputs: arbitrary bytes, and valid messages with bytes replaced, truncated or repeated.
fn inputs(valid: &[Vec<u8>], cases: usize) -> Vec<Vec<u8>> {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let mut draw = |strategy: &dyn Fn() -> proptest::strategy::BoxedStrategy<Vec<u8>>| {
        strategy().new_tree(&mut runner).unwrap().current()
    };
    let random = || vec(any::<u8>(), 0..300).boxed();
    let mutated = |valid: Vec<u8>| {
        (vec((any::<usize>(), any::<u8>()), 1..4), any::<usize>(), 0..4_u8).prop_map(
            move |(bytes, at, how)| {
                let mut input = valid.clone();
                for (position, byte) in bytes {
                    let position = position % input.len();
                    input[position] = byte;
                }
                let at = at % input.len();
                match how {
                    0 => input.truncate(at),
                    1 => input.extend_from_within(at..),
                    _ => {}
                }
                input
            },
        )
    };
    let mut inputs = Vec::new();
    for case in 0..cases {
        inputs.push(draw(&random));
        if !valid.is_empty() {
            inputs.push(draw(&|| mutated(valid[case % valid.len()].clone()).boxed()));
        }
    }
    inputs
}

fn member() -> MemberInfo {
    MemberInfo {
        config_revision: 1,
        counter: 1,
        data_centre: "dc1".into(),
        free_slots: 1,
        incarnation: 9,
        instance: "entry-9".into(),
        peer_address: "127.0.0.1:9".into(),
        queued_tasks: 1,
        state: InstanceState::Ready,
    }
}

fn peer_messages(target_incarnation: u64) -> Vec<(&'static str, Vec<u8>)> {
    let demand = vec![TeamDemand { starts_per_s: 1, team: "team-1".into() }];
    let key = || format!("dc1.entry-0.{target_incarnation:016x}.1");
    let mut body = submission(Class::Urgent, 2, 1);
    body.key = Some(key());
    let slots = vec![LoanSlots { slots: 1, upstream: "upstream-0".into() }];
    let borrower = || "entry-9".to_owned();
    let loan = LoanRequest {
        borrower: borrower(),
        borrower_incarnation: 9,
        class: Class::Urgent,
        service: "search".into(),
        slots: 1,
        target_incarnation,
    };
    let heartbeat = Heartbeat { demand, from: member(), members: vec![member()], target_incarnation };
    vec![
        ("heartbeat", to_msgpack(&heartbeat).unwrap()),
        (
            "forward",
            to_msgpack(&ForwardRequest { submission: body, target_incarnation, wait_ms: 1 }).unwrap(),
        ),
        ("lookup", to_msgpack(&LookupRequest { key: key(), target_incarnation, wait_ms: 1 }).unwrap()),
        ("cancel", to_msgpack(&PeerCancelRequest { keys: vec![key()], target_incarnation }).unwrap()),
        ("loan", to_msgpack(&loan).unwrap()),
        (
            "loan-return",
            to_msgpack(&LoanReturn { borrower: borrower(), loan: 1, slots, target_incarnation }).unwrap(),
        ),
        ("config", to_msgpack(&ConfigFetch { above_revision: 0 }).unwrap()),
    ]
}

/// Guards against bytes from a peer that cause a panic or corrupt state on which later requests depend.
#[tokio::test]
async fn peer_endpoints_survive_random_bytes() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|flags| flags.max_wait_ms = Some("20".into())).await;
    let incarnation = support::state(&entry).await["incarnation"].as_str().unwrap().to_owned();
    for (path, message) in peer_messages(u64::from_str_radix(&incarnation, 16).unwrap()) {
        for input in inputs(&[message], CASES) {
            let response = post_peer(entry.peer_address(), &format!("/peer/v1/{path}"), &input).await;
            assert!(response.status < 600, "{path}");
        }
    }
    assert_no_panics();
    let path = "/healthz";
    assert_eq!(http(entry.address(), "GET", path, b"").await.status, 200);
    support::wait_until("readiness", || entry.is_ready()).await;
}

/// Guards against bytes from a caller or operator that cause a panic.
#[tokio::test]
async fn json_endpoints_survive_random_bytes() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|flags| flags.max_wait_ms = Some("20".into())).await;
    let change = r#"{"author":"a","change":{"action":"set_default","setting":"claims_per_s","value":1},
        "expect_revision":0,"operation_id":"o"}"#;
    let endpoints: [(SocketAddr, &str, Vec<u8>); 5] = [
        (entry.address(), "/v1/keys", br#"{"count":3}"#.to_vec()),
        (entry.address(), "/v1/submissions", to_json(&submission(Class::Urgent, 2, 1)).unwrap()),
        (entry.address(), "/v1/cancellations", br#"{"keys":["dc1.entry-0.00000000000000aa.1"]}"#.to_vec()),
        (entry.peer_address(), "/admin/v1/changes", change.as_bytes().to_vec()),
        (entry.peer_address(), "/admin/v1/drain", br#"{"instance":"entry-9"}"#.to_vec()),
    ];
    for (address, path, message) in endpoints {
        for input in inputs(&[message], CASES / 2) {
            let response = http(address, "POST", path, &input).await;
            assert!(
                response.status < 600 && serde_json::from_slice::<serde_json::Value>(&response.body).is_ok()
            );
        }
    }
    assert_no_panics();
    assert!(entry.is_ready());
}

/// Guards against raw bytes that stop a listener.
#[tokio::test]
async fn listeners_survive_random_bytes() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|flags| flags.idle_timeout_ms = Some("100".into())).await;
    let valid =
        request_bytes("GET", "/v1/submissions/dc1.entry-0.00000000000000aa.1?wait_ms=1", "x-a: b\r\n", b"");
    for address in [entry.address(), entry.peer_address()] {
        let inputs = inputs(std::slice::from_ref(&valid), 20);
        let exchanges = inputs.iter().map(|input| exchange(address, input));
        for exchange in exchanges {
            exchange.await;
        }
    }
    assert_no_panics();
    assert_eq!(http(entry.address(), "GET", "/healthz", b"").await.status, 200);
}

/// Serves the given responses cyclically, each on a connection that is then closed. Returns the address and the number
/// of responses sent.
async fn serve_scripted(responses: Vec<Vec<u8>>) -> (SocketAddr, std::sync::Arc<AtomicUsize>) {
    let listener = listener().await;
    let address = listener.local_addr().unwrap();
    let sent = std::sync::Arc::new(AtomicUsize::new(0));
    let count = sent.clone();
    let responses = std::sync::Arc::new(Mutex::new(responses.into_iter().cycle()));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (responses, count) = (responses.clone(), count.clone());
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 4096]).await;
                let response = responses.lock().unwrap().next().unwrap_or_default();
                let _ = stream.write_all(&response).await;
                count.fetch_add(1, Ordering::Relaxed);
            });
        }
    });
    (address, sent)
}

fn ok(body: &[u8]) -> Vec<u8> {
    [format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len()).as_bytes(), body].concat()
}

/// Guards against upstream responses after which a task does not get exactly one final result code.
#[tokio::test]
async fn random_upstream_responses_get_one_final_code() {
    let cluster = Cluster::start(1, 2).await;
    let mut responses = vec![
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc".to_vec(),
        b"HTTP/1.1 200 OK\r\nx-task-id: other\r\ncontent-length: 3\r\n\r\nabc".to_vec(),
        b"HTTP/1.1 200 OK\r\nx-task-id: \xff\r\ncontent-length: 0\r\n\r\n".to_vec(),
        b"HTTP/1.1 503 Busy\r\nx-not-started: maybe\r\ncontent-length: 0\r\n\r\n".to_vec(),
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\nabc".to_vec(),
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffffff\r\n".to_vec(),
        b"HTTP/1.1 100 Continue\r\n\r\n".repeat(1000),
        ok(&vec![b'x'; 3 << 20]),
        [ok(b"abc"), ok(b"def")].concat(),
        b"HTTP/1.1 500 E\r\ncontent-length: 2\r\n\r\n\xff\xfe".to_vec(),
    ];
    responses.extend(inputs(&[ok(b"abc")], 20));
    let count = responses.len();
    let (address, sent) = serve_scripted(responses).await;
    cluster.publish(vec![list_entry("scripted", address, 1)]);
    let entry = cluster.entry(|_| {}).await;
    support::change_config(&entry, 0, r#"{"action":"set_default","setting":"task_timeout_ms","value":200}"#)
        .await;
    support::change_config(
        &entry,
        1,
        r#"{"action":"set_default","setting":"ejection_enabled","value":false}"#,
    )
    .await;
    for _ in 0..count {
        let response = submit(&entry, &submission(Class::Booking, 1, 1)).await;
        let answer = hinge_wire::from_json::<hinge_wire::Answer>(&response.body);
        let answer = answer.unwrap_or_else(|error| panic!("{error}: {}", response.text()));
        assert!([170, 171, 172].contains(&answer.code), "{}", response.text());
    }
    assert_no_panics();
    assert_eq!(sent.load(Ordering::Relaxed), count);
}

/// Guards against responses of the platform that stop the loops following its list and store.
#[tokio::test]
async fn random_list_and_store_responses_do_not_stop_the_entry() {
    let list = br#"{"entries":[{"address":"127.0.0.1:9","data_centre":"dc1","id":"u","kind":"upstream","memory_mb":1,
        "peer_address":"","rack":"r","service":"s","slots":4294967295,"state":"live"}],"version":18446744073709551615}"#;
    let value = br#"{"revision":18446744073709551615,"value":"{}"}"#;
    let mut responses: Vec<Vec<u8>> =
        inputs(&[list.to_vec(), value.to_vec()], 30).iter().map(|body| ok(body)).collect();
    responses.extend(inputs(&[ok(list)], 10));
    responses.extend([ok(list), ok(value), ok(&b"[".repeat(5000)), ok(&vec![b' '; 20 << 20])]);
    let (address, sent) = serve_scripted(responses).await;
    let address = address.to_string();
    let flags = Flags { list: Some(address.clone()), store: Some(address), ..flags("entry-0") };
    let entry = start(&flags).await;
    sleep(Duration::from_secs(3)).await;
    assert!(sent.load(Ordering::Relaxed) > 5);
    assert_no_panics();
    let state = support::state(&entry).await;
    assert!(state["members"][0]["counter"].as_u64().unwrap() > 2, "{state}");
}
