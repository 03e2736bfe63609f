//! State of the issued keys, one byte per key.

use std::collections::VecDeque;
use std::time::Duration;

use hinge_wire::{Outcome, ResultCode, Sequence};
use tokio::time::Instant;

/// Maximum number of keys per call of [`crate::Ledger::issue`].
pub const MAX_KEYS_PER_ISSUE: u32 = 1000;

/// Unexpired keys allowed per record of `max_records`. Callers request keys in bulk in advance, and a key takes one
/// byte while a record takes several hundred.
const KEYS_PER_RECORD: u64 = 16;

/// Keys issued within this time share a block, which limits the number of blocks when keys are issued one by one.
const MAX_BLOCK_SPAN: Duration = Duration::from_millis(100);

const UNUSED: u8 = 0;
const USED: u8 = 1;

/// State of a sequence number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum KeyState {
    /// Its validity has ended, and its state may have been dropped.
    Expired,
    /// It has not been issued.
    NeverIssued,
    /// Its submission was rejected before any start.
    Rejected(ResultCode),
    /// No submission has used it.
    Unused,
    /// A record was created for it.
    Used,
}

/// Consecutive keys with the same expiry.
struct Block {
    /// Sequence number after the last key.
    end: Sequence,
    expires_at: Instant,
    issued_at: Instant,
}

/// The issued keys that have not been dropped, in order of issue.
pub(crate) struct Keys {
    blocks: VecDeque<Block>,
    first_sequence: Sequence,
    max_keys: u64,
    /// States of the keys from `first_sequence` on: `UNUSED`, `USED`, or the result code number of a rejection.
    states: VecDeque<u8>,
    validity: Duration,
}

impl Keys {
    pub(crate) fn new(max_records: u64, validity: Duration) -> Self {
        let max_keys = max_records.saturating_mul(KEYS_PER_RECORD);
        Self { blocks: VecDeque::new(), first_sequence: 1, max_keys, states: VecDeque::new(), validity }
    }

    pub(crate) fn set_limits(&mut self, max_records: u64, validity: Duration) {
        self.max_keys = max_records.saturating_mul(KEYS_PER_RECORD);
        self.validity = validity;
    }

    fn end_sequence(&self) -> Sequence {
        self.first_sequence + self.states.len() as u64
    }

    /// Issues `count` keys and returns the first sequence number.
    pub(crate) fn issue(&mut self, now: Instant, count: u32) -> Result<Sequence, ResultCode> {
        if !(1..=MAX_KEYS_PER_ISSUE).contains(&count) {
            return Err(ResultCode::InvalidField);
        }
        if self.states.len() as u64 + u64::from(count) > self.max_keys {
            return Err(ResultCode::RecordsFull);
        }
        let start = self.end_sequence();
        self.states.resize(self.states.len() + count as usize, UNUSED);
        self.extend_blocks(now);
        Ok(start)
    }

    /// Adds the new keys to the last block or to a new one. No block expires before an earlier one, even when the
    /// validity was shortened between them.
    fn extend_blocks(&mut self, now: Instant) {
        let end = self.end_sequence();
        let last_expiry = self.blocks.back().map_or(now, |block| block.expires_at);
        let expires_at = last_expiry.max(now + self.validity);
        match self.blocks.back_mut() {
            Some(block) if now.saturating_duration_since(block.issued_at) < MAX_BLOCK_SPAN => {
                block.end = end;
                block.expires_at = expires_at;
            }
            _ => self.blocks.push_back(Block { end, expires_at, issued_at: now }),
        }
    }

    /// Expiry time of the key; `None` when it has been dropped or was never issued.
    pub(crate) fn expires_at(&self, sequence: Sequence) -> Option<Instant> {
        if sequence < self.first_sequence {
            return None;
        }
        let index = self.blocks.partition_point(|block| block.end <= sequence);
        self.blocks.get(index).map(|block| block.expires_at)
    }

    pub(crate) fn state(&self, now: Instant, sequence: Sequence) -> KeyState {
        if sequence >= self.end_sequence() {
            return KeyState::NeverIssued;
        }
        if self.expires_at(sequence).is_none_or(|expires_at| expires_at <= now) {
            return KeyState::Expired;
        }
        match self.states.get((sequence - self.first_sequence) as usize).copied() {
            Some(UNUSED) => KeyState::Unused,
            Some(USED) | None => KeyState::Used,
            Some(number) => match ResultCode::from_number(u16::from(number)) {
                Some(code) => KeyState::Rejected(code),
                None => KeyState::Used,
            },
        }
    }

    fn set(&mut self, sequence: Sequence, value: u8) {
        let index = sequence.checked_sub(self.first_sequence).and_then(|index| usize::try_from(index).ok());
        if let Some(state) = index.and_then(|index| self.states.get_mut(index)) {
            *state = value;
        }
    }

    pub(crate) fn set_used(&mut self, sequence: Sequence) {
        self.set(sequence, USED);
    }

    /// Stores a rejection, which is final for the key.
    pub(crate) fn set_rejected(&mut self, sequence: Sequence, code: ResultCode) {
        debug_assert_eq!(code.outcome(), Outcome::FailedNotRun);
        self.set(sequence, u8::try_from(code.number()).unwrap_or(ResultCode::Overloaded as u8));
    }

    /// Drops expired blocks and calls `used` for each of their keys that has a record.
    pub(crate) fn expire(&mut self, now: Instant, mut used: impl FnMut(Sequence)) {
        while let Some(block) = self.blocks.pop_front_if(|block| block.expires_at <= now) {
            let count = (block.end - self.first_sequence) as usize;
            for (sequence, state) in (self.first_sequence..).zip(self.states.drain(..count)) {
                if state == USED {
                    used(sequence);
                }
            }
            self.first_sequence = block.end;
        }
        if self.states.len() < self.states.capacity() / 4 {
            self.states.shrink_to(self.states.len() * 2);
        }
    }
}
