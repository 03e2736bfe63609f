//! Even division of upstreams among entries by rendezvous hash, the same in every process.

use hinge_wire::{InstanceId, UpstreamId};

/// FNV-1a. `FastMap`'s hasher is seeded per process and cannot be used between instances.
pub(crate) fn hash_id(id: &str) -> u64 {
    id.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Finalizer of SplitMix64; spreads the combined hash over all bits.
const fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// An entry with its hash.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    hash: u64,
    pub(crate) id: InstanceId,
}

impl Candidate {
    pub(crate) fn new(id: &InstanceId) -> Self {
        Self { hash: hash_id(id), id: id.clone() }
    }
}

/// An upstream to be led.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Led {
    pub(crate) hash: u64,
    pub(crate) position: usize,
    pub(crate) slots: u32,
}

/// Divides upstreams among entries by their sizes, the same in every process that sees the same lists.
///
/// Returns the position of the entry for each upstream; empty without entries.
#[must_use]
pub fn assign_upstreams(entries: &[InstanceId], upstreams: &[(UpstreamId, u32)]) -> Vec<usize> {
    let candidates: Vec<_> = entries.iter().map(Candidate::new).collect();
    let led: Vec<_> = upstreams
        .iter()
        .enumerate()
        .map(|(position, (id, size))| Led { hash: hash_id(id), position, slots: *size })
        .collect();
    divide(&candidates, &led).into_iter().filter_map(|(_, entry)| entry).collect()
}

/// Divides upstreams among entries: position of each upstream with the index of its leader, none without entries.
///
/// Every entry leads an even part of the slots, within one upstream. Within that bound the pairs of
/// the greatest rendezvous weight win, so that a change of membership moves few upstreams, and every entry that sees
/// the same members and upstreams computes the same division. Plain rendezvous hashing gave one of three entries a
/// third of the upstreams of another, and its queue grew while the others had free slots.
pub(crate) fn divide(candidates: &[Candidate], upstreams: &[Led]) -> Vec<(usize, Option<usize>)> {
    if candidates.is_empty() {
        return upstreams.iter().map(|one| (one.position, None)).collect();
    }
    let mut room = Room::new(candidates.len(), upstreams);
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
        if leaders[upstream].is_none() && room.take(entry, slots) {
            leaders[upstream] = Some(entry);
        }
    }
    assign_rest(&mut leaders, &mut room.slots, candidates, upstreams);
    upstreams.iter().zip(leaders).map(|(one, leader)| (one.position, leader)).collect()
}

/// Slots that each entry may still lead: an even part in whole upstreams, and one more upstream for as many entries as
/// it takes to lead them all.
struct Room {
    extra_slots: u32,
    extras_left: u64,
    has_extra: Vec<bool>,
    slots: Vec<u32>,
}

impl Room {
    fn new(entries: usize, upstreams: &[Led]) -> Self {
        let total: u64 = upstreams.iter().map(|one| u64::from(one.slots)).sum();
        let largest = upstreams.iter().map(|one| one.slots).max().unwrap_or_default().max(1);
        let even = total / entries as u64 / u64::from(largest) * u64::from(largest);
        let rest = total - even * entries as u64;
        Self {
            extra_slots: largest,
            extras_left: rest.div_ceil(u64::from(largest)),
            has_extra: vec![false; entries],
            slots: vec![u32::try_from(even).unwrap_or(u32::MAX); entries],
        }
    }

    fn take(&mut self, entry: usize, slots: u32) -> bool {
        if self.slots[entry] < slots && self.extras_left > 0 && !self.has_extra[entry] {
            self.extras_left -= 1;
            self.has_extra[entry] = true;
            self.slots[entry] += self.extra_slots;
        }
        let fits = self.slots[entry] >= slots;
        self.slots[entry] -= if fits { slots } else { 0 };
        fits
    }
}

/// Gives upstreams that fit nowhere, because sizes differ, to the entries with the most room.
fn assign_rest(leaders: &mut [Option<usize>], room: &mut [u32], candidates: &[Candidate], upstreams: &[Led]) {
    for (leader, upstream) in leaders.iter_mut().zip(upstreams).filter(|(leader, _)| leader.is_none()) {
        let most = (0..room.len())
            .max_by(|a, b| room[*a].cmp(&room[*b]).then_with(|| candidates[*a].id.cmp(&candidates[*b].id)));
        if let Some(entry) = most {
            room[entry] = room[entry].saturating_sub(upstream.slots);
            *leader = Some(entry);
        }
    }
}
