//! Tracks which adapters are resident on which engine, as far as this instance knows.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use bluebellstage_core::{AdapterVersion, TargetId, Time};
use serde::{Deserialize, Serialize};

use crate::decide::adapters::adapter::{AdapterKey, VersionedAdapter};
use crate::decide::target::Target;

/// Age of the last loader update after which the engine's own registration is used again.
const LOADER_UPDATE_TTL: Duration = Duration::from_secs(12);

/// How long no request is sent for an adapter that an engine reported as missing. After it one
/// request is sent as a probe, and the others follow when it succeeds.
///
/// Dozens of requests may wait for a hot adapter. When its load took longer than expected, all of
/// them were refused at once, repeatedly, and used up the retry budget.
const MISSING_BACKOFF: Duration = Duration::from_millis(60);

/// Maximum number of evicted adapters that are remembered for each engine; there may be 1,000
/// engines.
const MAX_REMEMBERED_EVICTIONS: usize = 100;

/// Version of a loader's update for an engine. Updates are ordered by lease first, then by number.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ResidencyVersion {
    /// Fencing token of the lease.
    pub fencing: u64,
    /// Number of the update under that lease.
    pub count: u64,
}

#[derive(Debug, Default)]
struct EngineAdapters {
    adapters: BTreeMap<AdapterKey, AdapterVersion>,
    version: ResidencyVersion,
    last_update_at: Option<Time>,
    born: Option<u64>,
    /// Recently evicted adapters, the latest last.
    recently_evicted: VecDeque<AdapterKey>,
}

impl EngineAdapters {
    fn replace_adapters(&mut self, adapters: BTreeMap<AdapterKey, AdapterVersion>) {
        self.recently_evicted
            .retain(|key| !adapters.contains_key(key));
        let evicted = self
            .adapters
            .keys()
            .filter(|key| !adapters.contains_key(*key));
        self.recently_evicted.extend(evicted.cloned());
        let excess = self
            .recently_evicted
            .len()
            .saturating_sub(MAX_REMEMBERED_EVICTIONS);
        self.recently_evicted.drain(..excess);
        self.adapters = adapters;
    }
}

/// Resident adapters of all engines.
#[derive(Debug, Default)]
pub struct Residency {
    engines: HashMap<TargetId, EngineAdapters>,
    /// Adapters that were found missing, with the time until which no request is sent for them.
    missing_until: HashMap<(TargetId, AdapterKey), Time>,
}

fn collect(adapters: &[VersionedAdapter]) -> BTreeMap<AdapterKey, AdapterVersion> {
    let pairs = adapters
        .iter()
        .map(|adapter| (adapter.key.clone(), adapter.version));
    pairs.collect()
}

impl Residency {
    /// Applies an engine's registration. It is used if it starts a new incarnation, or if there is
    /// no recent loader update for the engine.
    pub fn apply_registration(&mut self, target: &Target, now: Time) {
        let engine = self.engines.entry(target.id.clone()).or_default();
        let has_recent_update = engine
            .last_update_at
            .is_some_and(|at| now.since(at) < LOADER_UPDATE_TTL);
        if has_recent_update && engine.born == target.born {
            return;
        }
        if engine.born != target.born {
            engine.last_update_at = None;
            engine.recently_evicted.clear();
        }
        engine.replace_adapters(collect(&target.adapters));
        engine.born = target.born;
    }

    /// Applies a loader's update. Returns `false` if this or a later update is already known.
    pub fn apply_loader_update(
        &mut self,
        target: &TargetId,
        version: ResidencyVersion,
        adapters: &[VersionedAdapter],
        now: Time,
    ) -> bool {
        let engine = self.engines.entry(target.clone()).or_default();
        if version <= engine.version {
            return false;
        }
        engine.replace_adapters(collect(adapters));
        engine.version = version;
        engine.last_update_at = Some(now);
        true
    }

    /// Returns the adapters that `target` is known to hold.
    pub fn adapters_at(&self, target: &TargetId) -> impl Iterator<Item = VersionedAdapter> {
        let adapters = self.engines.get(target).into_iter();
        let adapters = adapters.flat_map(|engine| &engine.adapters);
        adapters.map(|(key, version)| VersionedAdapter {
            key: key.clone(),
            version: *version,
        })
    }

    /// Returns the version of `key` at `target`, if it is resident and may be used.
    #[must_use]
    pub fn usable_version(
        &self,
        target: &TargetId,
        key: &AdapterKey,
        now: Time,
    ) -> Option<AdapterVersion> {
        let version = self.engines.get(target)?.adapters.get(key).copied()?;
        if self.missing_until.is_empty() {
            return Some(version);
        }
        let blocked_until = self.missing_until.get(&(target.clone(), key.clone()));
        blocked_until
            .is_none_or(|until| *until <= now)
            .then_some(version)
    }

    /// Returns whether `key` is among the last `copies` adapters that `target` held, which include
    /// the resident ones.
    #[must_use]
    pub fn held_recently(&self, target: &TargetId, key: &AdapterKey, copies: usize) -> bool {
        self.engines.get(target).is_some_and(|engine| {
            let remembered = copies.saturating_sub(engine.adapters.len());
            let evicted = engine.recently_evicted.iter().rev().take(remembered);
            evicted.into_iter().any(|adapter| adapter == key)
        })
    }

    /// Returns the number of adapters that `target` holds.
    #[must_use]
    pub fn adapter_count(&self, target: &TargetId) -> usize {
        let engine = self.engines.get(target);
        engine.map_or(0, |engine| engine.adapters.len())
    }

    /// Records that a request for `key` is sent to `target`. If the adapter was found missing, the
    /// request is the probe and further requests wait again.
    pub fn record_sent(&mut self, target: &TargetId, key: &AdapterKey, now: Time) {
        if self.missing_until.is_empty() {
            return;
        }
        if let Some(until) = self.missing_until.get_mut(&(target.clone(), key.clone())) {
            *until = now + MISSING_BACKOFF;
        }
    }

    /// Records that a request runs on `key` at `target`.
    pub fn record_success(&mut self, target: &TargetId, key: &AdapterKey) {
        if !self.missing_until.is_empty() {
            self.missing_until.remove(&(target.clone(), key.clone()));
        }
    }

    /// Records that `target` reported `key` as missing.
    pub fn record_missing(&mut self, target: &TargetId, key: &AdapterKey, now: Time) {
        let entry = (target.clone(), key.clone());
        self.missing_until.insert(entry, now + MISSING_BACKOFF);
    }

    /// Removes old entries of missing adapters.
    pub fn sweep(&mut self, now: Time) {
        self.missing_until
            .retain(|_, until| now.since(*until) < MISSING_BACKOFF * 4);
    }

    /// Removes targets that no longer exist.
    pub fn retain_targets(&mut self, is_present: impl Fn(&TargetId) -> bool) {
        self.engines.retain(|target, _| is_present(target));
    }
}
