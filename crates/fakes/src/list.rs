//! Stand-in for the platform's list of instances, whose changes become visible after a lag.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use hinge_wire::{InstanceList, ListEntry};
use http::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::http::{
    ConnectionClosed, Handler, ResponseBody, error_response, json_response, query_number, unchanged_response,
};
use crate::shared::{PollOutcome, Shared};
use crate::store::MAX_WAIT;
use crate::store_server::{invalid_body, parse_body};

/// Largest number of changes that are not visible yet; beyond it the oldest one becomes visible early.
const MAX_PENDING_CHANGES: usize = 1024;

/// Body of `POST /control` and `POST /control/list` of the list; absent fields change nothing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListControl {
    /// Whether requests for the list are answered with status 503.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub down: Option<bool>,
    /// Replaces all entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<Vec<ListEntry>>,
    /// Time in milliseconds after which changes become visible, including the change in this request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lag_ms: Option<u64>,
    /// Ids of entries to remove.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub remove: Vec<String>,
    /// Entries to add; each replaces an entry with the same id.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub upsert: Vec<ListEntry>,
}

/// State of the stand-in list.
#[derive(Debug)]
pub struct FakeList {
    calls: u64,
    down: bool,
    lag: Duration,
    /// The list after all changes, including those that are not visible yet.
    latest: InstanceList,
    /// Lists that are not visible yet, oldest first, and the times at which they become visible.
    pending: VecDeque<(Instant, InstanceList)>,
    visible: InstanceList,
}

impl FakeList {
    /// Creates an empty list whose changes become visible after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        let empty = InstanceList { entries: Vec::new(), version: 0 };
        let lag = lag.min(MAX_WAIT);
        Self { calls: 0, down: false, lag, latest: empty.clone(), pending: VecDeque::new(), visible: empty }
    }

    /// Number of requests for the list so far; a long poll counts once.
    #[must_use]
    pub const fn calls(&self) -> u64 {
        self.calls
    }

    /// Applies a control request: changes entries, lag or availability.
    pub fn control(&mut self, now: Instant, control: &ListControl) {
        self.down = control.down.unwrap_or(self.down);
        if let Some(lag_ms) = control.lag_ms {
            self.lag = Duration::from_millis(lag_ms).min(MAX_WAIT);
        }
        let mut entries = control.entries.clone().unwrap_or_else(|| self.latest.entries.clone());
        entries.retain(|entry| !control.remove.contains(&entry.id));
        for entry in &control.upsert {
            match entries.iter_mut().find(|existing| existing.id == entry.id) {
                Some(existing) => existing.clone_from(entry),
                None => entries.push(entry.clone()),
            }
        }
        if entries != self.latest.entries {
            self.set(now, entries);
        }
    }

    /// Returns the list that is visible at `now`.
    pub fn get(&mut self, now: Instant) -> &InstanceList {
        while let Some((at, _)) = self.pending.front()
            && *at <= now
        {
            self.publish_next();
        }
        &self.visible
    }

    /// Replaces all entries; the change becomes visible after the lag.
    pub fn set(&mut self, now: Instant, entries: Vec<ListEntry>) {
        self.latest = InstanceList { entries, version: self.latest.version + 1 };
        if self.pending.len() >= MAX_PENDING_CHANGES {
            self.publish_next();
        }
        // Changes become visible in order, even if the lag has been lowered.
        let earliest = self.pending.back().map_or(now, |(at, _)| *at);
        self.pending.push_back(((now + self.lag).max(earliest), self.latest.clone()));
    }

    fn publish_next(&mut self) {
        if let Some((_, list)) = self.pending.pop_front() {
            self.visible = list;
        }
    }

    /// Checks whether a long poll can end: at another version than `after`, at the deadline, or because the list is
    /// down.
    fn poll(&mut self, now: Instant, after: u64, deadline: Instant) -> PollOutcome<Option<InstanceList>> {
        if self.down {
            return PollOutcome::Ready(None);
        }
        let list = self.get(now);
        if list.version != after || now >= deadline {
            return PollOutcome::Ready(Some(list.clone()));
        }
        PollOutcome::RetryAt(self.pending.front().map_or(deadline, |(at, _)| (*at).min(deadline)))
    }
}

impl Shared<FakeList> {
    /// Waits until the visible version differs from `after`, for at most `wait`; `None` if the list is down.
    pub async fn instances(&self, after: u64, wait: Duration) -> Option<InstanceList> {
        self.with(|list| list.calls += 1);
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        self.wait_until(|list, now| list.poll(now, after, deadline)).await
    }
}

impl Handler for Shared<FakeList> {
    async fn handle(&self, request: Request<Bytes>) -> Result<Response<ResponseBody>, ConnectionClosed> {
        Ok(match (request.method(), request.uri().path()) {
            (&Method::GET, "/instances") => {
                // The list is returned at once if `after` is absent or differs from its version. An unchanged list is
                // not sent again, because it is large and every client would receive it after each long poll.
                let after = query_number(&request, "after");
                let wait = Duration::from_millis(query_number(&request, "wait_ms").unwrap_or(0));
                match self.instances(after.unwrap_or(u64::MAX), wait).await {
                    Some(list) if after == Some(list.version) => unchanged_response(),
                    Some(list) => json_response(StatusCode::OK, &list),
                    None => error_response(StatusCode::SERVICE_UNAVAILABLE, "the list is down"),
                }
            }
            (&Method::POST, "/control" | "/control/list") => match parse_body::<ListControl>(&request) {
                Ok(control) => {
                    self.update(|list| list.control(Instant::now(), &control));
                    json_response(StatusCode::OK, &control)
                }
                Err(error) => invalid_body(&error),
            },
            _ => error_response(StatusCode::NOT_FOUND, "no such endpoint"),
        })
    }
}
