//! The state machine for engines.

use std::collections::{BTreeMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Cx, GroupId, InstanceId, MemberRef, OrderId, OrderOutcome, OwnershipKey, RequestId, TargetId,
    TargetInfo, TargetReport, Tuning,
};

use super::client::PermitClient;
use super::io::Io;
use super::owner::GroupOwner;
use super::store_owner::StoreOwner;
use super::targets::Targets;
use super::{EnginesMessage, PermitDecision, PermitEnd, PermitRequest};

/// Obtains permits for callers' requests, and schedules the engine groups that this instance owns.
#[derive(Debug)]
pub struct Engines {
    cfg: Tuning,
    seed: u64,
    listed_targets: Vec<TargetInfo>,
    pub(super) targets: Targets,
    client: PermitClient,
    pub(super) group_owners: BTreeMap<GroupId, GroupOwner>,
    store_owner: Option<StoreOwner>,
    next_order_id: u64,
    undelivered_decisions: Vec<PermitDecision>,
}

impl Engines {
    /// Creates the state machine without targets or requests; `seed` is used only by the random
    /// baseline placement.
    #[must_use]
    pub fn new(cfg: &Tuning, seed: u64) -> Self {
        Self {
            cfg: cfg.clone(),
            seed,
            listed_targets: Vec::new(),
            targets: Targets::default(),
            client: PermitClient::new(seed),
            group_owners: BTreeMap::new(),
            store_owner: None,
            next_order_id: 0,
            undelivered_decisions: Vec::new(),
        }
    }

    /// Requests a permit for a caller's request; answered by a [`PermitDecision`].
    pub fn request_permit(
        &mut self,
        cx: &mut Cx<'_>,
        request: PermitRequest,
    ) -> Vec<PermitDecision> {
        self.step(cx, |this, io| {
            this.client.request_permit(io, &this.targets, request);
        })
    }

    /// Cancels a waiting request whose caller disconnected or whose key was withdrawn.
    ///
    /// A batch slot that this frees may go to another request of this instance; that decision is
    /// returned by the next call.
    pub fn cancel(&mut self, cx: &mut Cx<'_>, request: RequestId) {
        let decisions = self.step(cx, |this, io| this.cancel_one(io, request));
        self.undelivered_decisions = decisions;
    }

    /// Cancels a request, or returns its permit unused if it was decided but not delivered yet.
    fn cancel_one(&mut self, io: &mut Io<'_, '_>, request: RequestId) {
        let before = io.decisions.len();
        io.decisions.retain(|decision| decision.request != request);
        if io.decisions.len() < before {
            self.client.finish(io, request, PermitEnd::NotUsed);
        } else {
            self.client.cancel(io, request);
        }
    }

    /// Handles the end of a permit's use.
    pub fn permit_ended(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        end: PermitEnd,
    ) -> Vec<PermitDecision> {
        self.step(cx, |this, io| this.client.finish(io, request, end))
    }

    /// Records what the engine of a request reports about itself.
    pub fn target_reported(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        report: TargetReport,
    ) -> Vec<PermitDecision> {
        self.step(cx, |this, io| this.client.send_report(io, request, report))
    }

    /// Takes the platform's list of targets; services in it are ignored.
    pub fn set_targets(&mut self, cx: &mut Cx<'_>, targets: &[TargetInfo]) -> Vec<PermitDecision> {
        self.step(cx, |this, io| {
            this.listed_targets = targets.to_vec();
            this.update_groups(io);
        })
    }

    /// Handles the outcome of an order to an engine.
    pub fn order_ended(
        &mut self,
        cx: &mut Cx<'_>,
        id: OrderId,
        target: &TargetId,
        outcome: OrderOutcome,
    ) -> Vec<PermitDecision> {
        self.step(cx, |this, io| {
            let owner = this
                .group_owners
                .values_mut()
                .find(|owner| owner.orders.contains_key(&id));
            let Some(owner) = owner.filter(|owner| owner.engines.contains_key(target)) else {
                return;
            };
            owner.order_ended(io, id, outcome);
            owner.advance(io);
        })
    }

    /// Handles a change of the map in force.
    pub fn map_changed(&mut self, cx: &mut Cx<'_>) -> Vec<PermitDecision> {
        self.step(cx, |this, io| {
            this.group_owners
                .retain(|_, owner| owner.has_kept_ownership(io));
            for owner in this.group_owners.values_mut() {
                owner.map_changed(io);
            }
            this.store_owner
                .take_if(|store_owner| !store_owner.has_kept_ownership(io.cx.ownership));
            this.update_groups(io);
            this.client.map_changed(io, &this.targets);
        })
    }

    /// Handles a message from another instance.
    pub fn message(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        message: EnginesMessage,
    ) -> Vec<PermitDecision> {
        self.step(cx, |this, io| this.dispatch(io, from, message))
    }

    /// Does all work that is due at the current time.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<PermitDecision> {
        self.step(cx, |this, io| {
            this.client.tick(io, &this.targets);
            for owner in this.group_owners.values_mut() {
                owner.advance(io);
            }
            if let Some(store_owner) = &mut this.store_owner {
                store_owner.advance(io);
            }
        })
    }

    /// Returns the number of outstanding permits of the groups that this instance owns.
    #[must_use]
    pub fn outstanding_permits(&self) -> usize {
        self.group_owners
            .values()
            .map(|owner| owner.permits.len())
            .sum()
    }

    /// Runs `act`, then handles the messages that this instance sent to itself.
    fn step(
        &mut self,
        cx: &mut Cx<'_>,
        act: impl FnOnce(&mut Self, &mut Io<'_, '_>),
    ) -> Vec<PermitDecision> {
        let mut local_messages = VecDeque::new();
        let mut decisions = std::mem::take(&mut self.undelivered_decisions);
        let cfg = self.cfg.clone();
        let mut next_order_id = self.next_order_id;
        let local_id = cx.ownership.local.id.clone();
        let mut io = Io {
            cx,
            cfg: &cfg,
            group_count: self.targets.groups.len(),
            local_messages: &mut local_messages,
            decisions: &mut decisions,
            next_order_id: &mut next_order_id,
        };
        act(self, &mut io);
        while let Some(message) = io.local_messages.pop_front() {
            self.dispatch(&mut io, &local_id, message);
        }
        self.next_order_id = next_order_id;
        decisions
    }

    /// Rebuilds the groups from the list and creates the owners of those that this instance owns.
    fn update_groups(&mut self, io: &Io<'_, '_>) {
        let ownership = io.cx.ownership;
        self.targets = Targets::new(&self.listed_targets, ownership.map.terms.grouping);
        for id in self.targets.groups.keys() {
            let is_owner = ownership.is_owner(&OwnershipKey::Group(id.clone()));
            if is_owner && !self.group_owners.contains_key(id) {
                let seed = self.seed ^ xxh3_64(id.as_str().as_bytes());
                let owner = GroupOwner::new(id.clone(), io.cfg, ownership.revision(), seed);
                self.group_owners.insert(id.clone(), owner);
            }
        }
        for (id, owner) in &mut self.group_owners {
            owner.set_engines(self.targets.groups.get(id), io.now());
        }
        if self.store_owner.is_none() && ownership.is_owner(&OwnershipKey::WeightStore) {
            self.store_owner = Some(StoreOwner::new(ownership.revision()));
        }
    }

    fn dispatch(&mut self, io: &mut Io<'_, '_>, from: &InstanceId, message: EnginesMessage) {
        match message {
            EnginesMessage::Queued {
                number,
                group,
                status,
            } => self.client.handle_queued(io, from, number, group, status),
            EnginesMessage::Rejected { number, group, .. } => {
                self.client
                    .handle_rejected(io, &self.targets, number, group);
            }
            EnginesMessage::Grant(grant) => self.client.handle_grant(io, from, *grant),
            EnginesMessage::EndAcknowledged { group, permit } => {
                self.client.acknowledge_end(group, permit);
            }
            EnginesMessage::QueryHeldPermits { group, revision } => {
                self.client
                    .send_held_permits(io, from, group.clone(), revision);
                self.client.handle_owner_active(io, &self.targets, &group);
            }
            EnginesMessage::Status {
                group,
                status,
                residency,
            } => self.client.record_status_update(group, status, residency),
            EnginesMessage::LoadDemand(demand) => {
                self.with_store_owner(io, |store_owner, io| {
                    store_owner.record_demand(io, from, demand);
                });
            }
            EnginesMessage::LoadPermitReleased {
                group,
                permit,
                used,
            } => self.with_store_owner(io, |store_owner, _| {
                store_owner.release(group, permit, used);
            }),
            message => self.dispatch_to_owner(io, from, message),
        }
    }

    fn with_store_owner(
        &mut self,
        io: &mut Io<'_, '_>,
        act: impl FnOnce(&mut StoreOwner, &mut Io<'_, '_>),
    ) {
        if let Some(store_owner) = &mut self.store_owner {
            act(store_owner, io);
            store_owner.advance(io);
        }
    }

    fn dispatch_to_owner(
        &mut self,
        io: &mut Io<'_, '_>,
        from: &InstanceId,
        message: EnginesMessage,
    ) {
        match message {
            EnginesMessage::Enqueue(enqueue) => {
                let group = enqueue.group.clone();
                self.with_group_owner(io, &group, |owner, io| {
                    owner.handle_enqueue(io, from, *enqueue);
                });
            }
            EnginesMessage::Cancel {
                group,
                incarnation,
                number,
            } => {
                let requester = MemberRef {
                    id: from.clone(),
                    incarnation,
                };
                self.with_group_owner(io, &group, |owner, _| {
                    owner.handle_cancel(requester, number);
                });
            }
            EnginesMessage::Accepted { group, permit } => {
                self.with_group_owner(io, &group, |owner, _| owner.handle_accepted(permit));
            }
            EnginesMessage::PermitEnded { group, permit, end } => {
                self.with_group_owner(io, &group, |owner, io| {
                    owner.handle_permit_ended(io, from, permit, end);
                });
            }
            EnginesMessage::TargetReported {
                group,
                permit,
                report,
            } => self.with_group_owner(io, &group, |owner, io| {
                owner.handle_target_report(io.now(), permit, report);
            }),
            EnginesMessage::HeldPermits {
                group,
                revision,
                incarnation,
                permits,
            } => {
                let sender = MemberRef {
                    id: from.clone(),
                    incarnation,
                };
                self.with_group_owner(io, &group, |owner, io| {
                    owner.handle_held_permits(io, &sender, revision, permits);
                });
            }
            EnginesMessage::LoadPermit {
                group,
                sequence,
                permit,
            } => self.with_group_owner(io, &group, |owner, io| {
                owner.handle_load_permit(io, from, sequence, permit);
            }),
            _ => {}
        }
    }

    fn with_group_owner(
        &mut self,
        io: &mut Io<'_, '_>,
        group: &GroupId,
        act: impl FnOnce(&mut GroupOwner, &mut Io<'_, '_>),
    ) {
        if let Some(owner) = self.group_owners.get_mut(group) {
            act(owner, io);
            owner.advance(io);
        }
    }
}
