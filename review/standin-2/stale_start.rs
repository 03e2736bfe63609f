//! A machine freezes while a task waits there. Its client gets no answer and sends the job again, to another machine. When
//! the first machine wakes, it starts the task that has waited.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::entries::Entry;
use crate::stage::{Job, Stage};
use crate::worker::Worker;

const QUEUE: &str = "/kept/";
const ENTRIES: usize = 8;
const WORKERS: usize = 24;
const CAPACITY: u64 = 16_000;
/// Time budget of the clients.
const BUDGET: Duration = Duration::from_millis(1_500);
/// `resend-ms`, counted from the end of the time budget.
const RESEND_AFTER: Duration = Duration::from_millis(1_300);
/// Time between two starts on the failing worker from which on its owner has paused it for longer than the case needs.
const LONG_PAUSE: Duration = Duration::from_millis(1_900);
/// Time from the last start on the failing worker to the job that is judged.
const SEND_AFTER: Duration = Duration::from_millis(1_450);
/// The stale order reaches the worker in most rounds, not in each one: an order with a higher token may overtake it.
const ROUNDS: u32 = 3;
const BETWEEN_ROUNDS: Duration = Duration::from_secs(5);
/// Longest time for which the machine stands still, below the 3.5 s of the site.
const MAX_FREEZE: Duration = Duration::from_millis(2_500);

pub fn play(stage: &Stage, trouble: bool) -> io::Result<Verdict> {
    let workers: Vec<_> =
        (0..WORKERS).map(|index| stage.start_worker(&format!("w-{index:02}"), CAPACITY)).collect();
    stage.configure(1, &[QUEUE], 15_000);
    let entries = stage.start_entries(&[stage.store.address; ENTRIES])?;
    stage.wait_until_ready(&entries)?;

    for round in 1..=ROUNDS {
        stage.record.line(&format!("round {round}"));
        if let Verdict::Broken = play_round(stage, &workers, &entries, trouble)? {
            return Ok(Verdict::Broken);
        }
        thread::sleep(BETWEEN_ROUNDS);
    }
    Ok(Verdict::Held)
}

fn play_round(stage: &Stage, workers: &[Worker], entries: &[Entry], trouble: bool) -> io::Result<Verdict> {
    let failing = &workers[0];
    let owner = stage.owner(entries, failing).ok_or_else(|| io::Error::other("no owner is known"))?;
    let other = entries.iter().find(|entry| entry.name != owner.name).ok_or(io::ErrorKind::NotFound)?;
    stage.record.line(&format!("worker {} takes orders from {}", failing.id, owner.name));
    fail_until_paused(stage, failing, owner)?;

    let key = format!("celeryhinge/entries/{}", owner.name);
    stage.store.wait_for_renewal(&key);
    let job = stage.job(QUEUE, 1, 10_000, 300, BUDGET);
    stage.jobs.lock().expect("no panic under the lock").entry(job.id.clone()).or_default().fails = true;
    thread::scope(|scope| {
        scope.spawn(|| send_until_answered(stage, &job, owner, other));
        thread::sleep(Duration::from_millis(10));
        // The entries fill their workers. That of the job has two more tasks wait, until the first run of the job has failed.
        let own_share = WORKERS / ENTRIES;
        for entry in entries.iter().filter(|entry| entry.name != owner.name) {
            for _ in 0..own_share {
                let filler = stage.job(QUEUE, 2, 6_800, 1_200, BUDGET);
                scope.spawn(move || stage.submit(entry, &filler));
            }
        }
        thread::sleep(Duration::from_millis(60));
        let filler = stage.job(QUEUE, 4, 6_800, 1_200, BUDGET);
        scope.spawn(move || stage.submit(owner, &filler));
        // Just after a renewal, so that the machine stays registered for as long as possible.
        stage.store.wait_for_renewal(&key);
        stage.store.wait_for_renewal(&key);
        if !trouble {
            return;
        }
        owner.freeze();
        let frozen_at = Instant::now();
        stage.record.line(&format!("{} freezes", owner.name));
        while frozen_at.elapsed() < MAX_FREEZE && !runs_after(workers, &job, frozen_at) {
            thread::sleep(Duration::from_millis(1));
        }
        thread::sleep(Duration::from_millis(20));
        owner.thaw();
        let frozen_ms = frozen_at.elapsed().as_millis();
        stage.record.line(&format!("{} goes on after {frozen_ms} ms", owner.name));
    });
    thread::sleep(Duration::from_millis(1_000));
    judge(stage, workers, &job)
}

/// Has a worker fail all that it starts, and sends small jobs to its owner until the owner pauses the worker for seconds.
/// Returns some time after the last start there, when all these jobs have ended.
fn fail_until_paused(stage: &Stage, failing: &Worker, owner: &Entry) -> io::Result<()> {
    failing.set_failing(true);
    let began_at = Instant::now();
    let (over, until) = (&AtomicBool::new(false), Instant::now() + Duration::from_secs(20));
    let last = thread::scope(|scope| {
        scope.spawn(move || {
            while !over.load(Ordering::Relaxed) {
                stage.submit(owner, &stage.job(QUEUE, 1, 1_000, 20, BUDGET));
            }
        });
        let last = loop {
            let starts = failing.runs().into_iter().map(|run| run.started_at);
            let starts: Vec<_> = starts.filter(|at| *at > began_at).collect();
            if let [.., before, last] = starts.as_slice()
                && *last - *before >= LONG_PAUSE
            {
                break Some(*last);
            }
            if Instant::now() > until {
                break None;
            }
            thread::sleep(Duration::from_millis(5));
        };
        over.store(true, Ordering::Relaxed);
        last
    });
    thread::sleep(Duration::from_millis(50));
    failing.set_failing(false);
    let last = last.ok_or_else(|| io::Error::other("the failing worker is not paused"))?;
    stage.record.line("no more small jobs");
    thread::sleep((last + SEND_AFTER).saturating_duration_since(Instant::now()));
    Ok(())
}

/// Sends a job to one entry and, if there is no answer in the time budget, again to another one.
fn send_until_answered(stage: &Stage, job: &Job, first: &Entry, second: &Entry) {
    if matches!(stage.submit(first, job), 0 | 502 | 504) {
        thread::sleep(RESEND_AFTER);
        stage.submit(second, job);
    }
}

fn runs_after(workers: &[Worker], job: &Job, at: Instant) -> bool {
    workers.iter().flat_map(Worker::runs).any(|run| run.task.starts_with(&job.id) && run.started_at > at)
}

/// Looks for two runs of the same task at the same time.
fn judge(stage: &Stage, workers: &[Worker], job: &Job) -> io::Result<Verdict> {
    let on_worker =
        |worker: &Worker| worker.runs().into_iter().map(|run| (worker.id.clone(), run)).collect::<Vec<_>>();
    let mut runs: Vec<_> = workers.iter().flat_map(on_worker).collect();
    if !runs.iter().any(|(_, run)| run.task.starts_with(&job.id)) {
        return Err(io::Error::other("the job has not run"));
    }
    runs.sort_by(|(_, a), (_, b)| (&a.task, a.started_at).cmp(&(&b.task, b.started_at)));
    let mut broken = false;
    for pair in runs.windows(2) {
        let [(first_worker, first), (second_worker, second)] = pair else { continue };
        let overlap =
            first.ended_at.unwrap_or_else(Instant::now).saturating_duration_since(second.started_at);
        if first.task == second.task && !overlap.is_zero() {
            broken = true;
            let end =
                second.ended_at.unwrap_or_else(Instant::now).min(first.ended_at.unwrap_or_else(Instant::now));
            stage.record.line(&format!(
                "BROKEN: {} runs on {first_worker} as run {} and on {second_worker} as run {}, for {} ms at the same time",
                first.task,
                first.number,
                second.number,
                (end - second.started_at).as_millis()
            ));
        }
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
