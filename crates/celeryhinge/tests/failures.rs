//! The requirements under failures of real processes: signals, kills, store and upstream faults.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier};
use std::thread::JoinHandle;
use std::time::Duration;

use celeryhinge::wire::{
    Change, ChangeReply, ChangeRequest, Class, ConfigReply, ConflictReply, KeysReply, Outcome, ResultCode,
    SettingValue, Submission, UpstreamsReply, from_json, to_json,
};
use hinge_fakes::{StoreControl, UpstreamFaults};
use serde::Deserialize;
use support::{Cluster, Process, http, payload, submission, try_http, wait_ready, wait_until};
use tokio::time::Instant;

/// Target of the requirements for a change of the configuration to be in force everywhere.
const CONFIG_LIMIT: Duration = Duration::from_secs(8);
/// Target of the requirements for a leaving upstream to get no more work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// What answers and rejections have in common.
#[derive(Clone, Debug, Deserialize, PartialEq)]
struct Reply {
    code: u16,
    outcome: Outcome,
    #[serde(default)]
    results: Vec<String>,
}

impl Reply {
    fn is(&self, code: ResultCode) -> bool {
        self.code == code.number()
    }
}

fn keys(entry: &Process, count: u32) -> Vec<String> {
    let (status, body) =
        http(entry.address(), "POST", "/v1/keys", format!(r#"{{"count": {count}}}"#).as_bytes());
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
    from_json::<KeysReply>(&body).unwrap().keys
}

fn keyed(key: &str, class: Class, payloads: &[String]) -> Submission {
    Submission { key: Some(key.to_owned()), ..submission(class, payloads) }
}

fn send(entry: SocketAddr, submission: &Submission) -> Reply {
    let (_, body) = http(entry, "POST", "/v1/submissions", &to_json(submission).unwrap());
    from_json(&body).unwrap_or_else(|error| panic!("{error}: {}", String::from_utf8_lossy(&body)))
}

fn send_in_thread(entry: &Process, submission: &Submission) -> JoinHandle<Reply> {
    let (entry, submission) = (entry.address(), submission.clone());
    std::thread::spawn(move || send(entry, &submission))
}

fn job(name: &str, tasks: usize, run_ms: u64) -> (Vec<String>, Vec<String>) {
    let results: Vec<String> = (0..tasks).map(|index| format!("{name}-{index}")).collect();
    (results.iter().map(|result| payload(run_ms, result)).collect(), results)
}

fn control_store(cluster: &Cluster, control: &StoreControl) {
    let body = to_json(control).unwrap();
    assert_eq!(http(cluster.platform.address(), "POST", "/control", &body).0, 200);
}

fn control_upstream(cluster: &Cluster, upstream: usize, faults: &UpstreamFaults) {
    let body = to_json(faults).unwrap();
    assert_eq!(http(cluster.upstreams[upstream].address(), "POST", "/control", &body).0, 200);
}

/// Waits until the store holds the outcome of a definite submission.
fn wait_for_outcome(cluster: &Cluster, key: &str) {
    wait_until("the outcome in the store", || {
        let (_, body) = http(cluster.platform.address(), "GET", &format!("/kv/claims/{key}"), b"");
        String::from_utf8_lossy(&body).contains("outcome")
    });
}

/// Fails when a payload was started twice.
fn assert_started_once(cluster: &Cluster) -> Vec<String> {
    let started = cluster.started_payloads();
    let mut once = started.clone();
    once.dedup();
    assert_eq!(started, once);
    started
}

/// An address of this machine on which nothing listens.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Guards against an owner that was paused in mid-job and starts tasks twice, or loses the answer, when it goes on.
#[test]
fn owner_stopped_and_continued_answers_its_job_once() {
    let cluster = Cluster::start(2, 2);
    let key = keys(&cluster.entries[0], 1).remove(0);
    let (payloads, results) = job("paused", 40, 300);
    let mut job = keyed(&key, Class::Batch, &payloads);
    let caller = send_in_thread(&cluster.entries[0], &job);
    wait_until("the first starts", || !cluster.started_payloads().is_empty());
    cluster.entries[0].signal("STOP");
    job.wait_ms = Some(100);
    // The other entry can neither start the tasks nor say that they did not run.
    let other = cluster.entries[1].address();
    let meanwhile = send(other, &job);
    assert_eq!(meanwhile.outcome, Outcome::FailedMayHaveRun, "{meanwhile:?}");
    cluster.entries[0].signal("CONT");
    let answer = caller.join().unwrap();
    assert_eq!(answer.results, results);
    job.wait_ms = Some(5000);
    wait_until("the other entry reaches the owner again", || {
        let again = send(other, &job);
        assert_ne!(again.outcome, Outcome::FailedNotRun, "{again:?}");
        again == answer
    });
    assert_eq!(assert_started_once(&cluster).len(), 40);
}

/// Guards against a process that starts what its predecessor under the same instance id may have started.
#[test]
fn owner_killed_and_restarted_under_the_same_id_starts_nothing_again() {
    let mut cluster = Cluster::start(2, 2);
    let key = keys(&cluster.entries[0], 1).remove(0);
    let (payloads, _) = job("killed", 40, 300);
    let job = Submission { wait_ms: Some(100), ..keyed(&key, Class::Batch, &payloads) };
    assert_eq!(http(cluster.entries[0].address(), "POST", "/v1/submissions", &to_json(&job).unwrap()).0, 202);
    wait_until("the first starts", || !cluster.started_payloads().is_empty());
    // The same fault twice: the successor is killed as well.
    for _ in 0..2 {
        cluster.entries[0].kill();
        cluster.entries[0] = cluster.start_entry("entry-0", &[]);
        cluster.publish_list();
        wait_ready(cluster.entries[0].address());
    }
    let started = assert_started_once(&cluster);
    assert!(send(cluster.entries[0].address(), &job).is(ResultCode::OwnerGone));
    wait_until("the other entry knows that the owner has ended", || {
        let reply = send(cluster.entries[1].address(), &job);
        assert_eq!(reply.outcome, Outcome::FailedMayHaveRun, "{reply:?}");
        reply.is(ResultCode::OwnerGone)
    });
    assert_eq!(assert_started_once(&cluster), started);
    let key = keys(&cluster.entries[0], 1).remove(0);
    let answer = send(cluster.entries[0].address(), &keyed(&key, Class::Urgent, &[payload(10, "after")]));
    assert_eq!(answer.results, ["after"]);
}

/// Guards against work that depends on the store, and against a definite start without a claim.
#[test]
fn store_outage_stops_only_definite_submissions() {
    let cluster = Cluster::start(2, 2);
    let keys = keys(&cluster.entries[0], 3);
    control_store(&cluster, &StoreControl::Down { times: None });
    for (index, entry) in cluster.entries.iter().enumerate() {
        let (payloads, results) = job(&format!("down-{index}"), 20, 50);
        assert_eq!(send(entry.address(), &keyed(&keys[index], Class::Batch, &payloads)).results, results);
    }
    let definite =
        Submission { definite: true, ..keyed(&keys[2], Class::Booking, &[payload(10, "definite")]) };
    let refused = send(cluster.entries[1].address(), &definite);
    assert_eq!(refused.outcome, Outcome::FailedNotRun, "{refused:?}");
    // The refusal is final for the key, also when the store is back.
    control_store(&cluster, &StoreControl::Clear {});
    assert_eq!(send(cluster.entries[0].address(), &definite), refused);
    assert_eq!(assert_started_once(&cluster).len(), 40);
}

/// Guards against a claim that is taken for another's, or repeated, because the store's answer to its write was lost.
#[test]
fn lost_answer_to_a_claim_is_settled() {
    let cluster = Cluster::start(1, 2);
    let keys = keys(&cluster.entries[0], 4);
    for (index, key) in keys.iter().enumerate() {
        control_store(&cluster, &StoreControl::LoseAnswer { times: Some(1) });
        let result = format!("definite-{index}");
        let definite = Submission { definite: true, ..keyed(key, Class::Booking, &[payload(10, &result)]) };
        let answer = send(cluster.entries[0].address(), &definite);
        assert_eq!(answer.results, [result], "{answer:?}");
        // The write of the outcome comes after the answer; the next fault must not hit it.
        wait_for_outcome(&cluster, key);
    }
    assert_eq!(assert_started_once(&cluster).len(), 4);
}

/// Guards against a slow store that delays work which does not need it, or a definite start before its claim.
#[test]
fn slow_store_delays_only_definite_submissions() {
    let cluster = Cluster::start(1, 1);
    let keys = keys(&cluster.entries[0], 2);
    let entry = cluster.entries[0].address();
    // Below the entry's limit for a call; a claim takes three calls.
    control_store(&cluster, &StoreControl::Slow { delay_ms: 1500, times: None });
    let definite = Submission {
        definite: true,
        wait_ms: Some(0),
        ..keyed(&keys[0], Class::Booking, &[payload(10, "slow")])
    };
    assert_eq!(http(entry, "POST", "/v1/submissions", &to_json(&definite).unwrap()).0, 202);
    let fast = payload(10, "fast");
    assert_eq!(send(entry, &keyed(&keys[1], Class::Urgent, std::slice::from_ref(&fast))).results, ["fast"]);
    assert_eq!(cluster.started_payloads(), [fast]);
    assert_eq!(send(entry, &Submission { wait_ms: None, ..definite }).results, ["slow"]);
    assert_eq!(assert_started_once(&cluster).len(), 2);
}

/// Guards against a false "not run", and against one that is never given, when the owner of definite submissions is
/// killed while the store is down.
#[test]
fn definite_submissions_of_a_killed_owner_are_settled_by_their_claims() {
    let mut cluster = Cluster::start(2, 1);
    let keys = keys(&cluster.entries[0], 3);
    let definite = |index: usize, run_ms| {
        let payloads = [payload(run_ms, &format!("definite-{index}"))];
        Submission { definite: true, ..keyed(&keys[index], Class::Booking, &payloads) }
    };
    let owner = cluster.entries[0].address();
    assert_eq!(send(owner, &definite(0, 10)).results, ["definite-0"]);
    wait_for_outcome(&cluster, &keys[0]);
    let running = Submission { wait_ms: Some(0), ..definite(1, 2000) };
    assert_eq!(http(owner, "POST", "/v1/submissions", &to_json(&running).unwrap()).0, 202);
    wait_until("the second start", || cluster.started_payloads().len() == 2);
    control_store(&cluster, &StoreControl::Down { times: None });
    cluster.entries[0].kill();
    let other = cluster.entries[1].address();
    for (index, run_ms) in [(0, 10), (1, 2000), (2, 10)] {
        let reply = send(other, &definite(index, run_ms));
        assert_eq!(reply.outcome, Outcome::FailedMayHaveRun, "{reply:?}");
    }
    control_store(&cluster, &StoreControl::Clear {});
    cluster.entries[0] = cluster.start_entry("entry-0", &[]);
    cluster.publish_list();
    wait_ready(cluster.entries[0].address());
    let settled = [ResultCode::AnswerEvicted, ResultCode::OwnerGone, ResultCode::OwnerGoneNotRun];
    for entry in &cluster.entries {
        for (index, (run_ms, code)) in [10, 2000, 10].into_iter().zip(settled).enumerate() {
            wait_until("settlement", || {
                let reply = send(entry.address(), &definite(index, run_ms));
                // Only the submission that never reached its owner may be said not to have run.
                assert!(index == 2 || reply.outcome != Outcome::FailedNotRun, "{reply:?}");
                reply.is(code)
            });
        }
    }
    assert_eq!(assert_started_once(&cluster).len(), 2);
}

/// Guards against a second run, or a wrong or partial result, when an upstream dies in mid-task or its answer is
/// meant for another task or cut short.
#[test]
fn upstream_faults_fail_the_request_and_repeat_nothing() {
    let cluster = Cluster::start(1, 1);
    let keys = keys(&cluster.entries[0], 6);
    let entry = cluster.entries[0].address();
    let once = UpstreamFaults { times: Some(1), ..UpstreamFaults::default() };
    let faults = [
        UpstreamFaults { die: true, ..once },
        UpstreamFaults { crossed_answer: true, ..once },
        UpstreamFaults { truncated_answer: true, ..once },
    ];
    for (index, fault) in faults.iter().enumerate() {
        control_upstream(&cluster, 0, fault);
        let request = keyed(&keys[index], Class::Booking, &[payload(50, &format!("fault-{index}"))]);
        let answer = send(entry, &request);
        assert!(answer.is(ResultCode::TaskLost), "{fault:?} {answer:?}");
        assert_eq!(answer.results, [""; 0]);
        assert_eq!(send(entry, &request), answer);
    }
    // One lost task fails its whole job.
    control_upstream(&cluster, 0, &faults[1]);
    let (payloads, _) = job("job", 5, 50);
    let answer = send(entry, &keyed(&keys[3], Class::Batch, &payloads));
    assert!(answer.is(ResultCode::TaskLost), "{answer:?}");
    assert_eq!(answer.results, [""; 0]);
    assert_started_once(&cluster);
}

/// Guards against starts on an upstream that the list shows as leaving, 3 s after the list says so.
#[test]
fn listed_leaving_upstream_gets_no_new_work() {
    let cluster = Cluster::start(2, 2);
    let keys = keys(&cluster.entries[0], 60);
    let published = Instant::now();
    cluster.publish_list_with_leaving(Some(0));
    for entry in &cluster.entries {
        wait_until("the entry knows that the upstream leaves", || {
            let (_, body) = http(entry.peer_address(), "GET", "/admin/v1/upstreams", b"");
            let reply: UpstreamsReply = from_json(&body).unwrap();
            reply.upstreams.iter().any(|upstream| upstream.id == "up-0" && upstream.health == "leaving")
        });
    }
    assert!(published.elapsed() < LEAVING_LIMIT);
    for (index, key) in keys.iter().enumerate() {
        let entry = cluster.entries[index % 2].address();
        let answer = send(entry, &keyed(key, Class::Urgent, &[payload(10, &format!("r{index}"))]));
        assert_eq!(answer.results, [format!("r{index}")], "{answer:?}");
    }
    let leaving = cluster.starts_at(0);
    assert_eq!((leaving.total, leaving.refused), (0, 0));
}

/// Guards against starts on an upstream that refuses as leaving while the list still shows it live, and against a
/// refused request that fails.
#[test]
fn refusing_upstream_is_asked_once_by_each_entry() {
    let cluster = Cluster::start(2, 2);
    let keys = keys(&cluster.entries[0], 30);
    control_upstream(&cluster, 0, &UpstreamFaults { leave: true, ..UpstreamFaults::default() });
    for (index, key) in keys.iter().enumerate() {
        let answer = send(
            cluster.entries[1].address(),
            &keyed(key, Class::Urgent, &[payload(10, &format!("r{index}"))]),
        );
        assert_eq!(answer.results, [format!("r{index}")], "{answer:?}");
    }
    let leaving = cluster.starts_at(0);
    assert_eq!(leaving.total, 0);
    assert!(leaving.refused <= 2, "{} refusals", leaving.refused);
}

/// How a request to an entry that stops may end.
#[derive(Debug)]
enum Ended {
    Answered(Reply),
    /// The connection was never made or was reset before the entry took the request.
    NotTaken,
}

/// Sends a submission; unlike `http`, tells a missing answer from a present one.
fn send_to_stopping(entry: SocketAddr, submission: &Submission) -> Ended {
    let body = to_json(submission).unwrap();
    let mut response = Vec::new();
    let mut exchange = || -> std::io::Result<()> {
        let mut stream = TcpStream::connect(entry)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        let head = format!(
            "POST /v1/submissions HTTP/1.1\r\nhost: {entry}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(&body)?;
        stream.read_to_end(&mut response)?;
        Ok(())
    };
    let _ = exchange();
    let Some(split) = response.windows(4).position(|window| window == b"\r\n\r\n") else {
        assert!(response.is_empty(), "an answer was cut off");
        return Ended::NotTaken;
    };
    Ended::Answered(from_json(&response[split + 4..]).unwrap())
}

/// Guards against a planned stop that cuts off a request which it has started, while callers go on submitting.
#[test]
fn planned_stop_under_load_answers_every_started_request() {
    let mut cluster = Cluster::start(2, 2);
    let (address, stopped) = (cluster.entries[0].address(), Arc::new(AtomicBool::new(false)));
    let callers: Vec<_> = (0..6)
        .map(|caller| {
            let (keys, stopped) = (keys(&cluster.entries[0], 1000), stopped.clone());
            std::thread::spawn(move || {
                let mut complete = Vec::new();
                for (index, key) in keys.iter().enumerate() {
                    if stopped.load(Ordering::Relaxed) {
                        break;
                    }
                    let text = format!("c{caller}-{index}");
                    let payload = payload(60, &text);
                    match send_to_stopping(
                        address,
                        &keyed(key, Class::Urgent, std::slice::from_ref(&payload)),
                    ) {
                        Ended::Answered(reply) if reply.outcome == Outcome::Complete => {
                            assert_eq!(reply.results, [text]);
                            complete.push(payload);
                        }
                        Ended::Answered(reply) => {
                            assert_eq!(reply.outcome, Outcome::FailedNotRun, "{reply:?}")
                        }
                        Ended::NotTaken => {}
                    }
                }
                complete
            })
        })
        .collect();
    wait_until("load", || cluster.started_payloads().len() > 50);
    cluster.entries[0].signal("TERM");
    assert_eq!(cluster.entries[0].wait(), 0);
    stopped.store(true, Ordering::Relaxed);
    let mut complete: Vec<String> = callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect();
    complete.sort();
    assert_eq!(assert_started_once(&cluster), complete);
}

/// Guards against a planned stop that cuts off a request which the entry has forwarded to the owner of its key.
#[test]
fn planned_stop_waits_for_forwarded_requests() {
    let mut cluster = Cluster::start(2, 2);
    let key = keys(&cluster.entries[0], 1).remove(0);
    let slow = keyed(&key, Class::Booking, &[payload(4000, "forwarded")]);
    let caller = send_in_thread(&cluster.entries[1], &slow);
    wait_until("the start", || !cluster.started_payloads().is_empty());
    cluster.entries[1].signal("TERM");
    assert_eq!(caller.join().unwrap().results, ["forwarded"]);
    assert_eq!(cluster.entries[1].wait(), 0);
}

/// Guards against a planned stop that drops work whose caller asks for the answer later.
#[test]
fn planned_stop_finishes_work_without_a_waiting_caller() {
    let mut cluster = Cluster::start(2, 1);
    let key = keys(&cluster.entries[0], 1).remove(0);
    let (payloads, _) = job("unattended", 30, 200);
    let job = Submission { wait_ms: Some(0), ..keyed(&key, Class::Batch, &payloads) };
    let body = to_json(&job).unwrap();
    assert_eq!(http(cluster.entries[0].address(), "POST", "/v1/submissions", &body).0, 202);
    cluster.entries[0].signal("TERM");
    // Status 0 says that nothing was lost.
    assert_eq!(cluster.entries[0].wait(), 0);
    assert_eq!(assert_started_once(&cluster).len(), 30);
}

/// Guards against a planned stop that cannot be cut short, or that hides what it lost.
#[test]
fn second_signal_ends_a_drain() {
    let mut cluster = Cluster::start(1, 1);
    let key = keys(&cluster.entries[0], 1).remove(0);
    let slow = Submission { wait_ms: Some(100), ..keyed(&key, Class::Booking, &[payload(25_000, "slow")]) };
    let address = cluster.entries[0].address();
    assert_eq!(http(address, "POST", "/v1/submissions", &to_json(&slow).unwrap()).0, 202);
    wait_until("the start", || !cluster.started_payloads().is_empty());
    cluster.entries[0].signal("TERM");
    wait_until("draining", || {
        try_http(address, "GET", "/readyz", b"").is_some_and(|(status, _)| status == 503)
    });
    cluster.entries[0].signal("TERM");
    // Status 1 says that work was lost.
    assert_eq!(cluster.entries[0].wait(), 1);
}

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

/// Guards against a change that is lost, or applied without the loser's knowledge, when two operators race.
#[test]
fn racing_operators_get_one_conflict_and_lose_no_change() {
    let cluster = Cluster::start(2, 1);
    let entries = [cluster.entries[0].peer_address(), cluster.entries[1].peer_address()];
    let base = config(entries[0]).revision;
    let requests = [change("op-a", "max_attempts", 2, base), change("op-b", "busy_backoff_ms", 77, base)];
    let barrier = Arc::new(Barrier::new(2));
    let racers: Vec<_> = entries
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
    let replies: Vec<_> = racers.into_iter().map(|racer| racer.join().unwrap()).collect();
    let loser = replies.iter().position(|(status, _)| *status == 409).unwrap();
    assert_eq!(replies[1 - loser].0, 200);
    let conflict: ConflictReply = from_json(&replies[loser].1).unwrap();
    assert_eq!(conflict.last_operation.unwrap().operation_id, requests[1 - loser].operation_id);
    // The loser repeats its change on top; a repetition of the winner's operation changes nothing.
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
/// goes back to an older revision.
#[test]
fn configuration_reaches_an_entry_without_store_through_its_peers() {
    let mut cluster = Cluster::start(2, 1);
    let cut_off = cluster.start_entry_at_store("entry-2", unused_address(), &[]);
    cluster.entries.push(cut_off);
    cluster.publish_list();
    let cut_off = cluster.entries[2].peer_address();
    wait_ready(cluster.entries[2].address());
    let mut last = 0;
    for round in 0..3 {
        let base = config(cluster.entries[0].peer_address()).revision;
        let request = change(&format!("op-{round}"), "busy_backoff_ms", 60 + round, base);
        let (status, body) = post_change(cluster.entries[0].peer_address(), &request);
        assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
        let changed = Instant::now();
        let revision = from_json::<ChangeReply>(&body).unwrap().revision;
        wait_until("the change", || {
            let config = config(cut_off);
            assert!(config.revision >= last, "{} after {last}", config.revision);
            last = config.revision;
            default_of(&config, "busy_backoff_ms") == Some(SettingValue::Number(60 + round))
        });
        assert!(changed.elapsed() < CONFIG_LIMIT);
        assert!(last >= revision);
    }
}
