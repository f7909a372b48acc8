//! Random failures against the bound on every window and the sum of the shares.

#[path = "support/rates_cases.rs"]
mod rates_cases;
#[expect(dead_code, reason = "this file needs a part of it")]
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
        at: usize,
        of: usize,
        charge: u64,
        count: u32,
    },
    GiveBack {
        at: usize,
        of: usize,
        percent: u64,
    },
    Pass(u64),
    Kill(usize),
    Freeze(usize, u64),
    Cut(usize, u64),
    Drop(usize),
    Join(usize),
    Leave(usize),
    /// Everything is spent, at all instances at once.
    Drain(usize),
    /// A workspace is removed and added again.
    AddAgain(usize, u64),
    Limits {
        of: usize,
        rate: u64,
        burst: u64,
        spread: u64,
    },
    Remove {
        of: usize,
        spread: u64,
    },
    Network {
        lost: u32,
        doubled: u32,
        delay: u64,
    },
}

#[derive(Clone, Debug)]
struct Start {
    seed: u64,
    network: Network,
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = Start;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Start> {
        (any::<u64>(), 0..30_u32, 0..30_u32, 1..800_u64)
            .prop_map(|(seed, lost, doubled, delay)| Start {
                seed,
                network: Network {
                    lost_percent: lost,
                    doubled_percent: doubled,
                    longest_delay_ms: delay,
                },
            })
            .boxed()
    }

    fn transitions(_state: &Start) -> BoxedStrategy<Step> {
        let at = 0..INSTANCES;
        let of = 0..WORKSPACES;
        prop_oneof![
            12 => (at.clone(), of.clone(), 1..1_200_u64, 1..12_u32)
                .prop_map(|(at, of, charge, count)| Step::Request { at, of, charge, count }),
            2 => (at.clone(), of.clone(), 3_000..9_000_u64)
                .prop_map(|(at, of, charge)| Step::Request { at, of, charge, count: 1 }),
            4 => (at.clone(), of.clone(), 0..=100_u64)
                .prop_map(|(at, of, percent)| Step::GiveBack { at, of, percent }),
            10 => (10..600_u64).prop_map(Step::Pass),
            2 => (1_500..4_000_u64).prop_map(Step::Pass),
            1 => at.clone().prop_map(Step::Kill),
            2 => (at.clone(), 50..5_000_u64).prop_map(|(at, millis)| Step::Freeze(at, millis)),
            2 => (at.clone(), 50..9_000_u64).prop_map(|(at, millis)| Step::Cut(at, millis)),
            3 => at.clone().prop_map(Step::Drop),
            3 => at.clone().prop_map(Step::Join),
            1 => at.prop_map(Step::Leave),
            5 => of.clone().prop_map(Step::Drain),
            1 => (of.clone(), 0..300_u64).prop_map(|(of, millis)| Step::AddAgain(of, millis)),
            1 => (of.clone(), 200..3_000_u64, 1_000..9_000_u64, 0..1_500_u64)
                .prop_map(|(of, rate, burst, spread)| Step::Limits { of, rate, burst, spread }),
            1 => (of, 0..1_500_u64).prop_map(|(of, spread)| Step::Remove { of, spread }),
            1 => (0..40_u32, 0..40_u32, 1..1_500_u64)
                .prop_map(|(lost, doubled, delay)| Step::Network { lost, doubled, delay }),
        ]
        .boxed()
    }

    fn apply(state: Start, _transition: &Step) -> Start {
        state
    }
}

struct Bound;

impl StateMachineTest for Bound {
    type SystemUnderTest = Fleet;
    type Reference = Steps;

    fn init_test(ref_state: &Start) -> Fleet {
        let start = ref_state;
        let mut fleet = Fleet::new(INSTANCES, start.seed, Tuning::default());
        for number in 0..WORKSPACES {
            fleet.set_limits(&workspace(number), Some(limits(1_000, 8_000)), 0);
        }
        fleet.run(50);
        fleet.network = start.network;
        fleet
    }

    fn apply(mut state: Fleet, _ref_state: &Start, transition: Step) -> Fleet {
        take(&mut state, &transition);
        state
    }

    fn check_invariants(state: &Fleet, _ref_state: &Start) {
        state.check();
    }
}

fn take(fleet: &mut Fleet, step: &Step) {
    match *step {
        Step::Request {
            at,
            of,
            charge,
            count,
        } => {
            for _ in 0..count {
                fleet.request(&instance(at), &workspace(of), charge);
            }
        }
        Step::GiveBack { at, of, percent } => {
            fleet.give_back(&instance(at), &workspace(of), percent);
        }
        Step::Pass(millis) => pass(fleet, millis),
        Step::Kill(at) => fleet.kill(&instance(at)),
        Step::Freeze(at, millis) => fleet.freeze(&instance(at), millis),
        Step::Cut(at, millis) => fleet.cut(&instance(at), millis),
        Step::Drop(at) => drop_one(fleet, &instance(at)),
        Step::Join(at) => fleet.join(&instance(at)),
        Step::Leave(at) => fleet.leave(&instance(at)),
        Step::Drain(of) => drain(fleet, of),
        Step::AddAgain(of, millis) => {
            let limits = limits(1_000, 8_000);
            fleet.set_limits(&workspace(of), None, 0);
            pass(fleet, millis);
            fleet.set_limits(&workspace(of), Some(limits), 0);
        }
        Step::Limits {
            of,
            rate,
            burst,
            spread,
        } => {
            fleet.set_limits(&workspace(of), Some(limits(rate, burst)), spread);
        }
        Step::Remove { of, spread } => fleet.set_limits(&workspace(of), None, spread),
        Step::Network {
            lost,
            doubled,
            delay,
        } => {
            fleet.network = Network {
                lost_percent: lost,
                doubled_percent: doubled,
                longest_delay_ms: delay,
            };
        }
    }
}

fn drain(fleet: &mut Fleet, of: usize) {
    for number in 0..INSTANCES {
        for _ in 0..40 {
            fleet.request(&instance(number), &workspace(of), 200);
        }
    }
}

fn pass(fleet: &mut Fleet, millis: u64) {
    for _ in 0..millis.div_ceil(100) {
        fleet.run(100);
        fleet.check();
    }
}

// The last member stays: without any nobody could spend.
fn drop_one(fleet: &mut Fleet, id: &InstanceId) {
    if fleet.map().members.len() > 1 {
        fleet.drop_from_map(id);
    }
}

prop_state_machine! {
    #![proptest_config(rates_cases::cases(300))]

    #[test]
    fn no_window_exceeds_the_limits_under_any_failures(sequential 20..80 => Bound);
}
