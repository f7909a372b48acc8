//! Tells other instances how this one is, and takes in what they tell.
//!
//! A small fleet tells each other everything directly. In a large one that would cost the square of its
//! size, so two relays in each failure domain pass news on: single statuses among each other, sums to the
//! instances that asked them. A status is known by its sender's life and count, so it may come twice or
//! late; a sum is made anew for each receiver, without the receiver's own part.

mod limits;
mod message;
mod news_for;
mod places;
mod source;
mod take;
mod tell;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{InstanceId, Time};

use self::message::own;
pub use self::message::{Asks, Message, Telling};
use self::source::Source;
use super::news::Roster;
use super::peers::{GONE_AFTER, Peer};
use super::rendezvous::ShortHash;
use super::status::{Role, Status};
use super::tables::Tables;

/// Pause between rounds.
pub const ROUND: Duration = Duration::from_millis(100);
/// Instances up to which each tells all others directly.
pub const DIRECT_FLEET: usize = 16;
/// Age of spending that is still told, so that a lost datagram is made up for.
const NEWS_LASTS: Duration = Duration::from_millis(1_500);
/// Time for which a new relay listens until it has heard everyone and tells news.
const LISTENS: Duration = Duration::from_millis(300);
/// Time between two rounds from which the instance may have been suspended: what it knows is old.
const BREAK: Duration = Duration::from_millis(350);
/// Time for which an instance must have run without a break before it takes a place as a relay.
const WARM: Duration = Duration::from_millis(300);
/// Rounds between two full ones: who lives and who holds leases is told in these, a relay makes itself known
/// to its whole failure domain, and an instance that hears no relay tells all.
const FULL_EVERY: u32 = 3;

/// What an instance keeps of its exchange with others.
#[derive(Debug, Default)]
pub struct Exchange {
    seq: u32,
    rounds: u32,
    /// It has told all instances once.
    told_all: bool,
    /// The last round, and since when rounds follow each other without a break.
    last_round: Option<Time>,
    unbroken_since: Time,
    /// Since when too few others relay in the own failure domain.
    vacant_since: Option<Time>,
    /// Since when it has a place as a relay.
    place_since: Option<Time>,
    role: Role,
    /// Statuses from those that asked, for the other relays.
    pending: BTreeMap<InstanceId, (Status, Time)>,
    readers: BTreeMap<InstanceId, Reader>,
    source: Option<Source>,
    roster: Roster,
    roster_digest: u64,
    /// Mean age of what all others told.
    lag: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Reader {
    asked: Time,
    all: bool,
}

impl Exchange {
    /// What this instance does for the news of others.
    #[must_use]
    pub const fn role(&self) -> Role {
        self.role
    }

    /// The relay that this instance asks.
    #[must_use]
    pub fn source(&self) -> Option<&InstanceId> {
        self.source.as_ref().map(|source| &source.relay)
    }

    /// Instances that ask this one.
    #[must_use]
    pub fn readers(&self) -> usize {
        self.readers.len()
    }

    fn take_role(&mut self, has_place: bool, now: Time) {
        if !has_place {
            self.place_since = None;
            self.role = Role::Asks;
            return;
        }
        let since = *self.place_since.get_or_insert(now);
        self.role = if now.since(since) < LISTENS {
            Role::Listens
        } else {
            Role::Relays
        };
    }

    const fn is_full_round(&self) -> bool {
        self.rounds.is_multiple_of(FULL_EVERY)
    }

    /// A round begins; tells whether this instance has run long enough to relay.
    fn begin_round(&mut self, now: Time) -> bool {
        let broken = self.last_round.is_none_or(|last| now.since(last) > BREAK);
        if broken {
            self.unbroken_since = now;
            self.pending.clear();
        }
        self.last_round = Some(now);
        self.rounds = self.rounds.wrapping_add(1);
        now.since(self.unbroken_since) >= WARM
    }
}

impl Tables {
    /// What is to be told in this round.
    pub fn tell_round(&mut self, now: Time) -> Vec<Telling> {
        let mut tellings = self.tell_status(now);
        tellings.extend(self.tell_limits(now));
        tellings
    }

    fn tell_status(&mut self, now: Time) -> Vec<Telling> {
        let warm = self.exchange.begin_round(now);
        let relayed = self.is_relayed(now);
        let has_place = relayed && warm && self.takes_place(now);
        if has_place && self.exchange.place_since.is_none() && self.peers.view().is_some() {
            self.quotas.reset_peer_baselines();
        }
        self.exchange.take_role(has_place, now);
        if self.exchange.role != Role::Relays {
            self.exchange.pending.clear();
            self.exchange.readers.clear();
        }
        let ages = self.peers.live(now).filter_map(|peer| peer.heard);
        self.exchange.lag = mean(ages.map(|heard| now.since(heard)));
        if !relayed {
            self.leave_source(now);
            let status = self.next_status(false, now);
            return vec![self.to_all(status, now)];
        }
        match self.exchange.role {
            Role::Asks => self.tell_relays(now),
            Role::Listens => {
                self.choose_source(now);
                self.tell_as_relay(now)
            }
            Role::Relays => {
                self.leave_source(now);
                self.tell_as_relay(now)
            }
        }
    }

    /// The last words of this instance.
    pub fn tell_end(&mut self, now: Time) -> Telling {
        let status = self.next_status(true, now);
        self.to_all(status, now)
    }

    /// Who is told at once of what all should know; relays pass it on to their readers.
    #[must_use]
    pub fn fleet(&self, now: Time) -> Vec<SocketAddr> {
        if !self.is_relayed(now) {
            return self.reachable(now).map(address).collect();
        }
        let own = self.relays_of(&self.me.failure_domain, now);
        let mut to = self.away(now);
        to.extend(own);
        to.extend(self.readers());
        to
    }

    /// Instances that ask this one for news.
    #[must_use]
    pub fn readers(&self) -> Vec<SocketAddr> {
        let readers = self.exchange.readers.keys();
        let readers = readers.filter_map(|name| self.peers.get(name));
        readers.map(address).collect()
    }

    /// Mean age of what this instance knows of the others' requests and spending.
    #[must_use]
    pub fn news_age(&self, now: Time) -> Duration {
        if let Some(view) = self.peers.view() {
            return view.lag + now.since(view.at).max(ROUND / 2);
        }
        self.exchange.lag.max(ROUND / 2)
    }

    /// Whether news go through relays.
    pub(super) fn is_relayed(&self, now: Time) -> bool {
        let others_relay = self
            .relays_of(&self.me.failure_domain, now)
            .next()
            .is_some();
        others_relay || self.reachable(now).count() + 1 > DIRECT_FLEET
    }

    /// Peers that live, or may.
    fn reachable(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.all();
        peers.filter(move |peer| peer.heard.is_none() || peer.heard_within(GONE_AFTER, now))
    }

    fn to_all(&self, status: Status, now: Time) -> Telling {
        Telling {
            to: self.reachable(now).map(address).collect(),
            message: own(status, Asks::Nothing),
        }
    }

    fn next_status(&mut self, ended: bool, now: Time) -> Status {
        self.exchange.seq += 1;
        let spent = self.quotas.take_spend_reports(NEWS_LASTS, now);
        let loads = self.own_loads();
        Status {
            from: ShortHash::of(self.me.name.as_str()),
            life: self.me.incarnation.0,
            seq: self.exchange.seq,
            age_ms: 0,
            uptime_ms: u32::try_from(now.since(self.started).as_millis()).unwrap_or(u32::MAX),
            ready: self.ready() && !ended,
            store_answers: self.registry.store_answers(now),
            ended,
            role: self.exchange.role,
            config: self.routes.version(),
            targets: self.registry.revision(),
            targets_digest: self.registry.digest(),
            versions: self.versions.total(),
            verdicts_digest: self.quarantine.digest(),
            spent,
            in_flight: loads
                .map(|(target, load)| (ShortHash::of(target.as_str()), load))
                .collect(),
            loads: self.loads.under_way,
            waiting_loads: self.loads.waiting,
            places: self
                .loads
                .places
                .iter()
                .map(|(hash, at)| (*hash, *at))
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
