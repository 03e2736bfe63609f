//! Requests to entries, and fault injection into the fake platform and upstreams.

use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

use celeryhinge::wire::{Class, KeysReply, Outcome, ResultCode, Submission, from_json, to_json};
use hinge_fakes::{StoreControl, UpstreamFaults};
use serde::Deserialize;

use super::{Cluster, Process, http, payload, submission, wait_until};

/// The fields that tests check of an answer or an error reply.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub(crate) struct Reply {
    pub(crate) code: u16,
    pub(crate) outcome: Outcome,
    #[serde(default)]
    pub(crate) results: Vec<String>,
}

impl Reply {
    pub(crate) fn has_code(&self, code: ResultCode) -> bool {
        self.code == code.number()
    }
}

/// Fetches submission keys from an entry.
pub(crate) fn keys(entry: &Process, count: u32) -> Vec<String> {
    let (status, body) =
        http(entry.address(), "POST", "/v1/keys", format!(r#"{{"count": {count}}}"#).as_bytes());
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
    from_json::<KeysReply>(&body).unwrap().keys
}

pub(crate) fn keyed(key: &str, class: Class, payloads: &[String]) -> Submission {
    Submission { key: Some(key.to_owned()), ..submission(class, payloads) }
}

pub(crate) fn send(entry: SocketAddr, submission: &Submission) -> Reply {
    let (_, body) = http(entry, "POST", "/v1/submissions", &to_json(submission).unwrap());
    from_json(&body).unwrap_or_else(|error| panic!("{error}: {}", String::from_utf8_lossy(&body)))
}

pub(crate) fn send_in_thread(entry: &Process, submission: &Submission) -> JoinHandle<Reply> {
    let (entry, submission) = (entry.address(), submission.clone());
    std::thread::spawn(move || send(entry, &submission))
}

/// Payloads and expected results of a job.
pub(crate) fn job(name: &str, tasks: usize, run_ms: u64) -> (Vec<String>, Vec<String>) {
    let results: Vec<String> = (0..tasks).map(|index| format!("{name}-{index}")).collect();
    (results.iter().map(|result| payload(run_ms, result)).collect(), results)
}

pub(crate) fn set_store_faults(cluster: &Cluster, control: &StoreControl) {
    let body = to_json(control).unwrap();
    assert_eq!(http(cluster.platform.address(), "POST", "/control", &body).0, 200);
}

pub(crate) fn set_upstream_faults(cluster: &Cluster, upstream: usize, faults: &UpstreamFaults) {
    let body = to_json(faults).unwrap();
    assert_eq!(http(cluster.upstreams[upstream].address(), "POST", "/control", &body).0, 200);
}

/// Waits until the store holds the outcome of a definite submission.
pub(crate) fn wait_for_stored_outcome(cluster: &Cluster, key: &str) {
    wait_until("the outcome in the store", || {
        let (_, body) = http(cluster.platform.address(), "GET", &format!("/kv/claims/{key}"), b"");
        String::from_utf8_lossy(&body).contains("outcome")
    });
}

/// Asserts that no payload was started twice, and returns the payloads started.
pub(crate) fn assert_started_once(cluster: &Cluster) -> Vec<String> {
    let started = cluster.started_payloads();
    let mut unique = started.clone();
    unique.dedup();
    assert_eq!(started, unique);
    started
}

/// An address of this machine on which nothing listens.
pub(crate) fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}
