//! A fleet that tells its news in virtual time, over a network that loses, doubles, delays and cuts, with
//! instances that die, freeze and restart. The real tables run in it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::time::Duration;

use bluebellstage_core::{
    FailureDomain, Incarnation, InstanceId, Revision, TargetId, Time, WorkspaceId,
};
use bluebellstage_gateway::decide::config::Quota;
use bluebellstage_gateway::decide::exchange::{Message, ROUND};
use bluebellstage_gateway::decide::peers::{Member, Strength};
use bluebellstage_gateway::decide::quota::{ChargeOutcome, PeerVisibility};
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use bluebellstage_gateway::decide::retry_budget::RetryBudget;
use bluebellstage_gateway::decide::status::Role;
use bluebellstage_gateway::decide::tables::Tables;
use bluebellstage_gateway::packet::Packet;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{at, config, member, quota, target};

/// Step of the virtual time.
const TICK: Duration = Duration::from_millis(5);
/// Targets of the fleet.
pub const TARGETS: usize = 20;
/// A workspace whose spending is counted.
const WORKSPACE: &str = "north";

/// How a datagram fares.
#[derive(Clone, Debug)]
pub struct Network {
    /// Part that is lost.
    pub loss: f64,
    /// Part that comes twice.
    pub doubled: f64,
    /// Delay in milliseconds.
    pub delay: Range<u64>,
}

impl Network {
    /// Nothing is lost.
    pub const CALM: Self = Self {
        loss: 0.0,
        doubled: 0.0,
        delay: 1..3,
    };
    /// One in twenty is lost or doubled, and they overtake each other.
    pub const ROUGH: Self = Self {
        loss: 0.05,
        doubled: 0.05,
        delay: 1..40,
    };
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Runs,
    Frozen,
    Dead,
}

/// An instance.
#[derive(Debug)]
struct Node {
    tables: Tables,
    state: State,
    next_round: Time,
    /// Datagrams that came while it was frozen.
    held: Vec<(SocketAddr, Vec<u8>)>,
    /// Bytes of datagrams sent and received.
    bytes: u64,
}

type Datagram = (SocketAddr, SocketAddr, Vec<u8>);

/// The fleet.
#[derive(Debug)]
pub struct Fleet {
    nodes: Vec<Node>,
    by_address: HashMap<SocketAddr, usize>,
    underway: BinaryHeap<Reverse<(Time, u64, Datagram)>>,
    sent: u64,
    pub network: Network,
    /// Pairs of domains between which nothing passes, from the first to the second.
    pub cuts: Vec<(usize, usize)>,
    domains: usize,
    quota: Quota,
    lives: u64,
    rng: ChaCha8Rng,
    pub now: Time,
}

fn address(idx: usize, life: u64) -> SocketAddr {
    let idx = u16::try_from(idx).unwrap();
    let [high, low] = idx.to_be_bytes();
    let life = u8::try_from(life % 200).unwrap();
    SocketAddr::from((Ipv4Addr::new(10, high, low, life), 7_600))
}

pub fn target_id(idx: usize) -> TargetId {
    TargetId::try_from(&*format!("e{idx}")).unwrap()
}

fn workspace() -> WorkspaceId {
    WorkspaceId::try_from(WORKSPACE).unwrap()
}

impl Fleet {
    /// A fleet of `count` instances in `domains` failure domains that starts at once.
    pub fn start(count: usize, domains: usize, seed: u64) -> Self {
        Self::with_quota(count, domains, seed, quota(1, 1_000_000_000))
    }

    /// The same with a quota of the workspace.
    pub fn with_quota(count: usize, domains: usize, seed: u64, quota: Quota) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            by_address: HashMap::new(),
            underway: BinaryHeap::new(),
            sent: 0,
            network: Network::CALM,
            cuts: Vec::new(),
            domains,
            quota,
            lives: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: at(0),
        };
        for idx in 0..count {
            let node = fleet.new_node(idx, 1);
            fleet.by_address.insert(address(idx, 1), idx);
            fleet.nodes.push(node);
        }
        let members = fleet.nodes.iter().map(|node| node.tables.me.clone());
        let members = members.collect::<Vec<_>>();
        for node in &mut fleet.nodes {
            for member in &members {
                if member.name != node.tables.me.name {
                    node.tables.peers.registered(member.clone());
                }
            }
        }
        fleet
    }

    fn member(&self, idx: usize, life: u64) -> Member {
        let strong = idx / self.domains < 3;
        Member {
            incarnation: Incarnation(life),
            gossip: address(idx, life),
            failure_domain: FailureDomain::try_from(&*format!("d{}", idx % self.domains)).unwrap(),
            strength: Strength(if strong { 50 } else { 12 }),
            name: InstanceId::try_from(&*format!("i{idx}")).unwrap(),
            ..member("i", "d")
        }
    }

    /// Part of the fleet that one which restarts has not heard.
    fn unmet(&self) -> f64 {
        let count = u32::try_from(self.nodes.len()).unwrap();
        f64::from(count - 1) / f64::from(count)
    }

    fn new_node(&mut self, idx: usize, life: u64) -> Node {
        let budget = RetryBudget {
            ratio: 0.2,
            window: Duration::from_secs(10),
            slack: 10.0,
        };
        let mut tables = Tables::new(self.member(idx, life), budget);
        assert!(tables.adopt(config(1), self.now));
        for idx in 0..TARGETS {
            let target = target(target_id(idx).as_str(), "writers");
            tables.registry.put(target, Revision(1), self.now);
        }
        let silent = if life > 1 { self.unmet() } else { 0.0 };
        tables.started = self.now;
        tables
            .quotas
            .prepare(&workspace(), self.quota, silent, self.now);
        let round = u64::try_from(ROUND.as_millis()).unwrap();
        let phase = Duration::from_millis(self.rng.random_range(0..round));
        Node {
            tables,
            state: State::Runs,
            next_round: self.now + phase,
            held: Vec::new(),
            bytes: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn tables(&self, idx: usize) -> &Tables {
        &self.nodes[idx].tables
    }

    /// An instance takes some that are long gone for registered.
    pub fn haunt(&mut self, idx: usize, ghosts: usize) {
        let first = self.nodes.len();
        for ghost in first..first + ghosts {
            let ghost = self.member(ghost, 1);
            self.nodes[idx].tables.peers.registered(ghost);
        }
    }

    pub fn tables_mut(&mut self, idx: usize) -> &mut Tables {
        &mut self.nodes[idx].tables
    }

    pub fn runs(&self, idx: usize) -> bool {
        self.nodes[idx].state == State::Runs
    }

    /// Instances that relay.
    pub fn relays(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        let relays =
            |idx: &usize| self.runs(*idx) && self.tables(*idx).exchange.role() == Role::Relays;
        all.filter(relays).collect()
    }

    /// Bytes of datagrams that an instance sent and received so far.
    pub fn bytes(&self, idx: usize) -> u64 {
        self.nodes[idx].bytes
    }

    pub fn kill(&mut self, idx: usize) {
        self.nodes[idx].state = State::Dead;
        self.nodes[idx].held.clear();
    }

    pub fn freeze(&mut self, idx: usize) {
        if self.runs(idx) {
            self.nodes[idx].state = State::Frozen;
        }
    }

    pub fn thaw(&mut self, idx: usize) {
        if self.nodes[idx].state != State::Frozen {
            return;
        }
        self.nodes[idx].state = State::Runs;
        for (from, buf) in std::mem::take(&mut self.nodes[idx].held) {
            self.deliver(idx, from, &buf);
        }
    }

    /// Starts an instance anew, at another address if `moved`. It knows who is registered, and tells all
    /// who it is.
    pub fn restart(&mut self, idx: usize, moved: bool) {
        self.lives += 1;
        let life = self.lives;
        let former = self.nodes[idx].tables.me.clone();
        let others = self.nodes.iter().map(|node| node.tables.me.clone());
        let others = others.collect::<Vec<_>>();
        let mut node = self.new_node(idx, life);
        if !moved {
            node.tables.me.gossip = former.gossip;
        }
        let me = node.tables.me.clone();
        for member in others {
            if member.name != me.name {
                node.tables.peers.registered(member);
            }
        }
        self.by_address.remove(&former.gossip);
        self.by_address.insert(me.gossip, idx);
        self.nodes[idx] = node;
        for other in 0..self.nodes.len() {
            let to = self.nodes[other].tables.me.gossip;
            let message = Message::Introduction(Box::new(me.clone()));
            self.send(idx, to, &Packet::Exchange(message));
        }
    }

    /// A request more, or less, of an instance at a target.
    pub fn load(&mut self, idx: usize, target: usize, more: bool) {
        let tables = &mut self.nodes[idx].tables;
        if more {
            tables.begin(&target_id(target));
        } else {
            tables.end(&target_id(target));
        }
    }

    /// Asks an instance for a charge, as a request would; false if it is refused.
    pub fn charge(&mut self, idx: usize, limit: Quota, units: u64) -> bool {
        let tables = &mut self.nodes[idx].tables;
        let sharing = PeerVisibility {
            silent_fraction: tables.unheard_share(self.now),
            staleness: tables.news_age(self.now),
        };
        let quotas = &mut tables.quotas;
        let pause = Duration::ZERO;
        let charged = quotas.charge(&workspace(), limit, units, sharing, pause, self.now);
        charged == ChargeOutcome::Accepted
    }

    /// Spends on an instance, whatever the quota says.
    pub fn spend(&mut self, idx: usize, units: u64) {
        let wide = quota(1, 1_000_000_000);
        let charged = self.nodes[idx].tables.quotas.charge(
            &workspace(),
            wide,
            units,
            PeerVisibility::default(),
            Duration::ZERO,
            self.now,
        );
        assert_eq!(charged, ChargeOutcome::Accepted);
    }

    /// What an instance believes to be left of the workspace's quota.
    pub fn left(&self, idx: usize) -> i64 {
        self.tables(idx).quotas.dump()[0].left
    }

    /// Requests that the others have at a target: as they are, and as an instance believes.
    pub fn others_load(&self, idx: usize, target: usize) -> (u32, u32) {
        let id = target_id(target);
        let others = self.nodes.iter().enumerate();
        let others = others.filter(|(other, node)| *other != idx && node.state == State::Runs);
        let real = others.map(|(_, node)| node.tables.own_in_flight(&id)).sum();
        let believed = self.tables(idx).peers.load(ShortHash::of(id.as_str()));
        (real, believed.requests)
    }

    /// The first instance whose belief of the others' requests is wrong, if any.
    pub fn first_error(&self) -> Option<String> {
        let runs = (0..self.nodes.len()).filter(|idx| self.runs(*idx));
        for idx in runs {
            for target in 0..TARGETS {
                let (real, believed) = self.others_load(idx, target);
                if real != believed {
                    return Some(format!("i{idx} at e{target}: {believed}, not {real}"));
                }
            }
        }
        None
    }

    /// Instances that another one takes for live.
    pub fn live_peers(&self, idx: usize) -> usize {
        self.tables(idx).peers.live(self.now).count()
    }

    pub fn run_ms(&mut self, ms: u64) {
        self.run(Duration::from_millis(ms));
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + TICK;
            self.deliver_due();
            for idx in 0..self.nodes.len() {
                if self.runs(idx) && self.nodes[idx].next_round <= self.now {
                    self.round(idx);
                }
            }
        }
    }

    fn round(&mut self, idx: usize) {
        let now = self.now;
        let node = &mut self.nodes[idx];
        node.next_round = now + ROUND;
        node.tables.sweep(now);
        for telling in node.tables.tell_round(now) {
            let packet = Packet::Exchange(telling.message);
            for to in telling.to {
                self.send(idx, to, &packet);
            }
        }
    }

    fn send(&mut self, idx: usize, to: SocketAddr, packet: &Packet) {
        let buf = packet.encode().unwrap();
        let node = &mut self.nodes[idx];
        node.bytes += u64::try_from(buf.len()).unwrap();
        let from = node.tables.me.gossip;
        let copies = 1 + u32::from(self.rng.random_bool(self.network.doubled));
        for _ in 0..copies {
            if self.rng.random_bool(self.network.loss) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(self.network.delay.clone()));
            self.sent += 1;
            let datagram = (from, to, buf.clone());
            let due = Reverse((self.now + delay, self.sent, datagram));
            self.underway.push(due);
        }
    }

    fn deliver_due(&mut self) {
        while let Some(Reverse((due, _, _))) = self.underway.peek()
            && *due <= self.now
        {
            let Some(Reverse((_, _, (from, to, buf)))) = self.underway.pop() else {
                return;
            };
            let Some(idx) = self.by_address.get(&to).copied() else {
                continue;
            };
            let sender = self.by_address.get(&from).copied();
            let cut = sender.is_some_and(|sender| self.is_cut(sender, idx));
            match self.nodes[idx].state {
                _ if cut => {}
                State::Runs => self.deliver(idx, from, &buf),
                State::Frozen => self.nodes[idx].held.push((from, buf)),
                State::Dead => {}
            }
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let pair = (from % self.domains, to % self.domains);
        self.cuts.contains(&pair)
    }

    fn deliver(&mut self, idx: usize, from: SocketAddr, buf: &[u8]) {
        let now = self.now;
        let node = &mut self.nodes[idx];
        node.bytes += u64::try_from(buf.len()).unwrap();
        let Ok(Packet::Exchange(message)) = Packet::decode(buf) else {
            return;
        };
        for answer in node.tables.take_message(message, from, now) {
            self.send(idx, from, &Packet::Exchange(answer));
        }
    }

    /// Puts a raw datagram in, as if it came from an address.
    pub fn inject(&mut self, idx: usize, from: SocketAddr, buf: &[u8]) {
        self.deliver(idx, from, buf);
    }

    /// Requests on random instances and targets.
    pub fn scatter(&mut self, requests: usize) {
        for _ in 0..requests {
            let idx = self.rng.random_range(0..self.nodes.len());
            let target = self.rng.random_range(0..TARGETS);
            if self.runs(idx) {
                self.load(idx, target, true);
            }
        }
    }

    pub fn draw_part(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    pub fn draw(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    /// Instances by failure domain.
    pub fn by_domain(&self) -> BTreeMap<usize, Vec<usize>> {
        let mut domains = BTreeMap::<usize, Vec<usize>>::new();
        for idx in 0..self.nodes.len() {
            domains.entry(idx % self.domains).or_default().push(idx);
        }
        domains
    }
}
