//! How often adapters are asked for, with old asks counting less and less.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{AdapterRef, Time};

/// What one ask adds.
const UNIT: u64 = 1 << 20;

/// An ask counts half after this long.
const HALF_LIFE: Duration = Duration::from_mins(1);

/// Entries kept; the least popular half is forgotten beyond.
const CAPACITY: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Score {
    value: u64,
    at: Time,
}

impl Score {
    fn at(self, now: Time) -> u64 {
        let half_life = HALF_LIFE.as_micros();
        let age = now.since(self.at).as_micros();
        let halvings = u32::try_from(age / half_life).unwrap_or(u32::MAX);
        let halved = self.value.checked_shr(halvings).unwrap_or_default();
        let rest = u64::try_from(age % half_life).unwrap_or_default();
        let half_life = u64::try_from(half_life).unwrap_or(1);
        halved - halved.saturating_mul(rest) / half_life / 2
    }
}

/// Scores of adapters.
#[derive(Debug, Default)]
pub(super) struct Popularity {
    scores: BTreeMap<AdapterRef, Score>,
}

impl Popularity {
    pub(super) fn asked(&mut self, adapter: &AdapterRef, now: Time) {
        let value = self.score(adapter, now) + UNIT;
        let score = Score { value, at: now };
        self.scores.insert(adapter.clone(), score);
        if self.scores.len() > CAPACITY {
            self.forget(now);
        }
    }

    pub(super) fn score(&self, adapter: &AdapterRef, now: Time) -> u64 {
        self.scores.get(adapter).map_or(0, |score| score.at(now))
    }

    fn forget(&mut self, now: Time) {
        let mut scores: Vec<u64> = self.scores.values().map(|score| score.at(now)).collect();
        scores.sort_unstable();
        let median = scores[scores.len() / 2];
        self.scores.retain(|_, score| score.at(now) > median);
    }
}
