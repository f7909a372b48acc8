//! Random failures, checked against the bound on every window and the sum of the shares.

#[path = "support/rates_cases.rs"]
mod rates_cases;
#[expect(dead_code, reason = "this test uses only some of the helpers")]
#[path = "support/rates_fleet.rs"]
mod rates_fleet;
#[path = "support/rates_membership.rs"]
mod rates_membership;
#[path = "support/rates_oracle.rs"]
mod rates_oracle;

use bluebellstage_core::{InstanceId, Tuning};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rates_fleet::{Fleet, Network, limits, workspace};
use rates_membership::instance;

const INSTANCES: usize = 4;
const WORKSPACES: usize = 2;

#[derive(Clone, Debug)]
enum Step {
    Request {
        node: usize,
        workspace_number: usize,
        charge: u64,
        count: u32,
    },
    GiveBack {
        node: usize,
        workspace_number: usize,
        percent: u64,
    },
    AdvanceTime(u64),
    Kill(usize),
    Freeze(usize, u64),
    Partition(usize, u64),
    DropFromMap(usize),
    Join(usize),
    Leave(usize),
    /// Requests at all instances at once that spend all tokens.
    Drain(usize),
    /// Removes a workspace and adds it again.
    RemoveAndAdd(usize, u64),
    SetLimits {
        workspace_number: usize,
        rate: u64,
        burst: u64,
        spread_ms: u64,
    },
    RemoveLimits {
        workspace_number: usize,
        spread_ms: u64,
    },
    Network {
        lost: u32,
        duplicated: u32,
        delay_ms: u64,
    },
}

#[derive(Clone, Debug)]
struct Setup {
    seed: u64,
    network: Network,
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = Setup;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Setup> {
        (any::<u64>(), 0..30_u32, 0..30_u32, 1..800_u64)
            .prop_map(|(seed, lost, duplicated, delay_ms)| Setup {
                seed,
                network: Network {
                    lost_percent: lost,
                    duplicated_percent: duplicated,
                    max_delay_ms: delay_ms,
                },
            })
            .boxed()
    }

    fn transitions(_state: &Setup) -> BoxedStrategy<Step> {
        let node = 0..INSTANCES;
        let workspace_number = 0..WORKSPACES;
        prop_oneof![
            12 => (node.clone(), workspace_number.clone(), 1..1_200_u64, 1..12_u32)
                .prop_map(|(node, workspace_number, charge, count)| Step::Request {
                    node,
                    workspace_number,
                    charge,
                    count,
                }),
            2 => (node.clone(), workspace_number.clone(), 3_000..9_000_u64)
                .prop_map(|(node, workspace_number, charge)| Step::Request {
                    node,
                    workspace_number,
                    charge,
                    count: 1,
                }),
            4 => (node.clone(), workspace_number.clone(), 0..=100_u64)
                .prop_map(|(node, workspace_number, percent)| Step::GiveBack {
                    node,
                    workspace_number,
                    percent,
                }),
            10 => (10..600_u64).prop_map(Step::AdvanceTime),
            2 => (1_500..4_000_u64).prop_map(Step::AdvanceTime),
            1 => node.clone().prop_map(Step::Kill),
            2 => (node.clone(), 50..5_000_u64)
                .prop_map(|(node, millis)| Step::Freeze(node, millis)),
            2 => (node.clone(), 50..9_000_u64)
                .prop_map(|(node, millis)| Step::Partition(node, millis)),
            3 => node.clone().prop_map(Step::DropFromMap),
            3 => node.clone().prop_map(Step::Join),
            1 => node.prop_map(Step::Leave),
            5 => workspace_number.clone().prop_map(Step::Drain),
            1 => (workspace_number.clone(), 0..300_u64)
                .prop_map(|(workspace_number, millis)| Step::RemoveAndAdd(workspace_number, millis)),
            1 => (workspace_number.clone(), 200..3_000_u64, 1_000..9_000_u64, 0..1_500_u64)
                .prop_map(|(workspace_number, rate, burst, spread_ms)| Step::SetLimits {
                    workspace_number,
                    rate,
                    burst,
                    spread_ms,
                }),
            1 => (workspace_number, 0..1_500_u64)
                .prop_map(|(workspace_number, spread_ms)| Step::RemoveLimits {
                    workspace_number,
                    spread_ms,
                }),
            1 => (0..40_u32, 0..40_u32, 1..1_500_u64)
                .prop_map(|(lost, duplicated, delay_ms)| Step::Network {
                    lost,
                    duplicated,
                    delay_ms,
                }),
        ]
        .boxed()
    }

    fn apply(state: Setup, _transition: &Step) -> Setup {
        state
    }
}

struct BoundTest;

impl StateMachineTest for BoundTest {
    type SystemUnderTest = Fleet;
    type Reference = Steps;

    fn init_test(ref_state: &Setup) -> Fleet {
        let setup = ref_state;
        let mut fleet = Fleet::new(INSTANCES, setup.seed, Tuning::default());
        for number in 0..WORKSPACES {
            fleet.set_limits(&workspace(number), Some(limits(1_000, 8_000)), 0);
        }
        fleet.run(50);
        fleet.network = setup.network;
        fleet
    }

    fn apply(mut state: Fleet, _ref_state: &Setup, transition: Step) -> Fleet {
        apply_step(&mut state, &transition);
        state
    }

    fn check_invariants(state: &Fleet, _ref_state: &Setup) {
        state.check();
    }
}

fn apply_step(fleet: &mut Fleet, step: &Step) {
    match *step {
        Step::Request {
            node,
            workspace_number,
            charge,
            count,
        } => {
            for _ in 0..count {
                fleet.request(&instance(node), &workspace(workspace_number), charge);
            }
        }
        Step::GiveBack {
            node,
            workspace_number,
            percent,
        } => {
            fleet.give_back(&instance(node), &workspace(workspace_number), percent);
        }
        Step::AdvanceTime(millis) => advance(fleet, millis),
        Step::Kill(node) => fleet.kill(&instance(node)),
        Step::Freeze(node, millis) => fleet.freeze(&instance(node), millis),
        Step::Partition(node, millis) => fleet.partition(&instance(node), millis),
        Step::DropFromMap(node) => drop_unless_last(fleet, &instance(node)),
        Step::Join(node) => fleet.join(&instance(node)),
        Step::Leave(node) => fleet.leave(&instance(node)),
        Step::Drain(workspace_number) => drain(fleet, workspace_number),
        Step::RemoveAndAdd(workspace_number, millis) => {
            let limits = limits(1_000, 8_000);
            fleet.set_limits(&workspace(workspace_number), None, 0);
            advance(fleet, millis);
            fleet.set_limits(&workspace(workspace_number), Some(limits), 0);
        }
        Step::SetLimits {
            workspace_number,
            rate,
            burst,
            spread_ms,
        } => {
            fleet.set_limits(
                &workspace(workspace_number),
                Some(limits(rate, burst)),
                spread_ms,
            );
        }
        Step::RemoveLimits {
            workspace_number,
            spread_ms,
        } => fleet.set_limits(&workspace(workspace_number), None, spread_ms),
        Step::Network {
            lost,
            duplicated,
            delay_ms,
        } => {
            fleet.network = Network {
                lost_percent: lost,
                duplicated_percent: duplicated,
                max_delay_ms: delay_ms,
            };
        }
    }
}

fn drain(fleet: &mut Fleet, workspace_number: usize) {
    for number in 0..INSTANCES {
        for _ in 0..40 {
            fleet.request(&instance(number), &workspace(workspace_number), 200);
        }
    }
}

fn advance(fleet: &mut Fleet, millis: u64) {
    for _ in 0..millis.div_ceil(100) {
        fleet.run(100);
        fleet.check();
    }
}

// Keeps the last member, because without members no instance could spend.
fn drop_unless_last(fleet: &mut Fleet, id: &InstanceId) {
    if fleet.map().members.len() > 1 {
        fleet.drop_from_map(id);
    }
}

prop_state_machine! {
    #![proptest_config(rates_cases::cases(300))]

    #[test]
    fn no_window_exceeds_the_limits_under_any_failures(sequential 20..80 => BoundTest);
}
