//! Content of a heartbeat within its size limit.

use hinge_wire::{Heartbeat, MemberInfo, TeamDemand, to_msgpack};
use serde::Serialize;

/// Size limit of an encoded heartbeat. Eight of them per second, with as many replies and the HTTP heads of both, stay
/// under the 17 KB/s that a node may spend on control traffic.
pub const MAX_HEARTBEAT_BYTES: usize = 1400;

/// Members in one heartbeat, and teams in one heartbeat.
const MAX_MEMBERS: usize = 64;
const MAX_TEAMS: usize = 32;

/// Part of the limit that the demand of teams may use. The rest is left for about five members, because a digest without
/// members would leave liveness to direct contact only.
const MAX_DEMAND_BYTES: usize = 600;

/// Bytes of the heartbeat's own field names and lengths.
const FRAME_BYTES: usize = 64;

fn size(message: &impl Serialize) -> usize {
    to_msgpack(message).map_or(usize::MAX, |bytes| bytes.len())
}

/// Items from the front, at most `count` and `bytes`; returns them with their size.
fn within<T: Clone + Serialize>(items: &[T], count: usize, bytes: usize) -> (Vec<T>, usize) {
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

/// Builds a heartbeat: the highest demand first, then as many of `members` as fit.
pub(crate) fn build(from: MemberInfo, members: &[MemberInfo], demand: &[TeamDemand]) -> Heartbeat {
    let mut demand = demand.to_vec();
    demand.sort_by_key(|team| std::cmp::Reverse(team.starts_per_s));
    let (demand, demand_bytes) = within(&demand, MAX_TEAMS, MAX_DEMAND_BYTES);
    let used = FRAME_BYTES + size(&from) + demand_bytes;
    let (members, _) = within(members, MAX_MEMBERS, MAX_HEARTBEAT_BYTES.saturating_sub(used));
    Heartbeat { demand, from, members, target_incarnation: 0 }
}

/// Whether a received heartbeat keeps the limits on its lists.
pub(crate) fn is_bounded(heartbeat: &Heartbeat) -> bool {
    heartbeat.members.len() <= MAX_MEMBERS && heartbeat.demand.len() <= MAX_TEAMS
}
