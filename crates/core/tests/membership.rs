//! Membership in memory: join, leave, takeover, cuts, freezes and outages, one at a time.

mod support {
    pub mod membership_net;
    pub mod membership_oracle;
    pub mod membership_platform;
    pub mod membership_weather;
    pub mod membership_world;
}

use bluebellstage_core::Map;
use support::membership_weather::PlatformState;
use support::membership_world::World;

/// Instances that are all active.
fn settled(count: usize, seed: u64) -> World {
    let mut world = World::started(count, seed);
    world.run_until_settled(10_000);
    world
}

fn stored_map(world: &World) -> Map {
    let stored = world.platform.object.as_ref().expect("a map is stored");
    serde_json::from_str(&stored.value).expect("the map parses")
}

#[test]
fn three_instances_start_together_and_share_all_keys() {
    let world = settled(3, 1);
    assert_eq!(world.orphans(), 0);
}

/// A workspace's requests hang when the instance that is its home dies: the others must notice,
/// take it out of the map and take its keys over. The dead one can't say that it has stopped, so
/// the successors wait until its standing must have ended.
#[test]
fn a_killed_home_is_taken_over_within_five_seconds() {
    let mut slowest = 0;
    for seed in 0..10 {
        let mut world = settled(3, seed);
        world.run(5_000);
        world.kill(0);
        slowest = slowest.max(world.run_until_settled(5_000));
    }
    println!("slowest takeover: {slowest} ms");
}

#[test]
fn a_planned_leave_hands_its_keys_over_within_two_heartbeats() {
    let mut world = settled(3, 2);
    world.run(5_000);
    world.stop(1);
    let took = world.run_until(800, "its keys have homes", |world| {
        world.orphans() == 0 && world.running() == 2
    });
    println!("planned leave: {took} ms");
}

/// An operator sees requests go on while the platform is away: heartbeats alone keep standing.
#[test]
fn an_outage_of_the_platform_stops_nobody() {
    let mut world = settled(3, 3);
    world.weather.platform = PlatformState::Away;
    for _ in 0..60 {
        world.run(1_000);
        assert_eq!(world.orphans(), 0);
    }
}

/// A home is frozen for ten seconds and thaws. Its first step comes long after its standing ended
/// and its keys were taken over; what it missed reaches it afterwards.
#[test]
fn a_frozen_home_does_not_act_after_its_thaw() {
    let mut world = settled(3, 4);
    world.freeze(2);
    world.run(10_000);
    assert_eq!(world.orphans(), 0);
    world.thaw(2);
    let took = world.run_until_settled(5_000);
    println!("back after a thaw: {took} ms");
}

/// One instance is cut off from its peers, but not from the platform. It keeps standing by reads,
/// and must not take the two others for dead.
#[test]
fn a_minority_behind_a_cut_drops_nobody() {
    let mut world = settled(3, 5);
    for other in 0..2 {
        world.cut(2, other);
        world.cut(other, 2);
    }
    world.run(60_000);
    let map = stored_map(&world);
    assert!(map.member(&world.nodes[0].id).is_some());
    assert!(map.member(&world.nodes[1].id).is_some());
    // Each time it comes back its peers drop it again, so it must wait longer and longer.
    assert!(map.revision.0 < 30, "{} revisions", map.revision);
    let took = world.recover(10_000);
    println!("back after a cut: {took} ms");
}

/// All instances are replaced at once. The new lives have never seen the old ones in the
/// platform's list, and none of the old is left to say that it has stopped.
#[test]
fn lives_that_replace_all_others_take_over() {
    let mut world = settled(3, 6);
    for node in 0..3 {
        world.kill(node);
        world.start(node);
    }
    let took = world.run_until_settled(6_000);
    println!("all replaced at once: {took} ms");
}

/// Of three instances two vanish for good. The third is no majority; the platform's list shows the
/// two gone, so that the third may take over.
#[test]
fn the_last_of_three_takes_over_once_the_list_shows_the_others_gone() {
    let mut world = settled(3, 7);
    world.run(5_000);
    world.kill(0);
    world.kill(1);
    let took = world.run_until_settled(20_000);
    println!("two of three gone: {took} ms");
}

/// All instances are frozen for five seconds, as when their hosts are. Each hears nobody when it
/// thaws, and their words together would be a majority that drops the last to thaw.
#[test]
fn instances_that_thaw_one_after_the_other_drop_nobody() {
    let mut world = settled(3, 8);
    let before = stored_map(&world).revision;
    for node in 0..3 {
        world.freeze(node);
    }
    world.run(5_000);
    for node in 0..3 {
        world.thaw(node);
        world.run(300);
    }
    world.run_until_settled(1_000);
    assert_eq!(stored_map(&world).revision, before);
}

/// Twenty instances start together: more changes of the map than its history has room for, so
/// that the later ones must wait until the earlier ones' history is taken out.
#[test]
fn twenty_instances_start_together() {
    let mut world = World::started(20, 9);
    let took = world.run_until_settled(20_000);
    println!("twenty instances: {took} ms");
}

/// A leaver's farewell may be lost. It must not exit before all know that it stopped, or its keys
/// would wait as long as after a crash.
#[test]
fn a_planned_leave_hands_over_while_messages_are_lost() {
    for seed in 0..20 {
        let mut world = settled(3, seed);
        world.run(3_000);
        world.weather.loss = 30;
        world.stop(1);
        world.run_until(1_900, "its keys have homes", |world| {
            world.orphans() == 0 && world.running() == 2
        });
    }
}

/// A home was killed and taken over long ago. An instance that starts now must not wait T for it
/// once more before it acts for its keys.
#[test]
fn a_newcomer_takes_its_part_without_a_gap_long_after_a_takeover() {
    let mut world = settled(3, 10);
    world.kill(0);
    world.run(10_000);
    world.start(0);
    let mut gap = 0;
    let mut longest = 0;
    for _ in 0..300 {
        world.run(10);
        gap = if world.orphans() == 0 { 0 } else { gap + 10 };
        longest = longest.max(gap);
    }
    println!("longest gap as a newcomer starts: {longest} ms");
    assert!(longest <= 100);
}

/// A home is cut off right after its last proof of standing, while a newcomer takes over part of
/// its keys. The home's clock is the slowest allowed and the newcomer's the fastest: without the
/// allowance for drift the newcomer begins a moment before the home ends.
#[test]
fn clocks_that_drift_apart_do_not_let_two_homes_act() {
    for seed in 0..30 {
        let mut world = World::started(4, seed);
        world.nodes[0].clock.ppm = -12_000;
        world.nodes[3].clock.ppm = 12_000;
        world.watch = false;
        world.kill(3);
        world.run_until_settled(10_000);
        world.start(3);
        for peer in 1..4 {
            world.cut(0, peer);
            world.cut(peer, 0);
        }
        while !stored_map(&world)
            .active()
            .any(|id| *id == world.nodes[3].id)
        {
            world.hint(0);
            world.run(1);
        }
        world.nodes[0].cut_from_platform = true;
        world.run(3_000);
    }
}
