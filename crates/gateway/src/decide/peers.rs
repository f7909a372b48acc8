//! The other instances: who lives, and what they tell.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{FailureDomain, Incarnation, InstanceId, Revision, Time};
use serde::{Deserialize, Serialize};

use super::loader::AdapterSlots;
use super::news::View;
use super::rendezvous::{ShortHash, weight};
use super::status::{Role, Status};

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

/// Silence after which a peer counts as down for callers and takeovers.
pub const DOWN_AFTER: Duration = Duration::from_millis(1_100);

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
    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prompts = self.prompts.saturating_add(other.prompts);
    }

    /// Takes another load out.
    pub fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prompts = self.prompts.saturating_sub(other.prompts);
    }
}

/// What a relay says of a peer.
#[derive(Clone, Copy, Debug)]
pub struct Vouched {
    /// It was heard lately.
    pub live: bool,
    /// It takes callers.
    pub ready: bool,
    /// The store answers it.
    pub store_answers: bool,
    /// What it knows of the store, if the relay says so.
    pub store: Option<KnownOfStore>,
}

/// How new what an instance knows of the store is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownOfStore {
    /// Version of its configuration.
    pub config: Revision,
    /// Revision of its list of targets.
    pub targets: Revision,
    /// Digest of what that list says.
    pub targets_digest: u32,
    /// Sum of the adapter versions that it knows to be announced.
    pub versions: u64,
    /// Digest of the verdicts on requests that it knows; zero if there is none.
    pub verdicts_digest: u64,
}

/// What a peer last told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Its registration.
    pub member: Member,
    /// When it was last heard; none: known from the registry alone.
    pub heard: Option<Time>,
    /// Count of the status that was last heard.
    pub seq: u32,
    /// Time in milliseconds since its life began, as it last told.
    pub uptime_ms: u32,
    /// Whether it passes news on between its failure domain and the others.
    pub role: Role,
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
    /// Digest of the verdicts on requests that it knows; zero if there is none.
    pub verdicts_digest: u64,
    /// What it has at each target, by the target's hash.
    pub in_flight: HashMap<ShortHash, Load>,
    /// Loads from the weight store that it has under way.
    pub loads: u16,
    /// Adapters that wait for one on engines of its shards.
    pub waiting_loads: u16,
    /// Places for adapters on the engines of its shards.
    pub places: HashMap<ShortHash, AdapterSlots>,
    /// Loader shards on which it orders.
    pub shards: Vec<u8>,
    /// Loader shards that it holds, also while it may not order yet.
    pub claims: Vec<u8>,
}

/// All peers, the own instance left out.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<InstanceId, Peer>,
    /// Requests of all peers at each target. The sum is kept, not made for each request: that would
    /// take a look-up for each peer and target at every choice.
    sums: HashMap<ShortHash, Load>,
    /// Names behind short hashes.
    names: HashMap<ShortHash, InstanceId>,
    /// News from a relay; while there are any, they stand in place of the sums.
    view: Option<View>,
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
            None => self.insert(Peer::registered(member)),
        }
    }

    /// Forgets a registration that is gone, unless the peer is still heard.
    pub fn unregistered(&mut self, name: &InstanceId, now: Time) {
        let heard = |peer: &Peer| peer.heard_within(DOWN_AFTER, now);
        if self.known.get(name).is_some_and(|peer| !heard(peer)) {
            self.ended(name);
        }
    }

    /// A peer has ended as planned.
    pub fn ended(&mut self, name: &InstanceId) {
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
            Some(before) => subtract(&mut self.sums, &before.in_flight),
            None => {
                self.names.insert(ShortHash::of(name.as_str()), name);
            }
        }
    }

    /// Takes the requests of peers that fell silent out of the sums, and forgets empty ones.
    pub fn sweep(&mut self, now: Time) {
        let silent = self.known.values_mut();
        let silent = silent.filter(|peer| !peer.heard_within(DOWN_AFTER, now));
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
        let member = &self.by_hash(from)?.member;
        (member.incarnation.0 == life).then_some(member)
    }

    /// The peer behind a short hash.
    #[must_use]
    pub fn by_hash(&self, name: ShortHash) -> Option<&Peer> {
        self.known.get(self.names.get(&name)?)
    }

    /// Whether a peer tells from this address.
    #[must_use]
    pub fn is_at(&self, name: &InstanceId, address: SocketAddr) -> bool {
        let peer = self.known.get(name);
        peer.is_some_and(|peer| peer.member.gossip == address)
    }

    /// The peer that tells from this address.
    #[must_use]
    pub fn at(&self, address: SocketAddr) -> Option<&Peer> {
        let mut peers = self.known.values();
        peers.find(|peer| peer.member.gossip == address)
    }

    /// A relay says how a peer is; its requests are in the relay's sums.
    pub fn vouched(&mut self, name: ShortHash, word: Vouched, now: Time) {
        let Some(name) = self.names.get(&name) else {
            return;
        };
        let Some(peer) = self.known.get_mut(name) else {
            return;
        };
        subtract(&mut self.sums, &peer.in_flight);
        peer.in_flight.clear();
        if !word.live {
            let down = now - DOWN_AFTER;
            peer.heard = peer.heard.map(|heard| heard.min(down));
            return;
        }
        peer.heard = Some(now);
        peer.ready = word.ready;
        peer.store_answers = word.store_answers;
        if let Some(store) = word.store {
            peer.config = store.config;
            peer.targets = store.targets;
            peer.targets_digest = store.targets_digest;
            peer.versions = store.versions;
            peer.verdicts_digest = store.verdicts_digest;
        }
    }

    /// Puts news from a relay in place of the sums, or the sums back.
    pub fn set_view(&mut self, view: Option<View>) {
        self.view = view;
    }

    /// News from a relay that stand in place of the sums.
    #[must_use]
    pub const fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Takes in who a peer is; a new life replaces the old one.
    pub fn introduced(&mut self, member: Member) {
        let known = self.known.get(&member.name);
        if known.is_none_or(|peer| peer.member != member) {
            self.insert(Peer::registered(member));
        }
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
        let live = move |peer: &&Peer| peer.heard_within(DOWN_AFTER, now);
        self.known.values().filter(live)
    }

    /// Instances that share quotas, budgets and connections, this one included.
    #[must_use]
    pub fn sharing(&self, now: Time) -> usize {
        let shares = |peer: &&Peer| peer.heard_within(GONE_AFTER, now);
        1 + self.known.values().filter(shares).count()
    }

    /// Part of the sharing instances that can't be heard now, between 0 and 1. An instance that is `new` has not
    /// heard all that are registered yet: they are taken to spend, too.
    #[must_use]
    pub fn silent_share(&self, new: bool, now: Time) -> f64 {
        let unmet = self
            .known
            .values()
            .filter(|peer| new && peer.heard.is_none());
        let sharing = self.sharing(now) + unmet.count();
        let silent = sharing - 1 - self.live(now).count();
        let [silent, sharing] = [silent, sharing].map(|count| u32::try_from(count).unwrap_or(1));
        f64::from(silent) / f64::from(sharing)
    }

    /// What peers have at a target, as they last told.
    #[must_use]
    pub fn load(&self, target: ShortHash) -> Load {
        let sums = self.view.as_ref().map_or(&self.sums, |view| &view.loads);
        sums.get(&target).copied().unwrap_or_default()
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
            seq: 0,
            uptime_ms: 0,
            role: Role::Asks,
            ready: false,
            store_answers: false,
            config: Revision::default(),
            targets: Revision::default(),
            targets_digest: 0,
            versions: 0,
            verdicts_digest: 0,
            in_flight: HashMap::new(),
            loads: 0,
            waiting_loads: 0,
            places: HashMap::new(),
            shards: Vec::new(),
            claims: Vec::new(),
        }
    }

    /// What an instance told of itself, last heard at a time.
    #[must_use]
    pub fn told(member: Member, status: &Status, heard: Time) -> Self {
        Self {
            member,
            heard: Some(heard),
            seq: status.seq,
            uptime_ms: status.uptime_ms,
            role: status.role,
            ready: status.ready,
            store_answers: status.store_answers,
            config: status.config,
            targets: status.targets,
            targets_digest: status.targets_digest,
            versions: status.versions,
            verdicts_digest: status.verdicts_digest,
            in_flight: status.in_flight.iter().copied().collect(),
            loads: status.loads,
            waiting_loads: status.waiting_loads,
            places: status.places.iter().copied().collect(),
            shards: status.shards.clone(),
            claims: status.claims.clone(),
        }
    }

    /// What it told, but for its spending, for others.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        let held = self.heard.map_or(Duration::ZERO, |heard| now.since(heard));
        Status {
            from: ShortHash::of(self.member.name.as_str()),
            life: self.member.incarnation.0,
            seq: self.seq,
            age_ms: u16::try_from(held.as_millis()).unwrap_or(u16::MAX),
            ready: self.ready,
            store_answers: self.store_answers,
            ended: false,
            uptime_ms: self.uptime_ms,
            role: self.role,
            config: self.config,
            targets: self.targets,
            targets_digest: self.targets_digest,
            versions: self.versions,
            verdicts_digest: self.verdicts_digest,
            spent: Vec::new(),
            in_flight: self
                .in_flight
                .iter()
                .map(|(hash, load)| (*hash, *load))
                .collect(),
            loads: self.loads,
            waiting_loads: self.waiting_loads,
            places: self.places.iter().map(|(hash, at)| (*hash, *at)).collect(),
            shards: self.shards.clone(),
            claims: self.claims.clone(),
        }
    }

    /// Whether it was heard within `span` before `now`.
    #[must_use]
    pub fn heard_within(&self, span: Duration, now: Time) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < span)
    }
}
