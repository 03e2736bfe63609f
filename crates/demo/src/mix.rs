//! The mix of work that the demonstration sends.

use std::time::Duration;

use hinge_client::{Client, ClientError, SubmitOptions};
use hinge_wire::{Answer, Class, Outcome, ResultCode, SubmissionState, SubmissionStatus};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::cluster::{Cluster, DemoError};
use crate::options::Options;
use crate::report::{Report, Row};
use crate::work::{JOB_TASKS, Work, job, long_job, oversized, request};

/// Requests of each class per second; together they use about a fifth of 48 slots.
const RATES: [(Class, u64); 3] = [(Class::Urgent, 50), (Class::Booking, 20), (Class::Query, 20)];
/// Longest wait for the first task of the long job, which queues behind the job of the same team.
const START_LIMIT: Duration = Duration::from_secs(10);
const START_POLL: Duration = Duration::from_millis(20);

/// Runs all parts of the mix at the same time.
pub(crate) async fn run(cluster: &Cluster, options: &Options) -> Result<Report, DemoError> {
    let client = cluster.client(options)?;
    let mut classes = JoinSet::new();
    for (order, (class, per_s)) in RATES.into_iter().enumerate() {
        let random = SmallRng::seed_from_u64(options.seed.wrapping_add(order as u64));
        let duration = Duration::from_millis(options.duration_ms);
        classes.spawn(requests(client.clone(), class, per_s, duration, random));
    }
    let random = SmallRng::seed_from_u64(options.seed.wrapping_add(RATES.len() as u64));
    let others = tokio::join!(
        job_and_resubmission(&client, cluster.client_of_last(options)?, random),
        cancellation(&client),
        never_runs(&client),
    );
    let mut rows = classes.join_all().await;
    rows.sort_by_key(|(class, _)| *class);
    let mut report = Report::new(rows.into_iter().map(|(_, row)| row).collect());
    let ([job, resubmission], cancelled, rejected) = others;
    report.rows.extend([job, resubmission, cancelled, rejected]);
    Ok(report)
}

/// Sends requests of one class at a fixed rate, whatever the answers' delay.
async fn requests(
    client: Client,
    class: Class,
    per_s: u64,
    duration: Duration,
    mut random: SmallRng,
) -> (Class, Row) {
    let end = Instant::now() + duration;
    let mut ticks = interval(Duration::from_millis(1000 / per_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut sent = JoinSet::new();
    for number in 0.. {
        ticks.tick().await;
        if Instant::now() > end {
            break;
        }
        let work = request(class, number, &mut random);
        sent.spawn(submit(client.clone(), work));
    }
    let mut row = Row::new(class.to_string());
    for (work, answer, time) in sent.join_all().await {
        row.add_answer(time, check_complete(&work, answer.as_ref()));
    }
    (class, row)
}

async fn submit(client: Client, work: Work) -> (Work, Result<Answer, ClientError>, Duration) {
    let sent_at = Instant::now();
    let answer = client.submit(work.submission.clone()).await;
    (work, answer, sent_at.elapsed())
}

/// Submits a job with a key and reports its progress, then submits it again through another entry.
async fn job_and_resubmission(client: &Client, other: Client, mut random: SmallRng) -> [Row; 2] {
    let mut rows = [Row::new(format!("job of {JOB_TASKS} tasks")), Row::new("job resubmitted")];
    let mut work = job(&mut random);
    work.submission.key = match client.take_key().await {
        Ok(key) => Some(key),
        Err(error) => {
            rows[0].add_answer(Duration::ZERO, Err(error.to_string()));
            return rows;
        }
    };
    // A short wait for each response, so that progress is reported several times.
    work.submission.wait_ms = Some(200);
    let sent_at = Instant::now();
    let options = SubmitOptions::default();
    let progress = |status: &SubmissionStatus| {
        println!("job {}: {} of {} tasks done", status.state, status.tasks_done, status.tasks_total);
    };
    let answer = client.submit_with(work.submission.clone(), &options, progress).await;
    rows[0].add_answer(sent_at.elapsed(), check_complete(&work, answer.as_ref()));
    let (_, again, time) = submit(other, work).await;
    let same = match (&answer, &again) {
        (Ok(answer), Ok(again)) if answer == again => Ok(Outcome::Complete),
        (_, again) => Err(format!("the resubmission has another answer: {again:?}")),
    };
    rows[1].add_answer(time, same);
    rows
}

/// Cancels a job while its tasks run.
async fn cancellation(client: &Client) -> Row {
    let mut row = Row::new("job cancelled");
    let mut work = long_job();
    let key = match client.take_key().await {
        Ok(key) => key,
        Err(error) => {
            row.add_answer(Duration::ZERO, Err(error.to_string()));
            return row;
        }
    };
    work.submission.key = Some(key.clone());
    let submitted = tokio::spawn(submit(client.clone(), work));
    // A cancellation after the first start must say that the job may have run.
    let _ = timeout(START_LIMIT, wait_running(client, &key)).await;
    let cancelled_at = Instant::now();
    let reply = client.cancel(&key).await;
    let Ok((_, answer, _)) = submitted.await else {
        row.add_answer(Duration::ZERO, Err("the submitting task has ended".to_owned()));
        return row;
    };
    let expected = match reply {
        Ok(reply) if reply.cancelled == 1 => check_code(&answer, ResultCode::CancelledMayHaveRun),
        reply => Err(format!("the cancellation had no effect: {reply:?}")),
    };
    row.add_answer(cancelled_at.elapsed(), expected);
    row
}

async fn wait_running(client: &Client, key: &str) {
    while !matches!(client.status(key).await, Ok(status) if status.state == SubmissionState::Running) {
        sleep(START_POLL).await;
    }
}

/// Submits work that fits no upstream.
async fn never_runs(client: &Client) -> Row {
    let mut row = Row::new("never fits");
    let (_, answer, time) = submit(client.clone(), oversized()).await;
    row.add_answer(time, check_code(&answer, ResultCode::NeverFits));
    row
}

fn check_complete(work: &Work, answer: Result<&Answer, &ClientError>) -> Result<Outcome, String> {
    match answer {
        Ok(answer) if answer.outcome == Outcome::Complete && answer.results == work.results => {
            Ok(Outcome::Complete)
        }
        answer => Err(format!("expected the results of {}: {answer:?}", work.results[0])),
    }
}

fn check_code(answer: &Result<Answer, ClientError>, code: ResultCode) -> Result<Outcome, String> {
    match answer {
        Ok(answer) if answer.code == code.number() && answer.results.is_empty() => Ok(answer.outcome),
        answer => Err(format!("expected {}: {answer:?}", code.name())),
    }
}
