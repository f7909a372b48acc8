//! Sending heartbeats and pushing maps.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Action, InstanceId, Map, Ownership, PeerMessage, Revision, Time};

use super::beat_log::BeatLog;
use super::peers::Peers;
use super::{Heartbeat, MembershipMessage};

/// When to send what to whom.
#[derive(Debug, Default)]
pub(super) struct Heartbeats {
    log: BeatLog,
    next_round: Time,
    pushed: BTreeMap<InstanceId, Pushed>,
}

#[derive(Debug)]
struct Pushed {
    map: Revision,
    at: Time,
}

/// What every heartbeat of a round says.
#[derive(Debug)]
pub(super) struct Round<'a> {
    pub(super) own: &'a Ownership,
    pub(super) peers: &'a Peers,
    pub(super) catalogue: Revision,
    pub(super) silent: Vec<InstanceId>,
}

impl Heartbeats {
    /// When the heartbeat of this sequence was sent.
    pub(super) fn sent_at(&self, sequence: u64) -> Option<Time> {
        self.log.sent_at(sequence)
    }

    /// Lets the next round be due at once: there is news.
    pub(super) const fn hurry(&mut self) {
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
        let me = &round.own.me;
        for member in &round.own.map.members {
            if member.id == me.id {
                continue;
            }
            let echo = round.peers.get(&member.member_ref());
            let heartbeat = Heartbeat {
                incarnation: me.incarnation,
                sequence,
                map: round.own.revision(),
                catalogue: round.catalogue,
                echo_incarnation: member.incarnation,
                echo: echo.map_or(0, |peer| peer.sequence),
                retired_below: round.own.retired_below(),
                silent: round.silent.clone(),
            };
            send(&member.id, MembershipMessage::Heartbeat(heartbeat), out);
        }
    }

    /// Pushes a map to a peer, at most once an interval.
    pub(super) fn push(
        &mut self,
        now: Time,
        interval: Duration,
        to: &InstanceId,
        map: &Map,
        out: &mut Vec<Action>,
    ) {
        let recent = self
            .pushed
            .get(to)
            .is_some_and(|pushed| pushed.map == map.revision && now < pushed.at + interval);
        if recent {
            return;
        }
        let pushed = Pushed {
            map: map.revision,
            at: now,
        };
        self.pushed.insert(to.clone(), pushed);
        send(to, MembershipMessage::Push(Box::new(map.clone())), out);
    }

    /// Forgets pushes of long ago.
    pub(super) fn forget_pushes(&mut self, now: Time, interval: Duration) {
        self.pushed.retain(|_, pushed| now < pushed.at + interval);
    }
}

fn send(to: &InstanceId, message: MembershipMessage, out: &mut Vec<Action>) {
    out.push(Action::Send {
        to: to.clone(),
        message: Box::new(PeerMessage::Membership(message)),
    });
}
