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
    world.run(20_000);
    let stored = world.platform.object.as_ref().expect("a map is stored");
    let map: Map = serde_json::from_str(&stored.value).expect("the map parses");
    assert!(map.member(&world.nodes[0].id).is_some());
    assert!(map.member(&world.nodes[1].id).is_some());
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
    let took = world.run_until_settled(20_000);
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
