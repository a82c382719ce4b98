//! A prefix cache of limited size; least recently used prompts go first.

use std::collections::VecDeque;

/// Words of a prompt that count as its shared prefix.
const PREFIX_WORDS: usize = 16;

/// Remembers prefixes with their sizes in tokens.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity: u64,
    used: u64,
    prefixes: VecDeque<(String, u64)>,
}

impl PrefixCache {
    /// A cache of `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        PrefixCache {
            capacity,
            ..Self::default()
        }
    }

    /// Uses the prefix of a prompt; returns the tokens that need not be read.
    pub fn touch(&mut self, prompt: &str) -> u32 {
        let words: Vec<&str> = prompt.split_whitespace().take(PREFIX_WORDS).collect();
        let size = words.len() as u64;
        let prefix = words.join(" ");
        let place = self.prefixes.iter().position(|(known, _)| *known == prefix);
        let hit = place.and_then(|place| self.prefixes.remove(place));
        if hit.is_none() {
            self.used += size;
        }
        self.prefixes.push_back((prefix, size));
        self.shrink();
        u32::try_from(hit.map_or(0, |(_, size)| size)).unwrap_or(u32::MAX)
    }

    fn shrink(&mut self) {
        while self.used > self.capacity {
            let Some((_, size)) = self.prefixes.pop_front() else {
                return;
            };
            self.used -= size;
        }
    }
}
