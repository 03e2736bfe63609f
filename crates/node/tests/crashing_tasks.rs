//! Two entries whose upstreams are crashed by each task of a job, in virtual time.

#![allow(clippy::expect_used, clippy::unwrap_used, reason = "tests")]

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hinge_jobs::{Answer, FailCause, JobRequest, QueuePolicy};
use hinge_mesh::{MeshEvent, Message};
use hinge_node::{Engine, Input, Output};
use hinge_runs::{
    EndKind, Ended, Hold, HoldReply, Listing, Resources, RunId, RunProgress, StartOrder, StartReply,
    UpstreamRecord,
};
use support::{engine, entry, hello};
use tokio::time::Instant;

const SERVICE: &str = "deicing";
const UPSTREAMS: usize = 8;
const STEP_MS: u64 = 20;
const RUN_TIME_MS: u64 = 100;
/// Time from the crash of an upstream until it is back under its id.
const DOWN_TIME_MS: u64 = 3_000;
/// Time after an answer, or after the loss of an entry, after which the caller sends the job again.
const RESUBMIT_MS: u64 = 1_300;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn job(id: &str, tasks: u32, budget_ms: u64, run: u64) -> JobRequest {
    JobRequest {
        budget: ms(budget_ms),
        estimate: ms(RUN_TIME_MS),
        id: id.into(),
        need: Resources { cpu_millis: 7_000, gpus: 0, memory_mb: 64 },
        queue: QueuePolicy {
            max_attempts: 3,
            name: "queue".into(),
            priority: 0,
            service: SERVICE.into(),
            stretch: 1.6,
            target: ms(30_000),
            timeout: ms(budget_ms),
        },
        run,
        spec: "spec".into(),
        task_prefix: format!("{id}.0.0").into(),
        tasks,
    }
}

/// An upstream that a task of the job `crashing` crashes at its start.
struct FakeUpstream {
    crashed_at_ms: Option<u64>,
    ended: Vec<Ended>,
    incarnation: u64,
    running: Vec<(u64, RunId)>,
}

impl FakeUpstream {
    fn start(&mut self, now_ms: u64, run: &RunId) -> StartReply {
        if self.crashed_at_ms.is_some() {
            return StartReply::NotSent;
        }
        if run.task.starts_with("crashing") {
            self.crashed_at_ms = Some(now_ms);
            return StartReply::Lost;
        }
        self.running.push((now_ms, run.clone()));
        StartReply::Started { clock_ms: now_ms }
    }

    fn hold(&mut self, now_ms: u64, hold: &Hold) -> HoldReply {
        if self.crashed_at_ms.is_some() {
            return HoldReply::Lost;
        }
        let is_over = |started_at_ms: u64| now_ms >= started_at_ms + RUN_TIME_MS;
        let (over, running): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|(at, _)| is_over(*at));
        self.running = running;
        for (_, run) in over {
            let number = self.ended.last().map_or(hold.last_end, |end| end.number) + 1;
            self.ended.push(Ended { how: EndKind::Done, number, run });
        }
        self.ended.retain(|end| end.number > hold.last_end);
        let running = self.running.iter();
        HoldReply::Listed(Listing {
            clock_ms: now_ms,
            ended: self.ended.clone(),
            incarnation: Some(self.incarnation),
            running: running.map(|(_, run)| RunProgress { done_percent: 50, run: run.clone() }).collect(),
        })
    }

    fn restart_if_due(&mut self, now_ms: u64) -> bool {
        let due = self.crashed_at_ms.is_some_and(|at| now_ms >= at + DOWN_TIME_MS);
        if due {
            let incarnation = self.incarnation + 1;
            *self = Self { crashed_at_ms: None, ended: Vec::new(), incarnation, running: Vec::new() };
        }
        due
    }
}

/// Two entries with links to each other, and their upstreams. Messages and calls take one step.
struct Cluster {
    answers: Vec<Answer>,
    entries: Vec<Engine>,
    inputs: VecDeque<(usize, Input)>,
    linked: bool,
    now: Instant,
    now_ms: u64,
    starts: BTreeMap<String, usize>,
    submissions: u64,
    upstreams: Vec<FakeUpstream>,
}

impl Cluster {
    fn new() -> Self {
        let now = Instant::now();
        let upstream =
            |_| FakeUpstream { crashed_at_ms: None, ended: Vec::new(), incarnation: 1, running: Vec::new() };
        let mut cluster = Self {
            answers: Vec::new(),
            entries: (1..=2).map(|number| engine(now, hello(number), number)).collect(),
            inputs: VecDeque::new(),
            linked: false,
            now,
            now_ms: 1_000,
            starts: BTreeMap::new(),
            submissions: 0,
            upstreams: (0..UPSTREAMS).map(upstream).collect(),
        };
        for engine in &mut cluster.entries {
            engine.handle(now, Input::Entries(vec![entry(1), entry(2)]));
        }
        cluster.link();
        cluster.register_upstreams();
        cluster.run_for(1_000);
        cluster
    }

    fn link(&mut self) {
        self.linked = true;
        self.inputs.push_back((0, Input::Mesh(MeshEvent::Up(hello(2)))));
        self.inputs.push_back((1, Input::Mesh(MeshEvent::Up(hello(1)))));
    }

    fn unlink(&mut self) {
        self.linked = false;
        for (position, peer) in [(0, 2), (1, 1)] {
            let since = self.now;
            let down = MeshEvent::Down { error: "test".into(), peer, sent_after: since, silent: true, since };
            self.inputs.push_back((position, Input::Mesh(down)));
        }
    }

    fn register_upstreams(&mut self) {
        let record = |(number, upstream): (usize, &FakeUpstream)| UpstreamRecord {
            address: "10.0.0.1:80".into(),
            capacity: Resources { cpu_millis: 16_000, gpus: 0, memory_mb: 32_768 },
            cold_left_ms: 0,
            data_centre: "dc1".into(),
            draining: false,
            id: format!("up-{number}").into(),
            incarnation: Some(upstream.incarnation),
            rack: "r1".into(),
            sequence: upstream.incarnation,
            service: SERVICE.into(),
        };
        let records: Vec<_> = self.upstreams.iter().enumerate().map(record).collect();
        for position in 0..self.entries.len() {
            self.inputs.push_back((position, Input::Upstreams(records.clone())));
        }
    }

    fn submit(&mut self, position: usize, request: JobRequest) {
        self.submissions += 1;
        let input = Input::Submit { request: Box::new(request), submission: self.submissions };
        self.inputs.push_back((position, input));
    }

    fn run_for(&mut self, time_ms: u64) {
        for _ in 0..time_ms / STEP_MS {
            self.now += ms(STEP_MS);
            self.now_ms += STEP_MS;
            let now_ms = self.now_ms;
            let restarted =
                self.upstreams.iter_mut().filter_map(|up| up.restart_if_due(now_ms).then_some(()));
            if restarted.count() > 0 {
                self.register_upstreams();
            }
            for (position, input) in std::mem::take(&mut self.inputs) {
                self.entries[position].handle(self.now, input);
            }
            for position in 0..self.entries.len() {
                self.entries[position].handle(self.now, Input::Tick);
                self.entries[position].flush(self.now);
                let outputs: Vec<_> = self.entries[position].drain_outputs().collect();
                for output in outputs {
                    self.execute(position, output);
                }
            }
        }
    }

    fn execute(&mut self, position: usize, output: Output) {
        match output {
            Output::Answer { answer, .. } => self.answers.push(answer),
            Output::Hold(hold) => {
                let now_ms = self.now_ms;
                let reply = self.upstream(&hold.upstream).hold(now_ms, &hold);
                self.inputs.push_back((position, Input::HoldEnded { hold, reply }));
            }
            Output::Send { message, peer } => self.send(position, peer, message),
            Output::Start(start) => {
                let reply = self.start(&start);
                self.inputs.push_back((position, Input::StartEnded { reply, start }));
            }
            _ => {}
        }
    }

    fn start(&mut self, start: &StartOrder) -> StartReply {
        let now_ms = self.now_ms;
        let reply = self.upstream(&start.upstream).start(now_ms, &start.run);
        if reply != StartReply::NotSent {
            *self.starts.entry(start.run.task.to_string()).or_default() += 1;
        }
        reply
    }

    fn send(&mut self, from: usize, peer: u64, message: Message) {
        if self.linked {
            let to = usize::try_from(peer).unwrap() - 1;
            let peer = u64::try_from(from).unwrap() + 1;
            let received = MeshEvent::Received { message, peer, sent_after: self.now };
            self.inputs.push_back((to, Input::Mesh(received)));
        }
    }

    fn upstream(&mut self, id: &str) -> &mut FakeUpstream {
        let number: usize = id.strip_prefix("up-").and_then(|number| number.parse().ok()).expect("an id");
        &mut self.upstreams[number]
    }

    fn starts_of(&self, task: &str) -> usize {
        self.starts.get(task).copied().unwrap_or_default()
    }
}

/// Guards against a task that crashes upstream after upstream while its caller waits.
#[test]
fn a_crashing_task_is_given_up_within_a_submission() {
    let mut cluster = Cluster::new();
    cluster.submit(0, job("crashing", 1, 20_000, 100));
    cluster.run_for(20_000);
    assert_eq!(cluster.starts_of("crashing.0.0.0"), 2);
    assert_eq!(cluster.answers, [Answer::Failed(FailCause::Crashes)]);
}

/// Guards against a task that crashes further upstreams with each submission of its job. The second loss is noticed after
/// the first submission was answered, so that only the owner of the upstream knows of it.
#[test]
fn a_crashing_task_is_not_started_by_resubmissions_at_other_entries() {
    let mut cluster = Cluster::new();
    for submission in 0..6 {
        cluster.submit(submission % 2, job("crashing", 1, 1_500, 100 + 10 * submission as u64));
        cluster.run_for(1_500 + RESUBMIT_MS);
    }
    assert_eq!(cluster.starts_of("crashing.0.0.0"), 2);
    assert_eq!(cluster.answers[0], Answer::Failed(FailCause::Late));
    assert_eq!(cluster.answers[1..], [Answer::Failed(FailCause::Crashes); 5]);
}

/// Guards against a new link after which a peer does not learn of earlier losses.
#[test]
fn an_entry_that_was_cut_off_learns_of_losses() {
    let mut cluster = Cluster::new();
    cluster.unlink();
    cluster.submit(0, job("crashing", 1, 20_000, 100));
    cluster.run_for(20_000);
    let starts = cluster.starts_of("crashing.0.0.0");
    cluster.link();
    cluster.run_for(200);
    cluster.submit(1, job("crashing", 1, 20_000, 200));
    cluster.run_for(10_000);
    assert_eq!(cluster.starts_of("crashing.0.0.0"), starts);
    assert_eq!(cluster.answers, [Answer::Failed(FailCause::Crashes); 2]);
}

/// Guards against jobs that fail because their tasks ran beside crashing ones.
#[test]
fn jobs_beside_crashing_ones_complete() {
    let mut cluster = Cluster::new();
    for number in 0..20 {
        cluster.submit(number % 2, job(&format!("sound-{number}"), 2, 20_000, 100));
        if number % 4 == 0 {
            cluster.submit(number % 2, job(&format!("crashing-{number}"), 1, 20_000, 100));
        }
        cluster.run_for(400);
    }
    cluster.run_for(20_000);
    let given_up =
        cluster.answers.iter().filter(|answer| **answer == Answer::Failed(FailCause::Crashes)).count();
    let completed = cluster.answers.iter().filter(|answer| **answer == Answer::Completed).count();
    assert_eq!((given_up, completed), (5, 20), "{:?}", cluster.answers);
    assert!(cluster.starts.iter().all(|(_, starts)| *starts <= 3), "{:?}", cluster.starts);
}
