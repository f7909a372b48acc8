//! The engines state machine.

use std::collections::{BTreeMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Cx, GroupId, InstanceId, MemberRef, OrderId, OrderOutcome, OwnershipKey, RequestId, TargetId,
    TargetInfo, Tuning,
};

use super::entry::Entry;
use super::home::GroupHome;
use super::io::Io;
use super::store::StoreHome;
use super::targets::Targets;
use super::{EnginesMessage, PermitAsk, PermitDecision, PermitEnd};

/// Places callers' requests, and schedules the engine groups that this instance is home of.
#[derive(Debug)]
pub struct Engines {
    cfg: Tuning,
    seed: u64,
    listed: Vec<TargetInfo>,
    pub(super) targets: Targets,
    entry: Entry,
    pub(super) homes: BTreeMap<GroupId, GroupHome>,
    store: Option<StoreHome>,
    next_order: u64,
    undelivered: Vec<PermitDecision>,
}

impl Engines {
    /// No targets known, nothing waiting; `seed` drives the random baseline and nothing else.
    #[must_use]
    pub fn new(cfg: &Tuning, seed: u64) -> Self {
        Self {
            cfg: cfg.clone(),
            seed,
            listed: Vec::new(),
            targets: Targets::default(),
            entry: Entry::new(seed),
            homes: BTreeMap::new(),
            store: None,
            next_order: 0,
            undelivered: Vec::new(),
        }
    }

    /// A caller's request needs an engine; decided by a [`PermitDecision`].
    pub fn ask(&mut self, cx: &mut Cx<'_>, ask: PermitAsk) -> Vec<PermitDecision> {
        self.step(cx, |this, io| this.entry.ask(io, &this.targets, ask))
    }

    /// The caller of a waiting request went away, or its key was withdrawn.
    ///
    /// A place that comes free by this may go to another request of this instance; that decision comes
    /// with the next step's.
    pub fn cancel(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        let decisions = self.step(cx, |this, io| this.cancel_one(io, request));
        self.undelivered = decisions;
    }

    /// A permit that was decided but not delivered yet is handed back.
    fn cancel_one(&mut self, io: &mut Io<'_, '_>, request: RequestId) {
        let before = io.decisions.len();
        io.decisions.retain(|decision| decision.request != request);
        if io.decisions.len() < before {
            self.entry.finished(io, request, PermitEnd::NotUsed);
        } else {
            self.entry.cancel(io, request);
        }
    }

    /// A permit's use ended.
    pub fn finished(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        end: PermitEnd,
    ) -> Vec<PermitDecision> {
        self.step(cx, |this, io| this.entry.finished(io, request, end))
    }

    /// The platform's list of targets, plain services included (ignored here).
    pub fn set_targets(&mut self, cx: &mut Cx<'_>, targets: &[TargetInfo]) -> Vec<PermitDecision> {
        self.step(cx, |this, io| {
            this.listed = targets.to_vec();
            this.regroup(io);
        })
    }

    /// An order ended.
    pub fn order_ended(
        &mut self,
        cx: &mut Cx<'_>,
        id: OrderId,
        target: &TargetId,
        outcome: OrderOutcome,
    ) -> Vec<PermitDecision> {
        self.step(cx, |this, io| {
            let home = this
                .homes
                .values_mut()
                .find(|home| home.orders.contains_key(&id));
            let Some(home) = home.filter(|home| home.engines.contains_key(target)) else {
                return;
            };
            home.order_ended(io, id, outcome);
            home.act(io);
        })
    }

    /// A newer map is in force.
    pub fn map_changed(&mut self, cx: &mut Cx<'_>) -> Vec<PermitDecision> {
        self.step(cx, |this, io| {
            this.homes.retain(|_, home| home.survives(io));
            for home in this.homes.values_mut() {
                home.map_changed(io);
            }
            this.store.take_if(|store| !store.survives(io.cx.own));
            this.regroup(io);
            this.entry.map_changed(io, &this.targets);
        })
    }

    /// Takes a message.
    pub fn message(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        message: EnginesMessage,
    ) -> Vec<PermitDecision> {
        self.step(cx, |this, io| this.take(io, from, message))
    }

    /// Time passed.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<PermitDecision> {
        self.step(cx, |this, io| {
            this.entry.tick(io, &this.targets);
            for home in this.homes.values_mut() {
                home.act(io);
            }
            if let Some(store) = &mut this.store {
                store.act(io);
            }
        })
    }

    /// Permits that this instance, as home of groups, counts as out.
    #[must_use]
    pub fn permits_out(&self) -> usize {
        self.homes.values().map(|home| home.permits.len()).sum()
    }

    /// Does `act`, then takes the messages that this instance has for itself.
    fn step(
        &mut self,
        cx: &mut Cx<'_>,
        act: impl FnOnce(&mut Self, &mut Io<'_, '_>),
    ) -> Vec<PermitDecision> {
        let mut local = VecDeque::new();
        let mut decisions = std::mem::take(&mut self.undelivered);
        let cfg = self.cfg.clone();
        let mut next_order = self.next_order;
        let me = cx.own.local.id.clone();
        let mut io = Io {
            cx,
            cfg: &cfg,
            groups: self.targets.groups.len(),
            local: &mut local,
            decisions: &mut decisions,
            next_order: &mut next_order,
        };
        act(self, &mut io);
        while let Some(message) = io.local.pop_front() {
            self.take(&mut io, &me, message);
        }
        self.next_order = next_order;
        decisions
    }

    /// Homes for the groups that are this instance's to schedule.
    fn regroup(&mut self, io: &Io<'_, '_>) {
        let own = io.cx.own;
        self.targets = Targets::new(&self.listed, own.map.terms.grouping);
        for id in self.targets.groups.keys() {
            let is_home = own.is_owner(&OwnershipKey::Group(id.clone()));
            if is_home && !self.homes.contains_key(id) {
                let seed = self.seed ^ xxh3_64(id.as_str().as_bytes());
                let home = GroupHome::new(id.clone(), io.cfg, own.revision(), seed);
                self.homes.insert(id.clone(), home);
            }
        }
        for (id, home) in &mut self.homes {
            home.set_engines(self.targets.groups.get(id), io.now());
        }
        if self.store.is_none() && own.is_owner(&OwnershipKey::WeightStore) {
            self.store = Some(StoreHome::new(own.revision()));
        }
    }

    fn take(&mut self, io: &mut Io<'_, '_>, from: &InstanceId, message: EnginesMessage) {
        match message {
            EnginesMessage::Queued {
                number,
                group,
                status,
            } => self.entry.queued(io, from, number, group, status),
            EnginesMessage::TurnedAway { number, group, .. } => {
                self.entry.turned_away(io, &self.targets, number, group);
            }
            EnginesMessage::Grant(grant) => self.entry.granted(io, from, *grant),
            EnginesMessage::EndNoted { group, permit } => self.entry.end_noted(group, permit),
            EnginesMessage::WhichPermits { group, revision } => {
                self.entry.tell_held(io, from, group.clone(), revision);
                self.entry.home_acts(io, &self.targets, &group);
            }
            EnginesMessage::Status {
                group,
                status,
                residency,
            } => self.entry.told(group, status, residency),
            EnginesMessage::LoadDemand(demand) => {
                self.at_store(io, |store, io| store.demand(io, from, demand));
            }
            EnginesMessage::Loaded {
                group,
                permit,
                used,
            } => self.at_store(io, |store, _| store.loaded(group, permit, used)),
            message => self.take_as_home(io, from, message),
        }
    }

    fn at_store(&mut self, io: &mut Io<'_, '_>, act: impl FnOnce(&mut StoreHome, &mut Io<'_, '_>)) {
        if let Some(store) = &mut self.store {
            act(store, io);
            store.act(io);
        }
    }

    fn take_as_home(&mut self, io: &mut Io<'_, '_>, from: &InstanceId, message: EnginesMessage) {
        match message {
            EnginesMessage::Ask(asked) => {
                let group = asked.group.clone();
                self.at_home(io, &group, |home, io| home.asked(io, from, *asked));
            }
            EnginesMessage::Cancel {
                group,
                incarnation,
                number,
            } => {
                let holder = MemberRef {
                    id: from.clone(),
                    incarnation,
                };
                self.at_home(io, &group, |home, _| home.cancelled(holder, number));
            }
            EnginesMessage::Taken { group, permit } => {
                self.at_home(io, &group, |home, _| home.taken(permit));
            }
            EnginesMessage::Ended { group, permit, end } => {
                self.at_home(io, &group, |home, io| home.ended(io, from, permit, end));
            }
            EnginesMessage::Holding {
                group,
                revision,
                incarnation,
                permits,
            } => {
                let life = MemberRef {
                    id: from.clone(),
                    incarnation,
                };
                self.at_home(io, &group, |home, io| {
                    home.holding(io, &life, revision, permits);
                });
            }
            EnginesMessage::MayLoad {
                group,
                sequence,
                permit,
            } => self.at_home(io, &group, |home, io| {
                home.may_load(io, from, sequence, permit);
            }),
            _ => {}
        }
    }

    fn at_home(
        &mut self,
        io: &mut Io<'_, '_>,
        group: &GroupId,
        act: impl FnOnce(&mut GroupHome, &mut Io<'_, '_>),
    ) {
        if let Some(home) = self.homes.get_mut(group) {
            act(home, io);
            home.act(io);
        }
    }
}
