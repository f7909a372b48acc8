//! The membership state machine.

use std::collections::BTreeSet;

use crate::platform::{PlatformPurpose, PlatformReply, PlatformResponse};
use crate::{
    Action, Adoption, Expected, InstanceId, Map, Member, MemberRef, Notice, Ownership, Revision,
    Terms, Time, Tuning, Versioned,
};

use super::change::{self, Goal};
use super::failure_detector::{self, FailureDetector};
use super::heartbeats::{Heartbeats, Round};
use super::lifecycle::{Lifecycle, PeerView};
use super::map_store::{self, MapStore, ReadReason, Retry};
use super::peers::{Peer, Peers};
use super::presence::Presence;
use super::quorum::{self, CatalogueQuorum};
use super::retirement::Retirement;
use super::{Heartbeat, MembershipMessage};

/// Maintains the map, this instance's lease and the activation of its keys.
#[derive(Debug)]
pub struct Membership {
    cfg: Tuning,
    local: Member,
    ownership: Ownership,
    peers: Peers,
    heartbeats: Heartbeats,
    retirement: Retirement,
    presence: Presence,
    failures: FailureDetector,
    store: MapStore,
    lifecycle: Lifecycle,
    /// The latest time at or after which the platform had no map newer than the one in force.
    read_confirmed_at: Option<Time>,
    catalogue: Revision,
    had_lease: bool,
    last_step: Time,
}

impl Membership {
    /// Creates the state of a new incarnation that knows no map yet; `local.state` is `Joining`.
    #[must_use]
    pub fn new(cfg: &Tuning, local: Member, now: Time) -> Self {
        let map = Map::empty(Terms::from(cfg));
        Self {
            cfg: cfg.clone(),
            ownership: Ownership::new(local.member_ref(), map),
            local,
            peers: Peers::default(),
            heartbeats: Heartbeats::default(),
            retirement: Retirement::default(),
            presence: Presence::default(),
            failures: FailureDetector::default(),
            store: MapStore::new(),
            lifecycle: Lifecycle::new(),
            read_confirmed_at: None,
            catalogue: Revision::default(),
            had_lease: false,
            last_step: now,
        }
    }

    /// Returns the view of ownership that the other cores decide by.
    #[must_use]
    pub const fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Sends the heartbeats, reads and map changes that are due; `catalogue` is the revision in
    /// force on this instance.
    pub fn tick(&mut self, now: Time, catalogue: Revision, out: &mut Vec<Action>) {
        self.begin_step(now);
        self.set_catalogue(catalogue);
        self.update(now, out);
    }

    /// Handles a heartbeat or a pushed map.
    pub fn message(
        &mut self,
        now: Time,
        from: &InstanceId,
        message: MembershipMessage,
        catalogue: Revision,
        out: &mut Vec<Action>,
    ) {
        self.begin_step(now);
        self.set_catalogue(catalogue);
        match message {
            MembershipMessage::Heartbeat(heartbeat) => {
                self.handle_heartbeat(now, from, heartbeat, out);
            }
            MembershipMessage::Push(map) => self.adopt(now, *map, out),
        }
        self.update(now, out);
    }

    /// Handles a response to `MapRead`, `MapWrite` or `InstanceList`.
    pub fn platform(&mut self, now: Time, answer: PlatformResponse, out: &mut Vec<Action>) {
        self.begin_step(now);
        match answer.purpose {
            PlatformPurpose::MapRead => self.complete_read(now, answer, out),
            PlatformPurpose::MapWrite => self.complete_write(now, &answer, out),
            PlatformPurpose::InstanceList => self.complete_list(now, &answer),
            _ => {}
        }
        self.update(now, out);
    }

    /// Requests a read of the map after a watch reported a change of the map object.
    pub fn map_hint(&mut self, now: Time, out: &mut Vec<Action>) {
        self.begin_step(now);
        self.store.request_read();
        self.update(now, out);
    }

    /// Records that the catalogue is loaded: the instance may go from `Joining` to `Active`.
    pub fn set_ready(&mut self, _now: Time) {
        self.lifecycle.set_ready();
    }

    /// Starts a planned stop: the instance becomes `Leaving`. Its entry is removed from the map
    /// once all members know that and no request remains.
    pub fn stop(&mut self, _now: Time) {
        self.lifecycle.stop();
    }

    /// Records, during a planned stop, that no request remains here: the entry may be removed from
    /// the map.
    pub fn set_drained(&mut self, _now: Time) {
        self.lifecycle.set_drained();
    }

    /// Whether the map no longer lists this incarnation, as intended by a planned stop.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.lifecycle.wants_exit() && self.store.is_settled() && !self.ownership.is_member()
    }

    /// Returns the catalogue state that a majority, including this instance, reported; `None` while
    /// no majority has.
    #[must_use]
    pub fn majority_catalogue(&self) -> Option<CatalogueQuorum> {
        let ownership = &self.ownership;
        quorum::catalogue(
            self.last_step,
            &ownership.map,
            &ownership.local,
            self.catalogue,
            &self.peers,
        )
    }

    /// Returns the catalogue revision that each other incarnation of the map last reported; `None`
    /// before its first reply.
    pub fn reported_catalogues(&self) -> impl Iterator<Item = (&MemberRef, Option<Revision>)> {
        let peers = self.peers.iter();
        peers.map(|(peer_ref, peer)| (peer_ref, peer.latest_reply.map(|reply| reply.catalogue)))
    }

    /// Sets the catalogue revision and reports a change at once, because the instance that wrote it
    /// waits for the reports of a majority.
    fn set_catalogue(&mut self, catalogue: Revision) {
        if catalogue != self.catalogue {
            self.heartbeats.schedule_now();
        }
        self.catalogue = catalogue;
    }

    /// Resets failure detection if the process was frozen since the last step.
    ///
    /// A frozen process receives no heartbeats, so all peers would look unresponsive. It must
    /// receive new ones for a full timeout before it reports a peer as unresponsive.
    fn begin_step(&mut self, now: Time) {
        if now.since(self.last_step) >= self.cfg.suspect_after / 2 {
            self.peers.reset_last_seen(now);
            self.failures.clear();
        }
        self.last_step = now;
    }

    fn handle_heartbeat(
        &mut self,
        now: Time,
        from: &InstanceId,
        heartbeat: Heartbeat,
        out: &mut Vec<Action>,
    ) {
        let sender = MemberRef {
            id: from.clone(),
            incarnation: heartbeat.incarnation,
        };
        let sender_map = heartbeat.map;
        let is_echo = heartbeat.echo_incarnation == self.local.incarnation;
        let echoed_sent_at = is_echo
            .then(|| self.heartbeats.sent_at(heartbeat.echo))
            .flatten();
        let known_catalogue = self.peers.get(&sender).map(|peer| peer.catalogue);
        if heartbeat.catalogue != Revision::UNCERTAIN && known_catalogue < Some(heartbeat.catalogue)
        {
            self.heartbeats.schedule_now();
        }
        self.retirement.apply_peer_report(heartbeat.retired_below);
        self.peers
            .record_heartbeat(now, &sender, heartbeat, echoed_sent_at);
        if sender_map > self.ownership.revision() {
            self.store.request_read();
        }
        if sender_map < self.ownership.revision() {
            self.push_map(now, from, out);
        }
    }

    fn push_map(&mut self, now: Time, to: &InstanceId, out: &mut Vec<Action>) {
        let interval = self.cfg.heartbeat_interval;
        self.heartbeats
            .push(now, interval, to, &self.ownership.map, out);
    }

    fn complete_read(&mut self, now: Time, answer: PlatformResponse, out: &mut Vec<Action>) {
        let PlatformReply::Got(got) = answer.reply else {
            self.store.complete_read(now, &self.cfg, answer.id, false);
            return;
        };
        let is_current = self.store.complete_read(now, &self.cfg, answer.id, true);
        match got {
            Some(object) => self.apply_read(now, answer.sent_at, &object, is_current, out),
            None if is_current && self.ownership.revision() == Revision::default() => {
                self.store.set_write_precondition(Some(Expected::Absent), 0);
            }
            None => {}
        }
    }

    /// Applies the stored map as it was at some time at or after `requested_at`.
    ///
    /// Whether that map is newer or older than the one in force, the platform had no newer one at
    /// `requested_at` than the one in force afterwards.
    fn apply_read(
        &mut self,
        now: Time,
        requested_at: Time,
        object: &Versioned,
        is_current: bool,
        out: &mut Vec<Action>,
    ) {
        let Ok(map) = serde_json::from_str::<Map>(&object.value) else {
            out.push(Action::Notice(Notice::ObjectMalformed(
                map_store::map_object(),
            )));
            return;
        };
        let (revision, history_len) = (map.revision, map.history.len());
        self.adopt(now, map, out);
        self.read_confirmed_at = self.read_confirmed_at.max(Some(requested_at));
        if is_current && revision == self.ownership.revision() {
            let version = Expected::Version(object.version);
            self.store
                .set_write_precondition(Some(version), history_len);
        }
    }

    fn complete_write(&mut self, now: Time, answer: &PlatformResponse, out: &mut Vec<Action>) {
        let retry = match answer.reply {
            PlatformReply::Written(version) => {
                let Some(map) = self.store.complete_write(answer.id, version) else {
                    return;
                };
                let (precondition, history_len) =
                    (self.store.write_precondition(), map.history.len());
                let previous_members = self.ownership.map.members.clone();
                self.adopt(now, map, out);
                self.store.set_write_precondition(precondition, history_len);
                self.read_confirmed_at = self.read_confirmed_at.max(Some(answer.sent_at));
                self.push_written_map(now, &previous_members, out);
                return;
            }
            PlatformReply::Unavailable => Retry::AfterBackoff,
            _ => Retry::AfterRead,
        };
        self.store.fail_write(now, &self.cfg, answer.id, retry);
    }

    /// Pushes a map that this instance wrote to all members of it and of its predecessor.
    fn push_written_map(&mut self, now: Time, previous_members: &[Member], out: &mut Vec<Action>) {
        let listed = self.ownership.map.members.iter().chain(previous_members);
        let receivers: BTreeSet<_> = listed
            .map(|member| member.id.clone())
            .filter(|id| *id != self.local.id)
            .collect();
        for id in receivers {
            self.push_map(now, &id, out);
        }
    }

    fn complete_list(&mut self, now: Time, answer: &PlatformResponse) {
        if !self.store.complete_list(answer.id) {
            return;
        }
        if let PlatformReply::Instances(list) = &answer.reply {
            let suspect_after = self.cfg.suspect_after;
            let is_unresponsive = |member: &MemberRef| {
                failure_detector::is_unresponsive(now, member, &self.peers, suspect_after)
            };
            let map = &self.ownership.map;
            self.presence
                .observe(answer.sent_at, list, map, is_unresponsive);
        }
    }

    /// Puts a map into force if it is newer than the current one.
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
        self.store.set_write_precondition(None, 0);
        self.lifecycle
            .record_adoption(now, was_member, &self.ownership);
        let local = self.local.member_ref();
        let others = self
            .ownership
            .map
            .known_member_refs()
            .filter(|member| *member != local);
        self.peers.track(now, others);
        self.heartbeats.schedule_now();
    }

    /// Updates all derived state and sends the resulting calls and messages.
    fn update(&mut self, now: Time, out: &mut Vec<Action>) {
        self.update_retirement(now);
        self.update_lease(now, out);
        self.update_unresponsive(now, out);
        self.change_map(now, out);
        self.read_map(now, out);
        self.store.list_instances(now, &self.cfg, out);
        self.send_heartbeats(now, out);
    }

    fn update_retirement(&mut self, now: Time) {
        let wait = self.ownership.map.terms.lease_duration + self.ownership.map.terms.drift;
        let ownership = &mut self.ownership;
        self.retirement.observe(
            now,
            &ownership.map,
            &ownership.local,
            &self.peers,
            self.presence.gone(),
            wait,
        );
        self.retirement.prune(now, &mut ownership.map);
        ownership.past_retired_at = self.retirement.all_retired_at(&ownership.map);
        ownership.adopted = adoptions(&self.peers, &ownership.map);
    }

    fn update_lease(&mut self, now: Time, out: &mut Vec<Action>) {
        let ownership = &mut self.ownership;
        let peers_confirmed_at =
            quorum::map_confirmed_at(now, &ownership.map, &ownership.local, &self.peers);
        let confirmed_at = self.read_confirmed_at.max(peers_confirmed_at);
        ownership.lease_expires_at = confirmed_at.map_or(Time::default(), |at| {
            at + ownership.map.terms.lease_duration
        });
        let has_lease = ownership.has_lease(now);
        if has_lease != self.had_lease {
            out.push(Action::Notice(if has_lease {
                Notice::LeaseRegained
            } else {
                Notice::LeaseLost
            }));
        }
        self.had_lease = has_lease;
    }

    fn update_unresponsive(&mut self, now: Time, out: &mut Vec<Action>) {
        let suspect_after = self.cfg.suspect_after;
        let map = &self.ownership.map;
        let newly_unresponsive = self.failures.observe(now, map, &self.peers, suspect_after);
        self.ownership
            .unresponsive
            .clone_from(self.failures.unresponsive());
        if !newly_unresponsive.is_empty() {
            self.heartbeats.schedule_now();
        }
        out.extend(
            newly_unresponsive
                .into_iter()
                .map(|id| Action::Notice(Notice::PeerSuspected(id))),
        );
    }

    fn change_map(&mut self, now: Time, out: &mut Vec<Action>) {
        let removed = self.removable(now);
        let goal = self.effective_goal(now);
        let map = &self.ownership.map;
        let next = change::propose(map, &self.local, goal, &removed).or_else(|| self.compacted());
        let Some(next) = next else {
            return;
        };
        match self.store.write_precondition() {
            Some(expected) => self.store.write_map(now, expected, next, out),
            None => self.store.request_read(),
        }
    }

    /// Returns the map without retired revisions if the stored history is so long that it delays
    /// joining instances, and this instance is the first responsive member.
    fn compacted(&self) -> Option<Map> {
        let map = &self.ownership.map;
        let first = map
            .members
            .iter()
            .find(|member| !self.failures.unresponsive().contains(&member.id))?;
        let is_turn = first.member_ref() == self.ownership.local;
        let is_long = self.store.stored_history_len() >= change::COMPACTION_HISTORY_LEN;
        let saves_enough = map.history.len() + change::COMPACTION_HISTORY_LEN / 2
            <= self.store.stored_history_len();
        (is_turn && is_long && saves_enough).then(|| change::successor(map, map.members.clone()))
    }

    fn removable(&mut self, now: Time) -> BTreeSet<InstanceId> {
        if !self.ownership.has_lease(now) {
            return BTreeSet::new();
        }
        let ownership = &self.ownership;
        let gone = self.presence.gone();
        self.failures
            .removable(now, &ownership.map, &ownership.local, &self.peers, gone)
    }

    fn effective_goal(&self, now: Time) -> Goal {
        let view = PeerView {
            peers: &self.peers,
            failures: &self.failures,
            presence: &self.presence,
        };
        let max_wait = self.cfg.lease_duration * 2;
        self.lifecycle
            .effective_goal(now, &self.ownership, &view, max_wait)
    }

    fn read_map(&mut self, now: Time, out: &mut Vec<Action>) {
        let reason = self.read_reason(now);
        self.store.read_map(now, &self.cfg, reason, out);
    }

    fn read_reason(&self, now: Time) -> ReadReason {
        if self.store.is_read_requested() {
            return ReadReason::Requested;
        }
        let expires_soon =
            now + self.ownership.map.terms.lease_duration / 2 >= self.ownership.lease_expires_at;
        if expires_soon {
            return ReadReason::LeaseExpiry;
        }
        ReadReason::Routine
    }

    fn send_heartbeats(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.heartbeats.is_due(now) {
            return;
        }
        let interval = self.cfg.heartbeat_interval;
        self.heartbeats.prune_pushes(now, interval);
        let round = Round {
            ownership: &self.ownership,
            peers: &self.peers,
            catalogue: self.catalogue,
            unresponsive: self.failures.unresponsive().iter().cloned().collect(),
        };
        self.heartbeats.send_round(now, interval, &round, out);
    }
}

/// Returns the maps that the peers have adopted; empty without a history, because they are not
/// needed then.
fn adoptions(peers: &Peers, map: &Map) -> BTreeSet<Adoption> {
    if map.history.is_empty() {
        return BTreeSet::new();
    }
    let adoption = |(peer_ref, peer): (&MemberRef, &Peer)| Adoption {
        member_ref: peer_ref.clone(),
        map: peer.adopted,
    };
    peers.iter().map(adoption).collect()
}
