//! Catalogue changes: accepted means in force everywhere within seconds, and for good.

use bluebellstage_core::catalogue::{ApplyOutcome, Change, ChangeRequest};
use bluebellstage_core::{ChangeId, Notice, Rate, Revision};

use crate::fleet::{Fleet, FleetBuilder, Health};
use crate::world;

/// The brief's "within seconds", as docs/PROOFS.md states it.
const IN_FORCE_WITHIN_MILLIS: u64 = 3_000;

fn founded(instances: u16, seed: u64) -> Fleet {
    world::found(FleetBuilder::instances(instances).seed(seed))
}

fn rate_change(number: u64) -> ChangeRequest {
    world::change(
        &format!("rate-{number}"),
        vec![world::put_workspace("north", 1_000 + number, 100_000)],
    )
}

fn outcome(fleet: &Fleet, number: u64) -> Option<&ApplyOutcome> {
    fleet
        .outcomes
        .get(&ChangeId::try_from(format!("rate-{number}").as_str()).unwrap())
}

fn accepted(fleet: &Fleet, number: u64) -> Option<Revision> {
    match outcome(fleet, number) {
        Some(ApplyOutcome::Accepted { revision }) => Some(*revision),
        _ => None,
    }
}

/// Every instance that serves has at least this revision, or knows that it is not current.
fn is_in_force(fleet: &Fleet, revision: Revision) -> bool {
    fleet
        .nodes
        .iter()
        .filter(|node| node.is_running())
        .all(|node| {
            let instance = node.instance.as_ref().unwrap();
            instance.catalogue().revision >= revision || !instance.is_ready(node.clock(fleet.now))
        })
}

#[test]
fn a_change_is_in_force_everywhere_when_accepted() {
    let mut fleet = founded(5, 1);
    fleet.change(2, rate_change(1));
    let took = fleet
        .run_until(5_000, |fleet| accepted(fleet, 1).is_some())
        .unwrap();
    assert!(took <= 200, "accepted after {took} ms");
    let revision = accepted(&fleet, 1).unwrap();
    let took = fleet
        .run_until(IN_FORCE_WITHIN_MILLIS, |fleet| is_in_force(fleet, revision))
        .unwrap();
    assert!(took <= 1_000, "in force after {took} ms");
}

#[test]
fn a_stale_or_contradictory_change_is_refused() {
    let mut fleet = founded(3, 2);
    fleet.change(
        0,
        ChangeRequest {
            expected: Some(Revision(0)),
            ..rate_change(1)
        },
    );
    let unknown = vec![Change::WithdrawKey(world::key("no-such-key"))];
    fleet.change(0, world::change("rate-2", unknown));
    fleet.run_for(2_000);
    assert_eq!(
        outcome(&fleet, 1),
        Some(&ApplyOutcome::Stale {
            revision: Revision(1)
        })
    );
    assert!(matches!(
        outcome(&fleet, 2),
        Some(ApplyOutcome::Invalid { .. })
    ));
    assert_eq!(
        fleet.nodes[0]
            .instance
            .as_ref()
            .unwrap()
            .catalogue()
            .revision,
        Revision(1)
    );
}

// Five operators change the catalogue at five instances at once, again and again. Each accepted
// change has a revision of its own, and all instances end with the same entries.
#[test]
fn racing_operators_lose_no_accepted_change() {
    let mut fleet = founded(5, 3);
    for number in 0..50 {
        fleet.change(usize::try_from(number % 5).unwrap(), rate_change(number));
        if number % 5 == 4 {
            fleet.run_for(40);
        }
    }
    fleet.run_for(10_000);
    let mut revisions: Vec<_> = (0..50)
        .filter_map(|number| accepted(&fleet, number))
        .collect();
    let count = revisions.len();
    revisions.sort_unstable();
    revisions.dedup();
    assert_eq!(
        revisions.len(),
        count,
        "two accepted changes share a revision"
    );
    assert!(count >= 45, "only {count} of 50 accepted");
    let states: Vec<_> = fleet
        .nodes
        .iter()
        .map(|node| node.instance.as_ref().unwrap().catalogue().clone())
        .collect();
    assert!(states.windows(2).all(|pair| pair[0] == pair[1]));
}

// The platform writes the change and its answer is lost. The operator's retry, with the same change
// id and at another instance, must not apply it a second time.
#[test]
fn a_retry_after_a_lost_answer_applies_once() {
    for seed in 0..10 {
        let mut fleet = founded(3, 30 + seed);
        fleet.platform.health = Health::LosingAnswers(60);
        fleet.change(0, rate_change(1));
        fleet.run_for(2_000);
        fleet.change(1, rate_change(1));
        fleet.run_for(8_000);
        fleet.platform.health = Health::Up;
        fleet.change(2, rate_change(1));
        fleet.run_for(5_000);
        assert_eq!(
            accepted(&fleet, 1),
            Some(Revision(2)),
            "seed {seed}: {:?}",
            outcome(&fleet, 1)
        );
        fleet.run_for(3_000);
        assert!(
            fleet
                .nodes
                .iter()
                .all(|node| node.instance.as_ref().unwrap().catalogue().revision == Revision(2))
        );
    }
}

// The accepting instance is killed right after it answered; the platform goes away in the same
// moment. The rest must still bring the change in force.
#[test]
fn a_change_outlives_the_instance_that_accepted_it() {
    for seed in 0..10 {
        let mut fleet = founded(5, 50 + seed);
        fleet.change(0, rate_change(1));
        fleet
            .run_until(5_000, |fleet| accepted(fleet, 1).is_some())
            .unwrap();
        fleet.kill(0);
        fleet.platform.health = Health::Silent;
        let revision = accepted(&fleet, 1).unwrap();
        fleet.run_for(IN_FORCE_WITHIN_MILLIS);
        assert!(is_in_force(&fleet, revision), "seed {seed}");
    }
}

// A change is known to three of five instances, and just these three die; the two others had been
// cut off from them. With the dead dropped from the map, the two are a majority of the rest and
// would prove the old revision current to each other.
#[test]
fn a_change_outlives_all_instances_that_knew_it() {
    let mut fleet = founded(5, 4);
    for survivor in [3, 4] {
        for other in 0..3 {
            let (survivor, other) = (
                fleet.nodes[survivor].id.clone(),
                fleet.nodes[other].id.clone(),
            );
            fleet.network.cut(&survivor, &other);
            fleet.network.cut(&other, &survivor);
        }
        fleet.cut_platform(survivor);
    }
    fleet.change(0, rate_change(1));
    fleet
        .run_until(5_000, |fleet| accepted(fleet, 1).is_some())
        .unwrap();
    let revision = accepted(&fleet, 1).unwrap();
    for dead in 0..3 {
        fleet.kill(dead);
    }
    fleet.network.heal();
    fleet.run_for(IN_FORCE_WITHIN_MILLIS);
    for _ in 0..400 {
        assert!(is_in_force(&fleet, revision), "the change reverted");
        fleet.run_for(50);
    }
    let served = fleet
        .nodes
        .iter()
        .filter(|node| node.is_running())
        .filter(|node| {
            node.instance
                .as_ref()
                .unwrap()
                .is_ready(node.clock(fleet.now))
        })
        .count();
    assert_eq!(
        served, 2,
        "the survivors serve again once the platform showed the others gone"
    );
}

// Hundreds of changes pass; log objects give way to snapshots; an instance that restarts with
// nothing, and one that was frozen all the while, end with the same entries as the rest.
#[test]
fn compaction_keeps_every_entry() {
    let mut fleet = founded(3, 5);
    fleet.freeze(2);
    for number in 0..300 {
        fleet.change(0, rate_change(number));
        fleet.run_for(30);
    }
    fleet.run_for(5_000);
    let objects = fleet.platform.count("catalogue-log-");
    assert!(objects <= 200, "{objects} log objects are left");
    fleet.kill(1);
    fleet.run_for(3_000);
    fleet.start(1);
    fleet.thaw(2);
    fleet.run_for(10_000);
    let rate = |node: usize| {
        let instance = fleet.nodes[node].instance.as_ref().unwrap();
        instance
            .catalogue()
            .workspace(&world::workspace("north"))
            .unwrap()
            .rate
    };
    assert_eq!([rate(0), rate(1), rate(2)], [Rate(1_299); 3]);
}

// An instance is cut off from everything while a change is accepted elsewhere. It must not serve by
// the old entries after the stated time.
#[test]
fn an_instance_cut_off_from_all_does_not_serve_old_entries() {
    let mut fleet = founded(5, 6);
    fleet.isolate(4);
    fleet.cut_platform(4);
    fleet.change(0, rate_change(1));
    fleet
        .run_until(5_000, |fleet| accepted(fleet, 1).is_some())
        .unwrap();
    fleet.run_for(IN_FORCE_WITHIN_MILLIS);
    assert!(is_in_force(&fleet, accepted(&fleet, 1).unwrap()));
    fleet.network.heal();
    fleet.run_for(3_000);
    assert!(
        fleet.nodes[4]
            .instance
            .as_ref()
            .unwrap()
            .is_ready(fleet.nodes[4].clock(fleet.now))
    );
}

// The push of a change is lost on its way to one instance, and the platform goes away right after.
// Its peers tell that instance in each heartbeat that it is behind, so it refuses everybody; but
// they have the change, and can give it.
#[test]
fn a_missed_push_is_made_up_for_by_peers_in_an_outage() {
    let mut fleet = founded(5, 7);
    let (from, to) = (fleet.nodes[0].id.clone(), fleet.nodes[4].id.clone());
    fleet.network.cut(&from, &to);
    fleet.cut_platform(4);
    fleet.change(0, rate_change(1));
    fleet
        .run_until(5_000, |fleet| accepted(fleet, 1).is_some())
        .unwrap();
    let revision = accepted(&fleet, 1).unwrap();
    fleet.platform.health = Health::Refusing;
    fleet.run_for(IN_FORCE_WITHIN_MILLIS);
    let instance = fleet.nodes[4].instance.as_ref().unwrap();
    assert!(
        instance.is_ready(fleet.nodes[4].clock(fleet.now)),
        "it serves though it missed the push"
    );
    assert!(instance.catalogue().revision >= revision);
}

// An instance has standing, for its peers confirm the map, and it knows that the catalogue moved
// on, but neither the platform nor a peer can give it the change. It must stop serving by the old
// entries.
#[test]
fn standing_alone_does_not_let_old_entries_be_served() {
    let mut fleet = founded(3, 8);
    fleet.cut_platform(2);
    for number in 0..300 {
        fleet.change(0, rate_change(number));
        fleet.run_for(30);
        let (from, to) = (fleet.nodes[0].id.clone(), fleet.nodes[2].id.clone());
        fleet.network.cut(&from, &to);
    }
    fleet.run_for(IN_FORCE_WITHIN_MILLIS);
    let instance = fleet.nodes[2].instance.as_ref().unwrap();
    let now = fleet.nodes[2].clock(fleet.now);
    assert!(instance.ownership().has_lease(now));
    assert!(instance.catalogue().revision < Revision(200));
    assert!(!instance.is_ready(now));
}

// An instance writes a change that none of its peers can hear of, neither from it nor from the
// platform. Were it called accepted, it would revert with the next instance that the caller asks.
#[test]
fn a_change_that_reached_nobody_is_not_called_accepted() {
    let mut fleet = founded(5, 9);
    fleet.isolate(0);
    (1..5).for_each(|node| fleet.cut_platform(node));
    fleet.change(0, rate_change(1));
    fleet.run_for(10_000);
    assert_eq!(outcome(&fleet, 1), Some(&ApplyOutcome::Unknown));
    fleet.network.heal();
    fleet.run_for(5_000);
    fleet.change(2, rate_change(1));
    fleet.run_for(3_000);
    assert_eq!(
        accepted(&fleet, 1),
        Some(Revision(2)),
        "the retry finds it applied"
    );
}

// The platform is restored from an old copy. Its head shows a lower revision than the one in force;
// keys withdrawn since would work again.
#[test]
fn a_platform_restored_from_an_old_copy_reverts_nothing() {
    let mut fleet = founded(3, 10);
    let copy = fleet.platform.copy();
    fleet.change(0, rate_change(1));
    fleet.run_for(2_000);
    let revision = accepted(&fleet, 1).unwrap();
    fleet.platform.restore(copy);
    (0..3).for_each(|node| fleet.isolate(node));
    fleet.run_for(10_000);
    assert!(is_in_force(&fleet, revision));
    assert!(
        fleet
            .nodes
            .iter()
            .all(|node| node.instance.as_ref().unwrap().catalogue().revision >= revision)
    );
    let told = |notice: &Notice| matches!(notice, Notice::CatalogueBehind(_));
    assert!(fleet.notices.iter().any(|(_at, _id, notice)| told(notice)));
}
