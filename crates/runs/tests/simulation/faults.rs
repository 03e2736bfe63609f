//! Faults of the simulation: crashes, freezes, lost links and disconnecting callers.

use hinge_runs::{Event, Runner};
use rand::Rng;

use crate::support::own;

use super::{
    Assigned, CANCELLED_RUN_LIMIT_MS, LINK_SILENCE_MS, LOST_OWNER_LIMIT_MS, Message, RESUBMIT_MS, Simulation,
    TAKEOVER_MS, home_id,
};

impl Simulation {
    /// Cancels an assignment whose caller has disconnected; the caller resubmits the job.
    pub(super) fn disconnect(&mut self, assignment: u64) {
        let Some(Assigned { home, owner, task, .. }) = self.assignments.remove(&assignment) else { return };
        self.messages.push((self.now_ms + RESUBMIT_MS, Message::Resubmit { task }));
        let epoch = self.processes[owner].epoch;
        let event = Event::Cancelled { assignment, home };
        self.messages.push((self.now_ms + 2, Message::Event { event, epoch, owner }));
    }

    /// Cancels an assignment whose job has failed; the caller gets its answer when the run has ended.
    pub(super) fn cancel(&mut self, assignment: u64) {
        let Some(assigned) = self.assignments.get_mut(&assignment) else { return };
        assigned.cancelled = true;
        let (home, owner) = (assigned.home, assigned.owner);
        let epoch = self.processes[owner].epoch;
        let event = Event::Cancelled { assignment, home };
        self.messages.push((self.now_ms + 2, Message::Event { event, epoch, owner }));
        self.messages.push((self.now_ms + CANCELLED_RUN_LIMIT_MS, Message::Expired { assignment }));
    }

    /// Answers a job without a report; the caller resubmits it at once.
    pub(super) fn expire(&mut self, assignment: u64) {
        if let Some(Assigned { task, .. }) = self.assignments.remove(&assignment) {
            self.messages.push((self.now_ms, Message::Resubmit { task }));
        }
    }

    /// Ends the assignments on a lost owner that satisfy `is_lost`.
    fn lose_owner(&mut self, is_lost: impl Fn(&Assigned) -> bool) {
        let after_ms = if self.faults.answers { LOST_OWNER_LIMIT_MS } else { RESUBMIT_MS };
        self.lose_assignments(after_ms, is_lost);
    }

    /// Ends the assignments that satisfy `is_lost`; their callers resubmit after the given time.
    fn lose_assignments(&mut self, after_ms: u64, is_lost: impl Fn(&Assigned) -> bool) {
        let at_ms = self.now_ms + after_ms;
        let lost = self.assignments.extract_if(.., |_, assigned| is_lost(assigned));
        let resubmits = lost.map(|(_, assigned)| (at_ms, Message::Resubmit { task: assigned.task }));
        self.messages.extend(resubmits);
    }

    /// Crashes an upstream, which starts again later without any state.
    pub(super) fn crash_upstream(&mut self) {
        let id = format!("up-{}", self.rng.random_range(0..2));
        if self.down.contains_key(&id) {
            return;
        }
        self.upstreams.get_mut(&id).unwrap().running.clear();
        let down_ms = self.rng.random_range(50..3_000);
        self.down.insert(id.clone(), self.now_ms + down_ms);
        self.crashed.push(id);
    }

    pub(super) fn restart_upstreams(&mut self) {
        let now_ms = self.now_ms;
        for (id, _) in self.down.extract_if(.., |_, until_ms| *until_ms <= now_ms) {
            self.upstreams.get_mut(&id).unwrap().restart();
            for owner in 0..2 {
                let lag_ms = self.rng.random_range(0..1_500);
                self.messages.push((now_ms + lag_ms, Message::Records { owner }));
            }
        }
    }

    /// Lets each process that runs take over the same upstream, above its last token.
    pub(super) fn take_over_blindly(&mut self) {
        let id = format!("up-{}", self.rng.random_range(0..2));
        let known = self.upstreams[&id].fence;
        for owner in 0..2 {
            if self.processes[owner].silent_since_ms.is_none() {
                let fence = self.fence(owner).raised_above(known, 1);
                self.handle(owner, own(fence, &id));
            }
        }
    }

    /// Kills a process, which restarts later in a new epoch, or freezes it.
    pub(super) fn kill_or_freeze(&mut self, owner: usize, killed: bool) {
        let now_ms = self.now_ms;
        let silent_ms = self.rng.random_range(300..3_000);
        let process = &mut self.processes[owner];
        if process.silent_since_ms.is_some() {
            return;
        }
        process.silent_since_ms = Some(now_ms);
        process.frozen_until_ms = Some(now_ms + silent_ms);
        process.link_down = false;
        process.taken_over = false;
        let id = home_id(owner, process.epoch);
        if killed {
            process.epoch += 1;
            process.runner = Runner::default();
            // The link to the killed process times out even if the new process has a link by then.
            let (peer, event) = (1 - owner, Event::HomeLost(id));
            let epoch = self.processes[peer].epoch;
            self.messages.push((now_ms + LINK_SILENCE_MS, Message::Event { event, epoch, owner: peer }));
        }
        // Callers of a killed home see a closed connection and resubmit; callers of a frozen one wait.
        if killed {
            self.lose_assignments(RESUBMIT_MS, |assigned| assigned.home == id);
        }
    }

    pub(super) fn detect_silence(&mut self, owner: usize) {
        let Some(since_ms) = self.processes[owner].silent_since_ms else { return };
        let peer = 1 - owner;
        let peer_up = self.processes[peer].silent_since_ms.is_none();
        let silent_ms = self.now_ms - since_ms;
        if silent_ms >= LINK_SILENCE_MS && !self.processes[owner].link_down && peer_up {
            self.processes[owner].link_down = true;
            let epoch = self.processes[owner].epoch;
            for epoch in 1..=epoch {
                self.handle(peer, Event::HomeLost(home_id(owner, epoch)));
            }
            if self.faults.link_losses {
                let peer_id = home_id(peer, self.processes[peer].epoch);
                self.lose_owner(|assigned| assigned.home == peer_id && assigned.owner == owner);
            }
        }
        if silent_ms >= TAKEOVER_MS && !self.processes[owner].taken_over && peer_up {
            self.processes[owner].taken_over = true;
            let fence = self.fence(peer);
            self.handle(peer, own(fence, &format!("up-{owner}")));
        }
        if self.processes[owner].frozen_until_ms.is_some_and(|until| self.now_ms >= until) {
            self.resume(owner, silent_ms);
        }
    }

    fn resume(&mut self, owner: usize, silent_ms: u64) {
        let process = &mut self.processes[owner];
        process.silent_since_ms = None;
        process.frozen_until_ms = None;
        if silent_ms > 600 {
            self.handle(owner, Event::Suspended);
        }
        if silent_ms >= LINK_SILENCE_MS {
            let peer = 1 - owner;
            for epoch in 1..=self.processes[peer].epoch {
                self.handle(owner, Event::HomeLost(home_id(peer, epoch)));
            }
            for epoch in 1..=self.processes[owner].epoch {
                let event = Event::HomeLost(home_id(owner, epoch));
                // A frozen peer notices the loss only when it resumes.
                self.deliver(Message::Event { event, owner: peer, epoch: self.processes[peer].epoch });
            }
            if self.faults.link_losses {
                let id = home_id(owner, self.processes[owner].epoch);
                self.lose_owner(|assigned| assigned.home == id && assigned.owner == peer);
            }
        }
        if self.processes[owner].taken_over {
            let (event, peer) = (Event::Release(format!("up-{owner}").into()), 1 - owner);
            self.deliver(Message::Event { event, owner: peer, epoch: self.processes[peer].epoch });
        }
        self.start_process(owner);
    }
}
