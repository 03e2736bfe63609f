//! The entry daemon: reads settings, sets up logs, runs an [`Entry`] and drains it on a signal.

use std::num::NonZero;
use std::process::ExitCode;
use std::thread::available_parallelism;

use celeryhinge::conf::{EntrySettings, Flags, LogLevel};
use celeryhinge::entry::{Entry, StartError};
use celeryhinge::obs::{emit, init_logs};
use celeryhinge::wire::LogEvent;
use log::LevelFilter;
use serde::Serialize;
use thiserror::Error;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit status for invalid settings.
const STATUS_USAGE: u8 = 2;
/// Exit status if the instance cannot start, or if its planned stop lost submissions or tasks.
const STATUS_FAILED: u8 = 1;

/// Memory that a thread needs, in megabytes: the allocator keeps what the threads have freed apart from each other.
const THREAD_MEMORY_MB: usize = 64;

/// Why the daemon failed to start.
#[derive(Debug, Error)]
enum RunError {
    #[error("cannot start threads: {0}")]
    Runtime(std::io::Error),
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

fn main() -> ExitCode {
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
    let started = runtime(settings.memory_mb).map_err(RunError::Runtime);
    match started.and_then(|runtime| runtime.block_on(run(settings))) {
        Ok(status) => status,
        Err(error) => {
            emit(event_of(&error), &FailureDetails { error: error.to_string() });
            ExitCode::from(STATUS_FAILED)
        }
    }
}

/// The runtime, with one thread for each core, but no more than the memory allows.
fn runtime(memory_mb: usize) -> std::io::Result<Runtime> {
    let cores = available_parallelism().map_or(1, NonZero::get);
    let threads = cores.min(memory_mb / THREAD_MEMORY_MB).max(1);
    Builder::new_multi_thread().worker_threads(threads).enable_all().build()
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
        RunError::Runtime(_) | RunError::Signal(_) | RunError::Start(StartError::Metrics(_)) => {
            LogEvent::SettingRejected
        }
    }
}
