//! Stand-in of an upstream: a worker that runs tasks in a fixed number of slots.

use std::collections::VecDeque;
use std::time::Duration;

use hinge_wire::FastMap;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::shared::{Shared, Wait};
use crate::store::MAX_WAIT;

/// Bytes of a payload that a [`StartRecord`] keeps.
const RECORDED_PAYLOAD_BYTES: usize = 256;

/// Settings of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamOptions {
    /// Starts that are remembered; older ones are dropped and counted.
    pub max_starts: usize,
    /// StartedTask time of tasks whose payload does not state one.
    pub run_time: Duration,
    /// Tasks that run at a time.
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
    /// Answers with the id of another task.
    pub crossed_answer: bool,
    /// Closes the connection in the middle of the task.
    pub die: bool,
    /// Fails every task at once, after its start.
    pub fail: bool,
    /// Starts tasks and never answers; a frozen task holds its slot until its lease ends.
    pub freeze: bool,
    /// Refuses tasks as leaving; running ones end normally.
    pub leave: bool,
    /// Refuses tasks as busy, whatever the slots in use.
    pub refuse: bool,
    /// StartedTask times are multiplied by this factor; absent for 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_factor: Option<f64>,
    /// Task requests that are affected, after which all faults end; absent until replaced.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub times: Option<u32>,
    /// Cuts the answer's body short.
    pub truncated_answer: bool,
}

/// A request to run a task.
#[derive(Clone, Debug)]
pub struct TaskCall {
    /// Time after which the upstream stops the task.
    pub lease: Duration,
    /// What to run; see [`TaskPayload`].
    pub payload: String,
    /// Service that the task is for.
    pub service: String,
    /// Id that the answer echoes.
    pub task_id: String,
}

/// Instructions in a payload that is a JSON object of this shape; any other payload is echoed as the result.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TaskPayload {
    /// Whether the task fails after its run time.
    pub fail: bool,
    /// Result; absent: the payload itself.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
    /// StartedTask time in milliseconds; absent: the upstream's default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<u64>,
}

/// A task that was started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRecord {
    /// Time since the upstream's own start, in milliseconds.
    pub at_ms: u64,
    /// Number of the start, from 1.
    pub number: u64,
    /// First 256 bytes of the payload.
    pub payload: String,
    /// Service of the task.
    pub service: String,
    /// Id of the task.
    pub task_id: String,
}

/// Body of the response to `GET /starts`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartsReply {
    /// Task requests refused as busy or leaving.
    pub refused: u64,
    /// Remembered starts, oldest first.
    pub starts: Vec<StartRecord>,
    /// All starts, forgotten ones included.
    pub total: u64,
}

/// How a task request ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskEnd {
    /// Not started, all slots are in use.
    Busy,
    /// Started; the connection closes without an answer.
    Disconnected,
    /// The task ran and has a result.
    Done {
        /// Id to echo; another task's when the answer is crossed.
        task_id: String,
        /// Result of the task.
        result: String,
        /// Whether the answer's body is cut short.
        truncated: bool,
    },
    /// The task ran and failed.
    Failed,
    /// The task's lease ended it.
    LeaseExpired,
    /// Not started, the upstream is leaving.
    Leaving,
    /// `DELETE /tasks/{id}` stopped the task.
    Stopped,
}

/// A started task.
#[derive(Clone, Debug)]
pub struct StartedTask {
    end: TaskEnd,
    /// When the run ends unless it is stopped.
    pub ends_at: Instant,
    /// Whether the caller is never answered.
    pub frozen: bool,
    /// Number of the start, from 1.
    pub number: u64,
}

#[derive(Debug)]
struct Running {
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
    running: FastMap<u64, Running>,
    starts: VecDeque<StartRecord>,
    total: u64,
}

impl FakeUpstream {
    /// An idle upstream without faults.
    #[must_use]
    pub fn new(now: Instant, options: UpstreamOptions) -> Self {
        Self {
            created_at: now,
            faults: UpstreamFaults::default(),
            options,
            refused: 0,
            running: FastMap::default(),
            starts: VecDeque::new(),
            total: 0,
        }
    }

    /// Replaces all faults.
    pub const fn set_faults(&mut self, faults: UpstreamFaults) {
        self.faults = faults;
    }

    /// Tasks that hold a slot.
    pub fn running(&mut self, now: Instant) -> usize {
        self.running.retain(|_, task| task.ends_at > now);
        self.running.len()
    }

    /// Remembered starts with a number above `after`.
    #[must_use]
    pub fn starts(&self, after: u64) -> StartsReply {
        let starts = self.starts.iter().filter(|start| start.number > after).cloned().collect();
        StartsReply { refused: self.refused, starts, total: self.total }
    }

    /// Stops all runs of a task; false when none is running.
    pub fn stop(&mut self, now: Instant, task_id: &str) -> bool {
        let before = self.running(now);
        self.running.retain(|_, task| task.task_id != task_id);
        self.running.len() < before
    }

    /// Starts a task, or tells why it is not started.
    ///
    /// The slot is held until the run's end even when the caller disconnects, as on a real worker.
    ///
    /// # Errors
    ///
    /// Fails with [`TaskEnd::Busy`] or [`TaskEnd::Leaving`].
    pub fn start(&mut self, now: Instant, call: &TaskCall) -> Result<StartedTask, TaskEnd> {
        let faults = self.take_faults();
        let full = self.running(now) >= self.options.slots;
        if faults.leave || faults.refuse || full {
            self.refused += 1;
            return Err(if faults.leave { TaskEnd::Leaving } else { TaskEnd::Busy });
        }
        let other = match self.starts.back() {
            Some(start) if start.task_id != call.task_id => start.task_id.clone(),
            _ => format!("{}-other", call.task_id),
        };
        let number = self.record(now, call);
        let (run_time, end) = self.plan(&faults, call, other);
        let lease_ends = now + call.lease.min(MAX_WAIT);
        let (ends_at, end) = if faults.freeze || now + run_time > lease_ends {
            (lease_ends, TaskEnd::LeaseExpired)
        } else {
            (now + run_time, end)
        };
        self.running.insert(number, Running { ends_at, task_id: call.task_id.clone() });
        Ok(StartedTask { end, ends_at, frozen: faults.freeze, number })
    }

    /// StartedTask time and end of a task, the lease left aside.
    fn plan(&self, faults: &UpstreamFaults, call: &TaskCall, other: String) -> (Duration, TaskEnd) {
        let payload = hinge_wire::from_json::<TaskPayload>(call.payload.as_bytes()).unwrap_or_default();
        let stated = payload.run_ms.map_or(self.options.run_time, Duration::from_millis).min(MAX_WAIT);
        let factor = faults.slow_factor.unwrap_or(1.0);
        let run_time =
            Duration::try_from_secs_f64(stated.as_secs_f64() * factor).unwrap_or(MAX_WAIT).min(MAX_WAIT);
        if faults.fail {
            (Duration::ZERO, TaskEnd::Failed)
        } else if faults.die {
            (run_time / 2, TaskEnd::Disconnected)
        } else if payload.fail {
            (run_time, TaskEnd::Failed)
        } else {
            let task_id = if faults.crossed_answer { other } else { call.task_id.clone() };
            let result = payload.result.unwrap_or_else(|| call.payload.clone());
            (run_time, TaskEnd::Done { task_id, result, truncated: faults.truncated_answer })
        }
    }

    fn take_faults(&mut self) -> UpstreamFaults {
        let faults = self.faults;
        if let Some(times) = faults.times {
            let left = times.saturating_sub(1);
            self.faults = if left == 0 { UpstreamFaults::default() } else { faults };
            self.faults.times = (left > 0).then_some(left);
        }
        if faults.times == Some(0) { UpstreamFaults::default() } else { faults }
    }

    fn record(&mut self, now: Instant, call: &TaskCall) -> u64 {
        self.total += 1;
        let kept = call.payload.floor_char_boundary(RECORDED_PAYLOAD_BYTES);
        self.starts.push_back(StartRecord {
            at_ms: u64::try_from(now.duration_since(self.created_at).as_millis()).unwrap_or(u64::MAX),
            number: self.total,
            payload: call.payload[..kept].to_owned(),
            service: call.service.clone(),
            task_id: call.task_id.clone(),
        });
        if self.starts.len() > self.options.max_starts {
            self.starts.pop_front();
        }
        self.total
    }

    /// How a run ended; `None` while it goes on.
    ///
    /// A frozen run ends as well, because its slot becomes free, but its caller must not be told.
    pub fn poll_end(&mut self, now: Instant, task: &StartedTask) -> Option<TaskEnd> {
        if now >= task.ends_at {
            self.running.remove(&task.number);
            return Some(task.end.clone());
        }
        (!self.running.contains_key(&task.number)).then_some(TaskEnd::Stopped)
    }
}

impl Shared<FakeUpstream> {
    /// Runs a task to its end; does not return for a frozen one.
    pub async fn run(&self, call: &TaskCall) -> TaskEnd {
        let task = match self.with(|upstream| upstream.start(Instant::now(), call)) {
            Ok(task) => task,
            Err(refusal) => return refusal,
        };
        if task.frozen {
            return std::future::pending().await;
        }
        self.wait_until(|upstream, now| match upstream.poll_end(now, &task) {
            Some(end) => Wait::Ready(end),
            None => Wait::Until(task.ends_at),
        })
        .await
    }
}
