//! The other instances: who lives, and what they tell.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{FailureDomain, Incarnation, InstanceId, Revision, Time};
use serde::{Deserialize, Serialize};

use super::loader::Places;
use super::rendezvous::{ShortHash, weight};

/// An instance as it registers itself.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Member {
    /// Its name; kept across restarts.
    pub name: InstanceId,
    /// This life of it.
    pub incarnation: Incarnation,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where peers send datagrams.
    pub gossip: SocketAddr,
    /// Where peers read its configuration and targets.
    pub control: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// What its machine can do, in hundredths of a processor core.
    pub strength: Strength,
}

impl Member {
    /// Place in the order for a duty named by `key`; the highest comes first.
    ///
    /// A duty costs an instance more than its callers do; on a weak machine orders to engines run out of
    /// time. So the strongest come first.
    #[must_use]
    pub fn precedence(&self, key: u64) -> (Strength, u64) {
        (self.strength, weight(key, self.name.as_str()))
    }
}

/// What a machine can do, in hundredths of a processor core.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Strength(pub u32);

/// Least silence after which a peer counts as down for callers and takeovers: eight rounds of gossip
/// in a small fleet.
pub const DOWN_AFTER: Duration = Duration::from_millis(1_100);
/// The same in rounds of gossip, in a large fleet: three datagrams in a row aren't lost by chance on
/// a link that loses one in twenty.
const DOWN_AFTER_ROUNDS: f64 = 3.15;
/// Pause between rounds of gossip in a small fleet. Quotas lag by it, and a dead peer is noticed
/// after several.
const ROUND: Duration = Duration::from_millis(100);
/// Pause added for each instance beyond [`SMALL_FLEET`]: every one tells every other.
const ROUND_PER_PEER: Duration = Duration::from_millis(4);
/// Instances beyond which rounds are slower.
const SMALL_FLEET: usize = 10;
/// Longest pause between rounds; a fleet of 300 reaches it.
const LONGEST_ROUND: Duration = Duration::from_millis(1_250);

/// Silence after which a peer no longer counts in the division of quotas, budgets and connections.
///
/// Longer than a cut of a link usually lasts: such a peer still serves its callers.
pub const GONE_AFTER: Duration = Duration::from_secs(20);

/// What an instance, or all of them, have at a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens of those that have not begun.
    pub prompts: u32,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prompts = self.prompts.saturating_add(other.prompts);
    }

    fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prompts = self.prompts.saturating_sub(other.prompts);
    }
}

/// What a peer last told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Its registration.
    pub member: Member,
    /// When it was last heard; none: known from the registry alone.
    pub heard: Option<Time>,
    /// It takes callers.
    pub ready: bool,
    /// The store answers it.
    pub store_answers: bool,
    /// Version of its configuration.
    pub config: Revision,
    /// Revision of its list of targets.
    pub targets: Revision,
    /// Digest of what that list says.
    pub targets_digest: u32,
    /// Sum of the adapter versions that it knows to be announced.
    pub versions: u64,
    /// What it has at each target, by the target's hash.
    pub in_flight: HashMap<ShortHash, Load>,
    /// Loads from the weight store that it has under way.
    pub loads: u16,
    /// Adapters that wait for one on engines of its shards.
    pub waiting_loads: u16,
    /// Places for adapters on the engines of its shards.
    pub places: HashMap<ShortHash, Places>,
    /// Loader shards on which it orders.
    pub shards: Vec<u8>,
    /// Loader shards that it holds, also while it may not order yet.
    pub claims: Vec<u8>,
}

/// All peers, the own instance left out.
#[derive(Debug)]
pub struct Peers {
    known: BTreeMap<InstanceId, Peer>,
    /// Requests of all peers at each target. The sum is kept, not made for each request: that would
    /// take a look-up for each peer and target at every choice.
    sums: HashMap<ShortHash, Load>,
    /// Silence after which a peer counts as down in a fleet of this size.
    down_after: Duration,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            known: BTreeMap::new(),
            sums: HashMap::new(),
            down_after: DOWN_AFTER,
        }
    }
}

fn subtract(sums: &mut HashMap<ShortHash, Load>, loads: &HashMap<ShortHash, Load>) {
    for (target, load) in loads {
        if let Some(sum) = sums.get_mut(target) {
            sum.subtract(*load);
        }
    }
}

impl Peers {
    /// Takes in a registration from the store or from a peer's copy.
    pub fn registered(&mut self, member: Member) {
        match self.known.get_mut(&member.name) {
            Some(peer) if peer.heard.is_some() => {}
            Some(peer) => peer.member = member,
            None => {
                self.known
                    .insert(member.name.clone(), Peer::registered(member));
            }
        }
    }

    /// Forgets a registration that is gone, unless the peer is still heard.
    pub fn unregistered(&mut self, name: &InstanceId, now: Time) {
        let heard = |peer: &Peer| peer.heard_within(self.down_after, now);
        if self.known.get(name).is_some_and(|peer| !heard(peer)) {
            self.ended(name);
        }
    }

    /// A peer has ended as planned.
    pub fn ended(&mut self, name: &InstanceId) {
        if let Some(peer) = self.known.remove(name) {
            subtract(&mut self.sums, &peer.in_flight);
        }
    }

    fn insert(&mut self, peer: Peer) {
        for (target, load) in &peer.in_flight {
            self.sums.entry(*target).or_default().add(*load);
        }
        if let Some(before) = self.known.insert(peer.member.name.clone(), peer) {
            subtract(&mut self.sums, &before.in_flight);
        }
    }

    /// Takes the requests of peers that fell silent out of the sums, and forgets empty ones.
    pub fn sweep(&mut self, now: Time) {
        let rounds = self.round(now).mul_f64(DOWN_AFTER_ROUNDS);
        self.down_after = rounds.max(DOWN_AFTER);
        let down_after = self.down_after;
        let silent = self.known.values_mut();
        let silent = silent.filter(|peer| !peer.heard_within(down_after, now));
        for peer in silent {
            subtract(&mut self.sums, &peer.in_flight);
            peer.in_flight.clear();
        }
        self.sums.retain(|_, sum| *sum != Load::default());
    }

    /// Takes in what a peer told.
    pub fn heard(&mut self, peer: Peer) {
        self.insert(peer);
    }

    /// The registration behind a short hash, if it is of that life.
    #[must_use]
    pub fn member(&self, from: ShortHash, life: u64) -> Option<&Member> {
        let mut members = self.known.values().map(|peer| &peer.member);
        members.find(|member| {
            member.incarnation.0 == life && ShortHash::of(member.name.as_str()) == from
        })
    }

    /// Takes in who a peer is; a new life replaces the old one.
    pub fn introduced(&mut self, member: Member) {
        let known = self.known.get(&member.name);
        if known.is_none_or(|peer| peer.member != member) {
            self.insert(Peer::registered(member));
        }
    }

    /// Whether `me` is among the `count` instances that come first for `key`, of those that live
    /// and that the store answers.
    #[must_use]
    pub fn among_first(&self, me: &Member, key: u64, count: usize, now: Time) -> bool {
        let own = me.precedence(key);
        let able = self
            .live(now)
            .filter(|peer| peer.ready && peer.store_answers);
        let before = able.filter(|peer| peer.member.precedence(key) > own);
        before.count() < count
    }

    /// The peer of that name.
    #[must_use]
    pub fn get(&self, name: &InstanceId) -> Option<&Peer> {
        self.known.get(name)
    }

    /// All peers, silent ones included.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.known.values()
    }

    /// Peers that were heard lately.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let down_after = self.down_after;
        let live = move |peer: &&Peer| peer.heard_within(down_after, now);
        self.known.values().filter(live)
    }

    /// Instances that share quotas, budgets and connections, this one included.
    #[must_use]
    pub fn sharing(&self, now: Time) -> usize {
        let shares = |peer: &&Peer| peer.heard_within(GONE_AFTER, now);
        1 + self.known.values().filter(shares).count()
    }

    /// Pause between rounds of gossip.
    #[must_use]
    pub fn round(&self, now: Time) -> Duration {
        let more = self.sharing(now).saturating_sub(SMALL_FLEET);
        let more = u32::try_from(more).unwrap_or(u32::MAX);
        (ROUND + ROUND_PER_PEER.saturating_mul(more)).min(LONGEST_ROUND)
    }

    /// Part of the sharing instances that can't be heard now, between 0 and 1.
    #[must_use]
    pub fn silent_share(&self, now: Time) -> f64 {
        let sharing = self.sharing(now);
        let silent = sharing - 1 - self.live(now).count();
        let [silent, sharing] = [silent, sharing].map(|count| u32::try_from(count).unwrap_or(1));
        f64::from(silent) / f64::from(sharing)
    }

    /// What peers have at a target, as they last told.
    #[must_use]
    pub fn load(&self, target: ShortHash) -> Load {
        self.sums.get(&target).copied().unwrap_or_default()
    }

    /// The live peer that holds a loader shard.
    #[must_use]
    pub fn holder(&self, shard: u8, now: Time) -> Option<&Peer> {
        self.live(now).find(|peer| peer.shards.contains(&shard))
    }
}

impl Peer {
    fn registered(member: Member) -> Self {
        Self {
            member,
            heard: None,
            ready: false,
            store_answers: false,
            config: Revision::default(),
            targets: Revision::default(),
            targets_digest: 0,
            versions: 0,
            in_flight: HashMap::new(),
            loads: 0,
            waiting_loads: 0,
            places: HashMap::new(),
            shards: Vec::new(),
            claims: Vec::new(),
        }
    }

    /// Whether it was heard within `span` before `now`.
    #[must_use]
    pub fn heard_within(&self, span: Duration, now: Time) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < span)
    }
}
