//! Accepting granted permits and reporting the permits held.

use crate::{GroupId, InstanceId, OwnershipKey, Revision};

use super::client::{ActivePermit, PendingRequest, PermitClient};
use super::io::Io;
use super::message::{Grant, HeldPermit};
use super::{EnginesMessage, Permit, PermitEnd};

impl PermitClient {
    /// Accepts a grant, or returns its permit unused.
    ///
    /// Guards against a permit that its owner no longer counts: one of a former owner, a duplicate,
    /// or one that arrives after this instance was removed from the map. A request is sent only
    /// under a permit accepted here. `send_before` is not after the end of this instance's lease,
    /// and so comes before any owner treats the permits of a removed instance as ended.
    pub(super) fn handle_grant(&mut self, io: &mut Io<'_, '_>, from: &InstanceId, grant: Grant) {
        if grant.incarnation != io.local_member().incarnation {
            return;
        }
        self.record_status(grant.group.clone(), grant.status);
        if self.is_active(&grant) {
            send_accepted(io, from, &grant);
            return;
        }
        let key = (grant.group.clone(), grant.permit);
        if self.unacknowledged_ends.contains_key(&key) {
            return;
        }
        let Some(pending) = self.take_pending(io, from, &grant) else {
            return_permit(io, from, &grant);
            return;
        };
        let now = io.now();
        let send_before = (now + io.cfg.permit_start_timeout).min(io.cx.ownership.lease_expires_at);
        let adapter = pending.request.adapter;
        let request = pending.request.request;
        self.views
            .entry(grant.group.clone())
            .or_default()
            .record_grant(&adapter);
        send_accepted(io, from, &grant);
        let active = ActivePermit {
            group: grant.group,
            permit: grant.permit,
            target: grant.target.clone(),
            adapter: adapter.clone(),
        };
        self.active_permits.insert(request, active);
        let permit = Permit {
            target: grant.target,
            address: grant.address,
            adapter,
            software: grant.software,
            send_before,
        };
        io.decide(request, Ok(permit));
    }

    fn is_active(&self, grant: &Grant) -> bool {
        self.active_permits
            .values()
            .any(|active| active.permit == grant.permit && active.group == grant.group)
    }

    fn take_pending(
        &mut self,
        io: &Io<'_, '_>,
        from: &InstanceId,
        grant: &Grant,
    ) -> Option<PendingRequest> {
        let ownership = io.cx.ownership;
        let key = OwnershipKey::Group(grant.group.clone());
        let min_revision = self
            .min_revisions
            .get(&grant.group)
            .copied()
            .unwrap_or_default();
        let is_valid = ownership.has_lease(io.now())
            && ownership.owner(&key) == Some(from)
            && grant.permit.revision >= min_revision;
        if !is_valid {
            return None;
        }
        let pending = self.pending.remove(&grant.number)?;
        self.numbers_by_request.remove(&pending.request.request);
        Some(pending)
    }

    /// Sends all held permits of a group to its owner, and accepts no older permit from now on.
    pub(super) fn send_held_permits(
        &mut self,
        io: &mut Io<'_, '_>,
        from: &InstanceId,
        group: GroupId,
        revision: Revision,
    ) {
        let min_revision = self.min_revisions.entry(group.clone()).or_default();
        *min_revision = (*min_revision).max(revision);
        let permits = self
            .active_permits
            .values()
            .filter(|active| active.group == group)
            .map(|active| HeldPermit {
                permit: active.permit,
                target: active.target.clone(),
                adapter: active.adapter.clone(),
            })
            .collect();
        let message = EnginesMessage::HeldPermits {
            group,
            revision,
            incarnation: io.local_member().incarnation,
            permits,
        };
        io.send(from, message);
    }
}

fn send_accepted(io: &mut Io<'_, '_>, owner: &InstanceId, grant: &Grant) {
    let message = EnginesMessage::Accepted {
        group: grant.group.clone(),
        permit: grant.permit,
    };
    io.send(owner, message);
}

fn return_permit(io: &mut Io<'_, '_>, owner: &InstanceId, grant: &Grant) {
    let message = EnginesMessage::PermitEnded {
        group: grant.group.clone(),
        permit: grant.permit,
        end: PermitEnd::NotUsed,
    };
    io.send(owner, message);
}
