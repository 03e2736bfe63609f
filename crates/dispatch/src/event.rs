//! Inputs and outputs of the dispatcher.

use std::time::Duration;

use hinge_conf::Policy;
use hinge_route::Notice;
use hinge_sched::Notice as SheddingNotice;
use hinge_wire::{
    Answer, Class, FastMap, Incarnation, InstanceId, ListEntry, LoanReply, LoanRequest, LoanReturn,
    ResultCode, Sequence, ServiceId, StartId, SubmissionKey, TaskId, TeamDemand, TeamId, UpstreamId,
};

/// An input of [`Dispatcher::handle`](crate::Dispatcher::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The store accepted or rejected an [`Action::Claim`], or did not respond.
    ClaimCompleted {
        /// `Ok` when the claim was recorded, otherwise the reason.
        result: Result<(), ResultCode>,
        /// Sequence number of the submission.
        sequence: Sequence,
    },
    /// A new configuration is in force.
    Config {
        /// Policy of this data centre.
        policy: Box<Policy>,
        /// Quotas by team, in task starts per second.
        quotas: FastMap<TeamId, u64>,
        /// Scheduling weights by team, where they differ from the default.
        weights: FastMap<TeamId, u32>,
    },
    /// A planned shutdown has begun: new submissions are rejected, accepted ones are finished.
    Drain,
    /// A loan request got no reply or was rejected.
    LoanFailed {
        /// Peer that was to lend.
        lender: InstanceId,
    },
    /// A peer replied to a loan request, possibly without lending any slot.
    LoanReplied {
        /// Peer that replied.
        lender: InstanceId,
        /// Incarnation that the request was addressed to.
        lender_incarnation: Incarnation,
        /// Lent slots and duration of the loan.
        reply: LoanReply,
        /// Service whose slots were requested.
        service: ServiceId,
    },
    /// A borrower returned slots before the end of the loan.
    LoanReturned(LoanReturn),
    /// A peer reported its demand per team in a heartbeat.
    PeerDemand {
        /// Task starts per second by team.
        demand: Vec<TeamDemand>,
        /// Peer that sent the report.
        peer: InstanceId,
    },
    /// Current membership of the data centre; sent with every tick.
    Peers {
        /// Entries among which the upstreams are divided, including this instance while it is a leader.
        leaders: Vec<InstanceId>,
        /// Number of entry instances of the data centre on the platform's last list.
        listed_entries: u32,
        /// Peers that may lend slots.
        lenders: Vec<Lender>,
    },
    /// A start has ended; reported exactly once per [`Action::Start`].
    TaskEnded {
        /// Result or cause of failure.
        result: TaskResult,
        /// Time from sending the request to the upstream to its end.
        run_time: Duration,
        /// Id from [`Start::start`].
        start: StartId,
    },
    /// Advances timers; sent at least every 100 ms.
    Tick,
    /// Upstreams of this data centre on the platform's list; replaces the previous ones.
    Upstreams(Vec<ListEntry>),
}

/// A peer that may lend slots.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lender {
    /// Counter of the peer's heartbeat that carried the report.
    pub counter: u64,
    /// Free slots in the report.
    pub free_slots: u32,
    /// Incarnation of the peer.
    pub incarnation: Incarnation,
    /// Instance id of the peer.
    pub instance: InstanceId,
}

/// Result of a start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskResult {
    /// The upstream ran the task and returned a result that could not be kept.
    Discarded,
    /// The upstream ran the task and returned this result.
    Done(String),
    /// The upstream ran the task and reported this failure.
    Failed(String),
    /// The request was sent, and no valid response came; the task may have run.
    Lost,
    /// Nothing was sent to the upstream; the task has not run.
    NotSent,
    /// The upstream refused the task without starting it.
    Refused(Refusal),
    /// No response came within the timeout; the task may have run.
    TimedOut,
}

/// Why an upstream refused a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// All slots are in use.
    Busy,
    /// The upstream is shutting down and accepts no more tasks.
    Leaving,
}

/// An output of [`Dispatcher::drain_actions`](crate::Dispatcher::drain_actions).
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A submission has ended; wake the callers that wait for it.
    Answer {
        /// Answer for all callers of the submission.
        answer: Answer,
        /// Urgency class, as a metrics label.
        class: Class,
        /// Whether the submission has a claim in the store, in which its outcome must be recorded.
        definite: bool,
        /// Sequence number of the submission.
        sequence: Sequence,
        /// Team, as a metrics label.
        team: TeamId,
    },
    /// Record a claim in the store, then report [`Event::ClaimCompleted`].
    Claim {
        /// Key of the submission.
        key: SubmissionKey,
        /// Sequence number of the submission.
        sequence: Sequence,
    },
    /// After [`Event::Drain`]: all submissions and starts have ended.
    Drained,
    /// The health of an upstream has changed.
    Health(Notice),
    /// Request slots from a peer, then report [`Event::LoanReplied`] or [`Event::LoanFailed`].
    RequestLoan {
        /// Peer to send the request to.
        lender: InstanceId,
        /// Message to send.
        request: LoanRequest,
    },
    /// Return slots to a peer; no reply is needed, because the loan also expires.
    ReturnLoan {
        /// Peer that lent the slots.
        lender: InstanceId,
        /// Message to send.
        request: LoanReturn,
    },
    /// Load shedding of a class has started or stopped.
    Shedding(SheddingNotice),
    /// Send a task to an upstream, then report [`Event::TaskEnded`].
    Start(Start),
    /// Stop a running task; its end must still be reported as [`Event::TaskEnded`].
    Stop {
        /// Id of the start.
        start: StartId,
        /// Upstream that runs the task.
        upstream: UpstreamId,
    },
}

/// One attempt to run a task on an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// Service of the task.
    pub service: ServiceId,
    /// Id of this start, unique within the process.
    pub start: StartId,
    /// Task to run; its payload is in [`Dispatcher::submission`](crate::Dispatcher::submission).
    pub task: TaskId,
    /// Maximum run time, which is also the duration of the lease at the upstream.
    pub timeout: Duration,
    /// Upstream to send the task to.
    pub upstream: UpstreamId,
}

/// Monotonic counters of one dispatcher, from 0.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Totals {
    /// Starts refused by upstreams as busy or leaving.
    pub busy_refusals: u64,
    /// Loan requests that yielded no slot.
    pub empty_loans: u64,
    /// Task ends reported for starts that had already ended or are unknown.
    pub late_ends: u64,
    /// Loan requests sent to peers.
    pub loan_requests: u64,
    /// Starts whose request could not be sent to the upstream.
    pub not_sent: u64,
    /// Repeated starts of idempotent requests after a failure.
    pub retries: u64,
    /// Starts sent to upstreams, including repeated ones.
    pub starts: u64,
}

impl Totals {
    /// Adds the counters of another dispatcher.
    pub const fn add(&mut self, other: &Self) {
        self.busy_refusals += other.busy_refusals;
        self.empty_loans += other.empty_loans;
        self.late_ends += other.late_ends;
        self.loan_requests += other.loan_requests;
        self.not_sent += other.not_sent;
        self.retries += other.retries;
        self.starts += other.starts;
    }

    /// Number of messages that advanced no task: refused or unsent starts, empty loans and retries.
    #[must_use]
    pub const fn wasted_messages(&self) -> u64 {
        self.busy_refusals + self.empty_loans + self.not_sent + self.retries
    }
}
