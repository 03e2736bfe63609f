//! What was sent, answered and run, and the checks of it.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One run on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub number: u64,
    pub worker: String,
    pub started: Instant,
    pub ended: Option<Instant>,
}

struct State {
    file: File,
    runs: Vec<Run>,
}

/// The record of a play; clones share it.
#[derive(Clone)]
pub struct Record {
    begin: Instant,
    state: Arc<Mutex<State>>,
}

impl Record {
    pub fn new(path: &str) -> std::io::Result<Self> {
        let state = State { file: File::create(path)?, runs: Vec::new() };
        Ok(Self { begin: Instant::now(), state: Arc::new(Mutex::new(state)) })
    }

    pub fn at(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.begin).as_secs_f64()
    }

    /// Writes a line with the time since the start of the play.
    pub fn line(&self, line: &str) {
        let line = format!("{:8.3} s  {line}\n", self.at(Instant::now()));
        print!("{line}");
        let _ = self.state.lock().unwrap().file.write_all(line.as_bytes());
    }

    /// Records the start of a run; returns its index.
    pub fn started(&self, task: &str, number: u64, worker: &str) -> usize {
        let run = Run {
            task: task.to_owned(),
            number,
            worker: worker.to_owned(),
            started: Instant::now(),
            ended: None,
        };
        self.line(&format!("{worker}: run {number} of {task} starts"));
        let mut state = self.state.lock().unwrap();
        state.runs.push(run);
        state.runs.len() - 1
    }

    pub fn ended(&self, index: usize, how: &str) {
        let run = {
            let mut state = self.state.lock().unwrap();
            state.runs[index].ended = Some(Instant::now());
            state.runs[index].clone()
        };
        self.line(&format!("{}: run {} of {} ends: {how}", run.worker, run.number, run.task));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Pairs of runs of one task that were at work at the same time, with the length of that time.
    pub fn twice(&self) -> Vec<(Run, Run, Duration)> {
        let (runs, now) = (self.runs(), Instant::now());
        let mut pairs = Vec::new();
        for (index, a) in runs.iter().enumerate() {
            for b in runs[index + 1..].iter().filter(|b| b.task == a.task) {
                let from = a.started.max(b.started);
                let until = a.ended.unwrap_or(now).min(b.ended.unwrap_or(now));
                let both = until.saturating_duration_since(from);
                if !both.is_zero() {
                    pairs.push((a.clone(), b.clone(), both));
                }
            }
        }
        pairs
    }
}
