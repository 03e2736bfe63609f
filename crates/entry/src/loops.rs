//! Periodic work: ticks, heartbeats, the platform's list, configuration from peers, metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hinge_dispatch::{Event, Lender};
use hinge_member::Notice as MemberNotice;
use hinge_wire::{
    ConfigFetch, ConfigReply, InstanceKind, InstanceList, InstanceState, ListEntry, LogEvent, from_json,
};
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use rand::Rng;
use serde::Serialize;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::life::LifeEvent;
use crate::peers::{call, send_heartbeat};
use crate::shared::{Shared, UpstreamAddresses, lock};
use crate::upstreams::with_body;

/// Time between ticks of the decision code.
const TICK: Duration = Duration::from_millis(50);
/// Time that a request for a new list version is held open by the platform.
const LIST_WAIT: Duration = Duration::from_secs(10);
/// First and longest wait after the list did not answer.
const LIST_BACKOFF: Duration = Duration::from_millis(200);
const LIST_BACKOFF_LIMIT: Duration = Duration::from_secs(5);
/// Time between looks for a configuration revision that only peers have. The store's watch normally delivers a
/// change within milliseconds, so a peer is asked only after the watch has had its chance.
const PEER_CONFIG_INTERVAL: Duration = Duration::from_secs(1);
/// Time between sending metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Serialize)]
struct NoDetails {}

/// Drives the decision code and sends heartbeats.
pub(crate) async fn tick(shared: Arc<Shared>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut applied_revision = None;
    loop {
        ticks.tick().await;
        let revision = shared.config.resolved().revision;
        if shared.config.status().loaded && applied_revision != Some(revision) {
            applied_revision = Some(revision);
            apply_config(&shared);
        }
        advance_life(&shared);
        shared.report(Event::Tick);
        update_members(&shared);
    }
}

fn apply_config(shared: &Arc<Shared>) {
    let resolved = shared.config.resolved();
    shared.report(Event::Config {
        policy: Box::new(resolved.policy.clone()),
        quotas: resolved.quotas.clone(),
        weights: resolved.weights.clone(),
    });
    let mut members = lock(&shared.members);
    members.set_policy(&resolved.policy);
    members.own_mut().config_revision = resolved.revision;
}

fn advance_life(shared: &Shared) {
    let prepared = shared.config.status().loaded && lock(&shared.members).list_version().is_some();
    if prepared && shared.life_state() == InstanceState::Starting {
        shared.change_life(LifeEvent::Prepared);
    }
}

fn update_members(shared: &Arc<Shared>) {
    let now = Instant::now();
    // Demand counts as reported once it is asked for, and each report makes all quota rates be computed again.
    let is_due = lock(&shared.members).heartbeat_is_due(now);
    let (free_slots, queued, demand) = shared.decide(|dispatcher, now| {
        let demand = if is_due { dispatcher.demand(now) } else { Vec::new() };
        (dispatcher.free_slots(now), dispatcher.queued(), demand)
    });
    let mut notices = Vec::new();
    let (outgoing, event) = {
        let mut members = lock(&shared.members);
        let own = members.own_mut();
        own.free_slots = free_slots;
        own.queued_tasks = u32::try_from(queued).unwrap_or(u32::MAX);
        members.tick(now, &mut notices);
        let lenders = members.peers().filter(|peer| can_lend(shared, peer)).map(lender).collect();
        let event = Event::Peers { leaders: members.leaders(), lenders, listed: members.listed_entries() };
        (members.heartbeats(now, &demand), event)
    };
    for notice in &notices {
        log_member(notice);
    }
    shared.report(event);
    shared.metrics.gauge("queued_tasks", queued as u64);
    shared.metrics.gauge("free_slots", u64::from(free_slots));
    for heartbeat in outgoing {
        tokio::spawn(send_heartbeat(shared.clone(), heartbeat));
    }
}

fn can_lend(shared: &Shared, peer: &hinge_wire::MemberInfo) -> bool {
    *peer.data_centre == *shared.data_centre && peer.state == InstanceState::Ready
}

fn lender(peer: &hinge_wire::MemberInfo) -> Lender {
    Lender {
        counter: peer.counter,
        free_slots: peer.free_slots,
        incarnation: peer.incarnation,
        instance: peer.instance.as_str().into(),
    }
}

fn log_member(notice: &MemberNotice) {
    hinge_obs::emit(notice.event(), &format!("{notice:?}"));
}

/// Keeps the platform's list in force, with one waiting call at a time.
pub(crate) async fn follow_list(shared: Arc<Shared>, address: SocketAddr) {
    let mut version = None;
    let mut backoff = LIST_BACKOFF;
    loop {
        match fetch_list(&shared, address, version).await {
            Some(answer) => {
                backoff = LIST_BACKOFF;
                if let Some(list) = answer.filter(|list| version != Some(list.version)) {
                    version = Some(list.version);
                    apply_list(&shared, &list);
                }
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
async fn fetch_list(
    shared: &Shared,
    address: SocketAddr,
    version: Option<u64>,
) -> Option<Option<InstanceList>> {
    let wait_ms = LIST_WAIT.as_millis();
    let query = version.map(|version| format!("?after={version}&wait_ms={wait_ms}")).unwrap_or_default();
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("/instances{query}"))
        .header(HOST, address.to_string());
    let time = LIST_WAIT + shared.settings.peer_timeout;
    let response = shared.connections.send(address, with_body(request, Bytes::new())?, time).await.ok()?;
    if response.status() == StatusCode::NO_CONTENT {
        return Some(None);
    }
    if !response.status().is_success() {
        return None;
    }
    from_json(response.body()).ok().map(Some)
}

fn apply_list(shared: &Arc<Shared>, list: &InstanceList) {
    lock(&shared.members).set_list(Instant::now(), list);
    let upstreams: Vec<ListEntry> = list
        .entries
        .iter()
        .filter(|entry| entry.kind == InstanceKind::Upstream && *entry.data_centre == *shared.data_centre)
        .cloned()
        .collect();
    let addresses: UpstreamAddresses = upstreams
        .iter()
        .filter_map(|entry| Some((entry.id.as_str().into(), entry.address.parse().ok()?)))
        .collect();
    *lock(&shared.addresses) = addresses;
    shared.report(Event::Upstreams(upstreams));
}

/// Fetches configuration revisions that peers have and the store has not delivered.
pub(crate) async fn follow_peer_config(shared: Arc<Shared>) {
    loop {
        sleep(jittered(PEER_CONFIG_INTERVAL)).await;
        let own_revision = shared.config.resolved().revision;
        let source = lock(&shared.members)
            .latest_config()
            .filter(|peer| !shared.config.status().loaded || peer.config_revision > own_revision)
            .and_then(|peer| peer.peer_address.parse().ok());
        if let Some(address) = source {
            fetch_peer_config(&shared, address, own_revision).await;
        }
    }
}

async fn fetch_peer_config(shared: &Shared, address: SocketAddr, above_revision: u64) {
    let time = shared.settings.peer_timeout;
    let reply: Result<ConfigReply, _> =
        call(shared, address, "/peer/v1/config", &ConfigFetch { above_revision }, time).await;
    let Ok(reply) = reply else { return };
    if let Some(document) = reply.document {
        let _ = shared.config.offer_from_peer(reply.revision, document);
    }
}

/// A random time around `time`, so that instances which start together do not call together.
fn jittered(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Sends metrics and drops closed connections.
pub(crate) async fn flush_metrics(shared: Arc<Shared>) {
    let mut ticks = interval(METRICS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.connections.prune();
        shared.metrics.flush();
    }
}
