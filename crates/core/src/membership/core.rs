//! The membership state machine.

use std::collections::BTreeSet;

use crate::platform::{PlatformAnswer, PlatformPurpose, PlatformReply};
use crate::{
    Action, Adoption, Expected, InstanceId, Map, Member, MemberRef, Notice, Ownership, Revision,
    Terms, Time, Tuning, Versioned,
};

use super::change::{self, Goal};
use super::heartbeats::{Heartbeats, Round};
use super::peers::{Peer, Peers};
use super::place::{Others, Place};
use super::presence::Presence;
use super::quorum::{self, CatalogueQuorum};
use super::retirement::Retirement;
use super::silence::{self, Silence};
use super::store::{self, ReadReason, Retry, Store};
use super::{Heartbeat, MembershipMessage};

/// Keeps the map, this instance's standing and the activation of its homes.
#[derive(Debug)]
pub struct Membership {
    cfg: Tuning,
    me: Member,
    ownership: Ownership,
    peers: Peers,
    heartbeats: Heartbeats,
    retirement: Retirement,
    presence: Presence,
    silence: Silence,
    store: Store,
    place: Place,
    /// The latest time at or after which the platform showed no map newer than the one in force.
    read_at: Option<Time>,
    catalogue: Revision,
    had_standing: bool,
    last_step: Time,
}

impl Membership {
    /// A fresh life of an instance that knows no map yet; `me.state` is `Joining`.
    #[must_use]
    pub fn new(cfg: &Tuning, me: Member, now: Time) -> Self {
        let map = Map::empty(Terms::from(cfg));
        Self {
            cfg: cfg.clone(),
            ownership: Ownership::new(me.member_ref(), map),
            me,
            peers: Peers::default(),
            heartbeats: Heartbeats::default(),
            retirement: Retirement::default(),
            presence: Presence::default(),
            silence: Silence::default(),
            store: Store::new(),
            place: Place::new(),
            read_at: None,
            catalogue: Revision::default(),
            had_standing: false,
            last_step: now,
        }
    }

    /// The view that the other cores decide by.
    #[must_use]
    pub const fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Sends due heartbeats, reads and map changes; `catalogue` is the revision in force here.
    pub fn tick(&mut self, now: Time, catalogue: Revision, out: &mut Vec<Action>) {
        self.wake(now);
        self.note_catalogue(catalogue);
        self.settle(now, out);
    }

    /// Takes a heartbeat or a pushed map.
    pub fn message(
        &mut self,
        now: Time,
        from: &InstanceId,
        message: MembershipMessage,
        catalogue: Revision,
        out: &mut Vec<Action>,
    ) {
        self.wake(now);
        self.note_catalogue(catalogue);
        match message {
            MembershipMessage::Heartbeat(heartbeat) => self.hear(now, from, heartbeat, out),
            MembershipMessage::Push(map) => self.adopt(now, *map, out),
        }
        self.settle(now, out);
    }

    /// Takes an answer to `MapRead`, `MapWrite` or `InstanceList`.
    pub fn platform(&mut self, now: Time, answer: PlatformAnswer, out: &mut Vec<Action>) {
        self.wake(now);
        match answer.purpose {
            PlatformPurpose::MapRead => self.end_read(now, answer, out),
            PlatformPurpose::MapWrite => self.end_write(now, &answer, out),
            PlatformPurpose::InstanceList => self.end_list(now, &answer),
            _ => {}
        }
        self.settle(now, out);
    }

    /// A watch saw the map object change: read it.
    pub fn map_hint(&mut self, now: Time, out: &mut Vec<Action>) {
        self.wake(now);
        self.store.expect_news();
        self.settle(now, out);
    }

    /// The catalogue is loaded: `Joining` may become `Active`.
    pub fn ready(&mut self, _now: Time) {
        self.place.ready();
    }

    /// Planned stop: become `Leaving`; once that is known everywhere and nothing is left to do, the
    /// entry goes from the map.
    pub fn stop(&mut self, _now: Time) {
        self.place.stop();
    }

    /// After a planned stop: no request is left here, the entry may go from the map.
    pub fn drained(&mut self, _now: Time) {
        self.place.drained();
    }

    /// The map no longer lists this life, as it meant.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.place.wants_out() && self.store.is_settled() && !self.ownership.is_member()
    }

    /// The latest time since which a majority, this instance included, has told its catalogue
    /// revision, with the highest revision told; none while no majority has.
    #[must_use]
    pub fn majority_catalogue(&self) -> Option<CatalogueQuorum> {
        let own = &self.ownership;
        quorum::catalogue(
            self.last_step,
            &own.map,
            &own.me,
            self.catalogue,
            &self.peers,
        )
    }

    /// The catalogue revision that each other life of the map last reported; none before its first
    /// answer.
    pub fn told_catalogues(&self) -> impl Iterator<Item = (&MemberRef, Option<Revision>)> {
        let lives = self.peers.iter();
        lives.map(|(life, peer)| (life, peer.told.map(|told| told.catalogue)))
    }

    /// Tells a newer catalogue at once: the instance that wrote it waits for a majority's word.
    fn note_catalogue(&mut self, catalogue: Revision) {
        if catalogue != self.catalogue {
            self.heartbeats.hurry();
        }
        self.catalogue = catalogue;
    }

    /// Guards against a process that was frozen and takes everyone else for dead: all were silent
    /// to it, so it must hear them again before it calls anyone silent.
    fn wake(&mut self, now: Time) {
        if now.since(self.last_step) >= self.cfg.suspect_after / 2 {
            self.peers.forgive(now);
            self.silence.clear();
        }
        self.last_step = now;
    }

    fn hear(&mut self, now: Time, from: &InstanceId, heartbeat: Heartbeat, out: &mut Vec<Action>) {
        let life = MemberRef {
            id: from.clone(),
            incarnation: heartbeat.incarnation,
        };
        let told = heartbeat.map;
        let is_echo = heartbeat.echo_incarnation == self.me.incarnation;
        let asked = is_echo
            .then(|| self.heartbeats.sent_at(heartbeat.echo))
            .flatten();
        let known = self.peers.get(&life).map(|peer| peer.catalogue);
        if heartbeat.catalogue != Revision::UNSURE && known < Some(heartbeat.catalogue) {
            self.heartbeats.hurry();
        }
        self.retirement.learn(heartbeat.retired_below);
        self.peers.hear(now, &life, heartbeat, asked);
        if told > self.ownership.revision() {
            self.store.expect_news();
        }
        if told < self.ownership.revision() {
            self.push(now, from, out);
        }
    }

    fn push(&mut self, now: Time, to: &InstanceId, out: &mut Vec<Action>) {
        let interval = self.cfg.heartbeat_interval;
        self.heartbeats
            .push(now, interval, to, &self.ownership.map, out);
    }

    fn end_read(&mut self, now: Time, answer: PlatformAnswer, out: &mut Vec<Action>) {
        let PlatformReply::Got(got) = answer.reply else {
            self.store.end_read(now, &self.cfg, answer.id, false);
            return;
        };
        let is_current = self.store.end_read(now, &self.cfg, answer.id, true);
        match got {
            Some(object) => self.take_read(now, answer.asked, &object, is_current, out),
            None if is_current && self.ownership.revision() == Revision::default() => {
                self.store.set_base(Some(Expected::Absent), 0);
            }
            None => {}
        }
    }

    /// Takes the map as it was at some time at or after `asked`, be it newer or older than the one
    /// in force: either way no newer one than that which is in force then was there at `asked`.
    fn take_read(
        &mut self,
        now: Time,
        asked: Time,
        object: &Versioned,
        is_current: bool,
        out: &mut Vec<Action>,
    ) {
        let Ok(map) = serde_json::from_str::<Map>(&object.value) else {
            out.push(Action::Notice(Notice::ObjectMalformed(store::map_object())));
            return;
        };
        let (revision, history) = (map.revision, map.history.len());
        self.adopt(now, map, out);
        self.read_at = self.read_at.max(Some(asked));
        if is_current && revision == self.ownership.revision() {
            let version = Expected::Version(object.version);
            self.store.set_base(Some(version), history);
        }
    }

    fn end_write(&mut self, now: Time, answer: &PlatformAnswer, out: &mut Vec<Action>) {
        let retry = match answer.reply {
            PlatformReply::Written(version) => {
                let Some(map) = self.store.end_write(answer.id, version) else {
                    return;
                };
                let (base, history) = (self.store.base(), map.history.len());
                let former = self.ownership.map.members.clone();
                self.adopt(now, map, out);
                self.store.set_base(base, history);
                self.read_at = self.read_at.max(Some(answer.asked));
                self.spread(now, &former, out);
                return;
            }
            PlatformReply::Unavailable => Retry::AfterPause,
            _ => Retry::AfterRead,
        };
        self.store.fail_write(now, &self.cfg, answer.id, retry);
    }

    /// Pushes a map written here to all that it lists or that its predecessor listed.
    fn spread(&mut self, now: Time, former: &[Member], out: &mut Vec<Action>) {
        let listed = self.ownership.map.members.iter().chain(former);
        let to: BTreeSet<_> = listed
            .map(|member| member.id.clone())
            .filter(|id| *id != self.me.id)
            .collect();
        for id in to {
            self.push(now, &id, out);
        }
    }

    fn end_list(&mut self, now: Time, answer: &PlatformAnswer) {
        if !self.store.end_list(answer.id) {
            return;
        }
        if let PlatformReply::Instances(list) = &answer.reply {
            let suspect_after = self.cfg.suspect_after;
            let silent =
                |life: &MemberRef| silence::is_silent(now, life, &self.peers, suspect_after);
            let map = &self.ownership.map;
            self.presence.observe(answer.asked, list, map, silent);
        }
    }

    /// Takes a map into force if it is newer.
    fn adopt(&mut self, now: Time, map: Map, out: &mut Vec<Action>) {
        if map.revision <= self.ownership.revision() {
            return;
        }
        out.push(Action::Notice(Notice::MapAdopted(Box::new(map.clone()))));
        let was_member = self.ownership.is_member();
        if map.terms != self.ownership.map.terms {
            out.push(Action::Notice(Notice::TermsDiffer(map.terms)));
        }
        self.ownership.map = map;
        self.store.set_base(None, 0);
        self.place.adopted(now, was_member, &self.ownership);
        let me = self.me.member_ref();
        let lives = self.ownership.map.known_lives().filter(|life| *life != me);
        self.peers.track(now, lives);
        self.heartbeats.hurry();
    }

    /// Draws the conclusions from all that is known now.
    fn settle(&mut self, now: Time, out: &mut Vec<Action>) {
        self.retire(now);
        self.update_standing(now, out);
        self.update_silence(now, out);
        self.change_map(now, out);
        self.read_map(now, out);
        self.store.list_instances(now, &self.cfg, out);
        self.send_heartbeats(now, out);
    }

    fn retire(&mut self, now: Time) {
        let wait = self.ownership.map.terms.standing + self.ownership.map.terms.drift;
        let own = &mut self.ownership;
        self.retirement.observe(
            now,
            &own.map,
            &own.me,
            &self.peers,
            self.presence.gone(),
            wait,
        );
        self.retirement.prune(now, &mut own.map);
        own.past_retired_at = self.retirement.all_retired_at(&own.map);
        own.adopted = adoptions(&self.peers, &own.map);
    }

    fn update_standing(&mut self, now: Time, out: &mut Vec<Action>) {
        let own = &mut self.ownership;
        let told_at = quorum::map_confirmed_at(now, &own.map, &own.me, &self.peers);
        let proved_at = self.read_at.max(told_at);
        own.standing_until = proved_at.map_or(Time::default(), |at| at + own.map.terms.standing);
        let has_standing = own.has_standing(now);
        if has_standing != self.had_standing {
            out.push(Action::Notice(if has_standing {
                Notice::StandingRegained
            } else {
                Notice::StandingLost
            }));
        }
        self.had_standing = has_standing;
    }

    fn update_silence(&mut self, now: Time, out: &mut Vec<Action>) {
        let suspect_after = self.cfg.suspect_after;
        let map = &self.ownership.map;
        let fresh = self.silence.observe(now, map, &self.peers, suspect_after);
        self.ownership.silent.clone_from(self.silence.members());
        if !fresh.is_empty() {
            self.heartbeats.hurry();
        }
        out.extend(
            fresh
                .into_iter()
                .map(|id| Action::Notice(Notice::PeerSuspected(id))),
        );
    }

    fn change_map(&mut self, now: Time, out: &mut Vec<Action>) {
        let dropped = self.droppable(now);
        let goal = self.goal_now(now);
        let map = &self.ownership.map;
        let next = change::propose(map, &self.me, goal, &dropped).or_else(|| self.tidied());
        let Some(next) = next else {
            return;
        };
        match self.store.base() {
            Some(expected) => self.store.write_map(now, expected, next, out),
            None => self.store.expect_news(),
        }
    }

    /// The map without what is retired, where the stored one has grown so long that it keeps
    /// newcomers waiting, and this is the member whose turn it is.
    fn tidied(&self) -> Option<Map> {
        let map = &self.ownership.map;
        let first = map
            .members
            .iter()
            .find(|member| !self.silence.members().contains(&member.id))?;
        let is_turn = first.member_ref() == self.ownership.me;
        let is_long = self.store.history() >= change::TIDY_HISTORY;
        let gains = map.history.len() + change::TIDY_HISTORY / 2 <= self.store.history();
        (is_turn && is_long && gains).then(|| change::successor(map, map.members.clone()))
    }

    fn droppable(&mut self, now: Time) -> BTreeSet<InstanceId> {
        if !self.ownership.has_standing(now) {
            return BTreeSet::new();
        }
        let own = &self.ownership;
        let gone = self.presence.gone();
        self.silence
            .droppable(now, &own.map, &own.me, &self.peers, gone)
    }

    fn goal_now(&self, now: Time) -> Goal {
        let others = Others {
            peers: &self.peers,
            silence: &self.silence,
            presence: &self.presence,
        };
        let patience = self.cfg.standing * 2;
        self.place.goal_now(now, &self.ownership, &others, patience)
    }

    fn read_map(&mut self, now: Time, out: &mut Vec<Action>) {
        let reason = self.read_reason(now);
        self.store.read_map(now, &self.cfg, reason, out);
    }

    fn read_reason(&self, now: Time) -> ReadReason {
        if self.store.expects_news() {
            return ReadReason::News;
        }
        let ends_soon =
            now + self.ownership.map.terms.standing / 2 >= self.ownership.standing_until;
        if ends_soon {
            return ReadReason::Standing;
        }
        ReadReason::Routine
    }

    fn send_heartbeats(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.heartbeats.is_due(now) {
            return;
        }
        let interval = self.cfg.heartbeat_interval;
        self.heartbeats.forget_pushes(now, interval);
        let round = Round {
            own: &self.ownership,
            peers: &self.peers,
            catalogue: self.catalogue,
            silent: self.silence.members().iter().cloned().collect(),
        };
        self.heartbeats.send_round(now, interval, &round, out);
    }
}

/// What the peers have adopted; without a history nobody needs to know.
fn adoptions(peers: &Peers, map: &Map) -> BTreeSet<Adoption> {
    if map.history.is_empty() {
        return BTreeSet::new();
    }
    let adoption = |(life, peer): (&MemberRef, &Peer)| Adoption {
        life: life.clone(),
        map: peer.adopted,
    };
    peers.iter().map(adoption).collect()
}
