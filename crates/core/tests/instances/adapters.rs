//! Adapters: the right one at the right version, for its owner, never evicted in use.

use bluebellstage_core::{AdapterVersion, CallerWork, TargetId, Tokens};

use crate::fleet::{Answer, Fleet, FleetBuilder};
use crate::world::{self, NORTH, SOUTH};

fn founded(seed: u64, slots: u32) -> Fleet {
    world::found(FleetBuilder::instances(3).engines(3, slots).seed(seed))
}

fn target(name: &str) -> TargetId {
    TargetId::try_from(name).unwrap()
}

// More adapters are asked for than the engines have slots. Adapters move in and out all the time,
// and a request that starts as its adapter is thrown out would fail.
#[test]
fn more_adapters_than_slots_are_served_without_an_eviction_in_use() {
    let mut fleet = founded(1, 2);
    let mut requests = Vec::new();
    for round in 0..12 {
        for number in 0..12 {
            let (key, owner) = if number % 2 == 0 {
                (NORTH, "north")
            } else {
                (SOUTH, "south")
            };
            requests.push(fleet.ask(
                number % 3,
                key,
                world::generate(&format!("{owner}-{number}"), 10 + round),
            ));
        }
        fleet.run_for(1_500);
    }
    fleet.run_for(15_000);
    let answered = requests
        .iter()
        .filter(|id| fleet.answer_of(**id) == Some(&Answer::Complete))
        .count();
    assert!(
        answered * 10 >= requests.len() * 9,
        "{answered} of {} answered",
        requests.len()
    );
    fleet.check();
}

// An operator sets a new current version while requests for the old one wait. Who asked for none
// gets the version that was current as they asked; nothing runs on a version that is gone.
#[test]
fn a_version_changed_in_the_queue_runs_as_asked_or_not_at_all() {
    let mut fleet = founded(2, 2);
    let requests: Vec<_> = (0..60)
        .map(|_| fleet.ask(0, NORTH, world::generate("north-1", 200)))
        .collect();
    fleet.run_for(400);
    fleet.change(
        1,
        world::change("version-2", vec![world::put_adapter("north-1", "north", 2)]),
    );
    fleet.run_for(1_500);
    let changed = fleet.now;
    let explicit = fleet.ask(
        0,
        NORTH,
        CallerWork::Generate {
            adapter: world::adapter("north-1"),
            version: Some(AdapterVersion(2)),
            prompt: Tokens(5),
            max_answer: Some(Tokens(5)),
            prefix: 0,
        },
    );
    fleet.run_for(40_000);
    assert_eq!(fleet.answer_of(explicit), Some(&Answer::Complete));
    for run in fleet
        .runs
        .iter()
        .filter(|run| requests.contains(&run.request) && run.from > changed)
    {
        assert_ne!(
            run.adapter.as_ref().unwrap().version,
            AdapterVersion(1),
            "a version that is gone ran"
        );
    }
    fleet.check();
}

// An adapter goes to another workspace while requests of its former owner wait in the queue.
#[test]
fn an_adapter_that_changes_owner_runs_no_more_for_the_former_one() {
    let mut fleet = founded(3, 2);
    let requests: Vec<_> = (0..60)
        .map(|_| fleet.ask(0, NORTH, world::generate("north-1", 200)))
        .collect();
    fleet.run_for(400);
    fleet.change(
        1,
        world::change("sold", vec![world::put_adapter("north-1", "south", 1)]),
    );
    fleet.run_for(1_500);
    let sold = fleet.now;
    fleet.run_for(20_000);
    let late = fleet
        .runs
        .iter()
        .filter(|run| requests.contains(&run.request) && run.from > sold)
        .count();
    assert_eq!(
        late, 0,
        "requests of the former owner ran after the change was in force"
    );
    fleet.check();
}

// An engine restarts cold in mid-answer: its adapters are gone though its home believes in them.
#[test]
fn an_engine_that_restarts_cold_is_found_out() {
    let mut fleet = founded(4, 2);
    let first: Vec<_> = (0..12)
        .map(|_| fleet.ask(0, NORTH, world::generate("north-1", 100)))
        .collect();
    fleet.run_for(600);
    for name in ["engine-0", "engine-1", "engine-2"] {
        fleet.restart_target(&target(name));
    }
    fleet.run_for(100);
    let second: Vec<_> = (0..12)
        .map(|_| fleet.ask(0, NORTH, world::generate("north-1", 100)))
        .collect();
    fleet.run_for(20_000);
    for request in first.iter().chain(&second) {
        assert_eq!(
            fleet.answer_of(*request),
            Some(&Answer::Complete),
            "{request}"
        );
    }
    fleet.check();
}

// Each instance in turn is killed with permits out, or frozen past its lease and thawed. Whoever
// takes over its engines must not evict what the requests of the others still use.
#[test]
fn a_takeover_evicts_nothing_in_use() {
    for seed in 0..6 {
        let mut fleet = founded(10 + seed, 2);
        for number in 0..12 {
            fleet.ask(
                number % 3,
                NORTH,
                world::generate(&format!("north-{number}"), 900),
            );
        }
        fleet.run_for(1_200);
        let victim = usize::try_from(seed % 3).unwrap();
        if seed < 3 {
            fleet.kill(victim);
        } else {
            fleet.freeze(victim);
        }
        for number in 0..12 {
            fleet.ask(
                (victim + 1) % 3,
                NORTH,
                world::generate(&format!("north-{}", 11 - number), 50),
            );
        }
        fleet.run_for(8_000);
        if seed >= 3 {
            fleet.thaw(victim);
        }
        fleet.run_for(20_000);
        fleet.check();
    }
}

// An engine is being drained: it is marked as leaving in the platform's list, which lags.
#[test]
fn a_leaving_engine_gets_no_new_work_after_five_seconds() {
    let mut fleet = founded(5, 4);
    for round in 0..60 {
        fleet.ask(
            round % 3,
            NORTH,
            world::generate(&format!("north-{}", round % 12), 20),
        );
        fleet.run_for(100);
        if round == 20 {
            fleet.set_leaving(&target("engine-1"));
        }
    }
    fleet.run_for(10_000);
    let left = fleet.now - 14_000_000;
    let late = fleet
        .runs
        .iter()
        .filter(|run| run.target == target("engine-1") && run.from > left + 5_000_000);
    assert_eq!(late.count(), 0);
    fleet.check();
}
