//! Where streams began, as instances find it that continue them, in virtual time.

mod support;

use std::time::Duration;

use bluebellstage_core::WorkspaceId;
use bluebellstage_gateway::decide::streams::origins::StreamKey;
use support::fleet::{Fleet, Network};
use support::streams::{LIFETIME, Stream, begin, continue_all};

/// Sizes and numbers of failure domains of the fleets.
const FLEETS: [(usize, usize); 4] = [(8, 3), (60, 3), (195, 5), (380, 5)];
/// Streams that begin in each second at each instance of a fleet at its design load.
const STREAMS_A_SECOND: usize = 12;
/// Longest time that a lookup may take: a request that continues a stream waits for it.
const MAX_LOOKUP: Duration = Duration::from_millis(250);

/// Seconds over which network and memory are measured.
const SECONDS: usize = 2;
/// Least fraction of origins that are found after a third of the instances is killed: one in 27 has lost all three
/// replicas.
const MIN_KNOWN: f64 = 0.9;
/// The same after another third is killed, and lost datagrams.
const MIN_KNOWN_AFTER_TWO: f64 = 0.85;

fn started(count: usize, domains: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(count, domains, seed);
    fleet.run_ms(3_000);
    fleet
}

/// Kills every third instance. Returns the streams that those began.
fn kill_a_third(fleet: &mut Fleet, streams: Vec<Stream>) -> Vec<Stream> {
    for idx in (0..fleet.len()).step_by(3) {
        fleet.kill(idx);
    }
    let mut streams = streams;
    streams.retain(|stream| !fleet.is_running(stream.instance));
    streams
}

/// Guards against streams that can't go on because a third of the instances is killed at once.
#[test]
fn origins_outlive_a_third_of_the_instances() {
    for (count, domains) in FLEETS {
        let mut fleet = started(count, domains, 61);
        let streams = begin(&mut fleet, 0, 600);
        fleet.run_ms(50);
        let interrupted = kill_a_third(&mut fleet, streams);
        let found = continue_all(&mut fleet, &interrupted);
        assert_eq!(found.wrong, 0, "{count}");
        assert!(found.known_fraction() >= MIN_KNOWN, "{count}: {found:?}");
        assert!(found.longest <= MAX_LOOKUP, "{count}: {found:?}");
    }
}

/// Guards against origins that are lost while members join, leave and restart, and datagrams are lost.
#[test]
fn origins_outlive_changes_of_the_members() {
    for (count, domains, seeds) in [(8, 3, 6), (60, 3, 2), (195, 5, 1)] {
        for seed in 0..seeds {
            let mut fleet = started(count, domains, 70 + seed);
            fleet.network = Network::UNRELIABLE;
            let streams = begin(&mut fleet, 0, 300);
            fleet.run_ms(100);
            let interrupted = kill_a_third(&mut fleet, streams);
            fleet.run_ms(1_500);
            for idx in (0..count).step_by(3) {
                fleet.restart(idx, idx % 2 == 0);
            }
            fleet.run_ms(1_500);
            for idx in (1..count).step_by(3) {
                fleet.kill(idx);
            }
            let found = continue_all(&mut fleet, &interrupted);
            assert_eq!(found.wrong, 0, "{count}, {seed}");
            assert!(
                found.known_fraction() >= MIN_KNOWN_AFTER_TWO,
                "{count}, {seed}: {found:?}"
            );
            assert!(found.longest <= MAX_LOOKUP, "{count}, {seed}: {found:?}");
        }
    }
}

/// Guards against origins that restarts in turn take away, instance by instance.
#[test]
fn origins_outlive_restarts_of_all_instances_in_turn() {
    let mut fleet = started(8, 3, 91);
    let streams = begin(&mut fleet, 0, 300);
    fleet.run_ms(100);
    for idx in 0..8 {
        fleet.kill(idx);
        fleet.run_ms(1_300);
        fleet.restart(idx, false);
        fleet.run_ms(500);
    }
    let found = continue_all(&mut fleet, &streams);
    assert_eq!((found.known, found.wrong), (300, 0), "{found:?}");
}

/// Guards against a replica that is only asked by those who see the same members as the instance that stored at it.
#[test]
fn origins_are_found_after_a_partition_between_failure_domains() {
    let mut fleet = started(60, 3, 92);
    fleet.partitions = vec![(0, 1), (0, 2), (1, 0), (2, 0)];
    fleet.run_ms(1_500);
    let streams = begin(&mut fleet, 0, 300);
    fleet.run_ms(1_000);
    fleet.partitions.clear();
    fleet.run_ms(1_000);
    let found = continue_all(&mut fleet, &streams);
    assert_eq!((found.known, found.wrong), (300, 0), "{found:?}");
}

/// Guards against origins that are kept for longer than a caller may name them.
#[test]
fn origins_expire() {
    let mut fleet = started(8, 3, 93);
    let streams = begin(&mut fleet, 0, 300);
    fleet.run_ms(100);
    fleet.restart(3, false);
    fleet.run(LIFETIME);
    let kept = (0..8).map(|idx| fleet.tables(idx).origins.count());
    assert_eq!(kept.sum::<usize>(), 0);
    assert_eq!(continue_all(&mut fleet, &streams).known, 0);
}

/// Guards against origins that take more of the network or of memory than the design allows: 2 KB a second at each
/// instance.
#[test]
fn origins_keep_to_their_share_of_network_and_memory() {
    for (count, domains) in FLEETS {
        let mut fleet = started(count, domains, 94);
        let before = (0..count).map(|idx| fleet.origin_bytes(idx)).sum::<u64>();
        for second in 0..SECONDS {
            let streams = STREAMS_A_SECOND * count;
            begin(&mut fleet, second * streams, streams);
            fleet.run_ms(1_000);
        }
        let after = (0..count).map(|idx| fleet.origin_bytes(idx)).sum::<u64>();
        let instances = u64::try_from(count).unwrap();
        let seconds = u64::try_from(SECONDS).unwrap();
        let bytes_a_second = (after - before) / seconds / instances;
        let kept = (0..count).map(|idx| fleet.tables(idx).origins.count());
        assert!(bytes_a_second <= 2_000, "{count}: {bytes_a_second}");
        // The instance that serves a stream keeps its origin, too.
        let kept = kept.sum::<usize>() / count;
        assert!(kept <= SECONDS * 4 * STREAMS_A_SECOND, "{count}: {kept}");
    }
}

/// Guards against callers who learn of, or steer, streams of another workspace.
#[test]
fn keys_differ_between_workspaces() {
    let [a, b] = ["a", "a/1"].map(|name| WorkspaceId::try_from(name).unwrap());
    let keys = [
        StreamKey::of(Some(&a), "r1"),
        StreamKey::of(Some(&b), "r1"),
        StreamKey::of(None, "r1"),
        StreamKey::of(Some(&a), "r2"),
    ];
    for (idx, key) in keys.iter().enumerate() {
        assert!(!keys[idx + 1..].contains(key));
    }
}
