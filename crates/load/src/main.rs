//! Command line of the cost measurements and the load generator; see the library.

use std::process::ExitCode;

use argh::FromArgs;
use hinge_load::cluster::Shape;
use hinge_load::http::{self, Options};
use hinge_load::{ClusterError, Plan, Row, measure_slopes};

/// Measure costs per unit, or run load over HTTP on loopback.
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

/// measure the costs per unit and print them as a Markdown table
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
struct SlopesArguments {
    /// time to measure idle instances for, in seconds, at most 90
    #[argh(option, default = "Plan::default().idle_seconds")]
    idle_seconds: f64,
    /// factor applied to repetitions and sizes, from 0.001 to 1
    #[argh(option, default = "1.0")]
    scale: f64,
    /// duration of each run over HTTP in seconds, from 0.1 to 10
    #[argh(option, default = "Plan::default().task_seconds")]
    task_seconds: f64,
}

/// run a seeded mix of submissions through client, entries and fake upstreams
#[derive(FromArgs)]
#[argh(subcommand, name = "http")]
struct HttpArguments {
    /// number of entry instances, at most 16
    #[argh(option, default = "4")]
    entries: usize,
    /// submissions per second, from 0.1 to 5000
    #[argh(option, default = "100.0")]
    rate: f64,
    /// time during which submissions arrive, in seconds, at most 60
    #[argh(option, default = "10.0")]
    seconds: f64,
    /// seed of arrival times, job sizes and run times
    #[argh(option, default = "1")]
    seed: u64,
    /// task slots of each upstream, at most 1000
    #[argh(option, default = "8")]
    slots: usize,
    /// number of upstreams, at most 64
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
            println!("{}", Row::header());
            measure_slopes(&plan, |row| println!("{row}"))
        }
    }
}
