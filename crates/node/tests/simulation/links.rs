//! Links between the entries: delays, stalls, late frames, closed connections, and the detection of lost links by each side.

use std::time::Duration;

use hinge_mesh::{HEARTBEAT_INTERVAL, Liveness, MeshEvent, Message, Timestamps};
use hinge_node::Input;
use hinge_runs::whole_ms;
use hinge_wire::FastSet;
use rand::Rng;
use tokio::time::Instant;

use super::{Event, Simulation};

/// Time for which a link lasts after its connection was closed.
const RESUME_WINDOW_US: u64 = 150_000;
/// Time without a message after which a peer gets no new tasks.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(220);

/// Frames that take longer and longer, without a gap that counts as silence.
#[derive(Clone, Copy, Debug, Default)]
struct Lateness {
    from_us: u64,
    longest_us: u64,
    until_us: u64,
}

impl Lateness {
    /// Time that a frame takes that is sent now.
    fn delay_us(&self, now_us: u64) -> u64 {
        if now_us >= self.until_us {
            return 0;
        }
        (now_us.saturating_sub(self.from_us) / 2).min(self.longest_us)
    }
}

/// One side's view of its link to a peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Side {
    /// Identifies the link; 0 while it is down.
    pub(crate) link: u64,
    lateness: Lateness,
    /// When the peer was alive; none before the first link.
    liveness: Option<Liveness>,
    /// Arrival of the last message to this side, so that messages arrive in order.
    last_arrival_us: u64,
    /// Incarnation of the process at the other end.
    peer: u64,
    /// Until when messages to this side are stalled.
    pub(crate) stalled_until_us: u64,
}

impl Side {
    /// The state of a new process.
    pub(crate) fn without_link(&self) -> Self {
        Self { link: 0, ..self.clone() }
    }
}

/// What arrives over a link.
#[derive(Clone, Debug)]
pub(crate) enum Frame {
    Closed,
    Heartbeat(Timestamps),
    Message(Message, Timestamps),
    /// A link was opened at the given time.
    Up {
        dialled_us: u64,
    },
}

impl Simulation {
    fn side(&mut self, at: usize, peer: usize) -> &mut Side {
        &mut self.entries[at].sides[peer]
    }

    /// Sends a frame over a link, after the frames that were sent before it.
    fn send_frame(&mut self, from: usize, to: usize, link: u64, frame: Frame) {
        let delay_us = self.rng.random_range(0..=3_000);
        let now_us = self.now_us;
        let side = self.side(to, from);
        let delay_us = delay_us + side.lateness.delay_us(now_us);
        let at_us = (now_us.max(side.stalled_until_us) + delay_us).max(side.last_arrival_us);
        side.last_arrival_us = at_us;
        self.schedule(at_us, Event::Frame { frame, from, link, to });
    }

    pub(crate) fn send_message(&mut self, from: usize, incarnation: u64, message: Message) {
        let Some(to) = self.entries.iter().position(|entry| entry.incarnation == incarnation) else { return };
        let link = self.side(from, to).link;
        if to != from && link != 0 {
            let timestamps = self.timestamps(from, to);
            self.send_frame(from, to, link, Frame::Message(message, timestamps));
        }
    }

    /// The time stamps that an entry sends to a peer now.
    fn timestamps(&mut self, from: usize, to: usize) -> Timestamps {
        let now = self.now();
        let liveness = self.side(from, to).liveness.as_ref().unwrap();
        liveness.timestamps(now, liveness.peer_ms())
    }

    /// Handles a frame that has arrived at an entry that is neither dead nor frozen.
    pub(crate) fn receive(&mut self, from: usize, to: usize, link: u64, frame: Frame) {
        let (now_us, stalled_until_us) = (self.now_us, self.side(to, from).stalled_until_us);
        if stalled_until_us > now_us {
            return self.schedule(stalled_until_us, Event::Frame { frame, from, link, to });
        }
        if let Frame::Up { dialled_us } = frame {
            return self.link_up(from, to, link, dialled_us);
        }
        let side = self.side(to, from);
        if side.link != link {
            return;
        }
        let peer = side.peer;
        match frame {
            Frame::Closed => {
                let grace_us = self.rng.random_range(0..=RESUME_WINDOW_US);
                self.schedule(now_us + grace_us, Event::Down { at: to, link, peer: from, silent: false });
            }
            Frame::Heartbeat(timestamps) => {
                self.record_timestamps(from, to, timestamps);
            }
            Frame::Message(message, timestamps) => {
                if let Some(sent_after) = self.record_timestamps(from, to, timestamps) {
                    self.push_input(to, Input::Mesh(MeshEvent::Received { message, peer, sent_after }));
                }
            }
            Frame::Up { .. } => {}
        }
    }

    /// Returns a time before which the frame was not sent; none if the link is down, because the peer was not alive lately.
    fn record_timestamps(&mut self, from: usize, to: usize, timestamps: Timestamps) -> Option<Instant> {
        let now = self.now();
        let side = self.side(to, from);
        let (link, liveness) = (side.link, side.liveness.as_mut().unwrap());
        liveness.record_arrival(now, &Message::Timestamps(timestamps)).unwrap();
        if now < liveness.alive_until() {
            return Some(liveness.sent_after());
        }
        self.link_down(to, from, link, true);
        None
    }

    fn link_up(&mut self, from: usize, to: usize, link: u64, dialled_us: u64) {
        let now = self.now();
        let dialled_at = self.base + Duration::from_micros(dialled_us);
        let hello = self.entries[from].hello();
        let side = self.side(to, from);
        let liveness = Liveness::new(now, dialled_at, true);
        let old = (side.link, side.peer, side.liveness.replace(liveness));
        side.link = link;
        side.peer = hello.incarnation;
        if old.0 != 0 && old.1 != hello.incarnation {
            // The link to an earlier process lasts until it has been silent for too long.
            let silent_at = old.2.unwrap().alive_until();
            let at_us = whole_ms(silent_at.duration_since(self.base)) * 1_000;
            let epoch = self.entries[to].epoch;
            let input = Input::Mesh(self.down_event(old.1, true));
            self.schedule(at_us, Event::Input { entry: to, epoch, input: Box::new(input) });
        }
        self.push_input(to, Input::Mesh(MeshEvent::Up(hello)));
    }

    fn down_event(&self, peer: u64, silent: bool) -> MeshEvent {
        let since = self.now();
        MeshEvent::Down { error: "lost".to_owned(), peer, sent_after: since, silent, since }
    }

    /// Voids a link at one side, which closes the connection.
    pub(crate) fn link_down(&mut self, at: usize, peer: usize, link: u64, silent: bool) {
        let side = self.side(at, peer);
        if side.link != link || link == 0 {
            return;
        }
        side.link = 0;
        let incarnation = side.peer;
        self.counts.lost_links += 1;
        self.note(|| format!("entry {at} has lost its link to entry {peer}, silent: {silent}"));
        let event = self.down_event(incarnation, silent);
        self.push_input(at, Input::Mesh(event));
        if !self.entries[peer].is_dead() {
            self.send_frame(at, peer, link, Frame::Closed);
        }
    }

    /// Voids all links of an entry.
    pub(crate) fn reset_links(&mut self, of: usize) {
        for peer in (0..self.entries.len()).filter(|peer| *peer != of) {
            let link = self.side(of, peer).link;
            self.link_down(of, peer, link, true);
        }
    }

    /// Sends heartbeats, detects silent peers and dials peers without a link.
    pub(crate) fn maintain_links(&mut self, at: usize) {
        let (now, now_us) = (self.now(), self.now_us);
        let mut unresponsive = FastSet::default();
        for peer in (0..self.entries.len()).filter(|peer| *peer != at) {
            let side = self.side(at, peer).clone();
            let liveness = side.liveness.as_ref().filter(|_| side.link != 0);
            match liveness {
                None => self.dial(at, peer),
                Some(liveness) if now >= liveness.alive_until() => {
                    self.link_down(at, peer, side.link, true);
                }
                Some(liveness) => {
                    let last_arrival = liveness.last_arrival();
                    if last_arrival.is_some_and(|last| now.duration_since(last) > UNRESPONSIVE_AFTER) {
                        unresponsive.insert(side.peer);
                    }
                    let timestamps = self.timestamps(at, peer);
                    self.send_frame(at, peer, side.link, Frame::Heartbeat(timestamps));
                }
            }
        }
        if unresponsive != self.entries[at].unresponsive {
            self.entries[at].unresponsive.clone_from(&unresponsive);
            self.push_input(at, Input::UnresponsivePeers(unresponsive));
        }
        let epoch = self.entries[at].epoch;
        // More often than heartbeats are due, so that silence is noticed in time.
        let next_us = now_us + whole_ms(HEARTBEAT_INTERVAL / 2) * 1_000;
        self.schedule(next_us, Event::Links { entry: at, epoch });
    }

    /// Opens a link; the entry with the smaller number dials.
    fn dial(&mut self, at: usize, peer: usize) {
        let now_us = self.now_us;
        let reachable = self.side(at, peer).stalled_until_us <= now_us
            && self.side(peer, at).stalled_until_us <= now_us
            && self.entries[peer].runs(now_us)
            && now_us >= self.entries[at].redial_us[peer].max(self.entries[peer].redial_us[at]);
        if at > peer || !reachable {
            return;
        }
        self.next_link += 1;
        let link = self.next_link;
        self.send_frame(at, peer, link, Frame::Up { dialled_us: now_us });
        self.send_frame(peer, at, link, Frame::Up { dialled_us: now_us });
    }

    /// Disturbs the link between two entries: a closed connection, silence, or silence in one direction.
    pub(crate) fn disturb_link(&mut self) {
        let at = self.rng.random_range(0..self.entries.len());
        let peer = (at + self.rng.random_range(1..self.entries.len())) % self.entries.len();
        let now_us = self.now_us;
        let until_us = now_us + self.rng.random_range(50_000..1_500_000);
        match self.rng.random_range(0..4) {
            0 => {
                self.note(|| format!("the connection of entries {at} and {peer} is closed"));
                let away_us = self.rng.random_range(0..1_500_000);
                self.entries[at].redial_us[peer] = now_us + away_us;
                for (side, other) in [(at, peer), (peer, at)] {
                    let link = self.side(side, other).link;
                    let grace_us = RESUME_WINDOW_US + self.rng.random_range(0..=20_000);
                    // Nothing arrives over a closed connection.
                    self.side(side, other).stalled_until_us = now_us + grace_us;
                    self.schedule(
                        now_us + grace_us,
                        Event::Down { at: side, link, peer: other, silent: false },
                    );
                }
            }
            1 => {
                self.note(|| format!("entries {at} and {peer} are cut off until {} ms", until_us / 1_000));
                self.side(at, peer).stalled_until_us = until_us;
                self.side(peer, at).stalled_until_us = until_us;
            }
            2 => {
                let longest_us = self.rng.random_range(100_000..2_500_000);
                let until_us = now_us + self.rng.random_range(500_000..5_000_000);
                self.note(|| format!("frames of {peer} to {at} are up to {} ms late", longest_us / 1_000));
                self.side(at, peer).lateness = Lateness { from_us: now_us, longest_us, until_us };
            }
            _ => {
                self.note(|| format!("nothing arrives at {at} from {peer} until {} ms", until_us / 1_000));
                self.side(at, peer).stalled_until_us = until_us;
            }
        }
    }

    /// The connections of a killed entry are closed.
    pub(crate) fn close_links(&mut self, of: usize) {
        for peer in (0..self.entries.len()).filter(|peer| *peer != of) {
            let link = self.side(of, peer).link;
            if link != 0 && !self.entries[peer].is_dead() {
                self.send_frame(of, peer, link, Frame::Closed);
            }
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.base + Duration::from_micros(self.now_us)
    }
}
