//! Failures of instances and of the platform: what goes on, and after how long.

use crate::fleet::{Answer, Fleet, FleetBuilder, Health};
use crate::world::{self, NORTH, SOUTH};

fn founded(seed: u64) -> Fleet {
    world::found(
        FleetBuilder::instances(5)
            .engines(3, 12)
            .service("filing", 2, 8)
            .seed(seed),
    )
}

// The platform is away for a minute. Drafts and lookups need nothing that must last.
#[test]
fn drafts_and_lookups_go_on_without_the_platform() {
    for health in [Health::Refusing, Health::Silent] {
        let mut fleet = founded(1);
        fleet.run_for(3_000);
        fleet.platform.health = health;
        let mut requests = Vec::new();
        for round in 0..60 {
            requests.push(fleet.ask(
                round % 5,
                NORTH,
                world::generate(&format!("north-{}", round % 12), 20),
            ));
            requests.push(fleet.ask((round + 1) % 5, SOUTH, world::lookup()));
            fleet.run_for(1_000);
        }
        fleet.run_for(5_000);
        for request in requests {
            assert_eq!(
                fleet.answer_of(request),
                Some(&Answer::Complete),
                "{request}"
            );
        }
        fleet.check();
    }
}

// Each instance in turn is killed. Until its homes are taken over, requests wait or go to other
// engines; none is refused because of the rates, and after five seconds all work goes on.
#[test]
fn a_killed_instance_s_work_goes_on_within_five_seconds() {
    for victim in 0..5 {
        let mut fleet = founded(20 + u64::try_from(victim).unwrap());
        for number in 0..12 {
            fleet.ask(
                number % 5,
                NORTH,
                world::generate(&format!("north-{number}"), 10),
            );
            fleet.ask(
                number % 5,
                SOUTH,
                world::generate(&format!("south-{number}"), 10),
            );
        }
        // 24 loads at three a second.
        fleet.run_for(12_000);
        fleet.kill(victim);
        let others: Vec<_> = (0..5).filter(|node| *node != victim).collect();
        let mut requests = Vec::new();
        for round in 0..100 {
            let node = others[round % others.len()];
            requests.push(fleet.ask(
                node,
                NORTH,
                world::generate(&format!("north-{}", round % 12), 5),
            ));
            requests.push(fleet.ask(
                node,
                SOUTH,
                world::generate(&format!("south-{}", round % 12), 5),
            ));
            fleet.run_for(50);
        }
        fleet.run_for(10_000);
        for request in &requests {
            let caller = &fleet.callers[request];
            assert_eq!(
                caller.answer,
                Some(Answer::Complete),
                "instance {victim} killed, {request}"
            );
            let waited = (caller.answered - caller.asked) / 1_000_000;
            assert!(
                waited <= 6,
                "instance {victim} killed, {request} took {waited} s"
            );
        }
        fleet.check();
    }
}

// The platform goes away and an instance dies at once. Nobody can take over its homes; the others
// keep serving with what they hold and at the engines whose homes live.
#[test]
fn a_kill_during_an_outage_stops_no_workspace() {
    for victim in 0..5 {
        let mut fleet = founded(40 + u64::try_from(victim).unwrap());
        for number in 0..12 {
            fleet.ask(
                number % 5,
                NORTH,
                world::generate(&format!("north-{number}"), 10),
            );
        }
        fleet.run_for(5_000);
        fleet.platform.health = Health::Refusing;
        fleet.kill(victim);
        fleet.run_for(3_000);
        let others: Vec<_> = (0..5).filter(|node| *node != victim).collect();
        let requests: Vec<_> = (0..24)
            .map(|round| {
                let node = others[round % others.len()];
                let request = fleet.ask(
                    node,
                    NORTH,
                    world::generate(&format!("north-{}", round % 12), 5),
                );
                fleet.run_for(200);
                request
            })
            .collect();
        fleet.run_for(15_000);
        let answered = requests
            .iter()
            .filter(|id| fleet.answer_of(**id) == Some(&Answer::Complete))
            .count();
        assert_eq!(
            answered,
            requests.len(),
            "instance {victim} dead in an outage"
        );
        fleet.check();
    }
}

// The network loses, doubles and delays messages, an instance is cut off from its peers and comes
// back, another is killed and restarted with nothing, the platform loses answers. Whatever is
// answered must be right; afterwards all work goes on.
#[test]
fn two_faults_at_once_break_no_promise() {
    for seed in 0..12 {
        let mut fleet = founded(60 + seed);
        let pick = |salt: u64| usize::try_from((seed * 7 + salt) % 5).unwrap();
        fleet.network.loss = 50;
        fleet.network.doubled = 50;
        fleet.network.delay = (200, 40_000);
        for round in 0..120 {
            let node = round % 5;
            fleet.ask(
                node,
                NORTH,
                world::generate(&format!("north-{}", round % 12), 30),
            );
            fleet.ask(node, SOUTH, world::file(&format!("plan-{}", round / 2)));
            fleet.run_for(100);
            match round {
                20 => fleet.isolate(pick(0)),
                30 => fleet.platform.health = Health::LosingAnswers(30),
                50 => fleet.kill(pick(1)),
                70 => fleet.start(pick(1)),
                80 => fleet.freeze(pick(2)),
                110 => fleet.thaw(pick(2)),
                _ => {}
            }
        }
        fleet.network.heal();
        fleet.platform.health = Health::Up;
        fleet.run_for(40_000);
        fleet.check();
        let draft = fleet.ask(pick(3), NORTH, world::generate("north-0", 5));
        fleet.run_for(5_000);
        assert_eq!(
            fleet.answer_of(draft),
            Some(&Answer::Complete),
            "seed {seed}"
        );
    }
}
