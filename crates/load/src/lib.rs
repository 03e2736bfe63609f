//! Measures the cost of each unit of load and state, and generates load over HTTP.
//!
//! `hinge-load slopes` measures the CPU time, memory, bytes or store calls that one more task, record, team, upstream,
//! peer or team quota costs, each at two or more sizes, and prints a Markdown table. The figures of `docs/CAPACITY.md`
//! are calculated from this table. `hinge-load http` sends a seeded mix of submissions through the caller's client to
//! entry instances and fake upstreams on loopback.
//!
//! - [`Slope`] fits a line through measurements; [`Row`] is one row of the table.
//! - [`measure_slopes`] takes all measurements; [`Plan`] sets their sizes and durations.
//! - [`http`] generates load over HTTP, [`cluster`] starts the instances that it runs against.
//!
//! ```
//! use hinge_load::{Row, Slope};
//!
//! let slope = Slope { points: vec![(100.0, 450.0), (400.0, 1650.0)] };
//! assert_eq!((slope.per_unit(), slope.intercept()), (4.0, 50.0));
//! let row = Row::new("memory: key", "key", "bytes", slope.points);
//! assert_eq!(row.to_string(), "| memory: key | key | 100: 450.0; 400: 1650 | 4.00 bytes | 50.0 bytes |");
//! ```

pub mod cluster;
mod decisions;
mod fixture;
pub mod http;
mod live;
mod memory;
mod slope;
mod usage;

use std::time::Duration;

use tokio::time::Instant;

pub use cluster::ClusterError;
pub use slope::{Row, Slope};

use live::IdleCluster;

/// Sizes and durations of the measurements.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Time in seconds for which idle clusters are measured. A store watch takes 30 s.
    pub idle_seconds: f64,
    /// Factor applied to the repetitions of CPU measurements and the sizes of memory measurements.
    pub scale: f64,
    /// Time in seconds between the start of an idle cluster and its measurement.
    pub settle_seconds: f64,
    /// Numbers of entries that start at the same time, in the two clusters whose store calls are measured.
    pub store_entries: [usize; 2],
    /// Time in seconds for which each run over HTTP submits.
    pub task_seconds: f64,
    /// Time in seconds for which store calls are counted after a start, during a store outage and after it.
    pub observation_seconds: f64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            idle_seconds: 60.0,
            scale: 1.0,
            settle_seconds: 3.0,
            store_entries: [8, 32],
            task_seconds: 3.0,
            observation_seconds: 4.0,
        }
    }
}

/// Takes all measurements and passes each finished row to `print`.
///
/// # Errors
///
/// Fails when a cluster cannot be started or a measurement's connections fail.
pub fn measure_slopes(plan: &Plan, mut print: impl FnMut(&Row)) -> Result<(), ClusterError> {
    // Memory first, while the process is small: later state could reuse freed memory and would not show as growth.
    memory::rows(plan.scale).iter().for_each(&mut print);
    print(&live::connection_row()?);
    let settle = Duration::from_secs_f64(plan.settle_seconds);
    let idle = [
        IdleCluster::start("idle-a", 2, 36, settle)?,
        IdleCluster::start("idle-b", 2, 360, settle)?,
        IdleCluster::start("idle-c", 8, 360, settle)?,
        IdleCluster::start("idle-d", 16, 360, settle)?,
    ];
    let idle_start = Instant::now();
    decisions::rows(plan.scale).iter().for_each(&mut print);
    live::task_rows(plan.task_seconds)?.iter().for_each(&mut print);
    live::wire_rows()?.iter().for_each(&mut print);
    live::store_rows(plan.store_entries, Duration::from_secs_f64(plan.observation_seconds))?
        .iter()
        .for_each(&mut print);
    let idle_time = Duration::from_secs_f64(plan.idle_seconds);
    std::thread::sleep(idle_time.saturating_sub(idle_start.elapsed()));
    live::idle_rows(&idle).iter().for_each(&mut print);
    idle.into_iter().for_each(IdleCluster::stop);
    Ok(())
}
