//! What entries tell each other.

use bytes::Bytes;
use hinge_runs::{Assignment, AssignmentId, Fence, HomeId, Load, TaskReport};
use hinge_wire::{DataCentreId, InstanceId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Who an entry is; the first message in both directions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its process.
    pub incarnation: HomeId,
    /// Its instance id.
    pub instance: InstanceId,
}

/// Load of an owner's upstreams of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// The load.
    pub load: Load,
    /// The service.
    pub service: ServiceId,
}

/// State of an entry as its peers need it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Version of its configuration.
    pub config_version: u64,
    /// Whether it is stopping and owns no upstreams for long.
    pub draining: bool,
    /// Highest assignment of the receiver that the loads take into account.
    pub last_assignment: AssignmentId,
    /// Loads by service.
    pub loads: Vec<ServiceLoad>,
}

/// An upstream that an entry owns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnedUpstream {
    /// Its fencing token there.
    pub fence: Fence,
    /// The upstream.
    pub upstream: UpstreamId,
}

/// A message between two entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Tasks for the receiver's upstreams.
    Assign(Vec<Assignment>),
    /// Tasks that the sender no longer needs.
    Cancel(Vec<AssignmentId>),
    /// The sender's configuration, in answer to a request.
    Config {
        /// The configuration as the operator wrote it.
        body: Bytes,
        /// Its version.
        version: u64,
    },
    /// Asks for the receiver's configuration.
    ConfigRequest,
    /// Nothing new; the sender is alive.
    Heartbeat,
    /// First message.
    Hello(Hello),
    /// Nothing new for a while on a link to another data centre; the next message may take longer than usual.
    Idle,
    /// Upstreams that the sender owns, all of them.
    Owned(Vec<OwnedUpstream>),
    /// Tasks that the sender wants back unless they have started.
    Recall(Vec<AssignmentId>),
    /// Ends of the receiver's tasks.
    Report(Vec<TaskReport>),
    /// Load and state of the sender.
    Status(Status),
}
