//! Blocks of bodies that have ended, for the next ones. They stay counted until they are released.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::blocks::MAX_BLOCK_BYTES;

/// Unused blocks of the largest size, which are never more than were in use at once.
///
/// The allocator keeps the memory that a thread has freed for the threads that share its arena. Without a pool, a crowd that is
/// served by several threads takes the limit of bytes several times.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    blocks: Mutex<Vec<Vec<u8>>>,
}

impl Pool {
    /// An unused block of `size_bytes`, if there is one.
    pub(crate) fn take(&self, size_bytes: usize) -> Option<Vec<u8>> {
        if size_bytes == MAX_BLOCK_BYTES { self.blocks().pop() } else { None }
    }

    /// Keeps a block if it has the largest size; returns it otherwise.
    pub(crate) fn put(&self, mut block: Vec<u8>) -> Option<Vec<u8>> {
        if block.capacity() != MAX_BLOCK_BYTES {
            return Some(block);
        }
        block.clear();
        self.blocks().push(block);
        None
    }

    /// Frees blocks with at least `size_bytes` together, or all. Returns the number of bytes that were freed.
    pub(crate) fn release(&self, size_bytes: usize) -> usize {
        let count = size_bytes.div_ceil(MAX_BLOCK_BYTES);
        let mut blocks = self.blocks();
        let kept = blocks.len().saturating_sub(count);
        blocks.drain(kept..).map(|block| block.capacity()).sum()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.blocks().len() * MAX_BLOCK_BYTES
    }

    fn blocks(&self) -> MutexGuard<'_, Vec<Vec<u8>>> {
        self.blocks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
