//! Choice of the instances that keep a stream's origin.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::Time;

use super::{
    Entry, KnownVersions, MAX_LIFETIME, OriginLookup, OriginMessage, OriginQuery, OriginRecord,
    OriginReply, StreamKey, StreamOrigin,
};
use crate::decide::peers::Member;
use crate::decide::rendezvous::{ShortHash, weight};
use crate::decide::tables::Tables;

/// Number of instances that keep a stream's origin, beside the one that serves it. With three, a fleet that loses a
/// third of its instances at once loses one origin in 27.
const REPLICAS: usize = 3;

/// Identifies one incarnation of an instance.
pub(super) type MemberHash = ShortHash;

/// Origins to send to one instance.
#[derive(Clone, Debug)]
pub struct OutgoingOrigins {
    /// Address of the instance.
    pub to: SocketAddr,
    /// The origins.
    pub records: Vec<OriginRecord>,
}

pub(super) fn incarnation_hash(member: &Member) -> MemberHash {
    ShortHash::of(&format!("{}/{}", member.name, member.incarnation.0))
}

/// An instance that may keep origins.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaCandidate<'a> {
    pub(super) member: &'a Member,
    pub(super) weight: u64,
}

/// Sorts members by their order for a key.
pub(super) fn ranked<'a>(
    members: impl Iterator<Item = &'a Member>,
    key: StreamKey,
) -> Vec<ReplicaCandidate<'a>> {
    let candidates = members.map(|member| ReplicaCandidate {
        member,
        weight: weight(key.number(), member.name.as_str()),
    });
    let mut candidates = candidates.collect::<Vec<_>>();
    candidates.sort_unstable_by_key(|candidate| Reverse(candidate.weight));
    candidates
}

/// Chooses replicas from `ranked`: the first ones, in different failure domains as far as there are enough. If there are
/// `recorders`, one replica is among them.
pub(super) fn choose<'a>(
    ranked: &[ReplicaCandidate<'a>],
    recorders: &BTreeSet<MemberHash>,
) -> Vec<ReplicaCandidate<'a>> {
    let mut chosen = first_in_different_domains(ranked);
    let records =
        |candidate: &&ReplicaCandidate<'_>| recorders.contains(&incarnation_hash(candidate.member));
    if recorders.is_empty() || chosen.iter().any(|candidate| records(&candidate)) {
        return chosen;
    }
    if let Some(recorder) = ranked.iter().find(records) {
        chosen.pop();
        chosen.push(*recorder);
    }
    chosen
}

fn first_in_different_domains<'a>(ranked: &[ReplicaCandidate<'a>]) -> Vec<ReplicaCandidate<'a>> {
    let mut chosen = Vec::<ReplicaCandidate<'_>>::new();
    for candidate in ranked {
        let domain = &candidate.member.failure_domain;
        let is_new_domain = chosen
            .iter()
            .all(|other| other.member.failure_domain != *domain);
        if is_new_domain && chosen.len() < REPLICAS {
            chosen.push(*candidate);
        }
    }
    for candidate in ranked {
        let is_chosen = chosen
            .iter()
            .any(|other| other.member.name == candidate.member.name);
        if !is_chosen && chosen.len() < REPLICAS {
            chosen.push(*candidate);
        }
    }
    chosen
}

impl Tables {
    fn recorder_hashes(&self, now: Time) -> BTreeSet<MemberHash> {
        let recorders = self.recorders(now).into_iter();
        recorders.map(incarnation_hash).collect()
    }

    /// Instances that may keep origins: the live ones that accept callers.
    fn replica_members(&self, now: Time) -> impl Iterator<Item = &Member> {
        let ready = self.peers.live(now).filter(|peer| peer.ready);
        let peers = ready.map(|peer| &peer.member);
        let local = self.ready().then_some(&self.local);
        peers.chain(local)
    }

    /// Records where a stream began that this instance serves, for `lifetime` from now on. Returns the record and
    /// the replicas to which it is sent.
    pub fn record_origin(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        lifetime: Duration,
        now: Time,
    ) -> (OriginRecord, Vec<SocketAddr>) {
        let record = OriginRecord::new(key, origin, Duration::ZERO, lifetime.min(MAX_LIFETIME));
        let local = &self.local.name;
        let others = self.replica_members(now);
        let others = others.filter(|member| member.name != *local);
        let recorders = &self.origins.recorders;
        let chosen = choose(&ranked(others, key), recorders);
        let to = chosen.iter().map(|replica| replica.member.gossip).collect();
        let entry = Entry::new(record.clone(), &chosen, recorders, now);
        self.origins.insert(key, entry);
        (record, to)
    }

    /// Adds an origin from another instance. A copy does not replace what is known.
    fn add_origin(&mut self, record: OriginRecord, is_copy: bool, now: Time) {
        let is_known = self.origins.get(record.key, now).is_some();
        if (is_copy && is_known) || record.age() >= record.lifetime() {
            return;
        }
        let key = record.key;
        let recorders = &self.origins.recorders;
        let chosen = choose(&ranked(self.replica_members(now), key), recorders);
        let entry = Entry::new(record, &chosen, recorders, now);
        self.origins.insert(key, entry);
    }

    /// Handles a message about origins. Returns the reply to its sender.
    pub fn receive_origins(
        &mut self,
        message: OriginMessage,
        from: SocketAddr,
        now: Time,
    ) -> Option<OriginMessage> {
        match message {
            OriginMessage::Store(record) => self.add_origin(record, false, now),
            OriginMessage::Copy(records) => {
                for record in records {
                    self.add_origin(record, true, now);
                }
            }
            OriginMessage::Query(query) => {
                let reply = self.origin_reply(&query, now);
                return reply.map(OriginMessage::Reply);
            }
            OriginMessage::Reply(reply) => self.receive_origin_reply(reply, from, now),
        }
        None
    }

    /// Returns what this instance knows of a stream; `None` if it is about to read it from the store: it is asked again.
    fn origin_reply(&mut self, query: &OriginQuery, now: Time) -> Option<OriginReply> {
        let key = query.key;
        let entry = self.origins.entries.get(&key);
        let entry = entry.filter(|entry| now < entry.expires);
        let record = entry.map(|entry| entry.record(key, now));
        let record = record.or_else(|| self.origins.recalled.record(key, now));
        if record.is_none() && !self.has_read_origins(now) && self.reads_origins(now) {
            return None;
        }
        let versions = self.known_versions(query.service, query.waited(), now);
        let is_unconfirmed = record.is_none() && versions == KnownVersions::Unconfirmed;
        if is_unconfirmed && self.is_confirmer(query.waited(), now) {
            self.want_confirmation(query.waited(), now);
        }
        Some(OriginReply {
            key,
            record,
            versions,
        })
    }

    /// Returns what this instance knows of the software versions of a service, for a request that has waited for
    /// `waited`.
    #[must_use]
    pub fn known_versions(&self, service: ShortHash, waited: Duration, now: Time) -> KnownVersions {
        if self.registry.has_several_versions(service, now) {
            KnownVersions::Several
        } else if !self.knows_versions(now) {
            KnownVersions::Unknown
        } else if self.origins.confirmation.is_within(waited, now) {
            KnownVersions::One
        } else {
            KnownVersions::Unconfirmed
        }
    }

    /// Returns what this instance knows of the software versions of the service of a lookup.
    pub(super) fn known_to_lookup(&self, lookup: &OriginLookup, now: Time) -> KnownVersions {
        self.known_versions(lookup.service(), lookup.waited(now), now)
    }

    fn receive_origin_reply(&mut self, reply: OriginReply, from: SocketAddr, now: Time) {
        let Some(replies) = self.origins.replies.get_mut(&reply.key) else {
            return;
        };
        replies.from.insert(from);
        replies.versions = replies.versions.or(reply.versions);
        if let Some(record) = reply.record
            && record.key == reply.key
        {
            self.add_origin(record, true, now);
        }
    }

    /// Returns the origins for instances that have become replicas since the last call, because others joined,
    /// left, restarted or began to stop.
    pub fn replicate_origins(&mut self, now: Time) -> Vec<OutgoingOrigins> {
        let members = self.replica_members(now);
        let members = members.map(|member| (incarnation_hash(member), member.clone()));
        let members = members.collect::<BTreeMap<_, _>>();
        let recorders = self.recorder_hashes(now);
        let known = &self.origins.members;
        let joined = members.iter().filter(|(hash, _)| !known.contains(*hash));
        let joined = joined.map(|(_, member)| member).collect::<Vec<_>>();
        let is_unchanged = joined.is_empty() && known.len() == members.len();
        if is_unchanged && recorders == self.origins.recorders {
            return Vec::new();
        }
        let mut outgoing = BTreeMap::<SocketAddr, Vec<OriginRecord>>::new();
        for (key, entry) in &mut self.origins.entries {
            let has_lost_one = entry
                .replicas
                .iter()
                .any(|hash| !members.contains_key(hash));
            let outranks =
                |member: &&Member| weight(key.number(), member.name.as_str()) >= entry.min_weight;
            let lacks_one = entry.replicas.len() < REPLICAS;
            let is_recorded = entry.recorder.is_some_and(|hash| recorders.contains(&hash));
            let lacks_recorder = !recorders.is_empty() && !is_recorded;
            let is_incomplete = has_lost_one || lacks_one || lacks_recorder;
            if !is_incomplete && !joined.iter().any(outranks) {
                continue;
            }
            let chosen = choose(&ranked(members.values(), *key), &recorders);
            for replica in &chosen {
                let is_new = !entry.replicas.contains(&incarnation_hash(replica.member));
                if is_new && replica.member.name != self.local.name {
                    let records = outgoing.entry(replica.member.gossip).or_default();
                    records.push(entry.record(*key, now));
                }
            }
            entry.set_replicas(&chosen, &recorders);
        }
        self.origins.recorders = recorders;
        self.origins.members = members.into_keys().collect();
        let outgoing = outgoing.into_iter();
        outgoing
            .map(|(to, records)| OutgoingOrigins { to, records })
            .collect()
    }
}

impl Entry {
    fn new(
        record: OriginRecord,
        replicas: &[ReplicaCandidate<'_>],
        recorders: &BTreeSet<MemberHash>,
        now: Time,
    ) -> Self {
        let recorded = now - record.age();
        let mut entry = Self {
            expires: recorded + record.lifetime(),
            recorded,
            origin: record.origin,
            replicas: Vec::new(),
            recorder: None,
            min_weight: 0,
        };
        entry.set_replicas(replicas, recorders);
        entry
    }

    fn set_replicas(
        &mut self,
        replicas: &[ReplicaCandidate<'_>],
        recorders: &BTreeSet<MemberHash>,
    ) {
        let hashes = replicas
            .iter()
            .map(|replica| incarnation_hash(replica.member));
        self.replicas = hashes.collect();
        self.recorder = self
            .replicas
            .iter()
            .find(|hash| recorders.contains(hash))
            .copied();
        // The last one may be there because it writes to the store.
        let by_weight = &replicas[..replicas.len().min(REPLICAS - 1)];
        let weights = by_weight.iter().map(|replica| replica.weight);
        self.min_weight = weights.min().unwrap_or(0);
    }

    fn record(&self, key: StreamKey, now: Time) -> OriginRecord {
        let age = now.since(self.recorded);
        let lifetime = self.expires.since(self.recorded);
        OriginRecord::new(key, self.origin.clone(), age, lifetime)
    }
}
