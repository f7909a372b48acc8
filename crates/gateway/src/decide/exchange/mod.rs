//! Exchanges the state of instances within the fleet.
//!
//! In a small fleet each instance sends its status directly to all others. In a large fleet the
//! cost of this would grow with the square of its size, so two relays in each failure domain
//! forward updates: single statuses to other relays, and sums to the instances that subscribed to
//! them. A status is identified by its sender's incarnation and sequence number, so it may arrive
//! twice or late. A sum is computed for each receiver, without the receiver's own part.

mod limits;
mod message;
mod receive;
mod relays;
mod send;
mod updates;
mod upstream;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{InstanceId, Time};

use self::message::status_message;
pub use self::message::{Message, OutgoingMessage, UpdateRequest};
use self::upstream::Upstream;
use super::peers::{GONE_THRESHOLD, Peer};
use super::relay_update::{Liveness, PublishedRoster, Roster};
use super::rendezvous::ShortHash;
use super::status::{Role, Status};
use super::tables::Tables;

/// Interval between rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of a fleet in which each instance sends its status to all others directly.
pub const MAX_DIRECT_FLEET: usize = 16;
/// Age up to which changes of spending are repeated, to make up for lost datagrams.
const SPENDING_TTL: Duration = Duration::from_millis(1_500);
/// Time for which a new relay only listens, until it has received a status of every instance.
const LISTEN_PERIOD: Duration = Duration::from_millis(300);
/// Gap between two rounds from which the instance may have been suspended, and its state may be
/// stale.
const MAX_ROUND_GAP: Duration = Duration::from_millis(350);
/// Time for which an instance must have run without such a gap before it takes a relay slot.
const RELAY_WARMUP: Duration = Duration::from_millis(300);
/// Rounds from one full round to the next. A full round also carries liveness and the holders of
/// leases, a relay sends its status to its whole failure domain, and an instance without a relay
/// sends its status to all.
const FULL_ROUND_INTERVAL: u32 = 3;

/// State of the exchange with other instances.
#[derive(Debug, Default)]
pub struct Exchange {
    seq: u32,
    rounds: u32,
    /// Whether a status has been sent to all instances at least once.
    has_sent_to_all: bool,
    last_round: Option<Time>,
    continuous_since: Time,
    /// Since when the failure domain has had too few other relays.
    vacant_since: Option<Time>,
    /// Since when this instance has held a relay slot.
    slot_since: Option<Time>,
    role: Role,
    /// Statuses from subscribers, to be forwarded to the other relays.
    pending: BTreeMap<InstanceId, (Status, Time)>,
    subscribers: BTreeMap<InstanceId, Subscriber>,
    upstream: Option<Upstream>,
    /// The upstream relay's roster.
    roster: Roster,
    roster_digest: u64,
    /// The last report on liveness whose roster was requested.
    held_liveness: Option<HeldLiveness>,
    /// Reports on liveness that were held or dropped for want of their roster.
    reports_without_roster: u64,
    /// The roster of this instance's own reports, if it relays.
    published: PublishedRoster,
    /// Mean age of the statuses of all peers.
    lag: Duration,
}

/// A report on liveness that waits for its roster.
#[derive(Clone, Debug)]
struct HeldLiveness {
    liveness: Liveness,
    relay: Status,
    received_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Subscriber {
    requested_at: Time,
    wants_all: bool,
}

impl Exchange {
    /// Current part of this instance in relaying updates.
    #[must_use]
    pub const fn role(&self) -> Role {
        self.role
    }

    /// The upstream relay, from which this instance requests updates.
    #[must_use]
    pub fn upstream(&self) -> Option<&InstanceId> {
        self.upstream.as_ref().map(|upstream| &upstream.relay)
    }

    /// Number of instances that request updates from this one.
    #[must_use]
    pub fn subscriber_count(&self) -> usize {
        self.subscribers.len()
    }

    /// Number of a relay's reports on liveness that came without a roster that this instance has.
    #[must_use]
    pub const fn reports_without_roster(&self) -> u64 {
        self.reports_without_roster
    }

    fn update_role(&mut self, has_slot: bool, now: Time) {
        if !has_slot {
            self.slot_since = None;
            self.role = Role::Subscriber;
            return;
        }
        let since = *self.slot_since.get_or_insert(now);
        self.role = if now.since(since) < LISTEN_PERIOD {
            Role::Candidate
        } else {
            Role::Relay
        };
    }

    const fn is_full_round(&self) -> bool {
        self.rounds.is_multiple_of(FULL_ROUND_INTERVAL)
    }

    /// Starts a round. Returns whether this instance has run long enough without a gap to relay.
    fn start_round(&mut self, now: Time) -> bool {
        let had_gap = self
            .last_round
            .is_none_or(|last| now.since(last) > MAX_ROUND_GAP);
        if had_gap {
            self.continuous_since = now;
            self.pending.clear();
        }
        self.last_round = Some(now);
        self.rounds = self.rounds.wrapping_add(1);
        now.since(self.continuous_since) >= RELAY_WARMUP
    }
}

impl Tables {
    /// Returns the messages to send in this round.
    pub fn exchange_round(&mut self, now: Time) -> Vec<OutgoingMessage> {
        self.update_missing_followers(now);
        let mut outgoing = self.status_messages(now);
        outgoing.extend(self.limit_messages(now));
        outgoing
    }

    /// Returns the status messages of this round, by the role of this instance.
    fn status_messages(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let is_warm = self.exchange.start_round(now);
        let relayed = self.is_relayed(now);
        let has_slot = relayed && is_warm && self.claim_relay_slot(now);
        if has_slot && self.exchange.slot_since.is_none() && self.peers.view().is_some() {
            self.quotas.reset_peer_baselines();
        }
        self.exchange.update_role(has_slot, now);
        if self.exchange.role != Role::Relay {
            self.exchange.pending.clear();
            self.exchange.subscribers.clear();
        }
        let ages = self.peers.live(now).filter_map(|peer| peer.last_seen);
        self.exchange.lag = mean(ages.map(|last_seen| now.since(last_seen)));
        if !relayed {
            self.clear_upstream(now);
            let status = self.next_status(false, now);
            return vec![self.status_to_all(status, now)];
        }
        match self.exchange.role {
            Role::Subscriber => self.messages_to_relays(now),
            Role::Candidate => {
                self.choose_upstream(now);
                self.relay_messages(now)
            }
            Role::Relay => {
                self.clear_upstream(now);
                self.relay_messages(now)
            }
        }
    }

    /// Returns the final status, which tells all peers that this instance has stopped.
    pub fn shutdown_message(&mut self, now: Time) -> OutgoingMessage {
        let status = self.next_status(true, now);
        self.status_to_all(status, now)
    }

    /// Addresses to which an urgent message is sent; relays forward it to their subscribers.
    #[must_use]
    pub fn broadcast_addresses(&self, now: Time) -> Vec<SocketAddr> {
        if !self.is_relayed(now) {
            return self.reachable(now).map(address).collect();
        }
        let local_relays = self.relay_addresses(&self.local.failure_domain, now);
        let mut to = self.remote_recipients(now);
        to.extend(local_relays);
        to.extend(self.subscribers());
        to
    }

    /// Addresses of the instances that request updates from this one.
    #[must_use]
    pub fn subscribers(&self) -> Vec<SocketAddr> {
        let subscribers = self.exchange.subscribers.keys();
        let subscribers = subscribers.filter_map(|name| self.peers.get(name));
        subscribers.map(address).collect()
    }

    /// Mean age of what is known of the requests and spending of other instances.
    #[must_use]
    pub fn update_age(&self, now: Time) -> Duration {
        if let Some(view) = self.peers.view() {
            return view.lag + now.since(view.at).max(ROUND_INTERVAL / 2);
        }
        self.exchange.lag.max(ROUND_INTERVAL / 2)
    }

    /// Whether updates go through relays.
    pub(super) fn is_relayed(&self, now: Time) -> bool {
        let others_relay = self
            .relay_addresses(&self.local.failure_domain, now)
            .next()
            .is_some();
        others_relay || self.reachable(now).count() + 1 > MAX_DIRECT_FLEET
    }

    /// Peers that are live, or may be: those never seen, and those seen within [`GONE_THRESHOLD`].
    fn reachable(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.all();
        peers.filter(move |peer| peer.last_seen.is_none() || peer.seen_within(GONE_THRESHOLD, now))
    }

    fn status_to_all(&self, status: Status, now: Time) -> OutgoingMessage {
        OutgoingMessage {
            to: self.reachable(now).map(address).collect(),
            message: status_message(status, UpdateRequest::None),
        }
    }

    fn next_status(&mut self, ended: bool, now: Time) -> Status {
        self.exchange.seq += 1;
        let spent = self.quotas.take_spend_reports(SPENDING_TTL, now);
        let pace = self.pace.take_reports(now);
        let loads = self.local_loads();
        Status {
            from: ShortHash::of(self.local.name.as_str()),
            incarnation: self.local.incarnation.0,
            seq: self.exchange.seq,
            age_ms: 0,
            uptime_ms: u32::try_from(now.since(self.started).as_millis()).unwrap_or(u32::MAX),
            ready: self.ready() && !ended,
            store_reachable: self.registry.is_store_reachable(now),
            lost_services: self.lost_services(),
            ended,
            role: self.exchange.role,
            config: self.routes.version(),
            targets: self.registry.revision(),
            targets_digest: self.registry.digest(),
            versions: self.versions.total(),
            evacuations: self.evacuations.version(),
            quarantine_digest: self.quarantine.digest(),
            spent,
            in_flight: loads
                .map(|(target, load)| (ShortHash::of(target.as_str()), load))
                .collect(),
            pace,
            brittle: self.brittle.reports(now),
            waiting: self.wait_queue.local_counts(now),
            loads: self.loads.active,
            waiting_loads: self.loads.waiting,
            adapter_slots: self
                .loads
                .adapter_slots
                .iter()
                .map(|(hash, slots)| (*hash, *slots))
                .collect(),
            shards: self.shards.clone(),
            claims: self.claims.clone(),
        }
    }
}

fn address(peer: &Peer) -> SocketAddr {
    peer.member.gossip
}

fn millis(span: Duration) -> u16 {
    u16::try_from(span.as_millis()).unwrap_or(u16::MAX)
}

fn mean(spans: impl Iterator<Item = Duration>) -> Duration {
    let (count, sum) = spans.fold((0_u32, Duration::ZERO), |(count, sum), span| {
        (count + 1, sum + span)
    });
    sum / count.max(1)
}
