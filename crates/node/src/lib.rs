//! An entry instance that shares the upstreams of its data centre with its peers.
//!
//! - [`Engine`] is the decision code: it combines the jobs of the own callers
//!   ([`JobTable`](hinge_jobs::JobTable)), the runs on the owned upstreams ([`Runner`](hinge_runs::Runner)) and the
//!   view of the peers that decides which entry owns which upstream. [`Input`]s go in, [`Output`]s come out.
//! - [`Node`] runs an engine: it carries out the outputs through an [`UpstreamPort`] and a [`Mesh`](hinge_mesh::Mesh).
//!
//! Upstreams are divided evenly among the live entries of their data centre. An entry takes over an upstream only when
//! no live peer claims it; the fencing token at the upstream settles what the entries' views get wrong.

mod audience;
mod engine;
mod event;
mod journal;
mod links;
mod metrics;
mod node;
mod outbox;
mod ownership;
mod peers;

pub use engine::Engine;
pub use event::{Input, Output, SubmissionId};
pub use journal::LogLine;
pub use metrics::NodeMetrics;
pub use node::{Node, NodeHandle, NodeSettings, Submitted, SuspendClock, UpstreamPort};
pub use peers::EntryRecord;
