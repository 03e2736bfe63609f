//! What goes into the runner and what comes out.

use std::sync::Arc;
use std::time::Duration;

use hinge_wire::UpstreamId;
use tokio::time::Instant;

use crate::{
    Assignment, AssignmentId, Fence, HomeId, Incarnation, Resources, RunId, TaskReport, UpstreamRecord,
};

/// An input of [`Runner::handle`](crate::Runner::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A home hands over a task.
    Assigned {
        /// The task.
        assignment: Assignment,
        /// The home.
        home: HomeId,
    },
    /// A home no longer needs a task.
    Cancelled {
        /// The task's assignment.
        assignment: AssignmentId,
        /// The home.
        home: HomeId,
    },
    /// A hold has ended.
    HoldEnded {
        /// The hold.
        hold: Hold,
        /// Its result.
        reply: HoldReply,
    },
    /// The link to a home is down; nobody waits for its tasks any more.
    HomeLost(HomeId),
    /// This entry is to own the upstream.
    Own {
        /// Lowest fencing token to use.
        fence: Fence,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Another entry is to own the upstream; it is let go once nothing runs on it.
    Release(UpstreamId),
    /// A home wants a task back unless it has started.
    Recalled {
        /// The task's assignment.
        assignment: AssignmentId,
        /// The home.
        home: HomeId,
    },
    /// A start order has ended.
    StartEnded {
        /// Its result.
        reply: StartReply,
        /// The order.
        start: StartOrder,
    },
    /// The process stood still for long enough that leases may have expired unnoticed.
    Suspended,
    /// Time has passed.
    Tick,
    /// The upstreams that are registered.
    Upstreams(Vec<UpstreamRecord>),
}

/// An output of [`Runner::drain_actions`](crate::Runner::drain_actions).
#[derive(Clone, Debug)]
pub enum Action {
    /// Renew the lease of an upstream and read what runs and what has ended there; report [`Event::HoldEnded`].
    Hold(Hold),
    /// For the log.
    Notice(Notice),
    /// Tell a home how its task ended.
    Report {
        /// The home.
        home: HomeId,
        /// The report.
        report: TaskReport,
    },
    /// Start a task; report [`Event::StartEnded`].
    Start(StartOrder),
    /// Stop a run; its end shows up in a hold.
    Stop(StopOrder),
}

/// An order that starts a task.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Fencing token.
    pub fence: Fence,
    /// Lease on the upstream's clock, in milliseconds of that clock.
    pub lease_until_ms: u64,
    /// The run.
    pub run: RunId,
    /// What to run.
    pub spec: Arc<str>,
    /// The upstream.
    pub upstream: UpstreamId,
}

/// An order that stops a run.
#[derive(Clone, Debug)]
pub struct StopOrder {
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Fencing token.
    pub fence: Fence,
    /// The run.
    pub run: RunId,
    /// The upstream.
    pub upstream: UpstreamId,
}

/// A renewal of an upstream's lease that also reads its runs.
#[derive(Clone, Debug)]
pub struct Hold {
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Fencing token.
    pub fence: Fence,
    /// Ends up to this number are known and may be forgotten.
    pub last_end: u64,
    /// Lease on the upstream's clock; none leaves it as it is.
    pub lease_until_ms: Option<u64>,
    /// Whether this call only reads, beside a waiting one.
    pub probe: bool,
    /// When it was sent.
    pub sent_at: Instant,
    /// The upstream.
    pub upstream: UpstreamId,
    /// How long the upstream may wait for an end.
    pub wait: Duration,
}

/// Result of a start order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartReply {
    /// No answer; the order may be carried out later.
    Lost,
    /// Nothing was sent.
    NotSent,
    /// The upstream rejected the order and did nothing.
    Rejected {
        /// Its clock in milliseconds, when it says so.
        clock_ms: Option<u64>,
        /// Why.
        reason: Rejection,
    },
    /// The run exists.
    Started {
        /// The upstream's clock in milliseconds.
        clock_ms: u64,
    },
}

/// Why an upstream did nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// A higher fencing token has been seen.
    Fenced,
    /// The order cannot be read.
    Invalid,
    /// The lease in the order has expired.
    Late,
    /// Not enough room.
    NoRoom,
    /// A run of the same or a higher number was there before.
    OldRun,
    /// The upstream is not healthy.
    Unhealthy,
    /// Another process answers at the address.
    WrongIncarnation,
}

/// Result of a hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HoldReply {
    /// The upstream's lists.
    Listed(Listing),
    /// No answer.
    Lost,
    /// No process listens at the address.
    Refused,
    /// The upstream rejected the call and did nothing.
    Rejected(Rejection),
}

/// What an upstream runs and what has ended there.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The upstream's clock in milliseconds.
    pub clock_ms: u64,
    /// Ends after the acknowledged one.
    pub ended: Vec<Ended>,
    /// The process that answered, when it says so.
    pub incarnation: Option<Incarnation>,
    /// Runs that exist.
    pub running: Vec<RunProgress>,
}

/// A run that exists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunProgress {
    /// Part of its work that is done, in percent.
    pub done_percent: u32,
    /// The run.
    pub run: RunId,
}

/// The end of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ended {
    /// How it ended.
    pub how: EndKind,
    /// Number of the end in this incarnation of the upstream, from 1.
    pub number: u64,
    /// The run.
    pub run: RunId,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// Done.
    Done,
    /// Failed through its own fault or the upstream's.
    Failed,
    /// Ended without a result: stopped, lease expired, or the other members of its gang were missing.
    Interrupted,
}

/// A decision or a change of what the runner believes, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// An upstream is trusted again.
    Available {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream gets no new tasks for a while.
    Avoided {
        /// Why.
        cause: &'static str,
        /// How long.
        pause: Duration,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A run has ended.
    Ended {
        /// How, in one word.
        how: &'static str,
        /// The run.
        run: RunId,
        /// Time since its start order.
        run_time: Duration,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A task leaves the queue without a start.
    Dropped {
        /// Time in the queue.
        queued: Duration,
        /// Why.
        reason: &'static str,
        /// The task's run.
        run: RunId,
    },
    /// Ownership of an upstream has changed.
    Owner {
        /// Fencing token.
        fence: Fence,
        /// What happened, in one word.
        state: &'static str,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A run makes no headway and is stopped.
    Stalled {
        /// Part of its work that is done, in percent.
        done_percent: u32,
        /// The run.
        run: RunId,
        /// Time since its start order.
        run_time: Duration,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A start order was answered without a run.
    StartRejected {
        /// Why.
        reason: &'static str,
        /// The run.
        run: RunId,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A task starts.
    Started {
        /// What was free at the upstream before.
        free: Resources,
        /// The home.
        home: HomeId,
        /// Time in the queue.
        queued: Duration,
        /// The run.
        run: RunId,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A run that this entry does not know is stopped.
    Unknown {
        /// The run.
        run: RunId,
        /// The upstream.
        upstream: UpstreamId,
    },
}
