//! Inputs and outputs of the runner.

use std::sync::Arc;
use std::time::Duration;

use hinge_wire::{FastSet, ServiceId, UpstreamId};
use tokio::time::Instant;

use crate::{
    Assignment, AssignmentId, ClosedDataCentres, Fence, HomeId, Incarnation, Resources, RunId, TaskReport,
    UpstreamRecord,
};

/// An input of [`Runner::handle`](crate::Runner::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A home assigned a task to this owner.
    Assigned {
        /// Task with its requirements and limits.
        assignment: Assignment,
        /// Receives the reports about the task.
        home: HomeId,
        /// A time before which the home has not sent the assignment.
        sent_after: Instant,
    },
    /// The data centres whose upstreams get no new tasks.
    CloseDataCentres(ClosedDataCentres),
    /// A home no longer needs a task; a queued one is dropped, a running one is stopped.
    Cancelled {
        /// Number within `home`; an unknown one is ignored.
        assignment: AssignmentId,
        /// Home that assigned the task.
        home: HomeId,
    },
    /// The services whose upstreams reject a task that exceeds their capacity. Those of all others start whatever they are told
    /// to start.
    GuardingServices(FastSet<ServiceId>),
    /// The call of an [`Action::Hold`] has completed or failed.
    HoldEnded {
        /// The hold as it was sent.
        hold: Hold,
        /// Answer of the upstream, or how the call failed.
        reply: HoldReply,
    },
    /// The link to a home is down: its queued tasks are dropped and its runs are stopped.
    HomeLost(HomeId),
    /// This entry is to own the upstream.
    Own {
        /// Lower bound for the fencing token, with the holder of this process.
        fence: Fence,
        /// Upper bound for the fencing token.
        limit: Fence,
        /// Ignored if the upstream is not registered.
        upstream: UpstreamId,
    },
    /// Whether kinds of tasks that slow each other down are learned and placed apart where there is room; they are not before
    /// this event.
    SeparateInterferingTasks(bool),
    /// Another entry is to own the upstream. It gets no new tasks and is released once its runs have ended.
    Release(UpstreamId),
    /// A home asks for a task to be returned, unless it has started.
    Recalled {
        /// Number within `home`; an unknown one is ignored.
        assignment: AssignmentId,
        /// Home that assigned the task.
        home: HomeId,
    },
    /// The call of an [`Action::Start`] has completed or failed.
    StartEnded {
        /// Answer of the upstream, or how the call failed.
        reply: StartReply,
        /// The order as it was sent.
        start: StartOrder,
    },
    /// The process was suspended for so long that leases may have expired unnoticed.
    Suspended,
    /// Time has passed; drops tasks that can no longer start in time and probes upstreams with overdue runs.
    Tick,
    /// All registered upstreams; those that are missing count as deregistered.
    Upstreams(Vec<UpstreamRecord>),
}

/// An output of [`Runner::drain_actions`](crate::Runner::drain_actions).
#[derive(Clone, Debug)]
pub enum Action {
    /// Renew the lease of an upstream and list its runs. [`Event::HoldEnded`] must follow.
    Hold(Hold),
    /// Write a log event.
    Notice(Notice),
    /// Send a home the state of its task.
    Report {
        /// Home that assigned the task.
        home: HomeId,
        /// New state of the assignment.
        report: TaskReport,
    },
    /// Start a task. [`Event::StartEnded`] must follow.
    Start(StartOrder),
    /// Stop a run. No event follows; the end of the run appears in a later listing.
    Stop(StopOrder),
}

/// An order to an upstream to start a task.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// Address to which the order is sent.
    pub address: Arc<str>,
    /// The upstream rejects the order if it has seen a higher token.
    pub fence: Fence,
    /// End of the lease in milliseconds of the upstream's clock.
    pub lease_until_ms: u64,
    /// Identifies the new run.
    pub run: RunId,
    /// Description of the work.
    pub spec: Arc<str>,
    /// Upstream that runs the task.
    pub upstream: UpstreamId,
}

/// An order to an upstream to stop a run.
#[derive(Clone, Debug)]
pub struct StopOrder {
    /// Address to which the order is sent.
    pub address: Arc<str>,
    /// The upstream rejects the order if it has seen a higher token.
    pub fence: Fence,
    /// Run to stop.
    pub run: RunId,
    /// Upstream that the order is for.
    pub upstream: UpstreamId,
}

/// A long poll to an upstream that renews the lease of its runs and lists its running and ended runs.
#[derive(Clone, Debug)]
pub struct Hold {
    /// Address to which the call is sent.
    pub address: Arc<str>,
    /// The upstream rejects the call if it has seen a higher token.
    pub fence: Fence,
    /// Acknowledges ends up to this number, so that the upstream can discard them.
    pub last_end: u64,
    /// New end of the lease in milliseconds of the upstream's clock; none leaves the lease unchanged.
    pub lease_until_ms: Option<u64>,
    /// Whether this is an immediate call that may run concurrently with a waiting one.
    pub probe: bool,
    /// A run that was confirmed later than this can be missing from the listing.
    pub sent_at: Instant,
    /// Upstream that the call is for.
    pub upstream: UpstreamId,
    /// Longest time that the upstream may wait for a run to end before it answers.
    pub wait: Duration,
}

/// Result of a start order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartReply {
    /// No answer; the order may still be executed later.
    Lost,
    /// The order was not sent, so that the run cannot exist.
    NotSent,
    /// The upstream rejected the order and did nothing.
    Rejected {
        /// The upstream's clock in milliseconds; none if the answer does not contain it.
        clock_ms: Option<u64>,
        /// Decides whether and how the start is retried.
        reason: Rejection,
    },
    /// The upstream has accepted the order, now or earlier, and the run exists.
    Started {
        /// The upstream's clock in milliseconds.
        clock_ms: u64,
    },
}

/// Reason why an upstream rejected an order or a hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// The order is malformed.
    Invalid,
    /// The lease in the order had already expired when the order arrived.
    Late,
    /// Not enough free resources.
    NoRoom,
    /// The upstream has seen this or a higher run number of the task.
    OldRun,
    /// The upstream is not healthy.
    Unhealthy,
    /// Another process answers at the address.
    WrongIncarnation,
}

/// Result of a hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HoldReply {
    /// The upstream answered with its runs.
    Listed(Listing),
    /// No answer; the upstream may have received the call.
    Lost,
    /// The connection was refused, so that the upstream has not received the call.
    Refused,
    /// The upstream rejected the call and did nothing.
    Rejected(Rejection),
}

/// Running and ended runs of an upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The upstream's clock in milliseconds.
    pub clock_ms: u64,
    /// Ends that are not acknowledged yet, by ascending number.
    pub ended: Vec<Ended>,
    /// The process that answered; none if the answer does not contain it.
    pub incarnation: Option<Incarnation>,
    /// Runs in progress, including those that this owner did not start.
    pub running: Vec<RunProgress>,
}

/// Progress of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunProgress {
    /// Completed share of the work, in percent.
    pub done_percent: u32,
    /// Run in progress.
    pub run: RunId,
}

/// The end of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ended {
    /// Whether the run succeeded, failed or was interrupted.
    pub how: EndKind,
    /// Sequence number within this incarnation of the upstream, starting at 1.
    pub number: u64,
    /// Run that ended.
    pub run: RunId,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// The task succeeded.
    Done,
    /// The task failed, because of the task itself or of the upstream.
    Failed,
    /// The run ended without a result: it was stopped, its lease expired, or other members of its gang were missing.
    Interrupted,
}

/// A decision or state change of the runner, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A task succeeded on an upstream, which ends the upstream's probation.
    Available {
        /// Upstream that gets tasks without restriction again.
        upstream: UpstreamId,
    },
    /// An upstream gets no new tasks for a while.
    Avoided {
        /// Log value for the cause, such as `unanswered` or `failing`.
        cause: &'static str,
        /// Time without new tasks.
        pause: Duration,
        /// Upstream that is paused.
        upstream: UpstreamId,
    },
    /// A run that is no longer needed is stopped for the first time.
    Cancelled {
        /// Run that is stopped.
        run: RunId,
        /// Upstream of the run.
        upstream: UpstreamId,
    },
    /// A run has ended.
    Ended {
        /// Log value for the way it ended, such as `done` or `expired`.
        how: &'static str,
        /// Run that ended.
        run: RunId,
        /// Time since its start order.
        run_time: Duration,
        /// Upstream of the run.
        upstream: UpstreamId,
    },
    /// A queued task is returned to its home without a start.
    Dropped {
        /// Time in the queue.
        queued: Duration,
        /// Log value for the reason, such as `late` or `no_room`.
        reason: &'static str,
        /// Run that would have been started next.
        run: RunId,
    },
    /// A kind of tasks begins or ceases to count as slowed down by another one on the same upstream.
    Interference {
        /// Kind that slows the other one down.
        beside: Arc<str>,
        /// Whether the pair begins to count.
        counts: bool,
        /// Kind that is slowed down.
        kind: Arc<str>,
        /// Ratio of run times with and without the other kind; 1 if the pair ceases to count.
        slowdown: f64,
    },
    /// Ownership of an upstream has changed.
    Owner {
        /// Fencing token of this entry at the upstream.
        fence: Fence,
        /// Log value for the new state, such as `taking` or `owned`.
        state: &'static str,
        /// Upstream whose ownership has changed.
        upstream: UpstreamId,
    },
    /// An upstream's process has answered, and its record is still that of another process.
    RecordOutdated {
        /// CPU capacity of the record, in thousandths of a core.
        cpu_millis: u64,
        /// Upstream with the new process.
        upstream: UpstreamId,
    },
    /// A hold that renews the lease was not answered; it may still be executed.
    RenewalLost {
        /// Fencing token of the hold.
        fence: Fence,
        /// Upstream that the hold was for.
        upstream: UpstreamId,
    },
    /// An upstream lists a run that this entry did not order, although it obeys this entry's token. The run is stopped under a
    /// raised one.
    SecondHolder {
        /// Fencing token under which the run was listed.
        fence: Fence,
        /// Run that another process has started.
        run: RunId,
        /// Upstream of the run.
        upstream: UpstreamId,
    },
    /// A run makes too little progress and is stopped.
    Stalled {
        /// Completed share of the work, in percent.
        done_percent: u32,
        /// Run that is stopped.
        run: RunId,
        /// Time since its start order.
        run_time: Duration,
        /// Upstream of the run.
        upstream: UpstreamId,
    },
    /// A start order was rejected, not sent or not answered.
    StartRejected {
        /// Log value for the reason, such as `no_room` or `unanswered`.
        reason: &'static str,
        /// Run that was to be started.
        run: RunId,
        /// Upstream that the order was for.
        upstream: UpstreamId,
    },
    /// A start order is sent.
    Started {
        /// Time since the assignment was sent, at most.
        age: Duration,
        /// Free resources of the upstream before the start.
        free: Resources,
        /// Home of the task.
        home: HomeId,
        /// Time in the queue.
        queued: Duration,
        /// Run that the order starts.
        run: RunId,
        /// Upstream of the run.
        upstream: UpstreamId,
    },
    /// An upstream still lists a run that this entry counts as ended.
    Survived {
        /// Log value for the way in which the run was ended, such as `expired`.
        how: &'static str,
        /// Run that still exists.
        run: RunId,
        /// Upstream of the run.
        upstream: UpstreamId,
    },
    /// An upstream has a run that this entry does not know; the run is stopped.
    Unknown {
        /// Run that is stopped.
        run: RunId,
        /// Upstream of the run.
        upstream: UpstreamId,
    },
}
