//! Picks the engine for a request on an adapter: one that holds it, or one that should load it.

use std::time::Duration;

use bluebellstage_core::{AdapterVersion, TargetId};

use crate::decide::adapters::adapter::AdapterKey;
use crate::decide::placement::{Candidate, Pick, PickContext, send_to};

/// Maximum number of replicas of an adapter that are requested at once when all engines that hold
/// it are full. As many are requested as exist, so a hot adapter spreads over ten engines within a
/// second.
const MAX_NEW_REPLICAS: usize = 4;
/// Duration of a load from an engine's host memory.
const LOAD_FROM_HOST: Duration = Duration::from_millis(27);
/// Cost of a load from the weight store in the choice of an engine: its duration, and more than as
/// much again because all engines share the weight store's load rate.
const LOAD_FROM_STORE: Duration = Duration::from_secs(1);
/// Expected time until an adapter slot becomes free when all are in use.
const SLOT_WAIT: Duration = Duration::from_millis(250);
/// How much later than the best engine the first engine in the adapter's order may be and still get
/// the load. This way all instances send their load requests to one engine, and later find its
/// host-memory copies.
const FIRST_ENGINE_TOLERANCE: Duration = Duration::from_millis(300);

/// An adapter, the candidate engines in the adapter's order, and the selection context.
struct AdapterPlacement<'a, 'b> {
    engines: &'a [&'a Candidate<'b>],
    key: &'a AdapterKey,
    cx: &'a PickContext<'b>,
}

/// Picks among `engines`, which hold the base model and are in the adapter's order.
pub(in crate::decide) fn pick_for_adapter(
    engines: &[&Candidate<'_>],
    key: &AdapterKey,
    cx: &PickContext<'_>,
) -> Pick {
    let placement = AdapterPlacement { engines, key, cx };
    placement.pick()
}

impl<'a, 'b> AdapterPlacement<'a, 'b> {
    fn pick(&self) -> Pick {
        let available = self
            .resident_engines()
            .filter(|candidate| self.has_newest(candidate))
            .filter(|candidate| candidate.congestion(self.cx) < self.cx.terms.room)
            .collect::<Vec<_>>();
        if let Some(candidate) = self.choose_by_free_capacity(&available) {
            return self.send(candidate, Vec::new());
        }
        let congestion = |candidate: &Candidate<'_>| candidate.congestion_ahead(self.cx);
        let least_congested = self
            .resident_engines()
            .min_by(|a, b| congestion(a).total_cmp(&congestion(b)));
        match least_congested.map(|candidate| (candidate, candidate.excess_delay(self.cx))) {
            Some((candidate, Duration::ZERO)) => self.send(candidate, self.replica_targets()),
            Some((candidate, excess)) => Pick::Late {
                target: candidate.target.id.clone(),
                excess,
                load_at: self.replica_targets(),
            },
            None => self.best_load_target().map_or(Pick::Full, Pick::Load),
        }
    }

    fn send(&self, candidate: &Candidate<'_>, load_at: Vec<TargetId>) -> Pick {
        send_to(candidate, self.version(candidate), load_at, self.cx)
    }

    /// Returns the resident version if a request may start on it.
    fn version(&self, candidate: &Candidate<'_>) -> Option<AdapterVersion> {
        let cx = self.cx;
        let id = &candidate.target.id;
        let version = cx.residency.usable_version(id, self.key, cx.now)?;
        let queue_wait = candidate.queue_wait.max(candidate.recent_max_wait);
        let usable = cx.versions.may_start(self.key, version, queue_wait, cx.now);
        usable.then_some(version)
    }

    fn has_newest(&self, candidate: &Candidate<'_>) -> bool {
        let version = self.version(candidate);
        version.is_some_and(|version| self.cx.versions.is_newest(self.key, version))
    }

    fn resident_engines(&self) -> impl Iterator<Item = &'a Candidate<'b>> {
        let open = self.engines.iter().copied();
        let open = open.filter(|candidate| candidate.can_connect);
        open.filter(|candidate| self.version(candidate).is_some())
    }

    /// Returns the engines that can load the adapter and don't hold it.
    fn load_targets(&self) -> impl Iterator<Item = &'a Candidate<'b>> {
        let can_load = self.engines.iter().copied();
        let can_load = can_load.filter(|candidate| candidate.can_load);
        can_load.filter(|candidate| {
            let cx = self.cx;
            let id = &candidate.target.id;
            cx.residency.usable_version(id, self.key, cx.now).is_none()
        })
    }

    /// Returns the engines on which replicas should be loaded when those that hold the adapter are
    /// full.
    fn replica_targets(&self) -> Vec<TargetId> {
        let max_replicas = self.resident_engines().count().clamp(1, MAX_NEW_REPLICAS);
        let targets = self.load_targets();
        let targets = targets.filter(|candidate| candidate.accepts_replica(self.cx));
        let mut targets = targets.collect::<Vec<_>>();
        targets.sort_by_key(|candidate| candidate.predicted_steps(self.cx));
        let ids = targets
            .into_iter()
            .map(|candidate| candidate.target.id.clone());
        let mut ids = ids.take(max_replicas).collect::<Vec<_>>();
        if ids.is_empty() {
            let mut any = self.engines.iter().filter(|candidate| candidate.can_load);
            ids.extend(any.next().map(|candidate| candidate.target.id.clone()));
        }
        ids
    }

    /// Returns the engine on which the adapter can be used soonest: the first in order that is not
    /// much later than the best one.
    ///
    /// An engine that was already chosen is kept, because each load request makes its queue longer:
    /// requests that switched to another engine had the adapter loaded twice.
    fn best_load_target(&self) -> Option<TargetId> {
        let mut loadable = self.load_targets();
        if let Some(candidate) =
            loadable.find(|candidate| self.cx.load_requested_at == Some(&candidate.target.id))
        {
            return Some(candidate.target.id.clone());
        }
        let best = self
            .load_targets()
            .map(|candidate| self.estimated_load_time(candidate))
            .min();
        let Some(best) = best else {
            let mut any = self.engines.iter().filter(|candidate| candidate.can_load);
            return any.next().map(|candidate| candidate.target.id.clone());
        };
        let limit = best + FIRST_ENGINE_TOLERANCE;
        let mut targets = self.load_targets();
        let first = targets.find(|candidate| self.estimated_load_time(candidate) <= limit);
        first.map(|candidate| candidate.target.id.clone())
    }

    /// Estimates the time until the adapter can be used on an engine. A load from the weight store
    /// costs more than its duration.
    fn estimated_load_time(&self, candidate: &Candidate<'_>) -> Duration {
        let residency = self.cx.residency;
        let slots = candidate.adapter_slots;
        let host_copies = usize::from(slots.host_copies);
        let is_cached = residency.held_recently(&candidate.target.id, self.key, host_copies);
        let load = if is_cached {
            LOAD_FROM_HOST
        } else {
            LOAD_FROM_STORE
        };
        let slots_ahead =
            (u32::from(slots.waiting_adapters) + 1).saturating_sub(u32::from(slots.free));
        load + SLOT_WAIT * slots_ahead + candidate.queue_wait
    }

    /// Chooses a random candidate, weighted by free capacity.
    ///
    /// What instances know of each other's requests is a fraction of a second old: if the first or
    /// the least loaded engine were taken, all instances would choose the same one at once.
    fn choose_by_free_capacity(
        &self,
        candidates: &[&'a Candidate<'b>],
    ) -> Option<&'a Candidate<'b>> {
        let free_capacity =
            |candidate: &Candidate<'_>| (1.0 - candidate.congestion(self.cx)).max(0.01);
        let total = candidates
            .iter()
            .map(|candidate| free_capacity(candidate))
            .sum::<f64>();
        let mut remaining = self.cx.sample * total;
        for candidate in candidates {
            remaining -= free_capacity(candidate);
            if remaining <= 0.0 {
                return Some(candidate);
            }
        }
        candidates.last().copied()
    }
}
