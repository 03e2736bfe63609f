//! The workers of a rack crash and start again as smaller ones, on a service whose workers start all that they are told to.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::stage::Stage;

const QUEUE: &str = "/kept/";
/// Workers, of which [`RACK`] are on the rack that crashes: as many as 8 of 48.
const WORKERS: usize = 18;
const RACK: usize = 3;
/// Capacity in thousandths of a core: of all workers, and of those that start again as another kind.
const LARGE: u64 = 24_000;
const SMALL: u64 = 16_000;
/// Time for which the first worker of the rack is down.
const DOWN: Duration = Duration::from_millis(150);
/// Each further worker of the rack is down for so much longer than the one before.
const DOWN_STEP: Duration = Duration::from_millis(50);
const BUDGET: Duration = Duration::from_millis(1_500);
const TASK_CPU: u64 = 6_800;
const TASK_MS: u64 = 150;
const TASKS: u64 = 4;
/// Clients that send one job after the other.
const CLIENTS: usize = 24;
/// Time from the crash to the end of the case.
const AFTER_CRASH: Duration = Duration::from_secs(4);

pub fn play(stage: &Stage, trouble: bool) -> io::Result<Verdict> {
    let workers: Vec<_> =
        (0..WORKERS).map(|index| stage.start_worker(&format!("w-{index:02}"), LARGE)).collect();
    stage.configure(1, &[QUEUE], 15_000);
    let entries = stage.start_entries(3, stage.store.address)?;
    stage.wait_until_ready(&entries)?;

    let (entries, over) = (&entries, &AtomicBool::new(false));
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let job = stage.job(QUEUE, TASKS, TASK_CPU, TASK_MS, BUDGET);
                    if stage.submit(&entries[client % entries.len()], &job).status() != 200 {
                        thread::sleep(Duration::from_millis(50));
                    }
                }
            });
        }
        thread::sleep(Duration::from_secs(3));
        if trouble {
            for (index, worker) in workers.iter().take(RACK).enumerate() {
                let down = DOWN + DOWN_STEP * u32::try_from(index).unwrap_or(0);
                scope.spawn(move || worker.crash(down, SMALL, &stage.store));
            }
        }
        thread::sleep(AFTER_CRASH);
        over.store(true, Ordering::Relaxed);
    });

    if workers.iter().map(|worker| worker.runs().len()).sum::<usize>() < 500 {
        return Err(io::Error::other("too little has run"));
    }
    let starts: Vec<_> = workers.iter().flat_map(|worker| worker.overcommitted()).collect();
    for start in &starts {
        stage.record.line(&format!("BROKEN: {start}"));
    }
    stage.record.line(&format!("{} starts brought a worker over its capacity", starts.len()));
    Ok(if starts.is_empty() { Verdict::Held } else { Verdict::Broken })
}
