//! Hierarchical timer wheel with a resolution of one nanosecond.

use crate::list::{Links, List};

/// Bits of the time that select the slot within one level.
const LEVEL_BITS: u32 = 6;
const SLOTS: usize = 1 << LEVEL_BITS;
/// Eight levels of six bits cover 2^48 ns or 78 hours; the longest deadline is one hour.
const LEVELS: usize = 8;
/// Half of the range of the wheel; later items are inserted at this distance and checked again there.
const HORIZON: u64 = 1 << (LEVEL_BITS as usize * LEVELS - 1);
/// Level of an item that is not in the wheel.
const ABSENT: u8 = u8::MAX;

#[derive(Clone, Copy, Debug)]
struct Position {
    level: u8,
    slot: u8,
    when: u64,
}

/// Timer wheel that returns the due items without visiting the others.
///
/// Insertion and removal are O(1). An item moves to a lower level at most [`LEVELS`] times before it is due.
#[derive(Debug)]
pub(crate) struct Wheel {
    elapsed: u64,
    links: Links,
    lists: [[List; SLOTS]; LEVELS],
    occupied: [u64; LEVELS],
    positions: Vec<Position>,
}

impl Wheel {
    pub(crate) fn new() -> Self {
        Self {
            elapsed: 0,
            links: Links::default(),
            lists: [[List::EMPTY; SLOTS]; LEVELS],
            occupied: [0; LEVELS],
            positions: Vec::new(),
        }
    }

    /// Adds an item that is due at `when`. A time in the past counts as the next nanosecond.
    pub(crate) fn insert(&mut self, id: u32, when: u64) {
        if self.positions.len() <= id as usize {
            self.positions.resize(id as usize + 1, Position { level: ABSENT, slot: 0, when: 0 });
        }
        // An item beyond the horizon is inserted there, and again when that time comes.
        let target = when.clamp(self.elapsed + 1, self.elapsed + HORIZON);
        let significant = 63 - ((self.elapsed ^ target) | (SLOTS as u64 - 1)).leading_zeros();
        let level = ((significant / LEVEL_BITS) as usize).min(LEVELS - 1);
        let slot = (target >> (level as u32 * LEVEL_BITS)) as usize % SLOTS;
        self.positions[id as usize] = Position { level: level as u8, slot: slot as u8, when };
        self.lists[level][slot].push_back(&mut self.links, id);
        self.occupied[level] |= 1 << slot;
    }

    /// Removes an item, if it is in the wheel.
    pub(crate) fn remove(&mut self, id: u32) {
        let Some(position) = self.positions.get_mut(id as usize) else { return };
        let (level, slot) = (usize::from(position.level), usize::from(position.slot));
        if position.level == ABSENT {
            return;
        }
        position.level = ABSENT;
        self.lists[level][slot].remove(&mut self.links, id);
        if self.lists[level][slot].is_empty() {
            self.occupied[level] &= !(1 << slot);
        }
    }

    /// Advances the time to `now` and moves the items that are due from the wheel to `due`.
    pub(crate) fn advance(&mut self, now: u64, due: &mut Vec<u32>) {
        while let Some((level, slot, start)) = self.next_slot() {
            if start > now {
                break;
            }
            self.elapsed = self.elapsed.max(start);
            self.occupied[level] &= !(1 << slot);
            let mut list = std::mem::replace(&mut self.lists[level][slot], List::EMPTY);
            while let Some(id) = list.pop_front(&mut self.links) {
                let when = self.positions[id as usize].when;
                if when <= self.elapsed {
                    self.positions[id as usize].level = ABSENT;
                    due.push(id);
                } else {
                    self.insert(id, when);
                }
            }
        }
        self.elapsed = self.elapsed.max(now);
    }

    /// Level, index and start time of the first occupied slot. Slots of lower levels always come first.
    fn next_slot(&self) -> Option<(usize, usize, u64)> {
        let level = (0..LEVELS).find(|&level| self.occupied[level] != 0)?;
        let shift = level as u32 * LEVEL_BITS;
        let current = (self.elapsed >> shift) as u32 % SLOTS as u32;
        let ahead = self.occupied[level].rotate_right(current).trailing_zeros();
        let slot = ((current + ahead) % SLOTS as u32) as usize;
        let range = 1_u64 << (shift + LEVEL_BITS);
        let mut start = (self.elapsed & !(range - 1)) + ((slot as u64) << shift);
        if start <= self.elapsed {
            // Only the top level wraps around.
            start += range;
        }
        Some((level, slot, start))
    }

    /// Frees the memory of a past peak; does nothing unless the wheel is empty.
    pub(crate) fn release(&mut self) {
        if self.occupied == [0; LEVELS] {
            self.links = Links::default();
            self.positions = Vec::new();
        }
    }
}
