//! Inputs for the decision code, of a given size.

use std::sync::Arc;
use std::time::Duration;

use hinge_conf::Policy;
use hinge_dispatch::{Action, Dispatcher, Event, Origin, TaskResult};
use hinge_wire::{
    Change, ChangeRequest, Class, ConfigDocument, ConfigException, InstanceKind, InstanceState, ListEntry,
    ListState, MemberInfo, Scope, ScopeKind, SettingValue, Submission, SubmissionKey, TaskSpec,
};
use tokio::time::Instant;

pub(crate) const DATA_CENTRE: &str = "dc1";
pub(crate) const SERVICE: &str = "deicing";
const KEY_BATCH: u32 = 1000;
/// Size of each payload and result, about that of a small JSON object.
const PAYLOAD_BYTES: usize = 100;

pub(crate) fn upstream(index: usize, address: String) -> ListEntry {
    ListEntry {
        address,
        data_centre: DATA_CENTRE.to_owned(),
        id: format!("upstream-{index:05}"),
        kind: InstanceKind::Upstream,
        memory_mb: 32_000,
        peer_address: String::new(),
        rack: format!("rack-{:03}", index / 8),
        service: SERVICE.to_owned(),
        slots: 8,
        state: ListState::Live,
    }
}

pub(crate) fn listed_entry(index: usize, address: String, peer_address: String) -> ListEntry {
    ListEntry {
        address,
        id: format!("entry-{index:03}"),
        kind: InstanceKind::Entry,
        memory_mb: 0,
        peer_address,
        rack: "rack-000".to_owned(),
        service: String::new(),
        slots: 0,
        ..upstream(index, String::new())
    }
}

pub(crate) fn upstreams(count: usize) -> Vec<ListEntry> {
    (0..count).map(|index| upstream(index, "10.1.20.30:8080".to_owned())).collect()
}

pub(crate) fn member(index: usize) -> MemberInfo {
    MemberInfo {
        config_revision: 3300,
        counter: 1,
        data_centre: DATA_CENTRE.to_owned(),
        free_slots: 100,
        incarnation: 0x9E37_79B9_7F4A_7C15 ^ index as u64,
        instance: format!("entry-{index:03}"),
        peer_address: format!("10.1.{}.{}:8081", index / 250, index % 250),
        queued_tasks: 1000,
        state: InstanceState::Ready,
    }
}

pub(crate) fn submission(tasks: usize, team: usize) -> Submission {
    let task = TaskSpec { memory_mb: None, payload: "p".repeat(PAYLOAD_BYTES), run_time_ms: Some(1) };
    Submission {
        class: if tasks == 1 { Class::Urgent } else { Class::Batch },
        deadline_ms: None,
        definite: false,
        idempotent: false,
        key: None,
        service: SERVICE.to_owned(),
        tasks: vec![task; tasks],
        team: team_name(team),
        wait_ms: None,
    }
}

pub(crate) fn team_name(index: usize) -> String {
    format!("team-{index:05}")
}

/// The default policy with limits so high that no measurement reaches them, and without shedding.
pub(crate) fn unlimited_policy() -> Policy {
    Policy {
        answer_memory_bytes: 4 << 30,
        batch_max_wait_ms: 86_400_000,
        max_queued_tasks: 10_000_000,
        max_records: 10_000_000,
        shedding_enabled: false,
        team_quota_per_s: 1_000_000,
        urgent_max_wait_ms: 86_400_000,
        ..Policy::default()
    }
}

/// A dispatcher with its own clock and a supply of submission keys.
pub(crate) struct DispatcherFixture {
    pub(crate) dispatcher: Dispatcher,
    keys: Vec<SubmissionKey>,
    pub(crate) now: Instant,
}

impl DispatcherFixture {
    pub(crate) fn new(policy: &Policy, upstreams: &[ListEntry]) -> Self {
        let origin = Origin { data_centre: DATA_CENTRE.into(), incarnation: 1, instance: "entry-000".into() };
        let now = Instant::now();
        let mut dispatcher = Dispatcher::new(origin, policy, 1);
        dispatcher.handle(now, Event::Upstreams(upstreams.to_vec()));
        let leaders = vec!["entry-000".into()];
        dispatcher.handle(now, Event::Peers { leaders, listed_entries: 1, lenders: Vec::new() });
        Self { dispatcher, keys: Vec::new(), now }
    }

    /// Submits without ending any task. Returns whether the submission was accepted.
    pub(crate) fn submit(&mut self, submission: Arc<Submission>) -> bool {
        self.now += Duration::from_micros(100);
        if self.keys.is_empty() {
            self.keys = self.dispatcher.issue_keys(self.now, KEY_BATCH).unwrap_or_default();
        }
        let Some(key) = self.keys.pop() else { return false };
        self.dispatcher.submit(self.now, &key, submission).is_ok()
    }

    /// Submits and completes every task that starts until no more start. Returns the number of completed tasks.
    pub(crate) fn submit_and_complete(&mut self, submission: Arc<Submission>) -> usize {
        self.submit(submission);
        let mut completed = 0;
        loop {
            let actions: Vec<Action> = self.dispatcher.drain_actions().collect();
            let starts = actions.iter().filter_map(|action| match action {
                Action::Start(start) => Some(start.start),
                _ => None,
            });
            let previous = completed;
            for start in starts {
                let result = TaskResult::Done("r".repeat(PAYLOAD_BYTES));
                let run_time = Duration::from_millis(1);
                self.dispatcher.handle(self.now, Event::TaskEnded { result, run_time, start });
                completed += 1;
            }
            if completed == previous {
                return completed;
            }
        }
    }
}

/// A configuration with the given numbers of team quotas and exceptions.
pub(crate) fn config_document(quotas: usize, exceptions: usize) -> ConfigDocument {
    let mut document = hinge_conf::empty_document();
    document.team_quotas_per_s = (0..quotas).map(|team| (team_name(team), 50 + team as u64)).collect();
    document.exceptions = (0..exceptions)
        .map(|index| ConfigException {
            author: "operator@example".to_owned(),
            reason: "more weight during the night shift, ticket 10234".to_owned(),
            scope: Scope { kind: ScopeKind::Team, name: team_name(index) },
            setting: "team_weight".to_owned(),
            value: SettingValue::Number(100 + index as u64),
        })
        .collect();
    document
}

pub(crate) fn change_request(index: usize) -> ChangeRequest {
    ChangeRequest {
        author: "operator@example".to_owned(),
        change: Change::SetDefault {
            setting: "max_attempts".to_owned(),
            value: SettingValue::Number(1 + index as u64 % 3),
        },
        expect_revision: 0,
        operation_id: format!("change-{index}"),
    }
}
