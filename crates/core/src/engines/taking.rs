//! Permits as the instance that asked takes and holds them.

use crate::{GroupId, InstanceId, OwnershipKey, Revision};

use super::entry::{Entry, Held, OpenAsk};
use super::io::Io;
use super::message::{Grant, HeldPermit};
use super::{EnginesMessage, Permit, PermitEnd};

impl Entry {
    /// Takes a grant, or hands it back.
    ///
    /// Guards against a permit that its home no longer counts: one of a former home, one that came
    /// twice, or one that comes after this instance was dropped from the map. Only a permit that is
    /// taken here can be sent; `send_before` lies before the end of this instance's standing, and so
    /// before any home takes a dropped instance's permits for ended.
    pub(super) fn granted(&mut self, io: &mut Io<'_, '_>, from: &InstanceId, grant: Grant) {
        if grant.incarnation != io.me().incarnation {
            return;
        }
        self.heard(grant.group.clone(), grant.status);
        if self.holds(&grant) {
            send_taken(io, from, &grant);
            return;
        }
        let name = (grant.group.clone(), grant.permit);
        if self.ends.contains_key(&name) {
            return;
        }
        let Some(open) = self.take_open(io, from, &grant) else {
            hand_back(io, from, &grant);
            return;
        };
        let now = io.now();
        let send_before = (now + io.cfg.permit_start).min(io.cx.own.lease_expires_at);
        let adapter = open.ask.adapter;
        let request = open.ask.request;
        self.views
            .entry(grant.group.clone())
            .or_default()
            .let_in(&adapter);
        send_taken(io, from, &grant);
        let held = Held {
            group: grant.group,
            permit: grant.permit,
            target: grant.target.clone(),
            adapter: adapter.clone(),
        };
        self.held.insert(request, held);
        let permit = Permit {
            target: grant.target,
            address: grant.address,
            adapter,
            send_before,
        };
        io.decide(request, Ok(permit));
    }

    fn holds(&self, grant: &Grant) -> bool {
        self.held
            .values()
            .any(|held| held.permit == grant.permit && held.group == grant.group)
    }

    fn take_open(&mut self, io: &Io<'_, '_>, from: &InstanceId, grant: &Grant) -> Option<OpenAsk> {
        let own = io.cx.own;
        let key = OwnershipKey::Group(grant.group.clone());
        let floor = self.floors.get(&grant.group).copied().unwrap_or_default();
        let valid = own.has_lease(io.now())
            && own.owner(&key) == Some(from)
            && grant.permit.revision >= floor;
        if !valid {
            return None;
        }
        let open = self.open.remove(&grant.number)?;
        self.numbers.remove(&open.ask.request);
        Some(open)
    }

    /// Tells a group's home all that is held, and takes no older permit from now on.
    pub(super) fn tell_held(
        &mut self,
        io: &mut Io<'_, '_>,
        from: &InstanceId,
        group: GroupId,
        revision: Revision,
    ) {
        let floor = self.floors.entry(group.clone()).or_default();
        *floor = (*floor).max(revision);
        let permits = self
            .held
            .values()
            .filter(|held| held.group == group)
            .map(|held| HeldPermit {
                permit: held.permit,
                target: held.target.clone(),
                adapter: held.adapter.clone(),
            })
            .collect();
        let message = EnginesMessage::Holding {
            group,
            revision,
            incarnation: io.me().incarnation,
            permits,
        };
        io.send(from, message);
    }
}

fn send_taken(io: &mut Io<'_, '_>, home: &InstanceId, grant: &Grant) {
    let message = EnginesMessage::Taken {
        group: grant.group.clone(),
        permit: grant.permit,
    };
    io.send(home, message);
}

fn hand_back(io: &mut Io<'_, '_>, home: &InstanceId, grant: &Grant) {
    let message = EnginesMessage::Ended {
        group: grant.group.clone(),
        permit: grant.permit,
        end: PermitEnd::NotUsed,
    };
    io.send(home, message);
}
