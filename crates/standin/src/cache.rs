//! Cache of prompt prefixes in limited memory, least recently used out first.

use std::collections::BTreeMap;

/// Prompt tokens in one block of the cache.
const BLOCK_TOKENS: usize = 16;

/// Blocks of prompt prefixes; a block stands for everything before it too.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    /// Last use of each block, by hash.
    blocks: BTreeMap<u64, u64>,
    /// Blocks by last use.
    uses: BTreeMap<u64, u64>,
    tick: u64,
}

impl PrefixCache {
    /// Creates an empty cache that holds `tokens` prompt tokens.
    #[must_use]
    pub fn new(tokens: usize) -> Self {
        Self {
            capacity: tokens / BLOCK_TOKENS,
            blocks: BTreeMap::new(),
            uses: BTreeMap::new(),
            tick: 0,
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.uses.clear();
    }

    /// Takes in a prompt; returns how many of its tokens were cached.
    pub fn admit(&mut self, prompt: &[&str]) -> usize {
        let hashes = block_hashes(prompt);
        let known = hashes.iter().take_while(|h| self.blocks.contains_key(h));
        let hits = known.count();
        // The first block is touched last, so that a prefix outlives what follows it.
        for hash in hashes.iter().rev() {
            self.touch(*hash);
        }
        while self.blocks.len() > self.capacity {
            if let Some((_, oldest)) = self.uses.pop_first() {
                self.blocks.remove(&oldest);
            }
        }
        hits * BLOCK_TOKENS
    }

    fn touch(&mut self, hash: u64) {
        self.tick += 1;
        if let Some(before) = self.blocks.insert(hash, self.tick) {
            self.uses.remove(&before);
        }
        self.uses.insert(self.tick, hash);
    }
}

/// Returns a hash for each whole block, over the block and all before it.
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
