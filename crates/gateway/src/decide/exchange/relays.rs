//! Elects the relays of a failure domain and determines their recipients.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{FailureDomain, Time};

use super::address;
use crate::decide::peers::{DOWN_THRESHOLD, Peer};
use crate::decide::rendezvous::name_hash;
use crate::decide::status::Role;
use crate::decide::tables::Tables;

/// Relays in a failure domain; with two, updates continue if one fails.
const RELAYS_PER_DOMAIN: usize = 2;
/// Instances claim a vacant relay slot in the order of their precedence, with this delay between
/// one and the next.
const CLAIM_STAGGER: Duration = Duration::from_millis(100);
/// Key for the precedence of instances in the relay election.
const RELAY_KEY: &str = "relay";

impl Tables {
    /// Returns whether this instance takes or keeps one of the relay slots of its failure domain.
    ///
    /// It gives its slot up only to instances that already relay.
    pub(super) fn claim_relay_slot(&mut self, now: Time) -> bool {
        let key = name_hash(RELAY_KEY);
        let local_precedence = self.local.precedence(key);
        let preferred = self.live_in_domain(now);
        let preferred = preferred.filter(|peer| peer.member.precedence(key) > local_precedence);
        let roles = preferred.map(|peer| peer.role).collect::<Vec<_>>();
        let is_relay = |role: &&Role| **role == Role::Relay;
        let has_slot = |role: &&Role| role.receives_all();
        if self.exchange.slot_since.is_some() {
            return roles.iter().filter(is_relay).count() < RELAYS_PER_DOMAIN;
        }
        if roles.iter().filter(has_slot).count() >= RELAYS_PER_DOMAIN {
            self.exchange.vacant_since = None;
            return false;
        }
        let since = *self.exchange.vacant_since.get_or_insert(now);
        let rank = u32::try_from(roles.len()).unwrap_or(u32::MAX);
        now.since(since) >= CLAIM_STAGGER.saturating_mul(rank)
    }

    /// Live peers in the local failure domain.
    pub(super) fn live_in_domain(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let local_domain = &self.local.failure_domain;
        let live = self.peers.live(now);
        live.filter(move |peer| peer.member.failure_domain == *local_domain)
    }

    pub(super) fn relay_addresses(
        &self,
        domain: &FailureDomain,
        now: Time,
    ) -> impl Iterator<Item = SocketAddr> {
        let live = self.peers.live(now).filter(|peer| peer.role.receives_all());
        let relays = live.filter(move |peer| peer.member.failure_domain == *domain);
        relays.map(address)
    }

    /// Addresses of the relays of the other failure domains, and of all instances of those without
    /// a relay.
    pub(super) fn remote_recipients(&self, now: Time) -> Vec<SocketAddr> {
        let mut domains = BTreeMap::<&FailureDomain, (Vec<SocketAddr>, Vec<SocketAddr>)>::new();
        let remote = self.reachable(now);
        let remote = remote.filter(|peer| peer.member.failure_domain != self.local.failure_domain);
        for peer in remote {
            let (relays, all) = domains.entry(&peer.member.failure_domain).or_default();
            all.push(address(peer));
            if peer.role.receives_all() && peer.seen_within(DOWN_THRESHOLD, now) {
                relays.push(address(peer));
            }
        }
        let to = domains
            .into_values()
            .flat_map(|(relays, all)| if relays.is_empty() { all } else { relays });
        to.collect()
    }
}
