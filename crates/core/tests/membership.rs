//! Membership in simulated clusters: join, leave, takeover, network partitions, frozen processes
//! and platform outages, one at a time.

mod support {
    pub mod membership_cluster;
    pub mod membership_conditions;
    pub mod membership_net;
    pub mod membership_oracle;
    pub mod membership_platform;
}

use bluebellstage_core::Map;
use support::membership_cluster::Cluster;
use support::membership_conditions::PlatformState;

/// Creates a cluster whose instances are all active.
fn settled_cluster(count: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::started(count, seed);
    cluster.run_until_settled(10_000);
    cluster
}

fn stored_map(cluster: &Cluster) -> Map {
    let stored = cluster.platform.object.as_ref().expect("a map is stored");
    serde_json::from_str(&stored.value).expect("the map parses")
}

#[test]
fn three_instances_start_together_and_share_all_keys() {
    let cluster = settled_cluster(3, 1);
    assert_eq!(cluster.unowned_keys(), 0);
}

/// When the owner of a workspace dies, the workspace's requests hang until the other instances
/// detect that, remove it from the map and take over its keys. A dead owner can't report that it
/// has stopped, so its successors wait until its lease must have expired.
#[test]
fn a_killed_owner_is_replaced_within_five_seconds() {
    let mut slowest = 0;
    for seed in 0..10 {
        let mut cluster = settled_cluster(3, seed);
        cluster.run(5_000);
        cluster.kill(0);
        slowest = slowest.max(cluster.run_until_settled(5_000));
    }
    println!("slowest takeover: {slowest} ms");
}

#[test]
fn a_planned_leave_hands_its_keys_over_within_two_heartbeats() {
    let mut cluster = settled_cluster(3, 2);
    cluster.run(5_000);
    cluster.stop(1);
    let took = cluster.run_until(800, "its keys have owners", |cluster| {
        cluster.unowned_keys() == 0 && cluster.running() == 2
    });
    println!("planned leave: {took} ms");
}

/// Requests continue while the platform is unavailable: heartbeats alone keep the leases.
#[test]
fn owners_keep_acting_while_the_platform_is_unavailable() {
    let mut cluster = settled_cluster(3, 3);
    cluster.conditions.platform = PlatformState::Unavailable;
    for _ in 0..60 {
        cluster.run(1_000);
        assert_eq!(cluster.unowned_keys(), 0);
    }
}

/// An owner is frozen for ten seconds. Its first step after the thaw comes long after its lease
/// expired and its keys were taken over, and before it receives the messages that it missed.
#[test]
fn a_frozen_owner_does_not_act_after_it_thaws() {
    let mut cluster = settled_cluster(3, 4);
    cluster.freeze(2);
    cluster.run(10_000);
    assert_eq!(cluster.unowned_keys(), 0);
    cluster.thaw(2);
    let took = cluster.run_until_settled(5_000);
    println!("recovered from a thaw: {took} ms");
}

/// One instance is partitioned from its peers, but not from the platform. Its reads renew its
/// lease, and it must not remove the two others as dead.
#[test]
fn a_partitioned_minority_removes_no_member() {
    let mut cluster = settled_cluster(3, 5);
    for other in 0..2 {
        cluster.block_link(2, other);
        cluster.block_link(other, 2);
    }
    cluster.run(60_000);
    let map = stored_map(&cluster);
    assert!(map.member(&cluster.nodes[0].id).is_some());
    assert!(map.member(&cluster.nodes[1].id).is_some());
    // Its peers remove it after each rejoin, so the delay before it rejoins must increase.
    assert!(map.revision.0 < 30, "{} revisions", map.revision);
    let took = cluster.recover(10_000);
    println!("recovered from a partition: {took} ms");
}

/// All instances are restarted at once. The new incarnations have never seen the old ones in the
/// platform's list, and no old incarnation remains to report that it has stopped.
#[test]
fn instances_take_over_after_all_are_restarted_at_once() {
    let mut cluster = settled_cluster(3, 6);
    for node in 0..3 {
        cluster.kill(node);
        cluster.start(node);
    }
    let took = cluster.run_until_settled(6_000);
    println!("all restarted at once: {took} ms");
}

/// Two of three instances vanish permanently. The third is no majority and may take over only
/// because the platform's list shows that the other two are gone.
#[test]
fn the_last_of_three_takes_over_once_the_list_shows_that_the_others_are_gone() {
    let mut cluster = settled_cluster(3, 7);
    cluster.run(5_000);
    cluster.kill(0);
    cluster.kill(1);
    let took = cluster.run_until_settled(20_000);
    println!("two of three gone: {took} ms");
}

/// All instances are frozen for five seconds, as when their hosts are frozen. None has received a
/// heartbeat when it thaws, and their reports together would be a majority that removes the last
/// instance to thaw.
#[test]
fn instances_that_thaw_one_after_another_remove_no_member() {
    let mut cluster = settled_cluster(3, 8);
    let before = stored_map(&cluster).revision;
    for node in 0..3 {
        cluster.freeze(node);
    }
    cluster.run(5_000);
    for node in 0..3 {
        cluster.thaw(node);
        cluster.run(300);
    }
    cluster.run_until_settled(1_000);
    assert_eq!(stored_map(&cluster).revision, before);
}

/// Twenty instances that start together need more map changes than the history can hold, so later
/// changes wait until the history of earlier ones is pruned.
#[test]
fn twenty_instances_start_together() {
    let mut cluster = Cluster::started(20, 9);
    let took = cluster.run_until_settled(20_000);
    println!("twenty instances: {took} ms");
}

/// Messages of a leaving instance may be lost. If it exited before all members know that it has
/// stopped, its keys would have no owner for as long as after a crash.
#[test]
fn a_planned_leave_hands_its_keys_over_despite_message_loss() {
    for seed in 0..20 {
        let mut cluster = settled_cluster(3, seed);
        cluster.run(3_000);
        cluster.conditions.loss_percent = 30;
        cluster.stop(1);
        cluster.run_until(1_900, "its keys have owners", |cluster| {
            cluster.unowned_keys() == 0 && cluster.running() == 2
        });
    }
}

/// An owner was killed and replaced long ago. An instance that starts now must not wait for that
/// owner's lease duration again before it acts as the owner of its keys.
#[test]
fn an_instance_joins_without_a_gap_long_after_a_takeover() {
    let mut cluster = settled_cluster(3, 10);
    cluster.kill(0);
    cluster.run(10_000);
    cluster.start(0);
    let mut gap = 0;
    let mut longest = 0;
    for _ in 0..300 {
        cluster.run(10);
        gap = if cluster.unowned_keys() == 0 {
            0
        } else {
            gap + 10
        };
        longest = longest.max(gap);
    }
    println!("longest gap while an instance joins: {longest} ms");
    assert!(longest <= 100);
}

/// An owner is partitioned right after its lease was last confirmed, while a joining instance takes
/// over some of its keys. The owner's clock is the slowest allowed and that of the joining instance
/// the fastest: without the allowance for drift, the new owner would start to act a moment before
/// the old owner's lease expires.
#[test]
fn clock_drift_does_not_let_two_owners_act() {
    for seed in 0..30 {
        let mut cluster = Cluster::started(4, seed);
        cluster.nodes[0].clock.ppm = -12_000;
        cluster.nodes[3].clock.ppm = 12_000;
        cluster.has_watch = false;
        cluster.kill(3);
        cluster.run_until_settled(10_000);
        cluster.start(3);
        for peer in 1..4 {
            cluster.block_link(0, peer);
            cluster.block_link(peer, 0);
        }
        while !stored_map(&cluster)
            .active()
            .any(|id| *id == cluster.nodes[3].id)
        {
            cluster.send_map_hint(0);
            cluster.run(1);
        }
        cluster.nodes[0].is_isolated_from_platform = true;
        cluster.run(3_000);
    }
}
