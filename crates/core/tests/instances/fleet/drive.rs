//! The event loop: virtual time, deliveries, faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use bluebellstage_core::catalogue::ApplyOutcome;
use bluebellstage_core::{
    Action, ChangeId, Event, InstanceId, Notice, PlatformCall, RequestAction, RequestId, TargetId,
    TargetOrder, Time, Tuning,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::callers::Caller;
use super::engine::{FakeTarget, Run};
use super::network::Network;
use super::node::Node;
use super::platform::FakePlatform;
use super::{FleetBuilder, MILLIS};

const TICK: u64 = 50 * MILLIS;

/// Something that is going to happen.
#[derive(Clone, Debug)]
pub(super) enum Delivery {
    Tick {
        node: usize,
        life: u64,
    },
    Event {
        node: usize,
        life: u64,
        event: Event,
    },
    Call {
        node: usize,
        life: u64,
        call: PlatformCall,
        asked: Time,
    },
    SendOrder {
        node: usize,
        life: u64,
        order: TargetOrder,
    },
    Order {
        node: usize,
        life: u64,
        order: TargetOrder,
    },
    Dispatch {
        node: usize,
        life: u64,
        id: RequestId,
        action: RequestAction,
    },
    RunEnds {
        node: usize,
        life: u64,
        id: RequestId,
        target: TargetId,
        boot: u64,
    },
}

#[derive(Debug)]
pub(super) struct Due {
    at: u64,
    order: u64,
    delivery: Delivery,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Instances, targets, platform and network.
#[derive(Debug)]
pub struct Fleet {
    pub now: u64,
    pub platform: FakePlatform,
    pub network: Network,
    /// Longest time between a decision to send and the send, in microseconds.
    pub dispatch_delay: u64,
    pub nodes: Vec<Node>,
    pub targets: BTreeMap<TargetId, FakeTarget>,
    pub callers: BTreeMap<RequestId, Caller>,
    pub runs: Vec<Run>,
    pub outcomes: BTreeMap<ChangeId, ApplyOutcome>,
    /// When the outcomes were told.
    pub answered_at: BTreeMap<ChangeId, u64>,
    pub notices: Vec<(u64, InstanceId, Notice)>,
    pub(super) rng: ChaCha8Rng,
    /// Settings of instances that start from now on.
    pub cfg: Tuning,
    pub(super) lives: u64,
    pub(super) requests: u128,
    pub(super) queue: BinaryHeap<Reverse<Due>>,
    pub(super) order: u64,
    pub(super) held: Vec<Delivery>,
}

impl Fleet {
    pub(super) fn new(builder: FleetBuilder) -> Self {
        let mut fleet = Self {
            now: 0,
            platform: FakePlatform::new(builder.list_lag),
            network: Network::new(),
            dispatch_delay: 300,
            nodes: (0..builder.instances).map(Node::new).collect(),
            targets: BTreeMap::new(),
            callers: BTreeMap::new(),
            runs: Vec::new(),
            outcomes: BTreeMap::new(),
            answered_at: BTreeMap::new(),
            notices: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(builder.seed),
            cfg: builder.tuning,
            lives: 0,
            requests: 0,
            queue: BinaryHeap::new(),
            order: 0,
            held: Vec::new(),
        };
        for info in builder.targets {
            fleet.targets.insert(info.id.clone(), FakeTarget::new(info));
        }
        fleet.list_targets();
        for node in 0..fleet.nodes.len() {
            fleet.start(node);
        }
        fleet
    }

    pub fn run_for(&mut self, millis: u64) {
        let end = self.now + millis * MILLIS;
        while let Some(Reverse(due)) = self.queue.peek() {
            if due.at > end {
                break;
            }
            let Some(Reverse(due)) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(due.at);
            self.deliver(due.delivery);
        }
        self.now = end;
    }

    /// Runs until `done`, at most for `millis`; gives the milliseconds that it took.
    pub fn run_until(&mut self, millis: u64, mut done: impl FnMut(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now < start + millis * MILLIS {
            if done(self) {
                return Some((self.now - start) / MILLIS);
            }
            self.run_for(10);
        }
        done(self).then_some(millis)
    }

    pub fn until_ready(&mut self) {
        let ready = self.run_until(20_000, |fleet| {
            fleet.nodes.iter().all(|node| {
                node.instance
                    .as_ref()
                    .is_none_or(|instance| instance.is_ready(node.clock(fleet.now)))
            })
        });
        assert!(
            ready.is_some(),
            "the fleet is not ready after 20 s: {:?}",
            self.notices
        );
    }

    pub(super) fn schedule(&mut self, at: u64, delivery: Delivery) {
        self.order += 1;
        self.queue.push(Reverse(Due {
            at,
            order: self.order,
            delivery,
        }));
    }

    pub(super) fn later(&mut self, delivery: Delivery) {
        let (least, most) = self.network.delay;
        let delay = self.rng.random_range(least..=most);
        self.schedule(self.now + delay, delivery);
    }

    pub(super) fn deliver(&mut self, delivery: Delivery) {
        if self.is_held(&delivery) {
            self.held.push(delivery);
            return;
        }
        match delivery {
            Delivery::Tick { node, life } => self.tick(node, life),
            Delivery::Event { node, life, event } => self.event(node, life, event),
            Delivery::Call {
                node,
                life,
                call,
                asked,
            } => self.platform_call(node, life, call, asked),
            Delivery::SendOrder { node, life, order } => self.send_order(node, life, order),
            Delivery::Order { node, life, order } => self.order(node, life, order),
            Delivery::Dispatch {
                node,
                life,
                id,
                action,
            } => self.dispatch(node, life, id, &action),
            Delivery::RunEnds {
                node,
                life,
                id,
                target,
                boot,
            } => self.run_ends(node, life, id, &target, boot),
        }
    }

    /// What a frozen process would do itself waits until it thaws, and so does what it had decided
    /// and not sent.
    pub(super) fn is_held(&self, delivery: &Delivery) -> bool {
        match delivery {
            Delivery::Event {
                node,
                event: Event::Message { from, .. },
                ..
            } => {
                self.nodes[*node].frozen
                    || self
                        .nodes
                        .iter()
                        .any(|node| node.id == *from && node.frozen)
            }
            Delivery::Tick { node, .. }
            | Delivery::Event { node, .. }
            | Delivery::Call { node, .. }
            | Delivery::SendOrder { node, .. }
            | Delivery::Dispatch { node, .. } => self.nodes[*node].frozen,
            Delivery::Order { .. } | Delivery::RunEnds { .. } => false,
        }
    }

    pub(super) fn is_life(&self, node: usize, life: u64) -> bool {
        self.nodes[node].instance.is_some() && self.nodes[node].incarnation.0 == life
    }

    pub(super) fn tick(&mut self, node: usize, life: u64) {
        if self.is_life(node, life) {
            self.step(node, Event::Tick);
            self.schedule(self.now + TICK, Delivery::Tick { node, life });
        }
    }

    pub(super) fn event(&mut self, node: usize, life: u64, event: Event) {
        if self.is_life(node, life) {
            self.step(node, event);
        }
    }

    pub(super) fn step(&mut self, node: usize, event: Event) {
        let now = self.nodes[node].clock(self.now);
        let Some(instance) = self.nodes[node].instance.as_mut() else {
            return;
        };
        let actions = instance.step(now, event);
        for action in actions {
            self.act(node, action);
        }
        self.check_homes();
    }

    pub(super) fn act(&mut self, node: usize, action: Action) {
        let life = self.nodes[node].incarnation.0;
        match action {
            Action::Send { to, message } => {
                let from = self.nodes[node].id.clone();
                self.send(
                    &from,
                    &to,
                    &Event::Message {
                        from: from.clone(),
                        message,
                    },
                );
            }
            Action::Platform(call) => {
                let asked = self.nodes[node].clock(self.now);
                self.later(Delivery::Call {
                    node,
                    life,
                    call,
                    asked,
                });
            }
            Action::Order(order) => self.later(Delivery::SendOrder { node, life, order }),
            Action::Request { id, action } => self.request_action(node, life, id, action),
            Action::Applied { change, outcome } => {
                self.answered_at.insert(change.clone(), self.now);
                self.outcomes.insert(change, outcome);
            }
            Action::Notice(notice) => {
                let id = self.nodes[node].id.clone();
                self.notices.push((self.now, id, notice));
            }
            Action::Exit => {
                self.nodes[node].instance = None;
                self.nodes[node].ended = true;
                self.lose_connections(node);
                self.list_instances();
            }
        }
    }

    pub(super) fn send(&mut self, from: &InstanceId, to: &InstanceId, event: &Event) {
        let Some(node) = self.nodes.iter().position(|node| node.id == *to) else {
            return;
        };
        if !self.network.passes(from, to) || self.rng.random_range(0..1_000) < self.network.loss {
            return;
        }
        let copies = if self.rng.random_range(0..1_000) < self.network.doubled {
            2
        } else {
            1
        };
        for _copy in 0..copies {
            let life = self.nodes[node].incarnation.0;
            self.later(Delivery::Event {
                node,
                life,
                event: event.clone(),
            });
        }
    }
}
