//! Finds where a stream began, for a request that continues it.

use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::Time;

use super::confirmation::FOLLOWERS_CONFIRM_FOR;
use super::replicas::{choose, ranked};
use super::{KnownVersions, OriginQuery, StreamKey, StreamOrigin};
use crate::decide::peers::{DOWN_THRESHOLD, Member, Peer};
use crate::decide::rendezvous::ShortHash;
use crate::decide::tables::Tables;

/// Time after which further instances are asked, and those asked before once more: a datagram may be lost.
const WAVE_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which a lookup ends; outlasts a pause of 100 ms by the processor quota.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which a lookup ends that waits for what the store keeps.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of instances that are asked beside the replicas: where the members were others when the stream began,
/// a replica of then is among the next ones now.
const MAX_OTHERS: usize = 13;

/// Where an instance has an origin from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginSource {
    /// It was known before any other instance was asked.
    Local,
    /// It was known after others were asked: from a reply, or read from the store meanwhile.
    Peer,
}

/// Result of a lookup.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LookupOutcome {
    /// The origin is known.
    Found {
        /// The origin.
        origin: StreamOrigin,
        /// Time since it was recorded, or since it was read from the store.
        age: Duration,
        /// Where it is from.
        source: OriginSource,
    },
    /// No instance that replied knows it.
    Unknown {
        /// What is known of the software versions of the service. The stream may be of any of several, or of one that is
        /// not known.
        versions: KnownVersions,
    },
}

/// What a lookup does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LookupStep {
    /// Ask these instances, then wait.
    Ask(Vec<SocketAddr>, Duration),
    /// Wait for replies.
    Wait(Duration),
    /// The lookup has ended.
    End(LookupOutcome),
}

/// What a lookup waits for that has not found the origin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Awaited {
    /// Replies of other instances.
    Peers,
    /// What the store keeps of streams.
    Read,
    /// The store's word that the known version is the only one.
    Confirmation,
}

/// A lookup that is in progress. It must be ended with [`Tables::end_lookup`].
#[derive(Debug)]
pub struct OriginLookup {
    key: StreamKey,
    service: ShortHash,
    started: Time,
    /// When the next instances are asked.
    next_wave: Time,
    waves: u32,
    /// Instances that were asked.
    asked: Vec<SocketAddr>,
}

impl OriginLookup {
    /// Returns what to send to the instances that are asked now.
    #[must_use]
    pub fn query(&self, now: Time) -> OriginQuery {
        OriginQuery {
            key: self.key,
            service: self.service,
            waited_ms: u32::try_from(self.waited(now).as_millis()).unwrap_or(u32::MAX),
        }
    }

    pub(super) fn waited(&self, now: Time) -> Duration {
        now.since(self.started)
    }

    pub(super) const fn service(&self) -> ShortHash {
        self.service
    }

    fn begin_wave(&mut self, peers: Vec<SocketAddr>, now: Time) -> LookupStep {
        self.waves += 1;
        self.next_wave = now + WAVE_INTERVAL;
        if peers.is_empty() {
            return LookupStep::Wait(WAVE_INTERVAL);
        }
        let newly_asked = peers.iter().filter(|peer| !self.asked.contains(peer));
        let newly_asked = newly_asked.copied().collect::<Vec<_>>();
        self.asked.extend(newly_asked);
        LookupStep::Ask(peers, WAVE_INTERVAL)
    }

    /// Number of instances that were asked.
    #[must_use]
    pub fn asked_count(&self) -> usize {
        self.asked.len()
    }
}

impl Tables {
    /// Begins to look up the origin of a stream that a target of `service` would continue.
    pub fn begin_lookup(&mut self, key: StreamKey, service: ShortHash, now: Time) -> OriginLookup {
        let replies = self.origins.replies.entry(key).or_default();
        replies.waiting += 1;
        // What was confirmed for another request may be older than this one.
        if replies.versions == KnownVersions::One {
            replies.versions = KnownVersions::Unconfirmed;
        }
        OriginLookup {
            key,
            service,
            started: now,
            next_wave: now,
            waves: 0,
            asked: Vec::new(),
        }
    }

    /// Ends a lookup.
    pub fn end_lookup(&mut self, lookup: &OriginLookup) {
        if let Some(replies) = self.origins.replies.get_mut(&lookup.key) {
            replies.waiting -= 1;
            if replies.waiting == 0 {
                self.origins.replies.remove(&lookup.key);
            }
        }
    }

    /// Returns what a lookup does next. Called again after the returned time, or when a reply has arrived.
    pub fn next_lookup_step(&mut self, lookup: &mut OriginLookup, now: Time) -> LookupStep {
        if let Some(found) = self.found(lookup, now) {
            return LookupStep::End(found);
        }
        let versions = self.versions_of(lookup, now);
        let awaited = self.awaited(lookup, versions, now);
        if awaited == Awaited::Confirmation && self.confirms_itself(lookup, now) {
            self.want_confirmation(lookup.waited(now), now);
        }
        if now < lookup.next_wave && !self.have_all_replied(lookup) {
            return LookupStep::Wait(lookup.next_wave.since(now));
        }
        let next = self.next_wave(lookup, now);
        let next = next
            .into_iter()
            .filter(|peer| !self.has_replied(lookup, peer));
        let next = next.collect::<Vec<_>>();
        let has_ended = lookup.waited(now) >= self.timeout(lookup, awaited);
        if has_ended || (next.is_empty() && awaited == Awaited::Peers) {
            return LookupStep::End(LookupOutcome::Unknown { versions });
        }
        if next.is_empty() && now < lookup.next_wave {
            return LookupStep::Wait(lookup.next_wave.since(now));
        }
        let next = match awaited {
            Awaited::Confirmation if lookup.waves > 0 => self.with_confirmers(next, lookup, now),
            _ => next,
        };
        lookup.begin_wave(next, now)
    }

    fn found(&self, lookup: &OriginLookup, now: Time) -> Option<LookupOutcome> {
        let (origin, age) = self.origins.get(lookup.key, now)?;
        let source = if lookup.asked.is_empty() {
            OriginSource::Local
        } else {
            OriginSource::Peer
        };
        Some(LookupOutcome::Found {
            origin: origin.clone(),
            age,
            source,
        })
    }

    /// Returns what is known of the software versions of the service, by this instance and those that have replied.
    fn versions_of(&self, lookup: &OriginLookup, now: Time) -> KnownVersions {
        let replies = self.origins.replies.get(&lookup.key);
        let told = replies.map_or(KnownVersions::Unknown, |replies| replies.versions);
        told.or(self.known_to_lookup(lookup, now))
    }

    fn has_replied(&self, lookup: &OriginLookup, peer: &SocketAddr) -> bool {
        let replies = self.origins.replies.get(&lookup.key);
        replies.is_some_and(|replies| replies.from.contains(peer))
    }

    fn have_all_replied(&self, lookup: &OriginLookup) -> bool {
        let mut asked = lookup.asked.iter();
        asked.all(|peer| self.has_replied(lookup, peer))
    }

    fn awaited(&self, lookup: &OriginLookup, versions: KnownVersions, now: Time) -> Awaited {
        let has_replied = |peer: &SocketAddr| self.has_replied(lookup, peer);
        match versions {
            KnownVersions::Unknown => Awaited::Read,
            KnownVersions::Unconfirmed => Awaited::Confirmation,
            KnownVersions::Several if self.awaits_origins(lookup.key, &has_replied, now) => {
                Awaited::Read
            }
            KnownVersions::One | KnownVersions::Several => Awaited::Peers,
        }
    }

    /// Returns the time after which a lookup ends. An instance that nobody answers is likely to be cut off, from the
    /// store too.
    fn timeout(&self, lookup: &OriginLookup, awaited: Awaited) -> Duration {
        let mut asked = lookup.asked.iter();
        let is_alone = self.peers.all().next().is_none();
        let is_answered = is_alone || asked.any(|peer| self.has_replied(lookup, peer));
        let may_be_confirmed = is_answered && !self.origins.confirmation.has_failed();
        match awaited {
            Awaited::Read => READ_TIMEOUT,
            Awaited::Confirmation if may_be_confirmed => READ_TIMEOUT,
            Awaited::Confirmation | Awaited::Peers => LOOKUP_TIMEOUT,
        }
    }

    /// Whether this instance asks the store itself: as a follower, or because none has done so for it.
    fn confirms_itself(&self, lookup: &OriginLookup, now: Time) -> bool {
        lookup.waves > 0 && self.is_confirmer(lookup.waited(now), now)
    }

    /// Adds the instances that are asked for a confirmation, also again.
    fn with_confirmers(
        &self,
        mut peers: Vec<SocketAddr>,
        lookup: &OriginLookup,
        now: Time,
    ) -> Vec<SocketAddr> {
        let mut confirmers = self.confirmers(now);
        if lookup.waited(now) >= FOLLOWERS_CONFIRM_FOR {
            confirmers.extend(&lookup.asked);
        }
        for confirmer in confirmers {
            if !peers.contains(&confirmer) {
                peers.push(confirmer);
            }
        }
        peers
    }

    /// Whether the stored origins have yet to be read: by this instance, or by those that it asks.
    fn awaits_origins(
        &self,
        key: StreamKey,
        has_replied: &impl Fn(&SocketAddr) -> bool,
        now: Time,
    ) -> bool {
        if self.has_read_origins(now) {
            return false;
        }
        self.reads_origins(now) || !self.readers_to_ask(key, now).iter().all(has_replied)
    }

    /// Returns the instances of the next wave: first the replicas of the stream as of now, and if this instance has not
    /// read the stored origins, some that read them; then the next ones too.
    fn next_wave(&self, lookup: &OriginLookup, now: Time) -> Vec<SocketAddr> {
        let order = ranked(self.lookup_members(now), lookup.key);
        let replicas = choose(&order, &self.origins.recorders);
        let others = order.iter().filter(|candidate| {
            let name = &candidate.member.name;
            replicas.iter().all(|replica| replica.member.name != *name)
        });
        let others_asked = if lookup.waves == 0 { 0 } else { MAX_OTHERS };
        let others = others.take(others_asked);
        let wave = replicas.iter().chain(others);
        let mut wave = wave
            .map(|candidate| candidate.member.gossip)
            .collect::<Vec<_>>();
        if !self.has_read_origins(now) {
            let readers = self.readers_to_ask(lookup.key, now);
            let others = readers.into_iter().filter(|reader| !wave.contains(reader));
            let others = others.collect::<Vec<_>>();
            wave.extend(others);
        }
        wave
    }

    /// Instances that may know origins: the live ones, and those that this one has not heard yet because it has just
    /// started.
    fn lookup_members(&self, now: Time) -> impl Iterator<Item = &Member> {
        let is_new = self.is_new(now);
        let may_know = move |peer: &&Peer| {
            peer.seen_within(DOWN_THRESHOLD, now) || (is_new && peer.last_seen.is_none())
        };
        self.peers.all().filter(may_know).map(|peer| &peer.member)
    }
}
