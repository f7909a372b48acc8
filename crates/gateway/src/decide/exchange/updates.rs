//! Builds the updates that a relay sends to its subscribers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bluebellstage_core::Time;

use super::message::{Message, OutgoingMessage};
use super::{SPENDING_TTL, address, millis};
use crate::decide::peers::{DOWN_THRESHOLD, Load, Peer, StoreVersions};
use crate::decide::relay_update::{Liveness, Loads, RelayUpdate, Roster, RosterEntry};
use crate::decide::rendezvous::ShortHash;
use crate::decide::status::Status;
use crate::decide::tables::Tables;

/// Time for which a subscriber gets updates after its last request.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(1);

impl Tables {
    /// Updates for all subscribers.
    pub(super) fn updates(&mut self, status: &Status, now: Time) -> Vec<OutgoingMessage> {
        let subscribers = &mut self.exchange.subscribers;
        subscribers.retain(|_, subscriber| now.since(subscriber.requested_at) < SUBSCRIPTION_TTL);
        let subscribers = subscribers.clone();
        let full = self.exchange.is_full_round();
        let is_liveness_due = full || subscribers.values().any(|subscriber| subscriber.wants_all);
        let liveness = is_liveness_due.then(|| self.publish_liveness(now));
        let other_statuses = if full {
            self.statuses_to_forward(now)
        } else {
            Vec::new()
        };
        let sums = self.sums();
        let local_waiting = self.wait_queue.local_counts(now);
        let digest = self.registry.digest();
        let mut outgoing = Vec::new();
        for (name, subscriber) in subscribers {
            let Some(peer) = self.peers.get(&name) else {
                continue;
            };
            let loads = subtract_peer(&sums, peer);
            let loads = if peer.targets_digest == digest {
                Loads::in_order(&loads, digest)
            } else {
                Loads::by_name(&loads)
            };
            let mut waiting = self.peers.waiting_except(Some(&name), now);
            waiting.add_all(&local_waiting);
            let span = if subscriber.wants_all {
                Duration::MAX
            } else {
                SPENDING_TTL
            };
            let update = RelayUpdate {
                relay: status.without_sums(),
                other_statuses: other_statuses.clone(),
                lag_ms: millis(self.exchange.lag),
                loads,
                pace: self.pace.sums_for(ShortHash::of(name.as_str()), now),
                waiting,
                spent: self.quotas.spent_by_others(&name, span, now).collect(),
                remaining: if subscriber.wants_all {
                    self.quotas.remaining().collect()
                } else {
                    Vec::new()
                },
                liveness: liveness.clone().filter(|_| full || subscriber.wants_all),
            };
            outgoing.push(OutgoingMessage {
                to: vec![address(peer)],
                message: Message::Update(Box::new(update)),
            });
        }
        outgoing
    }

    /// Load of all instances, including this one, at each target, in the order of the target list.
    pub(super) fn sums(&self) -> Vec<(ShortHash, Load)> {
        let local_loads = self.local_loads();
        let local_loads = local_loads.map(|(target, load)| (ShortHash::of(target.as_str()), load));
        let local_loads = local_loads.collect::<BTreeMap<_, _>>();
        let targets = self.registry.target_hashes();
        let sums = targets.map(|target| {
            let mut sum = self.peers.load(target);
            sum.add(local_loads.get(&target).copied().unwrap_or_default());
            (target, sum)
        });
        sums.collect()
    }

    /// Statuses of the peers that hold leases and of the other relays of the local failure domain.
    pub(super) fn statuses_to_forward(&self, now: Time) -> Vec<Status> {
        let local_domain = &self.local.failure_domain;
        let live = self.peers.live(now).filter(|peer| {
            let is_relay = peer.role.receives_all() && peer.member.failure_domain == *local_domain;
            is_relay || !peer.claims.is_empty() || !peer.shards.is_empty()
        });
        live.map(|peer| peer.status(now).without_sums()).collect()
    }

    pub(super) fn roster(&self) -> Roster {
        let peers = self.peers.all().map(|peer| &peer.member);
        let all = peers.chain([&self.local]);
        Roster {
            entries: all.map(RosterEntry::of).collect(),
        }
    }

    /// Updates the published roster, and returns the liveness of its instances.
    fn publish_liveness(&mut self, now: Time) -> Liveness {
        let current = self.roster();
        self.exchange.published.update(current, now);
        let published = &self.exchange.published;
        let roster = published.roster();
        let changes = published.changes();
        let entries = roster.entries.iter().chain(changes);
        let reports = entries.map(|entry| self.report_on(*entry, now));
        let reports = reports.collect::<Vec<_>>();
        let column = |bit: fn(&EntryReport) -> bool| reports.iter().map(bit).collect();
        let services = reports.iter().flat_map(|report| &report.lost_services);
        let services = services.copied().collect::<BTreeSet<_>>();
        let lost = services.into_iter().map(|service| {
            let bits = reports.iter();
            let bits = bits.map(|report| report.lost_services.contains(&service));
            (service, bits.collect())
        });
        Liveness {
            roster: roster.digest(),
            changes: changes.to_vec(),
            live: column(|report| report.live),
            ready: column(|report| report.ready),
            store_reachable: column(|report| report.store_reachable),
            same: column(|report| report.same),
            lost: lost.collect(),
        }
    }

    /// Reports on the instance of an entry; one that is not known in that incarnation is not live.
    fn report_on(&self, entry: RosterEntry, now: Time) -> EntryReport {
        let local = RosterEntry::of(&self.local);
        if entry == local {
            return EntryReport {
                live: true,
                ready: self.ready(),
                store_reachable: self.registry.is_store_reachable(now),
                same: true,
                lost_services: self.lost_services(),
            };
        }
        let peer = self.peers.by_hash(entry.name);
        let peer = peer.filter(|peer| entry.is_incarnation(peer.member.incarnation.0));
        let Some(peer) = peer else {
            return EntryReport::default();
        };
        let versions = self.store_versions();
        EntryReport {
            live: peer.seen_within(DOWN_THRESHOLD, now),
            ready: peer.ready,
            store_reachable: peer.store_reachable,
            same: peer.config == versions.config
                && peer.targets_digest == versions.targets_digest
                && peer.versions == versions.versions
                && peer.evacuations == versions.evacuations
                && peer.quarantine_digest == versions.quarantine_digest,
            lost_services: peer.lost_services.clone(),
        }
    }

    pub(super) fn store_versions(&self) -> StoreVersions {
        StoreVersions {
            config: self.routes.version(),
            targets: self.registry.revision(),
            targets_digest: self.registry.digest(),
            versions: self.versions.total(),
            evacuations: self.evacuations.version(),
            quarantine_digest: self.quarantine.digest(),
        }
    }
}

/// What a relay reports on the instance of a roster's entry.
#[derive(Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a column of bits in the report"
)]
struct EntryReport {
    live: bool,
    ready: bool,
    store_reachable: bool,
    /// Whether it has the same store state as the relay.
    same: bool,
    lost_services: Vec<ShortHash>,
}

/// Subtracts the load of a peer from the sums.
fn subtract_peer(sums: &[(ShortHash, Load)], peer: &Peer) -> Vec<(ShortHash, Load)> {
    let sums = sums.iter().map(|(target, sum)| {
        let mut sum = *sum;
        sum.subtract(peer.in_flight.get(target).copied().unwrap_or_default());
        (*target, sum)
    });
    sums.collect()
}
