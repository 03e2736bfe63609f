//! Selects the peers that receive the loads of this entry's upstreams.
//!
//! Loads change many times a second, so sending them to all peers would cost each entry messages in proportion to their
//! number. Each entry sends them to a fixed number of peers instead, chosen so that every peer receives loads from
//! about the same number of entries.

use hinge_runs::HomeId;
use hinge_wire::{DataCentreId, FastSet, InstanceId};

/// Maximum number of recipients in this entry's data centre.
const LOCAL_PEERS: usize = 12;
/// Maximum number of recipients in other data centres. Fewer than local ones: tasks go there only when this entry's
/// data centre is full.
const REMOTE_PEERS: usize = 8;

/// A linked peer that may be chosen as a recipient.
pub(crate) struct Candidate<'a> {
    pub(crate) data_centre: &'a DataCentreId,
    pub(crate) id: HomeId,
    pub(crate) instance: &'a InstanceId,
}

/// Selects the recipients of the loads of the entry `instance` among its linked peers.
pub(crate) fn load_recipients(
    instance: &InstanceId,
    data_centre: &DataCentreId,
    mut peers: Vec<Candidate<'_>>,
) -> FastSet<HomeId> {
    peers.sort_unstable_by(|a, b| (a.data_centre, a.instance).cmp(&(b.data_centre, b.instance)));
    let (local, remote): (Vec<_>, Vec<_>) =
        peers.into_iter().partition(|peer| peer.data_centre == data_centre);
    let rank = local.iter().filter(|peer| peer.instance < instance).count();
    // Entries of one data centre start at evenly spaced positions in the list of remote entries.
    let remote_start = rank * remote.len() / (local.len() + 1);
    let near = next(&local, rank, LOCAL_PEERS);
    let far = next(&remote, remote_start, REMOTE_PEERS);
    near.chain(far).collect()
}

/// Up to `count` peers from the position `start` on, wrapping around at the end of the list.
fn next<'a>(
    peers: &'a [Candidate<'_>],
    start: usize,
    count: usize,
) -> impl Iterator<Item = HomeId> + use<'a> {
    peers.iter().cycle().skip(start).take(count.min(peers.len())).map(|peer| peer.id)
}
