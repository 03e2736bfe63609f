//! The entry daemon: reads settings, sets up logs, runs an [`Entry`] and drains it on a signal.

use std::process::ExitCode;

use celeryhinge::conf::{EntrySettings, Flags, LogLevel};
use celeryhinge::entry::{Entry, StartError};
use celeryhinge::obs::{emit, init_logs};
use celeryhinge::wire::LogEvent;
use log::LevelFilter;
use serde::Serialize;
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit status for invalid settings.
const STATUS_USAGE: u8 = 2;
/// Exit status if the instance cannot start, or if its planned stop lost submissions or tasks.
const STATUS_FAILED: u8 = 1;

/// Why the daemon failed to start.
#[derive(Debug, Error)]
enum RunError {
    #[error("cannot receive signals: {0}")]
    Signal(#[from] std::io::Error),
    #[error(transparent)]
    Start(#[from] StartError),
}

/// Details of the log event for a failed start.
#[derive(Serialize)]
struct FailureDetails {
    error: String,
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let settings = match EntrySettings::from_flags(&flags, |name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(STATUS_USAGE);
        }
    };
    if let Err(error) = init_logs(&settings.instance, level_filter(settings.log_level)) {
        eprintln!("{error}");
        return ExitCode::from(STATUS_FAILED);
    }
    match run(settings).await {
        Ok(status) => status,
        Err(error) => {
            emit(event_of(&error), &FailureDetails { error: error.to_string() });
            ExitCode::from(STATUS_FAILED)
        }
    }
}

const fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

async fn run(settings: EntrySettings) -> Result<ExitCode, RunError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let entry = Entry::start(settings).await?;
    println!("listening {} {}", entry.address(), entry.peer_address());
    let is_signalled = tokio::select! {
        () = next_signal(&mut terminate, &mut interrupt) => true,
        () = entry.drain_requested() => false,
    };
    // After a drain that an operator requested, the first signal is the platform's usual one to stop and must not cut
    // the drain short; only the second one does.
    let second_signal = async {
        if !is_signalled {
            next_signal(&mut terminate, &mut interrupt).await;
        }
        next_signal(&mut terminate, &mut interrupt).await;
    };
    let report = entry.drain(second_signal).await;
    let has_lost_work = report.lost_submissions > 0 || report.lost_tasks > 0;
    Ok(ExitCode::from(if has_lost_work { STATUS_FAILED } else { 0 }))
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Returns the log event that reports why the daemon failed to start.
const fn event_of(error: &RunError) -> LogEvent {
    match error {
        RunError::Start(StartError::Listen { .. }) => LogEvent::ListenFailed,
        RunError::Signal(_) | RunError::Start(StartError::Metrics(_)) => LogEvent::SettingRejected,
    }
}
