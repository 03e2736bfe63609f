//! Team quotas, divided among the entries of a data centre.

use std::time::Duration;

use hinge_conf::Policy;
use hinge_wire::{FastMap, InstanceId, TeamDemand, TeamId};
use tokio::time::Instant;

use crate::demand::{Demand, ReportedMinimum, max_min_share};

/// Maximum number of peers whose reports are stored; a data centre has about eight entries.
const MAX_PEERS: usize = 256;
/// Maximum number of teams accepted from one report, as in the configuration.
const MAX_REPORTED_TEAMS: usize = 32;
/// Time for which a computed rate is reused.
const RATE_REUSE: Duration = Duration::from_millis(50);
/// Number of teams above which idle ones are evicted outside of [`Quotas::report`] too.
const EVICT_ABOVE: usize = 1024;
/// Demand in starts per second below which a team counts as idle.
const IDLE_DEMAND: f64 = 0.01;

/// Token bucket and demand of one team.
#[derive(Debug)]
struct TeamState {
    at: Instant,
    demand: Demand,
    rate: f64,
    rate_generation: u64,
    rate_until: Instant,
    reported: ReportedMinimum,
    tokens: f64,
}

/// Last report of a peer: starts per second by team.
#[derive(Debug)]
struct PeerDemand {
    at: Instant,
    teams: FastMap<String, u32>,
}

/// Enforces this entry's part of the team quotas of the data centre.
///
/// The rate of a team at this entry is the larger of two parts of its quota:
///
/// - The equal part, `quota / entries`.
/// - The max-min fair part by demand, which applies only while the reports of all other entries on the
///   platform's list are fresh. This entry's own demand counts only after it has been reported for longer
///   than a peer may use an older report.
///
/// The equal parts sum to the quota. The parts by demand sum to at most the quota, whatever reports each
/// entry has: an entry that lacks a report has no such part, and two entries that both have one know at least
/// the demand that the other counts. While all entries have the same list, the rates therefore sum to at most
/// twice the quota, also in a partition and when demand changes suddenly. Without any reports, and with
/// steady demand, they sum to the quota. While lists differ, an entry that is on no other's list and whose
/// reports do not arrive adds its own rate.
///
/// Each entry may also start one burst beyond its rate, or one submission if that is larger.
#[derive(Debug)]
pub struct Quotas {
    burst_seconds: f64,
    default_quota: u64,
    enabled: bool,
    entries: u32,
    /// Incremented when anything changes that rates depend on, except the time.
    generation: u64,
    /// Maximum number of teams in a report of this entry.
    max_reported: usize,
    peers: FastMap<InstanceId, PeerDemand>,
    quotas: FastMap<TeamId, u64>,
    evict_above: usize,
    teams: FastMap<TeamId, TeamState>,
    /// Maximum age of a peer's report that counts.
    report_validity: Duration,
    /// Time for which this entry must have reported a demand before it counts.
    window: Duration,
}

impl Quotas {
    /// Creates the quotas of an entry that is the only one until [`Self::set_entries`] is called.
    #[must_use]
    pub fn new(policy: &Policy) -> Self {
        let mut quotas = Self {
            burst_seconds: 0.0,
            default_quota: 0,
            enabled: true,
            entries: 1,
            generation: 0,
            max_reported: 0,
            peers: FastMap::default(),
            quotas: FastMap::default(),
            evict_above: EVICT_ABOVE,
            teams: FastMap::default(),
            report_validity: Duration::ZERO,
            window: Duration::ZERO,
        };
        quotas.set_policy(policy, FastMap::default());
        quotas
    }

    /// Applies a new policy and the quotas of teams that differ from the policy's, in task starts per second
    /// over the whole data centre. A quota of 0 blocks a team.
    pub fn set_policy(&mut self, policy: &Policy, quotas: FastMap<TeamId, u64>) {
        self.burst_seconds = Duration::from_millis(policy.quota_burst_ms).as_secs_f64();
        self.default_quota = policy.team_quota_per_s;
        self.enabled = policy.quotas_enabled;
        self.max_reported = MAX_REPORTED_TEAMS.min(policy.quota_report_teams as usize);
        self.quotas = quotas;
        let interval = Duration::from_millis(policy.heartbeat_interval_ms);
        self.report_validity = Duration::from_millis(policy.suspect_after_ms);
        // One more interval covers the transmission of a report and the reuse of a rate.
        self.window = self.report_validity + interval.max(RATE_REUSE * 2);
        self.generation += 1;
    }

    /// Sets the number of entries of the data centre on the platform's last list, including this one.
    pub fn set_entries(&mut self, entries: u32) {
        let entries = entries.max(1);
        if self.entries != entries {
            self.entries = entries;
            // This invalidates all rates, so it is done only for an actual change.
            self.generation += 1;
        }
    }

    /// Takes `starts` task starts from the team's quota, or none and returns false when too few are left.
    ///
    /// A submission larger than a burst is allowed when the bucket is full; the bucket then goes negative.
    pub fn take(&mut self, now: Instant, team: &TeamId, starts: u32) -> bool {
        if !self.enabled {
            return true;
        }
        let quota = self.quota(team);
        if quota == 0 {
            return starts == 0;
        }
        let rate = self.current_rate(now, team);
        let burst = self.burst(rate);
        let Some(state) = self.teams.get_mut(team) else { return false };
        state.refill(now, rate, burst);
        state.demand.add(now, starts);
        let wanted = f64::from(starts);
        // The margin absorbs rounding errors of refills.
        let is_allowed = state.tokens + 1e-9 >= wanted.min(burst);
        if is_allowed {
            state.tokens -= wanted;
        }
        is_allowed
    }

    /// Stores the report that a peer sent about its own demand.
    pub fn observe_peer(&mut self, now: Instant, peer: &InstanceId, demand: &[TeamDemand]) {
        let report_validity = self.report_validity;
        self.peers.retain(|_, report| now.saturating_duration_since(report.at) <= report_validity);
        self.generation += 1;
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(peer) {
            return;
        }
        let teams = demand.iter().take(MAX_REPORTED_TEAMS);
        let teams = teams.map(|demand| (demand.team.clone(), demand.starts_per_s)).collect();
        self.peers.insert(peer.clone(), PeerDemand { at: now, teams });
    }

    /// Returns the teams with the highest demand at this entry, sorted by demand, and evicts idle teams.
    ///
    /// The demand counts as reported from now on, so the result must be sent to all peers.
    pub fn report(&mut self, now: Instant) -> Vec<TeamDemand> {
        self.evict_idle(now);
        let mut demand: Vec<(u32, TeamId)> = self
            .teams
            .iter()
            .map(|(team, state)| (state.demand.per_s(now).ceil() as u32, team.clone()))
            .filter(|(starts_per_s, _)| *starts_per_s > 0)
            .collect();
        let by_demand = |a: &(u32, TeamId), b: &(u32, TeamId)| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1));
        if demand.len() > self.max_reported && self.max_reported > 0 {
            demand.select_nth_unstable_by(self.max_reported - 1, by_demand);
        }
        demand.truncate(self.max_reported);
        demand.sort_unstable_by(by_demand);
        let listed: FastMap<&TeamId, u32> = demand.iter().map(|(starts, team)| (team, *starts)).collect();
        for (team, state) in &mut self.teams {
            let starts_per_s = listed.get(team).copied().unwrap_or(0);
            state.reported.record(now, self.window, starts_per_s);
        }
        self.generation += 1;
        let to_message =
            |(starts_per_s, team): (u32, TeamId)| TeamDemand { starts_per_s, team: team.to_string() };
        demand.into_iter().map(to_message).collect()
    }

    /// Current rate of the team at this entry, in task starts per second.
    #[must_use]
    pub fn rate(&self, now: Instant, team: &TeamId) -> f64 {
        let own_demand = self.teams.get(team).map_or(0, |state| state.reported.get(now, self.window));
        let quota = self.quota(team) as f64;
        let fresh = self.peers.values().filter(|report| self.is_fresh(now, report)).count();
        let entries = (self.entries as usize).max(fresh + 1);
        let equal = quota / entries as f64;
        if own_demand == 0 || fresh + 1 < entries {
            return equal;
        }
        let fresh_reports = self.peers.values().filter(|report| self.is_fresh(now, report));
        let mut others: Vec<f64> =
            fresh_reports.map(|report| report.teams.get(&**team).copied().unwrap_or(0).into()).collect();
        equal.max(max_min_share(quota, own_demand.into(), &mut others))
    }

    /// Number of teams with a token bucket.
    #[must_use]
    pub fn active_teams(&self) -> usize {
        self.teams.len()
    }

    fn is_fresh(&self, now: Instant, report: &PeerDemand) -> bool {
        now.saturating_duration_since(report.at) <= self.report_validity
    }

    fn quota(&self, team: &TeamId) -> u64 {
        self.quotas.get(team).copied().unwrap_or(self.default_quota)
    }

    fn burst(&self, rate: f64) -> f64 {
        (rate * self.burst_seconds).max(1.0)
    }

    /// Returns the team's rate, and recomputes it when it is outdated. Adds the team if it is unknown.
    fn current_rate(&mut self, now: Instant, team: &TeamId) -> f64 {
        let generation = self.generation;
        if let Some(state) = self.teams.get(team)
            && state.rate_generation == generation
            && now < state.rate_until
        {
            return state.rate;
        }
        let rate = self.rate(now, team);
        let burst = self.burst(rate);
        if !self.teams.contains_key(team) {
            self.insert(now, team, burst);
        }
        if let Some(state) = self.teams.get_mut(team) {
            // The time up to now is credited at the previous rate.
            state.refill(now, state.rate, burst);
            (state.rate, state.rate_generation, state.rate_until) = (rate, generation, now + RATE_REUSE);
        }
        rate
    }

    /// Adds a team with `tokens` tokens.
    fn insert(&mut self, now: Instant, team: &TeamId, tokens: f64) {
        if self.teams.len() >= self.evict_above {
            self.evict_idle(now);
        }
        let state = TeamState {
            at: now,
            demand: Demand::new(now),
            rate: 0.0,
            rate_generation: 0,
            rate_until: now,
            reported: ReportedMinimum::default(),
            tokens,
        };
        self.teams.insert(team.clone(), state);
    }

    /// Evicts teams without demand whose bucket is full; adding them again with a full bucket gains them
    /// nothing.
    fn evict_idle(&mut self, now: Instant) {
        let burst_seconds = self.burst_seconds;
        self.teams.retain(|_, state| {
            let burst = (state.rate * burst_seconds).max(1.0);
            state.refill(now, state.rate, burst);
            state.tokens < burst || state.demand.per_s(now) > IDLE_DEMAND
        });
        self.evict_above = EVICT_ABOVE.max(self.teams.len() * 2);
        if self.teams.capacity() > self.evict_above * 2 {
            self.teams.shrink_to(self.evict_above);
        }
    }
}

impl TeamState {
    fn refill(&mut self, now: Instant, rate: f64, burst: f64) {
        let seconds = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens = (self.tokens + rate * seconds).min(burst);
        self.at = self.at.max(now);
    }
}
