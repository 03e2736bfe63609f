//! Upstreams of evacuated data centres, and their warm-up afterwards. The owner has one upstream of `dc1`, and in some tests
//! one of `dc2`.

mod support;

use hinge_runs::{Action, ClosedDataCentres, Event, HoldReply, Outcome, StartReply, UpstreamRecord};
use support::{HOME, Owner, SERVICE, assignment, first_probe, first_start, own, record, token};

fn closed(data_centres: &[&str]) -> Event {
    let closed = data_centres.iter().map(|data_centre| (*data_centre).into()).collect();
    Event::CloseDataCentres(ClosedDataCentres::Some(closed))
}

fn cold(sequence: u64, cold_left_ms: u64) -> Event {
    Event::Upstreams(vec![UpstreamRecord { cold_left_ms, sequence, ..record("up-1", 1) }])
}

impl Owner {
    /// An owner with an upstream in `dc1` and one in `dc2`, which answer alike.
    fn of_two_data_centres() -> Self {
        let mut owner = Self::new();
        let second = UpstreamRecord { data_centre: "dc2".into(), ..record("up-2", 1) };
        owner.handle(Event::Upstreams(vec![record("up-1", 1), second]));
        owner.handle(own(token(10), "up-2"));
        owner.answer_all();
        owner
    }

    fn slots_and_rooms(&self) -> (u32, Vec<u64>) {
        let load = self.runner.load(self.now, &SERVICE.into());
        (load.slots, load.rooms_cpu_millis)
    }

    fn offer(&mut self, id: u64) {
        let assignment = hinge_runs::Assignment { waits: false, ..assignment(id, &format!("job.{id}"), 1) };
        self.handle(Event::Assigned { assignment, home: HOME, sent_after: self.now });
    }

    fn returned_for_evacuation(&self) -> Vec<u64> {
        let returned = self.reports.iter().filter(|(_, report)| report.place_again);
        returned.map(|(_, report)| report.assignment).collect()
    }
}

fn starts(actions: &[Action]) -> Vec<&str> {
    let starts = actions.iter().filter_map(|action| match action {
        Action::Start(start) => Some(&*start.upstream),
        _ => None,
    });
    starts.collect()
}

/// Guards against starts in an evacuated data centre while tasks keep arriving, and against load reports that draw them there.
#[test]
fn an_evacuated_upstream_starts_nothing_under_load() {
    let mut owner = Owner::new();
    owner.handle(closed(&["dc1"]));
    assert_eq!(owner.slots_and_rooms(), (0, Vec::new()));
    for id in 1..=200 {
        owner.assign(id, &format!("job.{id}"));
        owner.advance(5);
        assert!(starts(&owner.actions()).is_empty());
    }
    assert_eq!(
        owner.returned_for_evacuation(),
        (1..=200).collect::<Vec<_>>(),
        "each task comes back at once"
    );
    owner.handle(closed(&[]));
    owner.assign(201, "job.201");
    assert_eq!(starts(&owner.actions()), ["up-1"]);
}

/// Guards against tasks that wait for an evacuated data centre until their time is over: queued ones, offered ones and those
/// that were on their way when the state arrived.
#[test]
fn queued_and_offered_tasks_are_returned_as_not_started() {
    let mut owner = Owner::new();
    for id in 1..=4 {
        owner.assign(id, &format!("job.{id}"));
    }
    let actions = owner.actions();
    assert_eq!(starts(&actions).len(), 2, "two of the tasks fit");
    owner.handle(closed(&["dc1"]));
    owner.offer(5);
    owner.assign(6, "job.6");
    owner.actions();
    assert_eq!(owner.returned_for_evacuation(), [3, 4, 5, 6]);
    for id in [3, 4, 5, 6] {
        assert_eq!(owner.outcomes(id), [Outcome::NotStarted]);
    }
    assert!(owner.outcomes(1).is_empty(), "a start order that is on its way counts as running");
}

/// Guards against runs that are stopped or forgotten by an evacuation.
#[test]
fn runs_end_by_themselves() {
    let (mut owner, _) = Owner::with_run();
    owner.handle(closed(&["dc1"]));
    owner.advance(150);
    let listing = owner.listing();
    owner.handle(listing);
    owner.answer_all();
    assert_eq!(owner.outcomes(1), [Outcome::Done]);
    assert!(owner.stops.is_empty());
}

/// Guards against a task that is started in an evacuated data centre, or kept there, after its first start order got lost
/// and was never executed.
#[test]
fn a_start_that_was_never_executed_goes_back_to_its_home() {
    let mut owner = Owner::new();
    owner.assign(1, "job.1");
    let start = first_start(&owner.actions());
    owner.handle(closed(&["dc1"]));
    owner.handle(Event::StartEnded { reply: StartReply::Lost, start });
    let probe = first_probe(&owner.actions()).expect("a probe settles the start");
    assert!(owner.outcomes(1).is_empty());
    let reply = owner.upstream.hold(&probe);
    owner.handle(Event::HoldEnded { hold: probe, reply });
    assert!(starts(&owner.actions()).is_empty());
    assert_eq!(owner.outcomes(1), [Outcome::NotStarted]);
    assert_eq!(owner.returned_for_evacuation(), [1]);
}

/// Guards against a task that is returned although an upstream of another data centre can take it.
#[test]
fn tasks_wait_for_upstreams_of_other_data_centres() {
    let mut owner = Owner::of_two_data_centres();
    owner.handle(closed(&["dc1"]));
    for id in 1..=3 {
        owner.assign(id, &format!("job.{id}"));
    }
    let actions = owner.actions();
    assert_eq!(starts(&actions), ["up-2", "up-2"]);
    assert!(owner.returned_for_evacuation().is_empty());
    owner.handle(closed(&["dc1", "dc2"]));
    assert!(starts(&owner.actions()).is_empty());
    assert_eq!(owner.returned_for_evacuation(), [3], "both data centres are evacuated");
}

/// Guards against a start by a process that does not know yet which data centres are evacuated. Tasks wait meanwhile.
#[test]
fn nothing_starts_while_the_state_is_unknown() {
    let mut owner = Owner::new();
    owner.handle(Event::CloseDataCentres(ClosedDataCentres::All));
    owner.assign(1, "job.1");
    assert!(starts(&owner.actions()).is_empty());
    assert_eq!(owner.slots_and_rooms(), (0, Vec::new()));
    assert!(owner.reports.is_empty());
    owner.handle(closed(&[]));
    assert_eq!(starts(&owner.actions()), ["up-1"]);
}

/// Guards against an upstream that loses its owner during the evacuation, and against one that is taken over and used.
#[test]
fn an_evacuated_upstream_is_owned_and_taken_over() {
    let mut owner = Owner::new();
    owner.handle(closed(&["dc1"]));
    owner.handle(Event::Suspended);
    owner.assign(1, "job.1");
    let actions = owner.actions();
    let holds = actions.iter().filter(|action| matches!(action, Action::Hold(_))).count();
    assert_eq!((holds, starts(&actions).len()), (1, 0));
    for action in actions {
        owner.answer(action);
    }
    assert_eq!(owner.runner.owned().count(), 1);
    let listing = owner.listing();
    assert!(matches!(listing, Event::HoldEnded { reply: HoldReply::Listed(_), .. }));
}

/// Guards against a burst of tasks for upstreams that have just been taken back and are cold: they show a quarter of their
/// room at first, and all of it once they are warm.
#[test]
fn a_cold_upstream_warms_up_after_the_evacuation() {
    let mut owner = Owner::new();
    owner.handle(closed(&["dc1"]));
    owner.handle(closed(&[]));
    assert_eq!(owner.slots_and_rooms(), (4, vec![16_000]), "without a report it gets all at once");
    owner.handle(cold(2, 4_000));
    assert_eq!(owner.slots_and_rooms(), (4, vec![4_000]));
    owner.offer(1);
    owner.actions();
    assert_eq!(owner.outcomes(1), [Outcome::NotStarted], "7 cores are not in its room yet");
    owner.advance(1_000);
    owner.handle(cold(3, 2_000));
    assert_eq!(owner.slots_and_rooms().1, [8_000], "the report counts down faster than the clock");
    owner.offer(2);
    assert_eq!(starts(&owner.actions()), ["up-1"]);
    owner.handle(cold(4, 0));
    owner.offer(3);
    assert_eq!(starts(&owner.actions()), ["up-1"]);
}

/// Guards against a ramp without an end when reports stop, and against one that keeps tasks from their only place: those
/// that wait have found no room elsewhere.
#[test]
fn the_warm_up_refuses_no_waiting_task_and_ends_without_reports() {
    let mut owner = Owner::new();
    owner.handle(closed(&["dc1"]));
    owner.handle(cold(2, 4_000));
    owner.handle(closed(&[]));
    owner.assign(1, "job.1");
    owner.assign(2, "job.2");
    assert_eq!(starts(&owner.actions()), ["up-1", "up-1"]);
    let slots = owner.slots_and_rooms().0;
    owner.handle(cold(3, 0));
    assert_eq!(owner.slots_and_rooms().0, slots, "homes expect no longer waits");
    let mut owner = Owner::new();
    owner.handle(closed(&["dc1"]));
    owner.handle(cold(2, 4_000));
    owner.handle(closed(&[]));
    owner.advance(4_001);
    assert_eq!(owner.slots_and_rooms().1, [16_000]);
}

/// Guards against a warm-up of upstreams whose data centre was never evacuated.
#[test]
fn a_cold_upstream_elsewhere_is_used_as_before() {
    let mut owner = Owner::new();
    owner.handle(cold(2, 4_000));
    assert_eq!(owner.slots_and_rooms(), (4, vec![16_000]));
}
