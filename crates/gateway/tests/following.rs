//! Tests of the selection of followers of the store, and of copies from them.

mod support;

use std::time::Duration;

use bluebellstage_core::Revision;
use bluebellstage_gateway::decide::peers::{Load, Peer, Strength};
use bluebellstage_gateway::decide::ranked_tokens::{RankClass, RankedTokens};
use bluebellstage_gateway::decide::store::follower::{Follower, StoreRequest};
use bluebellstage_gateway::decide::store::kind::Kind;
use bluebellstage_gateway::decide::tables::Tables;
use support::{adapter_at, at, config, peer, tables, target};

fn fleet(count: usize) -> Vec<Peer> {
    (0..count)
        .map(|idx| peer(&format!("i{idx}"), at(0)))
        .collect()
}

/// Guards against requests on an adapter's old version more than five seconds after the new one was
/// announced. It happened because instances that do not follow the store copied only the
/// configuration and the targets from followers.
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
fn heartbeats_of_targets_do_not_put_an_instance_behind() {
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
fn three_instances_of_a_fleet_follow_the_store() {
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

/// Guards against holders of leases on small machines. Holders were selected regardless of
/// capacity; most machines had an eighth of a core, a few had half a core, and hundreds of orders
/// to engines timed out.
#[test]
fn machines_with_the_most_capacity_follow_first() {
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

/// Guards against a fleet that continues with old data when all three followers have lost the
/// store.
#[test]
fn others_follow_when_the_store_does_not_respond_to_the_followers() {
    let mut tables = tables();
    for mut peer in fleet(8) {
        peer.store_reachable = false;
        tables.peers.update(peer);
    }
    assert!(tables.follows_store(at(1)));
}

/// Guards against thousands of calls to the store in an outage.
#[test]
fn few_instances_of_a_large_fleet_call_a_store_that_does_not_respond() {
    let calls = |me: usize, second: u64| {
        let mut tables = tables();
        tables.local = support::member(&format!("i{me}"), "north");
        for ms in (0..=second * 1_000).step_by(100) {
            for other in (0..60).filter(|other| *other != me) {
                let mut other = peer(&format!("i{other}"), at(ms));
                other.store_reachable = false;
                tables.peers.update(other);
            }
            tables.update_missing_followers(at(ms));
        }
        tables.follows_store(at(second * 1_000))
    };
    let callers = |second| (0..60).filter(|me| calls(*me, second)).count();
    assert_eq!((callers(0), callers(1), callers(6)), (8, 9, 14));
}

#[test]
fn an_instance_without_a_configuration_follows_the_store() {
    let mut tables = tables();
    for peer in fleet(8) {
        tables.peers.update(peer);
    }
    tables.routes = std::sync::Arc::default();
    assert!(tables.follows_store(at(1)));
}

/// State of an instance in a fleet that starts at once: all are registered, none has been seen, and
/// none has a configuration.
fn starting_instance(me: &str, count: usize) -> Tables {
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
fn eight_instances_of_a_large_fleet_that_starts_at_once_read_the_store() {
    let store_readers =
        (0..200).filter(|idx| starting_instance(&format!("i{idx}"), 200).follows_store(at(1)));
    assert_eq!(store_readers.count(), 8);
}

#[test]
fn a_starting_instance_reads_the_store_when_it_gets_no_copy() {
    let last = (0..200).map(|idx| format!("i{idx}"));
    let last = last.min_by_key(|name| {
        let tables = starting_instance(name, 200);
        (tables.follows_store(at(1)), name.clone())
    });
    let tables = starting_instance(&last.unwrap(), 200);
    assert!(!tables.follows_store(at(1_000)));
    assert!(tables.follows_store(at(2_000)));
}

/// Guards against a follower that requests changes forever that the store has already dropped.
#[test]
fn a_copy_does_not_replace_a_list_once_its_history_is_gone() {
    let mut follower = Follower::new(Kind::Targets, None);
    follower.record_copy(Revision(7));
    assert_eq!(follower.after(), Some(Revision(7)));
    let _delay = follower.record_history_gone(Duration::ZERO, 1.0);
    follower.record_copy(Revision(7));
    assert_eq!(follower.next_request(), StoreRequest::List);
    follower.record_copy(Revision(9));
    assert_eq!(follower.after(), Some(Revision(9)));
}

/// Guards against calls of the whole fleet for a configuration that does not exist yet.
#[test]
fn a_few_instances_read_the_store_while_there_is_no_configuration() {
    let asks = |idx: usize| {
        let mut tables = starting_instance(&format!("i{idx}"), 0);
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
fn a_few_instances_read_the_leases_when_a_fleet_starts() {
    let reads = |idx: usize| starting_instance(&format!("i{idx}"), 200).may_hold_leases();
    let lease_readers = (0..200).filter(|idx| reads(*idx)).count();
    assert!((8..=32).contains(&lease_readers), "{lease_readers}");
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut tables = tables();
    assert!(tables.adopt(config(7), at(0)));
    assert!(!tables.adopt(config(6), at(0)));
    assert_eq!(tables.routes.version(), Revision(7));
}

/// Guards against a request that reaches a target three seconds after the target announced that it
/// leaves. The followers of the store had been suspended or partitioned, but had not received an
/// error yet, so no other instance followed in their place.
#[test]
fn a_follower_without_a_recent_response_does_not_count() {
    let mut tables = tables();
    tables.registry.set_following(true, at(0));
    tables
        .registry
        .record_store_response(Revision(1), at(1_000));
    assert!(tables.registry.is_store_reachable(at(2_000)));
    assert!(!tables.registry.is_store_reachable(at(5_000)));
    tables
        .registry
        .record_store_response(Revision(1), at(5_001));
    assert!(tables.registry.is_store_reachable(at(5_100)));
    tables.registry.set_following(false, at(5_200));
    assert!(tables.registry.is_store_reachable(at(60_000)));
}

/// Guards against requests to a target long after its removal. An instance that had lost the store
/// kept the target for a while, with the newest revision, and the others copied it from there.
#[test]
fn a_copy_does_not_bring_back_a_removed_target() {
    let mut reconnected = tables();
    for name in ["c0", "c1"] {
        reconnected
            .registry
            .put(target(name, "court"), Revision(1), at(0));
    }
    reconnected.registry.record_store_failure(at(0));
    reconnected
        .registry
        .record_store_response(Revision(1), at(4_000));
    let removed = target("c1", "court").id;
    reconnected
        .registry
        .remove(&removed, Revision(9), at(4_001));
    assert!(reconnected.registry.get(&removed).is_some());

    let mut other = tables();
    other
        .registry
        .put(target("c0", "court"), Revision(5), at(0));
    other.registry.apply_copy(
        reconnected.registry.copy_since(Revision(0), at(4_200)),
        at(4_200),
    );
    assert!(other.registry.get(&removed).is_none());
    assert_eq!(other.registry.digest(), reconnected.registry.digest());
}

#[test]
fn a_copy_keeps_known_targets_during_their_grace_period() {
    let mut reconnected = tables();
    let mut other = tables();
    for tables in [&mut reconnected, &mut other] {
        tables
            .registry
            .put(target("c1", "court"), Revision(1), at(0));
    }
    let id = target("c1", "court").id;
    reconnected.registry.record_store_failure(at(0));
    reconnected
        .registry
        .record_store_response(Revision(1), at(4_000));
    reconnected.registry.remove(&id, Revision(9), at(4_001));
    other.registry.apply_copy(
        reconnected.registry.copy_since(Revision(0), at(4_200)),
        at(4_200),
    );
    assert!(other.registry.get(&id).is_some());
    // Both instances give it the same remaining time, however often it is copied.
    for tables in [&mut reconnected, &mut other] {
        tables.registry.sweep(at(5_700));
        assert!(tables.registry.get(&id).is_some());
        tables.registry.sweep(at(5_801));
        assert!(tables.registry.get(&id).is_none());
    }
}

/// Guards against a request that reaches a target 2.2 s after its registration was removed. The
/// instance had lost the store and was connected again. It kept the target as one that may have
/// expired during the outage, although the store had reported the removal after its recovery.
#[test]
fn a_registration_that_vanishes_after_the_recovery_is_removed() {
    let mut tables = tables();
    tables
        .registry
        .put(target("c1", "court"), Revision(1), at(0));
    let id = target("c1", "court").id;
    tables.registry.record_store_failure(at(3_000));
    tables
        .registry
        .record_store_response(Revision(1), at(4_000));
    tables
        .registry
        .record_store_response(Revision(1), at(4_800));
    tables.registry.remove(&id, Revision(9), at(4_801));
    assert!(tables.registry.get(&id).is_none());
}

/// Guards against keeping a removed target when the store rejects every other call of an instance.
/// A registration that vanishes meanwhile can't have expired for that reason, because the store
/// accepted the targets' reports all the time.
#[test]
fn a_registration_that_vanishes_between_two_rejected_calls_is_removed() {
    let mut tables = tables();
    tables
        .registry
        .put(target("c1", "court"), Revision(1), at(0));
    let id = target("c1", "court").id;
    tables
        .registry
        .record_store_response(Revision(1), at(3_000));
    tables.registry.record_store_failure(at(3_500));
    tables
        .registry
        .record_store_response(Revision(1), at(4_000));
    tables.registry.remove(&id, Revision(9), at(4_001));
    assert!(tables.registry.get(&id).is_none());
}

fn tables_with_targets(
    names: &[&str],
    at_revision: u64,
) -> bluebellstage_gateway::decide::tables::Tables {
    let mut tables = tables();
    let targets = names.iter().map(|name| target(name, "court"));
    let targets = targets.collect::<Vec<_>>();
    let revision = Revision(at_revision);
    tables.registry.replace(targets, revision, at(0));
    tables
}

/// Guards against a configuration that is in force five seconds late on a large fleet, because the
/// followers sent each other the full list of targets for every target that joined or left.
#[test]
fn a_copy_contains_only_changes() {
    let mut follower = tables_with_targets(&["c0", "c1", "c2"], 10);
    let mut other = tables_with_targets(&["c0", "c1", "c2"], 10);
    let mut leaving = target("c1", "court");
    leaving.leaving = true;
    follower.registry.put(leaving, Revision(11), at(1));
    let removed = target("c2", "court").id;
    follower.registry.remove(&removed, Revision(12), at(1));
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

/// Guards against requests to removed targets. An instance does not know the removals from before
/// it listed the targets, so peers with older state need a complete copy.
#[test]
fn a_peer_older_than_the_kept_removals_gets_a_complete_copy() {
    let follower = tables_with_targets(&["c0"], 20);
    let mut other = tables_with_targets(&["c0", "c1"], 10);
    let copy = follower
        .registry
        .copy_since(other.registry.copied_revision(), at(1));
    assert!(copy.complete);
    other.registry.apply_copy(copy, at(1));
    assert_eq!(other.registry.all().count(), 1);
}

/// Guards against old changes that undo newer ones. An instance that starts to follow the store
/// receives changes again that it has already copied.
#[test]
fn older_changes_are_ignored() {
    let mut tables = tables_with_targets(&["c0"], 10);
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

/// Guards against lists that stay different although all changes were copied.
#[test]
fn a_copy_that_leaves_a_difference_is_followed_by_a_complete_one() {
    let mut follower = tables_with_targets(&["c0", "c1"], 10);
    let mut other = tables_with_targets(&["c0"], 10);
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

/// Guards against stale load. The load of peers at a target is summed as their statuses arrive, and
/// must be subtracted when they are down.
#[test]
fn the_load_of_peers_that_are_down_does_not_count() {
    let mut tables = tables();
    let hash = bluebellstage_gateway::decide::rendezvous::ShortHash::of("c0");
    for (name, count) in [("i1", 3), ("i2", 4), ("i1", 5)] {
        let mut peer = peer(name, at(0));
        let load = Load {
            requests: count,
            prompts: RankedTokens::of(RankClass::default(), u64::from(10 * count)),
        };
        peer.in_flight.insert(hash, load);
        tables.peers.update(peer);
    }
    assert_eq!(tables.peers.load(hash).requests, 9);
    tables.peers.remove(&peer("i2", at(0)).member.name);
    assert_eq!(tables.peers.load(hash).requests, 5);
    assert_eq!(tables.peers.load(hash).prompts.total(), 50);
    tables.peers.sweep(at(2_000));
    assert_eq!(tables.peers.load(hash).requests, 0);
    tables.peers.update(peer("i1", at(2_100)));
    assert_eq!(tables.peers.load(hash).requests, 0);
}

/// Guards against calls in a tight loop to a store that ends each watch at once, without a change.
#[test]
fn watches_that_end_at_once_are_spaced() {
    let mut follower = Follower::new(Kind::Config, Some(Revision(1)));
    let at_once = follower.record_response(Revision(1), false, Duration::ZERO);
    assert!(at_once >= Duration::from_millis(50), "{at_once:?}");
    let waited = follower.record_response(Revision(1), false, Duration::from_secs(1));
    assert_eq!(waited, Duration::ZERO);
}

/// Guards against full lists in a tight loop from a store that has no history after any of them.
#[test]
fn lists_of_a_store_without_history_are_spaced() {
    let mut follower = Follower::new(Kind::Targets, Some(Revision(1)));
    let delays = [(); 4].map(|()| {
        let delay = follower.record_history_gone(Duration::ZERO, 1.0);
        let listed = follower.record_response(Revision(2), true, Duration::ZERO);
        assert_eq!(listed, Duration::ZERO);
        delay
    });
    assert_eq!(delays[0], Duration::ZERO);
    assert!(
        delays[1] > Duration::ZERO && delays[1] < delays[3],
        "{delays:?}"
    );
    follower.record_response(Revision(3), true, Duration::ZERO);
    let after_a_watch = follower.record_history_gone(Duration::ZERO, 1.0);
    assert_eq!(after_a_watch, Duration::ZERO);
}

/// Guards against a follower that asks again for changes that it could not read, or lists in a tight loop.
#[test]
fn a_watch_that_can_not_be_read_is_followed_by_a_list() {
    let mut follower = Follower::new(Kind::Targets, Some(Revision(7)));
    let took = Duration::from_millis(5);
    assert_eq!(follower.record_unread(took, 1.0), Duration::ZERO);
    assert_eq!(follower.next_request(), StoreRequest::List);
    follower.record_copy(Revision(7));
    assert_eq!(follower.next_request(), StoreRequest::List);
    follower.record_response(Revision(9), true, took);
    assert!(follower.record_unread(took, 1.0) > Duration::ZERO);
    assert_eq!(follower.next_request(), StoreRequest::List);
}
