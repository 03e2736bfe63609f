//! A worker of the users' platform, as PROTOCOL.md describes it. It may crash and start again under its id.
//!
//! The specification of a task begins with its cpu in thousandths of a core, a comma, its run time in milliseconds, a comma and
//! how it ends.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Call};
use crate::json::{Json, quoted};
use crate::record::Record;
use crate::store::Store;

/// Longest lease of a run.
const MAX_HOLD_MS: u64 = 1_000;
/// Time that a stop takes.
const STOP_TIME: Duration = Duration::from_millis(20);
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);

struct Run {
    task: String,
    run: u64,
    cpu: u64,
    ends_at: Instant,
    how: String,
}

/// One life of a worker.
struct Life {
    number: u64,
    born_ms: u64,
    started_at: Instant,
    cpu: u64,
    fence: u64,
    lease_until_ms: u64,
    runs: Vec<Run>,
    /// Highest run of each task that was stopped or has ended.
    ended: BTreeMap<String, u64>,
    next_end: u64,
    finished: Vec<(u64, String, u64, String)>,
    seq: u64,
    /// Ends the server.
    stop: Arc<AtomicBool>,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        1_000 + self.started_at.elapsed().as_millis() as u64
    }

    fn used(&self) -> u64 {
        self.runs.iter().map(|run| run.cpu).sum()
    }

    fn set_lease(&mut self, deadline_ms: Option<u64>) {
        if let Some(deadline_ms) = deadline_ms {
            let allowed = deadline_ms.min(self.clock_ms() + MAX_HOLD_MS);
            self.lease_until_ms = self.lease_until_ms.max(allowed);
        }
    }
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    /// Whether it rejects a start that brings it over its capacity.
    guards: bool,
    service: String,
    life: Mutex<Option<Life>>,
    lives: Mutex<u64>,
    changed: Condvar,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Worker {
    pub fn start(
        id: &str,
        ip: &str,
        service: &str,
        guards: bool,
        record: &Arc<Record>,
        store: &Arc<Store>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            guards,
            service: service.to_owned(),
            life: Mutex::new(None),
            lives: Mutex::new(0),
            changed: Condvar::new(),
            record: record.clone(),
            store: store.clone(),
        });
        drop(listener);
        let ticker = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(2));
                ticker.advance();
            }
        });
        let reporter = worker.clone();
        // Workers report at different times.
        let offset_ms = id.bytes().fold(7, |sum: u64, byte| sum * 131 + u64::from(byte)) % 1_500;
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(offset_ms));
            loop {
                std::thread::sleep(REPORT_INTERVAL);
                reporter.report();
            }
        });
        Ok(worker)
    }

    /// Ends the present life with all that runs.
    pub fn crash(&self) {
        let mut life = self.life.lock().unwrap();
        if let Some(life) = life.take() {
            life.stop.store(true, Ordering::SeqCst);
            for run in &life.runs {
                self.record.write(&format!("END {} {}#{} lost", self.id, run.task, run.run));
            }
            self.record.write(&format!("CRASH {}", self.id));
        }
        self.changed.notify_all();
    }

    /// Begins a life with a capacity, and registers it.
    pub fn begin(self: &Arc<Self>, cpu: u64) -> std::io::Result<()> {
        let number = {
            let mut lives = self.lives.lock().unwrap();
            *lives += 1;
            *lives
        };
        let stop = Arc::new(AtomicBool::new(false));
        *self.life.lock().unwrap() = Some(Life {
            stop: stop.clone(),
            number,
            born_ms: crate::record::unix_ms(),
            started_at: Instant::now(),
            cpu,
            fence: 0,
            lease_until_ms: 0,
            runs: Vec::new(),
            ended: BTreeMap::new(),
            next_end: 1,
            finished: Vec::new(),
            seq: 0,
        });
        self.record.write(&format!("BEGIN {} cpu {cpu}", self.id));
        let server = self.clone();
        http::serve(TcpListener::bind(self.address)?, stop, Arc::new(move |call| server.answer(call)))?;
        self.report();
        Ok(())
    }

    fn report(&self) {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return };
        life.seq += 1;
        let value = format!(
            "{{\"backend\":{},\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"cold-left-ms\":0,\"capacity\":{{\"cpu\":{},\"mem-mb\":32768,\"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\
             \"clock-ms\":{},\"seq\":{},\"born\":{}}}",
            quoted(&self.service),
            self.address,
            life.cpu,
            life.clock_ms(),
            life.seq,
            life.born_ms
        );
        drop(guard);
        self.store.put(&format!("servers/{}", self.id), &value);
    }

    /// Ends runs that are due or whose lease has expired.
    fn advance(&self) {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return };
        let now = Instant::now();
        let lapsed = life.clock_ms() > life.lease_until_ms;
        let mut index = 0;
        let mut changed = false;
        while index < life.runs.len() {
            if !lapsed && now < life.runs[index].ends_at {
                index += 1;
                continue;
            }
            let run = life.runs.remove(index);
            let how = if now >= run.ends_at { run.how } else { "lapsed".to_owned() };
            self.record.write(&format!("END {} {}#{} {how}", self.id, run.task, run.run));
            let highest = life.ended.entry(run.task.clone()).or_default();
            *highest = run.run.max(*highest);
            life.finished.push((life.next_end, run.task, run.run, how));
            life.next_end += 1;
            changed = true;
        }
        if changed {
            self.changed.notify_all();
        }
    }

    fn answer(&self, call: &Call) -> Answer {
        if call.header("x-expected-instance") != self.id {
            return Some((421, "{}".to_owned()));
        }
        let body = Json::parse(&call.body)?;
        let mut guard = self.life.lock().unwrap();
        let life = guard.as_mut()?;
        let fence = body.get("fence").number().unwrap_or(0);
        let clock = |life: &Life| format!("{{\"clock-ms\":{},\"born\":{}", life.clock_ms(), life.born_ms);
        if fence < life.fence {
            return Some((409, clock(life) + ",\"reason\":\"fence\"}"));
        }
        life.fence = fence;
        let deadline = body.get("deadline-ms").number();
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number().unwrap_or(0));
        match call.path.as_str() {
            "/v1/run-start" => {
                let answer = self.start_run(life, task, run, body.get("spec").text(), deadline);
                Some(match answer {
                    Ok(()) => (200, clock(life) + "}"),
                    Err(reason) => (409, clock(life) + &format!(",\"reason\":\"{reason}\"}}")),
                })
            }
            "/v1/run-stop" => {
                let highest = life.ended.entry(task.clone()).or_default();
                *highest = run.max(*highest);
                let end = Instant::now() + STOP_TIME;
                for other in life.runs.iter_mut().filter(|other| other.task == task && other.run <= run) {
                    if other.how != "stopped" && other.ends_at > end {
                        other.ends_at = end;
                        other.how = "stopped".to_owned();
                    }
                }
                Some((200, clock(life) + "}"))
            }
            "/v1/hold" => {
                life.set_lease(deadline);
                let seen = body.get("last-seen").number().unwrap_or(0);
                life.finished.retain(|(number, ..)| *number > seen);
                let wait = Duration::from_millis(body.get("wait-ms").number().unwrap_or(0));
                let (until, number) = (Instant::now() + wait, life.number);
                loop {
                    let life = guard.as_ref().filter(|life| life.number == number)?;
                    let now = Instant::now();
                    if !life.finished.is_empty() || now >= until {
                        return Some((200, clock(life) + &listing(life)));
                    }
                    guard = self.changed.wait_timeout(guard, until - now).unwrap().0;
                }
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn start_run(
        &self,
        life: &mut Life,
        task: String,
        run: u64,
        spec: &str,
        deadline: Option<u64>,
    ) -> Result<(), &'static str> {
        if life.runs.iter().any(|other| other.task == task && other.run == run) {
            return Ok(());
        }
        if life.ended.get(&task).is_some_and(|highest| run <= *highest) {
            life.set_lease(deadline);
            return Err("old");
        }
        if deadline.is_none_or(|deadline| deadline <= life.clock_ms()) {
            return Err("late");
        }
        let mut words = spec.split(',');
        let cpu: u64 = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
        let run_ms: u64 = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
        let how = words.next().filter(|word| *word == "failed").unwrap_or("done").to_owned();
        life.set_lease(deadline);
        if self.guards && life.used() + cpu > life.cpu {
            return Err("room");
        }
        let ends_at = Instant::now() + Duration::from_millis(run_ms);
        life.runs.push(Run { task: task.clone(), run, cpu, ends_at, how });
        self.record.started(&self.id, &task, run, life.used(), life.cpu);
        Ok(())
    }
}

fn listing(life: &Life) -> String {
    let running: Vec<_> =
        life.runs.iter().map(|run| format!("[{},{},\"\",50]", quoted(&run.task), run.run)).collect();
    let finished: Vec<_> = life
        .finished
        .iter()
        .take(500)
        .map(|(number, task, run, how)| format!("[{number},{},{run},{},\"\"]", quoted(task), quoted(how)))
        .collect();
    format!(",\"running\":[{}],\"finished\":[{}]}}", running.join(","), finished.join(","))
}
