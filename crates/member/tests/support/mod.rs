//! Simulation of instances that exchange heartbeats over a network with loss, delay, duplication and partitions, in
//! virtual time.
#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]
#![allow(clippy::panic, clippy::unwrap_used, reason = "test support")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hinge_conf::Policy;
use hinge_member::{Members, Notice, Owner};
use hinge_wire::{
    Heartbeat, HeartbeatReply, InstanceKind, InstanceList, InstanceState, ListEntry, ListState, MemberInfo,
    SubmissionKey, TeamDemand, to_msgpack,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

pub const STEP: Duration = Duration::from_millis(50);

pub fn address(index: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 7000 + index).parse().unwrap()
}

pub fn info(index: usize, incarnation: u64) -> MemberInfo {
    MemberInfo {
        config_revision: 1,
        counter: 0,
        data_centre: "dc1".into(),
        free_slots: 100,
        incarnation,
        instance: format!("entry-{index}"),
        peer_address: address(index).to_string(),
        queued_tasks: 1000,
        state: InstanceState::Ready,
    }
}

pub fn listed(index: usize, state: ListState) -> ListEntry {
    ListEntry {
        address: address(index).to_string(),
        data_centre: "dc1".into(),
        id: format!("entry-{index}"),
        kind: InstanceKind::Entry,
        memory_mb: 1,
        peer_address: address(index).to_string(),
        rack: "r1".into(),
        service: String::new(),
        slots: 0,
        state,
    }
}

pub fn key(index: usize, incarnation: u64) -> SubmissionKey {
    let instance = format!("entry-{index}").into();
    SubmissionKey { data_centre: "dc1".into(), incarnation, instance, sequence: 1 }
}

pub fn demand(teams: usize) -> Vec<TeamDemand> {
    (0..teams).map(|team| TeamDemand { starts_per_s: 100_000, team: format!("team-{team:05}") }).collect()
}

enum Message {
    Heartbeat(Heartbeat),
    Reply(HeartbeatReply),
}

/// An instance of the cluster, whose process may be stopped and replaced by one with another incarnation.
pub struct Node {
    pub bytes_sent: u64,
    pub partition: usize,
    pub incarnation: u64,
    pub members: Members,
    pub notices: Vec<Notice>,
    pub running: bool,
}

pub struct Cluster {
    pub duplicate: f64,
    pub ended: Vec<(usize, u64, Instant)>,
    pub loss: f64,
    pub max_delay_ms: u64,
    pub nodes: Vec<Node>,
    pub now: Instant,
    pub rng: StdRng,
    in_flight: BTreeMap<(Instant, u64), (usize, usize, Message)>,
    sent: u64,
    teams: usize,
}

impl Cluster {
    pub fn new(count: usize, teams: usize, seed: u64) -> Self {
        let mut cluster = Self {
            duplicate: 0.0,
            ended: Vec::new(),
            loss: 0.0,
            max_delay_ms: 1,
            nodes: Vec::new(),
            now: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            sent: 0,
            teams,
        };
        cluster.nodes = (0..count).map(|index| cluster.start(index, count)).collect();
        cluster
    }

    fn start(&mut self, index: usize, count: usize) -> Node {
        let incarnation = self.rng.random();
        // Without a list, a process that starts during a partition finds the others only through these.
        let contacts = (0..count.min(8)).map(address).collect();
        let members = Members::new(info(index, incarnation), contacts, &Policy::default(), self.rng.random());
        Node { bytes_sent: 0, partition: 0, incarnation, members, notices: Vec::new(), running: true }
    }

    pub fn stop(&mut self, index: usize) {
        if std::mem::take(&mut self.nodes[index].running) {
            self.ended.push((index, self.nodes[index].incarnation, self.now));
        }
    }

    pub fn restart(&mut self, index: usize) {
        self.stop(index);
        let partition = self.nodes[index].partition;
        self.nodes[index] = Node { partition, ..self.start(index, self.nodes.len()) };
    }

    fn send(&mut self, from: usize, to: usize, bytes: usize, make: impl Fn() -> Message) {
        self.nodes[from].bytes_sent += bytes as u64;
        let copies = 1 + usize::from(self.rng.random_bool(self.duplicate));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) || self.nodes[from].partition != self.nodes[to].partition {
                continue;
            }
            self.sent += 1;
            let at = self.now + Duration::from_millis(self.rng.random_range(0..=self.max_delay_ms));
            self.in_flight.insert((at, self.sent), (from, to, make()));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let (from, to, message) = entry.remove();
            let node = &mut self.nodes[to];
            match message {
                _ if !node.running => {}
                Message::Reply(reply) => node.members.on_reply(self.now, &reply),
                Message::Heartbeat(heartbeat) => {
                    if let Ok(reply) = node.members.on_heartbeat(self.now, &heartbeat) {
                        let bytes = to_msgpack(&reply).unwrap().len();
                        self.send(to, from, bytes, || Message::Reply(reply.clone()));
                    }
                }
            }
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        let demand = demand(self.teams);
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if !node.running {
                continue;
            }
            node.members.tick(self.now, &mut node.notices);
            for outgoing in node.members.heartbeats(self.now, &demand) {
                let bytes = to_msgpack(&outgoing.heartbeat).unwrap().len();
                let to = usize::from(outgoing.address.port()) - 7000;
                self.send(index, to, bytes, || Message::Heartbeat(outgoing.heartbeat.clone()));
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub fn apply_list(&mut self, version: u64, entries: &[ListEntry]) {
        for node in &mut self.nodes {
            node.members.set_list(self.now, &InstanceList { entries: entries.to_vec(), version });
        }
    }

    pub fn owner(&self, at: usize, index: usize, incarnation: u64) -> Owner {
        self.nodes[at].members.owner(&key(index, incarnation))
    }

    /// Checks the invariants after a step: no running process is reported as `Gone`, and no process returns that ended
    /// longer ago than messages can be delayed.
    pub fn check_invariants(&mut self) {
        let running = |(_, node): &(usize, &Node)| node.running;
        for (at, _) in self.nodes.iter().enumerate().filter(running) {
            for (index, other) in self.nodes.iter().enumerate().filter(running) {
                assert_ne!(self.owner(at, index, other.incarnation), Owner::Gone, "{at} about {index}");
            }
        }
        let limit = self.now - Duration::from_secs(1);
        for notice in self.nodes.iter_mut().flat_map(|node| node.notices.drain(..)) {
            if let Notice::Joined { incarnation, returned: true, .. } = notice {
                let late = self.ended.iter().find(|(_, ended, at)| *ended == incarnation && *at < limit);
                assert_eq!(late, None, "{notice:?} at {:?}", self.now);
            }
        }
    }

    /// Running nodes whose leader sets differ from the set of running nodes.
    pub fn diverging_nodes(&self) -> Vec<usize> {
        let mut expected: Vec<String> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].running)
            .map(|index| format!("entry-{index}"))
            .collect();
        expected.sort();
        let agrees = |node: &Node| node.members.leaders().iter().map(|id| &**id).eq(expected.iter());
        (0..self.nodes.len())
            .filter(|index| self.nodes[*index].running && !agrees(&self.nodes[*index]))
            .collect()
    }
}
