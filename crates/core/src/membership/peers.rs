//! What other lives have told.

use std::collections::{BTreeMap, BTreeSet};

use crate::{InstanceId, MemberRef, Revision, Time};

use super::Heartbeat;

/// What one life of a peer has told.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// When it was last heard, or first known of.
    pub(super) heard_at: Time,
    /// Its newest heartbeat's sequence; zero for none.
    pub(super) sequence: u64,
    /// The newest map that it has adopted.
    pub(super) adopted: Revision,
    /// The newest catalogue revision that it has in force.
    pub(super) catalogue: Revision,
    /// Its latest answer to a heartbeat from here.
    pub(super) told: Option<Told>,
    /// Members that are silent to it.
    pub(super) silent: Vec<InstanceId>,
}

/// A peer's answer to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(super) struct Told {
    /// When the heartbeat that it echoes was sent: what it told was so at or after this time.
    ///
    /// Counting from the answer's arrival instead would let an answer that was held up on its way
    /// prove something about now, and a former home act beside its successor.
    pub(super) asked: Time,
    /// The newest map that it had adopted.
    pub(super) map: Revision,
    /// The catalogue revision that it had in force, or that it was unsure.
    pub(super) catalogue: Revision,
}

impl Peer {
    const fn first_known(now: Time) -> Self {
        Self {
            heard_at: now,
            sequence: 0,
            adopted: Revision(0),
            catalogue: Revision(0),
            told: None,
            silent: Vec::new(),
        }
    }
}

/// All lives that the map or its history lists, this one excepted.
#[derive(Debug, Default)]
pub(super) struct Peers {
    lives: BTreeMap<MemberRef, Peer>,
}

impl Peers {
    pub(super) fn get(&self, life: &MemberRef) -> Option<&Peer> {
        self.lives.get(life)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&MemberRef, &Peer)> {
        self.lives.iter()
    }

    /// Keeps what was told by `lives`, forgets the rest and starts to wait for new ones.
    pub(super) fn track(&mut self, now: Time, lives: impl Iterator<Item = MemberRef>) {
        let lives: BTreeSet<_> = lives.collect();
        self.lives.retain(|life, _| lives.contains(life));
        for life in lives {
            self.lives.entry(life).or_insert(Peer::first_known(now));
        }
    }

    /// Takes a heartbeat; `asked` is when the heartbeat that it echoes was sent.
    ///
    /// Maps and catalogues only grow within a life, so late and doubled heartbeats do no harm.
    pub(super) fn hear(
        &mut self,
        now: Time,
        life: &MemberRef,
        heartbeat: Heartbeat,
        asked: Option<Time>,
    ) {
        let Some(peer) = self.lives.get_mut(life) else {
            return;
        };
        peer.adopted = peer.adopted.max(heartbeat.map);
        if heartbeat.catalogue != Revision::UNSURE {
            peer.catalogue = peer.catalogue.max(heartbeat.catalogue);
        }
        if let Some(asked) = asked
            && peer.told.is_none_or(|told| told.asked < asked)
        {
            peer.told = Some(Told {
                asked,
                map: heartbeat.map,
                catalogue: heartbeat.catalogue,
            });
        }
        if heartbeat.sequence > peer.sequence {
            peer.sequence = heartbeat.sequence;
            peer.heard_at = now;
            peer.silent = heartbeat.silent;
        }
    }

    /// Counts silence from now on, as if every peer had just been heard.
    pub(super) fn forgive(&mut self, now: Time) {
        for peer in self.lives.values_mut() {
            peer.heard_at = now;
        }
    }
}
