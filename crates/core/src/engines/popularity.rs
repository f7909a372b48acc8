//! Request frequency of adapters, with exponential decay.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{AdapterRef, Time};

/// The weight that one request adds.
const REQUEST_WEIGHT: u64 = 1 << 20;

/// Time after which the weight of a request has halved.
const HALF_LIFE: Duration = Duration::from_mins(1);

/// Maximum number of scores; when it is exceeded, the less popular half is removed.
const MAX_SCORES: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Score {
    weight: u64,
    updated_at: Time,
}

impl Score {
    /// Returns the weight at `now`, interpolated linearly between two halvings.
    fn decayed(self, now: Time) -> u64 {
        let half_life = HALF_LIFE.as_micros();
        let age = now.since(self.updated_at).as_micros();
        let halvings = u32::try_from(age / half_life).unwrap_or(u32::MAX);
        let halved = self.weight.checked_shr(halvings).unwrap_or_default();
        let rest = u64::try_from(age % half_life).unwrap_or_default();
        let half_life = u64::try_from(half_life).unwrap_or(1);
        halved - halved.saturating_mul(rest) / half_life / 2
    }
}

/// Popularity scores by adapter.
#[derive(Debug, Default)]
pub(super) struct Popularity {
    scores: BTreeMap<AdapterRef, Score>,
}

impl Popularity {
    pub(super) fn record_request(&mut self, adapter: &AdapterRef, now: Time) {
        let weight = self.score(adapter, now) + REQUEST_WEIGHT;
        let score = Score {
            weight,
            updated_at: now,
        };
        self.scores.insert(adapter.clone(), score);
        if self.scores.len() > MAX_SCORES {
            self.remove_least_popular(now);
        }
    }

    pub(super) fn score(&self, adapter: &AdapterRef, now: Time) -> u64 {
        self.scores
            .get(adapter)
            .map_or(0, |score| score.decayed(now))
    }

    fn remove_least_popular(&mut self, now: Time) {
        let mut scores: Vec<u64> = self
            .scores
            .values()
            .map(|score| score.decayed(now))
            .collect();
        scores.sort_unstable();
        let median = scores[scores.len() / 2];
        self.scores.retain(|_, score| score.decayed(now) > median);
    }
}
