//! Result codes for malformed, oversized and out-of-range input.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use hinge_entry::Entry;
use hinge_wire::{
    Class, ConfigFetch, ErrorReply, ForwardRequest, Heartbeat, InstanceState, LoanRequest, LoanReturn,
    LoanSlots, LookupRequest, MemberInfo, PeerCancelRequest, TeamDemand, from_json, from_msgpack, to_json,
    to_msgpack,
};
use serde_json::json;
use support::{
    Cluster, Response, assert_no_panics, exchange, http, post_peer, request_bytes, state, submission, submit,
};

const KEYS: &str = "/v1/keys";
const SUBMISSIONS: &str = "/v1/submissions";
const CANCELLATIONS: &str = "/v1/cancellations";
const CHANGES: &str = "/admin/v1/changes";
const DRAIN: &str = "/admin/v1/drain";

fn json_code(response: &Response) -> u16 {
    let reply: ErrorReply = from_json(&response.body).unwrap_or_else(|_| unexpected(response));
    assert!(reply.message.len() <= 1000, "{}", reply.message.len());
    reply.code
}

fn unexpected(response: &Response) -> ErrorReply {
    ErrorReply {
        code: u16::MAX,
        message: response.text(),
        name: String::new(),
        outcome: hinge_wire::Outcome::Complete,
    }
}

fn submission_with(field: &str, value: serde_json::Value) -> Vec<u8> {
    let mut body = serde_json::to_value(submission(Class::Urgent, 1, 1)).unwrap();
    body[field] = value;
    body.to_string().into_bytes()
}

/// Bodies that are invalid at every JSON endpoint.
fn malformed_json() -> Vec<Vec<u8>> {
    let deep = |open: &str, count: usize| open.repeat(count).into_bytes();
    vec![
        vec![],
        b"\0".to_vec(),
        b"\xff\xfe\xfd".to_vec(),
        b"{".to_vec(),
        b"null".to_vec(),
        b"[]".to_vec(),
        b"{}".to_vec(),
        b"{} {}".to_vec(),
        b"{\"count\": 1, \"keys\": [\"\xff\"]}".to_vec(),
        deep("[", 100_000),
        deep("{\"a\":", 100_000),
        deep("9", 100_000),
        vec![b' '; 1 << 20],
    ]
}

/// Guards against malformed requests of callers or operators that cause a panic, hang or get no result code.
#[tokio::test]
async fn malformed_json_gets_a_code_at_each_endpoint() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    let callers = [KEYS, SUBMISSIONS, CANCELLATIONS].map(|path| (entry.address(), path));
    let operators = [CHANGES, DRAIN].map(|path| (entry.peer_address(), path));
    for (address, path) in callers.into_iter().chain(operators) {
        for body in malformed_json() {
            let response = http(address, "POST", path, &body).await;
            let shown = &body[..body.len().min(40)];
            assert_eq!(
                json_code(&response),
                100,
                "{path} {:?}: {response:?}",
                String::from_utf8_lossy(shown)
            );
        }
    }
    assert_serves(&entry).await;
}

/// Guards against out-of-range values that are accepted or cause an overflow.
#[tokio::test]
async fn out_of_range_values_are_rejected_with_a_code() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    let long = "x".repeat(100_000);
    let tasks = |task: serde_json::Value, count: usize| submission_with("tasks", json!(vec![task; count]));
    let table: Vec<(&str, Vec<u8>, u16)> = vec![
        (KEYS, br#"{"count":0}"#.to_vec(), 102),
        (KEYS, br#"{"count":1001}"#.to_vec(), 102),
        (KEYS, br#"{"count":4294967296}"#.to_vec(), 100),
        (KEYS, br#"{"count":-1}"#.to_vec(), 100),
        (KEYS, br#"{"count":1.5}"#.to_vec(), 100),
        (KEYS, br#"{"count":"1"}"#.to_vec(), 100),
        (SUBMISSIONS, submission_with("class", json!(long)), 100),
        (SUBMISSIONS, submission_with("class", json!(7)), 100),
        (SUBMISSIONS, submission_with("service", json!("")), 102),
        (SUBMISSIONS, submission_with("service", json!("a\u{0}b")), 102),
        (SUBMISSIONS, submission_with("service", json!(long)), 102),
        (SUBMISSIONS, submission_with("service", json!("unknown")), 130),
        (SUBMISSIONS, submission_with("team", json!("a b")), 102),
        (SUBMISSIONS, submission_with("team", json!(long)), 102),
        (SUBMISSIONS, submission_with("key", json!(long)), 102),
        (SUBMISSIONS, submission_with("key", json!("dc1.entry-0.zz.1")), 102),
        (
            SUBMISSIONS,
            submission_with("key", json!("dc9.entry-9.00000000000000aa.18446744073709551615")),
            121,
        ),
        (SUBMISSIONS, submission_with("deadline_ms", json!(0)), 133),
        (SUBMISSIONS, submission_with("deadline_ms", json!(-1)), 100),
        (SUBMISSIONS, submission_with("wait_ms", json!(1e300)), 100),
        (SUBMISSIONS, submission_with("tasks", json!([])), 132),
        (SUBMISSIONS, tasks(json!({"payload": "p"}), 111), 132),
        (SUBMISSIONS, tasks(json!({"payload": "p"}), 50_000), 132),
        (SUBMISSIONS, tasks(json!({"payload": "p", "memory_mb": u32::MAX}), 1), 131),
        (SUBMISSIONS, tasks(json!({"payload": "p", "run_time_ms": u64::MAX}), 110), 140),
        (CANCELLATIONS, json!({"keys": vec!["k"; 1001]}).to_string().into_bytes(), 101),
        (CANCELLATIONS, br#"{"keys":["\u0000"]}"#.to_vec(), 102),
        (CANCELLATIONS, br#"{"keys":[1]}"#.to_vec(), 100),
    ];
    for (path, body, code) in table {
        let response = http(entry.address(), "POST", path, &body).await;
        let shown = String::from_utf8_lossy(&body[..body.len().min(120)]).into_owned();
        assert_eq!(json_code(&response), code, "{path} {shown}: {}", response.text());
    }
    assert_serves(&entry).await;
}

/// Guards against large valid numbers that overflow when added to the current time or to each other.
#[tokio::test]
async fn large_times_are_bounded_by_the_settings() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    for field in ["deadline_ms", "wait_ms"] {
        let response =
            http(entry.address(), "POST", SUBMISSIONS, &submission_with(field, json!(u64::MAX))).await;
        assert_eq!(response.status, 200, "{field}: {}", response.text());
    }
    let body = to_json(&submission(Class::Urgent, 1, 1)).unwrap();
    let unknown_field = [b"{\"unknown\":[{}],".as_slice(), &body[1..]].concat();
    let response = http(entry.address(), "POST", SUBMISSIONS, &unknown_field).await;
    assert!(response.status == 200 || json_code(&response) == 100, "{}", response.text());
    let key = support::keys(&entry, 1).await.remove(0);
    for (query, code) in [
        ("wait_ms=18446744073709551615", 113),
        ("wait_ms=18446744073709551616", 102),
        ("wait_ms=-1", 102),
        ("wait_ms=", 102),
        ("wait_ms=%00", 102),
        ("other=1", 113),
    ] {
        let response = http(entry.address(), "GET", &format!("{SUBMISSIONS}/{key}?{query}"), b"").await;
        assert_eq!(json_code(&response), code, "{query}: {}", response.text());
    }
    assert_serves(&entry).await;
}

/// Guards against unknown paths and methods that get no result code.
#[tokio::test]
async fn unknown_paths_and_methods_get_a_code() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    let long = format!("/{}", "p".repeat(4000));
    let callers = [
        ("GET", "/", 104),
        ("GET", long.as_str(), 104),
        ("DELETE", KEYS, 105),
        ("GET", SUBMISSIONS, 105),
        ("POST", "/healthz", 105),
        ("GET", "/v1/submissions/", 102),
        ("GET", "/v1/submissions/%00", 102),
        ("GET", "/v1/submissions/a.b.c.d", 102),
        ("PUT", "/v1/submissions/dc1.entry-0.00000000000000aa.1", 105),
        ("GET", "/v1/submissions/dc1.entry-0.00000000000000aa.1", 120),
        ("POST", "/peer/v1/heartbeat", 104),
    ];
    for (method, path, code) in callers {
        let response = http(entry.address(), method, path, b"").await;
        assert_eq!(json_code(&response), code, "{method} {path}: {}", response.text());
    }
    for (method, path, code) in
        [("GET", "/admin/v1/none", 104), ("DELETE", CHANGES, 105), ("POST", "/admin/v1/config", 105)]
    {
        let response = http(entry.peer_address(), method, path, b"").await;
        assert_eq!(json_code(&response), code, "{method} {path}: {}", response.text());
    }
    assert_serves(&entry).await;
}

fn msgpack_code(response: &Response) -> u16 {
    from_msgpack::<ErrorReply>(&response.body).unwrap_or_else(|_| unexpected(response)).code
}

const PEER_PATHS: [&str; 7] = ["heartbeat", "forward", "lookup", "cancel", "loan", "loan-return", "config"];

/// Guards against MessagePack whose declared lengths exhaust the memory or whose nesting exhausts the stack.
#[tokio::test]
async fn malformed_messagepack_gets_a_code_at_each_endpoint() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    let address = entry.peer_address();
    let bodies: Vec<Vec<u8>> = vec![
        vec![],
        vec![0xc1],
        vec![0xdb, 0xff, 0xff, 0xff, 0xff, b'a'],
        vec![0xdd, 0xff, 0xff, 0xff, 0xff],
        vec![0xdf, 0xff, 0xff, 0xff, 0xff],
        vec![0x91; 15_000],
        [vec![0x81, 0xa1, b'x'], [0x81, 0xa1, b'x'].repeat(5_000)].concat(),
        vec![0xa2, 0xff, 0xfe],
        b"{\"json\": 1}".to_vec(),
    ];
    for path in PEER_PATHS {
        let path = format!("/peer/v1/{path}");
        for body in &bodies {
            let response = post_peer(address, &path, body).await;
            assert_eq!(msgpack_code(&response), 100, "{path} {:?}", &body[..body.len().min(10)]);
        }
        for version in
            ["", "x-hinge-version: 2\r\n", "x-hinge-version: \u{fe}\r\n", "x-hinge-version: 99999999999\r\n"]
        {
            let response = exchange(address, &request_bytes("POST", &path, version, b"")).await.unwrap();
            assert_eq!(msgpack_code(&response), 103, "{path} {version}");
        }
    }
    assert_serves(&entry).await;
}

fn member(instance: &str) -> MemberInfo {
    MemberInfo {
        config_revision: u64::MAX,
        counter: u64::MAX,
        data_centre: "dc1".into(),
        free_slots: u32::MAX,
        incarnation: u64::MAX,
        instance: instance.into(),
        peer_address: "127.0.0.1:9".into(),
        queued_tasks: u32::MAX,
        state: InstanceState::Ready,
    }
}

fn heartbeat(from: MemberInfo, members: usize, teams: usize) -> Vec<u8> {
    let members = (0..members).map(|index| member(&format!("entry-{index}"))).collect();
    let demand =
        (0..teams).map(|index| TeamDemand { starts_per_s: u32::MAX, team: format!("t{index}") }).collect();
    to_msgpack(&Heartbeat { demand, from, members, target_incarnation: 0 }).unwrap()
}

/// Guards against accepting heartbeats from another data centre, of excessive size or with invalid ids.
#[tokio::test]
async fn heartbeats_are_checked_and_bounded() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    let wrong = |change: fn(&mut MemberInfo)| {
        let mut from = member("entry-9");
        change(&mut from);
        heartbeat(from, 0, 0)
    };
    let table = [
        (wrong(|from| from.data_centre = "dc2".into()), 102),
        (wrong(|from| from.instance = "a\0".into()), 102),
        (wrong(|from| from.instance = "i".repeat(65)), 102),
        (wrong(|from| from.peer_address = "nowhere".into()), 102),
        (wrong(|from| from.incarnation = 0), 102),
        (heartbeat(member("entry-9"), 65, 0), 102),
        (heartbeat(member("entry-9"), 0, 33), 102),
        (heartbeat(member("entry-9"), 0, 1000), 101),
        (vec![0; 1 << 20], 101),
    ];
    for (index, (body, code)) in table.into_iter().enumerate() {
        let response = post_peer(entry.peer_address(), "/peer/v1/heartbeat", &body).await;
        assert_eq!(msgpack_code(&response), code, "row {index}: {}", response.text());
    }
    // Maximum values from a valid peer are accepted and do not affect callers.
    let body = heartbeat(member("entry-9"), 5, 32);
    assert_eq!(post_peer(entry.peer_address(), "/peer/v1/heartbeat", &body).await.status, 200);
    assert_eq!(state(&entry).await["members"].as_array().unwrap().len(), 6);
    assert_serves(&entry).await;
}

/// Guards against accepting peer messages for another incarnation, with too many items or with invalid ids.
#[tokio::test]
async fn peer_messages_are_checked() {
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    let incarnation = u64::from_str_radix(state(&entry).await["incarnation"].as_str().unwrap(), 16).unwrap();
    let key = support::keys(&entry, 1).await.remove(0);
    let forward = |key: Option<&str>, team: &str, target_incarnation| {
        let mut submission = submission(Class::Urgent, 1, 1);
        (submission.key, submission.team) = (key.map(str::to_owned), team.to_owned());
        to_msgpack(&ForwardRequest { submission, target_incarnation, wait_ms: u64::MAX }).unwrap()
    };
    let loan = |borrower: &str, target_incarnation| {
        let (service, class) = ("search".to_owned(), Class::Urgent);
        let borrower = borrower.to_owned();
        let (borrower_incarnation, slots) = (u64::MAX, u32::MAX);
        to_msgpack(&LoanRequest { borrower, borrower_incarnation, class, service, slots, target_incarnation })
            .unwrap()
    };
    let lookup = |key: &str, target_incarnation| {
        to_msgpack(&LookupRequest { key: key.into(), target_incarnation, wait_ms: u64::MAX }).unwrap()
    };
    let keys = vec!["k".to_owned(); 1001];
    let unknown = format!("dc1.entry-0.{incarnation:016x}.{}", u64::MAX);
    let table = [
        ("forward", forward(Some(&key), "team-1", 1), 123),
        ("forward", forward(None, "team-1", incarnation), 102),
        ("forward", forward(Some(&key), "a b", incarnation), 102),
        ("forward", forward(Some(&unknown), "team-1", incarnation), 110),
        ("lookup", lookup(&key, 1), 123),
        ("lookup", lookup("", incarnation), 102),
        ("lookup", lookup(&unknown, incarnation), 110),
        ("cancel", to_msgpack(&PeerCancelRequest { keys, target_incarnation: incarnation }).unwrap(), 101),
        ("loan", loan("entry-9", 1), 123),
        ("loan", loan(&"b".repeat(1000), incarnation), 102),
    ];
    for (path, body, code) in table {
        let response = post_peer(entry.peer_address(), &format!("/peer/v1/{path}"), &body).await;
        assert_eq!(msgpack_code(&response), code, "{path}: {}", response.text());
    }
    let slots = vec![LoanSlots { slots: u32::MAX, upstream: "upstream-0".into() }; 3];
    let borrower = "entry-9".to_owned();
    let back = LoanReturn { borrower, loan: u64::MAX, slots, target_incarnation: incarnation };
    let accepted = [
        ("loan", loan("entry-9", incarnation)),
        ("loan-return", to_msgpack(&back).unwrap()),
        ("loan-return", to_msgpack(&LoanReturn { loan: 1, ..back }).unwrap()),
        ("config", to_msgpack(&ConfigFetch { above_revision: u64::MAX }).unwrap()),
    ];
    for (path, body) in accepted {
        let response = post_peer(entry.peer_address(), &format!("/peer/v1/{path}"), &body).await;
        assert_eq!(response.status, 200, "{path}: {}", response.text());
    }
    assert_serves(&entry).await;
}

async fn assert_serves(entry: &Entry) {
    let response = submit(entry, &submission(Class::Urgent, 1, 1)).await;
    assert_eq!(response.status, 200, "{}", response.text());
    assert_no_panics();
}
