//! Open-loop load generator over HTTP, through the caller's client.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use hinge_client::{Client, ClientError, SubmitOptions};
use hinge_wire::{Answer, Class, FastMap, Outcome, Submission, TaskSpec};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::cluster::{Cluster, ClusterError, Shape};
use crate::fixture::{SERVICE, config_document, team_name};
use crate::usage::threads_cpu_time;

/// Largest number of submissions per second. This and the next two limits bound every run, whatever its options.
const MAX_RATE: f64 = 5000.0;
const MAX_SECONDS: f64 = 60.0;
const MAX_SUBMISSIONS: usize = 200_000;
/// Largest response time in the histograms, far above [`COOL_DOWN`].
const MAX_RECORDED_US: u64 = 600_000_000;
/// Time after the last arrival in which submissions may still be answered, and the deadline of each.
const COOL_DOWN: Duration = Duration::from_secs(15);
/// Allowance in the ideal response time for the round trips of a submission and of a task on loopback.
const ROUND_TRIP: Duration = Duration::from_millis(1);
/// Number of keys that the client takes at once. The entry that issues a key owns its submission, so small batches
/// spread this one client's load over the entries, as many callers would.
const KEY_BATCH: u32 = 8;
const CLIENT_THREADS: &str = "load-client";

/// The submissions of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Whether keys come from the first entry and submissions go to the others, which forward them to the first.
    pub forwarded: bool,
    /// Weight of each class in the number of submissions, in the order of [`Class::ALL`].
    pub mix: [u32; Class::COUNT],
    /// Mean number of submissions per second, clamped to 0.1–5000.
    pub rate: f64,
    /// Shortest and longest run time of a task in milliseconds; run times are uniform between them.
    pub run_ms: (u64, u64),
    /// Time in which submissions arrive, in seconds, at most 60.
    pub seconds: f64,
    /// Seed of arrival times, classes, job sizes, run times and teams.
    pub seed: u64,
    /// Fewest and most tasks of a batch submission; the other classes have one task.
    pub tasks: (u32, u32),
    /// Number of teams, which submit equally often.
    pub teams: usize,
}

impl Options {
    /// Submissions of `tasks` tasks of 5 ms each: urgent requests of one task, or batch jobs of several.
    #[must_use]
    pub fn uniform(tasks: u32) -> Self {
        let mix = if tasks == 1 { [100, 0, 0, 0] } else { [0, 0, 0, 100] };
        Self {
            forwarded: false,
            mix,
            rate: 100.0,
            run_ms: (5, 5),
            seconds: 1.0,
            seed: 1,
            tasks: (tasks, tasks),
            teams: 680,
        }
    }

    /// The design's mix: 50% urgent requests, 25% bookings, 20% queries and 5% batch jobs of 10 to 110 tasks.
    #[must_use]
    pub fn mixed(rate: f64, seconds: f64, seed: u64) -> Self {
        Self {
            forwarded: false,
            mix: [50, 25, 20, 5],
            rate,
            run_ms: (50, 500),
            seconds,
            seed,
            tasks: (10, 110),
            teams: 680,
        }
    }
}

/// A submission and the time at which it is sent.
struct Arrival {
    at: Duration,
    longest_run: Duration,
    submission: Submission,
}

/// Result of one submission; `outcome` is `None` when the client reports an error instead of an answer.
struct SubmissionResult {
    class: Class,
    longest_run: Duration,
    outcome: Option<Outcome>,
    tasks: usize,
    response_time: Duration,
}

/// Results of one class. The histograms cover complete submissions only; `ratio_per_mille` is the response time over the
/// ideal, in thousandths.
struct ClassReport {
    outcomes: FastMap<String, u64>,
    ratio_per_mille: Histogram<u64>,
    response_us: Histogram<u64>,
}

/// Results of a run.
pub struct Report {
    /// CPU time of the client's threads.
    pub client_cpu_time: Duration,
    classes: FastMap<usize, ClassReport>,
    complete: u64,
    tasks: u64,
    unfinished: usize,
}

impl Report {
    /// Number of submissions with the outcome `COMPLETE`.
    #[must_use]
    pub const fn complete(&self) -> u64 {
        self.complete
    }

    /// Number of tasks of the complete submissions.
    #[must_use]
    pub const fn tasks(&self) -> u64 {
        self.tasks
    }

    fn add(&mut self, result: &SubmissionResult) {
        let Ok(empty) = Histogram::new_with_bounds(1, MAX_RECORDED_US, 3) else { return };
        let class = self.classes.entry(result.class.index()).or_insert_with(|| ClassReport {
            outcomes: FastMap::default(),
            ratio_per_mille: empty.clone(),
            response_us: empty,
        });
        let outcome = result.outcome.map_or("unknown".to_owned(), |outcome| outcome.to_string());
        *class.outcomes.entry(outcome).or_default() += 1;
        if result.outcome != Some(Outcome::Complete) {
            return;
        }
        self.complete += 1;
        self.tasks += result.tasks as u64;
        let ideal = (result.longest_run + ROUND_TRIP).as_secs_f64();
        class
            .response_us
            .saturating_record(u64::try_from(result.response_time.as_micros()).unwrap_or(u64::MAX));
        class.ratio_per_mille.saturating_record((result.response_time.as_secs_f64() / ideal * 1000.0) as u64);
    }

    /// A Markdown table with one row per class that submitted, and the number of submissions without a result in time.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text =
            "| class | outcomes | response ms: median / 99% / 99.9% | of the ideal: median / 99% |\n\
                        |---|---|---|---|\n"
                .to_owned();
        for class in Class::ALL {
            let Some(report) = self.classes.get(&class.index()) else { continue };
            let mut outcomes: Vec<_> =
                report.outcomes.iter().map(|(outcome, count)| format!("{outcome} {count}")).collect();
            outcomes.sort();
            let response = |quantile| report.response_us.value_at_quantile(quantile) as f64 / 1000.0;
            let ratio = |quantile| report.ratio_per_mille.value_at_quantile(quantile) as f64 / 1000.0;
            let _ = writeln!(
                text,
                "| {class} | {} | {:.1} / {:.1} / {:.1} | {:.2} / {:.2} |",
                outcomes.join(", "),
                response(0.5),
                response(0.99),
                response(0.999),
                ratio(0.5),
                ratio(0.99),
            );
        }
        let _ = writeln!(text, "\nsubmissions without an end in time: {}", self.unfinished);
        text
    }
}

/// Starts a cluster, runs `options` against it and returns the results as Markdown.
///
/// # Errors
///
/// Fails when the cluster does not start or the client cannot be built.
pub fn run(shape: Shape, options: &Options) -> Result<String, ClusterError> {
    let cluster = Cluster::start("http", shape, &config_document(680, 200))?;
    cluster.wait_ready()?;
    // Let the entries exchange their first heartbeats and loans.
    std::thread::sleep(Duration::from_secs(1));
    let cpu_time_before = cluster.entries_cpu_time();
    let report = run_against(&cluster.addresses(), options)?;
    let entries_cpu_time = cluster.entries_cpu_time() - cpu_time_before;
    let (starts, wasted) = cluster.block_on(fetch_totals(&cluster.addresses()));
    cluster.abort();
    let tasks = report.tasks().max(1) as f64;
    let per_task = |time: Duration| time.as_secs_f64() * 1e6 / tasks;
    let mut text = report.table();
    let _ = writeln!(text, "task starts: {starts}; wasted messages per task: {:.4}", wasted as f64 / tasks);
    let _ = writeln!(
        text,
        "processor time per task: entries {:.1} µs, callers' client {:.1} µs",
        per_task(entries_cpu_time),
        per_task(report.client_cpu_time)
    );
    Ok(text)
}

/// Sums of task starts and wasted messages over all entries that report their state.
async fn fetch_totals(entries: &[SocketAddr]) -> (u64, u64) {
    let (mut starts, mut wasted) = (0, 0);
    for entry in entries {
        let Some(state) = fetch_state(*entry).await else { continue };
        let total = |name: &str| state["totals"][name].as_u64().unwrap_or(0);
        starts += total("starts");
        wasted += total("wasted_messages");
    }
    (starts, wasted)
}

async fn fetch_state(entry: SocketAddr) -> Option<serde_json::Value> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(entry).await.ok()?;
    let request = format!("GET /state HTTP/1.1\r\nhost: {entry}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok()?;
    let body = response.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    serde_json::from_slice(&response[body..]).ok()
}

/// Runs `options` against `entries`. The client has its own threads, so that its CPU time is measured separately.
///
/// # Errors
///
/// Fails when the client cannot be built.
pub fn run_against(entries: &[SocketAddr], options: &Options) -> Result<Report, ClusterError> {
    let runtime =
        Builder::new_multi_thread().enable_all().worker_threads(2).thread_name(CLIENT_THREADS).build()?;
    let (entries, options) = (entries.to_vec(), options.clone());
    // Spawned, because `block_on` would poll it on the calling thread, whose CPU time does not count for the client.
    let mut report = runtime.block_on(async { tokio::spawn(submit_all(entries, options)).await })??;
    report.client_cpu_time = threads_cpu_time(CLIENT_THREADS);
    runtime.shutdown_timeout(Duration::from_millis(100));
    Ok(report)
}

fn client(entries: &[SocketAddr], seed: u64) -> Result<Client, ClusterError> {
    let builder = Client::builder().seed(seed).key_batch(KEY_BATCH);
    Ok(entries.iter().fold(builder, |builder, entry| builder.entry(*entry)).build()?)
}

async fn submit_all(entries: Vec<SocketAddr>, options: Options) -> Result<Report, ClusterError> {
    let (owners, receivers) = match entries.split_first() {
        Some((first, rest)) if options.forwarded => (vec![*first], rest),
        _ => (entries.clone(), &entries[..]),
    };
    let (owner, client) = (client(&owners, options.seed)?, client(receivers, options.seed)?);
    let arrivals = arrivals(&options);
    let count = arrivals.len();
    let (sender, mut results) = mpsc::unbounded_channel();
    let start = Instant::now();
    for arrival in arrivals {
        sleep_until(start + arrival.at).await;
        let (client, sender) = (client.clone(), sender.clone());
        let owner = options.forwarded.then(|| owner.clone());
        tokio::spawn(async move { drop(sender.send(submit(&client, owner, arrival).await)) });
    }
    drop(sender);
    let mut report = Report {
        client_cpu_time: Duration::ZERO,
        classes: FastMap::default(),
        complete: 0,
        tasks: 0,
        unfinished: count,
    };
    let end = Instant::now() + COOL_DOWN;
    while let Ok(Some(result)) = tokio::time::timeout_at(end, results.recv()).await {
        report.unfinished -= 1;
        report.add(&result);
    }
    Ok(report)
}

/// Submits with a key from `owner` if it is given, otherwise with one of the client's own keys.
async fn submit(client: &Client, owner: Option<Client>, arrival: Arrival) -> SubmissionResult {
    let sent_at = Instant::now();
    let Arrival { longest_run, mut submission, .. } = arrival;
    if let Some(owner) = owner {
        submission.key = owner.take_key().await.ok();
    }
    let (class, tasks) = (submission.class, submission.tasks.len());
    let options = SubmitOptions { deadline: COOL_DOWN, ..SubmitOptions::default() };
    let answer: Result<Answer, ClientError> = client.submit_with(submission, &options, |_| {}).await;
    let outcome = answer.ok().map(|answer| answer.outcome);
    SubmissionResult { class, longest_run, outcome, tasks, response_time: sent_at.elapsed() }
}

/// A Poisson process of arrivals with the mean rate; equal options give equal arrivals.
fn arrivals(options: &Options) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let rate = options.rate.clamp(0.1, MAX_RATE);
    let seconds = options.seconds.clamp(0.0, MAX_SECONDS);
    let mut at_s = 0.0;
    let mut arrivals = Vec::new();
    while arrivals.len() < MAX_SUBMISSIONS {
        at_s -= (1.0 - rng.random::<f64>()).ln() / rate;
        if at_s >= seconds {
            break;
        }
        arrivals.push(arrival(options, Duration::from_secs_f64(at_s), &mut rng));
    }
    arrivals
}

fn arrival(options: &Options, at: Duration, rng: &mut SmallRng) -> Arrival {
    let mut remaining = rng.random_range(0..options.mix.iter().sum::<u32>().max(1));
    let class = Class::ALL.into_iter().find(|class| {
        let share = options.mix[class.index()];
        let found = remaining < share;
        remaining = remaining.saturating_sub(share);
        found
    });
    let class = class.unwrap_or(Class::Urgent);
    let count = if class == Class::Batch { rng.random_range(options.tasks.0..=options.tasks.1) } else { 1 };
    let run_times_ms: Vec<u64> =
        (0..count).map(|_| rng.random_range(options.run_ms.0..=options.run_ms.1)).collect();
    let task = |run_ms: &u64| TaskSpec {
        memory_mb: None,
        payload: format!(r#"{{"run_ms": {run_ms}, "result": "done"}}"#),
        run_time_ms: Some(*run_ms),
    };
    let submission = Submission {
        class,
        deadline_ms: None,
        definite: false,
        idempotent: class == Class::Urgent,
        key: None,
        service: SERVICE.to_owned(),
        tasks: run_times_ms.iter().map(task).collect(),
        team: team_name(rng.random_range(0..options.teams.max(1))),
        wait_ms: None,
    };
    Arrival {
        at,
        longest_run: Duration::from_millis(run_times_ms.into_iter().max().unwrap_or(0)),
        submission,
    }
}
