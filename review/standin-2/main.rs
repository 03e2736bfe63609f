//! Plays one case of the review: `standin-2 CASE FOLDER`, in the root of the repository.
//!
//! Starts the entries as processes, and the store, the workers, the clients and the operator as threads. Writes
//! `record.txt` into the folder. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod entries;
mod http;
mod json;
mod proxy;
mod record;
mod smaller_life;
mod stage;
mod stale_start;
mod store;
mod worker;

use std::io;
use std::panic;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use stage::Stage;

/// Whether the rule of a case held.
pub enum Verdict {
    Broken,
    Held,
}

/// Time after which a case counts as one that could not run.
const LIMIT: Duration = Duration::from_secs(100);

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    if arguments.get(1).is_some_and(|argument| argument == entries::GUARD_ARGUMENT) {
        entries::guard();
        return ExitCode::SUCCESS;
    }
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        entries::end_all();
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = panic::catch_unwind(|| play(case, Path::new(folder), trouble));
    entries::end_all();
    match played {
        Ok(Ok(Verdict::Held)) => ExitCode::SUCCESS,
        Ok(Ok(Verdict::Broken)) => ExitCode::from(1),
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
        Err(_) => ExitCode::from(2),
    }
}

fn play(case: &str, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let guards = case != "smaller-life";
    entries::start_guard()?;
    let stage = Stage::prepare(folder, guards)?;
    match case {
        "stale-start" => stale_start::play(&stage, trouble),
        "smaller-life" => smaller_life::play(&stage, trouble),
        _ => Err(io::Error::other("no such case")),
    }
}
