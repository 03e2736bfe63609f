//! What is counted of the bytes of a budget.

use crate::Budget;
use crate::budget::SMALL_BYTES;

/// Bytes that are counted until this is dropped.
#[derive(Debug)]
pub struct Held {
    pub(crate) budget: Budget,
    pub(crate) bytes: usize,
}

impl Held {
    /// Counts a message that has grown to `bytes`, as [`Budget::hold_message`] does. Returns false, and counts nothing more, if
    /// that is too much.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        if bytes <= SMALL_BYTES {
            self.set_bytes(bytes);
            return true;
        }
        let grown = self.budget.take(bytes.saturating_sub(self.bytes), None);
        if grown {
            self.bytes = bytes;
        }
        grown
    }

    /// Number of bytes that it counts.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts what another one counts, in its place.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Counts `bytes` from now on, also if that is more than is left: what is counted exists already.
    pub fn set_bytes(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.budget.add(bytes - self.bytes);
        } else {
            self.budget.give_back(self.bytes - bytes);
        }
        self.bytes = bytes;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.give_back(self.bytes);
    }
}
