//! Implementation of `hingectl`, the operators' command line: shows and changes the state of the fleet through one
//! entry instance.
//!
//! [`run`] executes one command line and writes tables or JSON; [`Exit`] is the exit code. The commands are described
//! in `docs/operators-cli.md`.
//!
//! ```
//! use hinge_ctl::{Exit, run};
//!
//! # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
//! # runtime.block_on(async {
//! let (mut out, mut err) = (Vec::new(), Vec::new());
//! let args = ["config", "set-exception", "max_attempts", "2", "--scope", "team:maps"];
//! let exit = run(&args, |_| None, &mut out, &mut err).await;
//! assert_eq!(exit, Exit::Usage, "an exception needs a reason");
//! # });
//! # Ok::<(), std::io::Error>(())
//! ```

mod args;
mod call;
mod check;
mod commands;
mod exit;
mod table;

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use argh::FromArgs;

use args::Args;
use call::EntryClient;
use commands::{Output, execute};
pub use exit::Exit;
use exit::Failure;

/// Operator address of an entry on the same host, used when no address is given.
const DEFAULT_ENTRY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 8081);

/// Executes one command line, given without the program's name; `env` looks up environment variables.
///
/// Results go to `out`; failures go to `err`, or with `--json` as JSON to `out`. Errors while writing the output are
/// ignored: the exit code always says how the command ended.
pub async fn run(
    args: &[&str],
    env: impl Fn(&str) -> Option<String>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Exit {
    let args = match Args::from_args(&["hingectl"], args) {
        Ok(args) => args,
        Err(early_exit) if early_exit.status.is_ok() => {
            let _ = writeln!(out, "{}", early_exit.output);
            return Exit::Ok;
        }
        Err(early_exit) => {
            let _ = writeln!(err, "{}", early_exit.output);
            return Exit::Usage;
        }
    };
    match run_command(&args, env).await {
        Ok(output) => {
            let _ =
                if args.json { write_line(out, &output.json) } else { out.write_all(output.text.as_bytes()) };
            output.exit
        }
        Err(failure) => {
            report(&failure, args.json, out, err);
            failure.exit
        }
    }
}

async fn run_command(args: &Args, env: impl Fn(&str) -> Option<String>) -> Result<Output, Failure> {
    let client =
        EntryClient { address: entry_address(args, &env)?, timeout: Duration::from_millis(args.timeout_ms) };
    let author = env("CELERYHINGE_AUTHOR").or_else(|| env("USER"));
    execute(client, &args.command, author).await
}

fn entry_address(args: &Args, env: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, Failure> {
    if let Some(address) = args.entry {
        return Ok(address);
    }
    match env("CELERYHINGE_ENTRY").map(|text| text.trim().to_owned()).filter(|text| !text.is_empty()) {
        None => Ok(DEFAULT_ENTRY),
        Some(text) => text.parse().map_err(|_| {
            Failure::usage(format!("CELERYHINGE_ENTRY is {text:?}; allowed: an IP address and port"))
        }),
    }
}

fn report(failure: &Failure, json: bool, out: &mut impl Write, err: &mut impl Write) {
    let _ = match hinge_wire::to_json(failure) {
        Ok(text) if json => write_line(out, &text),
        _ => writeln!(err, "{}", failure.message.replace(|c: char| c.is_control(), "?")),
    };
}

fn write_line(out: &mut impl Write, text: &[u8]) -> std::io::Result<()> {
    out.write_all(text)?;
    out.write_all(b"\n")
}
