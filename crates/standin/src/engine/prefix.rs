//! A prefix cache with limited memory.

use std::collections::VecDeque;

use crate::hash::hash;

/// Bytes of a prompt's start that make up its cached prefix.
const PREFIX_BYTES: usize = 1_024;

/// Bytes of text that count as one token.
pub(super) const BYTES_PER_TOKEN: usize = 4;

/// Prefixes by last use, the latest at the back.
#[derive(Debug)]
pub(super) struct PrefixCache {
    held: VecDeque<u64>,
    capacity: usize,
}

impl PrefixCache {
    pub(super) const fn new(capacity: usize) -> Self {
        Self {
            held: VecDeque::new(),
            capacity,
        }
    }

    pub(super) fn clear(&mut self) {
        self.held.clear();
    }

    /// How many of a prompt's tokens need no prefill; its prefix is held from now on.
    pub(super) fn use_prefix(&mut self, adapter: &str, prompt: &str) -> usize {
        if prompt.len() < PREFIX_BYTES {
            return 0;
        }
        let prefix = &prompt.as_bytes()[..PREFIX_BYTES];
        let key = hash(&[adapter.as_bytes(), prefix]);
        let hit = self.held.iter().position(|held| *held == key);
        if let Some(index) = hit {
            self.held.remove(index);
        }
        self.held.push_back(key);
        if self.held.len() > self.capacity {
            self.held.pop_front();
        }
        hit.map_or(0, |_| PREFIX_BYTES / BYTES_PER_TOKEN)
    }
}
