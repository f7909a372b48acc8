//! Loading adapters into slots and evicting adapters from them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::{
    AdapterRef, InstanceId, OwnershipKey, Revision, SoftwareVersion, TargetId, Time, Tokens,
    WorkspaceId,
};

use super::engine::Engine;
use super::fallback_loads::FallbackLoads;
use super::io::Io;
use super::message::LoadDemand;
use super::owner::GroupOwner;
use super::queue::QueuedRequest;
use super::slot::{Slot, SlotState};
use super::timing::{DEMAND_REFRESH_INTERVAL, LOAD_PERMIT_TTL};
use super::{EnginesMessage, PermitId};

/// After a request has waited this long for a load, a slot is drained for it if none is idle.
const DRAIN_THRESHOLD: Duration = Duration::from_secs(1);

/// Minimum number of waiting requests for which an adapter is loaded on a further engine.
const MIN_WAITING_FOR_COPY: u32 = 3;

/// Minimum number of free batch slots of an engine that gets a further copy of an adapter.
const MIN_FREE_BATCH_SLOTS_FOR_COPY: u32 = 3;

/// The cost of a load in the fair queueing between workspaces.
const LOAD_COST: Tokens = Tokens(2_000);

/// Minimum time between two demands when the demand changes.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(20);

/// The load permits and demands of a group.
#[derive(Debug, Default)]
pub(super) struct Loading {
    /// Load permits in use, with the time before which the load must be ordered.
    pub(super) held_permits: BTreeMap<PermitId, Time>,
    /// Loads that wait for the unload of the adapter in their slot.
    pub(super) planned_loads: BTreeMap<TargetId, (AdapterRef, PermitId)>,
    sent_demands: VecDeque<(u64, Time)>,
    sequence: u64,
    sent_counts: (u32, u32),
    demand_sent_at: Time,
    newest_revision: Revision,
    /// Load permits received recently, so that a duplicated message is used once.
    received_permits: BTreeMap<PermitId, Time>,
    pub(super) fallback: FallbackLoads,
}

impl Loading {
    /// Records a received load permit; returns false for a duplicate.
    fn record_receipt(&mut self, permit: PermitId, now: Time) -> bool {
        self.received_permits
            .retain(|_, at| now < *at + LOAD_PERMIT_TTL * 2);
        self.received_permits.insert(permit, now).is_none()
    }
}

/// The slot that a load can use.
enum LoadSite {
    /// A free slot of the engine.
    Free(TargetId),
    /// The slot of an unused adapter, which is evicted first.
    Replace(TargetId, AdapterRef),
}

impl LoadSite {
    const fn target(&self) -> &TargetId {
        match self {
            Self::Free(target) | Self::Replace(target, _) => target,
        }
    }
}

/// The engines that may run a queued request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct AllowedEngines {
    assigned: Option<TargetId>,
    software: Option<SoftwareVersion>,
}

impl AllowedEngines {
    fn of(queued: &QueuedRequest) -> Self {
        Self {
            assigned: queued.assigned_engine.clone(),
            software: queued.request.software.clone(),
        }
    }

    fn contains(&self, engine: &Engine) -> bool {
        let is_of_version = |software: &SoftwareVersion| *software == engine.software;
        self.assigned.as_ref().is_none_or(|id| *id == engine.id)
            && self.software.as_ref().is_none_or(is_of_version)
    }
}

/// A load that queued requests need.
struct WantedLoad {
    workspace: WorkspaceId,
    adapter: AdapterRef,
    urgent: bool,
    allowed: AllowedEngines,
    may_evict: bool,
    /// Whether the adapter is already resident, on engines without a free batch slot.
    is_copy: bool,
}

impl GroupOwner {
    /// Requests load permits for the loads that queued requests need.
    pub(super) fn request_loads(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        let wanted_loads = self.wanted_loads(now);
        let mut wanted_counts = (0, 0);
        let mut sites = BTreeSet::new();
        let mut unserved = Vec::new();
        for wanted in wanted_loads {
            let Some(site) = self.find_site(io, &wanted, &sites) else {
                unserved.push(wanted);
                continue;
            };
            if wanted.urgent {
                wanted_counts.0 += 1;
            } else {
                wanted_counts.1 += 1;
            }
            sites.insert(site.target().clone());
            if self.replaces_draining(&site) {
                unserved.push(wanted);
            }
        }
        self.drain_slots_for(&unserved, now);
        self.send_demand(io, wanted_counts);
        self.load_without_permit(io);
    }

    fn replaces_draining(&self, site: &LoadSite) -> bool {
        let LoadSite::Replace(target, victim) = site else {
            return false;
        };
        let engine = self.engines.get(target);
        engine
            .and_then(|engine| engine.slots.get(victim))
            .is_some_and(|slot| slot.is_draining)
    }

    /// Returns the loads that queued requests need, in the queue's order.
    fn wanted_loads(&self, now: Time) -> Vec<WantedLoad> {
        let mut seen = BTreeSet::new();
        let mut wanted_loads = Vec::new();
        let can_load_any = self
            .engines
            .values()
            .any(|engine| engine.accepts_requests() && now >= engine.loads_allowed_from);
        if !can_load_any {
            return wanted_loads;
        }
        for (_, queued) in self.queue.iter() {
            let adapter = &queued.request.adapter;
            let allowed = AllowedEngines::of(queued);
            if !seen.insert((adapter, allowed.clone())) {
                continue;
            }
            let is_copy = self.is_resident_or_loading(adapter, &allowed);
            if is_copy && !self.needs_copy(adapter, &allowed, now) {
                continue;
            }
            wanted_loads.push(WantedLoad {
                workspace: queued.request.workspace.clone(),
                is_copy,
                adapter: adapter.clone(),
                urgent: queued.request.urgent,
                allowed,
                may_evict: queued.eviction_allowed_from <= now,
            });
            if wanted_loads.len() >= self.engines.len() {
                break;
            }
        }
        wanted_loads
    }

    /// Whether the adapter is resident, or will be without a further load permit.
    fn is_resident_or_loading(&self, adapter: &AdapterRef, allowed: &AllowedEngines) -> bool {
        let is_planned = self
            .loading
            .planned_loads
            .iter()
            .any(|(target, (adapter_to_load, _))| {
                let engine = self.engines.get(target);
                adapter_to_load == adapter && engine.is_some_and(|engine| allowed.contains(engine))
            });
        is_planned
            || self
                .engines
                .values()
                .filter(|engine| allowed.contains(engine))
                .filter(|engine| engine.accepts_requests())
                .any(|engine| match engine.slots.get(adapter) {
                    None => false,
                    Some(slot) => match slot.state {
                        SlotState::Resident | SlotState::Loading | SlotState::Uncertain(_) => true,
                        SlotState::Unloading => false,
                    },
                })
    }

    /// Whether an adapter should be loaded on a further engine: enough requests wait for it, all
    /// engines that hold it are full, and another engine has free batch slots.
    fn needs_copy(&self, adapter: &AdapterRef, allowed: &AllowedEngines, now: Time) -> bool {
        if allowed.assigned.is_some() || self.queue.demand(adapter).waiting < MIN_WAITING_FOR_COPY {
            return false;
        }
        let accepting = || {
            self.engines
                .values()
                .filter(|engine| engine.accepts_requests() && allowed.contains(engine))
        };
        let all_full = accepting().all(|engine| match engine.slots.get(adapter) {
            None => true,
            Some(slot) => slot.is_resident() && engine.free_batch_slots() == 0,
        });
        all_full
            && accepting().any(|engine| self.can_take_copy(engine) && engine.can_load(adapter, now))
    }

    fn can_take_copy(&self, engine: &Engine) -> bool {
        engine.free_batch_slots() >= MIN_FREE_BATCH_SLOTS_FOR_COPY
            && !self.loading.planned_loads.contains_key(&engine.id)
    }

    /// Returns the slot for a load on an engine outside `excluded`: a free slot if there is one,
    /// else the slot of the least popular adapter that can be evicted.
    fn find_site(
        &self,
        io: &Io<'_, '_>,
        wanted: &WantedLoad,
        excluded: &BTreeSet<TargetId>,
    ) -> Option<LoadSite> {
        let now = io.now();
        let possible: Vec<&Engine> = self
            .engines
            .values()
            .filter(|engine| wanted.allowed.contains(engine))
            .filter(|engine| !excluded.contains(&engine.id))
            .filter(|engine| !self.loading.planned_loads.contains_key(&engine.id))
            .filter(|engine| engine.can_load(&wanted.adapter, now))
            .filter(|engine| !wanted.is_copy || self.can_take_copy(engine))
            .collect();
        let free = possible
            .iter()
            .filter(|engine| engine.free_slots() > 0)
            .max_by_key(|engine| (engine.free_batch_slots(), engine.free_slots(), &engine.id));
        if let Some(engine) = free {
            return Some(LoadSite::Free(engine.id.clone()));
        }
        if !wanted.may_evict {
            return None;
        }
        possible
            .iter()
            .filter(|engine| engine.free_slots() == 0)
            .filter_map(|engine| self.victim(engine, now).map(|victim| (engine, victim)))
            .min_by_key(|(engine, (popularity, _))| (*popularity, engine.permits()))
            .map(|(engine, (_, adapter))| LoadSite::Replace(engine.id.clone(), adapter.clone()))
    }

    /// Returns the least popular adapter that can be evicted, with its popularity.
    fn victim<'a>(&self, engine: &'a Engine, now: Time) -> Option<(u64, &'a AdapterRef)> {
        engine
            .slots
            .iter()
            .filter(|(adapter, slot)| self.can_evict(engine, adapter, slot, now))
            .map(|(adapter, slot)| (self.popularity.score(adapter, now), slot.last_used, adapter))
            .min()
            .map(|(popularity, _, adapter)| (popularity, adapter))
    }

    /// Whether an adapter can be evicted: nothing uses it or is about to use it.
    ///
    /// Guards against an unload that interrupts running requests. No permit is outstanding, and a
    /// report requested after the last permit ended shows no use. After a takeover that report must
    /// have been requested when no incarnation outside the map could send requests any more.
    fn can_evict(&self, engine: &Engine, adapter: &AdapterRef, slot: &Slot, now: Time) -> bool {
        let Some(takeover) = &self.takeover else {
            return false;
        };
        let Some(reports_complete_from) = takeover.reports_complete_from() else {
            return false;
        };
        takeover.knows_all_permits()
            && engine.permits_for(adapter) == 0
            && (slot.is_draining || self.queue.demand(adapter).waiting == 0)
            && slot.has_min_residence(now)
            && slot.is_confirmed_idle(reports_complete_from)
    }

    /// Stops granting permits for one adapter of an engine when a request has waited too long for a
    /// load. Under overload every resident adapter has queued requests, so the others would starve.
    fn drain_slots_for(&mut self, wanted_loads: &[WantedLoad], now: Time) {
        if wanted_loads.is_empty() {
            for engine in self.engines.values_mut() {
                engine
                    .slots
                    .values_mut()
                    .for_each(|slot| slot.is_draining = false);
            }
            return;
        }
        for wanted in wanted_loads
            .iter()
            .filter(|wanted| wanted.may_evict && !wanted.is_copy)
        {
            let waits_too_long = self.queue.iter().any(|(_, queued)| {
                queued.request.adapter == wanted.adapter
                    && queued.queued_at + DRAIN_THRESHOLD <= now
            });
            if waits_too_long {
                self.drain_one_slot(wanted, now);
            }
        }
    }

    fn drain_one_slot(&mut self, wanted: &WantedLoad, now: Time) {
        let engines = self
            .engines
            .values()
            .filter(|engine| wanted.allowed.contains(engine))
            .filter(|engine| engine.can_load(&wanted.adapter, now) && engine.free_slots() == 0);
        let mut candidates = Vec::new();
        for engine in engines {
            if engine.slots.values().any(|slot| slot.is_draining) {
                return;
            }
            let evictable = engine
                .slots
                .iter()
                .filter(|(_, slot)| slot.has_min_residence(now));
            for (adapter, _) in evictable {
                let busy = engine.permits_for(adapter) + self.queue.demand(adapter).waiting;
                let popularity = self.popularity.score(adapter, now);
                candidates.push((busy, popularity, engine.id.clone(), adapter.clone()));
            }
        }
        let Some((_, _, target, adapter)) = candidates.into_iter().min() else {
            return;
        };
        let engine = self.engines.get_mut(&target);
        if let Some(slot) = engine.and_then(|engine| engine.slots.get_mut(&adapter)) {
            slot.is_draining = true;
        }
    }

    fn send_demand(&mut self, io: &mut Io<'_, '_>, wanted_counts: (u32, u32)) {
        let now = io.now();
        let loading = &mut self.loading;
        let is_idle = wanted_counts == (0, 0) && loading.held_permits.is_empty();
        let is_due = now >= loading.demand_sent_at + DEMAND_REFRESH_INTERVAL && !is_idle;
        let has_changed = wanted_counts != loading.sent_counts
            && now >= loading.demand_sent_at + MIN_DEMAND_INTERVAL;
        let Some(owner) = io.cx.ownership.owner(&OwnershipKey::WeightStore).cloned() else {
            return;
        };
        if !is_due && !has_changed {
            return;
        }
        loading.sequence += 1;
        loading.sent_counts = wanted_counts;
        loading.demand_sent_at = now;
        loading.sent_demands.push_back((loading.sequence, now));
        while loading
            .sent_demands
            .front()
            .is_some_and(|(_, at)| *at + LOAD_PERMIT_TTL <= now)
        {
            loading.sent_demands.pop_front();
        }
        let demand = LoadDemand {
            group: self.id.clone(),
            sequence: loading.sequence,
            urgent: wanted_counts.0,
            batch: wanted_counts.1,
            loading: loading.held_permits.keys().copied().collect(),
        };
        io.send(&owner, EnginesMessage::LoadDemand(demand));
    }

    /// Uses a received load permit for the first wanted load, or returns it unused.
    ///
    /// A permit is ignored if it answers a demand sent `LOAD_PERMIT_TTL` ago or earlier, or if it
    /// comes from a former owner of the store: the store's owner no longer counts it, so its load
    /// could exceed the store's limits.
    pub(super) fn handle_load_permit(
        &mut self,
        io: &mut Io<'_, '_>,
        from: &InstanceId,
        sequence: u64,
        permit: PermitId,
    ) {
        let now = io.now();
        let demand_sent = self
            .loading
            .sent_demands
            .iter()
            .find(|(sent, _)| *sent == sequence);
        let is_current = io.cx.ownership.owner(&OwnershipKey::WeightStore) == Some(from)
            && permit.revision >= self.loading.newest_revision;
        let use_before = match demand_sent {
            Some((_, at)) if is_current && now < *at + LOAD_PERMIT_TTL => *at + LOAD_PERMIT_TTL,
            _ => return,
        };
        if !self.loading.record_receipt(permit, now) {
            return;
        }
        self.loading.newest_revision = permit.revision;
        if !self.use_load_permit(io, permit, use_before) {
            self.release_load_permit(io, permit, false);
        }
        self.loading.sent_counts = (u32::MAX, u32::MAX);
    }

    /// Orders the first wanted load under a load permit; returns false if there is none.
    pub(super) fn use_load_permit(
        &mut self,
        io: &mut Io<'_, '_>,
        permit: PermitId,
        use_before: Time,
    ) -> bool {
        let now = io.now();
        if !io.cx.ownership.may_act(now, &self.key) {
            return false;
        }
        let no_exclusions = BTreeSet::new();
        let found = self.wanted_loads(now).into_iter().find_map(|wanted| {
            self.find_site(io, &wanted, &no_exclusions)
                .map(|site| (wanted, site))
        });
        let Some((wanted, site)) = found else {
            return false;
        };
        self.loading.held_permits.insert(permit, use_before);
        self.queue
            .charge(&wanted.workspace, wanted.urgent, LOAD_COST);
        match site {
            LoadSite::Free(target) => self.order_load(io, &target, wanted.adapter, permit),
            LoadSite::Replace(target, victim) => {
                self.loading
                    .planned_loads
                    .insert(target.clone(), (wanted.adapter, permit));
                self.order_unload(io, &target, victim);
            }
        }
        true
    }

    pub(super) fn release_load_permit(
        &mut self,
        io: &mut Io<'_, '_>,
        permit: PermitId,
        used: bool,
    ) {
        self.loading.held_permits.remove(&permit);
        let Some(owner) = io.cx.ownership.owner(&OwnershipKey::WeightStore).cloned() else {
            return;
        };
        let message = EnginesMessage::LoadPermitReleased {
            group: self.id.clone(),
            permit,
            used,
        };
        io.send(&owner, message);
    }
}
