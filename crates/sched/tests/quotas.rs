//! Team quotas across several entries with different views.

use std::time::Duration;

use hinge_conf::Policy;
use hinge_sched::Quotas;
use hinge_wire::{FastMap, InstanceId, TeamDemand, TeamId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);
const QUOTA: f64 = 1000.0;

/// Simulated entries of a data centre; a report arrives after up to 200 ms.
struct Cluster {
    entries: Vec<Quotas>,
    in_transit: Vec<(Instant, usize, usize, Vec<TeamDemand>)>,
    now: Instant,
    /// Whether reports of the entry `from` arrive at `to`, as `reaches[from][to]`.
    reaches: Vec<Vec<bool>>,
    started: Vec<f64>,
    team: TeamId,
    tick: u64,
}

impl Cluster {
    fn new(count: usize) -> Self {
        let new_entry = || {
            let mut quotas = Quotas::new(&Policy::default());
            quotas.set_entries(count as u32);
            quotas
        };
        Self {
            entries: (0..count).map(|_| new_entry()).collect(),
            in_transit: Vec::new(),
            now: Instant::now(),
            reaches: vec![vec![true; count]; count],
            started: vec![0.0; count],
            team: "a".into(),
            tick: 0,
        }
    }

    /// Simulates 10 ms with the given demands in starts per second; each request asks for `batch` starts.
    fn step(&mut self, demand: &[f64], batch: u32, random: &mut StdRng) {
        self.now += MS * 10;
        self.tick += 1;
        for (index, demand) in demand.iter().enumerate() {
            let chance = demand / 100.0 / f64::from(batch);
            let tries = chance as u32 + u32::from(random.random_bool(chance.fract()));
            for _ in 0..tries {
                if self.entries[index].take(self.now, &self.team, batch) {
                    self.started[index] += f64::from(batch);
                }
            }
            if (self.tick + index as u64 * 7).is_multiple_of(50) {
                self.report(index, random);
            }
        }
        let now = self.now;
        for (_, from, to, demand) in self.in_transit.extract_if(.., |(at, ..)| *at <= now) {
            let name = InstanceId::from(format!("entry-{from}"));
            self.entries[to].observe_peer(now, &name, &demand);
        }
    }

    fn report(&mut self, from: usize, random: &mut StdRng) {
        let demand = self.entries[from].report(self.now);
        for to in (0..self.entries.len()).filter(|&to| to != from) {
            if self.reaches[from][to] {
                let at = self.now + MS * random.random_range(0..200);
                self.in_transit.push((at, from, to, demand.clone()));
            }
        }
    }

    fn rates(&self) -> Vec<f64> {
        self.entries.iter().map(|entry| entry.rate(self.now, &self.team)).collect()
    }
}

/// Guards against rates that sum to more than twice the quota while demands change suddenly and views differ,
/// and against starts beyond the rates and one burst per entry.
#[test]
fn overshoot_is_bounded_in_any_view() {
    for seed in 0..24 {
        let mut random = StdRng::seed_from_u64(seed);
        let count = random.random_range(2..=8);
        let mut cluster = Cluster::new(count);
        let mut demand = vec![0.0; count];
        let mut granted = vec![0.0; count];
        for tick in 0..3000 {
            if tick % 150 == 0 {
                for value in &mut demand {
                    *value = [0.0, 20.0, 400.0, 8000.0][random.random_range(0..4)];
                }
            }
            if tick % 400 == 0 {
                // All connected, two partitions, or each direction at random.
                let (mode, split) = (random.random_range(0..3), random.random_range(0..count));
                for from in 0..count {
                    for to in 0..count {
                        let is_same_side = (from < split) == (to < split);
                        cluster.reaches[from][to] =
                            mode == 0 || mode == 1 && is_same_side || mode == 2 && random.random_bool(0.7);
                    }
                }
            }
            let before = cluster.rates();
            cluster.step(&demand, 1, &mut random);
            let rates = cluster.rates();
            let sum: f64 = rates.iter().sum();
            assert!(sum <= 2.0 * QUOTA * 1.000_001, "seed {seed}, tick {tick}: {sum} of {rates:?}");
            for (granted, (rate, before)) in granted.iter_mut().zip(rates.iter().zip(before)) {
                // A computed rate is reused for up to 50 ms, so the larger of both rates may apply.
                *granted += rate.max(before) * 0.01;
            }
        }
        for (index, (started, granted)) in cluster.started.iter().zip(granted).enumerate() {
            let burst = QUOTA;
            assert!(*started <= granted * 1.05 + burst, "seed {seed}, entry {index}: {started} of {granted}");
        }
    }
}

/// Guards against quotas that cannot be used at the entries with demand, and against lasting overshoot.
#[test]
fn quota_follows_steady_demand() {
    let mut random = StdRng::seed_from_u64(3);
    let mut cluster = Cluster::new(8);
    let demand = [3000.0, 500.0, 20.0, 20.0, 20.0, 20.0, 20.0, 0.0];
    for _ in 0..1000 {
        cluster.step(&demand, 1, &mut random);
    }
    cluster.started.fill(0.0);
    for _ in 0..2000 {
        cluster.step(&demand, 1, &mut random);
    }
    let per_s: Vec<f64> = cluster.started.iter().map(|started| started / 20.0).collect();
    let sum: f64 = per_s.iter().sum();
    assert!((0.9 * QUOTA..1.1 * QUOTA).contains(&sum), "{sum} of {per_s:?}");
    assert!(per_s[0] > 400.0 && per_s[1] > 400.0, "the busy entries do not share the rest: {per_s:?}");
    assert!(per_s[2..7].iter().all(|&rate| rate > 17.0), "small demand was refused: {per_s:?}");
}

/// Guards against entries that exceed the quota together while all of them are isolated.
#[test]
fn partitioned_entries_stay_within_the_quota() {
    let mut random = StdRng::seed_from_u64(4);
    let mut cluster = Cluster::new(5);
    cluster.reaches = vec![vec![false; 5]; 5];
    for _ in 0..2000 {
        cluster.step(&[5000.0; 5], 1, &mut random);
    }
    let sum: f64 = cluster.started.iter().sum();
    // 20 s at the quota and one burst of 1 s.
    assert!((20.0 * QUOTA..=21.01 * QUOTA).contains(&sum), "{sum}");
}

/// Guards against jobs larger than a burst that never start, or that exceed the quota.
#[test]
fn large_submissions_are_repaid() {
    let policy = Policy { team_quota_per_s: 50, ..Policy::default() };
    let mut quotas = Quotas::new(&policy);
    let (start, team) = (Instant::now(), TeamId::from("a"));
    let taken = (0..6000).filter(|&tick| quotas.take(start + MS * 10 * tick, &team, 110)).count();
    // 60 s at 50/s are 3,000 starts. A job is taken each time the bucket is full again.
    assert!((26..=28).contains(&taken), "{taken} jobs of 110 tasks");
}

/// Guards against token buckets of idle teams that are never evicted, and against ignored settings.
#[test]
fn idle_teams_are_evicted_and_settings_apply() {
    let mut now = Instant::now();
    let mut quotas = Quotas::new(&Policy::default());
    for number in 0..100_000 {
        now += MS;
        assert!(quotas.take(now, &format!("team-{number}").into(), 1));
        assert!(quotas.active_teams() <= 20_000, "{}", quotas.active_teams());
    }
    assert_eq!(quotas.report(now + MS * 60_000), []);
    assert_eq!(quotas.active_teams(), 0);

    let (none, blocked) = (FastMap::default(), TeamId::from("blocked"));
    quotas.set_policy(&Policy::default(), FastMap::from_iter([(blocked.clone(), 0)]));
    assert!(!quotas.take(now, &blocked, 1));
    quotas.set_policy(&Policy { quotas_enabled: false, ..Policy::default() }, none);
    assert!(quotas.take(now, &blocked, 1_000_000));
}

/// Guards against reports that exceed the limit of teams or leave out the highest demand.
#[test]
fn reports_hold_the_highest_demand() {
    let now = Instant::now();
    let mut quotas = Quotas::new(&Policy::default());
    for number in 0..680_u32 {
        quotas.take(now, &format!("team-{number:03}").into(), number % 100);
    }
    let report = quotas.report(now);
    assert_eq!(report.len(), 32);
    // 30 teams want 95 to 99 starts and six want 94.
    assert_eq!(report.iter().filter(|demand| demand.starts_per_s >= 95).count(), 30);
    assert!(report.iter().all(|demand| demand.starts_per_s >= 94));
    assert!(report.is_sorted_by_key(|demand| std::cmp::Reverse(demand.starts_per_s)));
}
