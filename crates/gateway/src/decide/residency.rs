//! Which engine holds which adapter, as far as this instance knows.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bluebellstage_core::{AdapterVersion, TargetId, Time};
use serde::{Deserialize, Serialize};

use super::adapter::{AdapterAt, AdapterKey};
use super::target::Target;

/// Age of a loader's word after which the engine's own registration is believed again.
const LOADER_WORD_LASTS: Duration = Duration::from_secs(12);

/// How long nothing is sent to an adapter that an engine said it doesn't hold; then one request goes
/// as a scout, and the others go when it is answered.
///
/// Dozens of requests may wait for a hot adapter. When its load took longer than expected all of
/// them were refused at once, again and again, and used up the budget for repeats.
const DOUBT: Duration = Duration::from_millis(60);

/// Adapters that are remembered of each engine after it dropped them; there may be 1,000 engines.
const MOST_LATELY: usize = 100;

/// Orders the words of an engine's loaders: a later lease first, then a later word.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct WordOrder {
    /// Fencing number of the lease.
    pub fencing: u64,
    /// Count of words under that lease.
    pub count: u64,
}

#[derive(Debug, Default)]
struct Holdings {
    adapters: HashMap<AdapterKey, AdapterVersion>,
    order: WordOrder,
    told: Option<Time>,
    born: Option<u64>,
    /// Adapters that it held before, the last one at the end.
    lately: VecDeque<AdapterKey>,
}

impl Holdings {
    fn hold(&mut self, adapters: HashMap<AdapterKey, AdapterVersion>) {
        self.lately.retain(|key| !adapters.contains_key(key));
        let gone = self
            .adapters
            .keys()
            .filter(|key| !adapters.contains_key(*key));
        self.lately.extend(gone.cloned());
        let more = self.lately.len().saturating_sub(MOST_LATELY);
        self.lately.drain(..more);
        self.adapters = adapters;
    }
}

/// Holdings of all engines.
#[derive(Debug, Default)]
pub struct Residency {
    engines: HashMap<TargetId, Holdings>,
    /// Adapters that were found missing, with the time until which nothing is sent.
    doubts: HashMap<(TargetId, AdapterKey), Time>,
}

fn collect(adapters: &[AdapterAt]) -> HashMap<AdapterKey, AdapterVersion> {
    let pairs = adapters.iter().map(|held| (held.key.clone(), held.version));
    pairs.collect()
}

impl Residency {
    /// Takes in an engine's registration: the first word of a new life, later only where no loader
    /// speaks for the engine.
    pub fn registered(&mut self, target: &Target, now: Time) {
        let holdings = self.engines.entry(target.id.clone()).or_default();
        let loader_speaks = holdings
            .told
            .is_some_and(|told| now.since(told) < LOADER_WORD_LASTS);
        if loader_speaks && holdings.born == target.born {
            return;
        }
        if holdings.born != target.born {
            holdings.told = None;
            holdings.lately.clear();
        }
        holdings.hold(collect(&target.adapters));
        holdings.born = target.born;
    }

    /// Takes in a loader's word; false if it or a later one is known.
    pub fn told(
        &mut self,
        target: &TargetId,
        order: WordOrder,
        adapters: &[AdapterAt],
        now: Time,
    ) -> bool {
        let holdings = self.engines.entry(target.clone()).or_default();
        if order <= holdings.order {
            return false;
        }
        holdings.hold(collect(adapters));
        holdings.order = order;
        holdings.told = Some(now);
        true
    }

    /// What a target is known to hold.
    pub fn held(&self, target: &TargetId) -> impl Iterator<Item = AdapterAt> {
        let held = self.engines.get(target).into_iter();
        let held = held.flat_map(|holdings| &holdings.adapters);
        held.map(|(key, version)| AdapterAt {
            key: key.clone(),
            version: *version,
        })
    }

    /// Version of `key` at `target`, if it is there and may be used.
    #[must_use]
    pub fn version(
        &self,
        target: &TargetId,
        key: &AdapterKey,
        now: Time,
    ) -> Option<AdapterVersion> {
        let version = self.engines.get(target)?.adapters.get(key).copied()?;
        if self.doubts.is_empty() {
            return Some(version);
        }
        let doubt = self.doubts.get(&(target.clone(), key.clone()));
        doubt.is_none_or(|until| *until <= now).then_some(version)
    }

    /// Whether `key` is among the last adapters that `target` held, `copies` with those that it holds
    /// now.
    #[must_use]
    pub fn held_lately(&self, target: &TargetId, key: &AdapterKey, copies: usize) -> bool {
        self.engines.get(target).is_some_and(|holdings| {
            let before = copies.saturating_sub(holdings.adapters.len());
            let lately = holdings.lately.iter().rev().take(before);
            lately.into_iter().any(|held| held == key)
        })
    }

    /// Adapters that `target` holds.
    #[must_use]
    pub fn count(&self, target: &TargetId) -> usize {
        let holdings = self.engines.get(target);
        holdings.map_or(0, |holdings| holdings.adapters.len())
    }

    /// A request goes to `key` at `target`: if that is in doubt, it is the scout.
    pub fn sent(&mut self, target: &TargetId, key: &AdapterKey, now: Time) {
        if self.doubts.is_empty() {
            return;
        }
        if let Some(until) = self.doubts.get_mut(&(target.clone(), key.clone())) {
            *until = now + DOUBT;
        }
    }

    /// A request runs on `key` at `target`.
    pub fn proved(&mut self, target: &TargetId, key: &AdapterKey) {
        if !self.doubts.is_empty() {
            self.doubts.remove(&(target.clone(), key.clone()));
        }
    }

    /// A target said that it doesn't hold `key`.
    pub fn missing(&mut self, target: &TargetId, key: &AdapterKey, now: Time) {
        let place = (target.clone(), key.clone());
        self.doubts.insert(place, now + DOUBT);
    }

    /// Forgets old doubts.
    pub fn sweep(&mut self, now: Time) {
        self.doubts.retain(|_, until| now.since(*until) < DOUBT * 4);
    }

    /// Forgets targets that are gone.
    pub fn keep(&mut self, present: impl Fn(&TargetId) -> bool) {
        self.engines.retain(|target, _| present(target));
    }
}
