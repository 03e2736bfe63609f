//! What this entry does when it learns that a data centre is evacuated or taken back.

use std::time::Duration;

use hinge_mesh::Evacuation;
use hinge_runs::{Event, HomeId};
use hinge_wire::DataCentreId;
use tokio::time::Instant;

use crate::journal::LogLine;
use crate::status::Changes;
use crate::{Engine, Output};

/// State of a data centre that is or was evacuated, as this entry sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationReport {
    /// Linked peers that have adopted the same state.
    pub agreeing_peers: usize,
    /// Upstreams of the data centre that this entry owns and that report to be cold.
    pub cold_upstreams: usize,
    /// Data centre that the report is about.
    pub data_centre: DataCentreId,
    /// Time since this entry learnt that it is evacuated; none if it is not.
    pub evacuated_for: Option<Duration>,
    /// Linked peers that have not adopted the state, or do not report it.
    pub other_peers: usize,
    /// Revision of the store at which the state was seen.
    pub revision: u64,
    /// Runs on the upstreams of the data centre that this entry owns.
    pub running: usize,
}

impl Engine {
    /// Obeys evacuations from now on. No task starts until their state is known.
    pub(crate) fn obey_evacuations(&mut self, now: Instant) {
        self.evacuations.enable();
        self.close_data_centres(now);
    }

    /// Adopts the evacuations that the store shows.
    pub(crate) fn read_evacuations(&mut self, now: Instant, keys: &[(DataCentreId, u64)], revision: u64) {
        let changed = self.evacuations.merge_snapshot(now, keys, revision);
        self.adopt_evacuations(now, &changed, None);
    }

    /// Adopts the evacuations that a peer knows.
    pub(crate) fn receive_evacuations(&mut self, now: Instant, id: HomeId, states: Vec<Evacuation>) {
        if !self.evacuations.is_enabled() {
            return;
        }
        let changed = self.evacuations.merge_peer(now, &states);
        self.adopt_evacuations(now, &changed, Some(id));
        if self.evacuations.contradicts(&states) {
            // The peer has missed a change that this entry learnt of together with the one before, and did not send on.
            let changes = Changes { evacuations: self.evacuations.states(), lost_runs: Vec::new() };
            let loads = self.loads.clone();
            self.send_status(id, &loads, changes);
        }
        let Some(peer) = self.peers.get_mut(id) else { return };
        let was_evacuated = |data_centre: &DataCentreId| {
            peer.evacuations.iter().any(|known| known.data_centre == *data_centre && known.evacuated)
        };
        let new = states.iter().filter(|state| state.evacuated != was_evacuated(&state.data_centre));
        let adopted = new.map(|state| LogLine::EvacuationAdopted {
            instance: peer.instance.clone(),
            state: state.clone(),
        });
        self.outputs.extend(adopted.map(Output::Log));
        peer.evacuations = states;
    }

    /// Applies the known states, and tells all peers of those that have changed.
    fn adopt_evacuations(&mut self, now: Instant, changed: &[Evacuation], peer: Option<HomeId>) {
        let was_known = self.evacuations_known;
        self.close_data_centres(now);
        for state in changed {
            let running = self.runner.running_in(&state.data_centre);
            let line = LogLine::Evacuation { peer, running, state: state.clone() };
            self.outputs.push(Output::Log(line));
        }
        self.evacuations_changed |= !changed.is_empty() || was_known != self.evacuations_known;
    }

    /// Lets no task start in evacuated data centres, and none at all while they are not known.
    fn close_data_centres(&mut self, now: Instant) {
        self.evacuations_known = self.evacuations.states().is_some();
        let closed = self.evacuations.closed();
        if closed == self.closed {
            return;
        }
        self.closed = closed.clone();
        self.runner.handle(now, Event::CloseDataCentres(closed));
        self.update_capacities();
        // The tasks that come back must not be placed by loads from before.
        self.update_own_loads(now);
        self.update_load_recipients();
    }

    /// Starts no task for a short time after a suspension unless the state is received again.
    pub(crate) fn mark_evacuations_outdated(&mut self, now: Instant) {
        self.evacuations.mark_outdated(now);
        self.close_data_centres(now);
    }

    pub(crate) fn recheck_evacuations(&mut self, now: Instant) {
        if self.evacuations.recheck(now) {
            self.close_data_centres(now);
        }
    }

    /// Sizes of the upstreams that may get tasks. Jobs with larger tasks are rejected at once.
    pub(crate) fn update_capacities(&mut self) {
        let open =
            self.upstreams.iter().filter(|upstream| !self.evacuations.is_evacuated(&upstream.data_centre));
        self.jobs.set_capacities(open.map(|upstream| (&upstream.service, upstream.capacity)));
    }

    /// Outputs the state of each data centre that is or was evacuated.
    pub(crate) fn report_evacuations(&mut self, now: Instant) {
        let reports: Vec<_> = self
            .evacuations
            .listed()
            .map(|(data_centre, register)| {
                let agrees = |state: &Evacuation| {
                    state.data_centre == *data_centre && state.evacuated == register.evacuated
                };
                let (agreeing, other): (Vec<_>, Vec<_>) =
                    self.peers.linked().partition(|(_, peer)| peer.evacuations.iter().any(agrees));
                EvacuationReport {
                    agreeing_peers: agreeing.len(),
                    cold_upstreams: self.runner.cold_in(now, data_centre),
                    data_centre: data_centre.clone(),
                    evacuated_for: register.evacuated.then(|| now.duration_since(register.changed_at)),
                    other_peers: other.len(),
                    revision: register.revision,
                    running: self.runner.running_in(data_centre),
                }
            })
            .collect();
        if !reports.is_empty() {
            self.outputs.push(Output::Evacuations(reports));
        }
    }
}
