//! An entry that is suspended: what waited in it, or is handled first when it resumes, starts nothing.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

mod support;

use std::time::Duration;

use hinge_jobs::{Answer, RejectCause};
use hinge_mesh::{Hello, MeshEvent, Message};
use hinge_node::{Engine, Input, Output};
use hinge_runs::{Assignment, Hold, HoldReply, Listing, StartOrder, StartReply};
use support::{engine, hello, request, upstream};
use tokio::time::Instant;

const PEER: u64 = 1;
const OWN: u64 = 2;
const TICK: Duration = Duration::from_millis(20);
/// Pause of an upstream that could not be reached once.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(250);
/// Longer than the pause of an upstream.
const SUSPENDED: Duration = Duration::from_millis(1_800);
/// Time after the start of the process in which jobs wait for the first upstreams.
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// The peer is in another data centre, so that the entry keeps the upstream.
fn peer_hello() -> Hello {
    Hello { data_centre: "dc2".into(), ..hello(PEER) }
}

/// An entry with one upstream and one linked peer.
struct Entry {
    answers: Vec<Answer>,
    engine: Engine,
    holds: Vec<Hold>,
    now: Instant,
    starts: Vec<StartOrder>,
    submissions: u64,
}

impl Entry {
    fn new() -> Self {
        let now = Instant::now();
        let engine = engine(now, hello(OWN), OWN);
        let mut entry =
            Self { answers: Vec::new(), engine, holds: Vec::new(), now, starts: Vec::new(), submissions: 0 };
        entry.handle(Input::Upstreams(vec![upstream()]));
        entry.handle(Input::Mesh(MeshEvent::Up(peer_hello())));
        entry.flush();
        entry.list_runs();
        entry
    }

    fn handle(&mut self, input: Input) {
        self.engine.handle(self.now, input);
    }

    fn flush(&mut self) {
        self.engine.flush(self.now);
        for output in self.engine.drain_outputs() {
            match output {
                Output::Answer { answer, .. } => self.answers.push(answer),
                Output::Hold(hold) => self.holds.push(hold),
                Output::Start(start) => self.starts.push(start),
                _ => {}
            }
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.handle(Input::Tick);
        self.flush();
    }

    /// Answers the holds with a list without runs.
    fn list_runs(&mut self) {
        for hold in std::mem::take(&mut self.holds) {
            let reply = HoldReply::Listed(Listing { clock_ms: 1_000, ..Listing::default() });
            self.handle(Input::HoldEnded { hold, reply });
        }
        self.flush();
    }

    fn submit(&mut self) {
        self.submissions += 1;
        let request = Box::new(request(Duration::from_secs(4), 1));
        self.handle(Input::Submit { request, submission: self.submissions });
    }

    fn assign_from_peer(&mut self, id: u64) {
        let assignment = Assignment {
            avoid: None,
            id,
            need: request(TICK, 1).need,
            expected_ms: 4_000,
            late: false,
            priority: 0,
            run: 1,
            service: "deicing".into(),
            spec: "spec".into(),
            start_within_ms: 10_000,
            task: format!("peer.0.0.{id}").into(),
            waits: true,
            kind: None,
        };
        self.receive(Message::Assign(vec![assignment]));
    }

    fn receive(&mut self, message: Message) {
        self.handle(Input::Mesh(MeshEvent::Received { message, peer: PEER, sent_after: self.now }));
    }

    /// Fails the last start, after which its task waits, because the upstream is paused for a while.
    fn fail_start(&mut self) {
        let start = self.starts.pop().unwrap();
        self.handle(Input::StartEnded { reply: StartReply::NotSent, start });
        self.flush();
        assert!(self.starts.is_empty(), "the upstream is paused");
    }

    /// Lets the process stand still, and resume.
    fn suspend(&mut self) {
        self.now += SUSPENDED;
        self.handle(Input::Suspended(SUSPENDED));
    }
}

/// Guards against a task that runs beside its resubmission: it has waited for a paused upstream through the suspension, and
/// starts when the links are given up, before the upstream is.
#[test]
fn a_task_that_has_waited_through_a_suspension_is_not_started() {
    for from_peer in [false, true] {
        let mut entry = Entry::new();
        if from_peer {
            entry.assign_from_peer(1);
        } else {
            entry.submit();
        }
        entry.flush();
        entry.fail_start();
        entry.suspend();
        entry.flush();
        for _ in 0..10 {
            entry.tick();
            entry.list_runs();
        }
        assert!(entry.starts.is_empty(), "from the peer: {from_peer}, {:?}", entry.starts);
    }
}

/// Guards against a task that starts although it is cancelled: of two cancellations in one message the first one is handled when
/// the pause of the upstream is over, and the other task starts.
#[test]
fn no_task_starts_between_cancellations_of_one_message() {
    let mut entry = Entry::new();
    entry.assign_from_peer(1);
    entry.flush();
    entry.fail_start();
    entry.assign_from_peer(2);
    entry.now += UPSTREAM_PAUSE;
    entry.receive(Message::Cancel(vec![1, 2]));
    entry.flush();
    assert!(entry.starts.is_empty(), "{:?}", entry.starts);
}

/// Guards against an upstream that counts as taken over after a second suspension, by an answer to a hold of the first one.
#[test]
fn a_second_suspension_voids_the_takeovers_of_the_first() {
    let mut entry = Entry::new();
    entry.suspend();
    entry.flush();
    let late = std::mem::take(&mut entry.holds);
    entry.suspend();
    for hold in late {
        let reply = HoldReply::Listed(Listing { clock_ms: 1_000, ..Listing::default() });
        entry.handle(Input::HoldEnded { hold, reply });
    }
    entry.handle(Input::Mesh(MeshEvent::Up(peer_hello())));
    entry.assign_from_peer(1);
    entry.flush();
    assert!(entry.starts.is_empty(), "{:?}", entry.starts);
    entry.list_runs();
    assert_eq!(entry.starts.len(), 1, "after the second takeover tasks start again");
}

/// Guards against a job whose caller may have left long before: it was submitted just before a suspension that falls into
/// the time after the start of the process, in which jobs wait for the first upstreams.
#[test]
fn a_job_that_was_submitted_before_a_suspension_is_rejected() {
    let mut entry = Entry::new();
    assert!(SUSPENDED < STARTUP_TIME);
    entry.suspend();
    // Read from the queue of inputs, in which it has waited.
    entry.submit();
    entry.flush();
    entry.list_runs();
    assert!(entry.starts.is_empty(), "{:?}", entry.starts);
    assert!(matches!(entry.answers[..], [Answer::Rejected { cause: RejectCause::NoOwner, .. }]));
}
