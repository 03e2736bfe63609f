//! What goes into the dispatcher and what comes out.

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
    /// The store answered a [`Action::Claim`].
    ClaimSettled {
        /// Whether the claim was recorded; otherwise why not.
        result: Result<(), ResultCode>,
        /// The submission.
        sequence: Sequence,
    },
    /// A new configuration is in force.
    Config {
        /// Policy settings of this data centre.
        policy: Box<Policy>,
        /// Team quotas in task starts per second.
        quotas: FastMap<TeamId, u64>,
        /// Team weights that differ from the default.
        weights: FastMap<TeamId, u32>,
    },
    /// A planned stop has begun.
    Drain,
    /// A lender did not answer or rejected the request.
    LoanFailed {
        /// The lender asked.
        lender: InstanceId,
    },
    /// A lender answered.
    LoanReplied {
        /// The lender.
        lender: InstanceId,
        /// Its incarnation.
        lender_incarnation: Incarnation,
        /// The slots lent.
        reply: LoanReply,
        /// Service asked for.
        service: ServiceId,
    },
    /// A borrower returns slots early.
    LoanReturned(LoanReturn),
    /// A peer reported the demand of teams.
    PeerDemand {
        /// Demand by team.
        demand: Vec<TeamDemand>,
        /// The peer.
        peer: InstanceId,
    },
    /// The view of the data centre's entries has changed.
    Peers {
        /// Entries among which upstreams are divided, with the own one while it leads.
        leaders: Vec<InstanceId>,
        /// Entries of the data centre on the platform's last list.
        listed_entries: u32,
        /// Peers that may lend slots.
        lenders: Vec<Lender>,
    },
    /// A start has ended, one way or another; reported exactly once per [`Action::Start`].
    TaskEnded {
        /// How it ended.
        result: TaskResult,
        /// Time from the request to its end.
        run_time: Duration,
        /// The start.
        start: StartId,
    },
    /// Time has passed; sent at least every 100 ms.
    Tick,
    /// The upstreams of the own data centre on the platform's list.
    Upstreams(Vec<ListEntry>),
}

/// A peer that may lend slots.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lender {
    /// Heartbeat counter that the report came with.
    pub counter: u64,
    /// Free slots that the peer reported.
    pub free_slots: u32,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The peer.
    pub instance: InstanceId,
}

/// How a start ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskResult {
    /// The upstream ran the task; this is its result.
    Done(String),
    /// The upstream ran the task and reported failure.
    Failed(String),
    /// The request was written and no usable answer came.
    Lost,
    /// Nothing was written to the upstream.
    NotSent,
    /// The upstream rejected the task before starting it.
    Refused(Refusal),
    /// No answer came within the task's timeout.
    TimedOut,
}

/// Why an upstream rejected a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// All slots are in use.
    Busy,
    /// The upstream is leaving.
    Leaving,
}

/// An output of [`Dispatcher::drain_actions`](crate::Dispatcher::drain_actions).
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A submission is final; wake those who wait for it.
    Answer {
        /// The answer.
        answer: Answer,
        /// Urgency class, for metrics.
        class: Class,
        /// Whether the outcome of a claim must be recorded in the store.
        definite: bool,
        /// The submission.
        sequence: Sequence,
        /// Team, for metrics.
        team: TeamId,
    },
    /// Record a claim in the store, then report [`Event::ClaimSettled`].
    Claim {
        /// Key of the submission.
        key: SubmissionKey,
        /// The submission.
        sequence: Sequence,
    },
    /// Everything held has finished after [`Event::Drain`].
    Drained,
    /// The health of an upstream has changed.
    Health(Notice),
    /// Ask a peer for slots, then report [`Event::LoanReplied`] or [`Event::LoanFailed`].
    RequestLoan {
        /// The peer.
        lender: InstanceId,
        /// The request.
        request: LoanRequest,
    },
    /// Return slots to a peer; no answer is needed.
    ReturnLoan {
        /// The peer.
        lender: InstanceId,
        /// The slots.
        request: LoanReturn,
    },
    /// Early refusal of a class has started or ended.
    Shedding(SheddingNotice),
    /// Send a task to an upstream, then report [`Event::TaskEnded`].
    Start(Start),
    /// Stop a running task; its end is still reported.
    Stop {
        /// The start.
        start: StartId,
        /// The upstream.
        upstream: UpstreamId,
    },
}

/// One start of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// Service of the task.
    pub service: ServiceId,
    /// Number of the start.
    pub start: StartId,
    /// The task; its payload is in the submission.
    pub task: TaskId,
    /// Longest run, also the lease at the upstream.
    pub timeout: Duration,
    /// Where to send it.
    pub upstream: UpstreamId,
}

/// Counters of one dispatcher, increasing from 0.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Totals {
    /// Starts rejected by upstreams as busy or leaving.
    pub busy_refusals: u64,
    /// Loan requests that yielded no slot.
    pub empty_loans: u64,
    /// Ends reported for starts that are not running.
    pub late_ends: u64,
    /// Loan requests.
    pub loan_requests: u64,
    /// Starts whose request could not be sent.
    pub not_sent: u64,
    /// Repeated starts of idempotent requests.
    pub retries: u64,
    /// Starts.
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

    /// Messages that advanced no task.
    #[must_use]
    pub const fn wasted_messages(&self) -> u64 {
        self.busy_refusals + self.empty_loans + self.not_sent + self.retries
    }
}
