//! Assignments that reach their owner although their home has given them up.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::time::Duration;

use hinge_jobs::{Answer, FailCause};
use hinge_mesh::{Hello, MeshEvent, Message};
use hinge_node::{Engine, Input, Output};
use hinge_runs::{EndKind, Ended, Hold, HoldReply, Listing, RunId, RunProgress, StartReply, StopOrder};
use support::{engine, hello, request, upstream};
use tokio::time::Instant;

const HOME: u64 = 1;
const OWNER: u64 = 2;
/// Expected run time of the tasks; longer than a test takes.
const EXPECTED: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(20);
/// Longer than any time that a home waits before it answers.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// Time without a message after which a link is down.
const SILENCE_LIMIT: Duration = Duration::from_millis(500);

/// The home is in another data centre, so that the owner keeps the upstream.
fn home_hello() -> Hello {
    Hello { data_centre: "dc2".into(), ..hello(HOME) }
}

/// A home without upstreams, linked to an owner whose upstream answers at once and runs tasks until they are stopped.
struct Pair {
    answers: Vec<Answer>,
    ended: Vec<Ended>,
    home: Engine,
    now: Instant,
    owner: Engine,
    running: Vec<RunId>,
    started_at: Instant,
}

impl Pair {
    fn new() -> Self {
        let now = Instant::now();
        let mut pair = Self {
            answers: Vec::new(),
            ended: Vec::new(),
            home: engine(now, home_hello(), HOME),
            now,
            owner: engine(now, hello(OWNER), OWNER),
            running: Vec::new(),
            started_at: now,
        };
        pair.owner.handle(now, Input::Upstreams(vec![upstream()]));
        pair.home.handle(now, Input::Mesh(MeshEvent::Up(hello(OWNER))));
        pair.owner.handle(now, Input::Mesh(MeshEvent::Up(home_hello())));
        for _ in 0..10 {
            pair.step();
        }
        pair
    }

    /// Submits a job; returns the messages that the home then sends to the owner.
    fn submit(&mut self, tasks: u32) -> Vec<Message> {
        self.home
            .handle(self.now, Input::Submit { request: Box::new(request(EXPECTED, tasks)), submission: 1 });
        let messages = self.flush_home();
        assert!(messages.iter().any(|message| matches!(message, Message::Assign(_))), "{messages:?}");
        messages
    }

    fn flush_home(&mut self) -> Vec<Message> {
        self.home.flush(self.now);
        let mut messages = Vec::new();
        for output in self.home.drain_outputs() {
            match output {
                Output::Answer { answer, .. } => self.answers.push(answer),
                Output::Send { message, .. } => messages.push(message),
                _ => {}
            }
        }
        messages
    }

    /// Executes the owner's outputs; returns its messages to the home.
    fn flush_owner(&mut self) -> Vec<Message> {
        self.owner.flush(self.now);
        let mut messages = Vec::new();
        let outputs: Vec<_> = self.owner.drain_outputs().collect();
        for output in outputs {
            match output {
                Output::Hold(hold) => {
                    let reply = self.listing(&hold);
                    self.owner.handle(self.now, Input::HoldEnded { hold, reply });
                }
                Output::Send { message, .. } => messages.push(message),
                Output::Start(start) => {
                    self.running.push(start.run.clone());
                    let reply = StartReply::Started { clock_ms: self.clock_ms() };
                    self.owner.handle(self.now, Input::StartEnded { reply, start });
                }
                Output::Stop(stop) => self.stop(&stop),
                _ => {}
            }
        }
        messages
    }

    fn clock_ms(&self) -> u64 {
        hinge_runs::whole_ms(self.now.duration_since(self.started_at))
    }

    fn listing(&self, hold: &Hold) -> HoldReply {
        let running = self.running.iter().map(|run| RunProgress { done_percent: 50, run: run.clone() });
        HoldReply::Listed(Listing {
            clock_ms: self.clock_ms(),
            ended: self.ended.iter().filter(|end| end.number > hold.last_end).cloned().collect(),
            incarnation: None,
            running: running.collect(),
        })
    }

    fn stop(&mut self, stop: &StopOrder) {
        let Some(position) = self.running.iter().position(|run| *run == stop.run) else { return };
        let run = self.running.remove(position);
        let number = self.ended.last().map_or(1, |end| end.number + 1);
        self.ended.push(Ended { how: EndKind::Interrupted, number, run });
    }

    fn deliver(engine: &mut Engine, now: Instant, from: u64, messages: Vec<Message>) {
        for message in messages {
            engine.handle(now, Input::Mesh(MeshEvent::Received { message, peer: from, sent_after: now }));
        }
    }

    fn step_owner(&mut self) {
        self.owner.handle(self.now, Input::Tick);
        let messages = self.flush_owner();
        Self::deliver(&mut self.home, self.now, OWNER, messages);
    }

    fn step(&mut self) {
        self.now += STEP;
        self.step_owner();
        self.home.handle(self.now, Input::Tick);
        let messages = self.flush_home();
        Self::deliver(&mut self.owner, self.now, HOME, messages);
    }

    fn lose_owner(&mut self) {
        let since = self.now;
        let error = "no message in time".into();
        let down = MeshEvent::Down { error, peer: OWNER, sent_after: since, silent: true, since };
        self.home.handle(self.now, Input::Mesh(down));
    }
}

/// Guards against a task that runs on after the answer of its job: the mesh carries an assignment over a new link that the
/// home has not noticed yet, and the home then takes the assignment for lost with the link before.
#[test]
fn an_assignment_on_a_new_link_that_its_home_has_not_noticed_does_not_outlive_the_answer() {
    let mut pair = Pair::new();
    let assignment = pair.submit(1);
    pair.owner.handle(pair.now, Input::Mesh(MeshEvent::Up(home_hello())));
    Pair::deliver(&mut pair.owner, pair.now, HOME, assignment);
    pair.home.handle(pair.now, Input::Mesh(MeshEvent::Up(hello(OWNER))));
    let deadline = pair.now + LONGEST_WAIT;
    while pair.answers.is_empty() && pair.now < deadline {
        pair.step();
    }
    assert_eq!(pair.answers, [Answer::Failed(FailCause::Interrupted)]);
    assert!(pair.running.is_empty(), "runs after the answer: {:?}", pair.running);
}

/// Guards against a task that a frozen owner starts when it wakes, from an assignment that arrived at the freeze: meanwhile
/// its home has lost the link and answered the job.
#[test]
fn an_assignment_that_waited_for_a_frozen_owner_is_not_started() {
    let mut pair = Pair::new();
    let frozen_at = pair.now;
    // Two tasks fit on the upstream, and the third one waits at its owner.
    let unread = pair.submit(3);
    pair.now += SILENCE_LIMIT;
    pair.lose_owner();
    while pair.answers.is_empty() && pair.now < frozen_at + LONGEST_WAIT {
        pair.now += STEP;
        pair.home.handle(pair.now, Input::Tick);
        pair.flush_home();
    }
    assert_eq!(pair.answers, [Answer::Failed(FailCause::Interrupted)]);
    pair.owner.handle(pair.now, Input::Suspended(pair.now.duration_since(frozen_at)));
    Pair::deliver(&mut pair.owner, pair.now, HOME, unread);
    // The loss of the link is noticed only after the messages that were read before it.
    for _ in 0..3 {
        pair.step_owner();
    }
    assert!(pair.running.is_empty(), "runs after the answer: {:?}", pair.running);
}
