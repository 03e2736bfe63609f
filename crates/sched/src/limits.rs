//! Limits of the scheduler, derived from the policy.

use std::time::Duration;

use hinge_conf::Policy;
use hinge_wire::Class;

use crate::shed::ShedLimits;

/// Maximum weight of a team, as in the configuration.
pub(crate) const MAX_WEIGHT: u32 = 10_000;

/// Limits of one scheduler. Arrays are indexed by class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) headroom_percent: u64,
    pub(crate) max_queued: usize,
    pub(crate) max_wait: [Duration; Class::COUNT],
    pub(crate) share_percent: [u64; Class::COUNT],
    pub(crate) shed: [ShedLimits; Class::COUNT],
    pub(crate) team_weight: u32,
}

impl Limits {
    pub(crate) fn new(policy: &Policy) -> Self {
        let target_wait = [
            policy.urgent_target_wait_ms,
            policy.booking_target_wait_ms,
            policy.query_target_wait_ms,
            policy.batch_target_wait_ms,
        ];
        let max_wait = [
            policy.urgent_max_wait_ms,
            policy.booking_max_wait_ms,
            policy.query_max_wait_ms,
            policy.batch_max_wait_ms,
        ];
        let share_percent = [
            policy.urgent_share_percent,
            policy.booking_share_percent,
            policy.query_share_percent,
            policy.batch_share_percent,
        ];
        Self {
            headroom_percent: policy.urgent_headroom_percent.min(100),
            max_queued: usize::try_from(policy.max_queued_tasks).unwrap_or(usize::MAX),
            max_wait: max_wait.map(Duration::from_millis),
            share_percent: share_percent.map(|percent| percent.min(100)),
            shed: target_wait.map(|target| ShedLimits {
                enabled: policy.shedding_enabled,
                interval: Duration::from_millis(policy.shed_interval_ms),
                target: Duration::from_millis(target),
            }),
            team_weight: policy.team_weight.clamp(1, MAX_WEIGHT.into()) as u32,
        }
    }

    /// Number of queue places reserved for a class: half of its share, so that a flood of one class leaves
    /// places for the others and can still use most of the queue.
    pub(crate) fn reserved(&self, class: Class) -> usize {
        self.max_queued / 200 * self.share_percent[class.index()] as usize
    }
}
