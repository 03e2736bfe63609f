//! The bytes of an unfinished body, in blocks.

use tokio::time::Instant;

/// Size of the first block, unless more is known to follow.
const MIN_BLOCK_BYTES: usize = 1_024;
/// Size of the largest blocks. Blocks of few sizes leave little unused memory between them when they are freed.
pub(crate) const MAX_BLOCK_BYTES: usize = 16 * 1_024;

/// Received bytes of a body. Small pieces are copied into one block, so that they hold no more memory than their bytes.
#[derive(Debug)]
pub(crate) struct Blocks {
    blocks: Vec<Vec<u8>>,
    capacity_bytes: usize,
    started_at: Instant,
}

impl Blocks {
    pub(crate) fn new(now: Instant) -> Self {
        Self { blocks: Vec::new(), capacity_bytes: 0, started_at: now }
    }

    /// Sum of the sizes of all blocks.
    pub(crate) fn capacity_bytes(&self) -> usize {
        self.capacity_bytes
    }

    /// Size times age; the body with the largest one is shed first.
    pub(crate) fn weight(&self, now: Instant) -> u128 {
        // A body without age has a weight too.
        self.capacity_bytes as u128 * (now.duration_since(self.started_at).as_micros() + 1)
    }

    /// Copies what fits into the last block, and returns the rest.
    pub(crate) fn fill<'a>(&mut self, piece: &'a [u8]) -> &'a [u8] {
        let Some(last) = self.blocks.last_mut() else { return piece };
        let (copied, rest) = piece.split_at(piece.len().min(last.capacity() - last.len()));
        last.extend_from_slice(copied);
        rest
    }

    /// Size of the block that `piece` needs next.
    pub(crate) fn next_block_bytes(&self, piece: &[u8]) -> usize {
        let twice_the_last = self.blocks.last().map_or(MIN_BLOCK_BYTES, |last| last.capacity() * 2);
        piece.len().max(twice_the_last).min(MAX_BLOCK_BYTES)
    }

    pub(crate) fn add_block(&mut self, block: Vec<u8>) {
        self.capacity_bytes += block.capacity();
        self.blocks.push(block);
    }

    /// The whole body.
    pub(crate) fn concat(&self) -> Vec<u8> {
        self.blocks.concat()
    }

    pub(crate) fn into_blocks(self) -> Vec<Vec<u8>> {
        self.blocks
    }
}
