//! The operators' command line; see `docs/operators-cli.md`.

use std::io::{stderr, stdout};
use std::process::ExitCode;

use hinge_ctl::{Exit, run};

fn main() -> ExitCode {
    ExitCode::from(run_command().code())
}

fn run_command() -> Exit {
    let args: Result<Vec<String>, _> = std::env::args_os().skip(1).map(|text| text.into_string()).collect();
    let Ok(args) = args else {
        eprintln!("the arguments are not valid UTF-8");
        return Exit::Usage;
    };
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return Exit::Rejected;
        }
    };
    let env = |name: &str| std::env::var(name).ok();
    runtime.block_on(run(&args, env, &mut stdout(), &mut stderr()))
}
