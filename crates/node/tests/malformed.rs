//! Inputs from other processes whose values make no sense: peers, upstreams, callers and the operator.
//!
//! Each input is well formed, so that its decoder accepts it, but its numbers are as large or as contradictory as their
//! types allow. `PROPTEST_CASES` sets the number of cases.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use hinge_jobs::{JobRequest, QueuePolicy};
use hinge_mesh::{Evacuation, MeshEvent, Message, OwnedUpstream, ServiceLoad, Status};
use hinge_node::{Engine, Input, Output};
use hinge_runs::{
    Assignment, EndKind, Ended, Fence, Hold, HoldReply, Listing, Load, LostRun, Outcome, Rejection,
    Resources, RunId, RunProgress, StartOrder, StartReply, TaskReport, UpstreamRecord,
};
use hinge_wire::{DataCentreId, UpstreamId};
use proptest::collection::vec;
use proptest::prelude::*;
use support::{engine, hello};
use tokio::time::Instant;

const SERVICE: &str = "deicing";
const PEER: u64 = 2;

/// Small numbers, which can refer to something that exists, and extreme ones.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0..6u64, 1 => 0..50_000u64, 1 => Just(u64::MAX), 1 => Just(u64::MAX - 1), 1 => any::<u64>()]
}

fn small_number() -> impl Strategy<Value = u32> {
    prop_oneof![4 => 0..6u32, 1 => Just(u32::MAX), 1 => any::<u32>()]
}

fn factor() -> impl Strategy<Value = f64> {
    prop_oneof![3 => 0.0..5.0f64, 1 => Just(f64::MAX), 1 => Just(-1.0), 1 => Just(1e18)]
}

fn resources() -> impl Strategy<Value = Resources> {
    (number(), number(), number()).prop_map(|(cpu_millis, gpus, memory_mb)| Resources {
        cpu_millis,
        gpus,
        memory_mb,
    })
}

fn task() -> impl Strategy<Value = String> {
    (0..3u32, 0..3u32).prop_map(|(job, task)| format!("job-{job}.0.0.{task}"))
}

fn run() -> impl Strategy<Value = RunId> {
    (task(), number()).prop_map(|(task, run)| RunId { task: task.into(), run })
}

fn assignment() -> impl Strategy<Value = Assignment> {
    (task(), resources(), (number(), number(), number(), number()), any::<(bool, bool)>(), small_number())
        .prop_map(|(task, need, (id, expected_ms, run, start_within_ms), (late, waits), priority)| {
            Assignment {
                avoid: None,
                expected_ms,
                id,
                late,
                need,
                priority,
                run,
                service: SERVICE.into(),
                spec: "spec".into(),
                start_within_ms,
                task: task.into(),
                waits,
                kind: late.then(|| "queue".into()),
            }
        })
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Started),
        Just(Outcome::Done),
        Just(Outcome::Failed),
        Just(Outcome::NotStarted),
        Just(Outcome::Interrupted),
        Just(Outcome::Uncertain),
    ]
}

fn report() -> impl Strategy<Value = TaskReport> {
    (number(), outcome(), number(), number()).prop_map(|(assignment, outcome, run, run_time_ms)| TaskReport {
        run_time_ms,
        ..TaskReport::new(assignment, outcome, run)
    })
}

fn upstream_id() -> impl Strategy<Value = UpstreamId> {
    prop_oneof![
        4 => (0..3u32).prop_map(|number| format!("up-{number}").into()),
        1 => Just("".into()),
        1 => Just("u".repeat(100_000).into()),
    ]
}

fn lost_run() -> impl Strategy<Value = LostRun> {
    (any::<bool>(), run(), upstream_id()).prop_map(|(alone, run, upstream)| LostRun { alone, run, upstream })
}

fn data_centre() -> impl Strategy<Value = DataCentreId> {
    prop_oneof![
        4 => (1..3u32).prop_map(|number| format!("dc{number}").into()),
        1 => Just("".into()),
        1 => Just("dc/1".into()),
        1 => Just("d".repeat(100_000).into()),
    ]
}

fn evacuations() -> impl Strategy<Value = Option<Vec<Evacuation>>> {
    let state = (data_centre(), any::<bool>(), number())
        .prop_map(|(data_centre, evacuated, revision)| Evacuation { data_centre, evacuated, revision });
    proptest::option::of(vec(state, 0..4))
}

fn status() -> impl Strategy<Value = Status> {
    let load = (number(), [small_number(), small_number(), small_number(), small_number()]);
    let rest = (number(), any::<bool>(), vec(lost_run(), 0..4), evacuations());
    (load, vec(number(), 0..4), small_number(), number(), rest).prop_map(
        |(
            (mean_run_ms, queued),
            rooms_cpu_millis,
            slots,
            config_version,
            (last_assignment, draining, lost_runs, evacuations),
        )| {
            let load = Load { mean_run_ms, queued, rooms_cpu_millis, slots };
            let loads = vec![ServiceLoad { load, service: SERVICE.into() }];
            Status { config_version, draining, last_assignment, loads, lost_runs, evacuations }
        },
    )
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        3 => vec(assignment(), 0..4).prop_map(Message::Assign),
        1 => vec(number(), 0..4).prop_map(Message::Cancel),
        1 => vec(number(), 0..4).prop_map(Message::Recall),
        3 => vec(report(), 0..4).prop_map(Message::Report),
        3 => status().prop_map(Message::Status),
        1 => number().prop_map(|version| Message::Config { body: "{".into(), version }),
        1 => (number(), 0..3u32).prop_map(|(fence, number)| {
            Message::Owned(vec![OwnedUpstream { fence: Fence::from(fence), upstream: format!("up-{number}").into() }])
        }),
        1 => number().prop_map(Message::Acknowledge),
        1 => Just(Message::ConfigRequest),
    ]
}

fn listing() -> impl Strategy<Value = Listing> {
    let how = prop_oneof![Just(EndKind::Done), Just(EndKind::Failed), Just(EndKind::Interrupted)];
    let ended = vec((how, number(), run()).prop_map(|(how, number, run)| Ended { how, number, run }), 0..4);
    let running =
        vec((small_number(), run()).prop_map(|(done_percent, run)| RunProgress { done_percent, run }), 0..4);
    (number(), ended, proptest::option::of(number()), running)
        .prop_map(|(clock_ms, ended, incarnation, running)| Listing { clock_ms, ended, incarnation, running })
}

fn rejection() -> impl Strategy<Value = Rejection> {
    prop_oneof![
        Just(Rejection::Fenced),
        Just(Rejection::Invalid),
        Just(Rejection::Late),
        Just(Rejection::NoRoom),
        Just(Rejection::OldRun),
        Just(Rejection::Unhealthy),
        Just(Rejection::WrongIncarnation),
    ]
}

fn hold_reply() -> impl Strategy<Value = HoldReply> {
    prop_oneof![
        6 => listing().prop_map(HoldReply::Listed),
        1 => Just(HoldReply::Lost),
        1 => rejection().prop_map(HoldReply::Rejected),
    ]
}

fn start_reply() -> impl Strategy<Value = StartReply> {
    prop_oneof![
        3 => number().prop_map(|clock_ms| StartReply::Started { clock_ms }),
        2 => (proptest::option::of(number()), rejection())
            .prop_map(|(clock_ms, reason)| StartReply::Rejected { clock_ms, reason }),
        1 => Just(StartReply::Lost),
    ]
}

fn request() -> impl Strategy<Value = JobRequest> {
    (resources(), (number(), number(), number(), number(), number()), factor(), 0..4u32, small_number())
        .prop_map(|(need, (budget, estimate, run, target, timeout), stretch, tasks, priority)| JobRequest {
            budget: Duration::from_millis(budget),
            estimate: Duration::from_millis(estimate),
            id: "job-0".into(),
            need,
            queue: QueuePolicy {
                max_attempts: priority,
                name: "queue".into(),
                priority,
                service: SERVICE.into(),
                stretch,
                target: Duration::from_millis(target),
                timeout: Duration::from_millis(timeout),
            },
            run,
            spec: "spec".into(),
            task_prefix: "job-0.0.0".into(),
            tasks,
        })
}

fn upstreams() -> impl Strategy<Value = Vec<UpstreamRecord>> {
    let record = (resources(), proptest::option::of(number()), number(), any::<bool>());
    vec(record, 0..4).prop_map(|records| {
        let records = records.into_iter().enumerate();
        let record = |(number, (capacity, incarnation, sequence, draining))| UpstreamRecord {
            address: "10.0.0.1:80".into(),
            capacity,
            cold_left_ms: 0,
            data_centre: "dc1".into(),
            draining,
            id: format!("up-{number}").into(),
            incarnation,
            rack: "r1".into(),
            sequence,
            service: SERVICE.into(),
        };
        records.map(record).collect()
    })
}

#[derive(Clone, Debug)]
enum Step {
    Evacuations(Vec<(DataCentreId, u64)>, u64),
    HoldEnded(HoldReply),
    Message(Message),
    ObeyEvacuations,
    StartEnded(StartReply),
    Submit(JobRequest),
    Upstreams(Vec<UpstreamRecord>),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (vec((data_centre(), number()), 0..4), number())
            .prop_map(|(keys, revision)| Step::Evacuations(keys, revision)),
        1 => Just(Step::ObeyEvacuations),
        4 => hold_reply().prop_map(Step::HoldEnded),
        4 => message().prop_map(Step::Message),
        2 => start_reply().prop_map(Step::StartEnded),
        3 => request().prop_map(Step::Submit),
        1 => upstreams().prop_map(Step::Upstreams),
        2 => (0..2_000u64).prop_map(Step::Wait),
    ]
}

/// An engine whose calls to upstreams are answered by the steps.
struct Entry {
    engine: Engine,
    holds: VecDeque<Hold>,
    now: Instant,
    starts: VecDeque<StartOrder>,
    submissions: u64,
}

impl Entry {
    fn new() -> Self {
        let now = Instant::now();
        let engine = engine(now, hello(1), 1);
        let mut entry = Self { engine, holds: VecDeque::new(), now, starts: VecDeque::new(), submissions: 0 };
        entry.input(Input::Entries(Vec::new()));
        entry.input(Input::Mesh(MeshEvent::Up(hello(PEER))));
        entry
    }

    fn input(&mut self, input: Input) {
        self.engine.handle(self.now, input);
        self.engine.flush(self.now);
        for output in self.engine.drain_outputs() {
            match output {
                Output::Hold(hold) => self.holds.push_back(hold),
                Output::Start(start) => self.starts.push_back(start),
                _ => {}
            }
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Evacuations(keys, revision) => self.input(Input::Evacuations { keys, revision }),
            Step::HoldEnded(reply) => {
                if let Some(hold) = self.holds.pop_front() {
                    self.input(Input::HoldEnded { hold, reply });
                }
            }
            Step::Message(message) => {
                self.input(Input::Mesh(MeshEvent::Received { message, peer: PEER, sent_after: self.now }))
            }
            Step::ObeyEvacuations => self.input(Input::ObeyEvacuations),
            Step::StartEnded(reply) => {
                if let Some(start) = self.starts.pop_front() {
                    self.input(Input::StartEnded { reply, start });
                }
            }
            Step::Submit(request) => {
                self.submissions += 1;
                self.input(Input::Submit { request: Box::new(request), submission: self.submissions });
            }
            Step::Upstreams(records) => self.input(Input::Upstreams(records)),
            Step::Wait(time_ms) => {
                self.now += Duration::from_millis(time_ms);
                self.input(Input::Tick);
            }
        }
    }
}

proptest! {
    /// Guards against a message that ends the whole process: arithmetic that overflows, and indices and durations
    /// without a bound.
    #[test]
    fn no_input_makes_the_engine_panic(records in upstreams(), steps in vec(step(), 1..60)) {
        let mut entry = Entry::new();
        entry.step(Step::Upstreams(records));
        for step in steps {
            entry.step(step);
        }
    }
}
