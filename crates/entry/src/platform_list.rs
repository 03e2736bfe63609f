//! Fetches, validates and applies the platform's list of instances.

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

use crate::lock::lock;
use crate::loops::jittered;
use crate::shared::{Shared, UpstreamAddresses};
use crate::upstreams::with_body;

/// Time for which the platform may hold a long poll for a new list version open.
const LIST_POLL_TIMEOUT: Duration = Duration::from_secs(10);
/// Initial delay after a failed request; it doubles with each further failure.
const LIST_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum delay after a failed request.
const MAX_LIST_BACKOFF: Duration = Duration::from_secs(5);
/// Delay after a successful request, so that a platform that responds at once does not cause a busy loop.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a list. At about 250 bytes per list entry, this suffices for thirty times the 1,800 workers of the
/// design.
const MAX_LIST_BYTES: usize = 16 << 20;
/// Maximum number of list entries that are used; further ones are dropped.
const MAX_LIST_ENTRIES: usize = 32_768;

#[derive(Serialize)]
struct NoDetails {}

/// Follows the platform's list with one long poll at a time and applies each new version.
pub(crate) async fn follow(shared: Arc<Shared>, address: SocketAddr) {
    let mut version = None;
    let mut backoff = LIST_BACKOFF;
    loop {
        match fetch(&shared, address, version).await {
            Some(changed) => {
                backoff = LIST_BACKOFF;
                if let Some(list) = changed.filter(|list| version != Some(list.version)) {
                    version = Some(list.version);
                    apply(&shared, list);
                }
                sleep(MIN_LIST_INTERVAL).await;
            }
            None => {
                hinge_obs::emit(LogEvent::ListUnreachable, &NoDetails {});
                shared.metrics.count("list_failures", 1);
                sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(MAX_LIST_BACKOFF);
            }
        }
    }
}

/// Fetches the list that follows `version`: `Some(None)` when it has not changed, `None` when the request failed.
async fn fetch(shared: &Shared, address: SocketAddr, version: Option<u64>) -> Option<Option<InstanceList>> {
    // The first request must not wait for a change, because the list of a platform without changes has version 0.
    let wait_ms = LIST_POLL_TIMEOUT.as_millis();
    let query = version.map(|version| format!("?after={version}&wait_ms={wait_ms}")).unwrap_or_default();
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("/instances{query}"))
        .header(HOST, address.to_string());
    let timeout = LIST_POLL_TIMEOUT + shared.settings.peer_timeout;
    let request = with_body(request, Bytes::new())?;
    let response = shared.connections.send(address, request, timeout, MAX_LIST_BYTES).await.ok()?;
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
    retain_usable(&mut list.entries);
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
    shared.handle_event(Event::Upstreams(list.entries));
}

/// Drops invalid entries, and all but the first of several entries with the same kind and id.
fn retain_usable(entries: &mut Vec<ListEntry>) {
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
