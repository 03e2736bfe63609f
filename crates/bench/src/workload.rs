//! Seeded workloads of urgent requests, bookings, queries and batch jobs.

use std::time::Duration;

use hinge_wire::Class;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use serde::{Deserialize, Serialize};

/// Standard deviation of the logarithm of run times, which are log-normal.
const RUN_TIME_SIGMA: f64 = 0.6;
/// Range to which the run times of ordinary tasks are clipped.
const SHORT_RUN_MS: (f64, f64) = (50.0, 1000.0);
/// Range of the run times of long tasks.
const LONG_RUN_MS: (u64, u64) = (2000, 6000);
/// Share of queries and batch tasks that are long.
const LONG_SHARE: f64 = 0.01;

/// Offered work of one class.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassLoad {
    /// Class of the submissions.
    pub class: Class,
    /// Fewest and most tasks of a submission, both inclusive.
    pub tasks: (u32, u32),
    /// Median run time of a task in milliseconds.
    pub median_run_ms: f64,
    /// Offered work as a share of all slots; 1.0 keeps all slots in use.
    pub share_of_slots: f64,
}

/// A period in which one class offers more work.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Flood {
    /// Class whose submission rate rises.
    pub class: Class,
    /// Start in seconds of virtual time.
    pub from_s: f64,
    /// Factor by which the normal rate of the class is multiplied.
    pub factor: f64,
    /// End in seconds of virtual time, exclusive.
    pub until_s: f64,
}

/// Parameters of a workload.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkloadSpec {
    /// Offered work by class.
    pub classes: Vec<ClassLoad>,
    /// Largest factor by which declared run times are too long or too short; 1 declares them exactly.
    pub declared_error: f64,
    /// Time in seconds during which submissions arrive.
    pub duration_s: f64,
    /// Periods of higher rate; the first that matches applies.
    pub floods: Vec<Flood>,
    /// Seed of arrival times, sizes, run times and teams.
    pub seed: u64,
    /// Number of slots that `share_of_slots` refers to.
    pub slots: u32,
    /// Number of teams; the number of submissions per team follows a Zipf distribution.
    pub teams: u32,
}

/// One submission of a workload.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Arrival {
    /// Virtual time at which the caller sends it.
    pub at: Duration,
    /// Class of the submission.
    pub class: Class,
    /// Run time declared for every task: that of the first task with the declaration error.
    pub declared: Duration,
    /// Actual run time of each task.
    pub run_times: Vec<Duration>,
    /// Number of the team, from 0; lower numbers submit more.
    pub team: u32,
}

/// Offered work of the four classes at a total of `load`; 1.0 keeps all slots in use.
#[must_use]
pub fn standard_mix(load: f64) -> Vec<ClassLoad> {
    let class = |class, share: f64, median_run_ms, tasks| ClassLoad {
        class,
        median_run_ms,
        share_of_slots: share * load,
        tasks,
    };
    vec![
        class(Class::Urgent, 0.30, 120.0, (1, 1)),
        class(Class::Booking, 0.25, 150.0, (1, 1)),
        class(Class::Query, 0.15, 250.0, (1, 1)),
        class(Class::Batch, 0.30, 300.0, (10, 110)),
    ]
}

/// Generates the submissions of a workload, ordered by arrival time. Equal parameters give equal workloads.
#[must_use]
pub fn generate(spec: &WorkloadSpec) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for load in &spec.classes {
        generate_class(spec, load, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn generate_class(spec: &WorkloadSpec, load: &ClassLoad, arrivals: &mut Vec<Arrival>) {
    let mut rng =
        SmallRng::seed_from_u64(spec.seed ^ (load.class.index() as u64 + 1).wrapping_mul(0x9E37_79B9));
    let mean_tasks = f64::from(load.tasks.0 + load.tasks.1) / 2.0;
    let work_s = mean_run_ms(load, spec.seed) / 1000.0 * mean_tasks;
    let rate = load.share_of_slots * f64::from(spec.slots) / work_s;
    let mut at_s = 0.0;
    loop {
        let factor = spec
            .floods
            .iter()
            .find(|flood| flood.class == load.class && (flood.from_s..flood.until_s).contains(&at_s))
            .map_or(1.0, |flood| flood.factor);
        let Ok(gap) = Exp::new(rate * factor) else { return };
        at_s += gap.sample(&mut rng);
        if at_s >= spec.duration_s {
            return;
        }
        arrivals.push(arrival(spec, load, at_s, &mut rng));
    }
}

fn arrival(spec: &WorkloadSpec, load: &ClassLoad, at_s: f64, rng: &mut SmallRng) -> Arrival {
    let tasks = rng.random_range(load.tasks.0..=load.tasks.1);
    let run_times: Vec<_> = (0..tasks).map(|_| run_time(load, rng)).collect();
    let declared_factor = spec.declared_error.max(1.0).powf(rng.random_range(-1.0..=1.0));
    let team = Zipf::new(f64::from(spec.teams), 1.0).map_or(0.0, |zipf| zipf.sample(rng) - 1.0);
    Arrival {
        at: Duration::from_secs_f64(at_s),
        class: load.class,
        declared: run_times.first().copied().unwrap_or_default().mul_f64(declared_factor),
        run_times,
        team: team as u32,
    }
}

fn run_time(load: &ClassLoad, rng: &mut SmallRng) -> Duration {
    if matches!(load.class, Class::Query | Class::Batch) && rng.random_bool(LONG_SHARE) {
        return Duration::from_millis(rng.random_range(LONG_RUN_MS.0..=LONG_RUN_MS.1));
    }
    let run_ms = LogNormal::new(load.median_run_ms.ln(), RUN_TIME_SIGMA)
        .map_or(load.median_run_ms, |distribution| distribution.sample(rng));
    Duration::from_secs_f64(run_ms.clamp(SHORT_RUN_MS.0, SHORT_RUN_MS.1) / 1000.0)
}

/// Mean run time of a sample in milliseconds. There is no simple formula, because the distribution is clipped.
fn mean_run_ms(load: &ClassLoad, seed: u64) -> f64 {
    const SAMPLES: u32 = 20_000;
    let mut rng = SmallRng::seed_from_u64(seed);
    let total: Duration = (0..SAMPLES).map(|_| run_time(load, &mut rng)).sum();
    total.as_secs_f64() * 1000.0 / f64::from(SAMPLES)
}
