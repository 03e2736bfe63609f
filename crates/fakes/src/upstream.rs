//! Stand-in for an upstream: simulates tasks in a fixed number of slots.

use std::collections::VecDeque;
use std::time::Duration;

use hinge_wire::FastMap;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::shared::{PollOutcome, Shared};
use crate::store::MAX_WAIT;

/// Largest number of payload bytes that a [`StartRecord`] keeps.
const RECORDED_PAYLOAD_BYTES: usize = 256;

/// Settings of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamOptions {
    /// Number of start records that are kept; older ones are dropped, but stay counted in [`StartsReply::total`].
    pub max_starts: usize,
    /// Run time of tasks whose payload has none.
    pub run_time: Duration,
    /// Number of tasks that can run at the same time.
    pub slots: usize,
}

impl Default for UpstreamOptions {
    fn default() -> Self {
        Self { max_starts: 65_536, run_time: Duration::from_millis(50), slots: 8 }
    }
}

/// Faults of an upstream; body of `POST /control`, which replaces all of them.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Answers with the id of another task instead of the task's own.
    pub crossed_answer: bool,
    /// Closes the connection without an answer after half of the run time.
    pub die: bool,
    /// Starts tasks and fails them at once.
    pub fail: bool,
    /// Starts tasks and never answers; a frozen task occupies its slot until its lease expires.
    pub freeze: bool,
    /// Refuses new tasks as leaving; running tasks end normally.
    pub leave: bool,
    /// Refuses new tasks as busy, even if slots are free.
    pub refuse: bool,
    /// Factor by which run times are multiplied; absent: 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_factor: Option<f64>,
    /// Number of task requests affected, after which all faults end; absent: until replaced.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub times: Option<u32>,
    /// Truncates the body of the answer.
    pub truncated_answer: bool,
}

/// A request to run a task.
#[derive(Clone, Debug)]
pub struct TaskCall {
    /// Time after its start at which the upstream ends the task.
    pub lease: Duration,
    /// Instructions or text to echo; see [`TaskPayload`].
    pub payload: String,
    /// Service that the task belongs to; empty if the request names none.
    pub service: String,
    /// Id that the answer repeats and by which the task can be stopped.
    pub task_id: String,
}

/// Instructions in a payload that is a JSON object with these fields; any other payload is returned as the result.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TaskPayload {
    /// Whether the task fails after its run time.
    pub fail: bool,
    /// Result; absent: the payload itself.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
    /// Run time in milliseconds; absent: [`UpstreamOptions::run_time`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<u64>,
}

/// Record of a started task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRecord {
    /// Time of the start, in milliseconds since the upstream was created.
    pub at_ms: u64,
    /// Sequence number of the start, from 1.
    pub number: u64,
    /// The payload, truncated to 256 bytes at a character boundary.
    pub payload: String,
    /// Service of the task.
    pub service: String,
    /// Id of the task.
    pub task_id: String,
}

/// Body of the response to `GET /starts`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartsReply {
    /// Number of task requests refused as busy or leaving.
    pub refused: u64,
    /// Kept records of starts, oldest first.
    pub starts: Vec<StartRecord>,
    /// Number of all starts, including those whose records were dropped.
    pub total: u64,
}

/// How a task request ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskEnd {
    /// Not started: all slots are in use, or [`UpstreamFaults::refuse`] is set.
    Busy,
    /// Started; the connection is closed without an answer.
    Disconnected,
    /// The task ran and has a result.
    Done {
        /// Id in the answer; another task's with [`UpstreamFaults::crossed_answer`].
        task_id: String,
        /// Result of the task.
        result: String,
        /// Whether the body of the answer is truncated.
        truncated: bool,
    },
    /// The task ran and failed.
    Failed,
    /// The task ran until its lease expired.
    LeaseExpired,
    /// Not started: the upstream is leaving.
    Leaving,
    /// `DELETE /tasks/{id}` stopped the task.
    Stopped,
}

/// A started task.
#[derive(Clone, Debug)]
pub struct StartedTask {
    /// How the task ends unless it is stopped.
    end: TaskEnd,
    /// When the task ends unless it is stopped.
    pub ends_at: Instant,
    /// Whether the caller never gets an answer.
    pub frozen: bool,
    /// Sequence number of the start, from 1.
    pub number: u64,
}

#[derive(Debug)]
struct RunningTask {
    ends_at: Instant,
    task_id: String,
}

/// State of a stand-in upstream.
#[derive(Debug)]
pub struct FakeUpstream {
    created_at: Instant,
    faults: UpstreamFaults,
    options: UpstreamOptions,
    refused: u64,
    /// Tasks that occupy a slot, by the sequence number of their start.
    running: FastMap<u64, RunningTask>,
    starts: VecDeque<StartRecord>,
    total_starts: u64,
}

impl FakeUpstream {
    /// Creates an idle upstream without faults.
    #[must_use]
    pub fn new(now: Instant, options: UpstreamOptions) -> Self {
        Self {
            created_at: now,
            faults: UpstreamFaults::default(),
            options,
            refused: 0,
            running: FastMap::default(),
            starts: VecDeque::new(),
            total_starts: 0,
        }
    }

    /// Replaces all faults.
    pub const fn set_faults(&mut self, faults: UpstreamFaults) {
        self.faults = faults;
    }

    /// Number of tasks that occupy a slot.
    pub fn running(&mut self, now: Instant) -> usize {
        self.running.retain(|_, task| task.ends_at > now);
        self.running.len()
    }

    /// Returns the kept records of starts with a sequence number above `after`.
    #[must_use]
    pub fn starts(&self, after: u64) -> StartsReply {
        let starts = self.starts.iter().filter(|start| start.number > after).cloned().collect();
        StartsReply { refused: self.refused, starts, total: self.total_starts }
    }

    /// Stops all running tasks with this id; returns false if there is none.
    pub fn stop(&mut self, now: Instant, task_id: &str) -> bool {
        let before = self.running(now);
        self.running.retain(|_, task| task.task_id != task_id);
        self.running.len() < before
    }

    /// Starts a task.
    ///
    /// The slot stays occupied until the task ends, even if the caller disconnects, as on a real worker.
    ///
    /// # Errors
    ///
    /// Fails with [`TaskEnd::Busy`] or [`TaskEnd::Leaving`].
    pub fn start(&mut self, now: Instant, call: &TaskCall) -> Result<StartedTask, TaskEnd> {
        let faults = self.next_faults();
        let is_full = self.running(now) >= self.options.slots;
        if faults.leave || faults.refuse || is_full {
            self.refused += 1;
            return Err(if faults.leave { TaskEnd::Leaving } else { TaskEnd::Busy });
        }
        let other_task_id = match self.starts.back() {
            Some(start) if start.task_id != call.task_id => start.task_id.clone(),
            _ => format!("{}-other", call.task_id),
        };
        let number = self.record_start(now, call);
        let (run_time, end) = self.plan(&faults, call, other_task_id);
        let lease_expiry = now + call.lease.min(MAX_WAIT);
        let (ends_at, end) = if faults.freeze || now + run_time > lease_expiry {
            (lease_expiry, TaskEnd::LeaseExpired)
        } else {
            (now + run_time, end)
        };
        self.running.insert(number, RunningTask { ends_at, task_id: call.task_id.clone() });
        Ok(StartedTask { end, ends_at, frozen: faults.freeze, number })
    }

    /// Run time and end of a task if its lease does not expire first.
    fn plan(&self, faults: &UpstreamFaults, call: &TaskCall, other_task_id: String) -> (Duration, TaskEnd) {
        let payload = hinge_wire::from_json::<TaskPayload>(call.payload.as_bytes()).unwrap_or_default();
        let base_run_time = payload.run_ms.map_or(self.options.run_time, Duration::from_millis).min(MAX_WAIT);
        let factor = faults.slow_factor.unwrap_or(1.0);
        let run_time = Duration::try_from_secs_f64(base_run_time.as_secs_f64() * factor)
            .unwrap_or(MAX_WAIT)
            .min(MAX_WAIT);
        if faults.fail {
            (Duration::ZERO, TaskEnd::Failed)
        } else if faults.die {
            (run_time / 2, TaskEnd::Disconnected)
        } else if payload.fail {
            (run_time, TaskEnd::Failed)
        } else {
            let task_id = if faults.crossed_answer { other_task_id } else { call.task_id.clone() };
            let result = payload.result.unwrap_or_else(|| call.payload.clone());
            (run_time, TaskEnd::Done { task_id, result, truncated: faults.truncated_answer })
        }
    }

    /// Faults that affect this task request, which counts against their `times`.
    fn next_faults(&mut self) -> UpstreamFaults {
        let faults = self.faults;
        if let Some(times) = faults.times {
            let remaining = times.saturating_sub(1);
            self.faults = if remaining == 0 { UpstreamFaults::default() } else { faults };
            self.faults.times = (remaining > 0).then_some(remaining);
        }
        if faults.times == Some(0) { UpstreamFaults::default() } else { faults }
    }

    /// Records the start of a task and returns its sequence number.
    fn record_start(&mut self, now: Instant, call: &TaskCall) -> u64 {
        self.total_starts += 1;
        let kept_bytes = call.payload.floor_char_boundary(RECORDED_PAYLOAD_BYTES);
        self.starts.push_back(StartRecord {
            at_ms: u64::try_from(now.duration_since(self.created_at).as_millis()).unwrap_or(u64::MAX),
            number: self.total_starts,
            payload: call.payload[..kept_bytes].to_owned(),
            service: call.service.clone(),
            task_id: call.task_id.clone(),
        });
        if self.starts.len() > self.options.max_starts {
            self.starts.pop_front();
        }
        self.total_starts
    }

    /// Returns how a task ended, or `None` while it runs.
    ///
    /// A frozen task ends as well, which frees its slot, but its caller must not get an answer.
    pub fn poll_end(&mut self, now: Instant, task: &StartedTask) -> Option<TaskEnd> {
        if now >= task.ends_at {
            self.running.remove(&task.number);
            return Some(task.end.clone());
        }
        (!self.running.contains_key(&task.number)).then_some(TaskEnd::Stopped)
    }
}

impl Shared<FakeUpstream> {
    /// Runs a task to its end; never returns for a frozen task.
    pub async fn run(&self, call: &TaskCall) -> TaskEnd {
        let task = match self.with(|upstream| upstream.start(Instant::now(), call)) {
            Ok(task) => task,
            Err(refusal) => return refusal,
        };
        if task.frozen {
            return std::future::pending().await;
        }
        self.wait_until(|upstream, now| match upstream.poll_end(now, &task) {
            Some(end) => PollOutcome::Ready(end),
            None => PollOutcome::RetryAt(task.ends_at),
        })
        .await
    }
}
