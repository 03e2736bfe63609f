//! Computes which upstreams an entry should own.

use std::time::Duration;

use hinge_route::assign_upstreams;
use hinge_runs::UpstreamRecord;
use hinge_wire::{DataCentreId, FastMap, FastSet, InstanceId, UpstreamId};
use tokio::time::Instant;

use crate::entry_weights::{EntryShare, weighted};
use crate::peers::Peers;

/// Time for which a data centre must have no live entries before entries of other data centres take over its upstreams.
const EMPTY_DATA_CENTRE: Duration = Duration::from_secs(3);
/// Maximum age of an upstream's last report for the upstream to count as alive.
const MAX_REPORT_AGE: Duration = Duration::from_secs(4);
/// CPU capacity of one weight unit in the division of upstreams, in thousandths of a core.
const UNIT_CPU_MILLIS: u64 = 1_000;
/// Upper bound of the weight of an upstream, as a multiple of the median of its data centre. A weight far above all others
/// would be the whole share of an entry, and leave other entries without upstreams.
const MAX_WEIGHT_FACTOR: u32 = 4;

/// This entry, as far as the division of upstreams is concerned.
#[derive(Debug)]
pub(crate) struct LocalEntry {
    /// Share of a core in thousandths, as in [`Hello::cpu_millis`](hinge_mesh::Hello::cpu_millis).
    pub(crate) cpu_millis: u32,
    pub(crate) data_centre: DataCentreId,
    pub(crate) draining: bool,
    pub(crate) instance: InstanceId,
}

/// This entry's share of a data centre's upstreams, with the inputs it was computed from.
#[derive(Debug)]
struct Division {
    /// Entries with their weights.
    entries: Vec<(InstanceId, u32)>,
    share: Vec<UpstreamId>,
    upstreams: Vec<(UpstreamId, u32)>,
}

/// State that [`desired_upstreams`] keeps between calls.
#[derive(Debug, Default)]
pub(crate) struct OwnershipState {
    /// Cache of the last divisions: computing one takes time in proportion to entries times upstreams.
    divisions: FastMap<DataCentreId, Division>,
    /// Since when data centres with live upstreams have had no live entries.
    empty_since: FastMap<DataCentreId, Instant>,
    /// Last sequence number of each upstream and when it first appeared here.
    reported: FastMap<UpstreamId, (u64, Instant)>,
}

impl OwnershipState {
    /// Records when upstreams reported last, by the changes of their sequence numbers.
    pub(crate) fn observe(&mut self, now: Instant, upstreams: &[UpstreamRecord]) {
        for upstream in upstreams {
            let last = self.reported.entry(upstream.id.clone()).or_insert((upstream.sequence, now));
            if last.0 != upstream.sequence {
                *last = (upstream.sequence, now);
            }
        }
        let listed: FastSet<_> = upstreams.iter().map(|upstream| &upstream.id).collect();
        self.reported.retain(|id, _| listed.contains(id));
    }

    /// The share of the entry `instance` when `upstreams` are divided among `entries`.
    fn share_of(
        &mut self,
        data_centre: &DataCentreId,
        instance: &InstanceId,
        entries: &[EntryShare],
        upstreams: &[&UpstreamRecord],
    ) -> &[UpstreamId] {
        let entries = weighted(entries);
        let limit = median_weight(upstreams).saturating_mul(MAX_WEIGHT_FACTOR);
        let mut sized: Vec<_> =
            upstreams.iter().map(|upstream| (upstream.id.clone(), weight(upstream).min(limit))).collect();
        sized.sort_unstable();
        let cached = self.divisions.remove(data_centre);
        let unchanged = cached.filter(|cached| cached.entries == entries && cached.upstreams == sized);
        let division = unchanged.unwrap_or_else(|| Division::new(instance, entries, sized));
        &self.divisions.entry(data_centre.clone()).insert_entry(division).into_mut().share
    }

    fn is_reporting(&self, now: Instant, id: &UpstreamId) -> bool {
        self.reported.get(id).is_some_and(|(_, at)| now.duration_since(*at) < MAX_REPORT_AGE)
    }
}

impl Division {
    fn new(
        instance: &InstanceId,
        entries: Vec<(InstanceId, u32)>,
        upstreams: Vec<(UpstreamId, u32)>,
    ) -> Self {
        let owners = assign_upstreams(&entries, &upstreams);
        let pairs = upstreams.iter().zip(owners);
        let owned = pairs.filter(|(_, owner)| entries.get(*owner).is_some_and(|(id, _)| id == instance));
        let share = owned.map(|((id, _), _)| id.clone()).collect();
        Self { entries, share, upstreams }
    }
}

/// Upstreams that this entry should own.
///
/// The upstreams of a data centre are divided among its live entries that do not drain; an entry that drains keeps its
/// share only if it is the last one. If a data centre has no such entry for [`EMPTY_DATA_CENTRE`], the entries of all
/// others divide those of its upstreams that still report.
pub(crate) fn desired_upstreams(
    now: Instant,
    local: &LocalEntry,
    peers: &Peers,
    upstreams: &[UpstreamRecord],
    ownership: &mut OwnershipState,
) -> FastSet<UpstreamId> {
    let mut entries: FastMap<&DataCentreId, Vec<EntryShare>> = FastMap::default();
    for peer in peers.alive(now).filter(|peer| !peer.status.draining) {
        entries
            .entry(&peer.data_centre)
            .or_default()
            .push(EntryShare { instance: peer.instance.clone(), cpu_millis: peer.cpu_millis });
    }
    let is_only_entry = entries.get(&local.data_centre).is_none_or(Vec::is_empty);
    if !local.draining || is_only_entry {
        let share = EntryShare { instance: local.instance.clone(), cpu_millis: local.cpu_millis };
        entries.entry(&local.data_centre).or_default().push(share);
    }
    let mut all_entries: Vec<_> = entries.values().flatten().cloned().collect();
    for list in entries.values_mut().chain([&mut all_entries]) {
        list.sort_unstable();
        list.dedup_by(|a, b| a.instance == b.instance);
    }
    let mut by_data_centre: FastMap<&DataCentreId, Vec<&UpstreamRecord>> = FastMap::default();
    for upstream in upstreams {
        by_data_centre.entry(&upstream.data_centre).or_default().push(upstream);
    }
    let mut desired = FastSet::default();
    for (data_centre, mut upstreams) in by_data_centre {
        let live_entries = entries.get(data_centre);
        if live_entries.is_some() && *data_centre != local.data_centre {
            ownership.empty_since.remove(data_centre);
            continue;
        }
        let candidates = if let Some(live_entries) = live_entries {
            ownership.empty_since.remove(data_centre);
            live_entries
        } else {
            // If upstreams do not report either, a partition separates the two data centres.
            upstreams.retain(|upstream| ownership.is_reporting(now, &upstream.id));
            if upstreams.is_empty() {
                ownership.empty_since.remove(data_centre);
                continue;
            }
            let since = *ownership.empty_since.entry(data_centre.clone()).or_insert(now);
            if now.duration_since(since) < EMPTY_DATA_CENTRE {
                continue;
            }
            &all_entries
        };
        let share = ownership.share_of(data_centre, &local.instance, candidates, &upstreams);
        desired.extend(share.iter().cloned());
    }
    desired
}

/// Weight of an upstream in the division.
fn weight(upstream: &UpstreamRecord) -> u32 {
    let weight = upstream.capacity.cpu_millis / UNIT_CPU_MILLIS;
    u32::try_from(weight).unwrap_or(u32::MAX).max(1)
}

/// Median of the weights; of two middle ones the lower, so that one of two upstreams cannot set it alone.
fn median_weight(upstreams: &[&UpstreamRecord]) -> u32 {
    let mut weights: Vec<_> = upstreams.iter().map(|upstream| weight(upstream)).collect();
    weights.sort_unstable();
    let middle = weights.len().saturating_sub(1) / 2;
    weights.get(middle).copied().unwrap_or(1)
}
