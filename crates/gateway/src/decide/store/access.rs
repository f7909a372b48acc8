//! Selects the instances that read from the store, and those from which the others copy.
//!
//! Each call to the store is paid for, and a fleet of hundreds that starts at once would make
//! thousands. So a few instances read from the store, and the others copy from them.

use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::Time;

use crate::decide::lease::SHARDS;
use crate::decide::peers::{DOWN_THRESHOLD, Peer};
use crate::decide::rendezvous::name_hash;
use crate::decide::tables::Tables;

/// Instances that follow the store. Each watch is paid for at every heartbeat of a target, and two
/// followers may lose the store at once.
pub(in crate::decide) const FOLLOWER_COUNT: usize = 3;
/// Instances that read from the store first when many start at once; enough to serve copies to
/// hundreds.
const INITIAL_READERS: usize = 8;
/// Time after its start in which an instance assumes that registered peers are live, because it has
/// not received their statuses yet.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(1_200);
/// Time after which one more instance calls a store that responds to none of [`INITIAL_READERS`]. Without it,
/// all instances of a large fleet would call again and again during an outage.
const PROBE_STAGGER: Duration = Duration::from_secs(1);
/// Time after its start for which an instance without a configuration waits for a peer's copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Instances that may take a shard's lease soon. More than one, because those that already hold a
/// lease do not take it.
const LEASE_CANDIDATES: usize = 8;
/// Key for the precedence of instances as followers.
pub(in crate::decide) const FOLLOWER_KEY: &str = "follower";

/// Key for the precedence of instances as holders of a shard's lease.
#[must_use]
pub fn lease_key(shard: u8) -> u64 {
    name_hash(&format!("shard-{shard}"))
}

impl Tables {
    /// Whether this instance follows the store. A few instances do, and the others copy from them.
    /// An instance that sees no follower follows the store itself.
    #[must_use]
    pub fn follows_store(&self, now: Time) -> bool {
        self.is_follower_missing(now) && self.rank_as_reader(now) < self.max_readers(now)
    }

    /// Records since when too few preferred instances follow the store. Called in each round.
    pub fn update_missing_followers(&mut self, now: Time) {
        let is_missing = self.is_follower_missing(now);
        let since = self.follower_missing_since.filter(|_| is_missing);
        self.follower_missing_since = since.or(is_missing.then_some(now));
    }

    /// Whether fewer instances follow the store than should, without this one and those that come after it.
    fn is_follower_missing(&self, now: Time) -> bool {
        let is_new = self.is_new(now);
        let is_waiting = now.since(self.started) < COPY_TIMEOUT;
        let preferred = self.preferred_readers();
        let is_able = |peer: &&Peer| peer.seen_within(DOWN_THRESHOLD, now) && peer.store_reachable;
        let is_undiscovered = |peer: &&Peer| is_new && peer.last_seen.is_none();
        if self.informed() {
            let follows = |peer: &&Peer| (is_able(peer) && peer.ready) || is_undiscovered(peer);
            return preferred.filter(follows).count() < FOLLOWER_COUNT;
        }
        if is_waiting {
            let reads = |peer: &&Peer| is_able(peer) || is_undiscovered(peer);
            return preferred.filter(reads).count() < INITIAL_READERS;
        }
        // No peer gave it a copy. If there is no configuration at all, enough others read from the
        // store.
        let reads = |peer: &&Peer| is_able(peer) && !peer.ready;
        preferred.filter(reads).count() < INITIAL_READERS
    }

    /// Peers that read from the store rather than this instance.
    fn preferred_readers(&self) -> impl Iterator<Item = &Peer> {
        let key = name_hash(FOLLOWER_KEY);
        let local_precedence = self.local.precedence(key);
        let peers = self.peers.all();
        peers.filter(move |peer| peer.member.precedence(key) > local_precedence)
    }

    fn rank_as_reader(&self, now: Time) -> usize {
        let preferred = self.preferred_readers();
        preferred
            .filter(|peer| peer.seen_within(DOWN_THRESHOLD, now))
            .count()
    }

    /// Number of instances that may call the store although it responds to none of them.
    fn max_readers(&self, now: Time) -> usize {
        let missing_since = self.follower_missing_since.unwrap_or(now);
        let steps = now.since(missing_since).as_secs() / PROBE_STAGGER.as_secs();
        INITIAL_READERS + usize::try_from(steps).unwrap_or(usize::MAX - INITIAL_READERS)
    }

    /// Whether this instance started so recently that it may not have seen all peers.
    #[must_use]
    pub fn is_new(&self, now: Time) -> bool {
        now.since(self.started) < DISCOVERY_PERIOD
    }

    /// Fraction of the fleet whose spending is unknown, between 0 and 1. In a large fleet that
    /// starts at once, instances discover each other at about the same time, but do not know yet
    /// what each has admitted meanwhile. So their rates rise with their uptime.
    #[must_use]
    pub fn unknown_spending_fraction(&self, now: Time) -> f64 {
        let is_new = self.is_new(now);
        let down = self.peers.down_fraction(is_new, now);
        if !is_new || !self.is_relayed(now) || self.peers.view().is_some() {
            return down;
        }
        let age = now.since(self.started).as_secs_f64();
        down.max(1.0 - age / DISCOVERY_PERIOD.as_secs_f64())
    }

    /// Whether this instance may take a lease soon, or may have held one before a restart.
    #[must_use]
    pub fn may_hold_leases(&self) -> bool {
        (0..SHARDS).any(|shard| {
            let key = lease_key(shard);
            let local_precedence = self.local.precedence(key);
            let preferred = self.peers.all();
            let preferred = preferred.filter(|peer| peer.member.precedence(key) > local_precedence);
            preferred.count() < LEASE_CANDIDATES
        })
    }

    /// Addresses from which an instance without a configuration requests a copy: the instances that
    /// read from the store first, and live ones that have a configuration.
    #[must_use]
    pub fn copy_sources(&self, now: Time) -> Vec<SocketAddr> {
        let key = name_hash(FOLLOWER_KEY);
        let is_usable =
            |peer: &&Peer| peer.last_seen.is_none() || peer.seen_within(DOWN_THRESHOLD, now);
        let mut peers = self.peers.all().filter(is_usable).collect::<Vec<_>>();
        peers.sort_by_key(|peer| std::cmp::Reverse(peer.member.precedence(key)));
        let first = peers.iter().take(INITIAL_READERS);
        let ready = peers.iter().skip(INITIAL_READERS).filter(|peer| peer.ready);
        let copy_sources = first.chain(ready);
        copy_sources.map(|peer| peer.member.control).collect()
    }
}
