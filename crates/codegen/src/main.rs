//! Command line interface of the generator.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use hinge_codegen::{Output, generate};

/// Generate Rust code and documentation tables from the files in schema/.
#[derive(FromArgs)]
struct Args {
    /// compare the outputs with the files in the tree instead of writing them; exit status 1 if they differ
    #[argh(switch)]
    check: bool,
    /// root directory of the repository
    #[argh(option, default = "PathBuf::from(\".\")")]
    root: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let outputs = match generate(&args.root) {
        Ok(outputs) => outputs,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        return check(&args, &outputs);
    }
    for output in &outputs {
        if let Err(error) = std::fs::write(args.root.join(&output.path), &output.content) {
            eprintln!("cannot write {}: {error}", output.path.display());
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}

fn check(args: &Args, outputs: &[Output]) -> ExitCode {
    let mut status = ExitCode::SUCCESS;
    for output in outputs {
        let current = std::fs::read_to_string(args.root.join(&output.path)).unwrap_or_default();
        if current != output.content {
            eprintln!("{} does not match the schema; run cargo run -p hinge-codegen", output.path.display());
            status = ExitCode::from(1);
        }
    }
    status
}
