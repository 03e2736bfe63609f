//! Deployments and their simulated upstreams, on which both versions of the dispatcher run.

use std::time::Duration;

use hinge_wire::{InstanceKind, ListEntry, ListState};

/// Run time of a task on an upstream that fails every task.
const FAST_FAILURE: Duration = Duration::from_millis(2);

/// Size and network delays of a deployment. All delays are one-way.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Delay between a caller and an entry.
    pub client_delay: Duration,
    /// Number of entries in each data centre.
    pub entries: &'static [u32],
    /// Delay between two data centres.
    pub inter_delay: Duration,
    /// Delay within a data centre.
    pub intra_delay: Duration,
    /// Name in the tables and in file names of plots.
    pub name: &'static str,
    /// Number of upstreams in each rack.
    pub rack_size: u32,
    /// Task slots of each upstream.
    pub slots: u32,
    /// Number of upstreams in each data centre.
    pub upstreams: &'static [u32],
}

/// Three data centres, 1.5 ms apart. The upstreams are divided among them in proportion to the entries.
pub const BARFANI: Deployment = Deployment {
    client_delay: Duration::from_millis(1),
    entries: &[3, 3, 2],
    inter_delay: Duration::from_micros(1500),
    intra_delay: Duration::from_micros(250),
    name: "Barfani",
    rack_size: 8,
    slots: 8,
    upstreams: &[19, 19, 12],
};

/// Four data centres, 0.5 ms apart.
pub const COOPERATIVE: Deployment = Deployment {
    client_delay: Duration::from_millis(1),
    entries: &[2, 2, 2, 2],
    inter_delay: Duration::from_micros(500),
    intra_delay: Duration::from_micros(250),
    name: "Co-operative",
    rack_size: 6,
    slots: 8,
    upstreams: &[13, 13, 12, 12],
};

impl Deployment {
    /// Number of slots of all upstreams together.
    #[must_use]
    pub fn total_slots(&self) -> u32 {
        self.upstreams.iter().sum::<u32>() * self.slots
    }

    /// Index of the data centre of each entry.
    #[must_use]
    pub fn entry_data_centres(&self) -> Vec<usize> {
        expand_counts(self.entries)
    }

    /// One-way delay between entries in data centres `a` and `b`.
    #[must_use]
    pub fn peer_delay(&self, a: usize, b: usize) -> Duration {
        if a == b { self.intra_delay } else { self.inter_delay }
    }
}

/// Repeats each index as often as its count says.
fn expand_counts(counts: &[u32]) -> Vec<usize> {
    counts.iter().enumerate().flat_map(|(index, count)| (0..*count).map(move |_| index)).collect()
}

/// Behaviour of a simulated upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Connections to it fail.
    Dead,
    /// Every task fails quickly.
    FailsAll,
    /// Tasks are accepted and never answered.
    Frozen,
    /// Tasks succeed after their specified run time.
    Normal,
    /// Tasks take this many times their specified run time.
    Slow(u32),
}

/// A simulated upstream.
#[derive(Clone, Debug)]
pub struct FleetUpstream {
    /// Current behaviour; faults change it during a run.
    pub behaviour: Behaviour,
    /// Number of slots in use.
    pub busy_slots: u32,
    /// Index of its data centre.
    pub data_centre: usize,
    /// Its entry on the platform's instance list.
    pub list_entry: ListEntry,
}

/// Response of an upstream to a task start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The task runs and occupies a slot until [`Fleet::release_slot`].
    Accepted {
        /// Whether the task fails at its end.
        fails: bool,
        /// Time until the task ends; `None` when the upstream never answers.
        duration: Option<Duration>,
    },
    /// Rejected, because all slots are in use.
    Busy,
    /// The connection failed.
    Unreachable,
}

/// All upstreams of a deployment.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The upstreams, ordered by data centre.
    pub upstreams: Vec<FleetUpstream>,
}

impl Fleet {
    /// Creates the upstreams of `deployment`. A share of `failing_share` of them, spread evenly, fails every task.
    #[must_use]
    pub fn new(deployment: &Deployment, failing_share: f64) -> Self {
        let data_centres = expand_counts(deployment.upstreams);
        let failing = (data_centres.len() as f64 * failing_share).round() as usize;
        let interval = data_centres.len().checked_div(failing).unwrap_or(usize::MAX).max(1);
        let upstreams = data_centres
            .iter()
            .enumerate()
            .map(|(index, data_centre)| FleetUpstream {
                behaviour: if index % interval == interval / 2 && failing > 0 {
                    Behaviour::FailsAll
                } else {
                    Behaviour::Normal
                },
                busy_slots: 0,
                data_centre: *data_centre,
                list_entry: list_entry(deployment, index, *data_centre),
            })
            .collect();
        Self { upstreams }
    }

    /// Starts a task with the specified run time on an upstream.
    pub fn start_task(&mut self, index: usize, run_time: Duration) -> StartOutcome {
        let upstream = &mut self.upstreams[index];
        if upstream.behaviour == Behaviour::Dead {
            return StartOutcome::Unreachable;
        }
        if upstream.busy_slots >= upstream.list_entry.slots {
            return StartOutcome::Busy;
        }
        upstream.busy_slots += 1;
        let (fails, duration) = match upstream.behaviour {
            Behaviour::FailsAll => (true, Some(FAST_FAILURE)),
            Behaviour::Frozen => (false, None),
            Behaviour::Slow(factor) => (false, Some(run_time * factor)),
            Behaviour::Dead | Behaviour::Normal => (false, Some(run_time)),
        };
        StartOutcome::Accepted { fails, duration }
    }

    /// Frees the slot of a task that has ended.
    pub fn release_slot(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.busy_slots = upstream.busy_slots.saturating_sub(1);
    }

    /// Indexes into [`Fleet::upstreams`] of the upstreams in a data centre.
    pub fn in_data_centre(&self, data_centre: usize) -> impl Iterator<Item = usize> {
        (0..self.upstreams.len()).filter(move |index| self.upstreams[*index].data_centre == data_centre)
    }
}

fn list_entry(deployment: &Deployment, index: usize, data_centre: usize) -> ListEntry {
    ListEntry {
        address: format!("127.0.{}.{}:9000", index / 250, index % 250 + 1),
        data_centre: format!("dc{data_centre}"),
        id: format!("up-{index}"),
        kind: InstanceKind::Upstream,
        memory_mb: 32_000,
        peer_address: String::new(),
        rack: format!("rack-{data_centre}-{}", index as u32 / deployment.rack_size),
        service: "service".to_owned(),
        slots: deployment.slots,
        state: ListState::Live,
    }
}
