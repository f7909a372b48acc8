//! Tests that quarantine decisions reach instances that received no message about them.

mod support;

use std::time::Duration;

use bluebellstage_core::WorkspaceId;
use bluebellstage_gateway::decide::quarantine::{
    AgedDecision, DecisionKind, Fingerprint, QuarantineDecision,
};
use support::fleet::{Fleet, Network};

/// Time in milliseconds after which all instances must have a decision without a message about it.
const KNOWN_TIMEOUT_MS: u64 = 3_000;

fn decision() -> QuarantineDecision {
    let workspace = WorkspaceId::try_from("north").unwrap();
    let request = Fingerprint::of(Some(&workspace), "/draft/1", b"bad");
    QuarantineDecision::next(request.into(), DecisionKind::Refused, None)
}

fn decide(fleet: &mut Fleet, idx: usize) {
    let now = fleet.now;
    let quarantine = &mut fleet.tables_mut(idx).quarantine;
    quarantine.adopt(decision(), Duration::ZERO, now);
}

/// Interval in milliseconds at which an instance copies what it lacks.
const COPY_INTERVAL_MS: u64 = 300;

/// Lets instances copy from peers that have more decisions, as running ones do. Returns the
/// instances without a decision at the end.
fn instances_without_decision_after(fleet: &mut Fleet, ms: u64) -> Vec<usize> {
    for _ in 0..ms / COPY_INTERVAL_MS {
        fleet.run_ms(COPY_INTERVAL_MS);
        for idx in 0..fleet.len() {
            copy(fleet, idx);
        }
    }
    let running = (0..fleet.len()).filter(|idx| fleet.is_running(*idx));
    let without_decision = running.filter(|idx| fleet.tables(*idx).quarantine.digest() == 0);
    without_decision.collect()
}

fn copy(fleet: &mut Fleet, idx: usize) {
    let Some(source) = newer_peer(fleet, idx) else {
        return;
    };
    let now = fleet.now;
    let verdicts = fleet.tables(source).quarantine.decisions(now);
    let verdicts = verdicts.collect::<Vec<_>>();
    for AgedDecision { decision, age } in verdicts {
        fleet.tables_mut(idx).quarantine.adopt(decision, age, now);
    }
}

/// Returns a peer that is known to have more decisions.
fn newer_peer(fleet: &Fleet, idx: usize) -> Option<usize> {
    let tables = fleet.tables(idx);
    let live = tables.peers.live(fleet.now);
    let mut newer = live.filter(|peer| tables.is_behind(peer));
    let number = newer.find_map(|peer| peer.member.name.as_str().strip_prefix('i')?.parse().ok());
    number.filter(|peer| fleet.is_running(idx) && fleet.is_running(*peer))
}

#[test]
fn a_decision_of_one_instance_reaches_all() {
    for (count, domains) in [(6, 3), (75, 3), (195, 5)] {
        let mut fleet = Fleet::start(count, domains, 7);
        fleet.run_ms(3_000);
        decide(&mut fleet, count / 2);
        let without_decision = instances_without_decision_after(&mut fleet, KNOWN_TIMEOUT_MS);
        assert!(without_decision.is_empty(), "{count}: {without_decision:?}");
    }
}

/// Guards against a decision that never reaches an instance that started, was suspended or was
/// partitioned meanwhile.
#[test]
fn a_decision_reaches_instances_after_a_start_a_suspension_or_a_partition() {
    let mut fleet = Fleet::start(60, 3, 11);
    fleet.network = Network::UNRELIABLE;
    fleet.run_ms(3_000);
    let suspended = 17;
    fleet.suspend(suspended);
    fleet.partitions = vec![(0, 1), (0, 2), (1, 0), (2, 0)];
    fleet.run_ms(500);
    decide(&mut fleet, 31);
    fleet.run_ms(4_000);
    fleet.partitions.clear();
    fleet.resume(suspended);
    fleet.restart(40, true);
    let without_decision = instances_without_decision_after(&mut fleet, KNOWN_TIMEOUT_MS);
    assert!(without_decision.is_empty(), "{without_decision:?}");
}

/// Guards against a decision that is lost with the relays that knew it.
#[test]
fn a_decision_spreads_while_relays_fail() {
    let mut fleet = Fleet::start(60, 3, 13);
    fleet.run_ms(3_000);
    decide(&mut fleet, 31);
    for relay in fleet.relays() {
        if relay != 31 {
            fleet.kill(relay);
        }
    }
    let without_decision = instances_without_decision_after(&mut fleet, KNOWN_TIMEOUT_MS);
    assert!(without_decision.is_empty(), "{without_decision:?}");
}
