//! Failures of real processes: suspended and killed owners, store outages and upstream faults.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod support;

use std::time::Duration;

use celeryhinge::wire::{Class, Outcome, ResultCode, Submission, UpstreamsReply, from_json, to_json};
use hinge_fakes::{StoreControl, UpstreamFaults};
use support::requests::{
    assert_started_once, job, keyed, keys, send, send_in_thread, set_store_faults, set_upstream_faults,
    wait_for_stored_outcome,
};
use support::{Cluster, http, payload, wait_ready, wait_until};
use tokio::time::Instant;

/// Required time until an upstream that is listed as leaving gets no more work.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(3);

/// Guards against an owner that starts tasks twice, or loses the answer, after it was suspended in the middle of a job.
#[test]
fn suspended_owner_answers_its_job_once() {
    let cluster = Cluster::start(2, 2);
    let key = keys(&cluster.entries[0], 1).remove(0);
    let (payloads, results) = job("paused", 40, 300);
    let mut job = keyed(&key, Class::Batch, &payloads);
    let caller = send_in_thread(&cluster.entries[0], &job);
    wait_until("the first starts", || !cluster.started_payloads().is_empty());
    cluster.entries[0].signal("STOP");
    job.wait_ms = Some(100);
    // The other entry must neither start the tasks nor report that they did not run.
    let other = cluster.entries[1].address();
    let meanwhile = send(other, &job);
    assert_eq!(meanwhile.outcome, Outcome::FailedMayHaveRun, "{meanwhile:?}");
    cluster.entries[0].signal("CONT");
    let answer = caller.join().unwrap();
    assert_eq!(answer.results, results);
    job.wait_ms = Some(5000);
    wait_until("the other entry to reach the owner again", || {
        let again = send(other, &job);
        assert_ne!(again.outcome, Outcome::FailedNotRun, "{again:?}");
        again == answer
    });
    assert_eq!(assert_started_once(&cluster).len(), 40);
}

/// Guards against a restarted process that starts tasks which the previous process with its instance id may have
/// started.
#[test]
fn restarted_owner_repeats_no_starts() {
    let mut cluster = Cluster::start(2, 2);
    let key = keys(&cluster.entries[0], 1).remove(0);
    let (payloads, _) = job("killed", 40, 300);
    let job = Submission { wait_ms: Some(100), ..keyed(&key, Class::Batch, &payloads) };
    assert_eq!(http(cluster.entries[0].address(), "POST", "/v1/submissions", &to_json(&job).unwrap()).0, 202);
    wait_until("the first starts", || !cluster.started_payloads().is_empty());
    // The restarted process is killed as well.
    for _ in 0..2 {
        cluster.entries[0].kill();
        cluster.entries[0] = cluster.start_entry("entry-0", &[]);
        cluster.publish_list();
        wait_ready(cluster.entries[0].address());
    }
    let started = assert_started_once(&cluster);
    assert!(send(cluster.entries[0].address(), &job).has_code(ResultCode::OwnerGone));
    wait_until("the other entry to learn that the owner has ended", || {
        let reply = send(cluster.entries[1].address(), &job);
        assert_eq!(reply.outcome, Outcome::FailedMayHaveRun, "{reply:?}");
        reply.has_code(ResultCode::OwnerGone)
    });
    assert_eq!(assert_started_once(&cluster), started);
    let key = keys(&cluster.entries[0], 1).remove(0);
    let answer = send(cluster.entries[0].address(), &keyed(&key, Class::Urgent, &[payload(10, "after")]));
    assert_eq!(answer.results, ["after"]);
}

/// Guards against submissions that fail without the store although they are not definite, and against a definite
/// submission that starts without a claim.
#[test]
fn store_outage_stops_only_definite_submissions() {
    let cluster = Cluster::start(2, 2);
    let keys = keys(&cluster.entries[0], 3);
    set_store_faults(&cluster, &StoreControl::Down { times: None });
    for (index, entry) in cluster.entries.iter().enumerate() {
        let (payloads, results) = job(&format!("down-{index}"), 20, 50);
        assert_eq!(send(entry.address(), &keyed(&keys[index], Class::Batch, &payloads)).results, results);
    }
    let definite =
        Submission { definite: true, ..keyed(&keys[2], Class::Booking, &[payload(10, "definite")]) };
    let rejection = send(cluster.entries[1].address(), &definite);
    assert_eq!(rejection.outcome, Outcome::FailedNotRun, "{rejection:?}");
    // The rejection is final for the key, even when the store is available again.
    set_store_faults(&cluster, &StoreControl::Clear {});
    assert_eq!(send(cluster.entries[0].address(), &definite), rejection);
    assert_eq!(assert_started_once(&cluster).len(), 40);
}

/// Guards against a claim that is taken for that of another process, or written again, because the store's reply to the
/// write was lost.
#[test]
fn lost_reply_to_a_claim_is_resolved() {
    let cluster = Cluster::start(1, 2);
    let keys = keys(&cluster.entries[0], 4);
    for (index, key) in keys.iter().enumerate() {
        set_store_faults(&cluster, &StoreControl::LoseAnswer { times: Some(1) });
        let result = format!("definite-{index}");
        let definite = Submission { definite: true, ..keyed(key, Class::Booking, &[payload(10, &result)]) };
        let answer = send(cluster.entries[0].address(), &definite);
        assert_eq!(answer.results, [result], "{answer:?}");
        // The outcome is written after the answer is sent; the next fault must not affect this write.
        wait_for_stored_outcome(&cluster, key);
    }
    assert_eq!(assert_started_once(&cluster).len(), 4);
}

/// Guards against a slow store that delays submissions which do not need it, and against a definite submission that
/// starts before its claim is written.
#[test]
fn slow_store_delays_only_definite_submissions() {
    let cluster = Cluster::start(1, 1);
    let keys = keys(&cluster.entries[0], 2);
    let entry = cluster.entries[0].address();
    // Below the entry's timeout for a store call; a claim takes three calls.
    set_store_faults(&cluster, &StoreControl::Slow { delay_ms: 1500, times: None });
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

/// Guards against a false or missing "not run" for definite submissions whose owner is killed while the store is down.
#[test]
fn claims_decide_definite_submissions_of_a_killed_owner() {
    let mut cluster = Cluster::start(2, 1);
    let keys = keys(&cluster.entries[0], 3);
    let definite = |index: usize, run_ms| {
        let payloads = [payload(run_ms, &format!("definite-{index}"))];
        Submission { definite: true, ..keyed(&keys[index], Class::Booking, &payloads) }
    };
    let owner = cluster.entries[0].address();
    assert_eq!(send(owner, &definite(0, 10)).results, ["definite-0"]);
    wait_for_stored_outcome(&cluster, &keys[0]);
    let running = Submission { wait_ms: Some(0), ..definite(1, 2000) };
    assert_eq!(http(owner, "POST", "/v1/submissions", &to_json(&running).unwrap()).0, 202);
    wait_until("the second start", || cluster.started_payloads().len() == 2);
    set_store_faults(&cluster, &StoreControl::Down { times: None });
    cluster.entries[0].kill();
    let other = cluster.entries[1].address();
    for (index, run_ms) in [(0, 10), (1, 2000), (2, 10)] {
        let reply = send(other, &definite(index, run_ms));
        assert_eq!(reply.outcome, Outcome::FailedMayHaveRun, "{reply:?}");
    }
    set_store_faults(&cluster, &StoreControl::Clear {});
    cluster.entries[0] = cluster.start_entry("entry-0", &[]);
    cluster.publish_list();
    wait_ready(cluster.entries[0].address());
    let settled = [ResultCode::AnswerEvicted, ResultCode::OwnerGone, ResultCode::OwnerGoneNotRun];
    for entry in &cluster.entries {
        for (index, (run_ms, code)) in [10, 2000, 10].into_iter().zip(settled).enumerate() {
            wait_until("settlement", || {
                let reply = send(entry.address(), &definite(index, run_ms));
                // Only the submission that never reached its owner may be reported as not run.
                assert!(index == 2 || reply.outcome != Outcome::FailedNotRun, "{reply:?}");
                reply.has_code(code)
            });
        }
    }
    assert_eq!(assert_started_once(&cluster).len(), 2);
}

/// Guards against a second run, or a wrong or partial result, when an upstream dies while it runs a task, or its
/// response belongs to another task or is truncated.
#[test]
fn upstream_faults_fail_the_request_without_a_retry() {
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
        set_upstream_faults(&cluster, 0, fault);
        let request = keyed(&keys[index], Class::Booking, &[payload(50, &format!("fault-{index}"))]);
        let answer = send(entry, &request);
        assert!(answer.has_code(ResultCode::TaskLost), "{fault:?} {answer:?}");
        assert_eq!(answer.results, [""; 0]);
        assert_eq!(send(entry, &request), answer);
    }
    // One lost task fails the whole job.
    set_upstream_faults(&cluster, 0, &faults[1]);
    let (payloads, _) = job("job", 5, 50);
    let answer = send(entry, &keyed(&keys[3], Class::Batch, &payloads));
    assert!(answer.has_code(ResultCode::TaskLost), "{answer:?}");
    assert_eq!(answer.results, [""; 0]);
    assert_started_once(&cluster);
}

/// Guards against starts on an upstream later than 3 s after the list shows it as leaving.
#[test]
fn listed_leaving_upstream_gets_no_new_work() {
    let cluster = Cluster::start(2, 2);
    let keys = keys(&cluster.entries[0], 60);
    let published_at = Instant::now();
    cluster.publish_list_with_leaving(Some(0));
    for entry in &cluster.entries {
        wait_until("the entry to learn that the upstream is leaving", || {
            let (_, body) = http(entry.peer_address(), "GET", "/admin/v1/upstreams", b"");
            let reply: UpstreamsReply = from_json(&body).unwrap();
            reply.upstreams.iter().any(|upstream| upstream.id == "up-0" && upstream.health == "leaving")
        });
    }
    assert!(published_at.elapsed() < MAX_LEAVING_DELAY);
    for (index, key) in keys.iter().enumerate() {
        let entry = cluster.entries[index % 2].address();
        let answer = send(entry, &keyed(key, Class::Urgent, &[payload(10, &format!("r{index}"))]));
        assert_eq!(answer.results, [format!("r{index}")], "{answer:?}");
    }
    let leaving = cluster.starts_at(0);
    assert_eq!((leaving.total, leaving.refused), (0, 0));
}

/// Guards against repeated starts on an upstream that refuses them because it is leaving, while the list still shows it
/// as live, and against a submission that fails because of such a refusal.
#[test]
fn refusing_upstream_is_tried_once_by_each_entry() {
    let cluster = Cluster::start(2, 2);
    let keys = keys(&cluster.entries[0], 30);
    set_upstream_faults(&cluster, 0, &UpstreamFaults { leave: true, ..UpstreamFaults::default() });
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
