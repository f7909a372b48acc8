//! Obtains permits for the requests of this instance's callers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    AdapterRef, GroupId, InstanceId, OwnershipKey, Refusal, RefusalKind, RequestId, Revision,
    TargetId, TargetReport, Time,
};

use super::candidates::{Candidates, Choice};
use super::io::Io;
use super::message::{EnqueueRequest, GroupStatus, Residency};
use super::targets::Targets;
use super::timing::{QUEUE_REFRESH_INTERVAL, RESPONSE_TIMEOUT};
use super::view::GroupView;
use super::{EnginesMessage, PermitEnd, PermitId, PermitRequest, PermitRequestNumber};

/// Delay before a request that no group's owner has queued is sent to all groups again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The state of a pending request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// No group is left to try before `retry_at`.
    Unrouted { retry_at: Time },
    /// Sent to a group's owner that has not responded.
    Sent {
        group: GroupId,
        owner: InstanceId,
        sent_at: Time,
    },
    /// In the queue of a group's owner.
    Queued {
        group: GroupId,
        owner: InstanceId,
        refresh_at: Time,
    },
}

/// A request that waits for a permit.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) request: PermitRequest,
    requested_at: Time,
    stage: Stage,
    tried_groups: BTreeSet<GroupId>,
    is_fallback: bool,
}

/// A permit in use.
#[derive(Debug)]
pub(super) struct ActivePermit {
    pub(super) group: GroupId,
    pub(super) permit: PermitId,
    pub(super) target: TargetId,
    pub(super) adapter: AdapterRef,
}

/// The end of a permit that the group's owner has not acknowledged.
#[derive(Debug)]
pub(super) struct UnacknowledgedEnd {
    end: PermitEnd,
    send_at: Time,
}

/// Requests permits from the owners of engine groups and keeps the permits in use.
#[derive(Debug)]
pub(super) struct PermitClient {
    pub(super) pending: BTreeMap<PermitRequestNumber, PendingRequest>,
    pub(super) numbers_by_request: BTreeMap<RequestId, PermitRequestNumber>,
    pub(super) active_permits: BTreeMap<RequestId, ActivePermit>,
    pub(super) unacknowledged_ends: BTreeMap<(GroupId, PermitId), UnacknowledgedEnd>,
    /// Permits granted under an older revision are not accepted: the group's owner has already been
    /// sent the permits held here.
    pub(super) min_revisions: BTreeMap<GroupId, Revision>,
    pub(super) views: BTreeMap<GroupId, GroupView>,
    next_number: u64,
    random_state: u64,
}

impl PermitClient {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            pending: BTreeMap::new(),
            numbers_by_request: BTreeMap::new(),
            active_permits: BTreeMap::new(),
            unacknowledged_ends: BTreeMap::new(),
            min_revisions: BTreeMap::new(),
            views: BTreeMap::new(),
            next_number: 0,
            random_state: seed,
        }
    }

    pub(super) fn request_permit(
        &mut self,
        io: &mut Io<'_, '_>,
        targets: &Targets,
        request: PermitRequest,
    ) {
        if !Candidates::has_engines(targets, &request) {
            let refusal = Refusal::retry_after(RefusalKind::NoTarget, io.cfg.list_interval);
            io.decide(request.request, Err(refusal));
            return;
        }
        let pending = PendingRequest {
            request,
            requested_at: io.now(),
            stage: Stage::Unrouted { retry_at: io.now() },
            tried_groups: BTreeSet::new(),
            is_fallback: false,
        };
        self.route(io, targets, pending);
    }

    /// Sends a pending request to the next group, under a new number that distinguishes its
    /// response from a late response to an earlier number.
    fn route(&mut self, io: &mut Io<'_, '_>, targets: &Targets, mut pending: PendingRequest) {
        let number = PermitRequestNumber(self.next_number);
        self.next_number += 1;
        let request = pending.request.request;
        pending.stage = if let Some((choice, owner)) = self.choose_group(io, targets, &pending) {
            let group = choice.group;
            pending.is_fallback = choice.is_fallback;
            let message = enqueue_message(io, number, &group, &pending);
            io.send(&owner, message);
            self.views.entry(group.clone()).or_default().record_sent();
            let sent_at = io.now();
            Stage::Sent {
                group,
                owner,
                sent_at,
            }
        } else {
            pending.tried_groups.clear();
            let retry_at = io.now() + RETRY_DELAY;
            Stage::Unrouted { retry_at }
        };
        self.numbers_by_request.insert(request, number);
        self.pending.insert(number, pending);
    }

    fn choose_group(
        &mut self,
        io: &Io<'_, '_>,
        targets: &Targets,
        pending: &PendingRequest,
    ) -> Option<(Choice, InstanceId)> {
        self.random_state = xxh3_64(&self.random_state.to_le_bytes());
        let request = &pending.request;
        let candidates = Candidates {
            targets,
            views: &self.views,
            tried_groups: &pending.tried_groups,
            now: io.now(),
            ownership: io.cx.ownership,
        };
        let placement = io.cfg.placement;
        let choice = candidates.choose(placement, request, self.random_state)?;
        let owner = io
            .cx
            .ownership
            .owner(&OwnershipKey::Group(choice.group.clone()))?;
        Some((choice, owner.clone()))
    }

    /// Withdraws a pending request from its group and sends it to another one.
    fn reroute(
        &mut self,
        io: &mut Io<'_, '_>,
        targets: &Targets,
        number: PermitRequestNumber,
        cancel_first: bool,
    ) {
        let Some(mut pending) = self.pending.remove(&number) else {
            return;
        };
        if let Stage::Sent { group, owner, .. } | Stage::Queued { group, owner, .. } =
            &pending.stage
        {
            pending.tried_groups.insert(group.clone());
            if cancel_first {
                send_cancel(io, group, owner, number);
            }
        }
        self.route(io, targets, pending);
    }

    pub(super) fn cancel(&mut self, io: &mut Io<'_, '_>, request: RequestId) {
        let Some(number) = self.numbers_by_request.remove(&request) else {
            return;
        };
        let Some(pending) = self.pending.remove(&number) else {
            return;
        };
        if let Stage::Sent { group, owner, .. } | Stage::Queued { group, owner, .. } =
            &pending.stage
        {
            send_cancel(io, group, owner, number);
        }
    }

    pub(super) fn finish(&mut self, io: &mut Io<'_, '_>, request: RequestId, end: PermitEnd) {
        let Some(active) = self.active_permits.remove(&request) else {
            return;
        };
        if end == PermitEnd::WrongAdapter {
            let view = self.views.entry(active.group.clone()).or_default();
            view.remove_resident(&active.adapter);
        }
        let key = (active.group, active.permit);
        let unacknowledged = UnacknowledgedEnd {
            end,
            send_at: io.now(),
        };
        self.unacknowledged_ends.insert(key, unacknowledged);
        self.send_ends(io);
    }

    /// Tells the group's owner what the engine of a request reports about itself.
    pub(super) fn send_report(
        &self,
        io: &mut Io<'_, '_>,
        request: RequestId,
        report: TargetReport,
    ) {
        let Some(active) = self.active_permits.get(&request) else {
            return;
        };
        let key = OwnershipKey::Group(active.group.clone());
        let Some(owner) = io.cx.ownership.owner(&key).cloned() else {
            return;
        };
        let message = EnginesMessage::TargetReported {
            group: active.group.clone(),
            permit: active.permit,
            report,
        };
        io.send(&owner, message);
    }

    pub(super) fn acknowledge_end(&mut self, group: GroupId, permit: PermitId) {
        self.unacknowledged_ends.remove(&(group, permit));
    }

    /// Sends the ends of permits that are due; each is repeated until the group's owner
    /// acknowledges it.
    pub(super) fn send_ends(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        for ((group, permit), end) in &mut self.unacknowledged_ends {
            if now < end.send_at {
                continue;
            }
            end.send_at = now + RESPONSE_TIMEOUT;
            let Some(owner) = io
                .cx
                .ownership
                .owner(&OwnershipKey::Group(group.clone()))
                .cloned()
            else {
                continue;
            };
            let message = EnginesMessage::PermitEnded {
                group: group.clone(),
                permit: *permit,
                end: end.end,
            };
            io.send(&owner, message);
        }
    }

    pub(super) fn record_status(&mut self, group: GroupId, status: GroupStatus) {
        self.views.entry(group).or_default().record_status(status);
    }

    pub(super) fn record_status_update(
        &mut self,
        group: GroupId,
        status: GroupStatus,
        residency: Residency,
    ) {
        let view = self.views.entry(group).or_default();
        view.record_status(status);
        view.apply_residency(residency);
    }

    pub(super) fn handle_queued(
        &mut self,
        io: &Io<'_, '_>,
        from: &InstanceId,
        number: PermitRequestNumber,
        group: GroupId,
        status: GroupStatus,
    ) {
        self.record_status(group, status);
        let refresh_at = io.now() + QUEUE_REFRESH_INTERVAL;
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        if let Stage::Sent { group, owner, .. } | Stage::Queued { group, owner, .. } =
            &pending.stage
            && owner == from
        {
            pending.stage = Stage::Queued {
                group: group.clone(),
                owner: owner.clone(),
                refresh_at,
            };
        }
    }

    pub(super) fn handle_rejected(
        &mut self,
        io: &mut Io<'_, '_>,
        targets: &Targets,
        number: PermitRequestNumber,
        group: GroupId,
    ) {
        let view = self.views.entry(group).or_default();
        view.avoid_until = io.now() + RETRY_DELAY;
        self.reroute(io, targets, number, false);
    }

    /// Sends the requests of groups whose owner changed to the new owner; others stay in their
    /// queue.
    pub(super) fn map_changed(&mut self, io: &mut Io<'_, '_>, targets: &Targets) {
        let moved: Vec<PermitRequestNumber> = self
            .pending
            .iter()
            .filter(|(_, pending)| match &pending.stage {
                Stage::Unrouted { .. } => false,
                Stage::Sent { group, owner, .. } | Stage::Queued { group, owner, .. } => {
                    io.cx.ownership.owner(&OwnershipKey::Group(group.clone())) != Some(owner)
                }
            })
            .map(|(number, _)| *number)
            .collect();
        for number in moved {
            if let Some(pending) = self.pending.get_mut(&number) {
                pending.tried_groups.clear();
            }
            self.route_again(io, targets, number);
        }
        for end in self.unacknowledged_ends.values_mut() {
            end.send_at = io.now();
        }
        self.send_ends(io);
    }

    /// Handles the start of a group's new owner: requests that wait in another group although this
    /// one is their first choice are sent to it.
    ///
    /// Guards against requests that went to the next group while a dead owner was being replaced,
    /// and wait there for a load that they do not need.
    pub(super) fn handle_owner_active(
        &mut self,
        io: &mut Io<'_, '_>,
        targets: &Targets,
        group: &GroupId,
    ) {
        self.views.entry(group.clone()).or_default().avoid_until = io.now();
        let elsewhere: Vec<PermitRequestNumber> = self
            .pending
            .iter()
            .filter(|(_, pending)| match &pending.stage {
                Stage::Unrouted { .. } => true,
                Stage::Sent { group: current, .. } | Stage::Queued { group: current, .. } => {
                    current != group
                }
            })
            .map(|(number, _)| *number)
            .collect();
        for number in elsewhere {
            let Some(pending) = self.pending.get_mut(&number) else {
                continue;
            };
            let tried_groups = std::mem::take(&mut pending.tried_groups);
            let request = pending.request.clone();
            if self.preferred_group(io, targets, &request).as_ref() == Some(group) {
                self.reroute(io, targets, number, true);
            } else if let Some(pending) = self.pending.get_mut(&number) {
                pending.tried_groups = tried_groups;
            }
        }
    }

    fn preferred_group(
        &self,
        io: &Io<'_, '_>,
        targets: &Targets,
        request: &PermitRequest,
    ) -> Option<GroupId> {
        let candidates = Candidates {
            targets,
            views: &self.views,
            tried_groups: &BTreeSet::new(),
            now: io.now(),
            ownership: io.cx.ownership,
        };
        let placement = io.cfg.placement;
        let choice = candidates.choose(placement, request, self.random_state);
        choice.map(|choice| choice.group)
    }

    /// Routes a pending request anew, without a cancellation to its previous owner.
    fn route_again(&mut self, io: &mut Io<'_, '_>, targets: &Targets, number: PermitRequestNumber) {
        if let Some(pending) = self.pending.remove(&number) {
            self.route(io, targets, pending);
        }
    }

    pub(super) fn tick(&mut self, io: &mut Io<'_, '_>, targets: &Targets) {
        self.reject_expired(io);
        self.send_ends(io);
        let numbers: Vec<PermitRequestNumber> = self.pending.keys().copied().collect();
        for number in numbers {
            self.advance(io, targets, number);
        }
    }

    /// Refuses the requests that have waited for the maximum queueing time.
    fn reject_expired(&mut self, io: &mut Io<'_, '_>) {
        let before = io.now() - io.cfg.max_queue_wait;
        let expired: Vec<(RequestId, Stage)> = self
            .pending
            .values()
            .filter(|pending| pending.requested_at <= before)
            .map(|pending| (pending.request.request, pending.stage.clone()))
            .collect();
        for (request, stage) in expired {
            self.cancel(io, request);
            let refusal = self.refusal(io, &stage);
            io.decide(request, Err(refusal));
        }
    }

    fn refusal(&self, io: &Io<'_, '_>, stage: &Stage) -> Refusal {
        let Stage::Queued { group, .. } = stage else {
            return Refusal::retry_after(RefusalKind::NoTarget, QUEUE_REFRESH_INTERVAL);
        };
        let view = self.views.get(group);
        let retry_after = view.map_or(QUEUE_REFRESH_INTERVAL, |view| {
            view.retry_after(io.cfg.store_loads_per_second)
        });
        Refusal::retry_after(RefusalKind::Overloaded, retry_after)
    }

    /// Retries, refreshes or reroutes a pending request if that is due.
    fn advance(&mut self, io: &mut Io<'_, '_>, targets: &Targets, number: PermitRequestNumber) {
        let now = io.now();
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        match &mut pending.stage {
            Stage::Unrouted { retry_at } => {
                if now >= *retry_at {
                    self.route_again(io, targets, number);
                }
            }
            Stage::Sent { group, sent_at, .. } => {
                if now >= *sent_at + RESPONSE_TIMEOUT {
                    let view = self.views.entry(group.clone()).or_default();
                    view.avoid_until = now + RESPONSE_TIMEOUT;
                    self.reroute(io, targets, number, true);
                }
            }
            Stage::Queued {
                group,
                owner,
                refresh_at,
            } => {
                if now >= *refresh_at {
                    let stage = Stage::Sent {
                        group: group.clone(),
                        owner: owner.clone(),
                        sent_at: now,
                    };
                    let owner = owner.clone();
                    let message = enqueue_message(io, number, &group.clone(), pending);
                    io.send(&owner, message);
                    pending.stage = stage;
                }
            }
        }
    }
}

fn enqueue_message(
    io: &Io<'_, '_>,
    number: PermitRequestNumber,
    group: &GroupId,
    pending: &PendingRequest,
) -> EnginesMessage {
    EnginesMessage::Enqueue(Box::new(EnqueueRequest {
        number,
        incarnation: io.local_member().incarnation,
        group: group.clone(),
        request: pending.request.clone(),
        is_fallback: pending.is_fallback,
    }))
}

fn send_cancel(
    io: &mut Io<'_, '_>,
    group: &GroupId,
    owner: &InstanceId,
    number: PermitRequestNumber,
) {
    let message = EnginesMessage::Cancel {
        group: group.clone(),
        incarnation: io.local_member().incarnation,
        number,
    };
    io.send(owner, message);
}
