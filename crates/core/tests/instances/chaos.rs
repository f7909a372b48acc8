//! Random faults, one after the other and together, on whole instances.
//!
//! `BLUEBELLSTAGE_FUZZ_CASES=N` runs N fresh cases and prints the smallest that fails; without it
//! the same few cases run each time.

use bluebellstage_core::catalogue::{ApplyOutcome, Change};
use bluebellstage_core::{ChangeId, TargetId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::fleet::{Answer, Fleet, FleetBuilder, Health};
use crate::world::{self, NORTH, SOUTH};

const INSTANCES: usize = 4;
const FIXED_CASES: u32 = 24;
const SEED: [u8; 32] = *b"bluebellstage: whole instances 1";

/// As docs/PROOFS.md states them.
const WITHDRAWN_WITHIN: u64 = 3_000_000;
const IN_FORCE_WITHIN: u64 = 3_000_000;

#[derive(Clone, Debug)]
enum Step {
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Thaw,
    Stop(usize),
    Isolate(usize),
    CutPlatform(usize),
    Unreliable {
        loss: u32,
        doubled: u32,
        delay_millis: u64,
    },
    Heal,
    Platform(Health),
    RestartEngine(u8),
    Change(usize),
    Withdraw(usize),
    Load {
        node: usize,
        adapter: usize,
        tokens: u64,
    },
    File {
        node: usize,
        name: usize,
    },
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..INSTANCES;
    let health = prop_oneof![
        Just(Health::Up),
        Just(Health::Refusing),
        Just(Health::Silent),
        (10u32..80).prop_map(Health::LosingAnswers),
    ];
    prop_oneof![
        1 => node.clone().prop_map(Step::Kill),
        2 => node.clone().prop_map(Step::Start),
        1 => node.clone().prop_map(Step::Freeze),
        2 => Just(Step::Thaw),
        1 => node.clone().prop_map(Step::Stop),
        1 => node.clone().prop_map(Step::Isolate),
        1 => node.clone().prop_map(Step::CutPlatform),
        1 => (0u32..100, 0u32..200, 1u64..200).prop_map(|(loss, doubled, delay_millis)| {
            Step::Unreliable { loss, doubled, delay_millis }
        }),
        2 => Just(Step::Heal),
        2 => health.prop_map(Step::Platform),
        1 => (0u8..3).prop_map(Step::RestartEngine),
        3 => node.clone().prop_map(Step::Change),
        1 => node.clone().prop_map(Step::Withdraw),
        8 => (node.clone(), 0..12usize, 1u64..300)
            .prop_map(|(node, adapter, tokens)| Step::Load { node, adapter, tokens }),
        8 => (node, 0..6usize).prop_map(|(node, name)| Step::File { node, name }),
        10 => (1u64..3_000).prop_map(Step::Wait),
    ]
}

/// A fleet with what the oracle has to remember of it.
struct Run {
    fleet: Fleet,
    changes: u64,
    withdrawn: bool,
}

impl Run {
    fn new(seed: u64) -> Self {
        let builder = FleetBuilder::instances(INSTANCES.try_into().unwrap())
            .engines(3, 4)
            .service("filing", 2, 8)
            .seed(seed);
        let fleet = world::found(builder);
        Self {
            fleet,
            changes: 0,
            withdrawn: false,
        }
    }

    fn take(&mut self, step: &Step) {
        let fleet = &mut self.fleet;
        match *step {
            Step::Kill(node) => fleet.kill(node),
            Step::Start(node) if fleet.nodes[node].instance.is_none() => fleet.start(node),
            Step::Freeze(node) => fleet.freeze(node),
            Step::Thaw => (0..INSTANCES).for_each(|node| fleet.thaw(node)),
            Step::Stop(node) if !fleet.nodes[node].frozen => fleet.stop(node),
            Step::Start(_) | Step::Stop(_) => {}
            Step::Isolate(node) => fleet.isolate(node),
            Step::CutPlatform(node) => fleet.cut_platform(node),
            Step::Unreliable {
                loss,
                doubled,
                delay_millis,
            } => {
                fleet.network.loss = loss;
                fleet.network.doubled = doubled;
                fleet.network.delay = (200, delay_millis * 1_000);
            }
            Step::Heal => self.heal(),
            Step::Platform(health) => fleet.platform.health = health,
            Step::RestartEngine(number) => {
                fleet.restart_target(
                    &TargetId::try_from(format!("engine-{number}").as_str()).unwrap(),
                );
            }
            Step::Change(node) => self.change(node),
            Step::Withdraw(node) => self.withdraw(node),
            Step::Load {
                node,
                adapter,
                tokens,
            } => {
                fleet.ask(
                    node,
                    NORTH,
                    world::generate(&format!("north-{adapter}"), tokens),
                );
                fleet.ask(
                    node,
                    SOUTH,
                    world::generate(&format!("south-{adapter}"), tokens),
                );
            }
            Step::File { node, name } => {
                fleet.ask(node, SOUTH, world::file(&format!("plan-{name}")));
            }
            Step::Wait(millis) => fleet.run_for(millis),
        }
    }

    fn change(&mut self, node: usize) {
        if self.fleet.nodes[node].is_running() {
            self.changes += 1;
            let put = world::put_workspace("north", 10_000 + self.changes, 100_000);
            self.fleet.change(
                node,
                world::change(&format!("change-{}", self.changes), vec![put]),
            );
        }
    }

    fn withdraw(&mut self, node: usize) {
        if !self.withdrawn && self.fleet.nodes[node].is_running() {
            self.withdrawn = true;
            let withdraw = Change::WithdrawKey(world::key("north-1"));
            self.fleet
                .change(node, world::change("withdraw", vec![withdraw]));
        }
    }

    fn heal(&mut self) {
        self.fleet.network.heal();
        self.fleet.network.delay = (200, 2_000);
        self.fleet.platform.health = Health::Up;
    }

    /// Ends all faults, and checks that work goes on.
    fn settle(&mut self) {
        self.heal();
        for node in 0..INSTANCES {
            self.fleet.thaw(node);
            if self.fleet.nodes[node].instance.is_none() {
                self.fleet.start(node);
            }
        }
        self.fleet.run_for(60_000);
        self.check();
        let fleet = &mut self.fleet;
        for node in 0..INSTANCES {
            if fleet.nodes[node].instance.is_none() {
                fleet.start(node);
            }
        }
        fleet.until_ready();
        let requests: Vec<_> = (0..INSTANCES)
            .flat_map(|node| {
                let draft = fleet.ask(node, SOUTH, world::generate("south-0", 5));
                let filing = fleet.ask(node, SOUTH, world::file(&format!("last-{node}")));
                [draft, filing]
            })
            .collect();
        fleet.run_for(10_000);
        for request in requests {
            assert_eq!(
                fleet.answer_of(request),
                Some(&Answer::Complete),
                "{request} after all faults ended"
            );
        }
    }

    fn check(&self) {
        self.fleet.check();
        self.check_withdrawal();
        self.check_changes();
    }

    fn accepted_at(&self, change: &str) -> Option<u64> {
        let id = ChangeId::try_from(change).unwrap();
        let accepted = matches!(
            self.fleet.outcomes.get(&id),
            Some(ApplyOutcome::Accepted { .. })
        );
        accepted.then(|| self.fleet.answered_at[&id])
    }

    /// Nothing runs for a key that was withdrawn more than three seconds ago.
    fn check_withdrawal(&self) {
        let Some(accepted) = self.accepted_at("withdraw") else {
            return;
        };
        for run in &self.fleet.runs {
            let by_north = self.fleet.callers[&run.request].key == NORTH;
            assert!(
                !by_north || run.from <= accepted + WITHDRAWN_WITHIN,
                "request {} ran {} us after its key was withdrawn",
                run.request,
                run.from - accepted
            );
        }
    }

    /// Every accepted change is in force wherever callers are served.
    fn check_changes(&self) {
        let newest = (1..=self.changes).filter_map(|number| {
            let name = format!("change-{number}");
            let at = self.accepted_at(&name)?;
            let id = ChangeId::try_from(name.as_str()).unwrap();
            let ApplyOutcome::Accepted { revision } = self.fleet.outcomes[&id] else {
                return None;
            };
            (at + IN_FORCE_WITHIN <= self.fleet.now).then_some(revision)
        });
        let Some(revision) = newest.max() else {
            return;
        };
        for node in self.fleet.nodes.iter().filter(|node| node.is_running()) {
            let instance = node.instance.as_ref().unwrap();
            let serves = instance.is_ready(node.clock(self.fleet.now));
            let has = instance.catalogue().revision;
            assert!(
                !serves || has >= revision,
                "{} serves by {has}, {revision} was accepted",
                node.id
            );
        }
    }
}

fn run(seed: u64, steps: &[Step]) {
    let mut run = Run::new(seed);
    for step in steps {
        run.take(step);
        run.check();
    }
    run.settle();
}

#[test]
fn no_promise_breaks_whatever_fails() {
    let fresh = std::env::var("BLUEBELLSTAGE_FUZZ_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok());
    let config = Config {
        cases: fresh.unwrap_or(FIXED_CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = match fresh {
        Some(_) => TestRunner::new(config),
        None => TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED)),
    };
    let cases = (any::<u64>(), prop::collection::vec(step(), 5..60));
    let outcome = runner.run(&cases, |(seed, steps)| {
        run(seed, &steps);
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}

// An engine gets a request and restarts before the first token comes back; the instance loses its
// standing at the same time. The request is not tried again, and its caller was told that nothing
// ran.
#[test]
fn a_request_that_broke_off_is_not_called_not_run() {
    let steps = [
        Step::Load {
            node: 0,
            adapter: 1,
            tokens: 117,
        },
        Step::Wait(491),
        Step::RestartEngine(2),
        Step::Freeze(0),
        Step::Wait(1_349),
    ];
    run(0, &steps);
}
