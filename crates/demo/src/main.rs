//! Runs the demonstration; see the library.

use std::process::ExitCode;

use hinge_demo::{Options, run};
use tokio::signal::unix::{SignalKind, signal};

/// Exit status if an answer was not as expected or the demonstration could not run.
const STATUS_FAILED: u8 = 1;

#[tokio::main]
async fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let keep_running = options.keep_running;
    let result = run(&options, |report| {
        println!("{report}");
        async move {
            if keep_running {
                println!("serving until SIGINT or SIGTERM");
                wait_for_signal().await;
            }
        }
    });
    match result.await {
        Ok(report) if report.is_as_expected() => ExitCode::SUCCESS,
        Ok(report) => {
            eprintln!("{report}");
            ExitCode::from(STATUS_FAILED)
        }
        Err(error) => {
            eprintln!("hinge-demo: {error}");
            ExitCode::from(STATUS_FAILED)
        }
    }
}

async fn wait_for_signal() {
    let (Ok(mut interrupt), Ok(mut terminate)) =
        (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}
