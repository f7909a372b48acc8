//! Choice of the instances that write origins to the store, and of those that read them from it.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use bluebellstage_core::Time;

use super::StreamKey;
use super::replicas::{choose, ranked};
use crate::decide::exchange::MAX_DIRECT_FLEET;
use crate::decide::peers::{DOWN_THRESHOLD, GONE_THRESHOLD, Member, Peer};
use crate::decide::rendezvous::name_hash;
use crate::decide::tables::Tables;

/// Number of instances that write origins. Each write is a call that is paid for.
const RECORDER_COUNT: RangeInclusive<usize> = 4..=16;
/// Instances of a fleet for each that writes origins.
const INSTANCES_PER_RECORDER: usize = 8;
/// Key for the precedence of instances.
const RECORDER_KEY: &str = "stream-recorder";

/// Returns those of `members` that come first.
fn first_by_precedence<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    let key = name_hash(RECORDER_KEY);
    let mut members = members.collect::<Vec<_>>();
    let count = members.len() / INSTANCES_PER_RECORDER;
    members.sort_by_cached_key(|member| Reverse(member.precedence(key)));
    members.truncate(count.clamp(*RECORDER_COUNT.start(), *RECORDER_COUNT.end()));
    members
}

impl Tables {
    /// Instances that write origins to the store, which reaches them. One replica of each stream is among them.
    pub(super) fn recorders(&self, now: Time) -> Vec<&Member> {
        let able = |peer: &&Peer| peer.ready && peer.store_reachable;
        let peers = self.peers.live(now).filter(able).map(|peer| &peer.member);
        let is_able = self.ready() && self.registry.is_store_reachable(now);
        first_by_precedence(peers.chain(is_able.then_some(&self.local)))
    }

    /// Whether this instance writes the origins that it keeps. If no instance accepts callers any more, as all stop at the
    /// same moment, the first of those that still run do.
    pub(super) fn is_recorder(&self, now: Time) -> bool {
        let mut recorders = self.recorders(now);
        if recorders.is_empty() {
            let peers = self.peers.live(now).map(|peer| &peer.member);
            recorders = first_by_precedence(peers.chain([&self.local]));
        }
        self.is_among(&recorders)
    }

    /// Instances that read the stored origins when they start.
    fn origin_readers(&self, now: Time) -> Vec<&Member> {
        let is_new = self.is_new(now);
        let may_run = |peer: &&Peer| {
            peer.seen_within(GONE_THRESHOLD, now) || (is_new && peer.last_seen.is_none())
        };
        let peers = self.peers.all().filter(may_run).map(|peer| &peer.member);
        let members = peers.chain([&self.local]).collect::<Vec<_>>();
        if members.len() <= MAX_DIRECT_FLEET {
            return members;
        }
        first_by_precedence(members.into_iter())
    }

    /// Whether this instance reads the stored origins. Others ask it.
    pub(super) fn reads_origins(&self, now: Time) -> bool {
        self.is_among(&self.origin_readers(now))
    }

    /// Addresses of instances that have read the stored origins, to ask for a stream.
    pub(super) fn readers_to_ask(&self, key: StreamKey, now: Time) -> Vec<SocketAddr> {
        let readers = self.origin_readers(now).into_iter();
        let others = readers.filter(|member| self.may_reply(member, now));
        let order = ranked(others, key);
        let chosen = choose(&order, &BTreeSet::new());
        let addresses = chosen.iter().map(|candidate| candidate.member.gossip);
        addresses.collect()
    }

    fn may_reply(&self, member: &Member, now: Time) -> bool {
        let peer = self.peers.get(&member.name);
        peer.is_some_and(|peer| peer.last_seen.is_none() || peer.seen_within(DOWN_THRESHOLD, now))
    }

    fn is_among(&self, members: &[&Member]) -> bool {
        let local = &self.local.name;
        members.iter().any(|member| member.name == *local)
    }
}
