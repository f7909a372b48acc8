//! Targets that refuse requests and ask this instance for rest.
//!
//! A rest binds only the instance that was asked: the target may still take requests of others.

use std::collections::BTreeMap;
use std::time::Duration;

pub use bluebellstage_core::DEFAULT_MAX_REST;
use bluebellstage_core::{TargetId, Time};

use super::target::Target;

/// Minimum interval between two requests to a target whose rest has ended, until it takes one. All that waited
/// for it would otherwise arrive at once.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the end of a rest for which requests are only trials.
const TRIAL_PERIOD: Duration = Duration::from_secs(10);

/// What a response reports about a rest that its target wants.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportedRest {
    /// It asks for none.
    #[default]
    None,
    /// It asks for rest for this long.
    For(Duration),
    /// The header is malformed.
    Malformed,
}

/// The rest of one incarnation of a target.
#[derive(Clone, Copy, Debug)]
struct Rest {
    born: Option<u64>,
    until: Time,
    next_trial: Time,
}

/// Targets that asked this instance for rest.
#[derive(Debug)]
pub struct Rests {
    by_target: BTreeMap<TargetId, Rest>,
    max_rest: Duration,
}

impl Default for Rests {
    fn default() -> Self {
        Self {
            by_target: BTreeMap::new(),
            max_rest: DEFAULT_MAX_REST,
        }
    }
}

impl Rests {
    /// Sets the longest rest that is kept.
    pub fn set_max_rest(&mut self, max_rest: Duration) {
        self.max_rest = max_rest;
    }

    /// Records that an incarnation of a target asks for rest. A shorter rest does not end a longer one. Returns
    /// whether the target was not resting before.
    pub fn record(
        &mut self,
        target: &TargetId,
        born: Option<u64>,
        rest: Duration,
        now: Time,
    ) -> bool {
        let until = now + rest.min(self.max_rest);
        let known = self.by_target.get(target);
        let known = known.filter(|known| known.born == born && known.until > now);
        let rest = Rest {
            born,
            until: known.map_or(until, |known| known.until.max(until)),
            next_trial: Time::default(),
        };
        let is_new = known.is_none();
        self.by_target.insert(target.clone(), rest);
        is_new
    }

    /// Records that a target took a request that was sent at `sent`. Returns whether that ends its rest: a
    /// request from before the end says nothing of it.
    pub fn record_taken(&mut self, target: &TargetId, sent: Time) -> bool {
        let known = self.by_target.get(target);
        let has_ended = known.is_some_and(|known| sent >= known.until);
        if has_ended {
            self.by_target.remove(target);
        }
        has_ended
    }

    /// Records that a request is sent to a target: after the end of a rest it is a trial.
    pub fn record_sent(&mut self, target: &TargetId, now: Time) {
        if let Some(rest) = self.by_target.get_mut(target) {
            rest.next_trial = now + TRIAL_INTERVAL;
        }
    }

    /// Returns how much longer the target gets no requests; zero if it may get one.
    #[must_use]
    pub fn time_left(&self, target: &Target, now: Time) -> Duration {
        let rest = self.by_target.get(&target.id);
        let rest = rest.filter(|rest| rest.born == target.born);
        rest.map_or(Duration::ZERO, |rest| {
            rest.until.max(rest.next_trial).since(now)
        })
    }

    /// Returns the number of targets that rest.
    #[must_use]
    pub fn count(&self, now: Time) -> usize {
        let resting = self.by_target.values().filter(|rest| rest.until > now);
        resting.count()
    }

    /// Removes rests that ended long ago.
    pub fn sweep(&mut self, now: Time) {
        self.by_target
            .retain(|_, rest| now < rest.until + TRIAL_PERIOD);
    }
}
