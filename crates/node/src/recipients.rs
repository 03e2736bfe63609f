//! Selects the peers that receive the loads of this entry's upstreams.
//!
//! Loads change many times a second, so sending them to all peers would cost each entry messages in proportion to their
//! number. Each entry sends them to a fixed number of peers instead, chosen so that every peer receives loads from
//! about the same number of entries.

use hinge_runs::HomeId;
use hinge_wire::{DataCentreId, FastSet, InstanceId};

use crate::evacuations::Evacuations;

/// Maximum number of recipients in this entry's data centre.
const LOCAL_PEERS: usize = 12;
/// Maximum number of recipients in other data centres. Fewer than local ones: tasks go there only when this entry's
/// data centre is full.
const REMOTE_PEERS: usize = 8;
/// Maximum number of recipients in evacuated data centres. Bounds the messages of each entry when few entries are outside
/// of them.
const MAX_EVACUATED_PEERS: usize = 40;

/// A linked peer that may be chosen as a recipient.
pub(crate) struct Candidate<'a> {
    pub(crate) data_centre: &'a DataCentreId,
    pub(crate) id: HomeId,
    pub(crate) instance: &'a InstanceId,
}

/// The entry that sends loads.
pub(crate) struct Sender<'a> {
    pub(crate) data_centre: &'a DataCentreId,
    pub(crate) evacuations: &'a Evacuations,
    pub(crate) instance: &'a InstanceId,
}

/// Selects the recipients of the loads of an entry among its linked peers. While data centres are evacuated, the entries of
/// all others also send to more of theirs, whose usual senders have no room.
pub(crate) fn load_recipients(sender: &Sender<'_>, mut peers: Vec<Candidate<'_>>) -> FastSet<HomeId> {
    let Sender { data_centre, instance, .. } = *sender;
    peers.sort_unstable_by(|a, b| (a.data_centre, a.instance).cmp(&(b.data_centre, b.instance)));
    let mut chosen = evacuated_recipients(sender, &peers);
    let (local, remote): (Vec<_>, Vec<_>) = peers.iter().partition(|peer| peer.data_centre == data_centre);
    let rank = local.iter().filter(|peer| peer.instance < instance).count();
    // Entries of one data centre start at evenly spaced positions in the list of remote entries.
    let remote_start = rank * remote.len() / (local.len() + 1);
    let near = next(&local, rank, LOCAL_PEERS);
    let far = next(&remote, remote_start, REMOTE_PEERS);
    chosen.extend(near.chain(far));
    chosen
}

/// Recipients among the entries of evacuated data centres. Each of these entries gets loads from about as many others as
/// usual: [`LOCAL_PEERS`] and [`REMOTE_PEERS`] together.
fn evacuated_recipients(sender: &Sender<'_>, peers: &[Candidate<'_>]) -> FastSet<HomeId> {
    let is_evacuated = |data_centre: &DataCentreId| sender.evacuations.is_evacuated(data_centre);
    if is_evacuated(sender.data_centre) {
        return FastSet::default();
    }
    let (evacuated, open): (Vec<_>, Vec<_>) = peers.iter().partition(|peer| is_evacuated(peer.data_centre));
    let position = (sender.data_centre, sender.instance);
    let rank = open.iter().filter(|peer| (peer.data_centre, peer.instance) < position).count();
    let senders = open.len() + 1;
    let count = (evacuated.len() * (LOCAL_PEERS + REMOTE_PEERS)).div_ceil(senders);
    next(&evacuated, rank * evacuated.len() / senders, count.min(MAX_EVACUATED_PEERS)).collect()
}

/// Up to `count` peers from the position `start` on, wrapping around at the end of the list.
fn next<'a>(
    peers: &'a [&Candidate<'_>],
    start: usize,
    count: usize,
) -> impl Iterator<Item = HomeId> + use<'a> {
    peers.iter().cycle().skip(start).take(count.min(peers.len())).map(|peer| peer.id)
}
