//! Fault injection for the fuzz tests: all kinds of faults, in any combination.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

use super::membership_cluster::{Cluster, Node, Traffic};
use super::membership_conditions::{Conditions, PlatformState};

/// Starts or ends a fault.
#[derive(Clone, Debug)]
pub enum Fault {
    Kill(usize),
    Start(usize),
    /// Killed and started again without any state.
    Restart(usize),
    Freeze(usize),
    /// Frozen while its read of the map is in flight.
    FreezeInCall(usize),
    /// Frozen, and a new incarnation is started under the same name.
    Replace(usize),
    Thaw(usize),
    Stop(usize),
    /// All messages from the first to the second are dropped.
    BlockLink(usize, usize),
    /// All messages from and to the instance are dropped.
    Isolate(usize),
    IsolateFromPlatform(usize),
    Network {
        loss_percent: u8,
        duplicated_percent: u8,
        max_delay_ms: u64,
    },
    Platform(PlatformState),
    Heal,
    None,
}

/// A fault and how long the cluster runs after it.
#[derive(Clone, Debug)]
pub struct Step {
    pub fault: Fault,
    pub then_run_ms: u64,
}

/// The initial conditions of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub instances: usize,
    /// Determines clocks, delays and losses.
    pub seed: u64,
    /// Whether all instances are active before the first fault; otherwise the first faults occur
    /// during the start.
    pub starts_settled: bool,
    /// Whether instances are notified of changes of the map object.
    pub has_watch: bool,
}

impl Plan {
    pub fn cluster(self) -> Cluster {
        let mut cluster = Cluster::started(self.instances, self.seed);
        cluster.has_watch = self.has_watch;
        cluster
    }
}

/// The reference model. It has no state that changes: any fault may occur at any time.
#[derive(Debug)]
pub struct Faults;

impl ReferenceStateMachine for Faults {
    type State = Plan;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Plan> {
        let starts_settled = prop::bool::weighted(0.7);
        // Not shrunk, because the generated faults refer to this number of instances.
        let instances = (3..=5_usize).no_shrink();
        (instances, any::<u64>(), starts_settled, any::<bool>())
            .prop_map(|(instances, seed, starts_settled, has_watch)| Plan {
                instances,
                seed,
                starts_settled,
                has_watch,
            })
            .boxed()
    }

    fn transitions(state: &Plan) -> BoxedStrategy<Step> {
        let then_run_ms = prop_oneof![
            2 => 0..60_u64,
            2 => 60..600_u64,
            3 => 600..2_500_u64,
            1 => 2_500..6_000_u64,
        ];
        (fault(state.instances), then_run_ms)
            .prop_map(|(fault, then_run_ms)| Step { fault, then_run_ms })
            .boxed()
    }

    fn apply(state: Plan, _transition: &Step) -> Plan {
        state
    }
}

fn fault(instances: usize) -> BoxedStrategy<Fault> {
    let instance = || 0..instances;
    prop_oneof![
        3 => instance().prop_map(Fault::Kill),
        4 => instance().prop_map(Fault::Start),
        2 => instance().prop_map(Fault::Restart),
        2 => instance().prop_map(Fault::Freeze),
        2 => instance().prop_map(Fault::FreezeInCall),
        2 => instance().prop_map(Fault::Replace),
        3 => instance().prop_map(Fault::Thaw),
        1 => instance().prop_map(Fault::Stop),
        3 => (instance(), instance()).prop_map(|(from, to)| Fault::BlockLink(from, to)),
        2 => instance().prop_map(Fault::Isolate),
        2 => instance().prop_map(Fault::IsolateFromPlatform),
        2 => network(),
        3 => platform().prop_map(Fault::Platform),
        2 => Just(Fault::Heal),
        1 => Just(Fault::None),
    ]
    .boxed()
}

fn network() -> impl Strategy<Value = Fault> {
    let max_delay_ms = prop_oneof![0..20_u64, 20..600_u64, 600..4_000_u64];
    (0..50_u8, 0..50_u8, max_delay_ms).prop_map(
        |(loss_percent, duplicated_percent, max_delay_ms)| Fault::Network {
            loss_percent,
            duplicated_percent,
            max_delay_ms,
        },
    )
}

fn platform() -> impl Strategy<Value = PlatformState> {
    prop_oneof![
        Just(PlatformState::Healthy),
        Just(PlatformState::Unavailable),
        Just(PlatformState::Hanging),
        Just(PlatformState::Slow),
        Just(PlatformState::LosesResponses),
    ]
}

impl Cluster {
    /// Applies the fault of `step` and runs the cluster for its duration.
    pub fn apply_step(&mut self, step: &Step) {
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
            Fault::BlockLink(from, to) => self.block_link(from, to),
            Fault::Isolate(node) => self.isolate(node),
            Fault::IsolateFromPlatform(node) => self.nodes[node].is_isolated_from_platform = true,
            Fault::Network {
                loss_percent,
                duplicated_percent,
                max_delay_ms,
            } => {
                self.conditions = Conditions {
                    loss_percent,
                    duplicated_percent,
                    max_delay_ms,
                    ..self.conditions
                }
            }
            Fault::Platform(state) => self.conditions.platform = state,
            Fault::Heal => self.heal(),
            Fault::None => {}
        }
        self.run(step.then_run_ms);
    }

    /// Freezes the running incarnation and starts a new one under the same name.
    fn replace(&mut self, node: usize) {
        let node_state = &mut self.nodes[node];
        if node_state.process.is_none() {
            return;
        }
        let old = Node {
            id: node_state.id.clone(),
            clock: node_state.clock,
            process: node_state.process.take(),
            incarnations: 0,
            is_frozen: true,
            held_inputs: std::mem::take(&mut node_state.held_inputs),
            is_isolated_from_platform: false,
        };
        self.nodes.push(old);
        self.traffic.push(Traffic::default());
        self.start(node);
    }

    /// Freezes an instance while its read of the map is in flight.
    fn freeze_in_call(&mut self, node: usize) {
        self.send_map_hint(node);
        self.freeze(node);
    }

    fn isolate(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            self.block_link(node, other);
            self.block_link(other, node);
        }
    }
}
