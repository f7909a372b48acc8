//! Tests of holders that are killed and start again, in virtual time: from when they order, and for how long nobody does.

mod support;

use std::time::Duration;

use bluebellstage_gateway::decide::lease::{Handover, LeaseRecord};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::lease_holders::{HANDOVER, Holders, Link};

/// Time for which a killed instance is away.
const AWAY_MS: u64 = 500;
const AWAY: Duration = Duration::from_millis(AWAY_MS);
/// Time of a few calls to the store.
const CALLS: Duration = Duration::from_millis(100);

/// Two instances. The first has ordered and is cut from the store, and orders until its lease ends; the second has just
/// taken the lease over.
fn taken_over() -> Holders {
    let mut holders = Holders::start(2);
    holders.run_until_ordering(0);
    holders.run_for(1_000);
    holders.set_link(0, Link::Cut);
    holders.run_until_named(1);
    holders
}

/// Guards against a holder that is killed before its handover has ended, and whose next process orders at once.
#[test]
fn a_holder_that_is_killed_within_its_handover_waits_for_it_again() {
    for killed_ms in (0..3_000).step_by(50) {
        let mut holders = taken_over();
        holders.run_for(killed_ms);
        let killed_at = holders.now_ms();
        holders.kill(1, AWAY_MS);
        holders.run_for(10_000);
        assert_eq!(holders.early_turns(), [], "killed after {killed_ms} ms");
        let first = holders.first_order_after(1, killed_at).unwrap();
        assert!(first <= AWAY + HANDOVER + CALLS, "{killed_ms}: {first:?}");
    }
}

/// Guards against a restart in place after which nobody orders for the time of a handover that had ended before.
#[test]
fn a_holder_that_is_killed_after_its_handover_goes_on_at_once() {
    for killed_ms in (100..8_000).step_by(50) {
        let mut holders = taken_over();
        holders.run_until_ordering(1);
        holders.run_for(killed_ms);
        let killed_at = holders.now_ms();
        holders.kill(1, AWAY_MS);
        holders.run_for(5_000);
        assert_eq!(holders.early_turns(), [], "killed after {killed_ms} ms");
        let idle = holders.longest_idle(killed_at - 100);
        assert!(idle <= AWAY + CALLS, "{killed_ms}: {idle:?}");
    }
}

/// Guards against kills in series of which one ends the wait for all later processes.
#[test]
fn kills_in_series_end_no_handover() {
    for (first_ms, second_ms) in [(0, 100), (100, 600), (900, 1_500), (2_000, 2_500)] {
        let mut holders = taken_over();
        holders.run_for(first_ms);
        holders.kill(1, 100);
        holders.run_for(second_ms);
        holders.kill(1, 100);
        holders.run_for(10_000);
        assert_eq!(holders.early_turns(), [], "{first_ms} and {second_ms} ms");
    }
}

/// Guards against a holder that can't know that it took the lease over, as the response to its claim was lost.
#[test]
fn a_claim_without_a_response_ends_no_handover() {
    for is_killed in [false, true] {
        let mut holders = Holders::start(2);
        holders.run_until_ordering(0);
        holders.run_for(1_000);
        holders.set_link(0, Link::Cut);
        holders.run_for(3_000);
        holders.set_link(1, Link::LosesResponses);
        holders.run_until_named(1);
        let claimed_at = holders.now_ms();
        holders.set_link(1, Link::Whole);
        if is_killed {
            holders.kill(1, 100);
        }
        holders.run_for(10_000);
        assert_eq!(holders.early_turns(), [], "killed: {is_killed}");
        let first = holders.first_order_after(1, claimed_at).unwrap();
        let call = Duration::from_millis(1_500);
        assert!(first <= call + HANDOVER + CALLS, "{is_killed}: {first:?}");
    }
}

/// Guards against a lease that is released within its handover, and whose next holder does not wait.
#[test]
fn a_lease_that_is_released_within_its_handover_is_not_used_early() {
    for released_ms in (0..3_000).step_by(100) {
        for away_ms in [300, 6_000] {
            let mut holders = taken_over();
            holders.run_for(released_ms);
            holders.stop(1, away_ms);
            holders.set_link(0, Link::Whole);
            holders.run_for(20_000);
            let turns = holders.early_turns();
            assert_eq!(
                turns,
                [],
                "released after {released_ms} ms, away {away_ms} ms"
            );
        }
    }
}

/// Guards against a handover that begins anew when a renewal within it has no response, or conflicts with that one.
#[test]
fn a_renewal_without_a_response_prolongs_no_handover() {
    let mut holders = taken_over();
    let taken_at = holders.now_ms();
    holders.run_for(1_000);
    holders.set_link(1, Link::LosesResponses);
    holders.run_for(1_000);
    holders.set_link(1, Link::Whole);
    holders.run_for(5_000);
    assert_eq!(holders.early_turns(), []);
    let first = holders.first_order_after(1, taken_at).unwrap();
    assert!(first <= HANDOVER + CALLS, "{first:?}");
}

/// Guards against a record of a release that stores no handover, whose holder is taken for one that may order.
#[test]
fn a_record_without_a_handover_counts_as_one_whose_handover_begins() {
    let stored = r#"{"holder":"instance-0","fencing":4,"renewal":9,"released":false}"#;
    let record = serde_json::from_str::<LeaseRecord>(stored).unwrap();
    assert_eq!(record.handover, Handover::Unknown);
    let mut holders = Holders::start(2);
    holders.run_until_ordering(0);
    holders.run_for(1_000);
    if let Some(record) = &mut holders.object.record {
        record.handover = Handover::Unknown;
    }
    let killed_at = holders.now_ms();
    holders.kill(0, AWAY_MS);
    holders.run_for(10_000);
    let first = holders.first_order_after(0, killed_at).unwrap();
    let wait = AWAY + HANDOVER;
    assert!((wait..wait + CALLS).contains(&first), "{first:?}");
}

/// Longest time without orders after a holder was lost together with the store's knowledge of it.
const LOST_HOLDER: Duration = Duration::from_secs(10);

/// Guards against a process that starts after the store was restored from a copy that names its instance, and that does not
/// wait for the holder that the copy lacks.
#[test]
fn a_process_that_finds_an_older_copy_waits_for_a_holder_that_it_lacks() {
    let mut holders = Holders::start(2);
    holders.run_until_ordering(0);
    holders.run_for(5_000);
    let copy = holders.object.record.clone();
    holders.kill(0, 60_000);
    holders.run_until_ordering(1);
    holders.run_for(1_000);
    holders.object.restore(copy);
    holders.set_link(1, Link::Cut);
    let restored_at = holders.now_ms();
    holders.kill(0, AWAY_MS);
    holders.run_for(15_000);
    assert_eq!(holders.early_turns(), []);
    let first = holders.first_order_after(0, restored_at).unwrap();
    assert!(first <= LOST_HOLDER, "{first:?}");
}

/// Guards against an instance that takes a lease which the restored store lacks, right after the last order of a holder that
/// is cut from the store.
#[test]
fn a_lease_that_the_restored_store_lacks_is_not_used_early() {
    let mut holders = Holders::start(2);
    holders.run_until_ordering(0);
    holders.run_for(5_000);
    holders.object.restore(None);
    holders.set_link(0, Link::Cut);
    let restored_at = holders.now_ms();
    holders.run_for(15_000);
    assert_eq!(holders.early_turns(), []);
    let first = holders.first_order_after(1, restored_at).unwrap();
    assert!(first <= LOST_HOLDER, "{first:?}");
}

/// Guards against early turns when the store is restored again and again from copies that are some seconds old.
#[test]
fn holders_take_no_early_turns_when_the_store_is_restored() {
    let mut early = Vec::new();
    for seed in 0..100 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut holders = Holders::start(4);
        let mut copies = Vec::new();
        for _ in 0..40 {
            let pause = rng.random_range(10..6_000) / 10 * 10;
            holders.run_for(pause);
            copies.push(holders.object.record.clone().unwrap());
            if rng.random_bool(0.2) {
                let newest = copies.len() - 1;
                let copy = copies[rng.random_range(newest.saturating_sub(3)..=newest)].clone();
                let former = holders.named().filter(|_| rng.random_bool(0.7));
                holders.object.restore(Some(copy));
                if let Some(former) = former {
                    holders.set_link(former, Link::Cut);
                }
            }
            trouble(&mut holders, &mut rng, 4);
        }
        let turns = holders.early_turns();
        early.extend(turns.into_iter().map(|gap| (seed, gap)));
    }
    println!("{} early turns", early.len());
    assert_eq!(early, []);
}

/// A trouble of one instance, at random.
fn trouble(holders: &mut Holders, rng: &mut ChaCha8Rng, count: usize) {
    let idx = match holders.named() {
        Some(named) if rng.random_bool(0.6) => named,
        _ => rng.random_range(0..count),
    };
    let away_ms = rng.random_range(10..2_500) / 10 * 10;
    match rng.random_range(0..6) {
        0 | 1 => holders.kill(idx, away_ms),
        2 => holders.stop(idx, away_ms),
        3 => holders.set_link(idx, Link::Cut),
        4 => holders.set_link(idx, Link::LosesResponses),
        _ => {
            for idx in 0..count {
                holders.set_link(idx, Link::Whole);
            }
        }
    }
}

/// Guards against two holders that order too soon one after the other, after whichever kills, stops and lost calls.
#[test]
fn holders_take_no_early_turns_under_random_trouble() {
    let mut idle = Duration::ZERO;
    let mut all = Duration::ZERO;
    let mut early = Vec::new();
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut holders = Holders::start(4);
        for _ in 0..40 {
            let pause = rng.random_range(10..6_000) / 10 * 10;
            holders.run_for(pause);
            trouble(&mut holders, &mut rng, 4);
        }
        let turns = holders.early_turns();
        early.extend(turns.into_iter().map(|gap| (seed, gap)));
        idle += holders.idle();
        all += Duration::from_millis(holders.now_ms());
    }
    let share = idle.as_secs_f64() / all.as_secs_f64();
    println!(
        "{} early turns, no orders for {share:.3} of the time",
        early.len()
    );
    assert_eq!(early, []);
    assert!(share < 0.425, "no orders for {share:.3} of the time");
}
