//! A worker crashes and starts again as a smaller one while the store turns its owner away, on a service whose workers start
//! all that they are told to.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::proxy::Proxy;
use crate::stage::Stage;

const QUEUE: &str = "/kept/";
const ENTRIES: usize = 3;
const WORKERS: usize = 18;
/// Capacity in thousandths of a core: of all workers, and of the one that starts again as another kind.
const LARGE: u64 = 24_000;
const SMALL: u64 = 16_000;
/// Time for which the store turns one machine away.
const TURNED_AWAY: Duration = Duration::from_secs(7);
/// Time from then on to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(300);
/// Time for which the worker is down.
const DOWN: Duration = Duration::from_millis(200);
/// `stable-window-ms` and `heartbeat-ms`. Starts before are not judged, although the rule has no such time.
const JUDGED_AFTER: Duration = Duration::from_millis(3_000 + 1_500);
const BUDGET: Duration = Duration::from_millis(1_500);
const TASK_CPU: u64 = 6_800;
const TASK_MS: u64 = 150;
const TASKS: u64 = 4;
/// Clients that send one job after the other.
const CLIENTS: usize = 24;

pub fn play(stage: &Stage, trouble: bool) -> io::Result<Verdict> {
    let proxies: Vec<_> = (0..ENTRIES).map(|_| Proxy::start(stage.store.address)).collect();
    let workers: Vec<_> =
        (0..WORKERS).map(|index| stage.start_worker(&format!("w-{index:02}"), LARGE)).collect();
    stage.configure(1, &[QUEUE], 15_000);
    let entries = stage.start_entries(&proxies.iter().map(|proxy| proxy.address).collect::<Vec<_>>())?;
    stage.wait_until_ready(&entries)?;
    let worker = &workers[0];
    let owner = stage.owner(&entries, worker).ok_or_else(|| io::Error::other("no owner is known"))?;
    let position =
        entries.iter().position(|entry| entry.name == owner.name).ok_or(io::ErrorKind::NotFound)?;
    stage.record.line(&format!("worker {} takes orders from {}", worker.id, owner.name));

    let (entries, over) = (&entries, &AtomicBool::new(false));
    let registered_at = thread::scope(|scope| {
        for client in 0..CLIENTS {
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let job = stage.job(QUEUE, TASKS, TASK_CPU, TASK_MS, BUDGET);
                    if stage.submit(&entries[client % entries.len()], &job) != 200 {
                        thread::sleep(Duration::from_millis(50));
                    }
                }
            });
        }
        thread::sleep(Duration::from_secs(2));
        if trouble {
            proxies[position].set_turned_away(true);
            stage.record.line(&format!("the store turns {} away", owner.name));
        }
        thread::sleep(CRASH_AFTER);
        let registered_at = trouble.then(|| worker.crash(DOWN, SMALL, &stage.store));
        thread::sleep(TURNED_AWAY - CRASH_AFTER - DOWN);
        proxies[position].set_turned_away(false);
        stage.record.line("the store serves all machines");
        thread::sleep(Duration::from_secs(2));
        over.store(true, Ordering::Relaxed);
        registered_at
    });

    if workers.iter().map(|worker| worker.runs().len()).sum::<usize>() < 500 {
        return Err(io::Error::other("too little has run"));
    }
    let starts: Vec<_> = workers.iter().flat_map(|worker| worker.overcommitted()).collect();
    let mut judged = 0;
    for (at, start) in &starts {
        let after = registered_at
            .map(|registered_at| at.saturating_duration_since(registered_at))
            .unwrap_or_default();
        if registered_at.is_none() || after >= JUDGED_AFTER {
            judged += 1;
            let after = after.as_millis();
            stage.record.line(&format!("BROKEN: {start}, {after} ms after the entry was acknowledged"));
        }
    }
    stage.record.line(&format!(
        "{} starts brought a worker over its capacity, {judged} of them {} ms or more after the entry",
        starts.len(),
        JUDGED_AFTER.as_millis()
    ));
    Ok(if judged == 0 { Verdict::Held } else { Verdict::Broken })
}
