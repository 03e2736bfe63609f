//! A worker: runs under one lease, numbered ends, a fencing token, and a clock that starts anew with each life.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, Server};
use crate::json::{Json, int, map, text};
use crate::record::Record;
use crate::store::Store;

const MAX_LEASE_MS: u64 = 1_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

struct Run {
    cpu: u64,
    done_at_ms: u64,
    index: usize,
    started_ms: u64,
}

/// One life of the worker.
struct Life {
    born_ms: u64,
    ended_runs: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    fence: u64,
    lease_until_ms: u64,
    next_end: u64,
    runs: BTreeMap<(String, u64), Run>,
    server: Server,
    started: Instant,
}

struct State {
    life: Option<Life>,
    sequence: u64,
    /// Orders that were left unanswered and are still to be carried out.
    swallowed: Vec<Request>,
}

/// Whether the worker leaves an order unanswered: gets the worker's id and the order.
pub type Swallows = Arc<dyn Fn(&str, &Request) -> bool + Send + Sync>;

pub struct Spec {
    pub id: String,
    pub address: SocketAddr,
    pub backend: String,
    pub cpu: u64,
    pub zone: String,
}

/// A worker; clones share its state.
#[derive(Clone)]
pub struct Worker {
    pub spec: Arc<Spec>,
    record: Record,
    state: Arc<Mutex<State>>,
    store: Store,
    swallows: Swallows,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn end(&mut self, record: &Record, id: &(String, u64), how: &'static str) {
        let Some(run) = self.runs.remove(id) else { return };
        record.ended(run.index, how);
        self.note_end(id);
        self.ends.push((self.next_end, id.0.clone(), id.1, how));
        self.next_end += 1;
    }

    fn note_end(&mut self, id: &(String, u64)) {
        let highest = self.ended_runs.entry(id.0.clone()).or_default();
        *highest = (*highest).max(id.1);
    }

    /// Ends the runs that are done or whose lease has expired.
    fn advance(&mut self, record: &Record) {
        let now_ms = self.clock_ms();
        let lease_until_ms = self.lease_until_ms;
        let due = |run: &Run| run.done_at_ms.min(lease_until_ms) <= now_ms;
        let ended: Vec<_> = self.runs.iter().filter(|(_, run)| due(run)).map(|(id, _)| id.clone()).collect();
        for id in ended {
            let how = if self.runs[&id].done_at_ms <= lease_until_ms { "done" } else { "lapsed" };
            self.end(record, &id, how);
        }
    }

    fn extend_lease(&mut self, until: Option<u64>) {
        if let Some(until_ms) = until {
            self.lease_until_ms = self.lease_until_ms.max(until_ms.min(self.clock_ms() + MAX_LEASE_MS));
        }
    }

    fn reply(&self, status: u16, reason: Option<&str>) -> Response {
        let mut fields = vec![("born", int(self.born_ms)), ("clock-ms", int(self.clock_ms()))];
        fields.extend(reason.map(|reason| ("reason", text(reason))));
        let fields = fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
        Response::Answer(status, Json::Map(fields).encode())
    }

    fn listing(&self) -> Response {
        let now_ms = self.clock_ms();
        let running = self.runs.iter().map(|((task, number), run)| {
            let length = (run.done_at_ms - run.started_ms).max(1);
            let percent = 100 * (now_ms - run.started_ms) / length;
            Json::List(vec![text(task), int(*number), text(""), int(percent.min(100))])
        });
        let finished = self.ends.iter().take(500).map(|(end, task, number, how)| {
            Json::List(vec![int(*end), text(task), int(*number), text(how), text("")])
        });
        let body = map([
            ("born", int(self.born_ms)),
            ("clock-ms", int(now_ms)),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(finished.collect())),
        ]);
        Response::Answer(200, body.encode())
    }
}

impl Worker {
    pub fn new(spec: Spec, store: Store, record: Record, swallows: Swallows) -> Self {
        let state = State { life: None, sequence: 0, swallowed: Vec::new() };
        let worker =
            Self { spec: Arc::new(spec), record, state: Arc::new(Mutex::new(state)), store, swallows };
        let (ticking, reporting) = (worker.clone(), worker.clone());
        thread::spawn(move || {
            loop {
                ticking.advance();
                thread::sleep(Duration::from_millis(2));
            }
        });
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                reporting.report();
            }
        });
        worker
    }

    fn advance(&self) {
        if let Some(life) = self.state.lock().unwrap().life.as_mut() {
            life.advance(&self.record);
        }
    }

    /// Begins a new life under the same id and address, and registers it.
    pub fn start(&self) -> std::io::Result<()> {
        self.serve()?;
        self.report();
        Ok(())
    }

    /// Begins a new life; its first heartbeat registers it.
    pub fn serve(&self) -> std::io::Result<()> {
        let worker = self.clone();
        let server = Server::start(self.spec.address, move |request| worker.answer(request))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.state.lock().unwrap().life = Some(Life {
            born_ms: born.as_millis() as u64,
            ended_runs: BTreeMap::new(),
            ends: Vec::new(),
            fence: 0,
            lease_until_ms: 0,
            next_end: 1,
            runs: BTreeMap::new(),
            server,
            started: Instant::now(),
        });
        self.record.line(&format!("{}: a life begins", self.spec.id));
        Ok(())
    }

    /// Ends the life with all its runs and connections.
    pub fn crash(&self) {
        let Some(mut life) = self.state.lock().unwrap().life.take() else { return };
        self.record.line(&format!("{}: crashes", self.spec.id));
        life.server.end();
        for run in std::mem::take(&mut life.runs).into_values() {
            self.record.ended(run.index, "lost in the crash");
        }
    }

    /// Carries out the orders that were left unanswered.
    pub fn carry_out_late(&self) {
        let orders = std::mem::take(&mut self.state.lock().unwrap().swallowed);
        for order in orders {
            self.record.line(&format!("{}: carries out late {} {}", self.spec.id, order.path, show(&order)));
            if let Response::Answer(status, body) = self.execute(&order) {
                self.record.line(&format!("{}: the late order had the result {status} {body}", self.spec.id));
            }
        }
    }

    pub fn report(&self) {
        let mut state = self.state.lock().unwrap();
        state.sequence += 1;
        let sequence = state.sequence;
        let Some(life) = &state.life else { return };
        let spec = &self.spec;
        let capacity = map([("cpu", int(spec.cpu)), ("mem-mb", int(32_768)), ("gpu", int(0))]);
        let entry = map([
            ("backend", text(&spec.backend)),
            ("address", text(&spec.address.to_string())),
            ("zone", text(&spec.zone)),
            ("version", text("v1")),
            ("slots", int(8)),
            ("state", text("ready")),
            ("cold-left-ms", int(0)),
            ("capacity", capacity),
            ("labels", Json::List(vec![text("a"), text("r1-1")])),
            ("clock-ms", int(life.clock_ms())),
            ("seq", int(sequence)),
            ("born", int(life.born_ms)),
        ]);
        drop(state);
        self.store.write(&format!("servers/{}", spec.id), &entry);
    }

    fn answer(&self, request: Request) -> Response {
        let expected = request.header("x-expected-instance");
        if !expected.is_empty() && expected != self.spec.id {
            return Response::Answer(421, "{}".to_owned());
        }
        if (self.swallows)(&self.spec.id, &request) {
            self.record.line(&format!(
                "{}: leaves {} {} unanswered",
                self.spec.id,
                request.path,
                show(&request)
            ));
            self.state.lock().unwrap().swallowed.push(request);
            return Response::Silent;
        }
        self.execute(&request)
    }

    fn execute(&self, request: &Request) -> Response {
        let body = request.json();
        let (task, number) = (body.get("task").text().unwrap_or_default().to_owned(), body.get("run").int());
        let fence = body.get("fence").int().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let Some(life) = state.life.as_mut() else { return Response::Silent };
        life.advance(&self.record);
        if fence < life.fence {
            return life.reply(409, Some("fence"));
        }
        life.fence = fence;
        let deadline = body.get("deadline-ms").int();
        match (request.path.as_str(), number) {
            ("/v1/run-start", Some(number)) => self.run_start(life, (task, number), &body),
            ("/v1/run-stop", Some(number)) => {
                let id = (task, number);
                life.note_end(&id);
                life.end(&self.record, &id, "stopped");
                life.reply(200, None)
            }
            ("/v1/hold", _) => {
                life.extend_lease(deadline);
                let seen = body.get("last-seen").int().unwrap_or(0);
                life.ends.retain(|(end, ..)| *end > seen);
                let until =
                    Instant::now() + Duration::from_millis(body.get("wait-ms").int().unwrap_or(0).min(2_000));
                let born_ms = life.born_ms;
                drop(state);
                self.list(born_ms, until)
            }
            _ => life.reply(400, None),
        }
    }

    fn run_start(&self, life: &mut Life, id: (String, u64), body: &Json) -> Response {
        let now_ms = life.clock_ms();
        let deadline = body.get("deadline-ms").int();
        if deadline.is_none_or(|until_ms| until_ms <= now_ms) {
            return life.reply(409, Some("late"));
        }
        life.extend_lease(deadline);
        if life.runs.contains_key(&id) {
            return life.reply(200, None);
        }
        if life.ended_runs.get(&id.0).is_some_and(|highest| *highest >= id.1) {
            return life.reply(409, Some("old"));
        }
        // The clients of a play write the work of a task and its need into `spec`: "MILLISECONDS CPU".
        let spec = body.get("spec").text().unwrap_or_default();
        let mut words = spec.split(' ').map(|word| word.parse::<u64>().unwrap_or(0));
        let (work_ms, cpu) = (words.next().unwrap_or(0), words.next().unwrap_or(0));
        let used: u64 = life.runs.values().map(|run| run.cpu).sum();
        if used + cpu > self.spec.cpu {
            return life.reply(409, Some("room"));
        }
        let index = self.record.started(&id.0, id.1, &self.spec.id);
        life.runs.insert(id, Run { cpu, done_at_ms: now_ms + work_ms, index, started_ms: now_ms });
        life.reply(200, None)
    }

    /// The lists of a life, once there is an end or the wait is over.
    fn list(&self, born_ms: u64, until: Instant) -> Response {
        loop {
            {
                let state = self.state.lock().unwrap();
                match state.life.as_ref().filter(|life| life.born_ms == born_ms) {
                    Some(life) if !life.ends.is_empty() || Instant::now() >= until => return life.listing(),
                    Some(_) => {}
                    None => return Response::Silent,
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn show(order: &Request) -> String {
    String::from_utf8_lossy(&order.body).into_owned()
}
