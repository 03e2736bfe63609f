//! Command line of the bench.

use std::process::ExitCode;

use argh::FromArgs;
use hinge_bench::policy_report::{self, ReportOptions};

/// Measure the dispatcher's decision code in virtual time.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Policy(PolicyArgs),
}

/// Compare the dispatcher with the naive version in both deployments and write a table.
#[derive(FromArgs)]
#[argh(subcommand, name = "policy")]
struct PolicyArgs {
    /// length of each run in seconds of virtual time
    #[argh(option, default = "120.0")]
    duration_s: f64,
    /// seed of the workload
    #[argh(option, default = "1")]
    seed: u64,
    /// run only scenarios whose name contains this text
    #[argh(option, default = "String::new()")]
    only: String,
}

fn main() -> ExitCode {
    let Args { command } = argh::from_env();
    match command {
        Command::Policy(args) => {
            let options = ReportOptions { duration_s: args.duration_s, only: args.only, seed: args.seed };
            print!("{}", policy_report::build(&options));
        }
    }
    ExitCode::SUCCESS
}
