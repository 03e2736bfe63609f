//! Which faults occur, and when.

use rand::Rng;

use super::{ACTIVE_US, Event, Simulation};

/// Faults of a simulation. Shares are probabilities.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Share of submissions whose callers disconnect when their budget ends without an answer.
    pub(crate) impatient_callers: f64,
    /// Entries are killed and start again.
    pub(crate) kills: bool,
    /// Share of submissions whose callers disconnect.
    pub(crate) leaving_callers: f64,
    /// Connections between entries are closed or silent, in one or both directions.
    pub(crate) link_losses: bool,
    /// Longest time for which entries are frozen; 0 if they are not. More than 0.6 s count as a suspension.
    pub(crate) longest_freeze_ms: u64,
    /// Share of start orders and holds without an answer; some of them are executed late.
    pub(crate) lost_orders: f64,
    /// The same for stop orders.
    pub(crate) lost_stops: f64,
}

pub(crate) const NO_FAULTS: Faults = Faults {
    impatient_callers: 0.0,
    kills: false,
    leaving_callers: 0.0,
    link_losses: false,
    longest_freeze_ms: 0,
    lost_orders: 0.0,
    lost_stops: 0.0,
};

#[derive(Clone, Copy)]
enum Kind {
    Freeze,
    Kill,
    LinkLoss,
}

impl Simulation {
    /// Schedules the next fault.
    pub(crate) fn schedule_fault(&mut self) {
        let at_us = self.now_us + self.rng.random_range(50_000..800_000);
        if at_us < ACTIVE_US + 2_000_000 {
            self.schedule(at_us, Event::Fault);
        }
    }

    /// Lets one of the faults of this simulation occur.
    pub(crate) fn fault(&mut self) {
        self.schedule_fault();
        let kinds = [
            (self.faults.longest_freeze_ms > 0, Kind::Freeze),
            (self.faults.kills, Kind::Kill),
            (self.faults.link_losses, Kind::LinkLoss),
        ];
        let kinds: Vec<_> = kinds.into_iter().filter_map(|(occurs, kind)| occurs.then_some(kind)).collect();
        if kinds.is_empty() {
            return;
        }
        let entry = self.rng.random_range(0..self.entries.len());
        let runs = self.entries[entry].runs(self.now_us);
        match kinds[self.rng.random_range(0..kinds.len())] {
            Kind::Freeze if runs => self.freeze(entry),
            Kind::Kill if runs => {
                let closes = self.rng.random_bool(0.7);
                self.kill(entry, closes);
            }
            Kind::Freeze | Kind::Kill => {}
            Kind::LinkLoss => self.disturb_link(),
        }
    }
}
