//! Logs, metrics and histograms.
//!
//! - [`init_logs`] sets up JSON lines on standard error, [`init_stdout_logs`] on standard output without blocking.
//!   [`emit`] writes a numbered event, see `docs/events.md`.
//! - [`Metrics`] collects counters, gauges and response time histograms per team and class, and sends them to
//!   StatsD once per interval.
//!
//! ```
//! use std::time::Duration;
//! use hinge_obs::{Metrics, Series};
//! use hinge_wire::Class;
//!
//! let metrics = Metrics::disabled();
//! metrics.count("task_starts", 1);
//! metrics.record_response(Class::Urgent, &"team-1".into(), Duration::from_millis(60));
//! let series = metrics.responses();
//! assert_eq!(series[0].series, Series::Class(Class::Urgent));
//! assert_eq!(series[0].count, 1);
//! ```

mod lines;
mod logs;
mod metrics;

pub use logs::{LogError, emit, init_logs, init_stdout_logs};
pub use metrics::{Metrics, MetricsError, ResponseSummary, Series};
