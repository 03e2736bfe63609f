//! Register of evacuated data centres: per data centre the state with the highest revision of the store.
//!
//! States come from the store and from peers, in any order and more than once. The result depends only on which states have
//! been merged, so that entries agree as soon as one has told the others.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use hinge_mesh::Evacuation;
use hinge_runs::ClosedDataCentres;
use hinge_wire::{DataCentreId, FastSet};
use tokio::time::Instant;

/// Maximum number of data centres that are sent to peers and shown in metrics, and of those that are remembered although they are
/// not evacuated. Bounds messages and memory when other programs write odd keys; the keys themselves are bounded by the store.
const MAX_DATA_CENTRES: usize = 256;
/// Maximum length of the id of a data centre, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Time after a suspension in which no task starts unless the store or a peer sends the state again. Answers that arrived
/// during the suspension are read within a few milliseconds, and links come up again within 0.15 s.
const RECHECK_TIME: Duration = Duration::from_millis(300);

/// State of one data centre.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Register {
    /// When this process learnt of the state.
    pub(crate) changed_at: Instant,
    pub(crate) evacuated: bool,
    pub(crate) revision: u64,
}

/// Whether the states of the data centres are known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Knowledge {
    /// The feature is off: no state is read, sent or obeyed.
    Disabled,
    /// Nothing was received since the start of the process.
    Unknown,
    /// The process was suspended; the known states hold again from this time on, or when the store or a peer sends them.
    Outdated(Instant),
    Known,
}

/// Evacuated data centres, and those that have been evacuated.
#[derive(Debug)]
pub(crate) struct Evacuations {
    by_data_centre: BTreeMap<DataCentreId, Register>,
    knowledge: Knowledge,
    /// Data centres of the registered upstreams. Odd keys must not crowd them out.
    served: FastSet<DataCentreId>,
}

impl Default for Evacuations {
    fn default() -> Self {
        Self { by_data_centre: BTreeMap::new(), knowledge: Knowledge::Disabled, served: FastSet::default() }
    }
}

impl Evacuations {
    /// Obeys evacuations from now on. Their state is not known yet.
    pub(crate) fn enable(&mut self) {
        if self.knowledge == Knowledge::Disabled {
            self.knowledge = Knowledge::Unknown;
        }
    }

    pub(crate) fn is_enabled(&self) -> bool {
        self.knowledge != Knowledge::Disabled
    }

    /// Sets the data centres of the registered upstreams.
    pub(crate) fn set_served(&mut self, data_centres: FastSet<DataCentreId>) {
        self.served = data_centres;
    }

    /// Merges the states that a peer knows. Returns those that have changed.
    pub(crate) fn merge_peer(&mut self, now: Instant, states: &[Evacuation]) -> Vec<Evacuation> {
        self.merge(now, &states[..states.len().min(MAX_DATA_CENTRES)])
    }

    fn merge(&mut self, now: Instant, states: &[Evacuation]) -> Vec<Evacuation> {
        if self.knowledge == Knowledge::Disabled {
            return Vec::new();
        }
        self.knowledge = Knowledge::Known;
        let changed = states.iter().filter(|state| self.merge_one(now, state)).cloned().collect();
        self.forget_ended();
        changed
    }

    /// Whether one of the states is not that of the register, although the register has been merged with them.
    pub(crate) fn contradicts(&self, states: &[Evacuation]) -> bool {
        states.iter().any(|state| {
            let register = self.by_data_centre.get(&state.data_centre);
            register.is_some_and(|register| register.evacuated != state.evacuated)
        })
    }

    /// Merges the keys that the store shows at `revision`. Known data centres without a key are not evacuated.
    pub(crate) fn merge_snapshot(
        &mut self,
        now: Instant,
        keys: &[(DataCentreId, u64)],
        revision: u64,
    ) -> Vec<Evacuation> {
        let present = keys.iter().map(|(data_centre, revision)| (data_centre.clone(), *revision, true));
        let is_absent = |data_centre: &DataCentreId| !keys.iter().any(|(key, _)| key == data_centre);
        let absent = self
            .by_data_centre
            .iter()
            .filter(|(data_centre, register)| register.evacuated && is_absent(data_centre));
        let absent = absent.map(|(data_centre, _)| (data_centre.clone(), revision, false));
        let states: Vec<_> = present
            .chain(absent)
            .map(|(data_centre, revision, evacuated)| Evacuation { data_centre, evacuated, revision })
            .collect();
        self.merge(now, &states)
    }

    /// Merges one state; returns whether the data centre is now evacuated and was not, or the other way round.
    fn merge_one(&mut self, now: Instant, state: &Evacuation) -> bool {
        if !is_valid_id(&state.data_centre) {
            return false;
        }
        let known = self.by_data_centre.get_mut(&state.data_centre);
        let was_evacuated = known.as_ref().is_some_and(|register| register.evacuated);
        let changes = was_evacuated != state.evacuated;
        let new = Register { changed_at: now, evacuated: state.evacuated, revision: state.revision };
        match known {
            Some(register)
                if (state.revision, state.evacuated) <= (register.revision, register.evacuated) =>
            {
                false
            }
            Some(register) if changes => {
                *register = new;
                true
            }
            Some(register) => {
                register.revision = state.revision;
                false
            }
            None => {
                self.by_data_centre.insert(state.data_centre.clone(), new);
                changes
            }
        }
    }

    /// Forgets data centres that are not evacuated if there are many, those that have not been for the longest time first.
    fn forget_ended(&mut self) {
        let ended = self.by_data_centre.iter().filter(|(_, register)| !register.evacuated);
        let mut ended: Vec<_> = ended
            .map(|(data_centre, register)| {
                (!self.served.contains(data_centre), Reverse(register.revision), data_centre.clone())
            })
            .collect();
        ended.sort_unstable();
        for (_, _, data_centre) in ended.into_iter().skip(MAX_DATA_CENTRES) {
            self.by_data_centre.remove(&data_centre);
        }
    }

    /// Records that the process was suspended, so that the state may have changed unnoticed.
    pub(crate) fn mark_outdated(&mut self, now: Instant) {
        if self.knowledge == Knowledge::Known {
            self.knowledge = Knowledge::Outdated(now + RECHECK_TIME);
        }
    }

    /// Ends the time after a suspension; true if the known states hold again.
    pub(crate) fn recheck(&mut self, now: Instant) -> bool {
        let over = matches!(self.knowledge, Knowledge::Outdated(until) if now >= until);
        if over {
            self.knowledge = Knowledge::Known;
        }
        over
    }

    /// Data centres whose upstreams get no new tasks.
    pub(crate) fn closed(&self) -> ClosedDataCentres {
        match self.knowledge {
            Knowledge::Unknown | Knowledge::Outdated(_) => ClosedDataCentres::All,
            Knowledge::Disabled | Knowledge::Known => {
                let evacuated = self.by_data_centre.iter().filter(|(_, register)| register.evacuated);
                ClosedDataCentres::Some(evacuated.map(|(data_centre, _)| data_centre.clone()).collect())
            }
        }
    }

    pub(crate) fn is_evacuated(&self, data_centre: &DataCentreId) -> bool {
        self.by_data_centre.get(data_centre).is_some_and(|register| register.evacuated)
    }

    /// All states, for peers; none while this process does not know them.
    pub(crate) fn states(&self) -> Option<Vec<Evacuation>> {
        if matches!(self.knowledge, Knowledge::Disabled | Knowledge::Unknown) {
            return None;
        }
        let states = self.listed().map(|(data_centre, register)| Evacuation {
            data_centre: data_centre.clone(),
            evacuated: register.evacuated,
            revision: register.revision,
        });
        Some(states.collect())
    }

    /// The states for peers and metrics, at most [`MAX_DATA_CENTRES`]: those of served data centres first.
    pub(crate) fn listed(&self) -> impl Iterator<Item = (&DataCentreId, &Register)> {
        let mut listed: Vec<_> = self.by_data_centre.iter().collect();
        listed.sort_by_key(|(data_centre, register)| {
            (!self.served.contains(*data_centre), !register.evacuated, Reverse(register.revision))
        });
        listed.into_iter().take(MAX_DATA_CENTRES)
    }
}

/// Whether an id consists of visible ASCII characters and is not a path.
fn is_valid_id(id: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/')
}
