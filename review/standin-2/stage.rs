//! What all cases share: the record, a temporary folder, the operator's configuration and the clients' jobs.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::entries::Entry;
use crate::http::Call;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{JobTraits, Jobs, Worker};

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Zone of all entries and workers.
const ZONE: &str = "z1";

/// A job as a client sends it.
#[derive(Clone)]
pub struct Job {
    pub budget: Duration,
    pub cpu: u64,
    pub id: String,
    /// Path of the queue, with a slash at both ends.
    pub prefix: &'static str,
    pub tasks: u64,
    pub work_ms: u64,
}

pub struct Stage {
    folder: PathBuf,
    /// `rejects-overload` of the service.
    guards: bool,
    pub jobs: Jobs,
    next_job: AtomicU64,
    pub record: Record,
    root: PathBuf,
    pub store: Store,
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Stage {
    /// Opens the record in the folder of the case and starts the store.
    pub fn prepare(case: &Path, guards: bool) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            folder,
            guards,
            jobs: Jobs::default(),
            next_job: AtomicU64::new(1),
            record: Record::create(&case.join("record.txt"))?,
            root: std::env::current_dir()?,
            store: Store::start(),
        })
    }

    /// Starts an entry for each address, at which it reaches the store.
    pub fn start_entries(&self, stores: &[SocketAddr]) -> io::Result<Vec<Entry>> {
        let entries = (0..).zip(stores);
        entries.map(|(index, store)| Entry::start(&self.root, &self.folder, index, ZONE, *store)).collect()
    }

    /// Waits until all entries are ready, and a little longer, so that they have divided the workers.
    pub fn wait_until_ready(&self, entries: &[Entry]) -> io::Result<()> {
        entries.iter().try_for_each(Entry::wait_until_ready)?;
        std::thread::sleep(Duration::from_millis(3_500));
        self.record.line("all entries are ready");
        Ok(())
    }

    pub fn start_worker(&self, id: &str, capacity_cpu: u64) -> Worker {
        Worker::start(id, ZONE, capacity_cpu, self.guards, &self.store, &self.record, &self.jobs)
    }

    /// Writes a version of the configuration.
    pub fn configure(&self, version: u64, prefixes: &[&str], idle_timeout_ms: u64) {
        let routes = prefixes.iter().map(|prefix| {
            Json::object([
                ("backend", "desk".into()),
                ("host", HOST.into()),
                ("kind", "unsafe".into()),
                ("max-attempts", 3.into()),
                ("name", format!("r{}", prefix.trim_matches('/')).as_str().into()),
                ("prefix", (*prefix).into()),
                ("priority", 0.into()),
                ("stretch", Json::Number("1.6".to_owned())),
                ("target-duration-ms", 400.into()),
                ("timeout-ms", 1_500.into()),
            ])
        });
        let backend = Json::object([
            ("health-path", "/health".into()),
            ("max-conns", 64.into()),
            ("name", "desk".into()),
            ("protocol", "h1".into()),
            ("rejects-overload", Json::Bool(self.guards)),
            ("standby", Json::Bool(false)),
            ("tls", Json::Bool(false)),
        ]);
        let limits = Json::object([
            ("header-timeout-ms", 3_000.into()),
            ("idle-timeout-ms", idle_timeout_ms.into()),
            ("max-body-bytes", 262_144.into()),
            ("max-header-bytes", 16_384.into()),
        ]);
        let routes = Json::List(routes.collect());
        let config = Json::object([
            ("backends", Json::List(vec![backend])),
            ("limits", limits),
            ("routes", routes),
            ("version", version.into()),
        ]);
        self.store.write("op/config", &config);
        self.record.line(&format!("operator: version {version} is acknowledged, routes {prefixes:?}"));
    }

    /// A job with a new id.
    pub fn job(&self, prefix: &'static str, tasks: u64, cpu: u64, work_ms: u64, budget: Duration) -> Job {
        let number = self.next_job.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let traits = JobTraits { cpu, fails: false };
        self.jobs.lock().expect("no panic under the lock").insert(id.clone(), traits);
        Job { budget, cpu, id, prefix, tasks, work_ms }
    }

    /// The entry that owns a worker, by the last word of the entries' logs.
    pub fn owner<'a>(&self, entries: &'a [Entry], worker: &Worker) -> Option<&'a Entry> {
        let name = format!("\"upstream\":\"{}\"", worker.id);
        entries.iter().find(|entry| {
            let log = fs::read_to_string(self.folder.join(format!("{}.log", entry.name))).unwrap_or_default();
            let last = log.lines().rfind(|line| line.contains("UPSTREAM_OWNER") && line.contains(&name));
            last.is_some_and(|line| line.contains("\"state\":\"owned\""))
        })
    }

    /// Sends a job to an entry and waits for the answer. Returns its status; 0 if there is none.
    pub fn submit(&self, entry: &Entry, job: &Job) -> u16 {
        let body = format!(
            "{{\"best-effort\":true,\"spec\":\"{0}\",\"steps\":[{{\"count\":{1},\"cpu\":{2},\"mem-mb\":64,\"estimate-ms\":{0}}}]}}",
            job.work_ms, job.tasks, job.cpu
        );
        let path = format!("{}{}", job.prefix, job.id);
        let (address, budget, method) = (entry.front, job.budget, "POST");
        let call = Call { address, body: &body, budget, host: HOST, method, path: &path };
        self.record.line(&format!("client to {}: {method} {path}", entry.name));
        let answer = call.send();
        let text = match &answer {
            Ok((status, body)) => format!("{status} {body}"),
            Err(error) => format!("no answer: {error}"),
        };
        self.record.line(&format!("client from {}: {method} {path}: {text}", entry.name));
        answer.map_or(0, |(status, _)| status)
    }
}
