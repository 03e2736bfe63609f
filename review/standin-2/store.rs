//! The platform's store: keys with revisions, watches, transactions and leases.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::Json;

/// Time that each call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    created: u64,
    lease: u64,
    revision: u64,
    /// Base64 text.
    value: String,
}

struct Lease {
    ends_at: Instant,
    ttl: Duration,
}

#[derive(Default)]
struct State {
    /// Revision, key and item of each change; no item where the key was removed.
    changes: Vec<(u64, String, Option<Item>)>,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// Time of the last renewal, by lease.
    renewed_at: BTreeMap<u64, Instant>,
    revision: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { created, lease, revision: self.revision, value };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let keys: Vec<_> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        self.leases.remove(&lease).is_some()
    }
}

/// Handle of the store; clones share its keys.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> Self {
        let state = State { next_lease: 1, revision: 100, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let mut store = Self { address: ([127, 0, 0, 1], 0).into(), shared };
        let answering = store.clone();
        let server =
            http::serve(store.address, move |request| answering.answer(&request)).expect("a free port");
        store.address = server.address();
        let expiry = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                expiry.end_expired();
            }
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no panic under the lock")
    }

    /// Writes a key without a lease, as the operator and the workers do. The return is the store's acknowledgement.
    pub fn write(&self, key: &str, value: &Json) {
        self.state().put(key, encode_base64(value.to_string().as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Waits until the lease of a key is renewed, and returns when that was.
    pub fn wait_for_renewal(&self, key: &str) -> Instant {
        let asked_at = Instant::now();
        loop {
            {
                let state = self.state();
                let lease = state.items.get(key).map_or(0, |item| item.lease);
                if let Some(at) = state.renewed_at.get(&lease).filter(|at| **at > asked_at) {
                    return *at;
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn end_expired(&self) {
        let mut state = self.state();
        let now = Instant::now();
        let ended: Vec<_> =
            state.leases.iter().filter(|(_, lease)| now >= lease.ends_at).map(|(id, _)| *id).collect();
        for lease in &ended {
            state.end_lease(*lease);
        }
        if !ended.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        thread::sleep(CALL_TIME);
        let last = request.path.rsplit('/').next().unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.transact(request),
            ("POST", "/v1/kv-lease") => self.grant(request),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => self.keep(last.parse().unwrap_or(0)),
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let ended = self.state().end_lease(last.parse().unwrap_or(0));
                self.shared.1.notify_all();
                (if ended { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> Answer {
        let (prefix, after) =
            (request.field("prefix").unwrap_or_default(), request.field("after").unwrap_or_default());
        let state = self.state();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items = items.map(|(key, item)| event(key, item.revision, Some(item))).collect();
        let body = Json::object([
            ("as-of", state.revision.into()),
            ("items", Json::List(items)),
            ("truncated", Json::Bool(false)),
        ]);
        (200, body.to_string())
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.field("prefix").unwrap_or_default();
        let number = |name| request.field(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, until) =
            (number("after"), Instant::now() + Duration::from_millis(number("wait-ms").min(30_000)));
        let mut state = self.state();
        loop {
            let new = state
                .changes
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<_> =
                new.map(|(revision, key, item)| event(key, *revision, item.as_ref())).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = Json::object([("as-of", state.revision.into()), ("events", Json::List(events))]);
                return (200, body.to_string());
            }
            state = self.shared.1.wait_timeout(state, left).expect("no panic under the lock").0;
        }
    }

    fn transact(&self, request: &Request) -> Answer {
        let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
        let rows = |name: &str| body.get(name).map(|rows| rows.list().to_vec()).unwrap_or_default();
        let mut state = self.state();
        for row in rows("precondition") {
            let key = row.get("key").and_then(Json::text).unwrap_or_default().to_owned();
            let expected = row.get("revision").and_then(Json::number).unwrap_or(0);
            if state.items.get(&key).map_or(0, |item| item.revision) != expected {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        let lease_of = |put: &Json| put.get("lease").and_then(Json::number).unwrap_or(0);
        if rows("puts").iter().map(lease_of).any(|lease| lease != 0 && !state.leases.contains_key(&lease)) {
            return (404, "{}".to_owned());
        }
        for put in rows("puts") {
            let text = |name| put.get(name).and_then(Json::text).unwrap_or_default().to_owned();
            let lease = lease_of(&put);
            state.put(&text("key"), text("value"), lease);
        }
        for key in rows("remove") {
            state.remove(key.text().unwrap_or_default());
        }
        self.shared.1.notify_all();
        (200, Json::object([("revision", state.revision.into())]).to_string())
    }

    fn grant(&self, request: &Request) -> Answer {
        let ttl_ms = Json::parse(&request.body)
            .and_then(|body| body.get("ttl-ms")?.number())
            .unwrap_or(1_000)
            .max(1_000);
        let mut state = self.state();
        state.next_lease += 1;
        let (lease, ttl) = (state.next_lease, Duration::from_millis(ttl_ms));
        state.leases.insert(lease, Lease { ends_at: Instant::now() + ttl, ttl });
        (200, Json::object([("lease", lease.into()), ("ttl-ms", ttl_ms.into())]).to_string())
    }

    fn keep(&self, lease: u64) -> Answer {
        let mut state = self.state();
        let Some(held) = state.leases.get_mut(&lease) else { return (404, "{}".to_owned()) };
        let now = Instant::now();
        held.ends_at = now + held.ttl;
        state.renewed_at.insert(lease, now);
        (200, "{}".to_owned())
    }
}

fn event(key: &str, revision: u64, item: Option<&Item>) -> Json {
    match item {
        Some(item) => Json::object([
            ("created", item.created.into()),
            ("key", key.into()),
            ("lease", item.lease.into()),
            ("revision", revision.into()),
            ("value", item.value.as_str().into()),
        ]),
        None => {
            Json::object([("deleted", Json::Bool(true)), ("key", key.into()), ("revision", revision.into())])
        }
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits =
            chunk.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit)) & 63;
            text.push(if digit <= chunk.len() { char::from(DIGITS[value as usize]) } else { '=' });
        }
    }
    text
}
