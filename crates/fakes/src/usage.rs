//! What a process uses of its machine.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval at which open descriptors are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time over which the processor time of a process is measured.
const SETTLE_INTERVAL: Duration = Duration::from_millis(300);
/// Largest processor time in [`SETTLE_INTERVAL`] of a process that has nothing to read, in units of 10 ms.
const SETTLED_TICKS: u64 = 3;
/// Number of intervals after which a process counts as settled in any case.
const MAX_SETTLE_INTERVALS: usize = 100;
/// Fields of `/proc/<pid>/stat` between the name of the program and the processor time in user mode.
const FIELDS_BEFORE_TIMES: usize = 11;

/// Watches one process until it is dropped.
#[derive(Debug)]
pub struct Usage {
    process: u32,
    peak_descriptors: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Usage {
    /// Starts to count the open descriptors of a process.
    #[must_use]
    pub fn watch(process: u32) -> Self {
        let peak_descriptors = Arc::new(AtomicUsize::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let (peak, stop) = (peak_descriptors.clone(), stopped.clone());
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                peak.fetch_max(open_descriptors(process).unwrap_or_default(), Ordering::Relaxed);
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        Self { process, peak_descriptors, stopped, thread: Some(thread) }
    }

    /// Largest number of open descriptors that was seen; none if the process has ended.
    #[must_use]
    pub fn peak_descriptors(&self) -> Option<usize> {
        let now = open_descriptors(self.process)?;
        Some(self.peak_descriptors.load(Ordering::Relaxed).max(now))
    }

    /// Waits until the process has read what it was sent: it uses hardly any processor time.
    pub async fn settled(&self) {
        let mut before = processor_ticks(self.process);
        for _ in 0..MAX_SETTLE_INTERVALS {
            tokio::time::sleep(SETTLE_INTERVAL).await;
            let now = processor_ticks(self.process);
            if now <= before.map(|before| before + SETTLED_TICKS) {
                return;
            }
            before = now;
        }
    }

    /// Peak of the resident memory, in KiB; none if the process has ended.
    #[must_use]
    pub fn peak_memory_kb(&self) -> Option<usize> {
        let status = std::fs::read_to_string(directory(self.process).join("status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.split_whitespace().next()?.parse().ok()
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // Fails only if the thread has panicked.
            let _ = thread.join();
        }
    }
}

fn directory(process: u32) -> PathBuf {
    PathBuf::from(format!("/proc/{process}"))
}

fn open_descriptors(process: u32) -> Option<usize> {
    Some(std::fs::read_dir(directory(process).join("fd")).ok()?.count())
}

/// Processor time that a process has used, in user and system mode, in units of 10 ms.
fn processor_ticks(process: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(directory(process).join("stat")).ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    let times = fields.split_whitespace().skip(FIELDS_BEFORE_TIMES).take(2);
    times.map(|time| time.parse::<u64>().ok()).sum()
}
