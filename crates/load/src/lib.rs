//! Measured costs per unit, and a bounded load tool over HTTP.
//!
//! `hinge-load slopes` measures what one more task, record, team, upstream, peer or configuration setting costs, at two
//! or more sizes each, and prints a Markdown table; `docs/CAPACITY.md` is worked out from it. `hinge-load http` runs a
//! seeded mix of submissions through the caller's client, entry instances and stand-ins on loopback.
//!
//! - [`Slope`] and [`Row`] hold the measurements and the arithmetic.
//! - [`slopes`] measures everything; [`Plan`] bounds it.
//! - [`http`] is the load tool, [`cluster`] what it runs against.
//!
//! ```
//! use hinge_load::{Row, Slope};
//!
//! let slope = Slope { points: vec![(100.0, 450.0), (400.0, 1650.0)] };
//! assert_eq!((slope.per_unit(), slope.fixed()), (4.0, 50.0));
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

use live::Idle;

/// How much is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Time for which idle clusters are measured; a store watch takes 30 s.
    pub idle_seconds: f64,
    /// Factor of repetitions and sizes.
    pub scale: f64,
    /// Time in which an idle cluster settles before it is measured.
    pub settle_seconds: f64,
    /// Entries that start at once.
    pub starts: [usize; 2],
    /// Time of each run over HTTP.
    pub task_seconds: f64,
    /// Time in which the store's calls are watched after a start, in an outage and after it.
    pub watched_seconds: f64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            idle_seconds: 60.0,
            scale: 1.0,
            settle_seconds: 3.0,
            starts: [8, 32],
            task_seconds: 3.0,
            watched_seconds: 4.0,
        }
    }
}

/// Measures all costs and passes each row to `print`.
///
/// # Errors
///
/// Fails when a part of the cluster cannot be started.
pub fn slopes(plan: &Plan, mut print: impl FnMut(&Row)) -> Result<(), ClusterError> {
    // First, while the process is small.
    memory::rows(plan.scale).iter().for_each(&mut print);
    print(&live::connection_row()?);
    let settle = Duration::from_secs_f64(plan.settle_seconds);
    let idle = [
        Idle::start("idle-a", 2, 36, settle)?,
        Idle::start("idle-b", 2, 360, settle)?,
        Idle::start("idle-c", 8, 360, settle)?,
        Idle::start("idle-d", 16, 360, settle)?,
    ];
    let begun = Instant::now();
    decisions::rows(plan.scale).iter().for_each(&mut print);
    live::task_rows(plan.task_seconds)?.iter().for_each(&mut print);
    live::wire_rows()?.iter().for_each(&mut print);
    live::store_rows(plan.starts, Duration::from_secs_f64(plan.watched_seconds))?.iter().for_each(&mut print);
    let idle_time = Duration::from_secs_f64(plan.idle_seconds);
    std::thread::sleep(idle_time.saturating_sub(begun.elapsed()));
    live::idle_rows(&idle).iter().for_each(&mut print);
    idle.into_iter().for_each(Idle::stop);
    Ok(())
}
