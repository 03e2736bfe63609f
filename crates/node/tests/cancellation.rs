//! Cancellation of tasks that are on their way to another entry.

mod support;

use std::time::Duration;

use hinge_mesh::{MeshEvent, Message};
use hinge_node::{Engine, Input, Output};
use hinge_runs::{HoldReply, Listing, StartReply};
use support::{engine, hello, request, upstream};
use tokio::time::Instant;

const SUBMISSION: u64 = 1;

/// What an entry sent to the other entry and to its upstream.
#[derive(Default)]
struct Sent {
    messages: Vec<Message>,
    starts: usize,
    stops: usize,
}

/// Executes the entry's outputs.
fn process_outputs(engine: &mut Engine, now: Instant) -> Sent {
    let mut sent = Sent::default();
    for _ in 0..4 {
        engine.flush(now);
        let outputs: Vec<_> = engine.drain_outputs().collect();
        for output in outputs {
            match output {
                Output::Hold(hold) => {
                    let reply = HoldReply::Listed(Listing { clock_ms: 1, ..Listing::default() });
                    engine.handle(now, Input::HoldEnded { hold, reply });
                }
                Output::Send { message, .. } => sent.messages.push(message),
                Output::Start(start) => {
                    sent.starts += 1;
                    engine
                        .handle(now, Input::StartEnded { reply: StartReply::Started { clock_ms: 1 }, start });
                }
                Output::Stop(_) => sent.stops += 1,
                _ => {}
            }
        }
    }
    sent
}

fn receive(engine: &mut Engine, now: Instant, from: u64, messages: Vec<Message>) {
    for message in messages {
        engine.handle(now, Input::Mesh(MeshEvent::Received { message, peer: from, sent_after: now }));
    }
}

/// A home without upstreams and an owner with one, which know each other.
fn linked_pair(now: Instant) -> (Engine, Engine) {
    let (mut home, mut owner) = (engine(now, hello(1), 1), engine(now, hello(2), 2));
    owner.handle(now, Input::Upstreams(vec![upstream()]));
    process_outputs(&mut owner, now);
    home.handle(now, Input::Mesh(MeshEvent::Up(hello(2))));
    owner.handle(now, Input::Mesh(MeshEvent::Up(hello(1))));
    let sent = process_outputs(&mut owner, now);
    receive(&mut home, now, 2, sent.messages);
    process_outputs(&mut home, now);
    (home, owner)
}

/// Guards against a cancellation that overtakes the assignment of the same batch: the task runs although its job has been
/// answered, and runs twice when the job is sent again.
#[test]
fn a_task_cancelled_in_the_batch_of_its_assignment_does_not_run_on() {
    let now = Instant::now();
    let (mut home, mut owner) = linked_pair(now);
    home.handle(
        now,
        Input::Submit { request: Box::new(request(Duration::from_millis(100), 1)), submission: SUBMISSION },
    );
    home.handle(now, Input::Abandon(SUBMISSION));
    let sent = process_outputs(&mut home, now);
    receive(&mut owner, now, 1, sent.messages);
    let sent = process_outputs(&mut owner, now);
    assert_eq!(sent.starts, sent.stops, "started and stopped runs");
}

/// Guards against an answer that waits for the next input although its only task was taken back before it was sent.
#[test]
fn a_job_whose_assignments_were_not_sent_is_answered_in_the_same_batch() {
    let now = Instant::now();
    let (mut home, _) = linked_pair(now);
    home.handle(
        now,
        Input::Submit { request: Box::new(request(Duration::from_millis(100), 1)), submission: SUBMISSION },
    );
    home.handle(now, Input::Suspended(Duration::from_secs(1)));
    let is_answer = |output| matches!(output, Output::Answer { submission: SUBMISSION, .. });
    assert!(home.drain_outputs().any(is_answer));
}
