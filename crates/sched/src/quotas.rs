//! Quotas of teams, divided over the entries of a data centre.

use std::time::Duration;

use hinge_conf::Policy;
use hinge_wire::{FastMap, InstanceId, TeamDemand, TeamId};
use tokio::time::Instant;

use crate::demand::{Demand, ReportedMinimum, fair_part};

/// Peers whose demand is held; a data centre has about eight entries.
const MAX_PEERS: usize = 256;
/// Teams taken from one report; the configuration allows reports of 32.
const MAX_REPORTED_TEAMS: usize = 32;
/// Time for which a computed rate is used again.
const RATE_REUSE: Duration = Duration::from_millis(50);
/// Teams held before idle ones are looked for outside of [`Quotas::report`].
const SWEEP_ABOVE: usize = 1024;
/// Demand in starts per second below which a team counts as idle.
const IDLE_DEMAND: f64 = 0.01;

/// Token bucket and demand of one team.
#[derive(Debug)]
struct TeamUse {
    at: Instant,
    demand: Demand,
    rate: f64,
    rate_generation: u64,
    rate_until: Instant,
    reported: ReportedMinimum,
    tokens: f64,
}

/// Demand that a peer reported last.
#[derive(Debug)]
struct PeerDemand {
    at: Instant,
    teams: FastMap<String, u32>,
}

/// Enforces this entry's part of the team quotas of the data centre.
///
/// The rate of a team at this entry is the larger of two parts of its quota:
///
/// - the equal part, `quota / entries`;
/// - the part by demand, only while the reports of all other entries on the platform's list are fresh. It
///   counts an own demand only after it has been reported for longer than a peer may hold an older report.
///
/// The equal parts sum to the quota. So do the parts by demand, in any view: an entry that misses a report
/// has none, and two entries that both have one know at least the demand that the other counts. With the same
/// list at all entries, the rates in force therefore sum to at most twice the quota, also when entries cannot
/// see each other or when demand jumps; without any reports, and with steady demand, they sum to the quota.
/// While lists differ, an entry that the others neither have on their lists nor hear from adds its own rate.
/// Each entry may start one burst beyond its rate, or one submission if that is larger.
#[derive(Debug)]
pub struct Quotas {
    burst_seconds: f64,
    default_quota: u64,
    enabled: bool,
    entries: u32,
    /// Changes with everything that a rate depends on.
    generation: u64,
    max_reported: usize,
    peers: FastMap<InstanceId, PeerDemand>,
    quotas: FastMap<TeamId, u64>,
    sweep_at: usize,
    teams: FastMap<TeamId, TeamUse>,
    /// Age up to which a peer's report counts.
    validity: Duration,
    /// Time for which an own demand must have been reported before it counts.
    window: Duration,
}

impl Quotas {
    /// Quotas of an entry that is alone until [`Self::set_entries`] says otherwise.
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
            sweep_at: SWEEP_ABOVE,
            teams: FastMap::default(),
            validity: Duration::ZERO,
            window: Duration::ZERO,
        };
        quotas.set_policy(policy, FastMap::default());
        quotas
    }

    /// Applies a new policy and the teams' own quotas, in task starts per second and data centre.
    pub fn set_policy(&mut self, policy: &Policy, quotas: FastMap<TeamId, u64>) {
        self.burst_seconds = Duration::from_millis(policy.quota_burst_ms).as_secs_f64();
        self.default_quota = policy.team_quota_per_s;
        self.enabled = policy.quotas_enabled;
        self.max_reported = MAX_REPORTED_TEAMS.min(policy.quota_report_teams as usize);
        self.quotas = quotas;
        let interval = Duration::from_millis(policy.heartbeat_interval_ms);
        self.validity = Duration::from_millis(policy.suspect_after_ms);
        // One interval more covers the way of a report and the reuse of a rate.
        self.window = self.validity + interval.max(RATE_REUSE * 2);
        self.generation += 1;
    }

    /// Number of entries of the data centre on the platform's last list, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        let entries = entries.max(1);
        if self.entries != entries {
            self.entries = entries;
            // All rates are computed again, so an unchanged view must not count as a change.
            self.generation += 1;
        }
    }

    /// Takes `starts` task starts from the team's quota; takes none and returns false when it is used up.
    ///
    /// A submission that is larger than a burst is taken when the bucket is full, and repaid afterwards.
    pub fn take(&mut self, now: Instant, team: &TeamId, starts: u32) -> bool {
        if !self.enabled {
            return true;
        }
        let quota = self.quota(team);
        if quota == 0 {
            return starts == 0;
        }
        let rate = self.settle_rate(now, team);
        let burst = self.burst(rate);
        let Some(entry) = self.teams.get_mut(team) else { return false };
        entry.refill(now, rate, burst);
        entry.demand.add(now, starts);
        let wanted = f64::from(starts);
        // The margin absorbs rounding of refills.
        let is_allowed = entry.tokens + 1e-9 >= wanted.min(burst);
        if is_allowed {
            entry.tokens -= wanted;
        }
        is_allowed
    }

    /// Records the demand that a peer reported about itself.
    pub fn observe_peer(&mut self, now: Instant, peer: &InstanceId, demand: &[TeamDemand]) {
        let validity = self.validity;
        self.peers.retain(|_, report| now.saturating_duration_since(report.at) <= validity);
        self.generation += 1;
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(peer) {
            return;
        }
        let teams = demand.iter().take(MAX_REPORTED_TEAMS);
        let teams = teams.map(|demand| (demand.team.clone(), demand.starts_per_s)).collect();
        self.peers.insert(peer.clone(), PeerDemand { at: now, teams });
    }

    /// The teams with the highest demand at this entry, to be sent to the peers. Forgets idle teams.
    ///
    /// The demand counts as reported from now on, so that the result must be sent.
    pub fn report(&mut self, now: Instant) -> Vec<TeamDemand> {
        self.sweep(now);
        let mut demand: Vec<(u32, TeamId)> = self
            .teams
            .iter()
            .map(|(team, entry)| (entry.demand.per_s(now).ceil() as u32, team.clone()))
            .filter(|(starts_per_s, _)| *starts_per_s > 0)
            .collect();
        let by_demand = |a: &(u32, TeamId), b: &(u32, TeamId)| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1));
        if demand.len() > self.max_reported && self.max_reported > 0 {
            demand.select_nth_unstable_by(self.max_reported - 1, by_demand);
        }
        demand.truncate(self.max_reported);
        demand.sort_unstable_by(by_demand);
        let listed: FastMap<&TeamId, u32> = demand.iter().map(|(starts, team)| (team, *starts)).collect();
        for (team, entry) in &mut self.teams {
            let starts_per_s = listed.get(team).copied().unwrap_or(0);
            entry.reported.record(now, self.window, starts_per_s);
        }
        self.generation += 1;
        let to_message =
            |(starts_per_s, team): (u32, TeamId)| TeamDemand { starts_per_s, team: team.to_string() };
        demand.into_iter().map(to_message).collect()
    }

    /// Task starts per second that this entry grants the team now.
    #[must_use]
    pub fn rate(&self, now: Instant, team: &TeamId) -> f64 {
        let own = self.teams.get(team).map_or(0, |entry| entry.reported.get(now, self.window));
        let quota = self.quota(team) as f64;
        let fresh = self.peers.values().filter(|report| self.is_fresh(now, report)).count();
        let entries = (self.entries as usize).max(fresh + 1);
        let equal = quota / entries as f64;
        if own == 0 || fresh + 1 < entries {
            return equal;
        }
        let fresh_reports = self.peers.values().filter(|report| self.is_fresh(now, report));
        let mut others: Vec<f64> =
            fresh_reports.map(|report| report.teams.get(&**team).copied().unwrap_or(0).into()).collect();
        equal.max(fair_part(quota, own.into(), &mut others))
    }

    /// Number of teams that state is held for.
    #[must_use]
    pub fn active_teams(&self) -> usize {
        self.teams.len()
    }

    fn is_fresh(&self, now: Instant, report: &PeerDemand) -> bool {
        now.saturating_duration_since(report.at) <= self.validity
    }

    fn quota(&self, team: &TeamId) -> u64 {
        self.quotas.get(team).copied().unwrap_or(self.default_quota)
    }

    fn burst(&self, rate: f64) -> f64 {
        (rate * self.burst_seconds).max(1.0)
    }

    /// The team's rate, computed again when something has changed or the last one is old.
    fn settle_rate(&mut self, now: Instant, team: &TeamId) -> f64 {
        let generation = self.generation;
        if let Some(entry) = self.teams.get(team)
            && entry.rate_generation == generation
            && now < entry.rate_until
        {
            return entry.rate;
        }
        let rate = self.rate(now, team);
        let burst = self.burst(rate);
        if !self.teams.contains_key(team) {
            self.insert(now, team, burst);
        }
        if let Some(entry) = self.teams.get_mut(team) {
            // The time until now counts at the rate that was in force.
            entry.refill(now, entry.rate, burst);
            (entry.rate, entry.rate_generation, entry.rate_until) = (rate, generation, now + RATE_REUSE);
        }
        rate
    }

    /// Adds a full bucket for a team.
    fn insert(&mut self, now: Instant, team: &TeamId, tokens: f64) {
        if self.teams.len() >= self.sweep_at {
            self.sweep(now);
        }
        let entry = TeamUse {
            at: now,
            demand: Demand::new(now),
            rate: 0.0,
            rate_generation: 0,
            rate_until: now,
            reported: ReportedMinimum::default(),
            tokens,
        };
        self.teams.insert(team.clone(), entry);
    }

    /// Forgets teams without demand whose bucket is full, so that a return gains them nothing.
    fn sweep(&mut self, now: Instant) {
        let burst_seconds = self.burst_seconds;
        self.teams.retain(|_, entry| {
            let burst = (entry.rate * burst_seconds).max(1.0);
            entry.refill(now, entry.rate, burst);
            entry.tokens < burst || entry.demand.per_s(now) > IDLE_DEMAND
        });
        self.sweep_at = SWEEP_ABOVE.max(self.teams.len() * 2);
        if self.teams.capacity() > self.sweep_at * 2 {
            self.teams.shrink_to(self.sweep_at);
        }
    }
}

impl TeamUse {
    fn refill(&mut self, now: Instant, rate: f64, burst: f64) {
        let seconds = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens = (self.tokens + rate * seconds).min(burst);
        self.at = self.at.max(now);
    }
}
