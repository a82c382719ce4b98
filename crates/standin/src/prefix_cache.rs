//! A prefix cache of limited size that evicts the least recently used prefix first.

use std::collections::VecDeque;

/// Number of leading words of a prompt that form its shared prefix.
const PREFIX_WORDS: usize = 16;

/// Prefixes with their sizes in tokens, least recently used first.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity: u64,
    used: u64,
    prefixes: VecDeque<(String, u64)>,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        PrefixCache {
            capacity,
            ..Self::default()
        }
    }

    /// Marks the prefix of a prompt as used and caches it. Returns the number of tokens that were
    /// cached already and need no prefill.
    pub fn touch(&mut self, prompt: &str) -> u32 {
        let words: Vec<&str> = prompt.split_whitespace().take(PREFIX_WORDS).collect();
        let size = words.len() as u64;
        let prefix = words.join(" ");
        let index = self.prefixes.iter().position(|(known, _)| *known == prefix);
        let hit = index.and_then(|index| self.prefixes.remove(index));
        if hit.is_none() {
            self.used += size;
        }
        self.prefixes.push_back((prefix, size));
        self.evict();
        u32::try_from(hit.map_or(0, |(_, size)| size)).unwrap_or(u32::MAX)
    }

    fn evict(&mut self) {
        while self.used > self.capacity {
            let Some((_, size)) = self.prefixes.pop_front() else {
                return;
            };
            self.used -= size;
        }
    }
}
