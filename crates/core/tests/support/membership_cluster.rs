//! Simulates several `Membership`s in virtual time, with a network and a platform that can fail.

use std::collections::{BTreeMap, VecDeque};

use bluebellstage_core::membership::Membership;
use bluebellstage_core::{
    FailureDomain, Incarnation, InstanceId, Member, MemberRef, MemberState, Ownership,
    OwnershipKey, Revision, Time, Tuning, WorkspaceId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::membership_conditions::{Clock, Conditions, MS};
use super::membership_net::{Arrival, Input};
use super::membership_platform::FakePlatform;

/// Interval between the ticks of an instance, in microseconds.
pub const TICK_INTERVAL: u64 = 50 * MS;

/// Real incarnations are random 64-bit numbers; a large number has their typical size on the wire.
const INCARNATION_BASE: u64 = 1 << 60;

/// Whether an instance acts as the owner of a key. Arguments: its view, its local time, the expiry
/// of a lease in the platform, and the key.
pub type Rule = fn(&Ownership, Time, Time, &OwnershipKey) -> bool;

/// One running incarnation of an instance.
#[derive(Debug)]
pub struct Process {
    pub membership: Membership,
    pub incarnation: Incarnation,
    pub started_at: u64,
    /// When a planned stop began.
    pub stopping_since: Option<u64>,
    /// One lease duration after the platform's latest response to a read; only a naive rule uses
    /// it.
    pub platform_lease_until: Time,
}

/// One instance, running or not.
#[derive(Debug)]
pub struct Node {
    pub id: InstanceId,
    pub clock: Clock,
    pub process: Option<Process>,
    /// Number of incarnations started so far.
    pub incarnations: u64,
    pub is_frozen: bool,
    /// Inputs that arrived while the process was frozen.
    pub held_inputs: VecDeque<Input>,
    pub is_isolated_from_platform: bool,
}

/// Traffic that an instance sent so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    /// Size of the messages as JSON.
    pub json_bytes: u64,
    /// Size of the heartbeats as bincode with variable-width integers.
    pub bincode_bytes: u64,
    pub platform_calls: u64,
}

/// A simulated cluster: instances, network, platform and virtual time.
#[derive(Debug)]
pub struct Cluster {
    /// Virtual time in microseconds.
    pub now: u64,
    pub nodes: Vec<Node>,
    pub platform: FakePlatform,
    pub conditions: Conditions,
    pub keys: Vec<OwnershipKey>,
    pub traffic: Vec<Traffic>,
    /// Whether message sizes are counted, which is slow.
    pub count_bytes: bool,
    /// Whether instances are notified of changes of the map object.
    pub has_watch: bool,
    /// The rule by which instances act as owners.
    pub rule: Rule,
    /// Whether two acting owners of a key end the run. Otherwise only the first such moment is
    /// recorded.
    pub is_strict: bool,
    pub violation: Option<String>,
    cfg: Tuning,
    /// Number of instances. Nodes from this index on are former incarnations that were replaced
    /// under the same name.
    count: usize,
    pub blocked_links: Vec<(usize, usize)>,
    pub queue: BTreeMap<(u64, u64), Arrival>,
    pub next_sequence: u64,
    pub rng: ChaCha8Rng,
    /// The owner of each key by map revision.
    pub owners: BTreeMap<Revision, Vec<Option<InstanceId>>>,
}

impl Cluster {
    /// Creates instances that are not started yet; `seed` determines clocks, delays and losses.
    fn new(count: usize, seed: u64, cfg: Tuning) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..count)
            .map(|index| Node {
                id: instance(index),
                clock: Clock {
                    offset: rng.random_range(1..1_000_000_000),
                    ppm: rng.random_range(-12_000..=12_000),
                },
                process: None,
                incarnations: 0,
                is_frozen: false,
                held_inputs: VecDeque::new(),
                is_isolated_from_platform: false,
            })
            .collect();
        Self {
            now: 0,
            nodes,
            platform: FakePlatform::default(),
            conditions: Conditions::default(),
            keys: (0..24).map(key).collect(),
            traffic: vec![Traffic::default(); count],
            count_bytes: false,
            has_watch: true,
            rule: |ownership, now, _platform_lease_until, key| ownership.may_act(now, key),
            is_strict: true,
            violation: None,
            cfg,
            count,
            blocked_links: Vec::new(),
            queue: BTreeMap::new(),
            next_sequence: 0,
            rng,
            owners: BTreeMap::new(),
        }
    }

    /// Creates instances that all start at the same time.
    pub fn started(count: usize, seed: u64) -> Self {
        let mut cluster = Self::new(count, seed, Tuning::default());
        for node in 0..count {
            cluster.start(node);
        }
        cluster
    }

    pub fn start(&mut self, node: usize) {
        if self.nodes[node].process.is_some() {
            return;
        }
        let now = self.now;
        let node_state = &mut self.nodes[node];
        node_state.incarnations += 1;
        node_state.is_frozen = false;
        node_state.held_inputs.clear();
        let incarnation =
            Incarnation(INCARNATION_BASE + node_state.incarnations * 1_000 + node as u64);
        let local = member(&node_state.id, incarnation, node);
        let member_ref = local.member_ref();
        let membership = Membership::new(&self.cfg, local, node_state.clock.read(now));
        node_state.process = Some(Process {
            membership,
            incarnation,
            started_at: now,
            stopping_since: None,
            platform_lease_until: Time(0),
        });
        self.platform.record_process(now, &member_ref, true);
        let first = now + self.rng.random_range(0..TICK_INTERVAL);
        self.enqueue(
            first,
            Arrival::At {
                node,
                incarnation: Some(incarnation),
                input: Input::Tick,
            },
        );
    }

    pub fn kill(&mut self, node: usize) {
        let Some(process) = self.nodes[node].process.take() else {
            return;
        };
        self.nodes[node].held_inputs.clear();
        self.nodes[node].is_frozen = false;
        let member_ref = MemberRef {
            id: self.nodes[node].id.clone(),
            incarnation: process.incarnation,
        };
        self.platform.record_process(self.now, &member_ref, false);
    }

    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].is_frozen = self.nodes[node].process.is_some();
    }

    /// Thaws all incarnations of an instance.
    pub fn thaw(&mut self, node: usize) {
        let id = self.nodes[node].id.clone();
        for node in 0..self.nodes.len() {
            if self.nodes[node].id == id {
                self.thaw_process(node);
            }
        }
    }

    /// Thaws a frozen process. Checks the owners before the process receives any input that it
    /// missed.
    fn thaw_process(&mut self, node: usize) {
        if !self.nodes[node].is_frozen {
            return;
        }
        self.check_single_owner();
        self.nodes[node].is_frozen = false;
        while let Some(input) = self.nodes[node].held_inputs.pop_front() {
            self.step(node, input);
            self.check_single_owner();
        }
        self.schedule_tick(node);
    }

    pub fn stop(&mut self, node: usize) {
        let now = self.now;
        let node_state = &mut self.nodes[node];
        let local = node_state.clock.read(now);
        if let Some(process) = &mut node_state.process {
            process.membership.stop(local);
            process.stopping_since.get_or_insert(now);
        }
    }

    /// Drops all messages that `from` sends to `to`.
    pub fn block_link(&mut self, from: usize, to: usize) {
        self.blocked_links.push((from, to));
    }

    /// Ends all faults; crashed instances stay down.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
        self.conditions = Conditions::default();
        for node in 0..self.nodes.len() {
            self.nodes[node].is_isolated_from_platform = false;
            self.thaw_process(node);
        }
    }

    /// Advances the virtual time by `millis` milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis * MS;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let arrival = entry.remove();
            self.check_activations(at);
            self.now = self.now.max(at);
            self.arrive(arrival);
            self.check_single_owner();
        }
        self.check_activations(end);
        self.now = end;
    }

    /// Runs until every key has an acting owner and every running instance is active. Returns the
    /// elapsed milliseconds; panics after `limit` milliseconds.
    pub fn run_until_settled(&mut self, limit: u64) -> u64 {
        self.run_until(limit, "every key has an owner", |cluster| {
            cluster.all_active() && cluster.unowned_keys() == 0
        })
    }

    pub fn run_until(&mut self, limit: u64, what: &str, done: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(
                self.now < start + limit * MS,
                "not within {limit} ms: {what}\n{}",
                self.describe()
            );
            self.run(10);
        }
        (self.now - start) / MS
    }

    pub fn running(&self) -> usize {
        self.nodes
            .iter()
            .filter(|node| node.process.is_some())
            .count()
    }

    /// Ends all faults, then runs until every key has its owner. Returns the milliseconds that the
    /// last phase took; panics if a phase takes longer than `limit` milliseconds.
    pub fn recover(&mut self, limit: u64) -> u64 {
        self.heal();
        self.run(100);
        for old in self.count..self.nodes.len() {
            self.kill(old);
        }
        self.run_until(limit, "planned stops end", |cluster| !cluster.is_stopping());
        if self.running() == 0 {
            self.start(0);
        }
        self.run_until_settled(limit)
    }

    /// Whether a planned stop is in progress.
    fn is_stopping(&self) -> bool {
        let mut processes = self.nodes.iter().filter_map(|node| node.process.as_ref());
        processes.any(|process| process.stopping_since.is_some())
    }

    fn all_active(&self) -> bool {
        self.nodes.iter().take(self.count).all(|node| {
            node.process.as_ref().is_none_or(|process| {
                let ownership = process.membership.ownership();
                process.stopping_since.is_none()
                    && ownership.is_member()
                    && ownership
                        .map
                        .member(&node.id)
                        .is_some_and(|entry| entry.state == MemberState::Active)
                    && ownership.has_lease(node.clock.read(self.now))
            })
        })
    }

    /// Returns the number of keys without an acting owner.
    pub fn unowned_keys(&self) -> usize {
        let acting_owners = self.acting_owners();
        acting_owners
            .iter()
            .filter(|owners| owners.is_empty())
            .count()
    }

    pub fn describe(&self) -> String {
        let mut text = format!(
            "at {} ms, {} keys without an owner",
            self.now / MS,
            self.unowned_keys()
        );
        for node in &self.nodes {
            let line = match &node.process {
                None => format!("\n{}: not running", node.id),
                Some(process) => {
                    let ownership = process.membership.ownership();
                    let past: Vec<_> = ownership.map.history.iter().map(|p| p.revision.0).collect();
                    let members: Vec<_> = ownership
                        .map
                        .members
                        .iter()
                        .map(|m| format!("{} {:?}", m.member_ref(), m.state))
                        .collect();
                    format!(
                        "\n{}#{:x}{}: map {} of {members:?}, past {past:?}, lease {} adopted {:?}",
                        node.id,
                        process.incarnation.0,
                        if node.is_frozen { " frozen" } else { "" },
                        ownership.revision(),
                        ownership.has_lease(node.clock.read(self.now)),
                        ownership
                            .adopted
                            .iter()
                            .map(|a| format!("{}:{}", a.member_ref, a.map))
                            .collect::<Vec<_>>(),
                    )
                }
            };
            text.push_str(&line);
        }
        text
    }
}

fn instance(index: usize) -> InstanceId {
    InstanceId::try_from(format!("i{index}").as_str()).expect("a legal name")
}

fn key(index: usize) -> OwnershipKey {
    let name = format!("w{index}");
    OwnershipKey::Workspace(WorkspaceId::try_from(name.as_str()).expect("a legal name"))
}

fn member(id: &InstanceId, incarnation: Incarnation, index: usize) -> Member {
    let port = 7_000 + u16::try_from(index).expect("few instances");
    let domain = format!("d{}", index % 3);
    Member {
        id: id.clone(),
        incarnation,
        failure_domain: FailureDomain::try_from(domain.as_str()).expect("a legal name"),
        caller_address: ([127, 0, 0, 1], port).into(),
        peer_address: ([127, 0, 0, 1], port + 1_000).into(),
        state: MemberState::Joining,
    }
}
