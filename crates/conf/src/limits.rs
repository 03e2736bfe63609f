//! Limits that contradict each other after resolution.

use std::collections::BTreeMap;
use std::fmt;

use hinge_wire::{ConfigDocument, ScopeKind};

use crate::Policy;
use crate::document::fleet_policy;

/// Settings that contradict each other.
pub(crate) struct Contradiction {
    pub(crate) message: String,
    pub(crate) settings: Vec<&'static str>,
}

/// The fleet, or a data centre with an exception, and its settings.
pub(crate) struct Place<'a> {
    /// The data centre; `None` for the fleet defaults.
    pub(crate) data_centre: Option<&'a str>,
    pub(crate) policy: Policy,
}

impl Place<'_> {
    /// Path of the first entry that sets one of the settings here; `None` if a data centre inherits them all, because
    /// the contradiction is then one of the fleet defaults.
    pub(crate) fn path(&self, document: &ConfigDocument, settings: &[&str]) -> Option<String> {
        let Some(data_centre) = self.data_centre else {
            let given = settings.iter().find(|setting| document.defaults.contains_key(**setting));
            return given.or(settings.first()).map(|setting| format!("defaults.{setting}"));
        };
        let index = document.exceptions.iter().position(|exception| {
            let scope = &exception.scope;
            scope.kind == ScopeKind::DataCentre
                && scope.name == data_centre
                && settings.contains(&exception.setting.as_str())
        });
        index.map(|index| format!("exceptions[{index}].value"))
    }
}

impl fmt::Display for Place<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.data_centre {
            None => f.write_str("fleet defaults"),
            Some(name) => write!(f, "data centre {name}"),
        }
    }
}

/// Returns the fleet defaults, then the settings of every data centre that has an exception.
pub(crate) fn places(document: &ConfigDocument) -> Vec<Place<'_>> {
    let fleet = fleet_policy(document);
    let mut policies: BTreeMap<&str, Policy> = BTreeMap::new();
    for exception in
        document.exceptions.iter().filter(|exception| exception.scope.kind == ScopeKind::DataCentre)
    {
        let policy = policies.entry(&exception.scope.name).or_insert_with(|| fleet.clone());
        policy.set(&exception.setting, &exception.value);
    }
    let data_centres = policies.into_iter().map(|(name, policy)| Place { data_centre: Some(name), policy });
    std::iter::once(Place { data_centre: None, policy: fleet.clone() }).chain(data_centres).collect()
}

/// Contradictions for which a document is rejected; the values must be in their ranges.
pub(crate) fn rejected(policy: &Policy) -> Vec<Contradiction> {
    let shares = policy.urgent_share_percent
        + policy.booking_share_percent
        + policy.query_share_percent
        + policy.batch_share_percent;
    // A tombstone must exist until a resumed owner can no longer start the task. Leases are shared until half of their
    // time to live is over, so a record may live for only half of it.
    let last_start_ms = policy.key_validity_ms + policy.max_deadline_ms;
    let checks: [(bool, &'static [&'static str], String); 4] = [
        (
            shares > 100,
            &["urgent_share_percent", "booking_share_percent", "query_share_percent", "batch_share_percent"],
            format!("the shares of all classes sum to {shares} percent; allowed: at most 100"),
        ),
        (
            policy.suspect_after_ms > policy.dead_after_ms,
            &["suspect_after_ms", "dead_after_ms"],
            "suspect_after_ms is above dead_after_ms".to_owned(),
        ),
        (
            policy.eject_base_ms > policy.eject_limit_ms,
            &["eject_base_ms", "eject_limit_ms"],
            "eject_base_ms is above eject_limit_ms".to_owned(),
        ),
        (
            policy.claim_ttl_ms < 2 * last_start_ms,
            &["claim_ttl_ms", "key_validity_ms", "max_deadline_ms"],
            format!("claim_ttl_ms is below twice key_validity_ms + max_deadline_ms ({last_start_ms})"),
        ),
    ];
    let failed = checks.into_iter().filter(|(is_contradiction, ..)| *is_contradiction);
    failed.map(|(_, settings, message)| Contradiction { message, settings: settings.to_vec() }).collect()
}

/// Contradictions that are accepted, although one of the limits then has no effect or does harm.
pub(crate) fn accepted(policy: &Policy) -> Vec<Contradiction> {
    let limits = class_limits(policy).into_iter().chain(common_limits(policy));
    limits.filter_map(OrderedLimits::contradiction).collect()
}

/// Name and value of a setting.
type Limit = (&'static str, u64);

/// Two limits of which the first must not be above the second, and what happens if it is.
struct OrderedLimits {
    effect: &'static str,
    lower: Limit,
    upper: Limit,
}

impl OrderedLimits {
    fn contradiction(self) -> Option<Contradiction> {
        let Self { effect, lower, upper } = self;
        (lower.1 > upper.1).then(|| Contradiction {
            message: format!("{} ({}) is above {} ({}): {effect}", lower.0, lower.1, upper.0, upper.1),
            settings: vec![lower.0, upper.0],
        })
    }
}

macro_rules! limit {
    ($policy:ident, $name:ident) => {
        (stringify!($name), $policy.$name)
    };
}

fn class_limits(policy: &Policy) -> Vec<OrderedLimits> {
    let longest = limit!(policy, max_deadline_ms);
    let classes = [
        (
            limit!(policy, urgent_target_wait_ms),
            limit!(policy, urgent_max_wait_ms),
            limit!(policy, urgent_deadline_ms),
        ),
        (
            limit!(policy, booking_target_wait_ms),
            limit!(policy, booking_max_wait_ms),
            limit!(policy, booking_deadline_ms),
        ),
        (
            limit!(policy, query_target_wait_ms),
            limit!(policy, query_max_wait_ms),
            limit!(policy, query_deadline_ms),
        ),
        (
            limit!(policy, batch_target_wait_ms),
            limit!(policy, batch_max_wait_ms),
            limit!(policy, batch_deadline_ms),
        ),
    ];
    let limits = |(target, max_wait, deadline): (Limit, Limit, Limit)| {
        [
            OrderedLimits {
                effect: "early refusal by the target never starts",
                lower: target,
                upper: max_wait,
            },
            OrderedLimits {
                effect: "submissions are admitted that cannot start in time",
                lower: max_wait,
                upper: deadline,
            },
            OrderedLimits {
                effect: "the default is longer than a caller may request",
                lower: deadline,
                upper: longest,
            },
        ]
    };
    classes.into_iter().flat_map(limits).collect()
}

fn common_limits(policy: &Policy) -> [OrderedLimits; 5] {
    [
        OrderedLimits {
            effect: "no answer of the largest size can be kept",
            lower: limit!(policy, max_answer_bytes),
            upper: limit!(policy, answer_memory_bytes),
        },
        OrderedLimits {
            effect: "no submission with the most tasks can be queued",
            lower: limit!(policy, max_job_tasks),
            upper: limit!(policy, max_queued_tasks),
        },
        OrderedLimits {
            effect: "members become suspect between two heartbeats",
            lower: limit!(policy, heartbeat_interval_ms),
            upper: limit!(policy, suspect_after_ms),
        },
        OrderedLimits {
            effect: "urgent submissions expire before a busy upstream is tried again",
            lower: limit!(policy, busy_backoff_ms),
            upper: limit!(policy, urgent_deadline_ms),
        },
        OrderedLimits {
            effect: "tasks may run beyond every deadline",
            lower: limit!(policy, task_timeout_ms),
            upper: limit!(policy, max_deadline_ms),
        },
    ]
}

/// Contradiction between the settings and the memory of an entry.
pub(crate) fn beyond_memory(policy: &Policy, memory_bytes: u64) -> Option<Contradiction> {
    let limits = OrderedLimits {
        effect: "an entry runs out of memory before its results are evicted",
        lower: limit!(policy, answer_memory_bytes),
        upper: ("the memory of an entry", memory_bytes),
    };
    limits.contradiction()
}
