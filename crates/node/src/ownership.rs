//! Which upstreams an entry should own.

use std::time::Duration;

use hinge_route::assign_upstreams;
use hinge_runs::UpstreamRecord;
use hinge_wire::{DataCentreId, FastMap, FastSet, InstanceId, UpstreamId};
use tokio::time::Instant;

use crate::peers::Peers;

/// Time for which a data centre must be without entries before entries elsewhere own its upstreams.
const EMPTY_DATA_CENTRE: Duration = Duration::from_secs(3);
/// Age of an upstream's last report up to which it is known to be alive.
const REPORT_AGE: Duration = Duration::from_secs(4);
/// Processor size that counts as one unit in the division of upstreams.
const UNIT_CPU_MILLIS: u64 = 1_000;

/// The own entry in the division of upstreams.
#[derive(Debug)]
pub(crate) struct Own {
    pub(crate) data_centre: DataCentreId,
    pub(crate) draining: bool,
    pub(crate) instance: InstanceId,
}

/// The part of a data centre's upstreams that falls to the own entry, and what it was computed from.
#[derive(Debug)]
struct Division {
    entries: Vec<InstanceId>,
    own: Vec<UpstreamId>,
    upstreams: Vec<(UpstreamId, u32)>,
}

/// What is remembered between two looks: when upstreams last reported, since when data centres have had no entries, and
/// the last divisions.
#[derive(Debug, Default)]
pub(crate) struct Sightings {
    /// Divisions computed last. A division costs time in proportion to entries times upstreams.
    divisions: FastMap<DataCentreId, Division>,
    empty_since: FastMap<DataCentreId, Instant>,
    reported: FastMap<UpstreamId, (u64, Instant)>,
}

impl Sightings {
    /// Notes new reports of upstreams.
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

    /// The part of `upstreams` that falls to the entry `own`.
    fn share_of(
        &mut self,
        data_centre: &DataCentreId,
        own: &InstanceId,
        entries: &[InstanceId],
        upstreams: &[&UpstreamRecord],
    ) -> &[UpstreamId] {
        let mut sized: Vec<_> =
            upstreams.iter().map(|upstream| (upstream.id.clone(), units(upstream))).collect();
        sized.sort_unstable();
        let known = self.divisions.remove(data_centre);
        let unchanged = known.filter(|known| known.entries == entries && known.upstreams == sized);
        let division = unchanged.unwrap_or_else(|| Division::new(own, entries, sized));
        &self.divisions.entry(data_centre.clone()).insert_entry(division).into_mut().own
    }

    fn alive(&self, now: Instant, id: &UpstreamId) -> bool {
        self.reported.get(id).is_some_and(|(_, at)| now.duration_since(*at) < REPORT_AGE)
    }
}

impl Division {
    fn new(own: &InstanceId, entries: &[InstanceId], upstreams: Vec<(UpstreamId, u32)>) -> Self {
        let owners = assign_upstreams(entries, &upstreams);
        let pairs = upstreams.iter().zip(owners);
        let owned = pairs.filter(|(_, owner)| entries.get(*owner) == Some(own));
        let own = owned.map(|((id, _), _)| id.clone()).collect();
        Self { entries: entries.to_vec(), own, upstreams }
    }
}

/// Upstreams that the own entry should own.
pub(crate) fn wanted(
    now: Instant,
    own: &Own,
    peers: &Peers,
    upstreams: &[UpstreamRecord],
    sightings: &mut Sightings,
) -> FastSet<UpstreamId> {
    let mut entries: FastMap<&DataCentreId, Vec<InstanceId>> = FastMap::default();
    for peer in peers.alive(now).filter(|peer| !peer.status.draining) {
        entries.entry(&peer.data_centre).or_default().push(peer.instance.clone());
    }
    let alone = entries.get(&own.data_centre).is_none_or(Vec::is_empty);
    if !own.draining || alone {
        entries.entry(&own.data_centre).or_default().push(own.instance.clone());
    }
    let mut everywhere: Vec<_> = entries.values().flatten().cloned().collect();
    for list in entries.values_mut().chain([&mut everywhere]) {
        list.sort_unstable();
        list.dedup();
    }
    let mut by_data_centre: FastMap<&DataCentreId, Vec<&UpstreamRecord>> = FastMap::default();
    for upstream in upstreams {
        by_data_centre.entry(&upstream.data_centre).or_default().push(upstream);
    }
    let mut wanted = FastSet::default();
    for (data_centre, mut upstreams) in by_data_centre {
        let local = entries.get(data_centre);
        if local.is_some() && *data_centre != own.data_centre {
            sightings.empty_since.remove(data_centre);
            continue;
        }
        let candidates = if let Some(local) = local {
            sightings.empty_since.remove(data_centre);
            local
        } else {
            // A data centre whose upstreams do not report either is cut off, or this one is.
            upstreams.retain(|upstream| sightings.alive(now, &upstream.id));
            if upstreams.is_empty() {
                sightings.empty_since.remove(data_centre);
                continue;
            }
            let since = *sightings.empty_since.entry(data_centre.clone()).or_insert(now);
            if now.duration_since(since) < EMPTY_DATA_CENTRE {
                continue;
            }
            &everywhere
        };
        let share = sightings.share_of(data_centre, &own.instance, candidates, &upstreams);
        wanted.extend(share.iter().cloned());
    }
    wanted
}

/// Size of an upstream in the division.
fn units(upstream: &UpstreamRecord) -> u32 {
    let units = upstream.capacity.cpu_millis / UNIT_CPU_MILLIS;
    u32::try_from(units).unwrap_or(u32::MAX).max(1)
}
