//! Streams that are taken up at instances whose view of the targets is out of date, in virtual time.

mod support;

use std::time::Duration;

use support::fleet::{Fleet, Network};
use support::streams::{Found, continue_all, continue_at, continue_suspended, unheard};

/// Sizes and numbers of failure domains of the fleets.
const FLEETS: [(usize, usize); 4] = [(8, 8), (60, 60), (195, 5), (380, 5)];
/// The smaller ones, for what a fleet's size does not change beyond the second.
const SMALL_FLEETS: [(usize, usize); 2] = [(8, 8), (60, 60)];
/// Times for which an instance is cut off when another software version comes, in milliseconds.
const CUTS_MS: [u64; 5] = [4_000, 2_000, 1_000, 500, 200];
/// Software versions before and after another one has come.
const BEFORE: [&str; 1] = ["v1"];
const AFTER: [&str; 2] = ["v1", "v2"];
/// Number of streams in a test.
const STREAMS: usize = 60;
/// Time in which instances learn of other targets, in milliseconds.
const LEARNING_MS: u64 = 100;
/// Longest time that a lookup may take: a request that continues a stream waits for it.
const MAX_LOOKUP: Duration = Duration::from_millis(250);
/// Most of 100 streams that may be refused in calm over a lossy network.
const MAX_REFUSED_PERCENT: usize = 1;

fn started((count, domains): (usize, usize), seed: u64) -> Fleet {
    let mut fleet = Fleet::of_versions(count, domains, seed, &BEFORE);
    fleet.run_ms(3_000);
    fleet
}

/// Cuts off an instance for each of [`CUTS_MS`], the ones that are cut off for longest first, with `cut`.
fn cut_in_turn(fleet: &mut Fleet, cut: impl Fn(&mut Fleet, usize)) -> Vec<usize> {
    let mut cut_off = Vec::new();
    for (idx, cut_ms) in CUTS_MS.iter().enumerate() {
        cut(fleet, idx);
        cut_off.push(idx);
        let next_ms = CUTS_MS.get(idx + 1).unwrap_or(&0);
        fleet.run_ms(cut_ms - next_ms);
    }
    cut_off
}

/// Another version comes, and streams of which nobody has heard are taken up at `instances`.
fn take_up_after_release(fleet: &mut Fleet, instances: &[usize]) -> Found {
    fleet.set_versions(&AFTER);
    fleet.run_ms(LEARNING_MS);
    continue_at(fleet, &unheard(STREAMS), instances)
}

/// Guards against streams that go on at another version at an instance that is cut off from all while theirs came.
#[test]
fn instances_that_are_cut_off_do_not_take_the_version_that_they_know_for_the_only_one() {
    for size in FLEETS {
        let mut fleet = started(size, 121);
        let cut_off = cut_in_turn(&mut fleet, |fleet, idx| fleet.cut_off(&[idx]));
        let found = take_up_after_release(&mut fleet, &cut_off);
        assert_eq!(found.refused, STREAMS, "{size:?}");
        assert!(found.longest <= MAX_LOOKUP, "{size:?}: {found:?}");
    }
}

/// Guards against instances that are cut off together and take each other's word for the store's.
#[test]
fn instances_that_are_cut_off_together_do_not_confirm_each_other() {
    for cut_ms in CUTS_MS {
        let mut fleet = started((8, 8), 122);
        fleet.cut_off(&[1, 2]);
        fleet.run_ms(cut_ms);
        let found = take_up_after_release(&mut fleet, &[1, 2]);
        assert_eq!(found.refused, STREAMS, "{cut_ms} ms");
        // Once the store was asked in vain, nobody waits for it.
        let found = continue_at(&mut fleet, &unheard(STREAMS), &[1, 2]);
        assert_eq!(found.refused, STREAMS, "{cut_ms} ms");
        assert!(found.longest <= MAX_LOOKUP, "{cut_ms}: {found:?}");
    }
}

/// Guards against an instance that is cut off from its peers alone and asks nobody who knows of the other version.
#[test]
fn instances_that_are_cut_off_from_their_peers_learn_of_another_version_from_the_store() {
    for size in SMALL_FLEETS {
        let mut fleet = started(size, 123);
        let cut_off = cut_in_turn(&mut fleet, |fleet, idx| fleet.cut_from_peers(&[idx]));
        let found = take_up_after_release(&mut fleet, &cut_off);
        assert_eq!(found.refused, STREAMS, "{size:?}");
    }
}

/// Guards against streams that are refused where one path is left on which an instance could ask.
#[test]
fn instances_with_a_path_to_the_store_or_to_peers_continue_streams_of_one_version() {
    for size in SMALL_FLEETS {
        let mut fleet = started(size, 124);
        let cut_off = cut_in_turn(&mut fleet, |fleet, idx| match idx % 2 {
            0 => fleet.cut_from_peers(&[idx]),
            _ => {
                fleet.cut_from_store.insert(idx);
            }
        });
        let found = continue_at(&mut fleet, &unheard(STREAMS), &cut_off);
        assert_eq!((found.unknown, found.refused), (STREAMS, 0), "{size:?}");
        assert!(found.longest <= MAX_LOOKUP, "{size:?}: {found:?}");
    }
}

/// Guards against streams that are refused in calm because what is known has to be confirmed.
#[test]
fn streams_of_one_version_are_not_refused_in_calm() {
    for size in [(1, 1), (2, 2)].into_iter().chain(FLEETS) {
        let mut fleet = started(size, 125);
        for _ in 0..3 {
            let found = continue_all(&mut fleet, &unheard(STREAMS));
            assert_eq!((found.unknown, found.refused), (STREAMS, 0), "{size:?}");
            assert!(found.longest <= MAX_LOOKUP, "{size:?}: {found:?}");
            fleet.run_ms(700);
        }
    }
}

/// Guards against confirmations that hang on single datagrams.
#[test]
fn streams_of_one_version_go_on_over_a_lossy_network() {
    for size in SMALL_FLEETS {
        let mut fleet = started(size, 126);
        fleet.network = Network::UNRELIABLE;
        let mut refused = 0;
        for _ in 0..5 {
            refused += continue_all(&mut fleet, &unheard(STREAMS)).refused;
            fleet.run_ms(700);
        }
        assert!(
            refused <= 5 * STREAMS * MAX_REFUSED_PERCENT / 100,
            "{size:?}: {refused}"
        );
    }
}

/// Guards against an end of a lookup that is taken for silence of all others, though their replies wait in the socket.
#[test]
fn a_suspension_between_question_and_reply_is_no_reply() {
    for size in SMALL_FLEETS {
        for suspended_ms in [100, 500, 4_000] {
            let mut fleet = started(size, 127);
            fleet.cut_off(&[1]);
            fleet.set_versions(&AFTER);
            fleet.reconnect(1);
            fleet.run_ms(LEARNING_MS);
            let span = Duration::from_millis(suspended_ms);
            let found = continue_suspended(&mut fleet, &unheard(STREAMS), 1, span);
            assert_eq!(found.refused, STREAMS, "{size:?}, {suspended_ms} ms");
        }
    }
}

/// Guards against an instance that was suspended during a release and goes on with what it knew before.
#[test]
fn a_suspended_instance_does_not_take_the_version_that_it_knows_for_the_only_one() {
    for size in SMALL_FLEETS {
        let mut fleet = started(size, 128);
        fleet.suspend(1);
        fleet.run_ms(4_000);
        fleet.set_versions(&AFTER);
        fleet.run_ms(LEARNING_MS);
        fleet.resume(1);
        let found = continue_at(&mut fleet, &unheard(STREAMS), &[1]);
        assert_eq!(found.refused, STREAMS, "{size:?}");
    }
}

/// Guards against an instance that goes on while all that it knew are gone and the store is silent.
#[test]
fn the_only_instance_left_does_not_go_on_with_what_it_knew_while_the_store_is_away() {
    for size in SMALL_FLEETS {
        let mut fleet = started(size, 129);
        fleet.suspend(1);
        fleet.set_versions(&AFTER);
        fleet.run_ms(1_000);
        for idx in (0..fleet.len()).filter(|idx| *idx != 1) {
            fleet.kill(idx);
        }
        fleet.records.is_away = true;
        fleet.cut_from_store.insert(1);
        fleet.resume(1);
        let found = continue_at(&mut fleet, &unheard(STREAMS), &[1]);
        assert_eq!(found.refused, STREAMS, "{size:?}");
    }
}
