//! Stand-in of the platform's lagging list of instances.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use hinge_wire::{InstanceList, ListEntry};
use http::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::http::{
    ConnectionClosed, Handler, ResponseBody, error_reply, json_reply, query_number, unchanged_reply,
};
use crate::shared::{Shared, Wait};
use crate::store::MAX_WAIT;
use crate::store_server::{body, invalid};

/// Changes that may wait to become visible; beyond it the oldest one becomes visible early.
const MAX_PENDING: usize = 1024;

/// Body of `POST /control` of the list; absent fields change nothing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListControl {
    /// Whether requests for the list are answered with 503.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub down: Option<bool>,
    /// Replaces all entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<Vec<ListEntry>>,
    /// Time after which changes become visible, this one included, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lag_ms: Option<u64>,
    /// Removes the entries with these ids.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub remove: Vec<String>,
    /// Adds entries, or replaces those with the same id.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub upsert: Vec<ListEntry>,
}

/// State of the stand-in list.
#[derive(Debug)]
pub struct FakeList {
    calls: u64,
    down: bool,
    lag: Duration,
    latest: InstanceList,
    pending: VecDeque<(Instant, InstanceList)>,
    visible: InstanceList,
}

impl FakeList {
    /// An empty list, whose changes become visible after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        let empty = InstanceList { entries: Vec::new(), version: 0 };
        let lag = lag.min(MAX_WAIT);
        Self { calls: 0, down: false, lag, latest: empty.clone(), pending: VecDeque::new(), visible: empty }
    }

    /// Requests for the list so far; one that waits counts once.
    #[must_use]
    pub const fn calls(&self) -> u64 {
        self.calls
    }

    /// Changes entries, lag or availability.
    pub fn control(&mut self, now: Instant, control: &ListControl) {
        self.down = control.down.unwrap_or(self.down);
        if let Some(lag_ms) = control.lag_ms {
            self.lag = Duration::from_millis(lag_ms).min(MAX_WAIT);
        }
        let mut entries = control.entries.clone().unwrap_or_else(|| self.latest.entries.clone());
        entries.retain(|entry| !control.remove.contains(&entry.id));
        for entry in &control.upsert {
            match entries.iter_mut().find(|known| known.id == entry.id) {
                Some(known) => known.clone_from(entry),
                None => entries.push(entry.clone()),
            }
        }
        if entries != self.latest.entries {
            self.set(now, entries);
        }
    }

    /// The list as it is visible now.
    pub fn get(&mut self, now: Instant) -> &InstanceList {
        while let Some((at, _)) = self.pending.front()
            && *at <= now
        {
            self.show_next();
        }
        &self.visible
    }

    /// Replaces all entries; visible after the lag.
    pub fn set(&mut self, now: Instant, entries: Vec<ListEntry>) {
        self.latest = InstanceList { entries, version: self.latest.version + 1 };
        if self.pending.len() >= MAX_PENDING {
            self.show_next();
        }
        // Changes become visible in order, also after the lag was lowered.
        let earliest = self.pending.back().map_or(now, |(at, _)| *at);
        self.pending.push_back(((now + self.lag).max(earliest), self.latest.clone()));
    }

    fn show_next(&mut self) {
        if let Some((_, list)) = self.pending.pop_front() {
            self.visible = list;
        }
    }

    fn poll(&mut self, now: Instant, after: u64, until: Instant) -> Wait<Option<InstanceList>> {
        if self.down {
            return Wait::Ready(None);
        }
        let list = self.get(now);
        if list.version != after || now >= until {
            return Wait::Ready(Some(list.clone()));
        }
        Wait::Until(self.pending.front().map_or(until, |(at, _)| (*at).min(until)))
    }
}

impl Shared<FakeList> {
    /// Waits until the visible version differs from `after`, for at most `wait`; `None` when the list is down.
    pub async fn instances(&self, after: u64, wait: Duration) -> Option<InstanceList> {
        self.with(|list| list.calls += 1);
        let until = Instant::now() + wait.min(MAX_WAIT);
        self.wait_until(|list, now| list.poll(now, after, until)).await
    }
}

impl Handler for Shared<FakeList> {
    async fn handle(&self, request: Request<Bytes>) -> Result<Response<ResponseBody>, ConnectionClosed> {
        Ok(match (request.method(), request.uri().path()) {
            (&Method::GET, "/instances") => {
                // Without `after` the list is returned at once, as is one with another version. An unchanged list is
                // not sent again: it is large, and everyone who waits would get it after each wait.
                let after = query_number(&request, "after");
                let wait = Duration::from_millis(query_number(&request, "wait_ms").unwrap_or(0));
                match self.instances(after.unwrap_or(u64::MAX), wait).await {
                    Some(list) if after == Some(list.version) => unchanged_reply(),
                    Some(list) => json_reply(StatusCode::OK, &list),
                    None => error_reply(StatusCode::SERVICE_UNAVAILABLE, "the list is down"),
                }
            }
            (&Method::POST, "/control" | "/control/list") => match body::<ListControl>(&request) {
                Ok(control) => {
                    self.update(|list| list.control(Instant::now(), &control));
                    json_reply(StatusCode::OK, &control)
                }
                Err(error) => invalid(&error),
            },
            _ => error_reply(StatusCode::NOT_FOUND, "no such endpoint"),
        })
    }
}
