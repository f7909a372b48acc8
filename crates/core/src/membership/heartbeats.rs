//! Sending of heartbeats and maps.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Action, InstanceId, Map, Ownership, PeerMessage, Revision, Time};

use super::heartbeat_log::HeartbeatLog;
use super::peers::Peers;
use super::{Heartbeat, MembershipMessage};

/// Schedules heartbeats and limits how often a map is pushed.
#[derive(Debug, Default)]
pub(super) struct Heartbeats {
    log: HeartbeatLog,
    next_round: Time,
    pushes: BTreeMap<InstanceId, MapPush>,
}

#[derive(Debug)]
struct MapPush {
    map: Revision,
    at: Time,
}

/// The state that all heartbeats of a round report.
#[derive(Debug)]
pub(super) struct Round<'a> {
    pub(super) ownership: &'a Ownership,
    pub(super) peers: &'a Peers,
    pub(super) catalogue: Revision,
    pub(super) unresponsive: Vec<InstanceId>,
}

impl Heartbeats {
    /// Returns when the heartbeat with this sequence number was sent.
    pub(super) fn sent_at(&self, sequence: u64) -> Option<Time> {
        self.log.sent_at(sequence)
    }

    /// Makes the next round due at once, because there is a change to report.
    pub(super) const fn schedule_now(&mut self) {
        self.next_round = Time(0);
    }

    pub(super) fn is_due(&self, now: Time) -> bool {
        now >= self.next_round
    }

    /// Sends one heartbeat to every other member.
    pub(super) fn send_round(
        &mut self,
        now: Time,
        interval: Duration,
        round: &Round<'_>,
        out: &mut Vec<Action>,
    ) {
        self.next_round = now + interval;
        let sequence = self.log.record(now);
        let local = &round.ownership.local;
        for member in &round.ownership.map.members {
            if member.id == local.id {
                continue;
            }
            let peer = round.peers.get(&member.member_ref());
            let heartbeat = Heartbeat {
                incarnation: local.incarnation,
                sequence,
                map: round.ownership.revision(),
                catalogue: round.catalogue,
                echo_incarnation: member.incarnation,
                echo: peer.map_or(0, |peer| peer.sequence),
                retired_below: round.ownership.retired_below(),
                unresponsive: round.unresponsive.clone(),
            };
            send(&member.id, MembershipMessage::Heartbeat(heartbeat), out);
        }
    }

    /// Pushes a map to a peer unless the same map was pushed to it less than `interval` ago.
    pub(super) fn push(
        &mut self,
        now: Time,
        interval: Duration,
        to: &InstanceId,
        map: &Map,
        out: &mut Vec<Action>,
    ) {
        let is_recent = self
            .pushes
            .get(to)
            .is_some_and(|push| push.map == map.revision && now < push.at + interval);
        if is_recent {
            return;
        }
        let push = MapPush {
            map: map.revision,
            at: now,
        };
        self.pushes.insert(to.clone(), push);
        send(to, MembershipMessage::Push(Box::new(map.clone())), out);
    }

    /// Removes the records of pushes that are older than `interval`.
    pub(super) fn prune_pushes(&mut self, now: Time, interval: Duration) {
        self.pushes.retain(|_, push| now < push.at + interval);
    }
}

fn send(to: &InstanceId, message: MembershipMessage, out: &mut Vec<Action>) {
    out.push(Action::Send {
        to: to.clone(),
        message: Box::new(PeerMessage::Membership(message)),
    });
}
