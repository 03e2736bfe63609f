//! Fault injection: single faults, two at once, and the same fault twice.

use hinge_dispatch::Event;
use hinge_wire::ListState;
use rand::Rng;

use super::node::Node;
use super::world::{Simulation, Step};

#[derive(Clone, Copy)]
enum Fault {
    ChangePolicy,
    Drain,
    KillEntry,
    KillUpstream,
    Leave,
    Pause,
    Return,
}

const FAULTS: [Fault; 7] = [
    Fault::ChangePolicy,
    Fault::Drain,
    Fault::KillEntry,
    Fault::KillUpstream,
    Fault::Leave,
    Fault::Pause,
    Fault::Return,
];

impl<N: Node> Simulation<N> {
    /// Injects a random fault, sometimes with a second one at the same time or the same one twice.
    pub(crate) fn fault(&mut self) {
        let fault = FAULTS[self.rng.random_range(0..FAULTS.len())];
        let (entry, upstream) = self.targets();
        self.cause(fault, entry, upstream);
        match self.rng.random_range(0..3) {
            0 => {
                let other = FAULTS[self.rng.random_range(0..FAULTS.len())];
                let (entry, upstream) = self.targets();
                self.observed.count("two faults at once");
                self.cause(other, entry, upstream);
            }
            1 => {
                self.observed.count("the same fault twice");
                self.cause(fault, entry, upstream);
            }
            _ => {}
        }
    }

    fn targets(&mut self) -> (usize, usize) {
        (self.rng.random_range(0..self.entries.len()), self.rng.random_range(0..self.upstreams.len()))
    }

    fn cause(&mut self, fault: Fault, entry: usize, upstream: usize) {
        match fault {
            Fault::ChangePolicy => self.change_policy(),
            Fault::Drain => self.drain(entry),
            Fault::KillEntry => self.kill(entry),
            Fault::KillUpstream => {
                self.observed.count("upstream deaths");
                self.upstreams[upstream].dead = true;
            }
            Fault::Leave => {
                self.observed.count("upstreams leaving");
                self.upstreams[upstream].leaving = true;
                let state = self.rng.random_bool(0.5).then_some(ListState::Leaving);
                self.after_ms(0, 1000, Step::Publish { state, upstream });
            }
            Fault::Pause => self.pause(entry),
            Fault::Return => {
                for upstream in 0..self.upstreams.len() {
                    let state = &mut self.upstreams[upstream];
                    (state.dead, state.leaving) = (false, false);
                    self.after_ms(0, 1000, Step::Publish { state: Some(ListState::Live), upstream });
                }
            }
        }
    }

    fn drain(&mut self, entry: usize) {
        // At least one entry keeps accepting submissions.
        if self.entries.iter().enumerate().all(|(index, other)| index == entry || other.draining) {
            return;
        }
        self.observed.count("drains");
        self.entries[entry].draining = true;
        let process = self.process(entry);
        self.after_ms(0, 0, Step::Deliver { event: Event::Drain, process });
    }

    /// Kills a process, which loses its state; a new one starts under the same instance id.
    fn kill(&mut self, entry: usize) {
        self.observed.count("entry kills");
        let process = self.process(entry);
        self.observed.lost_processes.insert(process);
        self.entries[entry] = self.new_entry(entry);
        self.send_list(entry);
    }

    fn pause(&mut self, entry: usize) {
        if !self.entries[entry].paused {
            self.observed.count("entry pauses");
            self.entries[entry].paused = true;
            self.after_ms(20, 4000, Step::Resume(entry));
        }
    }
}
