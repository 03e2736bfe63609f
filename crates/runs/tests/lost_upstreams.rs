//! Which ends of runs count as losses of their upstream.

mod support;

use hinge_runs::{Event, HoldReply, LostRun, Outcome, RunId};
use support::{Owner, first_hold, ms};

/// Lets the lease of the upstream's runs expire without an answer.
fn let_lease_expire(owner: &mut Owner) {
    owner.upstream.ended.clear();
    let hold = first_hold(&owner.actions());
    owner.now += ms(1_100);
    owner.handle(Event::HoldEnded { hold, reply: HoldReply::Lost });
    owner.now += ms(60);
    owner.handle(Event::Tick);
    let hold = first_hold(&owner.actions());
    owner.now += ms(1_100);
    owner.handle(Event::HoldEnded { hold, reply: HoldReply::Lost });
    owner.actions();
}

fn lost_runs(owner: &mut Owner) -> Vec<LostRun> {
    owner.runner.drain_lost_runs().collect()
}

fn loss_of(task: &str) -> LostRun {
    LostRun { alone: true, run: RunId { task: task.into(), run: 1 }, upstream: "up-1".into() }
}

/// Guards against a task that crashes upstream after upstream unnoticed, because its lost runs look like stopped ones.
#[test]
fn a_run_whose_upstream_stops_answering_is_lost() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    let_lease_expire(&mut owner);
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted]);
    assert_eq!(lost_runs(&mut owner), [loss_of("job.0")]);
}

/// Guards against the same for an upstream that is back before its lease has expired.
#[test]
fn a_run_whose_upstream_restarts_is_lost() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    owner.answer_all();
    owner.restart_upstream();
    owner.answer_all();
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted]);
    assert_eq!(lost_runs(&mut owner), [loss_of("job.0")]);
}

/// Guards against a loss that nobody learns of because the caller has left before it is noticed: the caller sends the job
/// again.
#[test]
fn a_loss_during_a_cancelled_run_is_still_recorded() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    owner.handle(Event::Cancelled { assignment: 1, home: support::HOME });
    let_lease_expire(&mut owner);
    assert_eq!(lost_runs(&mut owner), [loss_of("job.0")]);
}

/// Guards against tasks that are given up because they were stopped, or because this process was suspended, while their
/// upstreams were healthy.
#[test]
fn stopped_and_uncertain_runs_are_not_lost() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    owner.answer_all();
    let run = RunId { task: "job.0".into(), run: 1 };
    let fence = owner.upstream.fence;
    owner.upstream.stop(fence, &run);
    let listing = owner.listing();
    owner.handle(listing);
    owner.answer_all();
    assert_eq!(owner.outcomes(1), [Outcome::Interrupted]);
    owner.assign(2, "job.1");
    owner.answer_all();
    owner.handle(Event::Suspended);
    owner.answer_all();
    assert_eq!(owner.outcomes(2), [Outcome::Uncertain]);
    assert_eq!(lost_runs(&mut owner), []);
}

/// Guards against a task that is given up sooner because it ran beside another one, which may have crashed the upstream.
#[test]
fn runs_beside_each_other_are_not_lost_alone() {
    let mut owner = Owner::new();
    owner.assign(1, "job.0");
    owner.assign(2, "job.1");
    let_lease_expire(&mut owner);
    let lost = lost_runs(&mut owner);
    assert_eq!(lost.len(), 2);
    assert!(lost.iter().all(|lost| !lost.alone), "{lost:?}");
}
