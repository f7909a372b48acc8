//! A simulated fleet that exchanges state in virtual time. Its network loses, duplicates, delays
//! and blocks datagrams, and its instances fail, are suspended and restart. It runs the real state
//! of instances.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::time::Duration;

use bluebellstage_core::{
    FailureDomain, Incarnation, InstanceId, Revision, TargetId, Time, WorkspaceId,
};
use bluebellstage_gateway::decide::config::Quota;
use bluebellstage_gateway::decide::exchange::{Message, ROUND_INTERVAL};
use bluebellstage_gateway::decide::peers::{Member, Strength};
use bluebellstage_gateway::decide::quota::{ChargeOutcome, PeerVisibility};
use bluebellstage_gateway::decide::registry::Registry;
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use bluebellstage_gateway::decide::retry_budget::RetryBudget;
use bluebellstage_gateway::decide::status::Role;
use bluebellstage_gateway::decide::streams::origins::OriginMessage;
use bluebellstage_gateway::decide::tables::Tables;
use bluebellstage_gateway::decide::target::Target;
use bluebellstage_gateway::packet::Packet;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::records::Records;
use super::{at, config, inform, member, quota, software, target};

/// Step of the virtual time.
const TICK: Duration = Duration::from_millis(5);
/// Origins in one datagram, which has room for them.
const RECORDS_PER_DATAGRAM: usize = 100;
/// Time in which the store responds, and after which a call without a response has failed.
const STORE_RESPONSE_TIME: Duration = Duration::from_millis(5);
const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of targets.
pub const TARGETS: usize = 20;
/// The workspace whose spending is counted.
const WORKSPACE: &str = "north";

/// Behaviour of the network.
#[derive(Clone, Debug)]
pub struct Network {
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplicated: f64,
    /// Delay in milliseconds.
    pub delay: Range<u64>,
}

impl Network {
    /// No datagram is lost.
    pub const RELIABLE: Self = Self {
        loss: 0.0,
        duplicated: 0.0,
        delay: 1..3,
    };
    /// One in twenty datagrams is lost, and one in twenty duplicated; they overtake each other.
    pub const UNRELIABLE: Self = Self {
        loss: 0.05,
        duplicated: 0.05,
        delay: 1..40,
    };
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Running,
    Suspended,
    Dead,
}

/// An instance.
#[derive(Debug)]
struct Node {
    tables: Tables,
    state: State,
    next_round: Time,
    /// When it looks after the records of streams next.
    next_records: Time,
    /// Datagrams that arrived while it was suspended.
    held: Vec<(SocketAddr, Vec<u8>)>,
    /// When the store's response to its question for other versions is due.
    confirmed_at: Option<Time>,
    /// Bytes of datagrams sent and received.
    bytes: u64,
    /// Bytes of received datagrams about the origins of streams.
    origin_bytes: u64,
}

type Datagram = (SocketAddr, SocketAddr, Vec<u8>);

/// The fleet.
#[derive(Debug)]
pub struct Fleet {
    nodes: Vec<Node>,
    by_address: HashMap<SocketAddr, usize>,
    in_transit: BinaryHeap<Reverse<(Time, u64, Datagram)>>,
    sent: u64,
    pub network: Network,
    /// Pairs of failure domains; datagrams from the first to the second are lost.
    pub partitions: Vec<(usize, usize)>,
    /// Instances without a path to the others, by the group within which they reach each other.
    cut_off: BTreeMap<usize, usize>,
    /// Instances without a path to the store.
    pub cut_from_store: BTreeSet<usize>,
    /// The records of streams in the store.
    pub records: Records,
    /// Software versions of the targets, in turn.
    versions: Vec<&'static str>,
    domains: usize,
    quota: Quota,
    incarnations: u64,
    rng: ChaCha8Rng,
    pub now: Time,
}

fn address(idx: usize, incarnation: u64) -> SocketAddr {
    let idx = u16::try_from(idx).unwrap();
    let [high, low] = idx.to_be_bytes();
    let incarnation = u8::try_from(incarnation % 200).unwrap();
    SocketAddr::from((Ipv4Addr::new(10, high, low, incarnation), 7_600))
}

pub fn target_id(idx: usize) -> TargetId {
    TargetId::try_from(&*format!("e{idx}")).unwrap()
}

fn workspace() -> WorkspaceId {
    WorkspaceId::try_from(WORKSPACE).unwrap()
}

impl Fleet {
    /// Creates a fleet of `count` instances in `domains` failure domains that start at once.
    pub fn start(count: usize, domains: usize, seed: u64) -> Self {
        Self::with_quota(count, domains, seed, quota(1, 1_000_000_000))
    }

    /// Creates a fleet whose targets have these software versions, in turn.
    pub fn of_versions(count: usize, domains: usize, seed: u64, versions: &[&'static str]) -> Self {
        let mut fleet = Self::start(count, domains, seed);
        for node in &mut fleet.nodes {
            node.tables.registry = Registry::default();
        }
        fleet.set_versions(versions);
        fleet
    }

    /// Creates a fleet with a quota of the workspace.
    pub fn with_quota(count: usize, domains: usize, seed: u64, quota: Quota) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            by_address: HashMap::new(),
            in_transit: BinaryHeap::new(),
            sent: 0,
            network: Network::RELIABLE,
            partitions: Vec::new(),
            cut_off: BTreeMap::new(),
            cut_from_store: BTreeSet::new(),
            records: Records::default(),
            versions: vec!["v1"],
            domains,
            quota,
            incarnations: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: at(0),
        };
        for idx in 0..count {
            let node = fleet.new_node(idx, 1);
            fleet.by_address.insert(address(idx, 1), idx);
            fleet.nodes.push(node);
        }
        let members = fleet.nodes.iter().map(|node| node.tables.local.clone());
        let members = members.collect::<Vec<_>>();
        for node in &mut fleet.nodes {
            for member in &members {
                if member.name != node.tables.local.name {
                    node.tables.peers.register(member.clone());
                }
            }
        }
        fleet
    }

    fn member(&self, idx: usize, incarnation: u64) -> Member {
        let is_large = idx / self.domains < 3;
        Member {
            incarnation: Incarnation(incarnation),
            gossip: address(idx, incarnation),
            failure_domain: FailureDomain::try_from(&*format!("d{}", idx % self.domains)).unwrap(),
            strength: Strength(if is_large { 50 } else { 12 }),
            name: InstanceId::try_from(&*format!("i{idx}")).unwrap(),
            ..member("i", "d")
        }
    }

    /// Fraction of the fleet that a restarted instance has not seen yet.
    fn undiscovered_fraction(&self) -> f64 {
        let count = u32::try_from(self.nodes.len()).unwrap();
        f64::from(count - 1) / f64::from(count)
    }

    fn new_node(&mut self, idx: usize, incarnation: u64) -> Node {
        let budget = RetryBudget {
            ratio: 0.2,
            window: Duration::from_secs(10),
            slack: 10.0,
        };
        let mut tables = Tables::new(self.member(idx, incarnation), budget);
        assert!(tables.adopt(config(1), self.now));
        inform(&mut tables);
        for idx in 0..TARGETS {
            let target = self.target(idx);
            tables.registry.put(target, Revision(1), self.now);
        }
        let undiscovered = if incarnation > 1 {
            self.undiscovered_fraction()
        } else {
            0.0
        };
        tables.started = self.now;
        tables
            .quotas
            .prepare(&workspace(), self.quota, undiscovered, self.now);
        let round = u64::try_from(ROUND_INTERVAL.as_millis()).unwrap();
        let offset = Duration::from_millis(self.rng.random_range(0..round));
        Node {
            tables,
            state: State::Running,
            next_round: self.now + offset,
            next_records: self.now + offset,
            held: Vec::new(),
            confirmed_at: None,
            bytes: 0,
            origin_bytes: 0,
        }
    }

    fn target(&self, idx: usize) -> Target {
        let version = self.versions[idx % self.versions.len()];
        Target {
            software: software(version),
            ..target(target_id(idx).as_str(), "writers")
        }
    }

    /// Changes the software versions of the targets, which all instances learn but those that are cut off from the
    /// others or suspended.
    pub fn set_versions(&mut self, versions: &[&'static str]) {
        self.versions = versions.to_vec();
        let targets = (0..TARGETS).map(|idx| self.target(idx));
        let targets = targets.collect::<Vec<_>>();
        let now = self.now;
        for (idx, node) in self.nodes.iter_mut().enumerate() {
            if self.cut_off.contains_key(&idx) || node.state == State::Suspended {
                continue;
            }
            let revision = Revision(node.tables.registry.revision().0 + 1);
            node.tables.registry.replace(targets.clone(), revision, now);
        }
    }

    /// Cuts instances off from all others, but not from each other.
    pub fn cut_from_peers(&mut self, group: &[usize]) {
        let first = group[0];
        self.cut_off.extend(group.iter().map(|idx| (*idx, first)));
    }

    /// Cuts instances off from all others and from the store, but not from each other.
    pub fn cut_off(&mut self, group: &[usize]) {
        self.cut_from_peers(group);
        self.cut_from_store.extend(group);
    }

    /// Gives an instance its paths to the others and to the store back. It has missed what they have learned.
    pub fn reconnect(&mut self, idx: usize) {
        self.cut_off.remove(&idx);
        self.cut_from_store.remove(&idx);
    }

    /// Kills all instances at the same moment.
    pub fn kill_all(&mut self) {
        for idx in 0..self.len() {
            self.kill(idx);
        }
    }

    /// Restarts all instances at the same moment.
    pub fn restart_all(&mut self) {
        for idx in 0..self.len() {
            self.restart(idx, false);
        }
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn tables(&self, idx: usize) -> &Tables {
        &self.nodes[idx].tables
    }

    /// Registers peers at an instance that are long gone.
    pub fn add_stale_registrations(&mut self, idx: usize, count: usize) {
        let first = self.nodes.len();
        for stale_idx in first..first + count {
            let stale = self.member(stale_idx, 1);
            self.nodes[idx].tables.peers.register(stale);
        }
    }

    pub fn tables_mut(&mut self, idx: usize) -> &mut Tables {
        &mut self.nodes[idx].tables
    }

    pub fn is_running(&self, idx: usize) -> bool {
        self.nodes[idx].state == State::Running
    }

    /// Instances that relay.
    pub fn relays(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        let is_relay =
            |idx: &usize| self.is_running(*idx) && self.tables(*idx).exchange.role() == Role::Relay;
        all.filter(is_relay).collect()
    }

    /// Bytes of datagrams that an instance sent and received so far.
    pub fn bytes(&self, idx: usize) -> u64 {
        self.nodes[idx].bytes
    }

    /// Bytes of datagrams about the origins of streams that an instance received so far.
    pub fn origin_bytes(&self, idx: usize) -> u64 {
        self.nodes[idx].origin_bytes
    }

    pub fn kill(&mut self, idx: usize) {
        self.nodes[idx].state = State::Dead;
        self.nodes[idx].held.clear();
    }

    pub fn suspend(&mut self, idx: usize) {
        if self.is_running(idx) {
            self.nodes[idx].state = State::Suspended;
        }
    }

    pub fn resume(&mut self, idx: usize) {
        if self.nodes[idx].state != State::Suspended {
            return;
        }
        self.nodes[idx].state = State::Running;
        for (from, buf) in std::mem::take(&mut self.nodes[idx].held) {
            self.deliver(idx, from, &buf);
        }
    }

    /// Restarts an instance, at another address if `moved`. It knows the registered peers and
    /// announces itself to all.
    pub fn restart(&mut self, idx: usize, moved: bool) {
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let former = self.nodes[idx].tables.local.clone();
        let others = self.nodes.iter().map(|node| node.tables.local.clone());
        let others = others.collect::<Vec<_>>();
        let mut node = self.new_node(idx, incarnation);
        if !moved {
            node.tables.local.gossip = former.gossip;
        }
        let local = node.tables.local.clone();
        for member in others {
            if member.name != local.name {
                node.tables.peers.register(member);
            }
        }
        self.by_address.remove(&former.gossip);
        self.by_address.insert(local.gossip, idx);
        self.nodes[idx] = node;
        for other in 0..self.nodes.len() {
            let to = self.nodes[other].tables.local.gossip;
            let message = Message::MemberInfo(Box::new(local.clone()));
            self.send(idx, to, &Packet::Exchange(message));
        }
    }

    /// Adds a request of an instance at a target, or removes one.
    pub fn change_load(&mut self, idx: usize, target: usize, add: bool) {
        let now = self.now;
        let tables = &mut self.nodes[idx].tables;
        if add {
            tables.start_request(&target_id(target), now);
        } else {
            tables.end_request(&target_id(target));
        }
    }

    /// Charges a request on an instance. Returns false if it is rejected.
    pub fn charge(&mut self, idx: usize, limit: Quota, units: u64) -> bool {
        let tables = &mut self.nodes[idx].tables;
        let sharing = PeerVisibility {
            silent_fraction: tables.unknown_spending_fraction(self.now),
            staleness: tables.update_age(self.now),
        };
        let quotas = &mut tables.quotas;
        let max_wait = Duration::ZERO;
        let charged = quotas.charge(&workspace(), limit, units, sharing, max_wait, self.now);
        charged == ChargeOutcome::Accepted
    }

    /// Spends units on an instance regardless of the quota.
    pub fn spend(&mut self, idx: usize, units: u64) {
        let large_quota = quota(1, 1_000_000_000);
        let charged = self.nodes[idx].tables.quotas.charge(
            &workspace(),
            large_quota,
            units,
            PeerVisibility::default(),
            Duration::ZERO,
            self.now,
        );
        assert_eq!(charged, ChargeOutcome::Accepted);
    }

    /// What remains of the workspace's quota from the instance's point of view.
    pub fn remaining(&self, idx: usize) -> i64 {
        self.tables(idx).quotas.dump()[0].left
    }

    /// Requests of all other instances at a target: the real number, and the one that the instance
    /// knows.
    pub fn others_load(&self, idx: usize, target: usize) -> (u32, u32) {
        let id = target_id(target);
        let others = self.nodes.iter().enumerate();
        let others = others.filter(|(other, node)| *other != idx && node.state == State::Running);
        let real = others
            .map(|(_, node)| node.tables.local_in_flight(&id))
            .sum();
        let known = self.tables(idx).peers.load(ShortHash::of(id.as_str()));
        (real, known.requests)
    }

    /// Describes the first instance with a wrong number of requests of the others, if any.
    pub fn first_error(&self) -> Option<String> {
        let runs = (0..self.nodes.len()).filter(|idx| self.is_running(*idx));
        for idx in runs {
            for target in 0..TARGETS {
                let (real, known) = self.others_load(idx, target);
                if real != known {
                    return Some(format!("i{idx} at e{target}: {known}, not {real}"));
                }
            }
        }
        None
    }

    /// Number of peers that an instance considers live.
    pub fn live_peers(&self, idx: usize) -> usize {
        self.tables(idx).peers.live(self.now).count()
    }

    /// Whether an instance considers another one live.
    pub fn considers_live(&self, idx: usize, other: usize) -> bool {
        let name = &self.tables(other).local.name;
        self.tables(idx).peers.is_live(name, self.now)
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
                if self.is_running(idx) && self.nodes[idx].next_round <= self.now {
                    self.round(idx);
                }
                if self.is_running(idx) {
                    self.confirm(idx);
                }
                if self.is_running(idx) && self.nodes[idx].next_records <= self.now {
                    let node = &mut self.nodes[idx];
                    let is_reached = !self.cut_from_store.contains(&idx);
                    node.next_records = self.records.serve(&mut node.tables, is_reached, self.now);
                }
            }
        }
    }

    /// Lets an instance ask the store for the versions of targets, which responds if it is reached.
    fn confirm(&mut self, idx: usize) {
        let now = self.now;
        let is_reached = !self.records.is_away && !self.cut_from_store.contains(&idx);
        let response_time = if is_reached {
            STORE_RESPONSE_TIME
        } else {
            STORE_TIMEOUT
        };
        let tables = &mut self.nodes[idx].tables;
        if tables.begin_confirmation(now).is_some() {
            self.nodes[idx].confirmed_at = Some(now + response_time);
        }
        let is_due = self.nodes[idx].confirmed_at.is_some_and(|due| due <= now);
        if !is_due {
            return;
        }
        let targets = (0..TARGETS).map(|target| self.target(target));
        let targets = targets.collect::<Vec<_>>();
        let node = &mut self.nodes[idx];
        node.confirmed_at = None;
        if is_reached {
            node.tables.record_confirmed(targets.iter(), now);
        } else {
            node.tables.record_confirmation_failed(now);
        }
    }

    fn round(&mut self, idx: usize) {
        let now = self.now;
        let node = &mut self.nodes[idx];
        node.next_round = now + ROUND_INTERVAL;
        node.tables.sweep(now);
        for telling in node.tables.exchange_round(now) {
            let packet = Packet::Exchange(telling.message);
            for to in telling.to {
                self.send(idx, to, &packet);
            }
        }
        for outgoing in self.nodes[idx].tables.replicate_origins(now) {
            for records in outgoing.records.chunks(RECORDS_PER_DATAGRAM) {
                let copy = OriginMessage::Copy(records.to_vec());
                self.send(idx, outgoing.to, &Packet::StreamOrigins(copy));
            }
        }
    }

    pub fn send(&mut self, idx: usize, to: SocketAddr, packet: &Packet) {
        let buf = packet.encode().unwrap();
        let node = &mut self.nodes[idx];
        node.bytes += u64::try_from(buf.len()).unwrap();
        let from = node.tables.local.gossip;
        let copies = 1 + u32::from(self.rng.random_bool(self.network.duplicated));
        for _ in 0..copies {
            if self.rng.random_bool(self.network.loss) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(self.network.delay.clone()));
            self.sent += 1;
            let datagram = (from, to, buf.clone());
            let due = Reverse((self.now + delay, self.sent, datagram));
            self.in_transit.push(due);
        }
    }

    fn deliver_due(&mut self) {
        while let Some(Reverse((due, _, _))) = self.in_transit.peek()
            && *due <= self.now
        {
            let Some(Reverse((_, _, (from, to, buf)))) = self.in_transit.pop() else {
                return;
            };
            let Some(idx) = self.by_address.get(&to).copied() else {
                continue;
            };
            let sender = self.by_address.get(&from).copied();
            let partitioned = sender.is_some_and(|sender| self.is_partitioned(sender, idx));
            match self.nodes[idx].state {
                _ if partitioned => {}
                State::Running => self.deliver(idx, from, &buf),
                State::Suspended => self.nodes[idx].held.push((from, buf)),
                State::Dead => {}
            }
        }
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        if self.cut_off.get(&from) != self.cut_off.get(&to) {
            return true;
        }
        let pair = (from % self.domains, to % self.domains);
        self.partitions.contains(&pair)
    }

    fn deliver(&mut self, idx: usize, from: SocketAddr, buf: &[u8]) {
        let now = self.now;
        let node = &mut self.nodes[idx];
        node.bytes += u64::try_from(buf.len()).unwrap();
        match Packet::decode(buf) {
            Ok(Packet::Exchange(message)) => {
                for response in node.tables.receive_message(message, from, now) {
                    self.send(idx, from, &Packet::Exchange(response));
                }
            }
            Ok(Packet::StreamOrigins(message)) => {
                node.origin_bytes += u64::try_from(buf.len()).unwrap();
                if let Some(response) = node.tables.receive_origins(message, from, now) {
                    self.send(idx, from, &Packet::StreamOrigins(response));
                }
            }
            _ => {}
        }
    }

    /// Delivers a raw datagram, as if it came from an address.
    pub fn inject(&mut self, idx: usize, from: SocketAddr, buf: &[u8]) {
        self.deliver(idx, from, buf);
    }

    /// Adds requests of random instances at random targets.
    pub fn add_random_requests(&mut self, requests: usize) {
        for _ in 0..requests {
            let idx = self.rng.random_range(0..self.nodes.len());
            let target = self.rng.random_range(0..TARGETS);
            if self.is_running(idx) {
                self.change_load(idx, target, true);
            }
        }
    }

    pub fn random_fraction(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    pub fn random_below(&mut self, below: usize) -> usize {
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
