//! Tests of quotas over several instances.

mod support;

use std::time::Duration;

use bluebellstage_core::{Incarnation, InstanceId, Time, WorkspaceId};
use bluebellstage_gateway::decide::quota::{ChargeOutcome, PeerVisibility, Quotas, SpendReport};
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use support::{at, quota};

const NO_WAIT: Duration = Duration::ZERO;
const REPORT_WINDOW: Duration = Duration::from_mins(1);

/// A peer's report of its spending to an instance that has received an earlier one.
fn spent(total: u64) -> SpendReport {
    SpendReport {
        account: ShortHash::of(north().as_str()),
        total,
        recent: 0,
    }
}

fn north() -> WorkspaceId {
    WorkspaceId::try_from("north").unwrap()
}

/// Returns quotas whose bucket was created long ago and is full.
fn prepared_quotas() -> Quotas {
    let mut quotas = Quotas::default();
    quotas.prepare(&north(), quota(1_000, 1_000), 0.0, Time::from_millis(0));
    quotas
}

fn instance_id(idx: usize) -> InstanceId {
    InstanceId::try_from(&*format!("i{idx}")).unwrap()
}

fn charge(quotas: &mut Quotas, units: u64, now: Time) -> ChargeOutcome {
    quotas.charge(
        &north(),
        quota(1_000, 1_000),
        units,
        PeerVisibility::default(),
        NO_WAIT,
        now,
    )
}

/// Sends each instance's spending to every other instance.
fn exchange_reports(fleet: &mut [Quotas], now: Time) {
    let reports = fleet
        .iter_mut()
        .map(|quotas| quotas.take_spend_reports(REPORT_WINDOW, now).pop())
        .collect::<Vec<_>>();
    for (idx, quotas) in fleet.iter_mut().enumerate() {
        for (other, report) in reports
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != idx)
        {
            if let Some(report) = report {
                quotas.record_peer_spending(
                    &instance_id(other),
                    Incarnation(1),
                    *report,
                    false,
                    true,
                    now,
                );
            }
        }
    }
}

/// Guards against overruns when one workspace sends several times its rate through all instances, each of
/// which sees an eighth of it.
#[test]
fn a_fleet_exceeds_the_quota_by_at_most_a_tenth_at_six_times_its_rate() {
    let mut fleet = (0..8).map(|_| prepared_quotas()).collect::<Vec<_>>();
    let mut accepted_units = 0;
    for quotas in &mut fleet {
        charge(quotas, 0, at(0));
    }
    for ms in 0..16_000_u64 {
        if ms % 100 == 0 {
            exchange_reports(&mut fleet, at(ms));
        }
        if ms % 8 == 0 {
            let idx = usize::try_from(ms / 8 % 8).unwrap();
            if charge(&mut fleet[idx], 48, at(ms)) == ChargeOutcome::Accepted {
                accepted_units += 48;
            }
        }
    }
    assert!(
        (15_000..=17_000 + 1_700).contains(&accepted_units),
        "{accepted_units}"
    );
}

#[test]
fn a_request_that_fits_soon_waits() {
    let mut quotas = prepared_quotas();
    let max_wait = Duration::from_millis(200);
    let mut charge = |now| {
        quotas.charge(
            &north(),
            quota(1_000, 1_000),
            450,
            PeerVisibility::default(),
            max_wait,
            now,
        )
    };
    assert_eq!(charge(at(0)), ChargeOutcome::Accepted);
    assert_eq!(charge(at(0)), ChargeOutcome::Accepted);
    assert!(matches!(charge(at(300)), ChargeOutcome::AcceptedAfter(_)));
    assert!(matches!(charge(at(300)), ChargeOutcome::Rejected { .. }));
}

/// Guards against filings that are refused although their workspace is within its rate: its drafts, five
/// times as large, empty the bucket as fast as it fills.
#[test]
fn small_charges_are_accepted_beside_large_ones() {
    let mut quotas = prepared_quotas();
    let mut filings = 0;
    for ms in (0..10_000).step_by(20) {
        charge(&mut quotas, 300, at(ms));
        if ms % 500 == 0 && charge(&mut quotas, 20, at(ms)) == ChargeOutcome::Accepted {
            filings += 1;
        }
    }
    assert_eq!(filings, 20);
}

/// Guards against a workspace that is refused far below its quota: charges that peers had refunded were
/// counted as spent when the peers spent them again.
#[test]
fn units_refunded_by_a_peer_are_not_counted_twice() {
    let mut quotas = prepared_quotas();
    charge(&mut quotas, 0, at(0));
    for round in 0..20 {
        let total = if round % 2 == 0 { 500 } else { 0 };
        quotas.record_peer_spending(
            &instance_id(1),
            Incarnation(1),
            spent(total),
            false,
            true,
            at(0),
        );
    }
    assert_eq!(charge(&mut quotas, 800, at(0)), ChargeOutcome::Accepted);
}

#[test]
fn a_restarted_peer_is_counted_from_its_first_report() {
    let mut quotas = prepared_quotas();
    charge(&mut quotas, 0, at(0));
    quotas.record_peer_spending(
        &instance_id(1),
        Incarnation(1),
        spent(100_000),
        false,
        true,
        at(0),
    );
    quotas.record_peer_spending(
        &instance_id(1),
        Incarnation(2),
        spent(10),
        false,
        true,
        at(0),
    );
    quotas.record_peer_spending(
        &instance_id(1),
        Incarnation(2),
        spent(110),
        false,
        true,
        at(0),
    );
    assert_eq!(charge(&mut quotas, 790, at(0)), ChargeOutcome::Accepted);
    assert!(matches!(
        charge(&mut quotas, 110, at(0)),
        ChargeOutcome::Rejected { .. }
    ));
}

#[test]
fn an_instance_partitioned_from_half_of_its_peers_spends_half() {
    let mut quotas = prepared_quotas();
    let mut accepted_units = 0;
    let half = PeerVisibility {
        silent_fraction: 0.5,
        ..PeerVisibility::default()
    };
    for ms in (0..8_000).step_by(10) {
        let charged = quotas.charge(&north(), quota(1_000, 1_000), 50, half, NO_WAIT, at(ms));
        accepted_units += if charged == ChargeOutcome::Accepted {
            50
        } else {
            0
        };
    }
    assert!(
        (4_000..=5_050).contains(&accepted_units),
        "{accepted_units}"
    );
}

#[test]
fn a_lower_quota_applies_to_the_next_charge() {
    let mut quotas = prepared_quotas();
    charge(&mut quotas, 10, at(0));
    let lower = quotas.charge(
        &north(),
        quota(10, 10),
        10,
        PeerVisibility::default(),
        NO_WAIT,
        at(1),
    );
    assert_eq!(lower, ChargeOutcome::Accepted);
    let next = quotas.charge(
        &north(),
        quota(10, 10),
        10,
        PeerVisibility::default(),
        NO_WAIT,
        at(2),
    );
    assert!(matches!(next, ChargeOutcome::Rejected { .. }));
}

/// Returns the units accepted in 8 s for a workspace at six times its rate, once its burst is used up. Its
/// requests go through many instances, which exchange reports once per `round_ms`.
fn units_accepted_for_a_hot_workspace(instances: usize, round_ms: u64) -> u64 {
    let mut fleet = (0..instances)
        .map(|_| prepared_quotas())
        .collect::<Vec<_>>();
    let visibility = PeerVisibility {
        silent_fraction: 0.0,
        staleness: Duration::from_millis(round_ms / 2),
    };
    let wide = quota(100_000, 100_000);
    let mut accepted_units = 0;
    let instances = u64::try_from(instances).unwrap();
    for ms in 0..16_000_u64 {
        if ms % round_ms == 0 {
            exchange_reports(&mut fleet, at(ms));
        }
        for part in 0..2 {
            let idx = usize::try_from((ms * 2 + part) % instances).unwrap();
            let quotas = &mut fleet[idx];
            let charged = quotas.charge(&north(), wide, 300, visibility, NO_WAIT, at(ms));
            let counted = ms >= 8_000 && charged == ChargeOutcome::Accepted;
            accepted_units += if counted { 300 } else { 0 };
        }
    }
    accepted_units
}

/// Guards against overruns when a workspace at six times its rate sends through 75 instances that exchange
/// reports three times a second: whenever the bucket had tokens, all of them admitted requests at once.
#[test]
fn a_large_fleet_with_stale_reports_exceeds_the_quota_by_at_most_a_tenth() {
    let accepted_units = units_accepted_for_a_hot_workspace(75, 350);
    assert!(
        (600_000..=900_000 + 90_000 + 17_000).contains(&accepted_units),
        "{accepted_units}"
    );
}

/// The same through 300 instances, which exchange reports every 1.25 s.
#[test]
fn three_hundred_instances_stay_within_the_same_bounds() {
    let accepted_units = units_accepted_for_a_hot_workspace(300, 1_250);
    assert!(
        (600_000..=900_000 + 90_000 + 17_000).contains(&accepted_units),
        "{accepted_units}"
    );
}

/// Guards against a workspace over its rate that exceeds its quota whenever instances restart: each started
/// with a full bucket, though those of the others were empty.
#[test]
fn a_restarted_instance_starts_with_a_fraction_of_the_burst() {
    let mut quotas = Quotas::default();
    quotas.prepare(&north(), quota(1_000, 1_000), 0.0, at(0));
    assert!(matches!(
        charge(&mut quotas, 400, at(1)),
        ChargeOutcome::Rejected { .. }
    ));
    assert_eq!(charge(&mut quotas, 400, at(1_000)), ChargeOutcome::Accepted);
}
