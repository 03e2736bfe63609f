//! The workload that the demonstration sends.

use std::time::Duration;

use hinge_client::{Client, ClientError, SubmitOptions};
use hinge_wire::{Answer, Class, Outcome, ResultCode, SubmissionState, SubmissionStatus};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::cluster::Cluster;
use crate::error::DemoError;
use crate::options::Options;
use crate::report::{Report, Row};
use crate::submissions::{CheckedSubmission, JOB_TASKS, job, long_job, oversized_request, request};

/// Requests per second of each class. Together they use about a fifth of the 48 slots of the default options.
const REQUEST_RATES: [(Class, u64); 3] = [(Class::Urgent, 50), (Class::Booking, 20), (Class::Query, 20)];
/// Longest wait for the first task of the long job, which queues behind the other job of the same team.
const START_TIMEOUT: Duration = Duration::from_secs(10);
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs all parts of the workload concurrently.
pub(crate) async fn run(cluster: &Cluster, options: &Options) -> Result<Report, DemoError> {
    let client = cluster.client(options)?;
    let mut classes = JoinSet::new();
    for (index, (class, rate_per_s)) in REQUEST_RATES.into_iter().enumerate() {
        let random = SmallRng::seed_from_u64(options.seed.wrapping_add(index as u64));
        let duration = Duration::from_millis(options.duration_ms);
        classes.spawn(send_requests(client.clone(), class, rate_per_s, duration, random));
    }
    let random = SmallRng::seed_from_u64(options.seed.wrapping_add(REQUEST_RATES.len() as u64));
    let other_rows = tokio::join!(
        submit_job_twice(&client, cluster.last_entry_client(options)?, random),
        cancel_job(&client),
        submit_oversized(&client),
    );
    let mut rows = classes.join_all().await;
    rows.sort_by_key(|(class, _)| *class);
    let mut report = Report::new(rows.into_iter().map(|(_, row)| row).collect());
    let ([job, resubmission], cancelled, rejected) = other_rows;
    report.rows.extend([job, resubmission, cancelled, rejected]);
    Ok(report)
}

/// Sends requests of one class at a fixed rate, without waiting for answers.
async fn send_requests(
    client: Client,
    class: Class,
    rate_per_s: u64,
    duration: Duration,
    mut random: SmallRng,
) -> (Class, Row) {
    let end = Instant::now() + duration;
    let mut ticks = interval(Duration::from_millis(1000 / rate_per_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut sent = JoinSet::new();
    for number in 0.. {
        ticks.tick().await;
        if Instant::now() > end {
            break;
        }
        let checked = request(class, number, &mut random);
        sent.spawn(submit(client.clone(), checked));
    }
    let mut row = Row::new(class.to_string());
    for (checked, answer, time) in sent.join_all().await {
        row.add_answer(time, check_complete(&checked, answer.as_ref()));
    }
    (class, row)
}

async fn submit(
    client: Client,
    checked: CheckedSubmission,
) -> (CheckedSubmission, Result<Answer, ClientError>, Duration) {
    let sent_at = Instant::now();
    let answer = client.submit(checked.submission.clone()).await;
    (checked, answer, sent_at.elapsed())
}

/// Submits a job with a key and prints its progress, then submits it again through another entry.
async fn submit_job_twice(client: &Client, other_client: Client, mut random: SmallRng) -> [Row; 2] {
    let mut rows = [Row::new(format!("job of {JOB_TASKS} tasks")), Row::new("job resubmitted")];
    let mut checked = job(&mut random);
    checked.submission.key = match client.take_key().await {
        Ok(key) => Some(key),
        Err(error) => {
            rows[0].add_answer(Duration::ZERO, Err(error.to_string()));
            return rows;
        }
    };
    // A short wait per response, so that progress is printed several times.
    checked.submission.wait_ms = Some(200);
    let sent_at = Instant::now();
    let options = SubmitOptions::default();
    let progress = |status: &SubmissionStatus| {
        println!("job {}: {} of {} tasks done", status.state, status.tasks_done, status.tasks_total);
    };
    let answer = client.submit_with(checked.submission.clone(), &options, progress).await;
    rows[0].add_answer(sent_at.elapsed(), check_complete(&checked, answer.as_ref()));
    let (_, second_answer, time) = submit(other_client, checked).await;
    let comparison = match (&answer, &second_answer) {
        (Ok(answer), Ok(second_answer)) if answer == second_answer => Ok(Outcome::Complete),
        (_, second_answer) => Err(format!("the resubmission has another answer: {second_answer:?}")),
    };
    rows[1].add_answer(time, comparison);
    rows
}

/// Cancels a job while some of its tasks run.
async fn cancel_job(client: &Client) -> Row {
    let mut row = Row::new("job cancelled");
    let mut checked = long_job();
    let key = match client.take_key().await {
        Ok(key) => key,
        Err(error) => {
            row.add_answer(Duration::ZERO, Err(error.to_string()));
            return row;
        }
    };
    checked.submission.key = Some(key.clone());
    let submitted = tokio::spawn(submit(client.clone(), checked));
    // After the first start, the answer must say that the job may have run. If no task starts in time, the answer has
    // another code, which is reported below.
    let _ = timeout(START_TIMEOUT, wait_until_running(client, &key)).await;
    let cancelled_at = Instant::now();
    let reply = client.cancel(&key).await;
    let Ok((_, answer, _)) = submitted.await else {
        row.add_answer(Duration::ZERO, Err("the submitting task has ended".to_owned()));
        return row;
    };
    let result = match reply {
        Ok(reply) if reply.cancelled == 1 => check_code(&answer, ResultCode::CancelledMayHaveRun),
        reply => Err(format!("the cancellation had no effect: {reply:?}")),
    };
    row.add_answer(cancelled_at.elapsed(), result);
    row
}

async fn wait_until_running(client: &Client, key: &str) {
    while !matches!(client.status(key).await, Ok(status) if status.state == SubmissionState::Running) {
        sleep(START_POLL_INTERVAL).await;
    }
}

/// Submits a task that fits no upstream.
async fn submit_oversized(client: &Client) -> Row {
    let mut row = Row::new("never fits");
    let (_, answer, time) = submit(client.clone(), oversized_request()).await;
    row.add_answer(time, check_code(&answer, ResultCode::NeverFits));
    row
}

/// Checks that a submission is complete and has the expected results.
fn check_complete(
    checked: &CheckedSubmission,
    answer: Result<&Answer, &ClientError>,
) -> Result<Outcome, String> {
    match answer {
        Ok(answer) if answer.outcome == Outcome::Complete && answer.results == checked.results => {
            Ok(Outcome::Complete)
        }
        answer => Err(format!("expected the results of {}: {answer:?}", checked.results[0])),
    }
}

/// Checks that a submission failed with this code and without results.
fn check_code(answer: &Result<Answer, ClientError>, code: ResultCode) -> Result<Outcome, String> {
    match answer {
        Ok(answer) if answer.code == code.number() && answer.results.is_empty() => Ok(answer.outcome),
        answer => Err(format!("expected {}: {answer:?}", code.name())),
    }
}
