//! Replays traces of events and checks the outcomes that they list.
//!
//! A trace has one JSON line per event. Submissions and upstreams have numbers; starts are numbered by the dispatcher
//! from 1. A line whose `do` begins with `expect_` is an expected outcome.

#![allow(clippy::unwrap_used, clippy::panic, reason = "tests")]

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use hinge_conf::Policy;
use hinge_dispatch::{Action, Dispatcher, Event, Origin, Refusal, TaskResult};
use hinge_wire::{
    Answer, Class, InstanceKind, ListEntry, ListState, ResultCode, StartId, Submission, SubmissionKey,
    TaskSpec,
};
use serde::Deserialize;
use tokio::time::Instant;

/// One line of a trace.
#[derive(Deserialize)]
struct Line {
    at_ms: u64,
    #[serde(flatten)]
    step: Step,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
enum Step {
    Cancel {
        submission: usize,
    },
    Drain {},
    ExpectAnswer {
        code: String,
        results: Vec<String>,
        submission: usize,
    },
    ExpectDrained {},
    ExpectNothing {},
    ExpectRejected {
        code: String,
    },
    ExpectStart {
        start: StartId,
        task: u32,
        upstream: String,
    },
    ExpectStatus {
        code: String,
        submission: usize,
    },
    ExpectStop {
        start: StartId,
    },
    Leaders {
        leaders: Vec<String>,
    },
    List {
        slots: Vec<u32>,
        #[serde(default)]
        leaving: Vec<usize>,
    },
    Restart {
        incarnation: u64,
    },
    Submit {
        #[serde(default)]
        idempotent: bool,
        submission: usize,
        tasks: usize,
    },
    TaskEnded {
        end: String,
        start: StartId,
    },
    Tick {},
}

struct Replay {
    actions: Vec<Action>,
    dispatcher: Dispatcher,
    keys: Vec<SubmissionKey>,
    now: Instant,
    rejection: Option<ResultCode>,
}

fn dispatcher(incarnation: u64) -> Dispatcher {
    let origin = Origin { data_centre: "dc1".into(), incarnation, instance: "entry-0".into() };
    Dispatcher::new(origin, &Policy::default(), 1)
}

impl Replay {
    fn new(now: Instant) -> Self {
        let mut dispatcher = dispatcher(1);
        let keys = dispatcher.issue_keys(now, 10).unwrap();
        Self { actions: Vec::new(), dispatcher, keys, now, rejection: None }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Cancel { submission } => {
                let sequence = self.keys[submission].sequence;
                self.dispatcher.cancel(self.now, sequence);
            }
            Step::Drain {} => self.handle(Event::Drain),
            Step::Leaders { leaders } => self.handle(Event::Peers {
                leaders: leaders.iter().map(|leader| leader.as_str().into()).collect(),
                lenders: Vec::new(),
                listed_entries: 2,
            }),
            Step::List { slots, leaving } => {
                let entries =
                    slots.iter().enumerate().map(|(index, slots)| upstream(index, *slots, &leaving));
                self.handle(Event::Upstreams(entries.collect()));
            }
            Step::Restart { incarnation } => self.dispatcher = dispatcher(incarnation),
            Step::Submit { idempotent, submission, tasks } => {
                let body = Arc::new(body(idempotent, submission, tasks));
                self.rejection = self.dispatcher.submit(self.now, &self.keys[submission], body).err();
            }
            Step::TaskEnded { end, start } => {
                let run_time = Duration::from_millis(100);
                self.handle(Event::TaskEnded { result: task_result(&end, start), run_time, start });
            }
            Step::Tick {} => self.handle(Event::Tick),
            expectation => return self.expect(&expectation),
        }
        // Traces do not list health and load shedding changes.
        let is_outcome = |action: &Action| !matches!(action, Action::Health(_) | Action::Shedding(_));
        self.actions.extend(self.dispatcher.drain_actions().filter(is_outcome));
    }

    fn handle(&mut self, event: Event) {
        self.dispatcher.handle(self.now, event);
    }

    /// Checks an expected outcome. Actions are expected in order, each one once.
    fn expect(&mut self, step: &Step) {
        match step {
            Step::ExpectNothing {} => assert!(self.actions.is_empty(), "{:?}", self.actions),
            Step::ExpectRejected { code } => assert_eq!(self.rejection.take().unwrap().name(), code),
            Step::ExpectStatus { code, submission } => {
                let status = self.dispatcher.status(self.now, &self.keys[*submission]).unwrap();
                assert_eq!(code_name(&status.answer.unwrap()), code);
            }
            _ => {
                assert!(!self.actions.is_empty(), "{step:?}: no action");
                let action = self.actions.remove(0);
                assert!(self.is_expected(step, &action), "{step:?}: {action:?}");
            }
        }
    }

    fn is_expected(&self, step: &Step, action: &Action) -> bool {
        match (step, action) {
            (Step::ExpectAnswer { code, results, submission }, Action::Answer { answer, sequence, .. }) => {
                code_name(answer) == code
                    && answer.results == *results
                    && *sequence == self.keys[*submission].sequence
            }
            (Step::ExpectDrained {}, Action::Drained) => true,
            (Step::ExpectStart { start, task, upstream }, Action::Start(started)) => {
                (started.start, started.task.index, &*started.upstream) == (*start, *task, upstream)
            }
            (Step::ExpectStop { start }, Action::Stop { start: stopped, .. }) => start == stopped,
            _ => false,
        }
    }
}

fn code_name(answer: &Answer) -> &'static str {
    ResultCode::from_number(answer.code).unwrap().name()
}

fn task_result(end: &str, start: StartId) -> TaskResult {
    match end {
        "busy" => TaskResult::Refused(Refusal::Busy),
        "done" => TaskResult::Done(format!("result {start}")),
        "failed" => TaskResult::Failed("failed".to_owned()),
        "leaving" => TaskResult::Refused(Refusal::Leaving),
        "lost" => TaskResult::Lost,
        "not_sent" => TaskResult::NotSent,
        "timed_out" => TaskResult::TimedOut,
        _ => panic!("unknown end {end}"),
    }
}

fn body(idempotent: bool, submission: usize, tasks: usize) -> Submission {
    let task =
        |task| TaskSpec { memory_mb: None, payload: format!("{submission}.{task}"), run_time_ms: None };
    Submission {
        class: Class::Urgent,
        deadline_ms: Some(2000),
        definite: false,
        idempotent,
        key: None,
        service: "deicing".to_owned(),
        tasks: (0..tasks).map(task).collect(),
        team: "apron-a".to_owned(),
        wait_ms: None,
    }
}

fn upstream(index: usize, slots: u32, leaving: &[usize]) -> ListEntry {
    ListEntry {
        address: format!("127.0.0.1:{}", 9000 + index),
        data_centre: "dc1".to_owned(),
        id: format!("up-{index}"),
        kind: InstanceKind::Upstream,
        memory_mb: 32_000,
        peer_address: String::new(),
        rack: format!("rack-{index}"),
        service: "deicing".to_owned(),
        slots,
        state: if leaving.contains(&index) { ListState::Leaving } else { ListState::Live },
    }
}

fn replay(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces").join(name);
    let text = std::fs::read_to_string(path).unwrap();
    let base = Instant::now();
    let mut replay = Replay::new(base);
    for (number, line) in text.lines().enumerate() {
        let line: Line =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("{name}:{}: {error}", number + 1));
        println!("{name}:{} {:?}", number + 1, line.step);
        replay.now = base + Duration::from_millis(line.at_ms);
        replay.step(line.step);
    }
    assert!(replay.actions.is_empty(), "{name}: not expected: {:?}", replay.actions);
}

/// Guards against a second start or a missing answer when a resubmission arrives while the task completes.
#[test]
fn resubmission_crosses_completion() {
    replay("resubmission_crosses_completion.jsonl");
}

/// Guards against a refused task that fails the request or counts as started.
#[test]
fn refused_then_placed_again() {
    replay("refused_then_placed_again.jsonl");
}

/// Guards against a request that fails because its upstream is still busy with tasks of the previous leader.
#[test]
fn busy_after_leader_change() {
    replay("busy_after_leader_change.jsonl");
}

/// Guards against the start of a task that was cancelled while it was queued again after a refusal.
#[test]
fn cancelled_between_refusal_and_restart() {
    replay("cancelled_between_refusal_and_restart.jsonl");
}

/// Guards against a late response that changes the answer after a timeout.
#[test]
fn late_answer_after_timeout() {
    replay("late_answer_after_timeout.jsonl");
}

/// Guards against a restarted entry that starts tasks owned by the former process of its instance id.
#[test]
fn killed_and_restarted_under_the_same_id() {
    replay("killed_and_restarted_under_the_same_id.jsonl");
}

/// Guards against partial answers of a job, and against starts after its failure.
#[test]
fn job_fails_as_a_whole() {
    replay("job_fails_as_a_whole.jsonl");
}

/// Guards against a drain that is reported as finished while a stopped task is still running.
#[test]
fn drain_waits_for_what_runs() {
    replay("drain_waits_for_what_runs.jsonl");
}

/// Guards against another start on an upstream whose "leaving" refusal concerned a cancelled task.
#[test]
fn leaving_learned_from_a_cancelled_task() {
    replay("leaving_learned_from_a_cancelled_task.jsonl");
}
