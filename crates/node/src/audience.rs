//! Which peers are told the loads of this entry.
//!
//! Telling all peers would cost each entry messages in proportion to their number, many times a second. Each entry tells
//! a fixed number of them instead, chosen so that each peer hears from about as many.

use hinge_runs::HomeId;
use hinge_wire::{DataCentreId, FastSet, InstanceId};

/// Peers in the own data centre that are told.
const LOCAL_PEERS: usize = 12;
/// Peers in other data centres that are told; work goes there only when the own one is full.
const REMOTE_PEERS: usize = 8;

/// A linked peer.
pub(crate) struct Candidate<'a> {
    pub(crate) data_centre: &'a DataCentreId,
    pub(crate) id: HomeId,
    pub(crate) instance: &'a InstanceId,
}

/// The peers that the entry `own` tells its loads.
pub(crate) fn audience(
    own: &InstanceId,
    own_data_centre: &DataCentreId,
    mut peers: Vec<Candidate<'_>>,
) -> FastSet<HomeId> {
    peers.sort_unstable_by(|a, b| (a.data_centre, a.instance).cmp(&(b.data_centre, b.instance)));
    let (local, remote): (Vec<_>, Vec<_>) =
        peers.into_iter().partition(|peer| peer.data_centre == own_data_centre);
    let rank = local.iter().filter(|peer| peer.instance < own).count();
    // Entries of one data centre begin at places spread over those of the others.
    let remote_start = rank * remote.len() / (local.len() + 1);
    let near = next(&local, rank, LOCAL_PEERS);
    let far = next(&remote, remote_start, REMOTE_PEERS);
    near.chain(far).collect()
}

/// `count` peers from the place `start` on, round the list.
fn next<'a>(
    peers: &'a [Candidate<'_>],
    start: usize,
    count: usize,
) -> impl Iterator<Item = HomeId> + use<'a> {
    peers.iter().cycle().skip(start).take(count.min(peers.len())).map(|peer| peer.id)
}
