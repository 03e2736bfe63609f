//! Log events of an entry, recorded by a logger.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::sync::Mutex;

use hinge_wire::Class;
use log::{LevelFilter, Log, Metadata, Record};
use support::{Cluster, change_config, http, submission, submit};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct RecordingLogger;

impl Log for RecordingLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn count(event: &str) -> usize {
    let name = format!(r#""name":"{event}""#);
    LINES.lock().unwrap().iter().filter(|line| line.contains(&name)).count()
}

/// Guards against events that are not logged, or that are logged on every request or tick instead of once per change.
#[tokio::test]
async fn changes_are_logged_once() {
    log::set_logger(&RecordingLogger).unwrap();
    log::set_max_level(LevelFilter::Debug);
    let cluster = Cluster::start(1, 2).await;
    let entry = cluster.entry(|_| {}).await;
    assert_eq!((count("NOT_READY"), count("READY"), count("STARTED")), (1, 1, 1));
    change_config(&entry, 0, r#"{"action":"set_quota","team":"team-1","starts_per_s":1}"#).await;
    // Repeating the operation changes nothing and logs nothing.
    change_config(&entry, 0, r#"{"action":"set_quota","team":"team-1","starts_per_s":1}"#).await;
    assert_eq!(count("CONFIG_CHANGED"), 1);
    for _ in 0..10 {
        submit(&entry, &submission(Class::Urgent, 1, 1)).await;
    }
    assert_eq!(count("QUOTA_LIMITED"), 1);
    http(entry.address(), "POST", "/v1/keys", b"{").await;
    assert!(count("INPUT_REJECTED") > 1);
    entry.drain(std::future::pending()).await;
    assert_eq!((count("DRAIN_STARTED"), count("DRAINED"), count("STOPPED")), (1, 1, 1));
    // The drain makes the instance not ready, which may be logged once more.
    assert!(count("NOT_READY") <= 2);
}
