//! Messages between entries.

use bytes::Bytes;
use hinge_runs::{Assignment, AssignmentId, Fence, HomeId, Load, LostRun, TaskReport};
use hinge_wire::{DataCentreId, InstanceId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::Timestamps;

/// Identifies a link between two processes; the same on both sides.
pub type LinkId = u64;

/// Identity of an entry; the first message in both directions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Links between different data centres may become idle; those inside one rest only if both processes have `dormancy`.
    pub data_centre: DataCentreId,
    /// Identifies the process; changes when the entry restarts.
    pub incarnation: HomeId,
    /// Stays the same when the entry restarts.
    pub instance: InstanceId,
    /// Whether the process acknowledges messages, so that a link to it can outlive a connection.
    #[serde(default)]
    pub resumable: bool,
    /// Whether the process sends time stamps, so that its peers can tell late messages from prompt ones.
    #[serde(default)]
    pub timestamps: bool,
    /// Share of a core that the process may use, in thousandths; 0 if it is not known, as from older entries. Upstreams are
    /// divided by it.
    #[serde(default)]
    pub cpu_millis: u32,
    /// Whether the process lets links become dormant, and checks its link to a process after [`Message::Suspect`]. Counts only
    /// together with `timestamps`.
    #[serde(default)]
    pub dormancy: bool,
}

/// Load of an owner's upstreams of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// Load of the upstreams that the sender owns.
    pub load: Load,
    /// Service that the load is about.
    pub service: ServiceId,
}

/// Whether a data centre is evacuated: its upstreams get no new tasks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// Data centre that the state is about.
    pub data_centre: DataCentreId,
    /// False once the operator has taken the data centre back.
    pub evacuated: bool,
    /// Revision of the store at which the state was seen; of two states the one with the higher revision holds.
    pub revision: u64,
}

/// State that an entry reports to its peers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Version of the sender's configuration; a receiver with a lower one can request the configuration.
    pub config_version: u64,
    /// Whether the sender is shutting down and will release its upstreams.
    pub draining: bool,
    /// Highest assignment from the receiver that is included in the loads.
    pub last_assignment: AssignmentId,
    /// Loads of the sender's upstreams by service; with no slots if the receiver should not use them.
    pub loads: Vec<ServiceLoad>,
    /// Runs that were lost with an upstream of the sender since the last status; all that it remembers in the first one.
    /// Absent from older entries.
    #[serde(default)]
    pub lost_runs: Vec<LostRun>,
    /// All evacuations that the sender knows, when they have changed and in the first status of a link. None in other
    /// statuses, from a sender that does not know the state yet, and from older entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<Vec<Evacuation>>,
}

/// An upstream that an entry owns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnedUpstream {
    /// Fencing token of the sender at the upstream.
    pub fence: Fence,
    /// Upstream that the sender owns or is taking over.
    pub upstream: UpstreamId,
}

/// State of a link at the start of a new connection.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resume {
    /// Link that the sender has with the receiver.
    pub link: Option<LinkId>,
    /// Random number. If the link does not continue, those of both sides give the id of the new one.
    pub nonce: u64,
    /// Number of messages that the sender has received over the link.
    pub received: u64,
}

/// A message between two entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Number of messages that the sender has received over the link; sent to a resumable peer only.
    Acknowledge(u64),
    /// Tasks for the receiver's upstreams.
    Assign(Vec<Assignment>),
    /// Tasks that the sender no longer needs.
    Cancel(Vec<AssignmentId>),
    /// The sender's configuration, in reply to [`Message::ConfigRequest`].
    Config {
        /// The configuration as written by the operator.
        body: Bytes,
        /// Ignored by a receiver that has this or a higher version.
        version: u64,
    },
    /// Asks for the receiver's configuration.
    ConfigRequest,
    /// Shows that the sender is alive when there is no other message.
    Heartbeat,
    /// Identity of the sender; always the first message.
    Hello(Hello),
    /// Heartbeat on an idle link to another data centre: the next message may take longer than usual.
    Idle,
    /// Complete list of the upstreams that the sender owns.
    Owned(Vec<OwnedUpstream>),
    /// Tasks that the receiver should return unless they have started.
    Recall(Vec<AssignmentId>),
    /// States of tasks whose home is the receiver.
    Report(Vec<TaskReport>),
    /// Follows [`Message::Hello`] if both processes are resumable. The link continues if both sides name the same one.
    Resume(Resume),
    /// Load and state of the sender.
    Status(Status),
    /// Processes that have fallen silent on links that did not rest. The receiver checks its own links to them. Only to
    /// processes that announce dormancy.
    Suspect(Vec<HomeId>),
    /// Time stamps that hold for the messages behind them; only between processes that both send them.
    Timestamps(Timestamps),
}

impl Message {
    /// Whether the message goes to all peers and says nothing about tasks of the receiver, so that a link that could rest
    /// need not stay awake after it.
    pub(crate) const fn is_notice(&self) -> bool {
        match self {
            Self::Config { .. } | Self::ConfigRequest | Self::Owned(_) => true,
            Self::Status(status) => !status.lost_runs.is_empty(),
            _ => false,
        }
    }
}
