//! Stalled runs on an upstream that still answers.

mod support;

use hinge_runs::Outcome;
use support::Owner;

/// An owner whose upstream takes `run_time_ms` for a run that is expected to take 100 ms.
fn owner_with(run_time_ms: u64) -> Owner {
    let mut owner = Owner::new();
    owner.upstream.run_time_ms = run_time_ms;
    owner.assign(1, "a");
    owner.answer_all();
    owner
}

fn wait(owner: &mut Owner, time_ms: u64) {
    for _ in 0..time_ms / 50 {
        owner.advance(50);
        owner.answer_all();
        let listing = owner.listing();
        owner.handle(listing);
        owner.answer_all();
    }
}

/// Guards against tasks that occupy an upstream until their caller gives up, as on upstreams whose tasks hang. The end
/// is reported only once the run no longer exists, so that the task never has two concurrent runs.
#[test]
fn a_stalled_run_is_stopped_and_reported_as_interrupted() {
    let mut owner = owner_with(60_000);
    wait(&mut owner, 350);
    assert!(owner.stops.is_empty() && owner.outcomes(1).is_empty(), "it may still end");
    wait(&mut owner, 200);
    assert_eq!(owner.stops.len(), 1);
    assert!(owner.upstream.running.is_empty());
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted]);
}

/// Guards against stopping a run whose estimate was too low, but which will end before a new run could.
#[test]
fn a_slow_run_that_will_end_soon_is_not_stopped() {
    let mut owner = owner_with(600);
    wait(&mut owner, 700);
    assert!(owner.stops.is_empty());
    assert_eq!(owner.outcomes(1), [Outcome::Done]);
}
