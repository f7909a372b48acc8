//! Several `Membership`s in virtual time, with a network and a platform that can fail.

use std::collections::{BTreeMap, VecDeque};

use bluebellstage_core::membership::Membership;
use bluebellstage_core::{
    FailureDomain, Incarnation, InstanceId, Member, MemberRef, MemberState, Ownership,
    OwnershipKey, Revision, Time, Tuning, WorkspaceId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::membership_net::{Arrival, Input};
use super::membership_platform::FakePlatform;
use super::membership_weather::{Clock, MS, Weather};

/// Time between two ticks of an instance.
pub const TICK: u64 = 50 * MS;

/// Incarnations are drawn from all 64 bits; a large one has the usual size on the wire.
const LIVES: u64 = 1 << 60;

/// Whether an instance acts as home of a key, now and with a lease until some time.
pub type Rule = fn(&Ownership, Time, Time, &OwnershipKey) -> bool;

/// One running life.
#[derive(Debug)]
pub struct Life {
    pub membership: Membership,
    pub incarnation: Incarnation,
    pub started: u64,
    pub stopping: Option<u64>,
    /// T after the latest answer of the platform to a read; only a naive rule goes by it.
    pub leased_until: Time,
}

/// One instance, running or not.
#[derive(Debug)]
pub struct Node {
    pub id: InstanceId,
    pub clock: Clock,
    pub life: Option<Life>,
    pub lives: u64,
    pub frozen: bool,
    pub held: VecDeque<Input>,
    pub cut_from_platform: bool,
}

/// What was sent so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    /// As JSON.
    pub bytes: u64,
    /// Heartbeats as bincode with variable-width integers.
    pub binary_bytes: u64,
    pub platform_calls: u64,
}

/// The instances, what lies between them and the virtual time.
#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub platform: FakePlatform,
    pub weather: Weather,
    pub keys: Vec<OwnershipKey>,
    pub traffic: Vec<Traffic>,
    /// Sizes are counted only where wanted, because counting is slow.
    pub count_bytes: bool,
    pub watch: bool,
    /// By which rule instances act.
    pub rule: Rule,
    /// Two acting homes end the run; else the first such moment is only noted.
    pub is_strict: bool,
    pub violation: Option<String>,
    cfg: Tuning,
    /// Nodes from here on are former lives under a name that has a new one.
    count: usize,
    pub cuts: Vec<(usize, usize)>,
    pub queue: BTreeMap<(u64, u64), Arrival>,
    pub next: u64,
    pub rng: ChaCha8Rng,
    pub homes: BTreeMap<Revision, Vec<Option<InstanceId>>>,
}

impl World {
    /// Instances that are not started yet; `seed` decides clocks, delays and losses.
    fn new(count: usize, seed: u64, cfg: Tuning) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..count)
            .map(|index| Node {
                id: instance(index),
                clock: Clock {
                    offset: rng.random_range(1..1_000_000_000),
                    ppm: rng.random_range(-12_000..=12_000),
                },
                life: None,
                lives: 0,
                frozen: false,
                held: VecDeque::new(),
                cut_from_platform: false,
            })
            .collect();
        Self {
            now: 0,
            nodes,
            platform: FakePlatform::default(),
            weather: Weather::default(),
            keys: (0..24).map(key).collect(),
            traffic: vec![Traffic::default(); count],
            count_bytes: false,
            watch: true,
            rule: |own, now, _leased_until, key| own.may_act(now, key),
            is_strict: true,
            violation: None,
            cfg,
            count,
            cuts: Vec::new(),
            queue: BTreeMap::new(),
            next: 0,
            rng,
            homes: BTreeMap::new(),
        }
    }

    /// Instances that all start at once.
    pub fn started(count: usize, seed: u64) -> Self {
        let mut world = Self::new(count, seed, Tuning::default());
        for node in 0..count {
            world.start(node);
        }
        world
    }

    pub fn start(&mut self, node: usize) {
        if self.nodes[node].life.is_some() {
            return;
        }
        let now = self.now;
        let slot = &mut self.nodes[node];
        slot.lives += 1;
        slot.frozen = false;
        slot.held.clear();
        let incarnation = Incarnation(LIVES + slot.lives * 1_000 + node as u64);
        let me = member(&slot.id, incarnation, node);
        let life = me.member_ref();
        let membership = Membership::new(&self.cfg, me, slot.clock.read(now));
        slot.life = Some(Life {
            membership,
            incarnation,
            started: now,
            stopping: None,
            leased_until: Time(0),
        });
        self.platform.note_life(now, &life, true);
        let first = now + self.rng.random_range(0..TICK);
        self.enqueue(
            first,
            Arrival::At {
                node,
                life: Some(incarnation),
                input: Input::Tick,
            },
        );
    }

    pub fn kill(&mut self, node: usize) {
        let Some(life) = self.nodes[node].life.take() else {
            return;
        };
        self.nodes[node].held.clear();
        self.nodes[node].frozen = false;
        let life = MemberRef {
            id: self.nodes[node].id.clone(),
            incarnation: life.incarnation,
        };
        self.platform.note_life(self.now, &life, false);
    }

    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].frozen = self.nodes[node].life.is_some();
    }

    /// Lets all lives of an instance go on.
    pub fn thaw(&mut self, node: usize) {
        let id = self.nodes[node].id.clone();
        for node in 0..self.nodes.len() {
            if self.nodes[node].id == id {
                self.thaw_one(node);
            }
        }
    }

    /// Lets a frozen life go on: what it could act on is looked at before anything it missed
    /// reaches it.
    fn thaw_one(&mut self, node: usize) {
        if !self.nodes[node].frozen {
            return;
        }
        self.check();
        self.nodes[node].frozen = false;
        while let Some(input) = self.nodes[node].held.pop_front() {
            self.step(node, input);
            self.check();
        }
        self.schedule_tick(node);
    }

    pub fn stop(&mut self, node: usize) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        let local = slot.clock.read(now);
        if let Some(life) = &mut slot.life {
            life.membership.stop(local);
            life.stopping.get_or_insert(now);
        }
    }

    /// Loses everything that `from` sends to `to`.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.push((from, to));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.weather = Weather::default();
        for node in 0..self.nodes.len() {
            self.nodes[node].cut_from_platform = false;
            self.thaw_one(node);
        }
    }

    /// Runs on for so many milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis * MS;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let arrival = entry.remove();
            self.check_starts(at);
            self.now = self.now.max(at);
            self.arrive(arrival);
            self.check();
        }
        self.check_starts(end);
        self.now = end;
    }

    /// Runs until every key has an acting home and every running instance is active; gives the
    /// milliseconds that took, or panics after `limit`.
    pub fn run_until_settled(&mut self, limit: u64) -> u64 {
        self.run_until(limit, "every key has a home", |world| {
            world.all_active() && world.orphans() == 0
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
        self.nodes.iter().filter(|node| node.life.is_some()).count()
    }

    /// Ends all faults, then runs until every key has its home; gives the milliseconds of the
    /// latter, or panics after `limit`.
    pub fn recover(&mut self, limit: u64) -> u64 {
        self.heal();
        self.run(100);
        for old in self.count..self.nodes.len() {
            self.kill(old);
        }
        self.run_until(limit, "planned stops end", |world| !world.is_stopping());
        if self.running() == 0 {
            self.start(0);
        }
        self.run_until_settled(limit)
    }

    /// Whether a planned stop is under way.
    fn is_stopping(&self) -> bool {
        let mut lives = self.nodes.iter().filter_map(|node| node.life.as_ref());
        lives.any(|life| life.stopping.is_some())
    }

    fn all_active(&self) -> bool {
        self.nodes.iter().take(self.count).all(|node| {
            node.life.as_ref().is_none_or(|life| {
                let own = life.membership.ownership();
                life.stopping.is_none()
                    && own.is_member()
                    && own
                        .map
                        .member(&node.id)
                        .is_some_and(|me| me.state == MemberState::Active)
                    && own.has_lease(node.clock.read(self.now))
            })
        })
    }

    /// How many keys have no acting home.
    pub fn orphans(&self) -> usize {
        let acting = self.acting();
        acting.iter().filter(|homes| homes.is_empty()).count()
    }

    pub fn describe(&self) -> String {
        let mut text = format!(
            "at {} ms, {} keys without home",
            self.now / MS,
            self.orphans()
        );
        for node in &self.nodes {
            let line = match &node.life {
                None => format!("\n{}: not running", node.id),
                Some(life) => {
                    let own = life.membership.ownership();
                    let past: Vec<_> = own.map.history.iter().map(|p| p.revision.0).collect();
                    let members: Vec<_> = own
                        .map
                        .members
                        .iter()
                        .map(|m| format!("{} {:?}", m.member_ref(), m.state))
                        .collect();
                    format!(
                        "\n{}#{:x}{}: map {} of {members:?}, past {past:?}, standing {} adopted {:?}",
                        node.id,
                        life.incarnation.0,
                        if node.frozen { " frozen" } else { "" },
                        own.revision(),
                        own.has_lease(node.clock.read(self.now)),
                        own.adopted
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
