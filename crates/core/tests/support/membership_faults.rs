//! What the fuzz does to a world: faults of every kind, any of them at once.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

use super::membership_weather::{PlatformState, Weather};
use super::membership_world::{Node, Traffic, World};

/// One fault, or its end.
#[derive(Clone, Debug)]
pub enum Fault {
    Kill(usize),
    Start(usize),
    /// Killed and started again with nothing.
    Restart(usize),
    Freeze(usize),
    /// Frozen while its read of the map is on its way.
    FreezeInCall(usize),
    /// Frozen, and a new life started under its name.
    Replace(usize),
    Thaw(usize),
    Stop(usize),
    /// Nothing gets from the first to the second.
    Cut(usize, usize),
    /// Nothing gets from or to the instance.
    Isolate(usize),
    CutFromPlatform(usize),
    Network {
        loss: u8,
        doubled: u8,
        delay: u64,
    },
    Platform(PlatformState),
    Heal,
    None,
}

/// A fault and the milliseconds that pass after it.
#[derive(Clone, Debug)]
pub struct Step {
    pub fault: Fault,
    pub then: u64,
}

/// The beginning of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub instances: usize,
    /// Decides clocks, delays and losses.
    pub seed: u64,
    /// The first steps fall into the start itself.
    pub settled: bool,
    /// Instances are told of changes of the map object.
    pub watch: bool,
}

impl Plan {
    pub fn world(self) -> World {
        let mut world = World::started(self.instances, self.seed);
        world.watch = self.watch;
        world
    }
}

/// Faults need no model: any may come at any time.
#[derive(Debug)]
pub struct Faults;

impl ReferenceStateMachine for Faults {
    type State = Plan;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Plan> {
        let settled = prop::bool::weighted(0.7);
        // Not shrunk: the faults are made for this many instances.
        let instances = (3..=5_usize).no_shrink();
        (instances, any::<u64>(), settled, any::<bool>())
            .prop_map(|(instances, seed, settled, watch)| Plan {
                instances,
                seed,
                settled,
                watch,
            })
            .boxed()
    }

    fn transitions(state: &Plan) -> BoxedStrategy<Step> {
        let then = prop_oneof![
            2 => 0..60_u64,
            2 => 60..600_u64,
            3 => 600..2_500_u64,
            1 => 2_500..6_000_u64,
        ];
        (fault(state.instances), then)
            .prop_map(|(fault, then)| Step { fault, then })
            .boxed()
    }

    fn apply(state: Plan, _transition: &Step) -> Plan {
        state
    }
}

fn fault(instances: usize) -> BoxedStrategy<Fault> {
    let one = || 0..instances;
    prop_oneof![
        3 => one().prop_map(Fault::Kill),
        4 => one().prop_map(Fault::Start),
        2 => one().prop_map(Fault::Restart),
        2 => one().prop_map(Fault::Freeze),
        2 => one().prop_map(Fault::FreezeInCall),
        2 => one().prop_map(Fault::Replace),
        3 => one().prop_map(Fault::Thaw),
        1 => one().prop_map(Fault::Stop),
        3 => (one(), one()).prop_map(|(from, to)| Fault::Cut(from, to)),
        2 => one().prop_map(Fault::Isolate),
        2 => one().prop_map(Fault::CutFromPlatform),
        2 => network(),
        3 => platform().prop_map(Fault::Platform),
        2 => Just(Fault::Heal),
        1 => Just(Fault::None),
    ]
    .boxed()
}

fn network() -> impl Strategy<Value = Fault> {
    let delay = prop_oneof![0..20_u64, 20..600_u64, 600..4_000_u64];
    (0..50_u8, 0..50_u8, delay).prop_map(|(loss, doubled, delay)| Fault::Network {
        loss,
        doubled,
        delay,
    })
}

fn platform() -> impl Strategy<Value = PlatformState> {
    prop_oneof![
        Just(PlatformState::Well),
        Just(PlatformState::Away),
        Just(PlatformState::Hanging),
        Just(PlatformState::Slow),
        Just(PlatformState::LosesAnswers),
    ]
}

impl World {
    pub fn suffer(&mut self, step: &Step) {
        match step.fault {
            Fault::Kill(node) => self.kill(node),
            Fault::Start(node) => self.start(node),
            Fault::Restart(node) => {
                self.kill(node);
                self.start(node);
            }
            Fault::Freeze(node) => self.freeze(node),
            Fault::FreezeInCall(node) => self.freeze_in_call(node),
            Fault::Replace(node) => self.replace(node),
            Fault::Thaw(node) => self.thaw(node),
            Fault::Stop(node) => self.stop(node),
            Fault::Cut(from, to) => self.cut(from, to),
            Fault::Isolate(node) => self.isolate(node),
            Fault::CutFromPlatform(node) => self.nodes[node].cut_from_platform = true,
            Fault::Network {
                loss,
                doubled,
                delay,
            } => {
                self.weather = Weather {
                    loss,
                    doubled,
                    delay,
                    ..self.weather
                }
            }
            Fault::Platform(state) => self.weather.platform = state,
            Fault::Heal => self.heal(),
            Fault::None => {}
        }
        self.run(step.then);
    }

    /// Starts a new life under the name of one that is frozen from now on, but still there.
    fn replace(&mut self, node: usize) {
        let slot = &mut self.nodes[node];
        if slot.life.is_none() {
            return;
        }
        let old = Node {
            id: slot.id.clone(),
            clock: slot.clock,
            life: slot.life.take(),
            lives: 0,
            frozen: true,
            held: std::mem::take(&mut slot.held),
            cut_from_platform: false,
        };
        self.nodes.push(old);
        self.traffic.push(Traffic::default());
        self.start(node);
    }

    /// Freezes an instance whose read of the map is on its way.
    fn freeze_in_call(&mut self, node: usize) {
        self.hint(node);
        self.freeze(node);
    }

    fn isolate(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            self.cut(node, other);
            self.cut(other, node);
        }
    }
}
