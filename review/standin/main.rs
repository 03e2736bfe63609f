//! Plays the cases of the review: `standin CASE COMMAND RECORD`. COMMAND is the one of the deploy file, RECORD the file to
//! write. Exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run. With
//! `TROUBLE=0` in the environment it leaves out the disruption.

mod cases;
mod client;
mod http;
mod json;
mod platform;
mod proxy;
mod record;
mod store;
mod worker;

use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

const LIMIT: Duration = Duration::from_secs(100);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, command, path] = args.as_slice() else {
        eprintln!("usage: standin CASE COMMAND RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::new(path) else { exit(2) };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case takes too long");
        platform::clean_up();
        exit(2);
    });
    if std::env::var_os("END_WITH_STDIN").is_some() {
        // The script that started the play has ended, whichever way.
        thread::spawn(|| {
            let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
            platform::clean_up();
            exit(2);
        });
    }
    record.line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let result = match case.as_str() {
        "late-assignment" => cases::late_assignment(command, &record, trouble),
        "late-order" => cases::late_order(command, &record, trouble),
        "cancel" => cases::cancel(command, &record, trouble),
        "silent-store" => cases::silent_store(command, &record, trouble),
        _ => Err(format!("no case {case}")),
    };
    match result {
        Ok(None) => {
            record.line("the rule held");
            exit(0);
        }
        Ok(Some(broken)) => {
            record.line(&format!("the rule is broken: {broken}"));
            exit(1);
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            exit(2);
        }
    }
}
