//! What the store keeps of streams while all instances end at once, in virtual time.

mod support;

use std::time::Duration;

use support::fleet::{Fleet, Network};
use support::streams::{LIFETIME, Stream, begin, continue_all, unheard};

/// Sizes and numbers of failure domains of the fleets.
const FLEETS: [(usize, usize); 4] = [(8, 3), (60, 3), (195, 5), (380, 5)];
/// The smaller ones, for what a fleet's size does not change beyond the second.
const SMALL_FLEETS: [(usize, usize); 2] = [(8, 3), (60, 3)];
/// The software versions of the streams of these tests.
const VERSIONS: [&str; 2] = ["v1.4", "v1.5"];
/// Number of streams in a test.
const STREAMS: usize = 300;
/// Time after which all that began before is stored.
const STORING_TIME_MS: u64 = 1_000;
/// Time from a kill to the restart.
const DOWN_MS: u64 = 300;
/// Longest time that a lookup may take after a restart: a request waits for it.
const MAX_LOOKUP: Duration = Duration::from_millis(250);
/// Least fraction of origins that are found after a kill of all if datagrams are lost, one in twenty.
const MIN_KNOWN: f64 = 0.9;
/// Most writes of a fleet in a second: a quarter of what the smallest store takes.
const MAX_WRITES_A_SECOND: usize = 100;
/// For how long a stream may be continued.
const MAX_LIFETIME: Duration = Duration::from_mins(1);

fn started(count: usize, domains: usize, seed: u64, versions: &[&'static str]) -> Fleet {
    let mut fleet = Fleet::of_versions(count, domains, seed, versions);
    fleet.run_ms(3_000);
    fleet
}

fn kill_and_restart_all(fleet: &mut Fleet) {
    fleet.kill_all();
    fleet.run_ms(DOWN_MS);
    fleet.restart_all();
}

fn begin_and_store(fleet: &mut Fleet) -> Vec<Stream> {
    let streams = begin(fleet, 0, STREAMS);
    fleet.run_ms(STORING_TIME_MS);
    streams
}

/// Guards against streams of two versions that are lost because all instances were killed at once.
#[test]
fn origins_outlive_a_kill_of_all_instances() {
    for (count, domains) in FLEETS {
        let mut fleet = started(count, domains, 101, &VERSIONS);
        let streams = begin_and_store(&mut fleet);
        kill_and_restart_all(&mut fleet);
        let found = continue_all(&mut fleet, &streams);
        assert_eq!((found.known, found.wrong), (STREAMS, 0), "{count}");
        assert!(found.longest <= MAX_LOOKUP, "{count}: {found:?}");
    }
}

/// Guards against origins that hang on single datagrams.
#[test]
fn origins_outlive_a_kill_of_all_instances_over_a_lossy_network() {
    for (count, domains) in SMALL_FLEETS {
        let mut fleet = started(count, domains, 102, &VERSIONS);
        fleet.network = Network::UNRELIABLE;
        let streams = begin_and_store(&mut fleet);
        kill_and_restart_all(&mut fleet);
        let found = continue_all(&mut fleet, &streams);
        assert_eq!(found.wrong, 0, "{count}");
        assert!(found.known_fraction() >= MIN_KNOWN, "{count}: {found:?}");
    }
}

/// Guards against streams that go on at any version because theirs left before all instances were killed.
#[test]
fn streams_of_unknown_origin_are_refused_after_a_kill_of_all_if_a_version_has_left() {
    for (count, domains) in SMALL_FLEETS {
        let mut fleet = started(count, domains, 103, &VERSIONS);
        fleet.set_versions(&VERSIONS[1..]);
        fleet.run_ms(STORING_TIME_MS);
        kill_and_restart_all(&mut fleet);
        let found = continue_all(&mut fleet, &unheard(STREAMS));
        assert_eq!(found.refused, STREAMS, "{count}");
    }
}

/// Guards against streams that are refused where there is one version and no other can be meant.
#[test]
fn streams_of_unknown_origin_go_on_after_a_kill_of_all_if_there_was_one_version() {
    for (count, domains) in FLEETS {
        let mut fleet = started(count, domains, 104, &VERSIONS[..1]);
        kill_and_restart_all(&mut fleet);
        let found = continue_all(&mut fleet, &unheard(STREAMS));
        assert_eq!((found.unknown, found.refused), (STREAMS, 0), "{count}");
        assert!(found.longest <= MAX_LOOKUP, "{count}: {found:?}");
    }
}

/// Guards against streams that began while there was one version, and are lost when a second one has just come.
#[test]
fn origins_from_before_a_second_version_outlive_a_kill_of_all() {
    for (count, domains) in SMALL_FLEETS {
        let mut fleet = started(count, domains, 105, &VERSIONS[..1]);
        let streams = begin_and_store(&mut fleet);
        fleet.set_versions(&VERSIONS);
        fleet.run_ms(STORING_TIME_MS);
        kill_and_restart_all(&mut fleet);
        let found = continue_all(&mut fleet, &streams);
        assert_eq!((found.known, found.wrong), (STREAMS, 0), "{count}");
    }
}

/// Guards against a new process that writes over what it has not read, and is killed again.
#[test]
fn origins_outlive_kills_of_all_instances_in_series() {
    for (count, domains) in SMALL_FLEETS {
        let mut fleet = started(count, domains, 106, &VERSIONS);
        let streams = begin_and_store(&mut fleet);
        for pause_ms in [5, 50, 120, 400, 1_500] {
            kill_and_restart_all(&mut fleet);
            fleet.run_ms(pause_ms);
            begin(&mut fleet, STREAMS, 50);
        }
        kill_and_restart_all(&mut fleet);
        let found = continue_all(&mut fleet, &streams);
        assert_eq!((found.known, found.wrong), (STREAMS, 0), "{count}");
    }
}

/// Guards against a new process that takes a store that does not answer for one that keeps nothing.
#[test]
fn streams_wait_for_the_store_or_are_refused_while_it_is_away() {
    for (count, domains) in SMALL_FLEETS {
        let mut fleet = started(count, domains, 107, &VERSIONS);
        let streams = begin_and_store(&mut fleet);
        fleet.records.is_away = true;
        fleet.set_versions(&VERSIONS[1..]);
        kill_and_restart_all(&mut fleet);
        let found = continue_all(&mut fleet, &streams);
        assert_eq!(found.refused, STREAMS, "{count}");
        fleet.records.is_away = false;
        fleet.run_ms(2_000);
        let found = continue_all(&mut fleet, &streams);
        assert_eq!((found.known, found.wrong), (STREAMS, 0), "{count}");
    }
}

/// Guards against origins that are lost with the store's newest writes.
#[test]
fn origins_are_written_again_to_a_restored_store() {
    let mut fleet = started(8, 3, 108, &VERSIONS[..1]);
    let copy = fleet.records.clone();
    fleet.set_versions(&VERSIONS);
    let streams = begin_and_store(&mut fleet);
    fleet.records.restore(&copy);
    fleet.run_ms(STORING_TIME_MS);
    kill_and_restart_all(&mut fleet);
    let found = continue_all(&mut fleet, &streams);
    assert_eq!((found.known, found.wrong), (STREAMS, 0));
}

/// Guards against records that stay when no stream of a former version can be left.
#[test]
fn a_version_and_all_origins_are_removed_when_no_stream_of_it_is_left() {
    let mut fleet = started(8, 3, 109, &VERSIONS);
    begin_and_store(&mut fleet);
    assert!(fleet.records.origin_objects() > 0);
    fleet.set_versions(&VERSIONS[1..]);
    fleet.run(MAX_LIFETIME.saturating_sub(Duration::from_secs(1)));
    assert_eq!(fleet.records.versions().iter().count(), 2);
    fleet.run_ms(3_000);
    assert_eq!(fleet.records.versions().iter().count(), 1);
    assert_eq!(fleet.records.origin_objects(), 0);
}

/// Guards against objects that instances leave behind that are gone for good.
#[test]
fn origins_of_instances_that_are_gone_are_removed() {
    let mut fleet = started(8, 3, 110, &VERSIONS);
    begin_and_store(&mut fleet);
    fleet.kill_all();
    fleet.set_versions(&VERSIONS[1..]);
    for idx in [0, 1, 2] {
        fleet.restart(idx, false);
    }
    fleet.run(MAX_LIFETIME + Duration::from_secs(3));
    assert_eq!(fleet.records.origin_objects(), 0);
}

/// Guards against a fleet that uses up the store's calls in a release, or calls it without need after it.
#[test]
fn records_keep_to_their_share_of_the_stores_calls() {
    for (count, domains) in [FLEETS[0], FLEETS[3]] {
        let mut fleet = started(count, domains, 111, &VERSIONS[..1]);
        let before = fleet.records.writes();
        for second in 0..2 {
            begin(&mut fleet, second * 12 * count, 12 * count);
            fleet.run_ms(1_000);
        }
        assert_eq!(fleet.records.writes(), before, "{count}: one version");
        fleet.set_versions(&VERSIONS);
        for second in 2..5 {
            begin(&mut fleet, second * 12 * count, 12 * count);
            fleet.run_ms(1_000);
        }
        let writes = fleet.records.writes() - before;
        assert!(writes <= 3 * MAX_WRITES_A_SECOND, "{count}: {writes}");
    }
}

/// Guards against origins that are read from the store and kept for longer than a caller may name them.
#[test]
fn origins_read_from_the_store_expire() {
    let mut fleet = started(8, 3, 112, &VERSIONS);
    let streams = begin_and_store(&mut fleet);
    kill_and_restart_all(&mut fleet);
    fleet.run(LIFETIME + Duration::from_secs(1));
    let kept = (0..8).map(|idx| fleet.tables(idx).origins.recalled_count());
    assert_eq!(kept.sum::<usize>(), 0);
    assert_eq!(continue_all(&mut fleet, &streams).known, 0);
}

/// Guards against writers that call a store again and again that answers reads and takes no writes.
#[test]
fn a_store_that_takes_no_writes_is_called_no_more_often_than_one_that_does() {
    let mut fleet = started(8, 3, 113, &VERSIONS);
    let writes_in = |fleet: &mut Fleet| {
        let before = fleet.records.writes();
        for step in 0..50 {
            begin(fleet, STREAMS * step, 20);
            fleet.run_ms(200);
        }
        fleet.records.writes() - before
    };
    let taken = writes_in(&mut fleet);
    fleet.records.is_read_only = true;
    fleet.set_versions(&["v1.6"]);
    let refused = writes_in(&mut fleet);
    assert!(refused <= taken, "{refused} of {taken}");
}

/// Guards against writes of each of many instances that are stopped at once in a release.
#[test]
fn instances_that_stop_leave_the_writing_to_others() {
    let mut fleet = started(60, 3, 114, &VERSIONS);
    begin_and_store(&mut fleet);
    for idx in (0..60).step_by(3) {
        fleet.tables_mut(idx).stopping = true;
    }
    let before = fleet.records.writes();
    for second in 1..4 {
        begin(&mut fleet, STREAMS * second, STREAMS);
        fleet.run_ms(1_000);
    }
    let writes = fleet.records.writes() - before;
    assert!(writes <= 3 * MAX_WRITES_A_SECOND, "{writes}");
}

/// Guards against origins that all instances take with them that are stopped at the same moment.
#[test]
fn origins_outlive_a_planned_stop_of_all_instances() {
    for (count, domains) in SMALL_FLEETS {
        let mut fleet = started(count, domains, 115, &VERSIONS);
        let streams = begin(&mut fleet, 0, STREAMS);
        for idx in 0..count {
            fleet.tables_mut(idx).stopping = true;
        }
        fleet.run_ms(STORING_TIME_MS);
        kill_and_restart_all(&mut fleet);
        let found = continue_all(&mut fleet, &streams);
        assert_eq!((found.known, found.wrong), (STREAMS, 0), "{count}");
    }
}

/// Guards against streams of one version that are refused because the instances that read the store first do not come back.
#[test]
fn streams_go_on_though_the_first_readers_stay_away_after_a_kill_of_all() {
    let mut fleet = started(60, 3, 116, &VERSIONS[..1]);
    fleet.kill_all();
    fleet.run_ms(DOWN_MS);
    // The strongest instances come first.
    for idx in 9..60 {
        fleet.restart(idx, false);
    }
    let found = continue_all(&mut fleet, &unheard(STREAMS));
    assert_eq!((found.unknown, found.refused), (STREAMS, 0));
    assert!(found.longest <= MAX_LOOKUP, "{found:?}");
}

/// Guards against a record that can't be decoded and is never written over, so that each new process refuses streams.
#[test]
fn a_record_of_the_versions_that_cannot_be_decoded_is_written_over() {
    let mut fleet = started(8, 3, 117, &VERSIONS);
    let streams = begin_and_store(&mut fleet);
    fleet.records.garble_versions();
    kill_and_restart_all(&mut fleet);
    fleet.run_ms(STORING_TIME_MS);
    let found = continue_all(&mut fleet, &streams);
    assert_eq!((found.known, found.wrong), (STREAMS, 0));
    assert!(fleet.records.origin_objects() > 0);
    fleet.run(MAX_LIFETIME + Duration::from_secs(5));
    assert!(!fleet.records.is_garbled());
    let before = fleet.records.calls();
    fleet.run_ms(2_000);
    assert_eq!(fleet.records.calls(), before);
}
