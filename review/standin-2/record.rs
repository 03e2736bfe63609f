//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Handle of the record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started_at: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.started_at.elapsed().as_secs_f64());
        let mut file = self.file.lock().expect("no panic under the lock");
        file.write_all(line.as_bytes()).expect("the record is writable");
    }
}
