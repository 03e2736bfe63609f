//! What goes into the engine and what comes out.

use std::time::Duration;

use bytes::Bytes;
use hinge_jobs::{Answer, JobRequest};
use hinge_mesh::{MeshEvent, Message};
use hinge_runs::{Hold, HoldReply, HomeId, StartOrder, StartReply, StopOrder, UpstreamRecord};
use hinge_wire::FastSet;

use crate::EntryRecord;
use crate::journal::LogLine;

/// Number of a submission at the daemon.
pub type SubmissionId = u64;

/// An input of [`Engine::handle`](crate::Engine::handle).
#[derive(Debug)]
pub enum Input {
    /// A caller left before its answer.
    Abandon(SubmissionId),
    /// A configuration was read from the store.
    Config {
        /// As the operator wrote it.
        body: Bytes,
        /// Its version.
        version: u64,
    },
    /// A planned stop has begun.
    Drain,
    /// The registered entries.
    Entries(Vec<EntryRecord>),
    /// A hold has ended.
    HoldEnded {
        /// The hold.
        hold: Hold,
        /// Its result.
        reply: HoldReply,
    },
    /// Something happened on the links to peers.
    Mesh(MeshEvent),
    /// A start order has ended.
    StartEnded {
        /// Its result.
        reply: StartReply,
        /// The order.
        start: StartOrder,
    },
    /// Peers that have been silent for longer than usual, though their links are still up; all of them.
    UnresponsivePeers(FastSet<HomeId>),
    /// A caller's job.
    Submit {
        /// The job.
        request: Box<JobRequest>,
        /// Number of the submission.
        submission: SubmissionId,
    },
    /// Whether the store answers where the entries are registered.
    StoreAvailable(bool),
    /// The process stood still for a time that its steady clock did not count.
    Suspended(Duration),
    /// Time has passed.
    Tick,
    /// The registered upstreams.
    Upstreams(Vec<UpstreamRecord>),
}

/// An output of [`Engine::drain_outputs`](crate::Engine::drain_outputs).
#[derive(Debug)]
pub enum Output {
    /// Answer a caller.
    Answer {
        /// The answer.
        answer: Answer,
        /// The submission.
        submission: SubmissionId,
    },
    /// A newer configuration is known.
    Config {
        /// As the operator wrote it.
        body: Bytes,
        /// Its version.
        version: u64,
    },
    /// Call an upstream.
    Hold(Hold),
    /// Write a log line.
    Log(LogLine),
    /// Send a message to a peer.
    Send {
        /// The message.
        message: Message,
        /// The peer.
        peer: HomeId,
    },
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
}
