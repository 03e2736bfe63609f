//! A demonstration of the whole system in one process on loopback.
//!
//! [`run`] starts stand-ins for the platform (store, list, upstreams) and several entry instances, sends a mixed
//! workload through the callers' client, checks every answer and drains the entries. The binary `hinge-demo` prints the
//! resulting [`Report`] and exits with status 0 if every answer was as expected.
//!
//! ```no_run
//! use hinge_demo::{Options, run};
//!
//! # #[tokio::main]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let options = Options { duration_ms: 200, ..Options::default() };
//! let report = run(&options, |_| async {}).await?;
//! println!("{report}");
//! assert!(report.is_as_expected());
//! # Ok(())
//! # }
//! ```

mod checks;
mod cluster;
mod error;
mod options;
mod report;
mod submissions;
mod workload;

pub use cluster::Cluster;
pub use error::DemoError;
pub use options::Options;
pub use report::{Report, Row};

/// Starts a cluster, runs the workload, waits for `before_stop` and stops the cluster.
///
/// `before_stop` gets the report, which does not yet cover the stop.
///
/// # Errors
///
/// Fails if the options are out of range, or if the cluster or a client cannot start. Unexpected answers do not fail
/// the run; they are part of the report.
pub async fn run<F, W>(options: &Options, before_stop: F) -> Result<Report, DemoError>
where
    F: FnOnce(&Report) -> W,
    W: Future<Output = ()>,
{
    options.check()?;
    let cluster = Cluster::start(options).await?;
    println!("{cluster}");
    let mut report = workload::run(&cluster, options).await?;
    checks::check_starts(&cluster, &mut report);
    before_stop(&report).await;
    let lost = cluster.stop().await;
    if lost > 0 {
        report.add_failure(format!("the stop of the entries lost {lost} submissions or tasks"));
    }
    Ok(report)
}
