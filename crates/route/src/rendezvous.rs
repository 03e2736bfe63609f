//! Rendezvous hash that is the same in every process.

use hinge_wire::InstanceId;

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

/// The entry that leads the upstream with this hash; ties go to the greater id.
pub(crate) fn leader(candidates: &[Candidate], upstream: u64) -> Option<&InstanceId> {
    let weight = |candidate: &Candidate| mix(mix(candidate.hash).wrapping_add(upstream));
    candidates
        .iter()
        .max_by(|a, b| weight(a).cmp(&weight(b)).then_with(|| a.id.cmp(&b.id)))
        .map(|one| &one.id)
}
