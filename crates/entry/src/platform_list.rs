//! The platform's list of instances: fetch, check, application.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hinge_dispatch::Event;
use hinge_wire::{FastSet, InstanceKind, InstanceList, ListEntry, LogEvent, from_json, is_valid_id};
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::loops::jittered;
use crate::shared::{Shared, UpstreamAddresses, lock};
use crate::upstreams::with_body;

/// Time that a request for a new list version is held open by the platform.
const LIST_WAIT: Duration = Duration::from_secs(10);
/// First and longest wait after the list did not answer.
const LIST_BACKOFF: Duration = Duration::from_millis(200);
const LIST_BACKOFF_LIMIT: Duration = Duration::from_secs(5);
/// Least time between requests, so that a list that answers at once does not busy the process.
const LIST_PAUSE: Duration = Duration::from_millis(50);
/// Largest list body. An entry takes about 250 bytes, so that this holds the design's 1,800 workers thirty times.
const MAX_LIST_BYTES: usize = 16 << 20;
/// Most entries of a list that are used.
const MAX_LIST_ENTRIES: usize = 32_768;

#[derive(Serialize)]
struct NoDetails {}

/// Keeps the platform's list in force, with one waiting call at a time.
pub(crate) async fn follow(shared: Arc<Shared>, address: SocketAddr) {
    let mut version = None;
    let mut backoff = LIST_BACKOFF;
    loop {
        match fetch(&shared, address, version).await {
            Some(answer) => {
                backoff = LIST_BACKOFF;
                if let Some(list) = answer.filter(|list| version != Some(list.version)) {
                    version = Some(list.version);
                    apply(&shared, list);
                }
                sleep(LIST_PAUSE).await;
            }
            None => {
                hinge_obs::emit(LogEvent::ListUnreachable, &NoDetails {});
                shared.metrics.count("list_failures", 1);
                sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(LIST_BACKOFF_LIMIT);
            }
        }
    }
}

/// The list after `version`, `Some(None)` when it has not changed, or `None` when it cannot be had.
async fn fetch(shared: &Shared, address: SocketAddr, version: Option<u64>) -> Option<Option<InstanceList>> {
    // The first list must not wait for a change: a platform without changes so far has version 0 too.
    let wait_ms = LIST_WAIT.as_millis();
    let query = version.map(|version| format!("?after={version}&wait_ms={wait_ms}")).unwrap_or_default();
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("/instances{query}"))
        .header(HOST, address.to_string());
    let time = LIST_WAIT + shared.settings.peer_timeout;
    let request = with_body(request, Bytes::new())?;
    let response = shared.connections.send(address, request, time, MAX_LIST_BYTES).await.ok()?;
    if response.status() == StatusCode::NO_CONTENT {
        return Some(None);
    }
    if !response.status().is_success() {
        return None;
    }
    from_json(response.body()).ok().map(Some)
}

fn apply(shared: &Arc<Shared>, mut list: InstanceList) {
    let received = list.entries.len();
    keep_usable(&mut list.entries);
    shared.metrics.count("list_entries_dropped", (received - list.entries.len()) as u64);
    lock(&shared.members).set_list(Instant::now(), &list);
    list.entries
        .retain(|entry| entry.kind == InstanceKind::Upstream && *entry.data_centre == *shared.data_centre);
    let addresses: UpstreamAddresses = list
        .entries
        .iter()
        .filter_map(|entry| Some((entry.id.as_str().into(), entry.address.parse().ok()?)))
        .collect();
    *lock(&shared.addresses) = addresses;
    shared.report(Event::Upstreams(list.entries));
}

/// Drops entries that cannot be used, and all but the first of those with the same kind and id.
fn keep_usable(entries: &mut Vec<ListEntry>) {
    entries.truncate(MAX_LIST_ENTRIES);
    let mut seen = FastSet::default();
    entries.retain(|entry| is_usable(entry) && seen.insert((entry.kind, entry.id.clone())));
}

fn is_usable(entry: &ListEntry) -> bool {
    let is_address = |text: &str| text.parse::<SocketAddr>().is_ok_and(|address| address.port() != 0);
    let is_reachable = match entry.kind {
        InstanceKind::Entry => is_address(&entry.peer_address),
        InstanceKind::Upstream => is_address(&entry.address) && is_valid_id(&entry.service),
    };
    is_reachable && is_valid_id(&entry.id) && is_valid_id(&entry.data_centre)
}
