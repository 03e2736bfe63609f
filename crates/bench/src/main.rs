//! Command line of the comparison between the dispatcher and the naive version.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use hinge_bench::plots;
use hinge_bench::policy_report::{self, ReportOptions};
use hinge_conf::Policy;
use hinge_wire::SettingValue;

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

/// Compare the dispatcher with a naive version in both deployments and print tables.
#[derive(FromArgs)]
#[argh(subcommand, name = "policy")]
struct PolicyArgs {
    /// length of each run in seconds of virtual time
    #[argh(option, default = "120.0")]
    duration_s: f64,
    /// seed of the workload and of random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// existing folder for the plots; none are written without it
    #[argh(option)]
    plots: Option<PathBuf>,
    /// policy setting that differs from its default, as name=value; may be repeated
    #[argh(option)]
    set: Vec<String>,
    /// run only scenarios whose name, such as "Barfani, 80% load", contains this text
    #[argh(option, default = "String::new()")]
    only: String,
}

fn main() -> ExitCode {
    let Args { command } = argh::from_env();
    match command {
        Command::Policy(args) => report_policy(args),
    }
}

fn report_policy(args: PolicyArgs) -> ExitCode {
    let mut policy = Policy::default();
    for text in &args.set {
        if !set_policy(&mut policy, text) {
            eprintln!("--set {text}: expected the name of a policy setting, `=` and a value of its type");
            return ExitCode::from(2);
        }
    }
    let options = ReportOptions { duration_s: args.duration_s, only: args.only, policy, seed: args.seed };
    let results = policy_report::run_all(&options);
    print!("{}", policy_report::markdown_tables(&results));
    if let Some(folder) = args.plots
        && let Err(error) = plots::write_all(&folder, &results)
    {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn set_policy(policy: &mut Policy, text: &str) -> bool {
    let Some((name, value)) = text.split_once('=') else { return false };
    let value = match value {
        "true" => SettingValue::Flag(true),
        "false" => SettingValue::Flag(false),
        number => match number.parse() {
            Ok(number) => SettingValue::Number(number),
            Err(_) => return false,
        },
    };
    policy.set(name, &value)
}
