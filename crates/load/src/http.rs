//! Open-loop load over HTTP through the caller's client.

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
use crate::fixture::{SERVICE, document, team_name};
use crate::usage::threads_time;

/// Limits that keep a run small whatever the arguments are.
const MAX_RATE: f64 = 5000.0;
const MAX_SECONDS: f64 = 60.0;
const MAX_SUBMISSIONS: usize = 200_000;
/// Largest recorded response time in microseconds, far above the cool-down.
const MAX_RECORDED: u64 = 600_000_000;
/// Time after the last arrival in which submissions may still end.
const COOL_DOWN: Duration = Duration::from_secs(15);
/// Allowance for the network round trips of a submission and of a task on loopback.
const ROUND_TRIP: Duration = Duration::from_millis(1);
/// Small batches spread the load of this one client over the entries, as many callers do.
const KEY_BATCH: u32 = 8;
const CLIENT_THREADS: &str = "load-client";

/// What to submit.
#[derive(Clone, Debug)]
pub struct Options {
    /// Whether keys come from the first entry and submissions go to the second, which forwards them.
    pub forwarded: bool,
    /// Share of each class in percent of the submissions, in the order of [`Class::ALL`].
    pub mix: [u32; Class::COUNT],
    /// Submissions per second.
    pub rate: f64,
    /// Shortest and longest run time of a task in milliseconds.
    pub run_ms: (u64, u64),
    /// Time in which submissions arrive, in seconds.
    pub seconds: f64,
    /// Seed of arrivals, sizes and run times.
    pub seed: u64,
    /// Fewest and most tasks of a job.
    pub tasks: (u32, u32),
    /// Teams.
    pub teams: usize,
}

impl Options {
    /// Submissions with the same number of short tasks.
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

    /// The mix of the design: urgent requests, bookings, queries and jobs.
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

/// One submission to make.
struct Arrival {
    at: Duration,
    longest: Duration,
    submission: Submission,
}

/// What came back for one submission.
struct Ended {
    class: Class,
    longest: Duration,
    outcome: Option<Outcome>,
    tasks: usize,
    time: Duration,
}

/// Results of one class.
struct ClassReport {
    outcomes: FastMap<String, u64>,
    ratio: Histogram<u64>,
    response_us: Histogram<u64>,
}

/// Results of a run.
pub struct Report {
    /// Processor time of the callers' client.
    pub client_time: Duration,
    classes: FastMap<usize, ClassReport>,
    complete: u64,
    tasks: u64,
    unended: usize,
}

impl Report {
    /// Submissions answered completely.
    #[must_use]
    pub const fn complete(&self) -> u64 {
        self.complete
    }

    /// Tasks of the complete submissions.
    #[must_use]
    pub const fn tasks(&self) -> u64 {
        self.tasks
    }

    fn add(&mut self, ended: &Ended) {
        let Ok(empty) = Histogram::new_with_bounds(1, MAX_RECORDED, 3) else { return };
        let class = self.classes.entry(ended.class.index()).or_insert_with(|| ClassReport {
            outcomes: FastMap::default(),
            ratio: empty.clone(),
            response_us: empty,
        });
        let outcome = ended.outcome.map_or("unknown".to_owned(), |outcome| outcome.to_string());
        *class.outcomes.entry(outcome).or_default() += 1;
        if ended.outcome != Some(Outcome::Complete) {
            return;
        }
        self.complete += 1;
        self.tasks += ended.tasks as u64;
        let ideal = (ended.longest + ROUND_TRIP).as_secs_f64();
        class.response_us.saturating_record(u64::try_from(ended.time.as_micros()).unwrap_or(u64::MAX));
        class.ratio.saturating_record((ended.time.as_secs_f64() / ideal * 1000.0) as u64);
    }

    /// One Markdown row per class.
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
            let ratio = |quantile| report.ratio.value_at_quantile(quantile) as f64 / 1000.0;
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
        let _ = writeln!(text, "\nsubmissions without an end in time: {}", self.unended);
        text
    }
}

/// Runs a mix against a cluster of its own and describes the result in Markdown.
///
/// # Errors
///
/// Fails when the cluster does not start.
pub fn run(shape: Shape, options: &Options) -> Result<String, ClusterError> {
    let cluster = Cluster::start("http", shape, &document(680, 200))?;
    cluster.wait_ready()?;
    // The first heartbeats and loans need a moment.
    std::thread::sleep(Duration::from_secs(1));
    let before = cluster.entries_time();
    let report = run_on(&cluster.addresses(), options)?;
    let entries_time = cluster.entries_time() - before;
    let (starts, wasted) = cluster.wait(totals(&cluster.addresses()));
    cluster.abort();
    let tasks = report.tasks().max(1) as f64;
    let per_task = |time: Duration| time.as_secs_f64() * 1e6 / tasks;
    let mut text = report.table();
    let _ = writeln!(text, "task starts: {starts}; wasted messages per task: {:.4}", wasted as f64 / tasks);
    let _ = writeln!(
        text,
        "processor time per task: entries {:.1} µs, callers' client {:.1} µs",
        per_task(entries_time),
        per_task(report.client_time)
    );
    Ok(text)
}

/// Starts and wasted messages of all entries.
async fn totals(entries: &[SocketAddr]) -> (u64, u64) {
    let (mut starts, mut wasted) = (0, 0);
    for entry in entries {
        let Some(state) = state(*entry).await else { continue };
        let total = |name: &str| state["totals"][name].as_u64().unwrap_or(0);
        starts += total("starts");
        wasted += total("wasted_messages");
    }
    (starts, wasted)
}

async fn state(entry: SocketAddr) -> Option<serde_json::Value> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(entry).await.ok()?;
    let request = format!("GET /state HTTP/1.1\r\nhost: {entry}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok()?;
    let body = response.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    serde_json::from_slice(&response[body..]).ok()
}

/// Runs a mix against entries; the client has threads of its own.
///
/// # Errors
///
/// Fails when the client cannot be built.
pub fn run_on(entries: &[SocketAddr], options: &Options) -> Result<Report, ClusterError> {
    let runtime =
        Builder::new_multi_thread().enable_all().worker_threads(2).thread_name(CLIENT_THREADS).build()?;
    let (entries, options) = (entries.to_vec(), options.clone());
    // On a worker, so that the time of the threads is the whole time of the client.
    let mut report = runtime.block_on(async { tokio::spawn(submit_all(entries, options)).await })??;
    report.client_time = threads_time(CLIENT_THREADS);
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
    let (sender, mut ends) = mpsc::unbounded_channel();
    let start = Instant::now();
    for arrival in arrivals {
        sleep_until(start + arrival.at).await;
        let (client, sender) = (client.clone(), sender.clone());
        let owner = options.forwarded.then(|| owner.clone());
        tokio::spawn(async move { drop(sender.send(submit(&client, owner, arrival).await)) });
    }
    drop(sender);
    let mut report = Report {
        client_time: Duration::ZERO,
        classes: FastMap::default(),
        complete: 0,
        tasks: 0,
        unended: count,
    };
    let end = Instant::now() + COOL_DOWN;
    while let Ok(Some(ended)) = tokio::time::timeout_at(end, ends.recv()).await {
        report.unended -= 1;
        report.add(&ended);
    }
    Ok(report)
}

/// Submits under a key of `owner`, else under one of the client's own keys.
async fn submit(client: &Client, owner: Option<Client>, arrival: Arrival) -> Ended {
    let begun = Instant::now();
    let Arrival { longest, mut submission, .. } = arrival;
    if let Some(owner) = owner {
        submission.key = owner.take_key().await.ok();
    }
    let (class, tasks) = (submission.class, submission.tasks.len());
    let options = SubmitOptions { deadline: COOL_DOWN, ..SubmitOptions::default() };
    let answer: Result<Answer, ClientError> = client.submit_with(submission, &options, |_| {}).await;
    let outcome = answer.ok().map(|answer| answer.outcome);
    Ended { class, longest, outcome, tasks, time: begun.elapsed() }
}

/// Arrivals at random times with the mean rate; the same for the same options.
fn arrivals(options: &Options) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let rate = options.rate.clamp(0.1, MAX_RATE);
    let seconds = options.seconds.clamp(0.0, MAX_SECONDS);
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    while arrivals.len() < MAX_SUBMISSIONS {
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        if at >= seconds {
            break;
        }
        arrivals.push(arrival(options, Duration::from_secs_f64(at), &mut rng));
    }
    arrivals
}

fn arrival(options: &Options, at: Duration, rng: &mut SmallRng) -> Arrival {
    let mut rest = rng.random_range(0..options.mix.iter().sum::<u32>().max(1));
    let class = Class::ALL.into_iter().find(|class| {
        let share = options.mix[class.index()];
        let found = rest < share;
        rest = rest.saturating_sub(share);
        found
    });
    let class = class.unwrap_or(Class::Urgent);
    let count = if class == Class::Batch { rng.random_range(options.tasks.0..=options.tasks.1) } else { 1 };
    let runs: Vec<u64> = (0..count).map(|_| rng.random_range(options.run_ms.0..=options.run_ms.1)).collect();
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
        tasks: runs.iter().map(task).collect(),
        team: team_name(rng.random_range(0..options.teams.max(1))),
        wait_ms: None,
    };
    Arrival { at, longest: Duration::from_millis(runs.into_iter().max().unwrap_or(0)), submission }
}
