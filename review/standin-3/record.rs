//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A start of a run on a worker.
#[derive(Clone, Debug)]
pub struct Start {
    pub worker: String,
    /// Name and run.
    pub task: String,
    /// Cpu of all that runs on the worker then, and its capacity.
    pub used: u64,
    pub capacity: u64,
}

pub struct Record {
    file: Mutex<File>,
    begun_at: Instant,
    starts: Mutex<Vec<Start>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self { file, begun_at: Instant::now(), starts: Mutex::default() })
    }

    pub fn write(&self, line: &str) {
        let ms = self.begun_at.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>7} {line}");
    }

    pub fn started(&self, worker: &str, task: &str, run: u64, used: u64, capacity: u64) {
        self.write(&format!("START {worker} {task}#{run} cpu {used} of {capacity}"));
        let (worker, task) = (worker.to_owned(), format!("{task}#{run}"));
        self.starts.lock().unwrap().push(Start { worker, task, used, capacity });
    }

    pub fn starts(&self) -> Vec<Start> {
        self.starts.lock().unwrap().clone()
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
