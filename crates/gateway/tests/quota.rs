//! Tests of quotas over several instances.

mod support;

use std::time::Duration;

use bluebellstage_core::{Incarnation, InstanceId, Time, WorkspaceId};
use bluebellstage_gateway::decide::quota::{Charged, Quotas, Sharing, SpentWord};
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use support::{at, quota};

const NO_PAUSE: Duration = Duration::ZERO;
const LONG: Duration = Duration::from_mins(1);

/// A peer's word on its spending, to one who has heard it before.
fn spent(total: u64) -> SpentWord {
    SpentWord {
        account: ShortHash::of(north().as_str()),
        total,
        lately: 0,
    }
}

fn north() -> WorkspaceId {
    WorkspaceId::try_from("north").unwrap()
}

/// Buckets that were begun long ago.
fn full() -> Quotas {
    let mut quotas = Quotas::default();
    quotas.prepare(&north(), quota(1_000, 1_000), 0.0, Time::from_millis(0));
    quotas
}

fn name(idx: usize) -> InstanceId {
    InstanceId::try_from(&*format!("i{idx}")).unwrap()
}

fn charge(quotas: &mut Quotas, units: u64, now: Time) -> Charged {
    quotas.charge(
        &north(),
        quota(1_000, 1_000),
        units,
        Sharing::default(),
        NO_PAUSE,
        now,
    )
}

/// Tells every instance what the others have spent.
fn gossip(fleet: &mut [Quotas], now: Time) {
    let spent = fleet
        .iter_mut()
        .map(|quotas| quotas.tell_spent(LONG, now).pop())
        .collect::<Vec<_>>();
    for (idx, quotas) in fleet.iter_mut().enumerate() {
        for (other, spent) in spent.iter().enumerate().filter(|(other, _)| *other != idx) {
            if let Some(word) = spent {
                quotas.heard(&name(other), Incarnation(1), *word, false, true, now);
            }
        }
    }
}

/// One workspace sends several times its rate through all instances, each of which sees an eighth
/// of it.
#[test]
fn a_fleet_stays_within_a_tenth_of_the_quota_under_six_times_its_rate() {
    let mut fleet = (0..8).map(|_| full()).collect::<Vec<_>>();
    let mut run = 0;
    for quotas in &mut fleet {
        charge(quotas, 0, at(0));
    }
    for ms in 0..16_000_u64 {
        if ms % 100 == 0 {
            gossip(&mut fleet, at(ms));
        }
        if ms % 8 == 0 {
            let idx = usize::try_from(ms / 8 % 8).unwrap();
            if charge(&mut fleet[idx], 48, at(ms)) == Charged::Within {
                run += 48;
            }
        }
    }
    assert!((15_000..=17_000 + 1_700).contains(&run), "{run}");
}

#[test]
fn a_request_that_fits_in_a_moment_waits_for_it() {
    let mut quotas = full();
    let pause = Duration::from_millis(200);
    let mut charge = |now| {
        quotas.charge(
            &north(),
            quota(1_000, 1_000),
            450,
            Sharing::default(),
            pause,
            now,
        )
    };
    assert_eq!(charge(at(0)), Charged::Within);
    assert_eq!(charge(at(0)), Charged::Within);
    assert!(matches!(charge(at(300)), Charged::After(_)));
    assert!(matches!(charge(at(300)), Charged::Over { .. }));
}

/// Filings are refused although their workspace is within its rate: its drafts, five times as
/// large, empty the bucket as fast as it fills.
#[test]
fn small_charges_find_room_beside_large_ones() {
    let mut quotas = full();
    let mut filings = 0;
    for ms in (0..10_000).step_by(20) {
        charge(&mut quotas, 300, at(ms));
        if ms % 500 == 0 && charge(&mut quotas, 20, at(ms)) == Charged::Within {
            filings += 1;
        }
    }
    assert_eq!(filings, 20);
}

/// A workspace is refused far below its quota: charges that peers gave back were counted as spent
/// when the peers spent them again.
#[test]
fn what_a_peer_gives_back_is_not_counted_twice() {
    let mut quotas = full();
    charge(&mut quotas, 0, at(0));
    for round in 0..20 {
        let total = if round % 2 == 0 { 500 } else { 0 };
        quotas.heard(&name(1), Incarnation(1), spent(total), false, true, at(0));
    }
    assert_eq!(charge(&mut quotas, 800, at(0)), Charged::Within);
}

#[test]
fn a_peer_that_restarts_is_counted_from_its_first_word() {
    let mut quotas = full();
    charge(&mut quotas, 0, at(0));
    quotas.heard(&name(1), Incarnation(1), spent(100_000), false, true, at(0));
    quotas.heard(&name(1), Incarnation(2), spent(10), false, true, at(0));
    quotas.heard(&name(1), Incarnation(2), spent(110), false, true, at(0));
    assert_eq!(charge(&mut quotas, 790, at(0)), Charged::Within);
    assert!(matches!(
        charge(&mut quotas, 110, at(0)),
        Charged::Over { .. }
    ));
}

#[test]
fn an_instance_cut_off_from_half_of_the_others_spends_half() {
    let mut quotas = full();
    let mut run = 0;
    let half = Sharing {
        silent: 0.5,
        ..Sharing::default()
    };
    for ms in (0..8_000).step_by(10) {
        let charged = quotas.charge(&north(), quota(1_000, 1_000), 50, half, NO_PAUSE, at(ms));
        run += if charged == Charged::Within { 50 } else { 0 };
    }
    assert!((4_000..=5_050).contains(&run), "{run}");
}

#[test]
fn a_lower_quota_is_in_force_with_the_next_charge() {
    let mut quotas = full();
    charge(&mut quotas, 10, at(0));
    let lower = quotas.charge(
        &north(),
        quota(10, 10),
        10,
        Sharing::default(),
        NO_PAUSE,
        at(1),
    );
    assert_eq!(lower, Charged::Within);
    let next = quotas.charge(
        &north(),
        quota(10, 10),
        10,
        Sharing::default(),
        NO_PAUSE,
        at(2),
    );
    assert!(matches!(next, Charged::Over { .. }));
}

/// Units of a workspace at six times its rate that run in 8 s, once its burst is used up. It comes
/// through many instances, which hear of each other once a `round`.
fn run_of_a_hot_workspace(instances: usize, round_ms: u64) -> u64 {
    let mut fleet = (0..instances).map(|_| full()).collect::<Vec<_>>();
    let sharing = Sharing {
        silent: 0.0,
        lag: Duration::from_millis(round_ms / 2),
    };
    let wide = quota(100_000, 100_000);
    let mut run = 0;
    let instances = u64::try_from(instances).unwrap();
    for ms in 0..16_000_u64 {
        if ms % round_ms == 0 {
            gossip(&mut fleet, at(ms));
        }
        for part in 0..2 {
            let idx = usize::try_from((ms * 2 + part) % instances).unwrap();
            let quotas = &mut fleet[idx];
            let charged = quotas.charge(&north(), wide, 300, sharing, NO_PAUSE, at(ms));
            let counted = ms >= 8_000 && charged == Charged::Within;
            run += if counted { 300 } else { 0 };
        }
    }
    run
}

/// A workspace at six times its rate comes through 75 instances that hear of each other three times
/// a second: whenever the bucket had something, all of them let requests in at once.
#[test]
fn a_large_fleet_with_old_news_stays_within_a_tenth_of_the_quota_too() {
    let run = run_of_a_hot_workspace(75, 350);
    assert!(
        (600_000..=900_000 + 90_000 + 17_000).contains(&run),
        "{run}"
    );
}

/// The same through 300 instances, whose rounds of gossip are 1.25 s apart.
#[test]
fn a_fleet_of_three_hundred_stays_within_the_same_bounds() {
    let run = run_of_a_hot_workspace(300, 1_250);
    assert!(
        (600_000..=900_000 + 90_000 + 17_000).contains(&run),
        "{run}"
    );
}

/// A hot workspace runs beyond its quota whenever instances restart: each began with a full bucket,
/// though the others' were empty.
#[test]
fn a_restarted_instance_begins_with_a_part_of_the_burst() {
    let mut quotas = Quotas::default();
    quotas.prepare(&north(), quota(1_000, 1_000), 0.0, at(0));
    assert!(matches!(
        charge(&mut quotas, 400, at(1)),
        Charged::Over { .. }
    ));
    assert_eq!(charge(&mut quotas, 400, at(1_000)), Charged::Within);
}
