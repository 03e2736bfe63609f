//! Composition of heartbeats within their size limit.

use hinge_wire::{Heartbeat, MemberInfo, TeamDemand, to_msgpack};
use serde::Serialize;

/// Maximum size of an encoded heartbeat. Eight of them per second, with the replies and the HTTP headers of both, stay
/// within a node's budget of 17 KB/s for control traffic.
pub const MAX_HEARTBEAT_BYTES: usize = 1400;

/// Maximum number of members in one heartbeat.
const MAX_MEMBERS: usize = 64;
/// Maximum number of teams in one heartbeat.
const MAX_TEAMS: usize = 32;

/// Part of [`MAX_HEARTBEAT_BYTES`] for the demand of teams. The rest fits about five members: with no members in the
/// digest, only direct messages would detect liveness.
const MAX_DEMAND_BYTES: usize = 600;

/// Bytes for the field names and lengths of the heartbeat itself.
const ENVELOPE_BYTES: usize = 64;

fn size(message: &impl Serialize) -> usize {
    to_msgpack(message).map_or(usize::MAX, |bytes| bytes.len())
}

/// Takes items from the front, at most `count` of at most `bytes` in total; returns them with their total size.
fn take_within<T: Clone + Serialize>(items: &[T], count: usize, bytes: usize) -> (Vec<T>, usize) {
    let (mut taken, mut used) = (Vec::new(), 0_usize);
    for item in items.iter().take(count) {
        let next = used.saturating_add(size(item));
        if next > bytes {
            break;
        }
        used = next;
        taken.push(item.clone());
    }
    (taken, used)
}

/// Builds a heartbeat with the teams of the highest demand and as many of `members` as still fit, in their order.
pub(crate) fn build(from: MemberInfo, members: &[MemberInfo], demand: &[TeamDemand]) -> Heartbeat {
    let mut demand = demand.to_vec();
    demand.sort_by_key(|team| std::cmp::Reverse(team.starts_per_s));
    let (demand, demand_bytes) = take_within(&demand, MAX_TEAMS, MAX_DEMAND_BYTES);
    let used = ENVELOPE_BYTES + size(&from) + demand_bytes;
    let (members, _) = take_within(members, MAX_MEMBERS, MAX_HEARTBEAT_BYTES.saturating_sub(used));
    Heartbeat { demand, from, members, target_incarnation: 0 }
}

/// Whether the lists of a received heartbeat are within their limits.
pub(crate) fn is_bounded(heartbeat: &Heartbeat) -> bool {
    heartbeat.members.len() <= MAX_MEMBERS && heartbeat.demand.len() <= MAX_TEAMS
}
