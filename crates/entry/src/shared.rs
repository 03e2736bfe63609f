//! State shared by the servers and background loops of an entry instance.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use hinge_budget::{Budget, Held};
use hinge_conf::EntrySettings;
use hinge_dispatch::{Action, Dispatcher, Event, Start};
use hinge_member::Members;
use hinge_obs::Metrics;
use hinge_store::{Claims, ConfigSync, HttpStore};
use hinge_wire::{
    DataCentreId, FastMap, Incarnation, InstanceState, Sequence, Submission, SubmissionKey, UpstreamId,
};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::connections::Connections;
use crate::lifecycle::{Lifecycle, LifecycleEvent};
use crate::lock::lock;
use crate::payloads::Payloads;
use crate::quota_log::QuotaLog;
use crate::waiters::Waiters;

/// Addresses of the upstreams on which the dispatcher may start tasks.
pub(crate) type UpstreamAddresses = FastMap<UpstreamId, SocketAddr>;

/// Client of the platform's store; `None`, without a configured address, is treated as an unreachable store.
pub(crate) type PlatformStore = Option<HttpStore>;

pub(crate) struct Shared {
    pub(crate) addresses: Mutex<UpstreamAddresses>,
    pub(crate) budget: Budget,
    pub(crate) claims: Claims<PlatformStore>,
    pub(crate) config: Arc<ConfigSync<PlatformStore>>,
    pub(crate) connections: Connections,
    pub(crate) data_centre: DataCentreId,
    pub(crate) dispatcher: Mutex<Dispatcher>,
    pub(crate) incarnation: Incarnation,
    /// Counts the results of finished submissions at their limit.
    pub(crate) kept_results: Mutex<Held>,
    pub(crate) lifecycle: Mutex<Lifecycle>,
    pub(crate) members: Mutex<Members>,
    pub(crate) metrics: Metrics,
    pub(crate) payloads: Payloads,
    pub(crate) quota_log: QuotaLog,
    pub(crate) settings: EntrySettings,
    /// Becomes true when a drain has begun and all submissions and starts have ended.
    pub(crate) drained: watch::Sender<bool>,
    /// Becomes true when a drain begins.
    pub(crate) drain_requested: watch::Sender<bool>,
    pub(crate) waiters: Waiters,
}

/// A task start and the submission that contains its payload.
pub(crate) struct PreparedStart {
    /// Counts the submission until the start has ended.
    pub(crate) held: Option<Arc<Held>>,
    pub(crate) start: Start,
    pub(crate) submission: Arc<Submission>,
}

/// Components from which [`Shared`] is built.
pub(crate) struct SharedParts {
    pub(crate) budget: Budget,
    pub(crate) claims: Claims<PlatformStore>,
    pub(crate) config: Arc<ConfigSync<PlatformStore>>,
    pub(crate) connections: Connections,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) incarnation: Incarnation,
    pub(crate) kept_results: Held,
    pub(crate) members: Members,
    pub(crate) metrics: Metrics,
    pub(crate) settings: EntrySettings,
}

impl Shared {
    pub(crate) fn new(parts: SharedParts) -> Self {
        Self {
            addresses: Mutex::default(),
            budget: parts.budget,
            claims: parts.claims,
            config: parts.config,
            connections: parts.connections,
            data_centre: parts.settings.data_centre.clone(),
            dispatcher: Mutex::new(parts.dispatcher),
            drained: watch::Sender::new(false),
            drain_requested: watch::Sender::new(false),
            incarnation: parts.incarnation,
            kept_results: Mutex::new(parts.kept_results),
            lifecycle: Mutex::new(Lifecycle::new()),
            members: Mutex::new(parts.members),
            metrics: parts.metrics,
            payloads: Payloads::default(),
            quota_log: QuotaLog::default(),
            settings: parts.settings,
            waiters: Waiters::default(),
        }
    }

    /// Runs `operation` on the dispatcher and executes the resulting actions after releasing its lock.
    pub(crate) fn with_dispatcher<R>(
        self: &Arc<Self>,
        operation: impl FnOnce(&mut Dispatcher, Instant) -> R,
    ) -> R {
        let now = Instant::now();
        let (result, actions) = {
            let mut dispatcher = lock(&self.dispatcher);
            let result = operation(&mut dispatcher, now);
            let actions: Vec<Action> = dispatcher.drain_actions().collect();
            let prepared: Vec<_> =
                actions.into_iter().map(|action| self.prepare(&dispatcher, action)).collect();
            (result, prepared)
        };
        for action in actions {
            self.execute(action);
        }
        result
    }

    /// Passes an event to the dispatcher and executes the resulting actions.
    pub(crate) fn handle_event(self: &Arc<Self>, event: Event) {
        self.with_dispatcher(|dispatcher, now| dispatcher.handle(now, event));
    }

    pub(crate) fn apply_lifecycle_event(&self, event: LifecycleEvent) {
        let state = {
            let mut lifecycle = lock(&self.lifecycle);
            lifecycle.handle(event);
            lifecycle.state()
        };
        lock(&self.members).local_mut().state = state;
    }

    pub(crate) fn lifecycle_state(&self) -> InstanceState {
        lock(&self.lifecycle).state()
    }

    /// Reason why the instance does not accept submissions, or `None` when it does.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
        match self.lifecycle_state() {
            InstanceState::Ready => None,
            InstanceState::Draining => Some("the instance is draining"),
            InstanceState::Stopped => Some("the instance has stopped"),
            InstanceState::Starting if !self.config.status().is_loaded => {
                Some("no configuration yet: neither the store nor a peer has answered")
            }
            InstanceState::Starting => Some("no upstream list yet: the platform's list has not answered"),
        }
    }

    /// Key of the submission that this process owns under `sequence`.
    pub(crate) fn submission_key(&self, sequence: Sequence) -> SubmissionKey {
        SubmissionKey {
            data_centre: self.data_centre.clone(),
            incarnation: self.incarnation,
            instance: self.settings.instance.clone(),
            sequence,
        }
    }

    fn prepare(&self, dispatcher: &Dispatcher, action: Action) -> PreparedAction {
        let Action::Start(start) = action else { return PreparedAction::Other(action) };
        match dispatcher.submission(start.task.sequence).cloned() {
            Some(submission) => {
                let held = self.payloads.get(start.task.sequence);
                PreparedAction::Start(PreparedStart { held, start, submission })
            }
            None => PreparedAction::MissingSubmission(start),
        }
    }

    pub(crate) fn upstream_address(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        lock(&self.addresses).get(upstream).copied()
    }
}

/// An action and the data from the dispatcher that its execution needs.
pub(crate) enum PreparedAction {
    Other(Action),
    Start(PreparedStart),
    /// A start whose submission is no longer in progress; it is reported as not sent.
    MissingSubmission(Start),
}
