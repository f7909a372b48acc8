//! Calls that may not be repeated: at most one run for each name.

use bluebellstage_core::{RefusalKind, RequestId};

use crate::fleet::{Answer, Fleet, FleetBuilder, Health};
use crate::world::{self, NORTH, SOUTH};

fn founded(seed: u64) -> Fleet {
    world::found(
        FleetBuilder::instances(4)
            .service("filing", 2, 8)
            .seed(seed),
    )
}

fn kind(fleet: &Fleet, request: RequestId) -> Option<RefusalKind> {
    match fleet.answer_of(request) {
        Some(Answer::Refused(refusal)) => Some(refusal.kind),
        _ => None,
    }
}

#[test]
fn a_repeat_gets_the_first_answer() {
    let mut fleet = founded(1);
    let first = fleet.ask(0, NORTH, world::file("plan-1"));
    fleet.run_for(1_000);
    assert_eq!(fleet.answer_of(first), Some(&Answer::Complete));
    for node in 0..4 {
        let repeat = fleet.ask(node, NORTH, world::file("plan-1"));
        fleet.run_for(1_000);
        let Some(Answer::Replayed(answer)) = fleet.answer_of(repeat) else {
            panic!("{:?}", fleet.answer_of(repeat));
        };
        assert_eq!(
            answer.body.as_deref(),
            Some(format!("run of {first}").as_str())
        );
    }
    fleet.check();
}

// A caller's first try hangs, and it sends the same filing to a second instance meanwhile.
#[test]
fn the_same_name_at_all_instances_at_once_runs_once() {
    for seed in 0..10 {
        let mut fleet = founded(20 + seed);
        let requests: Vec<_> = (0..4)
            .map(|node| fleet.ask(node, NORTH, world::file("plan-1")))
            .collect();
        fleet.run_for(5_000);
        let complete = requests
            .iter()
            .filter(|id| fleet.answer_of(**id) == Some(&Answer::Complete))
            .count();
        assert_eq!(complete, 1);
        fleet.check();
    }
}

#[test]
fn two_workspaces_names_do_not_meet() {
    let mut fleet = founded(2);
    let north = fleet.ask(0, NORTH, world::file("north-plan"));
    let south = fleet.ask(1, SOUTH, world::file("south-plan"));
    fleet.run_for(1_000);
    assert_eq!(fleet.answer_of(north), Some(&Answer::Complete));
    assert_eq!(fleet.answer_of(south), Some(&Answer::Complete));
}

// The platform is away: the intent can't be recorded, so the filing is not sent, and its caller is
// told so at once and when to come back.
#[test]
fn without_the_platform_a_filing_is_refused_as_not_run() {
    for health in [Health::Refusing, Health::Silent] {
        let mut fleet = founded(3);
        fleet.platform.health = health;
        let request = fleet.ask(1, NORTH, world::file("plan-1"));
        fleet.run_for(10_000);
        let Some(Answer::Refused(refusal)) = fleet.answer_of(request) else {
            panic!("{:?}", fleet.answer_of(request));
        };
        assert!(refusal.retry_after.is_some());
        assert!(fleet.runs.is_empty());
        fleet.platform.health = Health::Up;
        fleet.run_for(5_000);
        let again = fleet.ask(1, NORTH, world::file("plan-1"));
        fleet.run_for(5_000);
        assert_eq!(
            fleet.answer_of(again),
            Some(&Answer::Complete),
            "the name is free for a second try"
        );
        fleet.check();
    }
}

// The platform records intents and outcomes, and half of its answers are lost. A home that took a
// lost answer for a failure, and wrote again, would run the filing twice.
#[test]
fn lost_answers_of_the_platform_double_no_filing() {
    for seed in 0..10 {
        let mut fleet = founded(40 + seed);
        fleet.platform.health = Health::LosingAnswers(50);
        let requests: Vec<_> = (0..12)
            .map(|number| {
                let request = fleet.ask(
                    number % 4,
                    NORTH,
                    world::file(&format!("plan-{}", number / 2)),
                );
                fleet.run_for(150);
                request
            })
            .collect();
        fleet.run_for(10_000);
        fleet.platform.health = Health::Up;
        fleet.run_for(5_000);
        assert!(
            requests.iter().all(|id| fleet.answer_of(*id).is_some()),
            "a caller was left without an answer"
        );
        fleet.check();
    }
}

// Each instance in turn is killed, or frozen and thawed, with filings at every stage: before the
// intent, between intent and dispatch, in the service, before the outcome. The callers try again
// with the same names elsewhere.
#[test]
fn kills_and_freezes_double_no_filing() {
    for seed in 0..24 {
        let mut fleet = founded(60 + seed);
        let victim = usize::try_from(seed % 4).unwrap();
        for number in 0..8 {
            fleet.ask(number % 4, NORTH, world::file(&format!("plan-{number}")));
            fleet.run_for(2 + seed % 5);
        }
        if seed % 2 == 0 {
            fleet.kill(victim);
        } else {
            fleet.freeze(victim);
        }
        for number in 0..8 {
            fleet.ask(
                (victim + 1) % 4,
                NORTH,
                world::file(&format!("plan-{number}")),
            );
        }
        fleet.run_for(8_000);
        if seed % 2 == 1 {
            fleet.thaw(victim);
        }
        for number in 0..8 {
            fleet.ask(
                (victim + 2) % 4,
                NORTH,
                world::file(&format!("plan-{number}")),
            );
        }
        fleet.run_for(8_000);
        fleet.check();
    }
}

// A service takes a filing and dies before it answers. Whether it filed can't be told; the name is
// in doubt, for the caller, for operators and for every repeat.
#[test]
fn a_service_that_dies_in_mid_call_leaves_the_filing_in_doubt() {
    let mut fleet = founded(4);
    let request = fleet.ask(0, NORTH, world::file("plan-1"));
    fleet
        .run_until(2_000, |fleet| !fleet.runs.is_empty())
        .unwrap();
    let target = fleet.runs[0].target.clone();
    fleet.restart_target(&target);
    fleet.run_for(2_000);
    assert_eq!(kind(&fleet, request), Some(RefusalKind::InDoubt));
    let repeat = fleet.ask(2, NORTH, world::file("plan-1"));
    fleet.run_for(2_000);
    assert_eq!(kind(&fleet, repeat), Some(RefusalKind::InDoubt));
    let shown = fleet
        .nodes
        .iter()
        .filter_map(|node| node.instance.as_ref())
        .flat_map(bluebellstage_core::Instance::in_doubt);
    assert_eq!(shown.count(), 1);
    fleet.check();
}
