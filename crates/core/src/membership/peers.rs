//! State that other instances have reported.

use std::collections::{BTreeMap, BTreeSet};

use crate::{InstanceId, MemberRef, Revision, Time};

use super::Heartbeat;

/// The reported state of one incarnation of a peer.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// When the peer's newest heartbeat was received, or when the peer was first listed.
    pub(super) last_seen: Time,
    /// Sequence number of the newest heartbeat; zero for none.
    pub(super) sequence: u64,
    /// The newest map that the peer has adopted.
    pub(super) adopted: Revision,
    /// The newest catalogue revision in force at the peer.
    pub(super) catalogue: Revision,
    /// The peer's latest reply to a heartbeat of this instance.
    pub(super) latest_reply: Option<HeartbeatReply>,
    /// Members that the peer finds unresponsive.
    pub(super) unresponsive: Vec<InstanceId>,
}

/// The state in a peer's reply to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeartbeatReply {
    /// When the echoed heartbeat was sent: the reported state was true at or after this time.
    ///
    /// With the reply's arrival time instead, a delayed reply would confirm state as current that
    /// is no longer true, and a former owner could act at the same time as its successor.
    pub(super) heartbeat_sent_at: Time,
    /// The newest map that the peer had adopted.
    pub(super) map: Revision,
    /// The catalogue revision in force at the peer, or [`Revision::UNCERTAIN`].
    pub(super) catalogue: Revision,
}

impl Peer {
    const fn first_known(now: Time) -> Self {
        Self {
            last_seen: now,
            sequence: 0,
            adopted: Revision(0),
            catalogue: Revision(0),
            latest_reply: None,
            unresponsive: Vec::new(),
        }
    }
}

/// All incarnations that the map or its history lists, except the local one.
#[derive(Debug, Default)]
pub(super) struct Peers {
    by_ref: BTreeMap<MemberRef, Peer>,
}

impl Peers {
    pub(super) fn get(&self, peer_ref: &MemberRef) -> Option<&Peer> {
        self.by_ref.get(peer_ref)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&MemberRef, &Peer)> {
        self.by_ref.iter()
    }

    /// Starts tracking the new ones of `peer_refs` and forgets all peers that are not among them.
    pub(super) fn track(&mut self, now: Time, peer_refs: impl Iterator<Item = MemberRef>) {
        let peer_refs: BTreeSet<_> = peer_refs.collect();
        self.by_ref
            .retain(|peer_ref, _| peer_refs.contains(peer_ref));
        for peer_ref in peer_refs {
            self.by_ref
                .entry(peer_ref)
                .or_insert(Peer::first_known(now));
        }
    }

    /// Records a heartbeat; `echoed_sent_at` is when the heartbeat that it echoes was sent.
    ///
    /// Late and duplicated heartbeats are harmless because the map and catalogue revisions of an
    /// incarnation only increase.
    pub(super) fn record_heartbeat(
        &mut self,
        now: Time,
        peer_ref: &MemberRef,
        heartbeat: Heartbeat,
        echoed_sent_at: Option<Time>,
    ) {
        let Some(peer) = self.by_ref.get_mut(peer_ref) else {
            return;
        };
        peer.adopted = peer.adopted.max(heartbeat.map);
        if heartbeat.catalogue != Revision::UNCERTAIN {
            peer.catalogue = peer.catalogue.max(heartbeat.catalogue);
        }
        if let Some(heartbeat_sent_at) = echoed_sent_at
            && peer
                .latest_reply
                .is_none_or(|reply| reply.heartbeat_sent_at < heartbeat_sent_at)
        {
            peer.latest_reply = Some(HeartbeatReply {
                heartbeat_sent_at,
                map: heartbeat.map,
                catalogue: heartbeat.catalogue,
            });
        }
        if heartbeat.sequence > peer.sequence {
            peer.sequence = heartbeat.sequence;
            peer.last_seen = now;
            peer.unresponsive = heartbeat.unresponsive;
        }
    }

    /// Restarts the failure timeouts, as if every peer had just sent a heartbeat.
    pub(super) fn reset_last_seen(&mut self, now: Time) {
        for peer in self.by_ref.values_mut() {
            peer.last_seen = now;
        }
    }
}
