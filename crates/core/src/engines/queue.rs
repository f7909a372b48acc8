//! The request queue of a group's owner.
//!
//! Start-time fair queueing between workspaces, weighted by tokens; urgent requests come first. A
//! batch request that has waited a quarter of the maximum queueing time is moved to the urgent
//! priority, so it waits at most that time plus its fair share of the urgent requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::{AdapterRef, MemberRef, QueueOrder, TargetId, Time, Tokens, WorkspaceId};

use super::{PermitRequest, PermitRequestNumber};

/// The priority of a queued request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Priority {
    Urgent,
    Batch,
}

/// A position in the queue; the smallest is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueuePosition {
    priority: Priority,
    start_tag: u64,
    sequence: u64,
}

/// The incarnation that sent a request, and the request's number there.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct RequestOrigin {
    pub(super) member: MemberRef,
    pub(super) number: PermitRequestNumber,
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub(super) origin: RequestOrigin,
    pub(super) request: PermitRequest,
    pub(super) queued_at: Time,
    pub(super) refreshed_at: Time,
    /// The only engine that may run the request; the baseline placements choose it on arrival.
    pub(super) assigned_engine: Option<TargetId>,
    /// No adapter is evicted for the request before this time.
    pub(super) eviction_allowed_from: Time,
}

/// Numbers of queued requests for one adapter.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    pub(super) waiting: u32,
    pub(super) urgent: u32,
}

/// The queued requests, in the order in which they are served.
#[derive(Debug)]
pub(super) struct Queue {
    order: QueueOrder,
    requests: BTreeMap<QueuePosition, QueuedRequest>,
    positions: BTreeMap<RequestOrigin, QueuePosition>,
    demand: BTreeMap<AdapterRef, Demand>,
    finish_tags: BTreeMap<(Priority, WorkspaceId), u64>,
    virtual_times: BTreeMap<Priority, u64>,
    next_sequence: u64,
}

impl Queue {
    pub(super) const fn new(order: QueueOrder) -> Self {
        Self {
            order,
            requests: BTreeMap::new(),
            positions: BTreeMap::new(),
            demand: BTreeMap::new(),
            finish_tags: BTreeMap::new(),
            virtual_times: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (QueuePosition, &QueuedRequest)> {
        self.requests
            .iter()
            .map(|(position, queued)| (*position, queued))
    }

    pub(super) fn get(&self, position: QueuePosition) -> Option<&QueuedRequest> {
        self.requests.get(&position)
    }

    /// Returns the adapters of the queued requests, with their demand.
    pub(super) fn demands(&self) -> impl Iterator<Item = (&AdapterRef, Demand)> {
        self.demand
            .iter()
            .map(|(adapter, demand)| (adapter, *demand))
    }

    pub(super) fn demand(&self, adapter: &AdapterRef) -> Demand {
        self.demand.get(adapter).copied().unwrap_or_default()
    }

    /// Records that a request was sent again; returns false if it is not in the queue.
    pub(super) fn refresh(&mut self, origin: &RequestOrigin, now: Time) -> bool {
        let Some(position) = self.positions.get(origin) else {
            return false;
        };
        if let Some(queued) = self.requests.get_mut(position) {
            queued.refreshed_at = now;
        }
        true
    }

    pub(super) fn push(&mut self, queued: QueuedRequest) {
        let priority = self.priority(queued.request.urgent);
        self.insert(priority, queued);
    }

    /// Removes a request that is served now and advances the virtual time of its priority.
    pub(super) fn serve(&mut self, position: QueuePosition) -> Option<QueuedRequest> {
        let virtual_time = self.virtual_times.entry(position.priority).or_default();
        *virtual_time = (*virtual_time).max(position.start_tag);
        self.remove_at(position)
    }

    pub(super) fn remove(&mut self, origin: &RequestOrigin) -> Option<QueuedRequest> {
        let position = self.positions.get(origin).copied()?;
        self.remove_at(position)
    }

    /// Moves batch requests queued before `before` to the urgent priority.
    pub(super) fn promote_batch(&mut self, before: Time) {
        let promoted: Vec<QueuePosition> = self
            .requests
            .iter()
            .filter(|(position, queued)| {
                position.priority == Priority::Batch && queued.queued_at < before
            })
            .map(|(position, _)| *position)
            .collect();
        for position in promoted {
            if let Some(queued) = self.remove_at(position) {
                self.insert(Priority::Urgent, queued);
            }
        }
    }

    /// Removes requests that were not refreshed since `before`, or whose sender is not in
    /// `members`.
    pub(super) fn remove_expired(&mut self, before: Time, members: &BTreeSet<MemberRef>) {
        let expired: Vec<QueuePosition> = self
            .requests
            .iter()
            .filter(|(_, queued)| {
                queued.refreshed_at < before || !members.contains(&queued.origin.member)
            })
            .map(|(position, _)| *position)
            .collect();
        for position in expired {
            self.remove_at(position);
        }
    }

    /// Empties the queue and returns its requests in order.
    pub(super) fn drain(&mut self) -> Vec<QueuedRequest> {
        self.positions.clear();
        self.demand.clear();
        std::mem::take(&mut self.requests).into_values().collect()
    }

    /// Charges a load to a workspace's share, so that a workspace that needs many loads does not
    /// delay the others.
    pub(super) fn charge(&mut self, workspace: &WorkspaceId, urgent: bool, tokens: Tokens) {
        let priority = self.priority(urgent);
        let virtual_time = self
            .virtual_times
            .get(&priority)
            .copied()
            .unwrap_or_default();
        let finish = self
            .finish_tags
            .entry((priority, workspace.clone()))
            .or_default();
        *finish = virtual_time.max(*finish) + tokens.0;
    }

    fn priority(&self, urgent: bool) -> Priority {
        match (self.order, urgent) {
            (QueueOrder::Fair, false) => Priority::Batch,
            _ => Priority::Urgent,
        }
    }

    fn insert(&mut self, priority: Priority, queued: QueuedRequest) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let position = QueuePosition {
            priority,
            start_tag: self.start_tag(priority, &queued.request),
            sequence,
        };
        let demand = self
            .demand
            .entry(queued.request.adapter.clone())
            .or_default();
        demand.waiting += 1;
        demand.urgent += u32::from(queued.request.urgent);
        self.positions.insert(queued.origin.clone(), position);
        self.requests.insert(position, queued);
    }

    /// Returns the start tag of a workspace's next request: the finish tag of its last request, but
    /// at least the current virtual time.
    fn start_tag(&mut self, priority: Priority, request: &PermitRequest) -> u64 {
        if self.order == QueueOrder::FirstCome {
            return 0;
        }
        let virtual_time = self
            .virtual_times
            .get(&priority)
            .copied()
            .unwrap_or_default();
        let finish = self
            .finish_tags
            .entry((priority, request.workspace.clone()))
            .or_default();
        let start = virtual_time.max(*finish);
        *finish = start + request.cost().0;
        start
    }

    fn remove_at(&mut self, position: QueuePosition) -> Option<QueuedRequest> {
        let queued = self.requests.remove(&position)?;
        self.positions.remove(&queued.origin);
        if let Some(demand) = self.demand.get_mut(&queued.request.adapter) {
            demand.waiting -= 1;
            demand.urgent -= u32::from(queued.request.urgent);
            if demand.waiting == 0 {
                self.demand.remove(&queued.request.adapter);
            }
        }
        Some(queued)
    }
}
