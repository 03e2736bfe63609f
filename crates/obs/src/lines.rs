//! A bounded queue of log lines, and the thread that writes them to standard output.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use hinge_wire::LogEvent;

/// Capacity of the queue; further lines are dropped.
const MAX_QUEUED_LINES: usize = 8_192;
/// Time for which lines are collected before they are written together.
const BATCH_TIME: Duration = Duration::from_millis(20);

/// The sending end of the queue.
pub(crate) struct LineQueue {
    dropped: Arc<AtomicU64>,
    lines: SyncSender<String>,
}

impl LineQueue {
    /// Creates the queue and starts the thread that writes its lines.
    pub(crate) fn start() -> Self {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        thread::spawn(move || write_lines(&queue, &counter));
        Self { dropped, lines }
    }

    /// Converts the queue to a log output that never blocks: it drops lines while the queue is full, and counts them.
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
        // If standard output is closed, lines are lost; the process must not fail because of its log.
        let _ = std::io::stdout().write_all(batch.as_bytes());
    }
}

fn push_line(batch: &mut String, line: &str) {
    batch.push_str(line);
    batch.push('\n');
}
