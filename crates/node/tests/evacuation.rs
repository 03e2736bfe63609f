//! Evacuation of data centres: how entries learn of it, what they do, and what they tell each other.

#![allow(clippy::expect_used, reason = "tests")]

mod support;

use std::time::Duration;

use hinge_jobs::{Answer, RejectCause};
use hinge_mesh::{Evacuation, MeshEvent, Message, ServiceLoad, Status};
use hinge_node::{Engine, EvacuationReport, Input, LogLine, Output};
use hinge_runs::{
    HoldReply, Listing, Load, Outcome, Resources, RunProgress, StartOrder, StartReply, TaskReport,
    UpstreamRecord,
};
use support::{engine, hello, request, upstream};
use tokio::time::Instant;

const PEER: u64 = 2;

fn state(data_centre: &str, evacuated: bool, revision: u64) -> Evacuation {
    Evacuation { data_centre: data_centre.into(), evacuated, revision }
}

/// An entry of `dc1` with one upstream there, which accepts and answers all orders.
struct Entry {
    /// Number of log lines about peers that have adopted a state.
    adopted: u64,
    answers: Vec<Answer>,
    engine: Engine,
    metrics: Vec<EvacuationReport>,
    now: Instant,
    sent: Vec<(u64, Message)>,
    /// Whether start orders are answered.
    starts_answered: bool,
    started: Vec<StartOrder>,
    submissions: u64,
}

impl Entry {
    /// An entry that does not know yet which data centres are evacuated.
    fn new() -> Self {
        let mut entry = Self::without_feature(vec![upstream()]);
        entry.input(Input::ObeyEvacuations);
        entry
    }

    fn without_feature(upstreams: Vec<UpstreamRecord>) -> Self {
        let now = Instant::now();
        let mut entry = Self {
            adopted: 0,
            answers: Vec::new(),
            engine: engine(now, hello(1), 1),
            metrics: Vec::new(),
            now,
            sent: Vec::new(),
            starts_answered: true,
            started: Vec::new(),
            submissions: 0,
        };
        entry.input(Input::Entries(Vec::new()));
        entry.input(Input::Upstreams(upstreams));
        entry.wait(100);
        entry
    }

    /// An entry that the store has shown all keys.
    fn informed(keys: &[(&str, u64)], revision: u64) -> Self {
        let mut entry = Self::new();
        entry.store(keys, revision);
        entry
    }

    fn input(&mut self, input: Input) {
        self.engine.handle(self.now, input);
        self.process();
    }

    fn process(&mut self) {
        for _ in 0..4 {
            self.engine.flush(self.now);
            let outputs: Vec<_> = self.engine.drain_outputs().collect();
            for output in outputs {
                self.execute(output);
            }
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Answer { answer, .. } => self.answers.push(answer),
            Output::Evacuations(reports) => self.metrics = reports,
            Output::Hold(hold) if hold.wait.is_zero() => {
                let started = self.started.iter().filter(|_| self.starts_answered);
                let running =
                    started.map(|start| RunProgress { done_percent: 50, run: start.run.clone() }).collect();
                let reply = HoldReply::Listed(Listing { clock_ms: 1_000, running, ..Listing::default() });
                self.engine.handle(self.now, Input::HoldEnded { hold, reply });
            }
            Output::Log(LogLine::EvacuationAdopted { .. }) => self.adopted += 1,
            Output::Send { message, peer } => self.sent.push((peer, message)),
            Output::Start(start) => {
                self.started.push(start.clone());
                if self.starts_answered {
                    let reply = StartReply::Started { clock_ms: 1_000 };
                    self.engine.handle(self.now, Input::StartEnded { reply, start });
                }
            }
            _ => {}
        }
    }

    fn wait(&mut self, time_ms: u64) {
        for _ in 0..time_ms / 20 {
            self.now += Duration::from_millis(20);
            self.input(Input::Tick);
        }
    }

    fn store(&mut self, keys: &[(&str, u64)], revision: u64) {
        let keys = keys.iter().map(|(data_centre, revision)| ((*data_centre).into(), *revision)).collect();
        self.input(Input::Evacuations { keys, revision });
    }

    fn link(&mut self, peer: u64) {
        self.input(Input::Mesh(MeshEvent::Up(hello(peer))));
    }

    fn receive(&mut self, peer: u64, message: Message) {
        self.input(Input::Mesh(MeshEvent::Received { message, peer, sent_after: self.now }));
    }

    fn receive_states(&mut self, peer: u64, states: &[Evacuation]) {
        let evacuations = Some(states.to_vec());
        self.receive(peer, Message::Status(Status { evacuations, ..Status::default() }));
    }

    /// A peer reports room for many tasks.
    fn receive_room(&mut self, peer: u64) {
        let load =
            Load { mean_run_ms: 60, rooms_cpu_millis: vec![16_000; 50], slots: 100, ..Load::default() };
        let loads = vec![ServiceLoad { load, service: "deicing".into() }];
        self.receive(peer, Message::Status(Status { loads, ..Status::default() }));
    }

    fn submit(&mut self) {
        self.submissions += 1;
        let number = self.submissions;
        let mut request = request(Duration::from_millis(60), 1);
        request.id = format!("job-{number}").into();
        request.task_prefix = format!("job-{number}.0.0").into();
        self.input(Input::Submit { request: Box::new(request), submission: number });
    }

    /// States that were sent to a peer, oldest message first.
    fn sent_states(&self, to: u64) -> Vec<Vec<Evacuation>> {
        let statuses = self.sent.iter().filter(|(peer, _)| *peer == to);
        let states = statuses.filter_map(|(_, message)| match message {
            Message::Status(status) => status.evacuations.clone(),
            _ => None,
        });
        states.collect()
    }

    /// Tasks that were sent to a peer.
    fn assigned_to(&self, to: u64) -> usize {
        let messages = self.sent.iter().filter(|(peer, _)| *peer == to);
        let counts = messages.map(|(_, message)| match message {
            Message::Assign(assignments) => assignments.len(),
            _ => 0,
        });
        counts.sum()
    }
}

/// Guards against starts after the evacuation under load: while jobs arrive, none starts there, those that wait and the new
/// ones are placed at an owner elsewhere.
#[test]
fn jobs_are_placed_elsewhere_under_load() {
    let mut entry = Entry::informed(&[], 10);
    entry.link(PEER);
    for _ in 0..10 {
        entry.submit();
    }
    assert_eq!(entry.started.len(), 2, "two tasks fit on the upstream");
    entry.receive_room(PEER);
    entry.store(&[("dc1", 11)], 11);
    for _ in 0..40 {
        entry.submit();
        entry.wait(20);
    }
    assert_eq!(entry.started.len(), 2);
    assert_eq!(entry.assigned_to(PEER), 48);
    assert!(entry.answers.is_empty(), "{:?}", entry.answers);
    assert_eq!(entry.engine.owned().count(), 1, "the entry stays the owner");
}

/// Guards against jobs that wait for nothing when all data centres are evacuated, also those in the own queue.
#[test]
fn without_room_on_the_site_jobs_are_rejected_at_once() {
    let mut entry = Entry::informed(&[], 10);
    entry.wait(3_000);
    for _ in 0..5 {
        entry.submit();
    }
    entry.store(&[("dc1", 11), ("dc2", 12)], 12);
    entry.submit();
    let causes: Vec<_> = entry
        .answers
        .iter()
        .map(|answer| match answer {
            Answer::Rejected { cause, .. } => Some(*cause),
            _ => None,
        })
        .collect();
    assert_eq!(causes.len(), 4, "three wait, one is new");
    assert!(causes.iter().all(|cause| matches!(cause, Some(RejectCause::Overload | RejectCause::NoOwner))));
    assert_eq!(entry.started.len(), 2);
}

/// Guards against an order to an evacuated data centre by an entry that the store turns away: it learns the state from a peer,
/// and an older state from the store does not undo it.
#[test]
fn an_entry_that_the_store_turns_away_learns_from_a_peer() {
    let mut entry = Entry::informed(&[], 10);
    entry.wait(3_000);
    entry.link(PEER);
    entry.receive_states(PEER, &[state("dc1", true, 20)]);
    entry.store(&[], 15);
    entry.submit();
    assert!(entry.started.is_empty());
    entry.receive_states(PEER, &[state("dc1", false, 30)]);
    entry.store(&[("dc1", 20)], 25);
    entry.submit();
    assert_eq!(entry.started.len(), 1, "the older key of the store is known to be removed");
}

/// Guards against a state that depends on the order of messages, and against one that is sent around without end.
#[test]
fn the_highest_revision_wins_and_only_changes_are_sent_on() {
    let states = [state("dc1", true, 11), state("dc1", false, 14), state("dc1", true, 17)];
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [0, 2, 1]] {
        let mut entry = Entry::informed(&[], 10);
        entry.link(PEER);
        for index in order {
            entry.receive_states(PEER, &[states[index].clone()]);
        }
        entry.submit();
        assert!(entry.started.is_empty(), "{order:?}");
        let sent = entry.sent_states(PEER).len();
        entry.receive_states(PEER, &[state("dc1", true, 19)]);
        assert_eq!(entry.sent_states(PEER).len(), sent, "the same state at a higher revision");
        entry.receive_states(3, &[state("dc1", false, 18)]);
        assert!(entry.sent_states(3).is_empty(), "no link");
        entry.link(3);
        entry.receive_states(3, &[state("dc1", false, 18)]);
        assert_eq!(entry.sent_states(3).len(), 2, "at link-up, and to a peer that has missed a change");
        assert_eq!(entry.sent_states(3)[1], [state("dc1", true, 19)]);
    }
}

/// Guards against a process that starts tasks in an evacuated data centre because it was started during the evacuation.
#[test]
fn a_new_process_starts_nothing_before_it_knows_the_state() {
    for from_store in [true, false] {
        let mut entry = Entry::new();
        entry.link(PEER);
        entry.receive(PEER, Message::Status(Status::default()));
        entry.submit();
        entry.wait(500);
        assert!(entry.started.is_empty());
        assert!(entry.sent_states(PEER).is_empty(), "a peer must not take ignorance for knowledge");
        if from_store {
            entry.store(&[("dc2", 9)], 10);
        } else {
            entry.receive_states(PEER, &[state("dc2", true, 9)]);
        }
        assert_eq!(entry.started.len(), 1, "the job has waited for the first owner");
        assert_eq!(entry.sent_states(PEER), [[state("dc2", true, 9)]]);
    }
}

/// Guards against an entry that forgets the state in a partition, and against peers that do not bring the present one with the
/// first message of a new link.
#[test]
fn a_partitioned_entry_keeps_its_state_until_the_first_link() {
    let mut entry = Entry::informed(&[("dc1", 11)], 11);
    entry.link(PEER);
    assert_eq!(entry.sent_states(PEER), [[state("dc1", true, 11)]]);
    entry.input(Input::StoreAvailable(false));
    let (sent_after, since) = (entry.now, entry.now);
    let down = MeshEvent::Down { error: "cut".into(), peer: PEER, sent_after, silent: true, since };
    entry.input(Input::Mesh(down));
    entry.wait(20_000);
    entry.submit();
    assert!(entry.started.is_empty());
    entry.link(PEER);
    assert_eq!(entry.sent_states(PEER).len(), 2);
    entry.receive_states(PEER, &[state("dc1", false, 12)]);
    entry.submit();
    assert_eq!(entry.started.len(), 1);
}

/// Guards against reports of returned tasks that reach their home before it knows that this owner has no room: it would send
/// them again.
#[test]
fn peers_learn_of_the_evacuation_before_their_tasks_come_back() {
    let mut entry = Entry::informed(&[], 10);
    entry.link(PEER);
    let assignment = hinge_runs::Assignment {
        avoid: None,
        id: 1,
        need: Resources { cpu_millis: 15_000, gpus: 0, memory_mb: 64 },
        expected_ms: 60,
        late: false,
        priority: 0,
        run: 1,
        service: "deicing".into(),
        spec: "spec".into(),
        start_within_ms: 2_000,
        task: "other.0.0.0".into(),
        waits: true,
        kind: None,
    };
    let second = hinge_runs::Assignment { id: 2, task: "other.0.0.1".into(), ..assignment.clone() };
    entry.receive(PEER, Message::Assign(vec![assignment, second]));
    entry.sent.clear();
    entry.store(&[("dc1", 11)], 11);
    let expected = TaskReport { place_again: true, ..TaskReport::new(2, Outcome::NotStarted, 1) };
    let position = |wanted: &dyn Fn(&Message) -> bool| {
        entry.sent.iter().position(|(peer, message)| *peer == PEER && wanted(message)).expect("a message")
    };
    let told = position(&|message| match message {
        Message::Status(status) => status.evacuations.is_some() && status.loads[0].load.slots == 0,
        _ => false,
    });
    let returned = position(&|message| *message == Message::Report(vec![expected.clone()]));
    assert!(told < returned);
}

/// Guards against a job that is lost when a start order in the evacuated data centre gets no answer and was never executed:
/// its task runs elsewhere.
#[test]
fn an_unanswered_start_is_repeated_elsewhere() {
    let mut entry = Entry::informed(&[], 10);
    entry.starts_answered = false;
    entry.submit();
    let start = entry.started[0].clone();
    entry.link(PEER);
    entry.receive_room(PEER);
    entry.store(&[("dc1", 11)], 11);
    assert_eq!(entry.assigned_to(PEER), 0, "the order may still be executed");
    entry.input(Input::StartEnded { reply: StartReply::Lost, start });
    assert_eq!((entry.started.len(), entry.assigned_to(PEER)), (1, 1));
    assert!(entry.answers.is_empty());
}

/// Guards against an evacuation that outlasts its key when the key is removed during an outage of the store.
#[test]
fn a_removal_during_an_outage_comes_from_a_peer_or_the_first_snapshot() {
    for from_peer in [true, false] {
        let mut entry = Entry::informed(&[("dc1", 11)], 11);
        entry.link(PEER);
        entry.input(Input::StoreAvailable(false));
        if from_peer {
            entry.receive_states(PEER, &[state("dc1", false, 14)]);
        } else {
            entry.store(&[], 15);
        }
        // The mirror still holds the removal back.
        entry.store(&[("dc1", 11)], 16);
        entry.submit();
        assert_eq!(entry.started.len(), 1);
    }
}

/// Guards against a start after a suspension during which the data centre was evacuated, and against a process that waits for
/// the state for good.
#[test]
fn a_suspended_process_waits_for_the_state() {
    let mut entry = Entry::informed(&[], 10);
    entry.input(Input::Suspended(Duration::from_secs(9)));
    entry.wait(100);
    entry.submit();
    entry.store(&[("dc1", 11)], 11);
    entry.submit();
    assert!(entry.started.is_empty());
    let mut entry = Entry::informed(&[], 10);
    entry.input(Input::Suspended(Duration::from_secs(9)));
    entry.wait(500);
    entry.submit();
    assert_eq!(entry.started.len(), 1);
}

/// Guards against a state that is obeyed or sent where the feature is off.
#[test]
fn nothing_changes_without_the_setting() {
    let mut entry = Entry::without_feature(vec![upstream()]);
    entry.link(PEER);
    entry.store(&[("dc1", 11)], 11);
    entry.receive_states(PEER, &[state("dc1", true, 12)]);
    entry.submit();
    assert_eq!(entry.started.len(), 1);
    assert!(entry.sent_states(PEER).is_empty());
    assert!(entry.metrics.is_empty());
}

/// Guards against odd keys that crowd out the evacuation of a data centre, and against ids that are none.
#[test]
fn odd_keys_are_bounded_and_harm_nothing() {
    let odd: Vec<_> = (0..400).map(|number| format!("odd-{number}")).collect();
    let keys: Vec<_> = odd.iter().map(|key| (key.as_str(), 1_500)).chain([("dc1", 1_000)]).collect();
    let long = "d".repeat(1_000);
    for upstreams_first in [true, false] {
        let mut entry = Entry::without_feature(Vec::new());
        entry.input(Input::ObeyEvacuations);
        let upstreams = || Input::Upstreams(vec![upstream()]);
        if upstreams_first {
            entry.input(upstreams());
        }
        entry.store(&keys, 3_000);
        entry.input(upstreams());
        entry.link(PEER);
        entry.receive_states(PEER, &["", "a/b", &long].map(|id| state(id, true, 2_000)));
        entry.wait(200);
        assert_eq!(entry.metrics.len(), 256);
        let sent = entry.sent_states(PEER).concat();
        assert_eq!((sent.len(), &sent[0]), (256, &state("dc1", true, 1_000)));
        entry.submit();
        assert!(entry.started.is_empty());
        entry.store(&[], 4_000);
        entry.wait(200);
        entry.submit();
        assert!(!entry.started.is_empty());
    }
}

/// Guards against operators who cannot see who has adopted the state, and what still runs there.
#[test]
fn metrics_show_who_has_adopted_the_state() {
    let mut entry = Entry::informed(&[], 10);
    entry.submit();
    entry.link(PEER);
    entry.link(3);
    entry.store(&[("dc1", 11)], 11);
    entry.receive_states(PEER, &[state("dc1", true, 11)]);
    entry.wait(200);
    let [report] = entry.metrics.as_slice() else { unreachable!("one data centre: {:?}", entry.metrics) };
    assert_eq!((report.agreeing_peers, report.other_peers, report.running), (1, 1, 1));
    assert_eq!(report.revision, 11);
    assert!(report.evacuated_for.expect("it is evacuated") >= Duration::from_millis(100));
    entry.store(&[], 12);
    entry.wait(100);
    assert_eq!(entry.metrics[0].evacuated_for, None);
}

/// Guards against jobs that wait at owners elsewhere for upstreams as large as only those of the evacuated data centre are.
#[test]
fn jobs_that_fit_only_in_the_evacuated_data_centre_are_rejected_at_once() {
    let capacity = Resources { cpu_millis: 4_000, ..upstream().capacity };
    let small = UpstreamRecord { capacity, data_centre: "dc2".into(), id: "up-2".into(), ..upstream() };
    let mut entry = Entry::without_feature(vec![upstream(), small]);
    entry.input(Input::ObeyEvacuations);
    entry.store(&[("dc1", 11)], 11);
    entry.link(PEER);
    entry.receive_room(PEER);
    entry.submit();
    assert!(matches!(entry.answers[..], [Answer::Rejected { cause: RejectCause::TooLarge, .. }]));
}

/// Guards against a line for each peer and data centre whenever a link comes up.
#[test]
fn a_peer_is_logged_once_for_each_change() {
    let mut entry = Entry::informed(&[], 10);
    entry.link(PEER);
    for (evacuated, lines) in [(false, 0), (true, 1), (true, 1), (false, 2), (false, 2)] {
        entry.receive_states(PEER, &[state("dc2", evacuated, 11 + lines)]);
        assert_eq!(entry.adopted, lines);
    }
}
