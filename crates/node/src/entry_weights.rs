//! Weights of the entries of a data centre in the division of its upstreams.

use hinge_wire::InstanceId;

/// An entry with the share of a core that it may use.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct EntryShare {
    pub(crate) instance: InstanceId,
    /// In thousandths of a core; 0 if it is not known.
    pub(crate) cpu_millis: u32,
}

/// The entries with their weights; equal ones if the share of any entry is not known, so that all entries divide alike while
/// some run an older version.
///
/// An entry spends about half of its processor time on the jobs of its callers, which are spread evenly over the entries. What
/// its share exceeds half of the mean by is left for upstreams. A quarter of the share is the lower bound, so that the upstreams
/// of a data centre do not all depend on its largest entries.
pub(crate) fn weighted(entries: &[EntryShare]) -> Vec<(InstanceId, u32)> {
    let shares = || entries.iter().map(|entry| u64::from(entry.cpu_millis));
    let is_known = shares().all(|share| share > 0);
    let half_of_mean = shares().sum::<u64>() / 2 / (entries.len() as u64).max(1);
    let weight = |entry: &EntryShare| {
        let share = u64::from(entry.cpu_millis);
        let weight = share.saturating_sub(half_of_mean).max(share / 4).max(1);
        if is_known { u32::try_from(weight).unwrap_or(u32::MAX) } else { 1 }
    };
    entries.iter().map(|entry| (entry.instance.clone(), weight(entry))).collect()
}
