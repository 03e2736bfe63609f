//! Command-line client: submits the requests and jobs in a file or on standard input, and prints the answers.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use hinge_client::{BuildError, Client, ClientError, SubmitOptions};
use hinge_wire::{Answer, Outcome, Submission, SubmissionStatus, to_json};
use thiserror::Error;

/// Submits one or several submissions and prints each answer as one line of JSON.
///
/// Exit codes: 0 complete, 1 failed and not run, 2 usage, 3 failed after a run, 4 failed and may have run,
/// 5 no entry gave a final answer. With several submissions, the highest of their codes.
#[derive(FromArgs)]
struct Arguments {
    /// entry address (IP and port); repeatable
    #[argh(option)]
    entry: Vec<SocketAddr>,
    /// file with one submission as JSON, or one per line; absent or "-" for standard input
    #[argh(positional)]
    file: Option<PathBuf>,
    /// limit on consecutive failed attempts; absent: only the deadline limits them
    #[argh(option)]
    attempts: Option<u32>,
    /// time limit for each submission in milliseconds, 60000 when absent
    #[argh(option, default = "60_000")]
    deadline_ms: u64,
    /// repeat a submission with a new key when it was not run and the cause can pass
    #[argh(switch)]
    repeat_not_run: bool,
    /// repeat an idempotent submission with a new key when it may have run and the cause can pass
    #[argh(switch)]
    repeat_may_have_run: bool,
}

const EXIT_USAGE: u8 = 2;
const EXIT_UNREACHABLE: u8 = 5;

#[tokio::main]
async fn main() -> ExitCode {
    let code = match parse_arguments() {
        Ok(arguments) => run(arguments).await.unwrap_or_else(|error| {
            eprintln!("hinge-submit: {error}");
            EXIT_USAGE
        }),
        Err(code) => code,
    };
    ExitCode::from(code)
}

/// Parses the command line. On a usage error or a request for help, prints the text and returns the exit code.
fn parse_arguments() -> Result<Arguments, u8> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Arguments::from_args(&["hinge-submit"], &args).map_err(|exit| {
        if exit.status.is_ok() {
            println!("{}", exit.output);
            0
        } else {
            eprintln!("{}", exit.output);
            EXIT_USAGE
        }
    })
}

/// Why nothing was submitted.
#[derive(Debug, Error)]
enum InputError {
    #[error(transparent)]
    Client(#[from] BuildError),
    #[error("the input contains no submission")]
    Empty,
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Read(#[from] io::Error),
}

/// Submits everything in the input and returns the exit code; an error means that nothing was submitted.
async fn run(arguments: Arguments) -> Result<u8, InputError> {
    let input = read_input(arguments.file.as_deref())?;
    let submissions =
        serde_json::Deserializer::from_slice(&input).into_iter().collect::<Result<Vec<Submission>, _>>()?;
    if submissions.is_empty() {
        return Err(InputError::Empty);
    }
    let options = SubmitOptions {
        deadline: Duration::from_millis(arguments.deadline_ms),
        repeat_may_have_run: arguments.repeat_may_have_run,
        repeat_not_run: arguments.repeat_not_run,
    };
    let mut builder = Client::builder().options(options);
    for entry in arguments.entry {
        builder = builder.entry(entry);
    }
    if let Some(attempts) = arguments.attempts {
        builder = builder.max_attempts(attempts);
    }
    let client = builder.build()?;
    let mut code = 0;
    for submission in submissions {
        let answer = client.submit_with(submission, &options, report_progress).await;
        code = code.max(report(answer));
    }
    Ok(code)
}

fn read_input(file: Option<&Path>) -> io::Result<Vec<u8>> {
    match file.filter(|file| *file != Path::new("-")) {
        Some(file) => std::fs::read(file),
        None => {
            let mut input = Vec::new();
            io::stdin().read_to_end(&mut input)?;
            Ok(input)
        }
    }
}

fn report_progress(status: &SubmissionStatus) {
    let SubmissionStatus { key, state, tasks_done, tasks_total, .. } = status;
    eprintln!("{key}: {state}, {tasks_done} of {tasks_total} tasks done");
}

/// Prints the answer or the error and returns its exit code.
fn report(answer: Result<Answer, ClientError>) -> u8 {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error @ ClientError::Unreachable { .. }) => {
            eprintln!("hinge-submit: {error}");
            return EXIT_UNREACHABLE;
        }
        Err(error) => {
            eprintln!("hinge-submit: {error}");
            return EXIT_USAGE;
        }
    };
    let printed = to_json(&answer).is_ok_and(|line| {
        let mut output = io::stdout().lock();
        output.write_all(&line).and_then(|()| output.write_all(b"\n")).is_ok()
    });
    if !printed {
        eprintln!("hinge-submit: cannot write the answer to submission {} to standard output", answer.key);
    }
    match answer.outcome {
        Outcome::Complete => 0,
        Outcome::FailedNotRun => 1,
        Outcome::FailedRan => 3,
        Outcome::FailedMayHaveRun => 4,
    }
}
