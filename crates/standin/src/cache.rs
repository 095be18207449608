//! Prompt prefix cache with a fixed capacity and LRU eviction.

use std::collections::BTreeMap;

/// Number of prompt tokens in a cache block.
const BLOCK_TOKENS: usize = 16;

/// LRU cache of prompt blocks; a block's hash covers the whole prefix that ends with it.
#[derive(Debug)]
pub struct PrefixCache {
    /// Maximum number of blocks.
    capacity: usize,
    /// Tick of the last use of each block, by block hash.
    last_use: BTreeMap<u64, u64>,
    /// Block hashes by the tick of their last use, for eviction.
    by_use: BTreeMap<u64, u64>,
    tick: u64,
}

impl PrefixCache {
    /// Creates an empty cache with room for `tokens` prompt tokens.
    #[must_use]
    pub fn new(tokens: usize) -> Self {
        Self {
            capacity: tokens / BLOCK_TOKENS,
            last_use: BTreeMap::new(),
            by_use: BTreeMap::new(),
            tick: 0,
        }
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.last_use.clear();
        self.by_use.clear();
    }

    /// Inserts a prompt; returns how many of its leading tokens were cached before.
    pub fn insert(&mut self, prompt: &[&str]) -> usize {
        let hashes = block_hashes(prompt);
        let cached = hashes.iter().take_while(|h| self.last_use.contains_key(h));
        let hits = cached.count();
        // Touched last to first, so that a block is evicted after the blocks that extend it.
        for hash in hashes.iter().rev() {
            self.touch(*hash);
        }
        while self.last_use.len() > self.capacity {
            if let Some((_, oldest)) = self.by_use.pop_first() {
                self.last_use.remove(&oldest);
            }
        }
        hits * BLOCK_TOKENS
    }

    fn touch(&mut self, hash: u64) {
        self.tick += 1;
        if let Some(previous) = self.last_use.insert(hash, self.tick) {
            self.by_use.remove(&previous);
        }
        self.by_use.insert(self.tick, hash);
    }
}

/// Returns a hash for each full block, computed over the prompt up to the block's end.
fn block_hashes(prompt: &[&str]) -> Vec<u64> {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    let mut hashes = Vec::new();
    for block in prompt.chunks_exact(BLOCK_TOKENS) {
        for byte in block.iter().flat_map(|token| token.bytes().chain([b' '])) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        hashes.push(hash);
    }
    hashes
}
