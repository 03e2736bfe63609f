//! Structured log lines with numbered events.

use std::sync::OnceLock;
use std::time::SystemTime;

use hinge_wire::LogEvent;
use log::{Level, LevelFilter};
use serde::Serialize;
use serde_json::{Map, Value, json};
use thiserror::Error;
use tokio::time::Instant;

use crate::lines::LineQueue;

/// Target of the records that [`emit`] writes. Their messages are JSON objects.
const EVENT_TARGET: &str = "celeryhinge::event";

/// Reason why logging could not be set up.
#[derive(Debug, Error)]
pub enum LogError {
    /// The process already has a logger.
    #[error("cannot set up logging: {0}")]
    AlreadySet(#[from] log::SetLoggerError),
}

struct Origin {
    instance: String,
    start: Instant,
    start_time: SystemTime,
}

impl Origin {
    fn timestamp(&self) -> String {
        humantime::format_rfc3339_millis(self.start_time + self.start.elapsed()).to_string()
    }
}

static ORIGIN: OnceLock<Origin> = OnceLock::new();

/// Writes log records of at least `level` to standard output as JSON lines, without blocking the thread that logs.
///
/// A separate thread writes the lines in batches. If it falls behind, lines are dropped, and their number is logged.
///
/// # Errors
///
/// Fails when a logger is already installed.
pub fn init_stdout_logs(instance: &str, level: LevelFilter) -> Result<(), LogError> {
    install(instance, level, LineQueue::start().into_output())
}

/// Writes log records of at least `level` to standard error as JSON lines.
///
/// Must be called within a tokio runtime: the wall clock is read once here, and later times follow the runtime's
/// clock.
///
/// # Errors
///
/// Fails when a logger is already installed.
pub fn init_logs(instance: &str, level: LevelFilter) -> Result<(), LogError> {
    install(instance, level, fern::Output::from(std::io::stderr()))
}

fn install(instance: &str, level: LevelFilter, output: fern::Output) -> Result<(), LogError> {
    #[expect(clippy::disallowed_methods, reason = "log lines need the wall clock")]
    let start_time = SystemTime::now();
    let origin = Origin { instance: instance.to_owned(), start: Instant::now(), start_time };
    let _ = ORIGIN.set(origin);
    fern::Dispatch::new()
        .level(level)
        .format(|out, message, record| {
            out.finish(format_args!(
                "{}",
                format_line(record.target(), record.level(), &message.to_string())
            ));
        })
        .chain(output)
        .apply()?;
    Ok(())
}

/// Logs a numbered event at the level that the event defines. `details` serializes to an object, or is `()` for none.
pub fn emit<T: Serialize>(event: LogEvent, details: &T) {
    let level = match event.level() {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        _ => Level::Info,
    };
    if !log::log_enabled!(target: EVENT_TARGET, level) {
        return;
    }
    let details = serde_json::to_value(details).unwrap_or_default();
    let body = json!({ "details": details, "event": event.number(), "name": event.name() });
    log::log!(target: EVENT_TARGET, level, "{body}");
}

fn format_line(target: &str, level: Level, message: &str) -> String {
    let mut line = Map::new();
    if let Some(origin) = ORIGIN.get() {
        line.insert("time".to_owned(), origin.timestamp().into());
        line.insert("instance".to_owned(), origin.instance.clone().into());
    }
    line.insert("level".to_owned(), level.as_str().to_lowercase().into());
    match serde_json::from_str(message) {
        Ok(Value::Object(body)) if target == EVENT_TARGET => line.extend(body),
        _ => {
            line.insert("target".to_owned(), target.into());
            line.insert("message".to_owned(), message.into());
        }
    }
    Value::Object(line).to_string()
}
