//! Periodic tasks: ticks, heartbeats, configuration from peers, metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hinge_conf::empty_document;
use hinge_dispatch::{Event, Lender};
use hinge_member::{Members, Notice as MemberNotice};
use hinge_store::OfferOutcome;
use hinge_wire::{ConfigFetch, ConfigReply, InstanceId, InstanceState, LogEvent};
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Serialize;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::counters::Counters;
use crate::entry::bounded;
use crate::lifecycle::LifecycleEvent;
use crate::lock::lock;
use crate::peers::{call, send_heartbeat};
use crate::shared::Shared;

/// Time between ticks of the dispatcher and the membership.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Mean time between checks for a configuration revision that only peers have. It is long against the milliseconds in
/// which the store's watch normally delivers a change, so that peers are asked only if the watch has not delivered it.
const PEER_CONFIG_INTERVAL: Duration = Duration::from_secs(1);
const METRICS_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Serialize)]
struct NotReady {
    reason: &'static str,
}

/// Drives the dispatcher and the membership, and sends heartbeats.
pub(crate) async fn run_ticks(shared: Arc<Shared>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut applied_revision = None;
    let mut counters = Counters::default();
    let mut unready_reason = None;
    loop {
        ticks.tick().await;
        let revision = shared.config.resolved().revision;
        if shared.config.status().is_loaded && applied_revision != Some(revision) {
            applied_revision = Some(revision);
            apply_config(&shared);
        }
        update_readiness(&shared);
        shared.handle_event(Event::Tick);
        update_members(&shared);
        log_unready(&shared, &mut unready_reason);
        counters.update(&shared);
    }
}

fn apply_config(shared: &Arc<Shared>) {
    let resolved = shared.config.resolved();
    let policy = bounded(resolved.policy.clone(), &shared.budget);
    let kept_bytes = usize::try_from(policy.answer_memory_bytes).unwrap_or(usize::MAX);
    lock(&shared.kept_results).set_bytes(kept_bytes);
    shared.handle_event(Event::Config {
        policy: Box::new(policy),
        quotas: resolved.quotas.clone(),
        weights: resolved.weights.clone(),
    });
    shared.claims.set_policy(&resolved.policy);
    let mut members = lock(&shared.members);
    members.set_policy(&resolved.policy);
    members.local_mut().config_revision = resolved.revision;
}

fn update_readiness(shared: &Shared) {
    let is_prepared = shared.config.status().is_loaded && lock(&shared.members).list_version().is_some();
    if is_prepared && shared.lifecycle_state() == InstanceState::Starting {
        shared.apply_lifecycle_event(LifecycleEvent::Prepared);
    }
}

/// Logs the reason why the instance is not ready when it changes.
fn log_unready(shared: &Shared, logged: &mut Option<&'static str>) {
    let reason = shared.unready_reason();
    if let Some(reason) = reason.filter(|reason| *logged != Some(*reason)) {
        hinge_obs::emit(LogEvent::NotReady, &NotReady { reason });
        shared.metrics.count("not_ready", 1);
    }
    *logged = reason;
}

fn update_members(shared: &Arc<Shared>) {
    let now = Instant::now();
    // Reading the demand marks it as reported, and each report recomputes all quota rates; so it is read only for a due
    // heartbeat.
    let is_due = lock(&shared.members).heartbeat_is_due(now);
    let (free_slots, queued, demand) = shared.with_dispatcher(|dispatcher, now| {
        let demand = if is_due { dispatcher.demand(now) } else { Vec::new() };
        (dispatcher.free_slots(), dispatcher.queued(), demand)
    });
    let mut notices = Vec::new();
    let (outgoing, event) = {
        let mut members = lock(&shared.members);
        let local = members.local_mut();
        local.free_slots = free_slots;
        local.queued_tasks = u32::try_from(queued).unwrap_or(u32::MAX);
        members.tick(now, &mut notices);
        let lenders = members.peers().filter(|peer| can_lend(shared, peer)).map(lender).collect();
        let event = Event::Peers {
            leaders: leaders(shared, &members),
            lenders,
            listed_entries: members.listed_entries(),
        };
        (members.heartbeats(now, &demand), event)
    };
    for notice in &notices {
        log_member(notice);
    }
    shared.handle_event(event);
    shared.metrics.gauge("queued_tasks", queued as u64);
    shared.metrics.gauge("free_slots", u64::from(free_slots));
    for heartbeat in outgoing {
        tokio::spawn(send_heartbeat(shared.clone(), heartbeat));
    }
}

/// Entries that lead upstreams. If there are none because this entry is draining alone, it continues to lead: no peer
/// could lend it slots for its submissions in progress.
fn leaders(shared: &Shared, members: &Members) -> Vec<InstanceId> {
    let mut leaders = members.leaders();
    if leaders.is_empty() && shared.lifecycle_state() == InstanceState::Draining {
        leaders.push(shared.settings.instance.clone());
    }
    leaders
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

/// Fetches configuration revisions from peers that the store has not delivered.
pub(crate) async fn follow_peer_config(shared: Arc<Shared>) {
    let mut is_applied = true;
    loop {
        sleep(jittered(PEER_CONFIG_INTERVAL)).await;
        // A peer that announces the highest revision but cannot deliver it must not keep this instance from newer
        // revisions of other peers.
        let source = if is_applied { newest_config_peer(&shared) } else { random_newer_peer(&shared) };
        if let Some(address) = source {
            is_applied = fetch_peer_config(&shared, address).await;
        }
    }
}

/// Address of a random peer with a higher revision than this instance.
fn random_newer_peer(shared: &Shared) -> Option<SocketAddr> {
    let own_revision = shared.config.resolved().revision;
    let members = lock(&shared.members);
    let newer = members.peers().filter(|peer| peer.config_revision > own_revision);
    newer.choose(&mut rand::rng())?.peer_address.parse().ok()
}

/// Address of the peer with the highest revision, if it is higher than that of this instance. An instance without any
/// configuration also accepts a ready peer at revision 0, which uses the built-in defaults because no document was ever
/// written.
fn newest_config_peer(shared: &Shared) -> Option<SocketAddr> {
    let own_revision = shared.config.resolved().revision;
    let is_loaded = shared.config.status().is_loaded;
    let members = lock(&shared.members);
    let newer =
        members.peer_with_newest_config().filter(|peer| !is_loaded || peer.config_revision > own_revision);
    let ready = || members.peers().find(|peer| !is_loaded && peer.state == InstanceState::Ready);
    newer.or_else(ready)?.peer_address.parse().ok()
}

/// Returns whether the peer's configuration was applied.
async fn fetch_peer_config(shared: &Shared, address: SocketAddr) -> bool {
    let above_revision = shared.config.resolved().revision;
    let timeout = shared.settings.peer_timeout;
    let reply: Result<ConfigReply, _> =
        call(shared, address, "/peer/v1/config", &ConfigFetch { above_revision }, timeout).await;
    let Ok(reply) = reply else { return false };
    // A peer without a configuration rejects the request, so revision 0 always means the empty document.
    let document = reply.document.or_else(|| (reply.revision == 0).then(empty_document));
    let offered = document.map(|document| shared.config.offer_from_peer(reply.revision, document));
    offered == Some(OfferOutcome::Applied)
}

/// Randomizes `time` by a factor of 0.5 to 1.5, so that instances started together do not send requests together.
pub(crate) fn jittered(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Periodically sends metrics and drops unusable idle connections.
pub(crate) async fn flush_metrics(shared: Arc<Shared>) {
    let mut ticks = interval(METRICS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.connections.prune();
        shared.metrics.flush();
    }
}
