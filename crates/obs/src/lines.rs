//! A bounded queue of log lines with a thread that writes them.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use hinge_wire::LogEvent;

/// Lines that wait for the thread.
const MAX_QUEUED_LINES: usize = 8_192;
/// Time in which lines are collected before they are written together.
const BATCH_TIME: Duration = Duration::from_millis(20);

/// The writing end of the queue.
pub(crate) struct LineQueue {
    dropped: Arc<AtomicU64>,
    lines: SyncSender<String>,
}

impl LineQueue {
    /// Starts the thread.
    pub(crate) fn start() -> Self {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        thread::spawn(move || write_lines(&queue, &counter));
        Self { dropped, lines }
    }

    /// A log output that adds to the queue, or counts the line when the queue is full.
    pub(crate) fn into_output(self) -> fern::Output {
        fern::Output::call(move |record| {
            if self.lines.try_send(record.args().to_string()).is_err() {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        })
    }
}

fn write_lines(queue: &Receiver<String>, dropped: &AtomicU64) {
    let mut batch = String::new();
    while let Ok(line) = queue.recv() {
        batch.clear();
        push_line(&mut batch, &line);
        thread::sleep(BATCH_TIME);
        for line in queue.try_iter() {
            push_line(&mut batch, &line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let event = LogEvent::LogLinesDropped;
            let line = serde_json::json!({ "details": { "lines": lost }, "event": event.number(), "name": event.name() });
            push_line(&mut batch, &line.to_string());
        }
        // Nothing can be done about an output that is closed; the process goes on without it.
        let _ = std::io::stdout().write_all(batch.as_bytes());
    }
}

fn push_line(batch: &mut String, line: &str) {
    batch.push_str(line);
    batch.push('\n');
}
