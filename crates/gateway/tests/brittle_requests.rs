//! Tests of how long a request without an answer counts as one that its brittle target may refuse.

mod support;

use std::time::Duration;

use bluebellstage_gateway::decide::brittle::{BrittleTargets, ReportedBrittleness};
use bluebellstage_gateway::decide::target::Target;
use support::brittle::{Simulation, TargetModel};
use support::fleet::Fleet;
use support::{at, target};

/// Numbers of instances and failure domains.
const FLEETS: [(usize, usize); 4] = [(8, 3), (24, 3), (75, 3), (380, 18)];
const TARGETS: usize = 6;

/// A target that bears six refusals a second, of which its owner uses four for requests that were sent at zero.
struct OwnedTarget {
    targets: BrittleTargets,
    target: Target,
}

impl OwnedTarget {
    fn new() -> Self {
        let mut owned = Self {
            targets: BrittleTargets::default(),
            target: target("c1", "court"),
        };
        owned.report(0);
        for _ in 0..4 {
            assert!(owned.bears_refusal(0));
            owned.targets.record_sent(&owned.target, at(0));
        }
        owned
    }

    fn report(&mut self, ms: u64) {
        let reported = ReportedBrittleness::Brittle(6);
        let born = self.target.born;
        self.targets
            .record(&self.target, born, reported, at(ms), at(ms));
    }

    fn hear(&mut self, ms: u64) {
        self.report(ms);
        self.targets.record_heard(&self.target.id, at(ms));
    }

    fn bears_refusal(&self, ms: u64) -> bool {
        self.targets.bears_refusal(&self.target, at(ms))
    }
}

/// Guards against requests under way that nobody counts as refusals yet, however long their target is silent.
#[test]
fn requests_without_an_answer_count_as_refusals_while_their_target_is_silent() {
    let mut owned = OwnedTarget::new();
    for ms in [0, 999, 1_000, 9_000] {
        owned.report(ms);
        assert!(!owned.bears_refusal(ms));
    }
    owned.targets.record_taken(&owned.target.id, at(0));
    assert!(owned.bears_refusal(9_000));
}

/// Guards against requests that count as refusals although their target runs them.
#[test]
fn requests_count_no_longer_when_their_target_was_heard_and_has_not_refused_them() {
    let mut owned = OwnedTarget::new();
    owned.hear(20);
    assert!(!owned.bears_refusal(60), "heard before they arrived");
    owned.hear(60);
    assert!(!owned.bears_refusal(119));
    assert!(owned.bears_refusal(120));
}

/// Guards against requests that pile up at a silent target and are refused together when it goes on.
#[test]
fn requests_to_a_silent_target_count_until_it_has_been_heard_for_a_second() {
    let mut owned = OwnedTarget::new();
    owned.hear(3_500);
    assert!(!owned.bears_refusal(4_499));
    assert!(owned.bears_refusal(4_500));
}

/// Guards against refusals that are forgotten before the second is over in which they count.
#[test]
fn refusals_count_for_a_second() {
    let mut owned = OwnedTarget::new();
    owned
        .targets
        .record_refused(&owned.target.id, at(0), at(10));
    owned.hear(60);
    assert_eq!(owned.targets.possible_refusals(&owned.target, at(200)), 1);
    assert_eq!(owned.targets.possible_refusals(&owned.target, at(1_009)), 1);
    assert_eq!(owned.targets.possible_refusals(&owned.target, at(1_010)), 0);
}

/// Guards against a target that nobody asks for a sign of life, and against one that is asked all the time.
#[test]
fn a_target_is_asked_when_it_may_get_no_further_request() {
    let mut owned = OwnedTarget::new();
    let asked = |owned: &mut OwnedTarget, ms| owned.targets.take_check(&owned.target, at(ms));
    assert!(!asked(&mut owned, 49), "they may still be on their way");
    assert!(asked(&mut owned, 50));
    assert!(!asked(&mut owned, 149));
    assert!(asked(&mut owned, 150));
    owned.hear(151);
    assert!(!asked(&mut owned, 252), "heard");
}

/// Guards against requests of a former incarnation that count at the new one.
#[test]
fn requests_of_a_former_incarnation_do_not_count() {
    let mut owned = OwnedTarget::new();
    owned.target.born = Some(2);
    assert!(owned.bears_refusal(1));
    assert_eq!(owned.targets.possible_refusals(&owned.target, at(1)), 0);
}

fn now_full_after_silence((instances, domains): (usize, usize), seed: u64) -> Simulation {
    let fleet = Fleet::start(instances, domains, seed);
    let mut simulation = Simulation::with(fleet, TARGETS, TargetModel::with_slots(64));
    simulation.rate = 200;
    simulation.burst = 20;
    simulation.run_ms(500);
    simulation.silence(0, Duration::from_millis(3_500));
    simulation.set_full(0, true);
    simulation.run_ms(6_000);
    simulation
}

/// Guards against requests that are sent to a silent target second after second, and arrive at once.
#[test]
fn a_target_that_was_silent_refuses_no_more_than_it_bears() {
    for size in FLEETS {
        let simulation = now_full_after_silence(size, 81);
        assert!(simulation.worst_second() <= 6, "{size:?}");
        assert_eq!(simulation.falls(), 0, "{size:?}");
        simulation.assert_served();
    }
}

/// Guards against requests that are refused although no target is short of room, as answers come late.
#[test]
fn targets_whose_answers_come_late_get_all_requests_while_they_have_room() {
    let slow = |max_refusals, room, run_ms| TargetModel {
        slots: room,
        room,
        max_refusals,
        run_time: Duration::from_millis(run_ms),
    };
    for (instances, domains) in FLEETS {
        for (model, rate) in [(slow(20, 64, 1_500), 100), (slow(6, 80, 800), 60)] {
            let fleet = Fleet::start(instances, domains, 81);
            let mut simulation = Simulation::with(fleet, TARGETS, model);
            simulation.rate = rate;
            simulation.run_ms(5_000);
            assert_eq!(simulation.falls(), 0);
            simulation.assert_served();
        }
    }
}
