//! Random rotation through the targets of heartbeats.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// Returns every target once, in random order, before it returns any target again.
pub(crate) struct Rotation<T> {
    /// Targets left in the current round.
    pending: Vec<T>,
}

impl<T: Clone + PartialEq> Rotation<T> {
    pub(crate) fn new() -> Self {
        Self { pending: Vec::new() }
    }

    /// The next distinct targets among `all`, at most `count`.
    pub(crate) fn take(&mut self, count: usize, all: &[T], rng: &mut StdRng) -> Vec<T> {
        let count = count.min(all.len());
        let mut taken = Vec::with_capacity(count);
        while taken.len() < count {
            match self.pending.pop() {
                Some(target) if all.contains(&target) && !taken.contains(&target) => taken.push(target),
                Some(_) => {}
                None => {
                    self.pending = all.to_vec();
                    self.pending.shuffle(rng);
                }
            }
        }
        taken
    }
}
