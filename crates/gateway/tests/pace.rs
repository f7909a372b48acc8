//! Tests of what instances together know of the speed of targets.

mod support;

use std::time::Duration;

use bluebellstage_gateway::decide::pace::{Pace, PaceReport, PaceTarget, Work};
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use bluebellstage_gateway::decide::streams::times::EventGap;
use bluebellstage_gateway::decide::target::Target;
use support::{at, engine};

fn engines(count: usize) -> Vec<Target> {
    let names = (0..count).map(|idx| format!("e{idx}"));
    names.map(|name| engine(&name, 1, &[])).collect()
}

fn pace_of(targets: &[Target]) -> Pace {
    let mut pace = Pace::default();
    pace.sweep(targets.iter(), at(0));
    pace
}

/// Records prompts of 1,000 tokens, one a second, that take `ms` milliseconds each.
fn read_prompts(pace: &mut Pace, target: &Target, ms: u64, count: u64) {
    for second in 0..count {
        let elapsed = Duration::from_millis(ms);
        pace.record_prompt(PaceTarget::from(target), 1_000, elapsed, at(second * 1_000));
    }
}

/// Predicted milliseconds for 1,000 prompt tokens.
fn reading_ms(pace: &Pace, target: &Target, now_ms: u64) -> u128 {
    let speed = pace.speed(PaceTarget::from(target), at(now_ms));
    speed.reading_time(1_000).as_millis()
}

fn peer(idx: usize) -> ShortHash {
    ShortHash::of(&format!("i{idx}"))
}

#[test]
fn nothing_is_predicted_before_the_first_outcome() {
    let targets = engines(1);
    let speed = pace_of(&targets).speed(PaceTarget::from(&targets[0]), at(0));
    assert_eq!(speed.reading_time(50_000), Duration::ZERO);
    assert_eq!(speed.event_time(), Duration::ZERO);
}

#[test]
fn a_target_starts_from_the_mean_of_its_service_and_keeps_to_what_it_shows() {
    let targets = engines(3);
    let mut pace = pace_of(&targets);
    read_prompts(&mut pace, &targets[0], 50, 20);
    assert_eq!(reading_ms(&pace, &targets[1], 20_000), 50);
    read_prompts(&mut pace, &targets[1], 200, 1);
    let first = reading_ms(&pace, &targets[1], 20_000);
    assert!((55..130).contains(&first), "{first}");
    read_prompts(&mut pace, &targets[1], 200, 20);
    let later = reading_ms(&pace, &targets[1], 20_000);
    assert!((165..=200).contains(&later), "{later}");
    let restarted = engine("e1", 2, &[]);
    let mean = reading_ms(&pace, &targets[2], 20_000);
    assert_eq!(reading_ms(&pace, &restarted, 20_000), mean);
}

#[test]
fn an_engine_that_turned_slow_is_detected_after_ten_requests() {
    let targets = engines(1);
    let mut pace = pace_of(&targets);
    read_prompts(&mut pace, &targets[0], 50, 20);
    for second in 20..30 {
        let elapsed = Duration::from_millis(400);
        pace.record_prompt(
            PaceTarget::from(&targets[0]),
            1_000,
            elapsed,
            at(second * 1_000),
        );
    }
    assert!(reading_ms(&pace, &targets[0], 30_000) > 250);
}

/// With even measurements an engine's speed is that of all, so every choice is the one made without it.
#[test]
fn targets_that_measure_alike_are_predicted_alike() {
    let targets = engines(5);
    let mut pace = pace_of(&targets);
    for (idx, target) in targets.iter().enumerate() {
        read_prompts(&mut pace, target, 50, u64::try_from(idx).unwrap() * 3);
    }
    let predicted = targets
        .iter()
        .map(|target| reading_ms(&pace, target, 20_000));
    assert_eq!(predicted.collect::<Vec<_>>(), [50; 5]);
}

#[test]
fn all_targets_come_round_in_bounded_messages() {
    let targets = engines(40);
    let mut pace = pace_of(&targets);
    for target in &targets {
        read_prompts(&mut pace, target, 50, 1);
    }
    let rounds = (0..12).map(|round| pace.take_reports(at(100 * round)));
    let rounds = rounds.collect::<Vec<_>>();
    assert!(rounds.iter().all(|reports| reports.len() <= 12));
    let mut reported = rounds
        .into_iter()
        .flatten()
        .map(|(target, _)| target)
        .collect::<Vec<_>>();
    reported.sort();
    reported.dedup();
    assert_eq!(reported.len(), 40);
}

/// Guards against an instance whose outcomes count twice: by itself and by a relay's sum.
#[test]
fn a_relay_leaves_the_receivers_part_out_of_its_sums() {
    let targets = engines(1);
    let mut relay = pace_of(&targets);
    for idx in 0..3 {
        let mut other = pace_of(&targets);
        read_prompts(&mut other, &targets[0], 100, 1);
        relay.record_peer(peer(idx), &other.take_reports(at(0)), at(0));
    }
    relay.sweep(targets.iter(), at(0));
    let sums = relay.sums_for(peer(0), at(0));
    assert_eq!(
        sums[0].1.prompts,
        Work {
            amount: 2_000,
            millis: 200
        }
    );
    let sums = relay.sums_for(peer(7), at(0));
    assert_eq!(
        sums[0].1.prompts,
        Work {
            amount: 3_000,
            millis: 300
        }
    );
}

#[test]
fn reports_that_are_not_repeated_expire() {
    let targets = engines(2);
    let mut other = pace_of(&targets);
    read_prompts(&mut other, &targets[0], 100, 1);
    let mut pace = pace_of(&targets);
    pace.record_peer(peer(0), &other.take_reports(at(0)), at(0));
    pace.sweep(targets.iter(), at(100));
    assert_eq!(reading_ms(&pace, &targets[0], 100), 100);
    pace.sweep(targets.iter(), at(31_000));
    assert_eq!(reading_ms(&pace, &targets[0], 31_000), 0);
}

/// Guards against a relay that failed: an instance that became one itself counts what its peers report.
#[test]
fn the_sums_of_a_silent_relay_give_way_to_reports_of_peers() {
    let targets = engines(1);
    let report = |ms| {
        let mut other = pace_of(&targets);
        read_prompts(&mut other, &targets[0], ms, 1);
        other.take_reports(at(0))
    };
    let mut pace = pace_of(&targets);
    pace.record_sums(&report(50), at(0));
    pace.record_peer(peer(0), &report(400), at(0));
    pace.sweep(targets.iter(), at(1_000));
    assert_eq!(reading_ms(&pace, &targets[0], 1_000), 50);
    pace.sweep(targets.iter(), at(3_000));
    assert_eq!(reading_ms(&pace, &targets[0], 3_000), 400);
}

/// Guards against a peer that reports nonsense, which is believed by nobody.
#[test]
fn implausible_reports_and_unknown_targets_are_dropped_and_counted() {
    let targets = engines(1);
    let known = PaceReport::default();
    let prompts = |amount, millis| PaceReport {
        prompts: Work { amount, millis },
        ..known
    };
    let mut other = pace_of(&targets);
    read_prompts(&mut other, &targets[0], 50, 1);
    let (hash, _) = other.take_reports(at(0))[0];
    let reports = [
        prompts(u32::MAX, u32::MAX),
        prompts(1_000, 0),
        prompts(0, 1_000),
        prompts(1, 4_000_000),
        PaceReport {
            long_gaps: 1,
            ..known
        },
    ];
    let mut pace = pace_of(&targets);
    for report in reports {
        pace.record_peer(peer(0), &vec![(hash, report)], at(0));
    }
    pace.record_peer(
        peer(0),
        &vec![(ShortHash::of("gone/1"), prompts(1_000, 50))],
        at(0),
    );
    pace.sweep(targets.iter(), at(0));
    assert_eq!(reading_ms(&pace, &targets[0], 0), 0);
    let dropped = pace.take_dropped();
    assert_eq!((dropped.implausible, dropped.unknown), (5, 1));
}

/// Impossible times and counts must neither be learned from nor divided by.
#[test]
fn impossible_outcomes_stay_within_bounds() {
    let targets = engines(1);
    let target = PaceTarget::from(&targets[0]);
    let mut pace = pace_of(&targets);
    pace.record_prompt(target, 0, Duration::from_secs(1), at(0));
    assert_eq!(reading_ms(&pace, &targets[0], 0), 0);
    pace.record_prompt(target, u64::from(u32::MAX), Duration::ZERO, at(0));
    let gap = EventGap {
        events: 1,
        gap: Duration::ZERO,
    };
    pace.record_events(target, gap, false, at(0));
    let speed = pace.speed(target, at(0));
    assert!(speed.reading_time(u64::MAX) < Duration::from_secs(u64::MAX / 2));
    let reports = pace.take_reports(at(0));
    assert!(
        reports
            .iter()
            .all(|(_, report)| report.is_plausible_of_one())
    );
}
