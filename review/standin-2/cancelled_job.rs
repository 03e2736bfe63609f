//! Some clients cancel their jobs while these run.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::stage::Stage;

const QUEUE: &str = "/kept/";
/// `cancel_ms`.
const CANCEL_TIME: Duration = Duration::from_millis(3_000);
/// `stop-ms`.
const STOP_TIME: Duration = Duration::from_millis(50);
/// Added to the bounds, for the times that this program takes itself.
const MARGIN: Duration = Duration::from_millis(20);
/// Time for which the client of the job waits.
const BUDGET: Duration = Duration::from_secs(15);
/// Jobs, and how many of them are cancelled: less than the share of 0.4 of the site.
const JOBS: usize = 10;
const CANCELLED: usize = 3;
/// Work of each task.
const WORK_MS: u64 = 6_000;

pub fn play(stage: &Stage, trouble: bool) -> io::Result<Verdict> {
    let workers: Vec<_> = (0..4).map(|index| stage.start_worker(&format!("w-{index}"), 16_000)).collect();
    stage.configure(1, &[QUEUE], 15_000);
    let entries = stage.start_entries(3, stage.store.address)?;
    stage.wait_until_ready(&entries)?;

    let jobs: Vec<_> = (0..JOBS).map(|_| stage.job(QUEUE, 3, 1_000, WORK_MS, BUDGET)).collect();
    let cancels = thread::scope(|scope| {
        for (index, job) in jobs.iter().enumerate() {
            let entry = &entries[index % entries.len()];
            scope.spawn(move || stage.submit(entry, job));
        }
        thread::sleep(Duration::from_millis(500));
        // Each goes to the entry that has the job.
        let cancelled = jobs.iter().enumerate().take(if trouble { CANCELLED } else { 0 });
        cancelled
            .map(|(index, job)| (job, stage.cancel(&entries[index % entries.len()], job)))
            .collect::<Vec<_>>()
    });
    thread::sleep(Duration::from_millis(200));

    let runs: Vec<_> = workers.iter().flat_map(|worker| worker.runs()).collect();
    if runs.len() < JOBS {
        return Err(io::Error::other("the jobs have not run"));
    }
    if cancels.iter().any(|(_, reply)| !matches!(reply.status(), 200..=299 | 410)) {
        return Err(io::Error::other("the cancelling was not acknowledged"));
    }
    let mut broken = false;
    for (job, reply) in &cancels {
        for run in runs.iter().filter(|run| run.task.starts_with(&job.id)) {
            let ran_on =
                run.ended_at.unwrap_or_else(Instant::now).saturating_duration_since(reply.answered_at);
            let late = ran_on > CANCEL_TIME + STOP_TIME + MARGIN;
            broken |= late;
            stage.record.line(&format!(
                "{}: {} run {} ended {} {} ms after the cancelling was acknowledged with {}",
                if late { "BROKEN" } else { "held" },
                run.task,
                run.number,
                run.how,
                ran_on.as_millis(),
                reply.status()
            ));
        }
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
