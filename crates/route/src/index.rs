//! Index of upstreams by load, grouped by rack.

use std::collections::BTreeSet;

use hinge_wire::FastMap;

/// Relative load and a random tie-break, so that upstreams with equal load are chosen in random order.
pub(crate) type Load = (u32, u32);

/// Upstreams of one service with a free slot, ordered by load.
///
/// Finding the least loaded upstream outside a set of racks visits at most one more rack than the set
/// contains.
#[derive(Debug, Default)]
pub(crate) struct LoadIndex {
    members: FastMap<usize, BTreeSet<(Load, usize)>>,
    /// Racks ordered by the load of their least loaded upstream.
    racks: BTreeSet<(Load, usize)>,
}

impl LoadIndex {
    pub(crate) fn insert(&mut self, rack: usize, load: Load, upstream: usize) {
        let members = self.members.entry(rack).or_default();
        let least = members.first().map(|(load, _)| *load);
        members.insert((load, upstream));
        if least.is_none_or(|least| load < least) {
            if let Some(least) = least {
                self.racks.remove(&(least, rack));
            }
            self.racks.insert((load, rack));
        }
    }

    pub(crate) fn remove(&mut self, rack: usize, load: Load, upstream: usize) {
        let Some(members) = self.members.get_mut(&rack) else { return };
        let least = members.first().copied();
        members.remove(&(load, upstream));
        if least != Some((load, upstream)) {
            return;
        }
        self.racks.remove(&(load, rack));
        match members.first() {
            Some((next, _)) => {
                self.racks.insert((*next, rack));
            }
            None => {
                self.members.remove(&rack);
            }
        }
    }

    /// Returns the least loaded upstream that neither predicate skips, rack by rack in the order of `racks`.
    pub(crate) fn find(
        &self,
        skip_rack: impl Fn(usize) -> bool,
        skip_upstream: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let racks = self.racks.iter().map(|(_, rack)| *rack).filter(|rack| !skip_rack(*rack));
        let mut members =
            racks.filter_map(|rack| self.members.get(&rack)).flatten().map(|(_, upstream)| *upstream);
        members.find(|upstream| !skip_upstream(*upstream))
    }
}
