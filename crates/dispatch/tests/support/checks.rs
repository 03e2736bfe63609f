//! Invariants, checked on what upstreams and callers observe.

use std::time::Duration;

use hinge_dispatch::Start;
use hinge_wire::{Answer, FastMap, FastSet, ListState, Outcome, ResultCode, Sequence, StartId, UpstreamId};

use super::node::is_not_run;

/// An invariant that was violated.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum Violation {
    /// Two answers for one submission, or a resubmission after its final rejection that is not answered as not run.
    AnsweredTwice,
    /// A drain was reported while starts or submissions were unfinished.
    DrainedTooEarly,
    /// A task ran although its submission was reported as not run.
    NotRunButRan,
    /// An answer with another number or order of results than its outcome requires.
    PartialAnswer,
    StartedAfterAnswer,
    /// A start on an upstream that the entry knew to be leaving.
    StartedOnLeaving,
    /// A second execution of a task that may not be retried.
    StartedTwice,
    /// No answer from an entry that was not killed.
    Unanswered,
}

/// A body sent under the key of a submission: index of the submission, and 0 or 1 for one of its two bodies.
pub(crate) type Body = (usize, usize);

/// Index of an entry and the incarnation of its process.
pub(crate) type ProcessId = (usize, u64);

/// Events of one run as seen by upstreams and callers, and the violations found.
#[derive(Default)]
pub(crate) struct Observed {
    pub(crate) accepted: FastMap<(ProcessId, Sequence), Body>,
    pub(crate) answers: FastMap<(ProcessId, Sequence), Answer>,
    pub(crate) counts: FastMap<&'static str, u32>,
    pub(crate) executions: FastMap<String, u32>,
    leaving: FastMap<(ProcessId, UpstreamId), Duration>,
    listed: FastMap<(ProcessId, UpstreamId), ListState>,
    pub(crate) lost_processes: FastSet<ProcessId>,
    not_run: FastSet<Body>,
    rejections: FastSet<(ProcessId, Sequence)>,
    pub(crate) running: FastMap<ProcessId, FastMap<StartId, UpstreamId>>,
    pub(crate) violations: Vec<(Violation, String)>,
}

impl Observed {
    pub(crate) fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn violated(&mut self, violation: Violation, detail: String) {
        self.violations.push((violation, detail));
    }

    /// An upstream started to run a payload.
    pub(crate) fn executed(&mut self, payload: &str, retryable: bool) {
        let runs = self.executions.entry(payload.to_owned()).or_default();
        *runs += 1;
        if *runs > 1 && !retryable {
            let detail = format!("{payload} ran {runs} times");
            self.violated(Violation::StartedTwice, detail);
        }
    }

    /// A submission was accepted, or was a resubmission of an accepted one; `stored` is its answer if it has ended.
    pub(crate) fn attached(&mut self, key: (ProcessId, Sequence), body: Body, stored: Option<&Answer>) {
        if let Some(answer) = stored {
            self.count("stored answers");
            self.check_whole(body, answer);
        }
        if !self.rejections.contains(&key) {
            self.accepted.entry(key).or_insert(body);
        } else if !stored.is_some_and(|answer| is_not_run(answer.outcome)) {
            // A rejection is final for the key.
            self.violated(Violation::AnsweredTwice, format!("{key:?} {stored:?}"));
        }
    }

    pub(crate) fn rejected(&mut self, key: (ProcessId, Sequence), body: Body, code: ResultCode) {
        self.count("rejected");
        // Rejecting another body under a key in use does not affect the first body.
        if is_not_run(code.outcome()) && code != ResultCode::KeyReused {
            self.rejections.insert(key);
        }
        if is_not_run(code.outcome()) {
            self.not_run.insert(body);
        }
    }

    pub(crate) fn started(&mut self, process: ProcessId, start: &Start) {
        self.count("starts");
        if self.answers.contains_key(&(process, start.task.sequence)) {
            self.violated(Violation::StartedAfterAnswer, format!("{process:?} {start:?}"));
        }
        // Stricter than the required 3 s: no start is allowed once the entry knows that the upstream is leaving.
        if let Some(since) = self.leaving.get(&(process, start.upstream.clone())) {
            self.violated(Violation::StartedOnLeaving, format!("{process:?} {start:?} since {since:?}"));
        }
        self.running.entry(process).or_default().insert(start.start, start.upstream.clone());
    }

    /// The end of a start was reported to the entry.
    pub(crate) fn ended(&mut self, now: Duration, process: ProcessId, start: StartId, says_leaving: bool) {
        let Some(upstream) = self.running.entry(process).or_default().remove(&start) else { return };
        if says_leaving {
            self.count("refused leaving");
            self.leaving.entry((process, upstream)).or_insert(now);
        }
    }

    /// The entry received a list of upstreams.
    pub(crate) fn listed(
        &mut self,
        now: Duration,
        process: ProcessId,
        list: &[(UpstreamId, Option<ListState>)],
    ) {
        for (upstream, state) in list {
            let key = (process, upstream.clone());
            let state = state.unwrap_or(ListState::Leaving);
            let before = self.listed.insert(key.clone(), state);
            if state == ListState::Leaving {
                self.leaving.entry(key).or_insert(now);
            } else if before == Some(ListState::Leaving) {
                self.leaving.remove(&key);
            }
        }
    }

    pub(crate) fn answered(&mut self, process: ProcessId, sequence: Sequence, answer: Answer) {
        self.count(match answer.outcome {
            Outcome::Complete => "complete",
            Outcome::FailedNotRun => "not run",
            Outcome::FailedMayHaveRun => "may have run",
            Outcome::FailedRan => "ran and failed",
        });
        let Some(body) = self.accepted.get(&(process, sequence)).copied() else { return };
        if is_not_run(answer.outcome) {
            self.not_run.insert(body);
        }
        self.check_whole(body, &answer);
        if self.answers.insert((process, sequence), answer).is_some() {
            self.violated(Violation::AnsweredTwice, format!("{process:?} {sequence}"));
        }
    }

    /// Checks that an answer, also a stored one, is complete with all results in order, or failed without results.
    pub(crate) fn check_whole(&mut self, body: Body, answer: &Answer) {
        let expected: Vec<String> = match answer.outcome {
            Outcome::Complete => (0..tasks(body.0)).map(|task| result(&payload(body, task))).collect(),
            _ => Vec::new(),
        };
        if answer.results != expected {
            self.violated(Violation::PartialAnswer, format!("{body:?} {answer:?}"));
        }
    }

    pub(crate) fn drained(&mut self, process: ProcessId) {
        self.count("drained");
        let running = self.running.get(&process).map_or(0, FastMap::len);
        let unanswered = self.unanswered(process);
        if running > 0 || unanswered > 0 {
            self.violated(
                Violation::DrainedTooEarly,
                format!("{process:?} {running} running, {unanswered} unanswered"),
            );
        }
    }

    /// Number of accepted submissions of a process without an answer.
    fn unanswered(&self, process: ProcessId) -> usize {
        let of_process = self.accepted.keys().filter(|(owner, _)| *owner == process);
        of_process.filter(|key| !self.answers.contains_key(*key)).count()
    }

    /// Runs the checks that are possible only at the end of a run.
    pub(crate) fn finish(&mut self) {
        for body in self.not_run.clone() {
            for task in 0..tasks(body.0) {
                let payload = payload(body, task);
                if self.executions.contains_key(&payload) {
                    self.violated(Violation::NotRunButRan, payload);
                }
            }
        }
        let unanswered: Vec<_> = self
            .accepted
            .keys()
            .filter(|(process, _)| !self.lost_processes.contains(process))
            .filter(|key| !self.answers.contains_key(*key))
            .copied()
            .collect();
        for key in unanswered {
            self.violated(Violation::Unanswered, format!("{key:?}"));
        }
    }
}

/// Number of tasks of a submission; most are requests with one task.
pub(crate) fn tasks(submission: usize) -> usize {
    [1, 1, 1, 5, 1, 12][submission % 6]
}

pub(crate) fn payload(body: Body, task: usize) -> String {
    format!("s{}.{}.{task}", body.0, body.1)
}

/// Result that an upstream returns for a payload.
pub(crate) fn result(payload: &str) -> String {
    format!("result of {payload}")
}
