//! Who asks the store, and whom the others ask.
//!
//! Each call to the store is paid for, and a fleet of hundreds that starts at once would ask thousands of
//! times. So a few ask; the others copy from them.

use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::Time;

use super::lease::SHARDS;
use super::peers::{DOWN_THRESHOLD, Peer};
use super::rendezvous::name_hash;
use super::tables::Tables;

/// Instances that follow the store: each watch is paid for at every heartbeat of a target, and two
/// may be cut off from the store at once.
const FOLLOWER_COUNT: usize = 3;
/// Instances that ask the store first when many start at once: as many as can give copies to hundreds.
const INITIAL_READERS: usize = 8;
/// Time after its start in which an instance takes those that are registered for live: it has not heard
/// from them yet.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(1_200);
/// Time after its start for which an instance without a configuration waits for a peer's copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Instances that may come to hold a shard's lease soon: those that hold one already don't take it.
const LEASE_CANDIDATES: usize = 8;
/// What followers are drawn by.
const FOLLOWER_KEY: &str = "follower";

/// What leases of a shard are drawn by.
#[must_use]
pub fn lease_key(shard: u8) -> u64 {
    name_hash(&format!("shard-{shard}"))
}

impl Tables {
    /// Whether this instance follows the store. A few do, the others take what they have from them;
    /// one that hears nobody who follows does it itself.
    #[must_use]
    pub fn follows_store(&self, now: Time) -> bool {
        let new = self.is_new(now);
        let waits = now.since(self.started) < COPY_TIMEOUT;
        let key = name_hash(FOLLOWER_KEY);
        let own = self.local.precedence(key);
        let before = self.peers.all();
        let before = before.filter(|peer| peer.member.precedence(key) > own);
        let able = |peer: &&Peer| peer.seen_within(DOWN_THRESHOLD, now) && peer.store_reachable;
        let undiscovered = |peer: &&Peer| new && peer.last_seen.is_none();
        if self.configured() {
            let follow = |peer: &&Peer| (able(peer) && peer.ready) || undiscovered(peer);
            return before.filter(follow).count() < FOLLOWER_COUNT;
        }
        if waits {
            let ask = |peer: &&Peer| able(peer) || undiscovered(peer);
            return before.filter(ask).count() < INITIAL_READERS;
        }
        // Nobody gave it a copy. If there is no configuration at all, enough others ask for it.
        let ask = |peer: &&Peer| able(peer) && !peer.ready;
        before.filter(ask).count() < INITIAL_READERS
    }

    /// Whether this instance started so lately that it may not have heard all others.
    #[must_use]
    pub fn is_new(&self, now: Time) -> bool {
        now.since(self.started) < DISCOVERY_PERIOD
    }

    /// Part of the fleet whose spending is not known now, between 0 and 1. In a large fleet that starts at
    /// once all hear of each other at about the same time, but not yet of what each lets in meanwhile: their
    /// rates rise with their age.
    #[must_use]
    pub fn unknown_spending_fraction(&self, now: Time) -> f64 {
        let new = self.is_new(now);
        let silent = self.peers.silent_fraction(new, now);
        if !new || !self.is_relayed(now) || self.peers.view().is_some() {
            return silent;
        }
        let age = now.since(self.started).as_secs_f64();
        silent.max(1.0 - age / DISCOVERY_PERIOD.as_secs_f64())
    }

    /// Whether this instance may come to hold a lease soon, or held one before it started anew.
    #[must_use]
    pub fn may_hold_leases(&self) -> bool {
        (0..SHARDS).any(|shard| {
            let key = lease_key(shard);
            let own = self.local.precedence(key);
            let before = self.peers.all();
            let before = before.filter(|peer| peer.member.precedence(key) > own);
            before.count() < LEASE_CANDIDATES
        })
    }

    /// Whom an instance without a configuration asks for a copy: those that ask the store first, and the
    /// live ones that have one.
    #[must_use]
    pub fn copy_sources(&self, now: Time) -> Vec<SocketAddr> {
        let key = name_hash(FOLLOWER_KEY);
        let usable =
            |peer: &&Peer| peer.last_seen.is_none() || peer.seen_within(DOWN_THRESHOLD, now);
        let mut peers = self.peers.all().filter(usable).collect::<Vec<_>>();
        peers.sort_by_key(|peer| std::cmp::Reverse(peer.member.precedence(key)));
        let first = peers.iter().take(INITIAL_READERS);
        let ready = peers.iter().skip(INITIAL_READERS).filter(|peer| peer.ready);
        let copy_sources = first.chain(ready);
        copy_sources.map(|peer| peer.member.control).collect()
    }
}
