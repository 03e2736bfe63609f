//! State shared by the servers and loops of one entry instance.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

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
use crate::life::{Life, LifeEvent};
use crate::quota_log::QuotaLog;
use crate::waiters::Waiters;

/// Address of an upstream that the dispatcher may start tasks on.
pub(crate) type UpstreamAddresses = FastMap<UpstreamId, SocketAddr>;

/// The platform's store; without an address it counts as down.
pub(crate) type Platform = Option<HttpStore>;

/// Everything that handlers and loops share.
pub(crate) struct Shared {
    pub(crate) addresses: Mutex<UpstreamAddresses>,
    pub(crate) claims: Claims<Platform>,
    pub(crate) config: Arc<ConfigSync<Platform>>,
    pub(crate) connections: Connections,
    pub(crate) data_centre: DataCentreId,
    pub(crate) dispatcher: Mutex<Dispatcher>,
    pub(crate) incarnation: Incarnation,
    pub(crate) life: Mutex<Life>,
    pub(crate) members: Mutex<Members>,
    pub(crate) metrics: Metrics,
    pub(crate) quota_log: QuotaLog,
    pub(crate) settings: EntrySettings,
    /// Set to true when the dispatcher has reported that everything held has finished.
    pub(crate) drained: watch::Sender<bool>,
    /// Set to true when a planned stop has begun.
    pub(crate) drain_requested: watch::Sender<bool>,
    pub(crate) waiters: Waiters,
}

/// A start with the submission that holds its payload.
pub(crate) struct PreparedStart {
    pub(crate) start: Start,
    pub(crate) submission: Arc<Submission>,
}

/// Parts from which the shared state is made.
pub(crate) struct SharedParts {
    pub(crate) claims: Claims<Platform>,
    pub(crate) config: Arc<ConfigSync<Platform>>,
    pub(crate) connections: Connections,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) incarnation: Incarnation,
    pub(crate) members: Members,
    pub(crate) metrics: Metrics,
    pub(crate) settings: EntrySettings,
}

impl Shared {
    pub(crate) fn new(parts: SharedParts) -> Self {
        Self {
            addresses: Mutex::default(),
            claims: parts.claims,
            config: parts.config,
            connections: parts.connections,
            data_centre: parts.settings.data_centre.clone(),
            dispatcher: Mutex::new(parts.dispatcher),
            drained: watch::Sender::new(false),
            drain_requested: watch::Sender::new(false),
            incarnation: parts.incarnation,
            life: Mutex::new(Life::new()),
            members: Mutex::new(parts.members),
            metrics: parts.metrics,
            quota_log: QuotaLog::default(),
            settings: parts.settings,
            waiters: Waiters::default(),
        }
    }

    /// Runs `decide` on the dispatcher and carries out the actions it decides on.
    pub(crate) fn decide<R>(self: &Arc<Self>, decide: impl FnOnce(&mut Dispatcher, Instant) -> R) -> R {
        let now = Instant::now();
        let (result, actions) = {
            let mut dispatcher = lock(&self.dispatcher);
            let result = decide(&mut dispatcher, now);
            let actions: Vec<Action> = dispatcher.drain_actions().collect();
            let prepared: Vec<_> = actions.into_iter().map(|action| prepare(&dispatcher, action)).collect();
            (result, prepared)
        };
        for action in actions {
            self.carry_out(action);
        }
        result
    }

    /// Reports an event to the dispatcher.
    pub(crate) fn report(self: &Arc<Self>, event: Event) {
        self.decide(|dispatcher, now| dispatcher.handle(now, event));
    }

    pub(crate) fn change_life(&self, event: LifeEvent) {
        let state = {
            let mut life = lock(&self.life);
            life.handle(event);
            life.state()
        };
        lock(&self.members).own_mut().state = state;
    }

    pub(crate) fn life_state(&self) -> InstanceState {
        lock(&self.life).state()
    }

    /// Why the instance cannot take submissions, or `None` when it can.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
        match self.life_state() {
            InstanceState::Ready => None,
            InstanceState::Draining => Some("the instance is draining"),
            InstanceState::Stopped => Some("the instance has stopped"),
            InstanceState::Starting if !self.config.status().loaded => {
                Some("no configuration yet: neither the store nor a peer has answered")
            }
            InstanceState::Starting => Some("no upstream list yet: the platform's list has not answered"),
        }
    }

    /// Key of a submission of this owner.
    pub(crate) fn key_of(&self, sequence: Sequence) -> SubmissionKey {
        SubmissionKey {
            data_centre: self.data_centre.clone(),
            incarnation: self.incarnation,
            instance: self.settings.instance.clone(),
            sequence,
        }
    }

    pub(crate) fn upstream_address(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        lock(&self.addresses).get(upstream).copied()
    }
}

/// An action with what is needed to carry it out without the dispatcher.
pub(crate) enum Prepared {
    Other(Action),
    Start(PreparedStart),
    /// A start whose submission is gone; it is reported as not sent.
    Void(Start),
}

fn prepare(dispatcher: &Dispatcher, action: Action) -> Prepared {
    match action {
        Action::Start(start) => match dispatcher.submission(start.task.sequence).cloned() {
            Some(submission) => Prepared::Start(PreparedStart { start, submission }),
            None => Prepared::Void(start),
        },
        other => Prepared::Other(other),
    }
}

/// Locks a mutex. A panic while it was held leaves the state as it was at that moment.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
