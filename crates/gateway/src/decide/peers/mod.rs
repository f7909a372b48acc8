//! The other instances and their last known state.

mod member;
mod peer;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{InstanceId, Revision, Time};
use serde::{Deserialize, Serialize};

use super::evacuations::EvacuationsVersion;
use super::ranked_tokens::RankedTokens;
use super::relay_update::RelayView;
use super::rendezvous::ShortHash;
use super::wait_queue::WaitingCounts;

pub use member::{Member, Strength};
pub use peer::Peer;

/// Time without a status after which a peer counts as down for callers and takeovers.
pub const DOWN_THRESHOLD: Duration = Duration::from_millis(1_100);

/// Time without a status after which a peer no longer counts in the division of quotas, budgets and
/// connections.
///
/// Longer than a link is usually interrupted, because such a peer still serves its callers.
pub const GONE_THRESHOLD: Duration = Duration::from_secs(20);

/// Load of one or all instances at a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Load {
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens of the requests that the target has not started.
    pub prompts: RankedTokens,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prompts.add(other.prompts);
    }

    /// Subtracts another load.
    pub fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prompts.subtract(other.prompts);
    }
}

/// State of a peer as reported by a relay.
#[derive(Clone, Debug)]
pub struct RelayReport {
    /// Whether it was seen recently.
    pub live: bool,
    /// Whether it accepts callers.
    pub ready: bool,
    /// Whether the store responds to it.
    pub store_reachable: bool,
    /// Services whose targets it can't reach.
    pub lost_services: Vec<ShortHash>,
    /// Its store state, if the relay reports that.
    pub store: Option<StoreVersions>,
}

/// Versions of the store data that an instance has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreVersions {
    /// Version of its configuration.
    pub config: Revision,
    /// Revision of its list of targets.
    pub targets: Revision,
    /// Digest of the contents of that list.
    pub targets_digest: u32,
    /// Sum of the announced adapter versions that it knows.
    pub versions: u64,
    /// The evacuations that it knows.
    pub evacuations: EvacuationsVersion,
    /// Digest of the quarantine decisions that it knows; zero if there are none.
    pub quarantine_digest: u64,
}

/// All peers, without the local instance.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<InstanceId, Peer>,
    /// Load of all peers at each target. Summing on demand would take a lookup for each peer and
    /// target at every choice of a target.
    sums: HashMap<ShortHash, Load>,
    /// Names by short hash.
    names: HashMap<ShortHash, InstanceId>,
    /// Last update of the upstream relay. Its sums are used instead of `sums` while it is set.
    view: Option<RelayView>,
}

fn subtract(sums: &mut HashMap<ShortHash, Load>, loads: &HashMap<ShortHash, Load>) {
    for (target, load) in loads {
        if let Some(sum) = sums.get_mut(target) {
            sum.subtract(*load);
        }
    }
}

impl Peers {
    /// Adds a registration from the store or from a peer's copy.
    pub fn register(&mut self, member: Member) {
        match self.known.get_mut(&member.name) {
            Some(peer) if peer.last_seen.is_some() => {}
            Some(peer) => peer.member = member,
            None => self.insert(Peer::unseen(member)),
        }
    }

    /// Removes a peer whose registration is gone, unless it was seen recently.
    pub fn unregister(&mut self, name: &InstanceId, now: Time) {
        let is_live = |peer: &Peer| peer.seen_within(DOWN_THRESHOLD, now);
        if self.known.get(name).is_some_and(|peer| !is_live(peer)) {
            self.remove(name);
        }
    }

    /// Removes a peer, for example after a planned stop.
    pub fn remove(&mut self, name: &InstanceId) {
        if let Some(peer) = self.known.remove(name) {
            subtract(&mut self.sums, &peer.in_flight);
            self.names.remove(&ShortHash::of(name.as_str()));
        }
    }

    fn insert(&mut self, peer: Peer) {
        for (target, load) in &peer.in_flight {
            self.sums.entry(*target).or_default().add(*load);
        }
        let name = peer.member.name.clone();
        match self.known.insert(name.clone(), peer) {
            Some(former) => subtract(&mut self.sums, &former.in_flight),
            None => {
                self.names.insert(ShortHash::of(name.as_str()), name);
            }
        }
    }

    /// Subtracts the load of peers that are down from the sums, and removes empty sums.
    pub fn sweep(&mut self, now: Time) {
        let down = self.known.values_mut();
        let down = down.filter(|peer| !peer.seen_within(DOWN_THRESHOLD, now));
        for peer in down {
            subtract(&mut self.sums, &peer.in_flight);
            peer.in_flight.clear();
        }
        self.sums.retain(|_, sum| *sum != Load::default());
    }

    /// Replaces the state of a peer.
    pub fn update(&mut self, peer: Peer) {
        self.insert(peer);
    }

    /// Returns the registration for a short hash, if it is of that incarnation.
    #[must_use]
    pub fn member(&self, from: ShortHash, incarnation: u64) -> Option<&Member> {
        let member = &self.by_hash(from)?.member;
        (member.incarnation.0 == incarnation).then_some(member)
    }

    /// Returns the peer for a short hash.
    #[must_use]
    pub fn by_hash(&self, name: ShortHash) -> Option<&Peer> {
        self.known.get(self.names.get(&name)?)
    }

    /// Whether a peer sends from this address.
    #[must_use]
    pub fn is_at(&self, name: &InstanceId, address: SocketAddr) -> bool {
        let peer = self.known.get(name);
        peer.is_some_and(|peer| peer.member.gossip == address)
    }

    /// Returns the peer that sends from this address.
    #[must_use]
    pub fn at(&self, address: SocketAddr) -> Option<&Peer> {
        let mut peers = self.known.values();
        peers.find(|peer| peer.member.gossip == address)
    }

    /// Applies a relay's report on a peer that was received at `at`. The load of the peer is part of the relay's sums.
    pub fn apply_relay_report(&mut self, name: ShortHash, report: RelayReport, at: Time) {
        let Some(name) = self.names.get(&name) else {
            return;
        };
        let Some(peer) = self.known.get_mut(name) else {
            return;
        };
        subtract(&mut self.sums, &peer.in_flight);
        peer.in_flight.clear();
        peer.waiting = WaitingCounts::default();
        if !report.live {
            let down_since = at - DOWN_THRESHOLD;
            peer.last_seen = peer.last_seen.map(|last_seen| last_seen.min(down_since));
            return;
        }
        peer.last_seen = peer.last_seen.max(Some(at));
        peer.ready = report.ready;
        peer.store_reachable = report.store_reachable;
        peer.lost_services = report.lost_services;
        if let Some(store) = report.store {
            peer.config = store.config;
            peer.targets = store.targets;
            peer.targets_digest = store.targets_digest;
            peer.versions = store.versions;
            peer.evacuations = store.evacuations;
            peer.quarantine_digest = store.quarantine_digest;
        }
    }

    /// Sets the relay's update whose sums are used, or returns to the sums of direct statuses.
    pub fn set_view(&mut self, view: Option<RelayView>) {
        self.view = view;
    }

    /// The relay's update whose sums are used instead of those of direct statuses.
    #[must_use]
    pub const fn view(&self) -> Option<&RelayView> {
        self.view.as_ref()
    }

    /// Sets the registration of a peer that has introduced itself; a new incarnation replaces the old one.
    pub fn set_member(&mut self, member: Member, now: Time) {
        let known = self.known.get(&member.name);
        if known.is_none_or(|peer| peer.member != member) {
            self.insert(Peer {
                introduced_at: Some(now),
                ..Peer::unseen(member)
            });
        }
    }

    /// Returns the peer with that name.
    #[must_use]
    pub fn get(&self, name: &InstanceId) -> Option<&Peer> {
        self.known.get(name)
    }

    /// All peers, including those that are down.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.known.values()
    }

    /// Peers that were seen within [`DOWN_THRESHOLD`].
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let is_live = move |peer: &&Peer| peer.seen_within(DOWN_THRESHOLD, now);
        self.known.values().filter(is_live)
    }

    /// Whether a peer was seen within [`DOWN_THRESHOLD`].
    #[must_use]
    pub fn is_live(&self, name: &InstanceId, now: Time) -> bool {
        let peer = self.known.get(name);
        peer.is_some_and(|peer| peer.seen_within(DOWN_THRESHOLD, now))
    }

    /// Peers that have not been seen yet but are expected to run: those that have just introduced themselves, and to a
    /// `new` instance all registered ones.
    pub fn expected(&self, new: bool, now: Time) -> impl Iterator<Item = &Peer> {
        let is_expected = move |peer: &&Peer| peer.is_expected(new, now);
        self.known.values().filter(is_expected)
    }

    /// Number of instances that share quotas, budgets and connections, including this one. One that is `new` may not have
    /// seen all registered peers yet; those that it has not seen are assumed to share, too.
    #[must_use]
    pub fn sharing_count(&self, new: bool, now: Time) -> usize {
        let is_sharing = |peer: &&Peer| {
            peer.seen_within(GONE_THRESHOLD, now) || (new && peer.last_seen.is_none())
        };
        1 + self.known.values().filter(is_sharing).count()
    }

    /// Fraction of the sharing instances that are down, between 0 and 1, from the point of view of an instance that is
    /// `new` or not.
    #[must_use]
    pub fn down_fraction(&self, new: bool, now: Time) -> f64 {
        let sharing = self.sharing_count(new, now);
        let down = sharing - 1 - self.live(now).count();
        let [down, sharing] = [down, sharing].map(|count| u32::try_from(count).unwrap_or(1));
        f64::from(down) / f64::from(sharing)
    }

    /// Load of all peers at a target.
    #[must_use]
    pub fn load(&self, target: ShortHash) -> Load {
        let sums = self.view.as_ref().map_or(&self.sums, |view| &view.loads);
        sums.get(&target).copied().unwrap_or_default()
    }

    /// Requests of all peers that wait for a place at targets.
    #[must_use]
    pub fn waiting(&self, now: Time) -> WaitingCounts {
        if let Some(view) = &self.view {
            return view.waiting.clone();
        }
        self.waiting_except(None, now)
    }

    /// Requests that wait for a place at targets, of all live peers but one.
    #[must_use]
    pub fn waiting_except(&self, left_out: Option<&InstanceId>, now: Time) -> WaitingCounts {
        let mut sum = WaitingCounts::default();
        let counted = self.live(now);
        let counted = counted.filter(|peer| Some(&peer.member.name) != left_out);
        for peer in counted {
            sum.add_all(&peer.waiting);
        }
        sum
    }

    /// Returns the live peer that holds a loader shard.
    #[must_use]
    pub fn holder(&self, shard: u8, now: Time) -> Option<&Peer> {
        self.live(now).find(|peer| peer.shards.contains(&shard))
    }
}
