//! Rotation through the targets of heartbeats.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// Visits every target once, in random order, before any target again.
pub(crate) struct Rotation<T> {
    pending: Vec<T>,
}

impl<T: Clone + PartialEq> Rotation<T> {
    pub(crate) fn new() -> Self {
        Self { pending: Vec::new() }
    }

    /// The next targets out of `all`, at most `count` and each at most once.
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
