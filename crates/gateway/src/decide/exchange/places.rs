//! Who relays news.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{FailureDomain, Time};

use super::address;
use crate::decide::peers::{DOWN_AFTER, Peer};
use crate::decide::rendezvous::name_hash;
use crate::decide::status::Role;
use crate::decide::tables::Tables;

/// Relays in a failure domain: one may die without a gap.
const RELAYS: usize = 2;
/// A vacant place is taken by rank, so much apart.
const STAGGER: Duration = Duration::from_millis(100);
/// What relays are drawn by.
const RELAY_KEY: &str = "relay";

impl Tables {
    /// Whether this instance takes or keeps one of its failure domain's places for relays.
    ///
    /// It gives its place up only to others that tell news already.
    pub(super) fn takes_place(&mut self, now: Time) -> bool {
        let key = name_hash(RELAY_KEY);
        let own = self.me.precedence(key);
        let better = self.near(now);
        let better = better.filter(|peer| peer.member.precedence(key) > own);
        let roles = better.map(|peer| peer.role).collect::<Vec<_>>();
        let relaying = |role: &&Role| **role == Role::Relays;
        let placed = |role: &&Role| role.hears_all();
        if self.exchange.place_since.is_some() {
            return roles.iter().filter(relaying).count() < RELAYS;
        }
        if roles.iter().filter(placed).count() >= RELAYS {
            self.exchange.vacant_since = None;
            return false;
        }
        let since = *self.exchange.vacant_since.get_or_insert(now);
        let rank = u32::try_from(roles.len()).unwrap_or(u32::MAX);
        now.since(since) >= STAGGER.saturating_mul(rank)
    }

    /// Peers of the own failure domain that live.
    pub(super) fn near(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let own = &self.me.failure_domain;
        let live = self.peers.live(now);
        live.filter(move |peer| peer.member.failure_domain == *own)
    }

    pub(super) fn relays_of(
        &self,
        domain: &FailureDomain,
        now: Time,
    ) -> impl Iterator<Item = SocketAddr> {
        let live = self.peers.live(now).filter(|peer| peer.role.hears_all());
        let there = live.filter(move |peer| peer.member.failure_domain == *domain);
        there.map(address)
    }

    /// Relays of the other failure domains; all instances of one that has no relay.
    pub(super) fn away(&self, now: Time) -> Vec<SocketAddr> {
        let mut domains = BTreeMap::<&FailureDomain, (Vec<SocketAddr>, Vec<SocketAddr>)>::new();
        let away = self.reachable(now);
        let away = away.filter(|peer| peer.member.failure_domain != self.me.failure_domain);
        for peer in away {
            let (relays, all) = domains.entry(&peer.member.failure_domain).or_default();
            all.push(address(peer));
            if peer.role.hears_all() && peer.heard_within(DOWN_AFTER, now) {
                relays.push(address(peer));
            }
        }
        let to = domains
            .into_values()
            .flat_map(|(relays, all)| if relays.is_empty() { all } else { relays });
        to.collect()
    }
}
