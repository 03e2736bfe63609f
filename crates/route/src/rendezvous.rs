//! Even assignment of upstreams to entries by rendezvous hashing, identical in every process.

use hinge_wire::{InstanceId, UpstreamId};

/// FNV-1a. The hasher of `FastMap` is seeded per process, so its results differ between instances.
pub(crate) fn hash_id(id: &str) -> u64 {
    id.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Finalizer of SplitMix64; mixes the combined hash into all bits.
const fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// An entry that may lead upstreams, with the hash of its id.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    hash: u64,
    pub(crate) id: InstanceId,
    /// Part of the slots that it may lead, relative to the weights of the others.
    weight: u32,
}

impl Candidate {
    pub(crate) fn new(id: &InstanceId, weight: u32) -> Self {
        Self { hash: hash_id(id), id: id.clone(), weight: weight.max(1) }
    }
}

/// An upstream to be assigned to an entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SizedUpstream {
    pub(crate) hash: u64,
    pub(crate) position: usize,
    pub(crate) slots: u32,
}

/// Assigns each upstream, given as id and size, to an entry, given as id and weight, so that the total size that an entry
/// gets is about proportional to its weight.
///
/// Returns, for each upstream, the index of its entry in `entries`; empty when there are no entries.
/// Processes that see the same entries and upstreams compute the same result.
#[must_use]
pub fn assign_upstreams(entries: &[(InstanceId, u32)], upstreams: &[(UpstreamId, u32)]) -> Vec<usize> {
    let candidates: Vec<_> = entries.iter().map(|(id, weight)| Candidate::new(id, *weight)).collect();
    let sized: Vec<_> = upstreams
        .iter()
        .enumerate()
        .map(|(position, (id, size))| SizedUpstream { hash: hash_id(id), position, slots: *size })
        .collect();
    assign(&candidates, &sized).into_iter().filter_map(|(_, entry)| entry).collect()
}

/// Returns the position of each upstream with the index of its leader, which is `None` when there are no
/// entries.
///
/// Each entry leads a number of slots in proportion to its weight, to within one upstream. Within that bound the pairs with the
/// highest rendezvous weight are chosen, so that a change of membership moves few upstreams and all entries
/// with the same view agree. Plain rendezvous hashing is not even enough: it gave one of three entries a
/// third as many upstreams as another, and its queue grew while the others had free slots.
pub(crate) fn assign(candidates: &[Candidate], upstreams: &[SizedUpstream]) -> Vec<(usize, Option<usize>)> {
    if candidates.is_empty() {
        return upstreams.iter().map(|upstream| (upstream.position, None)).collect();
    }
    let mut remaining = RemainingSlots::new(candidates, upstreams);
    let mut pairs = Vec::with_capacity(candidates.len() * upstreams.len());
    for (index, upstream) in upstreams.iter().enumerate() {
        for (entry, candidate) in candidates.iter().enumerate() {
            pairs.push((mix(mix(candidate.hash).wrapping_add(upstream.hash)), index, entry));
        }
    }
    pairs.sort_unstable_by(|a, b| {
        let key = |pair: &(u64, usize, usize)| (pair.0, upstreams[pair.1].hash);
        key(b).cmp(&key(a)).then_with(|| candidates[b.2].id.cmp(&candidates[a.2].id))
    });
    let mut leaders = vec![None; upstreams.len()];
    for (_, upstream, entry) in pairs {
        let slots = upstreams[upstream].slots;
        if leaders[upstream].is_none() && remaining.take(entry, slots) {
            leaders[upstream] = Some(entry);
        }
    }
    assign_remaining(&mut leaders, &mut remaining.slots, candidates, upstreams);
    upstreams.iter().zip(leaders).map(|(upstream, leader)| (upstream.position, leader)).collect()
}

/// Number of slots that each entry may still be assigned: its part, rounded down to whole upstreams, and
/// one extra upstream for as many entries as are needed to assign the rest.
struct RemainingSlots {
    extra_slots: u32,
    extras_left: u64,
    has_extra: Vec<bool>,
    slots: Vec<u32>,
}

impl RemainingSlots {
    fn new(candidates: &[Candidate], upstreams: &[SizedUpstream]) -> Self {
        let total: u64 = upstreams.iter().map(|upstream| u64::from(upstream.slots)).sum();
        let weights: u64 = candidates.iter().map(|candidate| u64::from(candidate.weight)).sum();
        let largest = upstreams.iter().map(|upstream| upstream.slots).max().unwrap_or_default().max(1);
        let part = |candidate: &Candidate| {
            let slots = u128::from(total) * u128::from(candidate.weight) / u128::from(weights.max(1));
            let slots = u32::try_from(slots).unwrap_or(u32::MAX);
            slots / largest * largest
        };
        let slots: Vec<_> = candidates.iter().map(part).collect();
        let assigned: u64 = slots.iter().copied().map(u64::from).sum();
        Self {
            extra_slots: largest,
            extras_left: (total - assigned).div_ceil(u64::from(largest)),
            has_extra: vec![false; candidates.len()],
            slots,
        }
    }

    /// Takes `slots` from an entry's remainder, and its extra upstream if necessary; false when they don't
    /// fit.
    fn take(&mut self, entry: usize, slots: u32) -> bool {
        if self.slots[entry] < slots && self.extras_left > 0 && !self.has_extra[entry] {
            self.extras_left -= 1;
            self.has_extra[entry] = true;
            self.slots[entry] = self.slots[entry].saturating_add(self.extra_slots);
        }
        let fits = self.slots[entry] >= slots;
        self.slots[entry] -= if fits { slots } else { 0 };
        fits
    }
}

/// Assigns upstreams that did not fit anywhere, because sizes differ, to the entries with the most slots
/// left.
fn assign_remaining(
    leaders: &mut [Option<usize>],
    left: &mut [u32],
    candidates: &[Candidate],
    upstreams: &[SizedUpstream],
) {
    for (leader, upstream) in leaders.iter_mut().zip(upstreams).filter(|(leader, _)| leader.is_none()) {
        let entry = (0..left.len())
            .max_by(|a, b| left[*a].cmp(&left[*b]).then_with(|| candidates[*a].id.cmp(&candidates[*b].id)));
        if let Some(entry) = entry {
            left[entry] = left[entry].saturating_sub(upstream.slots);
            *leader = Some(entry);
        }
    }
}
