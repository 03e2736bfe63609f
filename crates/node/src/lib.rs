//! An entry instance that shares the upstreams of its data centre with its peers.
//!
//! - [`Engine`] makes the decisions and performs no I/O. It combines the jobs of this entry's callers
//!   ([`JobTable`](hinge_jobs::JobTable)), the runs on the upstreams that it owns ([`Runner`](hinge_runs::Runner)) and
//!   the state of the peers, from which it derives which entry owns which upstream. It consumes [`Input`]s and produces
//!   [`Output`]s.
//! - [`Node`] drives an engine and executes its outputs through an [`UpstreamPort`] and a
//!   [`Mesh`](hinge_mesh::Mesh).
//!
//! Upstreams are divided among the live entries of their data centre by their shares of a processor, and evenly while a
//! share is not known. An entry takes over an upstream only when no live peer claims it, and only while it holds a number
//! that makes its fencing tokens unique. If two entries disagree, the upstream obeys the one with the higher token.

mod engine;
mod entry_weights;
mod evacuation_metrics;
mod evacuation_updates;
mod evacuations;
mod event;
mod journal;
mod links;
mod metrics;
mod node;
mod outbox;
mod ownership;
mod peers;
mod recipients;
mod status;
mod tokens;

pub use engine::Engine;
pub use evacuation_updates::EvacuationReport;
pub use event::{ClaimedHolder, Input, Output, SubmissionId};
pub use journal::LogLine;
pub use metrics::NodeMetrics;
pub use node::{Node, NodeHandle, NodeSettings, Submitted, SuspendClock, UpstreamPort};
pub use peers::EntryRecord;
