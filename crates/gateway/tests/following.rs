//! Tests of who follows the store, and of what the others take from those who do.

mod support;

use std::time::Duration;

use bluebellstage_core::Revision;
use bluebellstage_gateway::decide::follower::{Follower, StoreRequest};
use bluebellstage_gateway::decide::kind::Kind;
use bluebellstage_gateway::decide::peers::{Load, Peer, Strength};
use bluebellstage_gateway::decide::tables::Tables;
use support::{adapter_at, at, config, peer, tables, target};

fn fleet(count: usize) -> Vec<Peer> {
    (0..count)
        .map(|idx| peer(&format!("i{idx}"), at(0)))
        .collect()
}

/// An old version of an adapter goes on being used, more than five seconds after the new one was
/// announced: the instance doesn't follow the store itself and took only configurations and targets
/// from those who do.
#[test]
fn an_instance_is_behind_a_peer_that_knows_a_newer_adapter_version() {
    let mut tables = tables();
    let mut follower = peer("i1", at(0));
    assert!(!tables.is_behind(&follower));
    follower.versions = 2;
    assert!(tables.is_behind(&follower));
    tables
        .versions
        .announce(&adapter_at("a1", 2), Duration::ZERO, at(1));
    assert!(!tables.is_behind(&follower));
}

#[test]
fn an_instance_is_behind_a_newer_configuration() {
    let tables = tables();
    let newer = Peer {
        config: Revision(2),
        ..peer("i1", at(0))
    };
    assert!(tables.is_behind(&newer));
}

#[test]
fn heartbeats_of_targets_alone_put_nobody_behind() {
    let mut tables = tables();
    tables
        .registry
        .put(target("t1", "court"), Revision(5), at(0));
    let same = Peer {
        targets: Revision(9),
        targets_digest: tables.registry.digest(),
        ..peer("i1", at(0))
    };
    assert!(!tables.is_behind(&same));
    let mut leaving = target("t1", "court");
    leaving.leaving = true;
    tables.registry.put(leaving, Revision(10), at(0));
    let newer = Peer {
        targets: Revision(11),
        ..same
    };
    assert!(tables.is_behind(&newer));
}

#[test]
fn three_of_a_fleet_follow_the_store() {
    let names = (0..8).map(|idx| format!("i{idx}")).collect::<Vec<_>>();
    let follows = |me: &str| {
        let mut tables = tables();
        tables.local = support::member(me, "north");
        for peer in fleet(8) {
            if peer.member.name.as_str() != me {
                tables.peers.update(peer);
            }
        }
        tables.follows_store(at(1))
    };
    let followers = names.iter().filter(|name| follows(name)).count();
    assert_eq!(followers, 3);
}

/// Hundreds of orders to engines ran out of time: holders were drawn regardless of their machines,
/// most of which had an eighth of a core, beside some of half a core.
#[test]
fn the_strongest_machines_come_first() {
    let mut tables = tables();
    for mut peer in fleet(8) {
        peer.member.strength = Strength(12);
        tables.peers.update(peer);
    }
    tables.local.strength = Strength(50);
    assert!(tables.follows_store(at(1)));
    tables.local.strength = Strength(1);
    assert!(!tables.follows_store(at(1)));
}

/// All three followers are cut off from the store: the others must not go on with what they had.
#[test]
fn others_follow_when_the_store_does_not_answer_the_followers() {
    let mut tables = tables();
    for mut peer in fleet(8) {
        peer.store_reachable = false;
        tables.peers.update(peer);
    }
    assert!(tables.follows_store(at(1)));
}

#[test]
fn an_instance_without_a_configuration_follows_by_itself() {
    let mut tables = tables();
    for peer in fleet(8) {
        tables.peers.update(peer);
    }
    tables.routes = std::sync::Arc::default();
    assert!(tables.follows_store(at(1)));
}

/// A fleet that starts at once: all are registered, nobody is heard, nobody has a configuration.
fn starting(me: &str, count: usize) -> Tables {
    let mut tables = tables();
    tables.local = support::member(me, "north");
    tables.routes = std::sync::Arc::default();
    tables.started = at(0);
    for idx in 0..count {
        let other = support::member(&format!("i{idx}"), "north");
        if other.name != tables.local.name {
            tables.peers.register(other);
        }
    }
    tables
}

/// Guards against thousands of calls to the store whenever hundreds of instances start at once.
#[test]
fn eight_of_a_large_fleet_that_starts_at_once_ask_the_store() {
    let askers = (0..200).filter(|idx| starting(&format!("i{idx}"), 200).follows_store(at(1)));
    assert_eq!(askers.count(), 8);
}

#[test]
fn an_instance_that_starts_beside_others_asks_when_nobody_gave_it_a_copy() {
    let last = (0..200).map(|idx| format!("i{idx}"));
    let last = last.min_by_key(|name| {
        let tables = starting(name, 200);
        (tables.follows_store(at(1)), name.clone())
    });
    let tables = starting(&last.unwrap(), 200);
    assert!(!tables.follows_store(at(1_000)));
    assert!(tables.follows_store(at(2_000)));
}

/// Guards against a follower that asks without end for changes which the store has dropped.
#[test]
fn what_a_peer_told_does_not_stand_in_for_a_list_once_its_history_is_gone() {
    let mut follower = Follower::new(Kind::Targets, None);
    follower.record_copy(Revision(7));
    assert_eq!(follower.after(), Some(Revision(7)));
    follower.record_history_gone();
    follower.record_copy(Revision(7));
    assert_eq!(follower.next_request(), StoreRequest::List);
    follower.record_copy(Revision(9));
    assert_eq!(follower.after(), Some(Revision(9)));
}

/// Guards against a whole fleet that asks for a configuration which nobody has written yet.
#[test]
fn a_fleet_without_a_configuration_leaves_asking_to_a_few() {
    let asks = |idx: usize| {
        let mut tables = starting(&format!("i{idx}"), 0);
        for other in (0..100).filter(|other| *other != idx) {
            let mut other = peer(&format!("i{other}"), at(5_000));
            other.ready = false;
            other.config = Revision::default();
            tables.peers.update(other);
        }
        tables.follows_store(at(5_001))
    };
    assert_eq!((0..100).filter(|idx| asks(*idx)).count(), 8);
}

#[test]
fn a_few_of_the_strongest_read_the_leases_when_a_fleet_starts() {
    let reads = |idx: usize| starting(&format!("i{idx}"), 200).may_hold_leases();
    let readers = (0..200).filter(|idx| reads(*idx)).count();
    assert!((8..=32).contains(&readers), "{readers}");
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut tables = tables();
    assert!(tables.adopt(config(7), at(0)));
    assert!(!tables.adopt(config(6), at(0)));
    assert_eq!(tables.routes.version(), Revision(7));
}

/// A request reaches a server three seconds after it said that it leaves. The followers of the store
/// had been suspended or cut off; none had met an error yet, so nobody followed in their place.
#[test]
fn a_follower_that_heard_nothing_lately_does_not_count() {
    let mut tables = tables();
    tables.registry.set_following(true, at(0));
    tables.registry.record_store_response(at(1_000));
    assert!(tables.registry.is_store_reachable(at(2_000)));
    assert!(!tables.registry.is_store_reachable(at(5_000)));
    tables.registry.record_store_response(at(5_001));
    assert!(tables.registry.is_store_reachable(at(5_100)));
    tables.registry.set_following(false, at(5_200));
    assert!(tables.registry.is_store_reachable(at(60_000)));
}

/// A request reaches a server long after it was gone. An instance that had been cut off from the
/// store kept the server for a while, with the newest revision, and the others copied it from there.
#[test]
fn a_target_that_is_gone_does_not_come_back_by_a_copy() {
    let mut returned = tables();
    for name in ["c0", "c1"] {
        returned
            .registry
            .put(target(name, "court"), Revision(1), at(0));
    }
    returned.registry.record_store_failure(at(0));
    returned.registry.record_store_response(at(4_000));
    let gone = target("c1", "court").id;
    returned.registry.remove(&gone, Revision(9), at(4_001));
    assert!(returned.registry.get(&gone).is_some());

    let mut other = tables();
    other
        .registry
        .put(target("c0", "court"), Revision(5), at(0));
    other.registry.apply_copy(
        returned.registry.copy_since(Revision(0), at(4_200)),
        at(4_200),
    );
    assert!(other.registry.get(&gone).is_none());
    assert_eq!(other.registry.digest(), returned.registry.digest());
}

#[test]
fn a_copy_leaves_targets_that_may_come_back_where_they_are_known() {
    let mut returned = tables();
    let mut other = tables();
    for tables in [&mut returned, &mut other] {
        tables
            .registry
            .put(target("c1", "court"), Revision(1), at(0));
    }
    let id = target("c1", "court").id;
    returned.registry.record_store_failure(at(0));
    returned.registry.record_store_response(at(4_000));
    returned.registry.remove(&id, Revision(9), at(4_001));
    other.registry.apply_copy(
        returned.registry.copy_since(Revision(0), at(4_200)),
        at(4_200),
    );
    assert!(other.registry.get(&id).is_some());
    // Both give it the same time, however often it is copied on.
    for tables in [&mut returned, &mut other] {
        tables.registry.sweep(at(5_700));
        assert!(tables.registry.get(&id).is_some());
        tables.registry.sweep(at(5_801));
        assert!(tables.registry.get(&id).is_none());
    }
}

/// A request reaches a server 2.2 s after its registration was removed. The instance had been cut
/// off from the store and was back by then: it kept the server as one that may have lapsed while the
/// store was away, though the store had told of the removal after its return.
#[test]
fn what_vanishes_after_the_return_has_left() {
    let mut tables = tables();
    tables
        .registry
        .put(target("c1", "court"), Revision(1), at(0));
    let id = target("c1", "court").id;
    tables.registry.record_store_failure(at(3_000));
    tables.registry.record_store_response(at(4_000));
    tables.registry.record_store_response(at(4_800));
    tables.registry.remove(&id, Revision(9), at(4_801));
    assert!(tables.registry.get(&id).is_none());
}

/// The store refuses every other call of an instance. A registration that vanishes meanwhile can't
/// have lapsed for that: the store took the targets' reports all the time.
#[test]
fn what_vanishes_between_two_refusals_has_left() {
    let mut tables = tables();
    tables
        .registry
        .put(target("c1", "court"), Revision(1), at(0));
    let id = target("c1", "court").id;
    tables.registry.record_store_response(at(3_000));
    tables.registry.record_store_failure(at(3_500));
    tables.registry.record_store_response(at(4_000));
    tables.registry.remove(&id, Revision(9), at(4_001));
    assert!(tables.registry.get(&id).is_none());
}

fn registry_of(names: &[&str], at_revision: u64) -> bluebellstage_gateway::decide::tables::Tables {
    let mut tables = tables();
    let targets = names.iter().map(|name| target(name, "court"));
    let targets = targets.collect::<Vec<_>>();
    let revision = Revision(at_revision);
    tables.registry.replace(targets, revision, at(0));
    tables
}

/// A new configuration is in force five seconds late on a large fleet: the instances that follow the
/// store give each other one the whole list of targets again for every target that comes or goes.
#[test]
fn a_copy_holds_only_what_changed() {
    let mut follower = registry_of(&["c0", "c1", "c2"], 10);
    let mut other = registry_of(&["c0", "c1", "c2"], 10);
    let mut leaving = target("c1", "court");
    leaving.leaving = true;
    follower.registry.put(leaving, Revision(11), at(1));
    let gone = target("c2", "court").id;
    follower.registry.remove(&gone, Revision(12), at(1));
    follower
        .registry
        .put(target("c0", "court"), Revision(13), at(1));
    let copy = follower
        .registry
        .copy_since(other.registry.copied_revision(), at(2));
    assert!(!copy.complete);
    assert_eq!(copy.targets.len(), 1);
    assert_eq!(copy.removed.len(), 1);
    other.registry.apply_copy(copy, at(2));
    assert_eq!(other.registry.digest(), follower.registry.digest());
    assert_eq!(other.registry.revision(), Revision(13));
}

/// What was removed before an instance took its list is not known there: whoever knows less gets
/// the whole list, or it would send to targets that are gone.
#[test]
fn whoever_knows_less_than_the_giver_remembers_gets_the_whole_list() {
    let follower = registry_of(&["c0"], 20);
    let mut other = registry_of(&["c0", "c1"], 10);
    let copy = follower
        .registry
        .copy_since(other.registry.copied_revision(), at(1));
    assert!(copy.complete);
    other.registry.apply_copy(copy, at(1));
    assert_eq!(other.registry.all().count(), 1);
}

/// An instance that begins to follow the store hears again what it knows from a copy; an old word
/// must not undo a newer one.
#[test]
fn older_news_changes_nothing() {
    let mut tables = registry_of(&["c0"], 10);
    let id = target("c0", "court").id;
    tables.registry.remove(&id, Revision(12), at(1));
    tables
        .registry
        .put(target("c0", "court"), Revision(11), at(2));
    assert!(tables.registry.get(&id).is_none());
    tables
        .registry
        .put(target("c0", "court"), Revision(14), at(3));
    tables.registry.remove(&id, Revision(13), at(4));
    assert!(tables.registry.get(&id).is_some());
}

/// Two lists differ though all changes were copied: the next copy is a whole one.
#[test]
fn a_copy_that_does_not_lead_to_the_givers_list_is_made_whole() {
    let mut follower = registry_of(&["c0", "c1"], 10);
    let mut other = registry_of(&["c0"], 10);
    follower
        .registry
        .put(target("c2", "court"), Revision(11), at(1));
    let copy = follower
        .registry
        .copy_since(other.registry.copied_revision(), at(2));
    other.registry.apply_copy(copy, at(2));
    assert_eq!(other.registry.copied_revision(), Revision(0));
    let copy = follower
        .registry
        .copy_since(other.registry.copied_revision(), at(3));
    other.registry.apply_copy(copy, at(3));
    assert_eq!(other.registry.digest(), follower.registry.digest());
    assert_eq!(other.registry.copied_revision(), Revision(11));
}

/// What peers have at a target is summed as they tell it, and falls out with those that fall silent.
#[test]
fn requests_of_silent_peers_do_not_count() {
    let mut tables = tables();
    let hash = bluebellstage_gateway::decide::rendezvous::ShortHash::of("c0");
    for (name, count) in [("i1", 3), ("i2", 4), ("i1", 5)] {
        let mut peer = peer(name, at(0));
        let load = Load {
            requests: count,
            prompts: 10 * count,
        };
        peer.in_flight.insert(hash, load);
        tables.peers.update(peer);
    }
    assert_eq!(tables.peers.load(hash).requests, 9);
    tables.peers.remove(&peer("i2", at(0)).member.name);
    assert_eq!(tables.peers.load(hash).requests, 5);
    assert_eq!(tables.peers.load(hash).prompts, 50);
    tables.peers.sweep(at(2_000));
    assert_eq!(tables.peers.load(hash).requests, 0);
    tables.peers.update(peer("i1", at(2_100)));
    assert_eq!(tables.peers.load(hash).requests, 0);
}
