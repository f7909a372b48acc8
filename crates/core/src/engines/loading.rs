//! Filling and emptying slots, and learning what engines hold.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::{AdapterRef, InstanceId, OwnershipKey, Revision, TargetId, Time, Tokens, WorkspaceId};

use super::engine::Engine;
use super::home::GroupHome;
use super::io::Io;
use super::message::LoadDemand;
use super::slot::{Slot, SlotState};
use super::timing::{DEMAND_REFRESH, LOAD_START};
use super::unpermitted::Unpermitted;
use super::{EnginesMessage, PermitRef};

/// A request that waited this long for a load gets a slot drained for it if none is idle.
const DRAIN_AFTER: Duration = Duration::from_secs(1);

/// An adapter is copied to a second engine when so many requests wait for it.
const COPY_WAITING: u32 = 3;

/// Places that an engine must have free to get a copy.
const COPY_PLACES: u32 = 3;

/// What a load counts as when workspaces share a group fairly.
const LOAD_COST: Tokens = Tokens(2_000);

/// Least time between two changed demands.
const DEMAND_INTERVAL: Duration = Duration::from_millis(20);

/// Load permits and demands of a group.
#[derive(Debug, Default)]
pub(super) struct Loading {
    /// Load permits held, with the time before which the load must be ordered.
    pub(super) held: BTreeMap<PermitRef, Time>,
    /// Loads that wait for their slot to be emptied.
    pub(super) planned: BTreeMap<TargetId, (AdapterRef, PermitRef)>,
    demands: VecDeque<(u64, Time)>,
    sequence: u64,
    sent: (u32, u32),
    sent_at: Time,
    newest: Revision,
    /// Load permits that came lately: one that comes twice is used once.
    came: BTreeMap<PermitRef, Time>,
    pub(super) unpermitted: Unpermitted,
}

impl Loading {
    fn first_time(&mut self, permit: PermitRef, now: Time) -> bool {
        self.came.retain(|_, at| now < *at + LOAD_START * 2);
        self.came.insert(permit, now).is_none()
    }
}

/// Where a load could go.
enum Site {
    /// Into a free slot.
    Free(TargetId),
    /// In place of an adapter that nothing uses.
    Replace(TargetId, AdapterRef),
}

impl Site {
    const fn target(&self) -> &TargetId {
        match self {
            Self::Free(target) | Self::Replace(target, _) => target,
        }
    }
}

/// A load that the queue asks for.
struct Want {
    workspace: WorkspaceId,
    adapter: AdapterRef,
    urgent: bool,
    bound: Option<TargetId>,
    evicts: bool,
    /// It is resident already, where there is no place.
    copy: bool,
}

impl GroupHome {
    /// Asks for load permits for what waits for a load.
    pub(super) fn load(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        let wants = self.wants(now);
        let mut counts = (0, 0);
        let mut sites = BTreeSet::new();
        let mut unserved = Vec::new();
        for want in wants {
            let Some(site) = self.site(io, &want, &sites) else {
                unserved.push(want);
                continue;
            };
            if want.urgent {
                counts.0 += 1;
            } else {
                counts.1 += 1;
            }
            sites.insert(site.target().clone());
            if self.is_drained(&site) {
                unserved.push(want);
            }
        }
        self.drain_for(&unserved, now);
        self.tell_demand(io, counts);
        self.load_without_permit(io);
    }

    fn is_drained(&self, site: &Site) -> bool {
        let Site::Replace(target, victim) = site else {
            return false;
        };
        let engine = self.engines.get(target);
        engine
            .and_then(|engine| engine.slots.get(victim))
            .is_some_and(|slot| slot.draining)
    }

    /// Adapters that wait for a load, in the queue's order.
    fn wants(&self, now: Time) -> Vec<Want> {
        let mut seen = BTreeSet::new();
        let mut wants = Vec::new();
        let loads_possible = self
            .engines
            .values()
            .any(|engine| engine.is_open() && now >= engine.load_from);
        if !loads_possible {
            return wants;
        }
        for (_, waiting) in self.queue.iter() {
            let adapter = &waiting.ask.adapter;
            if !seen.insert((adapter, waiting.bound.as_ref())) {
                continue;
            }
            let copy = self.is_at_hand(adapter, waiting.bound.as_ref());
            if copy && !self.needs_copy(adapter, waiting.bound.as_ref(), now) {
                continue;
            }
            wants.push(Want {
                workspace: waiting.ask.workspace.clone(),
                copy,
                adapter: adapter.clone(),
                urgent: waiting.ask.urgent,
                bound: waiting.bound.clone(),
                evicts: waiting.evicts_from <= now,
            });
            if wants.len() >= self.engines.len() {
                break;
            }
        }
        wants
    }

    /// Whether the adapter is resident, or will be without another load.
    fn is_at_hand(&self, adapter: &AdapterRef, bound: Option<&TargetId>) -> bool {
        let planned = self
            .loading
            .planned
            .iter()
            .any(|(target, (next, _))| next == adapter && bound.is_none_or(|id| id == target));
        planned
            || self
                .engines
                .values()
                .filter(|engine| bound.is_none_or(|id| *id == engine.id))
                .filter(|engine| engine.is_open())
                .any(|engine| match engine.slots.get(adapter) {
                    None => false,
                    Some(slot) => match slot.state {
                        SlotState::Resident | SlotState::Loading | SlotState::Doubtful(_) => true,
                        SlotState::Unloading => false,
                    },
                })
    }

    /// Whether an adapter's queue is worth a second engine: those that hold it are full, and others
    /// are not.
    fn needs_copy(&self, adapter: &AdapterRef, bound: Option<&TargetId>, now: Time) -> bool {
        if bound.is_some() || self.queue.demand(adapter).waiting < COPY_WAITING {
            return false;
        }
        let open = || self.engines.values().filter(|engine| engine.is_open());
        let full = open().all(|engine| match engine.slots.get(adapter) {
            None => true,
            Some(slot) => slot.is_resident() && engine.free_places() == 0,
        });
        full && open().any(|engine| self.takes_copy(engine) && engine.may_load(adapter, now))
    }

    fn takes_copy(&self, engine: &Engine) -> bool {
        engine.free_places() >= COPY_PLACES && !self.loading.planned.contains_key(&engine.id)
    }

    fn site(&self, io: &Io<'_, '_>, want: &Want, taken: &BTreeSet<TargetId>) -> Option<Site> {
        let now = io.now();
        let possible: Vec<&Engine> = self
            .engines
            .values()
            .filter(|engine| want.bound.as_ref().is_none_or(|id| *id == engine.id))
            .filter(|engine| !taken.contains(&engine.id))
            .filter(|engine| !self.loading.planned.contains_key(&engine.id))
            .filter(|engine| engine.may_load(&want.adapter, now))
            .filter(|engine| !want.copy || self.takes_copy(engine))
            .collect();
        let free = possible
            .iter()
            .filter(|engine| engine.free_slots() > 0)
            .max_by_key(|engine| (engine.free_places(), engine.free_slots(), &engine.id));
        if let Some(engine) = free {
            return Some(Site::Free(engine.id.clone()));
        }
        if !want.evicts {
            return None;
        }
        possible
            .iter()
            .filter(|engine| engine.free_slots() == 0)
            .filter_map(|engine| self.victim(engine, now).map(|victim| (engine, victim)))
            .min_by_key(|(engine, (worth, _))| (*worth, engine.permits()))
            .map(|(engine, (_, adapter))| Site::Replace(engine.id.clone(), adapter.clone()))
    }

    /// The least wanted adapter whose slot may be emptied.
    fn victim<'a>(&self, engine: &'a Engine, now: Time) -> Option<(u64, &'a AdapterRef)> {
        engine
            .slots
            .iter()
            .filter(|(adapter, slot)| self.may_evict(engine, adapter, slot, now))
            .map(|(adapter, slot)| (self.popularity.score(adapter, now), slot.last_used, adapter))
            .min()
            .map(|(worth, _, adapter)| (worth, adapter))
    }

    /// Whether nothing uses, or is about to use, an adapter.
    ///
    /// Guards against an unload that breaks off what runs: no permit is out, a report asked after
    /// the last one ended shows no use, and after a takeover that report was asked when no life
    /// outside the map could send any more.
    fn may_evict(&self, engine: &Engine, adapter: &AdapterRef, slot: &Slot, now: Time) -> bool {
        let Some(tenure) = &self.tenure else {
            return false;
        };
        let Some(settled) = tenure.settled_from() else {
            return false;
        };
        tenure.knows_permits()
            && engine.uses(adapter) == 0
            && (slot.draining || self.queue.demand(adapter).waiting == 0)
            && slot.is_settled_in(now)
            && slot.is_proved_idle(settled)
    }

    /// Stops letting requests in on one adapter of an engine where a request waits too long for a
    /// load: under overload every resident adapter has work, and others would starve.
    fn drain_for(&mut self, wants: &[Want], now: Time) {
        if wants.is_empty() {
            for engine in self.engines.values_mut() {
                engine
                    .slots
                    .values_mut()
                    .for_each(|slot| slot.draining = false);
            }
            return;
        }
        for want in wants.iter().filter(|want| want.evicts && !want.copy) {
            let waits_long = self
                .queue
                .iter()
                .any(|(_, it)| it.ask.adapter == want.adapter && it.since + DRAIN_AFTER <= now);
            if waits_long {
                self.drain_one(want, now);
            }
        }
    }

    fn drain_one(&mut self, want: &Want, now: Time) {
        let engines = self
            .engines
            .values()
            .filter(|engine| want.bound.as_ref().is_none_or(|id| *id == engine.id))
            .filter(|engine| engine.may_load(&want.adapter, now) && engine.free_slots() == 0);
        let mut choices = Vec::new();
        for engine in engines {
            if engine.slots.values().any(|slot| slot.draining) {
                return;
            }
            let settled = engine
                .slots
                .iter()
                .filter(|(_, slot)| slot.is_settled_in(now));
            for (adapter, _) in settled {
                let busy = engine.uses(adapter) + self.queue.demand(adapter).waiting;
                let worth = self.popularity.score(adapter, now);
                choices.push((busy, worth, engine.id.clone(), adapter.clone()));
            }
        }
        let Some((_, _, target, adapter)) = choices.into_iter().min() else {
            return;
        };
        let engine = self.engines.get_mut(&target);
        if let Some(slot) = engine.and_then(|engine| engine.slots.get_mut(&adapter)) {
            slot.draining = true;
        }
    }

    fn tell_demand(&mut self, io: &mut Io<'_, '_>, counts: (u32, u32)) {
        let now = io.now();
        let loading = &mut self.loading;
        let idle = counts == (0, 0) && loading.held.is_empty();
        let due = now >= loading.sent_at + DEMAND_REFRESH && !idle;
        let changed = counts != loading.sent && now >= loading.sent_at + DEMAND_INTERVAL;
        let Some(home) = io.cx.own.owner(&OwnershipKey::WeightStore).cloned() else {
            return;
        };
        if !due && !changed {
            return;
        }
        loading.sequence += 1;
        loading.sent = counts;
        loading.sent_at = now;
        loading.demands.push_back((loading.sequence, now));
        while loading
            .demands
            .front()
            .is_some_and(|(_, at)| *at + LOAD_START <= now)
        {
            loading.demands.pop_front();
        }
        let demand = LoadDemand {
            group: self.id.clone(),
            sequence: loading.sequence,
            urgent: counts.0,
            batch: counts.1,
            loading: loading.held.keys().copied().collect(),
        };
        io.send(&home, EnginesMessage::LoadDemand(demand));
    }

    /// A load permit came: used for what is wanted most now, or handed back.
    ///
    /// One that answers a demand sent longer than `LOAD_START` ago, or that comes from a former home
    /// of the store, is not used: the store's limits would be exceeded by loads that its home no
    /// longer counts.
    pub(super) fn may_load(
        &mut self,
        io: &mut Io<'_, '_>,
        from: &InstanceId,
        sequence: u64,
        permit: PermitRef,
    ) {
        let now = io.now();
        let asked_for = self.loading.demands.iter().find(|(it, _)| *it == sequence);
        let current = io.cx.own.owner(&OwnershipKey::WeightStore) == Some(from)
            && permit.revision >= self.loading.newest;
        let use_before = match asked_for {
            Some((_, at)) if current && now < *at + LOAD_START => *at + LOAD_START,
            _ => return,
        };
        if !self.loading.first_time(permit, now) {
            return;
        }
        self.loading.newest = permit.revision;
        if !self.use_load_permit(io, permit, use_before) {
            self.hand_back(io, permit, false);
        }
        self.loading.sent = (u32::MAX, u32::MAX);
    }

    pub(super) fn use_load_permit(
        &mut self,
        io: &mut Io<'_, '_>,
        permit: PermitRef,
        before: Time,
    ) -> bool {
        let now = io.now();
        if !io.cx.own.may_act(now, &self.key) {
            return false;
        }
        let none = BTreeSet::new();
        let found = self
            .wants(now)
            .into_iter()
            .find_map(|want| self.site(io, &want, &none).map(|site| (want, site)));
        let Some((want, site)) = found else {
            return false;
        };
        self.loading.held.insert(permit, before);
        self.queue.charge(&want.workspace, want.urgent, LOAD_COST);
        match site {
            Site::Free(target) => self.order_load(io, &target, want.adapter, permit),
            Site::Replace(target, victim) => {
                self.loading
                    .planned
                    .insert(target.clone(), (want.adapter, permit));
                self.order_unload(io, &target, victim);
            }
        }
        true
    }

    pub(super) fn hand_back(&mut self, io: &mut Io<'_, '_>, permit: PermitRef, used: bool) {
        self.loading.held.remove(&permit);
        let Some(home) = io.cx.own.owner(&OwnershipKey::WeightStore).cloned() else {
            return;
        };
        let message = EnginesMessage::Loaded {
            group: self.id.clone(),
            permit,
            used,
        };
        io.send(&home, message);
    }
}
