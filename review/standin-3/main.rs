//! Plays one case against entry processes, with stand-ins of the platform's store, its workers and clients.
//!
//! `standin-3 CASE FOLDER` writes `record.txt` into FOLDER. The exit status is 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run. Without the disruption if the variable TROUBLE is 0.

mod cases;
mod entries;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = words.as_slice() else {
        eprintln!("usage: standin-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    entries::limit_time();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let temporary = std::env::temp_dir().join(format!("standin-3-{}", std::process::id()));
    let played = std::fs::create_dir_all(&temporary).and_then(|()| {
        let record = Arc::new(record::Record::create(&folder.join("record.txt"))?);
        let play = cases::Play { folder: temporary.clone(), record: record.clone(), trouble };
        let result = play.run(case);
        match &result {
            Ok(Some(fault)) => record.write(&format!("BROKEN {fault}")),
            Ok(None) => record.write("HELD"),
            Err(error) => record.write(&format!("NOT RUN {error}")),
        }
        result
    });
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match played {
        Ok(Some(fault)) => {
            println!("broken: {fault}");
            ExitCode::from(1)
        }
        Ok(None) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("not run: {error}");
            ExitCode::from(2)
        }
    }
}
