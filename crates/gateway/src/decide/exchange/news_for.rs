//! News that a relay makes for those that asked it.

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellstage_core::Time;

use super::message::{Message, Telling};
use super::{NEWS_LASTS, address, millis};
use crate::decide::news::{Alive, Loads, News, Roster, RosterEntry};
use crate::decide::peers::{DOWN_AFTER, KnownOfStore, Load, Peer};
use crate::decide::rendezvous::ShortHash;
use crate::decide::status::Status;
use crate::decide::tables::Tables;

/// How long whoever asked for news gets them.
const ASKED_LASTS: Duration = Duration::from_secs(1);

impl Tables {
    /// News for all who asked lately.
    pub(super) fn news(&mut self, status: &Status, now: Time) -> Vec<Telling> {
        let readers = &mut self.exchange.readers;
        readers.retain(|_, reader| now.since(reader.asked) < ASKED_LASTS);
        let readers = readers.clone();
        let full = self.exchange.is_full_round();
        let alive = full.then(|| self.alive(now));
        let others = if full { self.holders(now) } else { Vec::new() };
        let sums = self.sums();
        let digest = self.registry.digest();
        let mut tellings = Vec::new();
        for (name, reader) in readers {
            let Some(peer) = self.peers.get(&name) else {
                continue;
            };
            let loads = without(&sums, peer);
            let loads = if peer.targets_digest == digest {
                Loads::in_order(&loads, digest)
            } else {
                Loads::by_name(&loads)
            };
            let span = if reader.all {
                Duration::MAX
            } else {
                NEWS_LASTS
            };
            let news = News {
                relay: status.without_sums(),
                others: others.clone(),
                lag_ms: millis(self.exchange.lag),
                loads,
                spent: self.quotas.spent_by_others(&name, span, now).collect(),
                left: if reader.all {
                    self.quotas.remaining().collect()
                } else {
                    Vec::new()
                },
                alive: alive.clone(),
            };
            tellings.push(Telling {
                to: vec![address(peer)],
                message: Message::News(Box::new(news)),
            });
        }
        tellings
    }

    /// What all instances, this one included, have at each target, in the list's order.
    pub(super) fn sums(&self) -> Vec<(ShortHash, Load)> {
        let own = self.own_loads();
        let own = own.map(|(target, load)| (ShortHash::of(target.as_str()), load));
        let own = own.collect::<BTreeMap<_, _>>();
        let targets = self.registry.order();
        let sums = targets.map(|target| {
            let mut sum = self.peers.load(target);
            sum.add(own.get(&target).copied().unwrap_or_default());
            (target, sum)
        });
        sums.collect()
    }

    /// Others that hold leases, and the other relays of this failure domain.
    pub(super) fn holders(&self, now: Time) -> Vec<Status> {
        let own = &self.me.failure_domain;
        let live = self.peers.live(now).filter(|peer| {
            let relay = peer.role.hears_all() && peer.member.failure_domain == *own;
            relay || !peer.claims.is_empty() || !peer.shards.is_empty()
        });
        live.map(|peer| peer.status(now).without_sums()).collect()
    }

    pub(super) fn roster(&self) -> Roster {
        let peers = self.peers.all().map(|peer| &peer.member);
        let all = peers.chain([&self.me]);
        let entries = all.map(|member| {
            RosterEntry::new(ShortHash::of(member.name.as_str()), member.incarnation.0)
        });
        Roster {
            entries: entries.collect(),
        }
    }

    pub(super) fn alive(&self, now: Time) -> Alive {
        let peers = self.peers.all();
        let own = self.known_of_store();
        let bits = peers.map(|peer| {
            let live = peer.heard_within(DOWN_AFTER, now);
            let same = peer.config == own.config
                && peer.targets_digest == own.targets_digest
                && peer.versions == own.versions
                && peer.verdicts_digest == own.verdicts_digest;
            [live, peer.ready, peer.store_answers, same]
        });
        let me = [true, self.ready(), self.registry.store_answers(now), true];
        let bits = bits.chain([me]).collect::<Vec<_>>();
        let column = |idx: usize| bits.iter().map(|row| row[idx]).collect();
        Alive {
            roster: self.roster().digest(),
            live: column(0),
            ready: column(1),
            store_answers: column(2),
            same: column(3),
        }
    }

    pub(super) fn known_of_store(&self) -> KnownOfStore {
        KnownOfStore {
            config: self.routes.version(),
            targets: self.registry.revision(),
            targets_digest: self.registry.digest(),
            versions: self.versions.total(),
            verdicts_digest: self.quarantine.digest(),
        }
    }
}

/// The sums without what one peer has.
fn without(sums: &[(ShortHash, Load)], peer: &Peer) -> Vec<(ShortHash, Load)> {
    let sums = sums.iter().map(|(target, sum)| {
        let mut sum = *sum;
        sum.subtract(peer.in_flight.get(target).copied().unwrap_or_default());
        (*target, sum)
    });
    sums.collect()
}
