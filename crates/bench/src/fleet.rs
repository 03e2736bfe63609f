//! Upstreams in virtual time, shared by both versions of the dispatcher.

use std::time::Duration;

use hinge_wire::{InstanceKind, ListEntry, ListState};

/// Time that an upstream which fails everything needs to fail.
const FAST_FAILURE: Duration = Duration::from_millis(2);

/// Shape of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// One way between a client and an entry.
    pub client_delay: Duration,
    /// Entries in each data centre.
    pub entries: &'static [u32],
    /// One way between data centres.
    pub inter_delay: Duration,
    /// One way within a data centre.
    pub intra_delay: Duration,
    /// Name.
    pub name: &'static str,
    /// Upstreams to a rack.
    pub rack_size: u32,
    /// Slots of each upstream.
    pub slots: u32,
    /// Upstreams in each data centre.
    pub upstreams: &'static [u32],
}

/// Three data centres, 1.5 ms between them. Upstreams are divided in proportion to the entries.
pub const BARFANI: Shape = Shape {
    client_delay: Duration::from_millis(1),
    entries: &[3, 3, 2],
    inter_delay: Duration::from_micros(1500),
    intra_delay: Duration::from_micros(250),
    name: "Barfani",
    rack_size: 8,
    slots: 8,
    upstreams: &[19, 19, 12],
};

/// Four data centres, 0.5 ms between them.
pub const COOPERATIVE: Shape = Shape {
    client_delay: Duration::from_millis(1),
    entries: &[2, 2, 2, 2],
    inter_delay: Duration::from_micros(500),
    intra_delay: Duration::from_micros(250),
    name: "Co-operative",
    rack_size: 6,
    slots: 8,
    upstreams: &[13, 13, 12, 12],
};

impl Shape {
    /// All slots of the deployment.
    #[must_use]
    pub fn total_slots(&self) -> u32 {
        self.upstreams.iter().sum::<u32>() * self.slots
    }

    /// Data centre of each entry.
    #[must_use]
    pub fn entry_data_centres(&self) -> Vec<usize> {
        spread(self.entries)
    }

    /// One way between two entries.
    #[must_use]
    pub fn peer_delay(&self, a: usize, b: usize) -> Duration {
        if a == b { self.intra_delay } else { self.inter_delay }
    }
}

fn spread(counts: &[u32]) -> Vec<usize> {
    counts.iter().enumerate().flat_map(|(index, count)| (0..*count).map(move |_| index)).collect()
}

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Connections fail.
    Dead,
    /// Every task fails quickly.
    FailsAll,
    /// Tasks are accepted and never answered.
    Frozen,
    /// As specified.
    Normal,
    /// Tasks take this many times as long.
    Slow(u32),
}

/// An upstream of the fleet.
#[derive(Clone, Debug)]
pub struct FleetUpstream {
    /// Behaviour.
    pub behaviour: Behaviour,
    /// Slots in use.
    pub busy: u32,
    /// Data centre.
    pub data_centre: usize,
    /// Entry on the platform's list.
    pub listed: ListEntry,
}

/// What an upstream does with a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reception {
    /// Accepted; it ends after this time, or never.
    Accepted {
        /// Whether it fails.
        fails: bool,
        /// Time to its end; `None` when no answer comes.
        time: Option<Duration>,
    },
    /// All slots are in use.
    Busy,
    /// The connection fails.
    Unreachable,
}

/// All upstreams of a deployment.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The upstreams.
    pub upstreams: Vec<FleetUpstream>,
}

impl Fleet {
    /// The upstreams of `shape`; every `1 / failing_share`-th one fails everything.
    #[must_use]
    pub fn new(shape: &Shape, failing_share: f64) -> Self {
        let data_centres = spread(shape.upstreams);
        let failing = (data_centres.len() as f64 * failing_share).round() as usize;
        let step = data_centres.len().checked_div(failing).unwrap_or(usize::MAX).max(1);
        let upstreams = data_centres
            .iter()
            .enumerate()
            .map(|(index, data_centre)| FleetUpstream {
                behaviour: if index % step == step / 2 && failing > 0 {
                    Behaviour::FailsAll
                } else {
                    Behaviour::Normal
                },
                busy: 0,
                data_centre: *data_centre,
                listed: list_entry(shape, index, *data_centre),
            })
            .collect();
        Self { upstreams }
    }

    /// Hands a task with this run time to an upstream.
    pub fn receive(&mut self, index: usize, run_time: Duration) -> Reception {
        let upstream = &mut self.upstreams[index];
        if upstream.behaviour == Behaviour::Dead {
            return Reception::Unreachable;
        }
        if upstream.busy >= upstream.listed.slots {
            return Reception::Busy;
        }
        upstream.busy += 1;
        let (fails, time) = match upstream.behaviour {
            Behaviour::FailsAll => (true, Some(FAST_FAILURE)),
            Behaviour::Frozen => (false, None),
            Behaviour::Slow(factor) => (false, Some(run_time * factor)),
            Behaviour::Dead | Behaviour::Normal => (false, Some(run_time)),
        };
        Reception::Accepted { fails, time }
    }

    /// Frees a slot.
    pub fn release(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.busy = upstream.busy.saturating_sub(1);
    }

    /// Indexes of the upstreams in a data centre.
    pub fn in_data_centre(&self, data_centre: usize) -> impl Iterator<Item = usize> {
        (0..self.upstreams.len()).filter(move |index| self.upstreams[*index].data_centre == data_centre)
    }
}

fn list_entry(shape: &Shape, index: usize, data_centre: usize) -> ListEntry {
    ListEntry {
        address: format!("127.0.{}.{}:9000", index / 250, index % 250 + 1),
        data_centre: format!("dc{data_centre}"),
        id: format!("up-{index}"),
        kind: InstanceKind::Upstream,
        memory_mb: 32_000,
        peer_address: String::new(),
        rack: format!("rack-{data_centre}-{}", index as u32 / shape.rack_size),
        service: "service".to_owned(),
        slots: shape.slots,
        state: ListState::Live,
    }
}
