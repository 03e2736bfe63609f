//! The platform's store: keys with revisions, watches and leases, as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Call};
use crate::json::{Json, base64, quoted};

struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    revision: u64,
    /// Revision, key and event.
    history: Vec<(u64, String, String)>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
        quoted(key),
        quoted(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event =
                format!("{{\"key\":{},\"revision\":{},\"deleted\":true}}", quoted(key), self.revision);
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (until, _)| *until > now);
        let gone = |item: &Item| item.lease != 0 && !self.leases.contains_key(&item.lease);
        let keys: Vec<_> =
            self.items.iter().filter(|(_, item)| gone(item)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Store {
    /// Serves the store at a new address until the returned flag is set.
    pub fn listen(self: &Arc<Self>) -> std::io::Result<(SocketAddr, Arc<AtomicBool>)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (server, stop) = (self.clone(), Arc::new(AtomicBool::new(false)));
        http::serve(listener, stop.clone(), Arc::new(move |call| server.answer(call)))?;
        Ok((address, stop))
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().unwrap().write(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn answer(&self, call: &Call) -> Answer {
        let body = Json::parse(&call.body).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        state.expire();
        let last = call.path.rsplit('/').next().and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (status, text) = match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/kv-range") => {
                let prefix = call.parameter("prefix");
                let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
                let items: Vec<_> = items.map(|(key, item)| item_json(key, item)).collect();
                let text = format!(
                    "{{\"items\":[{}],\"truncated\":false,\"as-of\":{}}}",
                    items.join(","),
                    state.revision
                );
                (200, text)
            }
            ("GET", "/v1/kv-watch") => {
                let prefix = call.parameter("prefix").to_owned();
                let after: u64 = call.parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(call.parameter("wait-ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let new = state
                        .history
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
                    let events: Vec<_> = new.map(|(_, _, event)| event.clone()).collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let text =
                            format!("{{\"events\":[{}],\"as-of\":{}}}", events.join(","), state.revision);
                        break (200, text);
                    }
                    // Leases expire without a call, so the wait is limited.
                    let limit = (until - now).min(Duration::from_millis(50));
                    state = self.changed.wait_timeout(state, limit).unwrap().0;
                    state.expire();
                }
            }
            ("POST", "/v1/kv-lease") => {
                let ttl_ms = body.get("ttl-ms").number().unwrap_or(1_000).max(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                state.revision += 1;
                let lease = state.revision;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl-ms\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => match state.leases.get_mut(&last) {
                Some((until, ttl)) => {
                    *until = Instant::now() + *ttl;
                    (200, format!("{{\"ttl-ms\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            },
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                state.leases.remove(&last);
                state.expire();
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            ("POST", "/v1/kv-txn") => {
                let mut present = Vec::new();
                let mut holds = true;
                for row in body.get("precondition").list() {
                    let key = row.get("key").text();
                    let item = state.items.get(key);
                    holds &= row.get("revision").number() == Some(item.map_or(0, |item| item.revision));
                    present.extend(item.map(|item| item_json(key, item)));
                }
                let leases = body.get("puts").list().iter().filter_map(|put| put.get("lease").number());
                if !holds {
                    (412, format!("{{\"items\":[{}]}}", present.join(",")))
                } else if leases.into_iter().any(|lease| lease != 0 && !state.leases.contains_key(&lease)) {
                    (404, "{}".to_owned())
                } else {
                    for put in body.get("puts").list() {
                        let lease = put.get("lease").number().unwrap_or(0);
                        state.write(put.get("key").text(), put.get("value").text().to_owned(), lease);
                    }
                    for key in body.get("remove").list() {
                        state.remove(key.text());
                    }
                    self.changed.notify_all();
                    (200, format!("{{\"revision\":{}}}", state.revision))
                }
            }
            _ => (404, "{}".to_owned()),
        };
        Some((status, text))
    }
}
