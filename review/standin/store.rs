//! The platform's store: keys with revisions, watches and leases. Each answer takes 4 ms.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json::{Json, base64, from_base64, int, map, text};

const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    created: u64,
    lease: u64,
    revision: u64,
    value: String,
}

#[derive(Default)]
struct State {
    events: Vec<(u64, String, Json)>,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// By the end of an entry's key, the address of the proxy in front of its port for other entries.
    proxies: BTreeMap<String, SocketAddr>,
    revision: u64,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { created, lease, revision, value: value.to_owned() };
        self.events.push((revision, key.to_owned(), describe(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event =
                map([("key", text(key)), ("revision", int(self.revision)), ("deleted", Json::Bool(true))]);
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (until, _)| *until > now);
        let gone: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !self.leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.remove(&key);
        }
    }
}

fn describe(key: &str, item: &Item) -> Json {
    map([
        ("key", text(key)),
        ("value", text(&item.value)),
        ("revision", int(item.revision)),
        ("created", int(item.created)),
        ("lease", int(item.lease)),
    ])
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn new() -> Self {
        let store = Self { state: Arc::new(Mutex::new(State { revision: 100, ..State::default() })) };
        let state = store.state.clone();
        thread::spawn(move || {
            loop {
                state.lock().unwrap().expire();
                thread::sleep(Duration::from_millis(20));
            }
        });
        store
    }

    /// Serves the store at a free port of an address.
    pub fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start(address, move |request| store.answer(&request))
    }

    /// Writes a key without a lease, as the operator and the workers do.
    pub fn write(&self, key: &str, value: &Json) {
        self.state.lock().unwrap().put(key, &base64(value.encode().as_bytes()), 0);
    }

    /// From now on, other entries reach the entry `name` through a proxy: the registration that it writes shows the
    /// proxy's address. This stands for a network path that can be cut.
    pub fn set_proxy(&self, name: &str, proxy: SocketAddr) {
        self.state.lock().unwrap().proxies.insert(name.to_owned(), proxy);
    }

    fn answer(&self, request: &Request) -> Response {
        thread::sleep(ANSWER_TIME);
        let (status, body) = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-key") => self.key(request),
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.transaction(&request.json()),
            ("POST", "/v1/kv-lease") => self.grant(&request.json()),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => self.renew(last_number(path)),
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => self.end(last_number(path)),
            _ => (404, map([])),
        };
        Response::Answer(status, body.encode())
    }

    fn key(&self, request: &Request) -> (u16, Json) {
        let state = self.state.lock().unwrap();
        let key = request.query("key");
        state.items.get(key).map_or((404, map([])), |item| (200, describe(key, item)))
    }

    fn range(&self, request: &Request) -> (u16, Json) {
        let state = self.state.lock().unwrap();
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let found = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items = found.map(|(key, item)| describe(key, item)).collect();
        let fields =
            [("items", Json::List(items)), ("truncated", Json::Bool(false)), ("as-of", int(state.revision))];
        (200, map(fields))
    }

    fn watch(&self, request: &Request) -> (u16, Json) {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait-ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        loop {
            let state = self.state.lock().unwrap();
            let events: Vec<_> = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, _, event)| event.clone())
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                return (200, map([("events", Json::List(events)), ("as-of", int(state.revision))]));
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn transaction(&self, body: &Json) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        for row in body.get("precondition").list() {
            let key = row.get("key").text().unwrap_or_default();
            let revision = state.items.get(key).map_or(0, |item| item.revision);
            if row.get("revision").int() != Some(revision) {
                return (412, map([("items", Json::List(Vec::new()))]));
            }
        }
        let puts = body.get("puts").list();
        let keys = puts.iter().map(|put| put.get("key")).chain(body.get("remove").list());
        if keys.filter_map(Json::text).any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, map([]));
        }
        let lease = |put: &Json| put.get("lease").int().unwrap_or(0);
        if puts.iter().any(|put| lease(put) != 0 && !state.leases.contains_key(&lease(put))) {
            return (404, map([]));
        }
        for put in puts {
            let key = put.get("key").text().unwrap_or_default();
            let value = through_proxy(&state, key, put.get("value").text().unwrap_or_default());
            state.put(key, &value, lease(put));
        }
        for key in body.get("remove").list().iter().filter_map(Json::text) {
            state.remove(key);
        }
        (200, map([("revision", int(state.revision))]))
    }

    fn grant(&self, body: &Json) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        let ttl_ms = body.get("ttl-ms").int().unwrap_or(1_000).clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        state.revision += 1;
        let lease = state.revision;
        state.leases.insert(lease, (Instant::now() + ttl, ttl));
        (200, map([("lease", int(lease)), ("ttl-ms", int(ttl_ms))]))
    }

    fn renew(&self, lease: u64) -> (u16, Json) {
        match self.state.lock().unwrap().leases.get_mut(&lease) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                (200, map([("ttl-ms", int(ttl.as_millis() as u64))]))
            }
            None => (404, map([])),
        }
    }

    fn end(&self, lease: u64) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        let known = state.leases.remove(&lease).is_some();
        state.expire();
        (if known { 200 } else { 404 }, map([]))
    }
}

/// Replaces the address for other entries in the registration of an entry that has a proxy.
fn through_proxy(state: &State, key: &str, value: &str) -> String {
    let proxy = key.rsplit('/').next().and_then(|name| state.proxies.get(name));
    let (Some(proxy), Some(Json::Map(mut entry))) = (proxy, Json::parse(&from_base64(value))) else {
        return value.to_owned();
    };
    entry.insert("peer_address".to_owned(), text(&proxy.to_string()));
    base64(Json::Map(entry).encode().as_bytes())
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}
