//! A worker: runs tasks under a lease, lists their ends, and registers itself in the store.
//!
//! The spec of a task is the time that it works, in milliseconds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request, Server};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Longest lease; a longer one is shortened to it.
const MAX_HOLD_MS: u64 = 1_000;
/// Time that a stop takes, below `stop-ms`.
const STOP_TIME: Duration = Duration::from_millis(10);
/// Time after which a task fails on a worker that fails all.
const FAIL_TIME: Duration = Duration::from_millis(30);
/// Memory of a worker in megabytes.
const MEMORY_MB: u64 = 32_768;

/// What a worker learns of a job beside the orders.
#[derive(Clone, Copy, Default)]
pub struct JobTraits {
    /// Cpu of each task.
    pub cpu: u64,
    /// Whether its next task fails by its own fault.
    pub fails: bool,
}

/// The jobs of all clients by their ids.
pub type Jobs = Arc<Mutex<BTreeMap<String, JobTraits>>>;

/// A task that runs, or has run, on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub ended_at: Option<Instant>,
    pub how: &'static str,
    pub number: u64,
    pub started_at: Instant,
    pub task: String,
    cpu: u64,
    ends_at: Instant,
    fails: bool,
    work: Duration,
}

/// One life of a worker.
struct Life {
    /// Unix time of the start in milliseconds.
    born_ms: u64,
    capacity_cpu: u64,
    ended: Vec<(u64, String, u64, &'static str)>,
    fence: u64,
    /// Highest run that was stopped or has ended, by task.
    highest: BTreeMap<String, u64>,
    lease_until_ms: u64,
    next_end: u64,
    running: Vec<Run>,
    started_at: Instant,
}

impl Life {
    fn new(capacity_cpu: u64) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            born_ms: u64::try_from(born.as_millis()).unwrap_or(0),
            capacity_cpu,
            ended: Vec::new(),
            fence: 0,
            highest: BTreeMap::new(),
            lease_until_ms: 0,
            next_end: 1,
            running: Vec::new(),
            started_at: Instant::now(),
        }
    }

    fn clock_ms(&self) -> u64 {
        1 + u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(0)
    }

    fn extend(&mut self, deadline_ms: Option<u64>) {
        let limit = self.clock_ms() + MAX_HOLD_MS;
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms.unwrap_or(0).min(limit));
    }

    fn used_cpu(&self) -> u64 {
        self.running.iter().map(|run| run.cpu).sum()
    }
}

struct State {
    all_runs: Vec<Run>,
    life: Life,
    /// The starts that brought the worker over its capacity: their times and what was seen.
    overcommitted: Vec<(Instant, String)>,
}

/// Handle of a worker; clones are the same worker.
#[derive(Clone)]
pub struct Worker {
    jobs: Jobs,
    /// Whether all that the worker starts fails.
    failing: Arc<AtomicBool>,
    /// Whether the worker rejects what does not fit.
    guards: bool,
    pub id: String,
    record: Record,
    server: Arc<Mutex<Option<Server>>>,
    shared: Arc<(Mutex<State>, Condvar)>,
    zone: String,
}

impl Worker {
    /// Starts a worker on a free port and registers it.
    pub fn start(
        id: &str,
        zone: &str,
        capacity_cpu: u64,
        guards: bool,
        store: &Store,
        record: &Record,
        jobs: &Jobs,
    ) -> Self {
        let worker = Self {
            jobs: jobs.clone(),
            failing: Arc::new(AtomicBool::new(false)),
            guards,
            id: id.to_owned(),
            record: record.clone(),
            server: Arc::default(),
            shared: Arc::new((
                Mutex::new(State {
                    all_runs: Vec::new(),
                    life: Life::new(capacity_cpu),
                    overcommitted: Vec::new(),
                }),
                Condvar::new(),
            )),
            zone: zone.to_owned(),
        };
        worker.listen(([127, 0, 0, 1], 0).into());
        worker.register(store);
        let ends = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                ends.end_runs();
            }
        });
        worker
    }

    fn listen(&self, address: SocketAddr) {
        let answering = self.clone();
        let server =
            http::serve(address, move |request| answering.answer(&request)).expect("the address is free");
        *self.server.lock().expect("no panic under the lock") = Some(server);
    }

    /// Ends the worker's process, and starts it again after a while at the same address, under its id. Returns when the
    /// store has acknowledged the entry of the new process.
    pub fn crash(&self, down: Duration, capacity_cpu: u64, store: &Store) -> Instant {
        let server = self.server.lock().expect("no panic under the lock").take().expect("the worker is up");
        {
            let mut state = self.state();
            let now = Instant::now();
            let running: Vec<_> = state.life.running.drain(..).collect();
            state.all_runs.extend(running.into_iter().map(|run| Run {
                ended_at: Some(now),
                how: "crashed",
                ..run
            }));
        }
        let address = server.stop();
        self.record.line(&format!("worker {} crashes", self.id));
        thread::sleep(down);
        self.state().life = Life::new(capacity_cpu);
        self.listen(address);
        self.record
            .line(&format!("worker {} starts again with {capacity_cpu} thousandths of a core", self.id));
        self.register(store);
        self.record.line(&format!("worker {}: its entry in the store is acknowledged", self.id));
        Instant::now()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no panic under the lock")
    }

    /// Writes the worker's entry into the store.
    pub fn register(&self, store: &Store) {
        let address = self.server.lock().expect("no panic under the lock").as_ref().map(Server::address);
        let Some(address) = address.map(|address| address.to_string()) else { return };
        let state = self.state();
        let entry = Json::object([
            ("address", address.as_str().into()),
            ("backend", "desk".into()),
            ("born", state.life.born_ms.into()),
            (
                "capacity",
                Json::object([
                    ("cpu", state.life.capacity_cpu.into()),
                    ("gpu", 0.into()),
                    ("mem-mb", MEMORY_MB.into()),
                ]),
            ),
            ("clock-ms", state.life.clock_ms().into()),
            ("cold-left-ms", 0.into()),
            ("labels", Json::List(vec!["a".into(), "r1-1".into()])),
            ("seq", 1.into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("version", "v1".into()),
            ("zone", self.zone.as_str().into()),
        ]);
        drop(state);
        store.write(&format!("servers/{}", self.id), &entry);
    }

    /// Sets whether all that the worker starts from now on fails.
    pub fn set_failing(&self, failing: bool) {
        self.failing.store(failing, Ordering::Relaxed);
        let what = if failing { "fails all that it starts" } else { "is sound again" };
        self.record.line(&format!("worker {} {what}", self.id));
    }

    /// All runs so far, including those in progress.
    pub fn runs(&self) -> Vec<Run> {
        let state = self.state();
        state.all_runs.iter().chain(&state.life.running).cloned().collect()
    }

    /// The starts so far that brought the worker over its capacity.
    pub fn overcommitted(&self) -> Vec<(Instant, String)> {
        self.state().overcommitted.clone()
    }

    fn end_runs(&self) {
        let mut state = self.state();
        let now = Instant::now();
        let lapsed = !state.life.running.is_empty() && state.life.clock_ms() > state.life.lease_until_ms;
        let ending = |run: &Run| lapsed || now >= run.ends_at;
        let (over, left): (Vec<_>, Vec<_>) =
            state.life.running.drain(..).collect::<Vec<_>>().into_iter().partition(ending);
        state.life.running = left;
        for mut run in over {
            let how = if run.how == "stopped" {
                "stopped"
            } else if now >= run.ends_at {
                if run.fails { "failed" } else { "done" }
            } else {
                "lapsed"
            };
            (run.how, run.ended_at) = (how, Some(now));
            self.record.line(&format!("worker {}: {} run {} ends {how}", self.id, run.task, run.number));
            let number = state.life.next_end;
            state.life.next_end += 1;
            state.life.ended.push((number, run.task.clone(), run.number, how));
            let highest = state.life.highest.entry(run.task.clone()).or_default();
            *highest = (*highest).max(run.number);
            state.all_runs.push(run);
            self.shared.1.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.expected_instance.as_ref().is_some_and(|id| *id != self.id) {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
        let fence = body.get("fence").and_then(Json::number).unwrap_or(0);
        let mut state = self.state();
        if fence < state.life.fence {
            return rejection(&state.life, "fence");
        }
        state.life.fence = fence;
        match request.path.as_str() {
            "/v1/run-start" => self.start_run(&mut state, &body),
            "/v1/run-stop" => self.stop_run(&mut state, &body),
            "/v1/hold" => self.hold(state, &body),
            _ => (404, "{}".to_owned()),
        }
    }

    /// What the clients say of a job. A task that fails by its own fault does so once.
    fn traits_of(&self, job: &str) -> JobTraits {
        let mut jobs = self.jobs.lock().expect("no panic under the lock");
        let Some(traits) = jobs.get_mut(job) else { return JobTraits::default() };
        let fails = std::mem::take(&mut traits.fails);
        JobTraits { fails, ..*traits }
    }

    fn start_run(&self, state: &mut State, body: &Json) -> Answer {
        let text = |name| body.get(name).and_then(Json::text).unwrap_or_default().to_owned();
        let (task, spec) = (text("task"), text("spec"));
        let number = body.get("run").and_then(Json::number).unwrap_or(0);
        let deadline_ms = body.get("deadline-ms").and_then(Json::number);
        let State { life, overcommitted, .. } = state;
        if deadline_ms.is_none_or(|deadline_ms| deadline_ms <= life.clock_ms()) {
            return rejection(life, "late");
        }
        life.extend(deadline_ms);
        if life.running.iter().any(|run| run.task == task && run.number == number) {
            return accepted(life);
        }
        if life.highest.get(&task).is_some_and(|highest| number <= *highest) {
            return rejection(life, "old");
        }
        let job = task.split('.').next().unwrap_or_default();
        let JobTraits { cpu, fails } = self.traits_of(job);
        let used = life.used_cpu() + cpu;
        if used > life.capacity_cpu {
            if self.guards {
                return rejection(life, "room");
            }
            overcommitted
                .push((Instant::now(), format!("{}: {task}: {used} of {}", self.id, life.capacity_cpu)));
            let (id, capacity) = (&self.id, life.capacity_cpu);
            self.record.line(&format!(
                "worker {id}: {task} run {number} brings it to {used} of {capacity} thousandths of a core"
            ));
        }
        let failing = self.failing.load(Ordering::Relaxed);
        let work = if failing { FAIL_TIME } else { Duration::from_millis(spec.parse().unwrap_or(100)) };
        let fails = fails || failing;
        let now = Instant::now();
        self.record.line(&format!("worker {}: {task} run {number} starts", self.id));
        life.running.push(Run {
            cpu,
            ended_at: None,
            ends_at: now + work,
            fails,
            how: "running",
            number,
            started_at: now,
            task,
            work,
        });
        accepted(life)
    }

    fn stop_run(&self, state: &mut State, body: &Json) -> Answer {
        let task = body.get("task").and_then(Json::text).unwrap_or_default();
        let number = body.get("run").and_then(Json::number).unwrap_or(0);
        let highest = state.life.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(number);
        for run in state.life.running.iter_mut().filter(|run| run.task == task && run.number <= number) {
            run.how = "stopped";
            run.ends_at = run.ends_at.min(Instant::now() + STOP_TIME);
        }
        accepted(&state.life)
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Answer {
        let number = |name| body.get(name).and_then(Json::number);
        state.life.extend(number("deadline-ms"));
        let last_seen = number("last-seen").unwrap_or(0);
        state.life.ended.retain(|(end, ..)| *end > last_seen);
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0).min(2_000));
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.life.ended.is_empty() || left.is_zero() {
                break;
            }
            state = self.shared.1.wait_timeout(state, left).expect("no panic under the lock").0;
        }
        let life = &state.life;
        let running = life.running.iter().map(|run| {
            let share = run.started_at.elapsed().as_secs_f64() / run.work.as_secs_f64().max(0.001);
            let percent = (share * 100.0).min(99.0) as u64;
            Json::List(vec![
                run.task.as_str().into(),
                run.number.into(),
                "".into(),
                percent.into(),
                run.cpu.into(),
            ])
        });
        let ended = life.ended.iter().take(500);
        let ended = ended.map(|(end, task, run, how)| {
            Json::List(vec![(*end).into(), task.as_str().into(), (*run).into(), (*how).into(), "".into()])
        });
        let body = Json::object([
            ("born", life.born_ms.into()),
            ("clock-ms", life.clock_ms().into()),
            ("finished", Json::List(ended.collect())),
            ("running", Json::List(running.collect())),
        ]);
        (200, body.to_string())
    }
}

fn accepted(life: &Life) -> Answer {
    (200, Json::object([("clock-ms", life.clock_ms().into())]).to_string())
}

fn rejection(life: &Life, reason: &str) -> Answer {
    (409, Json::object([("clock-ms", life.clock_ms().into()), ("reason", reason.into())]).to_string())
}
