//! Open channels to the store go silent. A worker that drains later must get no new tasks after `drain-ms`.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::proxy::Proxy;
use crate::stage::Stage;

const QUEUE: &str = "/kept/";
/// Workers, of which three drain: less than the share of 0.077 that leaves at once on the site.
const WORKERS: usize = 40;
const CAPACITY: u64 = 16_000;
/// `drain-ms`.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// `stable-window-ms`: the loss of the channels counts as a reset, and the machines are in touch again after this time.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Added to the bounds, for the times that this program takes itself.
const MARGIN: Duration = Duration::from_millis(20);
/// Time between the workers that drain before the loss of the channels, and from the last of them to the loss.
const STEP: Duration = Duration::from_millis(100);
/// Time from the loss of the channels to the report of the worker that is judged.
const DRAIN_AFTER: Duration = Duration::from_millis(300);
const BUDGET: Duration = Duration::from_millis(1_500);
const CLIENTS: usize = 36;

pub fn play(stage: &Stage, trouble: bool) -> io::Result<Verdict> {
    let proxy = Proxy::start(stage.store.address);
    let workers: Vec<_> =
        (0..WORKERS).map(|index| stage.start_worker(&format!("w-{index:02}"), CAPACITY)).collect();
    stage.configure(1, &[QUEUE], 15_000);
    let entries = stage.start_entries(3, proxy.address)?;
    stage.wait_until_ready(&entries)?;

    let (entries, over) = (&entries, &AtomicBool::new(false));
    let judged_from = thread::scope(|scope| {
        for client in 0..CLIENTS {
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let job = stage.job(QUEUE, 4, 6_800, 60, BUDGET);
                    if stage.submit(&entries[client % entries.len()], &job).status() != 200 {
                        thread::sleep(Duration::from_millis(50));
                    }
                }
            });
        }
        thread::sleep(Duration::from_secs(2));
        for worker in &workers[..2] {
            worker.drain(&stage.store);
            thread::sleep(STEP);
        }
        let silent_at = Instant::now();
        if trouble {
            proxy.silence();
            stage.record.line("the open channels to the store go silent");
        }
        thread::sleep(DRAIN_AFTER);
        workers[2].drain(&stage.store);
        let judged_from = (Instant::now() + DRAIN_TIME).max(silent_at + STABLE_WINDOW) + MARGIN;
        thread::sleep(judged_from.saturating_duration_since(Instant::now()) + Duration::from_secs(2));
        over.store(true, Ordering::Relaxed);
        judged_from
    });

    if workers.iter().map(|worker| worker.runs().len()).sum::<usize>() < 500 {
        return Err(io::Error::other("too little has run"));
    }
    let late: Vec<_> = workers[2].runs().into_iter().filter(|run| run.started_at > judged_from).collect();
    for run in &late {
        let after = (run.started_at - judged_from).as_millis();
        stage.record.line(&format!("BROKEN: {} run {} starts {after} ms too late", run.task, run.number));
    }
    stage.record.line(&format!("{} tasks started on the draining worker too late", late.len()));
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
