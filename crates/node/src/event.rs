//! Inputs and outputs of the engine.

use std::time::Duration;

use bytes::Bytes;
use hinge_jobs::{Answer, JobRequest};
use hinge_mesh::{MeshEvent, Message};
use hinge_runs::{Hold, HoldReply, Holder, HomeId, StartOrder, StartReply, StopOrder, UpstreamRecord};
use hinge_wire::{DataCentreId, FastSet, ServiceId};
use tokio::time::Instant;

use crate::journal::LogLine;
use crate::{EntryRecord, EvacuationReport};

/// Identifies a submitted job within this process.
pub type SubmissionId = u64;

/// A number that this process has claimed for its fencing tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimedHolder {
    /// No other process has this number.
    pub holder: Holder,
    /// When the number must not be used any more, unless the claim is renewed.
    pub until: Instant,
}

/// An input of [`Engine::handle`](crate::Engine::handle).
#[derive(Debug)]
pub enum Input {
    /// A caller disconnected before its job was answered.
    Abandon(SubmissionId),
    /// A configuration was read from the store.
    Config {
        /// The encoded configuration, as the operator wrote it.
        body: Bytes,
        /// Version inside the configuration; ignored unless it is above the current one.
        version: u64,
    },
    /// A planned stop has begun; the entry gives up its upstreams if its data centre has another entry.
    Drain {
        /// When the jobs in progress must have ended.
        finish_by: Instant,
    },
    /// All registered entries, this one included.
    Entries(Vec<EntryRecord>),
    /// Evacuated data centres as the store shows them; ignored unless [`Input::ObeyEvacuations`] came before.
    Evacuations {
        /// Data centres with a key, and the revision of the key's last change.
        keys: Vec<(DataCentreId, u64)>,
        /// Revision up to which the changes of keys are included.
        revision: u64,
    },
    /// Whether kinds of tasks that slow each other down are placed apart where there is room, by the configuration.
    SeparateInterferingTasks(bool),
    /// The services whose upstreams reject a task that exceeds their capacity, by the configuration.
    GuardingServices(FastSet<ServiceId>),
    /// A call of [`UpstreamPort::hold`](crate::UpstreamPort::hold) has returned.
    HoldEnded {
        /// The request, as in [`Output::Hold`].
        hold: Hold,
        /// The upstream's reply, or how the call failed.
        reply: HoldReply,
    },
    /// The holder number of this process was claimed or renewed; none if it was lost. Without one the entry takes over no upstream
    /// and releases those that it owns.
    Holder(Option<ClaimedHolder>),
    /// A link to a peer has come up or gone down, or a message has arrived on one.
    Mesh(MeshEvent),
    /// Evacuations of data centres are obeyed from now on. No task starts before the store or a peer has sent their state.
    ObeyEvacuations,
    /// A call of [`UpstreamPort::start`](crate::UpstreamPort::start) has returned.
    StartEnded {
        /// The upstream's reply, or how the call failed.
        reply: StartReply,
        /// The order, as in [`Output::Start`].
        start: StartOrder,
    },
    /// All peers that have sent nothing for longer than the heartbeat interval allows while their links are still up.
    /// Replaces the previous set; these peers get no new tasks.
    UnresponsivePeers(FastSet<HomeId>),
    /// A caller has submitted a job.
    Submit {
        /// The job with the policy of its queue.
        request: Box<JobRequest>,
        /// Identifies the job in [`Output::Answer`] and [`Input::Abandon`].
        submission: SubmissionId,
    },
    /// Whether the store that holds the registrations of the entries can be reached.
    StoreAvailable(bool),
    /// The process was suspended for the given time, so leases may have expired unnoticed.
    Suspended(Duration),
    /// Drives timeouts and periodic work.
    Tick,
    /// All registered upstreams.
    Upstreams(Vec<UpstreamRecord>),
}

/// An output of [`Engine::drain_outputs`](crate::Engine::drain_outputs).
#[derive(Debug)]
pub enum Output {
    /// Answer a caller; sent once for each submission that is not abandoned.
    Answer {
        /// The final result of the job.
        answer: Answer,
        /// The submission as in [`Input::Submit`].
        submission: SubmissionId,
    },
    /// A configuration with a higher version than before was received.
    Config {
        /// The encoded configuration, as the operator wrote it.
        body: Bytes,
        /// Version inside the configuration.
        version: u64,
    },
    /// State of all data centres that are or were evacuated, for the metrics.
    Evacuations(Vec<EvacuationReport>),
    /// Renew the lease at an upstream and read its runs; answered by [`Input::HoldEnded`].
    Hold(Hold),
    /// Write a log line.
    Log(LogLine),
    /// End the links to all peers. New ones are opened at once.
    ResetLinks,
    /// Send a message to a peer; lost when the link is down.
    Send {
        /// The message to send.
        message: Message,
        /// Incarnation of the receiving process.
        peer: HomeId,
    },
    /// Start a task on an upstream; answered by [`Input::StartEnded`].
    Start(StartOrder),
    /// Stop a run; has no reply of its own, a later hold shows whether the run has ended.
    Stop(StopOrder),
}
