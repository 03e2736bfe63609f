//! Measures costs and runs load; see the library for what is measured.

use std::process::ExitCode;

use argh::FromArgs;
use hinge_load::cluster::Shape;
use hinge_load::http::{self, Options};
use hinge_load::{ClusterError, Plan, Row, slopes};

/// Measured costs per unit, and load over HTTP on loopback.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Http(HttpArguments),
    Slopes(SlopesArguments),
}

/// costs per unit as Markdown rows
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
struct SlopesArguments {
    /// seconds for which idle instances are measured
    #[argh(option, default = "Plan::default().idle_seconds")]
    idle_seconds: f64,
    /// factor of repetitions and sizes, at most 1
    #[argh(option, default = "1.0")]
    scale: f64,
    /// seconds of each run over HTTP
    #[argh(option, default = "Plan::default().task_seconds")]
    task_seconds: f64,
}

/// a seeded mix of submissions through client, entries and stand-ins
#[derive(FromArgs)]
#[argh(subcommand, name = "http")]
struct HttpArguments {
    /// entry instances, at most 16
    #[argh(option, default = "4")]
    entries: usize,
    /// submissions per second
    #[argh(option, default = "100.0")]
    rate: f64,
    /// seconds in which submissions arrive
    #[argh(option, default = "10.0")]
    seconds: f64,
    /// seed of arrivals, sizes and run times
    #[argh(option, default = "1")]
    seed: u64,
    /// slots per upstream
    #[argh(option, default = "8")]
    slots: usize,
    /// upstreams, at most 64
    #[argh(option, default = "32")]
    upstreams: usize,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hinge-load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), ClusterError> {
    match command {
        Command::Http(arguments) => {
            let shape = Shape {
                entries: arguments.entries.clamp(1, 16),
                entry_threads: 2,
                listed_only: 0,
                slots: arguments.slots.clamp(1, 1000),
                upstreams: arguments.upstreams.clamp(1, 64),
            };
            let options = Options::mixed(arguments.rate, arguments.seconds, arguments.seed);
            print!("{}", http::run(shape, &options)?);
            Ok(())
        }
        Command::Slopes(arguments) => {
            let plan = Plan {
                idle_seconds: arguments.idle_seconds.clamp(0.0, 90.0),
                scale: arguments.scale.clamp(0.001, 1.0),
                task_seconds: arguments.task_seconds.clamp(0.1, 10.0),
                ..Plan::default()
            };
            println!("{}", Row::head());
            slopes(&plan, |row| println!("{row}"))
        }
    }
}
