//! Submissions and planned stops through real processes.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod support;

use celeryhinge::wire::{Answer, Class, KeysReply, Outcome, from_json, to_json};
use support::{Cluster, http, payload, submission, try_http, wait_until};

fn keys(cluster: &Cluster, entry: usize, count: u32) -> Vec<String> {
    let body = format!(r#"{{"count": {count}}}"#);
    let (status, body) = http(cluster.entries[entry].address(), "POST", "/v1/keys", body.as_bytes());
    assert_eq!(status, 200);
    from_json::<KeysReply>(&body).unwrap().keys
}

fn submit(cluster: &Cluster, entry: usize, key: &str, class: Class, payloads: &[String]) -> Answer {
    let mut submission = submission(class, payloads);
    submission.key = Some(key.to_owned());
    let body = to_json(&submission).unwrap();
    let (status, body) = http(cluster.entries[entry].address(), "POST", "/v1/submissions", &body);
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
    from_json(&body).unwrap()
}

fn job(name: &str, tasks: usize) -> (Vec<String>, Vec<String>) {
    let results: Vec<String> = (0..tasks).map(|index| format!("{name}-{index}")).collect();
    let payloads = results.iter().map(|result| payload(50, result)).collect();
    (payloads, results)
}

/// Guards against a step between submission and answer that works only inside one process.
#[test]
fn requests_and_jobs_get_complete_answers_from_any_entry() {
    let cluster = Cluster::start(3, 4);
    let keys = keys(&cluster, 0, 10);
    for (index, key) in keys[..6].iter().enumerate() {
        let answer = submit(&cluster, index % 3, key, Class::Urgent, &[payload(10, &format!("r{index}"))]);
        assert_eq!(answer.outcome, Outcome::Complete);
        assert_eq!(answer.results, [format!("r{index}")]);
        assert_eq!(answer.key, *key);
    }
    let (payloads, results) = job("job", 110);
    let answer = submit(&cluster, 1, &keys[6], Class::Batch, &payloads);
    assert_eq!(answer.results, results);
    // A resubmission through another entry gets the same answer and starts no task.
    let again = submit(&cluster, 2, &keys[6], Class::Batch, &payloads);
    assert_eq!(again, answer);
    assert_eq!(cluster.started_payloads().len(), 116);
}

/// Guards against a killed entry that stops the others, and against entries that start submissions which it owned.
#[test]
fn other_entries_keep_serving_after_one_is_killed() {
    let mut cluster = Cluster::start(3, 4);
    let lost_keys = keys(&cluster, 0, 1);
    let kept_keys = keys(&cluster, 1, 4);
    cluster.entries[0].kill();
    for (index, key) in kept_keys.iter().enumerate() {
        let (payloads, results) = job(&format!("kept-{index}"), 20);
        let answer = submit(&cluster, 1 + index % 2, key, Class::Batch, &payloads);
        assert_eq!(answer.results, results);
    }
    let mut lost = submission(Class::Booking, &[payload(10, "lost")]);
    lost.key = Some(lost_keys[0].clone());
    let body = to_json(&lost).unwrap();
    let (status, _) = http(cluster.entries[1].address(), "POST", "/v1/submissions", &body);
    // The owner cannot be reached, and no other entry may start the task.
    assert_eq!(status, 504);
    assert_eq!(cluster.started_payloads().len(), 80);
}

/// Guards against a planned stop that drops accepted requests.
#[test]
fn planned_stop_finishes_accepted_requests() {
    let mut cluster = Cluster::start(2, 2);
    let keys = keys(&cluster, 0, 1);
    let address = cluster.entries[0].address();
    let mut slow = submission(Class::Booking, &[payload(1500, "slow")]);
    slow.key = Some(keys[0].clone());
    let body = to_json(&slow).unwrap();
    let caller = std::thread::spawn(move || http(address, "POST", "/v1/submissions", &body));
    wait_until("the start", || !cluster.started_payloads().is_empty());
    cluster.entries[0].signal("TERM");
    wait_until("draining", || {
        try_http(address, "GET", "/readyz", b"").is_none_or(|(status, _)| status == 503)
    });
    let (status, body) = caller.join().unwrap();
    assert_eq!(status, 200);
    assert_eq!(from_json::<Answer>(&body).unwrap().results, ["slow"]);
    assert_eq!(cluster.entries[0].wait(), 0);
}

/// Starts a task of 1.5 s through the first entry and waits until it runs.
fn start_slow_task(cluster: &Cluster) -> std::thread::JoinHandle<Option<(u16, Vec<u8>)>> {
    let address = cluster.entries[0].address();
    let body = to_json(&submission(Class::Booking, &[payload(1500, "slow")])).unwrap();
    let caller = std::thread::spawn(move || try_http(address, "POST", "/v1/submissions", &body));
    wait_until("the start", || !cluster.started_payloads().is_empty() || caller.is_finished());
    if cluster.started_payloads().is_empty() {
        panic!("answered before the start: {:?}", caller.join().unwrap());
    }
    caller
}

fn wait_draining(cluster: &Cluster) {
    let address = cluster.entries[0].address();
    wait_until("draining", || {
        try_http(address, "GET", "/readyz", b"").is_none_or(|(status, _)| status == 503)
    });
}

/// Guards against a drain requested by an operator that ends early because the platform sends its usual signal to stop.
#[test]
fn first_signal_does_not_interrupt_a_requested_drain() {
    let mut cluster = Cluster::start(2, 2);
    let caller = start_slow_task(&cluster);
    let body = br#"{"instance": "entry-0"}"#;
    let (status, _) = http(cluster.entries[0].peer_address(), "POST", "/admin/v1/drain", body);
    assert_eq!(status, 200);
    wait_draining(&cluster);
    cluster.entries[0].signal("TERM");
    let (status, body) = caller.join().unwrap().unwrap();
    assert_eq!(status, 200);
    assert_eq!(from_json::<Answer>(&body).unwrap().results, ["slow"]);
    assert_eq!(cluster.entries[0].wait(), 0);
}

/// Guards against a process that finishes its work before it ends on a second signal.
#[test]
fn second_signal_ends_the_process() {
    let mut cluster = Cluster::start(1, 2);
    let caller = start_slow_task(&cluster);
    cluster.entries[0].signal("TERM");
    wait_draining(&cluster);
    cluster.entries[0].signal("TERM");
    // Status 1 means that work was lost.
    assert_eq!(cluster.entries[0].wait(), 1);
    assert!(caller.join().unwrap().is_none());
}
