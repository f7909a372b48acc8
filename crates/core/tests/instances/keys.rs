//! Keys: whose requests run, and when a withdrawn key stops working.

use bluebellstage_core::catalogue::{ApplyOutcome, Change};
use bluebellstage_core::{ChangeId, Ran, RefusalKind};

use crate::fleet::{Answer, Fleet, FleetBuilder, Health};
use crate::world::{self, NORTH, SOUTH};

/// The brief's "within seconds", as docs/PROOFS.md states it.
const WITHDRAWN_WITHIN_MILLIS: u64 = 3_000;

fn founded(seed: u64) -> Fleet {
    world::found(
        FleetBuilder::instances(3)
            .engines(3, 4)
            .service("filing", 2, 4)
            .seed(seed),
    )
}

fn withdraw(fleet: &mut Fleet, node: usize) {
    fleet.change(
        node,
        world::change("withdraw", vec![Change::WithdrawKey(world::key("north-1"))]),
    );
}

fn refusal(fleet: &mut Fleet, node: usize, key: &str, adapter: &str) -> Option<RefusalKind> {
    let request = fleet.ask(node, key, world::generate(adapter, 5));
    fleet.run_for(2_000);
    match fleet.answer_of(request) {
        Some(Answer::Refused(refusal)) => Some(refusal.kind),
        _ => None,
    }
}

#[test]
fn an_unknown_key_is_refused_and_nothing_runs() {
    let mut fleet = founded(1);
    assert_eq!(
        refusal(&mut fleet, 0, "no-such-key", "north-1"),
        Some(RefusalKind::KeyRefused)
    );
    assert!(fleet.runs.is_empty());
}

#[test]
fn another_workspace_s_adapter_is_not_found() {
    let mut fleet = founded(2);
    assert_eq!(
        refusal(&mut fleet, 0, SOUTH, "north-1"),
        Some(RefusalKind::NotFound)
    );
    assert_eq!(
        refusal(&mut fleet, 0, SOUTH, "no-such-adapter"),
        Some(RefusalKind::NotFound)
    );
    assert!(fleet.runs.is_empty());
}

// An operator withdraws a leaked key at one instance; whoever holds it goes on at another one. The
// other instance learns of it by a push, by a heartbeat or by the watch.
#[test]
fn a_key_withdrawn_at_one_instance_stops_at_all() {
    let mut fleet = founded(3);
    withdraw(&mut fleet, 0);
    fleet.run_for(WITHDRAWN_WITHIN_MILLIS);
    for node in 0..3 {
        assert_eq!(
            refusal(&mut fleet, node, NORTH, "north-1"),
            Some(RefusalKind::KeyRefused)
        );
    }
    assert_eq!(refusal(&mut fleet, 0, SOUTH, "south-1"), None);
}

// The platform goes away right after the operator saw the withdrawal accepted. The instances that
// had not heard of it yet can only learn it from their peers.
#[test]
fn a_withdrawal_holds_though_the_platform_goes_away_right_after() {
    let mut fleet = founded(4);
    withdraw(&mut fleet, 0);
    let id = ChangeId::try_from("withdraw").unwrap();
    fleet
        .run_until(5_000, |fleet| {
            matches!(fleet.outcomes.get(&id), Some(ApplyOutcome::Accepted { .. }))
        })
        .unwrap();
    fleet.platform.health = Health::Refusing;
    fleet.run_for(WITHDRAWN_WITHIN_MILLIS);
    for node in 0..3 {
        assert_eq!(
            refusal(&mut fleet, node, NORTH, "north-1"),
            Some(RefusalKind::KeyRefused)
        );
    }
}

// An instance is cut off from the platform and from its peers, and a key is withdrawn elsewhere.
// Its callers can't be told from the thief, so it stops serving all of them.
#[test]
fn an_instance_that_is_cut_off_stops_honouring_keys() {
    let mut fleet = founded(5);
    fleet.isolate(2);
    fleet.cut_platform(2);
    withdraw(&mut fleet, 0);
    fleet.run_for(WITHDRAWN_WITHIN_MILLIS);
    assert_eq!(
        refusal(&mut fleet, 2, NORTH, "north-1"),
        Some(RefusalKind::NoStanding)
    );
    assert_eq!(
        refusal(&mut fleet, 2, SOUTH, "south-1"),
        Some(RefusalKind::NoStanding)
    );
    assert_eq!(refusal(&mut fleet, 0, SOUTH, "south-1"), None);
}

// The holder of a leaked key has a long answer streaming, and more requests waiting in the queue.
// The withdrawal ends the stream and refuses what waits; nothing of that runs later.
#[test]
fn a_withdrawal_ends_what_the_key_has_under_way() {
    let mut fleet = founded(6);
    let requests: Vec<_> = (0..40)
        .map(|_| fleet.ask(1, NORTH, world::generate("north-1", 900)))
        .collect();
    fleet.run_for(1_500);
    let running = fleet.runs.len();
    assert!(running > 0 && running < requests.len());
    withdraw(&mut fleet, 0);
    fleet.run_for(WITHDRAWN_WITHIN_MILLIS);
    for request in &requests {
        let ended = fleet.answer_of(*request);
        let refused = matches!(ended, Some(Answer::Refused(refusal)) if refusal.ran == Ran::No);
        assert!(
            refused || matches!(ended, Some(Answer::Cut(_))),
            "{request}: {ended:?}"
        );
    }
    assert_eq!(
        fleet.runs.len(),
        running,
        "a waiting request ran after its key was withdrawn"
    );
    fleet.check();
}

// An instance is frozen with a request that is about to be sent, the key is withdrawn, the instance
// thaws. Its next step would be the send.
#[test]
fn a_frozen_instance_sends_nothing_for_a_key_withdrawn_meanwhile() {
    for offset in 0..40 {
        let mut fleet = founded(100 + offset);
        fleet.ask(1, NORTH, world::generate("north-1", 5));
        fleet.run_for(250);
        let request = fleet.ask(1, NORTH, world::generate("north-2", 5));
        fleet.run_for(offset * 10);
        let before = fleet.runs_of(request);
        fleet.freeze(1);
        withdraw(&mut fleet, 0);
        fleet.run_for(5_000);
        fleet.thaw(1);
        fleet.run_for(3_000);
        assert_eq!(fleet.runs_of(request), before);
        fleet.check();
    }
}

// A request has its permit and is about to be sent; the key is withdrawn in that moment. The
// process is slow, so the send comes after the withdrawal is in force.
#[test]
fn a_key_withdrawn_between_decision_and_send_stops_the_send() {
    let mut fleet = founded(7);
    let warm = fleet.ask(1, NORTH, world::generate("north-1", 5));
    fleet.run_for(2_000);
    assert_eq!(fleet.answer_of(warm), Some(&Answer::Complete));
    fleet.dispatch_delay = 900_000;
    let request = fleet.ask(1, NORTH, world::generate("north-1", 5));
    fleet.run_for(50);
    withdraw(&mut fleet, 0);
    fleet.run_for(WITHDRAWN_WITHIN_MILLIS);
    assert_eq!(fleet.runs_of(request), 0);
    let Some(Answer::Refused(refusal)) = fleet.answer_of(request) else {
        panic!("{:?}", fleet.answer_of(request));
    };
    assert_eq!(
        (refusal.kind, refusal.ran),
        (RefusalKind::KeyRefused, Ran::No)
    );
}
